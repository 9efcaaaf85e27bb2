"""Probes of the holders of tenants' counts: does one whose answer is late answer at all?

Owns the probes that are out and what this limiter suspects by them (`membership.suspicion`). A probe is a
question for so little that no count is changed by it, which limiters of any text answer. It must never delay
a request or decide one.
"""

from __future__ import annotations

from collections.abc import Callable, Mapping
from dataclasses import dataclass
from typing import Protocol

from finchshelf.counts.caller import LATER
from finchshelf.dataplane.questions import Questions
from finchshelf.dataplane.timers import Due
from finchshelf.membership.records import Limiter
from finchshelf.membership.suspicion import Life, Watcher
from finchshelf.transport.exchange import Log

PROBE_UNITS = 1e-6  # above 0, as a word of 0 units wants no answer


@dataclass(frozen=True, slots=True)
class Target:
    """Who is probed, and by the count of which tenant."""

    limiter: Limiter
    tenant: str


class Owner(Protocol):
    """Whoever asks: its socket for datagrams and its timers. `state`: what the limiter's questions about that
    tenant say of it to that holder."""

    wire: Questions

    def state(self, tenant: str, holder: str) -> int: ...


class Probing:
    def __init__(self, owner: Owner, timer: Callable[[float, Due, int], None], telemetry: Log) -> None:
        self.owner, self.timer, self.telemetry = owner, timer, telemetry
        self.watcher = Watcher()
        self.targets: dict[str, Target] = {}  # by node: those that left a question unanswered
        self.closed = False  # does this limiter end, and ask nothing any more?

    def late(self, limiter: Limiter, tenant: str, now: float) -> None:
        """A question of this limiter has no answer within its budget."""
        if not self.closed and self.watcher.to_probe(limiter.node):
            self.probe(Target(limiter, tenant), now)

    def probe(self, target: Target, now: float) -> None:
        limiter = target.limiter
        self.targets[limiter.node] = target
        state = self.owner.state(target.tenant, limiter.node)
        number = self.owner.wire.ask(limiter.host, target.tenant, PROBE_UNITS, state)
        self.watcher.probed(number, limiter.node, limiter.life)
        self.timer(now + LATER, Due.COUNT_ANSWER, number)
        self.telemetry.count["count.probes"] += 1

    def answer(self, number: int, source: tuple[str, int], now: float) -> None:
        """An answer came that is none to a question of a request."""
        node, _ = self.watcher.probes.get(number, ("", 0))
        target = self.targets.get(node)
        if target is not None and source == (target.limiter.host, self.owner.wire.port):
            self.answered(node, now)

    def answered(self, node: str, now: float) -> None:
        """That limiter answered a question or a probe."""
        if node in self.targets:
            self.watcher.answered(node, now)
            self.forget()

    def overdue(self, number: int, now: float) -> bool:
        """A timer's time is up; True if it was one of a probe."""
        if number not in self.watcher.probes:
            return False
        node = self.watcher.probes[number][0]
        suspect = self.watcher.unanswered(number, now)
        target = self.targets.get(node)
        if target is not None and not suspect.suspected and not self.closed:
            self.probe(target, now)
        elif suspect.suspected and suspect.since == now:
            self.telemetry.log("holder.suspected", holder=node)
        return True

    def beat(self, now: float) -> None:
        """Probe anew those that are suspected; no word of theirs would come by itself."""
        for node, suspect in self.watcher.suspects.items():
            target = self.targets.get(node)
            if target is not None and suspect.suspected and self.watcher.to_probe(node):
                self.probe(target, now)
        self.watcher.drop(now)
        self.forget()

    def listed(self, limiters: Mapping[str, Limiter], now: float) -> None:
        """The limiters on the list."""
        if self.watcher.suspects:
            self.watcher.listed({name: one.life for name, one in limiters.items()}, now)

    def report(self, now: float) -> list[Life]:
        """The lives that are suspected, for control planes."""
        return self.watcher.report(now) if self.watcher.suspects else []

    def forget(self) -> None:
        """Keep the targets that are probed or suspected alone."""
        kept = {node for node, _ in self.watcher.probes.values()} | self.watcher.suspects.keys()
        if len(kept) < len(self.targets):
            self.targets = {node: one for node, one in self.targets.items() if node in kept}
