"""Answers on their way to one client: written in the core's turn as far as the kernel takes them, else by a
task.

Owns the bytes that go out on a client's connection, in the order of its requests, and which of its requests
an answer is to (`turn`). It must never write an answer to a request whose turn has passed, two of its tasks'
bytes in one another's midst, or end as whole what was cut. Reading is `connection`'s.
"""

from __future__ import annotations

from functools import lru_cache

import h11
import trio

from finchshelf.transport import net
from finchshelf.transport.bodies import Body
from finchshelf.transport.exchange import Answer, Exchange
from finchshelf.transport.host import Host

SLOW_WRITE = 10.0  # s for an answer to be taken
MOST_BEHIND = 16  # requests of one connection that are answered behind another at a planned end
EMPTY = h11.EndOfMessage()
CLOSE = ((b"Connection", b"close"),)


@lru_cache(512)
def response(
    status: int, headers: tuple[tuple[bytes, bytes], ...], extra: tuple[tuple[bytes, bytes], ...]
) -> h11.Response:
    """The head of an answer; checked by h11 once for all answers that have the same."""
    return h11.Response(status_code=status, headers=[*headers, *extra])


class Answering:
    """What a client's connection writes. `turn`: of the request that waits, or of the last that did;
    `writing`: a task writes, and takes what is `pending` along; `behind`: requests answered at a planned end
    though they came behind another."""

    __slots__ = (
        "behind",
        "body",
        "clients",
        "closing",
        "exchange",
        "fresh",
        "http",
        "idle",
        "pending",
        "pouring",
        "resume",
        "since",
        "stream",
        "turn",
        "writing",
    )

    clients: Host
    stream: net.Stream
    http: h11.Connection
    exchange: Exchange | None
    body: Body | None
    since: float
    turn: int
    behind: int
    idle: bool
    fresh: bool
    closing: bool
    writing: bool
    pending: bytes
    pouring: trio.MemoryReceiveChannel[bytes] | None
    resume: trio.Event | None

    def drop_body(self) -> None:
        """No attempt gets more of the body."""
        raise NotImplementedError

    def read_on(self) -> None:
        """Read what has come meanwhile."""
        raise NotImplementedError

    def release(self) -> None:
        """The request on this connection is over: its id may come again."""
        if self.exchange is not None:
            self.clients.ids.discard(self.exchange.key)
            self.exchange = None

    def answered(self, turn: int, answer: Answer) -> None:
        """Take the final answer to the request of that turn, in the core's turn: write it, and read on."""
        if turn != self.turn or self.exchange is None:
            # Danger: an answer that comes late, or twice, would go out as that to the client's next request.
            self.clients.count["clients.late"] += 1
            if answer.more is not None:
                answer.more.close()
            return
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

    def reply(self, answer: Answer, close: bool = False) -> None:
        """Write an answer without waiting, as far as the kernel takes it."""
        http, clients = self.http, self.clients
        self.release()
        if self.closing:
            return
        close = close or http.their_state is not h11.DONE or self.leaves()
        try:
            extra = CLOSE if close else clients.limits.kept_headers
            data = http.send(response(answer.status, tuple(answer.headers), extra)) or b""
            if answer.body:
                data += http.send(h11.Data(data=answer.body)) or b""
            if answer.more is not None:
                # Danger: a server that answers while it still reads would never end; the body goes on.
                both = self.body is not None and not self.body.whole
                self.since, self.closing = clients.core.clock.now(), close and not both
                return self.pour(data, answer.more)
            data += http.send(EMPTY) or b""
            self.drop_body()
        except h11.LocalProtocolError as error:
            clients.telemetry.rare("clients.error", error=repr(error))
            return self.stream.hang_up()
        self.since = clients.core.clock.now()
        self.closing = close or http.our_state is not h11.DONE
        if self.send(data):
            self.sent()

    def leaves(self) -> bool:
        """Is an answer now the last on its connection because the program ends?

        Danger: a whole request that has come behind this one would be lost with its connection."""
        if not self.clients.draining:
            return False
        if self.behind >= MOST_BEHIND or not self.http.trailing_data[0]:
            return True
        self.behind += 1
        return False

    def send(self, data: bytes) -> bool:
        """Write it behind all that came before; False where a task does, now or by and by."""
        if self.writing:
            self.pending += data
            return False
        try:
            sent = self.stream.send_now(data)
        except OSError:
            self.clients.count["clients.broken"] += 1
            self.stream.hang_up()
            return False
        if sent < len(data):
            self.write_on(data[sent:])
            return False
        return True

    def pour(self, data: bytes, more: trio.MemoryReceiveChannel[bytes]) -> None:
        """A large answer: its head and first part, then the rest as the server gives and the client takes."""
        self.pouring = more
        if self.writing:
            self.pending += data
        else:
            self.write_on(data)

    def write_on(self, data: bytes) -> None:
        # Danger: two tasks that write, and a 100 Continue goes out in the midst of the answer behind it. One
        # does, and what is to go out meanwhile waits in `pending`.
        self.writing, self.pending = True, data
        self.clients.nursery.start_soon(self.send_rest)

    async def send_rest(self) -> None:
        """What the kernel did not take at once: a client that reads slowly waits for it here.

        Danger: an answer that is cut can't be ended as whole; its connection is hung up: the client sees it
        cut. To an HTTP/1.0 client the connection's end may be the body's own, so that one gets a reset."""
        cut = "clients.broken"
        try:
            await self.send_pending()
            if self.pouring is not None:
                cut = "clients.cut"
                with self.pouring:
                    whole = False
                    while not whole:
                        with trio.fail_after(SLOW_WRITE):
                            piece = await self.pouring.receive()
                        whole = not piece
                        self.pending = self.http.send(h11.Data(data=piece) if piece else EMPTY) or b""
                        await self.send_pending()
                self.since, self.pouring = self.clients.core.clock.now(), None
                self.closing = self.closing or self.http.our_state is not h11.DONE
                self.drop_body()
            self.writing = False
            self.sent()
            self.read_on()
            return self.wake()
        except (
            OSError,
            trio.ClosedResourceError,
            trio.EndOfChannel,
            trio.TooSlowError,
            h11.LocalProtocolError,
        ):
            pass
        except Exception as error:  # Danger: what nobody thought of must not end the node
            self.clients.telemetry.rare("clients.error", error=repr(error))
        if self.pouring is not None:
            self.pouring.close()
        self.clients.count[cut] += 1
        self.wake()
        if self.http.their_http_version == b"1.1":
            self.stream.hang_up()
        else:
            self.stream.abort()

    async def send_pending(self) -> None:
        while self.pending:
            data, self.pending = self.pending, b""
            with trio.fail_after(SLOW_WRITE):
                await self.stream.send(data)

    def sent(self) -> None:
        if self.closing:
            return self.stream.end_sending()
        if self.http.our_state is not h11.DONE:
            return  # that was a 100 Continue
        self.http.start_next_cycle()
        self.fresh = False
        self.idle = not self.http.trailing_data[0]
