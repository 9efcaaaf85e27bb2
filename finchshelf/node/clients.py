"""Everything between clients and this node: accepting, reading requests, writing answers, hanging up.

Owns the listening socket and the clients' connections; h11's receive buffer is each connection's one buffer.
It must never answer a call by itself (only what is no call at all: 400, 413, `/healthz`), lose one that was
read whole, or let bad input harm more than its own connection.
"""

from __future__ import annotations

import errno
import math
from binascii import unhexlify
from collections.abc import Callable
from functools import lru_cache

import h11
import trio

from finchshelf.admission import interface as i
from finchshelf.node import net
from finchshelf.node.config import Config
from finchshelf.node.core import Answer, Core, Exchange, Headers
from finchshelf.node.servers import HOP_BY_HOP

SLOW_READ = 10.0  # s for the rest of a request whose first byte has come, and for an answer to be taken
LINGER = 0.3  # s that a client has to end its side after the last answer on a connection
NOT_PASSED = HOP_BY_HOP | {b"x-budget-ms", b"x-metering", b"expect"}
MOST_BUDGET = 3_600_000
EMPTY = h11.EndOfMessage()
CONTINUE = h11.InformationalResponse(status_code=100, headers=[])


class BadRequest(Exception):
    """What is no call in the protocol's form."""

    def __init__(self, why: str, status: int = 400) -> None:
        super().__init__(why)
        self.status = status


@lru_cache(512)
def response(status: int, headers: tuple[tuple[bytes, bytes], ...], close: bool) -> h11.Response:
    """The head of an answer; checked by h11 once for all answers that have the same."""
    extra = ((b"Connection", b"close"),) if close else ()
    return h11.Response(status_code=status, headers=[*headers, *extra])


class Reader:
    """Reads calls by the settings' names of classes and plans."""

    def __init__(self, config: Config) -> None:
        self.settings = config.settings
        self.classes = {name.encode(): n for n, name in enumerate(config.around.classes)}
        self.plans = {name.encode(): n for n, name in enumerate(config.around.plans)}

    def call(self, event: h11.Request, body: bytes, number: int, came: float,
             reply: Callable[[Answer], None]) -> Exchange:
        told = dict(event.headers)
        path = event.target.partition(b"?")[0].split(b"/")
        name = told.get(b"x-call-class", b"")
        cls, plan = self.classes.get(name), self.plans.get(told.get(b"x-contract", b""))
        if cls is None or plan is None or path[1:2] != [name] or len(path) < 3:
            raise BadRequest("class or contract")
        kind = self.settings.classes[cls]
        safe = kind.effect is i.Effect.SAFE
        if event.method != (b"GET" if safe else b"POST") or (safe and body):
            raise BadRequest("method")
        if kind.effect is i.Effect.KEYED and not told.get(b"idempotency-key"):
            raise BadRequest("key")
        if not told.get(b"x-call-id"):
            raise BadRequest("id")
        budget, customer = whole(told.get(b"x-budget-ms"), MOST_BUDGET), hexadecimal(path[-1])
        units, spread = 1, self.settings.limiters
        for pair in told.get(b"x-metering", b"").split(b","):
            key, _, value = pair.strip().partition(b"=")
            if key == b"units":
                units = max(1, whole(value, 1 << 20))
            elif key == b"spread":
                spread = max(1, whole(value, 1 << 20))
        headers = [(raw, value) for (raw, value), (plain, _)
                   in zip(event.headers.raw_items(), event.headers, strict=True) if plain not in NOT_PASSED]
        wait = min(budget / 1000, kind.deadline) if kind.deadline > 0 else budget / 1000
        request = i.Request(number, cls, plan, customer, came + wait, units, spread,
                            told.get(b"x-again") == b"1")
        return Exchange(request, reply, event.method, event.target, headers, body)


def whole(text: bytes | None, most: int) -> int:
    if text is None or not text.isdigit() or len(text) > 12:
        raise BadRequest("a whole number")
    return min(int(text), most)


def hexadecimal(text: bytes) -> int:
    try:
        if len(text) == 16:
            return int.from_bytes(unhexlify(text))
    except ValueError:
        pass
    raise BadRequest("customer")


class Connection:
    """One client's connection: a task that reads for as long as it lives; the core's turn writes answers.

    `idle`: no byte of a request has come since the last answer. `since`: when that or the rest last changed.
    """

    __slots__ = ("clients", "closing", "ended", "exchange", "head", "http", "idle", "parts", "since", "size",
                 "stream", "writing")

    def __init__(self, clients: Clients, stream: net.Stream, now: float) -> None:
        self.clients, self.stream, self.since, self.idle = clients, stream, now, True
        self.http = h11.Connection(h11.SERVER)
        self.head: h11.Request | None = None
        self.parts: list[bytes] = []
        self.size = 0
        self.exchange: Exchange | None = None
        self.closing = self.writing = self.ended = False

    async def run(self) -> None:
        clients = self.clients
        try:
            while not self.ended:
                data = await self.stream.receive()
                if self.closing:
                    if not data:
                        break
                elif self.exchange is not None or self.writing:
                    self.ahead(data)
                elif not data and self.head is None and not self.http.trailing_data[0]:
                    break
                else:
                    if self.idle:
                        self.idle, self.since = False, clients.core.clock.now()
                    self.http.receive_data(data)
                    self.advance()
        except (OSError, trio.ClosedResourceError):
            clients.count["clients.broken"] += 1
        except Exception as error:  # Danger: what nobody thought of must not end the node
            clients.telemetry.rare("clients.error", error=repr(error))
        finally:
            if self.exchange is not None:
                clients.core.put(i.ClientGone(self.exchange.request.id))
                self.exchange = None
            clients.connections.discard(self)
            self.closing = True
            self.stream.close()

    def ahead(self, data: bytes) -> None:
        """While a request waits: an end is the client's going; more is its next request, for h11's buffer."""
        if not data or len(self.http.trailing_data[0]) + len(data) > 2 * net.MOST_BODY:
            self.ended = True
        else:
            self.http.receive_data(data)

    def advance(self) -> None:
        """Read as far as what has come goes; a whole request goes to the core."""
        try:
            while self.exchange is None and not self.closing and not self.writing:
                event = self.http.next_event()
                if event is h11.NEED_DATA:
                    if self.http.they_are_waiting_for_100_continue:
                        self.send(self.http.send(CONTINUE) or b"")
                    return
                if isinstance(event, h11.Request):
                    self.head, self.idle = event, False
                elif isinstance(event, h11.Data):
                    self.parts.append(bytes(event.data))
                    self.size += len(event.data)
                    if self.size > net.MOST_BODY:
                        raise BadRequest("body too large", 413)
                elif isinstance(event, h11.EndOfMessage):
                    self.whole()
                else:  # the client has ended, or has said that this request was its last
                    self.ended = event is not h11.PAUSED
                    return
        except (BadRequest, h11.RemoteProtocolError) as error:
            self.clients.count["in.bad"] += 1
            status = error.status if isinstance(error, BadRequest) else 400
            self.reply(Answer(status, [(b"Content-Length", b"0")]), True)

    def whole(self) -> None:
        head, body, clients = self.head, b"".join(self.parts), self.clients
        assert head is not None
        self.head, self.parts, self.size = None, [], 0
        if head.target == b"/healthz":
            return self.reply(clients.health())
        now = clients.core.clock.now()
        if clients.core.halted(now):
            # Danger: requests that came while this process stood still look fresh, and are sent on for
            # clients who have given up. The kernel knows when the last byte came.
            now -= self.stream.quiet_for()
        exchange = clients.reader.call(head, body, clients.core.next_id(), now, self.answered)
        self.exchange = exchange
        clients.core.put(exchange)

    def answered(self, answer: Answer) -> None:
        """Take the final answer in the core's turn: write it, and read what has come meanwhile."""
        try:
            self.reply(answer)
            self.read_on()
        except Exception as error:  # Danger: a fault of one connection must not reach the core's turn
            self.clients.telemetry.rare("clients.error", error=repr(error))
            self.stream.hang_up()

    def read_on(self) -> None:
        if not (self.idle or self.closing or self.writing):
            self.advance()

    def reply(self, answer: Answer, close: bool = False) -> None:
        """Write an answer without waiting, as far as the kernel takes it."""
        http, clients = self.http, self.clients
        self.exchange = None
        if self.closing:
            return
        close = close or clients.draining or http.their_state is not h11.DONE
        try:
            data = http.send(response(answer.status, tuple(answer.headers), close)) or b""
            if answer.body:
                data += http.send(h11.Data(data=answer.body)) or b""
            data += http.send(EMPTY) or b""
        except h11.LocalProtocolError as error:
            clients.telemetry.rare("clients.error", error=repr(error))
            return self.stream.hang_up()
        self.since = clients.core.clock.now()
        self.closing = close or http.our_state is not h11.DONE
        if self.send(data):
            self.sent()

    def send(self, data: bytes) -> bool:
        try:
            sent = 0 if self.writing else self.stream.send_now(data)
        except OSError:
            self.clients.count["clients.broken"] += 1
            self.stream.hang_up()
            return False
        if sent < len(data):
            self.writing = True
            self.clients.nursery.start_soon(self.send_rest, data[sent:])
            return False
        return True

    async def send_rest(self, data: bytes) -> None:
        """What the kernel did not take at once: a client that reads slowly waits for it here."""
        try:
            with trio.move_on_after(SLOW_READ) as slow:
                await self.stream.send(data)
            if not slow.cancelled_caught:
                self.writing = False
                self.sent()
                return self.read_on()
        except (OSError, trio.ClosedResourceError):
            pass
        except Exception as error:  # Danger: what nobody thought of must not end the node
            self.clients.telemetry.rare("clients.error", error=repr(error))
        self.clients.count["clients.broken"] += 1
        self.stream.hang_up()

    def sent(self) -> None:
        if self.closing:
            return self.stream.end_sending()
        if self.http.our_state is not h11.DONE:
            return  # that was a 100 Continue
        self.http.start_next_cycle()
        self.idle = not self.http.trailing_data[0]


class Clients:
    def __init__(self, core: Core, config: Config, nursery: trio.Nursery, ready: Callable[[], bool]) -> None:
        self.nursery = nursery
        self.core, self.telemetry, self.count = core, core.telemetry, core.telemetry.count
        self.reader, self.ready = Reader(config), ready
        # Each request may want a socket to a server; some more are for the counter, discovery and the log.
        self.most = max(8, (config.descriptors - 32) // 2)
        self.connections: set[Connection] = set()
        self.draining = self.told_ready = False

    def health(self) -> Answer:
        length: Headers = [(b"Content-Length", b"0")]
        well = self.ready() and not self.draining
        if well and not self.told_ready:
            self.told_ready = True
            self.telemetry.log("ready")
        return Answer(200 if well else 503, length)

    async def accept(self, listener: trio.socket.SocketType) -> None:
        while True:
            if len(self.connections) >= self.most and not self.make_room():
                # Danger: descriptors spent on clients would leave none for servers and the counter.
                self.count["clients.full"] += 1
                await trio.sleep(0.02)
                continue
            try:
                stream = await net.accept(listener)
            except OSError as error:
                if error.errno in (errno.EMFILE, errno.ENFILE, errno.ENOMEM, errno.ENOBUFS):
                    self.telemetry.rare("clients.no_descriptor")
                    self.make_room()
                    await trio.sleep(0.02)
                continue  # else that client has gone again already
            connection = Connection(self, stream, self.core.clock.now())
            self.connections.add(connection)
            self.count["clients.accepted"] += 1
            self.nursery.start_soon(connection.run)

    def make_room(self) -> bool:
        """Hang up on the connection that has been idle for longest: its client opens another if it must."""
        for connection in sorted((c for c in self.connections if c.idle), key=lambda c: c.since):
            if connection.stream.silent():
                connection.idle = False
                connection.stream.hang_up()
                self.count["clients.closed_idle"] += 1
                return True
        return False

    def hang_up_idle(self, older_than: float = math.inf) -> None:
        """The planned end: idle connections go, and so do those whose client does not end its side."""
        lingering = self.core.clock.now() - LINGER
        for connection in list(self.connections):
            ending = connection.closing and not connection.writing and connection.since < lingering
            # Danger: a request that has come but is not yet read would be lost with its connection.
            if ending or (connection.idle and connection.since < older_than and connection.stream.silent()):
                connection.idle = False
                connection.stream.hang_up()

    async def sweep(self) -> None:
        """Requests that never become whole, and clients that never close, must not hold descriptors."""
        while True:
            await trio.sleep(1.0)
            now = self.core.clock.now()
            for connection in list(self.connections):
                limit = LINGER if connection.closing and not connection.writing else SLOW_READ
                if not connection.idle and connection.exchange is None and connection.since < now - limit:
                    self.count["clients.slow"] += not connection.closing
                    connection.stream.hang_up()
