"""Measures, in the in-memory fleet, the span after a loss in which a further one could stop the core.

Owns what is lost and what is printed. It must never judge: `tests/stories/test_core_losses.py` does.

    python -m benchmarks.repair_span [--seeds 501-505] [--members 3,6,8] [--kinds kill,wipe,...]

Simulated: the real control planes in virtual time. From the loss, and from the moment at which the machine
(or the one in its place) runs again, until as many losses are borne as before it and more than half of the
members have on disk who they are (`tests/stories/world/spans.py`); median / most, and how many never got
there in 15 s.
"""

from __future__ import annotations

import argparse
import math
import signal
from collections.abc import Awaitable, Callable
from itertools import product
from statistics import median

import trio

from finchshelf.agreement.core import majority
from finchshelf.simulation.fleet import World, play
from finchshelf.simulation.network import now
from finchshelf.simulation.spans import margin, until_borne

SHAPES = {3: (3, 1), 6: (3, 2), 8: (4, 2)}  # members: zones, control planes in each
LIMIT = 15.0
Harm = Callable[[World, list[str]], Awaitable[float]]  # when they, or who came, ran again


async def kill(world: World, hosts: list[str]) -> float:
    for host in hosts:
        world.kill(host, "control")
    return now() + 0.5


async def away(world: World, hosts: list[str]) -> float:
    for host in hosts:
        world.kill(host, "control", 8.0)
    return now() + 8.0


async def wipe(world: World, hosts: list[str]) -> float:
    world.nursery.start_soon(lambda: world.power_off(*hosts, back=0.5, wipe=True))
    await trio.sleep(0.001)
    return now() + 0.5


async def replaced(world: World, hosts: list[str]) -> float:
    for host in hosts:
        world.remove(host)
    world.nursery.start_soon(bring_in, world, len(hosts), 0.5)
    return now() + 0.5


async def told(world: World, hosts: list[str]) -> float:
    """SIGTERM; others came three seconds before. From the moment at which they have ended."""
    await bring_in(world, len(hosts), 0.0)
    await trio.sleep(3.0)
    for one in world.processes:
        if one.machine.host in hosts:
            one.wanted = False
            one.say(signal.SIGTERM)
    for host in hosts:
        life = world.process(host, "control").life
        while life is not None and life.alive:
            await trio.sleep(0.01)
    return now()


async def power(world: World, hosts: list[str]) -> float:
    """All machines of the core lose it for a second, and these their disks as well."""
    world.nursery.start_soon(lambda: world.power_off(*hosts, back=1.0, wipe=True))
    others = [one for one in world.core if one not in hosts]
    world.nursery.start_soon(lambda: world.power_off(*others, back=1.0))
    await trio.sleep(0.001)
    return now() + 1.0


KINDS: dict[str, Harm] = {
    "kill": kill,
    "away": away,
    "wipe": wipe,
    "replaced": replaced,
    "told": told,
    "power": power,
}


async def bring_in(world: World, count: int, after: float) -> None:
    await trio.sleep(after)
    for n in range(count):
        world.bring(f"10.{n}.0.9", world.zones[n])


def span(members: int, losses: int, kind: str, seed: int) -> tuple[float, float, bool]:
    """s from the loss, s from when they ran again, and whether the loss was ever felt."""
    zones, each = SHAPES[members]
    found: list[tuple[float, float, bool]] = []

    async def story(world: World) -> None:
        borne = members - majority(members)
        assert await until_borne(world, borne, LIMIT) < LIMIT
        await trio.sleep(3.0 + world.random.random())
        began = now()
        back = await KINDS[kind](world, world.random.sample(world.core[-members:], losses))
        began = now() if kind == "told" else began
        felt = margin(world) < borne
        took = await until_borne(world, borne, LIMIT)
        found.append((took, max(0.0, took - (back - began)) if took < math.inf else took, felt))
        await trio.sleep(max(0.0, back - now()))

    play(story, seed, zones=zones, limiters=each, controls=each, servers=1)
    return found[0]


def of(values: list[float]) -> str:
    whole = [value for value in values if value < math.inf]
    more = f" ({len(values) - len(whole)} never)" if len(whole) < len(values) else ""
    return (f"{median(whole):.2f} / {max(whole):.2f}" if whole else "-") + more


def main() -> None:
    parser = argparse.ArgumentParser()
    parser.add_argument("--seeds", default="501-505")
    parser.add_argument("--members", default="3,6,8")
    parser.add_argument("--kinds", default=",".join(KINDS))
    chosen = parser.parse_args()
    first, last = map(int, chosen.seeds.split("-"))
    print("members | lost | kind | s from the loss | s from running again | felt")
    for members in map(int, chosen.members.split(",")):
        for losses, kind in product(range(1, min(2, (members - 1) // 2) + 1), chosen.kinds.split(",")):
            seen = [span(members, losses, kind, seed) for seed in range(first, last + 1)]
            print(
                members,
                losses,
                kind,
                of([one[0] for one in seen]),
                of([one[1] for one in seen]),
                sum(one[2] for one in seen),
                sep=" | ",
                flush=True,
            )


if __name__ == "__main__":
    main()
