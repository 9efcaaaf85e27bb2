"""New versions, good and bad, brought in by the real decisions: limiters' shares, evidence and the plan.

Owns the requests, how servers of each version answer them, and when news and reports arrive. It must never
tell the decisions what a version is. It can't see servers that are lost, limiters that are cut off or a core
that is unsettled: the fleet in memory has those.
"""

from __future__ import annotations

import math
from collections.abc import Callable
from dataclasses import astuple, dataclass, replace
from heapq import heappop, heappush
from random import Random

from finchshelf.admission.outcome import Status
from finchshelf.agreement.transitions import Mode, Stage, Transition
from finchshelf.dataplane.versions import VersionUse
from finchshelf.membership.records import Server
from finchshelf.rollout import version_evidence, version_plan
from finchshelf.rollout.version_evidence import Counts, RouteCounts, Routes
from finchshelf.rollout.version_plan import Standing

EXPOSED_PART, EXPOSED_SLACK = 0.1, 50  # of the requests from the order to its term, as operators bound them
NEWS_S = 0.3  # until a step is known to all limiters, and until what they saw is known to the driver
LOOK_S, LOOK_MOVING_S = 0.5, 0.25
RECENT_S = 2.0
SPEEDS = (0.7, 1.0, 1.0, 1.5)  # times of the servers of one service, as multiples
SPREAD = 0.6  # of the logarithm of a request's time
FORMER_FAILED = 0.002
KINDS = ("errors", "slow", "one_route", "late", "once_moved")


@dataclass(frozen=True, slots=True)
class Route:
    name: str
    per_s: float
    repeatable: bool
    usual_s: float


ROUTES = (
    Route("status", 120.0, True, 0.16),
    Route("trigger", 35.0, False, 0.21),
    Route("fetch", 15.0, True, 0.06),
)


@dataclass(frozen=True, slots=True)
class Version:
    """`kind`: one of `KINDS`, or empty for a good one; `share` of its answers is bad; `times`: how much
    longer a slow one takes; `route`: the one that is bad; `from_s`: when a late one turns bad."""

    kind: str = ""
    share: float = 0.0
    times: float = 1.0
    route: str = ""
    from_s: float = 0.0

    def is_bad(self, route: str, at_s: float, moved: bool, random: Random) -> bool:
        strikes = {
            "": False,
            "errors": True,
            "slow": True,
            "one_route": route == self.route,
            "late": at_s >= self.from_s,
            "once_moved": moved,
        }
        return strikes[self.kind] and random.random() < self.share


def drawn(kind: str, random: Random) -> Version:
    """A version of that kind, within the range that operators met."""
    share = random.choice((0.15, 0.3, 0.5, 0.9))
    times = random.choice((3.0, 8.0)) if kind == "slow" else 1.0
    route, from_s = random.choice(ROUTES).name, random.choice((2.2, 3.0, 7.0))
    return Version(kind, share, times, route, from_s) if kind else Version()


@dataclass(frozen=True, slots=True)
class Outcome:
    version: Version
    horizon_s: float
    mode: Mode
    ended_s: float
    exposed: int  # requests that the target got until the term
    arrived: int  # requests of the service until the term

    @property
    def over(self) -> bool:
        """Did the target get more than operators bound?"""
        return self.exposed > EXPOSED_PART * self.arrived + EXPOSED_SLACK

    @property
    def late(self) -> bool:
        return self.mode is Mode.TRACKING or self.ended_s > self.horizon_s


class Day:
    """One version, by its seed."""

    def __init__(
        self,
        version: Version,
        seed: int,
        limiters: int = 20,
        servers: int = 28,
        horizon_s: float = 14.0,
        load: float = 1.0,
    ) -> None:
        """`load`: times the requests of `ROUTES`."""
        self.version, self.random, self.horizon_s = version, Random(seed), horizon_s
        self.load = load
        self.now = 0.0
        self.events: list[tuple[float, int, Callable[[], None]]] = []
        self.number = 0
        self.state = Transition("service", "v2", round(horizon_s * 1000), 1, former=("v1",))
        self.slot, self.ended_s = 1, math.inf
        self.stage_at = 0.0
        self.uses = [VersionUse(Random(self.random.random())) for _ in range(limiters)]
        self.servers = {
            version: [
                Server(f"{version}-{n}", "10.0.0.1:80", "service", "z", 4, version=version)
                for n in range(servers)
            ]
            for version in ("v1", "v2")
        }
        self.speeds = {
            record.id: self.random.choice(SPEEDS) for records in self.servers.values() for record in records
        }
        self.past: list[tuple[float, Routes]] = []
        self.exposed = self.arrived = 0

    def at(self, after_s: float, step: Callable[[], None]) -> None:
        self.number += 1
        heappush(self.events, (self.now + after_s, self.number, step))

    def play(self) -> Outcome:
        self.told()
        for route in ROUTES:
            self.arrive(route)
        self.at(LOOK_S, self.look)
        while self.events and self.events[0][0] < self.horizon_s:
            self.now, _, step = heappop(self.events)
            step()
        return Outcome(
            self.version, self.horizon_s, self.state.mode, self.ended_s, self.exposed, self.arrived
        )

    # ---- requests ----

    def arrive(self, route: Route) -> None:
        self.at(self.random.expovariate(self.load * route.per_s), lambda: self.request(route))

    def request(self, route: Route) -> None:
        self.arrive(route)
        self.arrived += 1
        use = self.random.choice(self.uses)
        record: Server | None = None
        if use.is_due("service", route.name, route.repeatable, self.now):
            record = self.random.choice(use.tried(self.servers["v2"], "service", self.now))
        if record is None:
            allowed = [one for records in self.servers.values() for one in records if use.allows(one)]
            record = self.random.choice(allowed)
        target = record.version == "v2"
        self.exposed += target
        moved = use.by_service["service"].allows("v2")
        bad = target and self.version.is_bad(route.name, self.now, moved, self.random)
        took = route.usual_s * self.speeds[record.id] * self.random.lognormvariate(0.0, SPREAD)
        failed = (bad and self.version.kind != "slow") or self.random.random() < FORMER_FAILED
        took *= self.version.times if bad else 1.0
        status = Status.ERROR if failed else Status.OK
        usual = route.usual_s * math.exp(SPREAD**2 / 2)
        self.at(took, lambda: use.ended(record, route.name, status, took, usual))

    # ---- the driver ----

    def look(self) -> None:
        totals = self.totals()
        self.past = [(at, one) for at, one in self.past if self.now - at <= RECENT_S + LOOK_S]
        recent = version_evidence.since(totals, self.past[0][1] if self.past else totals)
        self.past.append((self.now, totals))
        stage_s = self.now - self.stage_at
        step = version_plan.next_step(
            Standing(
                self.horizon_s,
                self.now,
                self.state.stage,
                stage_s,
                True,
                stage_s > 2 * NEWS_S,
                version_evidence.judge(totals, recent),
                version_evidence.is_calm(totals, recent),
            )
        )
        if step is not None:
            self.take(step)
        if self.state.mode is Mode.TRACKING:
            self.at(LOOK_MOVING_S if self.state.stage is Stage.MOVING else LOOK_S, self.look)

    def take(self, step: Stage | Mode) -> None:
        if isinstance(step, Mode):
            self.state, self.ended_s = replace(self.state, mode=step), self.now
        else:
            self.state, self.stage_at = replace(self.state, stage=step), self.now
        self.slot += 1
        self.at(NEWS_S, self.told)

    def told(self) -> None:
        for use in self.uses:
            use.take((self.state,), self.slot)

    def totals(self) -> Routes:
        found: dict[str, RouteCounts] = {}
        for use in self.uses:
            for route, ends in use.ends.get(("service", 1), {}).items():
                counts = RouteCounts(Counts(*astuple(ends.former)), Counts(*astuple(ends.target)))
                found[route] = found.get(route, RouteCounts()).plus(counts)
        return found
