"""One connection to a server: requests go out on it, answers come in, in the order of the requests.

Owns its bytes; h11 holds its one buffer. It must never be called ready for another request while a byte of
the former one is still to go, or skip an answer where it can't tell how long that is. What an answer means
and whose it is, is the program's to say (`servers.Dialect`).
"""

from __future__ import annotations

from collections import deque

import h11
import trio

from finchshelf.transport import net
from finchshelf.transport.address import Address
from finchshelf.transport.delivery import Begins, Delivery
from finchshelf.transport.replies import Broken, Reply, fits

MARKS = 8  # requests back of which a late copy of an answer may still come on a connection
MOST_INTERIM = 16  # 1xx answers in front of one
PIECE = 10.0  # s for the next piece of a large answer or body, from or to a server, or to a client


class Connection:
    """One connection to a server, by its id and address; h11 holds its one buffer. `most_idle`: the seconds
    that it may idle, None where the pool's hold. `delivery`: of the last request that it carries."""

    __slots__ = (
        "address",
        "carried",
        "delivery",
        "heard",
        "http",
        "most_idle",
        "server",
        "stream",
        "unsent",
        "used",
    )

    def __init__(self, server: str, address: Address, stream: net.Stream, now: float) -> None:
        self.server, self.address, self.stream, self.used = server, address, stream, now
        self.http = h11.Connection(h11.CLIENT)
        self.most_idle: float | None = None
        self.heard = False  # something came since it was last taken
        self.carried: deque[bytes] = deque(maxlen=MARKS)  # marks of the last requests that it carried
        self.unsent = False  # a part of a request is on its way to the kernel
        self.delivery = Delivery(Begins.ANY_BYTE)

    def carry(self, delivery: Delivery, mark: bytes = b"") -> None:
        """It takes a request of this mark on; what goes out of it is noted in `delivery`."""
        self.delivery = delivery
        if mark:
            self.carried.append(mark)

    async def write(self, request: h11.Request, body: bytes) -> None:
        """A whole request."""
        data = self.http.send(request) or b""
        if body:
            data += self.http.send(h11.Data(data=body)) or b""
        data += self.http.send(h11.EndOfMessage()) or b""
        await self.stream.send(data, self.delivery.note)
        self.delivery.whole = True

    async def part(self, event: h11.Request | h11.Data | h11.EndOfMessage) -> None:
        """One part of a request that goes out as it comes."""
        self.unsent = True
        with trio.fail_after(PIECE):
            await self.stream.send(self.http.send(event) or b"", self.delivery.note)
        self.unsent = False

    async def read(self) -> Reply:
        status, headers, parts, size, interim = 0, [], [], 0, 0
        while True:
            try:
                event = self.http.next_event()
                if event is h11.NEED_DATA:
                    data = await self.stream.receive()
                    self.heard = self.heard or bool(data)
                    self.http.receive_data(data)
                    continue
            except (h11.RemoteProtocolError, OSError, trio.ClosedResourceError) as error:
                raise Broken(repr(error)) from None
            if isinstance(event, h11.Response):
                status, headers = event.status_code, list(event.headers)
                if fits(status, headers):
                    return Reply(status, headers, b"", True)
            elif isinstance(event, h11.InformationalResponse):
                interim += 1
                if interim > MOST_INTERIM:
                    raise Broken("interim answers without end")
            elif isinstance(event, h11.Data):
                parts.append(bytes(event.data))
                size += len(event.data)
                if size > net.MOST_BODY:  # of no length said: it goes on as it comes
                    return Reply(status, headers, b"".join(parts), True)
            elif isinstance(event, h11.EndOfMessage):
                return Reply(status, headers, parts[0] if len(parts) == 1 else b"".join(parts))
            else:  # Danger: closed, or switched to what is no HTTP: waited on, h11 says so again and again
                raise Broken("closed")

    def skip(self, method: bytes) -> None:
        """The answer just read was another request's: get ready for one more. Broken where none can come, or
        the request is still going out, or the answer is a large one, whose rest is not read."""
        http = self.http
        if http.our_state is not h11.DONE or http.their_state is not h11.DONE:
            raise Broken("another request's answer")
        http.start_next_cycle()
        # What h11 makes of this is not sent: it only has to know which method the next answer is to.
        empty = [(b"Host", b""), (b"Content-Length", b"0")]
        http.send(h11.Request(method=method, target=b"/", headers=empty))
        http.send(h11.EndOfMessage())

    async def rest(self, sink: trio.MemorySendChannel[bytes]) -> None:
        """The rest of a large answer, piece by piece, as fast as it is taken; Broken if it is not whole."""
        async with sink:
            while True:
                try:
                    event = self.http.next_event()
                    if event is h11.NEED_DATA:
                        with trio.fail_after(PIECE):
                            self.http.receive_data(await self.stream.receive())
                        continue
                except (
                    h11.RemoteProtocolError,
                    OSError,
                    trio.TooSlowError,
                    trio.ClosedResourceError,
                ) as error:
                    raise Broken(repr(error)) from None
                if isinstance(event, h11.Data):
                    with trio.fail_after(PIECE):
                        await sink.send(bytes(event.data))
                elif isinstance(event, h11.EndOfMessage):
                    with trio.fail_after(PIECE):
                        await sink.send(b"")  # whole: a channel that ends without this was cut
                    return
                else:
                    raise Broken("closed")

    def renew(self) -> bool:
        """Ready for another request? Not if either side is done, or more came than was asked for.

        Danger: h11 calls a request sent whose last bytes the kernel has not taken yet. The server would read
        the next request as the rest of this one."""
        http = self.http
        done = http.our_state is h11.DONE and http.their_state is h11.DONE
        if self.unsent or not done or http.trailing_data[0]:
            return False
        http.start_next_cycle()
        return True


class Upload:
    """A body on its way to one attempt: it reads the body, and ends with its scope."""

    __slots__ = ("scope",)

    def __init__(self) -> None:
        self.scope = trio.CancelScope()
