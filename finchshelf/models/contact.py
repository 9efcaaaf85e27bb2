"""Control planes, limiters and cuts between them, in memory: the rules of contact under every harm.

Owns virtual time, clocks that drift, what lies in buffers, and the harm. The rules are those of
`membership.contact`, a mutant may replace each; what must not be is `Stale`. It must never let a rule see
true time.
"""

from __future__ import annotations

import heapq
from collections.abc import Callable
from math import inf
from random import Random
from typing import Any

from finchshelf.membership import contact
from finchshelf.models.contact_mutants import Rules

BETWEEN, WAIT, MORE, AFTER = 0.4, 1.0, 1.0, 0.3  # s, as control planes and limiters ask
BOUND = contact.CONTROL_LEASE_S + contact.LIMITER_LEASE_S
HARMS = ["cut", "cut", "one way", "one way", "freeze", "restart", "limiter", "heal"]
HARMS_LONG = ["cut", "one way", "restart", "limiter", "limiter", "limiter", "freeze"]
HARMS_WIPE = ["cut", "cut", "one way", "wipe", "wipe", "limiter"]
Identity = tuple[str, int]  # a control plane's name, and the number of its disk


class Stale(Exception):
    """Something acted as current that more than half of the core had left behind for too long."""


class Node:
    def __init__(self, name: str, random: Random) -> None:
        self.name, self.frozen, self.life = name, False, 0
        self.rate = 1 + random.choice([-0.5, 0.5]) * contact.DRIFT
        self.origin = 1000 * random.random()
        self.later: list[Callable[[], None]] = []  # what came, and was due, while it stood still
        self.slot, self.members = 0, tuple[Identity, ...]()
        self.disk = 0  # the number of a control plane's disk: another after each wipe
        self.spoken: dict[Identity, float] = {}
        # a control plane's start, by its clock; its last contact, truly
        self.began, self.touched = self.origin, 0.0
        self.waiting: list[tuple[Any, ...]] = []
        # a limiter's: by source, when it spoke as far as is known here, its word, its slot, true time then
        self.words: dict[str, tuple[float, bool, int, float]] = {}
        self.last: dict[str, float] = {}  # and when it was in contact last, as it said
        self.answered: dict[str, int] = {}  # who answered, by what disk
        self.first, self.started, self.begun = 0.0, 0.0, False


class Model:
    def __init__(
        self,
        seed: int,
        rule: Rules,
        count: int = 5,
        limiters: int = 2,
        long: bool = False,
        wipes: bool = False,
    ) -> None:
        """`long`: cuts may last longer than `CUT_OFF_START_S`, and limiters start behind them; `wipes`: disks
        are lost, one at a time."""
        self.random, self.rule, self.time = Random(seed), rule, 0.0
        self.longest, self.harms, self.kinds = (90.0, 4.0, HARMS_LONG) if long else (20.0, 1.5, HARMS)
        if wipes:
            self.kinds = HARMS_WIPE
        names = [f"c{n}:1" for n in range(count + 1)]  # the last one is a spare
        self.nodes = {name: Node(name, self.random) for name in [*names, *(f"l{n}" for n in range(limiters))]}
        self.controls, self.limiters = names, [f"l{n}" for n in range(limiters)]
        self.agenda: list[tuple[float, int, Callable[[], None]]] = []
        self.ticks = self.events = 0
        self.blocked: dict[tuple[str, str], list[Callable[[], None]]] = {}
        self.values = [tuple((name, 0) for name in names[:-1])]  # the members, by slot
        self.decided = [0.0]  # when, by slot
        # the oldest that acted as current, s; limiters that began; of those by what was left behind
        self.oldest, self.begins, self.long_alone = 0.0, 0, 0
        for name in names:
            self.nodes[name].members = self.values[0]
            for other in names:
                if other != name:
                    self.ask(name, other, self.nodes[name].life)
        for name in self.limiters:
            self.begin(name)

    # ---- time and messages ----

    def at(self, delay: float, run: Callable[[], None]) -> None:
        self.ticks += 1
        heapq.heappush(self.agenda, (self.time + delay, self.ticks, run))

    def timer(self, node: Node, seconds: float, run: Callable[[], None]) -> None:
        """By that node's clock; while it stands still, after."""
        life = node.life

        def due() -> None:
            if node.life == life:
                (node.later.append if node.frozen else lambda one: one())(run)

        self.at(seconds / node.rate, due)

    def clock(self, node: Node) -> float:
        return node.origin + self.time * node.rate

    def send(self, near: str, far: str, run: Callable[[], None]) -> None:
        """`run` there when it comes; behind a cut it waits for the cut's end, as bytes on a connection do."""
        node = self.nodes[far]
        life = node.life

        def come() -> None:
            if (near, far) in self.blocked:
                self.blocked[near, far].append(come)
            elif node.life == life:
                (node.later.append if node.frozen else lambda one: one())(run)

        slow = self.random.random() < 0.05
        self.at(self.random.uniform(0.0003, 1.5 if slow else 0.004), come)

    # ---- control planes ----

    def ask(self, name: str, other: str, life: int) -> None:
        node = self.nodes[name]
        if node.life != life:
            return
        sent, done = self.clock(node), list[bool]()

        def heard(slot: int, held: float, disk: int) -> None:
            if done or node.life != life:
                return
            done.append(True)
            now, peer = self.clock(node), (other, disk)
            node.spoken[peer] = max(node.spoken.get(peer, -inf), min(now, self.rule.spoke(sent, held)))
            self.learn(node, slot)
            self.ask(name, other, life)

        def late() -> None:
            if not done:
                done.append(True)
                self.timer(node, AFTER * self.random.uniform(0.5, 1.5), lambda: self.ask(name, other, life))

        self.timer(node, BETWEEN + MORE, late)
        have = node.slot
        self.send(name, other, lambda: self.asked(name, other, have, None, BETWEEN, heard))

    def asked(
        self, name: str, other: str, have: int, core: bool | None, wait: float, heard: Callable[..., None]
    ) -> None:
        """A question came to `other`: answered when there is news, or its time is over."""
        node = self.nodes[other]
        if self.rule.asked_counts and core is None:
            node.spoken[name, self.nodes[name].disk] = self.clock(node)
        began, done = self.clock(node), list[bool]()

        def answer(over: bool) -> None:
            joined = self.joined(node)
            news = node.slot > have or core not in (None, joined)
            if done or not (news or over):
                return
            done.append(True)
            node.waiting = [one for one in node.waiting if one[0] is not answer]
            held = wait if not news else int(1000 * (self.clock(node) - began)) / 1000
            slot, disk = node.slot, node.disk
            if core is None:
                self.send(other, name, lambda: heard(slot, held, disk))
            else:
                at, now = self.time, self.clock(node)
                out = 0.0 if joined else self.rule.alone(self.last(node), node.began, now)
                self.send(other, name, lambda: heard(slot, held, disk, joined, at, out))

        node.waiting.append((answer,))
        answer(False)
        if not done:
            self.timer(node, wait, lambda: answer(True))

    def joined(self, node: Node) -> bool:
        return bool(self.rule.current(self.last(node), self.clock(node)))

    def last(self, node: Node) -> float:
        """Its last contact with more than half of the members that it knows of, by its clock."""
        key, spoken = self.rule.counts_as, dict[Any, float]()
        for peer, at in node.spoken.items():
            spoken[key(peer)] = max(spoken.get(key(peer), -inf), at)
        members, me = [key(one) for one in node.members], key((node.name, node.disk))
        return float(self.rule.contact(members, me, spoken, self.clock(node)))

    def learn(self, node: Node, slot: int) -> None:
        if slot > node.slot:
            node.slot, node.members = slot, self.values[slot]
            for (answer,) in [*node.waiting]:
                answer(False)

    def reaches(self, one: str, other: str) -> bool:
        return not (
            {(one, other), (other, one)} & self.blocked.keys()
            or self.nodes[one].frozen
            or self.nodes[other].frozen
        )

    def live(self, member: Identity) -> bool:
        """Is that disk still there?"""
        return self.nodes[member[0]].disk == member[1]

    def decide(self) -> None:
        """Anyone proposes; of the members that it can reach no more take it than are needed."""
        proposer = self.random.choice(self.controls)
        if self.nodes[proposer].frozen or self.nodes[proposer].slot < 0:
            return
        while True:
            node = self.nodes[proposer]
            near = [
                name
                for name, disk in node.members
                if self.live((name, disk)) and (name == proposer or self.reaches(proposer, name))
            ]
            if len(near) <= len(node.members) // 2:
                return
            newest = max(self.nodes[one].slot for one in near)
            if newest == node.slot:
                break
            self.learn(node, newest)
        members = list(node.members)
        lost = next((one for one in members if not self.live(one)), None)
        spare = next(one for one in self.controls if one not in {name for name, _ in members})
        if lost is not None and self.nodes[lost[0]].slot >= 0 and self.random.random() < 0.3:
            members[members.index(lost)] = lost[0], self.nodes[lost[0]].disk
        elif self.random.random() < 0.3 and self.reaches(proposer, spare):
            out = lost or self.random.choice(members)
            members[members.index(out)] = spare, self.nodes[spare].disk
        slot, need = node.slot + 1, len(node.members) // 2 + 1
        assert slot == len(self.values), "two values of one slot"
        self.values.append(tuple(members))
        self.decided.append(self.time)
        for one in dict.fromkeys([proposer, *self.random.sample(near, need)]):  # sets differ
            self.learn(self.nodes[one], slot)

    # ---- limiters ----

    def begin(self, name: str) -> None:
        node = self.nodes[name]
        node.life += 1
        node.slot, node.members, node.words, node.answered, node.begun = -1, (), {}, {}, False
        node.last = {}
        node.later, node.started = [], self.time
        for other in self.controls:
            self.follow(name, other, node.life)

    def follow(self, name: str, other: str, life: int) -> None:
        node = self.nodes[name]
        if node.life != life:
            return
        sent, done = self.clock(node), list[bool]()

        def heard(slot: int, held: float, disk: int, joined: bool, at: float, out: float) -> None:
            if done or node.life != life:
                return
            done.append(True)
            now = self.clock(node)
            said = min(now, self.rule.spoke(sent, held))
            node.words[other] = max(node.words.get(other, (-inf,))[0], said), joined, slot, at
            node.last[other] = max(node.last.get(other, -inf), now - out * (1 - contact.DRIFT))
            node.first = node.first if node.answered else now
            node.answered[other] = disk
            self.learn(node, slot)
            self.follow(name, other, life)

        def late() -> None:
            if not done:
                done.append(True)
                self.timer(node, 1.0, lambda: self.follow(name, other, life))

        self.timer(node, WAIT + MORE, late)
        have, core = node.slot, bool(node.words.get(other, (0, False))[1])
        self.send(name, other, lambda: self.asked(name, other, have, core, WAIT, heard))

    def left_behind(self, slot: int) -> float:
        """For how long another value has been decided."""
        return self.time - self.decided[slot + 1] if slot + 1 < len(self.decided) else 0.0

    def check(self) -> None:
        """Nothing that is told as current, or that a limiter goes by as such, was left behind for
        longer than the leases allow."""
        for name in self.controls:
            node = self.nodes[name]
            age = self.left_behind(node.slot)
            node.touched = self.time if self.joined(node) else node.touched
            if not node.frozen and age > contact.CONTROL_LEASE_S and self.joined(node):
                raise Stale(f"{name} tells of slot {node.slot}, left behind for {age:.3f} s")
        for name in self.limiters:
            node = self.nodes[name]
            if node.frozen:
                continue
            now = self.clock(node)
            for other, (said, joined, slot, at) in node.words.items():
                if joined and self.rule.believed(said, now):
                    if self.time - at > contact.LIMITER_LEASE_S:
                        raise Stale(f"{name} goes by {other}'s word of {self.time - at:.3f} s before")
                    age = self.left_behind(slot)
                    self.oldest = max(self.oldest, age)
                    if age > BOUND:
                        raise Stale(f"{name} goes by {other}'s slot {slot}, left behind for {age:.3f} s")
            told = any(joined for _, joined, _, _ in node.words.values())
            since = now - node.first
            lost = self.rule.out([(said, node.last[one]) for one, (said, *_) in node.words.items()], now)
            if (
                not node.begun
                and node.answered
                and self.rule.may_begin(*self.counted(node), told, since, lost)
            ):
                node.begun = True
                self.begins += 1
                self.begins_by_old(node)

    def counted(self, node: Node) -> tuple[list[Any], set[Any]]:
        """The members that a limiter knows of, and who answered it, as the rule counts them."""
        key = self.rule.counts_as
        return [key(one) for one in node.members], {key(one) for one in node.answered.items()}

    def begins_by_old(self, node: Node) -> None:
        """What was left behind before its start a limiter begins by only where for `ALONE` it found nobody in
        contact, or nobody whom it heard was."""
        if node.slot + 1 == len(self.decided):
            return
        age = node.started - self.decided[node.slot + 1]
        alone = self.time - min(node.started, max(self.nodes[one].touched for one in node.answered))
        self.long_alone += age > contact.CONTROL_LEASE_S
        if (
            age > contact.CONTROL_LEASE_S
            and alone < contact.CUT_OFF_START_S * (1 - 2 * contact.DRIFT) - contact.CONTROL_LEASE_S - 0.1
        ):
            raise Stale(
                f"{node.name} begins by slot {node.slot}, left behind for {age:.3f} s, "
                f"{alone:.3f} s after a contact"
            )

    # ---- harm ----

    def harm(self) -> None:
        random = self.random
        kind = random.choice(self.kinds)
        some = random.sample(self.controls, random.randint(1, len(self.controls) // 2 + 1))
        if random.random() < 0.3:
            some.append(random.choice(self.limiters))
        others = [
            one for one in self.nodes if one not in some and (one in self.controls or random.random() < 0.3)
        ]
        if kind in ("cut", "one way"):
            pairs = [(a, b) for a in some for b in others]
            pairs = pairs if random.random() < 0.5 else [(b, a) for a, b in pairs]
            pairs += [(b, a) for a, b in pairs] if kind == "cut" else []
            fresh = [pair for pair in pairs if pair not in self.blocked]
            self.blocked.update({pair: [] for pair in fresh})
            self.at(random.uniform(0.2, self.longest), lambda: self.heal(fresh))
        elif kind == "heal":
            self.heal([*self.blocked])
        elif kind == "freeze":
            node = self.nodes[random.choice([*self.nodes])]
            node.frozen = True
            self.at(random.uniform(0.1, 6.0), lambda: self.thaw(node))
        elif kind == "restart":
            node = self.nodes[random.choice(self.controls)]
            node.life, node.spoken, node.waiting, node.later = node.life + 1, {}, [], []
            node.began = self.clock(node)
            for other in self.controls:
                if other != node.name:
                    self.ask(node.name, other, node.life)
        elif kind == "wipe":
            self.wipe(random.choice(self.controls))
        else:
            self.begin(random.choice(self.limiters))

    def wipe(self, name: str) -> None:
        """A control plane comes up anew with an empty disk, if no other disk is lost and what was decided is
        on enough of the others: one loss at a time is borne."""
        node, newest = self.nodes[name], len(self.values) - 1
        members = self.values[newest]
        others = [one for one in members if self.live(one) and one[0] != name]
        holders = [one for one in others if self.nodes[one[0]].slot == newest]
        if len(others) < len(members) - 1 or len(others) - len(holders) > len(members) // 2:
            return
        node.disk, node.slot, node.members = node.disk + 1, -1, ()
        node.life, node.spoken, node.waiting, node.later = node.life + 1, {}, [], []
        node.began = self.clock(node)
        for other in self.controls:
            if other != name:
                self.ask(name, other, node.life)

    def heal(self, pairs: list[tuple[str, str]]) -> None:
        for pair in pairs:
            for come in self.blocked.pop(pair, []):
                come()

    def thaw(self, node: Node) -> None:
        """What came and what was due meanwhile is worked off in any order."""
        node.frozen = False
        later, node.later = node.later, []
        self.random.shuffle(later)
        for run in later:
            run()

    def play(self, seconds: float) -> None:
        def often(mean: float, run: Callable[[], None]) -> None:
            def once() -> None:
                run()
                often(mean, run)

            self.at(self.random.expovariate(1 / mean), once)

        often(0.5, self.decide)
        often(self.harms, self.harm)  # s between two of them, on average
        often(0.05, self.check)
        while self.agenda and self.agenda[0][0] <= seconds:
            self.time, _, run = heapq.heappop(self.agenda)
            self.events += 1
            run()
