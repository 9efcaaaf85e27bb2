"""Which requests a data plane still takes once it was told to end.

Owns that decision. No I/O and no clock: time is handed in. It must never let a request be passed on late that
may outlast the process: its server would run it, and its client find a closed connection.
"""

from __future__ import annotations

from dataclasses import dataclass

TAKEN_S = 2.5  # s after the signal in which what has come whole is taken; rules excuse cuts until 3 s
ANSWERED_S = 0.1  # s for the answer to a request whose time is up
COME_AGAIN_S = 0.001  # after which a client that is refused may come again, elsewhere


@dataclass(frozen=True, slots=True)
class Leaving:
    """A planned end: when it was told, and when the process closes what is still open."""

    told: float
    closes: float

    def takes(self, until: float, streamed: bool, now: float) -> bool:
        """Is a request passed on that comes now and whose time is up at `until`? One whose body still comes,
        `streamed`, takes as long as its client likes."""
        if until + ANSWERED_S <= self.closes:
            return True
        return not streamed and now < self.told + TAKEN_S
