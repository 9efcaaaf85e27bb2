"""One limiter's decisions: events in, actions out, both of `interface.py`. Owns the requests that wait.
Requests ask their customer's count (`quotas.py`); the breaker diverts to a bucket if not (`breaker.py`).
Never: I/O, a clock or chance of its own. Tuned values first, each with its reason."""
import math
from collections import deque

from finchshelf.admission import interface as i
from finchshelf.admission.breaker import STRAIN, TRIP_AFTER, Breaker, Bucket
from finchshelf.admission.quotas import NAME_LIFE, Call, Customer, OpenCheck, RateCheck
from finchshelf.admission.servers import Health, Servers

CALLS_OUT, TOLD = 3, 3.0  # calls out for one count beyond which the store as last told decides; s it is good
PEER_SHARE, POSTS_AHEAD, USES_MOST = 0.9, 4.0, 40  # of an inbox all may fill; messages at once; their uses
OUT_SPAN, IDLE = 3.5, 60.0  # usual times that an attempt told of is out; s until a customer's tables go
REFUSE_CHEAP, REFUSE_DEAR = 0.11, 0.2  # expected delay, as a share of the aim, that refuses
STRETCH, END_BEFORE = 3.0, 0.98  # not below so many times the quickest; share of the aim that ends a try
STOOD_STILL, GAPS = 0.1, 10.0  # s between events that tell of our own halt, if so many usual gaps
GAPS_MOST, GAP_SMOOTH = 4.0, 0.02  # usual gaps that one counts as at most; weight of one
IDLE_SHARE = 0.4  # of the delay that refuses, for what is beyond quotas
class Pending:  # a request that has no final answer yet
    def __init__(self, request: i.Request, customer: Customer, s: i.Settings, now: float) -> None:
        self.request, self.customer, self.arrived = request, customer, now
        self.kind, self.plan = s.classes[request.cls], s.plans[request.plan]
        self.waiting, self.fell_back, self.known, self.streaming, self.promised = 0, False, False, False, 0.0
        self.calls, self.tried, self.out = list[tuple[Call, bool]](), list[i.Server](), set[int]()
        self.maybe_ran: i.Server | None = None  # the first that may have run it, and when
        self.maybe_at = 0.0
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
        if isinstance(event, i.Request):
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
            if event.kind is i.ListKind.FAILED and self.settings.ask_discovery:
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
    def meet(self, customer: int, plan: int, now: float) -> Customer:
        known = self.customers.get(customer) or Customer(customer, plan, self.settings, now)
        known.used, self.customers[customer] = now, known
        return known
    def on_request(self, request: i.Request, now: float) -> None:
        s = self.settings
        if now - self.swept > IDLE / 4:
            self.swept, self.customers = now, {k: c for k, c in self.customers.items() if now - c.used < IDLE}
        customer = self.meet(request.customer, request.plan, now)
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
                    waiting.fell_back = not (s.peers or spared) and now - customer.rate.told > TOLD
            if customer.open is not None:
                customer.open.turn(now)
                if self.breaker.spend(now):
                    self.call(waiting, customer.open, customer.open.step(1))
        elif customer.rate is not None or customer.open is not None:
            waiting.fell_back = True
        if not waiting.waiting:
            self.decide(waiting, now)
    def tell(self, request: i.Request, counted: bool) -> None:  # to those that the customer comes through
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
            customer = self.meet(use.customer, use.plan, now)
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
        check, ok = call.check, event.status is i.Status.OK
        current, lost = call.name == check.name, not ok and event.status is not i.Status.TIMEOUT
        if isinstance(check, RateCheck) and current and ok:
            check.answered(call.step, event.total, self.settings.max_units, now)
        elif isinstance(check, OpenCheck) and current and ok:
            check.answered(event.total)
        elif isinstance(check, OpenCheck) and current and lost:
            check.told -= call.step
        elif isinstance(check, RateCheck) and not (ok or lost):
            check.unsure += call.step
        waiting = self.pending.get(call.request)
        if ok:
            self.breaker.success(event.took / max(self.settings.counter_wait, 0.001), now)
        else:
            self.breaker.failure(now)
            if waiting is not None:
                # Where limiters tell each other of their use, one lost call leaves the store as they told it.
                waiting.fell_back |= self.breaker.failures >= TRIP_AFTER or not self.settings.peers
        if waiting is not None:
            waiting.known, waiting.waiting = waiting.known or ok, waiting.waiting - 1
            waiting.calls.append((call, not lost))
            if waiting.waiting == 0:
                self.decide(waiting, now)
        elif isinstance(check, RateCheck):
            check.owed += call.owed(not lost)
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
        servers, left = self.servers, self.end(waiting) - now
        chosen = servers.choose(now, left, waiting.tried, waiting.maybe_ran, waiting.kind.scope)
        if chosen is None:
            return None
        rank = (self.worths.index(waiting.kind.worth * waiting.plan.price) + 1) / len(self.worths)
        # Danger: bad estimates that nothing corrects, as all is refused. So a trickle goes out in any case.
        each = len(servers.table) / max(1, self.settings.limiters)
        few = servers.out < each and now - servers.sends_at >= servers.typical * (1 / each - 1)
        spare = share >= 1 and few and left > servers.typical / 2
        part = REFUSE_CHEAP + (REFUSE_DEAR - REFUSE_CHEAP) * rank
        # Danger: where work is a good part of the aim, a share of the aim refuses on an idle fleet.
        limit = share * min(left / 2, max(waiting.kind.aim * part, servers.low * STRETCH))
        return chosen[0] if spare or chosen[1] <= limit else None
    def end(self, waiting: Pending) -> float:  # of an attempt: just before the aim, later earns nothing
        kind, until, arrived = waiting.kind, waiting.request.until, waiting.arrived
        return until if kind.stream or kind.late_share > 0 else min(until, arrived + kind.aim * END_BEFORE)
    def send(self, waiting: Pending, health: Health, now: float) -> None:
        waiting.out.add(len(waiting.tried))
        waiting.tried.append(health.server)
        key = None if waiting.request.coming else (waiting.request.id, len(waiting.tried) - 1)
        self.servers.sent(health, key, now)
        limit = max(self.end(waiting) - now, 0.001)
        self.actions.append(i.Attempt(waiting.request.id, health.server.name, limit))
    def refuse(self, waiting: Pending, after: float, now: float, cause: str) -> None:
        kind, s, name = waiting.kind, self.settings, waiting.request.id
        dropped = kind.effect is i.Effect.KEYED and kind.scope is i.Scope.ALL  # a repeat is, by any server
        harmless = waiting.maybe_ran is None or kind.effect is i.Effect.SAFE or dropped
        advice = min(after, s.max_retry_after) if s.retry_after else 0.0
        self.actions.append(i.Refuse(name, advice, cause) if harmless else i.Fail(name))
        self.finish(waiting, now)
    def finish(self, waiting: Pending, now: float) -> None:
        self.pending.pop(waiting.request.id, None)
        if waiting.customer.open is not None and waiting.tried:
            waiting.customer.open.open -= 1
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
        may = waiting.maybe_ran is None or waiting.kind.effect is i.Effect.SAFE or (
            waiting.kind.effect is i.Effect.KEYED and now < waiting.maybe_at + waiting.kind.key_ttl)
        may &= event.status is not i.Status.NOT_SENT and len(waiting.tried) < self.settings.max_attempts
        may &= event.again
        placed = self.place(waiting, now) if may and not waiting.streaming else None
        if placed is None:
            return self.refuse(waiting, self.settings.max_retry_after, now, "attempts")
        self.send(waiting, placed, now)
