"""Stories of what a machine that is cut off says of servers and of whom to call, to callers that reach all.

Owns what the others came to know meanwhile. It must never cut limiters, servers or operators off from them.
"""

from __future__ import annotations

from functools import partial

import pytest
import trio

from finchshelf.simulation.fleet import CONTROL, World, fine
from finchshelf.simulation.network import now
from finchshelf.transport.address import Address
from tests.stories.test_core_contact import ACKNOWLEDGE_S, apart


@pytest.mark.parametrize(("kind", "seed"), [("limiter", 82), ("limiter", 84), ("control", 83)])
def test_given_one_cut_off_that_tells_old_news_of_servers_then_limiters_that_reach_all_keep_to_the_newer(
    kind: str, seed: int
) -> None:
    old_news(kind, seed)


def old_news(kind: str, seed: int) -> None:
    """While one is cut off, a server leaves that does not reach it, another service gets its address, and one
    starts. Then a limiter that reaches all starts anew, or (`control`) the one cut off does."""

    async def story(world: World) -> None:
        await trio.sleep(9.0)
        lost, leaver = world.core[0], world.at("alpha")[-1]
        zone = world.zones[1 if kind == "limiter" else 0]
        limiter = next(host for host in world.edges if host in world.around(zone) and host not in world.core)
        others = world.supervisors()[1:]
        heal = apart(world, lost)
        await trio.sleep(4.0)
        leaver.supervisors = others
        await leaver.leave()
        await trio.sleep(1.0)
        host, port = leaver.address
        other = world.serve("beta", leaver.machine.zone, str(host), int(port))
        new = world.serve("alpha", zone, "10.0.1.9", supervisors=others)
        await trio.sleep(3.0)
        for _ in range(3):
            world.kill(*((limiter, "data") if kind == "limiter" else (lost, "control")), 0.2)
            await trio.sleep(2.0)
            before = len(world.judge.ran)
            async with trio.open_nursery() as nursery:
                for _ in range(40):
                    nursery.start_soon(partial(world.ask, zone, "/read/", front=limiter, tries=1))
            seen = world.judge.ran[before:]
            # Then the one that left is tried no more, and the one that started is
            assert not [one for one in seen if one.server == other.name and one.turned]
            assert [one for one in seen if one.server == new.name]
        heal()
        await trio.sleep(1.0)

    fine(story, seed, limiters=2, controls=1)


def test_given_a_member_that_dies_as_the_cut_comes_then_an_operator_is_sent_to_it_once_at_most() -> None:
    assert max(sent_on(84)) < 2.0  # a call that finds nobody takes a second


def sent_on(seed: int) -> list[float]:
    """s to each acknowledgement where the operator knows only the one cut off, and that one can't tell the
    dead from those beyond the cut."""
    took = list[float]()

    async def story(world: World) -> None:
        await trio.sleep(4.0)
        lost, dead = world.core[0], world.core[-1]
        world.remove(dead)
        heal = apart(world, lost)
        await trio.sleep(3.1)
        for number in range(2, 10):
            began, document = now(), world.configuration(number, number - 1)
            assert await world.replace(document, at=[Address(lost, CONTROL)], limit=5.0) == 200
            took.append(now() - began)
        heal()
        await trio.sleep(1.0)

    fine(story, seed, limiters=2, controls=2)
    return took


def test_given_two_cuts_of_some_twenty_seconds_with_a_restart_on_either_side_then_no_rule_is_broken() -> None:
    cut_twice(85)


def cut_twice(seed: int) -> None:
    """Whom, which way, for how long (16 to 22 s) and who is restarted meanwhile is drawn for each cut."""

    async def story(world: World) -> None:
        await trio.sleep(6.0)
        number, draw = 1, world.random
        for _ in range(2):
            lost, way = draw.choice(world.core), draw.choice(["both", "out", "in"])
            heal, end = apart(world, lost, way), now() + draw.uniform(16.0, 22.0)
            again = draw.choice([lost, draw.choice([one for one in world.core if one != lost])])
            at = now() + draw.uniform(3.1, 12.0)
            world.usual(end - now(), rate=20.0)
            await trio.sleep(3.1)
            while now() < end - 3.0:
                began, number = now(), number + 1
                assert await world.replace(world.configuration(number, number - 1)) == 200
                assert now() - began < ACKNOWLEDGE_S
                if at and now() > at:
                    at = 0.0
                    world.kill(again, "control", 0.3)
                    world.kill(draw.choice(sorted({*world.edges} - {*world.core})), "data", 0.3)
                await trio.sleep(1.5)
            assert not at
            await trio.sleep(end - now())
            heal()
            await trio.sleep(draw.uniform(1.0, 5.0))
        await trio.sleep(4.0)

    fine(story, seed, limiters=3, controls=2)
