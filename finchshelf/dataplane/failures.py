"""The last requests that were not served, and how long requests and tries took, to explain them later.

Owns a bounded list of failures and the durations of requests and tries. It must never keep a key or a body,
log each failure by itself, or grow with the load.
"""

from __future__ import annotations

import math
from collections import deque
from dataclasses import asdict, dataclass
from typing import Any

from finchshelf.dataplane.dialect import Request
from finchshelf.transport.exchange import Ended
from finchshelf.transport.telemetry import Telemetry

MOST_KEPT = 128
MOST_IN_A_LINE = 16  # failures in one log line: a line is at most 4 KiB
SERVED = "out.served"
BEYOND_QUOTA = "refused.quota"  # as its plan says: in masses, and it would push out what has to be explained
LOG_EVERY_S = 1.0


@dataclass(frozen=True, slots=True)
class TryEnd:
    """How one try of a request ended at a server."""

    server: str
    ended: str
    took_ms: int
    sent: int  # bytes of the request that went out to it


@dataclass(frozen=True, slots=True)
class Failure:
    """One request that was not served; `why` is the counter that it added to."""

    trial: str
    route: str
    service: str
    tenant: str
    why: str
    status: int
    held_ms: int
    tries: tuple[TryEnd, ...]


class Failures:
    def __init__(self, telemetry: Telemetry) -> None:
        self.telemetry = telemetry
        self.kept: deque[Failure] = deque(maxlen=MOST_KEPT)
        self.logged = -math.inf

    def tried(self, request: Request, item: Ended, now: float) -> None:
        """A try of the request ended."""
        status, took = item.status.value, now - item.attempt.issued
        self.telemetry.observe("try", status, took)
        request.ends.append(TryEnd(item.attempt.server, status, int(took * 1000), item.sent))

    def ended(self, request: Request, why: str, status: int, now: float) -> None:
        """The request got its final answer; `status` 0: its client left before."""
        held = now - request.came
        self.telemetry.observe("request", why, held)
        if why in (SERVED, BEYOND_QUOTA):
            return
        failure = Failure(
            request.mark.decode("latin-1"),
            request.route.label if request.route else "",
            request.service,
            request.tenant.label if request.tenant else "",
            why,
            status,
            int(held * 1000),
            tuple(request.ends),
        )
        self.kept.append(failure)
        if now - self.logged < LOG_EVERY_S:
            self.telemetry.count["request.failed"] += 1
            return
        self.logged = now
        self.telemetry.rare("request.failed", **asdict(failure))

    def tell(self) -> None:
        """Log the last failures, in as many lines as they take."""
        rows: list[dict[str, Any]] = [asdict(one) for one in self.kept]
        for at in range(0, len(rows), MOST_IN_A_LINE):
            self.telemetry.log("requests.failed", failures=rows[at : at + MOST_IN_A_LINE])
