"""What must hold in each state that agreement can come to, and the search through them.

Owns the rules, by their words, and the order of the search. It must never look at a state in another way than
its readers and its disks could.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, replace
from itertools import combinations

from finchshelf.agreement import core
from finchshelf.models.agreement_records import (
    ADDRESSES,
    AT,
    DONE,
    REFUSED,
    Acc,
    Bounds,
    Broken,
    State,
    put,
)
from finchshelf.models.agreement_states import Model

SUPERSEDED = "a change was made or refused on a value that was superseded before it was asked"
TWO, LOST, STUCK = (
    "two values decided for one slot",
    "a decided value is lost",
    "nothing can be decided any more",
)
OUT, BACK = "an acknowledged change is not in force", "a refused change is in force"
BOTH = "a change was refused and acknowledged"
STALE = "a superseded value is read as fresh"
UNAWARE = "a member that voted answers a read as if it had not"


class Checked(Model):
    def check(self, now: State) -> None:
        chosen = self.chosen(now)
        newest = dict(enumerate(now.known))
        for slot, value in chosen.items():
            if newest.setdefault(slot, value) != value:
                self.broken(TWO)
        self.check_fates(now, newest)
        for slot, value in enumerate(now.known):
            if slot + 1 in newest:
                self.check_reads(now, value)
        accs = now.accs if now.stopped is None else put(now.accs, *now.stopped)
        key = (accs, tuple(newest.items()))
        if key not in self.memo:
            self.check_found(accs, newest)
            self.memo[key] = True

    def check_fates(self, now: State, newest: dict[int, int]) -> None:
        decided = {self.values[each].document for each in newest.values()}
        for name, fate in zip(self.names, now.fates, strict=True):
            if fate == REFUSED and name.encode() in decided:
                self.broken(BACK)
            if fate == DONE and self.values[now.known[-1]].document != name.encode():
                self.broken(OUT)

    def check_reads(self, now: State, value: int) -> None:
        """This value is superseded: no read that begins now may call it fresh, whenever its answers come.

        All answers of now at once; and none who voted for the next one may answer, ever, as if it hadn't.
        """
        key = (now.accs, value)
        if key not in self.memo:
            self.memo[key] = self.unaware(now.accs, self.values[value])
        newest = (*now.known, *self.chosen(now).values())
        for one in now.attempts:
            if (
                one.base == value
                and one.value in newest
                and any(self.members(one)[place] in self.memo[key] for place, _ in one.votes)
            ):
                self.broken(UNAWARE)

    def unaware(self, accs: tuple[Acc, ...], decided: core.Value) -> frozenset[core.Member]:
        """Members whose answer to a read now tells of nothing later."""
        states: dict[core.Member, core.Message] = {}
        for member in decided.members:
            at = AT[member.address]
            _, reply, _ = self.answer(at, accs[at], True, ("read",))
            if "accepted unread" in self.lacks:
                reply = {**reply, "accepted": False}
            if core.fresh(replace(decided, members=(member,)), {member: reply}):
                states[member] = reply
        if core.fresh(decided, states) or ("one read" in self.lacks and states):
            self.broken(STALE)
        return frozenset(states)

    def check_found(self, accs: tuple[Acc, ...], newest: dict[int, int]) -> None:
        """Whatever disks are left find what is decided: each majority of them, after a loss of all memory."""
        top = max(acc.slot for acc in accs)
        last = self.values[newest[top]]
        left = [
            acc
            for member in last.members
            for at, acc in enumerate(accs)
            if member == core.Member(ADDRESSES[at], acc.disk)
        ]
        if len(left) < core.majority(len(last.members)):
            self.broken(STUCK)
        if max(newest) > top + 1:
            self.broken(LOST)
            return
        for some in combinations(left, core.majority(len(last.members))):
            held = [acc.accepted for acc in some if acc.accepted and acc.slot == top]
            if top + 1 in newest and (not held or max(held)[1] != newest[top + 1]):
                self.broken(LOST)


@dataclass(frozen=True)
class Found:
    states: int
    depth: int  # to which all states were seen, if breadth first
    ended: bool  # whether these are all there are
    broken: str = ""
    path: int = 0  # steps to what is broken


def explore(
    bounds: Bounds,
    lacks: frozenset[str] = frozenset(),
    limit: int = 1_000_000,
    depth: int = 1000,
    deep: bool = False,
    only: str = "",
    model: Checked | None = None,
) -> Found:
    """Breadth first; `deep`: depth first, which may meet a broken state sooner and tells no least depth.

    States are kept as 64-bit hashes: among ten million, two are taken for one with a chance of 1 in 300,000.
    """
    model = model or Checked(bounds, lacks, only)
    first = model.first()
    seen, todo, full = {hash(first)}, deque([(0, first)]), 0
    while todo:
        at, now = todo.pop() if deep else todo.popleft()
        if at >= depth or len(seen) >= limit:
            return Found(len(seen), at, False)
        full = max(full, at)
        try:
            for new in model.next(now):
                key = hash(new)
                if key not in seen:
                    seen.add(key)
                    model.check(new)
                    todo.append((at + 1, new))
        except Broken as broken:
            return Found(len(seen), at, False, str(broken), at + 1)
    return Found(len(seen), full, True)


MEMBER, B = (1,), Bounds  # the member that proposes nothing
MUTANTS: list[tuple[tuple[str, ...], Bounds, str, bool]] = [  # lacking, harm, the rule broken, depth first
    (("early",), B(restarts=1, harmed=MEMBER), LOST, False),
    (("early",), B(restarts=1, harmed=MEMBER), UNAWARE, False),
    (("repeat",), B(restarts=1, harmed=MEMBER), LOST, False),
    (("wiped",), B(wipes=1, harmed=MEMBER), STALE, False),
    (("stranger", "unnamed"), B(wipes=1, harmed=MEMBER), SUPERSEDED, False),
    (("hasty", "unnamed", "behind"), B(swaps=1), TWO, True),
    (("behind",), B(swaps=1), STALE, True),
    (("forgetful",), B(), SUPERSEDED, False),
    (("forgetful",), B(), TWO, True),
    (("lowest",), B(starts=3), LOST, True),
    (("equal",), B(swaps=1, restarts=1, harmed=(0,), proposers=("a:1",)), TWO, True),
    (("lower",), B(), LOST, True),
    (("minority",), B(), OUT, True),
    (("one read",), B(), STALE, False),
    (("accepted unread",), B(), STALE, False),
    (("given up",), B(), BACK, False),
    (("given up",), B(resent=True), BOTH, False),
    (("twice",), B(starts=1, swaps=1, wipes=2, spare=False), STUCK, False),
    (("unsettled",), B(starts=1, swaps=1, wipes=2, spare=False), STUCK, False),
]
