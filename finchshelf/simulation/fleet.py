"""A whole fleet in one process: the real programs, whoever stands around them, and the harm done to them.

Owns which processes run where, and each fault; what the programs run on is `substitutes`'. It must never
reach into a program: it hands one its settings and its signals, and else ends it.
"""

from __future__ import annotations

import signal
from collections.abc import AsyncIterator, Awaitable, Callable, Iterator
from contextlib import asynccontextmanager, contextmanager, suppress
from dataclasses import replace
from functools import partial
from random import Random
from typing import Any

import trio
from trio._core import _run as trio_run

from finchshelf.configuration import boot as boot_file
from finchshelf.configuration.boot import Boot
from finchshelf.controlplane import process as control_plane
from finchshelf.dataplane import process as data_plane
from finchshelf.experience.policy import DEFAULT
from finchshelf.simulation import documents
from finchshelf.simulation.client import Client
from finchshelf.simulation.conversation import Cut, call
from finchshelf.simulation.disk import Disk
from finchshelf.simulation.documents import HOST, Keys, Routes, Tenants
from finchshelf.simulation.judge import CORE, Asked, Judge, Trouble
from finchshelf.simulation.loop import Agenda, instead
from finchshelf.simulation.network import Life, Machine, Network, current, now
from finchshelf.simulation.operator import Operator
from finchshelf.simulation.server import Server
from finchshelf.simulation.substitutes import Notes, replaced, uncollected
from finchshelf.transport.address import Address

FRONT, READINESS, CONTROL, PORTS = 8405, 8406, 8407, (7660, 7675)
RESTART = 0.5  # s until a process that ended is started again
MARGINS: dict[str, float | bool] = {
    "contactMs": 3000,
    "settlingMs": 2500,
    "toleranceS": 6,
    "setpointMs": 2500,
    "retryRatio": 0.2,
    "retryWindowS": 10,
    "retrySlack": 64,
    "quotaWindowS": 5,
}
Story = Callable[["World"], Awaitable[None]]


class Process:
    """One role on one machine: started, ended and started again as a platform does."""

    def __init__(self, world: World, machine: Machine, role: str, disk: Disk | None) -> None:
        self.world, self.machine, self.role, self.disk = world, machine, role, disk
        self.name = f"{machine.host}-{role}"
        self.life: Life | None = None
        self.wanted, self.restart = True, RESTART
        self.again = trio.Event()
        self.lives = 0
        self.initial = True

    async def run(self) -> None:
        while self.wanted:
            if not self.machine.power:
                await self.again.wait()
                continue
            await self.live()
            if self.wanted and self.machine.power:
                with trio.move_on_after(self.restart):
                    await self.again.wait()
            self.restart = RESTART

    async def live(self) -> None:
        world = self.world
        self.lives += 1
        self.life = life = Life(world.network, self.machine, self.name)
        current.set(life)
        if self.role == "data":
            world.judge.begun[self.machine.host].append(now())
        life.store, life.boot = self.disk, world.boot(self)
        data = self.role == "data"
        program = partial(data_plane.serve, policy=world.policy) if data else control_plane.serve
        notes = Notes(life, world.judge, world.lines)
        world.notes.append(notes)
        with life.scope:
            try:
                await program(life.boot, notes, life.random.getrandbits(32))
            except Exception as error:
                world.judge.fault("FAULT", f"{self.name} ended by itself: {error!r}")
        notes.log("ended", **dict(notes.count))
        life.die()

    def say(self, number: int) -> None:
        if self.life is not None:
            self.life.say.send_nowait(number)

    def end(self, dark: bool = False) -> None:
        if self.life is not None and self.life.alive:
            self.life.die(dark)
            if self.disk is not None:
                self.disk.cut_off()

    def wake(self) -> None:
        event, self.again = self.again, trio.Event()
        event.set()


class World:
    """A day. All chance comes from `seed`."""

    def __init__(
        self,
        seed: int,
        agenda: Agenda,
        zones: int = 3,
        limiters: int = 2,
        servers: int = 2,
        tenants: dict[str, tuple[float, float]] | None = None,
        controls: int = 1,
        experience: bool = False,
    ) -> None:
        """`controls`: of the core, in a zone; `experience`: do limiters share what they see of servers?"""
        self.random, self.seed, self.policy = Random(seed), seed, replace(DEFAULT, on=experience, probes=2)
        self.controls = controls
        self.zones = [f"zone{n}" for n in range(zones)]
        self.limiters, self.servers_each = limiters, servers
        self.network = Network(Random(self.random.getrandbits(32)), agenda)
        self.judge = Judge(now)
        self.lines: list[tuple[float, str, str, Any]] = []
        self.tenants = tenants if tenants is not None else {"plain": (0.0, 0.0)}
        self.processes: list[Process] = []
        self.servers: dict[str, Server] = {}
        self.inside: dict[str, int] = {}  # a limiter's misses, as the platform counts them
        self.peers: list[boot_file.Address] = []
        self.document: dict[str, Any] = {}
        self.nursery: trio.Nursery
        self.operator: Operator
        self.clients: dict[str, list[Client]] = {}
        self.busy = 0
        self.named = 0
        self.notes: list[Notes] = []

    # ---- who is there ----

    def boot(self, process: Process) -> Boot:
        host = process.machine.host
        data = process.role == "data"

        def at(port: int, wanted: bool) -> boot_file.Address | None:
            return boot_file.Address(host, port) if wanted else None

        return Boot(
            node=f"edge-{host}",
            function="f",
            machine_class="edge",
            serves=("edge",) if data else ("supervisor",),
            ip=host,
            zone=process.machine.zone,
            region="r",
            zones={zone: "r" for zone in self.zones},
            front=at(FRONT, data),
            readiness=at(READINESS, data),
            control=at(CONTROL, not data),
            port_range=PORTS,
            initial_peers=tuple(self.peers),
            initial_condition=process.initial,
            loss_counted=not data,
            memory_mb=300.0,
            descriptors=3000,
            bandwidth_mbps=1000.0,
            storage_mb=64.0,
            state_dir="" if process.disk is None else "/data",
            pulse=1.5,
            margins=MARGINS,
            lost_machines=1,
            lost_zones=0,
            lost_regions=0,
            cores=2.0,
            cpu_fraction=0.75,
        )

    def process(self, host: str, role: str) -> Process:
        return next(one for one in self.processes if one.machine.host == host and one.role == role)

    def of(self, role: str, zone: str = "") -> list[Process]:
        return [
            one
            for one in self.processes
            if one.role == role and one.wanted and zone in ("", one.machine.zone)
        ]

    @property
    def core(self) -> list[str]:
        return [one.machine.host for one in self.of("control")]

    @property
    def edges(self) -> list[str]:
        return [one.machine.host for one in self.of("data")]

    def supervisors(self) -> list[Address]:
        return [Address(host, CONTROL) for host in self.core]

    def add(self, host: str, zone: str, control: bool) -> Machine:
        machine = self.network.machine(host, zone, self.random.uniform(-0.05, 0.05))
        roles = [("data", None)] + ([("control", Disk(self.random))] if control else [])
        for role, disk in roles:
            self.processes.append(Process(self, machine, role, disk))
        return machine

    def outside(self, host: str, zone: str, name: str) -> Life:
        return Life(self.network, self.network.machine(host, zone), name)

    def serve(self, service: str, zone: str, host: str, port: int = 8080, **ways: Any) -> Server:
        """A server starts; `ways`: its fields that differ."""
        self.named += 1
        machine = self.network.machine(host, zone)
        server = Server(
            self.network, self.judge, machine, f"i-{self.named}", service, self.supervisors(), 1.5, port=port
        )
        for name, value in ways.items():
            setattr(server, name, value)
        self.servers[server.name] = server
        self.nursery.start_soon(server.run)
        return server

    def at(self, service: str) -> list[Server]:
        return [one for one in self.servers.values() if one.service == service and one.life.alive]

    # ---- configurations ----

    def elements(
        self,
        routes: Routes | None = None,
        tenants: Tenants | None = None,
        keys: Keys | None = None,
    ) -> list[dict[str, Any]]:
        """Of a configuration for this day's tenants."""
        return documents.elements(routes, self.tenants if tenants is None else tenants, keys)

    def configuration(self, number: int, prior: int, **parts: Any) -> dict[str, Any]:
        return {
            "setpointSeq": f"{number:08x}",
            "priorVersion": f"{prior:08x}",
            "elements": self.elements(**parts),
        }

    # ---- a day ----

    @asynccontextmanager
    async def running(self) -> AsyncIterator[None]:
        async with trio.open_nursery() as nursery:
            self.nursery = nursery
            await self.start()
            yield
            nursery.cancel_scope.cancel()

    async def start(self) -> None:
        for z, zone in enumerate(self.zones):
            for n in range(self.limiters):
                self.add(f"10.{z}.0.{n + 1}", zone, n < self.controls)
        self.peers = [boot_file.Address(host, CONTROL) for host in self.core[:3]]
        for process in self.processes:
            self.nursery.start_soon(process.run)
        self.operator = Operator(self.outside("10.9.9.9", "out", "operator"), self.judge, self.supervisors())
        self.nursery.start_soon(self.platform)
        for z, zone in enumerate(self.zones):
            for n in range(self.servers_each):
                for s, service in enumerate(("alpha", "beta")):
                    self.serve(service, zone, f"10.{z}.{s + 1}.{n + 1}")
            self.clients[zone] = [
                Client(self.outside(f"10.{z}.9.{n}", zone, f"client {z} {n}"), self.judge) for n in range(4)
            ]
        await trio.sleep(0.3)
        assert await self.replace(self.configuration(1, 0)) == 200
        with trio.fail_after(15.0):
            while not all(self.inside.get(host) == 0 for host in self.edges):
                await trio.sleep(0.1)
        for process in self.processes:
            process.initial = False

    async def replace(self, document: dict[str, Any], **how: Any) -> int:
        with self.being(self.operator.life):
            return await self.operator.replace(document, **how)

    async def adjust(self, change: dict[str, Any], whole: dict[str, Any], **how: Any) -> int:
        with self.being(self.operator.life):
            return await self.operator.adjust(change, whole, **how)

    async def begin_transition(self, service: str, target: str, horizon_s: float, **how: Any) -> int:
        with self.being(self.operator.life):
            body = {"subsystem": service, "target": target, "horizonS": horizon_s}
            return await self.operator.begin_transition(body, **how)

    async def observe_transition(self, service: str, **how: Any) -> dict[str, Any] | None:
        with self.being(self.operator.life):
            return await self.operator.observe_transition(service, **how)

    async def observe(self, **how: Any) -> dict[str, Any] | None:
        with self.being(self.operator.life):
            return await self.operator.observe(**how)

    @contextmanager
    def being(self, life: Life) -> Iterator[None]:
        token = current.set(life)
        try:
            yield
        finally:
            current.reset(token)

    async def platform(self) -> None:
        """Asks each limiter each second whether it is ready; two misses, and it gets no new connections."""
        current.set(self.outside("10.9.9.8", "out", "platform"))

        async def look(host: str) -> None:
            ready = False
            with suppress(Cut):
                ready = (await call(Address(host, READINESS), "/v1/readiness", b"")).status == 200
            self.inside[host] = 0 if ready else self.inside.get(host, 1) + 1

        while True:
            for host in self.edges:
                self.nursery.start_soon(look, host)
            await trio.sleep(1.0)

    def front(self, zone: str) -> Address:
        hosts = [one.machine.host for one in self.of("data", zone)]
        inside = [host for host in hosts if self.inside.get(host, 2) < 2]
        elsewhere = [host for host in self.edges if self.inside.get(host, 2) < 2]
        if inside:
            chosen = inside if 2 * len(inside) >= len(hosts) else hosts
        else:  # none of the zone's is in: those of others, else any
            chosen = elsewhere or hosts or self.edges
        return Address(self.random.choice(chosen), FRONT)

    async def ask(
        self, zone: str, path: str, key: str = "key-plain", *, front: str = "", tries: int = 2, **how: Any
    ) -> Asked:
        """A request with the tries that its client makes."""
        client = self.random.choice(self.clients[zone])
        with self.being(client.life):
            while True:
                where = Address(front, FRONT) if front else self.front(zone)
                asked = await client.ask(where, HOST, path, key, **how)
                tries -= 1
                promised = asked.status in (408, 421, 429, 503)
                safe = not asked.mutating and asked.status in (0, 500, 502, 504)
                if tries <= 0 or not (promised or safe):
                    return asked
                await trio.sleep(0.1)

    async def traffic(
        self,
        rate: float,
        seconds: float,
        path: str = "/read/",
        key: str = "key-plain",
        zones: list[str] | None = None,
        **how: Any,
    ) -> None:
        """`rate` requests a second over the zones, each in a task of its own; ends when all have ended."""
        until = now() + seconds
        how = {"mutating": path == "/write/", **how}
        async with trio.open_nursery() as nursery:
            while now() < until:
                zone = self.random.choice(zones or self.zones)
                nursery.start_soon(lambda z: self.ask(z, path, key, **how), zone)
                await trio.sleep(self.random.expovariate(rate))

    def usual(self, seconds: float, rate: float = 30.0) -> None:
        """Reads and writes of the plain tenant go on beside the story."""

        async def both() -> None:
            self.busy += 1
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self.traffic, rate * 0.6, seconds)
                nursery.start_soon(self.traffic, rate * 0.4, seconds, "/write/")
            self.busy -= 1

        self.nursery.start_soon(both)

    async def quiet(self) -> None:
        """All that clients asked has ended, and all that servers still do."""
        while self.busy:
            await trio.sleep(0.1)
        await trio.sleep(0.5)

    # ---- harm ----

    def marks(self, *hosts: str) -> Trouble:
        core = [CORE] if set(hosts) & set(self.core) else []
        return self.judge.trouble(*hosts, *core)

    def kill(self, host: str, role: str = "", after: float = RESTART) -> None:
        """Its processes end at once and are started again `after` s."""
        mark = self.marks(host)
        for one in self.processes:
            if one.machine.host == host and role in ("", one.role):
                one.restart = after
                one.end()
        self.network.timeline.at(now() + after + 0.2, lambda: self.judge.over(mark))

    async def power_off(self, *hosts: str, back: float | None = None, wipe: bool = False) -> None:
        """Machines lose their power at one moment; `back`: s until they have it again."""
        mark = self.marks(*hosts)
        for host in hosts:
            self.network.machines[host].power = False
        for one in self.processes:
            if one.machine.host in hosts:
                one.end(dark=True)
                if wipe and one.disk is not None:
                    one.disk.wipe()
        if back is not None:
            await trio.sleep(back)
            for host in hosts:
                self.network.machines[host].power = True
            for one in self.processes:
                if one.machine.host in hosts:
                    one.wake()
            self.network.pump()
            self.judge.over(mark)

    def remove(self, host: str) -> None:
        """A machine is taken away for good."""
        self.marks(host)
        self.network.machines[host].power = False
        for one in self.processes:
            if one.machine.host == host:
                one.wanted = False
                one.end(dark=True)
                one.wake()

    def bring(self, host: str, zone: str) -> None:
        """An empty machine of the core, at a new address; the lists of whoever calls name it."""
        self.add(host, zone, True)
        for one in self.processes:
            if one.machine.host == host:
                one.initial = False
                self.nursery.start_soon(one.run)
        self.operator.supervisors = self.supervisors()
        for server in self.servers.values():
            server.supervisors = self.supervisors()

    def reseed(self) -> None:
        """The list of who serves `supervisor` is another by now, and every process is told so."""
        self.peers = [boot_file.Address(host, CONTROL) for host in self.core[-3:]]
        for process in self.processes:
            if process.life is not None and process.life.alive:
                process.life.boot = self.boot(process)
                process.say(signal.SIGHUP)

    def cut(self, some: list[str], others: list[str], both: bool = True) -> Callable[[], None]:
        """Nothing passes from `some` to `others` (nor back, if `both`) until the returned is called."""
        pairs = {(a, b) for a in some for b in others}
        pairs |= {(b, a) for a, b in pairs} if both else set()
        mark = self.marks(*some, *others)
        self.network.cuts |= pairs

        def heal() -> None:
            self.network.cuts -= pairs
            self.network.pump()
            self.judge.over(mark)

        return heal

    def around(self, *zones: str) -> list[str]:
        """All machines of these zones, whoever's they are."""
        return [host for host, one in self.network.machines.items() if one.zone in zones]

    async def freeze(self, host: str, seconds: float) -> None:
        """Nothing reaches the processes of a machine and nothing leaves them; their timers go on."""
        mark, machine = self.marks(host), self.network.machines[host]
        machine.frozen = True
        await trio.sleep(seconds)
        machine.frozen = False
        self.network.pump()
        self.judge.over(mark)

    def mend(self) -> None:
        """All harm ends: what was cut is joined, whoever was without power has it, disks are well."""
        self.network.cuts, self.network.loss = set(), 0.0
        gone = {one.machine.host for one in self.processes if not one.wanted}
        for machine in self.network.machines.values():
            machine.power, machine.frozen = machine.host not in gone, False
        for process in self.processes:
            if process.disk is not None:
                process.disk.mode = "well"
            process.wake()
        for server in self.servers.values():
            server.lose, server.extra, server.on_full, server.queue = 0, 0, "503", 4
        self.network.pump()
        for mark in self.judge.troubles:
            self.judge.over(mark)
        self.judge.back = now()

    def terminate(self, host: str, role: str = "data") -> None:
        if role == "data":
            self.judge.planned[host].append(now())
        self.process(host, role).say(signal.SIGTERM)

    def counted(self, name: str) -> int:
        """What all processes counted under that name over the day."""
        return sum(one.count[name] for one in self.notes)

    def told(self, event: str, name: str = "") -> list[tuple[float, str, str, Any]]:
        return [line for line in self.lines if line[2] == event and name in line[1]]


def play(story: Story, seed: int, make: type[World] | None = None, **shape: Any) -> World:
    """One day by one seed; the world as it ended, its rules still to be judged by `fine`. `make`: another
    kind of world."""
    print(f"seed {seed}")
    worlds: list[World] = []
    agenda = Agenda()

    async def day() -> None:
        world = (make or World)(seed, agenda, **shape)
        worlds.append(world)
        async with world.running():
            await story(world)
            await world.quiet()
            world.judge.read_back(await world.observe())
            end = now()
            world.judge.now = lambda: end

    with replaced(), instead(), uncollected():
        trio_run._r.seed(seed)
        trio.run(day, clock=agenda)
    return worlds[0]


def fine(story: Story, seed: int, **shape: Any) -> World:
    """Plays a day of which no rule may be broken."""
    world = play(story, seed, **shape)
    broken = world.judge.verdict()
    assert not broken, "\n".join([f"seed {seed}", *broken])
    return world
