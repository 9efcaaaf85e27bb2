"""Requests and signals that come while a program starts, or just before it has heard the news.

Owns the order of what comes. It must never wait in real time for more than a process to load.
"""

from __future__ import annotations

import json
import subprocess
import sys
from random import Random
from typing import Any
from unittest import mock

import h11

from finchshelf.cli import demo
from finchshelf.configuration.document import Configuration, Limits, read_configuration
from finchshelf.dataplane.core import Core
from finchshelf.dataplane.dialect import Reader, Request
from finchshelf.dataplane.news import News
from finchshelf.membership.records import Server
from finchshelf.transport.exchange import Answer, Clock
from finchshelf.transport.telemetry import Telemetry

# Stops at the first library that a start loads: 0 if SIGHUP is ignored by then, 3 if it would end it.
LOOK = """
import runpy, signal, sys
class Look:
    def find_spec(self, name, path=None, target=None):
        if name in ("trio", "h11", "orjson", "msgpack"):
            sys.exit(0 if signal.getsignal(signal.SIGHUP) == signal.SIG_IGN else 3)
sys.meta_path.insert(0, Look())
runpy.run_module("{module}", run_name="__main__", alter_sys=True)
"""


def document(version: int, *routes: Any) -> Configuration:
    found: dict[str, Any] = json.loads(json.dumps(demo.first_configuration()))
    found["setpointSeq"] = f"{version:08x}"
    found["elements"] += routes
    return read_configuration(found)


def core() -> Core:
    made = Core("edge-1", "north", Clock(), Telemetry("edge-1", sink=-1), Random(1), 1.0, 100.0)
    made.servers, made.clients = mock.Mock(), mock.Mock()
    return made


def read_by(configuration: Configuration, path: str, answers: list[Answer], now: float, key: str) -> Request:
    head = h11.Request(
        method="GET",
        target=path,
        headers=[("Host", demo.HOST), ("Trial-Id", "one"), ("Authorization", f"Token {key}")],
    )
    return Reader(configuration).call(head, b"", 1, now, answers.append)


LATE_KEY = "a-key-that-comes-with-the-news"
NEW_TENANT = {"elementKind": "loads", "header": {"label": "new"}, "reference": {"credentials": [LATE_KEY]}}
# What is in force when the request is read, its path and its key.
READ_BEFORE = (
    (Configuration(0, (), {}, {}, Limits()), "/pages/1", demo.KEY),
    (document(1), "/late/1", demo.KEY),
    (document(1), "/pages/1", LATE_KEY),
)


def test_given_a_request_read_before_the_news_when_it_is_decided_after_them_then_it_is_not_denied() -> None:
    for before, path, key in READ_BEFORE:
        # Given a request that was read by what was in force before
        one, answers = core(), list[Answer]()
        now = one.clock.now()
        if before.version:
            one.news(News([], configuration=before, slot=1), now)
        request = read_by(before, path, answers, now, key)
        # When news that allow it are taken first, as after a halt
        after = document(2, demo.route("late", "/late/", "pages", "nullipotent"), NEW_TENANT)
        servers = [Server("s-1", "10.0.0.1:80", "pages", "north", 4, 1)]
        one.news(News(servers, configuration=after, slot=2), now)
        one.arrived(request, now)
        # Then it is told to come again: nothing that is in force refuses it
        assert [answer.status for answer in answers] == [503], path
        assert dict(answers[0].headers).get(b"Retry-After")


def test_given_a_request_that_what_is_in_force_refuses_then_it_is_denied() -> None:
    one, answers = core(), list[Answer]()
    now = one.clock.now()
    one.news(News([], configuration=document(1), slot=1), now)
    for path, key in (("/nowhere/1", demo.KEY), ("/pages/1", "no-such-key")):
        one.arrived(read_by(one.configuration, path, answers, now, key), now)
    assert [answer.status for answer in answers] == [404, 401]


def test_given_a_program_that_loads_when_its_settings_change_then_it_is_not_ended() -> None:
    for module in ("finchshelf.dataplane", "finchshelf.controlplane", "finchshelf"):
        code = LOOK.replace("{module}", module)
        done = subprocess.run([sys.executable, "-c", code], timeout=30.0, check=False)
        assert done.returncode == 0, module
