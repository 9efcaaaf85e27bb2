"""A second loss after each step of a repair, over more lives than the tests have time for.

Owns what is played and printed; the model is `finchshelf/models/losses.py`.

    python -m benchmarks.loss_states [--seeds 0-20] [--mutants]

Each row: members, the first loss, seeds, second losses played. With --mutants: the least seed at which each
guard dropped shows, of three members. Ends with 1 if a loss that should be borne was not, nothing dropped.
"""

from __future__ import annotations

import argparse
import sys

from finchshelf.models.losses import KINDS, MUTANTS, TWO_LEAVE, Broken, harmed


def whole(seeds: range) -> int:
    print("members | first loss | seeds | second losses | at any step")
    for members, kind in [(members, kind) for members in (3, 4, 6) for kind in (*KINDS, TWO_LEAVE)]:
        always, played = members == 6 and kind in ("replaced", "wiped"), 0
        try:
            for seed in seeds:
                played += harmed(members, kind, seed, always=always)
        except Broken as broken:
            print(broken)
            return 1
        print(members, kind, len(seeds), f"{played:,}", always, sep=" | ", flush=True)
    return 0


def mutants(seeds: range) -> int:
    print("dropped | first loss | least seed | second losses until then")
    for mutant, meaning in MUTANTS.items():
        for kind in (*KINDS, TWO_LEAVE):
            played = 0
            for seed in seeds:
                try:
                    played += harmed(3, kind, seed, mutant)
                except Broken:
                    print(f"{mutant}: {meaning}", kind, seed, f"{played:,}", sep=" | ", flush=True)
                    break
    return 0


def main() -> int:
    parser = argparse.ArgumentParser()
    parser.add_argument("--seeds", default="0-20")
    parser.add_argument("--mutants", action="store_true")
    chosen = parser.parse_args()
    first, last = map(int, chosen.seeds.split("-"))
    return (mutants if chosen.mutants else whole)(range(first, last + 1))


if __name__ == "__main__":
    sys.exit(main())
