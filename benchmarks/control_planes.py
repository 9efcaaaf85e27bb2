"""Measures control planes in the in-memory fleet: moves of the core's members, a crowd after a mass kill.

Owns what is played and printed. It must never judge: the stories' own tests do (`tests/stories`).

`python -m benchmarks.control_planes moves 301-320` or `crowd 401-410`; simulated, one core, minutes.
"""

from __future__ import annotations

import sys
from statistics import median
from unittest import mock

from finchshelf.controlplane import turns
from finchshelf.controlplane.ranks import Line
from finchshelf.controlplane.turns import Turns
from finchshelf.simulation.fleet import fine, play
from tests.stories import test_core_moves as moves
from tests.stories import test_overload as overload


def of(values: list[float]) -> str:
    return f"{median(values):.2f} / {max(values):.2f}" if values else "-"


def move(seeds: range) -> None:
    print("way | changes | s until acknowledged | drains | s until the new votes | s until the next may go")
    for way, made in moves.WAYS.items():
        taken, voting, waited, drains = list[float](), list[float](), list[float](), 0
        for seed in seeds:
            one = made()
            taken += one.acknowledged(moves.played(seed, one, limiters=1, servers=1))
            if one.stuck or one.late or len(one.voting) < 3:
                print(f"seed {seed}: a duty was missed: {one}")
            voting, waited, drains = voting + one.voting, waited + one.waited[1:], drains + one.drains
        print(f"{way} | {len(taken)} | {of(taken)} | {drains} | {of(voting)} | {of(waited)}", flush=True)


def crowd(seeds: range) -> None:
    print("line | s until changes are acknowledged | drains | s until shed | answered | back after s")
    for name, line, played in (("by rank", Line, fine), ("who comes first", overload.Fair, play)):
        seen = list[overload.Seen]()
        for seed in seeds:
            with mock.patch.object(Turns, "worked", overload.worked), mock.patch.object(turns, "Line", line):
                seen.append(overload.crowded(seed, played)[1])
        parts = [
            [value for one in seen for value in values(one)]
            for values in (
                lambda one: one.changes,
                lambda one: one.drains,
                lambda one: one.shed,
                lambda one: one.served,
                lambda one: [one.after],
            )
        ]
        print(name, *map(of, parts), sep=" | ", flush=True)


if __name__ == "__main__":
    first, last = map(int, sys.argv[2].split("-"))
    {"moves": move, "crowd": crowd}[sys.argv[1]](range(first, last + 1))
