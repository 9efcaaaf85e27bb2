"""The canonical state of the model of agreement: what members hold, attempts under way, how much may come.

Owns the records and their order. It must never decide a step.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any, NamedTuple

from finchshelf.agreement import core

ADDRESSES = ("a:1", "b:1", "c:1", "d:1")  # d is the spare
AT = {address: at for at, address in enumerate(ADDRESSES)}
PROPOSERS = {"a:1": "one", "c:1": "two"}  # and the change that each one's operator wants
OPEN, DONE, REFUSED = 0, 1, 2
LIVE, OVER, FORGOTTEN = 1, 0, -1  # forgotten: its machine restarted and may use its ballot again
NONE = -1

Accepted = tuple[Any, ...]  # () or (ballot, value)


class Broken(Exception):
    """What must never be; the words tell which rule."""


class Acc(NamedTuple):
    disk: str
    slot: int
    decided: int  # a value's number, as everywhere here
    promised: core.Ballot
    accepted: Accepted


class Attempt(NamedTuple):
    slot: int
    ballot: core.Ballot
    change: str
    base: int
    life: int
    value: int
    own: bool
    late: bool  # its slot was decided already when it began: its change must never be made
    promises: tuple[tuple[int, str, Accepted], ...]  # member's place, the disk that spoke, what it held
    votes: tuple[tuple[int, str], ...]


class State(NamedTuple):
    accs: tuple[Acc, ...]
    stopped: tuple[int, Acc] | None  # a disk that syncs no more, and what is on it
    known: tuple[int, ...]  # decided values by slot
    fates: tuple[int, ...]  # of the two changes
    attempts: tuple[Attempt, ...]
    starts: int  # how many of each may still come
    swaps: int
    wipes: int
    restarts: int


@dataclass(frozen=True)
class Bounds:
    """How much may happen."""

    starts: int = 2
    swaps: int = 0
    wipes: int = 0
    restarts: int = 0
    proposers: tuple[str, ...] = ("a:1", "c:1")
    harmed: tuple[int, ...] = (0, 1, 2)  # machines that may be wiped or restarted
    resent: bool = False  # whether an operator may come with the same change to the other proposer too
    spare: bool = True  # whether a swap may bring the spare, or only a wiped disk
    out: str = "b:1"  # whose place the spare takes


def put(row: tuple[Any, ...], at: int, new: Any) -> tuple[Any, ...]:
    return (*row[:at], new, *row[at + 1 :])


def renumbered(acc: Acc, slot: int, new: dict[core.Ballot, core.Ballot]) -> Acc:
    if acc.slot + 1 != slot:
        return acc
    return acc._replace(promised=new[acc.promised], accepted=moved(acc.accepted, new))


def moved(held: Accepted, new: dict[core.Ballot, core.Ballot]) -> Accepted:
    return held and (new.get(held[0], held[0]), held[1])


def over(one: Attempt, life: int) -> Attempt:
    return one._replace(life=life, promises=())
