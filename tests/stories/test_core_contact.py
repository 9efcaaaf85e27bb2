"""Stories of a control plane that is cut off for twenty seconds: what it may say, and who still gets on.

Owns the cut and who is left with the machine behind it. It must never cut limiters, servers or operators off
from the side that decides, unless the story says so.
"""

from __future__ import annotations

import math
from collections.abc import Callable
from functools import partial

import pytest
import trio

from finchshelf.cli import show
from finchshelf.configuration import boot as boot_file
from finchshelf.membership import contact, rendezvous
from finchshelf.simulation.fleet import CONTROL, PORTS, World, fine, play
from finchshelf.simulation.judge import CORE
from finchshelf.simulation.network import now
from finchshelf.transport.address import Address

CUT_S, SETPOINT_S, ACKNOWLEDGE_S = 20.0, 2.5, 3.0
NEW = {"read": ("/read/", "nullipotent", "alpha"), "new": ("/new/", "nullipotent", "beta")}


def alone(world: World, host: str, way: str) -> list[tuple[str, str]]:
    """The links between that control plane and all others; `way`: out of it, into it or both."""
    others = [one for one in world.core if one != host]
    out, into = {(host, one) for one in others}, {(one, host) for one in others}
    return sorted({"out": out, "in": into, "both": out | into}[way])


def apart(world: World, host: str, way: str = "both") -> Callable[[], None]:
    """Cut it off until the returned is called. The rules hold for all other machines `contactMs` after either
    moment, and throughout in between."""
    pairs = set(alone(world, host, way))
    world.network.cuts |= pairs
    world.judge.over(world.judge.trouble(CORE))
    mark = world.judge.trouble(host)

    def heal() -> None:
        world.network.cuts -= pairs
        world.network.pump()
        world.judge.over(mark)
        world.judge.over(world.judge.trouble(CORE))

    return heal


def spare_limiter(world: World) -> str:
    return next(one.machine.host for one in world.of("data") if one.machine.host not in world.core)


@pytest.mark.parametrize("way", ["both", "out", "in"])
def test_given_a_limiter_that_knows_only_the_machine_cut_off_when_it_starts_then_it_finds_the_others(
    way: str,
) -> None:
    async def story(world: World) -> None:
        await trio.sleep(4.0)
        lost, limiter = world.core[0], spare_limiter(world)
        heal = apart(world, lost, way)
        await trio.sleep(4.0)
        assert await world.replace(world.configuration(2, 1, routes=NEW)) == 200
        # Given that limiter, which reaches all, starts anew and its settings name the machine cut off alone
        world.peers = [boot_file.Address(lost, CONTROL)]
        world.kill(limiter, "data", 0.2)
        await trio.sleep(SETPOINT_S + 3.5)
        # Then it has what the others decided, and never served what they have left behind
        seen = await world.ask(world.network.machines[limiter].zone, "/new/", front=limiter, tries=1)
        assert seen.status == 200
        heal()
        await trio.sleep(1.0)

    fine(story, 71, limiters=2, controls=1)


@pytest.mark.parametrize("kind", ["both", "out", "in", "seeds", "restarted"])
def test_given_a_machine_cut_off_for_twenty_seconds_then_no_rule_is_broken(kind: str) -> None:
    cut_off_for_long(kind, 72)


def cut_off_for_long(kind: str, seed: int) -> None:
    """`kind`: `seeds`: of six, two that settings name; `restarted`: with an old disk, meanwhile."""

    async def story(world: World) -> None:
        await trio.sleep(6.0)
        lost = world.core[:2] if kind == "seeds" else world.core[:1]
        heals = [apart(world, host, kind if kind in ("out", "in") else "both") for host in lost]
        end = now() + CUT_S
        # Given servers that leave, a new one, and a limiter that starts anew, which reach all
        leaving, limiter = world.at("alpha")[-2:], spare_limiter(world)
        world.usual(CUT_S, rate=60.0)
        world.nursery.start_soon(leaving[0].leave)
        await trio.sleep(3.1)
        number, restarted = 1, False
        while now() < end - 3.0:
            began, number = now(), number + 1
            assert await world.replace(world.configuration(number, number - 1)) == 200
            assert now() - began < ACKNOWLEDGE_S
            await trio.sleep(1.5)
            if not restarted:
                restarted = True
                world.kill(limiter, "data", 0.3)
                world.nursery.start_soon(leaving[1].leave)
                world.serve("alpha", world.zones[0], "10.0.1.9")
                for host in lost if kind == "restarted" else ():
                    world.kill(host, "control", 0.3)
        await trio.sleep(end - now())
        # Then whoever decides knows each server that stays, and took none for lost
        with world.being(world.operator.life):
            for host in world.core[len(lost) :]:
                rows = await show.servers([Address(host, PORTS[0])])
                known = {row["server"] for row in rows if row["state"] == "stable"}
                assert known == {name for name, one in world.servers.items() if one.life.alive}
        assert all(one.acknowledged.is_set() for one in leaving)
        for heal in heals:
            heal()
        await trio.sleep(4.0)

    many = kind == "seeds"
    fine(story, seed, limiters=3 if many else 2, controls=2 if many else 1)


@pytest.mark.parametrize("way", ["both", "out", "in"])
def test_given_an_operator_and_a_server_that_know_only_the_machine_cut_off_then_they_are_acknowledged_in_time(
    way: str,
) -> None:
    async def story(world: World) -> None:
        await trio.sleep(4.0)
        lost = world.core[0]
        heal = apart(world, lost, way)
        await trio.sleep(3.1)
        for number in (2, 3):
            began = now()
            only = [Address(lost, CONTROL)]
            document = world.configuration(number, number - 1)
            assert await world.replace(document, at=only, limit=ACKNOWLEDGE_S) == 200
            assert now() - began < 1.0
        server = world.at("alpha")[0]
        server.supervisors, server.target = [Address(lost, CONTROL)], None
        began = now()
        with world.being(server.life):
            assert await server.drain() and now() - began < 1.0
        heal()
        await trio.sleep(1.0)

    fine(story, 73, limiters=2, controls=1)


def test_given_limiters_that_start_anew_behind_the_cut_then_a_tenant_keeps_to_its_limit() -> None:
    async def story(world: World) -> None:
        await trio.sleep(4.0)
        zone = world.zones[0]
        inside = [one.machine.host for one in world.processes if one.machine.zone == zone]
        outside = [one.machine.host for one in world.processes if one.machine.zone != zone]
        heal_all = world.cut(inside, outside)
        await trio.sleep(8.0)
        for host in {*inside}:
            world.kill(host, "data", 0.2)
        # Until then who starts there serves nothing
        await trio.sleep(contact.CUT_OFF_START_S - 8.0)
        before = len(world.judge.ran)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(partial(world.traffic, 60.0, CUT_S, key="key-hot", zones=[zone]))
            nursery.start_soon(partial(world.traffic, 60.0, CUT_S, key="key-hot", zones=world.zones[1:]))
        heal_all()
        ran = {world.judge.asked[one.id].limiter for one in world.judge.ran[before:]}
        assert {*inside} & {*world.edges} <= ran
        await trio.sleep(1.0)

    fine(story, 74, limiters=4, controls=1, tenants={"plain": (0.0, 0.0), "hot": (30.0, 30.0)})


def acknowledged_after(seed: int) -> float:
    """Seconds from the order to its acknowledgement, on a day of that seed with nothing cut."""
    took = list[float]()

    async def story(world: World) -> None:
        await trio.sleep(4.0)
        began, at = now(), [Address(world.core[0], CONTROL)]
        assert await world.replace(world.configuration(2, 1, routes=NEW), at=at, limit=0.9) == 200
        took.append(now() - began)

    fine(story, seed, limiters=2, controls=1)
    return took[0]


@pytest.mark.parametrize("before", [0.0086, 0.0016])
def test_given_the_machine_that_acted_last_cut_off_right_after_its_acknowledgement_then_limiters_hear_of_it(
    before: float,
) -> None:
    # Given the moments at which its majority has accepted, and at which its acknowledgement is on its way
    after = acknowledged_after(75) - before

    async def story(world: World) -> None:
        await trio.sleep(4.0)
        lost, heals = world.core[0], list[Callable[[], None]]()

        async def cut() -> None:
            await trio.sleep(after)
            heals.append(apart(world, lost, "out"))

        # Given what it decides is accepted by the others, and its word that it is decided reaches nobody
        world.nursery.start_soon(cut)
        document = world.configuration(2, 1, routes=NEW)
        assert await world.replace(document, at=[Address(lost, CONTROL)], limit=0.9) == 200 and heals
        # Then all others have it in force in time
        await trio.sleep(SETPOINT_S - 0.5)
        for one in world.of("data"):
            if one.machine.host != lost:
                seen = await world.ask(one.machine.zone, "/new/", front=one.machine.host, tries=1)
                assert seen.status == 200, one.name
        heals[0]()
        await trio.sleep(1.0)

    fine(story, 75, limiters=2, controls=1)


@pytest.mark.parametrize("way", ["both", "out", "in"])
def test_given_a_zone_cut_off_with_the_holder_of_a_count_then_it_holds_it_no_longer_than_its_leases(
    way: str,
) -> None:
    assert 0.0 < held_on(way, 76) < contact.CONTROL_LEASE_S + contact.LIMITER_LEASE_S


def held_on(way: str, seed: int) -> float:
    """For how long after the cut a limiter behind it answered for a tenant as its holder, s."""
    last = [0.0]

    async def story(world: World) -> None:
        await trio.sleep(6.0 + world.random.random())
        zone = world.zones[0]
        inside = [one.machine.host for one in world.processes if one.machine.zone == zone]
        outside = [one.machine.host for one in world.processes if one.machine.zone != zone]
        holder = spare_limiter(world)
        assert holder in inside
        names = [f"edge-{host}" for host in world.edges]
        tenant = next(name for name in world.tenants if rendezvous.first(name, names) == f"edge-{holder}")
        count = next(one.count for one in world.notes if one.life.name == f"{holder}-data")
        some, others = (outside, inside) if way == "in" else (inside, outside)
        heal, began = world.cut(some, others, both=way == "both"), now()
        world.nursery.start_soon(
            partial(world.traffic, 40.0, 4.0, key=f"key-{tenant}", front=holder, tries=1)
        )
        before = 0
        while now() < began + 4.0:
            await trio.sleep(0.01)
            held = count["in.requests"] - count["count.local"]
            last[0], before = (now() - began if held > before else last[0]), held
        assert count["count.local"] > 20  # by now the share decides there
        await trio.sleep(2.5)
        heal()
        await trio.sleep(1.0)

    fine(story, seed, limiters=2, tenants={"plain": (0.0, 0.0), **{f"t{n}": (50.0, 50.0) for n in range(24)}})
    return last[0]


@pytest.mark.parametrize("seed", [77, 78])
def test_given_limiters_that_start_behind_a_cut_then_none_begins_by_what_the_others_left_behind(
    seed: int,
) -> None:
    begun_behind(seed)


def begun_behind(seed: int, again: bool = False) -> None:
    """A zone is cut off, `again`: twice; there both limiters are killed twice each time, and elsewhere orders
    are decided that take a route away."""

    async def story(world: World) -> None:
        await trio.sleep(4.0)
        inside, outside = world.around(world.zones[0]), world.around(*world.zones[1:])
        number = 1
        for _ in range(2 if again else 1):
            heal, end = world.cut(inside, outside), now() + world.random.uniform(16.0, 22.0)
            await trio.sleep(3.1)
            kills = sorted(world.random.uniform(now(), end - 1.0) for _ in range(2))
            served, routes = set[int](), NEW if number == 1 else None
            old = "/other/" if number == 1 else "/new/"
            number += 1
            assert await world.replace(world.configuration(number, number - 1, routes=routes)) == 200
            while now() < end:
                if kills and now() > kills[0]:
                    kills.pop(0)
                    served.clear()
                    for one in world.of("data", world.zones[0]):
                        world.kill(one.machine.host, "data", 0.2)
                for one in world.of("data", world.zones[0]):
                    seen = await world.ask(world.zones[0], old, front=one.machine.host, tries=1)
                    served.add(seen.status)
                await trio.sleep(0.2)
            # Then who started there sent clients away with a promise, and is not ready
            assert not kills and 503 in served and served <= {0, 503}
            assert all(world.inside[one.machine.host] >= 2 for one in world.of("data", world.zones[0]))
            heal()
            await trio.sleep(SETPOINT_S)
            for one in world.of("data", world.zones[0]):
                path = "/new/" if number % 2 == 0 else "/other/"
                seen = await world.ask(world.zones[0], path, front=one.machine.host, tries=1)
                assert seen.status == 200
            await trio.sleep(1.0)

    fine(story, seed, limiters=2, controls=1)


def lost_for_good(world: World) -> str:
    """All core machines but one are gone, for good; that one."""
    left, *gone = world.core
    for host in gone:
        world.remove(host)
    return left


async def served_after(world: World, host: str, most: float) -> float:
    began = now()
    while now() - began < most:
        seen = await world.ask(world.network.machines[host].zone, "/read/", front=host, tries=1)
        if seen.status == 200:
            return now() - began
        await trio.sleep(0.1)
    return math.inf


def test_given_a_core_that_lost_its_majority_for_good_then_a_limiter_that_starts_waits_for_it_once() -> None:
    async def story(world: World) -> None:
        await trio.sleep(4.0)
        limiter, running = [host for host in world.edges if host not in world.core][:2]
        left, began = lost_for_good(world), now()
        await trio.sleep(5.0)
        world.kill(limiter, "data", 0.2)
        # Then one that runs goes on, one that starts begins once the core has been away for `ALONE`
        assert await served_after(world, running, 0.5) < 0.5
        await served_after(world, limiter, 2 * contact.CUT_OFF_START_S)
        assert contact.CUT_OFF_START_S - 0.5 < now() - began < contact.CUT_OFF_START_S + 1.0
        # And from then on without delay
        world.kill(limiter, "data", 0.2)
        assert await served_after(world, limiter, 5.0) < 2.0
        # After a loss of power of all that are left it has waited since they came up
        hosts = sorted({one.machine.host for one in world.processes if one.wanted})
        assert left in hosts
        await world.power_off(*hosts, back=0.5)
        took = await served_after(world, limiter, 2 * contact.CUT_OFF_START_S)
        assert contact.CUT_OFF_START_S - 1.0 < took < contact.CUT_OFF_START_S + 3.0

    world = play(story, 79, limiters=2, controls=1)
    assert [line for line in world.judge.verdict() if "nobody tells" not in line] == []


def test_given_a_loss_of_power_of_all_that_wipes_a_disk_of_the_core_then_nobody_waits_long() -> None:
    async def story(world: World) -> None:
        await trio.sleep(4.0)
        disk = world.of("control")[1].disk
        assert disk is not None
        disk.wipe()
        hosts = sorted({one.machine.host for one in world.processes})
        await world.power_off(*hosts, back=0.5)
        for one in world.of("data"):
            assert await served_after(world, one.machine.host, 5.0) < 4.0
        world.mend()

    fine(story, 80, limiters=2, controls=1)


def test_given_one_cut_off_for_long_that_answers_first_then_a_limiter_that_reaches_all_waits() -> None:
    seen = list[int]()

    async def story(world: World) -> None:
        await trio.sleep(4.0)
        lost, limiter = world.core[0], spare_limiter(world)
        heal = apart(world, lost)
        await trio.sleep(1.0)
        assert await world.replace(world.configuration(2, 1, routes=NEW), at=world.supervisors()[1:]) == 200
        await trio.sleep(contact.CUT_OFF_START_S + 3.0)
        # When one starts in the zone of the machine cut off, where that one answers first
        began = now()
        world.kill(limiter, "data", 0.2)
        await trio.sleep(3.0)
        seen.extend(fields["version"] for at, _, _, fields in world.told("configuration") if at > began)
        heal()
        await trio.sleep(1.0)

    fine(story, 91, limiters=2, controls=1)
    assert seen == [2], f"went by versions {seen}"
