"""Carries out the troubles of a plan: signals to processes, cuts, and manners of servers, clients, operators.

Owns what each kind does and undoes, and the ledger rows of what struck. It signals only the processes that
this soak has started, by their process id.
"""

from __future__ import annotations

import signal
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from random import Random

import trio

from finchshelf.cli.system import System
from finchshelf.soak import cuts as links
from finchshelf.soak import figures
from finchshelf.soak.clients import BURST, Crowd
from finchshelf.soak.cuts import Cuts
from finchshelf.soak.ledger import Ledger, Struck
from finchshelf.soak.operators import Office
from finchshelf.soak.plan import CORE, MACHINES, Kind, Plan, Trouble
from finchshelf.soak.servers import Server, Yard

CONTROL, EDGE = "control-plane", "data-plane"
ENDS_S = 8.0  # for a program to end after SIGTERM
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
    own_ends: set[str] = field(default_factory=set)

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
            Kind.EDGE_KILL: self.edge_kill,
            Kind.EDGE_TERM: self.edge_term,
            Kind.EDGE_PAUSE: self.edge_pause,
            Kind.EDGES_KILL: self.edge_kill,
            Kind.MACHINE_CUT: self.machine_cut,
            Kind.EDGE_SERVERS_CUT: self.servers_cut,
            Kind.HALVES_CUT: self.halves_cut,
            Kind.DISK_FULL: self.disk_full,
            Kind.DISK_STALL: self.disk_stall,
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
                self.system.wipe(number_of(name))
        await trio.sleep(trouble.span_s)
        self.restart(names)
        return bool(names)

    def restart(self, names: list[str]) -> None:
        for name in names:
            self.system.start(name.rpartition("-")[0], number_of(name), ("-O",), first=False)
            self.busy.discard(name)

    async def control_kill(self, trouble: Trouble) -> bool:
        return await self.kill(CONTROL, trouble)

    async def control_wipe(self, trouble: Trouble) -> bool:
        """Where the member whose disk was lost before does not count again, the disk is kept: the system
        bears the loss of one at a time."""
        return await self.kill(CONTROL, trouble, wipe=await self.all_count())

    async def all_count(self) -> bool:
        """Does each machine with a disk say that it is a member, and holds the newest?"""
        asked = [figures.state(address) for address in self.system.each(figures.CONTROL_PORT)[:CORE]]
        for one in asked:
            state = await one
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
        fresh = Server(self.yard, server.service, server.zone, server.ip)
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


def number_of(name: str) -> int:
    return int(name.rpartition("-")[2])
