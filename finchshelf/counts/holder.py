"""The holder of tenants' counts: adds a request's units, and says whether they fit.

Owns one count a tenant. The count is that of a window that slides: it drains at the tenant's rate, so that
in any span t no more than `burst + rate x t` fit (a window that falls to nothing at an edge grants two
bursts around it). A holder must never grant what a former holder may have granted already: it begins with a
full window.
"""

from __future__ import annotations

from dataclasses import dataclass

IDLE = 60.0  # s after which a count that nobody asked for goes (design page)


@dataclass(slots=True)
class Count:
    rate: float
    burst: float
    total: float
    at: float

    def drained(self, now: float) -> float:
        return max(0.0, self.total - self.rate * max(0.0, now - self.at))


class Holder:
    def __init__(self) -> None:
        self.counts: dict[str, Count] = {}
        self.swept = 0.0

    def add(self, tenant: str, units: float, rate: float, burst: float, now: float) -> bool:
        """Do the units fit? Those that do not are taken off again. `rate` in units a second, above 0."""
        count = self.counts.get(tenant)
        if count is None:
            # Danger: the former holder died, or the list of limiters changed: what it granted in this window
            # is not known here. A full window grants only what drains, whatever came before.
            count = self.counts[tenant] = Count(rate, burst, burst, now)
        elif (count.rate, count.burst) != (rate, burst):
            count.total, count.at = min(count.drained(now), burst), now
            count.rate, count.burst = rate, burst
        total = count.drained(now) + units
        fits = total <= count.burst
        count.total, count.at = total if fits else total - units, now
        if now - self.swept > IDLE / 4:
            self.swept = now
            self.counts = {name: one for name, one in self.counts.items() if now - one.at < IDLE}
        return fits

    def after(self, tenant: str, units: float, now: float) -> float:
        """Seconds until that many units fit."""
        count = self.counts.get(tenant)
        if count is None:
            return 0.0
        return max(0.0, (count.drained(now) + units - count.burst) / count.rate)
