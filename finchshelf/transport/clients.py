"""Everything between clients and a program: accepting, who is here, making room, being left at the end.

Owns the listening socket's queue and the set of clients' connections (`connection`). What a request means is
the program's (`Reader`). It must never hang up on a request that has come but is not read yet, or let bad
input harm more than its own connection.
"""

from __future__ import annotations

import errno
import math
from collections.abc import Callable

import h11
import trio

from finchshelf.transport import net
from finchshelf.transport.bodies import Body, Room
from finchshelf.transport.connection import Connection
from finchshelf.transport.exchange import Answer, Exchange, Headers
from finchshelf.transport.host import Core
from finchshelf.transport.reading import BadRequest, Reader

LINGER = 0.3  # s that a client has to end its side after the last answer on a connection
LOOK = 0.25  # s between two looks for connections that are past one of these times
LEAVING = 0.02  # s between two looks at who is still here, at a planned end
YOUNG, HALF, IDLE = 0.05, 1.0, 2.0  # s of silence, of half a request, of idling, from which one makes room


class Clients:
    def __init__(
        self,
        core: Core,
        reader: Reader,
        nursery: trio.Nursery,
        ready: Callable[[], bool],
        descriptors: int,
        memory: int,
    ) -> None:
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

    def read(
        self,
        head: h11.Request,
        body: bytes,
        came: float,
        reply: Callable[[Answer], None],
        stream: Body | None = None,
        coming: float = 0.0,
    ) -> Exchange:
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

    async def leave(
        self,
        listener: trio.socket.SocketType,
        accepting: trio.CancelScope,
        last_calls: float,
        last_word: float,
    ) -> None:
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
                    connection.stall()
                elif connection.spent(connection.quiet(now)):
                    connection.give_up()
