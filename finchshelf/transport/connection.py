"""One client's connection: a task that reads requests, and hanging up; answers go out by `answering`.

Owns the connection and the bytes that come; h11's receive buffer is its one buffer. Puts on the core's queue:
each `Exchange` as its reader made it, `Arrived`, `ClientGone`. It must never answer a call by itself (only
what is no call at all: 400, 408, 413, 431, a look at health), or lose one that was read whole.
"""

from __future__ import annotations

import math
from contextlib import suppress
from functools import partial

import h11
import trio

from finchshelf.admission import outcome as i
from finchshelf.transport import net
from finchshelf.transport.answering import Answering
from finchshelf.transport.bodies import PIECE, WINDOW, Body
from finchshelf.transport.exchange import Answer, Arrived, Headers
from finchshelf.transport.host import Host
from finchshelf.transport.reading import BadRequest, one_length

LEAST_RATE = 32768.0  # bytes a second that a body comes at, beyond that: clients send 64 kB a second
MUTE = 10.0  # s that the client of a streamed body may send nothing, however far ahead it is
LAST_READ = 1.5  # s that a client which still sends has to read why nothing of that is wanted
PACE = 0.005  # s between two reads of what is thrown away
MOST_AHEAD = 32768  # bytes read of what comes behind a request before that has its answer
MOST_PARTS, LEAST_PART = 4096, 16  # chunks of a body, more of so many bytes on average: else to keep us busy
NOTHING: Headers = [(b"Content-Length", b"0")]
TOO_SLOW = Answer(408, NOTHING)
TOO_SLOW_BUT_BEGUN = Answer(504, NOTHING)  # a 408 would promise that the request has not run and never will
CONTINUE = h11.InformationalResponse(status_code=100, headers=[])


class Connection(Answering):
    """One client's connection: a task that reads for as long as it lives; the core's turn writes answers.

    `idle`: no byte of a request has come since the last answer. `since`: when that or the rest last changed.
    `fresh`: nothing has been answered on it yet. `ahead`: bytes read behind a request that has no answer.
    `body`: of the request that waits, if streamed; until `due` more of it has to come (`inf`: not asked for).
    """

    __slots__ = ("ahead", "chunks", "due", "ended", "expect", "head", "mute", "parts", "size")

    def __init__(self, clients: Host, stream: net.Stream, now: float) -> None:
        self.clients, self.stream, self.since, self.idle = clients, stream, now, True
        self.http = h11.Connection(h11.SERVER, max_incomplete_event_size=clients.limits.most_head)
        self.head: h11.Request | None = None
        self.parts: list[bytes] = []
        self.size = self.chunks = self.ahead = self.expect = self.behind = 0
        self.exchange = self.body = None
        self.due = self.mute = math.inf
        self.resume, self.pending, self.pouring, self.turn = None, b"", None, 0
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
        self.turn += 1
        exchange = clients.read(head, body, now, partial(self.answered, self.turn), stream, coming)
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

    def stall(self) -> None:
        """A streamed request whose body comes too slowly; a server may have begun to work on it."""
        begun = self.exchange is not None and self.exchange.may_have_run
        self.cut_off(TOO_SLOW_BUT_BEGUN if begun else TOO_SLOW)

    def drop_body(self) -> None:
        """No attempt gets more of the body."""
        if self.body is not None:
            self.body.cut()
            self.body = None
            self.forget_size()

    def forget_size(self) -> None:
        self.size, self.chunks, self.due, self.mute = 0, 0, math.inf, math.inf

    def read_on(self) -> None:
        if not (self.idle or self.closing or self.writing):
            self.advance()

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
