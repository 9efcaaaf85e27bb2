"""Connections that servers drop while idle, in the in-memory fleet: answers lost and connections opened.

    python -m benchmarks.idle_connections [--seeds 5] [--drop 1.5] [--told 0] [--rate 15]

Owns three ways to be compared on the same days: any age and no renewal (`any`), a new connection for each
request that may run once (`new`), and the one in use (`learnt`). Simulated, 60 s of reads and writes a seed.
"""

from __future__ import annotations

import argparse
import math
from collections import Counter
from contextlib import ExitStack
from typing import Any
from unittest import mock

import trio

from finchshelf.dataplane import idling
from finchshelf.simulation.fleet import World, play

WAYS: dict[str, dict[str, Any]] = {
    "any": {"most": lambda self, service, once: math.inf, "dropped": lambda *_: False},
    "new": {"most": lambda self, service, once: 0.0 if once else math.inf},
    "learnt": {},
}
COUNTED = ("tries.again", "tries.renewed", "servers.opened", "servers.reused")


def measure(way: str, seeds: int, drop: float, told: int, rate: float) -> Counter[str]:
    """Sums over the seeds; `drop`: s after which servers drop, `told`: their Keep-Alive, 0: none."""

    async def day(world: World) -> None:
        for server in world.servers.values():
            server.idle_drop, server.keep_alive = drop, told or None
        world.usual(60.0, rate)
        await trio.sleep(60.0)

    found: Counter[str] = Counter()
    with ExitStack() as stack:
        for name, mutant in WAYS[way].items():
            owner = idling.Idling if name == "most" else idling
            stack.enter_context(mock.patch.object(owner, name, mutant))
        for seed in range(1, seeds + 1):
            world = play(day, seed)
            for one in world.judge.asked.values():
                kind = "once" if one.mutating else "repeatable"
                found[kind] += 1
                found[f"{kind}, lost"] += one.status not in (200, 429, 503)
            found.update({name: world.counted(name) for name in COUNTED})
            found["rules broken"] += len(world.judge.verdict())
    return found


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seeds", type=int, default=5)
    parser.add_argument("--drop", type=float, default=1.5)
    parser.add_argument("--told", type=int, default=0)
    parser.add_argument("--rate", type=float, default=15.0)
    given = parser.parse_args()
    for way in WAYS:
        print(way, dict(sorted(measure(way, given.seeds, given.drop, given.told, given.rate).items())))


if __name__ == "__main__":
    main()
