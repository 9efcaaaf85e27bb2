"""What a start costs: a killed program is started again, and until it is ready its share waits.

Starts the data plane, the control plane and the present node in turn, each play one start of each, on
loopback beside a running system. Owns nothing of the product; ends what it started. Run it:
`python -m benchmarks.start_cost [--plays 7]`.
First table, a program each: seconds from the process's start to its first log line and until it is ready
(a limiter's health question answered 200, a control plane's `setpoint.observe` answered 200), CPU seconds
until then, and MB resident half a second later. Second: seconds that loading a part or library takes, in a
process that has nothing but Python, and in one that has loaded the data plane. Third: microseconds that a
log line takes by the programs' own writer and by python-json-logger. Each cell: median (least to most).
"""

from __future__ import annotations

import argparse
import json
import os
import select
import statistics
import subprocess
import sys
import tempfile
import time
from collections.abc import Callable
from dataclasses import dataclass
from pathlib import Path

import trio

from finchshelf import events
from finchshelf.cli import demo, logs, operator
from finchshelf.cli.stand_ins import Server as Beating
from finchshelf.cli.system import CONTROL, READINESS, System
from finchshelf.transport.address import Address
from finchshelf.transport.telemetry import Telemetry
from tests.stand_ins import Counter, Discovery, Server, config_object, entry, ok

LIMIT = 10.0  # s for one start
LINES = 2000  # log lines of one play
LOOK = 0.002  # s between two looks whether it is ready
IDLE = 0.5  # s after which memory is read
LOADED = (
    "trio",
    "h11",
    "orjson",
    "msgpack",
    "lmdb",
    "finchshelf.dataplane.process",
    "finchshelf.controlplane.process",
    "finchshelf.node.process",
    "click",
    "pythonjsonlogger.json",
    "jsonschema",
)
MEASURE = "import time; a = time.perf_counter(); import {}; print(time.perf_counter() - a)"


@dataclass(frozen=True, slots=True)
class Start:
    line: float
    ready: float
    cpu: float
    memory: float


def play(module: str, env: dict[str, str], ready: Callable[[bytes], bool]) -> Start:
    """One start, ended by its process id once it was measured."""
    began = time.monotonic()
    process = subprocess.Popen(
        [sys.executable, "-O", "-m", module],
        env={**os.environ, **env},
        stdin=subprocess.DEVNULL,
        stdout=subprocess.DEVNULL,
        stderr=subprocess.PIPE,
    )
    try:
        assert process.stderr is not None
        if not select.select([process.stderr], [], [], LIMIT)[0]:
            raise TimeoutError(f"{module}: no line in {LIMIT:g} s")
        first = process.stderr.readline()
        line = time.monotonic() - began
        while not ready(first):
            if time.monotonic() - began > LIMIT or process.poll() is not None:
                raise TimeoutError(f"{module}: not ready in {LIMIT:g} s: {first!r}")
            time.sleep(LOOK)
        took = time.monotonic() - began
        fields = Path(f"/proc/{process.pid}/stat").read_text().rpartition(")")[2].split()
        cpu = (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")
        time.sleep(IDLE)
        status = Path(f"/proc/{process.pid}/status").read_text()
        return Start(line, took, cpu, int(status.partition("VmRSS:")[2].split()[0]) / 1024)
    finally:
        process.kill()
        process.wait()
        if process.stderr is not None:
            process.stderr.close()


def node_ready(first: bytes) -> bool:
    host, _, port = str(json.loads(first).get("listen", "127.0.0.1:1")).rpartition(":")
    return demo.status_of(Address(host, int(port)), "/healthz") == 200


def measure_system(folder: Path, plays: int, node: Callable[[], Start]) -> dict[str, list[Start]]:
    """Each play starts a data plane, a control plane that had a disk already, and a node, in turn."""
    system, servers = System(folder), list[Beating]()
    found: dict[str, list[Start]] = {"data plane": [], "control plane": [], "present node": []}
    try:
        for machine in (1, 2, 3):
            system.start("control-plane", machine, ("-O",))
        controls = system.each(CONTROL)
        body = json.dumps(demo.first_configuration()).encode()
        if operator.call(controls, "setpoint.replace", body, LIMIT).status != 200:
            raise TimeoutError("no configuration was taken")
        servers = [Beating(service, "north", system.ip(10), controls, 0.4) for service in ("pages", "orders")]
        if not all([server.beat() for server in servers]):
            raise TimeoutError("no beat was acknowledged")
        gate, third = system.each(READINESS)[0], controls[2]
        data, control = system.settings("data-plane", 1), system.settings("control-plane", 3, first=False)
        system.kill("control-plane-3")
        for _ in range(plays):
            found["data plane"].append(
                play(
                    "finchshelf.dataplane",
                    {"FINCHSHELF_BOOT": str(data)},
                    lambda _: demo.status_of(gate, "/v1/readiness") == 200,
                )
            )
            found["control plane"].append(
                play(
                    "finchshelf.controlplane",
                    {"FINCHSHELF_BOOT": str(control)},
                    lambda _: operator.once(third, "/v1/rpc?call=setpoint.observe", b"", 1.0)[0] == 200,
                )
            )
            found["present node"].append(node())
    finally:
        for server in servers:
            server.end()
        system.end()
    return found


async def measure(plays: int) -> dict[str, list[Start]]:
    async def plan(_: object) -> bytes | None:
        return ok(b"here")

    async with trio.open_nursery() as nursery:
        server, counter = Server(plan), Counter()
        await server.start(nursery)
        await counter.start(nursery)
        discovery = Discovery([entry("s0", server.address)])
        await discovery.start(nursery)
        with tempfile.TemporaryDirectory(prefix="finchshelf-start-") as name:
            path = Path(name) / "node.json"
            path.write_text(json.dumps(config_object(discovery.address, counter.address, sockets=256)))
            env = {"BALANCER_CONFIG": str(path), "TMPDIR": name}
            found = await trio.to_thread.run_sync(
                measure_system, Path(name), plays, lambda: play("finchshelf", env, node_ready)
            )
        nursery.cancel_scope.cancel()
    return found


def loading(module: str, after: str) -> float:
    """Seconds that a fresh process takes to load it, after another."""
    code = (f"import {after}; " if after else "") + MEASURE.format(module)
    done = subprocess.run(
        [sys.executable, "-O", "-c", code], capture_output=True, text=True, check=True, timeout=LIMIT
    )
    return float(done.stdout)


def lines_cost(plays: int) -> tuple[list[float], list[float]]:
    """Microseconds a line, in pairs: the programs' writer, the command line's."""
    ours, theirs = list[float](), list[float]()
    sink = os.open(os.devnull, os.O_WRONLY)
    telemetry = Telemetry("edge-1", sink, events.NUMBERS)
    logs.begin(os.devnull)
    for _ in range(plays):
        for write, into in ((telemetry.log, ours), (logs.log, theirs)):
            began = time.perf_counter()
            for slot in range(LINES):
                write("core.members", slot=slot, members=["10.0.0.1:7660", "10.0.0.2:7660"])
            into.append((time.perf_counter() - began) / LINES * 1e6)
    logs.begin(None)
    os.close(sink)
    return ours, theirs


def cell(values: list[float], form: str) -> str:
    return f"{statistics.median(values):{form}} ({min(values):{form}} to {max(values):{form}})"


def main() -> None:
    options = argparse.ArgumentParser(description="What a start costs, on loopback.")
    options.add_argument("--plays", type=int, default=7, help="starts of each program (1 to 50)")
    plays = max(1, min(50, options.parse_args().plays))
    found = trio.run(measure, plays)
    print(f"{plays} plays, {os.cpu_count()} processors: median (least to most)")
    print("| program | first line s | ready s | CPU s until ready | MB idle |")
    print("| --- | --- | --- | --- | --- |")
    for name, starts in found.items():
        line, ready = [one.line for one in starts], [one.ready for one in starts]
        cpu, memory = [one.cpu for one in starts], [one.memory for one in starts]
        print(
            f"| {name} | {cell(line, '.3f')} | {cell(ready, '.3f')} | {cell(cpu, '.2f')} | "
            f"{cell(memory, '.1f')} |"
        )
    print("\n| loading | alone s | after the data plane s |\n| --- | --- | --- |")
    for module in LOADED:
        alone = [loading(module, "") for _ in range(plays)]
        after = [loading(module, "finchshelf.dataplane.process") for _ in range(plays)]
        print(f"| `{module}` | {cell(alone, '.3f')} | {cell(after, '.3f')} |")
    print("\n| writer | microseconds a line |\n| --- | --- |")
    ours, theirs = lines_cost(plays)
    print(f"| orjson, as the programs | {cell(ours, '.1f')} |")
    print(f"| python-json-logger | {cell(theirs, '.1f')} |")


if __name__ == "__main__":
    main()
