"""A core that repairs itself in memory, step by step, and the loss that comes after any of its steps.

Owns the order of messages, what is lost, and what must still be possible afterwards. Decisions are the real
ones (`agreement.core`, `agreement.membership`); a mutant lacks one of them.
"""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import replace
from random import Random
from typing import Any

import msgpack

from finchshelf.agreement import core, membership
from finchshelf.agreement.core import Acceptor, Decided, Member, Proposer, Value, majority

MUTANTS = {
    "learner": "a new member is named though its disk takes nothing",
    "told": "settled is what was said, not what was answered; no fence",
    "old": "settled counts the members of the value before; no fence",
    "self": "who leaves counts its own disk",
    "deaf": "who leaves goes when the change is decided",
    "memory": "a member answers what it has in memory, not on disk",
    "once": "nobody asks after a change, and what the news told stays in memory",
    "stay": "who leaves stays a candidate",
    "hasty": "who leaves goes though another could still take its place",
    "mute": "nobody else knows who leaves",
    "unfenced": "who leaves goes without a round of ballots",
    "own": "who leaves counts its own promise in that round",
    "each other": "two that leave count each other's disks",
}
KINDS = ("replaced", "wiped", "leaves", "grows", "full")
TWO_LEAVE = "two leave"  # two members are told to end at one moment, with a spare for each
Steps = Iterator[None]


class Broken(Exception):
    """A loss that should have been borne, and what came of it."""


class Machine:
    def __init__(self, acceptor: Acceptor) -> None:
        self.acceptor, self.up, self.full, self.leaving = acceptor, True, False, False
        self.leavers = membership.Leavers()
        self.met = True  # has it heard of the spares?
        self.disk = msgpack.packb(acceptor.state())
        acceptor.saved(acceptor.revision)

    def save(self) -> bool:
        if not self.full:
            self.disk = msgpack.packb(self.acceptor.state())
            self.acceptor.saved(self.acceptor.revision)
        return not self.full

    def restart(self) -> None:
        self.acceptor = Acceptor.restore(self.acceptor.me.address, msgpack.unpackb(self.disk))
        self.leavers = membership.Leavers()


class Core:
    """`members` of them and a first loss of some kind; all chance comes from `seed`."""

    def __init__(self, members: int, kind: str, seed: int, mutant: str = "") -> None:
        self.random, self.mutant, self.wipes, self.n, self.steps = Random(seed), mutant, 0, 0, 0
        names = tuple(f"10.0.0.{n + 1}:1" for n in range(members))
        self.first = core.genesis(names)
        self.machines = {name: Machine(Acceptor(Member(name, core.FIRST), self.first)) for name in names}
        self.chosen: dict[int, Value] = {0: self.first}
        # what a program takes for settled; who has gone, having handed over
        self.settled: tuple[Member, ...] = self.first.members
        self.storm, self.calm = False, False  # messages are lost in bursts; none once all is healed
        self.gossip = self.random.choice((0.0, 0.01, 0.05))
        victim = self.machines[self.random.choice(names)]
        if kind in ("replaced", "grows", "leaves", "full"):
            self.blank("10.0.1.1:1").full = kind == "full"
        if kind == "replaced":
            victim.up = False
        elif kind == "wiped":
            self.wipe(victim.acceptor.me.address)
        victim.leaving = kind in ("leaves", TWO_LEAVE)
        if kind == TWO_LEAVE:
            self.blank("10.0.1.1:1")
            self.blank("10.0.1.2:1")
            second = self.random.choice([name for name in names if self.machines[name] is not victim])
            self.machines[second].leaving = True
        for machine in self.machines.values():
            machine.met = self.random.random() < 0.7
        if self.random.random() < 0.8:
            self.news(sure=True)

    def blank(self, address: str) -> Machine:
        self.wipes += 1
        self.machines[address] = Machine(Acceptor(Member(address, f"disk {self.wipes}")))
        return self.machines[address]

    def wipe(self, address: str) -> None:
        self.blank(address)

    def there(self) -> list[Machine]:
        return [one for one in self.machines.values() if one.up]

    def newest(self) -> Value:
        return self.chosen[max(self.chosen)]

    # ---- messages ----

    def passes(self, me: Machine, machine: Machine | None) -> bool:
        if self.random.random() < (0.2 if self.storm else 0.1):
            self.storm = not self.storm
        return machine is not None and machine.up and (machine is me or self.calm or not self.storm)

    def ask(self, me: Machine, member: Member, message: Any) -> Any:
        """The reply, or None; a step after the question was taken, and one after the answer was."""
        machine = self.machines.get(member.address)
        reply = None
        if self.passes(me, machine) and machine is not None:
            if "leaves" in message and self.mutant != "mute":
                machine.leavers.hear(message["leaves"], 0.0)
            reply, dirty = machine.acceptor.handle(msgpack.unpackb(msgpack.packb(message)))
            if machine.acceptor.decided is not None:
                self.choose(machine.acceptor.decided)
            if dirty and not (self.mutant == "memory" and reply["kind"] == "learned") and not machine.save():
                reply = None
        yield
        if not self.passes(me, machine):
            reply = None
        self.news()
        yield
        return None if reply is None else msgpack.unpackb(msgpack.packb(reply))

    def choose(self, value: Value) -> None:
        if self.chosen.setdefault(value.slot, value) != value:
            raise Broken(f"two values for slot {value.slot}")

    def news(self, sure: bool = False) -> None:
        """Some that are up hear what others know; it comes to the disk at some time."""
        for machine in self.there():
            machine.met = machine.met or sure or self.random.random() < self.gossip
            known = [one.acceptor.decided for one in self.there() if one.acceptor.decided is not None]
            if known and (sure or self.random.random() < self.gossip):
                machine.acceptor.learn(max(known, key=lambda value: value.slot))
            kept = machine.acceptor.decided is None or machine.acceptor.on_disk >= machine.acceptor.revision
            if (
                not kept
                and self.mutant not in ("once", "memory")
                and (sure or self.random.random() < self.gossip)
            ):
                machine.save()

    # ---- what a control plane does ----

    def next(self, me: Machine) -> tuple[Member, ...] | None:
        decided = me.acceptor.decided
        if decided is None:
            return None
        # Danger: who has gone in order is heard for a while yet.
        silent = {
            one.acceptor.me: 0.0
            for one in self.machines.values()
            if one.up or (one.leaving and not self.calm)
        }
        spares = tuple(
            one.acceptor.me
            for one in self.there()
            if (not one.leaving or self.mutant == "stay") and (me.met or one is me)
        )
        leaving = self.going(me)
        while True:
            members = membership.next_members(decided.members, silent, spares, leaving)
            new = [each for each in members or () if each not in decided.members]
            # (asked in `mend`: here only who never answers)
            refused = [each for each in new if self.machines[each.address].full and self.mutant != "learner"]
            if not refused:
                return members
            spares = tuple(each for each in spares if each not in refused)

    def going(self, me: Machine) -> frozenset[Member]:
        if me.leaving:
            me.leavers.hear([*me.acceptor.me, 1], 0.0)
        return me.leavers.going({}, 0.0)

    def mend(self, me: Machine) -> Any:
        """One round of whoever has the duty, or leaves: a change of members, and that it is settled."""
        decided, members = me.acceptor.decided, self.next(me)
        if decided is None:
            return
        if members is not None:
            for learner in members:
                if learner not in decided.members and self.mutant != "learner":
                    reply = yield from self.ask(me, learner, membership.HOLDS)
                    if not membership.holds(learner, decided.slot, reply):
                        return
            yield from self.decide(me, lambda value: self.named(me, value, members))
        if self.mutant != "once" and me.acceptor.decided is not None:
            yield from self.settle(me, decided)

    def named(self, me: Machine, value: Value, members: tuple[Member, ...]) -> Value | core.Refusal:
        """What it asked the learners for, unless it heard since that one of the members goes."""
        if self.mutant != "mute" and self.next(me) != members:
            return core.Refusal("right as they are")
        return replace(value, slot=value.slot + 1, members=members)

    def settle(self, me: Machine, before: Value) -> Any:
        value = me.acceptor.decided
        assert value is not None
        without = me.acceptor.me if me.leaving and self.mutant != "self" else None
        settling = membership.Settling(value, without)
        if self.mutant == "old" and before.members != value.members:
            settling = membership.Settling(replace(value, members=before.members))
        if me.leaving and self.mutant == "deaf" and value.members != self.first.members:
            self.settled, me.up = value.members, False
            return
        for member in self.shuffled(settling.missing()):
            question = membership.leaves(me.acceptor.me, 1) if me.leaving else membership.HOLDS
            reply = yield from self.ask(me, member, question)
            before_it = me.leaving and member < me.acceptor.me and member in self.going(me)
            if not before_it or self.mutant == "each other":
                settling.on_reply(member, reply)
            if self.mutant == "told":
                settling.holders |= {member}
            if settling.settled:
                self.settled = value.members
                if me.leaving and (self.next(me) is None or self.mutant == "hasty"):
                    unfenced = self.mutant in ("unfenced", "told", "old")
                    me.up = not (unfenced or (yield from self.fence(me)))
                return

    def fence(self, me: Machine) -> Any:
        before = me.acceptor.decided
        refused = yield from self.decide(
            me, lambda value: core.Refusal("fence"), None if self.mutant == "own" else me.acceptor.me
        )
        return refused and me.acceptor.decided is before

    def decide(self, me: Machine, change: Any, without: Member | None = None) -> Any:
        decided = me.acceptor.decided
        assert decided is not None
        self.n += 1
        proposer = Proposer(me.acceptor.me.address, decided, change, self.n)
        sends = proposer.start(without)
        while sends and proposer.outcome is None:
            follow = []
            for member, message in self.shuffled(sends):
                reply = yield from self.ask(me, member, message)
                if reply is not None and proposer.outcome is None:
                    follow += proposer.on_reply(member, reply)
            sends = follow
        if isinstance(proposer.outcome, Decided):
            self.choose(proposer.outcome.value)
            me.acceptor.learn(proposer.outcome.value)
            self.storm = self.random.random() < 0.5  # the worst moment for one
            yield
            for member, message in self.shuffled(sends):
                if member != me.acceptor.me:
                    yield from self.ask(me, member, message)
            return False
        if isinstance(proposer.outcome, core.Retry) and proposer.outcome.learned is not None:
            me.acceptor.learn(proposer.outcome.learned)
        return isinstance(proposer.outcome, core.Refused)

    def shuffled(self, each: Any) -> Any:
        return self.random.sample(list(each), len(each))

    def repair(self, rounds: int = 4) -> Steps:
        """Two at once in each round, their steps mixed; who leaves is one of them more often than not."""
        for _ in range(rounds):
            leavers = [one for one in self.there() if one.leaving]
            pair = self.shuffled(self.there())[:2]
            if leavers and self.random.random() < 0.7:
                pair = [leavers[0], *[one for one in pair if one is not leavers[0]][:1]]
            tasks = [(one, self.mend(one)) for one in pair]
            while tasks:
                task = self.random.choice(tasks)
                if not task[0].up or next(task[1], "over") == "over":
                    tasks.remove(task)
                else:
                    yield

    # ---- the second loss ----

    def must_bear(self, members: tuple[Member, ...], loss: str) -> bool:
        """Does a program say that it is settled, and are there enough to lose one?"""
        there = [
            each.address
            for each in members
            if (one := self.machines.get(each.address)) is not None and one.up and one.acceptor.me == each
        ]
        return self.settled == members and len(there) - (loss in there) >= majority(len(members))

    def planned(self, loss: str) -> bool:
        """Is the only loss until now a planned end? Then one more must be borne at any step; that of a
        first member only if it knew somebody to hand over to."""
        return all(
            one.met or one.up or loss not in {each.address for each in self.first.members}
            for one in self.machines.values()
            if one.leaving
        )

    def enough(self) -> bool:
        """Is more than half of the newest value's members there, though some have gone in order?"""
        members = self.newest().members
        there = [each for each in members if self.machines[each.address].up]
        return len([each for each in there if self.machines[each.address].acceptor.me == each]) >= majority(
            len(members)
        )

    def rests(self, over: bool) -> bool:
        """Has all been done that the first loss asked for? Then one more must be borne, whoever says what."""
        return over and self.mutant == "once" and all(self.next(one) is None for one in self.there())

    def lose(self, address: str, how: str) -> None:
        machine = self.machines[address]
        if "wiped" in how:
            self.wipe(address)
        elif "gone" in how:
            machine.up = False
        if "power" in how:
            for one in self.there():
                one.restart()
        self.calm = True

    def heal(self) -> None:
        """Whoever is left goes on in peace; Broken if it can decide nothing more."""
        for _ in range(8):
            for machine in self.there():
                machine.full = False if self.mutant != "learner" else machine.full
                for _ in self.mend(machine):
                    pass
            self.news(sure=True)
            for machine in self.there():
                if machine.acceptor.decided is None:
                    continue
                slots = len(self.chosen)
                for _ in self.decide(machine, lambda value: replace(value, slot=value.slot + 1, version=1)):
                    pass
                if len(self.chosen) > slots and self.newest().version == 1:
                    return
        raise Broken("nothing is decided any more")


def checked(one: Core, told: str) -> None:
    """Broken, and where, if those that are left can decide nothing more."""
    try:
        one.heal()
    except Broken as broken:
        raise Broken(f"{broken}: {told}") from None


HOWS = ("gone", "gone power", "wiped", "wiped power")


def harmed(
    members: int, kind: str, seed: int, mutant: str = "", always: bool = False, part: int = 0, parts: int = 1
) -> int:
    """One repair, with a loss after each of its steps in turn; how many losses were played. `always`: the
    second must be borne at any step, else only where a program says that the first is settled. `part`: of
    `parts` that share the steps out in turn."""
    played, step = 0, 0
    while True:
        targets: list[tuple[str, str] | None] = [None]
        for target in targets:
            one = Core(members, kind, seed, mutant)
            run, over = one.repair(), False
            for _ in range(step):
                if next(run, "over") == "over":
                    over = True
                    break
            if over:
                one.news(sure=True)
            if target is None:
                if step % parts == part:
                    targets += [(address, how) for address in one.machines for how in HOWS]
                if kind == TWO_LEAVE and one.enough():
                    played += 1
                    one.calm = True
                    checked(one, f"{members} members, {kind}, seed {seed}, step {step}, no loss")
                continue
            address, how = target
            # at rest every change must be settled, whoever says so
            wanted = (
                one.must_bear(one.newest().members, address)
                if kind == TWO_LEAVE
                else one.planned(address)
                if kind == "leaves"
                else (always or one.must_bear(one.newest().members, address) or one.rests(over))
            )
            if not wanted or not one.machines[address].up:
                continue
            played += 1
            one.lose(address, how)
            checked(one, f"{members} members, {kind}, seed {seed}, step {step}, {address} {how}")
        if over:
            return played
        step += 1
