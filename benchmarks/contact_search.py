"""Days of cuts, halts and restarts over the rules of contact, more than the tests play.

Owns how many, and what is printed. The model is `tests/stories/contact_model.py`.

    python -m benchmarks.contact_search --seeds 0-999 --count 5
    python -m benchmarks.contact_search --seeds 0-99 --long --seconds 120
    python -m benchmarks.contact_search --mutants
"""

from __future__ import annotations

import argparse
from unittest import mock

from finchshelf.membership import contact
from finchshelf.models.contact import BOUND, Model, Stale
from finchshelf.models.contact_mutants import LAX, LONG, MUTANTS, WIPED, rules


def search(seeds: range, count: int, seconds: float, long: bool, wipes: bool) -> None:
    events, begins, oldest, decided, alone = 0, 0, 0.0, 0, 0
    for seed in seeds:
        model = Model(seed, rules(), count, long=long, wipes=wipes)
        try:
            model.play(seconds)
        except Stale as found:
            print(f"seed {seed}: {found}")
            return
        events, begins = events + model.events, begins + model.begins
        oldest, decided = max(oldest, model.oldest), decided + len(model.decided)
        alone += model.long_alone
    print(
        f"{count} members, seeds {seeds.start}-{seeds.stop - 1} of {seconds:.0f} s: {events:,} events, "
        f"{decided:,} values, {begins:,} limiters began, {alone} by what was left behind; "
        f"the oldest that acted as current {oldest:.3f} s, allowed {BOUND} s"
    )


def mutants(seeds: range, seconds: float) -> None:
    for table, drift in (
        (MUTANTS, contact.DRIFT),
        (LAX, 0.4),
        (LONG, contact.DRIFT),
        (WIPED, contact.DRIFT),
    ):
        with mock.patch.object(contact, "DRIFT", drift):
            for name, other in table.items():
                events = 0
                for seed in seeds:
                    count = 5 if seed % 2 else 3
                    model = Model(seed, rules(**other), count, long=table is LONG, wipes=table is WIPED)
                    try:
                        model.play(4 * seconds if table is LONG else seconds)
                    except Stale as found:
                        print(f"| {name} | {seed} | {events + model.events:,} | {found} |")
                        break
                    events += model.events
                else:
                    print(f"| {name} | not found | {events:,} | |")


def main() -> None:
    words = argparse.ArgumentParser()
    words.add_argument("--seeds", default="0-199")
    words.add_argument("--count", type=int, default=5)
    words.add_argument("--seconds", type=float, default=30.0)
    words.add_argument("--long", action="store_true", help="cuts that last longer than CUT_OFF_START_S")
    words.add_argument("--wipes", action="store_true", help="disks that are lost, one at a time")
    words.add_argument("--mutants", action="store_true")
    given = words.parse_args()
    first, _, last = given.seeds.partition("-")
    seeds = range(int(first), int(last or first) + 1)
    if given.mutants:
        mutants(seeds, given.seconds)
    else:
        search(seeds, given.count, given.seconds, given.long, given.wipes)


if __name__ == "__main__":
    main()
