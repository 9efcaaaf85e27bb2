"""Whether this control plane may speak for the core just now, and to whom it sends callers while it may not.

Owns the question when each other control plane last spoke to this one. The leases are `membership.contact`'s.
It must never count who asks for one who answered.
"""

from __future__ import annotations

from collections.abc import Callable
from math import inf
from random import Random

from finchshelf.agreement.core import Member, Value
from finchshelf.controlplane.cells import YOUNG, Cells
from finchshelf.membership import contact


class Standing:
    def __init__(
        self,
        cells: Cells,
        decided: Callable[[], Value | None],
        me: Callable[[], Member],
        random: Random,
    ) -> None:
        self.cells, self.decided, self.me = cells, decided, me
        self.turn = random.randrange(1 << 16)  # whom a caller is sent to next

    def members(self) -> set[str]:
        decided = self.decided()
        return {member.address for member in decided.members} if decided else set()

    def last(self, now: float) -> float:
        """When this one was last in contact with more than half of the core, disk by disk."""
        decided = self.decided()
        spoken = {Member(one.address, one.disk): one.spoke for one in self.cells.controls.values()}
        return contact.contact(decided.members if decided else (), self.me(), spoken, now)

    def joined(self, now: float) -> bool:
        """May its word be called the core's?"""
        return contact.current(self.last(now), now)

    def apart(self, now: float) -> bool:
        """Is it cut off, so that callers are better served elsewhere?

        Danger: who has only just come up takes everybody for beyond a cut."""
        return now - self.cells.began > YOUNG and contact.apart(self.last(now), now)

    def out(self, now: float) -> float:
        """s since its last contact; since its start, where there was none in this life.

        Danger: a former life may have been in contact until it ended."""
        return now - max(self.last(now), self.cells.began)

    def elsewhere(self, now: float) -> str | None:
        """A member beyond the cut: those that did not speak to this one of late, in turn.

        Danger: some of them may be dead, which can't be told from here. A caller must not be sent to one time
        after time, as chance would."""
        spoken = {one.address: one.spoke for one in self.cells.controls.values()}
        found = sorted(
            one
            for one in self.members()
            if one != self.cells.address and contact.apart(spoken.get(one, -inf), now)
        )
        self.turn += 1
        return found[self.turn % len(found)] if found else None

    def all(self) -> list[list[str]]:
        """Each control plane that this one ever heard of, with its zone: for who finds nobody else."""
        cells = self.cells
        zones = {
            **{address: "" for address in self.members()},
            **{one.address: one.zone for one in cells.controls.values()},
            **dict(cells.named),
        }
        return [[address, zone] for address, zone in sorted(zones.items())]
