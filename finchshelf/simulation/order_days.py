"""Days of operators over the real programs: up to eight orders under way, doubled, late, their answers lost.

Owns when copies of an order are sent, to whom, and how long each is waited for. What harms the core meanwhile
is `test_fleet_storms.py`'s. It must never let an order be sent that is not in the record.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from random import Random
from unittest import mock

import orjson
import trio

from finchshelf.agreement import taken
from finchshelf.controlplane import early
from finchshelf.models.order_mutants import lacking
from finchshelf.simulation import storms
from finchshelf.simulation.conversation import Cut, call
from finchshelf.simulation.fleet import World, play
from finchshelf.simulation.judge import Version
from finchshelf.simulation.network import now

HARMS = (storms.kill, storms.machine_cut, storms.frozen, storms.resets, storms.lossy, storms.disk)
UNDER_WAY = 8
REFUSALS = (400, 409, 412, 413, 422)


@dataclass
class Order:
    version: Version
    kind: str
    body: bytes
    told: list[tuple[float, int, str]] = field(default_factory=list)


class Day:
    def __init__(self, world: World, seed: int) -> None:
        self.world, self.random = world, Random(f"orders {seed}")
        self.orders: list[Order] = []

    def order(self, prior: int) -> Order:
        """A whole configuration that no other order has, on that version."""
        number = prior + self.random.randint(1, 2)
        keys = {"plain": ["key-plain", f"key-{len(self.orders)}"]}
        document = self.world.configuration(number, prior, keys=keys)
        version = self.world.operator.note(document, document, True)
        self.orders.append(Order(version, "replace", orjson.dumps(document)))
        return self.orders[-1]

    async def send(self, one: Order, limit: float) -> int:
        """One copy, to any control plane; 0 where no answer was waited for, or none came."""
        address = self.random.choice(self.world.supervisors())
        try:
            reply = await call(address, f"/v1/rpc?call=setpoint.{one.kind}", one.body, limit)
        except Cut:
            return 0
        one.told.append((now(), reply.status, address.host))
        if reply.status == 200:
            one.version.taken = min(one.version.taken, now())
        elif reply.status in REFUSALS:
            one.version.refused = True
        return reply.status

    async def operate(self, one: Order) -> None:
        """Copies at once, and again where there is no clear answer; how long each is waited for is chance."""
        random = self.random
        async with trio.open_nursery() as nursery:
            for _ in range(random.randint(0, 2)):
                nursery.start_soon(self.send, one, random.uniform(0.005, 0.4))
            with trio.move_on_after(random.uniform(0.3, 4.0)):
                while await self.send(one, random.choice((0.02, 0.1, 1.0))) not in (200, *REFUSALS):
                    await trio.sleep(random.uniform(0.0, 0.3))

    def newest(self) -> int:
        return max((one.version.number for one in self.orders if one.version.taken < now() + 1), default=1)

    async def round(self) -> None:
        """Eight orders at the most: on the newest version, on one that another of them makes, on one that is
        past; and late copies of any."""
        random, some = self.random, list[Order]()
        for _ in range(random.randint(1, UNDER_WAY)):
            prior, chance = self.newest(), random.random()
            if some and chance < 0.3:
                prior = random.choice(some).version.number
            elif self.orders and chance < 0.4:
                prior = random.choice(self.orders).version.number
            some.append(self.order(prior))
        async with trio.open_nursery() as nursery:
            for one in some:
                nursery.start_soon(self.operate, one)
            for _ in range(random.randint(0, 2)):
                nursery.start_soon(self.send, random.choice(self.orders), random.uniform(0.01, 1.0))

    async def harm(self) -> None:
        while True:
            await trio.sleep(self.random.expovariate(0.5))
            with trio.move_on_after(6.0):
                await self.random.choice(HARMS)(self.world)

    async def run(self, rounds: int) -> None:
        with self.world.being(self.world.operator.life):
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self.harm)
                for _ in range(rounds):
                    await self.round()
                nursery.cancel_scope.cancel()
            self.world.mend()
            await trio.sleep(8.0)
            for one in self.orders:  # each once more, when all is calm
                if await self.send(one, 1.0) in (0, 503):
                    await self.send(one, 1.0)

    def faults(self) -> list[str]:
        """Orders that were acknowledged and refused, in whatever order."""
        return [
            f"order {one.version.number:08x} on {one.version.prior:08x}: {one.told}"
            for one in self.orders
            if one.version.refused and any(status == 200 for _, status, _ in one.told)
        ]


def played(
    seed: int,
    rounds: int,
    lacks: tuple[str, ...] = (),
    kept: int = taken.KEPT,
    barred: int = taken.BARRED,
    patience: float = early.PATIENCE,
) -> tuple[list[str], dict[str, int]]:
    """What broke on that day, and its figures; `kept`, `barred`: bounds of the memory; `patience`: s for
    which an order whose base is missing is told to come again; with 0 it does not wait for it either."""
    wait = early.WAIT if patience else 0.0
    days: list[Day] = []

    async def story(world: World) -> None:
        days.append(Day(world, seed))
        await days[0].run(rounds)

    with lacking(*lacks, kept=kept, barred=barred), mock.patch.multiple(early, PATIENCE=patience, WAIT=wait):
        world = play(story, seed, limiters=1, servers=1)
    day = days[0]
    told = [status for one in day.orders for _, status, _ in one.told]
    figures = {
        "orders": len(day.orders),
        "taken": sum(one.version.taken < float("inf") for one in day.orders),
        "answers": len(told),
        "unclear": sum(status >= 500 for status in told),
        "again": sum(
            max(0, len([1 for _, status, _ in one.told if status == 200]) - 1) for one in day.orders
        ),
    }
    return [*day.faults(), *world.judge.verdict()], figures
