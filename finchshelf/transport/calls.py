"""Calls of servers and operators, answered by handlers: small requests over HTTP/1.1, read whole.

Owns the way from a client's exchange to a handler and back. It must never know a resource, or keep a caller
waiting beyond what the handler may take.
"""

from __future__ import annotations

import math
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
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
JUDGED_S = 1.0  # s that a large body has come until its speed is judged
ONCE = frozenset((b"host", b"content-length", b"transfer-encoding"))
LIMITS = Limits(most_request=MOST_BODY, most_head=16384, slow_read=5.0, silent=10.0, kept=30.0)


@dataclass(slots=True)
class Call:
    """A whole request: what was asked, and its body."""

    method: bytes
    target: bytes
    body: bytes


class Full(Exception):
    """More large bodies come than may be held, and this one is not the fastest."""


@dataclass(slots=True, eq=False)
class Upload:
    """A large body as far as it came. `dropped`: it made room for a faster one."""

    began: float
    parts: list[bytes] = field(default_factory=list)
    size: int = 0
    dropped: bool = False

    def rate(self, now: float) -> float:
        """Bytes a second; one that has only just begun counts as fast."""
        took = now - self.began
        return self.size / took if took >= JUDGED_S else math.inf

    def drop(self) -> int:
        """Gives up what came; returns the bytes that are free by it."""
        freed, self.size, self.dropped = self.size, 0, True
        self.parts.clear()
        return freed


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
        self.uploads: list[Upload] = []  # large bodies that come or are worked on

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
        answer, upload = told(500, {"error": "no handler"}), Upload(self.clock.now())
        try:
            body = exchange.body if exchange.stream is None else await self.whole(exchange.stream, upload)
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
            self.held -= upload.drop()
            if upload in self.uploads:
                self.uploads.remove(upload)
        exchange.reply(answer)

    async def whole(self, stream: Body, upload: Upload) -> bytes:
        """A body that came in pieces, at most `MOST_BODY` bytes of it.

        Danger: over thin links many come for many seconds each, and would fill the memory together."""
        reader, at = object(), 0
        stream.reader = reader
        self.uploads.append(upload)
        while piece := await stream.take(reader, at):
            while self.held + len(piece) > MOST_HELD and not upload.dropped:
                self.make_room()
            if upload.dropped:
                raise Full
            upload.parts.append(piece)
            upload.size += len(piece)
            self.held += len(piece)
            at += len(piece)
        self.uploads.remove(upload)  # whole: it is worked on, and no longer given up for another
        return b"".join(upload.parts)

    def make_room(self) -> None:
        """Gives up the body that comes the most slowly.

        Danger: were the newcomer refused, two large bodies that hardly move would shut out all others for
        minutes."""
        now = self.clock.now()
        slowest = min(self.uploads, key=lambda one: (one.rate(now), -one.began))
        self.uploads.remove(slowest)
        self.held -= slowest.drop()
