"""The words of this gateway's protocol: which headers calls and answers carry, and what they mean.

Owns the reading of a call into an `Exchange`, the head under which it goes on, the meaning of a server's
answer, and the figures that clients are held to. It must never touch a socket, wait, or decide.
"""

from __future__ import annotations

import math
import re
from binascii import unhexlify
from collections.abc import Callable

import h11

from finchshelf.admission import interface as i
from finchshelf.node.config import Config
from finchshelf.node.items import Exchange
from finchshelf.transport.address import Address
from finchshelf.transport.bodies import Body
from finchshelf.transport.delivery import Begins
from finchshelf.transport.exchange import HOP_BY_HOP, Answer, Attempt, Ended
from finchshelf.transport.reading import BadRequest, Limits, headers_once, whole
from finchshelf.transport.replies import Reply, framing, onward

MOST_REQUEST = 32 * 1024 * 1024  # bytes of a request's body; more is 413
LIMITS = Limits(
    most_request=MOST_REQUEST,
    most_head=16384,
    long_head=400,
    slow_read=2.5,  # clients may take 2 s
    silent=2.2,  # a connection may not be closed before 2 s, and must be by 3 s
    kept=4.0,
)  # some clients ask once and stay for good
NOT_PASSED = HOP_BY_HOP | {b"x-budget-ms", b"x-metering", b"expect"}
MOST_BUDGET = 3_600_000
MOST_CUSTOMER = 1 << 33
MOST_ID = 64
# Danger: of two of these one would be read here and the other behind us.
ONCE = frozenset(
    (
        b"host",
        b"content-length",
        b"transfer-encoding",
        b"x-call-id",
        b"x-call-class",
        b"x-contract",
        b"x-budget-ms",
        b"x-metering",
        b"x-again",
        b"idempotency-key",
    )
)
IDLE_SHARE = 0.5  # of the server's idle close, after which a connection is not used again
MOST_TOLD = 1e9  # no figure that a server tells is larger
TRUE_UNITS = 16  # times the most units of a request that its true ones may be
OURS = frozenset((b"x-load-report", b"x-meter", b"x-settled", b"x-rejected"))
REPORT = {
    b"inflight": "held",
    b"queue": "queued",
    b"util": "busy",
    b"qps": "served",
    b"eps": "failed",
    b"latency_ms": "service",
    b"busy_reqs": "held",
    b"pending": "queued",
    b"cpu_share": "busy",
    b"svc_ms": "service",
    b"served_ps": "served",
    b"failed_ps": "failed",
}
FIGURE = re.compile(rb"[0-9]{1,12}(\.[0-9]{1,18})?(e-?[0-9]{1,2})?")


class Reader:
    """Reads calls by the settings' names of classes and plans."""

    health_target: bytes | None = b"/healthz"

    def __init__(self, config: Config) -> None:
        self.settings, self.limits = config.settings, LIMITS
        self.classes = {name.encode(): n for n, name in enumerate(config.around.classes)}
        self.plans = {name.encode(): n for n, name in enumerate(config.around.plans)}

    def head(self, event: h11.Request) -> dict[bytes, bytes]:
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
    ) -> Exchange:
        """A call that has come whole, or but for `coming` seconds of its body."""
        told = dict(event.headers)
        path = event.target.partition(b"?")[0].split(b"/")
        name = told.get(b"x-call-class", b"")
        cls, plan = self.classes.get(name), self.plans.get(told.get(b"x-contract", b""))
        if cls is None or plan is None or path[1:2] != [name] or len(path) < 3:
            raise BadRequest("class or contract")
        kind = self.settings.classes[cls]
        safe = kind.effect is i.Effect.SAFE
        if event.method != (b"GET" if safe else b"POST") or (safe and (body or stream)):
            raise BadRequest("method")
        if kind.effect is i.Effect.KEYED and not told.get(b"idempotency-key"):
            raise BadRequest("key")
        if not 0 < len(told.get(b"x-call-id", b"")) <= MOST_ID:
            raise BadRequest("id")
        budget, customer = min(whole(told.get(b"x-budget-ms")), MOST_BUDGET), hexadecimal(path[-1])
        units, spread = self.metering(told.get(b"x-metering", b""))
        headers = [
            (raw, value)
            for (raw, value), (plain, _) in zip(event.headers.raw_items(), event.headers, strict=True)
            if plain not in NOT_PASSED
        ]
        wait = min(budget / 1000, kind.deadline) if kind.deadline > 0 else budget / 1000
        request = i.Request(
            number,
            cls,
            plan,
            customer,
            came + coming + wait,
            units,
            spread,
            told.get(b"x-again") == b"1",
            coming=coming,
        )
        return Exchange(
            request,
            reply,
            event.method,
            event.target,
            headers,
            body,
            told[b"x-call-id"],
            settings=self.settings,
            stream=stream,
            wait=wait,
        )

    def metering(self, text: bytes) -> tuple[int, int]:
        """Units and the customer's set; one unit of a set of all where nothing is said."""
        units, spread, limiters = 1, self.settings.limiters, max(1, self.settings.limiters)
        for pair in text.split(b",") if text else ():
            key, _, value = pair.strip().partition(b"=")
            # Danger: a wrong amount in a usual customer's name would be counted against its quota.
            if key == b"units":
                units = whole(value, self.settings.max_units or math.inf)
            elif key == b"spread":
                spread = whole(value, limiters)
            elif key == b"first" and whole(value) >= limiters:
                raise BadRequest("first")
        if not (units and spread):
            raise BadRequest("units or spread")
        return units, spread


def hexadecimal(text: bytes) -> int:
    try:
        if len(text) == 16:
            customer = int.from_bytes(unhexlify(text))
            if customer < MOST_CUSTOMER:
                return customer
    except ValueError:
        pass
    raise BadRequest("customer")


class Words:
    """What goes to servers and what their answers mean, by the protocol's table."""

    begins = Begins.WHOLE  # "A server begins a request when the last byte of it has come"

    def __init__(self, config: Config) -> None:
        self.connect_limit = config.around.connect_limit or 1.0
        self.most_idle = (config.around.idle_close or 10.0) * IDLE_SHARE
        self.most_units = TRUE_UNITS * config.settings.max_units or MOST_TOLD

    def head(self, attempt: Attempt, now: float) -> h11.Request:
        """The client's request as it goes on: all but the time left and the framing passes unchanged."""
        exchange = attempt.exchange
        left = max(1, int((attempt.issued + attempt.limit - now) * 1000))
        headers = [*exchange.headers, (b"X-Budget-Ms", b"%d" % left), *framing(exchange)]
        return h11.Request(method=exchange.method, target=exchange.target, headers=headers)

    def read(self, reply: Reply, attempt: Attempt, ended: Ended) -> None:
        told = dict(reply.headers)
        ended.used, settled = figure(told.get(b"x-meter"), 1), figure(told.get(b"x-settled"))
        ended.true_units = settled if settled <= self.most_units else 0
        if b"x-load-report" in told:
            ended.load = report(told[b"x-load-report"])
        if reply.status == 200:
            ended.status = i.Status.OK
            ended.answer = onward(reply, attempt.exchange.method, OURS)
        elif reply.status in (503, 504) and told.get(b"x-rejected") == b"1":
            ended.status = i.Status.FULL
        else:
            ended.status = i.Status.ERROR

    def probe(self, server: str, address: Address) -> h11.Request:
        return h11.Request(method="GET", target="/load", headers=[("Host", str(address))])

    def probed(self, reply: Reply, server: str) -> tuple[i.Status, dict[str, float]]:
        return i.Status.OK if reply.status == 200 else i.Status.ERROR, report(reply.body)


def figure(text: bytes | None, more: int = 0) -> int:
    """A header's whole number, 0 where there is none that makes sense."""
    return int(text) + more if text is not None and text.isdigit() and len(text) < 10 else 0


def report(text: bytes) -> dict[str, float]:
    """`TEXT inflight=7, queue=2, util=0.61`; keys that nobody knows are skipped."""
    load: dict[str, float] = {}
    for pair in text.removeprefix(b"TEXT").split(b","):
        key, _, value = pair.strip().partition(b"=")
        name = REPORT.get(key)
        # Danger: float() takes nan and inf, which no later comparison finds.
        if name is not None and FIGURE.fullmatch(value) and float(value) <= MOST_TOLD:
            load[name] = float(value)
    return load
