"""Stories of cuts between control planes: who can reach the side that decides hears of what it decided.

Owns which control planes a limiter is left with. It must never cut off the limiter itself.
"""

from __future__ import annotations

import pytest
import trio

from finchshelf.membership import rendezvous
from finchshelf.simulation.fleet import PORTS, World, fine
from finchshelf.simulation.network import now

SETPOINT_S = 2.5  # `setpointMs`


def followed(world: World, limiter: str, zone: str) -> list[str]:
    """The hosts of the two control planes that a limiter asks in calm."""
    planes = {f"{one.machine.host}:{PORTS[0]}": one.machine for one in world.of("control")}
    order = rendezvous.order(f"edge-{limiter}", planes)
    own = next(name for name in order if planes[name].zone == zone)
    return [planes[name].host for name in (own, next(name for name in order if name != own))]


@pytest.mark.parametrize("seed", [61, 62, 63])
def test_given_a_limiter_whose_two_control_planes_are_cut_off_when_the_others_decide_then_it_hears_of_it(
    seed: int,
) -> None:
    async def story(world: World) -> None:
        await trio.sleep(6.0)  # the core has grown to six
        zone = world.zones[seed % 3]
        limiter = next(
            one.machine.host for one in world.of("data", zone) if one.machine.host not in world.core
        )
        two = followed(world, limiter, zone)
        heal = world.cut(two, [host for host in world.core if host not in two])
        await trio.sleep(3.0)  # by now those two name nobody but each other
        routes = {"read": ("/read/", "nullipotent", "alpha"), "new": ("/new/", "nullipotent", "beta")}
        assert await world.replace(world.configuration(2, 1, routes=routes)) == 200
        await trio.sleep(SETPOINT_S)
        seen = await world.ask(zone, "/new/", front=limiter, tries=1)
        heal()
        assert seen.status == 200
        await trio.sleep(2.0)

    fine(story, seed, limiters=3, controls=2)


def test_given_a_seed_is_gone_when_all_are_killed_then_limiters_follow_whoever_comes_up() -> None:
    led = list[float]()

    async def story(world: World) -> None:
        # Given a machine without power: a question to it hangs, where a port that nobody listens at resets
        await trio.sleep(4.0)
        await world.power_off(world.core[2])
        await trio.sleep(4.0)
        began = now()
        for host in [*world.core[:2], *world.edges]:
            if host != world.core[2]:
                world.kill(host, "data", 0.2)
                world.kill(host, "control", 0.6)
        await trio.sleep(5.0)
        first = dict[str, float]()
        for at, name, *_ in world.told("configuration", "data"):
            if at > began:
                first.setdefault(name, at - began)
        led.extend(first.values())

    fine(story, 45, limiters=2, controls=1)
    # Then none waits for the one that hangs: the control planes are up after 0.6 s
    assert len(led) == 5 and max(led) < 1.0, led
