"""Stories of what servers and operators call: an acknowledgement is its own call's, and nothing is undone.

Owns the seeds that are played here; `python -m benchmarks.fuzz_readers --kinds calls` plays more.
"""

from __future__ import annotations

from contextlib import nullcontext

import pytest

from finchshelf.controlplane.cells import DRAIN_KEPT, LOST_KEPT, Cells
from finchshelf.membership.records import DECAYING, GONE, STABLE, Server
from finchshelf.simulation.calling import called
from finchshelf.simulation.slips import CALLS, without

FOUND = {"departed": 0, "held": 6, "whole": 0, "streamed": 0}  # by which seed


@pytest.mark.parametrize("seed", range(3))
def test_given_calls_cut_doubled_late_and_unheard_then_each_has_its_own_answer_and_nothing_is_undone(
    seed: int,
) -> None:
    broken = called(seed).broken
    assert not broken, f"seed {seed}: {broken}"


@pytest.mark.parametrize(("guard", "seed"), FOUND.items())
def test_given_one_guard_of_calls_is_dropped_then_the_break_is_found(guard: str, seed: int) -> None:
    with without(guard):
        assert any(called(one).broken for one in range(seed, seed + 12)), CALLS[guard][0]


def beat(count: int, mode: str = STABLE) -> Server:
    return Server("s", "10.0.0.9:80", "alpha", "z", 4, count, mode)


@pytest.mark.parametrize("guard", ["", "late"])
@pytest.mark.parametrize("mode", [STABLE, DECAYING])
def test_given_a_server_called_lost_when_a_late_beat_comes_then_it_changes_nothing_and_the_next_does(
    mode: str, guard: str
) -> None:
    cells = Cells("10.0.0.1:7660", "z", 1.5, 1, 0.0)
    cells.beat(beat(5, mode), 1.0)
    cells.silent_servers(20.0, True)
    with without(guard) if guard else nullcontext():
        for late in (4, 5):
            cells.beat(beat(late, mode), 20.1)
            assert cells.servers.rows["s"].lost is not bool(guard)
    cells.beat(beat(6, DECAYING), 20.2)  # Danger: a late one that had taken its number would hide it
    assert cells.servers.rows["s"].mode == DECAYING and not cells.servers.rows["s"].lost


@pytest.mark.parametrize("guard", ["", "drained"])
def test_given_a_drain_when_a_beat_under_a_higher_number_calls_it_stable_then_it_still_drains(
    guard: str,
) -> None:
    cells = Cells("10.0.0.1:7660", "z", 1.5, 1, 0.0)
    cells.beat(beat(7, DECAYING), 1.0)
    with without(guard) if guard else nullcontext():
        cells.take([beat(8).pack(1.0)], 1.0)  # from one of an older text, that gave a late beat this number
        assert (cells.servers.rows["s"].mode == STABLE) is bool(guard)
    cells.depart("s", 21.0)
    cells.beat(beat(9), 22.0)
    assert cells.servers.rows["s"].mode == GONE


def test_given_a_late_copy_of_a_beat_that_went_elsewhere_then_its_server_is_not_waited_for_here() -> None:
    here, there = (Cells(f"10.0.0.{n}:7660", "z", 1.5, 1, 0.0) for n in (1, 2))
    for cells in (here, there):
        cells.merge(0.0)
        cells.named = ((here.address, "z"), (there.address, "z"))
    there.beat(beat(5), 1.0)
    here.take([row.pack(1.0) for row in there.servers.rows.values()], 1.0)
    for late in (4, 5):
        here.beat(beat(late), 2.0)
    assert not here.silent_servers(20.0, True) and not here.servers.rows["s"].lost
    here.beat(beat(6), 21.0)  # it calls here from now on
    assert here.silent_servers(40.0, True) and here.servers.rows["s"].lost


@pytest.mark.parametrize(("mode", "kept"), [(STABLE, LOST_KEPT), (DECAYING, DRAIN_KEPT)])
def test_given_a_server_that_is_lost_when_no_beat_can_still_come_then_its_record_goes(
    mode: str, kept: float
) -> None:
    cells = Cells("10.0.0.1:7660", "z", 1.5, 1, 0.0)
    cells.beat(beat(5, mode), 1.0)
    cells.silent_servers(20.0, True)
    other = Cells("10.0.0.2:7660", "z", 1.5, 1, 0.0)
    other.take([row.pack(20.0) for row in cells.servers.rows.values()], 20.0)
    for table in (cells, other):
        # A late beat changes nothing for as long as one may come, and a drain is known for much longer
        table.silent_servers(20.0 + kept - 0.1, True)
        table.beat(beat(4), 20.0 + kept)
        assert not table.servers.rows["s"].usable() and table.servers.rows["s"].mode == mode
        # Cut off, nothing is forgotten; in contact it is
        table.silent_servers(20.0 + kept + 1.0, False)
        assert "s" in table.servers.rows
        table.silent_servers(20.0 + kept + 1.0, True)
        assert not table.servers.rows and not table.lost


def test_given_a_server_that_is_lost_when_it_beats_again_then_its_record_stays() -> None:
    cells = Cells("10.0.0.1:7660", "z", 1.5, 1, 0.0)
    cells.beat(beat(5), 1.0)
    cells.silent_servers(20.0, True)
    for count in range(6, 100):
        cells.beat(beat(count), 20.0 + count)
        cells.silent_servers(20.0 + count, True)
    assert cells.servers.rows["s"].usable() and not cells.lost
