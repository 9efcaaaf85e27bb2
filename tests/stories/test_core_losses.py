"""Stories of a second loss: right after a repair, a replacement, or while one is under way.

Owns what is lost and when. It must never count a member that can't vote for one that can.
"""

from __future__ import annotations

import signal
from contextlib import suppress
from random import Random
from types import SimpleNamespace
from typing import cast

import pytest
import trio

from finchshelf.agreement import core
from finchshelf.agreement.core import Member, Value
from finchshelf.agreement.membership import DISK_FAILED_S
from finchshelf.agreement.store import Store
from finchshelf.cli import show
from finchshelf.configuration import boot as boot_file
from finchshelf.controlplane.cells import GONE_KEPT, Cells, Control
from finchshelf.controlplane.leaving import known, leave
from finchshelf.controlplane.memory import Memory
from finchshelf.controlplane.news import News
from finchshelf.controlplane.peers import Peers
from finchshelf.controlplane.register import Register
from finchshelf.controlplane.repair import Repair
from finchshelf.membership.records import Server as Record
from finchshelf.simulation.disk import Disk
from finchshelf.simulation.fleet import CONTROL, PORTS, World, fine
from finchshelf.simulation.network import now
from finchshelf.simulation.spans import margin, newest, on_disk, until_borne
from finchshelf.transport.address import Address
from finchshelf.transport.frames import PeerError

CONVERGENCE_S = 4.0  # `convergenceS` of the small sites: a machine that is back counts as lost so much longer


async def changed(world: World, number: int) -> bool:
    return await world.replace(world.configuration(number, number - 1)) == 200


def test_given_a_spare_whose_disk_is_full_when_a_member_is_lost_then_the_core_goes_on() -> None:
    """It would be named, count in the number that more than half is taken of, and have no vote."""

    async def story(world: World) -> None:
        world.bring("10.0.0.8", "zone0")
        spare = world.process("10.0.0.8", "control")
        assert spare.disk is not None
        spare.disk.mode = "full"
        await trio.sleep(4.0)
        assert margin(world) >= 1
        world.remove(world.core[1])
        await trio.sleep(1.0)
        assert await changed(world, 2)
        spare.disk.mode = "well"
        assert await until_borne(world, 1, CONVERGENCE_S, "10.0.0.8") < CONVERGENCE_S
        world.mend()

    fine(story, 401, limiters=1, servers=1)


@pytest.mark.parametrize("seed", [411, 412])
def test_given_the_first_in_the_order_waits_for_its_disk_when_a_member_is_lost_then_another_mends(
    seed: int,
) -> None:
    """Nor does a change wait for that disk, where the others suffice."""

    async def story(world: World) -> None:
        first = world.process(world.core[0], "control")
        assert first.disk is not None and await until_borne(world, 2, 10.0) < 10.0
        first.disk.mode = "hang"
        try:
            gone = world.core[-1]
            world.remove(gone)
            world.bring("10.2.0.9", "zone2")
            await trio.sleep(CONVERGENCE_S)
            named = [member.address for member in newest(world)[0]]
            world.operator.supervisors = [one for one in world.supervisors() if one.host == world.core[0]]
            taken = await changed(world, 2)
        finally:
            world.mend()  # danger: a write that hangs holds up the end of the day, and of a failed test
            world.operator.supervisors = world.supervisors()
        assert f"10.2.0.9:{PORTS[0]}" in named and f"{gone}:{PORTS[0]}" not in named and taken

    fine(story, seed, limiters=2, servers=1, controls=2)


@pytest.mark.parametrize(("seed", "mode"), [(471, "full"), (472, "hang")])
def test_given_a_member_whose_disk_takes_nothing_for_long_when_there_is_a_spare_then_it_is_replaced(
    seed: int, mode: str
) -> None:
    """It hears, answers and has no vote: named for good, the next loss would stop the core."""

    async def story(world: World) -> None:
        failing, gone, spare = world.core[1], world.core[2], "10.2.0.9"
        disk = world.process(failing, "control").disk
        assert disk is not None
        disk.mode = mode
        assert await changed(world, 2)
        world.bring(spare, "zone2")
        await trio.sleep(DISK_FAILED_S + CONVERGENCE_S)
        try:
            named = [member.address for member in newest(world)[0]]
            world.remove(gone)
            taken = await changed(world, 3)
        finally:
            world.mend()
        assert f"{spare}:{PORTS[0]}" in named and f"{failing}:{PORTS[0]}" not in named and taken
        # Its disk takes writes again: it is a spare, and takes the place of the one that is gone.
        await trio.sleep(CONVERGENCE_S)
        named = [member.address for member in newest(world)[0]]
        assert f"{failing}:{PORTS[0]}" in named and f"{gone}:{PORTS[0]}" not in named

    fine(story, seed, limiters=2, servers=1)


@pytest.mark.parametrize("mode", ["full", "hang"])
def test_given_a_disk_that_takes_nothing_for_a_while_when_it_does_again_then_its_member_stays(
    mode: str,
) -> None:
    async def story(world: World) -> None:
        failing = world.core[1]
        disk = world.process(failing, "control").disk
        assert disk is not None
        disk.mode = mode
        assert await changed(world, 2)
        world.bring("10.2.0.9", "zone2")
        await trio.sleep(DISK_FAILED_S - 2.0)
        world.mend()
        await trio.sleep(2 * DISK_FAILED_S)
        assert f"{failing}:{PORTS[0]}" in [member.address for member in newest(world)[0]]

    fine(story, 473, limiters=2, servers=1)


@pytest.mark.parametrize("seed", [413, 414])
def test_given_the_first_in_the_order_hears_nobody_when_a_member_is_lost_then_another_mends(
    seed: int,
) -> None:
    """A cut one way: the others hear it, and would wait for it."""

    async def story(world: World) -> None:
        assert await until_borne(world, 2, 10.0) < 10.0
        first, lost = world.core[0], world.core[-1]
        heal = world.cut([host for host in world.core if host != first], [first], both=False)
        await trio.sleep(0.1)
        world.remove(lost)
        world.bring("10.2.0.9", "zone2")
        await trio.sleep(CONVERGENCE_S)
        named = [member.address for member in newest(world)[0]]
        heal()
        assert f"10.2.0.9:{PORTS[0]}" in named and f"{lost}:{PORTS[0]}" not in named

    fine(story, seed, limiters=2, servers=1, controls=2)


@pytest.mark.parametrize("seed", [415, 416])
def test_given_the_first_in_the_order_does_not_hear_the_spare_when_a_member_is_lost_then_another_mends(
    seed: int,
) -> None:
    """It sees nothing to change, and who does see it is not the first: a turn comes after 0.7 s."""

    async def story(world: World) -> None:
        assert await until_borne(world, 1, CONVERGENCE_S) < CONVERGENCE_S
        first, lost, spare = world.core[0], world.core[-1], "10.2.0.9"
        world.remove(lost)
        heal = world.cut([first], [spare])
        world.bring(spare, "zone2")
        took = await until_borne(world, 1, CONVERGENCE_S, spare)
        heal()
        assert took < CONVERGENCE_S

    fine(story, seed, limiters=1, servers=1)


def test_given_the_own_disk_hangs_when_another_restarts_then_an_order_waits_for_that_one_alone() -> None:
    """A vote of its own that never comes must not keep an attempt from being made anew."""

    async def story(world: World) -> None:
        asked, other = world.process(world.core[0], "control"), world.core[1]
        assert asked.disk is not None and await until_borne(world, 1, CONVERGENCE_S) < CONVERGENCE_S
        await trio.sleep(4.0)
        asked.disk.mode = "hang"
        world.operator.supervisors = [one for one in world.supervisors() if one.host == world.core[0]]
        try:
            world.kill(other, "control", 0.3)
            with trio.fail_after(0.8):  # a second attempt of one call, not the operator's second call
                assert await changed(world, 2)
        finally:
            world.mend()  # danger: as above
            world.operator.supervisors = world.supervisors()

    fine(story, 417, limiters=1, servers=1)


def test_given_a_value_heard_with_the_news_when_the_power_goes_then_the_disk_has_it() -> None:
    """Whoever misses the one message of its proposer holds it no less."""
    seeds = ("10.0.0.1:7660", "10.0.0.2:7660", "10.0.0.3:7660")
    decided = Value(
        1,
        (*(Member(seed, core.FIRST) for seed in seeds[:2]), Member("10.0.0.9:7660", "new")),
        1,
        b"a document",
    )

    async def story(world: World) -> None:
        disk = Disk(Random(1))
        with world.being(world.operator.life):
            async with trio.open_nursery() as nursery:
                peers = cast(Peers, world)  # it has a nursery, and none is asked
                register = Register(
                    seeds[0], seeds, True, cast(Store, disk), peers, Random(1), lambda *_, **__: None
                )
                nursery.start_soon(register.keep)
                disk.mode = "full"
                register.learn(decided)
                await trio.sleep(0.5)
                assert disk.load()[0] is None
                disk.mode = "well"
                await trio.sleep(1.5)
                nursery.cancel_scope.cancel()
        state, _ = disk.load()
        assert state is not None and Value.unpack(state["decided"]) == decided

    fine(story, 421, limiters=1, servers=1)


def test_given_a_value_decided_while_a_disk_takes_nothing_when_it_takes_again_then_it_has_it_soon() -> None:
    """No change of members, so nobody asks whether it is settled: that disk may be all that is left
    to restore from."""

    async def story(world: World) -> None:
        last = world.process(world.core[-1], "control")
        assert last.disk is not None and await until_borne(world, 1, CONVERGENCE_S) < CONVERGENCE_S
        await trio.sleep(4.0)  # each has seen the first members settled
        last.disk.mode = "full"
        assert await changed(world, 2)
        await trio.sleep(0.5)
        last.disk.mode = "well"
        await trio.sleep(2.0)
        await world.power_off(*world.core)
        kept = Value.unpack(on_disk(last)["decided"])
        await world.power_off(*world.core, back=0.1)
        world.mend()
        assert kept.version == 2

    fine(story, 422, limiters=1, servers=1)


def test_given_all_seeds_replaced_in_turn_when_a_disk_is_wiped_then_it_is_found_without_its_seeds() -> None:
    """Its settings name only machines that have gone: the others ask it, for its address is a member's."""

    async def story(world: World) -> None:
        seeds = list(world.peers)
        for n, old in enumerate(list(world.core)):
            world.peers = [boot_file.Address(host, CONTROL) for host in world.core]
            world.bring(f"10.{n}.0.9", world.zones[n])
            assert await until_borne(world, 1, CONVERGENCE_S, f"10.{n}.0.9") < CONVERGENCE_S
            world.remove(old)
            await trio.sleep(0.1)
            assert await until_borne(world, 1, CONVERGENCE_S) < CONVERGENCE_S
        world.peers = seeds
        assert not {one.host for one in seeds} & set(world.core)
        wiped = world.core[0]
        await world.power_off(wiped, back=0.5, wipe=True)
        assert await until_borne(world, 1, CONVERGENCE_S) < CONVERGENCE_S
        world.remove(world.core[-1])
        assert await changed(world, 2)

    fine(story, 491, limiters=1, servers=1)


# ---- SIGTERM: a member goes once the others hold all ----


def ending(world: World, host: str) -> None:
    for one in world.processes:
        if one.machine.host == host:
            one.wanted = False
            one.say(signal.SIGTERM)


async def gone(world: World, host: str) -> float:
    """s until its control plane has ended."""
    began, life = now(), world.process(host, "control").life
    while life is not None and life.alive:
        assert now() - began < 6.0  # `toleranceS`
        await trio.sleep(0.01)
    return now() - began


@pytest.mark.parametrize("seed", [431, 432])
def test_given_a_spare_when_a_member_is_told_to_end_then_it_has_handed_over_before_it_goes(seed: int) -> None:
    async def story(world: World) -> None:
        world.bring("10.1.0.9", "zone1")
        assert await until_borne(world, 1, CONVERGENCE_S, "10.1.0.9") < CONVERGENCE_S
        ending(world, world.core[0])
        world.marks("10.0.0.1")
        assert await gone(world, "10.0.0.1") < 1.5
        members, _ = newest(world)
        assert margin(world) == 1 and f"10.0.0.1:{PORTS[0]}" not in [one.address for one in members]
        world.remove(world.core[-1])  # a second loss, at once
        assert await changed(world, 2)

    fine(story, seed, limiters=1, servers=1)


@pytest.mark.parametrize("seed", [441, 442])
def test_given_a_member_lost_when_another_is_told_to_end_then_it_waits_for_who_comes(seed: int) -> None:
    """It and one more are all that is left of three; the new one has nothing yet."""

    async def story(world: World) -> None:
        world.remove(world.core[2])
        await trio.sleep(0.2)
        leaver = world.core[0]
        ending(world, leaver)
        world.marks(leaver)
        await trio.sleep(0.8)
        world.peers = [boot_file.Address(host, CONTROL) for host in world.core]
        world.bring("10.2.0.9", "zone2")
        assert await gone(world, leaver) < 5.0
        assert await changed(world, 2)

    fine(story, seed, limiters=1, servers=1)


@pytest.mark.parametrize("seed", [443, 444])
def test_given_a_member_that_goes_when_a_new_one_is_named_and_lost_then_the_rest_go_on(seed: int) -> None:
    """Two of three are left; beside the one that goes, the new one would make it two of four."""

    async def story(world: World) -> None:
        leaver, spare = world.core[2], "10.2.0.9"
        ending(world, leaver)
        world.marks(leaver)
        await trio.sleep(0.6)
        world.bring(spare, "zone2")
        with trio.fail_after(CONVERGENCE_S):
            while f"{spare}:{PORTS[0]}" not in [member.address for member in newest(world)[0]]:
                await trio.sleep(0.01)
        world.remove(spare)
        assert await changed(world, 2)

    fine(story, seed, limiters=1, servers=1)


@pytest.mark.parametrize("seed", [445, 446])
def test_given_one_spare_when_two_of_three_are_told_to_end_then_the_rest_go_on(seed: int) -> None:
    """The first in the order of duty is one of them."""

    async def story(world: World) -> None:
        world.bring("10.1.0.9", "zone1")
        assert await until_borne(world, 1, CONVERGENCE_S, "10.1.0.9") < CONVERGENCE_S
        leavers = world.core[:2]
        for host in leavers:
            ending(world, host)
        world.marks(*leavers)
        for host in leavers:
            assert await gone(world, host) < 5.0
        assert await changed(world, 2)

    fine(story, seed, limiters=1, servers=1)


def test_given_nobody_to_hand_over_to_when_all_are_told_to_end_then_they_end_in_time() -> None:
    async def story(world: World) -> None:
        hosts = list(world.core)
        world.marks(*hosts)
        for host in hosts:
            for one in world.processes:
                if one.machine.host == host and one.role == "control":
                    one.say(signal.SIGTERM)
        for host in hosts:
            assert await gone(world, host) < 2.5
        await trio.sleep(3.0)
        assert await changed(world, 2)
        world.mend()

    fine(story, 451, limiters=1, servers=1)


def test_given_who_leaves_when_it_waits_then_it_is_no_candidate_and_most_know_its_servers() -> None:
    addresses = ("10.0.0.1:7660", "10.0.0.2:7660", "10.0.0.3:7660")
    cells = Cells(addresses[0], "north", 1.5, 1, 0.0)
    news = SimpleNamespace(
        asking=SimpleNamespace(counted=True),
        cells=cells,
        joined=lambda: False,
        register=SimpleNamespace(decided=core.genesis(addresses)),
    )
    repair = Repair(cast(Register, news.register), lambda *_, **__: None)
    cells.beat(Record("a", "10.9.0.1:80", "alpha", "north", 1, 3, "decaying"), 0.0)
    one, other = (cells.controls.setdefault(each, Control(each)) for each in addresses[1:])
    one.has, other.has = 1, 0
    assert not known(cast(News, news))
    other.has = 1
    assert known(cast(News, news))

    async def story(world: World) -> None:
        began = now()
        assert not await leave(cast(News, news), repair, 6.0)  # alone: it goes at once
        assert not news.asking.counted and now() - began < 1.0

    fine(story, 481, limiters=1, servers=1)


# ---- what is known of servers, after most that knew it are lost ----


async def states_of(world: World, name: str) -> set[str]:
    """What the control planes that answer tell of a server."""
    told = set[str]()
    with world.being(world.operator.life):
        for host in world.core:
            with suppress(PeerError):
                told |= {
                    row["state"]
                    for row in await show.servers([Address(host, PORTS[0])])
                    if row["server"] == name
                }
    return told


def test_given_a_control_plane_with_an_old_copy_when_the_rest_is_killed_then_what_left_stays_away() -> None:
    async def story(world: World) -> None:
        await trio.sleep(2.0)
        leaver = world.at("alpha")[0]
        old = world.process(world.core[2], "control")
        old.restart = 6.0
        world.marks(old.machine.host)
        old.end()
        await trio.sleep(0.5)
        await leaver.leave()
        await trio.sleep(1.0)
        for host in world.core[:2]:
            world.kill(host, "control")
        for _ in range(60):
            assert "stable" not in await states_of(world, leaver.name)
            await trio.sleep(0.05)
        assert await states_of(world, leaver.name) == {"gone"}
        world.mend()

    fine(story, 461, limiters=1)


def test_given_a_copy_of_servers_when_it_is_older_than_what_others_remember_then_it_is_not_used() -> None:
    async def story(world: World) -> None:
        disk = Disk(Random(1))
        kept = Cells("10.0.0.1:7660", "north", 1.5, 1, 0.0)
        for name, mode in (("a", "stable"), ("b", "decaying"), ("c", "stable")):
            kept.beat(Record(name, "10.9.0.1:80", "alpha", "north", 1, 3, mode), 0.0)
        kept.depart("c", 0.0)
        with world.being(world.operator.life), trio.move_on_after(4.0):
            await Memory(cast(Store, disk), kept, lambda *_, **__: None).run(lambda: 100.0)
        told = {"a": "stable", "b": "decaying", "c": "gone"}
        for now_at, modes in ((101.0, told), (150.0, {}), (50.0, {})):
            again = Cells("10.0.0.1:7660", "north", 1.5, 2, now_at)
            memory = Memory(cast(Store, disk), again, lambda *_, **__: None)
            assert memory.recall(now_at) == (2 if modes else 0)
            assert {name: one.mode for name, one in again.servers.rows.items()} == modes
            again.silent_servers(now_at + GONE_KEPT + 1.0, True)
            assert not any(one.usable() for one in again.servers.rows.values())
            assert "c" not in again.servers.rows

    fine(story, 471, limiters=1, servers=1)
