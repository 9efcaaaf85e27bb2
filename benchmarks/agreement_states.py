"""States of the configuration's agreement, searched beyond what the tests have time for.

    python -m benchmarks.agreement_states [--limit STATES] [--rows A,B] [--mutants]

Each row is one search, breadth first, on one core: how much harm, the states looked at, the depth to which
all were, whether these are all there are, and seconds. With --mutants: for each guard dropped, the least
depth at which a rule breaks. Ends with 1 if a rule broke where nothing was dropped. Terms: docs/agreement.md.
"""

from __future__ import annotations

import argparse
import sys
import time

from finchshelf.models.agreement_records import Bounds
from finchshelf.models.agreement_rules import MEMBER, MUTANTS, explore

ROWS = [
    Bounds(starts=3),
    Bounds(resent=True),
    Bounds(swaps=1),
    Bounds(wipes=1),
    Bounds(restarts=1),
    Bounds(swaps=1, wipes=1),
    Bounds(swaps=1, restarts=1),
    Bounds(wipes=1, restarts=1),
    Bounds(swaps=1, wipes=1, restarts=1, harmed=MEMBER),
    Bounds(swaps=1, wipes=1, restarts=1),
    Bounds(starts=3, swaps=1, wipes=1, restarts=1, resent=True),
    Bounds(swaps=1, out="c:1"),
    Bounds(swaps=1, wipes=1, out="c:1"),
    Bounds(swaps=1, restarts=1, out="c:1"),
]


def main() -> int:
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0] if __doc__ else "")
    parser.add_argument("--limit", type=int, default=1_000_000, help="states of one search")
    parser.add_argument("--rows", default="", help="which searches, by number from 0; all if not given")
    parser.add_argument("--mutants", action="store_true")
    args = parser.parse_args()
    if args.mutants:
        print("| lacking | the rule that breaks | least depth | states | s |")
        print("| --- | --- | --- | --- | --- |")
        for lacks, bounds, rule, _ in MUTANTS:
            began = time.perf_counter()
            found = explore(bounds, frozenset(lacks), args.limit, only=rule)
            print(
                f"| {', '.join(lacks)} | {found.broken or 'none'} | {found.path} | {found.states:,} | "
                f"{time.perf_counter() - began:.1f} |",
                flush=True,
            )
        return 0
    print("| attempts | swaps | spare for | wipes | restarts | of | sent again | states | depth | all | s |")
    print("|" + " --- |" * 11)
    broken = False
    for row in [int(each) for each in args.rows.split(",") if each] or range(len(ROWS)):
        bounds, began = ROWS[row], time.perf_counter()
        found = explore(bounds, limit=args.limit)
        broken |= bool(found.broken)
        print(
            f"| {bounds.starts} | {bounds.swaps} | {bounds.out[0]} | {bounds.wipes} | {bounds.restarts} | "
            f"{''.join('abc'[at] for at in bounds.harmed)} | {'yes' if bounds.resent else 'no'} | "
            f"{found.states:,} | {found.depth} | {found.broken or ('yes' if found.ended else 'no')} | "
            f"{time.perf_counter() - began:.0f} |",
            flush=True,
        )
    return int(broken)


if __name__ == "__main__":
    sys.exit(main())
