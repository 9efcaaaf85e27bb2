"""Which versions of a service a request may go to, and how those that are tried do beside the others.

Owns the transitions that this limiter goes by, the share of requests that it gives to a version that is
tried, and its counts of how both versions' requests end. Decisions only: time and chance are handed in.

Invariant: of the requests of a service, a version that is tried gets at most `TRIED_SHARE` and `MOST_CREDIT`
more; only the first try of a request may go there. It must never let a version be used by an older state of
its transition than the newest that was told.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field
from random import Random
from typing import Any, TypeVar

from finchshelf.admission.outcome import Status
from finchshelf.agreement.transitions import Mode, Stage, Transition, Transitions
from finchshelf.membership import rendezvous
from finchshelf.membership.records import Server

TRIED_SHARE = 0.05  # of a service's requests
# s after which other servers of the version are tried: servers of one version differ, and a few of them are
# no picture of all
TURN_S = 1.0
MOST_CREDIT = 2.0  # requests that may be due at once
PATIENCE = 12  # requests that one which is due waits for the route that was tried least
SLOW = 4.0  # times what the route usually takes, from which an answer is slow
GIVEN_UP = 2.5  # times the same, from which a try that was called off is counted as slow
LEAST_USUAL_S = 0.05  # that counts as usual: a new connection takes as long as a quicker answer
MOST_TIMES = 6.0  # times the same that one answer counts for at most
# Routes of a transition that are counted by themselves, and rows told at a time: a report goes each 0.3 s,
# over links that may be thin
MOST_ROUTES, MOST_ROWS = 32, 256
OTHERS = "others"  # stands for the routes beyond those, counted together
HUNDREDTHS = 100  # times what is usual are counted in these
FAILED = frozenset((Status.ERROR, Status.TIMEOUT, Status.RESET, Status.UNREACHABLE))

T = TypeVar("T")


@dataclass(slots=True)
class Ends:
    """How requests ended: all, failed and slow ones; `times`: the sum of what they took, in hundredths of
    what is usual, and `squares`: of its squares."""

    all: int = 0
    failed: int = 0
    slow: int = 0
    times: int = 0
    squares: int = 0

    def add(self, failed: bool, times: float) -> None:
        self.all += 1
        self.failed += failed
        self.slow += times > SLOW
        hundredths = round(HUNDREDTHS * min(MOST_TIMES, times))
        self.times += hundredths
        self.squares += hundredths * hundredths


@dataclass(slots=True)
class RouteEnds:
    """Of one route since its service's transition began to be tried."""

    former: Ends = field(default_factory=Ends)
    target: Ends = field(default_factory=Ends)


class Trials:
    """Which requests of a service are tried at the target, by one limiter in one transition.

    Each request adds to the credit that a tried one takes. One that is due waits a little for the route that
    was tried least: a version may be bad on a route that few ask."""

    def __init__(self, credit: float, began: float) -> None:
        self.credit, self.began = credit, began
        self.tried: dict[str, int] = {}  # by route
        self.waited = 0

    def due(self, route: str, may: bool) -> bool:
        """Is this request of the route tried? `may`: may one of its kind be?"""
        self.credit = min(MOST_CREDIT, self.credit + TRIED_SHARE)
        if not may or self.credit < 1.0:
            return False
        count = self.tried.setdefault(route, 0)
        self.waited += 1
        if count > min(self.tried.values()) and self.waited <= PATIENCE:
            return False
        self.credit, self.waited = self.credit - 1.0, 0
        self.tried[route] = count + 1
        return True


class VersionUse:
    def __init__(self, random: Random) -> None:
        self.random = random
        self.slot = 0  # of the newest transitions that were told
        self.by_service: dict[str, Transition] = {}
        self.trials: dict[int, Trials] = {}  # by transition
        self.ends: dict[tuple[str, int], dict[str, RouteEnds]] = {}  # by service and number: of each route

    def take(self, transitions: Transitions, slot: int) -> bool:
        """Go by these, if they are newer; True if anything changed."""
        if slot <= self.slot:
            return False
        before, self.slot = self.by_service, slot
        self.by_service = {one.service: one for one in transitions}
        if self.by_service == before:
            return False
        tracked = [
            (one.service, one.number) for one in transitions if one.mode is Mode.TRACKING and one.stage
        ]
        self.ends = {key: self.ends.get(key, {}) for key in tracked}
        numbers = {number for _, number in tracked}
        self.trials = {number: one for number, one in self.trials.items() if number in numbers}
        return True

    def allows(self, record: Server) -> bool:
        """May any request go to that server?"""
        one = self.by_service.get(record.service)
        return self.slot >= record.since and (one is None or one.allows(record.version))

    def tried(self, records: Iterable[Server], service: str, now: float) -> list[Server]:
        """The servers of the target that are tried now: as few that each gets no less than it will get of all
        requests in the end."""
        one = self.by_service.get(service)
        if one is None or one.number not in self.trials:
            return []
        warm = {
            record.id: record
            for record in records
            if record.usable() and now >= record.warm_at and one.tries(record.version)
        }
        turn = int((now - self.trials[one.number].began) / TURN_S)
        most = max(1, int(TRIED_SHARE * len(warm)))
        return [warm[name] for name in rendezvous.order(f"{service} {turn}", list(warm))[:most]]

    def is_due(self, service: str, route: str, repeatable: bool, now: float) -> bool:
        """Is the next request of the route to be tried at the target? To be asked once a request."""
        one = self.by_service.get(service)
        if one is None or not one.tries(one.target):
            return False
        if one.number not in self.trials:
            # Danger: all limiters that begin at nothing would send their first at one moment.
            self.trials[one.number] = Trials(self.random.random(), now)
        return self.trials[one.number].due(route, repeatable or one.stage is Stage.ALL)

    def ended(self, record: Server, route: str, status: Status, took: float, usual: float) -> None:
        """One try ended; `usual`: s that the route's answers take."""
        one = self.by_service.get(record.service)
        found = self.ends.get((record.service, one.number)) if one is not None else None
        if one is None or found is None:
            return
        times = took / max(usual, LEAST_USUAL_S) if usual > 0 else 1.0
        if status is Status.CANCELLED:
            # Danger: a slow answer that a second server's overtook would never be counted.
            times = max(times, 1.01 * SLOW) if times > GIVEN_UP else 0.0
        if status is Status.OK or status in FAILED or times > SLOW:
            known = route in found or len(found) < MOST_ROUTES
            route_ends = found.setdefault(route if known else OTHERS, RouteEnds())
            ends = route_ends.target if record.version == one.target else route_ends.former
            ends.add(status in FAILED, times)

    def watching(self) -> bool:
        """Is a version tried, or a service moving?"""
        return bool(self.ends)

    def report(self, open_at: Iterable[Server]) -> list[Any]:
        """What control planes are told; `open_at`: the servers of all tries that are out."""
        left = sum(not self.allows(record) and record.service in self.by_service for record in open_at)
        rows = [
            [service, number, route, *_pack(ends.former), *_pack(ends.target)]
            for (service, number), routes in self.ends.items()
            for route, ends in routes.items()
        ]
        return [self.slot, left, rows[:MOST_ROWS]]


def _pack(ends: Ends) -> tuple[int, int, int, int, int]:
    return ends.all, ends.failed, ends.slow, ends.times, ends.squares
