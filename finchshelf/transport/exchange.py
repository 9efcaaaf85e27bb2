"""What the sockets and a program's core hand each other: exchanges, attempts, their ends; and what both name.

Owns these forms and what the sockets ask of any core (`Port`). It must never decide, wait, touch a socket or
know what a program's own headers say.
"""

from __future__ import annotations

import math
import time
from collections.abc import Callable, MutableMapping
from dataclasses import dataclass, field
from typing import Any, Protocol

import trio

from finchshelf.admission import outcome as i
from finchshelf.invariants import Monitor
from finchshelf.transport.address import Address
from finchshelf.transport.bodies import Body
from finchshelf.transport.delivery import Delivery

Headers = list[tuple[bytes, bytes]]
HOP_BY_HOP = frozenset(
    (
        b"connection",
        b"keep-alive",
        b"proxy-authenticate",
        b"proxy-authorization",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
        b"content-length",
    )
)


class Clock:
    """Unix time at start plus the monotonic time since: never goes back, the same at all limiters."""

    def __init__(self) -> None:
        self.origin = time.time() - time.monotonic()

    def now(self) -> float:
        return self.origin + time.monotonic()


class Log(Protocol):
    """What the sockets tell the staff by; `telemetry.Telemetry` is one."""

    @property
    def count(self) -> MutableMapping[str, int]: ...
    def log(self, event: str, **fields: Any) -> None: ...
    def rare(self, event: str, **fields: Any) -> None: ...
    @property
    def monitor(self) -> Monitor: ...
    def observe(self, name: str, label: str, seconds: float) -> None: ...


class Port(Protocol):
    """A program's core, as far as both sides' sockets need it. `put` takes what they have to tell, without
    waiting: each file says what that is."""

    @property
    def clock(self) -> Clock: ...
    @property
    def telemetry(self) -> Log: ...
    def put(self, item: Any) -> None: ...


@dataclass(slots=True)
class Answer:
    """A final answer on its way to a client; `more`, of a large one: the rest of its body as it comes."""

    status: int
    headers: Headers
    body: bytes = b""
    more: trio.MemoryReceiveChannel[bytes] | None = None


@dataclass(slots=True, eq=False)
class Exchange:
    """One request that a client waits for: what was asked, and what takes the answer without waiting. A
    program's own kind adds what its core needs to know."""

    id: int
    until: float  # when its client's time is up; of one that still comes the latest that it may be
    reply: Callable[[Answer], None]
    method: bytes
    target: bytes
    headers: Headers
    body: bytes
    key: bytes = b""  # no other request that waits may have it; b"": it has none
    stream: Body | None = None  # in place of `body`: one that is too large to keep, as it comes
    wait: float = 0.0  # s that its client waits from its last byte on
    mark: bytes = b""  # what an answer to it is known by; b"": answers carry nothing of the kind
    attempts: int = 0
    deliveries: list[Delivery] = field(default_factory=list)  # one for each attempt that was begun

    def arrived(self, now: float) -> None:
        """Its last byte is here."""
        self.until = min(self.until, now + self.wait)

    @property
    def again(self) -> bool:
        """Can it be sent once more?"""
        return self.stream is None or self.stream.again

    @property
    def may_have_run(self) -> bool:
        """May a server have begun to work on it, as far as is known now?"""
        return any(delivery.may_have_run for delivery in self.deliveries)


@dataclass(slots=True, eq=False)
class Attempt:
    """One attempt out at a server; `servers` runs it and ends it with exactly one `Ended`."""

    exchange: Exchange
    number: int
    server: str
    address: Address
    limit: float
    issued: float
    until: float = 0.0  # its exchange's, as `limit` knows it
    most_idle: float = math.inf  # s that a kept connection may have idled to carry it; 0: a new one only
    cancelled: bool = False
    scope: trio.CancelScope | None = None

    @property
    def called_off(self) -> bool:
        """Nobody waits for it any more: whatever of it is not out yet stays here."""
        stream = self.exchange.stream
        return self.cancelled or (stream is not None and stream.broken)

    def cancel(self) -> None:
        self.cancelled = True
        if self.scope is not None:
            self.scope.cancel()


@dataclass(slots=True)
class Ended:
    """How an attempt ended, with the answer where there is one to pass on."""

    attempt: Attempt
    status: i.Status
    answer: Answer | None = None
    used: int = 0
    true_units: int = 0
    load: dict[str, float] | None = None
    idle: float | None = None  # s that the kept connection it went on had idled; None: a new one
    heard: bool = False  # something came on that connection
    sent: int = 0  # bytes of the request that went out


@dataclass(slots=True)
class Arrived:
    """The last byte of a streamed request is here: its client's time counts from then (`Exchange.until`)."""

    exchange: Exchange
