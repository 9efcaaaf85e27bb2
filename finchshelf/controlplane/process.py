"""Starts and ends a control plane: settings, parts, signals.

Owns the order of start and of a planned end. It must never know what a beat or a configuration is.
"""

from __future__ import annotations

import gc
import os
import signal
import time
from functools import partial
from random import Random

import trio

from finchshelf import program
from finchshelf.agreement.store import Store
from finchshelf.agreement.transitions import Mode
from finchshelf.configuration.boot import Boot
from finchshelf.controlplane.answer_sizes import AnswerSizes
from finchshelf.controlplane.cells import Cells
from finchshelf.controlplane.leaving import leave
from finchshelf.controlplane.memory import Memory
from finchshelf.controlplane.news import News
from finchshelf.controlplane.pacing import NewsLine, link_pace
from finchshelf.controlplane.register import Register
from finchshelf.controlplane.repair import Repair
from finchshelf.controlplane.resources import Change, Departure, Observe, Pulse, Resource, Resources
from finchshelf.controlplane.sweeps import Sweeps
from finchshelf.controlplane.transition_watch import TransitionWatch
from finchshelf.controlplane.transitions import Begin, ObserveTransition
from finchshelf.controlplane.turns import Turns
from finchshelf.controlplane.watch import CallWatch
from finchshelf.metrics import endpoint
from finchshelf.metrics.figures import Figures
from finchshelf.transport import frames, net
from finchshelf.transport.address import Address
from finchshelf.transport.calls import Calls, Reader
from finchshelf.transport.clients import Clients
from finchshelf.transport.exchange import Clock
from finchshelf.transport.telemetry import Telemetry


async def serve(boot: Boot, telemetry: Telemetry, seed: int) -> None:
    clock, random = Clock(), Random(seed)
    port = boot.port_range[0]
    address = f"{boot.ip}:{port}"
    seeds = tuple(f"{peer.host}:{port}" for peer in boot.initial_peers)
    store = Store(boot.state_dir, boot.storage_mb) if boot.state_dir else None
    counted = store is not None and boot.loss_counted
    memory, recalled, handed = None, 0, False
    cells = Cells(address, boot.zone, boot.pulse, int(time.time() * 1000), clock.now())
    cells.board.log = telemetry.log
    async with trio.open_nursery() as nursery:
        if store is not None:
            folder = os.path.join(boot.state_dir, "cells")
            memory = Memory(Store(folder, boot.storage_mb), cells, telemetry.log)
            recalled = memory.recall(clock.now())
            nursery.start_soon(memory.run, clock.now)
        turns = Turns(telemetry.log)
        nursery.start_soon(turns.run)
        news = News(cells, clock, nursery, counted, random, telemetry.log, turns)
        if memory is not None:
            news.asking.written = memory.written
        register = Register(
            address,
            seeds,
            boot.initial_condition,
            store,
            news.members,
            random,
            telemetry.log,
            telemetry.monitor,
        )
        news.count = telemetry.count
        news.line = NewsLine(link_pace(boot.bandwidth_mbps))
        news.register = register
        await register.begin()
        nursery.start_soon(register.keep)
        for seed_address in seeds:
            control = cells.meet(seed_address)
            if control is not None:
                news.follow(control)
        # Danger: a signal that comes when others may call already, but before it is waited for, would end
        # this process at once, with calls unanswered and its place not handed over.
        with trio.open_signal_receiver(signal.SIGTERM, signal.SIGINT, signal.SIGHUP) as signals:
            inner = await net.listen(Address(boot.ip, port))
            nursery.start_soon(
                frames.serve,
                inner,
                news.handle,
                nursery,
                lambda why: telemetry.rare("peer.broken", error=why),
                AnswerSizes(telemetry.count, news.line).sent,
            )
            nursery.start_soon(program.tally, telemetry)
            nursery.start_soon(register.confirm)
            repair = Repair(register, telemetry.log)
            sweeps = Sweeps(news, news.asking, register, repair, clock, random)
            nursery.start_soon(sweeps.sweep)
            nursery.start_soon(sweeps.mend, seeds)
            nursery.start_soon(TransitionWatch(register, news, clock, telemetry.log).run)
            assert boot.control is not None
            control_port = boot.control.port
            handlers: dict[str, Resource] = {
                "servers.pulse": Pulse(cells, news, clock.now, control_port),
                "servers.departure": Departure(cells, news, clock.now),
                "setpoint.replace": Change(register, "replace", telemetry.log, news.newer),
                "setpoint.adjust": Change(register, "adjust", telemetry.log, news.newer),
                "setpoint.observe": Observe(register),
                "transitions.begin": Begin(register, news),
                "transitions.observe": ObserveTransition(register),
            }

            def beyond() -> str | None:
                to = news.standing.elsewhere(clock.now()) if news.apart() else None
                return f"{to.rpartition(':')[0]}:{control_port}" if to else "" if news.apart() else None

            resources = Resources(handlers, turns, beyond, CallWatch(telemetry))
            calls = Calls(clock, telemetry, nursery, resources.handle)
            clients = Clients(
                calls, Reader(), nursery, lambda: True, boot.descriptors, int(boot.memory_mb * 1e6)
            )
            listener = await net.listen(Address(*boot.control))
            nursery.start_soon(clients.accept, listener)
            nursery.start_soon(clients.sweep)
            settings = program.Settings(
                boot, lambda _: {"state": "noted: seeds are only needed at a start"}, telemetry.log
            )
            nursery.start_soon(settings.run)
            figures = Figures(telemetry, partial(gauges, register, cells, news))
            await endpoint.serve(boot, figures, clock, nursery)
            telemetry.log(
                "start",
                address=address,
                disk=register.me.disk,
                seed=seed,
                recalled=recalled,
                slot=register.decided.slot if register.decided else -1,
            )
            gc.collect()
            gc.freeze()
            async for number in signals:
                if number != signal.SIGHUP:
                    break
                settings.read()
            # Danger: with the receiver closed, a second SIGTERM would end this process before its place is
            # handed over.
            nursery.start_soon(program.pass_over, signals)
            clients.draining = True
            telemetry.log("ending")
            handed = await leave(news, repair, boot.seconds("tolerance", 6.0))
            nursery.cancel_scope.cancel()
    telemetry.log("exit", handed=handed)


def gauges(register: Register, cells: Cells, news: News) -> dict[str, float]:
    """Present values for whoever fetches the figures."""
    decided = register.decided
    return {
        "decided_slot": decided.slot if decided else -1,
        "configuration_version": decided.version if decided else -1,
        "core_members": len(decided.members) if decided else 0,
        "is_member": float(decided is not None and register.me in decided.members),
        "in_contact": float(news.joined()),
        "proved_newest": float(register.standing.proved),
        "disk_in_doubt": float(register.witness.doubted),
        "servers_known": len(cells.servers.rows),
        "transitions_tracked": sum(
            one.mode is Mode.TRACKING for one in (decided.transitions if decided is not None else ())
        ),
    }


def main() -> int:
    return program.main(serve)
