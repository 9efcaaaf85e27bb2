"""How long a proposer waits before it tries again: decisions alone, time and chance are handed in.

Owns every figure of that pause. It must never let two proposers that meet go on outbidding each other: an
attempt succeeds if no other begins in it, so the pause must come to be longer than attempts take.
"""

from __future__ import annotations

LEAST = 0.03  # s at most after a first attempt that met nobody: two round trips take less
MOST = 0.4  # s: a caller waits 0.85 s for its order


class Backoff:
    """The pauses of one change, from its first attempt on."""

    def __init__(self) -> None:
        self.longest = LEAST

    def pause(self, outbid: bool, took: float, chance: float) -> float:
        """`outbid`: did another's ballot end the attempt, that took so many s? `chance`: from 0 to 1."""
        if outbid:
            # Danger: a save on a disk that is slow takes 0.1 s and more. With pauses of a fixed 0.03 s two
            # proposers outbid each other until the time of both is up, and neither's order is decided.
            self.longest = min(MOST, max(2 * self.longest, 2 * took))
        return self.longest * chance
