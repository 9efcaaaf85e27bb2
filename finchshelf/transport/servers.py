"""Everything between a program and the servers: pools of connections, attempts, probes.

Owns the connections to servers. Each attempt is a task with a cancel scope of its own and ends with exactly
one `Ended` on the core's queue, each probe with one `Probed`. What a request says and an answer means is the
program's (`Dialect`). It must never choose a server, send anything a second time, or call an end
"never ran" that may have run: its `Delivery` decides.
"""

from __future__ import annotations

import math
from collections.abc import Mapping
from dataclasses import dataclass, field
from typing import Protocol

import h11
import trio

from finchshelf.admission import outcome as i
from finchshelf.transport import net
from finchshelf.transport.address import Address
from finchshelf.transport.bodies import Cut
from finchshelf.transport.delivery import Begins, Delivery
from finchshelf.transport.exchange import Attempt, Ended, Port
from finchshelf.transport.replies import Another, Broken, Reply
from finchshelf.transport.upstream import Connection, Upload

REST = 0.002  # s after an answer until its connection may carry the next request
SWEEP = 1.0  # s between two looks at idle connections
PROBE_LIMIT = 0.25  # s for a probe, its connection included
KEEPING = (i.Status.OK, i.Status.FULL, i.Status.ERROR)  # ends after which a connection may be kept


class Core(Port, Protocol):
    """What the servers' side asks of a program's core."""

    @property
    def addresses(self) -> Mapping[str, Address]:
        """Where each server is now: a connection to one that is elsewhere, or not here, is not kept."""


class Dialect(Protocol):
    """What goes to servers, and what they say, in a program's words. Nothing here may wait."""

    @property
    def connect_limit(self) -> float:
        """Seconds for a connection to come up."""

    @property
    def most_idle(self) -> float:
        """Seconds after which an idle connection is not used again."""

    @property
    def begins(self) -> Begins:
        """How much of a request a server has when it may begin to work on it."""

    def head(self, attempt: Attempt, now: float) -> h11.Request:
        """The head under which an exchange goes on; `framing` has the length of its body."""

    def read(self, reply: Reply, attempt: Attempt, ended: Ended) -> None:
        """What an answer means: `ended.status` (OK, FULL or ERROR, else its connection is not kept) and the
        rest of `ended`. Any status may be passed on as `ended.answer` (`onward` makes it). One that is no
        answer raises `Broken`: that is a reset; one to another request `Another`: it is skipped once."""

    def probe(self, server: str, address: Address) -> h11.Request: ...

    def probed(self, reply: Reply, server: str) -> tuple[i.Status, dict[str, float]]:
        """What the answer to a probe of that server means, and the load that it tells; raises as `read`."""


@dataclass(slots=True)
class Run:
    """One attempt while it is out. `answered`: its answer is whole, or the first part of a `large` one;
    `called_off`: before anything of it went out."""

    attempt: Attempt
    delivery: Delivery
    upload: Upload = field(default_factory=Upload)
    connection: Connection | None = None
    answered: bool = False
    large: bool = False
    called_off: bool = False
    ended: Ended = field(init=False)

    def __post_init__(self) -> None:
        self.ended = Ended(self.attempt, i.Status.UNREACHABLE)


def unanswered(delivery: Delivery, called_off: bool, timed_out: bool) -> i.Status:
    """How an attempt ended that got no answer."""
    if called_off:  # that says nothing of its server
        return i.Status.CANCELLED
    if not delivery.may_have_run:
        return i.Status.UNREACHABLE
    return i.Status.TIMEOUT if timed_out else i.Status.RESET


class Servers:
    def __init__(self, core: Core, dialect: Dialect, nursery: trio.Nursery, descriptors: int) -> None:
        """`descriptors`: the process's limit."""
        self.core, self.nursery, self.clock = core, nursery, core.clock
        self.telemetry, self.count = core.telemetry, core.telemetry.count
        self.most = max(8, (descriptors - 32) // 2)
        self.each = self.most  # idle connections kept to one server
        self.idle: dict[str, list[Connection]] = {}
        self.open = 0
        self.renew(dialect)

    def renew(self, dialect: Dialect) -> None:
        """Go by these words and figures from now on."""
        self.dialect = dialect
        self.connect_limit, self.most_idle = dialect.connect_limit, dialect.most_idle

    # ---- for the core: nothing here waits ----

    def start(self, attempt: Attempt) -> None:
        self.nursery.start_soon(self.run, attempt)

    def probe(self, server: str, address: Address) -> None:
        self.nursery.start_soon(self.run_probe, server, address)

    def forget(self, server: str) -> None:
        """A server that drains, moves or is gone: its idle connections go at once."""
        for connection in self.idle.pop(server, ()):
            self.close(connection)

    # ---- connections ----

    def take(
        self, server: str, address: Address, most: float = math.inf, mark: bytes = b""
    ) -> Connection | None:
        """The idle connection used last, if that is below `most` seconds ago: the others get old and go.
        None that carried a request of this `mark`."""
        stack, now = self.idle.get(server, []), self.clock.now()
        for place in range(len(stack) - 1, -1, -1):
            connection = stack[place]
            # Danger: a second copy right behind an answer, or the server's close, that is still on its way
            # would meet the next request: it would be served what was not made for it, or end as a reset.
            if now - connection.used < REST:
                continue
            if now - connection.used >= most:
                return None  # the rest has idled for longer still, and is there for others
            if mark and mark in connection.carried:
                # Danger: a copy of the answer to the former request of that mark would be taken for ours.
                continue
            del stack[place]
            # Danger: what is written to a connection that the server has closed ends as a reset that may
            # have run. So none is used that is near its time, or that has something to say already.
            fresh = now - connection.used < self.may_idle(connection) and connection.address == address
            if fresh and connection.stream.silent():
                self.count["servers.reused"] += 1
                connection.heard = False
                return connection
            self.close(connection)
        return None

    def may_idle(self, connection: Connection) -> float:
        return self.most_idle if connection.most_idle is None else connection.most_idle

    async def open_one(self, server: str, address: Address) -> Connection:
        if self.open >= self.most:
            self.close_oldest()
        self.count["servers.opened"] += 1
        self.open += 1  # one that is coming up holds a descriptor too
        try:
            return Connection(server, address, await net.connect(address), self.clock.now())
        except BaseException:
            self.open -= 1
            raise

    def close(self, connection: Connection) -> None:
        self.open -= 1
        connection.stream.close()

    def keep(self, connection: Connection) -> None:
        connection.used = self.clock.now()
        # Danger: a new server at the address of one that has gone would be met on that one's connections.
        current = self.core.addresses.get(connection.server) == connection.address
        spare = len(self.idle.get(connection.server, ())) < self.each
        if connection.renew() and self.open <= self.most and current and spare:
            self.idle.setdefault(connection.server, []).append(connection)
        else:
            self.close(connection)

    def close_oldest(self) -> None:
        stacks = [stack for stack in self.idle.values() if stack]
        if stacks:
            self.close(min(stacks, key=lambda stack: stack[0].used).pop(0))

    async def sweep(self) -> None:
        while True:
            await trio.sleep(SWEEP)
            now = self.clock.now()
            for server, stack in list(self.idle.items()):
                for connection in [one for one in stack if one.used < now - self.may_idle(one)]:
                    stack.remove(connection)
                    self.close(connection)
                if not stack:
                    del self.idle[server]

    # ---- one attempt ----

    async def run(self, attempt: Attempt) -> None:
        if attempt.cancelled:
            return self.core.put(Ended(attempt, i.Status.CANCELLED))
        run = Run(attempt, Delivery(self.dialect.begins))
        attempt.exchange.deliveries.append(run.delivery)
        with trio.CancelScope() as scope:
            attempt.scope = scope
            scope.deadline = trio.current_time() + attempt.limit - (self.clock.now() - attempt.issued)
            try:
                await self.ask(run)
            except (OSError, Broken, h11.LocalProtocolError, trio.TooSlowError):
                pass  # what has gone out until then says what that means
            except Exception as error:
                # Danger: what nobody thought of must not end the node; the attempt has an end as any other.
                self.telemetry.rare("servers.error", error=repr(error), server=attempt.server)
        ended, connection, stream = run.ended, run.connection, attempt.exchange.stream
        if not run.answered:
            called_off = run.called_off or (attempt.cancelled and scope.cancelled_caught)
            ended.status = unanswered(run.delivery, called_off, scope.cancelled_caught)
        ended.sent = run.delivery.bytes_sent
        ended.heard = connection is not None and connection.heard
        if connection is not None and run.answered and run.large:
            await self.pour(connection, ended)
            return run.upload.scope.cancel()
        if stream is not None and stream.reader is run.upload:
            stream.reader = None
        run.upload.scope.cancel()
        if connection is not None:
            if run.answered:
                self.keep(connection)
            else:
                self.close(connection)
        self.core.put(ended)

    async def ask(self, run: Run) -> None:
        """Send the request and read its answer; raises where the connection can't go on."""
        attempt = run.attempt
        run.connection = connection = await self.connection(run)
        # Danger: after a halt a send that was decided long ago would go to a server that drains by
        # now. What has not begun within the time to connect has not begun at all.
        if connection is None or self.clock.now() - attempt.issued > self.connect_limit:
            return
        # Danger: its client may have been told meanwhile that it has not run and never will.
        run.called_off = attempt.called_off
        if run.called_off:
            return
        await self.send(run, connection)
        try:
            self.read(run, connection, await connection.read())
        except Another:
            # Danger: dropped here, a request that may run once would end as unknown, though its
            # answer is on the way. One only, of bounded size, within the attempt's own time.
            connection.skip(attempt.exchange.method)
            run.ended.used = 0
            self.count["servers.skipped"] += 1
            self.read(run, connection, await connection.read())

    async def connection(self, run: Run) -> Connection | None:
        """A kept connection, or a new one; None where none came up in time."""
        attempt = run.attempt
        kept = self.take(attempt.server, attempt.address, attempt.most_idle, attempt.exchange.mark)
        if kept is not None:
            run.ended.idle = self.clock.now() - kept.used
            return kept
        with trio.move_on_after(self.connect_limit):
            run.connection = await self.open_one(attempt.server, attempt.address)
        if run.connection is not None and not run.connection.stream.silent():
            # Danger: what is said before anything is asked would be read as the answer.
            raise Broken("an answer before the request")
        return run.connection

    async def send(self, run: Run, connection: Connection) -> None:
        """The request, as far as it is here: a streamed body goes on by itself."""
        exchange = run.attempt.exchange
        connection.carry(run.delivery, exchange.mark)
        head = self.dialect.head(run.attempt, self.clock.now())
        if exchange.stream is None:
            return await connection.write(head, exchange.body)
        await connection.part(head)
        exchange.stream.reader = run.upload
        self.nursery.start_soon(self.upload, connection, run.attempt, run.upload)

    def read(self, run: Run, connection: Connection, reply: Reply) -> None:
        """What an answer means; nothing where that can't be told."""
        ended = run.ended
        try:
            self.dialect.read(reply, run.attempt, ended)
        except Exception:
            ended.answer = None
            raise
        run.answered, run.large = ended.status in KEEPING, reply.large
        run.delivery.refused = ended.status is i.Status.FULL
        if reply.most_idle is not None:
            connection.most_idle = reply.most_idle

    async def upload(self, connection: Connection, attempt: Attempt, upload: Upload) -> None:
        """A body, as it comes from its client and as fast as the server takes it."""
        stream, at = attempt.exchange.stream, 0
        assert stream is not None
        with upload.scope:
            try:
                while piece := await stream.take(upload, at):
                    at += len(piece)
                    await connection.part(h11.Data(data=piece))
                    # Danger: by its length the server has it whole now. An end that comes before our next
                    # word would pass for one in the midst of the body.
                    connection.delivery.whole = at == stream.length
                # Danger: half of the last chunk is the end to some servers.
                connection.delivery.whole = True
                await connection.part(h11.EndOfMessage())
                self.count["servers.uploads"] += 1
                if attempt.scope is not None:  # it came sooner than it might: all its times end sooner
                    attempt.scope.deadline -= attempt.until - attempt.exchange.until
            except Cut:
                if stream.broken:
                    attempt.cancel()
                elif stream.reader is upload:  # its bytes are gone: the server would wait for them for good
                    connection.stream.hang_up()
            except trio.TooSlowError:  # Danger: a server that reads nothing would hold its client for good
                connection.stream.hang_up()
            except (OSError, trio.ClosedResourceError, h11.LocalProtocolError):
                pass  # whoever reads the answer finds it, or the end
            except Exception as error:
                self.telemetry.rare("servers.error", error=repr(error), server=attempt.server)
                connection.stream.hang_up()

    async def pour(self, connection: Connection, ended: Ended) -> None:
        """A large answer: final from its first part, the rest goes on to the client as it takes it."""
        if ended.answer is None:  # not one to pass on: its rest is not read
            self.close(connection)
            return self.core.put(ended)
        sink, ended.answer.more = trio.open_memory_channel[bytes](1)
        self.core.put(ended)
        self.count["servers.large"] += 1
        try:
            await connection.rest(sink)
        except (Broken, trio.BrokenResourceError, trio.TooSlowError):
            self.count["servers.large_cut"] += 1
            return self.close(connection)
        self.keep(connection)

    async def run_probe(self, server: str, address: Address) -> None:
        began, probed, connection = self.clock.now(), i.Status.UNREACHABLE, None
        load: dict[str, float] = {}
        with trio.move_on_after(PROBE_LIMIT):
            try:
                connection = self.take(server, address) or await self.open_one(server, address)
                connection.carry(Delivery(self.dialect.begins))
                await connection.write(self.dialect.probe(server, address), b"")
                probed = i.Status.TIMEOUT
                reply = await connection.read()
                try:
                    probed, load = self.dialect.probed(reply, server)
                except Another:
                    connection.skip(b"GET")
                    reply = await connection.read()
                    probed, load = self.dialect.probed(reply, server)
                if reply.most_idle is not None:
                    connection.most_idle = reply.most_idle
            except (OSError, Broken, h11.LocalProtocolError):
                probed = i.Status.RESET if probed is i.Status.TIMEOUT else probed
        if connection is not None:
            if probed in (i.Status.OK, i.Status.ERROR):
                self.keep(connection)
            else:
                self.close(connection)
        self.core.put(i.Probed(server, probed, self.clock.now() - began, load))
