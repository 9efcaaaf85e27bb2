"""How many losses the core bears at a moment, by what is up and what lies on the disks.

Owns the measure of a span in which a further loss would stop the core. It must never ask a program: what
one says of itself may be wrong.
"""

from __future__ import annotations

from typing import Any

import msgpack
import trio

from finchshelf.agreement.core import Member, Value, majority
from finchshelf.simulation.fleet import PORTS, Process, World
from finchshelf.simulation.network import now

LOOK = 0.01  # s between two looks


def on_disk(process: Process) -> Any:
    disk = process.disk
    return None if disk is None or disk.synced is None else msgpack.unpackb(disk.synced)


def up(process: Process) -> bool:
    return process.life is not None and process.life.alive and process.machine.power


def newest(world: World) -> tuple[tuple[Member, ...], frozenset[Member]]:
    """The members that the newest decided value on any disk names, and those that have it on their own."""
    held: list[tuple[Member, Value]] = []
    for process in world.of("control"):
        state = on_disk(process)
        if state is not None and state["decided"] is not None:
            member = Member(f"{process.machine.host}:{PORTS[0]}", state["disk"])
            held.append((member, Value.unpack(state["decided"])))
    members = max((value for _, value in held), key=lambda value: value.slot).members
    return members, frozenset(
        member for member, value in held if value.members == members and member in members
    )


def voters(world: World) -> frozenset[Member]:
    """Those that are up, with the disk that they have."""
    return frozenset(
        Member(f"{one.machine.host}:{PORTS[0]}", state["disk"])
        for one in world.of("control")
        if up(one) and (state := on_disk(one)) is not None
    )


def margin(world: World) -> int:
    """Losses that leave more than half of the members up; -1 where more than half don't have on disk yet who
    the members are."""
    members, holders = newest(world)
    there, need = voters(world) & set(members), majority(len(members))
    if len(holders & there) < need:
        return -1
    return len(there) - need


async def until_borne(world: World, losses: int, limit: float, named: str = "") -> float:
    """s until the core bears so many losses, and `named` (a host) is a member; inf if not within `limit`."""
    began = now()
    while now() - began < limit:
        members, _ = newest(world)
        there = not named or f"{named}:{PORTS[0]}" in [one.address for one in members]
        if there and margin(world) >= losses:
            return now() - began
        await trio.sleep(LOOK)
    return float("inf")
