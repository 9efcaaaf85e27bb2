"""Everything between clients and a program: accepting, reading requests, writing answers, hanging up.

Owns the listening socket and the clients' connections; h11's receive buffer is each connection's one buffer.
Puts on the core's queue: each `Exchange` as its reader made it, `Arrived`, `ClientGone`. What a request means
is the program's (`Reader`). It must never answer a call by itself (only what is no call at all: 400, 408,
413, 431, a look at health), lose one that was read whole, or let bad input harm more than its own connection.
"""

from __future__ import annotations

import errno
import math
from collections.abc import Callable
from contextlib import suppress
from dataclasses import dataclass
from functools import lru_cache
from typing import Protocol

import h11
import trio

from finchshelf.admission import outcome as i
from finchshelf.transport import net
from finchshelf.transport.bodies import PIECE, WINDOW, Body, Room
from finchshelf.transport.exchange import Answer, Arrived, Exchange, Headers, Port

LEAST_RATE = 32768.0  # bytes a second that a body comes at, beyond that: clients send 64 kB a second
MUTE = 10.0  # s that the client of a streamed body may send nothing, however far ahead it is
SLOW_WRITE = 10.0  # s for an answer to be taken
LINGER = 0.3  # s that a client has to end its side after the last answer on a connection
LAST_READ = 1.5  # s that a client which still sends has to read why nothing of that is wanted
LOOK = 0.25  # s between two looks for connections that are past one of these times
LEAVING = 0.02  # s between two looks at who is still here, at a planned end
PACE = 0.005  # s between two reads of what is thrown away
MOST_AHEAD = 32768  # bytes read of what comes behind a request before that has its answer
MOST_PARTS, LEAST_PART = 4096, 16  # chunks of a body, more of so many bytes on average: else to keep us busy
YOUNG, HALF, IDLE = 0.05, 1.0, 2.0  # s of silence, of half a request, of idling, from which one makes room
EMPTY = h11.EndOfMessage()
NOTHING: Headers = [(b"Content-Length", b"0")]
TOO_SLOW = Answer(408, NOTHING)
CLOSE = ((b"Connection", b"close"),)
CONTINUE = h11.InformationalResponse(status_code=100, headers=[])


@dataclass(frozen=True, slots=True)
class Limits:
    """The figures that a program holds its clients to."""

    most_request: int
    """Bytes of a request's body; more is 413."""
    most_head: int
    """Bytes of a request's head that is not whole yet; for one that came whole see `head_size`."""
    slow_read: float
    """Seconds for the head of a request whose first byte has come."""
    silent: float
    """Seconds that a new connection may say nothing."""
    kept: float
    """Seconds that a connection is kept after an answer."""
    long_head: int = 431
    """The status of an answer to a head beyond `most_head`."""
    kept_headers: tuple[tuple[bytes, bytes], ...] = ()
    """Headers of every answer after which the connection is kept, such as `Keep-Alive`."""


class Core(Port, Protocol):
    """What the clients' side asks of a program's core."""

    def halted(self, now: float) -> bool: ...
    def next_id(self) -> int: ...


class Reader(Protocol):
    """What a program's requests look like. Whatever is none of them raises `BadRequest`."""

    @property
    def limits(self) -> Limits: ...

    @property
    def health_target(self) -> bytes | None:
        """The target whose GET is answered 200 while clients are taken, else 503; None: there is no such."""

    def head(self, event: h11.Request) -> dict[bytes, bytes]:
        """The headers by their names in small letters; `headers_once` does that."""

    def call(self, event: h11.Request, body: bytes, number: int, came: float,
             reply: Callable[[Answer], None], stream: Body | None, coming: float) -> Exchange:
        """A call that has come whole, or but for `coming` seconds of its body."""


class BadRequest(Exception):
    """What is no call in the protocol's form."""

    def __init__(self, why: str, status: int = 400) -> None:
        super().__init__(why)
        self.status = status


@lru_cache(512)
def response(status: int, headers: tuple[tuple[bytes, bytes], ...],
             extra: tuple[tuple[bytes, bytes], ...]) -> h11.Response:
    """The head of an answer; checked by h11 once for all answers that have the same."""
    return h11.Response(status_code=status, headers=[*headers, *extra])


def headers_once(event: h11.Request, once: frozenset[bytes]) -> dict[bytes, bytes]:
    """A head's headers; those of `once` may stand in it once."""
    headers = dict(event.headers)
    if len(headers) < len(event.headers):
        names = [name for name, _ in event.headers if name in once]
        if len(set(names)) < len(names):
            raise BadRequest("a header twice")
    return headers


def one_length(headers: dict[bytes, bytes], version: bytes, most: int) -> None:
    """What any head must keep to, so that its body has one length only and that is not too much."""
    if b"transfer-encoding" in headers and (b"content-length" in headers or version < b"1.1"):
        # Danger: by one of the two lengths the body holds another request; whoever reads it so runs that.
        raise BadRequest("two lengths")
    if whole(headers.get(b"content-length", b"0"), math.inf, 20) > most:
        raise BadRequest("body too large", 413)


def head_size(event: h11.Request) -> int:
    """The bytes of a head, its request line included; h11 measures none that came whole in one read."""
    lines = sum(len(name) + len(value) + 4 for name, value in event.headers.raw_items())
    return len(event.method) + len(event.target) + len(b"  HTTP/1.1\r\n\r\n") + lines


def whole(text: bytes | None, most: float = math.inf, digits: int = 12) -> int:
    """A whole number of `most` at the most; anything else is no call."""
    if text is None or not text.isdigit() or len(text) > digits or int(text) > most:
        raise BadRequest("a whole number")
    return int(text)


class Connection:
    """One client's connection: a task that reads for as long as it lives; the core's turn writes answers.

    `idle`: no byte of a request has come since the last answer. `since`: when that or the rest last changed.
    `fresh`: nothing has been answered on it yet. `ahead`: bytes read behind a request that has no answer.
    `body`: of the request that waits, if streamed; until `due` more of it has to come (`inf`: not asked for).
    """

    __slots__ = ("ahead", "body", "chunks", "clients", "closing", "due", "ended", "exchange", "expect",
                 "fresh", "head", "http", "idle", "mute", "parts", "resume", "since", "size", "stream",
                 "writing")

    def __init__(self, clients: Clients, stream: net.Stream, now: float) -> None:
        self.clients, self.stream, self.since, self.idle = clients, stream, now, True
        self.http = h11.Connection(h11.SERVER, max_incomplete_event_size=clients.limits.most_head)
        self.head: h11.Request | None = None
        self.parts: list[bytes] = []
        self.size = self.chunks = self.ahead = self.expect = 0
        self.exchange: Exchange | None = None
        self.body: Body | None = None
        self.due = self.mute = math.inf
        self.resume: trio.Event | None = None
        self.fresh = True
        self.closing = self.writing = self.ended = False

    async def run(self) -> None:
        clients = self.clients
        try:
            while not self.ended:
                if self.closing:
                    # Danger: what is not read makes the kernel reset the connection, and a client that still
                    # sends would not see its answer. Read in gulps, so that nobody keeps this node busy.
                    if not await self.stream.discard():
                        break
                    await trio.sleep(PACE)
                    continue
                if self.body is not None and not self.body.whole:
                    await self.read_body(self.body)
                    continue
                if self.ahead > MOST_AHEAD and (self.exchange is not None or self.writing):
                    # Danger: requests in masses behind one another would fill memory. The kernel holds them.
                    self.resume = trio.Event()
                    await self.resume.wait()
                    continue
                data = await self.stream.receive()
                if self.closing:
                    self.ended = not data
                elif self.exchange is not None or self.writing:
                    self.ended = not data  # the client has gone; more is its next request, for h11's buffer
                    self.ahead += len(data)
                    self.http.receive_data(data)
                elif not data and self.head is None and not self.http.trailing_data[0]:
                    break
                else:
                    if self.idle:
                        self.idle = False
                        # Danger: by its silence and then half a request a new connection would get two times.
                        self.since = self.since if self.fresh else clients.core.clock.now()
                    self.http.receive_data(data)
                    self.advance()
        except (OSError, trio.ClosedResourceError):
            clients.count["clients.broken"] += 1
        except Exception as error:  # Danger: what nobody thought of must not end the node
            clients.telemetry.rare("clients.error", error=repr(error))
        finally:
            if self.exchange is not None:
                clients.core.put(i.ClientGone(self.exchange.id))
            self.release()
            self.drop_body()
            clients.connections.discard(self)
            self.closing = True
            self.stream.close()

    def release(self) -> None:
        """The request on this connection is over: its id may come again."""
        if self.exchange is not None:
            self.clients.ids.discard(self.exchange.key)
            self.exchange = None

    def advance(self) -> None:
        """Read as far as what has come goes; a whole request goes to the core."""
        self.ahead = 0
        try:
            while self.exchange is None and not self.closing and not self.writing:
                event = self.http.next_event()
                if event is h11.NEED_DATA:
                    self.go_on()
                    return
                if isinstance(event, h11.Request):
                    self.head, self.idle = event, False
                    clients = self.clients
                    told = clients.reader.head(event)
                    one_length(told, event.http_version, clients.limits.most_request)
                    chunked = b"transfer-encoding" in told
                    most = clients.limits.most_request
                    self.expect = most if chunked else int(told.get(b"content-length", b"0"))
                    if self.expect > net.MOST_BODY and self.http.they_are_waiting_for_100_continue:
                        return self.streamed(None if chunked else self.expect)
                elif isinstance(event, h11.Data):
                    self.parts.append(bytes(event.data))
                    self.bounded(event)
                    if self.size > self.clients.room.window():
                        told = dict(self.head.headers) if self.head is not None else {}
                        return self.streamed(None if b"transfer-encoding" in told else self.expect)
                elif isinstance(event, h11.EndOfMessage):
                    self.whole()
                else:  # the client has ended, or has said that this request was its last
                    self.ended = event is not h11.PAUSED
                    return
        except (BadRequest, h11.RemoteProtocolError) as error:
            self.clients.count["in.bad"] += 1
            self.reply(Answer(self.status(error), NOTHING), True)

    def status(self, error: BadRequest | h11.RemoteProtocolError) -> int:
        """The status of an answer to what is no call."""
        if isinstance(error, BadRequest):
            return error.status
        return self.clients.limits.long_head if error.error_status_hint == 431 and self.head is None else 400

    def bounded(self, event: h11.Data) -> None:
        self.size, self.chunks = self.size + len(event.data), self.chunks + 1
        if self.size > self.clients.limits.most_request or self.chunks > MOST_PARTS + self.size // LEAST_PART:
            raise BadRequest("body too large", 413)

    def go_on(self) -> None:
        """Say 100 Continue, where the client waits for that."""
        if self.http.they_are_waiting_for_100_continue and not self.closing:
            self.send(self.http.send(CONTINUE) or b"")

    def whole(self, stream: Body | None = None) -> None:
        """A request that has come whole, or as far as its body is now streamed, goes to the core."""
        head, clients = self.head, self.clients
        body = b"" if stream is not None else b"".join(self.parts)
        assert head is not None
        still = (self.expect - self.size) / LEAST_RATE
        coming = clients.limits.slow_read + still if stream is not None else 0.0
        self.head, self.parts, self.expect = None, [], 0
        if stream is None:
            self.size = self.chunks = 0
        if head.target == clients.reader.health_target and head.method == b"GET":
            return self.reply(clients.health())
        now = clients.core.clock.now()
        if clients.core.halted(now):
            # Danger: requests that came while this process stood still look fresh, and are sent on for
            # clients who have given up. The kernel knows when the last byte came.
            now -= self.stream.quiet_for()
        exchange = clients.read(head, body, now, self.answered, stream, coming)
        if exchange.key:
            if exchange.key in clients.ids:
                # Danger: a request under the id of another's is a second copy of that to whoever goes by ids.
                raise BadRequest("id of an open request")
            clients.ids.add(exchange.key)
        self.exchange = exchange
        clients.core.put(exchange)

    def streamed(self, length: int | None) -> None:
        """A body too large to keep: the request is decided now, and the rest goes on as it comes."""
        waiting, now = self.http.they_are_waiting_for_100_continue, self.clients.core.clock.now()
        slow_read = self.clients.limits.slow_read
        stream = Body(self.clients.room, b"".join(self.parts), length, self.wanted if waiting else None)
        try:
            self.whole(stream)
        finally:
            if self.exchange is None:
                stream.cut()
        if self.exchange is None:  # not a call: it has its answer
            return
        self.body = stream
        # Danger: one time for all cuts off who sends at the rate allowed; without, the silent hold servers.
        self.due = math.inf if waiting else self.since + slow_read + self.size / LEAST_RATE
        self.mute = math.inf if waiting else now + MUTE
        self.clients.count["in.streamed"] += 1
        self.feed(b"")

    def wanted(self) -> None:
        """An attempt waits for the first byte of a body whose client waits for a word: 100 Continue."""
        now = self.clients.core.clock.now()
        self.due, self.mute = now + self.clients.limits.slow_read, now + MUTE
        with suppress(h11.LocalProtocolError):  # it has its answer already
            self.go_on()

    async def read_body(self, body: Body) -> None:
        """The next piece of a streamed body, once the attempt has taken the last."""
        clock = self.clients.core.clock
        if body.piece:
            began, due, self.due, self.mute = clock.now(), self.due, math.inf, math.inf
            await body.taken()
            if self.closing or body.broken:
                return
            # Danger: a server that is slow to take would have its client cut off.
            self.due, self.mute = due + clock.now() - began, clock.now() + MUTE
        data = await self.stream.receive(PIECE)
        if self.closing:
            self.ended = not data
        elif not body.broken:
            self.mute = clock.now() + MUTE
            self.feed(data, not data)

    def feed(self, data: bytes, ended: bool = False) -> None:
        """Put what came of a streamed body; at its end the core hears when that was."""
        body, clients = self.body, self.clients
        assert body is not None
        try:
            if data or ended:
                self.http.receive_data(data)
            while (event := self.http.next_event()) is not h11.NEED_DATA:
                if isinstance(event, h11.Data):
                    self.bounded(event)
                    self.due += len(event.data) / LEAST_RATE
                    body.put(event.data)
                else:
                    if self.exchange is not None:
                        self.exchange.arrived(clients.core.clock.now())
                        clients.core.put(Arrived(self.exchange))
                    self.forget_size()
                    return body.end()
        except (BadRequest, h11.RemoteProtocolError) as error:
            if ended:
                self.ended = True
            else:
                clients.count["in.bad"] += 1
                self.cut_off(Answer(error.status if isinstance(error, BadRequest) else 400, NOTHING))

    def cut_off(self, answer: Answer) -> None:
        """A streamed request whose body will not come whole: its attempt ends, its client may read why."""
        self.drop_body()
        if self.exchange is not None:
            self.clients.core.put(i.ClientGone(self.exchange.id))
            return self.reply(answer, True)
        self.stream.hang_up()  # its answer has begun already

    def drop_body(self) -> None:
        """No attempt gets more of the body."""
        if self.body is not None:
            self.body.cut()
            self.body = None
            self.forget_size()

    def forget_size(self) -> None:
        self.size, self.chunks, self.due, self.mute = 0, 0, math.inf, math.inf

    def answered(self, answer: Answer) -> None:
        """Take the final answer in the core's turn: write it, and read what has come meanwhile."""
        try:
            self.reply(answer)
            self.read_on()
            self.wake()
        except Exception as error:  # Danger: a fault of one connection must not reach the core's turn
            self.clients.telemetry.rare("clients.error", error=repr(error))
            self.wake()
            self.stream.hang_up()

    def wake(self) -> None:
        if self.resume is not None:
            self.resume.set()
            self.resume = None

    def read_on(self) -> None:
        if not (self.idle or self.closing or self.writing):
            self.advance()

    def reply(self, answer: Answer, close: bool = False) -> None:
        """Write an answer without waiting, as far as the kernel takes it."""
        http, clients = self.http, self.clients
        self.release()
        if self.closing:
            return
        close = close or clients.draining or http.their_state is not h11.DONE
        try:
            extra = CLOSE if close else clients.limits.kept_headers
            data = http.send(response(answer.status, tuple(answer.headers), extra)) or b""
            if answer.body:
                data += http.send(h11.Data(data=answer.body)) or b""
            if answer.more is not None:
                # Danger: a server that answers while it still reads would never end; the body goes on.
                both = self.body is not None and not self.body.whole
                self.since, self.writing = clients.core.clock.now(), True
                self.closing = close and not both
                return clients.nursery.start_soon(self.pour, data, answer.more)
            data += http.send(EMPTY) or b""
            self.drop_body()
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
            with trio.move_on_after(SLOW_WRITE) as slow:
                await self.stream.send(data)
            if not slow.cancelled_caught:
                self.writing = False
                self.sent()
                self.read_on()
                return self.wake()
        except (OSError, trio.ClosedResourceError):
            pass
        except Exception as error:  # Danger: what nobody thought of must not end the node
            self.clients.telemetry.rare("clients.error", error=repr(error))
        self.clients.count["clients.broken"] += 1
        self.wake()
        self.stream.hang_up()

    async def pour(self, data: bytes, more: trio.MemoryReceiveChannel[bytes]) -> None:
        """A large answer: its head and first part, then the rest as the server gives and the client takes it.

        Danger: one that is cut can't be ended as whole; its connection is hung up: the client sees it cut."""
        try:
            with more:
                whole = False
                while True:
                    with trio.fail_after(SLOW_WRITE):
                        await self.stream.send(data)
                    if whole:
                        break
                    piece = await more.receive()
                    whole = not piece
                    data = (self.http.send(h11.Data(data=piece)) if piece else self.http.send(EMPTY)) or b""
            self.since, self.writing = self.clients.core.clock.now(), False
            self.closing = self.closing or self.http.our_state is not h11.DONE
            self.drop_body()
            self.sent()
            self.read_on()
            return self.wake()
        except (OSError, trio.ClosedResourceError, trio.EndOfChannel, trio.TooSlowError,
                h11.LocalProtocolError):
            pass
        except Exception as error:  # Danger: what nobody thought of must not end the node
            self.clients.telemetry.rare("clients.error", error=repr(error))
        self.clients.count["clients.cut"] += 1
        self.wake()
        self.stream.hang_up()

    def sent(self) -> None:
        if self.closing:
            return self.stream.end_sending()
        if self.http.our_state is not h11.DONE:
            return  # that was a 100 Continue
        self.http.start_next_cycle()
        self.fresh = False
        self.idle = not self.http.trailing_data[0]

    def quiet(self, now: float) -> float:
        """For how long nothing has been going on here; below 0 while a request waits or an answer is sent."""
        return -1.0 if self.exchange is not None or self.writing else now - self.since

    def stalled(self, now: float) -> bool:
        """Does a streamed body come slower than it must?"""
        return now > self.due or now > self.mute

    def spent(self, quiet: float) -> bool:
        """Past its time, or of no further use."""
        limits = self.clients.limits
        if self.closing:
            return quiet > LAST_READ
        if self.idle:
            return quiet > (limits.silent if self.fresh else limits.kept)
        # Danger: a fixed time for all cuts off bodies that come at the rate the protocol allows.
        body = min(self.expect, WINDOW) / LEAST_RATE if self.head is not None else 0.0
        return quiet > limits.slow_read + body

    def give_up(self) -> bool:
        """End a connection on which no request waits, unless one has come and is not yet read."""
        if self.idle:
            # Danger: a request that has come but is not yet read would be lost with its connection.
            if not self.stream.silent():
                return False
            self.idle = False
        elif not self.closing:  # half a request: its client may still read why that was not enough
            self.clients.count["clients.slow"] += 1
            self.reply(TOO_SLOW, True)
        self.stream.hang_up()
        return True


class Clients:
    def __init__(self, core: Core, reader: Reader, nursery: trio.Nursery, ready: Callable[[], bool],
                 descriptors: int, memory: int) -> None:
        """`descriptors`, `memory` (bytes): the process's limits."""
        self.nursery = nursery
        self.core, self.telemetry, self.count = core, core.telemetry, core.telemetry.count
        self.reader, self.limits, self.ready = reader, reader.limits, ready
        self.former: Reader | None = None
        self.follow_until = -math.inf
        # Each request may want a socket to a server; some more are for the counter, discovery and the log.
        self.most = max(8, (descriptors - 32) // 2)
        self.connections: set[Connection] = set()
        self.ids: set[bytes] = set()  # of the requests that wait for an answer
        self.room = Room(memory)
        self.draining = self.told_ready = False

    def renew(self, reader: Reader, follow: float) -> None:
        """Read what comes from now on by other settings, and by the former what only they know, for `follow`
        seconds."""
        self.former, self.reader, self.limits = self.reader, reader, reader.limits
        self.follow_until = self.core.clock.now() + follow

    def read(self, head: h11.Request, body: bytes, came: float, reply: Callable[[Answer], None],
             stream: Body | None = None, coming: float = 0.0) -> Exchange:
        """A call by the settings in use; for a while after new ones, one that names what only the former
        settings know is read and decided by those."""
        try:
            return self.reader.call(head, body, self.core.next_id(), came, reply, stream, coming)
        except BadRequest:
            if self.former is None or self.core.clock.now() >= self.follow_until:
                raise
        return self.former.call(head, body, self.core.next_id(), came, reply, stream, coming)

    def takes(self) -> str:
        """Does this process take clients: ready, starting or ending."""
        if self.draining:
            return "ending"
        if not self.ready():
            return "starting"
        if not self.told_ready:
            self.told_ready = True
            self.telemetry.log("ready")
        return "ready"

    def health(self) -> Answer:
        length: Headers = [(b"Content-Length", b"0")]
        return Answer(200 if self.takes() == "ready" else 503, length)

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
            self.take(stream)

    def take(self, stream: net.Stream) -> None:
        connection = Connection(self, stream, self.core.clock.now())
        self.connections.add(connection)
        self.count["clients.accepted"] += 1
        self.nursery.start_soon(connection.run)

    def make_room(self) -> bool:
        """Hang up on what is likeliest to be of no use; its client opens another connection if it must."""
        now, found = self.core.clock.now(), list[tuple[int, float, Connection]]()
        for connection in self.connections:
            quiet, kind = connection.quiet(now), 3
            if connection.closing:
                kind, least = 0, LINGER
            elif connection.fresh and connection.idle:
                kind, least = 1, YOUNG
            elif connection.idle:
                least = IDLE
            else:
                kind, least = 2, HALF
            if quiet > least:
                found.append((kind, -quiet, connection))
        for kind, _, connection in sorted(found, key=lambda one: one[:2]):
            if connection.give_up():
                self.count["clients.closed_idle" if kind == 3 else "clients.closed_silent"] += kind > 0
                return True
        return False

    def hang_up_idle(self, older_than: float = math.inf) -> None:
        """The planned end: idle connections go, and so do those whose client does not end its side."""
        lingering = self.core.clock.now() - LINGER
        for connection in list(self.connections):
            ending = connection.closing and not connection.writing and connection.since < lingering
            if ending or (connection.idle and connection.since < older_than):
                connection.give_up()

    async def accept_within(self, listener: trio.socket.SocketType, scope: trio.CancelScope) -> None:
        """Accept until the scope is cancelled, as `leave` does."""
        with scope:
            await self.accept(listener)

    async def leave(self, listener: trio.socket.SocketType, accepting: trio.CancelScope, last_calls: float,
                    last_word: float) -> None:
        """Answer what is here and what still comes, then be left by all. `last_calls`: s in which new
        connections are still taken; `last_word`: s more for the first request on one that was taken late.

        Danger: a connection hung up on while idle may cross a request that its client has just sent, which is
        then turned back unheard. So none is hung up at once: what comes on it is answered, with a close."""
        await trio.sleep(last_calls)
        accepting.cancel()
        for stream in net.queued(listener):
            self.take(stream)
        listener.close()
        closed = self.core.clock.now()
        while self.connections:
            await trio.sleep(LEAVING)
            now = self.core.clock.now()
            self.hang_up_idle(now - last_word if now < closed + last_word else math.inf)

    async def sweep(self) -> None:
        """Silence, requests that never get whole, clients that never close: none may hold descriptors."""
        while True:
            await trio.sleep(LOOK)
            now = self.core.clock.now()
            for connection in list(self.connections):
                if connection.stalled(now):
                    self.count["clients.slow"] += 1
                    connection.cut_off(TOO_SLOW)
                elif connection.spent(connection.quiet(now)):
                    connection.give_up()
