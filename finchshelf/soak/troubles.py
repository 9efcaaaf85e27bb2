"""Carries out the troubles of a plan: signals to processes, cuts, and manners of servers, clients, operators.

Owns what each kind does and undoes, and the ledger rows of what struck. It signals only the processes that
this soak has started, by their process id.
"""

from __future__ import annotations

import signal
from collections.abc import Awaitable, Callable
from contextlib import suppress
from dataclasses import dataclass, field, replace
from pathlib import Path
from random import Random

import trio

from finchshelf.cli.system import CONTROL as CONTROL_PORT
from finchshelf.cli.system import System
from finchshelf.soak import cuts as links
from finchshelf.soak import disks, figures
from finchshelf.soak.clients import BURST, Crowd
from finchshelf.soak.cuts import Cuts
from finchshelf.soak.ledger import Ledger, Struck
from finchshelf.soak.operators import Office
from finchshelf.soak.plan import CORE, MACHINES, Kind, Plan, Trouble
from finchshelf.soak.servers import Server, Yard

CONTROL, EDGE = "control-plane", "data-plane"
ENDS_S = 8.0  # for a program to end after SIGTERM
CUT_AFTER_S = 3.0  # of a cut that comes while a member is replaced
BACK_S, LOOK_S = 20.0, 0.1  # for a program that was started to listen, and between two looks at that
FRESH_S = 0.3  # from the end of a program until it is started again, as a platform does


@dataclass(slots=True)
class Hands:
    """What troubles are carried out with."""

    system: System
    cuts: Cuts
    yard: Yard
    servers: list[Server]
    crowd: Crowd
    office: Office
    ledger: Ledger
    random: Random
    now: Callable[[], float]
    busy: set[str] = field(default_factory=set)  # programs that a trouble holds: another leaves them alone
    unguarded: set[int] = field(default_factory=set)  # programs told to reload before their first own line

    # ---- the plan ----

    async def run(self, plan: Plan) -> None:
        async with trio.open_nursery() as nursery:
            for trouble in plan.troubles:
                await trio.sleep(max(0.0, trouble.at_s - self.now()))
                nursery.start_soon(self.strike, trouble, plan)

    async def strike(self, trouble: Trouble, plan: Plan) -> None:
        began = self.now()
        during = tuple(sorted({str(one.kind) for one in plan.at(trouble.at_s) if one is not trouble}))
        struck = await self.ways()[trouble.kind](trouble)
        if struck:
            self.ledger.struck.append(Struck(str(trouble.kind), began, self.now(), trouble.machines, during))

    def ways(self) -> dict[Kind, Callable[[Trouble], Awaitable[bool]]]:
        return {
            Kind.CONTROL_KILL: self.control_kill,
            Kind.CONTROL_WIPE: self.control_wipe,
            Kind.CONTROL_TERM: self.control_term,
            Kind.CONTROL_PAUSE: self.control_pause,
            Kind.CORE_KILL: self.control_kill,
            Kind.CONTROL_POWER: self.control_power,
            Kind.ALL_POWER: self.all_power,
            Kind.ALL_POWER_WIPE: self.all_power_wipe,
            Kind.WIPE_HALVES: self.wipe_halves,
            Kind.EDGE_KILL: self.edge_kill,
            Kind.EDGE_TERM: self.edge_term,
            Kind.EDGE_PAUSE: self.edge_pause,
            Kind.EDGES_KILL: self.edge_kill,
            Kind.MACHINE_CUT: self.machine_cut,
            Kind.EDGE_SERVERS_CUT: self.servers_cut,
            Kind.HALVES_CUT: self.halves_cut,
            Kind.DISK_FULL: self.disk_full,
            Kind.DISK_STALL: self.disk_stall,
            Kind.DISK_SLOW: self.disk_slow,
            Kind.CLOCK_STEP: self.clock_step,
            Kind.LINK_SLOW: self.link_slow,
            Kind.DRAIN_CUT: self.drain_cut,
            Kind.SETTINGS_RELOAD: self.reload,
            Kind.SERVER_CRASH: self.server_crash,
            Kind.SERVER_DRAIN: self.server_drain,
            Kind.SERVER_DEPART: self.server_depart,
            Kind.SERVER_PAUSE: self.server_pause,
            Kind.ANSWERS_LOST: self.answers_lost,
            Kind.ANSWERS_GARBLED: self.answers_garbled,
            Kind.ANSWERS_EXTRA: self.answers_extra,
            Kind.SERVERS_FULL: self.servers_full,
            Kind.CLIENTS_RUDE: self.clients_rude,
            Kind.CLIENTS_BURST: self.clients_burst,
            Kind.ORDERS_RACE: self.orders_race,
            Kind.ORDERS_UNHEARD: self.orders_unheard,
            Kind.ORDERS_BAD: self.orders_bad,
        }

    # ---- processes ----

    def take(self, role: str, machines: tuple[int, ...]) -> list[str]:
        """The programs of these machines that no other trouble holds, held from now on."""
        found = [f"{role}-{machine}" for machine in machines if f"{role}-{machine}" not in self.busy]
        self.busy.update(found)
        return found

    async def kill(self, role: str, trouble: Trouble, wipe: bool = False) -> bool:
        names = self.take(role, trouble.machines)
        for name in names:
            self.system.kill(name)
        for name in names:
            if wipe:
                self.wipe(number_of(name))
        await trio.sleep(trouble.span_s)
        self.restart(names)
        await self.back(names)
        return bool(names)

    def wipe(self, machine: int) -> None:
        self.system.wipe(machine)
        disks.wiped(self.disk_of(machine))

    def disk_of(self, machine: int) -> Path:
        return self.system.folder / f"disk-{machine}"

    async def control_power(self, trouble: Trouble) -> bool:
        """A control plane with a disk loses power: what it had not synced may be gone or torn."""
        names = self.take(CONTROL, trouble.machines)
        self.power_off(names, trouble)
        await trio.sleep(trouble.span_s)
        self.restart(names)
        await self.back(names)
        return bool(names)

    def power_off(self, names: list[str], trouble: Trouble, wiped: int = 0) -> None:
        """All of these at one moment; `wiped`: the machine whose disk is lost with it."""
        for name in names:
            self.system.kill(name)
        for name in names:
            machine = number_of(name)
            if name.startswith(CONTROL) and machine <= CORE:
                if machine == wiped:
                    self.wipe(machine)
                elif any(self.disk_of(machine).iterdir()):
                    left = Random(f"{trouble.share} {machine}")
                    self.ledger.torn += disks.lose_power(self.disk_of(machine), left)

    async def all_power(self, trouble: Trouble) -> bool:
        everyone = tuple(range(1, MACHINES + 1))
        names = self.take(CONTROL, everyone) + self.take(EDGE, everyone)
        self.power_off(names, trouble)
        await trio.sleep(trouble.span_s)
        self.restart(names)
        await self.back(names)
        return bool(names)

    async def all_power_wipe(self, trouble: Trouble) -> bool:
        """As far as losses are borne: one disk is lost, and all others lose power at the same moment."""
        bearable, everyone = await self.all_count(), tuple(range(1, MACHINES + 1))
        names = self.take(CONTROL, everyone) + self.take(EDGE, everyone)
        lost = trouble.machines[0]
        bearable = bearable and f"{CONTROL}-{lost}" in names
        self.power_off(names, trouble, lost if bearable else 0)
        await trio.sleep(trouble.span_s)
        self.restart(names)
        await self.back(names)
        return bool(names)

    async def wipe_halves(self, trouble: Trouble) -> bool:
        """A member comes up with an empty disk, and the core is cut in two before it has been named."""
        if not await self.control_wipe(trouble):
            return False
        await trio.sleep(self.random.uniform(0.2, 0.8))
        part = (self.random.randint(1, CORE),)
        return await self.halves_cut(replace(trouble, machines=part, span_s=CUT_AFTER_S))

    def restart(self, names: list[str]) -> None:
        for name in names:
            self.system.start(name.rpartition("-")[0], number_of(name), ("-O",), first=False)
            self.busy.discard(name)

    async def back(self, names: list[str]) -> None:
        """Until those that were started again listen: a machine is lost until then, however long the host
        takes for a start. One that is struck once more, or never comes up, is not waited for."""
        waiting = {name: self.system.children[name] for name in names}
        with trio.move_on_after(BACK_S):
            while waiting:
                await trio.sleep(LOOK_S)
                waiting = {
                    name: child
                    for name, child in waiting.items()
                    if self.system.children[name] is child and not child.killed and not child.has_started()
                }

    async def control_kill(self, trouble: Trouble) -> bool:
        return await self.kill(CONTROL, trouble)

    async def control_wipe(self, trouble: Trouble) -> bool:
        """Where the member whose disk was lost before does not count again, the disk is kept: the system
        bears the loss of one at a time."""
        return await self.kill(CONTROL, trouble, wipe=await self.all_count())

    async def all_count(self) -> bool:
        """Does each machine with a disk say that it is a member, and holds the newest?"""
        for address in self.system.each(figures.CONTROL_PORT)[:CORE]:
            state = await figures.state(address)
            if not (state.get("is_member") and state.get("proved_newest") and not state.get("disk_in_doubt")):
                return False
        return True

    async def edge_kill(self, trouble: Trouble) -> bool:
        return await self.kill(EDGE, trouble)

    async def control_term(self, trouble: Trouble) -> bool:
        return await self.term(CONTROL, trouble)

    async def edge_term(self, trouble: Trouble) -> bool:
        return await self.term(EDGE, trouble)

    async def term(self, role: str, trouble: Trouble) -> bool:
        """A planned end, and the program again."""
        names = self.take(role, trouble.machines)
        for name in names:
            child = self.system.children[name]
            child.killed = True
            child.process.send_signal(signal.SIGTERM)
            with trio.move_on_after(ENDS_S) as scope:
                while child.process.poll() is None:
                    await trio.sleep(0.05)
            if scope.cancelled_caught:
                self.ledger.faults.append(f"{name}: still there {ENDS_S:g} s after SIGTERM")
                child.process.kill()
                child.process.wait()
            elif child.process.returncode == -signal.SIGTERM and not child.has_started():
                pass  # it was still loading: it listened nowhere, and nothing was lost
            elif child.process.returncode != 0:
                self.ledger.faults.append(f"{name}: status {child.process.returncode} after SIGTERM")
        await trio.sleep(FRESH_S)
        self.restart(names)
        await self.back(names)
        return bool(names)

    async def pause(self, role: str, trouble: Trouble) -> bool:
        names = self.take(role, trouble.machines)
        for name in names:
            self.system.children[name].process.send_signal(signal.SIGSTOP)
        await trio.sleep(trouble.span_s)
        for name in names:
            self.system.children[name].process.send_signal(signal.SIGCONT)
            self.busy.discard(name)
        return bool(names)

    async def control_pause(self, trouble: Trouble) -> bool:
        return await self.pause(CONTROL, trouble)

    async def edge_pause(self, trouble: Trouble) -> bool:
        return await self.pause(EDGE, trouble)

    async def reload(self, trouble: Trouble) -> bool:
        for machine in trouble.machines:
            for role in (CONTROL, EDGE):
                child = self.system.children[f"{role}-{machine}"]
                if child.process.poll() is None and not child.killed:
                    if not minds_hangup(child.process.pid):
                        self.unguarded.add(child.process.pid)
                    child.process.send_signal(signal.SIGHUP)
        return True

    # ---- links ----

    async def cut(self, pairs: list[links.Pair], span_s: float) -> bool:
        self.cuts.begin(pairs)
        await trio.sleep(span_s)
        self.cuts.end(pairs)
        return True

    async def machine_cut(self, trouble: Trouble) -> bool:
        ip = {machine: self.system.ip(machine) for machine in range(1, MACHINES + 1)}
        others = [machine for machine in ip if machine not in trouble.machines]
        return await self.cut(links.both_ways(trouble.machines, others, ip), trouble.span_s)

    async def halves_cut(self, trouble: Trouble) -> bool:
        ip = {machine: self.system.ip(machine) for machine in range(1, CORE + 1)}
        others = [machine for machine in ip if machine not in trouble.machines]
        return await self.cut(links.both_ways(trouble.machines, others, ip), trouble.span_s)

    async def servers_cut(self, trouble: Trouble) -> bool:
        addresses = {self.servers[at % len(self.servers)].ip for at in trouble.servers}
        pairs = [(machine, address) for machine in trouble.machines for address in addresses]
        return await self.cut(pairs, trouble.span_s)

    # ---- disks ----

    async def disk_full(self, trouble: Trouble) -> bool:
        return await self.disk(trouble, links.FULL)

    async def disk_stall(self, trouble: Trouble) -> bool:
        return await self.disk(trouble, links.STALLED)

    async def disk_slow(self, trouble: Trouble) -> bool:
        return await self.disk(trouble, links.SLOW)

    async def clock_step(self, trouble: Trouble) -> bool:
        for machine in trouble.machines:
            self.cuts.clock(machine, trouble.share)
        return True

    async def link_slow(self, trouble: Trouble) -> bool:
        ip = {machine: self.system.ip(machine) for machine in range(1, MACHINES + 1)}
        others = [machine for machine in ip if machine not in trouble.machines]
        pairs = links.both_ways(trouble.machines, others, ip)
        self.cuts.slow_down(pairs)
        await trio.sleep(trouble.span_s)
        self.cuts.speed_up(pairs)
        return True

    async def drain_cut(self, trouble: Trouble) -> bool:
        """A server says at one control plane alone that it goes; that one is cut off as soon as it has
        acknowledged it, and the server serves on."""
        struck = [server for server in self.struck(trouble) if server.mode == "stable" and not server.ended]
        control = self.system.each(CONTROL_PORT)[trouble.machines[0] - 1]
        if not struck:
            return False
        server, said = struck[0], self.now()
        acknowledged = await server.depart_at(control)
        if not acknowledged:
            server.crash()  # it ends all the same
            await self.renew(server)
            return False
        self.yard.nursery.start_soon(server.serve_on, True, said, acknowledged, trouble.span_s)
        await self.renew(server)
        return await self.machine_cut(trouble)

    async def disk(self, trouble: Trouble, state: str) -> bool:
        for machine in trouble.machines:
            self.cuts.disk(machine, state)
        await trio.sleep(trouble.span_s)
        for machine in trouble.machines:
            self.cuts.disk(machine, "")
        return True

    # ---- servers ----

    def struck(self, trouble: Trouble) -> list[Server]:
        return [self.servers[at % len(self.servers)] for at in trouble.servers]

    async def renew(self, server: Server) -> None:
        """Another life of a server, in the place of one that has gone; nothing if it has one already."""
        if server not in self.servers:
            return
        fresh = Server(self.yard, server.kind, server.zone, server.ip)
        self.servers[self.servers.index(server)] = fresh
        await fresh.start()

    async def server_crash(self, trouble: Trouble) -> bool:
        struck = [server for server in self.struck(trouble) if not server.ended]
        for server in struck:
            server.crash()
        await trio.sleep(trouble.span_s)
        for server in struck:
            await self.renew(server)
        return True

    async def server_drain(self, trouble: Trouble) -> bool:
        return await self.leave(trouble, silently=False)

    async def server_depart(self, trouble: Trouble) -> bool:
        return await self.leave(trouble, silently=True)

    async def leave(self, trouble: Trouble, silently: bool) -> bool:
        """Servers leave in order, each after another in its place has started."""
        struck = [server for server in self.struck(trouble) if server.mode == "stable" and not server.ended]
        async with trio.open_nursery() as nursery:
            for server in struck:
                await self.renew(server)
                nursery.start_soon(server.leave, silently)
        return bool(struck)

    async def server_pause(self, trouble: Trouble) -> bool:
        for server in self.struck(trouble):
            server.manner.paused_until = self.now() + trouble.span_s
        await trio.sleep(trouble.span_s)
        return True

    async def manners(self, trouble: Trouble, name: str, value: float | bool) -> bool:
        struck = self.struck(trouble)
        for server in struck:
            setattr(server.manner, name, value)
        await trio.sleep(trouble.span_s)
        for server in struck:
            setattr(server.manner, name, type(value)())
        return True

    async def answers_lost(self, trouble: Trouble) -> bool:
        return await self.manners(trouble, "lost", trouble.share)

    async def answers_garbled(self, trouble: Trouble) -> bool:
        return await self.manners(trouble, "garbled", trouble.share)

    async def answers_extra(self, trouble: Trouble) -> bool:
        return await self.manners(trouble, "extra", trouble.share)

    async def servers_full(self, trouble: Trouble) -> bool:
        return await self.manners(trouble, "full", True)

    # ---- clients and operators ----

    async def clients_rude(self, trouble: Trouble) -> bool:
        self.crowd.rude_share = trouble.share
        await trio.sleep(trouble.span_s)
        self.crowd.rude_share = 0.0
        return True

    async def clients_burst(self, trouble: Trouble) -> bool:
        self.crowd.burst = BURST
        await trio.sleep(trouble.span_s)
        self.crowd.burst = 1.0
        return True

    async def orders_race(self, trouble: Trouble) -> bool:
        self.office.racing = True
        await trio.sleep(trouble.span_s)
        self.office.racing = False
        return True

    async def orders_unheard(self, trouble: Trouble) -> bool:
        self.office.unheard_share = trouble.share
        await trio.sleep(trouble.span_s)
        self.office.unheard_share = 0.0
        return True

    async def orders_bad(self, trouble: Trouble) -> bool:
        self.office.bad = True
        await trio.sleep(trouble.span_s)
        self.office.bad = False
        return True


def minds_hangup(pid: int) -> bool:
    """Does that process ignore or catch SIGHUP by now? In the interpreter's own start it can't yet."""
    bit = 1 << (signal.SIGHUP - 1)
    with suppress(OSError):
        for line in Path(f"/proc/{pid}/status").read_text().splitlines():
            if line.startswith(("SigIgn:", "SigCgt:")) and int(line.split()[1], 16) & bit:
                return True
    return False


def number_of(name: str) -> int:
    return int(name.rpartition("-")[2])
