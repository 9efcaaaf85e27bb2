"""HTTP/1.1 as clients and servers of the world speak it: heads by one pattern each, bodies by their length.

Owns the bytes of their side. It must never take what h11 would not take: what is no message in the protocol
raises `Unfit`. Bodies in chunks are left to h11.
"""

from __future__ import annotations

import re
from typing import NamedTuple

import h11

TOKEN = rb"[!#$%&'*+.^_`|~0-9A-Za-z-]+"
FIELD = rb"(" + TOKEN + rb"):[ \t]*([^\x00\r\n]*?)[ \t]*\r\n"
FIELDS = rb"((?:" + TOKEN + rb":[^\x00\r\n]*\r\n)*)\r\n"
ASKS = re.compile(rb"(" + TOKEN + rb") ([\x21-\x7e]+) HTTP/1\.([01])\r\n" + FIELDS)
SAYS = re.compile(rb"HTTP/1\.([01]) ([0-9]{3})(?: [^\x00\r\n]*)?\r\n" + FIELDS)
EACH = re.compile(FIELD)
MOST = 1 << 16  # bytes of a head


class Unfit(Exception):
    """No message in the protocol."""


class Message(NamedTuple):
    first: str  # the method, or the status
    target: str
    headers: dict[str, str]
    body: bytes
    last: bool  # nothing may come after it on its connection


def head(first: str, headers: list[tuple[str, str]], body: bytes = b"") -> bytes:
    return f"{first}\r\n{''.join(f'{k}: {v}' + chr(13) + chr(10) for k, v in headers)}\r\n".encode() + body


class Wire:
    """What came on one connection, taken apart; `server`: requests come, else answers."""

    def __init__(self, server: bool) -> None:
        self.server, self.came, self.ended = server, bytearray(), False

    def take(self, data: bytes) -> None:
        self.came += data
        self.ended = self.ended or not data

    def next(self) -> Message | None:
        """The next whole message, None while more must come; Unfit where none can."""
        while True:
            end = self.came.find(b"\r\n\r\n")
            if end < 0:
                if self.ended or len(self.came) > MOST:
                    raise Unfit("closed" if self.ended else "a head without end")
                return None
            found = (ASKS if self.server else SAYS).match(self.came)
            if found is None or found.end() != end + 4:
                raise Unfit(f"no head: {bytes(self.came[:80])!r}")
            if self.server or found[2][0] != 49:  # of 1xx the answer is yet to come
                return self.whole(found)
            del self.came[: end + 4]

    def whole(self, found: re.Match[bytes]) -> Message | None:
        fields = found[4] if self.server else found[3]
        headers: dict[str, str] = {}
        for name, value in EACH.findall(fields):
            key = name.decode().lower()
            if key in ("content-length", "host") and headers.get(key, value.decode()) != value.decode():
                raise Unfit(f"two of {key}")
            headers[key] = value.decode("latin-1")
        first, target = (found[1], found[2]) if self.server else (found[2], b"")
        version = found[3] if self.server else found[1]
        last = version == b"0" or "close" in headers.get("connection", "").lower()
        at, length = found.end(), headers.get("content-length")
        if "transfer-encoding" in headers:
            return self.in_chunks(first, target, headers, last)
        if length is not None and not length.isdigit():
            raise Unfit(f"length {length}")
        if not self.server and first in (b"204", b"304"):
            length = "0"
        if length is None and not self.server:  # it lasts as long as its connection
            if not self.ended:
                return None
            length, last = str(len(self.came) - at), True
        until = at + int(length or 0)
        if len(self.came) < until:
            if self.ended:
                raise Unfit("closed within a body")
            return None
        body = bytes(self.came[at:until])
        del self.came[:until]
        return Message(first.decode(), target.decode(), headers, body, last)

    def in_chunks(self, first: bytes, target: bytes, headers: dict[str, str], last: bool) -> Message | None:
        http = h11.Connection(h11.SERVER if self.server else h11.CLIENT)
        if not self.server:
            http.send(h11.Request(method="GET", target="/", headers=[("Host", "x")]))
        http.receive_data(bytes(self.came))
        if self.ended:
            http.receive_data(b"")
        body = b""
        while True:
            try:
                event = http.next_event()
            except h11.RemoteProtocolError as error:
                raise Unfit(str(error)) from None
            if event is h11.NEED_DATA:
                return None
            if isinstance(event, h11.Data):
                body += bytes(event.data)
            if isinstance(event, h11.EndOfMessage):
                break
        self.came = bytearray(http.trailing_data[0])
        return Message(first.decode(), target.decode(), headers, body, last)
