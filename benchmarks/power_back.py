"""The seconds after a loss of power of all machines, in memory: from the programs' start to ready limiters.

    python -m benchmarks.power_back [--seeds 1-12] [--controls 1]

Days of the real programs in virtual time: all machines lose their power for 0.5 s, and each program comes up
at once, or up to `--spread` s later (drawn, as a machine that starts many of them does). Printed, median and
most in s after the power: control plane up, its value proved; limiter up, configuration, ready (asked each
5 ms); from the moment at which more than half of the control planes and the limiter were up until it was
ready; and the first request served, of those that clients begin each 10 ms or so. Owns the days and what is
printed. It must never take a decision; the time that a program takes to load is not in it (`start_cost`).
"""

from __future__ import annotations

import argparse
import contextlib
import io
from collections import defaultdict
from contextlib import suppress
from random import Random
from statistics import median

import trio

from finchshelf.simulation.conversation import Cut, call
from finchshelf.simulation.fleet import READINESS, World, play
from finchshelf.simulation.network import current, now
from finchshelf.transport.address import Address

DARK = 0.5  # s without power
LOOK = 0.005  # s between two questions to a limiter whether it is ready
Times = dict[str, list[float]]


async def until_ready(world: World, host: str) -> float:
    """When that limiter first says that it is ready."""
    current.set(world.outside(f"10.7{host[2:]}", "out", f"looks at {host}"))
    while True:
        with suppress(Cut):
            if (await call(Address(host, READINESS), "/v1/readiness", b"")).status == 200:
                return now()
        await trio.sleep(LOOK)


def day(seed: int, controls: int, spread: float, gone: int = 0) -> tuple[Times, list[str]]:
    """s after the power came back, by what; and what broke. `gone`: machines that stay dark, the first of the
    core among them."""
    found: Times = defaultdict(list)

    async def story(world: World) -> None:
        random = Random(f"{seed} power")
        await trio.sleep(3.0)
        world.usual(5.0, 100.0)
        await trio.sleep(1.0)
        off = now()
        await world.power_off(*world.edges)
        await trio.sleep(DARK)
        back, ready = now(), dict[str, float]()
        edges = world.edges[gone:]
        for host in edges:
            world.network.machines[host].power = True
        for one in world.processes:
            world.network.timeline.at(back + spread * random.random(), one.wake)

        async def look(host: str) -> None:
            ready[host] = await until_ready(world, host)

        with trio.fail_after(10.0):
            async with trio.open_nursery() as nursery:
                for host in edges:
                    nursery.start_soon(look, host)
        world.mend()
        await trio.sleep(2.0)

        def first(event: str, name: str) -> float:
            return next(line[0] for line in world.told(event, name) if line[0] >= back)

        core = [host for host in world.core if host in edges]
        up = sorted(first("start", f"{host}-control") for host in core)
        half = up[len(world.core) // 2]
        found["control plane up"] += [at - back for at in up]
        for host in core:
            proved = first("core.current", f"{host}-control")
            found["its value proved"].append(proved - back)
            found["proved, after it and half of the core"].append(
                proved - max(half, first("start", f"{host}-control"))
            )
        for host in edges:
            began = first("start", f"{host}-data")
            found["limiter up"].append(began - back)
            found["configuration"].append(first("configuration", f"{host}-data") - back)
            found["ready"].append(ready[host] - back)
            found["ready, after it and half of the core"].append(ready[host] - max(began, half))
        served = [
            one.answered for one in world.judge.asked.values() if one.status == 200 and one.answered > back
        ]
        found["first request served"].append(min(served) - back)
        found["the same, after the loss"].append(min(served) - off)

    with contextlib.redirect_stdout(io.StringIO()):
        world = play(story, seed, controls=controls)
    return found, world.judge.verdict()


def main() -> None:
    raw = argparse.RawDescriptionHelpFormatter
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=raw)
    parser.add_argument("--seeds", default="1-12")
    parser.add_argument("--controls", type=int, default=1, help="of the core, in each of three zones")
    parser.add_argument("--spread", type=float, default=0.0)
    parser.add_argument("--gone", type=int, default=0, help="machines that stay dark (0 or 1)")
    given = parser.parse_args()
    first, _, last = given.seeds.partition("-")
    found: Times = defaultdict(list)
    for seed in range(int(first), int(last or first) + 1):
        times, broken = day(seed, given.controls, given.spread, given.gone)
        if broken:
            print(f"seed {seed}: {broken}")
        for name, some in times.items():
            found[name] += some
    print(
        f"seeds {given.seeds}, {3 * given.controls} control planes, starts spread over {given.spread} s, "
        f"{given.gone} stay dark"
    )
    for name, some in found.items():
        print(f"| {name} | {min(some):.3f} | {median(some):.3f} | {max(some):.3f} |")


if __name__ == "__main__":
    main()
