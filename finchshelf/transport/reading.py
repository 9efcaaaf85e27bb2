"""What a program says of its clients' requests: its reader's form, its figures, checks that readers share.

Owns these forms, and which heads have one length and one meaning. It must never touch a socket, wait, or know
a program's own headers.
"""

from __future__ import annotations

import math
from collections.abc import Callable
from dataclasses import dataclass
from typing import Protocol

import h11

from finchshelf.transport.bodies import Body
from finchshelf.transport.exchange import Answer, Exchange


@dataclass(frozen=True, slots=True)
class Limits:
    """The figures that a program holds its clients to."""

    most_request: int
    """Bytes of a request's body; more is 413."""
    most_head: int
    """Bytes of a request's head that is not whole yet; for one that came whole see `head_size`."""
    slow_read: float
    """Seconds for the head of a request whose first byte has come."""
    silent: float
    """Seconds that a new connection may say nothing."""
    kept: float
    """Seconds that a connection is kept after an answer."""
    long_head: int = 431
    """The status of an answer to a head beyond `most_head`."""
    kept_headers: tuple[tuple[bytes, bytes], ...] = ()
    """Headers of every answer after which the connection is kept, such as `Keep-Alive`."""


class Reader(Protocol):
    """What a program's requests look like. Whatever is none of them raises `BadRequest`."""

    @property
    def limits(self) -> Limits: ...

    @property
    def health_target(self) -> bytes | None:
        """The target whose GET is answered 200 while clients are taken, else 503; None: there is no such."""

    def head(self, event: h11.Request) -> dict[bytes, bytes]:
        """The headers by their names in small letters; `headers_once` does that."""

    def call(
        self,
        event: h11.Request,
        body: bytes,
        number: int,
        came: float,
        reply: Callable[[Answer], None],
        stream: Body | None,
        coming: float,
    ) -> Exchange:
        """A call that has come whole, or but for `coming` seconds of its body."""


class BadRequest(Exception):
    """What is no call in the protocol's form."""

    def __init__(self, why: str, status: int = 400) -> None:
        super().__init__(why)
        self.status = status


def headers_once(event: h11.Request, once: frozenset[bytes]) -> dict[bytes, bytes]:
    """A head's headers; those of `once` may stand in it once."""
    headers = dict(event.headers)
    if len(headers) < len(event.headers):
        names = [name for name, _ in event.headers if name in once]
        if len(set(names)) < len(names):
            raise BadRequest("a header twice")
    return headers


def one_length(headers: dict[bytes, bytes], version: bytes, most: int) -> None:
    """What any head must keep to, so that its body has one length only and that is not too much."""
    if b"transfer-encoding" in headers and (b"content-length" in headers or version < b"1.1"):
        # Danger: by one of the two lengths the body holds another request; whoever reads it so runs that.
        raise BadRequest("two lengths")
    if whole(headers.get(b"content-length", b"0"), math.inf, 20) > most:
        raise BadRequest("body too large", 413)


def head_size(event: h11.Request) -> int:
    """The bytes of a head, its request line included; h11 measures none that came whole in one read."""
    lines = sum(len(name) + len(value) + 4 for name, value in event.headers.raw_items())
    return len(event.method) + len(event.target) + len(b"  HTTP/1.1\r\n\r\n") + lines


def whole(text: bytes | None, most: float = math.inf, digits: int = 12) -> int:
    """A whole number of `most` at the most; anything else is no call."""
    if text is None or not text.isdigit() or len(text) > digits or int(text) > most:
        raise BadRequest("a whole number")
    return int(text)
