"""Calls over the network in memory, as whoever stands around the fleet makes them.

Owns a connection on which one asks and waits, and what counts as no answer. It must never ask again.
"""

from __future__ import annotations

from dataclasses import dataclass

import trio

from finchshelf.simulation.wire import Unfit, Wire, head
from finchshelf.transport import net
from finchshelf.transport.address import Address

Headers = list[tuple[str, str]]


class Cut(Exception):
    """No whole answer came."""


class Garbled(Cut):
    """What came can be no answer."""


@dataclass
class Reply:
    status: int
    headers: dict[str, str]
    body: bytes


class Talk:
    """A connection on which one asks and waits."""

    def __init__(self, stream: net.Stream, address: Address) -> None:
        self.stream, self.address = stream, address
        self.wire = Wire(server=False)
        self.open = True

    async def ask(self, method: str, target: str, headers: Headers, body: bytes = b"") -> Reply:
        """The whole answer; Cut where there is none."""
        self.open = False
        length = [("Content-Length", str(len(body)))] if body or method != "GET" else []
        try:
            await self.stream.send(head(f"{method} {target} HTTP/1.1", [*headers, *length], body))
            while (found := self.wire.next()) is None:
                self.wire.take(await self.stream.receive())
        except Unfit as error:
            raise (Cut if self.wire.ended else Garbled)(repr(error)) from None
        except (OSError, trio.ClosedResourceError) as error:
            raise Cut(repr(error)) from None
        self.open = not found.last
        return Reply(int(found.first), found.headers, found.body)

    def close(self) -> None:
        self.open = False
        self.stream.close()


async def talk(address: Address) -> Talk:
    return Talk(await net.connect(address), address)


async def call(address: Address, target: str, body: bytes, limit: float = 1.0) -> Reply:
    """One call on a fresh connection, and two more where it is sent on; Cut where no answer comes in time."""
    reply = await call_once(address, target, body, limit)
    for _ in range(2):
        if reply.status != 307:
            break
        host, _, rest = reply.headers["location"].removeprefix("http://").partition("/")
        place, _, port = host.rpartition(":")
        reply = await call_once(Address(place, int(port)), f"/{rest}", body, limit)
    return reply


async def call_once(address: Address, target: str, body: bytes, limit: float) -> Reply:
    line = None
    try:
        with trio.fail_after(limit):
            line = await talk(address)
            return await line.ask("POST" if body else "GET", target, [("Host", str(address))], body)
    except (OSError, trio.TooSlowError) as error:
        raise Cut(repr(error)) from None
    finally:
        if line is not None:
            line.close()
