"""Everything between clients and this node: accepting, reading requests, writing answers, hanging up.

Owns the listening socket and the clients' connections; h11's receive buffer is each connection's one buffer.
It must never answer a call by itself (only what is no call at all: 400, 413, `/healthz`), lose one that was
read whole, or let bad input harm more than its own connection.
"""

from __future__ import annotations

import errno
import math
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
NOT_PASSED = HOP_BY_HOP | {b"x-budget-ms", b"x-metering", b"expect"}
MOST_BUDGET = 3_600_000
EMPTY = h11.EndOfMessage()


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

    def call(self, event: h11.Request, body: bytes, number: int, now: float) -> Exchange:
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
        request = i.Request(number, cls, plan, customer, now + budget / 1000, units, spread,
                            told.get(b"x-again") == b"1")
        return Exchange(request, event.method, event.target, headers, body)


def whole(text: bytes | None, most: int) -> int:
    if text is None or not text.isdigit() or len(text) > 12:
        raise BadRequest("a whole number")
    return min(int(text), most)


def hexadecimal(text: bytes) -> int:
    try:
        if len(text) == 16:
            return int(text, 16)
    except ValueError:
        pass
    raise BadRequest("customer")


class Connection:
    """One client's connection. `since` is when it last began to read or write, `idle` that nothing is due."""

    __slots__ = ("clients", "http", "idle", "since", "sock")

    def __init__(self, clients: Clients, sock: trio.socket.SocketType, now: float) -> None:
        self.clients, self.sock, self.since, self.idle = clients, sock, now, True
        self.http = h11.Connection(h11.SERVER)

    def hang_up(self) -> None:
        """End the connection from outside: its task finds it at its end."""
        try:
            self.sock.shutdown(trio.socket.SHUT_RDWR)
        except OSError:
            self.sock.close()

    async def run(self) -> None:
        clients = self.clients
        try:
            while await self.serve():
                pass
        except (OSError, h11.LocalProtocolError, trio.ClosedResourceError):
            clients.count["clients.broken"] += 1
        except (BadRequest, h11.RemoteProtocolError) as error:
            await self.refuse_bad(error)
        except Exception as error:  # Danger: what nobody thought of must not end the node
            clients.telemetry.rare("clients.error", error=repr(error))
        finally:
            clients.connections.discard(self)
            self.sock.close()

    async def refuse_bad(self, error: BadRequest | h11.RemoteProtocolError) -> None:
        clients = self.clients
        clients.count["in.bad"] += 1
        status = error.status if isinstance(error, BadRequest) else 400
        try:
            with trio.move_on_after(SLOW_READ):
                await self.write(Answer(status, [(b"Content-Length", b"0")]), True)
        except (OSError, h11.LocalProtocolError):
            clients.count["clients.broken"] += 1

    async def serve(self) -> bool:
        """One request and its answer; False when the connection has come to its end."""
        clients, clock = self.clients, self.clients.core.clock
        event, body = await self.read()
        if event is None:
            return False
        if event.target == b"/healthz":
            return await self.write(clients.health(), False)
        exchange = clients.reader.call(event, body, clients.core.next_id(), clock.now())
        if not await self.wait(exchange) or exchange.answer is None:
            return False
        return await self.write(exchange.answer, clients.draining)

    async def read(self) -> tuple[h11.Request | None, bytes]:
        """The next request, whole; none when the client has ended its connection between two."""
        http, request, parts, size = self.http, None, [], 0
        while True:
            event = http.next_event()
            if event is h11.NEED_DATA:
                if http.they_are_waiting_for_100_continue:
                    await net.send_all(self.sock, http.send(
                        h11.InformationalResponse(status_code=100, headers=[])) or b"")
                data = await self.sock.recv(net.CHUNK)
                if self.idle:
                    self.idle, self.since = False, self.clients.core.clock.now()
                if not data and request is None and not http.trailing_data[0]:
                    return None, b""
                http.receive_data(data)
            elif isinstance(event, h11.Request):
                request = event
                self.idle = False
            elif isinstance(event, h11.Data):
                parts.append(bytes(event.data))
                size += len(event.data)
                if size > net.MOST_BODY:
                    raise BadRequest("body too large", 413)
            elif isinstance(event, h11.EndOfMessage):
                return request, parts[0] if len(parts) == 1 else b"".join(parts)
            else:
                return None, b""

    async def wait(self, exchange: Exchange) -> bool:
        """Until the core has an answer; reads on meanwhile. False when the client goes before that."""
        core = self.clients.core
        core.put(exchange)
        with trio.CancelScope() as scope:
            exchange.waiting = scope
            while True:
                try:
                    data = await self.sock.recv(net.CHUNK)
                except OSError:
                    data = b""
                if not data:
                    core.put(i.ClientGone(exchange.request.id))
                    return False
                # The next request already: kept in the same buffer, which is bounded as any request is.
                if len(self.http.trailing_data[0]) + len(data) > 2 * net.MOST_BODY:
                    core.put(i.ClientGone(exchange.request.id))
                    raise BadRequest("too much ahead", 413)
                self.http.receive_data(data)
        return True

    async def write(self, answer: Answer, close: bool) -> bool:
        """An answer, whole; True when the connection can take another request."""
        http = self.http
        close = close or http.their_state is not h11.DONE
        data = http.send(response(answer.status, tuple(answer.headers), close)) or b""
        if answer.body:
            data += http.send(h11.Data(data=answer.body)) or b""
        data += http.send(EMPTY) or b""
        self.since = self.clients.core.clock.now()
        with trio.move_on_after(SLOW_READ) as slow:
            await net.send_all(self.sock, data)
        if slow.cancelled_caught or http.our_state is not h11.DONE or http.their_state is not h11.DONE:
            return False
        http.start_next_cycle()
        self.idle = True
        return not (self.clients.draining and not http.trailing_data[0])


class Clients:
    def __init__(self, core: Core, config: Config, ready: Callable[[], bool]) -> None:
        self.core, self.telemetry, self.count = core, core.telemetry, core.telemetry.count
        self.reader, self.ready = Reader(config), ready
        # Each request may want a socket to a server; some more are for the counter, discovery and the log.
        self.most = max(8, (config.descriptors - 32) // 2)
        self.connections: set[Connection] = set()
        self.draining = False

    def health(self) -> Answer:
        length: Headers = [(b"Content-Length", b"0")]
        return Answer(200 if self.ready() and not self.draining else 503, length)

    async def accept(self, listener: trio.socket.SocketType, nursery: trio.Nursery) -> None:
        while True:
            if len(self.connections) >= self.most and not self.make_room():
                # Danger: descriptors spent on clients would leave none for servers and the counter.
                self.count["clients.full"] += 1
                await trio.sleep(0.02)
                continue
            try:
                sock, _ = await listener.accept()
            except OSError as error:
                if error.errno not in (errno.EMFILE, errno.ENFILE, errno.ENOMEM, errno.ENOBUFS):
                    continue  # that client has gone again already
                self.telemetry.rare("clients.no_descriptor")
                self.make_room()
                await trio.sleep(0.02)
                continue
            self.admit(sock, nursery)

    def admit(self, sock: trio.socket.SocketType, nursery: trio.Nursery) -> None:
        try:
            sock.setsockopt(trio.socket.IPPROTO_TCP, trio.socket.TCP_NODELAY, 1)
        except OSError:
            sock.close()
            return
        connection = Connection(self, sock, self.core.clock.now())
        self.connections.add(connection)
        self.count["clients.accepted"] += 1
        nursery.start_soon(connection.run)

    def make_room(self) -> bool:
        """Hang up on the connection that has been idle for longest: its client opens another if it must."""
        idle = min((c for c in self.connections if c.idle), key=lambda c: c.since, default=None)
        if idle is not None:
            idle.idle, idle.since = False, math.inf
            idle.hang_up()
            self.count["clients.closed_idle"] += 1
        return idle is not None

    def hang_up_idle(self, older_than: float = math.inf) -> None:
        for connection in list(self.connections):
            if connection.idle and connection.since < older_than:
                connection.idle = False
                connection.hang_up()

    async def sweep(self) -> None:
        """Requests that never become whole must not hold descriptors for ever."""
        while True:
            await trio.sleep(1.0)
            before = self.core.clock.now() - SLOW_READ
            for connection in list(self.connections):
                if not connection.idle and connection.http.their_state in (h11.IDLE, h11.SEND_BODY) \
                        and connection.since < before:
                    self.count["clients.slow"] += 1
                    connection.hang_up()
