"""Limiters that count for each other, in memory: virtual time, seeded, the real decisions of `counts`.

Owns the harm (datagrams lost, late, cut one way or both; limiters killed and cut off; lists that lag and
differ) and the record of what was let in. It must never decide what is let in.
"""

from __future__ import annotations

import heapq
from collections.abc import Callable, Iterable
from dataclasses import dataclass
from itertools import accumulate
from math import inf
from random import Random

from finchshelf.configuration.document import Tenant
from finchshelf.counts.caller import BEAT, LATER, Caller
from finchshelf.counts.ends import Ends, Row
from finchshelf.counts.holder import AWAY, NEAR, Holder
from finchshelf.membership import rendezvous
from finchshelf.membership.suspicion import Suspicions, Watcher, confirmed

WINDOW, OVERSHOOT, SLACK = 5.0, 0.1, 20.0  # of the rule (QUOTA)
UNLISTED, CLOSED = 2.6, 0.7  # s until a limiter that is cut off, or killed, is off the list
POLL = 0.25  # s between two looks at the list
PROBE_UNITS = 1e-6
REPORT_S = 1.0  # s between two words of a limiter on those that it suspects


@dataclass(frozen=True)
class Plan:
    """A site, and the guards that a mutant drops."""

    limiters: int = 12
    rate: float = 60.0
    hot: float = 10.0  # times its rate that the tenant asks
    skew: float = 1.0  # 0: each limiter gets the same
    loss: float = 0.005
    late: float = 0.0  # share of datagrams that take 30 ms
    lag: float = 3.0
    until: float = 16.0
    mutant: str = ""


class Node:
    def __init__(self, name: str, now: float, life: int) -> None:
        self.caller, self.holder, self.ends, self.life = Caller(name, now), Holder(), Ends(), life
        self.watcher, self.reports_at = Watcher(), now
        self.began = now
        self.asked: dict[int, str] = {}
        self.overdue: set[int] = set()


class Fleet:
    """One tenant, whose holder by the whole list is `first`."""

    def __init__(self, plan: Plan, seed: int) -> None:
        self.plan, self.rng, self.now = plan, Random(seed), 0.0
        self.names = [f"n{i}" for i in range(plan.limiters)]
        self.tenant = Tenant("t", (), 1, plan.rate, plan.rate)
        self.events: list[tuple[float, int, Callable[[], None]]] = []
        self.steps = self.words = 0
        self.cut: set[tuple[str, str]] = set()  # datagrams from the one to the other are lost
        self.alone: dict[str, float] = {}  # cut off from control planes: since
        self.dead: dict[str, float] = {}
        self.lives = dict.fromkeys(self.names, 1)
        self.lists: list[tuple[float, dict[str, Row]]] = [(-100.0, self.rows(self.names))]
        self.force: tuple[str, ...] | None = None
        self.suspicions = Suspicions()
        self.lags: dict[tuple[str, float], float] = {}
        self.hot = plan.hot
        self.limited = () if plan.mutant == "unheard" else ("t",)
        self.let: list[float] = []
        self.came: list[float] = []
        self.weights = [1 + plan.skew * (self.rng.paretovariate(1.2) - 1) for _ in self.names]
        self.nodes: dict[str, Node] = {}
        for name in self.names:
            self.start(name)
            self.nodes[name].caller.settled = -100.0
            self.at(self.rng.random() * BEAT, self.beating(name))
        self.first = self.nodes["n0"].caller.holder("t")
        self.others = [name for name in self.names if name != self.first]
        self.at(0.0, self.polling)
        self.at(0.0, self.arriving)

    # ---- time ----

    def at(self, when: float, what: Callable[[], None]) -> None:
        self.steps += 1
        heapq.heappush(self.events, (when, self.steps, what))

    def play(self) -> Fleet:
        while self.events and self.events[0][0] < self.plan.until:
            self.now, _, what = heapq.heappop(self.events)
            what()
        return self

    # ---- harm ----

    def start(self, name: str) -> None:
        self.dead.pop(name, None)
        node = self.nodes[name] = Node(name, self.now, self.lives[name])
        made, rows = self.lists[-1]
        self.told(node, rows, made)

    def rows(self, names: Iterable[str]) -> dict[str, Row]:
        return {name: (name, self.lives[name]) for name in names}

    def told(self, node: Node, rows: dict[str, Row], made: float) -> None:
        node.ends.listed(rows, node.caller.known.keys() | rows.keys())
        node.caller.listed([*rows], self.now, node.ends.names())
        node.watcher.listed({name: life for name, (_, life) in rows.items()}, self.now)
        node.caller.on_list(made < node.began or node.caller.me in rows, self.now)

    def kill(self, name: str, when: float, down: float) -> None:
        self.at(when, lambda: self.dead.update({name: self.now}))
        self.at(when + down, lambda: self.again(name))

    def again(self, name: str) -> None:
        self.lives[name] += 1
        self.start(name)

    def leave(self, name: str, when: float, down: float = inf, slow: float = 0.0) -> None:
        """It ends in order, and says so, twice; the second word takes `slow` s more on its way."""

        def end() -> None:
            node = self.nodes[name]
            if name in self.dead or node.caller.closed:
                return
            to, total = self.next_holder(node)
            for copy in range(2 if self.plan.mutant != "unsaid" else 0):
                for other, used in node.caller.close(self.now).items():
                    self.words += 1
                    self.send(
                        name,
                        other,
                        lambda to, used=used: self.ended(to, name, node.life, used),  # type: ignore
                        slow * copy,
                    )
                if to is not None:
                    self.send(name, to, lambda new: self.handed(new, name, node.life, total), slow * copy)
            if self.plan.mutant == "goes on":
                node.caller.closed = False
                self.at(self.now + 6, lambda: self.dead.update({name: self.now}))
            else:
                self.dead[name] = self.now

        self.at(when, end)
        if down < inf:
            self.at(when + down, lambda: self.again(name))

    def next_holder(self, node: Node) -> tuple[str | None, float]:
        """Who holds the count after a holder that ends, and what its window has; None: it isn't handed on."""
        name = node.caller.me
        totals = node.holder.hand(self.now) if name not in self.alone else {}
        if node.caller.holder("t") != name or "t" not in totals or self.plan.mutant == "unhanded":
            return None, 0.0
        others = [one for one in node.caller.limiters if one != name]
        return rendezvous.first("t", others), totals["t"]

    def handed(self, to: Node, who: str, life: int, total: float) -> None:
        if to.ends.over.get(who) == life and to.caller.holder("t") == to.caller.me:
            rate, burst, sole = self.tenant.rate, self.tenant.surge, to.caller.sole("t")
            to.holder.handed("t", total, rate, burst, self.now, sole)
            if self.plan.mutant == "handed again and again":
                to.holder.counts["t"].assumed = burst
            if self.plan.mutant == "handed for what was granted":
                to.holder.counts["t"].total = total

    def ended(self, to: Node, who: str, life: int, used: dict[str, float]) -> None:
        if self.plan.mutant == "former":
            to.ends.lives[who] = life
            to.ends.over.pop(who, None)
        if to.ends.end(who, life):
            used = {} if self.plan.mutant == "untold" else used
            to.holder.end(who, used, to.caller.there(), self.now)
            to.caller.ended(to.ends.names(), self.now)

    def apart(self, some: Iterable[str], when: float, span: float) -> None:
        """These are cut off from all others and from the control planes."""
        names = set(some)
        pairs = {(a, b) for a in self.names for b in self.names if (a in names) != (b in names)}

        def begin() -> None:
            self.cut |= pairs
            self.alone.update(dict.fromkeys(names, self.now))

        def end() -> None:
            self.cut -= pairs
            for name in names:
                self.alone.pop(name, None)

        self.at(when, begin)
        self.at(when + span, end)

    def mute(self, name: str, when: float, span: float) -> None:
        """Questions come to it, its answers are lost."""
        self.lose([(name, b) for b in self.names], when, span)

    def lose(self, pairs: Iterable[tuple[str, str]], when: float, span: float) -> None:
        """Datagrams from the one to the other of each pair are lost."""
        pairs = {*pairs}
        self.at(when, lambda: self.cut.update(pairs))
        self.at(when + span, lambda: self.cut.difference_update(pairs))

    def listed(self, names: tuple[str, ...] | None, when: float) -> None:
        """The control planes list these, whatever runs; None: those that run."""
        self.at(when, lambda: setattr(self, "force", names))

    def press(self, hot: float, when: float) -> None:
        """From now on the tenant asks so many times its rate."""
        self.at(when, lambda: setattr(self, "hot", hot))

    def settle(self, when: float) -> None:
        """All limiters start at the same moment."""
        for name in self.names:
            self.nodes[name].caller.settled = when

    def lower(self, rate: float, when: float) -> None:
        self.at(when, lambda: setattr(self, "tenant", Tenant("t", (), 1, rate, rate)))

    # ---- control planes ----

    def polling(self) -> None:
        there = self.force or tuple(
            name
            for name in self.names
            if self.now - self.dead.get(name, inf) < CLOSED or name not in self.dead
            if self.now - self.alone.get(name, inf) < UNLISTED or name not in self.alone
        )
        suspected = self.suspected(there)
        there = tuple(name for name in there if name not in suspected)
        if self.rows(there) != self.lists[-1][1]:
            self.lists.append((self.now, self.rows(there)))
        for name, node in self.nodes.items():
            if name in self.dead or name in self.alone:
                continue
            for since, rows in reversed(self.lists):
                lag = self.lags.setdefault((name, since), self.rng.random() * self.plan.lag)
                if since + lag <= self.now:
                    self.told(node, rows, since)
                    break
        self.at(self.now + POLL, self.polling)

    def suspected(self, there: tuple[str, ...]) -> set[str]:
        """The limiters that control planes leave off the list since others suspect them."""
        for name, node in self.nodes.items():
            if name in self.dead or name in self.alone:
                continue
            if self.now >= node.reports_at:
                node.reports_at = self.now + REPORT_S
                self.suspicions.report(name, tuple(node.watcher.report(self.now)), self.now)
        self.suspicions.renew(self.now)
        lives = [(name, self.lives[name]) for name in there]
        return {name for name, _ in confirmed([self.suspicions.told], lives)}

    # ---- datagrams ----

    def send(self, a: str, b: str, what: Callable[[Node], None], slow: float = 0.0) -> None:
        if (a, b) in self.cut or self.rng.random() < self.plan.loss:
            return
        takes = 0.015 if self.rng.random() < self.plan.late else 0.0005 + 0.003 * self.rng.random()

        def come() -> None:
            if b not in self.dead:
                what(self.nodes[b])

        self.at(self.now + takes + slow, come)

    def beating(self, name: str) -> Callable[[], None]:
        def beat() -> None:
            node = self.nodes[name]
            if name not in self.dead and self.plan.mutant != "silent" and not node.caller.closed:
                for suspect in [*node.watcher.suspects]:
                    self.probe(name, node, suspect)
                for holder, _, state in node.caller.beats(self.now, self.limited):
                    if holder == name:
                        self.add(node, name, state, 0.0)
                    else:
                        self.send(name, holder, lambda to, s=state: self.heard(to, name, node.life, s))  # type: ignore
            self.at(self.now + self.nodes[name].caller.pace(), beat)

        return beat

    def heard(self, to: Node, who: str, life: int, state: int) -> None:
        if not to.caller.left_off and to.ends.hear(who, life):
            self.add(to, who, state, 0.0)

    # ---- requests: the steps of the data plane's core ----

    def arriving(self) -> None:
        weights = list(
            accumulate(
                0.0 if name in self.dead else weight
                for name, weight in zip(self.names, self.weights, strict=True)
            )
        )
        if weights[-1] > 0:
            self.came.append(self.now)
            self.arrived(self.rng.choices(self.names, cum_weights=weights)[0])
        self.at(self.now + self.rng.expovariate(self.plan.rate * self.hot), self.arriving)

    def arrived(self, name: str) -> None:
        node, number = self.nodes[name], self.steps
        holder = node.caller.ask("t", self.now)
        if holder is None:
            return self.local(node)
        if holder == name:
            return (
                self.local(node)
                if node.caller.left_off
                else self.decide(node, self.add(node, name, NEAR, 1.0))
            )
        state, sent = node.caller.state(holder), self.now
        node.asked[number] = holder
        self.at(self.now + node.caller.budget(), lambda: self.late(name, node, number))

        def told(fits: bool) -> None:
            node.watcher.answered(holder, self.now)
            if node.asked.pop(number, None) is not None:
                node.caller.answered(holder, self.now - sent, self.now)
                self.decide(node, fits)
            elif number in node.overdue and fits:
                node.caller.credit(self.tenant, 1.0, self.now)

        def question(to: Node) -> None:
            if to.caller.left_off or not to.ends.hear(name, node.life):
                return
            fits = self.add(to, name, state, 1.0)
            self.send(holder, name, lambda back: told(fits) if back is node else None)

        self.send(name, holder, question)

    def add(self, to: Node, who: str, state: int, units: float) -> bool:
        tenant, sole, limiters = self.tenant, to.caller.sole("t"), to.caller.there()
        left = to.caller.left() if self.plan.mutant != "left" else 0
        if self.plan.mutant == "fresh":
            sole = -inf
        if self.plan.mutant == "whole" and state == AWAY:
            state = NEAR
        fits = to.holder.add(
            "t", units, tenant.rate, tenant.surge, self.now, who, state, sole, limiters, left
        )
        if self.plan.mutant == "whole":
            to.holder.counts["t"].part = 1.0
        return fits

    def late(self, name: str, node: Node, number: int) -> None:
        holder = node.asked.pop(number, None)
        if holder is not None and self.nodes[name] is node and name not in self.dead:
            node.overdue.add(number)
            node.caller.failed(holder, self.now)
            self.probe(name, node, holder)
            self.local(node)

    def probe(self, name: str, node: Node, holder: str) -> None:
        """Ask a holder for next to nothing, to see whether it answers at all."""
        if not node.watcher.to_probe(holder):
            return
        self.steps += 1
        number = self.steps
        # Danger: in touch with two holders at once, both would grant its part of the rate.
        state = node.caller.state(holder) if node.caller.holder("t") == holder else AWAY
        node.watcher.probed(number, holder, self.lives[holder])

        def question(to: Node) -> None:
            if to.ends.hear(name, node.life):
                if not to.caller.left_off:
                    self.add(to, name, state, PROBE_UNITS)
                self.send(holder, name, lambda back: back.watcher.answered(holder, self.now))

        def overdue() -> None:
            if number not in node.watcher.probes or self.nodes[name] is not node:
                return
            if not node.watcher.unanswered(number, self.now).suspected:
                self.probe(name, node, holder)

        self.send(name, holder, question)
        self.at(self.now + LATER, overdue)

    def decide(self, node: Node, fits: bool) -> None:
        if node.caller.closed:
            return
        if fits:
            if self.plan.mutant != "uncharged":
                node.caller.counted(self.tenant, 1.0, self.now)
            else:
                node.caller.bucket(self.tenant, self.now)
            self.let.append(self.now)
        elif self.plan.mutant not in ("saved", "uncharged"):
            node.caller.refused(self.tenant, self.now)

    def local(self, node: Node) -> None:
        if node.caller.local(self.tenant, 1.0, self.now):
            self.let.append(self.now)

    # ---- what came of it ----

    def worst(self, after: float = 0.0) -> float:
        """The most let in within a window, over what is allowed; above 1 breaks the rule."""
        most, first = 0, 0
        times = [each for each in self.let if each >= after]
        for last, at in enumerate(times):
            while times[first] < at - WINDOW:
                first += 1
            most = max(most, last - first + 1)
        tenant = self.tenant
        return most / ((tenant.rate * WINDOW + tenant.surge) * (1 + OVERSHOOT) + SLACK)

    def served(self, since: float = 0.0, until: float = inf) -> float:
        """Let in, over what one bucket for all would have let in."""
        level, at, room = self.tenant.surge, 0.0, 0
        for each in self.came:
            level = min(self.tenant.surge, level + self.tenant.rate * (each - at))
            at = each
            if level >= 1:
                level -= 1
                room += since <= each < until
        return sum(since <= each < until for each in self.let) / max(1, room)
