"""Bounds on a rate by the counts that were seen. Pure arithmetic, and light to load."""

from __future__ import annotations

import math

STANDARD_ERRORS = 2.5


def upper(x: float, n: float, errors: float = STANDARD_ERRORS) -> float:
    """Bound above a rate of which `x` of `n` were seen (Wilson), at so many standard errors."""
    if n <= 0:
        return 1.0
    p, squared = x / n, errors * errors
    half = errors * math.sqrt(p * (1 - p) / n + squared / (4 * n * n))
    return min(1.0, (p + squared / (2 * n) + half) / (1 + squared / n))
