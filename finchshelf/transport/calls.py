"""Calls of servers and operators, answered by handlers: small requests over HTTP/1.1, read whole.

Owns the way from a client's exchange to a handler and back. It must never know a resource, or keep a caller
waiting beyond what the handler may take.
"""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from typing import Any

import h11
import orjson
import trio

from finchshelf.admission import outcome as i
from finchshelf.transport.bodies import Body, Cut
from finchshelf.transport.exchange import Answer, Arrived, Clock, Exchange, Headers, Log
from finchshelf.transport.reading import BadRequest, Limits, head_size, headers_once

MOST_BODY = 8 << 20
MOST_HELD = 16 << 20  # bytes of large bodies at once, that come or are worked on: an eighth of the memory
ONCE = frozenset((b"host", b"content-length", b"transfer-encoding"))
LIMITS = Limits(most_request=MOST_BODY, most_head=16384, slow_read=5.0, silent=10.0, kept=30.0)


@dataclass(slots=True)
class Call:
    """A whole request: what was asked, and its body."""

    method: bytes
    target: bytes
    body: bytes


class Full(Exception):
    """More large bodies come than may be held."""


CallHandler = Callable[[Call], Awaitable[Answer]]


def told(status: int, document: Any = None, more: Headers | None = None) -> Answer:
    """An answer with a JSON body."""
    body = b"" if document is None else orjson.dumps(document)
    headers: Headers = [(b"Content-Length", b"%d" % len(body)), *(more or [])]
    if body:
        headers.insert(0, (b"Content-Type", b"application/json"))
    return Answer(status, headers, body)


class Reader:
    """Any request is a call; `health` is answered by whether clients are taken."""

    def __init__(self, health: bytes | None = None) -> None:
        self.limits, self.health_target = LIMITS, health

    def head(self, event: h11.Request) -> dict[bytes, bytes]:
        if head_size(event) > self.limits.most_head:
            raise BadRequest("head", 431)
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
        if self.health_target is not None:
            raise BadRequest("only health is told here", 404)
        until = came + coming + 30.0
        return Exchange(number, until, reply, event.method, event.target, [], body, stream=stream)


class Calls:
    """The core of a listener whose requests go to one handler; satisfies what `transport.clients` asks."""

    def __init__(
        self, clock: Clock, telemetry: Log, nursery: trio.Nursery, handler: CallHandler | None
    ) -> None:
        self.clock, self.telemetry, self.nursery, self.handler = clock, telemetry, nursery, handler
        self.last, self.held = 0, 0

    def next_id(self) -> int:
        self.last += 1
        return self.last

    def halted(self, now: float) -> bool:
        return False

    def put(self, item: Any) -> None:
        if isinstance(item, Exchange):
            self.nursery.start_soon(self.run, item)
        else:
            # Danger: what its caller no longer waits for may be half done: it goes on to its end, unheard.
            assert isinstance(item, Arrived | i.ClientGone)

    async def run(self, exchange: Exchange) -> None:
        answer, sizes = told(500, {"error": "no handler"}), list[int]()
        try:
            body = exchange.body if exchange.stream is None else await self.whole(exchange.stream, sizes)
            if self.handler is not None:
                answer = await self.handler(Call(exchange.method, exchange.target, body))
        except Cut:
            return
        except Full:
            self.telemetry.rare("calls.full", held=self.held)
            answer = told(503, {"error": "too many large bodies at once: ask another"})
        except Exception as error:  # Danger: one call that can't be handled must not end the program
            self.telemetry.rare("calls.error", error=repr(error), target=repr(exchange.target))
            answer = told(500, {"error": "internal"})
        finally:
            self.held -= sum(sizes)
        exchange.reply(answer)

    async def whole(self, stream: Body, sizes: list[int]) -> bytes:
        """A body that came in pieces, at most `MOST_BODY` bytes of it; `sizes`: of those that count as held.

        Danger: over thin links many come for many seconds each, and would fill the memory together."""
        reader, parts, at = object(), list[bytes](), 0
        stream.reader = reader
        while piece := await stream.take(reader, at):
            if self.held + len(piece) > MOST_HELD:
                raise Full
            parts.append(piece)
            sizes.append(len(piece))
            self.held += len(piece)
            at += len(piece)
        return b"".join(parts)
