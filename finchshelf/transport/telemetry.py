"""What the staff sees of a node: its log, its counters, and what must hold.

Owns the form of log lines (one JSON object an event, state changes only) and all counters. It must never log
a request by itself (a busy node would log itself to a halt), wait for whoever reads the log, or decide.
"""

from __future__ import annotations

import os
import select
import time
from collections import defaultdict
from collections.abc import Mapping
from typing import Any

import orjson

from finchshelf.invariants import Monitor
from finchshelf.transport.histogram import Histogram

LOG_TO = 2
LONGEST = 1500  # characters of a text in a line; of a longer one the end is kept
RARE = 1.0  # s between two lines of the same event where a fault repeats itself


class Telemetry:
    def __init__(self, name: str, sink: int = LOG_TO, numbers: Mapping[str, int] | None = None) -> None:
        """`numbers`: of the events, by name, where lines carry them; None: lines carry no number."""
        self.name, self.sink, self.numbers = name, sink, numbers
        self.count: defaultdict[str, int] = defaultdict(int)
        self.last: dict[str, float] = {}
        self.told: dict[str, int] = {}  # the counters as the last `tally` line left them
        self.durations: defaultdict[tuple[str, str], Histogram] = defaultdict(Histogram)
        self.monitor = Monitor(self.rare)

    def observe(self, name: str, label: str, seconds: float) -> None:
        """One duration, in the histogram of that name and label. `label`: one of a small, fixed set."""
        self.durations[name, label].observe(seconds)

    def log(self, event: str, **fields: Any) -> None:
        cut = {key: value[-LONGEST:] if isinstance(value, str) else value for key, value in fields.items()}
        head = {"at": round(time.time(), 3), "node": self.name, "event": event}
        if self.numbers is not None:
            head["number"] = self.numbers.get(event, 0)
        line = orjson.dumps({**head, **cut}) + b"\n"
        # Danger: whoever reads the log stops reading, its pipe fills, and a write stops the whole node. A
        # pipe that says it can be written takes a line of 4 KiB at once.
        try:
            room = select.poll()
            room.register(self.sink, select.POLLOUT)
            if room.poll(0) and os.write(self.sink, line) == len(line):
                return
        except (OSError, ValueError):
            pass
        self.count["log.lost"] += 1

    def rare(self, event: str, **fields: Any) -> None:
        """Log an event that may come in masses: at most one line a second, all are counted.

        Danger: one invariant that is violated all the time would hide the first violation of another."""
        self.count[event] += 1
        key, now = f"{event} {fields.get('invariant', '')}", time.monotonic()
        if now - self.last.get(key, -RARE) >= RARE:
            self.last[key] = now
            self.log(event, so_far=self.count[event], **fields)

    def holds(self, condition: bool, name: str) -> bool:
        """What must hold: asserted in debug builds, counted and told in release builds (`python -O`)."""
        if not condition:
            assert condition, name
            self.rare(f"broken.{name}")
        return condition

    def tally(self) -> None:
        """Log what each counter gained since the last such line; nothing where none did."""
        gained = {key: n - self.told.get(key, 0) for key, n in self.count.items()}
        self.told = dict(self.count)
        if any(gained.values()):
            self.log("tally", **{key: n for key, n in sorted(gained.items()) if n})

    def counters(self, why: str, **now: int) -> None:
        self.log("counters", why=why, **now, **dict(sorted(self.count.items())))
