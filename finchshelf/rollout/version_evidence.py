"""Decisions on evidence for one version of a service beside the former ones: is it bad, good, or open?

Owns the tests and their error rates. Pure: counts in, a judgement out. It must never call a version good by
the requests that it did not get.

Each route is judged by itself, and all together: a version may be bad on one route alone. Counts of the last
seconds are judged beside those of the whole trial: a version may turn bad later on. What the former versions
do at the same time, through the same limiters, is what is expected of the new one.
"""

from __future__ import annotations

import math
from collections.abc import Iterator, Mapping
from dataclasses import dataclass
from enum import Enum
from operator import add
from typing import NamedTuple

from finchshelf.rollout.rates import upper

BAD_CHANCE = 1e-5  # of a test that calls a version bad which is as good as the former ones
FAILED_LEAST, SLOW_LEAST = 4, 8  # answers of each kind below which nothing is called bad
FAILED_FLOOR, SLOW_FLOOR = 0.01, 0.04  # rates that are borne whatever the former versions do
# times the rate of slow answers of the former versions that is borne: the few servers that are tried may be
# among the slower ones
SLOW_TIMES = 2.0
GOOD_CHANCE = 0.05  # of a test that calls a version good which is worse by the parts below


@dataclass(frozen=True, slots=True)
class Worse:
    """Parts of its requests by which the target would fail, or be slow, more than the former versions."""

    failed: float
    slow: float


LONGER = (
    0.15  # part of what is usual, or of what the former versions take, that a good one takes more at most
)
TIME_ERRORS = 1.6  # standard errors by which its mean must be below that
OF_ALL = Worse(0.04, 0.06)  # of the requests of all routes together
# Of one route, by its part of the service's requests: the fewer those are, the less can be told in time. A
# route with a smaller part than these is judged together with all others alone.
OF_ROUTE = ((0.05, Worse(0.10, 0.15)), (0.02, Worse(0.25, 0.30)))
RECENT_CHANCE = 0.01  # of the last seconds' counts, below which a version is not called good
CALM_LEAST = 15  # requests to the target below which nothing is said of it
USUAL = 100.0  # hundredths
ALL = "*"  # stands for all routes together


class Counts(NamedTuple):
    """Requests that ended, and those of them that failed or were slow; `times`: the sum of what they took, in
    hundredths of what is usual on their routes, and `squares`: of its squares."""

    all: int = 0
    failed: int = 0
    slow: int = 0
    times: int = 0
    squares: int = 0

    def mean(self) -> float:
        return self.times / self.all if self.all else 0.0

    def error(self) -> float:
        """The standard error of the mean."""
        variance = max(0.0, self.squares / self.all - self.mean() ** 2) if self.all else 0.0
        return math.sqrt(variance / max(1, self.all - 1))

    def plus(self, other: Counts) -> Counts:
        return Counts(*map(add, self, other))

    def since(self, earlier: Counts) -> Counts:
        """What came since; counts of limiters that ended since are missing."""
        return Counts(*(max(0, now - before) for now, before in zip(self, earlier, strict=True)))


class RouteCounts(NamedTuple):
    former: Counts = Counts()
    target: Counts = Counts()

    def plus(self, other: RouteCounts) -> RouteCounts:
        return RouteCounts(self.former.plus(other.former), self.target.plus(other.target))

    def since(self, earlier: RouteCounts) -> RouteCounts:
        return RouteCounts(self.former.since(earlier.former), self.target.since(earlier.target))


Routes = Mapping[str, RouteCounts]


class Judgement(Enum):
    BAD = "bad"
    GOOD = "good"
    OPEN = "open"


def since(now: Routes, earlier: Routes) -> dict[str, RouteCounts]:
    return {route: counts.since(earlier.get(route, RouteCounts())) for route, counts in now.items()}


def summed(routes: Routes) -> RouteCounts:
    total = RouteCounts()
    for counts in routes.values():
        total = total.plus(counts)
    return total


def judge(total: Routes, recent: Routes) -> Judgement:
    """`total`: of the whole trial; `recent`: of its last seconds."""
    expected = {**total, ALL: summed(total)}
    lately = {**recent, ALL: summed(recent)}
    if any(_is_bad(counts.target, expected[route].former) for route, counts in _each(expected, lately)):
        return Judgement.BAD
    everything = expected[ALL]
    proven = (
        _is_good(everything, OF_ALL)
        and _is_as_fast(everything)
        and all(
            worse is None or _is_good(counts, worse)
            for counts, worse in ((one, _looked_for(one, everything)) for one in total.values())
        )
    )
    return Judgement.GOOD if proven and is_calm(total, recent) else Judgement.OPEN


def is_calm(total: Routes, recent: Routes) -> bool:
    """Did the target get some requests, and do no worse with those of the last seconds on any route?"""
    expected, lately = {**total, ALL: summed(total)}, {**recent, ALL: summed(recent)}
    return expected[ALL].target.all >= CALM_LEAST and all(
        _is_calm(counts.target, expected[route].former) for route, counts in lately.items()
    )


def _each(*tables: Routes) -> Iterator[tuple[str, RouteCounts]]:
    for table in tables:
        yield from table.items()


def _rates(former: Counts) -> tuple[float, float]:
    """Rates of failed and slow answers that are expected: bounds above those of the former versions."""
    failed = upper(former.failed, former.all) if former.all else 0.0
    slow = upper(former.slow, former.all) if former.all else 0.0
    return max(FAILED_FLOOR, failed), max(SLOW_FLOOR, SLOW_TIMES * slow)


def _is_bad(seen: Counts, former: Counts) -> bool:
    failed, slow = _rates(former)
    return (seen.failed >= FAILED_LEAST and at_least(seen.failed, seen.all, failed) < BAD_CHANCE) or (
        seen.slow >= SLOW_LEAST and at_least(seen.slow, seen.all, slow) < BAD_CHANCE
    )


def _looked_for(counts: RouteCounts, everything: RouteCounts) -> Worse | None:
    """What is looked for on a route with these counts."""
    part = counts.former.all / max(1, everything.former.all)
    return next((worse for least, worse in OF_ROUTE if part >= least), None)


def _is_good(counts: RouteCounts, worse: Worse) -> bool:
    """Is it proven that the target is not worse by these parts?"""
    former, seen = counts
    failed = former.failed / max(1, former.all) + worse.failed
    slow = former.slow / max(1, former.all) + worse.slow
    return (
        at_most(seen.failed, seen.all, failed) <= GOOD_CHANCE
        and at_most(seen.slow, seen.all, slow) <= GOOD_CHANCE
    )


def _is_as_fast(counts: RouteCounts) -> bool:
    """Is it proven that the target takes no longer, by the part that is looked for?"""
    former, seen = counts
    most = former.mean() + LONGER * max(former.mean(), USUAL)
    return seen.mean() + TIME_ERRORS * seen.error() <= most


def _is_calm(seen: Counts, former: Counts) -> bool:
    failed, slow = _rates(former)
    return (
        at_least(seen.failed, seen.all, failed) >= RECENT_CHANCE
        and at_least(seen.slow, seen.all, slow) >= RECENT_CHANCE
    )


def _term(x: int, n: int, p: float) -> float:
    log = math.lgamma(n + 1) - math.lgamma(x + 1) - math.lgamma(n - x + 1)
    return math.exp(log + x * math.log(p) + (n - x) * math.log1p(-p))


def at_least(x: int, n: int, p: float) -> float:
    """The chance of `x` or more of `n` where each has the chance `p`."""
    return max(0.0, 1.0 - sum(_term(k, n, _inside(p)) for k in range(x))) if x > n * p else 1.0


def at_most(x: int, n: int, p: float) -> float:
    """The chance of `x` or fewer of `n` where each has the chance `p`."""
    return min(1.0, sum(_term(k, n, _inside(p)) for k in range(x + 1)))


def _inside(p: float) -> float:
    return min(1 - 1e-9, max(1e-9, p))
