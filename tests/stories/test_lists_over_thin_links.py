"""The whole fleet starts while some control planes have a thin link, over which all lists take seconds."""

from __future__ import annotations

from dataclasses import replace
from typing import Any

import pytest
import trio

from finchshelf.configuration.boot import Boot
from finchshelf.simulation.fleet import Process, Story, World, play
from finchshelf.simulation.network import Machine
from finchshelf.simulation.server import Server

LIMITERS, STRONG, THIN = 36, 3, 3
SERVERS_EACH = 60  # of each of two services
LONG_NAME = "x" * 100  # of each server, so that few servers make a list as large as that of hundreds
WIDE_BYTES_S, THIN_BYTES_S = 12_500_000, 100_000
TRAFFIC_BEGINS_S = 12.0  # after the machines start, at the large sites
CONVERGENCE_S = 6.0  # `convergenceS` of those sites: a machine counts as lost for so long after its start
HELD_S = 5.0  # for which a fleet that is ready is watched
TENANTS = {"plain": (0.0, 0.0), **{f"tenant{n}": (10.0, 10.0) for n in range(40)}}


class ThinLinks(World):
    """One zone; the first machines run a control plane of the core, the next ones one without a disk."""

    def boot(self, process: Process) -> Boot:
        number = int(process.machine.host.rpartition(".")[2])
        thin = STRONG < number <= STRONG + THIN
        process.machine.speed = THIN_BYTES_S if thin else WIDE_BYTES_S
        return replace(super().boot(process), bandwidth_mbps=process.machine.speed * 8 / 1e6)

    def add(self, host: str, zone: str, control: bool) -> Machine:
        machine = super().add(host, zone, control)
        if STRONG < int(host.rpartition(".")[2]) <= STRONG + THIN:
            self.processes.append(Process(self, machine, "control", None))
        return machine

    def serve(self, service: str, zone: str, host: str, port: int = 8080, **ways: Any) -> Server:
        return super().serve(service, zone, host, port, name=f"i-{self.named + 1}-{LONG_NAME}", **ways)

    def ready(self) -> int:
        return sum(self.inside.get(host, 2) == 0 for host in self.edges)


async def start(world: World) -> None:
    assert isinstance(world, ThinLinks)
    await trio.sleep_until(TRAFFIC_BEGINS_S)
    assert world.ready() == LIMITERS
    before = world.counted("count.out_of_touch")
    await trio.sleep(HELD_S)
    assert world.ready() == LIMITERS
    assert world.counted("count.out_of_touch") == before


async def kill_all(world: World) -> None:
    """All processes are killed at one moment, and each that comes up asks for all lists anew."""
    assert isinstance(world, ThinLinks)
    await trio.sleep_until(TRAFFIC_BEGINS_S)
    for host in list(world.edges):
        world.kill(host)
    await trio.sleep(CONVERGENCE_S)
    before = world.counted("count.out_of_touch")
    await trio.sleep(HELD_S)
    assert world.ready() == LIMITERS
    assert world.counted("count.out_of_touch") == before


def day(told: Story, seed: int) -> None:
    shape = {"zones": 1, "limiters": LIMITERS, "servers": SERVERS_EACH, "controls": STRONG}
    play(told, seed, make=ThinLinks, tenants=TENANTS, **shape)


@pytest.mark.parametrize("seed", [1, 2])
def test_given_thin_links_when_all_start_then_no_limiter_stays_out_of_touch_behind_lists(seed: int) -> None:
    day(start, seed)


def test_given_thin_links_when_all_are_killed_then_no_limiter_stays_out_of_touch_behind_lists() -> None:
    day(kill_all, 1)
