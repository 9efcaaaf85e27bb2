"""The listener that tells a program's figures: `GET` on the path that the settings name.

Owns that listener and its answers. It must never be opened unless the settings ask for it, load the metrics
library before the first fetch, or hold up the program: a port that is taken is logged and nothing else.
"""

from __future__ import annotations

from functools import partial

import trio

from finchshelf.configuration.boot import Boot, MetricsPlace
from finchshelf.metrics.figures import Figures
from finchshelf.transport import calls, net
from finchshelf.transport.address import Address
from finchshelf.transport.calls import Call, Calls, told
from finchshelf.transport.clients import Clients
from finchshelf.transport.exchange import Answer, Clock

CONTENT_TYPE = b"text/plain; version=0.0.4; charset=utf-8"
MOST_DESCRIPTORS = 16  # connections of whoever fetches figures


def written(figures: Figures) -> bytes:
    """In a thread: the first call loads the library."""
    from finchshelf.metrics import exposition

    return exposition.text(figures)


async def answer(figures: Figures, path: str, call: Call) -> Answer:
    if call.target.decode("ascii", "replace").partition("?")[0] != path:
        return told(404, {"error": f"expected {path}"})
    if call.method != b"GET":
        return told(405, {"error": "expected GET"})
    body = await trio.to_thread.run_sync(written, figures)
    headers = [(b"Content-Type", CONTENT_TYPE), (b"Content-Length", b"%d" % len(body))]
    return Answer(200, headers, body)


async def serve(boot: Boot, figures: Figures, clock: Clock, nursery: trio.Nursery) -> None:
    """Opens the listener where the settings name one; returns at once."""
    place: MetricsPlace | None = boot.metrics
    if place is None:
        return
    try:
        listener = await net.listen(Address(boot.ip, place.port))
    except OSError as error:
        figures.telemetry.log("metrics.refused", port=place.port, error=str(error))
        return
    core = Calls(clock, figures.telemetry, nursery, partial(answer, figures, place.path))
    memory = int(boot.memory_mb * 1e6)
    clients = Clients(core, calls.Reader(), nursery, lambda: True, MOST_DESCRIPTORS, memory)
    nursery.start_soon(clients.accept, listener)
    nursery.start_soon(clients.sweep)
    figures.telemetry.log("metrics.open", port=place.port, path=place.path)
