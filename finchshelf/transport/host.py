"""What one client's connection needs of whoever holds all connections: protocols alone.

Owns no code that runs. `connection` and `answering` take their holder by it; neither imports `clients`.
"""

from __future__ import annotations

from collections.abc import Callable, MutableMapping
from typing import Any, Protocol

import h11
import trio

from finchshelf.transport.bodies import Body, Room
from finchshelf.transport.exchange import Answer, Exchange, Log, Port
from finchshelf.transport.reading import Limits, Reader


class Core(Port, Protocol):
    """What the clients' side asks of a program's core."""

    def halted(self, now: float) -> bool: ...
    def next_id(self) -> int: ...


class Host(Protocol):
    """The holder of a program's client connections; `clients.Clients` is one.

    `ids`: of the requests that wait for an answer; `draining`: every answer is the last on its connection."""

    nursery: trio.Nursery
    draining: bool

    @property
    def core(self) -> Core: ...
    @property
    def telemetry(self) -> Log: ...
    @property
    def count(self) -> MutableMapping[str, int]: ...
    @property
    def limits(self) -> Limits: ...
    @property
    def reader(self) -> Reader: ...
    @property
    def room(self) -> Room: ...
    @property
    def ids(self) -> set[bytes]: ...
    @property
    def connections(self) -> set[Any]: ...

    def health(self) -> Answer: ...

    def read(
        self,
        head: h11.Request,
        body: bytes,
        came: float,
        reply: Callable[[Answer], None],
        stream: Body | None = None,
        coming: float = 0.0,
    ) -> Exchange: ...
