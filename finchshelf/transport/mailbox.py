"""A queue with one owner: the task that owns a table takes commands from it, all others put them in.

Owns the waiting. It must never run a command, drop one, or wake its owner once for each of many.
"""

from __future__ import annotations

import math
from collections import deque
from typing import Generic, TypeVar

import trio

T = TypeVar("T")


class Mailbox(Generic[T]):
    def __init__(self) -> None:
        self.items: deque[T] = deque()
        self.sleeper: trio.lowlevel.Task | None = None

    def put(self, item: T) -> None:
        """Nothing here waits."""
        self.items.append(item)
        if self.sleeper is not None:
            trio.lowlevel.reschedule(self.sleeper)
            self.sleeper = None

    async def take(self, until: float = math.inf) -> list[T]:
        """All that came, at once; nothing when `until` (trio's time) comes first."""
        if not self.items:
            with trio.move_on_at(until):
                self.sleeper = trio.lowlevel.current_task()
                await trio.lowlevel.wait_task_rescheduled(self.unpark)
        return self.rest()

    def rest(self) -> list[T]:
        """What came by now; nothing here waits."""
        items = list(self.items)
        self.items.clear()
        return items

    def unpark(self, _: object) -> trio.lowlevel.Abort:
        self.sleeper = None
        return trio.lowlevel.Abort.SUCCEEDED
