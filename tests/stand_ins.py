"""Stand-ins for what is outside a node: servers, the counter, discovery and clients, on loopback sockets.

Each follows the protocol only as far as the tests ask, and does what the test tells it to.
"""

from __future__ import annotations

import functools
import itertools
import json
import socket
import struct
import tempfile
from collections.abc import AsyncIterator, Awaitable, Callable, Iterator
from contextlib import asynccontextmanager, contextmanager
from dataclasses import dataclass, field
from typing import Any
from unittest import mock

import h11
import trio
import trio.testing

from finchshelf.node import config as configuration
from finchshelf.node.config import Config
from finchshelf.node.process import Node, serve
from finchshelf.transport.address import Address
from finchshelf.transport.exchange import Clock
from finchshelf.transport.telemetry import Telemetry

LIMIT = 20.0  # s for a whole test: far more than any takes
STILL = 0.01  # s of real time without anything to do after which time leaps: loopback takes far less
WINDOW = 16.0  # s: a window of the counts of the plans `team` and `small` in SETTINGS, by Unix time
EDGE = 112_500_000 * WINDOW  # Unix time: where one of these windows begins


def trio_test(test: Callable[..., Awaitable[None]]) -> Callable[..., None]:
    """Run an async test in a loop of its own."""

    @functools.wraps(test)
    def run(**fixtures: Any) -> None:
        trio.run(limited, test, fixtures)

    return run


def lasting(limit: float) -> Callable[[Callable[..., Awaitable[None]]], Callable[..., None]]:
    """As `trio_test`, for a test whose work alone may take a busy machine longer than LIMIT; s."""

    def lasts(test: Callable[..., Awaitable[None]]) -> Callable[..., None]:
        @functools.wraps(test)
        def run(**fixtures: Any) -> None:
            trio.run(limited, test, fixtures, limit)

        return run

    return lasts


def leaping(test: Callable[..., Awaitable[None]]) -> Callable[..., None]:
    """The same in time that stands still while anything goes on, and leaps to what is next when nothing does.

    For tests that bound how long something takes: what the machine takes from this process is then no time.
    All that they wait for must be in this process.
    """

    @functools.wraps(test)
    def run(**fixtures: Any) -> None:
        with mock.patch.object(Clock, "now", lambda self: self.origin + trio.current_time()):
            trio.run(limited, test, fixtures, clock=trio.testing.MockClock(autojump_threshold=STILL))

    return run


@contextmanager
def begun(at: float) -> Iterator[None]:
    """Clocks made meanwhile show this time, in s behind the edge of a window, and go on from there.

    Danger: what a customer may use hangs on where in its window it is met, and so on the hour of a test.
    """

    def begin(clock: Clock) -> None:
        clock.origin = 0.0
        clock.origin = EDGE + at - clock.now()

    with mock.patch.object(Clock, "__init__", begin):
        yield


async def limited(
    test: Callable[..., Awaitable[None]], fixtures: dict[str, Any], limit: float = LIMIT
) -> None:
    with trio.fail_after(limit):
        await test(**fixtures)


async def until(true: Callable[[], object]) -> None:
    """Wait for something to come true; the test's own limit ends a wait in vain."""
    while not true():
        await trio.sleep(0.002)


def reset(stream: trio.SocketStream) -> None:
    """End a connection so that the other side sees a reset."""
    stream.socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    stream.socket.close()


@dataclass
class Got:
    """A request as a server got it, and the connection it came on (numbered from 0)."""

    method: bytes
    target: bytes
    headers: dict[bytes, bytes]
    body: bytes
    connection: int
    stream: trio.SocketStream


def ok(body: bytes = b"fine", *extra: bytes) -> bytes:
    lines = [b"HTTP/1.1 200 OK", b"Content-Length: %d" % len(body), *extra]
    return b"\r\n".join(lines) + b"\r\n\r\n" + body


def status(code: int, *extra: bytes) -> bytes:
    return b"\r\n".join([b"HTTP/1.1 %d X" % code, b"Content-Length: 0", *extra]) + b"\r\n\r\n"


class Listening:
    """A listener on a free port whose connections are numbered."""

    def __init__(self) -> None:
        self.connections = 0
        self.dead = False
        self.open: list[trio.SocketStream] = []

    async def start(self, nursery: trio.Nursery) -> None:
        self.nursery = nursery
        self.listeners = await trio.open_tcp_listeners(0, host="127.0.0.1")
        name = self.listeners[0].socket.getsockname()
        self.address = Address(name[0], name[1])
        self.listening = trio.CancelScope()
        nursery.start_soon(self.listen)

    async def listen(self) -> None:
        with self.listening:
            await trio.serve_listeners(self.meet, self.listeners, handler_nursery=self.nursery)

    async def meet(self, stream: trio.SocketStream) -> None:
        number, self.connections = self.connections, self.connections + 1
        self.open.append(stream)
        try:
            if not self.dead:
                await self.talk(stream, number)
        except (trio.BrokenResourceError, trio.ClosedResourceError, OSError, h11.ProtocolError):
            pass
        finally:
            self.open.remove(stream)
            stream.socket.close()

    async def talk(self, stream: trio.SocketStream, number: int) -> None:
        raise NotImplementedError

    async def die(self) -> None:
        """Refuse new connections and end those there are, also those that are only now being met."""
        self.dead = True
        await self.refuse()
        for stream in list(self.open):
            await stream.aclose()

    async def refuse(self) -> None:
        """Stop listening: what has connected stays."""
        self.listening.cancel()
        for listener in self.listeners:
            await listener.aclose()


Plan = Callable[[Got], Awaitable[bytes | None]]


class Server(Listening):
    """Answers each request with what its plan returns; None ends the connection."""

    def __init__(self, plan: Plan) -> None:
        super().__init__()
        self.plan = plan
        self.got: list[Got] = []

    async def talk(self, stream: trio.SocketStream, number: int) -> None:
        http = h11.Connection(h11.SERVER)
        while True:
            head, body = None, b""
            while not isinstance(event := http.next_event(), h11.EndOfMessage):
                if event is h11.NEED_DATA:
                    http.receive_data(await stream.receive_some())
                elif isinstance(event, h11.Request):
                    head = event
                elif isinstance(event, h11.Data):
                    body += event.data
                elif isinstance(event, h11.ConnectionClosed):
                    return
            assert head is not None
            got = Got(head.method, head.target, dict(head.headers), body, number, stream)
            self.got.append(got)
            answer = await self.plan(got)
            if answer is None:
                return
            await stream.send_all(answer)
            http = h11.Connection(h11.SERVER)


def always(answer: bytes | None) -> Plan:
    async def plan(_: Got) -> bytes | None:
        return answer

    return plan


async def never(_: Got) -> bytes | None:
    await trio.sleep_forever()
    return None


Say = Callable[[str], Awaitable[bytes | None]]


class Counter(Listening):
    """Adds up by name; `say`, where it is set, is asked for the answer to each call instead."""

    def __init__(self, say: Say | None = None) -> None:
        super().__init__()
        self.say, self.calls, self.totals = say, list[str](), dict[str, float]()
        self.of: list[tuple[int, str]] = []

    async def talk(self, stream: trio.SocketStream, number: int) -> None:
        buffer = b""
        while data := await stream.receive_some():
            buffer += data
            while b"\r\n" in buffer:
                line, _, buffer = buffer.partition(b"\r\n")
                text = line.decode()
                self.calls.append(text)
                self.of.append((number, text))
                answer = await self.answer(text)
                if answer is None:
                    return
                await stream.send_all(answer)

    async def answer(self, text: str) -> bytes | None:
        if text == "ping":
            return b"pong\r\n"
        if self.say is not None:
            return await self.say(text)
        _, name, amount, _ = text.split()
        self.totals[name] = self.totals.get(name, 0.0) + float(amount)
        return b"ok %g\r\n" % self.totals[name]


def entry(name: str, address: Address, phase: str = "SERVING", **more: Any) -> dict[str, Any]:
    return {
        "id": name,
        "host_port": str(address),
        "locality": "here",
        "flavor": "box",
        "cell": 0,
        "phase": phase,
        "size": 1.0,
        "up_since_ms": 0,
        **more,
    }


class Discovery(Listening):
    """A list with a version; watches are answered when it changes. `mode`: well, silent, error, garbage."""

    def __init__(self, members: list[dict[str, Any]]) -> None:
        super().__init__()
        self.members, self.changes, self.version = members, list[dict[str, Any]](), 1
        self.mode, self.targets, self.waits = "well", list[str](), True
        self.news = trio.Event()

    def change(self, *entries: dict[str, Any]) -> None:
        self.changes, self.version = list(entries), self.version + 1
        self.news.set()
        self.news = trio.Event()

    async def talk(self, stream: trio.SocketStream, number: int) -> None:
        buffer = b""
        while data := await stream.receive_some():
            buffer += data
            while b"\r\n\r\n" in buffer:
                head, _, buffer = buffer.partition(b"\r\n\r\n")
                target = head.split()[1].decode()
                self.targets.append(target)
                await stream.send_all(await self.answer(target))

    async def answer(self, target: str) -> bytes:
        if self.mode != "well":
            return await self.failing()
        whole = "after=" not in target
        if not whole:
            after = int(target.partition("after=")[2].partition("&")[0])
            if after >= self.version and self.waits:
                with trio.move_on_after(float(target.partition("wait_ms=")[2]) / 1000):
                    await self.news.wait()
                if self.mode != "well":
                    return await self.failing()
            whole = after < self.version and not self.changes  # a gap: all that there is
        entries = self.members if whole else self.changes if after < self.version else []
        return ok(json.dumps({"revision": self.version, "complete": whole, "members": entries}).encode())

    async def failing(self) -> bytes:
        if self.mode == "silent":
            await trio.sleep_forever()
        return status(503) if self.mode == "error" else ok(b'{"revision":"x"}')


SETTINGS: dict[str, Any] = {
    "balancers": 1,
    "me": 0,
    "locality": 0,
    "localities": ["here", "there"],
    "skus": ["box"],
    "ceilings": {
        "cancel": True,
        "try-limit": 3,
        "retry-after": True,
        "max-retry-after": 500.0,
        "parallel-tries": False,
        "probes": True,
        "connect-timeout": 250.0,
        "idle-close": 4000.0,
    },
    "family-info": {"may-count": True, "count-wait": 400.0, "most-units": 4, "trued-up": True},
    "lanes": [
        {"aim": 3000.0, "deadline": 6000.0, "semantics": "retryable", "worth": 1.0, "name": "look"},
        {
            "aim": 3000.0,
            "deadline": 6000.0,
            "semantics": "dedup",
            "key-scope": "cell",
            "key-ttl": 6000.0,
            "worth": 2.0,
            "name": "post",
        },
        {"aim": 3000.0, "deadline": 6000.0, "semantics": "fragile", "worth": 2.0, "name": "pay"},
    ],
    "contracts": [
        {"refill": 50.0, "most-at-once": 100.0, "price": 1.0, "name": "team"},
        {"refill": 0.5, "most-at-once": 1.0, "price": 1.0, "name": "small"},
        {"price": 1.0, "name": "free"},
    ],
    "rules": {"fall": 1000.0, "fall-multiple": 2.0, "cold-from": 0.2, "warm-up": 9000.0},
}
NOWHERE = Address("127.0.0.1", 9)


def config_object(
    discovery: Address = NOWHERE, counter: Address = NOWHERE, known: Any = None, **limits: Any
) -> dict[str, Any]:
    return {
        "name": "n0",
        "listen": "127.0.0.1:0",
        "discovery": str(discovery),
        "counter": str(counter),
        "seed": "0a",
        "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 256, **limits},
        "known": known or {"revision": 0, "complete": True, "members": []},
        "settings": SETTINGS,
    }


def config(
    discovery: Address = NOWHERE, counter: Address = NOWHERE, known: Any = None, **limits: Any
) -> Config:
    return configuration.read(config_object(discovery, counter, known, **limits), {})


class Quiet(Telemetry):
    """Telemetry that keeps its lines."""

    def __init__(self) -> None:
        super().__init__("n0")
        self.lines: list[tuple[str, dict[str, Any]]] = []

    def log(self, event: str, **fields: Any) -> None:
        self.lines.append((event, fields))


@dataclass
class World:
    """A node in this process with its surroundings."""

    node: Node
    servers: list[Any]
    counter: Counter
    discovery: Discovery
    telemetry: Quiet
    nursery: trio.Nursery
    events: list[Any] = field(default_factory=list)

    async def client(self) -> Client:
        return Client(await trio.open_tcp_stream(*self.node.address))


@asynccontextmanager
async def world(
    *plans: Plan | Listening, say: Say | None = None, keep: str = "", at: float = WINDOW / 4, **limits: Any
) -> AsyncIterator[World]:
    """`plans`: of a server each, or other servers. `keep`: a folder for what operators said; with it
    the node has its second address. `at`: the node's time at its start, in s behind the edge of a window."""
    async with trio.open_nursery() as nursery:
        servers = [plan if isinstance(plan, Listening) else Server(plan) for plan in plans]
        counter, telemetry = Counter(say), Quiet()
        for part in (*servers, counter):
            await part.start(nursery)
        discovery = Discovery([entry(f"s{n}", server.address) for n, server in enumerate(servers)])
        await discovery.start(nursery)
        raw = config_object(discovery.address, counter.address, **limits)
        if keep:
            raw["operator"] = "127.0.0.1:0"
        # Danger: a file of what operators said, left in a shared folder, would take servers out of any test.
        with tempfile.TemporaryDirectory() as fresh:
            settings = configuration.read(raw, {"TMPDIR": keep or fresh})
        with begun(at):
            node: Node = await nursery.start(serve, settings, telemetry)
        made = World(node, servers, counter, discovery, telemetry, nursery)
        handle = node.core.limiter.handle

        def spied(event: Any, now: float) -> Any:
            made.events.append(event)
            return handle(event, now)

        node.core.limiter.handle = spied  # type: ignore[method-assign]
        await until(lambda: node.discovery.asked and node.counter and node.counter.up)
        await until(lambda: node.clients.ready() or not servers)
        yield made
        nursery.cancel_scope.cancel()


@dataclass
class Reply:
    status: int
    headers: dict[bytes, bytes]
    body: bytes


IDS = itertools.count(0x9B1F03AA5C7E2D41)


def call(
    cls: str = "look",
    plan: str = "team",
    budget: int = 4000,
    path: str = "",
    body: bytes = b"",
    method: str = "",
    extra: tuple[str, ...] = (),
    drop: str = "",
    ident: str = "",
) -> bytes:
    """A request in the protocol's form, or nearly so; with an id of its own unless one is given."""
    ident = ident or f"{next(IDS):016x}"
    method = method or ("GET" if cls == "look" else "POST")
    lines = [
        f"{method} {path or f'/{cls}/00000000b4d65521'} HTTP/1.1",
        "Host: service.internal",
        f"X-Call-Id: {ident}",
        f"X-Call-Class: {cls}",
        f"X-Contract: {plan}",
        f"X-Budget-Ms: {budget}",
        "X-Metering: units=1,spread=1,first=0",
    ]
    if cls == "post":
        lines.append("Idempotency-Key: 5c0f6e1a2b3d4c59a8b7c6d5e4f30211")
    if method == "POST":
        lines.append(f"Content-Length: {len(body)}")
    lines = [line for line in lines if not drop or not line.startswith(drop)]
    return "\r\n".join([*lines, *extra]).encode() + b"\r\n\r\n" + body


class Client:
    def __init__(self, stream: trio.SocketStream) -> None:
        self.stream = stream
        self.http = h11.Connection(h11.CLIENT)

    async def send(self, data: bytes | memoryview) -> None:
        await self.stream.send_all(data)

    async def receive(self) -> Reply:
        """The next answer, whole."""
        self.http.send(h11.Request(method="GET", target="/", headers=[("Host", "x")]))
        self.http.send(h11.EndOfMessage())
        code, headers, body = 0, dict[bytes, bytes](), b""
        while not isinstance(event := self.http.next_event(), h11.EndOfMessage):
            if event is h11.NEED_DATA:
                self.http.receive_data(await self.stream.receive_some())
            elif isinstance(event, h11.Response):
                code, headers = event.status_code, dict(event.headers)
            elif isinstance(event, h11.Data):
                body += event.data
        if self.http.their_state is h11.DONE:
            self.http.start_next_cycle()
        return Reply(code, headers, body)

    async def ask(self, data: bytes) -> Reply:
        await self.send(data)
        return await self.receive()

    async def ended(self) -> bool:
        """True once the node has ended this connection with nothing more said."""
        try:
            return await self.stream.receive_some() == b""
        except trio.BrokenResourceError:
            return True
