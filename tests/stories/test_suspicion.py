"""Which limiters are left off the list since others say that they answer nothing."""

from __future__ import annotations

from typing import Any

import pytest

from finchshelf.membership.records import Unfit
from finchshelf.membership.suspicion import (
    FORGET_S,
    LEAST_S,
    MISSES,
    MOST_SUSPECTS,
    QUORUM,
    REPORT_KEPT_S,
    Suspicions,
    Watcher,
    confirmed,
    pack_told,
    read_report,
    read_told,
)

LIVES = [(f"n{n}", 1) for n in range(20)]


def miss(watcher: Watcher, node: str, times: int, now: float, life: int = 1) -> None:
    for number in range(times):
        watcher.probed(number, node, life)
        watcher.unanswered(number, now)


def suspects(watcher: Watcher, now: float) -> list[str]:
    return [node for node, _ in watcher.report(now)]


def test_given_probes_unanswered_in_a_row_then_and_only_then_their_limiter_is_suspected() -> None:
    watcher = Watcher()
    miss(watcher, "a", MISSES - 1, 1.0)
    assert suspects(watcher, 1.0) == []
    watcher.answered("a", 1.1)
    miss(watcher, "a", MISSES - 1, 1.2)
    assert suspects(watcher, 1.2) == []
    miss(watcher, "a", 1, 1.3)
    assert suspects(watcher, 1.3) == ["a"]


def test_given_a_suspect_that_answers_again_then_it_is_dropped_after_a_while_only() -> None:
    watcher = Watcher()
    miss(watcher, "a", MISSES, 1.0)
    watcher.answered("a", 1.1)
    assert suspects(watcher, 1.0 + LEAST_S - 0.1) == ["a"]
    assert suspects(watcher, 1.0 + LEAST_S) == []


def test_given_a_suspect_that_started_anew_or_is_gone_for_long_then_it_is_forgotten() -> None:
    watcher = Watcher()
    miss(watcher, "a", MISSES, 1.0)
    miss(watcher, "b", MISSES, 1.0)
    watcher.listed({"a": 2}, 1.5)
    assert suspects(watcher, 1.5) == ["b"]
    watcher.listed({}, 1.5 + FORGET_S)
    assert suspects(watcher, 1.5 + FORGET_S) == []


def test_given_a_limiter_that_suspects_many_then_its_own_link_is_at_fault_and_it_says_nothing() -> None:
    watcher = Watcher()
    for n in range(MOST_SUSPECTS):
        miss(watcher, f"n{n}", MISSES, 1.0)
    assert len(suspects(watcher, 1.0)) == MOST_SUSPECTS
    miss(watcher, "other", MISSES, 1.0)
    assert suspects(watcher, 1.0) == []


def test_given_a_probe_under_way_then_no_second_one_is_sent() -> None:
    watcher = Watcher()
    assert watcher.to_probe("a")
    watcher.probed(1, "a", 1)
    assert not watcher.to_probe("a") and watcher.to_probe("b")
    watcher.answered("a", 1.0)
    assert watcher.to_probe("a") and not watcher.probes


def test_given_reports_over_several_control_planes_then_a_quorum_leaves_that_life_off() -> None:
    here, there = Suspicions(), Suspicions()
    for n in range(QUORUM):
        assert confirmed([here.told, there.told], LIVES) == frozenset()
        (here, there)[n % 2].report(f"n{n}", (("n9", 1),), 0.0)
    assert confirmed([here.told, there.told], LIVES) == {("n9", 1)}
    assert confirmed([here.told, here.told], LIVES) == frozenset()  # one reporter counts once
    assert confirmed([here.told, there.told], [("n9", 2)]) == frozenset()  # another life


def test_given_too_many_suspects_then_none_is_left_off() -> None:
    table = Suspicions()
    for n in range(QUORUM):
        table.report(f"n{n}", (("n9", 1), ("n10", 1), ("n11", 1)), 0.0)
    assert confirmed([table.told], LIVES) == frozenset()
    assert len(confirmed([table.told], [(f"n{n}", 1) for n in range(30)])) == 3


def test_given_many_reporters_then_few_are_told_and_what_is_told_changes_seldom() -> None:
    table = Suspicions()
    for n in range(200):
        table.report(f"n{n}", (("x", 1),), 0.0)
    assert table.told == ((("x", 1), tuple(f"n{n}" for n in range(QUORUM))),)
    assert table.rev == QUORUM


def test_given_a_reporter_that_is_silent_or_takes_it_back_then_its_word_counts_no_more() -> None:
    table = Suspicions()
    table.report("n0", (("x", 1),), 0.0)
    table.report("n1", (("x", 1),), 0.0)
    assert table.report("n1", (), 0.5) and not table.report("n1", (), 0.6)
    assert table.told == ((("x", 1), ("n0",)),)
    assert not table.renew(REPORT_KEPT_S)
    assert table.renew(REPORT_KEPT_S + 0.1) and table.told == ()


def test_given_what_was_told_then_it_is_read_back_the_same() -> None:
    table = Suspicions()
    table.report("n0", (("x", 1), ("y", 7)), 0.0)
    assert read_told(pack_told(table.told)) == table.told


@pytest.mark.parametrize(
    "rows", [None, [["x"]], [["x", 1, "n"]], [["x", -1, ["n"]]], [[1, 1, ["n"]]], [["x", 1, [5]]]]
)
def test_given_rubbish_for_suspicions_then_none_of_it_is_taken(rows: Any) -> None:
    with pytest.raises(Unfit):
        read_told(rows)


@pytest.mark.parametrize("rows", [7, [["x"]], [["x", True]], [["x", 1]] * (MOST_SUSPECTS + 1)])
def test_given_rubbish_for_a_report_then_none_of_it_is_taken(rows: Any) -> None:
    with pytest.raises(Unfit):
        read_report(rows)
