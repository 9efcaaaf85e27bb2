"""What servers answer, as it comes off a connection and as it goes on to a client; and how it is no answer.

Owns these forms and which heads have one length. It must never touch a socket, wait, or know a program's own
headers.
"""

from __future__ import annotations

from dataclasses import dataclass

from finchshelf.transport import net
from finchshelf.transport.exchange import HOP_BY_HOP, Answer, Exchange, Headers


class Broken(Exception):
    """The connection broke, ended or was spoilt before the whole answer was there."""


class Another(Broken):
    """A whole answer, but to another request: the right one may be next."""


@dataclass(slots=True)
class Reply:
    """An answer; `large`: only its first part is in `body`, the rest is still to be read. `most_idle`: set by
    who reads it, the seconds that its connection may idle from now on (`Connection.most_idle`)."""

    status: int
    headers: Headers
    body: bytes
    large: bool = False
    most_idle: float | None = None


def framing(exchange: Exchange) -> Headers:
    """The header that says where a request's body ends, if it may have one."""
    if exchange.stream is not None:
        length = exchange.stream.length
        return [(b"Transfer-Encoding", b"chunked") if length is None else (b"Content-Length", b"%d" % length)]
    if exchange.body or exchange.method not in (b"GET", b"HEAD"):
        return [(b"Content-Length", b"%d" % len(exchange.body))]
    return []


def onward(reply: Reply, method: bytes, ours: frozenset[bytes]) -> Answer:
    """An answer as it goes on to its client, without the headers of `ours` and those of one connection."""
    headers = [pair for pair in reply.headers if pair[0] not in HOP_BY_HOP and pair[0] not in ours]
    if reply.large or method == b"HEAD" or reply.status in (204, 304):
        length = next((value for name, value in reply.headers if name == b"content-length"), None)
    else:
        length = b"%d" % len(reply.body)
    if length is not None:  # else it goes on in chunks
        headers.append((b"Content-Length", length))
    return Answer(reply.status, headers, reply.body)


def fits(status: int, headers: Headers) -> bool:
    """An answer has one length at most (none: it ends with its connection); True where it is said to be
    larger than is kept whole."""
    lengths = [value for name, value in headers if name in (b"content-length", b"transfer-encoding")]
    if len(lengths) > 1:  # Danger: by one of them the rest is another answer, served to another request
        raise Broken("more than one length")
    if lengths and lengths[0].isdigit():
        if len(lengths[0]) > 9:
            raise Broken("body too large")
        return int(lengths[0]) > net.MOST_BODY
    return False
