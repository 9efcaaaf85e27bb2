"""The holder of a tenant's count stays on the list of limiters and answers no question."""

from __future__ import annotations

from collections.abc import Callable

import pytest

from finchshelf.models.counts import Fleet, Plan

Harm = Callable[[Fleet], None]
SILENT_AT_S = 3.0
CONVERGENCE_S = 6.0  # `convergenceS` of the large sites
LAG_S = 3.0  # until a list is known to all limiters
UNTIL_S = 27.0
STARVED = 0.25  # of what others are served: below that a day fails its gate


def answers_lost(fleet: Fleet) -> None:
    fleet.mute(fleet.first, SILENT_AT_S, UNTIL_S)


def all_datagrams_lost(fleet: Fleet) -> None:
    pairs = {pair for name in fleet.others for pair in ((fleet.first, name), (name, fleet.first))}
    fleet.at(SILENT_AT_S, lambda: fleet.cut.update(pairs))


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
