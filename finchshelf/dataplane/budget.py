"""The budget of further tries: one for all limiters, by shares.

Owns how many arrivals after its first a service's requests may still have from here. It must never let all
limiters together pass the operator's ratio and slack; a limiter that starts cannot know what the process
before it used.
"""

from __future__ import annotations

SAFE = 0.75  # of the ratio and of the slack: the list of limiters lags, and windows of the rule slide
BEGIN = 0.5  # of its share that a limiter starts with: the one before it may have used its own just now


class Budget:
    """`ratio` further tries a request, and this limiter's share of `slack`, for each service."""

    def __init__(self, ratio: float, slack: float) -> None:
        self.ratio, self.slack, self.limiters = ratio * SAFE, slack * SAFE, 1
        self.left: dict[str, float] = {}

    @property
    def share(self) -> float:
        return max(1.0, self.slack / max(1, self.limiters))

    def arrived(self, service: str) -> None:
        """A request for the service came in."""
        self.left[service] = min(self.share, self.left.get(service, self.share * BEGIN) + self.ratio)

    def spend(self, service: str) -> bool:
        """May a request go to a further server?"""
        left = self.left.get(service, self.share * BEGIN)
        if left < 1.0:
            return False
        self.left[service] = left - 1.0
        return True
