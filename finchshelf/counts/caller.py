"""The limiter's side of a count: whom to ask, when not to ask, and the local bucket meanwhile.

Owns a breaker for each holder and a bucket for each tenant (Sentinel's path: one question a request under a
short budget, consecutive failures open the breaker, after a quarantine one question at a time is a probe,
meanwhile a local bucket at this limiter's share), and what holders must hear of this limiter. It must never
send anything; whoever carries it does.
"""

from __future__ import annotations

from collections.abc import Iterable, Sequence
from dataclasses import dataclass
from math import inf
from zlib import crc32

from finchshelf.admission.breaker import TRIP_AFTER, Breaker, Bucket
from finchshelf.configuration.document import Tenant
from finchshelf.counts.holder import AWAY, BYE, KEEP, LOOK, NEAR, TOUCH, seldom
from finchshelf.membership import rendezvous

BUDGET = 0.02  # s that a question may take among few limiters (design page)
MOST_BUDGET = 0.05  # s of the same among many: a refusal within a quarter of the shortest aims
LATER = 0.5  # s after its budget in which an answer about a count is still of use
LEAST = 1.0  # units that a share's bucket holds at least: else it never holds a request
WHOLE = 8.0  # units that all limiters hold beyond half of small shares: of the 20 that the rule lets pass
IDLE = 60.0  # s until an unused bucket goes (design page)
BEAT = 0.3  # s between two words to a holder that is asked nothing
USE = 5.0  # s without a request after which a tenant is not in use here
LAG = 3.0  # s after which a list is known to all limiters in touch
GAP = 2.5  # s without a word of a control plane after which this limiter may have been taken off the list
FALLEN = 0.1  # of the share, once others may no longer set it aside: over all limiters the rule's own tenth


@dataclass(slots=True)
class Use:
    """A tenant in use here: whom it was asked of, and when."""

    holder: str
    asked: float
    used: float


@dataclass(slots=True)
class Spent:
    """Units let in by this limiter alone, in the span that runs and in the one before it."""

    began: float
    units: float = 0.0
    before: float = 0.0

    def roll(self, span: float, now: float) -> None:
        if now - self.began >= 2 * span:
            self.began, self.units, self.before = now, 0.0, 0.0
        elif now - self.began >= span:
            self.began, self.units, self.before = self.began + span, 0.0, self.units


class Caller:
    def __init__(self, me: str, now: float) -> None:
        self.me, self.began, self.swept = me, now, now
        self.limiters: tuple[str, ...] = (me,)
        self.known: dict[str, float] = {me: now}  # limiters listed of late: when last
        self.told, self.settled = now, now  # the last list; since when lists came and were the same
        self.holders: dict[str, str] = {}
        self.held: dict[str, float] = {}  # tenants that this limiter is the holder of by its list: since when
        self.breakers: dict[str, Breaker] = {}
        self.buckets: dict[str, Bucket] = {}
        self.uses: dict[str, Use] = {}
        self.named: dict[str, str] = {}  # the holder of each tenant with a limit, as it last was
        self.over: frozenset[str] = frozenset()  # of those known: they let in nothing any more
        self.off = 0  # of those known: neither on the list nor over
        self.spent: dict[str, Spent] = {}
        self.closed = False  # has this limiter said that it lets in nothing any more?
        self.left_off_at = inf  # since when it is off the list, though it hears of it

    @property
    def left_off(self) -> bool:
        """Is this limiter off the list, so that others hold what it held?"""
        return self.left_off_at < inf

    def on_list(self, listed: bool, now: float) -> None:
        """Note whether this limiter is on the list that it was told.

        Danger: others set the share of a limiter off the list aside for `KEEP` alone, whether or not it still
        hears of the list."""
        self.left_off_at = inf if listed else min(self.left_off_at, now)

    def listed(self, names: Sequence[str], now: float, over: Iterable[str] = ()) -> None:
        """The limiters there are, this one always among them; said at each answer of a control plane. `over`:
        those that have ended in order, each by the life that the list has of it."""
        limiters, unaware = tuple(sorted({*names} - {*over} | {self.me})), now - self.told > GAP
        self.stamp()
        if limiters != self.limiters or unaware:
            self.renewed(limiters, unaware, now)
        self.told = now
        # Danger: limiters that a cut took off the list let in their shares on the other side of it.
        self.known = {name: at for name, at in self.known.items() if now - at < KEEP}
        self.known.update(dict.fromkeys(limiters, now))
        self.ended(over, now)

    def still_listed(self, now: float) -> bool:
        """The same list as last time, told again; False where that changes more than the time at which it was
        told: the list then has to be gone by anew."""
        if now - self.told > GAP or self.over or len(self.known) != len(self.limiters):
            return False
        self.told = now
        return True

    def stamp(self) -> None:
        """Note for each limiter on the list up to now when it was last told.

        Danger: who goes off the list would be forgotten at once, with the share that it may still let in."""
        for name in self.limiters:
            if name in self.known and self.known[name] < self.told:
                self.known[name] = self.told

    def renewed(self, limiters: tuple[str, ...], unaware: bool, now: float) -> None:
        """Other limiters than before, or (`unaware`) perhaps others meanwhile."""
        if limiters != self.limiters:
            self.moved(limiters)
        self.settled = now
        # Danger: off the list unawares, and back: another limiter held the counts meanwhile.
        self.held = (
            {}
            if unaware
            else {tenant: since for tenant, since in self.held.items() if self.holder(tenant) == self.me}
        )

    def cut_off(self) -> None:
        """The list came from one that is cut off: no more is let in than after a long time without any.

        Danger: limiters that start behind a cut know of their own side alone, and on the other side theirs
        are no longer set aside: both sides would let in the whole rate."""
        self.told = -inf

    def moved(self, limiters: tuple[str, ...]) -> None:
        """Another list. A holder that stays is weighed against those that came alone: with each list anew the
        work would be limiters x tenants for each limiter that comes or goes."""
        there, before = set(limiters), set(self.limiters)
        came = [name for name in limiters if name not in before]
        self.limiters = limiters
        self.holders = {
            tenant: rendezvous.first(tenant, (name, *came)) or self.me if came else name
            for tenant, name in self.holders.items()
            if name in there
        }
        self.breakers = {name: one for name, one in self.breakers.items() if name in there}

    def holder(self, tenant: str) -> str:
        found = self.holders.get(tenant)
        if found is None:
            found = self.holders[tenant] = rendezvous.first(tenant, self.limiters) or self.me
        return found

    def sole(self, tenant: str) -> float:
        """When no other limiter can be the tenant's holder any more, if this one is by its list."""
        if self.holder(tenant) != self.me:
            return inf
        return self.held.setdefault(tenant, self.settled) + LAG

    def ended(self, over: Iterable[str], now: float) -> None:
        """These have ended in order: to whoever heard it, the list is one without them from now on."""
        self.over = frozenset(over) & self.known.keys() - {self.me}
        if not self.over.isdisjoint(self.limiters):
            there = tuple(name for name in self.limiters if name not in self.over)
            self.renewed(there, False, now)
        self.off = len(self.known.keys() - self.over - set(self.limiters))

    def there(self) -> int:
        """Limiters among which a holder divides the rate: whoever may let in a share of it.

        A limiter's own share stays one of all known: one that hasn't heard of an end may be asked by one that
        has, and would set aside less than that one lets in."""
        return max(1, len(self.known) - len(self.over))

    def left(self) -> int:
        """Limiters that went off the list of late and didn't say that they end: cut off or dead, who can
        say."""
        return self.off

    def ask(self, tenant: str, now: float) -> str | None:
        """The holder to ask, or None while its breaker is open: then the local bucket decides."""
        name = self.holder(tenant)
        use = self.uses.get(tenant)
        if use is None:
            use = self.uses[tenant] = Use(name, now, now)
        use.used = now
        if name == self.me or self.breaker(name, now).allows(now):
            if use.holder == name:
                use.asked = now
            return name
        return None

    def state(self, holder: str) -> int:
        """Does this limiter let in its share, as far as that holder is concerned?"""
        breaker = self.breakers.get(holder)
        return AWAY if breaker is not None and breaker.failures >= TRIP_AFTER else NEAR

    def pace(self) -> float:
        """Seconds from one round of words to the next."""
        return BEAT * seldom(self.there())

    def beats(self, now: float, tenants: Iterable[str] = ()) -> list[tuple[str, str, int]]:
        """What holders must hear by now beside questions: (holder, tenant, state); every `pace`.

        `tenants`: all that have a limit. A new holder sets aside the share of each limiter that it has not
        heard, as that one may still ask another; so for `LAG` it hears of all, in use or not.
        Danger: a limiter that asks nothing may have no requests, or be cut off and let in its share."""
        found: list[tuple[str, str, int]] = []
        former, self.named = self.named, {tenant: self.holder(tenant) for tenant in tenants}
        for tenant, name in self.named.items():
            if former.get(tenant) != name:
                use = self.uses.setdefault(tenant, Use(name, -inf, -inf))
                use.used = max(use.used, now + LAG - USE)
        for tenant, use in [*self.uses.items()]:
            name = self.holder(tenant)
            if use.holder != name:
                found.append((use.holder, tenant, AWAY))
                use.holder, use.asked = name, -inf
            if now - use.used > USE:
                found.append((name, tenant, BYE))
                del self.uses[tenant]
            elif now - use.asked > self.pace() * 0.4 or self.state(name) == AWAY:
                found.append((name, tenant, self.state(name)))
                use.asked = now
        return found

    def share(self, tenant: Tenant, now: float) -> float:
        """Units a second that this limiter may let in where the holder can't be asked."""
        out = (now - min(self.told, self.left_off_at) - KEEP * 0.75) / (KEEP * 0.25)
        fall = 1.0 - (1.0 - FALLEN) * min(1.0, max(0.0, out))
        return tenant.rate / len(self.known) * fall

    def budget(self) -> float:
        """Seconds that a question may take. The more limiters, the longer: a share that holds less than one
        request decides nothing but refusals."""
        return min(MOST_BUDGET, BUDGET * seldom(len(self.known)))

    def breaker(self, name: str, now: float) -> Breaker:
        found = self.breakers.get(name)
        if found is None:
            found = self.breakers[name] = Breaker(crc32(f"{self.me}{name}".encode()), now)
        return found

    def answered(self, holder: str, took: float, now: float) -> None:
        if holder != self.me:
            self.breaker(holder, now).success(took / self.budget(), now)

    def failed(self, holder: str, now: float) -> bool:
        """A question was not answered in its budget; True if that opened the breaker."""
        breaker = self.breaker(holder, now)
        before = breaker.open_until > now
        breaker.failure(now)
        return not before and breaker.open_until > now

    def bucket(self, tenant: Tenant, now: float) -> Bucket:
        rate = self.share(tenant, now)
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
            self.spent = {k: one for k, one in self.spent.items() if now - one.began < IDLE}
        return found

    def counted(self, tenant: Tenant, units: float, now: float) -> None:
        """The holder let it in: so much less is left of the share, should the holder go now.

        Danger: a holder dies right after it granted a burst, and every limiter grants a full bucket on
        top. So no more than half of a bucket is kept while the holder can be asked: it has the burst."""
        bucket = self.bucket(tenant, now)
        most = max(bucket.rate / 2, min(LEAST, WHOLE / len(self.known)))
        bucket.level, bucket.at = min(most, max(0.0, bucket.now_level(now) - units)), now

    def refused(self, tenant: Tenant, now: float) -> None:
        """The holder had no room: nothing is saved up here either.

        Danger: the holder goes while a tenant asks too much, and each limiter that few of its requests come
        through has a whole bucket left."""
        bucket = self.bucket(tenant, now)
        bucket.level, bucket.at = min(0.0, bucket.now_level(now)), now

    def credit(self, tenant: Tenant, units: float, now: float) -> None:
        """The holder let it in, too late: the share had decided, so the units are there to be used."""
        bucket = self.bucket(tenant, now)
        bucket.level, bucket.at = min(bucket.size, bucket.now_level(now) + units), now

    def local(self, tenant: Tenant, units: float, now: float) -> bool:
        """Does the share have room? Only an allow writes to it."""
        bucket = self.bucket(tenant, now)
        if self.closed or bucket.now_level(now) < units:
            return False
        bucket.take(units, now)
        spent = self.spent.setdefault(tenant.label, Spent(now))
        spent.roll(self.silence(), now)
        spent.units += units
        return True

    def silence(self) -> float:
        """Seconds at most until a holder sets the share of a silent limiter aside."""
        return TOUCH * seldom(len(self.known)) + LOOK

    def close(self, now: float) -> dict[str, dict[str, float]]:
        """From now on nothing is let in here. What each limiter must hear with that: units let in without a
        holder, by tenant, since one may last have heard of this limiter.

        Danger: it is taken off what holders set aside, so nothing may be let in after the word."""
        self.closed = True
        found: dict[str, dict[str, float]] = {name: {} for name in self.known if name != self.me}
        for tenant, spent in self.spent.items():
            spent.roll(self.silence(), now)
            use, units = self.uses.get(tenant), spent.units + spent.before
            for name in {self.holder(tenant), use.holder if use is not None else ""} & found.keys():
                if units > 0:
                    found[name][tenant] = units
        return found

    def after(self, tenant: Tenant, units: float, now: float) -> float:
        """Seconds until the share has room for that many units."""
        bucket = self.bucket(tenant, now)
        return max(0.0, (units - bucket.now_level(now)) / max(bucket.rate, 1e-9))
