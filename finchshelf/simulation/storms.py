"""Days on which one harm follows another by chance.

Owns how often which harm comes and what may come together. It must never do more at once than a deployment
says may be lost: one machine of the core, and one disk until all have heard of it.
"""

from __future__ import annotations

import signal
from collections.abc import Awaitable, Callable

import trio

from finchshelf.simulation.fleet import World

HOT = {"plain": (0.0, 0.0), "hot": (20.0, 20.0)}
LENGTH = 25.0  # s of harm
CALM = 12.0  # s after it
Harm = Callable[[World], Awaitable[None]]


def some(world: World) -> str:
    return world.random.choice(world.edges)


async def kill(world: World) -> None:
    world.kill(some(world), world.random.choice(["", "data", "control"]), world.random.uniform(0.1, 2.0))


async def herd(world: World) -> None:
    for host in world.edges:
        world.kill(host, after=world.random.uniform(0.1, 0.9))
    await trio.sleep(2.0)


async def planned(world: World) -> None:
    world.terminate(some(world), "data")


async def signalled(world: World) -> None:
    for one in world.processes:
        one.say(signal.SIGHUP)


async def dark(world: World) -> None:
    await world.power_off(some(world), back=world.random.uniform(0.2, 5.0))


async def all_dark(world: World) -> None:
    await world.power_off(*world.edges, back=world.random.uniform(0.2, 1.0))
    await trio.sleep(2.0)


async def wipe(world: World) -> None:
    await world.power_off(world.random.choice(world.core), back=world.random.uniform(0.2, 4.0), wipe=True)
    await trio.sleep(5.0)


async def exchange(world: World) -> None:
    """A machine of the core is taken away, an empty one comes."""
    old = world.network.machines[world.random.choice(world.core)]
    world.remove(old.host)
    await trio.sleep(world.random.uniform(0.0, 3.0))
    world.named += 1
    world.bring(f"{old.host.rpartition('.')[0]}.{world.named + 100}", old.zone)
    await trio.sleep(6.0)


async def zone_cut(world: World) -> None:
    zone = world.random.choice(world.zones)
    others = [one for one in world.zones if one != zone]
    heal = world.cut(world.around(zone), world.around(*others), both=world.random.random() < 0.6)
    await trio.sleep(world.random.uniform(0.5, 6.0))
    heal()


async def machine_cut(world: World) -> None:
    host = some(world)
    others = [one for one in world.network.machines if one != host]
    heal = world.cut([host], others, both=world.random.random() < 0.5)
    await trio.sleep(world.random.uniform(0.5, 6.0))
    heal()


async def frozen(world: World) -> None:
    await world.freeze(some(world), world.random.uniform(0.2, 4.0))


async def resets(world: World) -> None:
    host = some(world)
    mark = world.marks(host)
    for other in world.network.machines.values():
        world.network.reset(world.network.machines[host], other)
    world.judge.over(mark)


async def lossy(world: World) -> None:
    mark = world.judge.trouble(*world.edges)
    world.network.loss = world.random.uniform(0.02, 0.4)
    await trio.sleep(4.0)
    world.network.loss = 0.0
    world.judge.over(mark)


async def disk(world: World) -> None:
    process = world.random.choice(world.of("control"))
    assert process.disk is not None
    mark = world.marks(process.machine.host)
    process.disk.mode = world.random.choice(["full", "slow", "hang"])
    await trio.sleep(world.random.uniform(0.5, 4.0))
    process.disk.mode = "well"
    world.judge.over(mark)


async def crash(world: World) -> None:
    """A server ends unseen; its address may be another service's after `reuseDelayS`, and another comes."""
    servers = world.at("alpha") + world.at("beta")
    server = world.random.choice(servers)
    if world.random.random() < 0.5:
        server.life.die()
        await trio.sleep(2.0)
        world.serve(
            world.random.choice(["alpha", "beta"]),
            server.machine.zone,
            server.machine.host,
            server.address.port,
        )
    else:
        server.life.machine.power = False
        server.life.die(dark=True)
    world.named += 1
    fresh = f"{server.machine.host.rpartition('.')[0]}.{world.named + 50}"
    world.serve(server.service, server.machine.zone, fresh)


async def leave(world: World) -> None:
    """A server leaves in order after another has come."""
    server = world.random.choice(world.at("alpha") + world.at("beta"))
    if server.mode == "stable":
        world.serve(server.service, server.machine.zone, server.machine.host, server.address.port + 1)
        await trio.sleep(0.5)
        await server.leave()


async def trouble(world: World) -> None:
    for server in world.random.sample(world.at("alpha"), 2):
        server.lose, server.extra = world.random.choice([(3, 0), (0, 3), (1, 2)])
        server.on_full, server.queue = world.random.choice(["503", "reset", "hang"]), 1


async def change(world: World) -> None:
    """Two operators now and then, on top of what each last heard; routes move, keys come and go."""
    newest = max(one.number for one in world.judge.versions)
    current = await world.observe(limit=2.0)
    if current is None:
        return
    prior = int(current["setpointSeq"], 16)

    async def send(number: int) -> None:
        routes = {
            "read": ("/read/", "nullipotent", world.random.choice(["alpha", "beta"])),
            "write": ("/write/", "mutating", world.random.choice(["alpha", "beta"])),
        }
        if world.random.random() < 0.5:
            routes["other"] = ("/other/", "nullipotent", "beta")
        keys = {"plain": ["key-plain", *(["key-old"] if world.random.random() < 0.5 else [])]}
        await world.replace(world.configuration(number, prior, routes=routes, keys=keys), limit=6.0)

    async with trio.open_nursery() as nursery:
        nursery.start_soon(send, newest + 1)
        if world.random.random() < 0.4:
            nursery.start_soon(send, newest + 2)


CORE_HARM: list[Harm] = [
    kill,
    kill,
    herd,
    dark,
    all_dark,
    wipe,
    exchange,
    zone_cut,
    machine_cut,
    frozen,
    resets,
    disk,
    signalled,
]
OTHER_HARM: list[Harm] = [planned, lossy, crash, leave, trouble, change, change, change]


async def storm(world: World) -> None:
    async def one_after_another(harm: list[Harm], pause: float) -> None:
        while True:
            await trio.sleep(world.random.expovariate(1 / pause))
            await world.random.choice(harm)(world)

    for path, key, rate in [
        ("/read/", "key-plain", 14.0),
        ("/write/", "key-plain", 10.0),
        ("/other/", "key-plain", 3.0),
        ("/read/", "key-old", 3.0),
        ("/write/", "key-hot", 40.0),
    ]:
        world.nursery.start_soon(world.traffic, rate, LENGTH + CALM, path, key)
    with trio.move_on_after(LENGTH):
        async with trio.open_nursery() as nursery:
            nursery.start_soon(one_after_another, CORE_HARM, 2.5)
            nursery.start_soon(one_after_another, OTHER_HARM, 2.5)
    world.mend()
    await trio.sleep(CALM)
