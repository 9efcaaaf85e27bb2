"""The one task that owns the module, its clock and its timers.

Owns the `Limiter`, the queue of events, the heap of timers and the table of requests that have no final
answer yet. Socket tasks put events on the queue; this task stamps them, calls `handle` and carries out the
actions. It must never wait for a socket, and nothing else may call the module. It decides nothing by itself.
"""

from __future__ import annotations

import heapq
import math
import traceback
from collections import deque
from collections.abc import Iterable

import trio

from finchshelf.admission import interface as i
from finchshelf.admission.limiter import Limiter
from finchshelf.node.config import Config
from finchshelf.node.items import (
    FAILED,
    REFUSED,
    CounterPort,
    Exchange,
    Item,
    Listed,
    Maintenance,
    Renewal,
    ServersPort,
    owned,
    refusal,
)
from finchshelf.transport import exchange as carried
from finchshelf.transport.address import Address
from finchshelf.transport.exchange import Answer, Arrived, Attempt, Clock, Ended
from finchshelf.transport.halts import Halts, read_first
from finchshelf.transport.telemetry import Telemetry

STOOD_STILL = 0.05  # s that an event waited here, after which the sockets are read before it is handled
OVERDUE = 0.05  # s past a client's time at which an answer counts as late
LEAST_ENDS = 1024  # times of requests that are kept though they have their answer, beside those that wait
OVERLAP = 7.0  # s after the start of a second process until the first has ended (6 s, and its last)
FOLLOW = 1.2  # s after new settings in which clients still name classes by the former ones (protocol)


class Core:
    def __init__(self, config: Config, clock: Clock, telemetry: Telemetry, beside: bool = False) -> None:
        self.clock, self.telemetry, self.count = clock, telemetry, telemetry.count
        # Danger: in an upgrade the former process still sends: what this one let in is not all that was.
        self.limiter = Limiter(config.settings, config.seed, clock.now(), clock.now() + OVERLAP * beside)
        self.servers: ServersPort
        self.counter: CounterPort | None = None
        # Modules of former settings that still have requests, attempts or calls out; who made which call.
        self.former: list[Limiter] = []
        self.callers: dict[int, deque[Limiter]] = {}
        self.members: dict[str, i.Server] = {}
        self.offline: set[str] = set()  # servers that operators took out, whatever the list says
        self.queue: deque[Item] = deque()
        self.put_at = -math.inf
        self.sleeper: trio.lowlevel.Task | None = None
        self.timers: list[tuple[float, int, int, Limiter]] = []
        self.live: dict[int, Exchange] = {}
        self.ends: list[tuple[float, int]] = []
        self.slack = config.settings.answer_slack
        self.out: dict[tuple[int, int], Attempt] = {}
        self.addresses: dict[str, Address] = {}
        self.last_id = self.timer_id = 0
        self.listed = False
        self.tripped = False
        self.halts = Halts(clock, telemetry)
        self.follow_until = -math.inf  # until then a former module may still get requests

    # ---- for the socket tasks: nothing here waits ----

    def next_id(self) -> int:
        self.last_id += 1
        return self.last_id

    def put(self, item: Item) -> None:
        if not self.queue:
            self.put_at = self.clock.now()
            if self.sleeper is not None:
                trio.lowlevel.reschedule(self.sleeper)
                self.sleeper = None
        self.queue.append(item)

    def halted(self, now: float) -> bool:
        """Has this process stood still until a moment ago? What the sockets hold is then old."""
        return self.halts.halted(now)

    # ---- the task itself ----

    async def run(self) -> None:
        self.act(self.limiter.start(), self.clock.now(), self.limiter)
        while True:
            if not self.queue:
                await self.sleep()
            if self.clock.now() - self.put_at > STOOD_STILL and self.queue:
                # Danger: after a halt an old event would be decided before news that came meanwhile, and go
                # to a server that drains. So what the sockets hold is read first.
                self.count["core.halts"] += 1
                await read_first()
            batch = list(self.queue)
            self.queue.clear()
            self.turn(batch)

    async def sleep(self) -> None:
        due = min(self.timers[0][0] if self.timers else math.inf, self.next_end())
        if self.counter is not None:
            due = min(due, self.counter.next_expiry())
        if self.former and self.follow_until > self.clock.now():
            due = min(due, self.follow_until)  # a former module may go then
        if due == math.inf:
            await self.parked()
            return
        with trio.move_on_after(max(0.0, due - self.clock.now())):
            await self.parked()

    async def parked(self) -> None:
        """Until `put` wakes this task; what an event object would do, without a new one for each turn."""
        self.sleeper = trio.lowlevel.current_task()
        await trio.lowlevel.wait_task_rescheduled(self.unpark)

    def unpark(self, _: object) -> trio.lowlevel.Abort:
        self.sleeper = None
        return trio.lowlevel.Abort.SUCCEEDED

    def turn(self, batch: list[Item]) -> None:
        """All that came since the last turn, at one time: drains and operators first, then the rest."""
        now = self.clock.now()
        if len(batch) > 1:
            batch.sort(key=lambda item: not isinstance(item, Listed | Maintenance))
        for item in batch:
            try:
                self.take(item, now)
            except Exception as error:  # Danger: one event that can't be taken would end every request
                self.fault(item, error)
        if self.counter is not None:
            self.counter.expire(now)
        try:
            while self.timers and self.timers[0][0] <= now:
                _, _, tag, owner = heapq.heappop(self.timers)
                self.handle(i.Timer(tag), now, owner)
            self.end_overdue(now)
        except Exception as error:
            self.fault(None, error)
        if self.counter is not None:
            self.counter.flush()
        if self.former:
            self.retire()

    def next_end(self) -> float:
        """When the next of the requests without an answer is overdue."""
        ends = self.ends
        while ends and ends[0][1] not in self.live:
            heapq.heappop(ends)
        return ends[0][0] if ends else math.inf

    def watch_end(self, exchange: carried.Exchange) -> None:
        """Note when a request is overdue."""
        if len(self.ends) > LEAST_ENDS + 4 * len(self.live):
            # Danger: uploads that are answered soon leave their latest times, a quarter of an hour off, here.
            self.ends = [end for end in self.ends if end[1] in self.live]
            heapq.heapify(self.ends)
        heapq.heappush(self.ends, (exchange.until + self.slack, exchange.id))

    def end_overdue(self, now: float) -> None:
        """The last resort: whatever was lost on the way, a client gets one answer in time."""
        while self.next_end() <= now:
            request = heapq.heappop(self.ends)[1]
            self.telemetry.rare("overdue")
            owner = self.live[request].owner
            self.answer(request, FAILED, "out.failed")
            self.handle(i.ClientGone(request), now, owner)

    def fault(self, item: Item | None, error: Exception) -> None:
        self.telemetry.rare("core.error", error=repr(error), trace=traceback.format_exc(limit=-4))
        if __debug__:
            raise error
        exchange = item.attempt.exchange if isinstance(item, Ended) else item
        if isinstance(exchange, Exchange):
            self.answer(exchange.id, FAILED, "out.failed")

    def take(self, item: Item, now: float) -> None:
        if isinstance(item, Exchange):
            self.count["in.requests"] += 1
            # Danger: a class is a number in the settings by which the request was read; another module's
            # number for it may name a class of another effect.
            owner: Limiter | None = self.limiter
            if item.settings is not None and item.settings is not self.limiter.settings:
                owner = next((one for one in self.former if one.settings is item.settings), None)
            if owner is None:  # read by settings whose module has gone: nothing can decide it here
                self.count["core.unowned"] += 1
                return item.reply(REFUSED)
            self.live[item.request.id], item.owner = item, owner
            self.watch_end(item)
            self.handle(item.request, now)
        elif isinstance(item, Arrived):
            self.watch_end(item.exchange)
        elif isinstance(item, Ended):
            self.ended(item, now)
        elif isinstance(item, Listed):
            self.news(item, now)
        elif isinstance(item, Maintenance):
            self.maintain(item, now)
        elif isinstance(item, Renewal):
            self.renew(item.config, now)
        elif isinstance(item, i.ClientGone):
            exchange = self.live.pop(item.id, None)
            if exchange is not None:
                self.count["in.gone"] += 1
                self.handle(item, now, exchange.owner)
        elif isinstance(item, i.Counted):
            callers = self.callers[item.name]
            owner = callers.popleft()
            if not callers:
                del self.callers[item.name]
            self.handle(item, now, owner)
        else:
            self.handle(item, now)

    def maintain(self, item: Maintenance, now: float) -> None:
        """Tell every module of an operator's call; answered once they all have it."""
        if item.checked and item.server not in self.members and item.server not in self.offline:
            return item.reply(f"-ERR no server {item.server} is known here")
        (self.offline.add if item.offline else self.offline.discard)(item.server)
        # Danger: the server restarts meanwhile; a kept connection would reset an attempt that may have run.
        self.servers.forget(item.server)
        for limiter in (*self.former, self.limiter):
            self.handle(i.Maintenance(item.server, item.offline), now, limiter)
        self.telemetry.log(
            "maintenance",
            server=item.server,
            state="offline" if item.offline else "online",
            offline=len(self.offline),
        )
        item.reply(f"+OK {item.server} {'offline' if item.offline else 'online'}")

    def renew(self, config: Config, now: float) -> None:
        """A module with new settings takes all that comes from now on; the former one ends what it has."""
        former, self.limiter = self.limiter, Limiter(config.settings, config.seed, now)
        self.former.append(former)
        self.follow_until = now + FOLLOW
        self.slack = config.settings.answer_slack
        self.handle(i.Members(i.ListKind.CACHED, tuple(self.members.values())), now)
        for server in sorted(self.offline):
            self.handle(i.Maintenance(server, True), now)
        self.limiter.servers.inherit(former.servers)
        self.telemetry.log("settings", state="taken", servers=len(self.members), still_open=len(self.live))
        self.act(self.limiter.start(), now, self.limiter)

    def retire(self) -> None:
        """Let go of former modules that have nothing left to end, once clients name classes by the new."""
        if self.clock.now() < self.follow_until:
            return
        busy = {id(exchange.owner) for exchange in self.live.values()}
        busy |= {id(owned(attempt).owner) for attempt in self.out.values()}
        busy |= {id(owner) for owners in self.callers.values() for owner in owners}
        self.former = [limiter for limiter in self.former if id(limiter) in busy]

    def ended(self, item: Ended, now: float) -> None:
        attempt = item.attempt
        request = attempt.exchange.id
        self.telemetry.holds(self.out.pop((request, attempt.number), None) is not None, "one_outcome")
        self.count[f"attempts.{item.status.value}"] += 1
        self.count["attempts.settled"] += item.true_units > 0
        final = request not in self.live
        if item.answer is not None and not final:
            self.answer(request, item.answer, "out.served")
            final = True
        elif item.answer is not None and item.answer.more is not None:
            item.answer.more.close()  # Danger: nobody takes the rest, and its server would wait for good
        took = now - attempt.issued
        exchange = owned(attempt)
        self.handle(
            i.Outcome(
                request,
                attempt.number,
                attempt.server,
                item.status,
                took,
                final,
                item.used,
                item.true_units,
                item.load or {},
                exchange.again,
                exchange.stream is not None,
            ),
            now,
            exchange.owner,
        )

    def news(self, item: Listed, now: float) -> None:
        kept = item.members.kind in (i.ListKind.FULL, i.ListKind.CACHED)
        before = self.addresses
        self.addresses = dict(item.addresses) if kept else {**before, **item.addresses}
        for server in item.members.servers:
            if server.state is i.ServerState.GONE:
                self.addresses.pop(server.name, None)
            elif server.state is i.ServerState.DRAINING:
                self.servers.forget(server.name)
        for name, address in before.items():
            if self.addresses.get(name) != address:
                self.servers.forget(name)
        self.listed |= bool(self.addresses)
        self.members = {} if kept else self.members
        for server in item.members.servers:
            self.members[server.name] = server
            if server.state is i.ServerState.GONE:
                del self.members[server.name]
        for limiter in (*self.former, self.limiter):
            self.handle(item.members, now, limiter)

    def handle(self, event: i.Event, now: float, owner: Limiter | None = None) -> None:
        limiter = owner or self.limiter
        self.act(limiter.handle(event, now), now, limiter)
        tripped = now < self.limiter.breaker.open_until
        if tripped is not self.tripped:
            self.tripped = tripped
            self.telemetry.log("breaker", state="open" if tripped else "closed")

    def act(self, actions: Iterable[i.Action], now: float, limiter: Limiter) -> None:
        for action in actions:
            if isinstance(action, i.Attempt):
                self.send(action, now)
            elif isinstance(action, i.Count):
                self.count["counter.calls"] += 1
                if self.counter is not None:  # the configuration sees to that
                    self.callers.setdefault(action.name, deque()).append(limiter)
                    self.counter.call(action.name, action.amount, action.ttl, now)
            elif isinstance(action, i.Refuse):
                self.count[f"refused.{action.cause}"] += 1
                self.answer(action.id, refusal(action.retry_after), "out.refused")
            elif isinstance(action, i.Fail):
                self.answer(action.id, FAILED, "out.failed")
            elif isinstance(action, i.Cancel):
                attempt = self.out.get((action.id, action.attempt))
                if attempt is not None:
                    attempt.cancel()
            elif isinstance(action, i.SetTimer):
                self.timer_id += 1
                heapq.heappush(self.timers, (now + action.after, self.timer_id, action.tag, limiter))
            elif isinstance(action, i.Probe) and action.server in self.addresses:
                self.count["probes"] += 1
                self.servers.probe(action.server, self.addresses[action.server])
            # Watch: discovery watches from the start by itself, so there is nothing to do.

    def send(self, action: i.Attempt, now: float) -> None:
        exchange = self.live.get(action.id)
        address = self.addresses.get(action.server)
        if (
            not self.telemetry.holds(exchange is not None and address is not None, "attempt_known")
            or exchange is None
            or address is None
        ):
            return
        self.telemetry.holds(exchange.again, "bytes_at_hand")
        left = exchange.until - now
        sooner = exchange.request.until - exchange.until  # the module reckons with the latest last byte
        limit = min(action.limit - sooner, left) if action.limit > 0 else left
        attempt = Attempt(
            exchange, exchange.attempts, action.server, address, max(limit, 0.001), now, exchange.until
        )
        exchange.attempts += 1
        self.out[action.id, attempt.number] = attempt
        self.count["attempts.sent"] += 1
        self.servers.start(attempt)

    def answer(self, request: int, answer: Answer, counted: str) -> None:
        exchange = self.live.pop(request, None)
        if exchange is None:
            return
        self.count[counted] += 1
        if self.clock.now() > exchange.until + OVERDUE:
            self.count["out.late"] += 1
        exchange.reply(answer)
