"""What a request costs: processor time of one small GET through each program, in pairs in one run.

Starts a data plane in a small whole system (its tenant's count is held by another limiter, so each request
asks), the present node with a counter, and a bare h11 echo on trio; on loopback, all at once. Plays come in
turn, the same requests on kept connections in each. Owns nothing of the product; ends what it started. It
must never run longer than its bound. Run it: `python -m benchmarks.request_cost [--plays 9] [--seed 1]`.

Table, a program each: microseconds of processor time a request (user and system, of that process alone, from
/proc), median (least to most) of the plays; how many times the echo, by pairs of the same play; MB resident
while idle before the first play, and after the last. An echo passes nothing on: it is the least that h11 on
trio can cost for one side of a gateway.
"""

from __future__ import annotations

import argparse
import copy
import json
import os
import platform
import random
import socket
import subprocess
import sys
import tempfile
import time
from collections.abc import Callable
from dataclasses import dataclass, field
from pathlib import Path

import trio

from benchmarks.start_cost import cell, node_ready
from finchshelf.cli import demo, operator
from finchshelf.cli.stand_ins import Server as Beating
from finchshelf.cli.system import CONTROL, FRONT, READINESS, System
from finchshelf.membership import rendezvous
from finchshelf.transport.address import Address
from tests import stand_ins
from tests.stand_ins import Counter, Discovery, Got, Server, config_object, entry, ok

BOUND = 40.0  # s after which no further play begins
LIMIT = 10.0  # s for a start
TOGETHER = 4  # connections, each with one request on its way
WARM = 200  # requests to each program before the first play
IDLE = 0.5  # s at rest before memory is read
PLENTY = 1e6  # units a second: the count is asked for and never runs out
SERVERS, SLOTS = 2, 64
CHECKED = "count.local", "count.late", "servers.opened", "in.requests"


# ---- who asks ----


class Asking:
    """Kept connections to one program, each with one request on its way; only 200 counts."""

    def __init__(self, address: Address, make: Callable[[int], bytes]) -> None:
        self.address, self.make, self.number = address, make, 0

    def ask(self, requests: int) -> None:
        """On fresh connections: those that rest while the others play would be ended as idle."""
        where = self.address.host, self.address.port
        streams = [socket.create_connection(where, 5.0) for _ in range(TOGETHER)]
        try:
            for stream in streams:
                stream.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            for _ in range(requests // TOGETHER):
                for stream in streams:
                    self.number += 1
                    stream.sendall(self.make(self.number))
                for stream in streams:
                    self.answer(stream)
        finally:
            for stream in streams:
                stream.close()

    @staticmethod
    def answer(stream: socket.socket) -> None:
        data = b""
        while b"\r\n\r\n" not in data:
            part = stream.recv(65536)
            if not part:
                raise ConnectionError("the connection ended")
            data += part
        head, _, body = data.partition(b"\r\n\r\n")
        if b" 200 " not in head[:16]:
            raise ConnectionError(f"answered {head[:200]!r}")
        length = int(head.lower().partition(b"content-length:")[2].split(b"\r\n")[0])
        while len(body) < length:
            body += stream.recv(65536)


@dataclass
class Program:
    """One of the three: its process, its requests, and what was measured."""

    name: str
    pid: int
    asking: Asking
    holder: int = 0  # the process that it asks about counts, where that is measured too
    idle: float = 0.0
    after: float = 0.0
    costs: list[float] = field(default_factory=list)
    holding: list[float] = field(default_factory=list)

    @staticmethod
    def cpu(pid: int) -> float:
        fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
        return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")

    def memory(self) -> float:
        status = Path(f"/proc/{self.pid}/status").read_text()
        return int(status.partition("VmRSS:")[2].split()[0]) / 1024

    def play(self, requests: int) -> None:
        pids = [self.pid, self.holder] if self.holder else [self.pid]
        before = [self.cpu(pid) for pid in pids]
        self.asking.ask(requests)
        spent = [(self.cpu(pid) - at) / requests * 1e6 for pid, at in zip(pids, before, strict=True)]
        self.costs.append(spent[0])
        self.holding += spent[1:]


# ---- the programs ----


def wait(what: str, true: Callable[[], bool]) -> None:
    until = time.monotonic() + LIMIT
    while not true():
        if time.monotonic() > until:
            raise TimeoutError(f"{what}: not in {LIMIT:g} s")
        time.sleep(0.02)


def first_line(process: subprocess.Popen[bytes], path: Path) -> bytes:
    wait("first line", lambda: process.poll() is not None or b"\n" in path.read_bytes())
    return path.read_bytes().splitlines()[0]


def data_plane(system: System, servers: list[Beating], addresses: list[Address]) -> Program:
    """`addresses`: of the servers that answer; what beats for them answers nothing."""
    for machine in (1, 2, 3):
        system.start("control-plane", machine, ("-O",))
    controls = system.each(CONTROL)
    document = copy.deepcopy(demo.first_configuration())
    # Limiters are named as their settings do: the tenant is one whose count another than the first holds.
    names = [f"edge-{zone}-{at}" for at, zone in ((1, "north"), (2, "middle"))]
    label = next(
        name
        for name in (f"tenant-{at}" for at in range(100))
        if rendezvous.first(name, tuple(sorted(names))) == names[1]
    )
    elements = document["elements"]
    assert isinstance(elements, list)
    elements.append(
        {
            "elementKind": "loads",
            "header": {"label": label},
            "reference": {"credentials": ["cost"], "rateS": PLENTY, "surge": PLENTY},
        }
    )
    wait(
        "configuration",
        lambda: operator.call(controls, "setpoint.replace", json.dumps(document).encode(), LIMIT).status
        == 200,
    )
    for address in addresses:
        servers.append(Beating("pages", "north", system.ip(10), controls, 0.4))
        servers[-1].slots, servers[-1].address = SLOTS, str(address)
    wait("beats", lambda: all([one.beat() for one in servers]))
    children = [system.start("data-plane", machine, ("-O",)) for machine in (1, 2)]
    for gate in system.each(READINESS)[:2]:
        wait("data plane", lambda gate=gate: demo.status_of(gate, "/v1/readiness") == 200)  # type: ignore[misc]
    time.sleep(3.0)  # both limiters know of each other, and the holder is the only one
    front = system.each(FRONT)[0]
    first, holder = (child.process.pid for child in children)
    return Program("data plane, count at another limiter", first, Asking(front, request), holder)


def request(number: int) -> bytes:
    return (
        b"GET /pages/1 HTTP/1.1\r\nHost: %s\r\nTrial-Id: cost%012x\r\nRemaining-Ms: 4000\r\n"
        b"Authorization: Token cost\r\n\r\n" % (demo.HOST.encode(), number)
    )


def node_request(number: int) -> bytes:
    return (
        b"GET /look/00000000b4d65521 HTTP/1.1\r\nHost: service.internal\r\nX-Call-Id: %016x\r\n"
        b"X-Call-Class: look\r\nX-Contract: team\r\nX-Budget-Ms: 4000\r\n"
        b"X-Metering: units=1,spread=1,first=0\r\n\r\n" % number
    )


def started(words: list[str], path: Path, env: dict[str, str]) -> subprocess.Popen[bytes]:
    with path.open("wb") as sink:
        return subprocess.Popen(
            [sys.executable, "-O", "-m", *words],
            env={**os.environ, **env},
            stdin=subprocess.DEVNULL,
            stdout=sink,
            stderr=sink,
        )


def play_all(
    folder: Path, plays: int, requests: int, env: dict[str, str], addresses: list[Address]
) -> list[Program]:
    system, servers = System(folder), list[Beating]()
    processes, programs = list[subprocess.Popen[bytes]](), list[Program]()
    try:
        programs.append(data_plane(system, servers, addresses))
        node_log, echo_log = folder / "node.log", folder / "echo.log"
        processes.append(started(["finchshelf"], node_log, env))
        line = first_line(processes[-1], node_log)
        wait("node", lambda: node_ready(line))
        host, _, port = str(json.loads(line)["listen"]).rpartition(":")
        programs.append(
            Program(
                "present node, with its counter",
                processes[-1].pid,
                Asking(Address(host, int(port)), node_request),
            )
        )
        processes.append(started(["benchmarks.echo"], echo_log, {}))
        port = first_line(processes[-1], echo_log).decode()
        programs.append(
            Program("h11 echo on trio", processes[-1].pid, Asking(Address("127.0.0.1", int(port)), request))
        )
        time.sleep(IDLE)
        for one in programs:
            one.idle = one.memory()
        for one in programs:
            one.asking.ask(WARM)
        until = time.monotonic() + BOUND - 10.0  # the starts before and the ends after take their part
        for at in range(plays):
            if time.monotonic() > until:
                break
            for one in programs if at % 2 else programs[::-1]:
                one.play(requests)
        time.sleep(IDLE)
        for one in programs:
            one.after = one.memory()
    finally:
        for process in processes:
            process.terminate()
        for server in servers:
            server.end()
        system.end()
        for process in processes:
            try:
                process.wait(LIMIT)
            except subprocess.TimeoutExpired:
                process.kill()
                process.wait()
    for name, path in (("data plane", folder / "data-plane-1.log"), ("present node", node_log)):
        told(name, path)
    return programs


def told(name: str, path: Path) -> None:
    """The seed that the program drew, and the counters that say whether each request asked."""
    for line in path.read_text().splitlines():
        row = json.loads(line)
        if row.get("event") == "start":
            print(f"{name}: seed {row.get('seed', 'of its settings')}")
        elif row.get("event") == "counters" and row.get("why") == "exit":
            print(f"{name}:", ", ".join(f"{key} {row[key]}" for key in CHECKED if key in row))


async def measure(folder: Path, plays: int, requests: int, seed: int) -> tuple[list[Program], int]:
    async def plan(got: Got) -> bytes | None:
        trial = got.headers.get(b"trial-id")
        load = (b"Trial-Id: " + trial, b"Server-Load: 1,0,%d" % SLOTS, b"Server-Seal: x") if trial else ()
        return ok(b"here", *load)

    async with trio.open_nursery() as nursery:
        servers, counter = [Server(plan) for _ in range(SERVERS)], Counter()
        for part in (*servers, counter):
            await part.start(nursery)
        discovery = Discovery([entry(f"s{n}", one.address) for n, one in enumerate(servers)])
        await discovery.start(nursery)
        settings = config_object(discovery.address, counter.address, sockets=256)
        settings["settings"] = copy.deepcopy(stand_ins.SETTINGS)
        settings["settings"]["contracts"][0].update({"refill": PLENTY, "most-at-once": PLENTY})
        settings["seed"] = f"{seed:02x}"
        path = folder / "node.json"
        path.write_text(json.dumps(settings))
        found = await trio.to_thread.run_sync(
            play_all,
            folder,
            plays,
            requests,
            {"BALANCER_CONFIG": str(path), "TMPDIR": str(folder)},
            [one.address for one in servers],
        )
        calls = sum(text != "ping" for text in counter.calls)
        nursery.cancel_scope.cancel()
    return found, calls


def main() -> None:
    options = argparse.ArgumentParser(description="What a request costs, on loopback.")
    options.add_argument("--plays", type=int, default=9, help="of each program (1 to 50)")
    options.add_argument("--requests", type=int, default=1600, help="of each play (100 to 5000)")
    options.add_argument("--seed", type=int, default=1, help="of the addresses and of the present node")
    given = options.parse_args()
    plays, requests = max(1, min(50, given.plays)), max(100, min(5000, given.requests))
    print(f"python -m benchmarks.request_cost --plays {plays} --requests {requests} --seed {given.seed}")
    print(f"Python {platform.python_version()}, {os.cpu_count()} processors, {TOGETHER} connections")
    random.seed(given.seed)
    with tempfile.TemporaryDirectory(prefix="finchshelf-cost-") as name:
        found, calls = trio.run(measure, Path(name), plays, requests, given.seed & 0xFF)
    least = found[-1].costs
    print(f"present node: calls to the counter {calls}, requests {found[1].asking.number}\n")
    print("| program | plays | processor us a request | times the echo | MB idle | MB after |")
    print("| --- | --- | --- | --- | --- | --- |")
    for one in found:
        times = [mine / other for mine, other in zip(one.costs, least, strict=True) if other]
        print(
            f"| {one.name} | {len(one.costs)} | {cell(one.costs, '.0f')} | {cell(times, '.1f')} | "
            f"{one.idle:.1f} | {one.after:.1f} |"
        )
        if one.holding:  # nothing here would mean that it did not ask
            print(f"| the holder that it asks | {len(one.holding)} | {cell(one.holding, '.0f')} | | | |")
    pairs = [mine / other for mine, other in zip(found[0].costs, found[1].costs, strict=True)]
    print(
        f"\ndata plane over present node, in pairs: {cell(pairs, '.2f')}, "
        f"more in {sum(pair > 1 for pair in pairs)} of {len(pairs)}"
    )


if __name__ == "__main__":
    main()
