"""A second loss after each step of a repair: borne wherever a program says that the first one is settled."""

from __future__ import annotations

import pytest

from finchshelf.agreement.core import Member
from finchshelf.agreement.membership import LEAVER_S, MOST_LEAVERS, TURN_S, Leavers, anyone_stays, on_duty
from finchshelf.models.losses import KINDS, MUTANTS, TWO_LEAVE, Broken, harmed

FOUND = {
    "learner": ("full", 0),
    "told": ("replaced", 4),
    "old": ("leaves", 1),
    "deaf": ("leaves", 1),
    "memory": ("wiped", 3),
    "once": ("replaced", 2),
    "unfenced": ("leaves", 1),
    "own": ("leaves", 13),
}  # in each the least seed of those searched


@pytest.mark.parametrize("kind", KINDS)
def test_given_three_members_when_one_more_is_lost_after_any_step_then_the_rest_go_on(kind: str) -> None:
    assert sum(harmed(3, kind, seed) for seed in range(7 if kind == "leaves" else 3)) > 400


@pytest.mark.parametrize("mutant", ["", "deaf"])
def test_given_two_members_that_leave_at_one_moment_then_the_rest_go_on(mutant: str) -> None:
    if mutant:
        with pytest.raises(Broken, match="nothing is decided any more"):
            harmed(3, TWO_LEAVE, 0, mutant)
    else:
        assert harmed(3, TWO_LEAVE, 1) > 400


@pytest.mark.parametrize("part", range(4))
@pytest.mark.parametrize(("kind", "seed"), [("replaced", 4), ("wiped", 5)])
def test_given_six_members_when_two_are_lost_at_any_two_moments_then_the_rest_go_on(
    kind: str, seed: int, part: int
) -> None:
    assert harmed(6, kind, seed, always=True, part=part, parts=4) > 500


@pytest.mark.parametrize("mutant", FOUND)
def test_given_a_guard_is_dropped_when_one_more_is_lost_then_it_is_seen(mutant: str) -> None:
    assert mutant in MUTANTS
    kind, seed = FOUND[mutant]
    with pytest.raises(Broken, match="nothing is decided any more"):
        harmed(3, kind, seed, mutant)


def test_given_a_change_that_is_due_when_the_first_does_not_come_to_it_then_the_next_does() -> None:
    voters = ["10.0.0.3:1", "10.0.0.1:1", "10.0.0.2:1"]
    assert [on_duty(each, voters, 0.0) for each in voters] == [False, True, False]
    assert [on_duty(each, voters, TURN_S) for each in voters] == [False, True, True]
    assert not on_duty("10.0.0.9:1", voters, 9.0) and not on_duty("10.0.0.1:1", voters, float("-inf"))


def test_given_who_goes_when_it_says_so_then_it_counts_until_it_is_back_or_long_not_heard() -> None:
    leavers, one = Leavers(), Member("10.0.0.1:1", "first")
    assert leavers.hear([*one, 7], 100.0) and leavers.hear(["10.0.0.2:1", "first", 7], 100.0)
    assert len(leavers.going({}, 100.0)) == 2
    assert leavers.going({"10.0.0.1:1": 6, "10.0.0.2:1": 8}, 100.0) == {one}
    assert not leavers.going({}, 100.1 + LEAVER_S)
    for rubbish in (None, [], [*one], [*one, "7"], [1, 2, 3], ["a" * 200, "b" * 200, 1]):
        assert not leavers.hear(rubbish, 100.0)
    for n in range(2 * MOST_LEAVERS):
        leavers.hear([f"10.1.0.{n}:1", "x", 7], 100.0)
    assert len(leavers.said) == MOST_LEAVERS
    members = (one, Member("10.0.0.2:1", "first"))
    assert anyone_stays(members, dict.fromkeys(members, 0.0), frozenset({one}))
    assert not anyone_stays(members, {one: 0.0}, frozenset({one}))
