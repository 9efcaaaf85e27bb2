"""The usual times of routes, told on: a limiter that is new can judge its first answer.

Owns what each limiter of a cell said its routes take, and what one of them has said already. No I/O and no
clock. It must never put another's word in the place of what a limiter has seen itself.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from typing import Any

from finchshelf.membership.records import Unfit

CHANGE = 1.3  # times what was told, from which a route's usual time is told again
EACH = 5.0  # s between two times of telling
KEPT = 600.0  # s that a limiter's word is of use
MOST = 256  # routes of one limiter: each costs some 20 bytes of a message
MOST_S = 3600.0  # s that a route can take


def changed(usual: Mapping[str, float], told: Mapping[str, float]) -> dict[str, float]:
    """What is to be told of `usual` (s by route) to one that was told `told`."""
    found = {}
    for route, took in usual.items():
        before = told.get(route)
        if before is None or not before / CHANGE <= took <= before * CHANGE:
            found[route] = round(took, 4)
        if len(found) >= MOST:
            break
    return found


def read_times(rows: Any) -> dict[str, float]:
    try:
        found = {str(route): float(took) for route, took in dict(rows).items()}
    except (TypeError, ValueError) as error:
        raise Unfit("read usual times", "usual", repr(error)) from None
    if len(found) > MOST or not all(0.0 < took < MOST_S for took in found.values()):
        raise Unfit("read usual times", "usual", "expected some seconds by route")
    return found


class Times:
    """What limiters said."""

    def __init__(self) -> None:
        self.told: dict[str, dict[str, float]] = {}
        self.at: dict[str, float] = {}

    def take(self, limiter: str, found: dict[str, float], now: float) -> None:
        known = self.told.setdefault(limiter, {})
        known.update(found)
        for route in list(known)[:-MOST]:
            del known[route]  # routes come and go
        self.at[limiter] = now

    def keep(self, limiters: Iterable[str], now: float) -> None:
        """`limiters`: those that are there. Danger: one that is gone for long speaks of another load."""
        there = set(limiters)
        for name in [name for name, at in self.at.items() if name not in there and now - at > KEPT]:
            del self.told[name], self.at[name]

    def usual(self) -> dict[str, float]:
        """The middle of what all said of each route.

        Danger: one that was frozen says too much, and would make slow servers look well to a new one."""
        found: dict[str, list[float]] = {}
        for rows in self.told.values():
            for route, took in rows.items():
                found.setdefault(route, []).append(took)
        return {route: sorted(values)[(len(values) - 1) // 2] for route, values in list(found.items())[:MOST]}
