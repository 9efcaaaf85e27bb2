"""How near a tenant's requests came to what the rule allows, and what keeping it cost.

Owns both figures, from what clients and servers saw. It must never know how the programs count.
"""

from __future__ import annotations

from bisect import bisect_left
from collections.abc import Iterable
from typing import NamedTuple

WINDOW, OVERSHOOT, SLACK = 5.0, 0.1, 20.0  # s, of the limit, units


class Quota(NamedTuple):
    """A limited tenant's day, in units."""

    tenant: str
    most: int  # run in its fullest window
    allowed: float  # in each window
    at: float  # where the fullest window ends, s
    fits: int  # of what was asked one bucket that sees all would have let in so many
    refused: int  # of those were refused for the quota though
    over: int  # run that this bucket would have refused


def fullest(times: Iterable[float]) -> tuple[int, float]:
    """The most within a window, and where that ends."""
    each = sorted(times)
    return max(((n + 1 - bisect_left(each, at - WINDOW), at) for n, at in enumerate(each)), default=(0, 0.0))


def figures(
    tenant: str, rate: float, surge: float, ran: list[float], asked: list[tuple[float, bool]]
) -> Quota:
    """`ran`: when its requests ran; `asked`: each try that ran, or was refused for the quota, with its
    moment and True if it ran. A single bucket of `surge`, filled at `rate`, is led past the same tries."""
    level, last, fits, refused, over = surge, 0.0, 0, 0, 0
    for at, let_in in sorted(asked):
        level, last = min(surge, level + rate * (at - last)), at
        if level >= 1.0:
            level, fits, refused = level - 1.0, fits + 1, refused + (not let_in)
        else:
            over += let_in
    most, end = fullest(ran)
    return Quota(tenant, most, (rate * WINDOW + surge) * (1 + OVERSHOOT) + SLACK, end, fits, refused, over)
