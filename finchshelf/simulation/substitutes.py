"""What stands in the place of network, disk, clock, signals and log while the real programs run in memory.

Owns these substitutes and how long they are in place. It must never decide what is done to a program, or know
what a message means.
"""

from __future__ import annotations

import gc
from collections.abc import Iterator
from contextlib import ExitStack, contextmanager
from types import SimpleNamespace
from typing import Any
from unittest import mock

import trio
from trio._core import _run as trio_run

from finchshelf import program as settings
from finchshelf.controlplane import process as control_plane
from finchshelf.controlplane import register
from finchshelf.dataplane import process as data_plane
from finchshelf.dataplane import questions
from finchshelf.simulation import network as wires
from finchshelf.simulation.disk import run_sync
from finchshelf.simulation.judge import Judge
from finchshelf.simulation.network import Life, current
from finchshelf.transport import halts, net
from finchshelf.transport.exchange import Clock
from finchshelf.transport.telemetry import Telemetry

EPOCH = 1_800_000_000.0  # Unix time at which a day begins
UNFORESEEN = ("core.error", "clients.error", "servers.error", "calls.error", "peer.unfit")


class WorldClock(Clock):
    """Each machine's time of day, by the world's one clock."""

    def __init__(self) -> None:
        self.origin = EPOCH + current.get().machine.offset

    def now(self) -> float:
        return self.origin + trio.current_time()


class Notes(Telemetry):
    """What a program logs, kept for whoever looks into a story that failed."""

    def __init__(self, life: Life, judge: Judge, lines: list[tuple[float, str, str, Any]]) -> None:
        super().__init__(life.name)
        self.life, self.judge, self.lines = life, judge, lines

    def log(self, event: str, **fields: Any) -> None:
        self.lines.append((trio.current_time(), self.name, event, fields))

    def rare(self, event: str, **fields: Any) -> None:
        self.count[event] += 1
        if event in UNFORESEEN and self.life.alive:
            self.judge.fault("FAULT", f"{self.name}: {event}: {fields}")
        if self.count[event] < 20:
            self.log(event, **fields)


@contextmanager
def signals(*_: int) -> Iterator[trio.MemoryReceiveChannel[int]]:
    yield current.get().signals


def time_of_day() -> float:
    return EPOCH + current.get().machine.offset + trio.current_time()


def token_hex(size: int) -> str:
    return current.get().random.randbytes(size).hex()


real_wait = trio.lowlevel.wait_readable


async def wait_readable(sock: Any) -> None:
    if isinstance(sock, wires.Datagrams):
        return await sock.wait()
    await real_wait(sock)


async def pause(seconds: float) -> None:
    """What tells a process of its halts stands still with its machine."""
    await trio.sleep(seconds)
    while current.get().machine.frozen:
        await trio.sleep(0.01)


@contextmanager
def replaced() -> Iterator[None]:
    """Network, disk, clock, threads and signals of the programs are the world's."""
    with ExitStack() as stack:
        for name in ("connect", "listen", "accept", "queued"):
            stack.enter_context(mock.patch.object(net, name, getattr(wires, name)))
        stack.enter_context(mock.patch.object(questions, "opened", wires.Datagrams))
        stack.enter_context(mock.patch.object(trio.lowlevel, "wait_readable", wait_readable))
        stack.enter_context(mock.patch.object(halts, "pause", pause))
        stack.enter_context(mock.patch.object(trio, "open_signal_receiver", signals))
        stack.enter_context(mock.patch.object(trio.to_thread, "run_sync", run_sync))
        stack.enter_context(
            mock.patch.object(control_plane, "Store", lambda folder, _: current.get().store.at(folder))
        )
        stack.enter_context(mock.patch.object(register, "secrets", SimpleNamespace(token_hex=token_hex)))
        stack.enter_context(mock.patch.object(settings, "read_boot", lambda _: current.get().boot))
        for program in (data_plane, control_plane):
            nothing = SimpleNamespace(collect=int, freeze=int, set_threshold=lambda *_: None)
            stack.enter_context(mock.patch.object(program, "gc", nothing))
            stack.enter_context(mock.patch.object(program, "time", SimpleNamespace(time=time_of_day)))
            stack.enter_context(mock.patch.object(program, "Clock", WorldClock))
        # One seed, one run: trio shuffles who runs first by chance of its own.
        stack.enter_context(mock.patch.object(trio_run, "_ALLOW_DETERMINISTIC_SCHEDULING", True))
        yield


@contextmanager
def uncollected() -> Iterator[None]:
    """A day makes no more than a process can hold; the search for cycles would cost a tenth of it."""
    was = gc.isenabled()
    gc.disable()
    try:
        yield
    finally:
        if was:
            gc.enable()
