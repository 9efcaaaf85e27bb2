"""The whole system on one machine in some seconds: started, used, changed, hurt and ended.

Owns the story and what each step must show. It must never say that a step went through unless it saw
it, or run longer than its bound.
"""

from __future__ import annotations

import http.client
import json
import tempfile
import time
from collections import Counter
from collections.abc import Callable, Iterator
from concurrent.futures import ThreadPoolExecutor
from contextlib import ExitStack, suppress
from itertools import count
from pathlib import Path

from finchshelf.cli import documents, operator, show
from finchshelf.cli.stand_ins import Server
from finchshelf.cli.system import CONTROL, FRONT, INNER, PULSE_MS, READINESS, ZONES, System
from finchshelf.transport.address import Address
from finchshelf.transport.frames import PeerError

BOUND = 180.0  # s for all of it: 8 s on a machine with time to spare, many times that on one without
STARTS, FOLLOWS = 60.0, 30.0  # s until programs that start answer, and until a change is in force
# ms that a client waits. Danger: on a machine that is busy a server of this process stands still for seconds.
DEADLINE_MS = 30_000
TRIES, PAUSE = 5, 0.1  # of a request that is told to come back, as the protocol has it; s between two
HOST, KEY, SMALL_KEY = "shop.example", "demo-key-of-acme", "demo-key-of-corner"
RATE = 5  # requests a second of the small tenant, and its surge
# What the rule of quotas tolerates beyond the limit: a limiter whose question goes unanswered for 20 ms, as
# on a machine that is busy, lets in its own share.
OVERSHOOT, SLACK = 0.1, 20
REQUESTS, AFTER_DRAIN, BEYOND = 120, 60, 60
SETTLE = 0.5  # s that a draining server serves on after its acknowledgement
AT_ONCE = 12  # requests out at a time
Say = Callable[[str], None]


class Failed(Exception):
    """A step that did not go through; says what was seen."""


def route(label: str, prefix: str, service: str, variant: str) -> documents.Element:
    return documents.route(label, HOST, prefix, service, variant, DEADLINE_MS)


def first_configuration() -> dict[str, object]:
    return documents.whole(
        1,
        [
            route("read", "/pages/", "pages", "nullipotent"),
            route("buy", "/orders/", "orders", "mutating"),
            *map(documents.service, ("pages", "orders")),
            documents.tenant("acme", [KEY]),
            documents.tenant("corner-shop", [SMALL_KEY], RATE, RATE),
        ],
    )


def changed(version: int, label: str, prior: int) -> bytes:
    return documents.change(version, prior, [route(label, f"/{label}/", "pages", "nullipotent")])


class Demo:
    def __init__(self, folder: Path, say: Say) -> None:
        self.say, self.system, self.until = say, System(folder), time.monotonic() + BOUND
        self.servers: list[Server] = []
        self.trials = (f"demo{number:012x}" for number in count(1))
        self.pool = ThreadPoolExecutor(AT_ONCE)

    # ---- what a client does ----

    def request(self, front: Address, method: str, path: str, key: str = KEY) -> tuple[int, str]:
        """One request, each try on a connection of its own: status, and `Retry-After` of a refusal.

        A 503 says that it has not run, and its client may come again."""
        for _ in range(TRIES):
            status, after = self.once(front, method, path, key)
            if status != 503:
                break
            time.sleep(max(PAUSE, float(after or 0)))
        return status, after

    def once(self, front: Address, method: str, path: str, key: str) -> tuple[int, str]:
        connection = http.client.HTTPConnection(front.host, front.port, timeout=1.5 * DEADLINE_MS / 1000)
        headers = {
            "Host": HOST,
            "Trial-Id": next(self.trials),
            "Remaining-Ms": str(DEADLINE_MS),
            "Authorization": f"Token {key}",
        }
        try:
            connection.request(method, path, b"one" if method == "POST" else None, headers)
            answer = connection.getresponse()
            answer.read(1 << 16)
            return answer.status, answer.headers.get("Retry-After", "")
        except (OSError, http.client.HTTPException):
            return 0, ""
        finally:
            connection.close()

    def many(self, number: int, key: str = KEY) -> list[tuple[int, str]]:
        """Reads and orders in turn, over all limiters."""
        fronts = self.system.each(FRONT)
        made = [
            self.pool.submit(
                self.request,
                fronts[at % len(fronts)],
                *(("GET", "/pages/1") if at % 2 else ("POST", "/orders/1")),
                key,
            )
            for at in range(number)
        ]
        return [one.result() for one in made]

    def wait(self, what: str, true: Callable[[], bool], limit: float) -> float:
        """Seconds until it came true; Failed when it does not."""
        began = time.monotonic()
        until = min(self.until, began + limit)
        while not true():
            if time.monotonic() > until:
                raise Failed(f"{what}: not within {limit:g} s")
            time.sleep(0.02)
        return time.monotonic() - began

    def call(self, name: str, body: bytes, wanted: int = 200) -> operator.Told:
        controls = self.alive()
        told = operator.call(controls, name, body, max(0.1, min(FOLLOWS, self.until - time.monotonic())))
        if told.status != wanted:
            raise Failed(f"{name}: expected {wanted}, got {told.status}: {told.body[:200]!r}")
        return told

    def alive(self) -> list[Address]:
        return [
            address
            for machine, address in enumerate(self.system.each(CONTROL), 1)
            if not self.system.children[f"control-plane-{machine}"].killed
        ]

    def served(self, path: str) -> bool:
        return all(self.request(front, "GET", path)[0] == 200 for front in self.system.each(FRONT))

    def ready(self) -> bool:
        return all(status_of(address, "/v1/readiness") == 200 for address in self.system.each(READINESS))

    # ---- the story ----

    def steps(self) -> Iterator[tuple[str, Callable[[], str]]]:
        yield "start", self.start
        yield "configuration", self.configure
        yield "requests", self.requests
        yield "quota", self.quota
        yield "drain", self.drain
        yield "change", self.change
        yield "loss", self.loss
        yield "empty disk", self.empty_disk

    def start(self) -> str:
        for role in ("control-plane", "data-plane"):
            for machine in range(1, self.system.machines + 1):
                self.system.start(role, machine)
        controls = self.system.each(CONTROL)
        took = self.wait(
            "control planes answer",
            lambda: all(operator.once(one, "/v1/rpc?call=setpoint.observe", b"", 1.0)[0] for one in controls),
            STARTS,
        )
        for at in range(6):
            service = ("pages", "orders")[at % 2]
            self.servers.append(
                Server(
                    service,
                    ZONES[at // 2],
                    f"{self.system.net}.{10 + at}",
                    controls[at % 3 :] + controls[: at % 3],
                    PULSE_MS / 1000,
                )
            )
        if not all([server.beat() for server in self.servers]):
            raise Failed("a server's beat was not acknowledged")
        return (
            f"3 control planes and 3 limiters on {self.system.net}.1-3 after {took:.1f} s; "
            "beats of 6 stand-in servers acknowledged"
        )

    def configure(self) -> str:
        told = self.call("setpoint.replace", json.dumps(first_configuration()).encode())
        took = self.wait("limiters are ready", lambda: self.ready() and self.served("/pages/1"), STARTS)
        return (
            f"version 00000001 taken by {told.by}; in force on 3 of 3 limiters " f"{took * 1000:.0f} ms later"
        )

    def requests(self) -> str:
        seen = Counter(status for status, _ in self.many(REQUESTS))
        ran = Counter[str]()
        for server in self.servers:
            if server.service == "orders":
                ran.update(server.ran)
        twice = sum(times > 1 for times in ran.values())
        if seen != {200: REQUESTS} or twice or sum(ran.values()) != REQUESTS // 2:
            raise Failed(f"expected {REQUESTS} times 200, orders run once: {dict(seen)}, {twice} twice")
        wrong = self.request(self.system.each(FRONT)[0], "GET", "/pages/1", "no-such-key")[0]
        if wrong != 401:
            raise Failed(f"an unknown key: expected 401, got {wrong}")
        return (
            f"{REQUESTS} of {REQUESTS} served, each of {REQUESTS // 2} orders ran once; "
            "an unknown key gets 401"
        )

    def quota(self) -> str:
        self.many(1, SMALL_KEY)
        time.sleep(1.0)  # a count begins with a full window: it drains at the tenant's rate
        began = time.monotonic()
        seen = self.many(BEYOND, SMALL_KEY)
        took = time.monotonic() - began
        served = sum(status == 200 for status, _ in seen)
        told = sum(status == 429 and float(after or 0) > 0 for status, after in seen)
        words = f"{served} served, {told} told when to come back (429)"
        most = (RATE + RATE * took) * (1 + OVERSHOOT) + SLACK  # as the rule of quotas has it
        if served + told != BEYOND or not 0 < served <= most:
            raise Failed(f"{words}, of {BEYOND} in {took:.2f} s")
        return f"a tenant of {RATE} a second sent {BEYOND} in {took:.2f} s over 3 limiters: {words}"

    def drain(self) -> str:
        leaving = self.servers[0]
        began = time.monotonic()
        if not leaving.drain():
            raise Failed("the drain was not acknowledged")
        took = time.monotonic() - began
        time.sleep(SETTLE)
        before = sum(leaving.ran.values())
        seen = Counter(status for status, _ in self.many(AFTER_DRAIN))
        after = sum(leaving.ran.values()) - before
        if seen != {200: AFTER_DRAIN} or after or not leaving.depart():
            raise Failed(f"{dict(seen)}, {after} went to the server that drains")
        return (
            f"{leaving.identity} drains, acknowledged in {took * 1000:.0f} ms; {AFTER_DRAIN} of "
            f"{AFTER_DRAIN} served without it; it departed"
        )

    def change(self) -> str:
        self.call("setpoint.adjust", changed(2, "news", 1))
        took = self.wait("the new route", lambda: self.served("/news/1"), FOLLOWS)
        self.call("setpoint.adjust", changed(2, "news", 1))  # the very same once more is no second change
        self.call("setpoint.adjust", changed(3, "late", 1), 412)
        return (
            f"version 00000002 in force on 3 of 3 limiters after {took * 1000:.0f} ms; sent again: "
            "still 200; another one on top of version 1: 412"
        )

    def loss(self) -> str:
        self.system.kill("control-plane-1")
        self.call("setpoint.adjust", changed(4, "more", 2))
        took = self.wait("the new route", lambda: self.served("/more/1"), FOLLOWS)
        seen = Counter(status for status, _ in self.many(AFTER_DRAIN))
        if seen != {200: AFTER_DRAIN}:
            raise Failed(f"{dict(seen)} of {AFTER_DRAIN}")
        return (
            f"one control plane killed: version 00000004 taken by the others, in force "
            f"{took * 1000:.0f} ms later; {AFTER_DRAIN} of {AFTER_DRAIN} served"
        )

    def empty_disk(self) -> str:
        """The killed one comes back without its disk: another member, once the others have said so."""
        inner, began = self.system.each(INNER), time.monotonic()

        def told(view: str) -> list[show.Row]:
            with suppress(PeerError):
                return show.rows(view, inner[1:])
            return []

        former = {row["disk"] for row in told("members")}
        if not former:
            raise Failed("no control plane tells who the members are")
        self.system.wipe(1)
        self.system.start("control-plane", 1, first=False)

        def counts_again() -> bool:
            core = {row["member"]: row for row in told("members")}
            mine = core.get(str(inner[0]))
            versions = [row["version"] for row in told("versions")]
            return (
                mine is not None
                and mine["disk"] not in former
                and len(core) == len(inner)
                and versions == ["00000004"] * len(inner)
            )

        self.wait("the new member", counts_again, STARTS)
        return (
            f"the killed one is back with an empty disk: a member again, with version 00000004, "
            f"{time.monotonic() - began:.1f} s later"
        )

    def end(self) -> str:
        began = time.monotonic()
        ends = self.system.end()
        if any(ends.values()):
            raise Failed(f"exit statuses {ends}")
        return f"{len(ends)} programs ended as planned in {time.monotonic() - began:.1f} s, status 0"

    def close(self) -> None:
        self.pool.shutdown(wait=True, cancel_futures=True)
        for server in self.servers:
            server.end()
        self.system.end()


def status_of(address: Address, path: str) -> int:
    """The status of a GET, 0 without an answer."""
    connection = http.client.HTTPConnection(address.host, address.port, timeout=1.0)
    try:
        connection.request("GET", path)
        return connection.getresponse().status
    except (OSError, http.client.HTTPException):
        return 0
    finally:
        connection.close()


def run(say: Say) -> bool:
    """True if every step went through; whatever happens, nothing that was started is left."""
    with ExitStack() as stack:
        folder = Path(stack.enter_context(tempfile.TemporaryDirectory(prefix="finchshelf-demo-")))
        demo = Demo(folder, say)
        stack.callback(demo.close)
        for name, step in (*demo.steps(), ("end", demo.end)):
            try:
                say(f"ok    {name:14} {step()}")
            except (Failed, OSError) as error:
                say(f"FAIL  {name:14} {error}")
                for child in demo.system.children.values():
                    if child.process.poll() is not None and not child.killed:
                        status = child.process.returncode
                        say(f"      {child.name} ended with {status}: {child.last_lines()}")
                return False
    return True
