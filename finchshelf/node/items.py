"""What the present node's parts hand its core, and what the core asks of its sockets and its counter.

Owns these forms. It must never decide anything or touch a socket.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from typing import Protocol

from finchshelf.admission import interface as i
from finchshelf.admission.limiter import Limiter
from finchshelf.node.config import Config
from finchshelf.transport import exchange as carried
from finchshelf.transport.address import Address
from finchshelf.transport.bodies import Body
from finchshelf.transport.exchange import Answer, Arrived, Attempt, Ended, Headers


class Exchange(carried.Exchange):
    """A request as the module knows it, by which module and by whose settings it is decided."""

    __slots__ = ("owner", "request", "settings")

    def __init__(
        self,
        request: i.Request,
        reply: Callable[[Answer], None],
        method: bytes,
        target: bytes,
        headers: Headers,
        body: bytes,
        key: bytes = b"",
        settings: i.Settings | None = None,
        stream: Body | None = None,
        wait: float = 0.0,
    ) -> None:
        """`settings`: by which it was read, a class is a number in those."""
        super().__init__(request.id, request.until, reply, method, target, headers, body, key, stream, wait)
        self.request, self.settings = request, settings
        self.owner: Limiter | None = None


@dataclass(slots=True)
class Listed:
    """News from discovery, with the addresses that go with it."""

    members: i.Members
    addresses: dict[str, Address]


@dataclass(slots=True)
class Maintenance:
    """An operator's OFFLINE or ONLINE; `reply` takes the one line of answer. What was kept from a former
    process is not `checked`: its ids were known when they were called, and no list may be in yet."""

    server: str
    offline: bool
    reply: Callable[[str], None]
    checked: bool = True


@dataclass(slots=True)
class Renewal:
    """New settings: what comes after this is decided by a module that has them."""

    config: Config


Item = Exchange | Arrived | Ended | Listed | Maintenance | Renewal | i.ClientGone | i.Counted | i.Probed


class ServersPort(Protocol):
    def start(self, attempt: Attempt) -> None: ...
    def probe(self, server: str, address: Address) -> None: ...
    def forget(self, server: str) -> None: ...


class CounterPort(Protocol):
    def call(self, name: int, amount: float, life: float, now: float) -> None: ...
    def flush(self) -> None: ...
    def expire(self, now: float) -> None: ...
    def next_expiry(self) -> float: ...


REFUSED = Answer(429, [(b"Content-Length", b"0")])
FAILED = Answer(502, [(b"Content-Length", b"0")])


def owned(attempt: Attempt) -> Exchange:
    """An attempt's exchange, which `send` took from `live`."""
    exchange = attempt.exchange
    assert isinstance(exchange, Exchange)
    return exchange


def refusal(after: float) -> Answer:
    if after <= 0:
        return REFUSED
    return Answer(429, [(b"Retry-After", b"%.3f" % after), (b"Content-Length", b"0")])
