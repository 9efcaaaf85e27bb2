"""Servers and operators that call real control planes byte by byte: cut, doubled, late, unheard, in a row.

Owns when calls are sent, what comes of their bytes, and the record of what was acknowledged. It must never
count an answer that was not read whole as an acknowledgement. What the control planes make of the calls is
theirs: they are only asked what they know (`show`).
"""

from __future__ import annotations

from collections import Counter as Tally
from contextlib import suppress
from random import Random
from typing import Any

import orjson
import trio

from finchshelf.cli import show
from finchshelf.membership.records import DECAYING, GONE, STABLE
from finchshelf.simulation.callers import ELSEWHERE, PAD, Call, Life, padded
from finchshelf.simulation.crossing import Grain
from finchshelf.simulation.documents import HOST
from finchshelf.simulation.fleet import PORTS, World, play
from finchshelf.simulation.network import End, now
from finchshelf.simulation.wire import Message, Unfit, Wire
from finchshelf.transport import net
from finchshelf.transport.address import Address
from finchshelf.transport.frames import PeerError

SETTLING = 2.5  # s


class Day:
    def __init__(self, world: World, seed: int) -> None:
        self.world, self.random = world, Random(f"calls {seed}")
        self.lives: list[Life] = []
        self.orders: dict[int, Call] = {}
        self.broken: list[str] = []
        self.seen: Tally[str] = Tally()
        self.number = 0
        self.over = False

    def fault(self, rule: str, why: str) -> None:
        self.broken.append(f"{rule}: at {now():.3f}: {why}")

    # ---- one connection ----

    def anywhere(self) -> Address:
        return self.random.choice(self.world.supervisors())

    async def converse(self, address: Address, calls: list[Call], *, heard: bool = True) -> list[int]:
        """Calls behind one another on one connection; the statuses of the answers read, each checked against
        the call due. `heard`: False where the caller goes as soon as all is written, or resets."""
        random, told = self.random, list[int]()
        data = b"".join(one.text(random) for one in calls)
        with suppress(OSError, trio.ClosedResourceError, trio.TooSlowError):
            with trio.fail_after(1.5):
                stream = await net.connect(address)
            try:
                with trio.fail_after(3.0):
                    async with trio.open_nursery() as nursery:
                        nursery.start_soon(self.write, stream, data)
                        if heard:
                            await self.read(stream, calls, told)
                if not heard:
                    self.seen["unheard"] += 1
                    await trio.sleep(random.choice((0.0, 0.002, 0.1)))
                    if random.random() < 0.5 and isinstance(stream, End):
                        stream.reset()
            finally:
                stream.close()
        return told

    async def write(self, stream: net.Stream, data: bytes) -> None:
        with suppress(OSError, trio.ClosedResourceError):
            at = self.random.randrange(len(data)) if self.random.random() < 0.3 else 0
            if at:
                await stream.send(data[:at])
                await trio.sleep(self.random.choice((0.001, 0.05, 0.6)))
            await stream.send(data[at:])

    async def read(self, stream: net.Stream, calls: list[Call], told: list[int]) -> None:
        wire = Wire(server=False)
        try:
            for one in calls:
                while (found := wire.next()) is None:
                    wire.take(await stream.receive())
                told.append(int(found.first))
                self.check(one, found)
                if found.last:
                    return
        except Unfit as error:
            if not wire.ended:
                self.fault("MIXED", f"what is no answer: {error}")
            return
        except (OSError, trio.ClosedResourceError):
            return
        if wire.came:
            self.fault("MIXED", f"behind the last answer: {bytes(wire.came[:80])!r}")

    def check(self, one: Call, found: Message) -> None:
        status = int(found.first)
        one.told.append(status)
        self.seen[f"answer {status}"] += 1
        right = status in one.statuses
        if right and status == 307:
            right = found.headers.get("location", "").endswith(one.target)
        elif right and status < 300:
            with suppress(ValueError):
                right = one.fits(found)
        if not right:
            self.fault("MIXED", f"{one.method} {one.target} got {status} {found.headers} {found.body[:80]!r}")

    async def unwhole(self, one: Call) -> None:
        """All of a call but its last bytes: then an end, a reset, or silence for good."""
        text = one.text(self.random)
        least = text.index(b"\r\n\r\n") + 4
        at = self.random.choice(
            (
                len(text) - 1,
                len(text) - 2,
                self.random.randrange(least, len(text)),
                self.random.randrange(len(text)),
            )
        )
        # A call that came whole stands before it, so that the connection is one in use.
        first = self.odd().text(self.random) if self.random.random() < 0.5 else b""
        self.seen["unwhole"] += 1
        with suppress(OSError, trio.ClosedResourceError):
            with trio.move_on_after(8.0):
                stream = await net.connect(self.anywhere())
                try:
                    await stream.send(first + text[:at])
                    await trio.sleep(self.random.choice((0.0, 0.01, 0.3)))
                    what = self.random.random()
                    if what < 0.3 and isinstance(stream, End):
                        stream.reset()
                    elif what < 0.6:
                        stream.end_sending()
                    elif what < 0.8:
                        return
                    while await stream.receive():
                        pass
                finally:
                    stream.close()

    # ---- who calls ----

    def odd(self) -> Call:
        """A call whose answer is like no other's."""
        self.number += 1
        return self.random.choice(
            (
                lambda: Call(f"/v1/rpc?call=no.such{self.number}", b"{}  ", (404,)),
                lambda: Call(f"/v1/rpc?call=servers.pulse&of=odd{self.number}", b"[]  ", (400, 503)),
                lambda: Call(
                    "/v1/rpc?call=setpoint.observe",
                    b"{}  ",
                    (200, *ELSEWHERE),
                    lambda found: "elements" in orjson.loads(found.body),
                ),
                lambda: Call(
                    f"/v1/rpc?call=servers.pulse&of=odd{self.number}", b"{}  ", (405,), method="PUT"
                ),
            )
        )()

    async def acknowledged(self, one: Call) -> bool:
        """One call, to one control plane after another, with others' before and behind it; doubled, unheard
        and late copies of it besides."""
        random = self.random
        for _ in range(8):
            calls = [self.odd() for _ in range(random.choice((0, 0, 1, 2)))]
            at = len(calls)
            calls += [one] * random.choice((1, 1, 2)) + [self.odd() for _ in range(random.choice((0, 0, 1)))]
            told = await self.converse(self.anywhere(), calls, heard=random.random() < 0.85)
            self.later(one)
            status = told[at] if len(told) > at else 0
            if status in (200, 400, 412) or self.over:
                return status == 200
            await trio.sleep(random.choice((0.0, 0.05, 0.3)))
        return False

    def later(self, one: Call) -> None:
        if self.random.random() < 0.4:
            wait = self.random.choice((0.01, 0.5, 2.0, 5.0, 7.0))
            self.world.nursery.start_soon(self.late, one, wait)

    async def late(self, one: Call, wait: float) -> None:
        await trio.sleep(wait)
        if not self.over:
            self.seen["late"] += 1
            await self.converse(self.anywhere(), [one], heard=self.random.random() < 0.7)

    async def live(self, address: str) -> None:
        """Lives at one address, one after the other, of changing services; the last stays."""
        random = self.random
        for turn in range(3):
            self.number += 1
            life = Life(
                f"life-{self.number}",
                address,
                random.choice(("alpha", "beta")),
                random.choice(self.world.zones),
            )
            self.lives.append(life)
            until = now() + random.uniform(0.5, 4.0) if turn < 2 else float("inf")
            while now() < until and not self.over:
                await self.acknowledged(life.beat())
                silent = random.random() < 0.1 and until < float("inf")
                await trio.sleep(8.0 if silent else random.uniform(0.5, 1.2))
            if self.over:
                return
            life.mode = DECAYING
            for _ in range(random.randint(1, 3)):
                if await self.acknowledged(life.beat()):
                    life.drained = min(life.drained, now())
                await trio.sleep(random.choice((0.1, 1.0, 7.0)))
            if random.random() < 0.8 and await self.acknowledged(life.departure()):
                life.departed = now()
            life.ended = True
            await trio.sleep(random.choice((0.0, 2.0)))

    async def cutting(self) -> None:
        """Calls that never come whole, of lives that never were and of those that are here."""
        random = self.random
        while not self.over:
            self.number += 1
            life = Life(f"cut-{self.number}", "10.7.7.7:1", "alpha", self.world.zones[0])
            here = [one for one in self.lives if not one.ended and one.mode == STABLE]
            calls = [life.beat(), self.order(9000 + self.number, "cut", large=random.random() < 0.5)]
            if here:
                calls.append(random.choice(here).departure())
            self.world.nursery.start_soon(self.unwhole, random.choice(calls))
            await trio.sleep(random.choice((0.05, 0.2, 0.5)))

    def order(self, number: int, label: str, prior: int | None = None, large: bool = False) -> Call:
        prior = max(self.orders, default=1) if prior is None else prior
        element = {
            "elementKind": "trajectories",
            "header": {"label": f"{label}-{number}"},
            "reference": {
                "plant": HOST,
                "pathPrefix": f"/{label}{number}/",
                "variant": "mutating",
                "cutoffMs": 1500,
                "targetMs": 400,
                "precedence": 1,
                "subsystem": "alpha",
                "trials": 2,
                "unguarded": False,
            },
        }
        return Call(
            "/v1/rpc?call=setpoint.adjust",
            padded(
                {
                    "setpointSeq": f"{number:08x}",
                    "priorVersion": f"{prior:08x}",
                    "apply": {"elements": [element]},
                    "remove": {},
                },
                90_000 if large else PAD,
            ),
            (200, 412, *ELSEWHERE),
            lambda found: orjson.loads(found.body) == {"setpointSeq": f"{number:08x}"},
        )

    async def operate(self) -> None:
        """One order on top of the other, each sent until it is acknowledged."""
        while not self.over:
            number = max(self.orders, default=1) + 1
            one = self.order(number, "order", large=self.random.random() < 0.3)
            while not self.over and not await self.acknowledged(one):
                await trio.sleep(0.1)
            if 200 in one.told:
                self.orders[number] = one
            await trio.sleep(self.random.choice((0.2, 1.0)))

    async def harm(self) -> None:
        random, world = self.random, self.world
        while True:
            await trio.sleep(random.uniform(0.5, 2.5))
            host = random.choice(world.core)
            what = random.choice(("kill", "freeze", "cut", "reset"))
            self.seen[what] += 1
            if what == "kill":
                world.kill(host, "control")
                await trio.sleep(2.0)
            elif what == "freeze":
                await world.freeze(host, random.choice((0.3, 2.0)))
            elif what == "reset":
                machines = world.network.machines
                for other in [*world.core, "10.9.9.9"]:
                    world.network.reset(machines[host], machines[other])
            else:
                heal = world.cut([host], [one for one in world.core if one != host])
                await trio.sleep(random.choice((1.0, 4.0)))
                heal()
                await trio.sleep(1.0)

    # ---- what they know ----

    async def known(self, host: str) -> dict[str, list[Any]] | None:
        with suppress(PeerError):
            seen = await show.ask(Address(host, PORTS[0]), {"op": "show"})
            return {row[0]: row for row in seen["servers"]} if seen["joined"] else None
        return None

    async def look(self) -> None:
        """Danger: a drain that is undone for a while and comes back would be missed at the day's end."""
        while True:
            await trio.sleep(0.3)
            before = now()
            rows = await self.known(self.random.choice(self.world.core))
            if rows is not None:
                self.judge(rows, before - SETTLING)

    def judge(self, rows: dict[str, list[Any]], by: float) -> None:
        """`by`: what was acknowledged until then is known."""
        for one in self.lives:
            mode = rows[one.name][6] if one.name in rows else GONE
            if min(one.drained, one.departed) <= by and mode == STABLE:
                self.fault("DRAIN", f"{one.name} is stable again, drained at {one.drained}")
            if one.departed <= by and mode != GONE:
                self.fault("DRAIN", f"{one.name} is {mode}, departed at {one.departed}")
        for name in rows:
            if name.startswith(("cut-", "odd")):
                self.fault("CUT", f"{name} is known by a call that never came whole")

    async def run(self, seconds: float) -> None:
        world = self.world
        with world.being(world.operator.life):
            async with trio.open_nursery() as nursery:
                for task in (self.operate, self.cutting, self.harm, self.look):
                    nursery.start_soon(task)
                for n in range(4):
                    nursery.start_soon(self.live, f"10.8.0.{n}:8080")
                await trio.sleep(seconds)
                nursery.cancel_scope.cancel()
            self.over = True
            world.mend()
            await trio.sleep(4.0)
            here = [one for one in self.lives if not one.ended and one.mode == STABLE]
            for one in here:
                while not await self.acknowledged(one.beat()):
                    await trio.sleep(0.1)
            await trio.sleep(1.0)
            for host in world.core:
                rows = await self.known(host)
                if rows is None:
                    self.fault("FAULT", f"{host} is not back in contact")
                    continue
                self.judge(rows, now() - 1.0)
                for one in here:
                    row = rows.get(one.name, [""] * 10)
                    if [row[1], row[2], row[6], row[7]] != [one.address, one.service, STABLE, False]:
                        self.fault("UNDONE", f"{one.name} is here, and {host} has {row}")
            await self.configuration()

    async def configuration(self) -> None:
        found = await self.world.observe()
        labels = [one["header"].get("label", "") for one in (found or {}).get("elements", ())]
        for number, one in self.orders.items():
            if f"order-{number}" not in labels:
                self.fault("CONFIG", f"{number} was acknowledged and is not in force")
            if 412 in one.told:
                self.fault("CONFIG", f"{number} was acknowledged and refused: {one.told}")
        if any(label.startswith("cut-") for label in labels):
            self.fault("CUT", "an order that never came whole is in force")


class Finely(World):
    """A world whose reads and writes are cut at any byte."""

    def __init__(self, *args: Any, **shape: Any) -> None:
        super().__init__(*args, **shape)
        self.network = Grain(self.network.random, self.network.timeline)
        self.network.fine = 0.2


def called(seed: int, seconds: float = 20.0) -> Day:
    """One day by one seed; what it broke is in `broken`."""
    days: list[Day] = []

    async def story(world: World) -> None:
        days.append(Day(world, seed))
        await days[0].run(seconds)

    world = play(story, seed, make=Finely, limiters=1, servers=1)
    days[0].broken += [one for one in world.judge.verdict() if one.startswith("FAULT")]
    return days[0]
