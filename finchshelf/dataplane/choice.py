"""Which server a request goes to: what this limiter knows of each, and what it expects there.

Owns the table of servers, its estimates and every figure they are made with. No I/O and no clock: time and
chance are handed in. It must never send more to a server than its slots and a part of its queue, as far as
anyone can tell: some servers hang or reset when they are full.
"""

from __future__ import annotations

import math
from collections.abc import Collection, Iterable
from dataclasses import dataclass, replace
from random import Random

from finchshelf.admission.outcome import Status
from finchshelf.dataplane.versions import VersionUse
from finchshelf.membership.records import GONE, STABLE, Server

OTHERS_FADE = 0.7  # s after which what others hold there, as last told, is worth 1/e: requests take that long
OTHERS_SMOOTH = 0.1  # weight of one answer in what others hold there usually
# of its slots that may wait at a server beside those that run: more would be late, or hang it
QUEUE_PART = 1.0
# the same for requests of the lowest precedence: where room is short they are refused first
QUEUE_LEAST = 0.5
# weight and bounds of one answer's time, as a multiple of usual
TIME_SMOOTH, TIME_LEAST, TIME_MOST = 0.1, 0.5, 4.0
ROUTE_SMOOTH = 0.03  # weight of one answer in a route's usual time
FAIL_SMOOTH, FAIL_FORGET, FAIL_COST = 0.3, 4.0, 8.0  # weight of an end in failures, s to 1/e, times its cost
OTHER_ZONE_COST = 1.1  # cost of another zone's server, as a multiple: bytes between zones are paid for
WARMING_COST = 2.0  # of one that still warms up
FULL_COST = 0.3  # cost of a server with all slots taken but one, over an empty one
UNREPEATABLE_SHARE_POWER = (
    4.0  # power of a lowered share for what can't be sent again: its failure is its client's
)
MOST_TOMBSTONES = 4096  # servers gone that are remembered: more than end while a cut lasts
NOISE = 0.05  # spread of the cost: limiters that know the same must not all take the same
# s that a server whose connections do not come up is left alone, first and at most
LEFT_ALONE_S, LEFT_ALONE_MOST_S = 0.5, 4.0


@dataclass(slots=True)
class Known:
    """What this limiter knows of one life of a server."""

    record: Server
    open: int = 0
    told: float = 0.0  # running and waiting for others, as last told
    told_at: float = -math.inf
    usual: float = 0.0
    time: float = 1.0
    failed: float = 0.0
    failed_at: float = 0.0
    away: float = 0.0
    away_until: float = -math.inf
    silent: int = 0  # connections in a row that did not come up
    share: float = 1.0  # of its ordinary load, by what all limiters know together
    dead: bool = False  # nobody gets an answer out of it

    def failing(self, now: float) -> float:
        return self.failed * math.exp((self.failed_at - now) / FAIL_FORGET)

    def others(self, now: float) -> float:
        fresh = math.exp((self.told_at - now) / OTHERS_FADE)
        return self.told * fresh + self.usual * (1 - fresh)


@dataclass(frozen=True, slots=True)
class Chosen:
    server: Server
    expected: float  # its time, as a multiple of the route's usual one


class Choice:
    def __init__(self, zone: str, random: Random) -> None:
        self.zone, self.random = zone, random
        self.table: dict[str, Known] = {}
        self.tombstones: dict[str, None] = {}  # servers that are gone, the first to go first
        self.services: dict[str, list[Known]] = {}
        self.versions = VersionUse(random)
        self.marked: set[str] = set()  # services with servers that may be used by their transition alone
        self.usual: dict[str, float] = {}  # by route: s that an answer takes

    # ---- the table ----

    def put(self, record: Server) -> bool:
        """Take a record that is newer; True if its connections must go: it drains, is gone or lost."""
        known = self.table.get(record.id)
        if record.since:
            self.marked.add(record.service)
        if record.mode == GONE:
            self.bury(record.id)
        if known is None:
            # Danger: one that was cut off when it left tells of it as before, and its address is another's.
            if record.id not in self.tombstones:
                self.table[record.id] = Known(record)
                self.services.setdefault(record.service, []).append(self.table[record.id])
            return False
        if not record.newer(known.record):
            if record.rank() == known.record.rank():
                version = record.version or known.record.version
                known.record = replace(known.record, version=version, since=record.since)
            return False
        if record.service != known.record.service:
            # Danger: left among the servers of its former service, it would be sent that one's requests.
            self.services[known.record.service].remove(known)
            self.services.setdefault(record.service, []).append(known)
        if known.record.lost and not record.lost:
            known.away, known.away_until, known.silent = 0.0, -math.inf, 0
        known.record = record
        if record.mode == GONE:
            self.drop(record.id)
        return not record.usable()

    def bury(self, name: str) -> None:
        """Ids are never given again: what is gone stays so, whoever has not heard of it."""
        self.tombstones[name] = None
        if len(self.tombstones) > MOST_TOMBSTONES:
            del self.tombstones[next(iter(self.tombstones))]

    def drop(self, name: str) -> None:
        known = self.table.pop(name, None)
        if known is not None:
            self.services[known.record.service].remove(known)

    def keep(self, names: Iterable[str]) -> None:
        """The whole list as one who knows it all tells it: whatever is not on it has ended unseen."""
        for name in set(self.table) - set(names):
            if not self.table[name].open:
                self.drop(name)

    def ready(self, services: Iterable[str]) -> bool:
        return all(any(k.record.usable() for k in self.services.get(s, ())) for s in services)

    def takes(self, name: str) -> bool:
        """May a request be sent to that server now? Records change while a try is out: whoever goes back to a
        server that was chosen before asks this first."""
        known = self.table.get(name)
        return known is not None and known.record.usable() and self.versions.allows(known.record)

    # ---- the choice ----

    def pick(
        self, service: str, now: float, tried: Iterable[str] = (), rank: float = 0.0, once: bool = False
    ) -> Server | None:
        """The server that should be done with one more soonest; None if none has room for one of that rank
        (0 the highest precedence, 1 the lowest). `once`: what may have run there is not sent again."""
        queue = QUEUE_PART - (QUEUE_PART - QUEUE_LEAST) * rank
        tried, all_of = set(tried), self.allowed(service)
        usable = [known for known in all_of if known.record.usable()]
        # Danger: whoever calls all servers lost at once is mistaken more likely than right. They are used.
        usable = usable or [known for known in all_of if known.record.mode == STABLE]
        best, spared, waits = self.best(usable, now, tried, UNREPEATABLE_SHARE_POWER if once else 1.0, queue)
        if spared and (best is None or waits):
            # Danger: steering that makes requests wait, or refuses them, while there is room. A lowered
            # server is used before the rest has a queue, one that all left before a request is refused, and
            # one that nobody gets an answer out of only if all are such.
            rest = [k for k in usable if (k.share > 0.0 if best is not None else not k.dead)]
            best = self.best(rest or usable, now, tried, 0.0, queue)[0] or best
        return best

    def allowed(self, service: str) -> list[Known]:
        """The servers of the service to which requests may go by their versions."""
        found = self.services.get(service, [])
        if service in self.marked or service in self.versions.by_service:
            found = [known for known in found if self.versions.allows(known.record)]
        return found

    def pick_tried(self, service: str, now: float, rank: float = 0.0) -> Server | None:
        """The same of the version that is tried; None where it has no room, or none is."""
        queue = QUEUE_PART - (QUEUE_PART - QUEUE_LEAST) * rank
        records = [known.record for known in self.services.get(service, ())]
        found = [self.table[one.id] for one in self.versions.tried(records, service, now)]
        return self.best(found, now, (), 1.0, queue)[0]

    def best(
        self, usable: Iterable[Known], now: float, tried: Collection[str], steer: float, queue: float
    ) -> tuple[Server | None, bool, bool]:
        """The cheapest with room; whether any was passed over by its share (to the power of `steer`), and
        whether the one found has no slot free."""
        best, least, spared, waits = None, math.inf, False, False
        for known in usable:
            record = known.record
            if record.id in tried or now < known.away_until:
                continue
            held, slots = known.open + known.others(now), float(record.capacity)
            if known.share < 1.0 and steer:
                spared = True
                share = known.share**steer
                if self.random.random() >= share:
                    continue
                slots = max(1.0, slots * share)
            if known.open and held + 1 > slots * (1 + queue):
                continue
            if not known.open and held > slots * (2 + queue):
                continue  # what others are said to hold may be wrong: one of ours finds out sooner
            cost = self.cost(known, held, now) * (1 + NOISE * (2 * self.random.random() - 1))
            if cost < least:
                best, least, waits = record, cost, held + 1 > record.capacity
        return best, spared, waits

    def cost(self, known: Known, held: float, now: float) -> float:
        record, slots = known.record, known.record.capacity
        wait = max(0.0, held + 1 - slots) / slots
        cost = known.time * (1 + wait + FULL_COST * min(held, slots) / slots)
        cost *= 1 + FAIL_COST * known.failing(now)
        cost *= WARMING_COST if now < record.warm_at else 1.0
        return cost if record.zone == self.zone else cost * OTHER_ZONE_COST

    # ---- what is learnt ----

    def sent(self, name: str) -> None:
        known = self.table.get(name)
        if known is not None:
            known.open += 1

    def ended(
        self,
        name: str,
        route: str,
        status: Status,
        took: float,
        load: tuple[int, int, int] | None,
        now: float,
    ) -> None:
        """One of ours ended; `load` is what the server said: running, waiting, slots."""
        known = self.table.get(name)
        if known is None:
            return
        if load is not None:
            running, waiting, _ = load
            known.told, known.told_at = max(0.0, running + waiting - known.open), now
            known.usual += (known.told - known.usual) * OTHERS_SMOOTH
        known.open = max(0, known.open - 1)
        if status is Status.CANCELLED:
            return
        if status is Status.UNREACHABLE:
            known.silent += 1
            known.away = min(LEFT_ALONE_MOST_S, max(LEFT_ALONE_S, known.away * 2))
            known.away_until = now + known.away * (0.75 + 0.5 * self.random.random())
        else:
            known.silent, known.away = 0, 0.0
        bad = {Status.OK: 0.0, Status.FULL: 0.5}.get(status, 1.0)
        failing = known.failing(now)
        known.failed, known.failed_at = failing + (bad - failing) * FAIL_SMOOTH, now
        if status is Status.OK:
            self.timed(known, route, took, now)

    def timed(self, known: Known, route: str, took: float, now: float) -> None:
        usual = self.usual.get(route)
        if usual is None:
            self.usual[route] = took
            return
        seen = min(TIME_MOST, max(TIME_LEAST, took / max(usual, 1e-3)))
        if now >= known.record.warm_at:
            known.time += (seen - known.time) * TIME_SMOOTH
        self.usual[route] = usual + (min(took, usual * TIME_MOST) - usual) * ROUTE_SMOOTH
