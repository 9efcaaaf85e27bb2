"""How fast news for limiters leaves a control plane, so that its link stays free for all else.

Owns the estimate of what is still on its way over the link, and the line of those who are to be told news. It
must never let an answer begin that would be given up before it has come: the asker would ask for all of it
again, and the link would carry nothing else.
"""

from __future__ import annotations

import math
from collections.abc import Callable

import trio

from finchshelf.controlplane.turns import Busy

LINK_PART = 0.75  # of the link that answers may use; the rest is the data plane's on the same machine
SMALL_BYTES = 2 << 10  # an answer of so many waits for nobody while the link is free
ROOM_S = 0.1  # of answers that may still be on their way when another begins
PATIENCE_S = 0.4  # for which an answer may wait for its turn
BITS = 8
GATHER_S = 0.01  # that news may wait for more of it
GATHER_EACH_S = 0.0008  # the same for a limiter, by the limiters that are told the same
MOST_GATHER_S = 0.25  # far within the bounds for drains and configurations


def gather_s(limiters: int) -> float:
    """Seconds for which news for so many limiters may wait for more of it.

    Danger: told one by one to each of many, changes of servers would take all of their processors."""
    return min(MOST_GATHER_S, max(GATHER_S, GATHER_EACH_S * limiters))


class Pace:
    """What was sent, drained at a steady rate. Decisions only: time is handed in."""

    def __init__(self, bytes_s: float) -> None:
        self.bytes_s = bytes_s
        self.drained_at = -math.inf  # when all that was sent has left, at this rate

    def sent(self, size: int, now: float) -> None:
        self.drained_at = max(self.drained_at, now) + size / self.bytes_s

    def backlog_s(self, now: float) -> float:
        """Seconds until all that was sent has left."""
        return max(0.0, self.drained_at - now)


def link_pace(bandwidth_mbps: float) -> Pace:
    return Pace(LINK_PART * bandwidth_mbps * 1e6 / BITS if bandwidth_mbps > 0 else math.inf)


class NewsLine:
    """The line in which news for limiters waits, first come first served."""

    def __init__(self, pace: Pace, now: Callable[[], float] = trio.current_time) -> None:
        self.pace, self.now = pace, now
        self.line = trio.Lock()
        self.waiting_bytes = 0

    def expected_wait_s(self) -> float:
        waiting_s = self.waiting_bytes / self.pace.bytes_s
        return max(0.0, self.pace.backlog_s(self.now()) + waiting_s - ROOM_S)

    def waits(self, size: int) -> bool:
        """Must an answer of so many bytes wait for its turn? One that need not is taken for sent."""
        if size > SMALL_BYTES or self.expected_wait_s() > 0:
            return True
        self.pace.sent(size, self.now())
        return False

    async def turn(self, size: int) -> None:
        """Returns when an answer of so many bytes may be sent; Busy, at once, where that would take too
        long."""
        if self.expected_wait_s() > PATIENCE_S:
            raise Busy("news")
        self.waiting_bytes += size
        try:
            async with self.line:
                await trio.sleep(max(0.0, self.pace.backlog_s(self.now()) - ROOM_S))
                self.pace.sent(size, self.now())
        finally:
            self.waiting_bytes -= size

    def other(self, size: int) -> None:
        """An answer that is no news for a limiter was sent."""
        self.pace.sent(size, self.now())
