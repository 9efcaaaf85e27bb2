"""The soak: its plans, its judge against planted breaks, its cuts, and its short form on real processes."""

from __future__ import annotations

import os
import shutil
import socket
from collections import Counter
from collections.abc import Callable
from dataclasses import replace
from itertools import combinations
from pathlib import Path
from random import Random
from typing import Any

import pytest

from finchshelf.agreement import store
from finchshelf.agreement.store import StoreError
from finchshelf.soak import disks
from finchshelf.soak import seed as seeds
from finchshelf.soak.cuts import FULL, Cuts, both_ways
from finchshelf.soak.gate import Gate, GatedDatagrams
from finchshelf.soak.judge import Judge
from finchshelf.soak.ledger import End, Leaving, Ledger, Order, Ran, Read, Sent, Struck, Work
from finchshelf.soak.plan import DISK_REST_S, HOST_LATE, TAIL_S, WIPES, Kind, draw
from finchshelf.soak.reach import reached, table, together

LENGTH_S = 40.0


# ---- plans ----


def test_a_seed_is_one_plan_and_all_kinds_come_and_overlap() -> None:
    plans = [draw(seed, LENGTH_S) for seed in range(1, 61)]
    assert plans[6] == draw(7, LENGTH_S) and plans[6] != plans[7]
    assert {one.kind for plan in plans for one in plan.troubles} == set(Kind)
    overlapping = Counter(len(plan.at(one.at_s)) > 1 for plan in plans for one in plan.troubles)
    assert overlapping[True] > 60
    for plan in plans:
        assert all(one.until_s < LENGTH_S - TAIL_S + 10 for one in plan.troubles)
        wipes = [one.at_s for one in plan.troubles if one.kind in WIPES]
        assert all(second - first >= DISK_REST_S for first, second in combinations(wipes, 2))


# ---- the judge: each rule with its planted break ----


def sent(trial: str, **more: object) -> Sent:
    row = Sent(
        trial, "read", "GET", "/pages/1", "acme", 1, False, 5.0, 7.0, 5.0, 5.1, End.ANSWERED, 200, "s-1"
    )
    for name, value in more.items():
        setattr(row, name, value)
    return row


def ran(trial: str, **more: object) -> Ran:
    row = Ran(
        trial,
        "s-1",
        "pages",
        5.05,
        True,
        "GET",
        "/pages/1",
        "acme",
        "127.0.0.1",
        "s-1",
        False,
        True,
        200,
        1.9,
    )
    return replace(row, **more)  # type: ignore[arg-type]


def order(version: int, prior: int, *statuses: int, **more: object) -> Order:
    row = Order(
        version,
        prior,
        f"r{version}",
        True,
        4.0,
        [(4.1, one, "c") for one in statuses],
        4.1 if 200 in statuses else 0.0,
        "pages",
    )
    for name, value in more.items():
        setattr(row, name, value)
    return row


def read(version: int, **more: object) -> Read:
    row = Read(39.5, 39.6, "c", 200, version, tuple(f"r{one}" for one in range(1, version + 1)))
    return replace(row, **more)  # type: ignore[arg-type]


def calm() -> Ledger:
    """A ledger that breaks nothing."""
    return Ledger(
        sent=[sent("a"), sent("b", method="POST", route="buy", path="/orders/1", answered_by="s-2")],
        ran=[
            ran("a"),
            ran("b", server="s-2", target="s-2", service="orders", method="POST", path="/orders/1"),
        ],
        orders=[order(1, 0, 200), order(2, 1, 0, 200), order(3, 1, 412)],
        reads=[read(2)],
    )


def plant(change: Callable[[Ledger], Any]) -> set[str]:
    ledger = calm()
    change(ledger)
    return {one.rule for one in Judge(ledger, LENGTH_S).breaches()}


def post(trial: str, **more: object) -> Sent:
    return sent(trial, method="POST", route="buy", path="/orders/1", **more)


def too_many(ledger: Ledger) -> None:
    ledger.sent.extend(sent(f"q{n}", tenant="corner-shop") for n in range(160))
    ledger.ran.extend(ran(f"q{n}", tenant="corner-shop") for n in range(160))


def by_nobody(ledger: Ledger) -> None:
    ledger.ran.append(ran("n"))
    ledger.sent.append(sent("n", tenant=""))


def handed_for_long(ledger: Ledger) -> None:
    ledger.sent.extend(sent(f"h{n}") for n in range(30))
    ledger.ran.extend(ran(f"h{n}", remaining_s=9.0) for n in range(30))


def worked_on(ledger: Ledger) -> None:
    """Four clients left at 5.1 s; for two of them work goes on."""
    for number in range(4):
        ledger.sent.append(sent(f"g{number}", end=End.LEFT, route="export"))
        ledger.works.append(Work(f"g{number}", "s-9", 5.05, 6.0 if number < 2 else 5.2, number >= 2))


def turned_away(ledger: Ledger) -> None:
    ledger.ready.append((5.0, (1, 2)))
    ledger.sent.extend(sent(f"t{n}", status=503, edge=2) for n in range(9))
    ledger.sent.extend(sent(f"u{n}") for n in range(9))


def lost_at_sigterm(ledger: Ledger) -> None:
    ledger.struck.append(Struck("edge-term", 4.9, 7.0, (1,), ()))
    ledger.sent[0].end = End.CLOSED


PLANTED: list[tuple[str, Callable[[Ledger], Any]]] = [
    ("TWICE", lambda one: one.ran.append(replace(one.ran[1], at=5.07))),
    ("REFUSED", lambda one: setattr(one.sent[1], "status", 503)),
    ("MIXED", lambda one: setattr(one.sent[0], "body_fits", False)),
    ("MIXED", lambda one: setattr(one.sent[0], "answered_by", "s-9")),
    ("MIXED", lambda one: setattr(one.sent[0], "end", End.WRONG)),
    ("UNASKED", lambda one: one.ran.append(ran("nobody's"))),
    ("UNASKED", lambda one: one.ran.append(ran("a", path="/pages/2"))),
    ("UNASKED", lambda one: one.ran.append(ran("a", key_passed=True))),
    ("UNASKED", lambda one: one.ran.append(ran("a", tenant="somebody-else"))),
    ("ROUTE", lambda one: one.ran.append(ran("a", target="s-7"))),
    ("BUDGET", lambda one: one.ran.extend(ran("a", server=f"s-{n}", target=f"s-{n}") for n in (2, 3))),
    ("BUDGET", lambda one: one.ran.extend(ran("a", status=503, ran=False) for _ in range(80))),
    ("DRAIN", lambda one: one.leavings.append(Leaving("s-1", 3.0, 3.5, 9.0))),
    ("QUOTA", lambda one: too_many(one)),
    ("LOST", lambda one: lost_at_sigterm(one)),
    ("LOST", lambda one: one.sent.append(sent("c", end=End.CLOSED, status=0))),
    ("LATE", lambda one: one.sent.append(sent("c", end=End.TIMEOUT, status=0, ended=7.9))),
    ("CONFIG", lambda one: one.orders.append(order(4, 2, 200, valid=False))),
    ("CONFIG", lambda one: one.orders.append(order(4, 1, 200))),
    ("CONFIG", lambda one: one.orders.append(order(4, 2, 200, 412))),
    ("CONFIG", lambda one: one.orders.append(order(4, 2, 400))),
    ("CONFIG", lambda one: one.reads.append(read(1, sent=6.0))),
    ("LOST", lambda one: one.reads.append(read(2, sent=6.0, labels=("r1",)))),
    ("LOST", lambda one: one.reads.clear()),
    ("ACKS", lambda one: one.orders.append(order(4, 2, 0, 503))),
    ("ACKS", lambda one: one.orders.append(order(4, 2, 200, acknowledged=9.5))),
    ("CONFIG", lambda one: one.sent.append(sent("c", route="r2", status=404, at=8.0))),
    ("DENIED", lambda one: one.sent.append(sent("c", status=401))),
    (
        "RECOVER",
        lambda one: one.sent.extend(sent(f"c{n}", at=30.0, status=503, ended=30.1) for n in range(30)),
    ),
    ("SERVED", lambda one: one.sent.extend(sent(f"c{n}", status=503) for n in range(30))),
    ("UNASKED", lambda one: by_nobody(one)),
    ("BUDGET", lambda one: handed_for_long(one)),
    ("GONE", lambda one: worked_on(one)),
    ("READY", lambda one: turned_away(one)),
    ("INVARIANT", lambda one: one.violations.update({"single-run": 1})),
    ("FAULT", lambda one: one.faults.append("a line")),
    ("FAULT", lambda one: one.own_ends.append("data-plane-1")),
]


def test_a_ledger_that_breaks_nothing_is_fine() -> None:
    assert plant(lambda _: None) == set()


@pytest.mark.parametrize(
    ("rule", "change"), PLANTED, ids=[f"{at}-{rule}" for at, (rule, _) in enumerate(PLANTED)]
)
def test_each_rule_finds_its_planted_break(rule: str, change: Callable[[Ledger], Any]) -> None:
    assert rule in plant(change)


@pytest.mark.parametrize(
    ("rule", "change"),
    [
        ("LATE", lambda one: one.sent.append(sent("c", end=End.TIMEOUT, status=0, ended=7.9))),
        ("DRAIN", lambda one: one.leavings.append(Leaving("s-1", 3.0, 3.5, 9.0))),
    ],
)
def test_a_rule_with_a_time_bound_does_not_hold_for_a_machine_in_trouble(
    rule: str, change: Callable[[Ledger], Any]
) -> None:
    def struck(ledger: Ledger) -> None:
        change(ledger)
        ledger.struck.append(Struck("edge-pause", 2.0, 3.0, (1,), ()))

    assert rule not in plant(struck)


@pytest.mark.parametrize(("at", "found"), [(4.9, False), (0.5, True)])
def test_machines_beside_one_that_is_cut_off_are_in_touch_again_while_the_cut_lasts(
    at: float, found: bool
) -> None:
    def struck(ledger: Ledger) -> None:
        ledger.leavings.append(Leaving("s-1", 3.0, 3.5, 9.0))
        ledger.struck.append(Struck("drain-cut", at, 20.0, (2,), ()))

    assert ("DRAIN" in plant(struck)) is found


def test_where_the_host_was_late_no_bound_of_time_is_judged_and_all_else_is() -> None:
    def struck(ledger: Ledger) -> None:
        ledger.sent.append(sent("c", end=End.TIMEOUT, status=0, ended=7.9))
        ledger.ran.append(replace(ledger.ran[1], at=5.07))
        ledger.struck.append(Struck(HOST_LATE, 5.0, 5.4, (), ()))

    assert plant(struck) == {"TWICE"}


def test_what_a_seed_reached_is_told_rule_by_rule() -> None:
    ledger = calm()
    ledger.slips["lost"] = 3
    too_many(ledger)
    rows = {one.rule: one for one in together([reached(ledger, LENGTH_S)] * 2)}
    assert rows["MIXED: answers lost"].occasions == 6
    assert rows["QUOTA: corner-shop, refusals"].nearest > 1.0
    assert rows["CONFIG: orders told once more that they were taken"].occasions == 0
    assert "| MIXED: answers lost | 6 |" in table(rows.values())


# ---- disks ----


@pytest.mark.parametrize("seed", range(30))
def test_after_a_loss_of_power_a_store_has_what_it_saved_last_or_what_it_was_saving(
    seed: int, tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    disk, random = tmp_path / "disk", Random(seed)
    disk.mkdir()
    monkeypatch.setattr(store, "_sync", store._sync)
    monkeypatch.setattr(store, "os", os)
    disks.watch(str(disk))
    saved, keeper = 0, store.Store(str(disk), 8.0)
    for number in range(1, 9):
        stops = number > 1 and random.random() < 0.3
        if stops:  # the power goes in the midst of this save, at the next sync or the one after
            cut_at_sync(monkeypatch, random.randint(1, 3))
        try:
            keeper.save({"number": number, "fill": bytes(random.randint(0, 20_000))})
            saved = number
        except PowerCut:
            pass
        if stops or random.random() < 0.3:
            monkeypatch.undo()
            disks.lose_power(disk, random)
            monkeypatch.setattr(store, "_sync", store._sync)
            monkeypatch.setattr(store, "os", os)
            disks.watch(str(disk))
            keeper = store.Store(str(disk), 8.0)
            state, _ = keeper.load()
            assert state is not None and state["number"] in (saved, number), f"seed {seed}: {state}"
            saved = state["number"]


@pytest.mark.parametrize("seed", range(10))
def test_on_a_disk_named_by_a_relative_path_a_loss_of_power_leaves_what_was_synced(
    seed: int, tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against a soak that calls disks lost which are not: syncs of absolute paths were not noted."""
    monkeypatch.chdir(tmp_path)
    monkeypatch.setattr(store, "_sync", store._sync)
    monkeypatch.setattr(store, "os", os)
    disk = Path("found") / "disk"
    disk.mkdir(parents=True)
    disks.watch(str(disk))
    keeper = store.Store(str(disk), 8.0)
    for number in (1, 2, 3):
        keeper.save({"number": number})
    disks.lose_power(disk, Random(seed))
    state, _ = store.Store(str(disk), 8.0).load()
    assert state == {"number": 3}, f"seed {seed}"


class PowerCut(Exception):
    """The power is gone: nothing more is written."""


def cut_at_sync(monkeypatch: pytest.MonkeyPatch, number: int) -> None:
    former, left = store._sync, [number]

    def sync(path: Path) -> None:
        left[0] -= 1
        if not left[0]:
            raise PowerCut
        former(path)

    monkeypatch.setattr(store, "_sync", sync)


def test_without_syncs_a_loss_of_power_takes_what_was_saved(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """The guard that the loss of power is there to find dropped: saves that sync nothing."""
    disk, lost = tmp_path / "disk", 0
    for seed in range(10):
        disk.mkdir()
        monkeypatch.setattr(store, "_sync", lambda path: None)
        keeper = store.Store(str(disk), 8.0)
        keeper.save({"number": 1})
        disks.lose_power(disk, Random(seed))
        lost += store.Store(str(disk), 8.0).load()[0] is None
        shutil.rmtree(disk)
        disks.wiped(disk)
    assert lost > 3


# ---- cuts ----


def test_cuts_overlap_and_an_address_is_reached_once_the_last_has_ended(tmp_path: Path) -> None:
    cuts, ip = Cuts(tmp_path), {machine: f"127.0.0.{machine}" for machine in (1, 2, 3)}
    first, second = both_ways([1], [2, 3], ip), both_ways([1, 2], [3], ip)

    def reached(machine: int, other: int) -> bool:
        return not Gate(str(cuts.path(machine)), ip[machine]).closed(ip[other])

    cuts.begin(first)
    cuts.begin(second)
    assert not reached(1, 3) and not reached(3, 1) and not reached(1, 2) and not reached(2, 3)
    cuts.end(first)
    assert reached(1, 2) and not reached(1, 3) and not reached(3, 2)
    cuts.end(second)
    assert all(reached(one, other) for one in ip for other in ip)


def test_a_disk_that_is_full_refuses_until_it_has_room(tmp_path: Path) -> None:
    cuts = Cuts(tmp_path)
    gate = Gate(str(cuts.path(1)), "127.0.0.1")
    gate.write_disk("/data")
    cuts.disk(1, FULL)
    with pytest.raises(StoreError):
        gate.write_disk("/data")
    cuts.disk(1, "")
    gate.write_disk("/data")


def test_datagrams_behind_a_cut_are_lost_both_ways(tmp_path: Path) -> None:
    path = tmp_path / "gate"
    GatedDatagrams.gate = Gate(str(path), "127.0.0.1")
    with (
        GatedDatagrams(socket.AF_INET, socket.SOCK_DGRAM) as gated,
        socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as other,
    ):
        gated.bind(("127.0.0.1", 0))
        other.bind(("127.0.0.1", 0))
        gated.setblocking(False)
        other.settimeout(2.0)
        path.write_text("127.0.0.1\n")
        assert gated.sendto(b"lost", other.getsockname()) == 4
        other.sendto(b"lost", gated.getsockname())
        with pytest.raises(BlockingIOError):
            gated.recvfrom(99)
        path.write_text("")
        GatedDatagrams.gate.looked = 0.0
        gated.sendto(b"heard", other.getsockname())
        assert other.recvfrom(99)[0] == b"heard"


# ---- real processes ----


def test_the_short_form_breaks_nothing(tmp_path: Path) -> None:
    verdict = seeds.play(SHORT_SEED, SHORT_S, tmp_path)
    assert verdict.fine, [str(one) for one in verdict.breaches]
    assert verdict.served > 100 and verdict.orders > 3 and verdict.struck, verdict


SHORT_SEED, SHORT_S = 8, 18.0
