"""The holder of a tenant's count stays on the list of limiters and answers no question."""

from __future__ import annotations

from collections.abc import Callable

import pytest
import trio

from finchshelf.counts.holder import KEEP
from finchshelf.membership import rendezvous
from finchshelf.models.counts import Fleet, Plan
from finchshelf.simulation.fleet import World
from finchshelf.simulation.fleet import play as play_day

Harm = Callable[[Fleet], None]
SILENT_AT_S = 3.0
CONVERGENCE_S = 6.0  # `convergenceS` of the large sites
LAG_S = 3.0  # until a list is known to all limiters
UNTIL_S = 27.0
HELD_S = 8.0  # for which a fleet is watched
LIMITERS, TENANT, RATE, PRESSED_S = 36, "tenant", 8.0, 5.0  # requests a second: allowed, sent
STARVED = 0.25  # of what others are served: below that a day fails its gate


def answers_lost(fleet: Fleet) -> None:
    fleet.mute(fleet.first, SILENT_AT_S, UNTIL_S)


def all_datagrams_lost(fleet: Fleet) -> None:
    pairs = [pair for name in fleet.others for pair in ((fleet.first, name), (name, fleet.first))]
    fleet.lose(pairs, SILENT_AT_S, UNTIL_S)


def play(harm: Harm, plan: Plan, seed: int) -> Fleet:
    fleet = Fleet(plan, seed)
    harm(fleet)
    return fleet.play()


# Starved: 200 limiters, and a share of 1/200 that never holds a whole request.
@pytest.mark.parametrize("harm", [answers_lost, all_datagrams_lost], ids=lambda harm: harm.__name__)
def test_given_a_listed_holder_that_is_silent_then_its_tenant_is_not_starved(harm: Harm) -> None:
    for rate, seed in ((5.0, 1), (20.0, 2), (100.0, 3)):
        fleet = play(harm, Plan(limiters=200, rate=rate, hot=0.6, skew=0.0, until=UNTIL_S), seed)
        assert fleet.served(SILENT_AT_S) > STARVED, rate
        assert fleet.served(SILENT_AT_S + CONVERGENCE_S + LAG_S) > 0.9, rate
        assert fleet.worst() <= 1.0, rate


async def mute_holder(world: World) -> None:
    names = [f"edge-{host}" for host in world.edges]
    holder = (rendezvous.first(TENANT, names) or "").removeprefix("edge-")
    await trio.sleep(CONVERGENCE_S)
    world.network.lossy = {(holder, host): 1.0 for host in world.edges if host != holder}
    answered: list[int] = []

    async def ask() -> None:
        host = world.random.choice([one for one in world.edges if one != holder])
        asked = await world.ask(world.zones[0], "/read/", f"key-{TENANT}", front=host, tries=1)
        answered.append(asked.status)

    async def press(seconds: float) -> float:
        """The share of the tenant's requests that is served."""
        answered.clear()
        async with trio.open_nursery() as nursery:
            for _ in range(round(PRESSED_S * seconds)):
                nursery.start_soon(ask)
                await trio.sleep(1 / PRESSED_S)
        return answered.count(200) / len(answered)

    await press(CONVERGENCE_S)
    assert [line[3]["limiters"] for line in world.told("limiters.left_off")][-1] == [f"edge-{holder}"]
    assert await press(HELD_S) > 0.9
    world.network.lossy = {}
    await trio.sleep(2 * CONVERGENCE_S)
    assert [line[3]["limiters"] for line in world.told("limiters.left_off")][-1] == []
    assert await press(HELD_S) > 0.9


def test_given_a_fleet_whose_holder_is_silent_then_another_holds_until_it_answers_again() -> None:
    play_day(mute_holder, 1, zones=1, limiters=LIMITERS, controls=3, tenants={TENANT: (RATE, RATE)})


# Quota passed: a holder left off the list went on with its whole share when others set it aside no more.
@pytest.mark.parametrize("limiters", [4, 5, 8, 12])
def test_given_a_holder_left_off_for_long_when_its_tenant_turns_hot_then_every_window_holds(
    limiters: int,
) -> None:
    for seed in range(2):
        fleet = Fleet(Plan(limiters=limiters, rate=150.0, hot=6, skew=0.0, loss=0.0, until=34.0), seed)
        fleet.mute(fleet.first, 4.0, 99.0)
        fleet.press(0.1, 16.0)
        fleet.press(8.0, 24.0)
        assert fleet.play().worst(KEEP) <= 1.0, seed
