"""The transport under another program's words: its figures, its answers, its keeping of connections."""

from __future__ import annotations

import subprocess
import sys
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager
from dataclasses import dataclass, field

import h11
import trio

from finchshelf.admission import interface as i
from finchshelf.transport import net
from finchshelf.transport.address import Address
from finchshelf.transport.bodies import Body
from finchshelf.transport.clients import Clients
from finchshelf.transport.delivery import Begins
from finchshelf.transport.exchange import Answer, Attempt, Clock, Ended, Exchange
from finchshelf.transport.reading import BadRequest, Limits, head_size, headers_once
from finchshelf.transport.replies import Broken, Reply, framing, onward
from finchshelf.transport.servers import Servers
from tests.stand_ins import Client, Plan, Quiet, Server, always, status, trio_test, until

GET = b"GET /any HTTP/1.1\r\nHost: x\r\n\r\n"


class Reader:
    limits = Limits(
        most_request=100_000,
        most_head=400,
        slow_read=0.3,
        silent=0.3,
        kept=0.6,
        kept_headers=((b"Keep-Alive", b"timeout=1"),),
    )
    health_target = None

    def head(self, event: h11.Request) -> dict[bytes, bytes]:
        if head_size(event) > self.limits.most_head:
            raise BadRequest("head", 431)
        return headers_once(event, frozenset((b"host",)))

    def call(
        self,
        event: h11.Request,
        body: bytes,
        number: int,
        came: float,
        reply: Callable[[Answer], None],
        stream: Body | None,
        coming: float,
    ) -> Exchange:
        return Exchange(
            number,
            came + 5.0,
            reply,
            event.method,
            event.target,
            list(event.headers),
            body,
            stream=stream,
            wait=5.0,
        )


class Dialect:
    connect_limit, most_idle = 1.0, 5.0
    begins = Begins.ANY_BYTE

    def head(self, attempt: Attempt, now: float) -> h11.Request:
        one = attempt.exchange
        return h11.Request(method=one.method, target=one.target, headers=[*one.headers, *framing(one)])

    def read(self, reply: Reply, attempt: Attempt, ended: Ended) -> None:
        ended.status = i.Status.OK if reply.status < 500 else i.Status.ERROR
        ended.answer = onward(reply, attempt.exchange.method, frozenset())
        told = dict(reply.headers)
        if b"x-odd" in told:
            raise Broken("odd")
        if b"keep-alive" in told:
            reply.most_idle = float(told[b"keep-alive"].removeprefix(b"timeout="))

    def probe(self, server: str, address: Address) -> h11.Request:
        return h11.Request(method="GET", target="/up", headers=[("Host", server)])

    def probed(self, reply: Reply, server: str) -> tuple[i.Status, dict[str, float]]:
        return i.Status.OK, {"held": float(reply.body or b"0")}


@dataclass
class Core:
    """Sends each request to the one server there is."""

    clock: Clock = field(default_factory=Clock)
    telemetry: Quiet = field(default_factory=Quiet)
    addresses: dict[str, Address] = field(default_factory=dict)
    ended: list[Ended] = field(default_factory=list)
    last_id: int = 0
    servers: Servers | None = None

    def next_id(self) -> int:
        self.last_id += 1
        return self.last_id

    def halted(self, now: float) -> bool:
        return False

    def put(self, item: object) -> None:
        if isinstance(item, Exchange) and self.servers is not None:
            self.servers.start(Attempt(item, 0, "a", self.addresses["a"], 3.0, self.clock.now(), item.until))
        elif isinstance(item, Ended):
            self.ended.append(item)
            item.attempt.exchange.reply(item.answer or Answer(504, [(b"Content-Length", b"0")]))


@dataclass
class World:
    core: Core
    clients: Clients
    servers: Servers
    address: tuple[str, int]
    server: Server

    async def client(self) -> Client:
        return Client(await trio.open_tcp_stream(*self.address))


@asynccontextmanager
async def world(plan: Plan) -> AsyncIterator[World]:
    async with trio.open_nursery() as nursery:
        server, core = Server(plan), Core()
        await server.start(nursery)
        core.addresses = {"a": server.address}
        core.servers = servers = Servers(core, Dialect(), nursery, 128)
        clients = Clients(core, Reader(), nursery, lambda: True, 128, 1 << 28)
        listener = await net.listen(Address("127.0.0.1", 0))
        nursery.start_soon(clients.accept, listener)
        nursery.start_soon(clients.sweep)
        yield World(core, clients, servers, listener.getsockname()[:2], server)
        nursery.cancel_scope.cancel()


@trio_test
async def test_an_error_of_any_size_goes_on_whole_and_its_connection_is_kept() -> None:
    big = b"e" * 300_000
    plan = always(b"HTTP/1.1 500 X\r\nContent-Length: %d\r\n\r\n" % len(big) + big)
    async with world(plan) as w:
        reply = await (await w.client()).ask(GET)
        assert reply.status == 500 and reply.body == big
        assert reply.headers[b"keep-alive"] == b"timeout=1"
        await until(lambda: w.servers.idle.get("a"))
    async with world(always(status(503))) as w:
        assert (await (await w.client()).ask(GET)).status == 503


@trio_test
async def test_a_head_beyond_its_most_is_431_come_whole_or_not_and_nothing_is_health() -> None:
    async with world(always(status(404))) as w:
        long = b"GET / HTTP/1.1\r\nHost: x\r\nX-Pad: " + b"p" * 400
        assert (await (await w.client()).ask(long)).status == 431
        assert (await (await w.client()).ask(long + b"\r\n\r\n")).status == 431
        assert (await (await w.client()).ask(GET.replace(b"/any", b"/healthz"))).status == 404
        late = await w.client()
        assert (await late.ask(GET[:-2])).status == 408


@trio_test
async def test_a_server_says_for_how_long_its_connection_may_idle() -> None:
    async with world(always(status(200, b"Keep-Alive: timeout=0.05"))) as w:
        client = await w.client()
        await client.ask(GET)
        await trio.sleep(0.1)
        await client.ask(GET)
        assert w.core.telemetry.count["servers.opened"] == 2 and w.servers.open == 1
        w.servers.nursery.start_soon(w.servers.sweep)
        await until(lambda: not w.servers.open)


@trio_test
async def test_what_the_words_make_nothing_of_is_a_reset() -> None:
    async with world(always(status(200, b"X-Odd: 1"))) as w:
        assert (await (await w.client()).ask(GET)).status == 504
        assert w.core.ended[0].status is i.Status.RESET and not w.servers.open


def test_the_transport_needs_nothing_of_the_node_or_the_module() -> None:
    look = (
        "import sys, finchshelf.transport.clients, finchshelf.transport.servers\n"
        "import finchshelf.transport.telemetry\n"
        "print([m for m in sys.modules if m.startswith('finchshelf.node') or m.endswith('.logic')])"
    )
    assert subprocess.run([sys.executable, "-c", look], capture_output=True, check=True).stdout == b"[]\n"
