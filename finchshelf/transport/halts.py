"""Whether this process stood still: the machine was taken away, or too much was asked of it.

Owns the beat that tells, and how long what the sockets hold counts as old after it. It must never decide what
becomes of a request: who reads or owns it goes by its true age.
"""

from __future__ import annotations

import math

import trio

from finchshelf.transport.exchange import Clock, Log

BEAT = 0.25  # s between two looks at whether this process stood still
HALT = 0.25  # s late that such a look tells of a halt; for FOUND s after it what is read may be old
FOUND = 0.1
TURNS = 3  # of the scheduler until what the sockets held is on the core's queue, ends of connections included

pause = trio.sleep  # stories put one in its place that stands still with its machine


class Halts:
    def __init__(self, clock: Clock, telemetry: Log) -> None:
        self.clock, self.telemetry = clock, telemetry
        self.seen, self.resumed = clock.now(), -math.inf

    def halted(self, now: float) -> bool:
        """Has this process stood still until a moment ago? What the sockets hold is then old."""
        return now - self.seen > BEAT + HALT or now - self.resumed < FOUND

    async def beat(self) -> None:
        """Notice when this process stood still."""
        while True:
            await pause(BEAT)
            now = self.clock.now()
            late = now - self.seen - BEAT
            self.seen = now
            if late > HALT:
                self.resumed = now
                self.telemetry.rare("halt", seconds=round(late, 3))


async def read_first() -> None:
    """Let the sockets be read, before what waited through a halt is decided."""
    for _ in range(TURNS):
        await trio.lowlevel.checkpoint()
