"""Starts and ends one node: configuration, parts, signals.

Owns the order of start, of a new configuration (SIGHUP) and of a planned end (SIGTERM). It must never know
what a request is: parts talk to each other through the core's queue, and this file only puts them together.
"""

from __future__ import annotations

import gc
import os
import signal
import sys
from contextlib import suppress
from dataclasses import dataclass

import trio

from finchshelf.node.config import Config, ConfigError, load
from finchshelf.node.core import FOLLOW, Core
from finchshelf.node.counter import Counter
from finchshelf.node.dialect import Reader, Words
from finchshelf.node.discovery import Discovery
from finchshelf.node.items import Renewal
from finchshelf.node.operator import Operator
from finchshelf.transport import net
from finchshelf.transport.address import Address
from finchshelf.transport.clients import Clients
from finchshelf.transport.exchange import Clock
from finchshelf.transport.servers import Servers
from finchshelf.transport.telemetry import Telemetry

SIGNALS = (signal.SIGTERM, signal.SIGINT, signal.SIGUSR1, signal.SIGHUP)
LAST_CALLS = 0.5  # s after SIGTERM in which new connections are still taken
LAST_WORD = 0.3  # s more for the first request on a connection taken late
TALLY_EVERY = 1.0  # s between two lines of what the counters gained
COLLECT_EVERY = 20_000  # new objects until the collector looks at the young ones: most die by count alone


@dataclass(slots=True)
class Node:
    """The parts of a running node."""

    core: Core
    servers: Servers
    counter: Counter | None
    discovery: Discovery
    clients: Clients
    address: Address
    config: Config
    operator: Address | None = None

    def now(self) -> dict[str, int]:
        """What is held at this moment, to stand beside the counters."""
        return {
            "now.requests": len(self.core.live),
            "now.attempts": len(self.core.out),
            "now.former": len(self.core.former),
            "now.clients": len(self.clients.connections),
            "now.servers": self.servers.open,
        }


async def serve(
    config: Config, telemetry: Telemetry, task_status: trio.TaskStatus[Node] = trio.TASK_STATUS_IGNORED
) -> None:
    core = Core(config, Clock(), telemetry, beside=another(config.state))
    async with trio.open_nursery() as parts:
        core.servers = servers = Servers(core, Words(config), parts, config.descriptors)
        core.counter = counter = Counter(core, config, config.counter, parts) if config.counter else None
        discovery = Discovery(core, config)
        clients = Clients(
            core,
            Reader(config),
            parts,
            lambda: core.listed and discovery.asked,
            config.descriptors,
            config.memory,
        )
        operator = Operator(core, config, clients.takes)
        operator.restore()
        # Danger: in an upgrade a second process of this limiter listens beside this one on the same address.
        listener = await net.listen(config.listen, shared=True)
        address = Address(*listener.getsockname()[:2])
        second_address = None
        if config.operator is not None:
            second = await net.listen(config.operator, backlog=64)
            second_address = Address(*second.getsockname()[:2])
            parts.start_soon(operator.serve, second, parts)
            telemetry.log("operator", listen=str(second_address))
        parts.start_soon(operator.follow)
        with trio.open_signal_receiver(*SIGNALS) as signals:
            discovery.begin()
            for task in (core.run, core.halts.beat, servers.sweep, clients.sweep, discovery.run):
                parts.start_soon(task)
            parts.start_soon(tally, telemetry)
            accepting = trio.CancelScope()
            parts.start_soon(clients.accept_within, listener, accepting)
            telemetry.log("start", listen=str(address))
            if config.messages:
                telemetry.log("messages", state="not carried")
            node = Node(core, servers, counter, discovery, clients, address, config, second_address)
            task_status.started(node)
            gc.collect()
            gc.freeze()
            gc.set_threshold(COLLECT_EVERY, 20, 50)
            async for number in signals:
                if number == signal.SIGUSR1:
                    telemetry.counters("asked", **node.now())
                elif number == signal.SIGHUP:
                    reload(node, telemetry)
                elif not clients.draining:
                    clients.draining = True
                    telemetry.log("ending", unanswered=len(core.live), connections=len(clients.connections))
                    # Signals are still listened to: what is unanswered needs the counter where it is by now.
                    parts.start_soon(finish, node, listener, accepting, parts.cancel_scope)
    telemetry.counters("exit", **node.now())
    telemetry.log("exit", unanswered=len(core.live))


def another(state: str) -> bool:
    """Does a former process of this limiter still run, as in an upgrade? Leaves word for the next one.

    The word is a file in `$TMPDIR`, which both processes of an upgrade share and a new machine has empty."""
    path, running = f"{state}.running", False
    with suppress(OSError, ValueError):
        with open(path, encoding="ascii") as source:
            number = int(source.read(20))
        running = number != os.getpid() and os.path.exists(f"/proc/{number}")
    with suppress(OSError), open(path, "w", encoding="ascii") as sink:
        sink.write(f"{os.getpid()}")
    return running


async def tally(telemetry: Telemetry) -> None:
    while True:
        await trio.sleep(TALLY_EVERY)
        telemetry.tally()


def reload(node: Node, telemetry: Telemetry) -> None:
    """Take discovery's and the counter's address and the settings from the file as it is now."""
    try:
        config = load(former=node.config)
    except ConfigError as error:
        telemetry.count["reloads.refused"] += 1
        telemetry.log("reload", state="kept the old", error=str(error))
        return
    if config.settings.counter and node.counter is None:
        telemetry.log("reload", state="kept the old", error="calls to a counter need a start with one")
        return
    telemetry.count["reloads"] += 1
    present = node.config
    if (config.settings, config.around) != (present.settings, present.around):
        # Danger: a call read by former names and decided by new ones. No other task runs between these.
        node.config = config
        node.clients.renew(Reader(config), FOLLOW)
        node.servers.renew(Words(config))
        node.discovery.renew(config)
        if node.counter is not None:
            node.counter.renew(config)
        node.core.put(Renewal(config))
    telemetry.log("reload", state="taken", discovery=str(config.discovery), counter=str(config.counter or ""))
    node.discovery.move(config.discovery)
    if node.counter is not None and config.counter is not None:
        node.counter.move(config.counter)


async def finish(
    node: Node, listener: trio.socket.SocketType, accepting: trio.CancelScope, parts: trio.CancelScope
) -> None:
    await node.clients.leave(listener, accepting, LAST_CALLS, LAST_WORD)
    parts.cancel()


def main() -> int:
    try:
        config = load()
    except ConfigError as error:
        print(f"finchshelf: {error}", file=sys.stderr)
        return 2
    status = 0
    try:
        trio.run(serve, config, Telemetry(config.name))
    except* OSError as group:
        print(f"finchshelf: cannot listen on {config.listen}: {group.exceptions[0]}", file=sys.stderr)
        status = 1
    return status
