"""Calls of servers and operators as bytes, and what each may be told by its own answer.

Owns the form of a call, and a server's life as it tells of itself. It must never know what becomes of it.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field
from random import Random
from typing import Any

import orjson

from finchshelf.membership.records import STABLE
from finchshelf.simulation.wire import Message, head

PAD = 200  # bytes behind a body that change nothing: cut in them, what came could be read as a whole
ELSEWHERE = (307, 503)


@dataclass(eq=False)
class Call:
    """A call, and what an answer of its own can be: `fits` says so of a 2xx."""

    target: str
    body: bytes
    statuses: tuple[int, ...]
    fits: Callable[[Message], bool] = lambda found: found.body == b""
    method: str = "POST"
    told: list[int] = field(default_factory=list)

    def text(self, random: Random) -> bytes:
        headers = [("Host", "any"), ("Content-Type", "application/json")]
        if random.random() < 0.2:
            headers.append(("Expect", "100-continue"))
        if random.random() < 0.6:
            return head(
                f"{self.method} {self.target} HTTP/1.1",
                [*headers, ("Content-Length", str(len(self.body)))],
                self.body,
            )
        at = random.randrange(1, len(self.body))
        chunks = b"".join(b"%x\r\n%s\r\n" % (len(one), one) for one in (self.body[:at], self.body[at:]))
        return head(
            f"{self.method} {self.target} HTTP/1.1",
            [*headers, ("Transfer-Encoding", "chunked")],
            chunks + b"0\r\n\r\n",
        )


def padded(document: Any, more: int = PAD) -> bytes:
    return orjson.dumps(document) + b" " * more


class Life:
    """A server's life as it tells of itself. `drained`, `departed`: when it read that this is known."""

    def __init__(self, name: str, address: str, service: str, zone: str) -> None:
        self.name, self.address, self.service, self.zone = name, address, service, zone
        self.count, self.mode, self.ended = 0, STABLE, False
        self.drained = self.departed = float("inf")

    def beat(self) -> Call:
        self.count += 1
        return Call(
            f"/v1/rpc?call=servers.pulse&of={self.name}",
            padded(
                {
                    "address": self.address,
                    "observation": {
                        "subsystem": self.service,
                        "setpointSeq": "v1",
                        "zone": self.zone,
                        "capacity": 4,
                    },
                    "stateEstimate": {"mode": self.mode, "callCount": self.count, "warmupMs": 0},
                }
            ),
            (200, *ELSEWHERE),
            lambda found: isinstance(orjson.loads(found.body), dict),
        )

    def departure(self) -> Call:
        return Call(f"/v1/rpc?call=servers.departure&of={self.name}", padded({}), (200, *ELSEWHERE))
