"""What a roll-out's driver knows of one site, interval by interval.

Owns the sums of one site: what came in each interval, and its past without losses of machines. It must never
decide what follows from them.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field
from typing import Any

from finchshelf.rollout.evidence import AT, FIELDS, Sums, Totals
from finchshelf.rollout.plan import Plan, Site
from finchshelf.rollout.statistics import Growth, Verdict

GRACE = 8.0  # s after a loss of machines in which harm is taken for the loss's
SPANS = (1, 3, 10)  # intervals beside over which what grew is looked at; the highest counts


@dataclass
class Watched:
    """What the driver keeps in mind of one site: lost with it, and gathered anew by the next."""

    sums: Sums = field(default_factory=Sums)
    heard: bool = False
    at: float = 0.0  # when it was heard last
    news: bool = False
    last: dict[str, Totals] = field(default_factory=dict)
    past: dict[str, Totals] = field(default_factory=dict)  # before a change, without losses of machines
    pen: deque[dict[str, Totals]] = field(default_factory=deque)  # too new to be past: a loss is known late
    deltas: deque[dict[str, Totals]] = field(default_factory=lambda: deque(maxlen=max(SPANS)))
    tests: dict[tuple[str, str], Growth] = field(default_factory=dict)
    since: float = 0.0  # when the watch began
    machines: int = 0
    disturbed: float = -1e9
    excused: float = 0.0
    peak: float = 0.0
    taken: dict[str, int] = field(default_factory=dict)  # since the change
    version: int = -1

    def take(self, answer: dict[str, Any], now: float) -> None:
        """Evidence that the site gave."""
        self.sums.take(answer)
        self.at, self.news = now, True
        self.version = int(answer["version"])
        machines = int(answer["machines"])
        if machines < self.machines:
            self.disturbed = now
            self.pen.clear()
            for test in self.tests.values():
                test.take_back()
        self.machines = machines

    def interval(
        self, totals: dict[str, Totals], first: dict[str, Totals], unchanged: bool, now: float, back: int
    ) -> None:
        """One interval ends. `first`: what to count from where nothing was heard before; `unchanged`: the
        site's change has not begun, so calm intervals are its past, `back` of them late."""
        if not self.heard:
            self.heard = True
            self.last = first
        self.deltas.append(
            {
                route: [max(0, a - b) for a, b in zip(totals[route], self.last[route], strict=True)]
                for route in totals
            }
        )
        self.last = totals
        if unchanged and now - self.disturbed > GRACE:
            self.pen.append(self.deltas[-1])
            if len(self.pen) > back:
                self.add_past(self.pen.popleft())

    def add_past(self, deltas: dict[str, Totals]) -> None:
        for route, delta in deltas.items():
            before = self.past.get(route, [0] * len(FIELDS))
            self.past[route] = [a + b for a, b in zip(before, delta, strict=True)]

    def begin(self, now: float) -> None:
        """The site has changed: its watch begins."""
        self.since, self.at, self.tests, self.taken = now, now, {}, {}
        self.peak = self.excused = 0.0
        self.deltas.clear()

    def shown(self, poll: float) -> dict[str, Any]:
        """The last seconds' rate and harms, and the requests watched; `poll`: s of an interval."""
        rows = [row for delta in self.deltas for row in delta.values()]
        total = [sum(each) for each in zip(*rows, strict=True)]
        harms = {name: round(total[at] / max(1, total[0]), 4) for name, at in AT.items() if at and total[at]}
        seconds = max(1e-3, poll * sum(map(bool, self.deltas)))
        return {"rate": round(total[0] / seconds, 1), "harms": harms, "taken": sum(self.taken.values())}

    def has_rows(self) -> bool:
        """Is there anything of the last intervals?"""
        return any(self.deltas)


def lacks(plan: Plan, site: Site, mind: Watched, now: float) -> str:
    """What a site still owes before its change counts as good; empty if nothing."""
    if now - mind.since < plan.window:
        return f"watched for {plan.window:g} s"
    few = [route for route in plan.routes(site) if mind.taken.get(route, 0) < plan.least]
    if few:
        return f"waits: too few requests of {few[0]}: fewer than {plan.least}"
    least = site.least_rate or plan.least_rate
    if mind.peak < least:
        return f"waits: never as busy as {least:g} requests a second"
    open_tests = [key for key, test in mind.tests.items() if test.verdict() is not Verdict.PASS]
    if open_tests:
        return f"waits: {open_tests[0][0]}: not yet proven that {open_tests[0][1]} has not grown"
    return ""
