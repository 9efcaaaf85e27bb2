"""Changes of the register's members: made one at a time, of learners that hold what is decided, and settled.

Owns the order of a repair and what was seen to be settled. Who should be a member is `agreement.membership`'s
to say. It must never make a voter of a machine whose disk lacks the decided value, or call a change settled
that more than half of its members do not have on disk.
"""

from __future__ import annotations

from collections.abc import Callable
from contextlib import suppress
from dataclasses import replace

import trio

from finchshelf.agreement.core import Member, Refusal, Value
from finchshelf.agreement.membership import HOLDS, Settling, holds, leaves, next_members
from finchshelf.controlplane.register import Register, Unsettled

MADE, SETTLED = 1.5, 1.5  # s for a change of members, and for the members that it names to have it on disk
AGAIN = 0.1  # s between two rounds of asking them
FENCE = 0.5  # s for a round of ballots before a member goes

Candidates = tuple[Member, ...]
Leaving = Callable[[], frozenset[Member]]


def nobody() -> frozenset[Member]:
    return frozenset()


class Repair:
    def __init__(self, register: Register, log: Callable[..., None]) -> None:
        self.register, self.log = register, log
        # members of which more than half were seen to have on disk the value that names them
        self.settled: tuple[Member, ...] = ()

    def to_mend(self, silent: dict[Member, float], candidates: Candidates, leaving: Leaving = nobody) -> bool:
        """Is there a change of members to be made?"""
        now = self.register.decided
        return now is not None and next_members(now.members, silent, candidates, leaving()) is not None

    def due(self, silent: dict[Member, float], candidates: Candidates, leaving: Leaving = nobody) -> bool:
        """... or one to be settled?"""
        now = self.register.decided
        return self.to_mend(silent, candidates, leaving) or (now is not None and now.members != self.settled)

    async def mend(
        self, silent: dict[Member, float], candidates: Candidates, leaving: Leaving = nobody
    ) -> None:
        """Change who the members are, where one is wiped, silent, new or leaving, and see to it that the
        change is settled."""
        while (decided := self.register.decided) is not None:
            members = next_members(decided.members, silent, candidates, leaving())
            if members is None:
                break
            learner = tuple(member for member in members if member not in decided.members)
            if not all([await self.learned(member, decided) for member in learner]):
                # Danger: whoever has yet to hear, or whose disk takes nothing, would count in the number that
                # more than half is taken of, and have no vote.
                candidates = tuple(member for member in candidates if member not in learner)
                continue
            with suppress(Unsettled):
                await self.register.change(to_members(silent, learner, leaving), MADE, "change members")
            break
        if self.register.decided is not None and self.register.decided.members != self.settled:
            await self.settle(SETTLED)

    async def learned(self, learner: Member, decided: Value) -> bool:
        """Does its disk hold what is decided? The news bring it there."""
        return holds(learner, decided.slot, await self.register.send(learner, HOLDS))

    async def settle(
        self, limit: float, without: Member | None = None, life: int = 0, leaving: Leaving = nobody
    ) -> bool:
        """Until more than half of the members, `without` one that goes, have on disk the value that names
        them, and heard that it goes in this life; False where that takes too long.

        Danger: two that are told to end at one moment would count each other as one that stays. Who goes
        doesn't count another of the `leaving` that stands before it: that one goes, and it waits."""
        question = HOLDS if without is None else leaves(without, life)
        with trio.move_on_after(limit):
            while self.register.decided is not None:
                settling = Settling(self.register.decided, without)

                async def ask(member: Member, settling: Settling = settling) -> None:
                    reply = await self.register.send(member, question)
                    if without is not None and member < without and member in leaving():
                        return
                    settling.on_reply(member, reply)
                    if settling.settled:
                        nursery.cancel_scope.cancel()

                async with trio.open_nursery() as nursery:
                    for member in settling.missing():
                        nursery.start_soon(ask, member)
                if settling.settled:
                    if without is None and self.settled != settling.value.members:
                        self.settled = settling.value.members
                        self.log("core.settled", slot=settling.value.slot)
                    return True
                await trio.sleep(AGAIN)
        return False

    async def fence(self, goes: Member) -> bool:
        """Is what is decided here still the newest, and will nothing older than this round be decided?

        Danger: another may be naming a new member beside the one that goes. Of its ballot and this one the
        lower is never decided, unless this one finds it; the higher knows who goes. What one of those that
        stay has accepted they will find one day, so they all but it are asked."""
        before = self.register.decided
        with suppress(Unsettled):
            await self.register.change(lambda _: Refusal("fence"), FENCE, "fence", goes)
            return self.register.decided is before
        return False


def to_members(
    silent: dict[Member, float], learned: Candidates, leaving: Leaving
) -> Callable[[Value], Value | Refusal]:
    def make(value: Value) -> Value | Refusal:
        # Danger: who goes is asked when more than half have promised, not before: a fence then parts who
        # named others without knowing it from who knows it.
        members = next_members(value.members, silent, learned, leaving())
        if members is None:
            return Refusal("right as they are")
        return replace(value, slot=value.slot + 1, members=members)

    return make
