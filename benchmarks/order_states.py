"""Copies of orders, searched and lived beyond what the tests have time for; what their memory costs.

    python -m benchmarks.order_states [--limit STATES] [--seeds A-B] [--steps N]
    python -m benchmarks.order_states --days A-B [--rounds N] [--kept N] [--barred N] [--patience S]
                                      [--mutants]
    python -m benchmarks.order_states --cost

First each search: its orders, copies, states, depth, whether these are all there are. Then, for each guard
dropped, the least depth at which an operator sees a rule broken, over a register that decides one value a
slot. Then lives over core's own acceptors and proposers. With --days only days of the real programs in the
in-memory world, with --mutants the first of these seeds that shows each guard dropped; with --cost only the
memory's bytes and times. Ends with 1 if a rule broke where nothing was dropped. Terms: docs/control.md.
"""

from __future__ import annotations

import argparse
import contextlib
import io
import sys
import time
from collections import Counter
from collections.abc import Callable
from dataclasses import replace
from functools import partial
from hashlib import blake2b
from statistics import median
from typing import Any

import msgpack

from finchshelf.agreement import taken
from finchshelf.agreement.core import Value, genesis
from finchshelf.agreement.orders import Order
from finchshelf.controlplane import early
from finchshelf.models import order_chain, order_lives, order_mutants, order_states
from finchshelf.models.agreement_fleet import Split
from finchshelf.models.agreement_records import Bounds
from finchshelf.models.agreement_rules import Found
from finchshelf.simulation import order_days

RACES = tuple(Order(2 + at % 2, 0, b"race %d" % at) for at in range(8))  # on one version, by two numbers
ALIKE = tuple(Order(2, 0, b"like %d" % at) for at in range(8))  # on one version, by one number
STEPS = (*order_chain.CHAIN, Order(4, 3, b"three"), Order(5, 4, b"four"))  # each on the one before
CALLS: list[tuple[str, order_chain.Case, int]] = [
    ("two changes by one number", order_chain.RACE, 4),
    ("one on the other", order_chain.CHAIN, 3),
    ("two on one that may come", order_chain.AHEAD, 2),
    ("five on one version", RACES[:5], 1),
    ("four, each on the one before", STEPS, 1),
]
LIKE: list[tuple[str, order_chain.Case, int]] = [  # which of like orders is which makes no other state here
    ("five on one version", RACES[:5], 1),
    ("eight on one version", RACES, 1),
    ("eight changes by one number", ALIKE, 1),
    ("four on one version", RACES[:4], 2),
]
ACCEPTORS: list[tuple[str, order_states.Case, Bounds]] = [
    ("two changes by one number", order_states.RACE, Bounds()),
    ("one on the other", order_states.CHAIN, Bounds()),
    ("one on the other", order_states.CHAIN, Bounds(starts=3)),
    ("two changes by one number", order_states.RACE, Bounds(starts=3)),
    ("one on the other", order_states.CHAIN, Bounds(restarts=1, harmed=(1,))),
    ("two changes by one number", order_states.RACE, Bounds(restarts=1)),
    ("two changes by one number", order_states.RACE, Bounds(swaps=1)),
    ("two changes by one number", order_states.RACE, Bounds(wipes=1, harmed=(1,))),
]


def timed(search: Callable[[], Found], words: str) -> bool:
    began = time.perf_counter()
    found = search()
    all_of = found.broken or ("yes" if found.ended else "no")
    print(
        f"| {words} | {found.states:,} | {found.depth} | {all_of} | {time.perf_counter() - began:.1f} |",
        flush=True,
    )
    return bool(found.broken)


def searches(limit: int) -> bool:
    broken = False
    print("| orders | copies of each, or attempts and harm | states | depth | all | s |")
    print("|" + " --- |" * 6)
    for name, case, copies in CALLS:
        broken |= timed(partial(order_chain.search, case, copies, limit=limit), f"{name} | {copies}")
    for name, case, copies in LIKE:
        broken |= timed(
            partial(order_chain.search, case, copies, limit=limit, like=True),
            f"{name}, like ones alike | {copies}",
        )
    for name, keyed, b in ACCEPTORS:
        words = f"{name} | {b.starts}, {b.restarts} restarts, {b.swaps} swaps, {b.wipes} wipes"
        broken |= timed(partial(order_states.search, keyed, b, limit=limit), words)
    print("\n| dropped | the rule that an operator sees broken | least depth | states |\n|" + " --- |" * 4)
    for lacks, case, each, _ in order_chain.MUTANTS:
        found = order_chain.search(case, each, (lacks,), denied=False)
        print(f"| {lacks} | {found.broken or 'none'} | {found.path} | {found.states:,} |", flush=True)
    return broken


def lives(first: int, last: int, steps: int) -> bool:
    began, sums, most, broken = time.perf_counter(), [0] * 5, 0, False
    for seed in range(first, last + 1):
        try:
            changes, life = order_lives.play(seed, steps)
        except (order_lives.Denied, Split) as error:
            print(f"seed {seed}: {error!r}")
            broken = True
            continue
        most = max(most, changes)
        for at, one in enumerate((changes, len(life.known), life.again, life.unsure, life.attempts)):
            sums[at] += one
    print(
        f"\nlives {first}-{last}, {steps:,} steps each: {sums[0]:,} changes (at most {most} in one), "
        f"{sums[1]:,} orders, {sums[2]:,} answers told again, {sums[3]:,} unsure, {sums[4]:,} attempts, "
        f"{time.perf_counter() - began:.1f} s"
    )
    return broken


def days(first: int, last: int, rounds: int, kept: int, barred: int, patience: float) -> bool:
    began, sums, broken = time.perf_counter(), Counter[str](), False
    for seed in range(first, last + 1):
        with contextlib.redirect_stdout(io.StringIO()):
            faults, figures = order_days.played(seed, rounds, (), kept, barred, patience)
        sums.update(figures)
        broken |= bool(faults)
        for line in faults:
            print(f"seed {seed}: {line}")
    print(
        f"days {first}-{last}, {rounds} rounds each, {kept:,} orders and {barred} bars kept, refused after "
        f"{patience} s: {dict(sums)}, "
        f"{time.perf_counter() - began:.1f} s"
    )
    return broken


def dropped_days(first: int, last: int, rounds: int) -> None:
    for name in order_mutants.DROPPED:
        found = "none"
        for seed in range(first, last + 1):
            with contextlib.redirect_stdout(io.StringIO()):
                faults, _ = order_days.played(seed, rounds, (name,), kept=8, barred=2, patience=0.0)
            if faults:
                found = f"seed {seed}: {faults[0][:80]}"
                break
        print(f"| {name} | {found} |", flush=True)


def cost() -> None:
    """Of a value with so many orders in its memory: bytes, and ms of what is done with it."""

    def ms(work: Callable[[], Any]) -> float:
        spans = []
        for _ in range(25):
            began = time.perf_counter()
            work()
            spans.append(time.perf_counter() - began)
        return median(spans) * 1000

    def there(value: Value) -> Value:
        return Value.unpack(msgpack.unpackb(msgpack.packb(value.pack())))

    empty = genesis(("10.1.0.5:7660", "10.2.0.5:7660", "10.3.0.5:7660"))
    digests = [blake2b(b"%d" % n, digest_size=16).digest() for n in range(4097)]
    print("| orders | bytes of them in a value | pack and read, ms | look up, ms | add, ms |")
    print("|" + " --- |" * 5)
    for count in (0, 64, 150, 512, 1024, 2048, 4096):
        taken.KEPT = max(taken.KEPT, count)
        memory = taken.NOTHING
        for n in range(1, count + 1):
            memory = memory.add(n, digests[n])
        value = replace(empty, taken=memory)
        size = len(msgpack.packb(value.pack())) - len(msgpack.packb(empty.pack()))
        print(
            f"| {count:,} | {size:,} | {ms(partial(there, value)):.3f} | "
            f"{ms(partial(memory.fate, 7, digests[7])):.4f} | "
            f"{ms(partial(memory.add, count + 1, digests[0])):.4f} |",
            flush=True,
        )


def main() -> int:
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0] if __doc__ else "")
    parser.add_argument("--limit", type=int, default=300_000, help="states of one search")
    parser.add_argument("--seeds", default="1-100", help="lives, from A to B")
    parser.add_argument("--steps", type=int, default=150_000, help="of one life")
    parser.add_argument("--days", default="", help="of the real programs, from A to B")
    parser.add_argument("--rounds", type=int, default=20, help="of a day, up to eight orders each")
    parser.add_argument("--kept", type=int, default=taken.KEPT, help="orders remembered on these days")
    parser.add_argument("--barred", type=int, default=taken.BARRED, help="and orders barred")
    parser.add_argument(
        "--patience",
        type=float,
        default=early.PATIENCE,
        help="s until an early one is refused; 0: nor does it wait",
    )
    parser.add_argument("--mutants", action="store_true")
    parser.add_argument("--cost", action="store_true")
    args = parser.parse_args()
    if args.cost:
        cost()
        return 0
    if args.days:
        first, _, last = args.days.partition("-")
        if args.mutants:
            dropped_days(int(first), int(last or first), args.rounds)
            return 0
        return int(days(int(first), int(last or first), args.rounds, args.kept, args.barred, args.patience))
    first, _, last = args.seeds.partition("-")
    broken = searches(args.limit)
    return int(lives(int(first), int(last or first), args.steps) or broken)


if __name__ == "__main__":
    sys.exit(main())
