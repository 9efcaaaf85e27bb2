"""What uploads cost a node: megabytes a second, its CPU and memory, and what requests beside them wait.

Starts a node (`python -m finchshelf`) and stand-ins on loopback, for each number of uploads at once. Owns
nothing of the product. Run it: `python -m benchmarks.uploads [--size MIB] [--at-once 0 1 8]`.
A row: uploads at once, those served, MB/s in all, CPU seconds of the node a GB, peak memory over what it had
before (MB), and the median and 99th percentile of small requests that came 50 a second meanwhile (ms). The
client and the server share one process, which bounds the megabytes a second: it is no figure of the node's.
"""

from __future__ import annotations

import argparse
import os
import tempfile
import time
from pathlib import Path

import trio

from tests.stand_ins import Client, call
from tests.test_node_life import Run, running
from tests.test_node_uploads import Taker, pieces, post, takes_all

PACE = 0.02  # s between two small requests


def memory(run: Run, line: str) -> float:
    """MB, by the kernel's own account."""
    text = Path(f"/proc/{run.process.pid}/status").read_text()
    return int(text.partition(f"{line}:")[2].split()[0]) / 1024


def cpu(run: Run) -> float:
    """Seconds of CPU that the node used so far."""
    fields = Path(f"/proc/{run.process.pid}/stat").read_text().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")


async def upload(run: Run, body: bytes, done: list[int]) -> None:
    client = await run.client()
    await client.send(post(len(body), plan="free"))
    await pieces(client, body, 1 << 18)
    done.append((await client.receive()).status)


async def beside(client: Client, waits: list[float]) -> None:
    while True:
        began = time.monotonic()
        if (await client.ask(call(plan="free"))).status == 200:
            waits.append((time.monotonic() - began) * 1000)
        await trio.sleep(PACE)


async def measure(at_once: int, body: bytes) -> str:
    with tempfile.TemporaryDirectory() as folder:
        limits = {"memory_mb": 64, "sockets": 512}
        async with running(Path(folder), trio.Event(), server=Taker(takes_all), limits=limits) as run:
            waits, done = list[float](), list[int]()
            async with trio.open_nursery() as nursery:
                nursery.start_soon(beside, await run.client(), waits)
                await trio.sleep(0.5)
                waits.clear()
                before, used, began = memory(run, "VmRSS"), cpu(run), time.monotonic()
                async with trio.open_nursery() as uploads:
                    for _ in range(at_once):
                        uploads.start_soon(upload, run, body, done)
                if not at_once:
                    await trio.sleep(3.0)
                took, used, peak = time.monotonic() - began, cpu(run) - used, memory(run, "VmHWM") - before
                nursery.cancel_scope.cancel()
    waits.sort()
    sent = done.count(200) * len(body) / 1e6
    per = used / sent * 1000 if sent else 0.0
    return (
        f"{at_once:8d} {done.count(200):8d} {sent / took:9.1f} {per:9.2f} {peak:9.1f} "
        f"{waits[len(waits) // 2]:9.2f} {waits[len(waits) * 99 // 100]:9.2f}"
    )


def main() -> None:
    options = argparse.ArgumentParser(description="What uploads cost a node, on loopback.")
    options.add_argument("--size", type=int, default=16, help="MiB of a body (32 at the most)")
    options.add_argument("--at-once", type=int, nargs="+", default=[0, 1, 8, 64], help="uploads at once")
    asked = options.parse_args()
    print(f"bodies of {asked.size} MiB\n at once   served      MB/s  CPU s/GB   more MB    median      99th")
    for at_once in asked.at_once:
        print(trio.run(measure, at_once, bytes(asked.size << 20)), flush=True)


if __name__ == "__main__":
    main()
