"""Stories of servers whose end was acknowledged when all that know of it are killed: it holds."""

from __future__ import annotations

import pytest
import trio

from finchshelf.simulation.fleet import World, fine

SERVES_ON_S = 7.0
BACK_S = 0.6


@pytest.mark.parametrize("harm", ["killed", "dark"])
@pytest.mark.parametrize("seed", range(3))
def test_given_an_acknowledged_departure_when_all_are_killed_or_lose_power_then_its_server_gets_nothing(
    seed: int, harm: str
) -> None:
    """Guards against DRAIN: a departure that no disk had yet when it was acknowledged was forgotten."""

    async def story(world: World) -> None:
        world.usual(14.0, rate=60.0)
        await trio.sleep(4.0)
        leaver = world.at("alpha")[0]
        with world.being(leaver.life):
            assert await leaver.depart()
        if harm == "dark":
            await world.power_off(*world.edges, back=BACK_S)
        else:
            for host in world.edges:
                world.kill(host, after=BACK_S)
        await trio.sleep(SERVES_ON_S)
        leaver.life.die()
        await trio.sleep(2.0)

    fine(story, seed)
