"""The soak's clients and the platform that hands their connections to data planes.

Owns what clients send and their ledger rows. Each try has an id of its own and is written down before its
first byte goes out. The platform asks each data plane each second whether it is ready, and after two misses
gives it no new connection, as the protocol says.
"""

from __future__ import annotations

import contextlib
from collections.abc import Callable
from dataclasses import dataclass, field
from random import Random

import h11
import trio

from finchshelf.soak import site, wire
from finchshelf.soak.judge import OVER_DEADLINE_S
from finchshelf.soak.ledger import End, Ledger, Sent
from finchshelf.soak.servers import SEAL, body_of, body_of_request, status_of
from finchshelf.soak.wire import Ended, Message, Wire
from finchshelf.transport.address import Address

DEADLINE_S = 2.0
CONNECT_S = 1.0
KEPT = 6  # connections that a data plane's clients keep
MISSES = 2
LARGE, LARGE_SHARE = (70_000, 300_000), 0.05  # bytes of a body that is streamed, and how many POSTs have one
LEAVES_S = (0.1, 0.4)  # after which the client of a slow request hangs up
BURST = 4.0  # times the usual


@dataclass(slots=True)
class Route:
    label: str
    prefix: str


@dataclass(frozen=True, slots=True)
class Stream:
    """Requests of one tenant on one route; `route` None: on those that changes have added."""

    tenant: site.Tenant
    route: site.SiteRoute | None
    requests_s: float


STREAMS = (
    *(Stream(site.FREE, route, route.requests_s) for route in site.ROUTES),
    *(Stream(tenant, site.BY_ROUTE["read"], tenant.requests_s) for tenant in site.LIMITED),
    Stream(site.FREE, None, site.ADDED_S),
)
REQUESTS_S = sum(one.requests_s for one in STREAMS)


def key_of(tenant: str) -> str:
    """No tenant holds the key of nobody."""
    return site.BY_TENANT[tenant].key if tenant else site.UNKNOWN_KEY


@dataclass(slots=True)
class Platform:
    """Which data planes get new connections."""

    readiness: list[Address]
    ledger: Ledger
    now: Callable[[], float]
    misses: list[int] = field(default_factory=list)

    def edges(self) -> list[int]:
        """Numbers of the machines whose data planes are in; all of them if fewer than half are."""
        found = [at + 1 for at, number in enumerate(self.misses) if number < MISSES]
        return found if 2 * len(found) >= len(self.misses) else list(range(1, len(self.misses) + 1))

    async def run(self) -> None:
        self.misses = [MISSES] * len(self.readiness)
        while True:
            async with trio.open_nursery() as nursery:
                for at in range(len(self.readiness)):
                    nursery.start_soon(self.ask, at)
            self.ledger.ready.append(
                (self.now(), tuple(at + 1 for at, number in enumerate(self.misses) if not number))
            )
            await trio.sleep(1.0)

    async def ask(self, at: int) -> None:
        address = self.readiness[at]
        told = await wire.call(address.host, address.port, "GET", "/v1/readiness", b"", 0.8)
        self.misses[at] = 0 if told is not None and status_of(told) == 200 else self.misses[at] + 1


@dataclass(slots=True)
class Crowd:
    """All clients of one seed."""

    fronts: list[Address]
    platform: Platform
    ledger: Ledger
    random: Random
    now: Callable[[], float]
    routes: list[Route]
    kept: dict[int, list[Wire]] = field(default_factory=dict)
    rude_share: float = 0.0
    burst: float = 1.0
    numbers: int = 0

    async def run(self, until_s: float) -> None:
        async with trio.open_nursery() as nursery:
            while self.now() < until_s:
                nursery.start_soon(self.one)
                await trio.sleep(self.random.expovariate(REQUESTS_S * self.burst))

    async def one(self) -> None:
        random = self.random
        stream = random.choices(STREAMS, [one.requests_s for one in STREAMS])[0]
        if not stream.tenant.sends(self.now()):
            return
        if stream.route is not None:
            route, method = Route(stream.route.label, stream.route.prefix), stream.route.method
        elif self.routes:
            route, method = random.choice(self.routes), "GET"
        else:
            return
        tenant = "" if random.random() < site.UNKNOWN_SHARE else stream.tenant.name
        leaves = stream.route is not None and random.random() < stream.route.leaves
        edge = random.choice(self.platform.edges())
        self.numbers += 1
        trial = f"soak{self.numbers:08x}"
        kept = self.kept.setdefault(edge, [])
        connection = kept.pop() if kept and random.random() < 0.7 else None
        if connection is not None and not connection.idle():
            await connection.close()
            connection = None
        row = Sent(
            trial,
            route.label,
            method,
            f"{route.prefix}{random.randint(1, 9)}",
            tenant,
            edge,
            connection is not None,
            self.now(),
            self.now() + DEADLINE_S,
        )
        if method == "POST":
            row.size = (
                random.randint(*LARGE) if random.random() < LARGE_SHARE else len(body_of_request(trial, 0))
            )
        self.ledger.sent.append(row)
        try:
            connection = connection or await self.connect(edge)
            if connection is not None:
                await self.send(connection, row, random.random() < self.rude_share, leaves)
        finally:
            row.ended = row.ended or self.now()

    async def connect(self, edge: int) -> Wire | None:
        front = self.fronts[edge - 1]
        return await wire.connect(front.host, front.port, CONNECT_S)

    async def send(self, connection: Wire, row: Sent, rude: bool, leaves: bool) -> None:
        """`rude`: it sends half a request, or hangs up at once; `leaves`: it does a little later."""
        fine = False
        try:
            with trio.move_on_after(DEADLINE_S + OVER_DEADLINE_S + 0.2) as scope:
                if rude and self.random.random() < 0.4:
                    row.end = End.LEFT
                    await connection.stream.send_all(f"{row.method} {row.path} HTTP/1.1\r\nHo".encode())
                    return
                await connection.write(*self.request(row))
                row.written = self.now()
                if rude:
                    row.end = End.LEFT
                    await trio.sleep(self.random.uniform(0.0, 0.06))
                    return
                if leaves:
                    row.end = End.LEFT
                    await trio.sleep(self.random.uniform(*LEAVES_S))
                    return
                fine = await self.read(connection, row)
            if scope.cancelled_caught:
                row.end = End.TIMEOUT
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            row.end = End.CLOSED
        finally:
            row.ended = self.now()
            with trio.CancelScope(shield=True):
                await self.rest(connection, row.edge, fine)

    def request(self, row: Sent) -> tuple[h11.Request, bytes]:
        body = body_of_request(row.trial, row.size) if row.method == "POST" else b""
        headers = [
            ("Host", site.HOST),
            ("Trial-Id", row.trial),
            ("Remaining-Ms", str(int(DEADLINE_S * 1000))),
            ("Authorization", f"Token {key_of(row.tenant)}"),
            ("Load-Name", "somebody-else"),
        ]
        if body:
            headers.append(("Content-Length", str(len(body))))
        return h11.Request(method=row.method, target=row.path, headers=headers), body

    async def read(self, connection: Wire, row: Sent) -> bool:
        """True where the connection may carry another request."""
        try:
            told = await connection.read()
        except Ended as ended:
            row.end = End.CUT if ended.begun else End.CLOSED
            return False
        except h11.RemoteProtocolError:
            row.end = End.WRONG
            return False
        self.note(row, told)
        return told.headers.get("connection", "").lower() != "close"

    def note(self, row: Sent, told: Message) -> None:
        row.end, row.status = End.ANSWERED, status_of(told)
        row.retry_after = told.headers.get("retry-after", "")
        if row.status != 200:
            return
        row.answered_by = told.body.split(b" ", 1)[0].decode("latin-1")
        row.body_fits = (
            told.body == body_of(row.answered_by, row.trial, row.method, row.path, row.size)
            and told.headers.get("server-seal") == SEAL
            and told.headers.get("trial-id") == row.trial
        )

    async def rest(self, connection: Wire, edge: int, fine: bool) -> None:
        """Keep the connection for another request, or end it."""
        kept = self.kept.setdefault(edge, [])
        if fine and len(kept) < KEPT:
            with contextlib.suppress(h11.LocalProtocolError):
                if connection.renew():
                    kept.append(connection)
                    return
        await connection.close()
