"""What servers and operators call: one handler object for each resource.

Owns the meaning of each call and the status of its answer. It must never acknowledge what is not yet held by
more than half of the core: a drain in their memory, a configuration on their disks. While it is cut off it
acknowledges nothing.
"""

from __future__ import annotations

from collections.abc import Callable
from functools import partial
from typing import Any, Protocol
from urllib.parse import parse_qs

import orjson
import trio

from finchshelf import invariants
from finchshelf.agreement import orders
from finchshelf.agreement.core import Refusal, Value
from finchshelf.agreement.orders import Order, Ruling
from finchshelf.configuration import change as changes
from finchshelf.controlplane import early
from finchshelf.controlplane.cells import Cells
from finchshelf.controlplane.early import Early
from finchshelf.controlplane.news import News
from finchshelf.controlplane.ranks import of_call
from finchshelf.controlplane.register import Register, Unsettled
from finchshelf.controlplane.turns import Busy, Turns
from finchshelf.controlplane.watch import CallWatch
from finchshelf.membership import rendezvous
from finchshelf.membership.records import DECAYING, STABLE, Unfit, read_beat
from finchshelf.transport.calls import Call, told
from finchshelf.transport.exchange import Answer

LIMIT = 0.85  # s for a change to be decided: an operator asks another limiter after a second of silence
READ = 0.7  # s for a read
MOST_BEAT = 16384  # bytes of a beat
ASK_THE_CORE = (
    "setpoint.replace",
    "setpoint.adjust",
    "setpoint.observe",
    "transitions.begin",
    "transitions.observe",
)


class Resource(Protocol):
    async def call(self, of: str, body: bytes) -> Answer: ...


class Pulse:
    """`servers.pulse`: a server says that it is there, and how."""

    def __init__(self, cells: Cells, news: News, now: Callable[[], float], port: int) -> None:
        self.cells, self.news, self.now, self.port = cells, news, now, port

    async def call(self, of: str, body: bytes) -> Answer:
        try:
            if len(body) > MOST_BEAT:
                raise Unfit("read a beat", "body", "too large")
            record = read_beat(of, orjson.loads(body), self.now())
        except (orjson.JSONDecodeError, Unfit) as error:
            return told(400, {"error": str(error)})
        if self.cells.beat(record, self.now()):
            self.news.wake()
        if self.news.apart():
            # Danger: beating on here, it would be lost to all limiters that ask the side that decides. It is
            # noted all the same: those that ask here alone must know that it is there, or that it leaves.
            return told(503, {"error": "cut off from the core"})
        if record.mode == DECAYING and not self.cells.held.known(of, self.now()):
            # Danger: acknowledged here alone and then forgotten, the server ends with requests on their way.
            row = self.cells.servers.rows[of]
            assert row.mode != STABLE, f"a drain that was not taken: {row}"
            if not await self.news.hold(row):
                return told(503, {"error": "not held by more than half of the core"})
            self.cells.held.add(of, self.now())
        if record.mode == DECAYING:
            self.news.register.monitor.check(
                self.cells.held.known(of, self.now()), invariants.DRAIN_HELD, server=of, count=record.count
            )
        return told(200, self.target(of, record.zone))

    def target(self, of: str, zone: str) -> dict[str, str]:
        """The server's own cell, for its later beats: of several in its zone one by its name, of none in its
        zone any.

        Danger: told nothing because it came to the right one, it goes to any for its next beat, and all
        control planes hear that it moved."""
        named = self.cells.named
        own = rendezvous.first(
            of, [address for address, place in named if place == zone] or [address for address, _ in named]
        )
        return {"pulseTarget": f"{own.rpartition(':')[0]}:{self.port}"} if own else {}


class Departure:
    """`servers.departure`: a server ends."""

    def __init__(self, cells: Cells, news: News, now: Callable[[], float]) -> None:
        self.cells, self.news, self.now = cells, news, now

    async def call(self, of: str, body: bytes) -> Answer:
        if not 0 < len(of) <= 128 or not of.isascii() or not of.isprintable():
            return told(400, {"error": "read a departure: of: expected the server's id"})
        record, news = self.cells.depart(of, self.now())
        if news:
            self.news.wake()
        if not await self.news.hold(record):
            return told(503, {"error": "not held by more than half of the core"})
        return told(200)


class Change:
    """`setpoint.replace` and `setpoint.adjust`: a configuration on top of the one it names."""

    def __init__(
        self,
        register: Register,
        kind: changes.Kind,
        log: Callable[..., None],
        newer: Callable[[Value], bool] = lambda _: True,
    ) -> None:
        """`newer`: may the value after this one be in the form that an older text does not read?"""
        self.register, self.kind, self.log, self.newer, self.early = register, kind, log, newer, Early()

    async def call(self, of: str, body: bytes) -> Answer:
        try:
            wanted = await trio.to_thread.run_sync(changes.read_change, self.kind, body)
        except changes.Invalid as error:
            return told(400, {"error": str(error)})
        try:
            with trio.fail_after(LIMIT) as scope:
                return await self.decide(wanted, scope)
        except (Unsettled, trio.TooSlowError):
            return told(503, {"error": "not decided in time; it may be yet: send it again"})

    async def decide(self, wanted: changes.Change, scope: trio.CancelScope) -> Answer:
        order, waited = Order(wanted.version, wanted.prior, wanted.digest), False
        while True:
            current = await self.register.read(READ)
            ruling = orders.rule(current, order)
            if ruling is Ruling.AHEAD and not waited:
                waited = True
                await self.base(order)
                continue  # danger: what came may be its base, another on its base, or a copy of it
            if ruling is Ruling.AHEAD:
                if self.early.may_come(order, trio.current_time()):
                    return told(503, {"error": "the version it builds on is not there: send it again"})
                # Danger: told before it is decided, the refusal would be undone by a copy that comes late.
                ruling = await self.change(partial(orders.bar, order=order), Ruling.REFUSED)
            elif ruling is Ruling.OPEN:
                try:
                    document = await trio.to_thread.run_sync(applied, current, wanted)
                except changes.Invalid as error:
                    return told(400, {"error": str(error)})
                # Danger: a document that takes longer than this to reach a member would never be decided.
                # Whoever sends a large body waits longer for its answer.
                longer = self.register.peers.takes(document)
                scope.deadline += longer
                take = partial(orders.take, order=order, base=current, document=document)
                ruling = await self.change(take, Ruling.TAKEN, longer)
            if ruling not in (Ruling.OPEN, Ruling.AHEAD):  # its base came, or went, meanwhile
                return self.answer(ruling, order)

    async def base(self, order: Order) -> None:
        """Returns once this machine knows a value that is not before its base, or after a while."""
        if not self.early.begin():
            return
        try:
            with trio.move_on_after(early.WAIT):
                while (known := self.register.decided) and orders.rule(known, order) is Ruling.AHEAD:
                    await self.register.decided_event.wait()
        finally:
            self.early.end()

    async def change(self, make: Callable[..., Value | Refusal], done: Ruling, longer: float = 0.0) -> Ruling:
        made = await self.register.change(
            lambda value: make(value, newer=self.newer(value)), LIMIT + longer, f"setpoint.{self.kind}"
        )
        return done if isinstance(made, Value) else Ruling(made)

    def answer(self, ruling: Ruling, order: Order) -> Answer:
        if ruling is Ruling.TAKEN:
            if (decided := self.register.decided) is not None:
                fate = decided.taken.fate(order.version, order.digest)
                self.register.checks.acknowledging(decided.slot, order.version, fate)
            self.log("configuration", version=order.version, kind=self.kind)
            return told(200, {"setpointSeq": f"{order.version:08x}"})
        if ruling is Ruling.REFUSED:
            return told(412, {"error": "another version is in place; this order is refused for good"})
        # Danger: a refusal, of an order that may have been taken before all that is remembered.
        return told(503, {"error": "it can't be told whether this was taken: read the newest back"})


def applied(current: Value, wanted: changes.Change) -> bytes:
    """The document that the change makes of the current one, checked; in a thread, as it may be large."""
    base = orjson.loads(current.document) if current.document else None
    document = changes.apply(base, wanted)
    changes.check(document, current.version, base)
    return orjson.dumps(document)


class Observe:
    """`setpoint.observe`: the newest configuration, whole."""

    def __init__(self, register: Register) -> None:
        self.register = register

    async def call(self, of: str, body: bytes) -> Answer:
        checks = self.register.checks
        floor = checks.read_slot
        try:
            current = await self.register.read(READ)
        except Unsettled as error:
            return told(503, {"error": str(error)})
        checks.answering(current.slot, floor)
        if not current.document:
            return told(404, {"error": "no configuration was taken yet"})
        headers = [(b"Content-Type", b"application/json"), (b"Content-Length", b"%d" % len(current.document))]
        return Answer(200, headers, current.document)


class Resources:
    """Finds the handler of a call, and waits for its turn; a machine that is cut off sends callers on.

    `beyond`: None while this control plane is in contact; else the `control` address of one beyond the cut,
    or nothing where there is none."""

    def __init__(
        self,
        handlers: dict[str, Resource],
        turns: Turns,
        beyond: Callable[[], str | None] = lambda: None,
        watch: CallWatch | None = None,
    ) -> None:
        self.handlers, self.turns, self.beyond, self.watch = handlers, turns, beyond, watch

    async def handle(self, call: Call) -> Answer:
        began = trio.current_time()
        path, _, query = call.target.decode("ascii", "replace").partition("?")
        try:
            asked: dict[str, Any] = parse_qs(query, max_num_fields=8)
        except ValueError as error:  # the caller's fault, not one of ours
            return told(400, {"error": f"read a call: query: {error}"})
        name, of = asked.get("call", [""])[0], asked.get("of", [""])[0]
        answer = await self.answer(call, name if path == "/v1/rpc" else "", of)
        if self.watch is not None:
            known, unserved = (name, "") if name in self.handlers else ("", name)
            self.watch.ended(known, of, answer, trio.current_time() - began, unserved)
        return answer

    async def answer(self, call: Call, name: str, of: str) -> Answer:
        handler = self.handlers.get(name)
        if handler is None:
            return told(404, {"error": "no such call"})
        if call.method != b"POST":
            return told(405, {"error": "expected POST"})
        try:
            await self.turns.begin(of_call(name, call.body))
        except Busy:
            return told(503, {"error": "busy: call another"}, [(b"Retry-After", b"1")])
        # Danger: an order that can't be decided here would cost its operator a second each time.
        if name in ASK_THE_CORE and (to := self.beyond()) is not None:
            return elsewhere(to, call.target)
        answer = await handler.call(of, call.body)
        if answer.status == 503 and (to := self.beyond()) is not None:
            return elsewhere(to, call.target)
        return answer


def elsewhere(to: str, target: bytes) -> Answer:
    """Whoever only knows this machine gets on at another, whoever knows more calls them."""
    why = {"error": "cut off from the core: call another"}
    if not to:
        return told(503, why)
    return told(307, why, [(b"Location", b"http://" + to.encode() + target)])
