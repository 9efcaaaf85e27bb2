"""News for limiters leaves a control plane no faster than its link carries it."""

from __future__ import annotations

from itertools import pairwise

import pytest
import trio
import trio.testing

from finchshelf.controlplane.pacing import PATIENCE_S, ROOM_S, SMALL_BYTES, NewsLine, Pace, link_pace
from finchshelf.controlplane.turns import Busy

BYTES_S = 100_000.0
LIST = 20_000  # bytes: 0.2 s of that link


def test_given_bytes_sent_then_they_drain_at_the_pace() -> None:
    pace = Pace(BYTES_S)
    pace.sent(LIST, 5.0)
    pace.sent(LIST, 5.1)
    assert pace.backlog_s(5.1) == pytest.approx(0.3)
    assert pace.backlog_s(9.0) == 0.0


def test_given_no_bandwidth_in_the_settings_then_nothing_waits() -> None:
    line = NewsLine(link_pace(0.0), lambda: 0.0)
    assert not any(line.waits(SMALL_BYTES) for _ in range(1000))


def told(askers: int) -> tuple[list[float], int, float]:
    """When those who had a turn had it, how many were turned away, and when the last of these heard it."""
    began, refused, last = list[float](), list[float](), [0.0]

    async def main() -> None:
        line = NewsLine(Pace(BYTES_S), trio.current_time)
        start = trio.current_time()

        async def ask() -> None:
            try:
                await line.turn(LIST)
                began.append(trio.current_time() - start)
            except Busy:
                refused.append(trio.current_time() - start)

        async with trio.open_nursery() as nursery:
            for _ in range(askers):
                nursery.start_soon(ask)
        last[0] = max(refused, default=0.0)
        assert line.waiting_bytes == 0

    trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))
    return began, len(refused), last[0]


@pytest.mark.parametrize(("askers", "turned_away"), [(1, 0), (3, 0), (50, 47)])
def test_given_many_ask_for_lists_at_once_then_each_is_told_soon_or_turned_away_at_once(
    askers: int, turned_away: int
) -> None:
    began, refused, last = told(askers)
    assert len(began) == askers - refused and refused == turned_away
    assert last == 0.0
    assert began == sorted(began) and began[-1] <= PATIENCE_S
    gaps = [later - sooner for sooner, later in pairwise(began)]
    assert all(gap >= LIST / BYTES_S - ROOM_S for gap in gaps)


def test_given_one_who_waits_gives_up_then_the_next_has_its_turn() -> None:
    async def main() -> None:
        line = NewsLine(Pace(BYTES_S), trio.current_time)
        await line.turn(LIST)
        with trio.move_on_after(0.01):
            await line.turn(LIST)
        assert line.waiting_bytes == 0
        await line.turn(LIST)

    trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))
