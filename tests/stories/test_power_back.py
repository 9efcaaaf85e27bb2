"""After a loss of power of all, programs come up one after the other: how soon limiters are ready.

Owns the bounds, in virtual time; `benchmarks.power_back` prints the figures.
"""

from __future__ import annotations

from pathlib import Path
from random import Random
from typing import Any, cast

import pytest
import trio
from trio.testing import MockClock

from benchmarks.power_back import day
from finchshelf.agreement.store import Store
from finchshelf.controlplane.register import Register
from finchshelf.dataplane.follower import DOWN, EARLY, EARLY_MOST, Follower
from finchshelf.dataplane.sources import Source

SEEDS = ("10.0.0.1:7660", "10.0.0.2:7660", "10.0.0.3:7660")
PROVED, READY = 0.03, 0.07  # s: two questions over the links between zones, and a pause at most


@pytest.mark.parametrize(("seed", "gone"), [(2, 0), (8, 0), (4, 1)])
def test_given_starts_spread_over_time_when_half_of_the_core_is_up_then_it_is_proved_and_limiters_are_ready(
    seed: int, gone: int
) -> None:
    times, broken = day(seed, 1, 0.4, gone)
    assert not broken, broken
    assert max(times["proved, after it and half of the core"]) < PROVED, times
    assert max(times["ready, after it and half of the core"]) < READY, times


def test_given_one_answer_when_others_fail_before_it_may_begin_then_they_are_asked_again_soon() -> None:
    # Given a limiter that one control plane answered, and none names others to it
    follower = Follower.__new__(Follower)
    follower.answered, follower.begun = {"10.0.0.1:7660"}, False
    source = Source.__new__(Source)
    source.failed, source.shed = 0, False
    # When another one fails, then it is passed over for a moment, for longer if it says that it is busy; once
    # the limiter may begin, for long
    assert follower.passed_over(source) <= EARLY
    source.shed = True
    assert follower.passed_over(source) == EARLY_MOST
    follower.begun = True
    assert follower.passed_over(source) == DOWN


def test_given_that_most_disks_were_wiped_when_the_newest_is_to_be_proved_then_they_are_asked_at_a_pace(
    tmp_path: Path,
) -> None:
    # Given members whose disks are others by now: they answer at once, and that proves nothing
    asked: list[float] = []

    class Wiped:
        nursery: trio.Nursery

        def reaches(self, address: str) -> bool:
            return True

        async def agree(self, address: str, message: dict[str, Any], limit: float) -> dict[str, Any]:
            await trio.sleep(0.001)
            if message["kind"] == "read" and "me" not in message:
                asked.append(trio.current_time())
            return {"kind": "state", "slot": -1, "accepted": False, "from": [address, "another"]}

    async def story() -> None:
        peers = Wiped()
        async with trio.open_nursery() as peers.nursery:
            register = Register(
                SEEDS[0],
                SEEDS,
                True,
                Store(str(tmp_path), 64),
                cast(Any, peers),
                Random(1),
                lambda *_, **__: None,
            )
            await register.begin()
            with trio.move_on_after(3.0):
                await register.confirm()
            peers.nursery.cancel_scope.cancel()
        assert not register.standing.proved and 20 <= len(asked) <= 80  # two of them, each 0.1 s

    trio.run(story, clock=MockClock(autojump_threshold=0))
