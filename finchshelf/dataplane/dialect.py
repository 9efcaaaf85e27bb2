"""The words of the system's protocol: which headers requests and answers carry, and what they mean.

Owns the reading of a request into a `Request`, the head under which it goes on, and the meaning of a server's
answer. It must never touch a socket, wait, choose a server, or pass a tenant's key on.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

import h11

from finchshelf.admission.outcome import Status
from finchshelf.configuration.document import Configuration, Route, Tenant
from finchshelf.transport.address import Address
from finchshelf.transport.bodies import Body
from finchshelf.transport.delivery import Begins
from finchshelf.transport.exchange import HOP_BY_HOP, Answer, Attempt, Ended, Exchange
from finchshelf.transport.reading import BadRequest, Limits, head_size, headers_once
from finchshelf.transport.replies import Another, Broken, Reply, framing, onward

# Danger: of two of these one would be read here and the other behind us.
ONCE = frozenset(
    (b"host", b"content-length", b"transfer-encoding", b"trial-id", b"remaining-ms", b"authorization")
)
OURS = frozenset((b"target-server", b"load-name", b"authorization", b"remaining-ms", b"expect"))
NOT_PASSED = HOP_BY_HOP | OURS
NOT_BACK = frozenset((b"server-load", b"not-executed", b"server-id"))
MOST_ID, MOST_LEFT = 128, 3_600_000
IDLE_SHARE = 0.5  # of the seconds that a server says it keeps an idle connection
MOST_IDLE = 4.0  # s where it says nothing
PROMISES = (408, 429, 503)  # from us these say that a request has not run and never will
CONNECT = 0.3  # s for a connection to come up: zones are milliseconds apart
MISDIRECTED = 421


@dataclass(slots=True, eq=False)
class Request(Exchange):
    """One request of a client, with what the version it began with says of it."""

    route: Route | None = None
    tenant: Tenant | None = None
    version: int = 0  # of the configuration that it was read by
    verdict: int = 0  # status of the answer that it gets at once: no such route, no such key
    rank: float = 0.0  # by precedence of its tenant, then of its route: 0 the highest, 1 the lowest
    service: str = ""
    came: float = 0.0
    tried: list[str] = field(default_factory=list)
    out: dict[int, Attempt] = field(default_factory=dict)
    ends: list[Any] = field(default_factory=list)  # of its tries, as `failures.TryEnd`
    last: Answer | None = None  # of a server that failed: passed on where no other does better
    hedged: bool = False
    renewed: bool = False  # it went again to the same server, whose kept connection was reset

    def named(self) -> bytes:
        """Its client's name for it, the same each time the client sends it."""
        return self.mark


class Reader:
    """Reads requests by the configuration in force."""

    health_target: bytes | None = None

    def __init__(self, configuration: Configuration) -> None:
        self.configuration = configuration
        bounds = configuration.limits
        self.limits = Limits(
            most_request=bounds.payload_bytes,
            most_head=bounds.head_bytes,
            slow_read=bounds.head_time,
            silent=max(bounds.head_time, bounds.idle_time),
            kept=bounds.idle_time,
            kept_headers=((b"Keep-Alive", b"timeout=%d" % max(1, int(bounds.idle_time) - 2)),),
        )

    def head(self, event: h11.Request) -> dict[bytes, bytes]:
        if head_size(event) > self.limits.most_head:
            raise BadRequest("head", 431)
        if event.method == b"CONNECT":  # Danger: what follows is no message; whoever reads on waits for one
            raise BadRequest("a tunnel")
        return headers_once(event, ONCE)

    def call(
        self,
        event: h11.Request,
        body: bytes,
        number: int,
        came: float,
        reply: Callable[[Answer], None],
        stream: Body | None = None,
        coming: float = 0.0,
    ) -> Request:
        told = dict(event.headers)
        trial = told.get(b"trial-id", b"")
        if not 0 < len(trial) <= MOST_ID:
            raise BadRequest("Trial-Id")
        left = told.get(b"remaining-ms")
        if left is not None and not (left.isdigit() and len(left) < 10):
            raise BadRequest("Remaining-Ms")
        where = self.configuration
        route = where.route(told.get(b"host", b"").decode("latin-1"), event.target.decode("latin-1"))
        tenant, verdict = None, 0
        if route is None:
            verdict = 404
        elif where.tenants and not route.unguarded:
            scheme, _, key = told.get(b"authorization", b"").decode("latin-1").partition(" ")
            tenant = where.tenant(key.strip()) if scheme.lower() == "token" else None
            verdict = 0 if tenant is not None else 401
        wait = min(int(left), MOST_LEFT) / 1000 if left is not None else MOST_LEFT / 1000
        wait = min(wait, route.cutoff) if route is not None else wait
        named = {name.strip().lower() for name in told.get(b"connection", b"").split(b",")}
        headers = [
            (raw, value)
            for (raw, value), (plain, _) in zip(event.headers.raw_items(), event.headers, strict=True)
            if plain not in NOT_PASSED and plain not in named
        ]
        return Request(
            number,
            came + coming + wait,
            reply,
            event.method,
            event.target,
            headers,
            body,
            trial if route is not None and not route.repeatable else b"",
            stream,
            wait,
            trial,
            route=route,
            tenant=tenant,
            version=where.version,
            verdict=verdict,
            came=came,
            rank=where.rank(tenant, route) if route is not None else 0.0,
        )


class Words:
    """What goes to servers and what their answers mean."""

    connect_limit, most_idle = CONNECT, MOST_IDLE
    begins = Begins.ANY_BYTE  # a server may answer, so it may work, before it has read a long body

    def __init__(self, probe_path: Callable[[str], str] = lambda _: "/probe") -> None:
        """`probe_path`: by a server's id."""
        self.probe_path = probe_path

    def head(self, attempt: Attempt, now: float) -> h11.Request:
        request = attempt.exchange
        assert isinstance(request, Request)
        left = max(1, int((request.until - now) * 1000))
        headers = [
            *request.headers,
            (b"Remaining-Ms", b"%d" % left),
            (b"Target-Server", attempt.server.encode("latin-1")),
        ]
        if request.tenant is not None:
            headers.append((b"Load-Name", request.tenant.label.encode()))
        headers += framing(request)
        return h11.Request(method=request.method, target=request.target, headers=headers)

    def read(self, reply: Reply, attempt: Attempt, ended: Ended) -> None:
        told = dict(reply.headers)
        request = attempt.exchange
        assert isinstance(request, Request)
        # Danger: an answer left over from another request, in the place of ours. A 421 among them would call
        # what runs here never run.
        named = told.get(b"trial-id")
        if len(told) < len(reply.headers) and sum(name == b"trial-id" for name, _ in reply.headers) > 1:
            raise Broken("two requests' answer")
        if named is not None and named != request.mark:
            raise Another("another request's answer")
        if named is None and b"server-id" in told:
            raise Another("a probe's answer")
        ended.used = reply.status
        if named is None and reply.status != MISDIRECTED:
            raise Broken("nobody's answer")
        load = told.get(b"server-load", b"").split(b",")
        if len(load) == 3 and all(part.strip().isdigit() and len(part) < 7 for part in load):
            ended.load = dict(zip(("running", "waiting", "slots"), map(float, load), strict=True))
        reply.most_idle = idle(told.get(b"keep-alive"))
        if b"not-executed" in told or reply.status == MISDIRECTED:
            ended.status = Status.FULL
            return
        if reply.status in PROMISES and request.route is not None and not request.route.repeatable:
            # Danger: passed on, it would be our promise; but the server doesn't say that it has not run.
            ended.status = Status.ERROR
            return
        if reply.status < 300 and (b"server-seal" not in told or b"content-encoding" in told):
            raise Broken("a success that is not the server's own")
        ended.status = Status.OK if reply.status < 500 else Status.ERROR
        ended.answer = onward(reply, request.method, NOT_BACK)

    def probe(self, server: str, address: Address) -> h11.Request:
        return h11.Request(method="GET", target=self.probe_path(server), headers=[("Host", str(address))])

    def probed(self, reply: Reply, server: str) -> tuple[Status, dict[str, float]]:
        told = dict(reply.headers)
        if b"trial-id" in told:
            raise Another("a request's answer")
        if reply.status == 200 and told.get(b"server-id") != server.encode("latin-1"):
            raise Broken("another server's word")  # Danger: whoever has its address now would speak for it
        return (Status.OK if reply.status == 200 else Status.ERROR), {}


def idle(text: bytes | None) -> float | None:
    """How long a connection may idle, by the server's `Keep-Alive: timeout=N`."""
    for part in (text or b"").split(b","):
        name, _, value = part.strip().partition(b"=")
        if name.lower() == b"timeout" and value.isdigit() and len(value) < 6:
            return int(value) * IDLE_SHARE
    return None
