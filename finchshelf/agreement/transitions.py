"""Transitions of services to new versions, in the form in which a decided value remembers them.

Owns that form, its bounds and what it says of a version. No I/O, no clock. It must never lose a transition
that was acknowledged and is under way, or let a version that was reverted have requests again by itself.

Invariants: a service has one transition at a time; one that is settled or reverted stays so.
"""

from __future__ import annotations

from dataclasses import dataclass, replace
from enum import IntEnum, StrEnum
from typing import Any

MOST_TRANSITIONS = 512  # services with a transition that are remembered
MOST_REVERTED = 16  # versions of a service that are remembered as reverted before its present transition
MOST_FORMER = 16  # versions of a service in use at once when an order is taken
MOST_TEXT = 128  # characters of a service's or version's name
MOST_HORIZON_MS = 24 * 3600 * 1000
MOST_NUMBER = 1 << 62


class Mode(StrEnum):
    """The modes of a transition, as the protocol names them."""

    TRACKING = "tracking"
    SETTLED = "settled"
    REVERTED = "reverted"


class Stage(IntEnum):
    """How far a transition that is tracked has come; it never goes back."""

    HELD = 0  # the target gets nothing
    REPEATABLE = 1  # a small share of the requests that may be repeated
    ALL = 2  # a small share of all requests
    MOVING = 3  # all requests; the former versions get nothing more


@dataclass(frozen=True, slots=True)
class Transition:
    """The traffic of a service is to move to servers of the version `target`.

    `horizon_ms`: the time that the operator gives it. `number`: the slot that took the order, by which two
    transitions of one service differ. `reverted`: versions of the service that were reverted earlier, the
    oldest first. `former`: its versions in use when the order was taken."""

    service: str
    target: str
    horizon_ms: int
    number: int
    mode: Mode = Mode.TRACKING
    reverted: tuple[str, ...] = ()
    stage: Stage = Stage.HELD
    former: tuple[str, ...] = ()

    def names(self, version: str) -> bool:
        """Does it say of that version whether it may get requests?"""
        return version == self.target or version in self.former or version in self.reverted

    def tries(self, version: str) -> bool:
        """Do servers of that version get the small share that is tried?"""
        tried = self.stage in (Stage.REPEATABLE, Stage.ALL)
        return version == self.target and self.mode is Mode.TRACKING and tried

    def allows(self, version: str) -> bool:
        """May any request go to servers of that version?"""
        moved = self.mode is Mode.SETTLED or (self.mode is Mode.TRACKING and self.stage is Stage.MOVING)
        if version == self.target:
            return moved
        return version not in self.reverted and not (moved and version in self.former)

    def withholds(self, version: str) -> bool:
        """May servers of that version get no requests for good, or not yet?

        The former versions count only once it is settled: until then it may be reverted."""
        if self.mode is Mode.TRACKING and version in self.former:
            return False
        return not self.allows(version) and not self.tries(version)

    def reverted_by_now(self) -> tuple[str, ...]:
        """The versions that are reverted once another transition takes the place of this one."""
        last = (self.target,) if self.mode is Mode.REVERTED else ()
        return (*(one for one in self.reverted if one not in last), *last)

    def pack(self) -> list[Any]:
        return [
            self.service,
            self.target,
            self.horizon_ms,
            self.number,
            str(self.mode),
            list(self.reverted),
            int(self.stage),
            list(self.former),
        ]


Transitions = tuple[Transition, ...]  # by service, in order
NO_TRANSITIONS: Transitions = ()


def of_service(transitions: Transitions, service: str) -> Transition | None:
    return next((one for one in transitions if one.service == service), None)


def withheld(transitions: Transitions, service: str, version: str) -> bool:
    """May servers of that version of the service get no requests?"""
    known = of_service(transitions, service)
    return known is not None and known.withholds(version)


def as_older_text_goes_by(transitions: Transitions) -> Transitions:
    """The same for a limiter that knows no transitions: it can't give a version a small share."""
    return tuple(replace(one, stage=Stage.HELD) if one.mode is Mode.TRACKING else one for one in transitions)


def replaced(transitions: Transitions, one: Transition) -> Transitions:
    """With this transition in the place of the service's former one."""
    others = [other for other in transitions if other.service != one.service]
    return tuple(sorted([*others, one], key=lambda each: each.service))


def read_transitions(packed: Any) -> Transitions:
    """The transitions of a message or of the disk; TypeError or ValueError if these are none."""
    if not isinstance(packed, list | tuple) or len(packed) > MOST_TRANSITIONS:
        raise ValueError("no transitions")
    found = tuple(_read(row) for row in packed)
    services = [one.service for one in found]
    if services != sorted(set(services)):
        raise ValueError("transitions out of order")
    return found


def _read(row: Any) -> Transition:
    service, target, horizon_ms, number, mode, reverted, stage, former = row
    for versions, most in ((reverted, MOST_REVERTED), (former, MOST_FORMER)):
        if not isinstance(versions, list | tuple) or len(versions) > most:
            raise ValueError("no versions")
    for text in (service, target, *reverted, *former):
        if not is_name(text):
            raise ValueError("no name")
    for whole, most in ((horizon_ms, MOST_HORIZON_MS), (number, MOST_NUMBER)):
        if type(whole) is not int or not 0 <= whole <= most:
            raise ValueError("no number")
    versions = tuple(reverted), Stage(stage), tuple(former)
    return Transition(service, target, horizon_ms, number, Mode(mode), *versions)


def is_name(value: Any) -> bool:
    """Is it the name of a service or version?"""
    return isinstance(value, str) and 0 < len(value) <= MOST_TEXT
