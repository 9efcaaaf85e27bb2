"""The limiter's side of a count: whom to ask, when not to ask, and the local bucket meanwhile.

Owns a breaker for each holder and a bucket for each tenant (Sentinel's path: one question a request under a
short budget, consecutive failures open the breaker, after a quarantine one question at a time is a probe,
meanwhile a local bucket at this limiter's share). It must never send anything; whoever carries it does.
"""

from __future__ import annotations

from collections.abc import Sequence
from zlib import crc32

from finchshelf.admission.breaker import Breaker, Bucket
from finchshelf.configuration.document import Tenant
from finchshelf.membership import rendezvous

BUDGET = 0.02  # s that a question may take (design page)
LEAST = 1.0  # units that a share's bucket holds at least: else it never holds a request
SHARE = 0.85  # of its part of the rate that the local bucket grants: behind a cut the holder grants all of it
IDLE = 60.0  # s until an unused bucket goes (design page)


class Caller:
    def __init__(self, me: str, now: float) -> None:
        self.me, self.began, self.swept = me, now, now
        self.limiters: tuple[str, ...] = (me,)
        self.holders: dict[str, str] = {}
        self.breakers: dict[str, Breaker] = {}
        self.buckets: dict[str, Bucket] = {}

    def list(self, names: Sequence[str], now: float) -> None:
        """The limiters there are, this one always among them."""
        limiters = tuple(sorted({*names, self.me}))
        if limiters == self.limiters:
            return
        self.limiters, self.holders = limiters, {}
        self.breakers = {name: one for name, one in self.breakers.items() if name in limiters}

    def holder(self, tenant: str) -> str:
        found = self.holders.get(tenant)
        if found is None:
            found = self.holders[tenant] = rendezvous.first(tenant, self.limiters) or self.me
        return found

    def ask(self, tenant: str, now: float) -> str | None:
        """The holder to ask, or None while its breaker is open: then the local bucket decides."""
        name = self.holder(tenant)
        if name == self.me or self.breaker(name, now).allows(now):
            return name
        return None

    def breaker(self, name: str, now: float) -> Breaker:
        found = self.breakers.get(name)
        if found is None:
            found = self.breakers[name] = Breaker(crc32(f"{self.me}{name}".encode()), now)
        return found

    def answered(self, holder: str, took: float, now: float) -> None:
        if holder != self.me:
            self.breaker(holder, now).success(took / BUDGET, now)

    def failed(self, holder: str, now: float) -> bool:
        """A question was not answered in its budget; True if that opened the breaker."""
        breaker = self.breaker(holder, now)
        before = breaker.open_until > now
        breaker.failure(now)
        return not before and breaker.open_until > now

    def bucket(self, tenant: Tenant, now: float) -> Bucket:
        rate = SHARE * tenant.rate / len(self.limiters)
        found = self.buckets.get(tenant.label)
        if found is None:
            # Danger: a limiter that starts while its holder is away would begin with a share already used by
            # the process before it.
            found = self.buckets[tenant.label] = Bucket(rate, max(LEAST, rate), 0.0, now)
        elif found.rate != rate:
            found.level, found.at = min(found.now_level(now), max(LEAST, rate)), now
            found.rate, found.size = rate, max(LEAST, rate)
        if now - self.swept > IDLE / 4:
            self.swept = now
            self.buckets = {k: b for k, b in self.buckets.items() if now - b.at < IDLE or k == tenant.label}
        return found

    def counted(self, tenant: Tenant, units: float, now: float) -> None:
        """The holder let it in: so much less is left of the share, should the holder go now.

        Danger: a holder dies right after it granted a burst, and every limiter grants a full bucket on
        top."""
        bucket = self.bucket(tenant, now)
        bucket.level, bucket.at = max(0.0, bucket.now_level(now) - units), now

    def local(self, tenant: Tenant, units: float, now: float) -> bool:
        """Does the share have room? Only an allow writes to it."""
        bucket = self.bucket(tenant, now)
        if bucket.now_level(now) < units:
            return False
        bucket.take(units, now)
        return True

    def after(self, tenant: Tenant, units: float, now: float) -> float:
        """Seconds until the share has room for that many units."""
        bucket = self.bucket(tenant, now)
        return max(0.0, (units - bucket.now_level(now)) / max(bucket.rate, 1e-9))
