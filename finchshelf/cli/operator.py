"""The operator's calls, made the way the protocol asks of an operator.

Owns who is called next and when a call has ended. It must never change a body between two sends of one
call, or take silence for an answer.
"""

from __future__ import annotations

import http.client
import socket
import time
from collections.abc import Callable
from dataclasses import dataclass
from urllib.parse import urlsplit

from finchshelf.cli.logs import log
from finchshelf.transport.address import Address

SILENT = 1.0  # s without an answer after which another control plane is called
MORE = 1.0  # s beside that for each MiB of a body, once it is sent
# bytes of a body that go at once, and that the kernel may hold: at 2 Mbit/s a quarter of a second
PIECE = 1 << 16
PAUSE, PAUSE_MOST = 0.1, 2.0  # s before the next try, doubled each time
REDIRECTS = 2
MOST_ANSWER = 16 << 20  # bytes: a whole configuration and some
AT_ONCE = frozenset((400, 409, 412, 413, 422))  # a call ends at once on these
THIRD = 3  # any other 4xx ends it at this try


@dataclass(frozen=True, slots=True)
class Told:
    """The end of a call: `status` 0 where nobody gave a clear answer in time."""

    status: int
    body: bytes
    by: str
    tries: int


def once(address: Address, path: str, body: bytes, limit: float) -> tuple[int, bytes, str]:
    """One try at one control plane, redirects followed: status (0: no whole answer), body, who said so.
    `limit`: s for the answer once the body is sent; that takes as long as it does while it moves."""
    by = str(address)
    for _ in range(REDIRECTS + 1):
        connection = http.client.HTTPConnection(address.host, address.port, timeout=limit)
        try:
            connection.timeout = min(SILENT, limit)
            connection.connect()
            connection.sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, PIECE)
            # Danger: a socket's time is that of a whole write. One of some MiB over a thin link is given up
            # half way, and again by each next control plane.
            pieces = (body[at : at + PIECE] for at in range(0, len(body), PIECE))
            connection.request(
                "POST", path, pieces, {"Content-Type": "application/json", "Content-Length": str(len(body))}
            )
            connection.sock.settimeout(limit)
            answer = connection.getresponse()
            data = answer.read(MOST_ANSWER)
        except (OSError, http.client.HTTPException) as error:
            return 0, f"{type(error).__name__}: {error}".encode(), by
        finally:
            connection.close()
        target = urlsplit(answer.headers.get("Location", ""))
        if answer.status != 307 or not target.hostname or not target.port:
            return answer.status, data, by
        address, path = Address(target.hostname, target.port), f"{target.path}?{target.query}"
        by = str(address)
    return 0, b"redirected too often", by


def call(
    controls: list[Address],
    name: str,
    body: bytes,
    within: float,
    sleep: Callable[[float], None] = time.sleep,
    now: Callable[[], float] = time.monotonic,
) -> Told:
    """Call one control plane after the other until the answer is clear or `within` s are up."""
    until, pause, refused, tries = now() + within, PAUSE, 0, 0
    status, data, by = 0, b"no control plane given", ""
    while tries == 0 or now() < until:
        address = controls[tries % len(controls)]
        tries += 1
        limit = SILENT + MORE * len(body) / (1 << 20)
        status, data, by = once(address, f"/v1/rpc?call={name}", body, limit)
        refused += 400 <= status < 500 and status not in (408, 429)
        if 200 <= status < 300 or status in AT_ONCE or refused >= THIRD:
            log("call.ended", call=name, control=by, status=status, tries=tries)
            return Told(status, data, by, tries)
        log("call.again", call=name, control=by, status=status, why=data[:200].decode("utf-8", "replace"))
        sleep(min(pause, max(0.0, until - now())))
        pause = min(PAUSE_MOST, pause * 2)
    return Told(status if 400 <= status < 500 and status not in (408, 429) else 0, data, by, tries)
