"""How late the holders of tenants' counts answer this limiter, told in the log at intervals.

Owns, for each holder, what its late answers were like since the last report. It must never decide whom to ask
or what a late answer means for a request.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import Protocol

MOST_HOLDERS = 8  # named in one report: those with the most late or missing answers


class Log(Protocol):
    def log(self, event: str, **fields: object) -> None: ...


@dataclass(slots=True)
class LateAnswers:
    """What one holder did with questions that were past their budget."""

    late: int = 0
    missing: int = 0
    slowest_s: float = 0.0

    def row(self, holder: str) -> dict[str, object]:
        return {
            "holder": holder,
            "late": self.late,
            "missing": self.missing,
            "slowest_ms": round(self.slowest_s * 1000),
        }


class Punctuality:
    def __init__(self) -> None:
        self.holders: dict[str, LateAnswers] = {}

    def late(self, holder: str, took_s: float) -> None:
        """An answer came after its question's budget."""
        found = self.holders.setdefault(holder, LateAnswers())
        found.late += 1
        found.slowest_s = max(found.slowest_s, took_s)

    def missing(self, holder: str) -> None:
        """An answer did not come while it could be used."""
        self.holders.setdefault(holder, LateAnswers()).missing += 1

    def report(self, telemetry: Log) -> None:
        """Log the holders that were late since the last report; nothing where none was."""
        if not self.holders:
            return
        worst = sorted(self.holders.items(), key=lambda item: -(item[1].late + item[1].missing))
        rows = [found.row(holder) for holder, found in worst[:MOST_HOLDERS]]
        telemetry.log("holders.late", holders=rows, of=len(worst))
        self.holders.clear()
