"""Who should be a member of the core: one change at a time, a learner before a voter, a way out in order.

Owns every rule by which the members change, and when a change counts as settled. It must never do I/O, read
a clock or name two changes at once: old and new majorities could then be without a common member that is up.
"""

from __future__ import annotations

from collections.abc import Mapping
from typing import Any

from finchshelf.agreement.core import MOST_TEXT, Member, Message, Value, majority

HEARD_S = 1.0  # heard within this: several heartbeats fit, so a single lost one doesn't count
REPLACE_S = 1.5  # silent this long, with a spare at hand: longer than a restart, well before a second loss
REMOVE_S = 3.0  # silent this long, no spare, an odd number: removing costs a vote, so it waits longer
# s for which a disk takes no writes until its member is as good as silent: longer than a stall that passes
DISK_FAILED_S = 5.0
FEWEST = 3  # below three members no single loss would be survived
MOST = 9  # more members make each decision slower and survive nothing that the task has
TURN_S = 0.7  # s that each before in the order has for a change that is due: longer than between two looks

HOLDS: Message = {"kind": "holds"}  # asks a member what its disk holds; the answer waits for that
LEAVER_S = 5.0  # s for which that word counts; it is said again and again until its machine goes
MOST_LEAVERS = 64  # that are remembered: more than a core and its spares ever are


def next_members(
    current: tuple[Member, ...],
    silent: Mapping[Member, float],
    candidates: tuple[Member, ...],
    leaving: frozenset[Member] = frozenset(),
) -> tuple[Member, ...] | None:
    """The members that should follow `current`, one change away, or None if they are right as they are.

    `silent`: seconds since each disk was heard; one that isn't named was never heard. `leaving`: those that
    still vote and are about to go: they are as good as silent, and needn't be waited for.
    Danger: two changes at once could leave old and new majorities without a common member that is up.
    """

    def quiet(member: Member) -> float:
        return silent.get(member, float("inf"))

    def missed(member: Member) -> tuple[bool, float, Member]:
        return member in leaving, quiet(member), member

    if sum(quiet(member) <= HEARD_S for member in current) < majority(len(current)):
        return None  # it couldn't be decided, and an attempt would only get in the way of others
    spares = sorted(
        (
            each
            for each in candidates
            if each not in current and each not in leaving and quiet(each) <= HEARD_S
        ),
        key=lambda each: (quiet(each), each),
    )
    at = {member.address: member for member in current}
    for spare in spares:
        wiped = at.get(spare.address)
        # Danger: an older disk of this address, heard a moment ago, must not displace the one in use.
        if wiped is not None and quiet(spare) < quiet(wiped):
            return _ordered(current, wiped, spare)
    spares = [spare for spare in spares if spare.address not in at]
    quietest = max(current, key=missed)
    if spares and (quietest in leaving or quiet(quietest) > REPLACE_S):
        return _ordered(current, quietest, spares[0])
    if spares and len(current) < MOST:
        return _ordered(current, None, spares[0])
    # Danger: with one of four silent the others must all stay; of an even number it is best gone at once, for
    # one member less then lowers what more than half is. Of an odd one whoever leaves may only be restarted.
    if len(current) <= FEWEST:
        return None
    if quiet(quietest) > (REMOVE_S if len(current) % 2 else REPLACE_S):
        return _ordered(current, quietest, None)
    return _ordered(current, quietest, None) if quietest in leaving and not len(current) % 2 else None


def silence(heard_s: float, disk_failing_s: float) -> float:
    """Seconds for which a member counts as silent: nothing was heard of it, or its disk takes no writes.

    Danger: a member whose disk takes nothing counts in the number that more than half is taken of and has no
    vote. Named for good, one loss more would stop the core."""
    return max(heard_s, disk_failing_s) if disk_failing_s >= DISK_FAILED_S else heard_s


def may_go(members: tuple[Member, ...], voting: frozenset[Member]) -> frozenset[Member]:
    """The members that may be taken away now, one of them, so that the others go on deciding without it.

    `voting`: those that were asked just now and hold the newest decided value.
    Danger: whoever is silent still counts in the number that more than half is taken of. With four members of
    which one has gone, three must agree, and nobody else may go until the gone one is named no more."""
    return frozenset(member for member in members if len(voting - {member}) >= majority(len(members)))


def on_duty(me: str, voters: list[str], waited: float) -> bool:
    """Is it this one's turn, of those heard, to make a change that has been due for `waited` s?

    Danger: the first in the order may be slow, cut off one way or wait for its disk. Were the duty its alone,
    nobody would mend the members, and the next loss would stop the core. Two at once only cost ballots."""
    return me in voters and waited >= TURN_S * sorted(voters).index(me)


class Leavers:
    """Which disks said that they go, and in which life of their program; memory alone, and bounded.

    Danger: named beside a member that goes, a new one raises what more than half is. Gone the one and lost
    the other, the rest would be too few. So whoever goes tells it to those it asks what they hold."""

    def __init__(self) -> None:
        self.said: dict[Member, tuple[int, float]] = {}  # the life, and when it was said last

    def hear(self, word: Any, now: float) -> bool:
        """False if that is no such word."""
        if not isinstance(word, list | tuple) or len(word) != 3:
            return False
        address, disk, life = word
        if not (
            isinstance(address, str)
            and isinstance(disk, str)
            and len(address) + len(disk) <= MOST_TEXT
            and type(life) is int
        ):
            return False
        self.said.pop(Member(address, disk), None)
        self.said[Member(address, disk)] = life, now
        while len(self.said) > MOST_LEAVERS:
            del self.said[next(iter(self.said))]
        return True

    def going(self, lives: Mapping[str, int], now: float) -> frozenset[Member]:
        """Those that have not begun a newer life since; `lives`: the newest known, by address.

        Danger: a life is named by a wall clock that may have been put back. Were the word kept for ever, that
        member would be no candidate again."""
        return frozenset(
            member
            for member, (life, at) in self.said.items()
            if lives.get(member.address, life) <= life and now - at <= LEAVER_S
        )


def anyone_stays(
    members: tuple[Member, ...], silent: Mapping[Member, float], leaving: frozenset[Member]
) -> bool:
    """Is a member heard that doesn't go? Where all are told to end, there is nobody to wait for."""
    return any(silent.get(each, float("inf")) <= HEARD_S for each in members if each not in leaving)


def leaves(me: Member, life: int) -> Message:
    """Asks what a disk holds, and says that this one goes."""
    return {**HOLDS, "leaves": [*me, life]}


class Settling:
    """Which members of a decided value have it on disk. Settled: more than half of those that it names.

    Until then one loss more may leave nobody who knows for certain who the members are, and the core stops.
    `without`: a member that goes, whose disk must not be counted.
    Danger: those of the value before don't count, nor does another disk at a member's address."""

    def __init__(self, value: Value, without: Member | None = None) -> None:
        self.value, self.without = value, without
        self.holders: frozenset[Member] = frozenset()

    @property
    def settled(self) -> bool:
        return len(self.holders) >= majority(len(self.value.members))

    def missing(self) -> list[Member]:
        return [each for each in self.value.members if each not in self.holders and each != self.without]

    def on_reply(self, member: Member, reply: Any) -> bool:
        """Does this answer say that the member has it on disk?"""
        if not holds(member, self.value.slot, reply) or member not in self.value.members:
            return False
        if member != self.without:
            self.holders |= {member}
        return True


def holds(member: Member, slot: int, reply: Any) -> bool:
    """Does this answer prove that the disk of `member` has what was decided up to that slot? A learner that
    doesn't can't vote: its disk is full, hangs, or it has yet to hear."""
    return (
        isinstance(reply, dict)
        and reply.get("kind") == "learned"
        and type(reply.get("slot")) is int
        and reply["slot"] >= slot
        and reply.get("from") in (list(member), tuple(member))
    )


def _ordered(current: tuple[Member, ...], out: Member | None, add: Member | None) -> tuple[Member, ...]:
    kept = [member for member in current if member != out]
    return tuple(sorted(kept if add is None else [*kept, add]))
