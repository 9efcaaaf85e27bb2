"""What a machine that has just come up may be trusted with: decisions only, time is handed in.

Owns what is known of that. Standing: was what it holds proved the newest since the start, and has anybody
named a newer slot? Witness: has anybody heard more of its disk than that holds? DiskHealth: since when does
its disk take no writes? It must never take a disk's word for it: a machine may have been down for any number
of changes, or its disk put back to before them.
"""

from __future__ import annotations

import math
from collections.abc import Iterable
from typing import Any

UNPROVED = 3.0  # s after a start in which nothing unproved is told: the core is up by then, or has gone
BEHIND = 3.0  # s that the word of a newer slot counts: who told it is gone, and nobody else has it


class Standing:
    def __init__(self) -> None:
        self.proved = False  # did a majority's answers prove it the newest, or bring that, in this life?
        self.began = -math.inf
        self.newest, self.newest_at = -1, -math.inf  # slot that another knows, and when it was told last

    def start(self, now: float) -> None:
        self.began = now

    def told(self, slot: int, now: float) -> None:
        """Another machine knows that slot to be decided."""
        if slot >= self.newest:
            self.newest, self.newest_at = slot, now

    def leads(self, slot: int, now: float) -> bool:
        """May data planes lean on the value of that slot, the newest held here (-1: none)?

        Danger: a machine that was down for many changes would lead data planes which start with it by what
        its disk held; those with a configuration are safe, they never go back. Where nobody can prove
        anything, after a while the old state is better than none."""
        behind = slot < self.newest and now - self.newest_at < BEHIND
        return slot >= 0 and not behind and (self.proved or now - self.began > UNPROVED)


class DiskHealth:
    """Since when this machine's own disk takes no writes: it refuses them, or one that was begun hangs."""

    def __init__(self) -> None:
        self.failing_since = math.inf

    def began(self, now: float) -> None:
        """A write begins; until it has ended well the disk may be failing since now."""
        self.failing_since = min(self.failing_since, now)

    def wrote(self) -> None:
        self.failing_since = math.inf

    def failing_s(self, now: float) -> float:
        """Seconds for which no write has ended well, though one was begun; 0 where none is due."""
        return max(0.0, now - self.failing_since)


class Witness:
    """How far each member's disk was, as they told; and whether this one's own is in doubt.

    Danger: a disk that is put back (a copy of a machine, a disk that lied about a sync) has forgotten what it
    promised and accepted, under a name that counts. Its vote could decide a second value. So each tells how
    far its disk is, a number that only rises, and asks after a start what was heard of it."""

    def __init__(self) -> None:
        self.known: dict[str, tuple[str, int]] = {}  # by address: its disk, the highest number told
        self.doubted, self.held = False, 0

    def doubt(self, held: int) -> None:
        """It came up with a disk that holds this number."""
        self.doubted, self.held = True, held

    def trust(self) -> None:
        self.doubted = False

    def heard(self, address: str, disk: str, number: int) -> None:
        if number < 0:
            return
        known = self.known.get(address)
        if known is None or known[0] != disk or known[1] < number:
            self.known[address] = disk, number

    def saw(self, member: Any) -> int:
        """The highest number heard of that disk, given with its address as it was asked; -1 if none."""
        return next(
            (number for address, (disk, number) in self.known.items() if [address, disk] == member), -1
        )

    def rows(self, addresses: Iterable[str], own: list[Any]) -> list[list[Any]]:
        """What is known of the disks of these members, and of one's own, to be kept or told on."""
        return [[address, *self.known[address]] for address in addresses if address in self.known] + [own]

    def put_back(self, words: Iterable[int]) -> bool:
        return any(word > self.held for word in words)

    def forget(self, address: str) -> None:
        self.known.pop(address, None)
