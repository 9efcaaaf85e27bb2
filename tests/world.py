"""Helpers for the tests: settings, a counter faked in memory, a limiter with a clock that the test sets."""

from __future__ import annotations

from dataclasses import dataclass, field, replace
from typing import Any

from finchshelf.admission import interface as i
from finchshelf.admission.limiter import Limiter

SAFE = i.RequestClass(1.0, 4.0, 2.0, i.Effect.SAFE)
KEYED = i.RequestClass(1.0, 4.0, 2.0, i.Effect.KEYED, i.Scope.CELL, 2.0)
UNSAFE = i.RequestClass(1.0, 4.0, 2.0, i.Effect.UNSAFE)
RATE = i.Plan(1.0, rate=10.0, burst=20.0)
OPEN = i.Plan(1.0, open_cap=2)
CEILING = i.Plan(1.0, rate=10.0, burst=20.0, ceiling_rate=20.0, ceiling_burst=40.0, ceiling_slack=4.0)
FREE = i.Plan(1.0)
BASE = i.Settings(
    me=0,
    limiters=2,
    zone=0,
    classes=(SAFE, KEYED, UNSAFE),
    plans=(RATE, OPEN, CEILING, FREE),
    counter=True,
    counter_wait=0.03,
    max_units=4,
    settles_later=False,
    meter_period=0.0,
    ask_discovery=False,
    cancel=True,
    parallel=False,
    probes=True,
    retry_after=True,
    max_retry_after=0.5,
    max_attempts=4,
    answer_slack=0.008,
    cold_share=0.2,
    warm_up=10.0,
    fall_multiple=2.0,
    fall_span=1.0,
)


def settings(**changes: Any) -> i.Settings:
    return replace(BASE, **changes)


def server(
    name: str, state: i.ServerState = i.ServerState.READY, started: float = 0.0, cell: int = 0, zone: int = 0
) -> i.Server:
    return i.Server(name, zone, 0, cell, state, 1.0, started)


class Counter:
    """Numbers by name; `mode` makes it silent, refusing or slow to be heard."""

    def __init__(self) -> None:
        self.numbers: dict[int, float] = {}
        self.calls = 0
        self.mode = "up"

    def add(self, call: i.Count) -> i.Counted:
        self.calls += 1
        if self.mode == "refusing":
            return i.Counted(call.name, i.Status.UNREACHABLE, 0.0, 0.001)
        if self.mode == "silent":
            return i.Counted(call.name, i.Status.TIMEOUT, 0.0, 0.03)
        self.numbers[call.name] = self.numbers.get(call.name, 0.0) + call.amount
        if self.mode == "lands late":
            return i.Counted(call.name, i.Status.TIMEOUT, 0.0, 0.03)
        return i.Counted(call.name, i.Status.OK, self.numbers[call.name], 0.002)


@dataclass
class Gateway:
    """One limiter; counter calls are answered at once, attempts when the test says so."""

    counter: Counter
    config: i.Settings = BASE
    servers: tuple[i.Server, ...] = (server("a"), server("b"), server("c"), server("d"))
    now: float = 1000.0
    seed: int = 1
    log: list[i.Action] = field(default_factory=list)
    ids: int = 0

    def __post_init__(self) -> None:
        self.restart(self.now)

    def restart(self, now: float) -> None:
        self.limiter = Limiter(self.config, self.seed, now)
        self.feed(i.Members(i.ListKind.CACHED, self.servers), now)

    def feed(self, event: i.Event, now: float) -> list[i.Action]:
        """The actions that follow an event, the counter's answers included."""
        self.now = now
        done: list[i.Action] = []
        todo = self.limiter.handle(event, now)
        while todo:
            done += todo
            calls = [a for a in todo if isinstance(a, i.Count)]
            todo = [b for c in calls for b in self.limiter.handle(self.counter.add(c), now)]
        self.log += done
        return done

    def ask(
        self,
        now: float,
        plan: int = 0,
        cls: int = 0,
        customer: int = 7,
        units: int = 1,
        until: float | None = None,
        points: int = 2,
        rid: int | None = None,
    ) -> list[i.Action]:
        self.ids += 1
        self.last = rid if rid is not None else self.ids + self.seed * 1_000_000
        end = now + 4.0 if until is None else until
        return self.feed(i.Request(self.last, cls, plan, customer, end, units, points), now)

    def end(
        self,
        rid: int,
        now: float,
        status: i.Status = i.Status.OK,
        attempt: int = 0,
        name: str = "a",
        took: float = 0.1,
        true_units: int = 0,
    ) -> list[i.Action]:
        final = status is i.Status.OK
        return self.feed(i.Outcome(rid, attempt, name, status, took, final, 0, true_units), now)

    def serve(self, now: float, **kw: Any) -> bool:
        """Ask, and have the answer come in a moment; True when it was let in."""
        sent = attempts(self.ask(now, **kw))
        for act in sent:
            self.end(act.id, now, name=act.server)
        return bool(sent)


class Ceiling:
    """The customer's ceiling store, as the rule counts it."""

    def __init__(self, plan: i.Plan, now: float) -> None:
        self.plan, self.level, self.at, self.lowest = plan, plan.ceiling_burst, now, 0.0

    def take(self, units: float, now: float) -> None:
        refilled = self.level + self.plan.ceiling_rate * (now - self.at)
        self.level, self.at = min(self.plan.ceiling_burst, refilled) - units, now
        self.lowest = min(self.lowest, self.level)


def attempts(actions: list[i.Action]) -> list[i.Attempt]:
    return [a for a in actions if isinstance(a, i.Attempt)]


def counts(actions: list[i.Action]) -> list[i.Count]:
    return [a for a in actions if isinstance(a, i.Count)]


def refusals(actions: list[i.Action]) -> list[i.Refuse]:
    return [a for a in actions if isinstance(a, i.Refuse)]
