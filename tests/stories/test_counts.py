"""Stories of quotas: whatever is lost, cut, killed or listed otherwise, a tenant's window holds."""

from collections.abc import Callable
from dataclasses import replace
from random import Random

import pytest

from finchshelf.configuration.document import Tenant
from finchshelf.counts.caller import FALLEN, GAP, LAG, Caller
from finchshelf.counts.ends import LIFE, Ends
from finchshelf.counts.holder import APART, AWAY, BYE, COME, KEEP, NEAR, SPARE, TOUCH, Holder
from finchshelf.models.counts import Fleet, Plan

Harm = Callable[[Fleet, Random], None]
T = Tenant("t", (), 1, 60.0, 60.0)


def nothing(fleet: Fleet, rng: Random) -> None:
    pass


def holder_killed_twice(fleet: Fleet, rng: Random) -> None:
    fleet.kill(fleet.first, 4, 0.5 + rng.random())
    fleet.kill(fleet.first, 6.5, 0.5 + 2 * rng.random())


def holders_killed_in_turn(fleet: Fleet, rng: Random) -> None:
    for at, name in enumerate([fleet.first, *rng.sample(fleet.others, 4)]):
        fleet.kill(name, 4 + 1.2 * at, 0.5 + 2 * rng.random())


def third_cut_off(fleet: Fleet, rng: Random) -> None:
    fleet.apart(rng.sample(fleet.others, len(fleet.names) // 3), 4 + rng.random(), 10)


def third_cut_off_with_the_holder(fleet: Fleet, rng: Random) -> None:
    fleet.apart([fleet.first, *rng.sample(fleet.others, len(fleet.names) // 3 - 1)], 4 + rng.random(), 8)


def cut_in_two(fleet: Fleet, rng: Random) -> None:
    fleet.apart(rng.sample(fleet.names, len(fleet.names) // 2), 4 + rng.random(), 10)


def answers_lost(fleet: Fleet, rng: Random) -> None:
    fleet.mute(fleet.first, 4 + rng.random(), 5)
    for name in fleet.others[:4]:
        fleet.kill(name, 5 + 2 * rng.random(), 0.5)


def holder_out_of_reach_of_half(fleet: Fleet, rng: Random) -> None:
    """Datagrams alone are lost: all are in touch with control planes, and many suspect the holder."""
    some = rng.sample(fleet.others, len(fleet.others) // 2)
    fleet.lose([(fleet.first, name) for name in some], 4 + rng.random(), 8)


def holder_mute_by_turns(fleet: Fleet, rng: Random) -> None:
    for at in (2.5, 9.0):
        fleet.mute(fleet.first, at + rng.random(), 4 + rng.random())


def lists_flap(fleet: Fleet, rng: Random) -> None:
    at = 4.0
    for _ in range(3):
        fleet.listed(tuple(fleet.others), at)
        fleet.listed(None, at + 0.6 + 1.5 * rng.random())
        at += 2.5


def holder_killed_after_a_burst(fleet: Fleet, rng: Random) -> None:
    fleet.press(0.2, 0)
    fleet.press(8, 5)
    fleet.kill(fleet.first, 5.1 + 0.2 * rng.random(), 3)


def most_end(fleet: Fleet, rng: Random) -> None:
    for name in rng.sample(fleet.names, len(fleet.names) * 3 // 4):
        fleet.leave(name, 3 + 7 * rng.random())


def ends_amid_harm(fleet: Fleet, rng: Random) -> None:
    for name in rng.sample(fleet.names, len(fleet.names) // 2):
        fleet.leave(name, 4 + 4 * rng.random(), rng.choice((0.5, 2.0, 99.0)), 6 * rng.random())
    some = rng.sample(fleet.others, len(fleet.names) // 3)
    fleet.apart(rng.choice((some, [fleet.first, *some[1:]])), 4 + 3 * rng.random(), 1 + 4 * rng.random())
    for name in rng.sample(fleet.names, 2):
        fleet.kill(name, 4 + 4 * rng.random(), 0.5 + 2 * rng.random())


def ends_after_falling_back(fleet: Fleet, rng: Random) -> None:
    """Their buckets are full and nothing was granted when the holder is cut off, for less than `TOUCH`."""
    fleet.press(0.2, 0)
    fleet.press(8, 4.985)
    fleet.apart([fleet.first], 5.0, 0.45)
    for name in fleet.others:
        fleet.leave(name, 5.46)


def ends_and_starts_behind_a_cut(fleet: Fleet, rng: Random) -> None:
    """The word of the former life comes late, when the cut has set the share of the next one aside."""
    some = rng.sample(fleet.others, len(fleet.names) // 2)
    for name in some:
        fleet.leave(name, 4.0, 0.5, 2.6)
    fleet.apart(some, 6.0, 8.0)


def all_killed(fleet: Fleet, rng: Random) -> None:
    for name in fleet.names:
        fleet.kill(name, 4, 0.4 + 0.6 * rng.random())


HARMS: list[Harm] = [
    nothing,
    all_killed,
    holder_killed_twice,
    holders_killed_in_turn,
    third_cut_off,
    third_cut_off_with_the_holder,
    cut_in_two,
    answers_lost,
    holder_out_of_reach_of_half,
    holder_mute_by_turns,
    lists_flap,
    holder_killed_after_a_burst,
    most_end,
    ends_amid_harm,
    ends_after_falling_back,
    ends_and_starts_behind_a_cut,
]


def play(harm: Harm, seed: int, plan: Plan) -> Fleet:
    fleet = Fleet(plan, seed)
    harm(fleet, Random(seed))
    return fleet.play()


@pytest.mark.parametrize("harm", HARMS, ids=lambda harm: harm.__name__)
def test_given_a_hot_tenant_when_harm_comes_then_every_window_holds(harm: Harm) -> None:
    for seed in range(24):
        plan = Plan(
            rate=(10.0, 60.0, 60.0, 150.0)[seed % 4],
            hot=6,
            skew=seed % 3 / 2,
            until=13,
            late=0.2 * (seed % 5 == 0),
            loss=0.02 * (seed % 2),
        )
        assert play(harm, seed, plan).worst() <= 1.0, seed


@pytest.mark.parametrize("harm", [third_cut_off, lists_flap], ids=lambda harm: harm.__name__)
def test_given_a_grown_fleet_when_harm_comes_then_every_window_holds(harm: Harm) -> None:
    assert play(harm, 1, Plan(limiters=96, rate=300, hot=5, until=12)).worst() <= 1.0


@pytest.mark.parametrize(
    ("mutant", "harm"),
    [
        ("fresh", holder_killed_twice),
        ("whole", third_cut_off_with_the_holder),
        ("left", cut_in_two),
        ("uncharged", holder_killed_after_a_burst),
    ],
)
def test_given_a_mutant_without_a_guard_then_a_window_breaks(mutant: str, harm: Harm) -> None:
    assert any(play(harm, seed, Plan(rate=150, hot=8, mutant=mutant)).worst() > 1.0 for seed in range(24))


@pytest.mark.parametrize(
    ("mutant", "harm"),
    [("untold", ends_after_falling_back), ("former", ends_and_starts_behind_a_cut), ("goes on", most_end)],
)
def test_given_a_guard_of_ends_dropped_then_a_window_breaks(mutant: str, harm: Harm) -> None:
    plan = Plan(rate=600, hot=8, skew=0, loss=0, until=11, mutant=mutant)
    assert any(play(harm, seed, plan).worst() > 1.0 for seed in range(3))
    assert all(play(harm, seed, replace(plan, mutant="")).worst() <= 1.0 for seed in range(3))


def test_given_most_limiters_end_when_within_the_limit_then_little_is_refused() -> None:
    said, unsaid = (
        sum(play(most_end, seed, Plan(rate=60, hot=0.8, skew=0, mutant=each)).served(4) for seed in range(4))
        / 4
        for each in ("", "unsaid")
    )
    assert said > 0.9 > 0.75 > unsaid


def holder_ends(fleet: Fleet, rng: Random) -> None:
    """A holder ends in order when its window is nearly empty, all press, and its second word comes late."""
    fleet.leave(fleet.first, 6.0, slow=0.5 + rng.random())
    fleet.press(8.0, 6.0 + 0.2 * rng.random())


@pytest.mark.parametrize("mutant", ["", "handed for what was granted", "handed again and again"])
def test_given_a_holder_that_ends_when_its_counts_are_handed_on_then_no_window_breaks(mutant: str) -> None:
    plan = Plan(rate=600, hot=0.1, skew=0, until=14, mutant=mutant)
    worst = [play(holder_ends, seed, plan).worst() for seed in range(6)]
    assert (max(worst) > 1.0) is bool(mutant), worst


def test_given_a_holder_that_ends_then_a_burst_fits_at_the_next_one() -> None:
    def story(fleet: Fleet, rng: Random) -> None:
        fleet.leave(fleet.first, 6.0)
        fleet.press(8.0, 6.3)  # quiet until then: the window is nearly empty

    handed, unhanded = (
        sum(
            play(story, seed, Plan(rate=60, hot=0.1, skew=0, until=7, mutant=each)).served(6.3)
            for seed in range(6)
        )
        / 6
        for each in ("", "unhanded")
    )
    print(handed, unhanded)
    assert handed > 0.9 > unhanded + 0.2


def test_given_the_word_of_a_former_holder_then_what_was_granted_since_stays_counted() -> None:
    holder = Holder()
    assert sum(holder.add("t", 1, 60, 60, 10.0, "a", NEAR, sole=10.0) for _ in range(9)) == SPARE
    holder.handed("t", 20.0, 60, 60, 10.0, 10.0)
    assert holder.counts["t"].total == 20.0 + SPARE
    holder.handed("t", 0.0, 60, 60, 10.0, 10.0)  # a second word
    assert holder.counts["t"].total == 20.0 + SPARE
    # A count from an earlier time as holder: it assumes anew, and the word takes its place
    holder.handed("t", 30.0, 60, 60, 30.0, 29.0)
    assert holder.counts["t"].total == 30.0
    # Nobody is told of a count that another may hold
    assert holder.hand(28.0) == {} and holder.hand(30.0) == {"t": 30.0}


def test_given_a_former_life_then_its_end_and_its_words_count_for_nothing() -> None:
    ends = Ends()
    ends.listed({"a": ("h", LIFE)}, {"a"})
    assert ends.end("h", LIFE) and not ends.end("h", LIFE) and not ends.hear("h", LIFE)
    assert [*ends.names()] == ["a"]
    assert ends.hear("h", 1) and [*ends.names()] == []  # names of lives start anew beyond 32 bits
    assert ends.hear("h", LIFE - 1) and not ends.end("h", LIFE - 1) and ends.end("h", 1)
    ends.listed({"a": ("h", 2), "b": ("k", 5)}, {"a", "b"})
    assert [*ends.names()] == [] and not ends.end("h", 1) and not ends.end("k", 4)
    ends.listed({}, set())
    assert not ends.rows and not ends.lives and not ends.over


def test_given_a_lower_limit_when_a_window_has_passed_then_it_holds() -> None:
    for seed in range(6):
        fleet = Fleet(Plan(rate=200, hot=3, until=14), seed)
        fleet.lower(60, 5)
        assert fleet.play().worst(after=5) <= 1.0


def test_given_calm_when_within_the_limit_then_next_to_nothing_is_refused() -> None:
    for seed in range(6):
        for rate in (10.0, 60.0):
            assert play(nothing, seed, Plan(rate=rate, hot=0.9, loss=0.0)).served() > 0.98
            assert play(nothing, seed, Plan(rate=rate, hot=6)).served() > 0.97


def test_given_beats_that_stop_when_clients_are_few_then_their_limiters_are_taken_for_cut_off() -> None:
    with_beats, without = (
        play(nothing, 1, Plan(rate=10, hot=0.9, mutant=each)).served() for each in ("", "silent")
    )
    assert with_beats > 0.97 > 0.5 > without


def test_given_all_killed_when_a_tenant_comes_through_few_limiters_then_it_has_room_at_once() -> None:
    with_words, without = (
        sum(
            play(all_killed, seed, Plan(limiters=68, rate=15, hot=0.5, until=8, mutant=each)).served(5)
            for seed in range(4)
        )
        / 4
        for each in ("", "unheard")
    )
    assert with_words > 0.93 > 0.6 > without


def test_given_a_tenant_not_in_use_when_its_holder_is_new_then_it_hears_for_a_while() -> None:
    caller = Caller("a", 0.0)
    caller.listed(["a", "b"], 0.0)
    tenant = next(name for name in ("t", "u", "v", "w") if caller.holder(name) == "b")
    assert caller.beats(0.0, [tenant]) == caller.beats(LAG, [tenant]) == [("b", tenant, NEAR)]
    assert caller.beats(LAG + 0.1, [tenant]) == [("b", tenant, BYE)]
    assert caller.beats(LAG + 0.4, [tenant]) == [] and not caller.uses


def test_given_a_holder_that_gets_a_tenant_back_then_it_starts_full() -> None:
    holder = Holder()
    assert holder.add("t", 1, 60, 60, 10.0, "a", NEAR, sole=5.0)
    assert sum(holder.add("t", 1, 60, 60, 12.0, "a", NEAR, sole=15.0) for _ in range(90)) == SPARE


def test_given_a_limiter_that_goes_when_it_says_so_then_nothing_is_set_aside() -> None:
    holder = Holder()
    for who in "ab":
        holder.add("t", 1, 60, 60, 10.0, who, NEAR, 0.0, 2)
    holder.add("t", 0, 60, 60, 10.2, "b", AWAY, 0.0, 2)
    assert holder.counts["t"].part == 0.5
    holder.add("t", 0, 60, 60, 10.4, "b", BYE, 0.0, 2)
    assert holder.counts["t"].part == 1.0
    holder.add("t", 0, 60, 60, 10.5, "b", NEAR, 0.0, 2)
    holder.add("t", 0, 60, 60, 10.5 + 2 * TOUCH, "a", NEAR, 0.0, 2)
    assert holder.counts["t"].part == 0.5
    holder.add("t", 0, 60, 60, 11 + 2 * TOUCH + KEEP, "a", NEAR, 0.0, 2)
    assert holder.counts["t"].part == 1.0


def test_given_a_crowd_refused_then_each_is_told_a_moment_of_its_own() -> None:
    holder = Holder()
    told = [holder.after("t", 1, 10.0) for _ in range(100) if not holder.add("t", 1, 20, 20, 10.0)]
    assert len(told) == 80 and len(set(told[:38])) == 38 and max(told) <= COME


def test_given_a_limiter_out_of_touch_with_control_planes_then_its_share_falls() -> None:
    caller = Caller("a", 0.0)
    caller.listed(["a", "b"], 0.0)
    assert caller.share(T, 5.0) == 30.0
    assert caller.share(T, KEEP) == pytest.approx(30.0 * FALLEN)


def test_given_limiters_that_left_the_list_then_they_keep_their_shares_for_a_while() -> None:
    caller = Caller("a", 0.0)
    caller.listed(["a", "b", "c"], 0.0)
    caller.listed(["a"], 1.0)
    assert (caller.left(), caller.share(T, 1.0)) == (2, 20.0)
    for now in range(2, 14):
        caller.listed(["a"], float(now))
    assert (caller.left(), caller.share(T, 13.0)) == (0, 60.0)


def test_given_a_holder_when_lists_stop_then_it_is_not_taken_for_the_only_one() -> None:
    caller = Caller("a", 0.0)
    caller.listed(["a"], 0.0)
    caller.listed(["a"], 2.0)
    assert caller.sole("t") == LAG
    caller.listed(["a"], 2.1 + GAP)
    assert caller.sole("t") == 2.1 + GAP + LAG


def test_given_an_answer_that_was_late_then_its_units_may_be_used() -> None:
    caller = Caller("a", 0.0)
    caller.listed(["a", "b"], 0.0)
    caller.refused(T, 1.0)
    assert not caller.local(T, 1.0, 1.0)
    caller.credit(T, 1.0, 1.0)
    assert caller.local(T, 1.0, 1.0)


@pytest.mark.parametrize(("gap", "fits"), [(APART * 0.9, True), (APART * 1.1, False)])
def test_given_a_holder_out_of_touch_when_another_may_have_held_its_counts_then_it_grants_no_second_burst(
    gap: float, fits: bool
) -> None:
    holder = Holder()
    holder.touch(0.0)
    assert holder.add("t", 1.0, 60.0, 60.0, 0.0, "a", sole=gap)  # begins full, and drains from now on
    holder.touch(gap)
    assert holder.add("t", 50.0, 60.0, 60.0, gap, "a", sole=gap) is fits


@pytest.mark.parametrize(
    ("limiters", "budget_s"), [(1, 0.02), (24, 0.02), (36, 0.03), (60, 0.05), (560, 0.05)]
)
def test_given_more_limiters_then_a_holder_is_waited_for_longer_within_a_bound(
    limiters: int, budget_s: float
) -> None:
    one = Caller("n0", 0.0)
    one.listed([f"n{n}" for n in range(limiters)], 0.0)
    assert one.budget() == pytest.approx(budget_s)


def test_given_late_datagrams_among_many_limiters_then_hardly_a_request_within_its_limit_is_refused() -> None:
    plan = Plan(limiters=96, rate=60.0, hot=0.6, loss=0.0, late=0.5, until=12.0)
    fleet = Fleet(plan, 1).play()
    assert fleet.served(4.0) > 0.99
    assert fleet.worst() <= 1.0


def test_given_the_same_list_again_and_again_when_one_goes_off_it_then_its_share_is_kept_from_then_on() -> (
    None
):
    caller = Caller("a", 0.0)
    caller.listed(["a", "b"], 0.0)
    for second in range(1, 31):
        assert caller.still_listed(float(second))
    caller.listed(["a"], 30.5)
    assert caller.left() == 1 and caller.share(T, 30.5) == T.rate / 2
    assert not caller.still_listed(31.0)  # until nothing of the former list is left, it is gone by anew
    caller.listed(["a"], 30.0 + KEEP + 0.1)
    assert caller.left() == 0 and caller.still_listed(30.0 + KEEP + 0.2)


def test_given_no_word_for_long_then_the_same_list_is_one_that_may_have_changed_meanwhile() -> None:
    caller = Caller("a", 0.0)
    caller.listed(["a", "b"], 0.0)
    assert caller.still_listed(GAP) and not caller.still_listed(2 * GAP + 0.1)
