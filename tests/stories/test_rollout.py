"""Stories of the roll-out: sites in memory, a driver that may die, policies that do harm, what stops them."""

from __future__ import annotations

import math
from collections.abc import Callable
from dataclasses import replace
from pathlib import Path
from random import Random
from typing import Any

import orjson
import pytest

from benchmarks import rollout
from benchmarks import rollout_world as model
from benchmarks.rollout_world import BAD, GOOD, KEEPERS, KINDS, World
from finchshelf.agreement import core
from finchshelf.configuration import change as changes
from finchshelf.rollout import driver, duty, plan
from finchshelf.rollout.driver import Driver, begin
from finchshelf.rollout.evidence import AT, EACH, Seen, Sums, Table, merge, watch_id
from finchshelf.rollout.statistics import HALT, Growth, Verdict, lift

LONGER = GOOD["longer time"]


def world(change: dict[str, Any], seed: int = 1, **more: Any) -> World:
    return World(5, change, seed, **more)


def until(one: World, state: str, site: str = "site-00") -> None:
    """Time passes until a site is in that state."""
    for _ in range(2000):
        if one.state["sites"][site]["state"] == state:
            return
        one.turn()
    raise AssertionError(f"{site} never {state}: {one.state}")


def driving(one: World) -> str:
    return str(one.document["driver"])


# ---- policies ----


@pytest.mark.parametrize("policy", sorted(BAD))
def test_given_a_bad_policy_when_it_is_rolled_out_then_it_stops_at_the_first_site(policy: str) -> None:
    load = policy == "bad only under load"
    for seed in range(3):
        one = world(BAD[policy], seed, least_busy=1.4 if load else 0.0)
        one.busy = model.surges if load else one.busy
        before = one.places["site-00"].document
        # When it runs, then it halts by itself, and no site beyond has seen the change
        assert one.run() == "halted" and one.changed() == ["site-00"], one.state["why"]
        # And the site has its last good policy back, under a version of its own
        site = one.places["site-00"]
        assert site.version == 3 and by_name(site.document) == by_name(before)
        assert one.state["sites"]["site-00"]["state"] == "returned"


def by_name(document: dict[str, Any]) -> dict[tuple[str, str], Any]:
    return {plan.label(one): one for one in document["elements"]}


@pytest.mark.parametrize("policy", sorted(GOOD))
def test_given_a_good_policy_when_it_is_rolled_out_then_it_reaches_every_site_once(policy: str) -> None:
    one = world(GOOD[policy])
    assert one.run() == "done" and one.changed() == list(one.places)
    for place in one.places.values():
        assert place.version == 2 and set(place.stepped.values()) == {1}


# ---- what else happens ----


def test_given_a_bad_hour_everywhere_when_a_good_policy_is_watched_then_it_goes_on() -> None:
    one = world(LONGER)
    one.outside = lambda _, now: {"late": 0.25, "vanished": 0.05} if 100 < now < 250 else {}
    assert one.run() == "done"


def test_given_a_bad_hour_everywhere_when_the_policy_is_bad_too_then_it_halts() -> None:
    one = world(BAD["a route to the wrong service"])
    one.outside = lambda _, now: {"late": 0.25, "wrong": 0.05} if 50 < now < 250 else {}
    assert one.run() == "halted" and one.changed() == ["site-00"]


def test_given_no_comparison_with_other_sites_then_a_bad_hour_halts_a_good_policy() -> None:
    class Alone(Driver):
        compare = False

    one = world(LONGER)
    one.maker = Alone
    one.outside = lambda _, now: {"late": 0.25, "vanished": 0.05} if 100 < now < 250 else {}
    assert one.run() == "halted"  # the mutant is seen


@pytest.mark.parametrize("part, machines", [(0.4, 1), (1.0, 3)], ids=["server", "zone"])
def test_given_machines_are_lost_at_the_changed_site_then_a_good_policy_goes_on(
    part: float, machines: int
) -> None:
    one = world(LONGER)
    one.outside = model.crash("site-00", 90.0, part)

    def lose(now: World) -> None:
        now.places["site-00"].machines -= machines

    def back(now: World) -> None:
        now.places["site-00"].machines += machines

    one.events = [(92.0, lose), (110.0, back)]
    assert one.run() == "done"


@pytest.mark.parametrize("excused", [24.0, 0.0], ids=["excused", "mutant"])
def test_given_a_zone_is_lost_then_only_what_its_loss_excuses_keeps_a_good_policy(
    excused: float, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(driver, "EXCUSED", excused)
    ends = {rollout.play(("longer time, zone lost", 5, seed)).end for seed in range(3)}
    assert ends == ({"done"} if excused else {"halted"})  # the mutant is seen


def test_given_a_zone_is_lost_at_the_moment_of_a_bad_change_then_it_is_no_past_to_hide_in() -> None:
    for seed in range(6):
        run = rollout.play(("bad for one kind alone, zone lost", 5, seed))
        assert run.end == "halted" and run.changed == 1 and run.to_halt < 700


def test_given_too_little_traffic_when_it_is_watched_then_it_waits_and_says_so() -> None:
    one = world(LONGER, scale=0.02)
    for _ in range(1500):
        one.turn()
    assert one.state["phase"] == "before" and "too few requests" in one.state["says"]
    assert not one.changed()
    one = world(LONGER)
    until(one, "watching")
    one.busy = lambda _: 0.0
    for _ in range(600):
        one.turn()
    assert one.changed() == ["site-00"] and "too few requests" in one.state["says"]


def test_given_a_site_falls_silent_after_its_change_then_it_goes_back() -> None:
    one = world(LONGER)
    until(one, "watching")
    one.places["site-00"].up = False
    assert one.run() == "halted" and "no evidence" in one.state["why"]


# ---- operators ----


def test_given_an_operators_change_at_a_site_then_one_wins_cleanly_and_the_roll_out_halts() -> None:
    for site, when in (("site-00", "watching"), ("site-03", "waiting")):
        one = world(LONGER)
        until(one, "watching")
        place = one.places[site]
        body = plan.body(GOOD["another key"], place.version, place.version + 1)
        assert place.adjust(body, one.now) == 200
        after = place.document
        assert one.run() == "halted" and "another operator" in one.state["why"]
        # Then the operator's change stands, whatever the roll-out would have gone back to
        assert place.document == after
        assert one.state["sites"][site]["state"] == ("left" if when == "watching" else "waiting")


def test_given_an_operators_change_at_the_very_step_then_it_is_met_with_412() -> None:
    one = world(LONGER)
    place = one.places["site-00"]
    real = place.adjust

    def first_another(body: bytes, now: float) -> int:
        place.adjust = real  # type: ignore[method-assign]
        assert place.adjust(plan.body(GOOD["another key"], 1, 2), now) == 200
        return place.adjust(body, now)

    place.adjust = first_another  # type: ignore[method-assign]
    assert one.run() == "halted" and place.version == 2
    assert one.state["sites"]["site-00"]["state"] == "left" or "meanwhile" in one.state["why"]


def test_pause_holds_the_next_step_and_abort_takes_the_change_back() -> None:
    one = world(LONGER)
    until(one, "watching")
    assert isinstance(one.keepers.change(KEEPERS[1], duty.ask("pause")), core.Value)
    for _ in range(400):
        one.turn()
    assert one.changed() == ["site-00"] and one.state["says"] == "paused"
    one.keepers.change(KEEPERS[1], duty.ask("resume"))
    until(one, "watching", "site-01")
    one.keepers.change(KEEPERS[2], duty.ask("abort"))
    assert one.run() == "aborted"
    assert [place.version for place in one.places.values()] == [2, 3, 1, 1, 1]
    assert one.keepers.change(KEEPERS[0], duty.ask("pause")) == "no roll-out is under way"


def test_given_sites_within_one_system_then_each_gets_its_own_part_of_it() -> None:
    # Given: two agencies in one system, a change that says whose it is, and a plan that forgets to
    change = {"apply": {"elements": [model.route("{site}-status", cutoffMs=4000)]}}
    sites = [{"name": name, "controls": ["10.0.0.1:8407"]} for name in ("tartu", "narva")]
    given = {"name": "two", "change": change, "sites": sites, "kinds": [{"route": "{site}-status"}]}
    made = plan.read(given)
    assert list(made.routes(made.sites[1])) == ["narva-status"]
    assert made.sites[0].own(change)["apply"]["elements"][0]["header"]["label"] == "tartu-status"
    with pytest.raises(plan.PlanError, match=r"sites\[1\].controls: sites\[0\] is in the same system"):
        plan.read({**given, "change": LONGER})


def test_given_a_site_that_cannot_be_reached_when_it_should_go_back_then_an_operator_may_leave_it() -> None:
    one = world(LONGER)
    until(one, "watching")
    place = one.places["site-00"]
    place.adjust = lambda body, now: 503  # type: ignore[method-assign]
    one.keepers.change(KEEPERS[1], duty.ask("abort"))
    for _ in range(100):
        one.turn()
    assert one.state["phase"] == "returning"
    one.keepers.change(KEEPERS[1], duty.ask("leave"))
    assert one.run() == "aborted" and one.state["sites"]["site-00"]["state"] == "left"


@pytest.mark.parametrize("waves", [0, 3])
def test_given_sites_within_one_system_then_its_version_counts_one_step_after_the_other(waves: int) -> None:
    change = {"apply": {"elements": [model.route("{site}-read", cutoffMs=4000)]}}
    one = World(5, change, 1, waves, shared=True)
    place = one.places["site-00"]
    assert one.run() == "done" and place.version == 6 and set(place.stepped.values()) == {1}
    assert {label for _, label in by_name(place.document)} >= {f"{name}-read" for name in one.places}
    one = World(5, change, 1, waves, shared=True)
    until(one, "watching", "site-02")
    one.keepers.change(KEEPERS[0], duty.ask("abort"))
    assert one.run() == "aborted"
    kept = {label for _, label in by_name(one.places["site-00"].document)}
    passed = {name for name, row in one.state["sites"].items() if row["state"] == "passed"}
    assert {f"{name}-read" for name in one.places} & kept == {f"{name}-read" for name in passed}


# ---- drivers ----


@pytest.mark.parametrize(("seed", "least"), enumerate((3, 1, 3, 0, 5, 5, 3, 2)))  # over 20 in all
def test_given_the_driver_dies_at_any_moment_then_another_goes_on_and_no_step_is_done_twice(
    seed: int, least: int
) -> None:
    random, one = Random(seed), world(LONGER, seed)
    one.lose_answers = True
    while duty.running(one.document) and one.now < 4000:
        one.turn()
        if random.random() < 0.01:  # at most one is down at a time
            one.dead = {random.choice([driving(one) or KEEPERS[0], *KEEPERS])}
            for name in one.dead:
                one.hands.pop(name, None)
    assert one.state["phase"] == "done"
    assert one.document["epoch"] - 2 >= least  # takeovers
    for place in one.places.values():
        assert place.version == 2 and set(place.stepped.values()) == {1}


def test_given_a_driver_dies_under_a_bad_policy_then_the_next_one_takes_it_back() -> None:
    for seed in range(5):
        one = world(BAD["time-outs too short"], seed)
        until(one, "watching")
        one.dead = {driving(one)}
        assert one.run() == "halted" and one.changed() == ["site-00"]
        assert one.places["site-00"].version == 3


def cut_off(fenced: bool) -> World:
    """A driver whose step hangs on its way is cut off; another halts; the step arrives; the first is back."""
    one = world(LONGER)
    while not driving(one):
        one.turn()
    first = driving(one)
    one.slow = {first}
    one.hands[first].fenced = fenced
    until(one, "changing")
    one.turn()
    one.keepers.cut = {first}
    while driving(one) == first:
        one.turn()
    one.keepers.change(driving(one), duty.ask("abort"))
    assert one.run() == "aborted"
    assert one.hands[first].stalled
    for order in one.hands[first].stalled:  # late, but it arrives
        one.places[order.site.name].adjust(order.body, one.now)
    one.slow, one.keepers.cut = set(), set()
    for _ in range(60):
        one.now += 1
        one.keep(first)
    return one


def test_given_a_cut_off_driver_comes_back_then_it_is_fenced_and_its_late_step_is_refused() -> None:
    one = cut_off(True)
    # The site was moved to a version of its own with its old policy, so the late step met another version
    assert by_name(one.places["site-00"].document) == by_name(model.first_document())
    assert one.places["site-00"].stepped == {3: 1}
    assert not one.changed()[1:]


@pytest.mark.parametrize("fenced", [True, False], ids=["fenced", "mutant"])
def test_given_a_driver_is_cut_off_before_its_first_step_then_only_fencing_keeps_it_from_it(
    fenced: bool,
) -> None:
    one = world(LONGER)
    until_time(one, 30)
    first = driving(one)
    one.hands[first].fenced = fenced
    one.keepers.cut = {first}
    while driving(one) == first:
        one.turn()
    one.keepers.change(driving(one), duty.ask("abort"))
    assert one.run() == "aborted"
    until_time(one, 200)
    assert one.changed() == ([] if fenced else ["site-00"])  # the mutant is seen


def until_time(one: World, now: float) -> None:
    while one.now < now:
        one.turn()


def test_the_register_keeps_one_roll_out_at_a_time_and_remembers_the_former() -> None:
    one = world(BAD["a quota too low"])
    state = begin(replace(one.plan, name="next"))
    assert "is under way" in str(one.keepers.change(KEEPERS[0], duty.start(state)))
    one.run()
    made = one.keepers.change(KEEPERS[0], duty.start(state))
    assert isinstance(made, core.Value)
    former = duty.read(made)["former"]
    assert [row["phase"] for row in former] == ["halted"] and former[0]["history"]
    epoch = duty.read(made)["epoch"]
    assert one.keepers.change(KEEPERS[1], duty.save("hq-1:1", epoch - 1, None)) == duty.FENCED
    assert isinstance(one.keepers.change(KEEPERS[1], duty.win(KEEPERS[1], epoch)), core.Value)
    assert one.keepers.change(KEEPERS[2], duty.win(KEEPERS[2], epoch)) == duty.FENCED


# ---- statistics ----


def intervals(random: Random, rate: float, past: float, count: int, taken: int = 20) -> Growth:
    n = 1500
    test = Growth(sum(random.random() < past for _ in range(n)), n, 0.02)
    for _ in range(count):
        test.add(sum(random.random() < rate for _ in range(taken)), taken, 0.0)
        if test.verdict() is Verdict.HALT:
            break
    return test


def test_the_error_rates_that_are_stated_hold_over_seeded_runs() -> None:
    verdicts = [intervals(Random(seed), 0.01, 0.01, 150).verdict() for seed in range(400)]
    assert verdicts.count(Verdict.HALT) == 0 and verdicts.count(Verdict.PASS) > 380
    grown = [intervals(Random(seed), 0.06, 0.01, 400).verdict() for seed in range(400)]
    assert grown.count(Verdict.PASS) == 0 and grown.count(Verdict.HALT) > 395


def test_one_burst_does_not_halt_and_harm_that_ends_leaves_doubt_first() -> None:
    test = Growth(15, 1500, 0.02)
    for _ in range(4):
        test.add(50, 50, 0.0)
    assert test.verdict() is Verdict.WAIT and test.level < -math.log(HALT)
    test.add(50, 50, 0.0)
    assert test.verdict() is Verdict.HALT
    test.take_back()
    assert test.verdict() is Verdict.WAIT


def test_what_can_be_neither_proven_nor_denied_does_not_stay_for_good() -> None:
    random, test = Random(1), Growth(15, 1500, 0.02)
    while test.verdict() is Verdict.WAIT and not test.undecided():
        test.add(sum(random.random() < 0.026 for _ in range(20)), 20, 0.0)
    assert test.undecided() and test.calm < 20_000
    test = Growth(15, 1500, 0.02)
    for _ in range(5000):  # while something grew everywhere it is not counted
        test.add(8, 20, 0.3)
    assert not test.undecided()


def test_what_grew_beside_is_the_median_so_one_sites_crash_hides_nothing() -> None:
    calm = (1.0, 100.0, 10.0, 1000.0)
    assert lift([calm, calm, (90.0, 100.0, 10.0, 1000.0)]) == 0.0
    assert lift([(31.0, 100.0, 10.0, 1000.0)] * 3) == pytest.approx(0.3)
    assert lift([]) == 0.0


# ---- evidence ----


def test_totals_survive_repeats_losses_and_a_second_control_plane() -> None:
    seen, tables, sums = Seen(), (Table(), Table()), Sums()
    random, have = Random(4), [0, 0]
    aims = {"buy": 300.0}
    assert tables[0].ask(aims, 0.0) and not tables[0].ask(aims, 1.0) and tables[1].ask(aims, 0.0)
    word = tables[0].word(0, 1.0)
    assert word is not None and word == {"id": watch_id(aims), "aims": aims}
    seen.watch(word, 0.0)
    assert tables[1].word(seen.id, 1.0) == {"id": seen.id}
    for turn in range(200):
        seen.add("buy", "taken")
        seen.ended("buy", 1.0, "out.served", 200, 0.2 if turn % 2 else 0.5)
        at = turn % 2
        rows, rev = seen.since(have[at]), seen.rev
        if random.random() < 0.7:  # else the question is lost; its answer may be, too
            tables[at].take("edge-1", 7, rows)
            have[at] = rev if random.random() < 0.7 else have[at]
        merge(tables[at].lives.setdefault(("edge-1", 7), {}), rows if random.random() < 0.2 else [])
    for at, table in enumerate(tables):
        table.take("edge-1", 7, seen.since(have[at]))
        sums.take({"rows": orjson.loads(orjson.dumps(table.rows()))})
    assert sums.totals("buy")[:2] == [200, 100]
    seen.look(EACH)
    assert seen.on
    seen.look(100.0)
    assert not seen.on and tables[0].word(0, 100.0) is None


@pytest.mark.parametrize(
    "counted, status, harm",
    [
        ("out.served", 404, "wrong"),
        ("out.error", 500, "wrong"),
        ("out.failed", 504, "vanished"),
        ("out.overdue", 503, "refused"),
        ("refused.quota", 429, "refused"),
        ("refused.401", 401, "denied"),
    ],
)
def test_each_end_of_a_request_is_one_harm(counted: str, status: int, harm: str) -> None:
    seen = Seen()
    seen.ended("buy", 1.0, counted, status, 0.1)
    assert sum(seen.rows["buy"]) == 1 and seen.rows["buy"][AT[harm]] == 1
    seen.ran("buy", b"one")
    seen.ran("buy", b"one")
    assert seen.rows["buy"][AT["repeated"]] == 1


# ---- plans ----


PLAN = """
name = "try"
change = "change.json"
[[kinds]]
route = "buy"
once = true
[[sites]]
name = "tartu"
controls = ["10.0.0.1:8407"]
"""


@pytest.mark.parametrize(
    "old, new, fault",
    [
        ('"10.0.0.1:8407"', '"tartu:8407"', "sites[0].controls[0]: expected HOST:PORT"),
        ("once = true", "once = 1", "kinds[0].once: 1 is not of type 'boolean'"),
        ("once = true", "late = 0.9", "kinds[0].late: 0.9 is greater"),
        ('name = "try"', 'nome = "try"', "file: 'name' is a required"),
        ('name = "try"', "name =", "file: expected TOML"),
        ('"change.json"', '"nowhere.json"', "nowhere.json: file: cannot be read"),
        ("[[kinds]]", "watch.window_s = 2\n[[kinds]]", "watch.window_s: expected at least five times poll_s"),
        (
            "[[sites]]",
            '[[sites]]\nwave = 2\nname = "x"\ncontrols = ["10.0.0.2:1"]\n[[sites]]',
            "sites[1].wave: expected",
        ),
        (
            "[[sites]]",
            '[[sites]]\nname = "tartu"\ncontrols = ["10.0.0.2:1"]\n[[sites]]',
            "sites[1].name: sites[0] has this name",
        ),
    ],
)
def test_a_fault_of_a_plan_is_named_with_file_and_place(
    tmp_path: Path, old: str, new: str, fault: str
) -> None:
    (tmp_path / "change.json").write_bytes(orjson.dumps({**LONGER, "setpointSeq": "00000009"}))
    file = tmp_path / "plan.toml"
    file.write_text(PLAN)
    assert plan.read_file(file).change == LONGER
    file.write_text(PLAN.replace(old, new))
    with pytest.raises(plan.PlanError) as raised:
        plan.read_file(file)
    assert any(fault in line and line.startswith(str(tmp_path)) for line in raised.value.faults)


def test_what_a_change_brings_its_undoing_takes_back() -> None:
    before = model.first_document()
    added = {
        "apply": {"elements": [*GOOD["longer time"]["apply"]["elements"], model.route("new")]},
        "remove": {"loads": ["desk"]},
    }
    put: Callable[[dict[str, Any], bytes], dict[str, Any]] = lambda document, body: changes.apply(  # noqa: E731
        document, changes.read_change("adjust", body)
    )
    after = put(before, plan.body(added, 1, 2))
    assert by_name(after) != by_name(before)
    again = put(after, plan.body(plan.undo(added, before), 2, 3))
    assert by_name(again) == by_name(before)
    assert set(KINDS) <= {label for _, label in by_name(again)}
