"""A try that its server's dropped connection ended goes to that server once more: only while that one stays.

Owns the server's records and the ends of tries, handed to the core. It must never wait in real time.
"""

from __future__ import annotations

import json
from random import Random
from typing import Any
from unittest import mock

import pytest

from finchshelf.admission.outcome import Status
from finchshelf.cli import demo
from finchshelf.configuration.document import read_configuration
from finchshelf.dataplane.core import Core
from finchshelf.dataplane.dialect import Request
from finchshelf.dataplane.news import News
from finchshelf.membership.records import DECAYING, GONE, STABLE, Server
from finchshelf.transport.exchange import Attempt, Clock, Ended
from finchshelf.transport.telemetry import Telemetry

IDLE_S = 1.0  # of the kept connection: long enough to be taken for one that its server dropped


def record(name: str, count: int, mode: str = STABLE) -> Server:
    return Server(name, f"10.0.0.{name[-1]}:80", "pages", "north", 4, count, mode)


def core_with(*servers: Server) -> Core:
    core = Core("edge-1", "north", Clock(), Telemetry("edge-1", sink=-1), Random(1), 1.0, 100.0)
    core.servers, core.clients = mock.Mock(), mock.Mock()
    document: dict[str, Any] = json.loads(json.dumps(demo.first_configuration()))
    core.news(News(list(servers), configuration=read_configuration(document), slot=1), core.clock.now())
    return core


def sent(core: Core) -> tuple[Request, Attempt]:
    """A repeatable request, whose first try is out."""
    now = core.clock.now()
    request = Request(
        core.next_id(),
        now + 5.0,
        mock.Mock(),
        b"GET",
        b"/pages/1",
        [],
        b"",
        mark=b"one",
        route=core.configuration.route(demo.HOST, "/pages/1"),
        came=now,
    )
    core.arrived(request, now)
    (attempt,) = request.out.values()
    return request, attempt


@pytest.mark.parametrize(("mode", "again"), [(STABLE, True), (DECAYING, False), (GONE, False)])
def test_given_a_dropped_connection_when_its_server_leaves_meanwhile_then_no_try_goes_there_again(
    mode: str, again: bool
) -> None:
    # Given a try at the first of two servers, on a connection that had idled
    core = core_with(record("s-1", 1))
    request, attempt = sent(core)
    # When news say how that server is now, another one has come, and the try ends as on a dropped connection
    core.news(News([record("s-1", 2, mode), record("s-2", 1)]), core.clock.now())
    core.ended(Ended(attempt, Status.RESET, idle=IDLE_S), core.clock.now())
    # Then it goes once more to a server that stays
    (second,) = request.out.values()
    assert second.server == ("s-1" if again else "s-2")
