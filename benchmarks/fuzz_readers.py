"""Answers and calls under byte-level harm, beyond what the tests have time for.

    python -m benchmarks.fuzz_readers [--seeds A-B] [--kinds KIND,KIND] [--mutants]

Kinds: days, calls, node, counts, frames, readers.

Days: clients and servers about one data plane's sockets, every read and write cut at any byte. Calls: what
servers and operators call at three control planes that are killed, halted and cut off meanwhile. Node:
the present node's calls to the outside counter and to discovery, over resets, halts and moves. Counts and
frames: questions between lives of our processes, in any order. Readers: recorded bytes, mutated, before each
reader, whole and in pieces. One line a kind: seeds, how often each harm struck, seconds; each seed that broke
a rule is printed with the rule. With --mutants: for each guard dropped, the seeds that find it. Ends with 1
if a rule broke where nothing was dropped. What is asked of them: docs/control.md, point 5.
"""

from __future__ import annotations

import argparse
import sys
import time
from collections import Counter
from collections.abc import Callable
from contextlib import redirect_stdout
from io import StringIO

from finchshelf.simulation.asking import Counts, framed
from finchshelf.simulation.calling import Day, called
from finchshelf.simulation.crossing import play
from finchshelf.simulation.readers import READERS, fuzz
from finchshelf.simulation.slips import CALLS, GUARDS, without
from tests.stories.tallying import DROPPED, Lists, Tallies, dropped
from tests.stories.test_answers import ALONE, PLAYED

KINDS = ("days", "calls", "node", "counts", "frames", "readers")


def calls(seed: int) -> Day:
    with redirect_stdout(StringIO()):  # a world says its seed each time
        return called(seed)


PLAYS: dict[str, Callable[[int], list[str]]] = {
    **PLAYED,
    **dict.fromkeys(CALLS, lambda seed: calls(seed).broken),
}


def one(kind: str, seed: int, seen: Counter[str]) -> list[str]:
    """What one seed broke."""
    if kind == "days":
        record = play(seed)
        seen.update(record.seen)
        return record.verdict()
    if kind == "calls":
        heard = calls(seed)
        seen.update(heard.seen)
        return heard.broken
    if kind == "node":
        lists, tallies = Lists(seed), Tallies(seed)
        seen.update(lists.seen + tallies.seen)
        return lists.broken + tallies.broken
    if kind == "counts":
        day = Counts(seed)
        seen.update(refused=day.refused, stale=day.stale, stranger=day.strange)
        return day.broken
    if kind == "frames":
        found = framed(seed)
        seen.update(found.record.seen)
        return found.record.broken
    seen.update(inputs=len(READERS))
    return [wrong for name in READERS if (wrong := fuzz(name, seed))]


def main() -> int:
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0] if __doc__ else "")
    parser.add_argument("--seeds", default="0-200", help="from A up to B")
    parser.add_argument("--kinds", default=",".join(KINDS))
    parser.add_argument("--mutants", action="store_true")
    args = parser.parse_args()
    first, _, end = args.seeds.partition("-")
    seeds = range(int(first), int(end or int(first) + 1))
    if args.mutants:
        print("| dropped | first seed | seeds that find it | found as |\n| --- | --- | --- | --- |")
        for guard in [*GUARDS, *CALLS]:
            meaning = {**GUARDS, **CALLS}[guard][0]
            if guard in (*ALONE, "drained", "late"):
                where = "test_answers" if guard in ALONE else "test_calls"
                print(f"| {meaning} | a story of its own in tests/stories/{where}.py | | |")
                continue
            with without(guard):
                found = {seed: broken for seed in seeds if (broken := PLAYS[guard](seed))}
            by = sorted({broken[0].partition(":")[0] for broken in found.values()})
            print(
                f"| {meaning} | {min(found, default='none')} | {len(found)} of {len(seeds)} | "
                f"{', '.join(by) if guard not in ('life', 'source') else 'another answer'} |",
                flush=True,
            )
        for guard, (meaning, day) in DROPPED.items():
            with dropped(guard):
                found = {seed: broken for seed in seeds if (broken := day(seed).broken)}
            by = sorted({broken[0].partition(":")[0] for broken in found.values()})
            print(
                f"| {meaning} | {min(found, default='none')} | {len(found)} of {len(seeds)} | "
                f"{', '.join(by)} |",
                flush=True,
            )
        return 0
    wrong = False
    for kind in args.kinds.split(","):
        seen, began = Counter[str](), time.perf_counter()
        for seed in seeds:
            if broken := one(kind, seed, seen):
                wrong = True
                print(f"{kind} seed {seed}: {broken[:3]}", flush=True)
        took = time.perf_counter() - began
        print(f"{kind}: seeds {args.seeds}, {dict(sorted(seen.items()))}, {took:.0f} s", flush=True)
    return int(wrong)


if __name__ == "__main__":
    sys.exit(main())
