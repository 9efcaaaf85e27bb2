"""A histogram of durations, cheap enough for the request path.

Owns the bucket bounds and the counts. It must never allocate while observing.
"""

from __future__ import annotations

from bisect import bisect_left

# s; from a count's answer on the same machine to the longest deadline of a client
DURATION_BOUNDS_S = (0.001, 0.0025, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 2.5, 5.0, 10.0)


class Histogram:
    """Counts of durations in seconds, by bucket; `buckets[-1]` counts those above the last bound."""

    __slots__ = ("buckets", "total")

    def __init__(self) -> None:
        self.buckets = [0] * (len(DURATION_BOUNDS_S) + 1)
        self.total = 0.0

    def observe(self, seconds: float) -> None:
        self.buckets[bisect_left(DURATION_BOUNDS_S, seconds)] += 1
        self.total += seconds

    def cumulative(self) -> list[tuple[str, int]]:
        """Upper bound of each bucket, as text, with the number of observations up to it."""
        found, count = list[tuple[str, int]](), 0
        for bound, number in zip((*DURATION_BOUNDS_S, float("inf")), self.buckets, strict=True):
            count += number
            found.append(("+Inf" if bound == float("inf") else repr(bound), count))
        return found
