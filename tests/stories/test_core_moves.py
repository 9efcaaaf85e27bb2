"""Stories of moves: every member of the core goes and an empty one comes, while all duties go on.

Owns how a member is replaced and what must be seen beside the rules. It must never excuse anything by a
member's going: what the operators' page allows is no trouble.
"""

from __future__ import annotations

import math
import signal
from collections.abc import Callable
from dataclasses import dataclass, field, replace
from random import Random
from types import SimpleNamespace
from typing import cast
from unittest import mock

import orjson
import pytest
import trio

from finchshelf.agreement import core
from finchshelf.agreement.core import Member
from finchshelf.agreement.membership import may_go
from finchshelf.agreement.store import Store
from finchshelf.cli import show
from finchshelf.configuration import boot as boot_file
from finchshelf.controlplane import cells as tables
from finchshelf.controlplane.cells import Cells
from finchshelf.controlplane.news import News
from finchshelf.controlplane.peers import Peers
from finchshelf.controlplane.register import Register
from finchshelf.controlplane.resources import Pulse
from finchshelf.invariants import Monitor
from finchshelf.membership.records import DECAYING, GONE
from finchshelf.membership.records import Server as Record
from finchshelf.simulation.disk import Disk
from finchshelf.simulation.fleet import CONTROL, PORTS, World, fine
from finchshelf.simulation.network import now
from finchshelf.simulation.server import Server
from finchshelf.transport.address import Address
from finchshelf.transport.frames import PeerError

ACKNOWLEDGE_S = 5.0  # `acknowledgeMs`
VOTE_S = 2.5  # until a new member's vote counts, `REPLACE_S` and a look in it
CHANGE_EVERY, LEAVE_EVERY = 1.0, 1.5  # s
PATIENCE = 20.0  # s until a machine may go


@dataclass
class Moves:
    """One way to replace a member, and what was seen of it."""

    told: bool  # SIGTERM before it goes, or no word at all
    after: bool  # the new one comes after the old one went, or before
    pause: float | None = None  # s from one to the next, in the place of what `show members` says
    waited: list[float] = field(default_factory=list)  # s until the next might go
    voting: list[float] = field(default_factory=list)  # s from a new one's start to its vote
    stuck: str = ""
    over: bool = False  # no further change, no further server leaves
    drains: int = 0
    late: list[str] = field(default_factory=list)

    def acknowledged(self, world: World) -> list[float]:
        return [one.taken - one.sent for one in world.judge.versions[1:]]


async def changes(world: World, moves: Moves) -> None:
    number = 1
    while not moves.over:
        began, number = now(), number + 1
        keys = {"plain": ["key-plain", *([f"key-{number}"] if number % 2 else [])]}
        status = await world.replace(world.configuration(number, number - 1, keys=keys))
        if status != 200:
            moves.late.append(f"change {number}: {status}")
            return
        await trio.sleep(max(0.0, began + CHANGE_EVERY - now()))


async def leaving(world: World, moves: Moves) -> None:
    """Servers leave in order, each after another has come in its place."""
    while not moves.over:
        server = world.random.choice(
            [one for one in world.at("alpha") + world.at("beta") if one.mode == "stable"]
        )
        world.serve(server.service, server.machine.zone, server.machine.host, server.address.port + 1)
        await trio.sleep(0.5)
        world.nursery.start_soon(drained, world, server, moves)
        await trio.sleep(LEAVE_EVERY)


async def drained(world: World, server: Server, moves: Moves) -> None:
    began = now()
    await server.leave()
    moves.drains += 1
    took = world.judge.drained.get(server.name, math.inf) - began
    if took > ACKNOWLEDGE_S:
        moves.late.append(f"drain of {server.name}: {took:.1f} s")


async def free(world: World, host: str) -> bool:
    with world.being(world.operator.life):
        try:
            rows = await show.members([Address(one, PORTS[0]) for one in world.core])
        except PeerError:
            return False
    return any(row["may_go"] for row in rows if row["member"] == f"{host}:{PORTS[0]}")


async def ended(world: World, host: str, told: bool) -> None:
    mark = world.judge.trouble(host)  # the machine's alone: the core's duties go on
    mine = [one for one in world.processes if one.machine.host == host]
    for one in mine:
        one.wanted = False
        if told:
            one.say(signal.SIGTERM)
    with trio.move_on_after(6.0 if told else 0.0):
        while any(one.life is not None and one.life.alive for one in mine):
            await trio.sleep(0.05)
    world.network.machines[host].power = False
    for one in mine:
        one.end(dark=True)
        one.wake()
    world.judge.over(mark)


async def vote(world: World, host: str, moves: Moves) -> None:
    began = now()
    while not any(f"{host}:{PORTS[0]}" in fields["members"] for *_, fields in world.told("core.members")):
        await trio.sleep(0.02)
    moves.voting.append(now() - began)


async def replace_all(world: World, moves: Moves) -> None:
    for n, old in enumerate(list(world.core)):
        new, began = f"10.{n}.0.9", now()
        if moves.pause is not None:
            await trio.sleep(moves.pause if n else 0.0)
        else:
            with trio.move_on_after(PATIENCE) as scope:
                while not await free(world, old):
                    await trio.sleep(0.2)
            if scope.cancelled_caught:
                moves.stuck = f"{old} may never go"
                return
        moves.waited.append(now() - began)
        if moves.after:
            await ended(world, old, moves.told)
            await trio.sleep(world.random.uniform(0.2, 1.5))
        # Danger: an empty one that is told only of those that have gone hears nobody.
        world.peers = [boot_file.Address(host, CONTROL) for host in world.core]
        world.bring(new, world.zones[n])
        world.nursery.start_soon(vote, world, new, moves)
        if not moves.after:
            with trio.move_on_after(PATIENCE if moves.pause is None else moves.pause):
                while moves.pause is not None or len(moves.voting) <= n or not await free(world, old):
                    await trio.sleep(0.2)
            await ended(world, old, moves.told)


def played(seed: int, moves: Moves, **shape: int) -> World:
    async def story(world: World) -> None:
        world.nursery.start_soon(world.traffic, 12.0, 90.0)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(changes, world, moves)
            nursery.start_soon(leaving, world, moves)
            await trio.sleep(1.0)
            await replace_all(world, moves)
            await trio.sleep(5.0)  # the moves take half of the time that they took: as many servers leave
            moves.over = True
        await trio.sleep(ACKNOWLEDGE_S)

    return fine(story, seed, **shape)


WAYS: dict[str, Callable[[], Moves]] = {
    "told, new one after": lambda: Moves(True, True),
    "untold, new one after": lambda: Moves(False, True),
    "told, new one before": lambda: Moves(True, False),
    "untold, new one before": lambda: Moves(False, False),
}


@pytest.mark.parametrize(("way", "seed"), [(way, 301 + n) for n, way in enumerate(WAYS)])
def test_given_changes_and_drains_when_all_members_of_the_core_are_replaced_then_no_duty_is_missed(
    way: str, seed: int
) -> None:
    moves = WAYS[way]()
    world = played(seed, moves, limiters=1)
    assert not moves.stuck and not moves.late and len(moves.voting) == 3 and moves.drains > 3
    assert max(moves.acknowledged(world)) < ACKNOWLEDGE_S and max(moves.voting) < VOTE_S


@pytest.mark.parametrize("seed", [303, 305])
def test_given_an_empty_member_at_the_lowest_address_when_the_next_goes_soon_then_the_core_goes_on(
    seed: int,
) -> None:
    """The duty of naming members must not lie with one that has only just come up and does not do it."""
    moves = Moves(False, True, 2.0)
    world = played(seed, moves, limiters=1, servers=1)
    assert not moves.late and len(moves.voting) == 3 and max(moves.acknowledged(world)) < ACKNOWLEDGE_S


AWAY_S, RETURN_S = 9.0, 6.0  # without them; then until all beat at home: three beats and a start


# ---- a whole zone's control machines gone ----


async def cells_of(world: World, zone: str) -> tuple[set[str], set[str], set[str]]:
    """What those that are there tell of a zone: cells of its servers, states of these, limiters."""
    up = [one.machine.host for one in world.of("control") if one.life is not None and one.life.alive]
    with world.being(world.operator.life):
        at = [Address(host, PORTS[0]) for host in up[-1:]]
        mine = [row for row in await show.servers(at) if row["zone"] == zone and row["state"] != "gone"]
        limiters = {row["host"] for row in await show.limiters(at) if row["zone"] == zone}
    return {row["cell"].partition(":")[0] for row in mine}, {row["state"] for row in mine}, limiters


@pytest.mark.parametrize(("each", "seed"), [(1, 321), (2, 322)])
def test_given_a_zone_without_control_machines_when_they_are_back_then_its_servers_were_kept_and_return(
    each: int, seed: int
) -> None:
    """No trouble marked: a zone's control machines, one of a core of three or two of six, excuse nothing."""

    async def story(world: World) -> None:
        for n, zone in enumerate(world.zones * (each - 1)):
            world.bring(f"10.{n}.0.8", zone)
            await trio.sleep(2.0)
        world.usual(20.0)
        await trio.sleep(3.0)
        mine = world.of("control", "zone0")
        own = {one.machine.host for one in mine}
        edges = {one.machine.host for one in world.of("data", "zone0")}
        assert (await cells_of(world, "zone0"))[0] <= own and len(mine) == each
        began = now()
        for one in mine:
            one.restart = AWAY_S
            one.end()
        await trio.sleep(3.0)
        for _ in range(12):
            cells, states, limiters = await cells_of(world, "zone0")
            assert states == {"stable"} and limiters == edges
            await trio.sleep(0.25)
        assert not cells & own
        assert await world.replace(world.configuration(2, 1)) == 200
        leaver = next(one for one in world.at("alpha") if one.machine.zone == "zone0")
        world.nursery.start_soon(leaver.leave)
        await trio.sleep(1.5)
        assert world.judge.drained[leaver.name] < now()
        await trio.sleep_until(began + AWAY_S)
        with trio.fail_after(RETURN_S):
            while not (await cells_of(world, "zone0"))[0] <= own:
                await trio.sleep(0.25)
        _, states, limiters = await cells_of(world, "zone0")
        assert states == {"stable"} and limiters == edges

    world = fine(story, seed)
    assert world.judge.served() > 0.99


def test_given_members_that_change_when_another_finishes_the_change_then_it_is_told_once() -> None:
    told: list[str] = []
    seeds = ("10.0.0.1:7660", "10.0.0.2:7660", "10.0.0.3:7660")
    register = Register(
        seeds[0],
        seeds,
        True,
        cast(Store, Disk(Random(1))),
        cast(Peers, None),
        Random(1),
        lambda event, **_: told.append(event),
    )
    value = core.genesis(seeds)
    moved = replace(value, slot=1, members=(*value.members[:2], Member("10.0.0.9:7660", "new")))

    async def hear() -> None:
        for heard in (moved, replace(moved, slot=2, version=1), moved):
            register.learn(heard)

    trio.run(hear)
    assert told.count("core.members") == 1


# ---- what is known of acknowledged drains ----


def beat(count: int, mode: str) -> bytes:
    return orjson.dumps(
        {
            "address": "10.9.0.1:80",
            "observation": {"subsystem": "runner", "zone": "north"},
            "stateEstimate": {"mode": mode, "callCount": count},
        }
    )


def test_given_many_drains_when_their_ids_are_forgotten_then_the_drains_are_not() -> None:
    cells, most, at = Cells("10.0.0.1:7660", "north", 1.5, 1, 0.0), [True], [0.0]
    asked: list[str] = []

    async def hold(record: Record) -> bool:
        asked.append(record.id)
        return most[0]

    news = SimpleNamespace(hold=hold, wake=int, apart=bool, register=SimpleNamespace(monitor=Monitor(print)))
    pulse = Pulse(cells, cast(News, news), lambda: at[0], 8407)

    def status(name: str, count: int) -> int:
        return trio.run(pulse.call, name, beat(count, "decaying")).status

    with mock.patch.object(tables, "MOST_HELD", 5):
        assert [status(f"i-{n}", 1) for n in range(9)] == [200] * 9 and len(cells.held.beats) == 5
        assert status("i-8", 2) == 200 and len(asked) == 9  # known: nobody is asked
        most[0] = False
        assert status("i-0", 2) == 503  # forgotten: not said again unless most hold it
        at[0] = tables.HELD_KEPT + 1.0
        assert status("i-8", 3) == 503
        most[0] = True
        assert status("i-8", 4) == 200 and list(cells.held.beats) == ["i-8"]
        cells.depart("i-8", at[0])
    assert not cells.held.beats
    assert {one.mode for one in cells.servers.rows.values()} == {DECAYING, GONE}
    assert not any(one.usable() for one in cells.servers.rows.values()) and len(cells.servers.rows) == 9


@pytest.mark.parametrize("seed", [311])
def test_given_no_room_for_ids_of_drains_when_servers_leave_then_each_is_left_alone(seed: int) -> None:
    async def story(world: World) -> None:
        world.usual(10.0, rate=60.0)
        await trio.sleep(1.0)
        leavers = [*world.at("alpha")[:3], *world.at("beta")[:3]]
        for server in leavers:
            world.nursery.start_soon(server.leave, 5.0)
        await trio.sleep(9.0)
        assert all(server.acknowledged.is_set() for server in leavers)

    with mock.patch.object(tables, "MOST_HELD", 1):
        fine(story, seed)


@pytest.mark.parametrize(
    ("members", "voting", "free"),
    [
        ("abc", "abc", "abc"),
        ("abc", "ab", "c"),
        ("abc", "a", ""),
        ("abcd", "abcd", "abcd"),
        ("abcd", "abc", "d"),
        ("abcde", "abcd", "abcde"),
        ("abcde", "abc", "de"),
    ],
)
def test_given_who_votes_when_a_member_is_to_go_then_more_than_half_are_left(
    members: str, voting: str, free: str
) -> None:
    named = {letter: Member(f"10.0.0.{n}:7660", letter) for n, letter in enumerate("abcde")}
    found = may_go(tuple(named[one] for one in members), frozenset(named[one] for one in voting))
    assert found == {named[one] for one in free}
