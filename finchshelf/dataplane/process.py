"""Starts and ends a data plane: settings, parts, signals.

Owns the order of start, of new settings and of a planned end. It must never know what a request is.
"""

from __future__ import annotations

import gc
import signal
import sys
import time
from dataclasses import replace
from functools import partial
from random import Random

import trio

from finchshelf import program
from finchshelf.configuration.boot import Boot
from finchshelf.dataplane.checks import QuotaMargins
from finchshelf.dataplane.core import Core
from finchshelf.dataplane.dialect import Reader, Words
from finchshelf.dataplane.follower import Follower
from finchshelf.dataplane.leaving import Leaving
from finchshelf.dataplane.questions import Questions
from finchshelf.dataplane.teller import Teller
from finchshelf.experience.policy import DEFAULT, Policy
from finchshelf.membership.records import Limiter
from finchshelf.metrics import endpoint
from finchshelf.metrics.figures import Figures
from finchshelf.transport import calls, net
from finchshelf.transport.address import Address
from finchshelf.transport.clients import Clients
from finchshelf.transport.exchange import Clock
from finchshelf.transport.servers import Servers
from finchshelf.transport.telemetry import Telemetry

TURNED_AWAY = 3.2  # s after SIGTERM by which the platform has seen two misses and sends no new connections
LAST_WORD = 0.4  # s more for the first request on a connection taken late
LEAVE = 0.4  # s before the platform's SIGKILL by which this process has ended
SAID, SAY_AGAIN = 2, 0.05  # times that holders are told of the end, and s between: a datagram may be lost
SIGNALS = (signal.SIGTERM, signal.SIGINT, signal.SIGHUP, signal.SIGUSR1)
COLLECT_EVERY = 20_000  # new objects until the collector looks at the young ones: most die by count alone
READY = b"/v1/readiness"


async def serve(boot: Boot, telemetry: Telemetry, seed: int, policy: Policy = DEFAULT) -> None:
    clock, random = Clock(), Random(seed)
    control, counts = boot.port_range[0], boot.port_range[0] + 1
    me = Limiter(boot.node, int(time.time() * 1000), boot.ip, boot.zone)
    assert boot.front is not None and boot.readiness is not None
    margins = boot.margins
    core = Core(
        boot.node,
        boot.zone,
        clock,
        telemetry,
        random,
        float(margins.get("retryRatio", 0.2)),
        float(margins.get("retrySlack", 0.0)),
        policy,
        QuotaMargins(
            boot.seconds("quotaWindow", 5.0),
            float(margins.get("quotaOvershoot", 0.1)),
            float(margins.get("quotaSlack", 20.0)),
        ),
    )
    async with trio.open_nursery() as nursery:
        core.counting.wire = wire = Questions(Address(boot.ip, counts), core.counting, telemetry, me.life)
        core.servers = Servers(core, Words(core.probe_path), nursery, boot.descriptors)
        memory = int(boot.memory_mb * 1e6)
        core.clients = clients = Clients(
            core, Reader(core.configuration), nursery, lambda: True, boot.descriptors, memory
        )
        seeds = [f"{peer.host}:{control}" for peer in boot.initial_peers]
        follower = Follower(
            me,
            seeds,
            control,
            clock,
            core.put,
            random,
            telemetry.log,
            nursery,
            core.seen,
            core.choice.usual if policy.on else None,
        )
        follower.count = telemetry.count
        core.counting.in_touch = follower.in_touch
        follower.report_versions = lambda: core.trials.report(core.live.values())
        follower.suspects = core.counting.probing.report
        looked_at = calls.Calls(clock, telemetry, nursery, None)
        readiness = Clients(
            looked_at, calls.Reader(READY), nursery, lambda: core.ready() and follower.settled(), 64, memory
        )
        # Danger: a signal that comes when others may call already, but before it is waited for, would end
        # this process at once, with requests unanswered.
        with trio.open_signal_receiver(*SIGNALS) as signals:
            front = await net.listen(Address(*boot.front))
            gate = await net.listen(Address(*boot.readiness))
            accepting = trio.CancelScope()
            sweeps = core.servers.sweep, clients.sweep, readiness.sweep
            nursery.start_soon(program.tally, telemetry, core.counting.punctuality.report)
            settings = program.Settings(boot, lambda new: reseed(follower, control, new), telemetry.log)
            for task in (settings.run, core.run, core.halts.beat, wire.run, follower.run, *sweeps):
                nursery.start_soon(task)
            if policy.on:
                nursery.start_soon(Teller(core.steering, follower, clock, nursery, telemetry.log).run)
            nursery.start_soon(readiness.accept, gate)
            nursery.start_soon(clients.accept_within, front, accepting)
            figures = Figures(telemetry, partial(gauges, core, clients, follower))
            await endpoint.serve(boot, figures, clock, nursery)
            telemetry.log("start", front=str(Address(*boot.front)), seed=seed)
            gc.collect()
            gc.freeze()
            gc.set_threshold(COLLECT_EVERY, 20, 50)
            async for number in signals:
                if number == signal.SIGHUP:
                    settings.read()
                elif number == signal.SIGUSR1:
                    telemetry.counters("asked", requests=len(core.live))
                    core.failures.tell()
                else:
                    break
            # Danger: with the receiver closed, a second SIGTERM would end this process at once, with
            # requests unanswered.
            nursery.start_soon(program.pass_over, signals)
            readiness.draining = clients.draining = True
            left_s = max(1.0, boot.seconds("tolerance", 6.0) - LEAVE)
            core.leaving = Leaving(clock.now(), clock.now() + left_s)
            telemetry.log("ending", unanswered=len(core.live), connections=len(clients.connections))
            with trio.move_on_after(left_s):
                await clients.leave(front, accepting, TURNED_AWAY, LAST_WORD)
            for _ in range(SAID):
                core.counting.leave()
                await trio.sleep(SAY_AGAIN)
            nursery.cancel_scope.cancel()
    telemetry.counters("exit", unanswered=len(core.live))


def gauges(core: Core, clients: Clients, follower: Follower) -> dict[str, float]:
    """Present values for whoever fetches the figures."""
    return {
        "requests_open": len(core.live),
        "connections": len(clients.connections),
        "configuration_version": core.configuration.version,
        "configuration_slot": follower.slot,
        "servers_known": len(core.choice.table),
        "limiters_known": len(core.counting.limiters),
        "ready": float(core.ready() and follower.settled()),
    }


def reseed(follower: Follower, control: int, boot: Boot) -> dict[str, object]:
    """Seeds may have changed; whoever is followed already stays followed."""
    follower.seeds = [f"{peer.host}:{control}" for peer in boot.initial_peers]
    for address in follower.seeds:
        follower.meet(address, "")
    return {"state": "taken", "seeds": follower.seeds}


def switched(words: list[str]) -> Policy | None:
    """The policy by the command's words: `--experience on|off`, `--probes N`; None where they are others."""
    given = dict(zip(words[::2], words[1::2], strict=False))
    on, probes = given.get("--experience", ""), given.get("--probes", "")
    fine = len(words) == 2 * len(given) and given.keys() <= {"--experience", "--probes"}
    fine = fine and ("--experience" not in given or on in ("on", "off"))
    fine = fine and ("--probes" not in given or (probes.isdecimal() and len(probes) <= 2))
    if not fine:
        return None
    return replace(DEFAULT, on=on == "on" if on else DEFAULT.on, probes=int(probes or DEFAULT.probes))


def main() -> int:
    policy = switched(sys.argv[1:])
    if policy is None:
        print("finchshelf: expected no argument, or --experience on|off, --probes N", file=sys.stderr)
        return 2
    return program.main(partial(serve, policy=policy))
