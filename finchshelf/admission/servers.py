"""The table of servers: estimates, drains, cold turns, which one is best (types: `interface.py`).
Never: a request let in or refused, a quota looked at. Tuned values first, each with its reason."""
import math
from dataclasses import replace
from random import Random
from zlib import crc32

from finchshelf.admission import interface as i

SMOOTH, FLEET_SMOOTH = 0.05, 0.03  # weight of an answer in a server's time, in the fleet's: requests differ
FAIL_SMOOTH, FAIL_FORGET = 0.25, 4.0  # weight of an outcome in a server's failures; s until 1/e is left
LOW_CREEP, FULL = 0.01, 0.3  # rise a second of the quickest usual time; of a failure, one unseen
QUICKEST, SLOWEST = 0.6, 4.0  # bounds of a server's and of one answer's time, relative to the fleet's
FORGET = 3.0  # s without an answer after which a server's estimate has mostly gone back to the fleet's
FAILED_OUT, TROUBLE = 0.25, 4.0  # failures that pass over, plus times the fleet's
FLEET_LAG, MOST_STEP = 1.0, 0.2  # s over which the fleet's time is learnt at most; an answer's weight
CHOICES, COLD_SAFETY = 16, 0.5  # servers weighed; of cold budgets
class Health:  # what this limiter knows of one server
    def __init__(self, server: i.Server, now: float, out: int, place: float) -> None:
        self.server, self.out, self.place, self.heard = server, out, place, -math.inf
        self.slow = 1.0  # its time for a request that is out, as a multiple of the fleet's
        self.failed, self.failed_at, self.turn, self.tokens = 0.0, now, -1, 0
    def failing(self, now: float) -> float:
        return self.failed * math.exp((self.failed_at - now) / FAIL_FORGET)
    def tried(self, bad: float, now: float) -> None:  # an attempt ended well or badly
        failing = self.failing(now)
        self.failed, self.failed_at = failing + (bad - failing) * FAIL_SMOOTH, now
class Servers:  # the table of servers: which to send to, and the expected delay there
    def __init__(self, settings: i.Settings, seed: int) -> None:
        self.settings, self.random, self.next = settings, Random(seed), 0
        self.table: dict[str, Health] = {}
        self.ring = self.cold = list[Health]()
        self.typical, self.depth = min((c.aim for c in settings.classes), default=1.0) / 8, 1.0
        self.low, self.low_at, self.mean = self.typical, 0.0, 1.0  # low: quickest time lately
        self.sends, self.sends_at, self.out, self.trouble, self.answer_at = 0.0, 0.0, 0, 0.0, -math.inf
        self.young = dict[tuple[int, int], float]()  # attempts out for less than the usual time, by when sent
        self.away = set[str]()  # taken out by operators: draining, whatever the list says, until put back
    def update(self, event: i.Members, now: float) -> None:
        if event.kind in (i.ListKind.FULL, i.ListKind.CACHED):
            self.table = {s.name: self.table[s.name] for s in event.servers if s.name in self.table}
        for server in event.servers:
            known = self.table.get(server.name)
            if server.state is i.ServerState.GONE:
                self.table.pop(server.name, None)
            elif known is None or server.started > known.server.started:
                place = known.place if known else self.random.random()
                self.table[server.name] = Health(server, now, known.out if known else 0, place)
            else:  # Danger: a list that tells an older start would make one put back by operators warm
                known.server = replace(server, started=known.server.started)
        # Danger: limiters that know little all take the first of the list. Each goes round in its own order.
        self.ring = self.cold = sorted(self.table.values(), key=lambda h: h.place)
    def maintain(self, event: i.Maintenance, now: float) -> None:  # an operator's call
        health, back = self.table.get(event.server), event.server in self.away and not event.offline
        (self.away.add if event.offline else self.away.discard)(event.server)
        if health is not None and back:  # Danger: it was restarted meanwhile; from its return it is cold
            health.server = replace(health.server, started=now)
    def inherit(self, former: "Servers") -> None:  # what still means the same under new settings
        for name, old in former.table.items():
            new = self.table.get(name)
            if new is not None and new.server.started == old.server.started:
                new.slow, new.heard = old.slow, old.heard
                new.failed, new.failed_at = old.failed, old.failed_at
                new.turn, new.tokens = old.turn, old.tokens  # Danger: a cold one's turn, taken twice
        if self.settings.classes == former.settings.classes:  # else a usual time is another
            self.typical, self.depth = former.typical, former.depth
            self.low, self.low_at, self.mean = former.low, former.low_at, former.mean
    def warmth(self, health: Health, now: float) -> float:  # share of its capacity that it has at least
        age, s = now - health.server.started, self.settings
        share = s.cold_share + (1 - s.cold_share) * max(0.0, age) / s.warm_up if age < s.warm_up else 1.0
        return share if health.server.started > 0 else 1.0
    def cold_turn(self, health: Health, left: float, now: float) -> bool:  # ours, and can it be in time?
        # Danger: all together push it over. In a span as many have a turn as it bears, by clock and hash.
        warmth, s, span = self.warmth(health, now), self.settings, max(self.settings.fall_span, 0.001)
        turn, count = int(now // span), max(1, s.limiters)
        if turn != health.turn:
            fit = sum(self.warmth(h, now) for h in self.ring if h.server.state is i.ServerState.READY)
            usual = self.sends * math.exp((self.sends_at - now) / FORGET) / FORGET / max(1.0, fit) * count
            turns = max(1, int(min(1.0, COLD_SAFETY * s.fall_multiple) * warmth * usual * span))
            place = (crc32(f"{health.server.name} {turn}".encode()) + s.me) % count
            health.turn, health.tokens = turn, (turns - place + count - 1) // count
        return health.tokens >= 1 and self.delay(health, now) / warmth < left
    def delay(self, health: Health, now: float) -> float:  # expected, of one more: the fleet's times its own
        # Danger: the one server that is quick in bad times gets all, and jams. None counts as much quicker.
        slow = max(QUICKEST, 1 + (health.slow - 1) * math.exp((health.heard - now) / FORGET))
        return self.typical / self.depth * slow * (health.out + 1)
    def choose(self, now: float, left: float, tried: list[i.Server], group: i.Server | None,
               scope: i.Scope) -> tuple[Health, float] | None:  # group: of the first that may have run it
        best: tuple[tuple[bool, bool, bool, float], Health, float] | None = None
        self.cold, weighed = [h for h in self.cold if self.warmth(h, now) < 1.0], 0
        for health in self.cold + self.ring[self.next:] + self.ring[:self.next]:
            s, cold = health.server, self.warmth(health, now) < 1.0
            shut = s.state is not i.ServerState.READY or s.name in self.away
            if shut or not in_group(s, group, scope) or (cold and not self.cold_turn(health, left, now)):
                continue
            delay, failing = self.delay(health, now), health.failing(now)
            weight = (1 + 4 * failing) * (1.0 if s.zone == self.settings.zone else 1.1)
            # Danger: all fail now and then, and the few that have not of late get everything, and jam.
            key = (s in tried, failing > FAILED_OUT + TROUBLE * self.trouble, not cold, delay * weight)
            if best is None or key < best[0]:
                best = key, health, delay  # failures decide where to, not whether: a further try may do
            weighed += not cold
            if weighed >= CHOICES:
                break
        if best is not None:
            self.next = self.ring.index(best[1]) + 1
        return best and best[1:]
    def learn(self, longer: bool, now: float) -> None:  # an attempt took longer than usual, or not
        # A limiter that hears little weighs an answer more: what a fleet does lately is not minutes old.
        step = min(MOST_STEP, max(FLEET_SMOOTH, (now - self.answer_at) / FLEET_LAG))
        # Danger: some requests hang, and the whole fleet looks slow. So it is a median.
        self.typical, self.answer_at = self.typical * math.exp(step if longer else -step), now
    def look(self, now: float, prompt: bool) -> None:
        # Danger: a fleet that slows down is filled for as long as its answers take. An attempt tells that it
        # takes long as soon as it has been out for the usual time.
        while self.young:
            key, at = next(iter(self.young.items()))
            if now - at <= self.typical:
                return
            del self.young[key]
            if prompt:
                self.learn(True, now)
    def sent(self, health: Health, key: tuple[int, int] | None, now: float) -> None:
        if key is not None:  # Danger: uploads, slow as their clients, would make a server look crowded
            self.young[key], health.out, self.out = now, health.out + 1, self.out + 1
        health.tokens -= 1
        self.sends, self.sends_at = self.sends * math.exp((self.sends_at - now) / FORGET) + 1, now
    def ended(self, event: i.Outcome, now: float, prompt: bool) -> None:
        health, status, one = self.table.get(event.server), event.status, not event.streamed
        self.out -= one
        young = self.young.pop((event.id, event.attempt), None) is not None
        if health is None or status is i.Status.NOT_SENT:
            return
        depth, health.out = health.out, max(0, health.out - one)
        if status is i.Status.CANCELLED:
            return
        bad = {i.Status.OK: 0.0, i.Status.FULL: FULL}.get(status, 1.0)
        # Danger: one server that fails always is tried most, as it holds nothing, and looks like the fleet.
        if health.failing(now) <= FAILED_OUT:
            self.trouble += (bad - self.trouble) * FLEET_SMOOTH
        health.tried(bad, now)
        if prompt and one and status in (i.Status.OK, i.Status.TIMEOUT):  # else our own halt is in its time
            seen = min(event.took / max(1, depth) / self.typical * self.depth, SLOWEST)
            self.mean += (seen - self.mean) * FLEET_SMOOTH
            health.slow, health.heard = health.slow + (seen / self.mean - health.slow) * SMOOTH, now
            if young:
                self.learn(False, now)
            low = self.low * (1 + LOW_CREEP * (now - self.low_at))
            self.low, self.low_at = min(low, self.typical / self.depth), now
            self.depth += (max(1, depth) - self.depth) * FLEET_SMOOTH
def in_group(server: i.Server, group: i.Server | None, scope: i.Scope) -> bool:  # is a repeat dropped?
    return group is None or scope is i.Scope.ALL or (
        server.cell == group.cell if scope is i.Scope.CELL else server.zone == group.zone)
