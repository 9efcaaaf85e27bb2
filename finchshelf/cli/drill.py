"""The drill of a roll-out on real sockets: five small systems and three keepers on loopback.

Owns the story and what must be seen. It must never say that a step went through unless clients and servers
saw it, leave a process behind, or run longer than its bound.
"""

from __future__ import annotations

import http.client
import json
import os
import subprocess
import sys
import tempfile
import threading
import time
from collections import Counter
from collections.abc import Callable, Iterator
from contextlib import ExitStack
from itertools import count
from pathlib import Path
from typing import Any

import orjson
import trio

from finchshelf.cli import demo, keeper, operator
from finchshelf.cli.logs import log
from finchshelf.cli.stand_ins import Server
from finchshelf.cli.system import CONTROL, FRONT, INNER, PACKAGE, PULSE_MS, READINESS, System, network
from finchshelf.rollout import plan as plans
from finchshelf.rollout.driver import ENDED
from finchshelf.transport.address import Address, address_of

BOUND = 240.0  # s for all of it
SITES, KEEPERS = 5, 3
TAKES, TOO_SHORT = 0.03, 10  # s that an order takes, and ms that the bad policy gives it
EACH = 0.03  # s between two requests at a site: 30 a second
HARMED = frozenset((0, 401, 403, 404, 429, 500, 502, 503, 504))
Say = Callable[[str], None]


class Load:
    """One site's clients: a read and an order in turn, for as long as the drill goes on."""

    def __init__(self, name: str, front: Address) -> None:
        self.name, self.front, self.ending = name, front, threading.Event()
        self.trials = (f"{name}{number:010x}" for number in count(1))
        self.seen = Counter[int]()
        self.thread = threading.Thread(target=self.run, daemon=True)

    def run(self) -> None:
        connection = http.client.HTTPConnection(self.front.host, self.front.port, timeout=4.0)
        for at in count():
            if self.ending.wait(EACH):
                break
            method, path = ("POST", "/orders/1") if at % 2 else ("GET", "/pages/1")
            headers = {
                "Host": demo.HOST,
                "Trial-Id": next(self.trials),
                "Remaining-Ms": "3000",
                "Authorization": f"Token {demo.KEY}",
            }
            try:
                connection.request(method, path, b"one" if method == "POST" else None, headers)
                answer = connection.getresponse()
                answer.read()
                self.seen[answer.status] += 1
            except (OSError, http.client.HTTPException):
                self.seen[0] += 1
                connection.close()
        connection.close()

    def harmed(self) -> int:
        return sum(number for status, number in self.seen.items() if status in HARMED)


class Site:
    """A small system of its own: one control plane, one data plane, two servers."""

    def __init__(self, name: str, folder: Path) -> None:
        self.name, self.system = name, System(folder, machines=1)
        self.servers: list[Server] = []
        self.load = Load(name, self.system.each(FRONT)[0])

    def start(self) -> None:
        for role in ("control-plane", "data-plane"):
            self.system.start(role, 1, ("-O",))

    def begin(self) -> None:
        controls = self.system.each(CONTROL)
        for at, service in enumerate(("pages", "orders")):
            self.servers.append(
                Server(service, "north", f"{self.system.net}.{10 + at}", controls, PULSE_MS / 1000)
            )
            self.servers[-1].takes = TAKES if service == "orders" else 0.0
        body = json.dumps(demo.first_configuration()).encode()
        told = operator.call(controls, "setpoint.replace", body, 15.0)
        if told.status != 200:
            raise demo.Failed(f"{self.name}: the first configuration: {told.status} {told.body[:200]!r}")

    def ready(self) -> bool:
        return demo.status_of(self.system.each(READINESS)[0], "/v1/readiness") == 200

    def doubled(self) -> int:
        ran = Counter[str]()
        for server in self.servers:
            if server.service == "orders":
                ran.update(server.ran)
        return sum(times > 1 for times in ran.values())

    def document(self) -> dict[str, Any]:
        told = operator.call(self.system.each(CONTROL), "setpoint.observe", b"", 5.0)
        found: dict[str, Any] = json.loads(told.body)
        return found

    def policy(self) -> dict[Any, Any]:
        return {plans.label(element): element for element in self.document()["elements"]}

    def close(self) -> None:
        self.load.ending.set()
        for server in self.servers:
            server.end()
        self.system.end()


class Drill:
    def __init__(self, folder: Path, say: Say) -> None:
        self.folder, self.say, self.until = folder, say, time.monotonic() + BOUND
        self.sites = []
        for at in range(SITES):
            (folder / f"site-{at}").mkdir()
            self.sites.append(Site(f"site-{at}", folder / f"site-{at}"))
        net = network()
        self.keepers = [f"{net}.{machine}:{INNER}" for machine in range(1, KEEPERS + 1)]
        self.children: dict[str, subprocess.Popen[bytes]] = {}

    # ---- parts ----

    def keep(self, address: str, first: bool = True) -> None:
        seeds = [word for other in self.keepers for word in ("--seed", other)]
        paths = [PACKAGE, *filter(None, [os.environ.get("PYTHONPATH")])]
        with (self.folder / f"keeper-{address}.log").open("ab") as sink:
            process = subprocess.Popen(
                [
                    sys.executable,
                    "-O",
                    "-m",
                    "finchshelf.cli",
                    "rollout",
                    "keep",
                    "--listen",
                    address,
                    *seeds,
                    "--folder",
                    str(self.folder / f"keeper-{address}"),
                    *(["--first"] if first else []),
                ],
                env={**os.environ, "PYTHONPATH": os.pathsep.join(paths)},
                stdin=subprocess.DEVNULL,
                stdout=sink,
                stderr=sink,
            )
        log("child.started", child=f"keeper {address}", pid=process.pid)
        self.children[address] = process

    def tell(self, **message: Any) -> dict[str, Any]:
        there = [address_of(one) for one in self.keepers if self.children[one].poll() is None]
        return trio.run(keeper.say, there, message, 5.0)

    def document(self) -> dict[str, Any]:
        answer = self.tell(word="status")
        found: dict[str, Any] = orjson.loads(answer["document"]) if "document" in answer else {}
        return found

    def wait(self, what: str, true: Callable[[], bool], limit: float) -> float:
        began = time.monotonic()
        until = min(self.until, began + limit)
        while not true():
            if time.monotonic() > until:
                raise demo.Failed(f"{what}: not within {limit:g} s")
            time.sleep(0.1)
        return time.monotonic() - began

    def plan(self, name: str, change: dict[str, Any]) -> bytes:
        part = {"late": 0.2, "vanished": 0.2, "refused": 0.2, "denied": 0.2, "wrong": 0.2, "broken": 0.2}
        given = {
            "name": name,
            "change": change,
            "watch": {"before_s": 8, "window_s": 10, "least": 80, "poll_s": 0.5},
            "kinds": [{"route": "read", **part}, {"route": "buy", "once": True, **part}],
            "sites": [
                {"name": site.name, "controls": [str(site.system.each(CONTROL)[0])], "inner": INNER}
                for site in self.sites
            ],
        }
        return orjson.dumps(plans.read(given).given)

    def begin(self, name: str, change: dict[str, Any]) -> None:
        answer = self.tell(word="start", plan=self.plan(name, change))
        if not answer.get("ok"):
            raise demo.Failed(f"start: {answer}")

    def ended(self) -> bool:
        return (self.document().get("state") or {}).get("phase") in ENDED

    def doubled(self) -> int:
        return sum(site.doubled() for site in self.sites)

    # ---- the story ----

    def steps(self) -> Iterator[tuple[str, Callable[[], str]]]:
        yield "start", self.start
        yield "good policy", self.good
        yield "bad policy", self.bad
        yield "driver lost", self.lost

    def start(self) -> str:
        for site in self.sites:
            site.start()
        for address in self.keepers:
            self.keep(address)
        for site in self.sites:
            site.begin()
        took = self.wait("sites are ready", lambda: all(site.ready() for site in self.sites), 30.0)
        self.wait("keepers answer", lambda: bool(self.document()), 20.0)
        for site in self.sites:
            site.load.thread.start()
        return f"{SITES} systems and {KEEPERS} keepers are up, ready {took:.1f} s after their configuration"

    def good(self) -> str:
        self.begin(
            "longer",
            {
                "apply": {
                    "elements": [
                        {**demo.route("read", "/pages/", "pages", "nullipotent")},
                        demo.route("news", "/news/", "pages", "nullipotent"),
                    ]
                }
            },
        )
        took = self.wait("the roll-out's end", self.ended, 150.0)
        state = self.document()["state"]
        versions = [site.document()["setpointSeq"] for site in self.sites]
        if state["phase"] != "done" or versions != ["00000002"] * SITES:
            raise demo.Failed(f"{state['phase']}: {state['why']} {state['says']}; versions {versions}")
        if self.doubled():
            raise demo.Failed(f"{self.doubled()} orders ran twice")
        served = sum(site.load.seen[200] for site in self.sites)
        return f"over all {SITES} sites in {took:.0f} s, {served} requests served meanwhile, none run twice"

    def bad(self) -> str:
        return self.halted("short", lambda: None)

    def lost(self) -> str:
        """Its driver is killed as soon as the first site has changed; another goes on."""

        def kill() -> None:
            self.wait(
                "the first step",
                lambda: self.document()["state"]["sites"]["site-0"]["state"]
                in ("changing", "watching", "returning", "returned"),
                60.0,
            )
            driver = self.document()["driver"]
            self.children[driver].kill()
            self.children[driver].wait()

        return self.halted("short again", kill)

    def halted(self, name: str, meanwhile: Callable[[], None]) -> str:
        before, versions = [site.load.harmed() for site in self.sites], self.versions()
        route: dict[str, Any] = demo.route("buy", "/orders/", "orders", "mutating")
        route["reference"]["cutoffMs"] = TOO_SHORT
        policy = self.sites[0].policy()
        began = time.monotonic()
        self.begin(name, {"apply": {"elements": [route]}})
        meanwhile()
        self.wait("the roll-out's end", self.ended, 90.0)
        took = time.monotonic() - began
        state = self.document()["state"]
        harmed = [site.load.harmed() - former for site, former in zip(self.sites, before, strict=True)]
        now = self.versions()
        if state["phase"] != "halted" or now[1:] != versions[1:] or any(harmed[1:]):
            raise demo.Failed(f"{state['phase']}: {state['why']} {state['says']}; {now}; harmed {harmed}")
        if self.sites[0].policy() != policy:
            raise demo.Failed("the first site does not have its last good policy")
        if self.doubled():
            raise demo.Failed(f"{self.doubled()} orders ran twice")
        return (
            f"halted {took:.0f} s after its beginning ({state['why']}); {harmed[0]} requests harmed at "
            f"the first site, 0 elsewhere; it is back, under version {now[0]}"
        )

    def versions(self) -> list[str]:
        return [site.document()["setpointSeq"] for site in self.sites]

    def close(self) -> None:
        for site in self.sites:
            site.load.ending.set()
        for process in self.children.values():
            if process.poll() is None:
                process.terminate()
        for address, process in self.children.items():
            try:
                process.wait(8.0)
            except subprocess.TimeoutExpired:
                process.kill()
                process.wait()
            log("child.ended", child=f"keeper {address}", status=process.returncode)
        for site in self.sites:
            site.close()


def run(say: Say) -> bool:
    """True if every step went through; whatever happens, nothing that was started is left."""
    with ExitStack() as stack:
        folder = Path(stack.enter_context(tempfile.TemporaryDirectory(prefix="finchshelf-drill-")))
        drill = Drill(folder, say)
        stack.callback(drill.close)
        for name, step in drill.steps():
            try:
                say(f"ok    {name:12} {step()}")
            except (demo.Failed, OSError) as error:
                say(f"FAIL  {name:12} {error}")
                for path in sorted(folder.glob("keeper-*.log")):
                    say(f"      {path.name}: {path.read_text(errors='replace')[-1500:]}")
                return False
    return True
