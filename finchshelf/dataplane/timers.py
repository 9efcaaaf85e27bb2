"""When the data plane's core must act without an event from outside.

Owns the queue of timers. No I/O and no clock: time is handed in. It must never carry a timer out.
"""

from __future__ import annotations

import heapq
import math
from collections.abc import Iterator
from dataclasses import dataclass
from enum import StrEnum


class Due(StrEnum):
    """What is due."""

    COUNT_ANSWER = "count"  # the answer to a question about a count
    COUNT_BEAT = "beat"  # words to the holders of counts
    CHECK = "check"  # invariants that look at all open requests
    HEDGE = "hedge"  # a second try beside one that takes long
    END = "end"  # a request's last moment


@dataclass(frozen=True, slots=True, order=True)
class Timer:
    """`order`: of its making, so that timers of one moment are carried out in that order. `number`: of the
    request or question that it is about; 0 where it is about none."""

    at: float
    order: int
    due: Due
    number: int


class Timers:
    def __init__(self) -> None:
        self.queue: list[Timer] = []
        self.made = 0

    def add(self, at: float, due: Due, number: int = 0) -> None:
        self.made += 1
        heapq.heappush(self.queue, Timer(at, self.made, due, number))

    def wait(self, now: float) -> float:
        """Seconds until the next is due; infinite without any."""
        return max(0.0, self.queue[0].at - now) if self.queue else math.inf

    def due(self, now: float) -> Iterator[Timer]:
        """Those that are due, also those that are added and due while the rest is carried out."""
        while self.queue and self.queue[0].at <= now:
            yield heapq.heappop(self.queue)
