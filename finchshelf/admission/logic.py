"""All admission decisions of one limiter. Types, events and actions: `interface.py`, beside this file.

Every request asks its customer's count on the counter service (`CounterCheck`, `RateCheck`, `OpenCheck`);
while the counter fails, `Breaker` diverts to a local bucket at this limiter's share (`Bucket`). `Ceiling`
holds hard ceilings alone, `Servers` picks and protects servers, `Limiter` joins them.
"""

from __future__ import annotations

import math
from collections import deque
from dataclasses import dataclass, field

from finchshelf.admission.interface import (
    Action, Attempt, Cancel, ClientGone, Count, Counted, Effect, Event, Fail, ListKind, Members, Opened, Outcome,
    Plan, Refuse, Request, Scope, Server, ServerState, Settings, SetTimer, Status, Timer, Watch,
)

# ---- tuned values, each with its reason ----
CALL_BUDGET = 0.05  # share of the tightest aim that a count may cost; the counter's own time-out if that is less
TRIP_AFTER = 5  # consecutive failures that open the breaker (design page)
QUARANTINE = 5.0  # s that an open breaker keeps away from the counter (design page's start)
IDLE = 60.0  # s after which a customer's tables are dropped (design page)
WINDOW_BURSTS = 8.0  # window in burst/rate: fewer edges, at which what others used since the last call is unknown
NAME_LIFE = 60.0  # s, the longest that a counter keeps a name (the protocol's figure)
SMOOTH = 0.1  # weight of a new latency: requests differ in work by more than servers differ in speed
FAIL_SMOOTH = 0.25  # weight of a new outcome in a server's failure estimate: three or four in a row pass it over
FORGET = 3.0  # s without an answer after which a server's estimate has mostly gone back to the fleet's
FAILED_OUT = 0.25  # failure estimate beyond which a server is passed over while others are left
FAIL_FORGET = 4.0  # s in which a failure estimate falls to 1/e: how soon a bad server is tried again
REFUSE_CHEAP, REFUSE_DEAR = 0.35, 0.6  # expected delay, in shares of the time left, that refuses cheapest/dearest
ALWAYS = 1  # requests of ours out at a server below which it is never held to be too slow
END_BEFORE = 0.98  # an attempt ends at this share of the aim: an answer later than the aim earns nothing
COLD_SAFETY = 0.5  # share of a cold server's budget that is used: work varies from request to request


@dataclass(slots=True)
class Bucket:
    """A store of units; `take` writes only when it allows."""

    rate: float
    size: float
    level: float
    at: float

    def now_level(self, now: float) -> float:
        return min(self.size, self.level + self.rate * (now - self.at))

    def take(self, units: float, now: float) -> bool:
        # A full bucket also passes a request larger than itself, on credit: else a plan whose share of one
        # second is less than one request would be closed during every counter failure.
        level = self.now_level(now)
        if level < min(units, self.size):
            return False
        self.level, self.at = level - units, now
        return True


class Breaker:
    """Consecutive failures open it; after the quarantine each call is a probe."""

    def __init__(self) -> None:
        self.failures = 0
        self.closed_until = -math.inf

    def allows(self, now: float) -> bool:
        return now >= self.closed_until

    def success(self) -> None:
        self.failures = 0

    def failure(self, now: float) -> None:
        self.failures += 1
        if self.failures >= TRIP_AFTER:
            self.closed_until = now + QUARANTINE


@dataclass(slots=True)
class Call:
    """One call to the counter that has not been answered."""

    name: int
    step: float
    sent: float
    request: int
    check: RateCheck | OpenCheck
    late: bool = False


@dataclass(slots=True)
class RateCheck:
    """A customer's quota store, rebuilt from the totals of the window's count.

    Exception to the fixed window: what a total leaves is read as a store that refills at the rate, so a window
    edge or a counter that came back empty grants nothing by itself.
    """

    rate: float
    burst: float
    window: float
    level: float
    at: float
    index: int = -1
    seen: float = 0.0
    owed: float = 0.0
    unsure: float = 0.0
    pace: float = 0.0

    def refill(self, now: float, spent: float) -> None:
        self.level = min(self.burst, self.level + self.rate * (now - self.at) - spent)
        self.at = now

    def turn(self, now: float) -> int:
        """The window's number; at an edge what others used since the last call is guessed from their pace."""
        index = int(now // self.window)
        if index != self.index:
            edge = index * self.window
            if self.index >= 0 and self.at < edge:
                self.level -= self.pace * (edge - self.at)
            elif self.index < 0:
                self.at = min(self.at, max(edge, now - self.window))
            self.index, self.seen, self.unsure = index, 0.0, 0.0
        return index

    def step(self, units: int, now: float) -> float:
        """Add the units unless the store can't hold them: then only read, with nothing to take back."""
        room = min(self.burst, self.level + self.rate * (now - self.at)) >= units
        step, self.owed = self.owed + (units if room else 0), 0.0
        return step

    def answered(self, call: Call, index: int, total: float, largest: int, now: float) -> None:
        if index != self.index:
            return
        others = total - self.seen - call.step
        landed = min(self.unsure, max(0.0, others))  # timed-out adds of ours that arrived after all
        self.unsure -= landed
        # A fall is what others took back, or a counter that lost its numbers: neither gives more than a request.
        others = max(others - landed, -float(largest))
        if now > self.at:
            self.pace += (max(others, 0.0) / max(now - self.at, 1.0) - self.pace) * min(1.0, now - self.at)
        self.seen = total
        self.refill(now, others)

    def settle(self, call: Call, units: int, admitted: bool, added: bool) -> None:
        """Book a decision: what the count was not told, or told too much, goes along with the next call."""
        if admitted:
            self.level -= units
        self.owed += (units if admitted else 0.0) - (call.step if added else 0.0)


@dataclass(slots=True)
class OpenCheck:
    """A customer's attempts out at once, as a gauge; a name lives one epoch, so leaks of dead limiters end."""

    cap: int
    epoch: float
    index: int = -1
    open: int = 0
    told: float = 0.0
    others: float = 0.0

    def turn(self, now: float) -> int:
        index = int(now // self.epoch)
        if index != self.index:
            self.index, self.told = index, 0.0
        return index

    def answered(self, call: Call, index: int, total: float) -> None:
        if index != self.index:
            return
        self.others = max(0.0, total - self.told)
        self.told = min(self.told, total)  # less than we told: the counter lost its numbers


@dataclass(slots=True)
class Customer:
    rate: RateCheck | None
    open: OpenCheck | None
    fallback: Bucket
    ceiling: Bucket | None
    used: float = 0.0


@dataclass(slots=True)
class Pending:
    """A request that has no final answer yet."""

    request: Request
    arrived: float
    customer: Customer
    waiting: int = 0
    refused: bool = False
    fell_back: bool = False
    calls: list[tuple[Call, bool]] = field(default_factory=list)
    attempts: int = 0
    out: dict[int, str] = field(default_factory=dict)
    maybe_ran: Server | None = None
    maybe_at: float = 0.0
    tried: list[str] = field(default_factory=list)
    admitted: bool = False
    streaming: bool = False


@dataclass(slots=True)
class Health:
    """What this limiter knows of one server."""

    server: Server
    out: int = 0
    latency: float = 0.0
    depth: float = 0.0
    heard: float = -math.inf
    failed: float = 0.0
    failed_at: float = 0.0
    tokens: float = 0.0
    tokens_at: float = 0.0
    sends: float = 0.0
    sends_at: float = 0.0

    def failing(self, now: float) -> float:
        return self.failed * math.exp((self.failed_at - now) / FAIL_FORGET)

    def rate(self, now: float) -> float:
        """Sends a second, smoothed over the forgetting time."""
        return self.sends * math.exp((self.sends_at - now) / FORGET) / FORGET


class Servers:
    """The table of servers: which to send to, and the expected delay there."""

    def __init__(self, settings: Settings) -> None:
        self.settings = settings
        self.table: dict[str, Health] = {}
        self.typical = min((c.aim for c in settings.classes), default=1.0) / 8
        self.depth = 1.0
        self.usual, self.usual_at = 0.0, -math.inf

    def update(self, event: Members, now: float) -> None:
        if event.kind is ListKind.FAILED:
            return
        if event.kind is not ListKind.CHANGES:
            keep = {s.name for s in event.servers}
            self.table = {name: h for name, h in self.table.items() if name in keep}
        for server in event.servers:
            if server.state is ServerState.GONE:
                self.table.pop(server.name, None)
                continue
            known = self.table.get(server.name)
            if known is None or server.started > known.server.started:
                self.table[server.name] = Health(server, tokens_at=now, out=known.out if known else 0)
            else:
                known.server = server

    def warmth(self, health: Health, now: float) -> float:
        """Share of its capacity that a server has at least, on the slowest start that is allowed."""
        age, s = now - health.server.started, self.settings
        if health.server.started <= 0 or age >= s.warm_up or s.warm_up <= 0:
            return 1.0
        return s.cold_share + (1 - s.cold_share) * max(0.0, age) / s.warm_up

    def cold_ok(self, health: Health, now: float) -> bool:
        """Is there budget for one more at a cold server?

        Danger: all limiters together push it over. Each keeps to what it sends a warm server itself: summed over
        the limiters that is what a warm server carries, whatever their shares of the traffic. Also guards a
        restarted limiter, which has sent nothing yet and keeps to one in a span over all limiters.
        """
        warmth = self.warmth(health, now)
        if warmth >= 1.0:
            return True
        s = self.settings
        span = max(s.fall_span, 0.001)
        if now - self.usual_at > span / 4:  # not for each server of each request: fleets may grow large
            warm = [h.rate(now) for h in self.table.values() if self.warmth(h, now) >= 1.0]
            self.usual, self.usual_at = sum(warm) / len(warm) if warm else 0.0, now
        rate = max(COLD_SAFETY * s.fall_multiple * warmth * self.usual, 1 / (span * max(1, s.limiters)))
        health.tokens = min(1.0, health.tokens + rate * (now - health.tokens_at))
        health.tokens_at = now
        return health.tokens >= 1.0

    def delay(self, health: Health, now: float) -> float:
        """Expected delay of one more request: the usual one, in proportion to what is out beyond the usual."""
        trust = math.exp((health.heard - now) / FORGET) if health.latency else 0.0
        latency = self.typical + (health.latency - self.typical) * trust
        depth = self.depth + (health.depth - self.depth) * trust
        return latency * (health.out + 1) / max(depth, 1.0) * (1 + 4 * health.failing(now))

    def choose(self, now: float, tried: list[str], group: Server | None, scope: Scope) -> tuple[Health, float] | None:
        best: tuple[tuple[bool, bool, float], Health] | None = None
        for health in self.table.values():
            s = health.server
            if s.state is not ServerState.READY or not in_group(s, group, scope) or not self.cold_ok(health, now):
                continue
            delay = self.delay(health, now) * (1.0 if s.zone == self.settings.zone else 1.1)
            key = (s.name in tried, health.failing(now) > FAILED_OUT, delay)
            if best is None or key < best[0]:
                best = key, health
        return None if best is None else (best[1], best[0][2])

    def sent(self, health: Health, now: float) -> None:
        health.out += 1
        health.sends = health.rate(now) * FORGET + 1
        health.sends_at = now
        if self.warmth(health, now) < 1.0:
            health.tokens -= 1.0

    def ended(self, name: str, status: Status, took: float, now: float) -> None:
        health = self.table.get(name)
        if health is None or status is Status.NOT_SENT:
            return
        depth = health.out
        health.out = max(0, health.out - 1)
        if status is Status.CANCELLED:
            return
        bad = status is not Status.OK
        failing = health.failing(now)
        health.failed, health.failed_at = failing + ((1.0 if bad else 0.0) - failing) * FAIL_SMOOTH, now
        if status in (Status.OK, Status.TIMEOUT):
            weight = SMOOTH if health.latency else 1.0
            health.latency += (took - health.latency) * weight
            health.depth += (depth - health.depth) * weight
            health.heard = now
            share = SMOOTH * 2 / max(1, len(self.table))
            self.typical += (took - self.typical) * share
            self.depth += (depth - self.depth) * share


def in_group(server: Server, group: Server | None, scope: Scope) -> bool:
    """May a keyed request that may have run at `group` go to `server`?"""
    if group is None or scope is Scope.ALL:
        return True
    return server.cell == group.cell if scope is Scope.CELL else server.zone == group.zone


class Limiter:
    """One gateway's decisions: events in, actions out."""

    def __init__(self, settings: Settings, seed: int, now: float) -> None:
        self.settings = settings
        self.seed = seed
        self.breaker = Breaker()
        self.servers = Servers(settings)
        self.customers: dict[int, Customer] = {}
        self.pending: dict[int, Pending] = {}
        self.calls: dict[int, deque[Call]] = {}
        self.timers: dict[int, Call] = {}
        self.tags = 0
        self.swept = now
        aims = [c.aim for c in settings.classes] or [1.0]
        self.budget = min(settings.counter_wait, CALL_BUDGET * min(aims))
        self.epoch = max([c.deadline for c in settings.classes] or [1.0])
        worths = [c.worth * p.price for c in settings.classes for p in settings.plans] or [1.0]
        self.cheapest, self.dearest = min(worths), max(worths)
        self.actions: list[Action] = []

    def start(self) -> list[Action]:
        return [Watch()] if self.settings.ask_discovery else []

    def handle(self, event: Event, now: float) -> list[Action]:
        self.actions = []
        if isinstance(event, Request):
            self.on_request(event, now)
        elif isinstance(event, Outcome):
            self.on_outcome(event, now)
        elif isinstance(event, Counted):
            self.on_counted(event, now)
        elif isinstance(event, Timer):
            self.on_timer(event, now)
        elif isinstance(event, Members):
            self.servers.update(event, now)
            if event.kind is ListKind.FAILED and self.settings.ask_discovery:
                self.actions.append(SetTimer(1.0, 0))
        elif isinstance(event, ClientGone):
            self.on_client_gone(event, now)
        elif isinstance(event, Opened) and event.id in self.pending:
            self.pending[event.id].streaming = True
        return self.actions

    # ---- customers ----

    def customer(self, request: Request, plan: Plan, now: float) -> Customer:
        known = self.customers.get(request.customer)
        if known is None:
            share = max(1, min(request.entry_points, self.settings.limiters))
            rate = None
            if plan.rate > 0:
                window = min(WINDOW_BURSTS * plan.burst / plan.rate, NAME_LIFE / 2)
                rate = RateCheck(plan.rate, plan.burst, window, plan.burst, now)
            ceiling = None
            if plan.ceiling_rate > 0:
                # Bound, kept by each limiter alone: its first attempts within any span t are at most
                # burst/share + rate/share * t, over all limiters burst + rate * t. A restarted limiter does not
                # know what it sent before, so it starts with only half its share of the slack.
                ceiling = Bucket(plan.ceiling_rate / share, plan.ceiling_burst / share,
                                 min(plan.ceiling_burst, plan.ceiling_slack / 2) / share, now)
            known = Customer(rate, OpenCheck(plan.open_cap, self.epoch) if plan.open_cap > 0 else None,
                             Bucket(plan.rate / share, plan.rate / share, plan.rate / share, now), ceiling)
            self.customers[request.customer] = known
        known.used = now
        return known

    def sweep(self, now: float) -> None:
        if now - self.swept < IDLE / 4:
            return
        self.swept = now
        self.customers = {k: c for k, c in self.customers.items()
                          if now - c.used < IDLE or (c.open is not None and c.open.open > 0)}

    # ---- the ordinary path: ask the count ----

    def on_request(self, request: Request, now: float) -> None:
        self.sweep(now)
        s = self.settings
        if not (0 <= request.cls < len(s.classes) and 0 <= request.plan < len(s.plans)):
            self.actions.append(Refuse(request.id))
            return
        customer = self.customer(request, s.plans[request.plan], now)
        waiting = Pending(request, now, customer)
        self.pending[request.id] = waiting
        # Danger: a stalled limiter gets requests when their time is all but up. No answer of the counter can come
        # in time then, nor any server's: refuse at once. It may refuse what a very fast server could still answer.
        if request.until - now <= s.counter_wait:
            self.refuse(waiting, s.max_retry_after, now)
            return
        if s.counter and self.breaker.allows(now):
            if customer.rate is not None:
                index = customer.rate.turn(now)
                self.call(waiting, customer.rate, index, customer.rate.step(request.units, now),
                          customer.rate.window * 1.5, now)
            if customer.open is not None:
                gauge = customer.open
                index = gauge.turn(now)
                step = gauge.open + 1 - gauge.told
                gauge.told += step
                self.call(waiting, gauge, index, step, self.epoch * 2, now)
        elif customer.rate is not None or customer.open is not None:
            waiting.fell_back = True
        if not waiting.waiting:
            self.decide(waiting, now)

    def call(self, waiting: Pending, check: RateCheck | OpenCheck, index: int, step: float, ttl: float,
             now: float) -> None:
        kind = 0 if isinstance(check, RateCheck) else 1
        name = (waiting.request.customer << 28 | (index & 0x7FFFFFF) << 1 | kind) & (2**63 - 1)
        call = Call(name, step, now, waiting.request.id, check)
        self.calls.setdefault(name, deque()).append(call)
        waiting.waiting += 1
        self.actions.append(Count(name, step, min(ttl, NAME_LIFE)))
        if self.budget < self.settings.counter_wait:
            self.tags += 1
            self.timers[self.tags] = call
            self.actions.append(SetTimer(self.budget, self.tags))

    def on_timer(self, event: Timer, now: float) -> None:
        if event.tag == 0:
            self.actions.append(Watch())
            return
        call = self.timers.pop(event.tag, None)
        if call is None or call.late or call not in self.calls.get(call.name, ()):
            return
        call.late = True
        self.failed_call(call, True, now)

    def on_counted(self, event: Counted, now: float) -> None:
        queue = self.calls.get(event.name)
        if not queue:
            return
        call = queue.popleft()
        if not queue:
            del self.calls[event.name]
        index = event.name >> 1 & 0x7FFFFFF
        check = call.check
        if event.status is Status.OK:
            if isinstance(check, RateCheck):
                check.answered(call, index, event.total, self.settings.max_units, now)
            else:
                check.answered(call, index, event.total)
            if not call.late:
                self.breaker.success()
                self.answer(call, True, now)
            return
        lost = event.status is not Status.TIMEOUT
        if isinstance(check, OpenCheck) and lost and index == check.index:
            check.told -= call.step
        if call.late:
            if lost and isinstance(check, RateCheck):
                check.owed += call.step
            return
        self.failed_call(call, not lost, now)

    def failed_call(self, call: Call, maybe_added: bool, now: float) -> None:
        self.breaker.failure(now)
        if isinstance(call.check, RateCheck) and maybe_added:
            call.check.unsure += call.step
        waiting = self.pending.get(call.request)
        if waiting is not None:
            waiting.fell_back = True
        self.answer(call, maybe_added, now)

    def answer(self, call: Call, added: bool, now: float) -> None:
        waiting = self.pending.get(call.request)
        if waiting is None:
            if isinstance(call.check, RateCheck) and added:
                call.check.owed -= call.step
            return
        waiting.calls.append((call, added))
        waiting.waiting -= 1
        if waiting.waiting == 0 and not waiting.admitted:
            self.decide(waiting, now)

    # ---- the decision ----

    def decide(self, waiting: Pending, now: float) -> None:
        request, customer = waiting.request, waiting.customer
        plan = self.settings.plans[request.plan]
        units = request.units
        room, after = True, 0.0
        rate, gauge = customer.rate, customer.open
        if waiting.fell_back:
            if rate is not None and customer.fallback.now_level(now) < min(units, customer.fallback.size):
                room, after = False, units / customer.fallback.rate
            if gauge is not None and gauge.open >= math.ceil(gauge.cap / max(1, request.entry_points)):
                room = False
        else:
            if rate is not None and rate.level < units:
                room, after = False, (units - rate.level) / rate.rate
            if gauge is not None and gauge.others + gauge.open >= gauge.cap:
                room = False
        if room and customer.ceiling is not None and customer.ceiling.now_level(now) < units:
            room, after = False, units / customer.ceiling.rate
        placed = self.place(waiting, now) if room else None
        admitted = placed is not None
        for call, added in waiting.calls:
            if isinstance(call.check, RateCheck):
                call.check.settle(call, units, admitted, added)
        if not waiting.calls and rate is not None:
            rate.refill(now, 0.0)
            rate.level -= units if admitted else 0.0
            rate.owed += units if admitted else 0.0
        if placed is None:
            self.refuse(waiting, after or self.settings.max_retry_after, now)
            return
        if waiting.fell_back and rate is not None:
            customer.fallback.take(units, now)
        if customer.ceiling is not None:
            customer.ceiling.take(units, now)
        if gauge is not None:
            gauge.open += 1
        waiting.admitted = True
        del plan
        self.send(waiting, placed, now)

    def place(self, waiting: Pending, now: float) -> Health | None:
        """A server where the answer should still be in time, or None."""
        s, request = self.settings, waiting.request
        kind = s.classes[request.cls]
        chosen = self.servers.choose(now, waiting.tried, waiting.maybe_ran, kind.scope)
        if chosen is None:
            return None
        left = min(waiting.arrived + kind.aim, request.until) - now
        worth = kind.worth * s.plans[request.plan].price
        spread = math.log(self.dearest / self.cheapest) if self.dearest > self.cheapest > 0 else 0.0
        rank = math.log(worth / self.cheapest) / spread if spread else 1.0
        # Danger: an estimate made in bad times that nothing corrects, as all is refused. So a server with (nearly)
        # nothing of ours out always gets a request; on a jammed fleet this costs one request a server.
        if chosen[0].out >= ALWAYS and chosen[1] > left * (REFUSE_CHEAP + (REFUSE_DEAR - REFUSE_CHEAP) * rank):
            return None
        return chosen[0]

    def send(self, waiting: Pending, health: Health, now: float) -> None:
        request = waiting.request
        kind = self.settings.classes[request.cls]
        end = request.until
        if not kind.stream and kind.late_share <= 0:
            end = min(end, waiting.arrived + kind.aim * END_BEFORE)
        limit = end - now
        waiting.out[waiting.attempts] = health.server.name
        waiting.attempts += 1
        waiting.tried.append(health.server.name)
        self.servers.sent(health, now)
        self.actions.append(Attempt(request.id, health.server.name, max(limit, 0.001)))

    def refuse(self, waiting: Pending, after: float, now: float) -> None:
        kind = self.settings.classes[waiting.request.cls]
        harmless = waiting.maybe_ran is None or kind.effect is Effect.SAFE or (
            kind.effect is Effect.KEYED and kind.scope is Scope.ALL)
        if harmless:
            advice = min(after, self.settings.max_retry_after) if self.settings.retry_after else 0.0
            self.actions.append(Refuse(waiting.request.id, advice))
        else:
            self.actions.append(Fail(waiting.request.id))
        self.finish(waiting, now)

    def finish(self, waiting: Pending, now: float) -> None:
        self.pending.pop(waiting.request.id, None)
        gauge = waiting.customer.open
        if gauge is None:
            return
        if waiting.admitted:
            gauge.open -= 1
        index = gauge.turn(now)
        # Told at once: with caps of two or three a place that looks taken turns the next request away.
        if gauge.told > gauge.open and self.settings.counter and self.breaker.allows(now):
            step = gauge.open - gauge.told
            gauge.told = gauge.open
            self.call(waiting, gauge, index, step, self.epoch * 2, now)

    # ---- what became of it ----

    def on_outcome(self, event: Outcome, now: float) -> None:
        self.servers.ended(event.server, event.status, event.took, now)
        waiting = self.pending.get(event.id)
        if waiting is None or event.attempt not in waiting.out:
            return
        del waiting.out[event.attempt]
        rate = waiting.customer.rate
        if event.true_units > 0 and self.settings.settles_later and rate is not None:
            change = event.true_units - waiting.request.units
            rate.owed += change
            rate.level -= change
        if event.final:
            self.finish(waiting, now)
            return
        health = self.servers.table.get(event.server)
        if not event.status.never_ran and waiting.maybe_ran is None:
            waiting.maybe_ran = health.server if health is not None else Server(
                event.server, -1, -1, -1, ServerState.GONE, 0.0, 0.0)
            waiting.maybe_at = now - event.took
        if waiting.out:
            return
        kind = self.settings.classes[waiting.request.cls]
        ran = waiting.maybe_ran is not None
        may = not ran or kind.effect is Effect.SAFE or (
            kind.effect is Effect.KEYED and now < waiting.maybe_at + kind.key_ttl)
        placed = None
        if may and not waiting.streaming and waiting.attempts < self.settings.max_attempts:
            placed = self.place(waiting, now)
        if placed is None:
            self.refuse(waiting, self.settings.max_retry_after, now)
        else:
            self.send(waiting, placed, now)

    def on_client_gone(self, event: ClientGone, now: float) -> None:
        waiting = self.pending.get(event.id)
        if waiting is None:
            return
        if self.settings.cancel and not waiting.streaming:
            self.actions += [Cancel(event.id, n) for n in waiting.out]
        self.finish(waiting, now)
