"""Decisions on evidence: has a kind of harm grown at a site that changed, has it certainly not, or wait.

Owns the tests and their error rates. It must never take one site's trouble for the policy's, a bad hour of
all for one site's, or too few requests for proof. Pure: numbers in, a verdict out.

Each interval brings `x` harmed of `n` requests, and what would be expected at this site without the change:
its own past, plus what grew meanwhile beside it (median over sites that have not changed: the difference
in differences). Two tests run side by side, either may be looked at after every interval:

- HALT, null: harm is at most expected + half of what is tolerated. For each of a few larger rates the
  likelihood ratio of the interval, an e-value, multiplies a level that never falls below 1 (an e-detector).
  By Ville's inequality for each start, P(mean level of an interval >= 1/HALT) <= HALT * intervals so far.
- PASS, null: harm is at least expected + what is tolerated. One likelihood ratio over the whole watch;
  P(ever >= 1/PASS) <= PASS.

Each interval's ratio is cut at CAP: still an e-value, and no burst of an instant decides alone. What the past
does not know exactly is borne by taking its bound at `rates.STANDARD_ERRORS`: towards not halting in the
first test, and in the second half of it towards not passing.
"""

from __future__ import annotations

import math
from collections.abc import Iterable
from dataclasses import dataclass, field
from enum import Enum
from statistics import median

from finchshelf.rollout.rates import upper

HALT = 1e-7  # a test, an interval: 40 sites x 3 kinds x 6 harms x 120 intervals: at most 0.9% for all
PASS = 1e-4  # a test: a harm of twice what is tolerated is far beyond its null
CAP = 4.0  # of the log of one interval's ratio: halting takes five intervals at least
DOUBT = 3.0  # log level from which a site is not passed on, whatever the whole says
FURTHER = (1.0, 3.0, 10.0)  # times what is tolerated above the null, and
LARGE = (0.3, 0.8)  # parts of what is left to 1: the rates that the halting test looks for
BACK_S = 4.0  # s that a loss of machines takes back: it is known some seconds after its harm
# Times the requests that a proof usually takes, after which none will come: the harm, if any, is about as
# large as what is tolerated, and a policy that can't be proven good does not stay.
ENOUGH = 10.0


class Verdict(Enum):
    WAIT = "wait"
    HALT = "halt"
    PASS = "pass"


def lift(beside: Iterable[tuple[float, float, float, float]]) -> float:
    """What grew beside: median over sites of rate now less rate before; each (x, n) now and before."""
    grown = [x / n - before_x / before_n for x, n, before_x, before_n in beside if n > 0 and before_n > 0]
    return max(0.0, median(grown)) if grown else 0.0


def clamp(p: float) -> float:
    return min(0.999, max(1e-6, p))


def ratio(x: int, n: int, p1: float, p0: float) -> float:
    """Log of the likelihood of `x` of `n` at p1 over that at p0."""
    p1, p0 = clamp(p1), clamp(p0)
    if not x:
        return n * math.log((1 - p1) / (1 - p0))
    return x * math.log(p1 / p0) + (n - x) * math.log((1 - p1) / (1 - p0))


@dataclass
class Growth:
    """One harm of one kind of request at one site, since its change."""

    past_x: float
    past_n: float
    tolerated: float
    levels: list[float] = field(default_factory=lambda: [0.0] * (len(FURTHER) + len(LARGE)))
    proof: float = 0.0
    back: int = 4  # intervals that a loss of machines takes back
    usual: float = 0.0  # what a request adds to the proof where nothing has grown
    calm: int = 0  # requests of intervals in which nothing much grew beside
    former: list[tuple[list[float], float]] = field(default_factory=list)

    def add(self, x: int, n: int, grown: float) -> None:
        self.former = [*self.former[1 - self.back :], (self.levels, self.proof)]
        x = min(x, n)
        if n <= 0:
            return
        expected = (self.past_x + 0.5) / (self.past_n + 1)
        high = max(expected, upper(self.past_x, self.past_n)) + grown
        null = min(0.98, high + self.tolerated / 2)
        rates = [min(0.99, null + times * self.tolerated) for times in FURTHER]
        rates += [null + part * (1 - null) for part in LARGE]
        self.levels = [
            max(0.0, level) + min(CAP, ratio(x, n, rate, null))
            for level, rate in zip(self.levels, rates, strict=True)
        ]
        worst = min(0.99, (expected + high) / 2 + grown / 2 + self.tolerated)
        self.proof += min(CAP, ratio(x, n, worst - 0.75 * self.tolerated, worst))
        if grown <= self.tolerated / 2:
            self.calm += n
            self.usual = expected * math.log((worst - 0.75 * self.tolerated) / worst) + (1 - expected) * (
                math.log((1 - worst + 0.75 * self.tolerated) / (1 - worst))
            )

    def take_back(self) -> None:
        """The last intervals did not count: machines were lost in them."""
        if self.former:
            self.levels, self.proof = self.former[0]
            self.former = []

    @property
    def level(self) -> float:
        """Log of the mean of the levels."""
        most = max(self.levels)
        return most + math.log(sum(math.exp(one - most) for one in self.levels) / len(self.levels))

    def undecided(self) -> bool:
        """Were there many times the requests that a proof takes, and none came?"""
        return (
            self.usual > 0
            and self.calm > ENOUGH * -math.log(PASS) / self.usual
            and self.verdict() is Verdict.WAIT
        )

    def verdict(self) -> Verdict:
        if self.level >= -math.log(HALT):
            return Verdict.HALT
        if self.proof >= -math.log(PASS) and self.level < DOUBT:
            return Verdict.PASS
        return Verdict.WAIT
