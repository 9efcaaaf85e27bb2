"""The holder of tenants' counts: adds a request's units, and says whether they fit.

Owns one count a tenant, and for each count which limiters are in touch with it. The count is that of a
window that slides: it drains at the tenant's rate, so that in any span t no more than `burst + rate x t` fit
(a window that falls to nothing at an edge grants two bursts around it). It drains only at the shares of the
limiters in touch: the others let in their own meanwhile. A holder must never grant what another holder may
have granted already, or what a limiter may let in without it. `docs/quotas.md` has the bound.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field
from math import inf

IDLE = 60.0  # s after which a count that nobody asked for goes (design page)
TOUCH = 0.5  # s without a word after which a limiter may be letting in its share: more than a beat
KEEP = 12.0  # s that the share of a limiter out of touch is set aside: longer than a cut lasts
FEW = 24  # limiters to which that holds; among more each gives word more seldom, as its share is smaller
LOOK = 0.1  # s between two looks at who is in touch
COME = 2.0  # s ahead at most that refused requests are told to come back
APART = 2.0  # s without a word of the core after which another may have held these counts meanwhile
SPARE = 4.0  # units left in a window that starts full: of the 20 that the rule lets pass, for three holders
BYE, AWAY, NEAR = -1, 0, 1  # what a limiter says of itself: no use of it, lets in its share, asks here


def seldom(limiters: int) -> float:
    """How much more seldom than among a few limiters a word is given: all words grow with the fleet alone."""
    return max(1.0, limiters / FEW)


@dataclass(slots=True)
class Count:
    rate: float
    burst: float
    total: float
    at: float
    sole: float  # when no other can be the holder any more; until then whoever isn't heard asks elsewhere
    part: float = 1.0  # of the rate: the limiters in touch
    looked: float = -1e9
    promised: float = 0.0  # when the last of those refused comes back
    assumed: float = 0.0  # of the total: not granted here, but perhaps by a former holder
    near: dict[str, float] = field(default_factory=dict)  # limiters in touch: heard when
    away: dict[str, float] = field(default_factory=dict)  # limiters that may let in their share: since when

    def drained(self, now: float) -> float:
        return max(0.0, self.total - self.rate * self.part * max(0.0, now - self.at))

    def settle(self, now: float) -> None:
        self.total, self.at = self.drained(now), max(self.at, now)

    def assume(self, total: float) -> None:
        """A former holder may have granted that much."""
        more = max(0.0, total - self.total)
        self.total += more
        self.assumed += more

    def hear(self, who: str, state: int, now: float) -> None:
        if state == NEAR:
            if who in self.away or who not in self.near:
                self.looked = -1e9
            self.away.pop(who, None)
            self.near[who] = now
        else:
            self.near.pop(who, None)
            self.away.pop(who, None)
            if state == AWAY:
                self.away[who] = now
            self.looked = -1e9

    def end(self, who: str, used: float, limiters: int, now: float) -> None:
        """That limiter lets in nothing any more; of late it let in `used` units by itself.

        Danger: in touch when it was last heard, it may have fallen back since. Nothing was set aside then,
        and once it is forgotten nobody charges that. Out of touch, its share has been set aside."""
        heard = self.near.pop(who, now)
        if self.away.pop(who, None) is None:
            self.settle(now)
            if now - heard > TOUCH * seldom(limiters):  # silent for long, and nobody has looked since
                used = max(used, self.rate / limiters * (now - heard))
            self.total = min(self.total + used, max(self.total, 2 * self.burst))

    def look(self, limiters: int, left: int, now: float) -> None:
        """Who is in touch, and so at what part of the rate it drains from now on."""
        self.looked = now
        self.settle(now)
        limiters = max(limiters, len(self.near) + len(self.away), 1)
        for who, heard in [*self.near.items()]:
            if now - heard > TOUCH * seldom(limiters):
                # Danger: it was cut off the moment after its last word, and let in its share since.
                del self.near[who]
                self.away[who] = now
                self.total = min(self.total + self.rate / limiters * (now - heard), 2 * self.burst)
        for who, since in [*self.away.items()]:
            if now - since > KEEP:
                del self.away[who]
        # Danger: half of the limiters are cut off from the other half, whose holder has never heard of them.
        aside = max(len(self.away), left)
        if now < self.sole:
            # Danger: two holders by two lists. Whoever was not heard here still asks the other one.
            aside = max(aside, limiters - len(self.near))
        self.part = max(1, limiters - aside) / limiters


class Holder:
    def __init__(self) -> None:
        self.counts: dict[str, Count] = {}
        self.swept, self.touched = 0.0, -inf

    def touch(self, now: float) -> None:
        """In touch with the core, now."""
        if now - self.touched > APART:
            # Danger: the counts drained here while another limiter held them: a burst would be granted twice.
            self.counts.clear()
        self.touched = now

    def add(
        self,
        tenant: str,
        units: float,
        rate: float,
        burst: float,
        now: float,
        who: str = "",
        state: int = NEAR,
        sole: float = 0.0,
        limiters: int = 1,
        left: int = 0,
    ) -> bool:
        """Do the units fit? Those that do not are taken off again. `rate` in units a second, above 0.

        `sole`: when nobody else can be the holder, `limiters`: known, `left`: those of them off the list, as
        `Caller` has them, without those that ended in order."""
        count = self.counts.get(tenant)
        if count is None:
            # Danger: the former holder died, or the list of limiters changed: what it granted in this window
            # is not known here. A full window grants only what drains, whatever came before.
            full = max(0.0, burst - SPARE - rate * max(0.0, now - sole))
            count = self.counts[tenant] = Count(rate, burst, full, now, sole, assumed=full)
        elif (count.rate, count.burst) != (rate, burst):
            count.settle(now)
            count.total = min(count.total, burst)
            count.rate, count.burst = rate, burst
        if sole > count.sole:
            # Danger: another held it meanwhile and granted a window; this one has drained since.
            count.settle(now)
            count.assume(burst - SPARE)
        count.sole = sole
        count.hear(who, state, now)
        if now - count.looked > LOOK:
            count.look(limiters, left, now)
        total = count.drained(now) + units
        fits = total <= count.burst
        count.total, count.at = total if fits else total - units, now
        if now - self.swept > IDLE / 4:
            self.swept = now
            self.counts = {name: one for name, one in self.counts.items() if now - one.at < IDLE}
        return fits

    def end(self, who: str, used: Mapping[str, float], limiters: int, now: float) -> None:
        """That limiter has ended in order. `used`: units that it let in by itself of late, by tenant."""
        for tenant, count in self.counts.items():
            count.end(who, used.get(tenant, 0.0), limiters, now)

    def hand(self, now: float) -> dict[str, float]:
        """Units in the window of each count that nobody else can hold: what its next holder must know."""
        return {tenant: one.drained(now) for tenant, one in self.counts.items() if now >= one.sole}

    def handed(self, tenant: str, total: float, rate: float, burst: float, now: float, sole: float) -> None:
        """The former holder of this count has ended with that much in its window: no more need be assumed.

        Danger: what was granted here since stays counted. Of what was assumed only the part goes that the
        former holder did not grant, and only once: its word may come twice."""
        count = self.counts.get(tenant)
        if count is None:
            self.counts[tenant] = Count(rate, burst, min(total, 2 * burst), now, sole)
            return
        count.settle(now)
        if sole > count.sole:
            count.assume(burst - SPARE)
            count.sole = sole
        if count.assumed > 0:
            count.total = min(max(0.0, count.total + total - count.assumed), 2 * burst)
            count.assumed = 0.0

    def after(self, tenant: str, units: float, now: float) -> float:
        """Seconds until that many units fit, one refused request after the other.

        Danger: all of them told the same moment come back as a crowd, and all but one are refused again."""
        count = self.counts.get(tenant)
        if count is None:
            return 0.0
        rate = count.rate * count.part
        first = max(0.0, (count.drained(now) + units - count.burst) / rate)
        after = max(first, count.promised - now)
        if after > max(COME, first):
            after = first
        count.promised = now + after + units / rate
        return after
