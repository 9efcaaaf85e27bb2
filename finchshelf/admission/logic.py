"""All admission decisions of one limiter. Types, events and actions: `interface.py`, beside this file.
Requests ask their customer's count (`RateCheck`, `OpenCheck`); `Breaker` diverts to a `Bucket` if not."""
from __future__ import annotations

import math
from collections import deque
from dataclasses import dataclass, replace
from random import Random
from zlib import crc32

from finchshelf.admission import interface as i
from finchshelf.admission.interface import Effect, ListKind, Request, Scope, Server, ServerState, Status

# ---- tuned values, each with its reason ----
TRIP_AFTER, QUARANTINE = 5, 1.0  # consecutive failures that open the breaker (design page); s that it is
STRAIN, STRAIN_SMOOTH = 0.05, 0.02  # share of failed calls, of about the last fifty, that spares the counter
CALLS_MOST, CALLS_LEAST, CALLS_AHEAD = 1000.0, 60.0, 0.25  # calls a second of one at most, of all at least
CALLS_BURST, CALL_QUICK, CALL_LATE = 2.0, 0.4, 0.8  # at once at least; shares of its wait: lets it grow, cuts
CALLS_GROW, CALLS_CUT, CUT_EVERY = 0.2, 0.85, 0.5  # their growth a second, step at a failure; s between cuts
MADE, USUAL, TOLD = 3.0, 8.0, 3.0  # s of our calls, of others' use, averaged; s that a store is good as told
CALLS_OUT = 3  # calls out for one count beyond which a request is decided by the store as last told
PEER_SHARE, POSTS_AHEAD, USES_MOST = 0.9, 4.0, 40  # of an inbox all may fill; messages at once; their uses
OUT_SPAN = 3.5  # usual times that an attempt that was told of counts as out
IDLE, NAME_LIFE = 60.0, 60.0  # s until a customer's tables go (design page); the counter's longest for a name
WINDOW_BURSTS, UNKNOWN = 8.0, 0.5  # window in burst/rate; of the burst, what stands at an edge if not known
DEBT, GAUGE_AIMS = 0.5, 0.5  # bursts that a store may lack after others; life of a gauge in tightest aims
SMOOTH, FLEET_SMOOTH = 0.05, 0.03  # weight of an answer in a server's time, in the fleet's: requests differ
FAIL_SMOOTH, FAIL_FORGET = 0.25, 4.0  # weight of an outcome in a server's failures; s until 1/e is left
LOW_CREEP = 0.01  # rise a second of the quickest usual time
QUICKEST, SLOWEST = 0.6, 4.0  # bounds of a server's and of one answer's time, relative to the fleet's
FORGET = 3.0  # s without an answer after which a server's estimate has mostly gone back to the fleet's
FAILED_OUT, TROUBLE, FULL = 0.25, 4.0, 0.3  # failures that pass over, plus times the fleet's; one unseen
REFUSE_CHEAP, REFUSE_DEAR = 0.11, 0.2  # expected delay, as a share of the aim, that refuses
STRETCH = 3.0  # but not below so many times the quickest usual time lately
FLEET_LAG, MOST_STEP = 1.0, 0.2  # s over which the fleet's time is learnt at most; an answer's weight
END_BEFORE, CHOICES = 0.98, 16  # share of the aim that ends a try; servers weighed
STOOD_STILL, GAPS = 0.1, 10.0  # s between events that tell of our own halt, if so many usual gaps
GAPS_MOST, GAP_SMOOTH = 4.0, 0.02  # usual gaps that one counts as at most; weight of one
IDLE_SHARE, COLD_SAFETY = 0.4, 0.5  # of the delay that refuses, for what is beyond quotas; of cold budgets
@dataclass(slots=True)
class Bucket:  # a store of units; written only when a request is let in
    rate: float
    size: float
    level: float
    at: float
    def now_level(self, now: float) -> float:
        return min(self.size, self.level + self.rate * (now - self.at))
    def take(self, units: float, now: float) -> None:
        self.level, self.at = self.now_level(now) - units, now
class Breaker:
    """Consecutive failures open it; after a quarantine unlike the others' one call at a time is a probe."""
    def __init__(self, seed: int, now: float, limiters: int = 1) -> None:
        self.least = CALLS_LEAST / max(1, limiters)
        self.failures, self.open_until, self.strain, self.made, self.made_at = 0, -math.inf, 0.0, 0.0, 0.0
        # Danger: a crowded counter opens all breakers and is crowded anew as they close. Calls have a rate.
        self.calls, self.cut_at = Bucket(CALLS_MOST, CALLS_MOST * CALLS_AHEAD, 0.0, -math.inf), -math.inf
        self.began = self.grown_at = now
        self.quarantine = QUARANTINE * (0.75 + seed % 1000 / 2000)
    def allows(self, now: float) -> bool:
        if now < self.open_until:
            return False
        self.open_until = now + self.quarantine if self.failures >= TRIP_AFTER else self.open_until
        return True
    def spend(self, now: float) -> bool:  # is there a call left at the rate that the counter bears?
        if self.calls.now_level(now) < 1:
            return False
        self.calls.take(1, now)
        self.made, self.made_at = self.made * math.exp((self.made_at - now) / MADE) + 1 / MADE, now
        self.calls.size = max(CALLS_BURST, self.calls.rate * CALLS_AHEAD)
        return True
    def success(self, share: float, now: float) -> None:
        if share > CALL_LATE:
            self.slow_down(now)
        elif share < CALL_QUICK:
            grown = 1 + CALLS_GROW * min(1.0, now - self.grown_at)
            self.calls.rate = min(CALLS_MOST, self.calls.rate * grown)
        self.grown_at = now
        self.failures, self.open_until, self.strain = 0, -math.inf, self.strain * (1 - STRAIN_SMOOTH)
    def failure(self, now: float) -> None:
        self.failures, self.strain = self.failures + 1, self.strain + (1 - self.strain) * STRAIN_SMOOTH
        if self.failures >= TRIP_AFTER:
            self.open_until = now + self.quarantine
        else:
            self.slow_down(now)
    def slow_down(self, now: float) -> None:
        if now - self.cut_at > CUT_EVERY:
            made = self.made / (1 - math.exp((self.began - now - 0.1) / MADE))
            rate = min(self.calls.rate, made) * CALLS_CUT
            self.calls.rate, self.cut_at = max(self.least, rate), now
class RateCheck:  # a customer's quota store, rebuilt from the totals of the window's count
    # Exception to the fixed window: a total is read as a refilling store: an edge or a wipe grants nothing.
    def __init__(self, plan: i.Plan, customer: int, now: float) -> None:
        self.base, self.name = customer << 28, -1
        self.rate, self.burst, self.level, self.at = plan.rate, plan.burst, plan.burst * UNKNOWN, now
        self.window = min(WINDOW_BURSTS * plan.burst / plan.rate, NAME_LIFE / 2)
        self.index, self.seen, self.pace = -1, 0.0, 0.0  # pace: units a second that the others use
        self.usual, self.told, self.heard = 0.0, now - NAME_LIFE, 0.0  # heard: by peers since then
        self.owed = 0.0  # what the count was not told, or told too much; goes along with the next call
        self.unsure = 0.0  # adds of ours that timed out and may have landed
    def refill(self, now: float, spent: float) -> None:
        late = max(0.0, min(spent, self.burst)) / 2  # spent after the refill, as far as anyone can tell
        level = min(self.burst, self.level + self.rate * (now - self.at) - spent + late) - late
        # Danger: use told late (a failure's) empties a store for seconds; a quota takes nothing it lacks.
        self.level, self.at = max(level, -DEBT * self.burst), now
    def turn(self, now: float) -> None:
        index = int(now // self.window)
        if self.index < 0:
            self.at = min(self.at, index * self.window)
        elif index != self.index and index * self.window > self.at:  # the others' use so far is guessed
            self.refill(index * self.window, self.pace * (index * self.window - self.at))
        if index != self.index:
            self.index, self.seen, self.name = index, 0.0, self.base + (index << 1) % 2**28
            self.heard = 0.0
    def now_level(self, now: float) -> float:
        return min(self.burst, self.level + self.rate * (now - self.at))
    def listen(self, use: i.Use, now: float) -> None:  # a total may have had it before, or will have it
        self.turn(now)
        known = min(use.units, max(0.0, -self.heard)) if use.counted else 0.0
        self.heard += use.units if use.counted else 0.0
        self.refill(now, use.units - known)
    def untold(self, now: float, peers: bool) -> float:  # the others' use since the last total
        return 0.0 if peers else self.usual * (now - self.told)
    def answered(self, step: float, total: float, largest: int, now: float) -> None:
        others = total - self.seen - step
        landed = min(self.unsure, max(0.0, others))
        self.unsure -= landed
        others = max(others - landed, -float(largest))  # a fall: others took back, or the numbers were lost
        span, self.told = now - max(self.told, self.index * self.window), now
        self.usual += (max(others, 0.0) - self.usual * span) / max(span, USUAL)
        self.pace += max(others, 0.0) / max(span, 1.0) - self.pace * min(1.0, span)
        self.seen, known = total, min(max(0.0, self.heard), max(0.0, others))
        self.heard = max(self.heard - max(0.0, others), -self.burst)
        self.refill(now, others - known)
class OpenCheck:
    """Attempts out at once, as a gauge whose names live a short window, as what has ended stands in it."""
    def __init__(self, cap: int, window: float, customer: int) -> None:
        self.cap, self.window, self.base, self.name = cap, window, (customer << 28) + 1, -1
        self.open, self.told, self.others = 0, 0.0, 0.0
        self.starts = deque[float](maxlen=cap)  # when other limiters told of an attempt
    def heard(self, now: float, span: float) -> int:  # how many of those are still out
        while self.starts and self.starts[0] < now - span:
            self.starts.popleft()
        return len(self.starts)
    def turn(self, now: float) -> None:
        name = self.base + (int(now // self.window) << 1) % 2**28
        self.name, self.told = name, self.told if name == self.name else 0.0
    def step(self, extra: int) -> float:
        step, self.told = self.open + extra - self.told, self.open + extra
        return step
    def answered(self, total: float) -> None:
        self.others = max(0.0, total - self.told)
        self.told = min(self.told, total)  # less than we told: the counter lost its numbers
@dataclass(slots=True)
class Call:  # one call to the counter that has not been answered
    name: int
    step: float
    request: int
    check: RateCheck | OpenCheck
    asked: float = 0.0  # the part of the step that is the request's own
    def owed(self, added: bool) -> float:  # what the count still has to hear if the request uses nothing
        return -self.asked if added else self.step - self.asked
class Customer:  # one customer's checks, fallback and ceiling
    def __init__(self, customer: int, number: int, s: i.Settings, now: float) -> None:
        self.plan, self.used, self.points = s.plans[number], now, 0
        plan, epoch = self.plan, GAUGE_AIMS * min(c.aim for c in s.classes)
        self.rate = RateCheck(plan, customer, now) if plan.rate > 0 else None
        self.open = OpenCheck(plan.open_cap, epoch, customer) if plan.open_cap > 0 else None
        self.fallback, self.ceiling = Bucket(0.0, 0.0, 0.0, now), Bucket(0.0, 0.0, 0.0, now)
    def enter(self, points: int, since: float) -> None:  # unused here since then; its first request tells
        plan, self.points = self.plan, points
        fill = plan.rate / points
        self.fallback = Bucket(fill, fill, fill, since)
        # Bound of each limiter, in any span t: burst/share + t * rate/share; after a restart half the slack.
        rate, size, slack = (x / points for x in (plan.ceiling_rate, plan.ceiling_burst, plan.ceiling_slack))
        self.ceiling = Bucket(rate, size, slack / 2, since)
class Pending:  # a request that has no final answer yet
    def __init__(self, request: Request, customer: Customer, s: i.Settings, now: float) -> None:
        self.request, self.customer, self.arrived = request, customer, now
        self.kind, self.plan = s.classes[request.cls], s.plans[request.plan]
        self.waiting, self.fell_back, self.known, self.streaming, self.promised = 0, False, False, False, 0.0
        self.calls, self.tried, self.out = list[tuple[Call, bool]](), list[Server](), set[int]()
        self.maybe_ran: Server | None = None  # the first that may have run it, and when
        self.maybe_at = 0.0
class Health:  # what this limiter knows of one server
    def __init__(self, server: Server, now: float, out: int, place: float) -> None:
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
        self.sends, self.sends_at, self.out, self.trouble = 0.0, 0.0, 0, 0.0
        self.young = dict[tuple[int, int], float]()  # attempts out for less than the usual time, by when sent
        self.answer_at = -math.inf
        self.away = set[str]()  # taken out by operators: draining, whatever the list says, until put back
    def update(self, event: i.Members, now: float) -> None:
        if event.kind in (ListKind.FULL, ListKind.CACHED):
            self.table = {s.name: self.table[s.name] for s in event.servers if s.name in self.table}
        for server in event.servers:
            known = self.table.get(server.name)
            if server.state is ServerState.GONE:
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
    def inherit(self, former: Servers) -> None:  # what still means the same under new settings
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
        warmth = self.warmth(health, now)
        s, span = self.settings, max(self.settings.fall_span, 0.001)
        turn, count = int(now // span), max(1, s.limiters)
        if turn != health.turn:
            fit = sum(self.warmth(h, now) for h in self.ring if h.server.state is ServerState.READY)
            usual = self.sends * math.exp((self.sends_at - now) / FORGET) / FORGET / max(1.0, fit) * count
            turns = max(1, int(min(1.0, COLD_SAFETY * s.fall_multiple) * warmth * usual * span))
            place = (crc32(f"{health.server.name} {turn}".encode()) + s.me) % count
            health.turn, health.tokens = turn, (turns - place + count - 1) // count
        return health.tokens >= 1 and self.delay(health, now) / warmth < left
    def delay(self, health: Health, now: float) -> float:  # expected, of one more: the fleet's times its own
        # Danger: the one server that is quick in bad times gets all, and jams. None counts as much quicker.
        slow = max(QUICKEST, 1 + (health.slow - 1) * math.exp((health.heard - now) / FORGET))
        return self.typical / self.depth * slow * (health.out + 1)
    def choose(self, now: float, left: float, waiting: Pending) -> tuple[Health, float] | None:
        tried, group, scope = waiting.tried, waiting.maybe_ran, waiting.kind.scope
        best: tuple[tuple[bool, bool, bool, float], Health, float] | None = None
        self.cold, weighed = [h for h in self.cold if self.warmth(h, now) < 1.0], 0
        for health in self.cold + self.ring[self.next:] + self.ring[:self.next]:
            s, cold = health.server, self.warmth(health, now) < 1.0
            closed = s.state is not ServerState.READY or s.name in self.away or not in_group(s, group, scope)
            if closed or (cold and not self.cold_turn(health, left, now)):
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
        if best is None:
            return None
        self.next = self.ring.index(best[1]) + 1
        return best[1:]
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
        name, status, took = event.server, event.status, event.took
        health, one = self.table.get(name), not event.streamed
        self.out -= one
        young = self.young.pop((event.id, event.attempt), None) is not None
        if health is None or status is Status.NOT_SENT:
            return
        depth, health.out = health.out, max(0, health.out - one)
        if status is Status.CANCELLED:
            return
        bad = {Status.OK: 0.0, Status.FULL: FULL}.get(status, 1.0)
        # Danger: one server that fails always is tried most, as it holds nothing, and looks like the fleet.
        if health.failing(now) <= FAILED_OUT:
            self.trouble += (bad - self.trouble) * FLEET_SMOOTH
        health.tried(bad, now)
        if prompt and one and status in (Status.OK, Status.TIMEOUT):  # else our own halt is in its time
            seen = min(took / max(1, depth) / self.typical * self.depth, SLOWEST)
            self.mean += (seen - self.mean) * FLEET_SMOOTH
            health.slow, health.heard = health.slow + (seen / self.mean - health.slow) * SMOOTH, now
            if young:
                self.learn(False, now)
            low = self.low * (1 + LOW_CREEP * (now - self.low_at))
            self.low, self.low_at = min(low, self.typical / self.depth), now
            self.depth += (max(1, depth) - self.depth) * FLEET_SMOOTH
def in_group(server: Server, group: Server | None, scope: Scope) -> bool:  # are repeats of `group` dropped?
    return group is None or scope is Scope.ALL or (
        server.cell == group.cell if scope is Scope.CELL else server.zone == group.zone)
class Limiter:  # one gateway's decisions: events in, actions out
    def __init__(self, settings: i.Settings, seed: int, now: float, alone_from: float = 0.0) -> None:
        self.settings, self.alone_from = settings, max(now, alone_from)  # before that another may send
        self.breaker, self.servers = Breaker(seed, now, settings.limiters), Servers(settings, seed)
        self.customers, self.pending = dict[int, Customer](), dict[int, Pending]()
        self.calls = dict[int, deque[Call]]()
        self.swept, self.now, self.halt, self.gap = now, now, -math.inf, STOOD_STILL / 2
        self.outbox = dict[int, list[i.Use]]()  # what others are still to be told, who waits longest first
        self.posts = Bucket(PEER_SHARE * settings.inbox, POSTS_AHEAD, POSTS_AHEAD, now)
        self.worths = sorted({c.worth * p.price for c in settings.classes for p in settings.plans})
        self.actions: list[i.Action] = []
    def start(self) -> list[i.Action]:
        return [i.Watch()] if self.settings.ask_discovery else []
    def handle(self, event: i.Event, now: float) -> list[i.Action]:
        if now > self.now:
            # Danger: where few requests come, gaps are usual, and would look like halts. So they are learnt.
            gap, self.now = now - self.now, now
            self.halt = now if gap > max(STOOD_STILL, GAPS * self.gap) else self.halt
            self.gap += (min(gap, GAPS_MOST * self.gap) - self.gap) * GAP_SMOOTH
            self.servers.look(now, now > self.halt)
        self.actions = []
        if isinstance(event, Request):
            self.on_request(event, now)
        elif isinstance(event, i.Heard):
            self.on_heard(event.uses, now)
        elif isinstance(event, i.Outcome):
            self.on_outcome(event, now)
        elif isinstance(event, i.Counted):
            self.on_counted(event, now)
        elif isinstance(event, i.Timer) and self.settings.ask_discovery:
            self.actions.append(i.Watch())
        elif isinstance(event, i.Maintenance):
            self.servers.maintain(event, now)
        elif isinstance(event, i.Members):
            self.servers.update(event, now)
            if event.kind is ListKind.FAILED and self.settings.ask_discovery:
                self.actions.append(i.SetTimer(1.0, 0))
        elif isinstance(event, i.Opened) and event.id in self.pending:
            self.pending[event.id].streaming = True
        elif isinstance(event, i.ClientGone) and event.id in self.pending:
            waiting = self.pending[event.id]
            if self.settings.cancel and not waiting.streaming:
                self.actions += [i.Cancel(event.id, n) for n in sorted(waiting.out)]
            self.finish(waiting, now)
        self.post(now)
        return self.actions
    def on_request(self, request: Request, now: float) -> None:
        s = self.settings
        if now - self.swept > IDLE / 4:
            self.swept, self.customers = now, {k: c for k, c in self.customers.items() if now - c.used < IDLE}
        customer = self.customers.get(request.customer)
        if customer is None:
            customer = self.customers[request.customer] = Customer(request.customer, request.plan, s, now)
        customer.used = now
        if not customer.points:
            quiet = min(now, max(self.alone_from, now - IDLE))  # since when nothing was let in for it here
            customer.enter(max(1, min(request.entry_points, s.limiters)), quiet)
        waiting = self.pending[request.id] = Pending(request, customer, s, now + request.coming)
        if min(request.until, self.end(waiting)) - now <= max(s.counter_wait, self.servers.typical / 2):
            return self.refuse(waiting, s.max_retry_after, now, "late")  # Danger: after a halt they crowd all
        if s.counter and self.breaker.allows(now):
            strained = self.breaker.strain > STRAIN
            if customer.rate is not None:
                customer.rate.turn(now)
                queue = self.calls.get(customer.rate.name, ())
                waiting.promised = sum(c.asked for c in queue)
                # Add the units unless the store can't hold them: then only read, with nothing to take back.
                level, owed = customer.rate.now_level(now) - waiting.promised, customer.rate.owed
                asked = float(request.units) if level >= request.units else 0.0
                guess = level - customer.rate.untold(now, s.peers)
                plenty = owed < request.units and guess >= (owed + request.units) * request.entry_points
                # Danger: one busy customer's calls jam the counter, or many limiters'. Beyond a few out, or
                # what it bears, the store as last told decides. Under strain one with room though each
                # limiter holds as much untold goes unasked.
                spared = len(queue) >= CALLS_OUT or (strained and plenty and customer.rate.seen > 0)
                if not spared and self.breaker.spend(now):
                    self.call(waiting, customer.rate, owed + asked, asked)
                    customer.rate.owed = 0.0
                else:
                    unknown = not spared and now - customer.rate.told > TOLD
                    waiting.fell_back = not s.peers and unknown
            if customer.open is not None:
                customer.open.turn(now)
                if self.breaker.spend(now):
                    self.call(waiting, customer.open, customer.open.step(1))
        elif customer.rate is not None or customer.open is not None:
            waiting.fell_back = True
        if not waiting.waiting:
            self.decide(waiting, now)
    def tell(self, request: Request, counted: bool) -> None:  # to those that the customer comes through
        if request.entry_points <= 1 or not self.settings.peers:
            return
        use = i.Use(request.customer, request.plan, request.units, counted)
        for n in range(request.entry_points):
            to = (request.first + n) % self.settings.limiters
            if to != self.settings.me:
                self.outbox.setdefault(to, []).append(use)
    def post(self, now: float) -> None:
        # Danger: who is told more than it takes in loses messages. All of us may fill part of that.
        while self.outbox and self.posts.now_level(now) >= 1:
            to = next(iter(self.outbox))
            self.posts.take(1, now)
            self.actions.append(i.Tell(to, tuple(self.outbox.pop(to)[-USES_MOST:])))
    def on_heard(self, uses: tuple[i.Use, ...], now: float) -> None:
        for use in uses:
            customer = self.customers.get(use.customer)
            if customer is None:
                customer = self.customers[use.customer] = Customer(use.customer, use.plan, self.settings, now)
            customer.used = now
            if customer.open is not None:
                customer.open.starts.append(now)
            if customer.rate is not None:
                customer.rate.listen(use, now)
    def call(self, waiting: Pending, check: RateCheck | OpenCheck, step: float, asked: float = 0.0) -> None:
        call = Call(check.name, step, waiting.request.id, check, asked)
        self.calls.setdefault(check.name, deque()).append(call)
        waiting.waiting += 1
        self.actions.append(i.Count(check.name, step, min(check.window * 2, NAME_LIFE)))
    def on_counted(self, event: i.Counted, now: float) -> None:
        queue = self.calls.get(event.name)
        if not queue:
            return
        call = queue.popleft()
        if not queue:
            del self.calls[event.name]
        check, ok = call.check, event.status is Status.OK
        current, lost = call.name == check.name, not ok and event.status is not Status.TIMEOUT
        if isinstance(check, RateCheck) and current and ok:
            check.answered(call.step, event.total, self.settings.max_units, now)
        elif isinstance(check, OpenCheck) and current and ok:
            check.answered(event.total)
        elif isinstance(check, OpenCheck) and current and lost:
            check.told -= call.step
        elif isinstance(check, RateCheck) and not (ok or lost):
            check.unsure += call.step
        if ok:
            self.breaker.success(event.took / max(self.settings.counter_wait, 0.001), now)
        else:
            self.breaker.failure(now)
            if call.request in self.pending:
                # Where limiters tell each other of their use, one lost call leaves the store as they told it.
                opened = self.breaker.failures >= TRIP_AFTER
                self.pending[call.request].fell_back |= opened or not self.settings.peers
        self.answer(call, ok, not lost, now)
    def answer(self, call: Call, ok: bool, added: bool, now: float) -> None:
        waiting = self.pending.get(call.request)
        if waiting is not None:
            waiting.known |= ok
            waiting.calls.append((call, added))
            waiting.waiting -= 1
            if waiting.waiting == 0:
                self.decide(waiting, now)
        elif isinstance(call.check, RateCheck):
            call.check.owed += call.owed(added)
    def decide(self, waiting: Pending, now: float) -> None:
        request, customer, room, others, after = waiting.request, waiting.customer, True, True, 0.0
        units, rate, gauge, fallback = request.units, customer.rate, customer.open, customer.fallback
        if rate is not None:
            rate.refill(now, 0.0)
            untold = 0.0 if waiting.known else waiting.promised + rate.untold(now, self.settings.peers)
            store, need = rate.level - untold, float(units)
            if waiting.fell_back:
                # A full bucket also passes a larger request, on credit: else small shares would pass nothing.
                store, need = fallback.now_level(now), min(need, fallback.size)
            room, after = store >= need, (need - store) / (fallback.rate if waiting.fell_back else rate.rate)
        if gauge is not None:
            share = math.ceil(gauge.cap / max(1, request.entry_points))
            busy = max(gauge.others if waiting.known or not self.settings.peers else 0.0,
                       gauge.heard(now, OUT_SPAN * self.servers.typical))
            others = gauge.open < share if waiting.fell_back else busy + gauge.open < gauge.cap
        if customer.ceiling.rate > 0 and customer.ceiling.now_level(now) < units:
            others, after = False, max(after, units / customer.ceiling.rate)
        room &= others
        extra = not room and others and waiting.plan.excess_worth > waiting.plan.overrun_cost
        placed = self.place(waiting, now, IDLE_SHARE if extra else 1.0) if room or extra else None
        told = bool(waiting.calls) or waiting.fell_back or not self.settings.peers
        if rate is not None:
            used = units if placed is not None and room else 0  # what goes beyond a quota takes nothing off
            rate.level -= used
            rate.owed += sum(c.owed(added) for c, added in waiting.calls if c.check is rate)
            rate.owed += used if told else 0
            if not waiting.fell_back:
                # Exception to the one-second bucket: after a total, the share of what it left of the burst.
                customer.fallback = Bucket(fallback.rate, rate.burst * fallback.rate / rate.rate,
                                           rate.level * fallback.rate / rate.rate, now)
        if placed is None:
            why = "delay" if room or extra else "cap" if not others else ("store", "share")[waiting.fell_back]
            return self.refuse(waiting, self.settings.max_retry_after if room else after, now, why)
        if room:
            self.tell(request, told)
        if waiting.fell_back and room:
            fallback.take(units, now)
        customer.ceiling.take(units, now)
        if gauge is not None:
            gauge.open += 1
        self.send(waiting, placed, now)
    def place(self, waiting: Pending, now: float, share: float = 1.0) -> Health | None:  # where it is in time
        left = self.end(waiting) - now
        chosen = self.servers.choose(now, left, waiting)
        if chosen is None:
            return None
        rank = (self.worths.index(waiting.kind.worth * waiting.plan.price) + 1) / len(self.worths)
        # Danger: bad estimates that nothing corrects, as all is refused. So a trickle goes out in any case.
        each = len(self.servers.table) / max(1, self.settings.limiters)
        pause = self.servers.typical * (1 / each - 1)
        few = self.servers.out < each and now - self.servers.sends_at >= pause
        spare = share >= 1 and few and left > self.servers.typical / 2
        part = REFUSE_CHEAP + (REFUSE_DEAR - REFUSE_CHEAP) * rank
        # Danger: where work is a good part of the aim, a share of the aim refuses on an idle fleet.
        stretch = self.servers.low * STRETCH
        limit = share * min(left / 2, max(waiting.kind.aim * part, stretch))
        return chosen[0] if spare or chosen[1] <= limit else None
    def end(self, waiting: Pending) -> float:  # of an attempt: just before the aim, later earns nothing
        kind, until = waiting.kind, waiting.request.until
        late_earns = kind.stream or kind.late_share > 0
        return until if late_earns else min(until, waiting.arrived + kind.aim * END_BEFORE)
    def send(self, waiting: Pending, health: Health, now: float) -> None:
        waiting.out.add(len(waiting.tried))
        waiting.tried.append(health.server)
        key = None if waiting.request.coming else (waiting.request.id, len(waiting.tried) - 1)
        self.servers.sent(health, key, now)
        limit = max(self.end(waiting) - now, 0.001)
        self.actions.append(i.Attempt(waiting.request.id, health.server.name, limit))
    def refuse(self, waiting: Pending, after: float, now: float, cause: str) -> None:
        kind, s, name = waiting.kind, self.settings, waiting.request.id
        dropped = kind.effect is Effect.KEYED and kind.scope is Scope.ALL  # a repeat is, by any server
        harmless = waiting.maybe_ran is None or kind.effect is Effect.SAFE or dropped
        advice = min(after, s.max_retry_after) if s.retry_after else 0.0
        self.actions.append(i.Refuse(name, advice, cause) if harmless else i.Fail(name))
        self.finish(waiting, now)
    def finish(self, waiting: Pending, now: float) -> None:
        self.pending.pop(waiting.request.id, None)
        gauge = waiting.customer.open
        if gauge is not None:
            gauge.open -= 1 if waiting.tried else 0
    def on_outcome(self, event: i.Outcome, now: float) -> None:
        waiting = self.pending.get(event.id)
        self.servers.ended(event, now, now > self.halt)
        if waiting is None or event.attempt not in waiting.out:
            return
        waiting.out.discard(event.attempt)
        rate, change = waiting.customer.rate, event.true_units - waiting.request.units
        if event.true_units > 0 and self.settings.settles_later and rate is not None:
            rate.owed, rate.level = rate.owed + change, rate.level - change
        if event.final:
            return self.finish(waiting, now)
        if not event.status.never_ran and waiting.maybe_ran is None:
            waiting.maybe_ran, waiting.maybe_at = waiting.tried[event.attempt], now - event.took
        if waiting.out:
            return
        may = waiting.maybe_ran is None or waiting.kind.effect is Effect.SAFE or (
            waiting.kind.effect is Effect.KEYED and now < waiting.maybe_at + waiting.kind.key_ttl)
        may &= event.status is not Status.NOT_SENT and len(waiting.tried) < self.settings.max_attempts
        may &= event.again
        placed = self.place(waiting, now) if may and not waiting.streaming else None
        if placed is None:
            return self.refuse(waiting, self.settings.max_retry_after, now, "attempts")
        self.send(waiting, placed, now)
