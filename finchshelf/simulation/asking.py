"""Questions about counts and questions in frames, between lives of our processes, in any order.

Owns the harm: datagrams late, doubled, in any order and from others than were asked, lives that restart at
the same address; connections that end with questions out, and bring answers afterwards in numbers of the
next. Each answer tells whose it is. It must never decide what counts as an answer.
"""

from __future__ import annotations

from contextlib import suppress
from random import Random
from types import SimpleNamespace
from typing import Any
from unittest import mock

import msgpack
import trio
from trio._core import _run as trio_run

from finchshelf.configuration.document import Tenant
from finchshelf.dataplane import questions
from finchshelf.dataplane.counting import Counting, Told
from finchshelf.dataplane.questions import Questions
from finchshelf.membership.records import Limiter
from finchshelf.simulation import network as wires
from finchshelf.simulation.crossing import Day, in_memory
from finchshelf.simulation.network import Life, current
from finchshelf.simulation.older import OlderQuestions
from finchshelf.transport import frames
from finchshelf.transport.address import Address
from finchshelf.transport.telemetry import Telemetry

HOSTS = [f"10.0.0.{n}" for n in range(4)]
PORT = 7661
TENANTS = {f"t{n}": Tenant(f"t{n}", (), 1, 100.0, 100.0) for n in range(12)}


class Quiet(Telemetry):
    def log(self, event: str, **fields: Any) -> None:
        pass


class Owner:
    """Lets requests in or refuses them, and looks whether the answer was theirs."""

    def __init__(self, day: Counts, host: str) -> None:
        self.day, self.host, self.telemetry = day, host, Quiet("edge")
        self.clock: Any = SimpleNamespace(now=lambda: day.now)
        self.configuration: Any = SimpleNamespace(tenants=TENANTS)
        self.live: dict[int, Any] = {}
        self.items: list[Told] = []

    def put(self, item: Told) -> None:
        self.items.append(item)

    def timer(self, at: float, kind: str, number: int) -> None:
        pass

    def send(self, request: Any, now: float) -> None:
        pass

    def refuse(self, request: Any, after: float, counted: str) -> None:
        if counted == "refused.quota":
            self.day.refused += 1
            if self.host in self.day.older:
                return
            self.day.mixed += request.holder in self.day.older
            if after != request.wanted:
                self.day.broken.append(f"{request.tenant.label}: {after} in the place of {request.wanted}")


class Asker:
    """One life of a limiter; `told`: what its holder says of a tenant, like no other's word."""

    def __init__(self, day: Counts, host: str, life: int) -> None:
        self.day, self.host, self.owner = day, host, Owner(day, host)
        self.counting = Counting(host, self.owner)
        make = OlderQuestions if host in day.older else Questions
        self.counting.wire = self.wire = make(Address(host, PORT), self, self.owner.telemetry, life)
        self.wire.sock = mock.Mock(sendto=lambda data, to: day.sent(data, (host, PORT), to))
        self.counting.listed({one: Limiter(one, 1, one, "z") for one in HOSTS}, day.now)

    def asked(self, tenant: str, units: float, who: str, state: int, life: int | None) -> tuple[bool, float]:
        return False, word(self.host, tenant)

    def ended(self, who: str, life: int, used: dict[str, float]) -> None:
        self.counting.ended(who, life, used)

    def handed(self, who: str, life: int, totals: dict[str, float]) -> None:
        self.counting.handed(who, life, totals)

    def told(self, number: int, source: tuple[str, int], fits: bool, after: float) -> None:
        self.counting.told(number, source, fits, after)


def word(holder: str, tenant: str) -> float:
    return 1000.0 * HOSTS.index(holder) + int(tenant[1:])


class Counts:
    """A day of datagrams, by its seed."""

    def __init__(self, seed: int, older: int = 0) -> None:
        """`older`: so many limiters run the text before; what it takes for its answers is not judged."""
        self.random, self.now, self.life = Random(seed), 1e6, 0
        self.older, self.mixed = HOSTS[:older], 0
        self.broken: list[str] = []
        self.flying: list[tuple[bytes, tuple[str, int], tuple[str, int]]] = []
        self.refused = self.number = self.stale = self.strange = 0
        with mock.patch.object(questions, "opened"):
            self.nodes = {host: self.begin(host) for host in HOSTS}
            for _ in range(400):
                self.step()
        for node in self.nodes.values():
            self.close(node)

    def begin(self, host: str) -> Asker:
        self.life += 1
        return Asker(self, host, 1_700_000_000_000 + self.life)

    def close(self, node: Asker) -> None:
        self.stale += node.owner.telemetry.count["count.stale"]
        self.strange += node.owner.telemetry.count["count.stranger"]

    def sent(self, data: bytes, source: tuple[str, int], to: tuple[str, int]) -> int:
        self.flying.append((data, source, to))
        return len(data)

    def step(self) -> None:
        random, host = self.random, self.random.choice(HOSTS)
        node, what = self.nodes[host], random.random()
        self.now += 0.001
        if what < 0.4:
            self.number += 1
            tenant = random.choice([*TENANTS.values()])
            request: Any = SimpleNamespace(id=self.number, tenant=tenant)
            request.holder = node.counting.caller.holder(tenant.label)
            request.wanted = word(request.holder, tenant.label)
            node.owner.live[self.number] = request
            node.counting.in_touch = lambda: True
            if node.counting.caller.holder(tenant.label) != host:
                node.counting.begin(request, self.now)
                node.wire.flush()
        elif what < 0.43:  # it ends, and starts at the same address
            self.close(node)
            self.nodes[host] = self.begin(host)
        elif self.flying:
            data, source, to = self.flying[random.randrange(len(self.flying))]
            if random.random() < 0.8:
                self.flying.remove((data, source, to))
            if random.random() < 0.1 and msgpack.unpackb(data)[0] == questions.TELL:
                others = [one for one in HOSTS if one != source[0]]
                source = (random.choice(others), PORT)  # one who wasn't asked says something like it
                kind, *life, rows = msgpack.unpackb(data)
                after = word(source[0], "t11")
                data = msgpack.packb([kind, *life, [[n, fits, after] for n, fits, _ in rows]])
            node = self.nodes[to[0]]
            with suppress(*[ValueError] if to[0] in self.older else []):  # told and left by `run`
                node.wire.read(msgpack.unpackb(data), source)
            for item in node.owner.items:
                node.counting.answered(item, self.now)
            node.owner.items.clear()


class Frames(Day):
    """Questions over one link to peers that end, restart, answer late, twice and what nobody asked."""

    async def run(self, callers: int) -> None:
        network, random = self.network, self.random
        network.fine = 0.3
        here, there = network.machine("10.0.0.1", "zone"), network.machine("10.0.0.2", "zone")
        current.set(Life(network, here, "here"))
        address = Address("10.0.0.2", 7660)
        former: list[frames.Frames] = []

        async def peer(stream: Any) -> None:
            line = frames.Frames(stream)
            former.append(line)

            async def one(number: int, message: dict[str, Any]) -> None:
                await trio.sleep(random.choice((0.0, 0.001, 0.01, 0.3)))
                for _ in range(random.choice((1, 1, 1, 2))):
                    await line.write([number, {"of": message["of"]}])
                if len(former) > 1 and random.random() < 0.3:
                    other = random.choice(former[:-1])
                    await other.write([number + random.randint(-1, 3), {"of": "nobody"}])
                if random.random() < 0.1:
                    stream.reset()

            async def safe(number: int, message: dict[str, Any]) -> None:
                with suppress(OSError, trio.ClosedResourceError):
                    await one(number, message)

            try:
                async with trio.open_nursery() as nursery:
                    while True:
                        number, message = await line.read()
                        nursery.start_soon(safe, number, message)
            except* (OSError, EOFError, ValueError, trio.ClosedResourceError):
                stream.close()

        async def accept(nursery: trio.Nursery) -> None:
            current.set(Life(network, there, "there"))
            listener = await wires.listen(address)
            while True:
                nursery.start_soon(peer, await wires.accept(listener))

        async with trio.open_nursery() as nursery:
            nursery.start_soon(accept, nursery)
            link = frames.Link(address, nursery)
            await trio.sleep(0.01)

            async def ask(number: int) -> None:
                try:
                    answer = await link.ask("ask", {"of": number}, random.choice((0.005, 0.05, 0.5)))
                    self.record.seen["answered"] += 1
                    if answer["of"] != number:
                        self.record.fault("MIXED", f"question {number} got that of {answer['of']}")
                except frames.PeerError:
                    self.record.seen["unanswered"] += 1

            async with trio.open_nursery() as asking:
                for number in range(callers):
                    asking.start_soon(ask, number)
                    await trio.sleep(random.choice((0.0, 0.001, 0.01)))
            if link.waiting:
                self.record.fault("LEAK", f"{len(link.waiting)} questions wait for good")
            nursery.cancel_scope.cancel()


def framed(seed: int) -> Frames:
    day = Frames(seed, {})
    with in_memory():
        trio_run._r.seed(seed)
        trio.run(day.run, 40, clock=day.agenda)
    return day
