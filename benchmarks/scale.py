"""The scale run: real control planes and some data planes on loopback, beside hollow limiters and servers.

    python -m benchmarks.scale [--sizes 50,150,560] [--cores 0] [--calm 20] [--changes 3]

Owns the processes that it starts and the figures it prints (`docs/CAPACITY.md`). Loopback addresses
only; each size ends within `BOUND` seconds, and each hollow process by a bound of its own. It must never
leave a process behind, or call a hollow limiter's figure a real one's.
"""

from __future__ import annotations

import argparse
import os
import signal
import subprocess
import sys
import time
from collections.abc import Iterator
from contextlib import ExitStack, suppress
from dataclasses import dataclass, field
from pathlib import Path
from tempfile import TemporaryDirectory
from typing import Any

import orjson
import trio

from benchmarks.scale_hollow import posted
from benchmarks.target import CONTROLS, ZONES, Site, document, shown
from finchshelf.transport import net
from finchshelf.transport.address import Address

BOUND = 180.0  # s for one size
REAL = 4  # data planes
SETTLE = 8.0  # s after the servers' start
WORKERS = 3  # processes of hollow limiters, and of hollow servers
PULSE = 1.5  # s
FRONT, READINESS, CONTROL, FRAMES = 28405, 28406, 28407, 27660
FIRST, EACH = 15.0, 20.0  # s for the first configuration and each change, to be taken and in force
STEPS = 6  # parts in which the first one is sent where it is not taken as a whole
FAULTS = ("fault", "core.error", "calls.error", "clients.error", "peer.unfit")
TICKS = os.sysconf("SC_CLK_TCK")


@dataclass
class Process:
    name: str
    role: str
    popen: subprocess.Popen[bytes]
    log: Path

    def spent(self) -> float:
        """s of processor time."""
        with open(f"/proc/{self.popen.pid}/stat", "rb") as file:
            parts = file.read().rpartition(b")")[2].split()
        return (int(parts[11]) + int(parts[12])) / TICKS

    def waited(self) -> float:
        """s that it was ready to run and had no core."""
        with open(f"/proc/{self.popen.pid}/schedstat") as file:
            return int(file.read().split()[1]) / 1e9

    def resident(self, peak: bool = False) -> float:
        """MB."""
        wanted = "VmHWM" if peak else "VmRSS"
        with open(f"/proc/{self.popen.pid}/status") as file:
            return next(int(line.split()[1]) / 1e3 for line in file if line.startswith(wanted))

    def lines(self) -> Iterator[dict[str, Any]]:
        for line in self.log.read_bytes().splitlines():
            with suppress(orjson.JSONDecodeError):
                found = orjson.loads(line)
                if isinstance(found, dict):
                    yield found


@dataclass
class Found:
    site: Site
    seconds: dict[str, float] = field(default_factory=dict)
    figures: dict[str, float] = field(default_factory=dict)
    notes: list[str] = field(default_factory=list)


class Fleet:
    def __init__(
        self, site: Site, folder: Path, cores: set[int], configuration: Site, ramp: float = PULSE
    ) -> None:
        self.site, self.folder, self.cores, self.configuration = site, folder, cores, configuration
        self.ramp = ramp
        self.net = f"127.{64 + os.getpid() % 64}"
        self.zones = [f"zone-{n}" for n in range(ZONES)]
        self.controls = [(f"{self.net}.1.{n + 1}", self.zones[n % ZONES]) for n in range(CONTROLS)]
        self.processes: list[Process] = []

    def start(self, name: str, role: str, words: list[str], **more: str) -> Process:
        log = self.folder / f"{name}.log"
        with open(log, "wb") as out:
            popen = subprocess.Popen(
                [sys.executable, "-m", *words],
                stdout=out,
                stderr=out,
                env={**os.environ, **more},
                preexec_fn=lambda: os.sched_setaffinity(0, self.cores),
            )
        self.processes.append(Process(name, role, popen, log))
        return self.processes[-1]

    def boot(self, name: str, host: str, zone: str, serves: str) -> str:
        control = serves == "supervisor"
        if control:
            (self.folder / name).mkdir()
        fields = {
            "node": name,
            "function": "scale",
            "machineClass": "edge",
            "serves": serves,
            "ip": host,
            "zone": zone,
            "region": f"region-{int(zone[-1]) // 2}",
            "portRange": f"{FRAMES},{FRAMES + 15}",
            "initialPeers": ",".join(f"{one}:{CONTROL}" for one, _ in self.controls[:3]),
            "initialCondition": "true",
            "lossCounted": str(control).lower(),
            "pulseMs": str(PULSE * 1000),
            "saturations.cpuFraction": "1.0",
            "saturations.cores": "1",
            "saturations.memoryMb": "512",
            "saturations.descriptors": "4100",
            "saturations.bandwidthMbps": "1000",
            "saturations.storageMb": "64",
            "margins": "contactMs=3000,setpointMs=15000",
            **{f"zones.{each}": f"region-{int(each[-1]) // 2}" for each in self.zones},
        }
        if control:
            fields |= {"stateDir": str(self.folder / name), "inlets.control": f"{host}:{CONTROL}"}
        else:
            fields |= {"inlets.front": f"{host}:{FRONT}", "inlets.readiness": f"{host}:{READINESS}"}
        path = self.folder / f"{name}.boot"
        path.write_text("".join(f"{key}={value}\n" for key, value in fields.items()))
        return str(path)

    def start_all(self) -> None:
        for n, (host, zone) in enumerate(self.controls):
            path = self.boot(f"control-{n}", host, zone, "supervisor")
            self.start(f"control-{n}", "control", ["finchshelf.controlplane"], FINCHSHELF_BOOT=path)
        for n in range(REAL):
            path = self.boot(f"real-{n}", f"{self.net}.2.{n + 1}", self.zones[n % ZONES], "edge")
            self.start(f"real-{n}", "data", ["finchshelf.dataplane"], FINCHSHELF_BOOT=path)
        self.hollow("limiters", self.site.limiters - REAL)

    def hollow(self, kind: str, count: int) -> None:
        given = {
            "net": self.net,
            "zones": self.zones,
            "services": self.site.services,
            "pulse": PULSE,
            "ramp": self.ramp,
            "seconds": BOUND,
            "controls": [(f"{host}:{FRAMES}", zone) for host, zone in self.controls],
            "calls": [f"{host}:{CONTROL}" for host, _ in self.controls],
        }
        for n in range(WORKERS):
            first, after = count * n // WORKERS, count * (n + 1) // WORKERS
            part = orjson.dumps({**given, "first": first, "count": after - first}).decode()
            self.start(f"{kind}-{n}", kind, ["benchmarks.scale_hollow", kind, part])

    def end(self) -> None:
        """Each process that this started, by its id."""
        for number, seconds in ((signal.SIGTERM, 8.0), (signal.SIGKILL, 5.0)):
            for one in self.processes:
                if one.popen.poll() is None:
                    one.popen.send_signal(number)
            until = time.monotonic() + seconds
            for one in self.processes:
                with suppress(subprocess.TimeoutExpired):
                    one.popen.wait(max(0.01, until - time.monotonic()))

    def of(self, role: str) -> list[Process]:
        return [one for one in self.processes if one.role == role]


# ---- the operator ----


async def replace(fleet: Fleet, version: int, limit: float, part: float = 1.0) -> tuple[float, int]:
    """s until it was acknowledged (inf if it never was) and calls made."""
    body = orjson.dumps(document(fleet.configuration, version, version - 1, part))
    began, calls = time.monotonic(), 0
    with trio.move_on_after(limit):
        while True:
            to = Address(fleet.controls[calls % CONTROLS][0], CONTROL)
            calls += 1
            status = 0
            with trio.move_on_after(1.0 + 0.003 * fleet.configuration.routes), suppress(OSError, ValueError):
                stream = await net.connect(to)
                try:
                    status, _ = await posted(stream, to, "setpoint.replace", body)
                finally:
                    stream.close()
            if status == 200:
                return time.monotonic() - began, calls
            if status in (400, 412):
                raise RuntimeError(f"refused: {status}")
            await trio.sleep(0.2)
    return float("inf"), calls


def arrived(fleet: Fleet, version: int, began: float) -> list[float]:
    """s until each limiter had it, hollow ones by their news and real ones by their log."""
    found = [
        line["at"] - began
        for one in fleet.of("limiters")
        for line in one.lines()
        if line.get("kind") == "version" and line["version"] == version
    ]
    ahead = time.time() - time.monotonic()
    found += [
        line["at"] - ahead - began
        for one in fleet.of("data")
        for line in one.lines()
        if line.get("event") == "configuration" and line["version"] == version
    ]
    return sorted(found)


async def in_force(fleet: Fleet, version: int, began: float, limit: float) -> list[float]:
    seen: list[float] = []
    with trio.move_on_after(limit):
        while len(seen := arrived(fleet, version, began)) < fleet.site.limiters:
            await trio.sleep(0.5)
    return seen


# ---- a span ----


def state(fleet: Fleet) -> dict[str, tuple[float, float]]:
    return {one.name: (one.spent(), one.waited()) for one in fleet.processes}


def over(fleet: Fleet, role: str, since: float, until: float) -> tuple[dict[str, float], list[float]]:
    """What hollow ones counted between two moments, and their latencies."""
    total: dict[str, float] = {}
    late: list[float] = []
    for one in fleet.of(role):
        for line in one.lines():
            if line.get("kind") == "second" and since < line["at"] <= until:
                late += line.pop("late")
                for name, value in line.items():
                    if name not in ("kind", "at"):
                        total[name] = total.get(name, 0) + value
    return total, sorted(late)


def of_all(values: list[float], part: float) -> float:
    return values[min(len(values) - 1, int(part * len(values)))] if values else float("nan")


async def span(fleet: Fleet, found: Found, name: str, seconds: float) -> None:
    """A calm span: what each spends a second."""
    before, began = state(fleet), time.monotonic()
    await trio.sleep(seconds)
    note(fleet, found, name, before, began)


def note(fleet: Fleet, found: Found, name: str, before: dict[str, tuple[float, float]], began: float) -> None:
    after, until = state(fleet), time.monotonic()
    took = until - began

    def cores(role: str, which: int = 0) -> list[float]:
        return [
            (after[one.name][which] - before.get(one.name, (0.0, 0.0))[which]) / took
            for one in fleet.of(role)
            if one.name in after
        ]

    asked, _ = over(fleet, "limiters", began, until)
    beats, late = over(fleet, "servers", began, until)
    hollow = fleet.site.limiters - REAL
    found.figures |= {
        f"{name}: a limiter, bytes/s": (asked.get("bytes in", 0) + asked.get("bytes out", 0)) / hollow / took,
        f"{name}: a limiter, questions answered/s": asked.get("answers", 0) / hollow / took,
        f"{name}: questions not answered or shed, in all": asked.get("unanswered", 0) + asked.get("busy", 0),
        f"{name}: a real limiter, % of a core": 100 * sum(cores("data")) / REAL,
        f"{name}: a control plane, % of a core": 100 * sum(cores("control")) / CONTROLS,
        f"{name}: the busiest, % of a core": 100 * max(cores("control")),
        f"{name}: a control plane waited for a core, % of the time": 100
        * sum(cores("control", 1))
        / CONTROLS,
        f"{name}: the busiest hollow process, % of a core": 100 * max(cores("limiters") + cores("servers")),
        f"{name}: a hollow process waited for a core at most, % of the time": 100
        * max(cores("limiters", 1) + cores("servers", 1)),
        f"{name}: cores that all of them used": sum(
            sum(cores(role)) for role in ("control", "data", "limiters", "servers")
        ),
        f"{name}: beats/s": beats.get("beats", 0) / took,
        f"{name}: beats not acknowledged, %": 100
        * beats.get("beats not acknowledged", 0)
        / max(1, beats.get("beats", 0)),
        f"{name}: acknowledged, median ms": 1e3 * of_all(late, 0.5),
        f"{name}: acknowledged, 99 in 100 ms": 1e3 * of_all(late, 0.99),
    }


async def run(fleet: Fleet, calm: float, changes: int) -> Found:
    found = Found(fleet.site)
    with ExitStack() as stack:
        stack.callback(fleet.end)
        fleet.start_all()
        with trio.move_on_after(BOUND - 15) as scope:
            await trio.sleep(8.0)
            await day(fleet, found, calm, changes)
        if scope.cancelled_caught:
            found.notes.append(f"cut off after {BOUND - 15:.0f} s")
        for role in ("control", "data"):
            alive = [one for one in fleet.of(role) if one.popen.poll() is None]
            found.figures[f"{role} planes alive"] = len(alive)
            found.figures[f"a {role} plane, MB resident"] = max(one.resident() for one in alive)
            found.figures[f"a {role} plane, MB at most"] = max(one.resident(True) for one in alive)
        lines = [line for one in fleet.of("control") + fleet.of("data") for line in one.lines()]
        errors = [line for line in lines if line.get("event") in FAULTS]
        if errors:
            found.notes.append(f"{len(errors)} errors, the first: {errors[0]}")
        shed = [line for line in lines if line.get("event") == "calls.shed"]
        if shed:
            found.notes.append(f"{len(shed)} lines of calls shed")
    return found


async def day(fleet: Fleet, found: Found, calm: float, changes: int) -> None:
    began = time.monotonic()
    first, (took, calls) = 1, await replace(fleet, 1, FIRST)
    found.figures |= {"first configuration acknowledged after, s": took, "calls until then": calls}
    if took == float("inf"):
        found.notes.append(f"the first configuration was not acknowledged in {FIRST:.0f} s")
        for first in range(1, STEPS + 1):
            began = time.monotonic()
            took, calls = await replace(fleet, first, EACH, first / STEPS)
            if took == float("inf"):
                break
            found.figures[f"part {first} of {STEPS} acknowledged after, s"] = took
    if took == float("inf"):
        found.notes.append("nor was it in parts: changes are not measured")
    else:
        seen = await in_force(fleet, first, began, EACH)
        found.figures["in force at (limiters)"] = len(seen)
        found.figures["the last has it, s"] = seen[-1] if seen else took
    fleet.hollow("servers", fleet.site.servers)  # the first configuration comes before them
    await trio.sleep(fleet.ramp + SETTLE)
    await span(fleet, found, "calm", calm)
    acknowledged, last, lacking, most_calls = list[float](), list[float](), 0, 0
    before, began = state(fleet), time.monotonic()
    for version in range(first + 1, first + changes + 1) if took < float("inf") else ():
        at = time.monotonic()
        took, calls = await replace(fleet, version, EACH)
        most_calls = max(most_calls, calls)
        if took == float("inf"):
            found.notes.append(f"change {version} was not acknowledged in {EACH:.0f} s")
            break
        acknowledged.append(took)
        seen = await in_force(fleet, version, at, EACH)
        lacking += fleet.site.limiters - len(seen)
        last += seen[-1:]
        found.figures[f"change {version - first}: half of the limiters have it, s"] = of_all(seen, 0.5)
        found.figures[f"change {version - first}: the last has it, s"] = seen[-1] if seen else float("nan")
        await trio.sleep(2.0)
    if acknowledged:
        note(fleet, found, "changes", before, began)
        found.figures |= {
            "changes acknowledged after at most, s": max(acknowledged),
            "calls for one change at most": most_calls,
            "changes in force everywhere after at most, s": max(last),
            "limiters that lacked one": lacking,
            "seconds of that span": time.monotonic() - began,
        }


def idle(count: int) -> set[int]:
    """The cores that did least in the last second, of those that this process may use."""

    def busy() -> dict[int, int]:
        with open("/proc/stat") as file:
            rows = [line.split() for line in file if line.startswith("cpu") and line[3] != " "]
        return {int(one[0][3:]): sum(map(int, one[1:4])) for one in rows}

    before = busy()
    time.sleep(1.0)
    after = busy()
    return set(sorted(os.sched_getaffinity(0), key=lambda core: after[core] - before[core])[:count])


def main() -> None:
    raw = argparse.RawDescriptionHelpFormatter
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=raw)
    parser.add_argument("--sizes", default="50,150,560", help="limiters; all else in proportion")
    parser.add_argument("--cores", type=int, default=0, help="that all are bound to; 0: they are not bound")
    parser.add_argument("--calm", type=float, default=20.0, help="s of the calm span")
    parser.add_argument("--changes", type=int, default=3)
    parser.add_argument("--ramp", type=float, default=PULSE, help="s over which the servers start")
    parser.add_argument(
        "--configuration",
        type=int,
        default=0,
        help="limiters of the site whose routes and tenants there are; 0: its own",
    )
    given = parser.parse_args()
    all_of = []
    for size in map(int, given.sizes.split(",")):
        began = time.monotonic()
        with TemporaryDirectory() as folder:
            fleet = Fleet(
                Site(size),
                Path(folder),
                idle(given.cores or 1 << 16),
                Site(given.configuration or size),
                given.ramp,
            )
            all_of.append(trio.run(run, fleet, given.calm, given.changes))
        print(f"{size} limiters: {time.monotonic() - began:.0f} s", file=sys.stderr)
    print(f"bound to {given.cores or 'no'} cores; load of the machine {os.getloadavg()}\n")
    print(f"| limiters | {' | '.join(str(one.site.limiters) for one in all_of)} |")
    print("|" + " --- |" * (len(all_of) + 1))
    for name in dict.fromkeys(name for one in all_of for name in one.figures):
        cells = [shown(one.figures[name]) if name in one.figures else "-" for one in all_of]
        print(f"| {name} | {' | '.join(cells)} |")
    for one in all_of:
        for text in one.notes:
            print(f"\n{one.site.limiters}: {text}")


if __name__ == "__main__":
    main()
