"""Stories of agreement: machines that race, lose messages, restart and lose disks decide one value a slot."""

import math
import random
from dataclasses import replace
from random import Random
from typing import Any

import pytest

from finchshelf.agreement import core
from finchshelf.agreement.backoff import Backoff
from finchshelf.agreement.membership import next_members
from finchshelf.models.agreement_fleet import ADDRESSES, Fleet, Split, add, members
from finchshelf.models.agreement_mutants import GUARDS
from finchshelf.models.agreement_records import Bounds
from finchshelf.models.agreement_rules import MEMBER, MUTANTS, Found, explore

A, B, C = core.genesis(ADDRESSES).members
NEW_B, SPARE = core.Member("b:1", "x"), core.Member("d:1", "y")
D, E = core.Member("e:1", "y"), core.Member("f:1", "y")


def play(seed: int, mutant: str = "") -> int:
    """One random life of a fleet; how many changes were acknowledged."""
    rng = random.Random(seed)
    fleet = Fleet(mutant, lazy=True)
    # Lives differ: the mutants are seen where restarts are many and syncs few, or the other way.
    proposals, harm, syncs = rng.uniform(0.02, 0.1), rng.uniform(0.005, 0.05), rng.uniform(0.05, 0.4)
    for step in range(1500):
        address, chance = rng.choice(ADDRESSES), rng.random()
        n = max(one.promised.n for one in fleet.acceptors.values()) + rng.randint(0, 2)
        if chance < proposals:
            fleet.propose(f"{step}", address, add(str(step)), n)
        elif chance < proposals + 0.02:
            now = fleet.acceptors[address].decided
            silent = {one.me: 0.0 for one in fleet.acceptors.values()}
            to = next_members(now.members, silent, tuple(silent)) if now else None
            if to is not None:
                fleet.propose(f"m{step}", address, members(to), n)
        elif chance < proposals + 0.02 + harm:
            fleet.restart(address)
        elif chance < proposals + 0.02 + 2 * harm and fleet.recovered():
            fleet.wipe(address)
        elif chance < proposals + 0.02 + 2 * harm + syncs:
            fleet.sync(address)
        elif fleet.net:
            packet = rng.choice(sorted(fleet.net))
            if rng.random() < 0.05:
                fleet.net -= {packet}
            else:
                fleet.deliver(packet, keep=rng.random() < 0.1)
    fleet.heal("end")
    kept = fleet.chosen[max(fleet.chosen)].document.decode().split()
    if not fleet.done - {name for name in fleet.done if name.startswith("m")} <= set(kept):
        raise Split("an acknowledged change is lost")
    return len(fleet.done)


def test_given_loss_restarts_and_wipes_when_many_propose_then_nothing_acknowledged_is_lost() -> None:
    assert sum(play(seed) for seed in range(60)) > 150


@pytest.mark.parametrize(("mutant", "seed"), [("early", 24), ("wiped", 121), ("forgetful", 28)])
def test_given_a_guard_is_dropped_when_a_life_is_played_then_it_is_seen(mutant: str, seed: int) -> None:
    with pytest.raises(Split):
        play(seed, mutant)


@pytest.mark.parametrize(
    ("bounds", "depth", "states"),
    [
        (Bounds(swaps=1), 20, 30_353),
        (Bounds(wipes=1, harmed=MEMBER), 18, 21_055),
        (Bounds(starts=3, swaps=1, wipes=1, restarts=1, resent=True), 4, 3_746),
    ],
)
def test_given_all_orders_when_every_state_is_looked_at_then_each_rule_holds(
    bounds: Bounds, depth: int, states: int
) -> None:
    found = explore(bounds, depth=depth + (bounds.starts == 2))
    assert found == Found(states, depth, bounds.starts == 2)  # ended: no state is left


@pytest.mark.parametrize(("lacks", "bounds", "rule", "deep"), MUTANTS)
def test_given_a_guard_is_dropped_when_states_are_looked_at_then_the_rule_that_breaks_is_named(
    lacks: tuple[str, ...], bounds: Bounds, rule: str, deep: bool
) -> None:
    assert set(lacks) <= set(GUARDS)
    assert explore(bounds, frozenset(lacks), 40_000, deep=deep, only=rule).broken == rule


def test_given_two_operators_on_one_version_when_both_propose_then_one_alone_wins() -> None:
    def change(document: bytes) -> Any:
        def make(now: core.Value) -> core.Value | core.Refusal:
            if now.version != 0:
                return core.Refusal("done" if now.document == document else "version")
            return replace(now, slot=now.slot + 1, version=1, document=document)

        return make

    for seed in range(30):
        rng, fleet = random.Random(seed), Fleet()
        ended: dict[str, str] = {}
        for turn in range(60):
            for name, address in (("one", "a:1"), ("two", "b:1")):
                if name not in ended and turn % 6 == 0:
                    fleet.propose(name, address, change(name.encode()), turn + 1 + (name == "two"))
            for _ in range(12):
                if fleet.net:
                    fleet.deliver(rng.choice(sorted(fleet.net)))
            for name, attempt in fleet.attempts.items():
                if isinstance(attempt.outcome, core.Refused):  # "done": the other one finished it
                    ended[name] = attempt.outcome.reason
                elif name in fleet.done:
                    ended[name] = "done"
        assert sorted(ended.values()) == ["done", "version"]
        assert ended[fleet.chosen[max(fleet.chosen)].document.decode()] == "done"


def test_given_a_wiped_member_when_it_is_asked_then_it_has_no_vote_until_a_value_names_it() -> None:
    wiped = core.Acceptor(NEW_B, core.genesis(ADDRESSES))
    ask = {"kind": "prepare", "slot": 1, "ballot": [1, "a:1"]}
    reply, _ = wiped.handle(ask)
    assert reply["kind"] == "no_member"
    attempt = core.Proposer("a:1", core.genesis(ADDRESSES), add("x"), 1)
    promise = {"kind": "promise", "slot": 1, "ballot": [1, "a:1"], "accepted": None}
    assert attempt.on_reply(A, {**promise, "from": list(A)}) == []
    assert attempt.on_reply(B, {**promise, "from": list(NEW_B)}) == []  # at B's address, not B's disk
    assert len(attempt.on_reply(C, {**promise, "from": list(C)})) == 3
    wiped.learn(core.Value(1, (A, NEW_B, C)))
    assert wiped.handle({**ask, "slot": 2})[0]["kind"] == "promise"


def test_given_a_save_failed_when_the_message_comes_again_then_the_reply_still_waits_for_the_disk() -> None:
    acceptor = core.Acceptor(A, core.genesis(ADDRESSES))
    accept = {"kind": "accept", "slot": 1, "ballot": [1, "a:1"], "value": core.Value(1, (A, B, C)).pack()}
    assert [acceptor.handle(accept)[1] for _ in range(2)] == [True, True]
    acceptor.saved(acceptor.revision)
    reply, dirty = acceptor.handle(accept)
    assert reply == {"kind": "accepted", "slot": 1, "ballot": [1, "a:1"], "from": list(A)} and not dirty
    assert core.Acceptor.restore("a:1", acceptor.state()).state() == acceptor.state()
    for nonsense in ({}, {"kind": "accept"}, {"kind": "learn", "value": 7}, {**accept, "ballot": 3}):
        assert acceptor.handle(nonsense)[0]["kind"] == "unknown"


def test_given_answers_to_read_when_a_majority_holds_nothing_newer_then_the_value_is_fresh() -> None:
    now = core.genesis(ADDRESSES)
    states = {each: {"kind": "state", "slot": 0, "accepted": False, "from": list(each)} for each in (A, B)}
    assert core.fresh(now, states)
    assert not core.fresh(now, {A: states[A]})
    assert not core.fresh(now, {**states, B: {**states[B], "from": list(NEW_B)}})
    assert not core.fresh(now, {**states, B: {**states[B], "accepted": True}})


@pytest.mark.parametrize(
    ("silent", "candidates", "expected"),
    [
        ({A: 0, B: 0, C: 0}, (), None),
        ({A: 0, B: 0.5, C: 0, NEW_B: 0}, (NEW_B,), (A, NEW_B, C)),  # a wiped disk, at once
        ({A: 0, B: 0, C: 0, NEW_B: 0.5}, (NEW_B,), None),  # an older disk of that address
        ({A: 0, B: 0, C: 1.6, SPARE: 0}, (SPARE,), (A, B, SPARE)),  # a silent member
        ({A: 0, B: 0, C: 1.4, SPARE: 0}, (SPARE,), (A, B, C, SPARE)),
        ({A: 0, B: 0, C: 9, SPARE: 2}, (SPARE,), None),  # the spare is silent too
        ({A: 0, B: 2, C: 2, SPARE: 0}, (SPARE,), None),  # no majority of the old is heard
    ],
)
def test_given_three_members_when_some_are_silent_then_one_change_is_named(
    silent: dict[core.Member, float],
    candidates: tuple[core.Member, ...],
    expected: tuple[core.Member, ...] | None,
) -> None:
    assert next_members((A, B, C), silent, candidates) == expected


@pytest.mark.parametrize(("others", "after"), [((SPARE,), 1.5), ((SPARE, D), 3.0), ((SPARE, D, E), 1.5)])
def test_given_more_than_three_members_when_one_stays_silent_then_it_is_removed_sooner_of_an_even_number(
    others: tuple[core.Member, ...], after: float
) -> None:
    named = (A, B, C, *others)
    silent = {**dict.fromkeys(named, 0.0), SPARE: after + 0.1}
    assert next_members(named, silent, ()) == tuple(one for one in named if one != SPARE)
    assert next_members(named, {**silent, SPARE: after - 0.1}, ()) is None


# ---- proposers that meet ----


def met(seed: int, takes: tuple[float, float], backoff: bool) -> float:
    """Seconds until one of two proposers gets through: an attempt is outbid if the other's begins in it."""
    random = Random(seed)
    pauses, at = [Backoff(), Backoff()], [0.0, 0.0]
    while max(at) < 10.0:
        first, second = sorted((0, 1), key=at.__getitem__)
        took = random.uniform(*takes)
        if at[second] >= at[first] + took:
            return at[first] + took
        # What it asks to accept, halfway, is refused at once for the other's ballot.
        lost = max(at[second], at[first] + took / 2)
        at[first] = lost + pauses[first].pause(backoff, lost - at[first], random.random())
    return math.inf


@pytest.mark.parametrize("takes", [(0.008, 0.02), (0.05, 0.15), (0.1, 0.3)])
def test_given_two_proposers_that_meet_when_attempts_are_slow_then_one_is_through_in_an_orders_time(
    takes: tuple[float, float],
) -> None:
    times = sorted(met(seed, takes, True) for seed in range(400))
    assert times[199] < 0.85 and times[379] < 2.5 and times[-1] < 5.0, (times[199], times[379], times[-1])
    # And with pauses that do not grow, slow ones outbid each other for longer than an operator waits
    fixed = sorted(met(seed, takes, False) for seed in range(400))
    assert takes[0] < 0.05 or fixed[379] > 2.5, fixed[379]
