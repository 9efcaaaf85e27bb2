"""The one task that owns a limiter's requests, its table of servers and the budget; counts are `counting`'s.

Owns every request that has no final answer yet. Socket tasks put what happens on its queue; this task asks
the decisions (`choice`, `tries`, `idling`, `budget`) and carries out what they say. It must never wait for
a socket, answer a request twice, or leave one without an answer.
"""

from __future__ import annotations

import traceback
from random import Random
from typing import Any

import trio

from finchshelf.admission.outcome import ClientGone, Probed, Status
from finchshelf.configuration.document import Configuration, Limits, Route
from finchshelf.dataplane import idling, tries
from finchshelf.dataplane.answers import STALE_S, STARTING_S, plain, refusal, truthful
from finchshelf.dataplane.budget import Budget
from finchshelf.dataplane.checks import CHECK_EVERY_S, QuotaMargins, RequestChecks
from finchshelf.dataplane.choice import Choice
from finchshelf.dataplane.counting import Counting, Told
from finchshelf.dataplane.dialect import MISDIRECTED, Reader, Request
from finchshelf.dataplane.failures import Failures
from finchshelf.dataplane.leaving import COME_AGAIN_S, Leaving
from finchshelf.dataplane.news import News
from finchshelf.dataplane.steering import Steering
from finchshelf.dataplane.targets import Targets
from finchshelf.dataplane.timers import Due, Timer, Timers
from finchshelf.dataplane.tries import Next, Tried
from finchshelf.dataplane.version_trials import VersionTrials
from finchshelf.experience.policy import DEFAULT, Policy
from finchshelf.membership.records import Server
from finchshelf.rollout.evidence import SAFE, Seen
from finchshelf.transport.address import Address
from finchshelf.transport.clients import Clients
from finchshelf.transport.exchange import Answer, Arrived, Attempt, Clock, Ended, Exchange
from finchshelf.transport.halts import Halts, read_first
from finchshelf.transport.mailbox import Mailbox
from finchshelf.transport.servers import Servers
from finchshelf.transport.telemetry import Telemetry

OF_REQUESTS = (Due.HEDGE, Due.END)  # timers whose number is a request's


Item = Request | Ended | Arrived | ClientGone | Told | News | Probed


class Core:
    def __init__(
        self,
        me: str,
        zone: str,
        clock: Clock,
        telemetry: Telemetry,
        random: Random,
        ratio: float,
        slack: float,
        policy: Policy = DEFAULT,
        quota: QuotaMargins | None = None,
    ) -> None:
        self.me, self.clock, self.telemetry, self.count = me, clock, telemetry, telemetry.count
        self.random = random
        self.configuration = Configuration(0, (), {}, {}, Limits())
        self.choice, self.budget = Choice(zone, random), Budget(ratio, slack)
        self.targets = Targets(self.choice)
        self.idling = idling.Idling()
        self.steering = Steering(me, policy, self.choice)
        self.steering.probe = self.probe
        self.failures, self.checks = Failures(telemetry), RequestChecks(telemetry.monitor)
        self.counting = Counting(me, self, quota or QuotaMargins())
        self.trials = VersionTrials(self.choice, lambda: self.counting.in_touch(), self.count)
        self.mailbox: Mailbox[Any] = Mailbox()
        self.live: dict[int, Request] = {}
        self.timers = Timers()
        self.halts = Halts(clock, telemetry)
        self.seen = Seen()
        self.leaving: Leaving | None = None  # the planned end that is under way
        self.last = 0
        self.servers: Servers
        self.clients: Clients

    # ---- for the socket tasks: nothing here waits ----

    def next_id(self) -> int:
        self.last += 1
        return self.last

    @property
    def addresses(self) -> dict[str, Address]:
        return self.targets.addresses

    def halted(self, now: float) -> bool:
        return self.halts.halted(now)

    def put(self, item: Any) -> None:
        self.mailbox.put(item)

    # ---- the task itself ----

    async def run(self) -> None:
        self.timers.add(self.clock.now() + self.counting.caller.pace(), Due.COUNT_BEAT)
        self.timers.add(self.clock.now() + CHECK_EVERY_S, Due.CHECK)
        while True:
            until = trio.current_time() + self.timers.wait(self.clock.now())
            items = await self.mailbox.take(until)
            if items and self.halted(self.clock.now()):
                items = await self.caught_up(items)
            for item in items:
                try:
                    self.take(item, self.clock.now())
                except Exception as error:  # Danger: one event that can't be taken would end every request
                    self.fault(item, error)
            now = self.clock.now()
            for timer in self.timers.due(now):
                try:
                    self.tick(timer, now)
                except Exception as error:  # Danger: one timer would end the program with all its requests
                    self.fault(self.live.get(timer.number) if timer.due in OF_REQUESTS else None, error)
            self.counting.wire.flush()

    async def caught_up(self, items: list[Item]) -> list[Item]:
        """After a halt: what the sockets still held is added, and news comes first.

        Danger: an old request would be decided before news that came meanwhile, and go to a server that
        drains, or be sent for a client whose hanging up is not read yet."""
        self.count["core.halts"] += 1
        await read_first()
        return sorted([*items, *self.mailbox.rest()], key=lambda item: not isinstance(item, News))

    def fault(self, item: Any, error: Exception) -> None:
        self.telemetry.rare("core.error", error=repr(error), trace=traceback.format_exc(limit=-4))
        request = item.attempt.exchange if isinstance(item, Ended) else item
        if isinstance(request, Request):
            # Danger: a try of it may still be out. Its server would go on for a client that has its answer.
            self.finish(request, plain(502), "out.failed")

    def timer(self, at: float, due: Due, number: int) -> None:
        self.timers.add(at, due, number)

    def tick(self, timer: Timer, now: float) -> None:
        if timer.due is Due.COUNT_ANSWER:
            self.counting.overdue(timer.number, now)
        elif timer.due is Due.COUNT_BEAT:
            try:
                self.counting.beat(now)
            finally:
                self.timers.add(now + self.counting.caller.pace(), Due.COUNT_BEAT)
        elif timer.due is Due.CHECK:
            self.timers.add(now + CHECK_EVERY_S, Due.CHECK)
            # Danger: after a halt it is late itself. Only the timers before its own moment were carried out.
            self.checks.overdue(self.live.values(), timer.at)
        elif (request := self.live.get(timer.number)) is None:
            return
        elif timer.due is Due.HEDGE:
            self.hedge(request, now)
        elif timer.due is Due.END:
            self.overdue(request, now)

    def watch_end(self, request: Exchange) -> None:
        """Look at it again when its time is up."""
        self.timers.add(request.until + tries.OVERDUE, Due.END, request.id)

    def overdue(self, request: Request, now: float) -> None:
        """A request's time is up: it gets the last answer that is true of it."""
        if now < request.until + tries.OVERDUE:
            return self.watch_end(request)  # its body still came
        self.count["overdue"] += 1
        may_have = request.may_have_run or request.out
        self.finish(request, plain(504 if may_have else 503), "out.overdue")

    def take(self, item: Item, now: float) -> None:
        if isinstance(item, Request):
            self.arrived(item, now)
        elif isinstance(item, Ended):
            self.ended(item, now)
        elif isinstance(item, Arrived):
            # Danger: if its server stops reading, its client would wait for as long as its body might take.
            self.watch_end(item.exchange)
        elif isinstance(item, Told):
            self.counting.answered(item, now)
        elif isinstance(item, News):
            self.news(item, now)
        elif isinstance(item, Probed):
            self.count[f"probes.{item.status.value}"] += 1
            self.steering.probed(item.server, item.status is Status.OK)
        elif isinstance(item, ClientGone):
            request = self.live.pop(item.id, None)
            if request is not None:
                self.count["in.gone"] += 1
                self.failures.ended(request, "in.gone", 0, now)
                if self.seen.on and request.route is not None:
                    self.seen.add(request.route.label, "broken")
                self.cancel(request)

    # ---- a request ----

    def arrived(self, request: Request, now: float) -> None:
        self.count["in.requests"] += 1
        self.live[request.id] = request
        if self.seen.on:
            self.seen.add(request.route.label if request.route is not None else "", "taken")
        if self.configuration.version == 0:
            return self.answer(request, refusal(503, STARTING_S), "refused.starting")
        if request.verdict and request.version != self.configuration.version:
            # Danger: read before the news and decided after them, as after a halt, it would be refused by
            # what is no longer in force, or by nothing at all. It has not run: its client may ask again.
            return self.answer(request, refusal(503, STALE_S), "refused.stale")
        if request.route is None or request.verdict:
            return self.answer(request, plain(request.verdict or 404), f"refused.{request.verdict}")
        if now >= request.until:  # it came during a halt: its client has given up, so nobody is asked
            return self.answer(request, plain(503), "refused.late")
        if self.leaving is not None and not self.leaving.takes(
            request.until, request.stream is not None, now
        ):
            return self.answer(request, refusal(503, COME_AGAIN_S), "refused.ending")
        request.service = self.service(request.route)
        self.budget.arrived(request.service)
        self.watch_end(request)
        self.counting.begin(request, now)

    def service(self, route: Route) -> str:
        if len(route.services) == 1:
            return route.services[0][0]
        names, gains = zip(*route.services, strict=True)
        return str(self.random.choices(names, gains)[0])

    # ---- its tries ----

    def send(self, request: Request, now: float) -> None:
        """The first try, or the end where no server has room."""
        assert request.route is not None
        if not self.attempt(request, now):
            usual = self.choice.usual.get(request.route.label, 0.1)
            return self.answer(
                request, refusal(503, tries.come_again(usual, self.random.random())), "refused.room"
            )
        if request.route.repeatable and request.route.trials > 1 and request.stream is None:
            usual = self.choice.usual.get(request.route.label, request.route.target)
            self.timers.add(now + tries.hedge_after(request.route.target, usual), Due.HEDGE, request.id)

    def attempt(self, request: Request, now: float) -> bool:
        assert request.route is not None
        left = request.until - now
        server = self.trial(request, now) if self.steering.duties and not request.tried and left > 0 else None
        server = server or (self.trials.server_for(request, now) if left > 0 else None)
        once = request.route is not None and not request.route.repeatable
        server = server or self.choice.pick(request.service, now, request.tried, request.rank, once)
        if server is None or left <= 0:
            return False
        request.tried.append(server.id)
        self.start(request, server.id, self.idling.most(request.service, not request.route.repeatable), now)
        return True

    def start(self, request: Request, server: str, most_idle: float, now: float) -> None:
        """One try out; `most_idle`: s that its connection may have idled."""
        if self.seen.on and (request.out or request.may_have_run) and request.method not in SAFE:
            assert request.route is not None  # it may run a second time, whatever the route says of it
            self.seen.add(request.route.label, "repeated")
        known = self.choice.table.get(server)
        self.checks.trying(request, known.record if known is not None else None, server)
        attempt = Attempt(
            request,
            request.attempts,
            server,
            self.addresses[server],
            request.until - now,
            now,
            request.until,
            most_idle,
        )
        request.out[attempt.number] = attempt
        request.attempts += 1
        self.choice.sent(server)
        self.count["tries"] += 1
        self.servers.start(attempt)

    def trial(self, request: Request, now: float) -> Server | None:
        """The server that this limiter is to try, if this request may go to another one after it."""
        assert request.route is not None
        if not request.route.repeatable or request.route.trials < 2 or request.stream is not None:
            return None
        name = self.steering.trial(request.service, now)
        self.count["tries.trial"] += name is not None
        if name is None or not self.choice.versions.allows(self.choice.table[name].record):
            return None
        return self.choice.table[name].record

    def probe(self, server: str) -> bool:
        return self.targets.probe(server, self.servers)

    def probe_path(self, server: str) -> str:
        return self.targets.probe_path(server, self.configuration.services)

    def hedge(self, request: Request, now: float) -> None:
        """A repeatable request that takes long goes to a second server as well."""
        assert request.route is not None
        if len(request.out) == 1 and len(request.tried) < request.route.trials and not request.hedged:
            usual = self.choice.usual.get(request.route.label, 0.0)
            if request.until - now > usual and self.budget.spend(request.service):
                request.hedged = self.attempt(request, now)
                self.count["tries.hedged"] += request.hedged

    def ended(self, item: Ended, now: float) -> None:
        attempt = item.attempt
        request = attempt.exchange
        assert isinstance(request, Request) and request.route is not None
        request.out.pop(attempt.number, None)
        self.failures.tried(request, item, now)
        load, status = None, item.status
        lost = status is Status.RESET and not item.heard
        if item.idle is not None and (item.heard or lost):
            self.idling.ended(request.service, item.idle, lost, now)
        dropped = idling.dropped(item.idle, item.heard, status is Status.RESET)
        if dropped:  # its connection's end says nothing of how the server does
            self.count["tries.dropped"] += 1
            status = Status.CANCELLED
        if item.load:
            load = (int(item.load["running"]), int(item.load["waiting"]), int(item.load["slots"]))
        if self.steering.on:
            # The time of a streamed body is its client's.
            usual = self.choice.usual.get(request.route.label, 0.0) if request.stream is None else 0.0
            took = now - attempt.issued
            self.steering.ended(attempt.server, status, item.used, took, usual, load, now)
        self.trials.ended(request.route.label, attempt, status, now)
        self.choice.ended(attempt.server, request.route.label, status, now - attempt.issued, load, now)
        self.count[f"tries.{item.status.value}"] += 1
        if item.used == MISDIRECTED:
            self.targets.gone(attempt.server, self.servers)
        if self.seen.on and item.status is Status.OK and request.method not in SAFE:
            self.seen.ran(request.route.label, request.named())
        if request.id not in self.live:
            if item.answer is not None and item.answer.more is not None:
                item.answer.more.close()  # Danger: nobody takes the rest, and its server would wait for good
            return
        if item.status is Status.OK and item.answer is not None:
            return self.finish(request, item.answer, "out.served")
        if item.answer is not None:
            if item.answer.more is not None:
                return self.finish(request, item.answer, "out.error")
            request.last = item.answer
        usual = self.choice.usual.get(request.route.label, 0.0)
        tried = Tried(
            request.route.repeatable,
            request.may_have_run,
            len(request.out),
            len(request.tried),
            request.route.trials,
            request.again,
            request.until - now,
            usual,
            request.last is not None,
        )
        # Danger: a server often closes its kept connections because it leaves; by now that may be known here.
        if (
            dropped
            and self.choice.takes(attempt.server)
            and tries.renews(tried, request.renewed)
            and self.budget.spend(request.service)
        ):
            request.renewed = True
            self.count["tries.renewed"] += 1
            return self.start(request, attempt.server, 0.0, now)
        follow = tries.after(tried, item.status, False)
        may = tries.after(tried, item.status, True) is Next.AGAIN and self.budget.spend(request.service)
        if may and self.attempt(request, now):
            self.count["tries.again"] += 1
            return
        self.close(request, follow, usual)

    def close(self, request: Request, follow: Next, usual: float) -> None:
        if follow is Next.WAIT:
            return
        if follow is Next.PASS and request.last is not None:
            self.finish(request, request.last, "out.error")
        elif follow is Next.PROMISE:
            self.finish(request, refusal(503, tries.come_again(usual, self.random.random())), "refused.tries")
        else:
            self.finish(request, plain(504 if follow is Next.LATE else 502), "out.failed")

    def finish(self, request: Request, answer: Answer, counted: str) -> None:
        self.answer(request, answer, counted)
        self.cancel(request)

    def refuse(self, request: Request, after: float, counted: str) -> None:
        """No room in its tenant's quota; it may come again in `after` s."""
        self.answer(request, refusal(429, after), counted)

    def answer(self, request: Request, answer: Answer, counted: str) -> None:
        if self.live.pop(request.id, None) is None:
            return
        # Danger: the answer goes first. An error in what only counts it would leave the client without one.
        told = truthful(request, answer)
        request.reply(told)
        self.count[counted] += 1
        self.checks.answering(request, answer.status, counted)
        self.failures.ended(request, counted, told.status, self.clock.now())
        if self.seen.on:
            route = request.route
            self.seen.ended(
                route.label if route else "",
                route.target if route else 0.0,
                counted,
                answer.status,
                self.clock.now() - request.came,
            )

    def cancel(self, request: Request) -> None:
        for attempt in request.out.values():
            attempt.cancel()

    # ---- what control planes tell ----

    def news(self, item: News, now: float) -> None:
        self.trials.news(item, self.telemetry.log)
        for record in item.servers:
            self.targets.put(record, self.servers)
            self.steering.apply(record.id)  # a verdict may have been here before its server
        if item.whole is not None:
            self.targets.keep(item.whole)
        before = self.counting.limiters
        if item.limiters is not None and self.counting.listed(item.limiters, now):
            self.budget.limiters = len(self.counting.caller.limiters)
            if item.limiters is not before:
                self.steering.limiters = sorted({self.me, *item.limiters})
        new = item.configuration
        # The follower tells of newer slots alone. A restored core's newest may have a lower version.
        if new is not None:
            self.checks.configured(new.version, item.slot)
            self.configuration = new
            self.clients.renew(Reader(new), 0.0)
            self.telemetry.log("configuration", version=new.version, routes=len(new.routes))
        for route, took in item.usual.items():
            self.choice.usual.setdefault(route, took)
        # Danger: a server at its ceiling resets a limiter that holds no connection to it yet.
        if ceilings := [one.ceiling for one in self.configuration.services.values()]:
            self.servers.each = idling.kept(min(ceilings), len(self.counting.caller.limiters))
        # Danger: verdicts come last, so that one which can't be read costs no configuration.
        if item.verdicts:
            self.steering.news(item.verdicts, now)
        if item.servers:
            self.steering.keep()

    def ready(self) -> bool:
        return self.configuration.version > 0 and any(
            self.choice.ready((name,)) for name in self.configuration.services
        )
