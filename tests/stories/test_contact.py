"""The rules of contact under cuts, halts, restarts and clocks that drift.

Owns how many days a test plays; `python -m benchmarks.contact_search` plays more.
"""

from __future__ import annotations

from math import inf
from unittest import mock

import pytest

from finchshelf.membership import contact
from finchshelf.models.contact import BOUND, Model, Stale
from finchshelf.models.contact_mutants import LAX, LONG, MUTANTS, WIPED, rules

SECONDS, LONG_SECONDS = 30.0, 120.0


@pytest.mark.parametrize("count", [3, 5])
def test_given_cuts_halts_and_restarts_then_nothing_acts_as_current_beyond_the_leases(count: int) -> None:
    oldest, begins = 0.0, 0
    for seed in range(20):
        print(f"seed {seed}")
        model = Model(seed, rules(), count)
        model.play(SECONDS)
        oldest, begins = max(oldest, model.oldest), begins + model.begins
    # Then the model has seen words that were left behind, limiters that began, and none for too long
    assert 0.5 < oldest <= BOUND and begins > 20


@pytest.mark.parametrize("name", MUTANTS)
def test_given_a_rule_of_contact_that_is_dropped_then_the_model_finds_it(name: str) -> None:
    for seed in range(100):
        try:
            Model(seed, rules(**MUTANTS[name]), 5 if seed % 2 else 3).play(SECONDS)
        except Stale as found:
            print(f"seed {seed}: {found}")
            return
    pytest.fail("nothing found")


@pytest.mark.parametrize("name", ["", *LONG])
def test_given_cuts_that_last_long_then_who_starts_behind_one_waits_and_a_rule_dropped_is_found(
    name: str,
) -> None:
    began = 0
    first = 160 if "just now" in name else 0
    for seed in range(first, first + 60) if name else range(12):
        model = Model(seed, rules(**LONG.get(name, {})), 5 if seed % 2 else 3, long=True)
        try:
            model.play(LONG_SECONDS)
        except Stale as found:
            assert name, f"seed {seed}: {found}"
            print(f"seed {seed}: {found}")
            return
        began += model.long_alone
    # Then some began by what was left behind, once nobody had been in contact for long
    assert not name and began > 2


@pytest.mark.parametrize("name", ["", *WIPED])
def test_given_disks_lost_one_at_a_time_then_only_a_member_by_its_disk_is_contact(name: str) -> None:
    for seed in range(30, 60) if name else range(12):
        try:
            Model(seed, rules(**WIPED.get(name, {})), 5 if seed % 2 else 3, wipes=True).play(40.0)
        except Stale as found:
            assert name, f"seed {seed}: {found}"
            print(f"seed {seed}: {found}")
            return
    assert not name, "nothing found"


@pytest.mark.parametrize("name", ["", *LAX])
def test_given_clocks_that_drift_much_when_a_lease_does_not_allow_for_it_then_the_model_finds_it(
    name: str,
) -> None:
    with mock.patch.object(contact, "DRIFT", 0.4):
        for seed in range(200 if name else 10):
            try:
                Model(seed, rules(**LAX.get(name, {})), 3).play(SECONDS)
            except Stale as found:
                assert name, f"seed {seed}: {found}"
                print(f"seed {seed}: {found}")
                return
    assert not name, "nothing found"


def test_given_members_when_more_than_half_spoke_then_contact_is_when_the_last_needed_one_did() -> None:
    five = ["a", "b", "c", "d", "e"]
    assert contact.contact(five, "a", {"b": 7.0, "c": 5.0, "d": 3.0}, 9.0) == 5.0
    assert contact.contact(five, "x", {"b": 7.0, "c": 5.0, "d": 3.0}, 9.0) == 3.0
    assert contact.contact(five, "a", {"b": 7.0}, 9.0) == -inf
    assert contact.contact([], "a", {}, 9.0) == -inf and contact.contact(["a"], "a", {}, 9.0) == 9.0
