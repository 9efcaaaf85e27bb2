"""What limiters tell of the versions of a service that are tried, for the driver of its transition.

Owns the newest report of each limiter that asks here. It must never count a limiter twice: reports hold the
totals of its life, and the newest one takes the place of all before.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass
from typing import Any

from finchshelf.membership.records import MOST_TEXT, MOST_WHOLE, Unfit
from finchshelf.rollout.version_evidence import Counts, RouteCounts
from finchshelf.transport.frames import Message

KEPT_S = 30.0  # for which the report of a limiter that fell silent is kept
MOST_ROWS = 4096  # of one report
FIELDS = 13  # service, number, route, and the counts of the former versions and the target


@dataclass(frozen=True, slots=True)
class Report:
    """`slot`: of the transitions that the limiter goes by; `open`: tries out at versions that these do not
    allow; `rows`: a table of service, number of the transition, route and counts."""

    at: float
    slot: int
    open: int
    rows: tuple[tuple[str, int, str, RouteCounts], ...]

    def of(self, service: str, number: int) -> dict[str, RouteCounts]:
        return {
            route: counts
            for name, of_number, route, counts in self.rows
            if (name, of_number) == (service, number)
        }


def read_report(packed: Any, now: float) -> Report:
    """A report as a limiter tells it, or as another control plane told it on."""
    try:
        slot, still_open, rows = packed
        if not isinstance(rows, list | tuple) or len(rows) > MOST_ROWS:
            raise ValueError("too many rows")
        return Report(now, _whole(slot), _whole(still_open), tuple(map(_read_row, rows)))
    except (TypeError, ValueError) as error:
        raise Unfit("read a report on versions", "versions", repr(error)[:200]) from None


def _read_row(row: Any) -> tuple[str, int, str, RouteCounts]:
    if len(row) != FIELDS or not all(
        isinstance(one, str) and len(one) <= MOST_TEXT for one in (row[0], row[2])
    ):
        raise ValueError("expected service, number, route and ten counts")
    numbers = [_whole(one) for one in row[3:]]
    return row[0], _whole(row[1]), row[2], RouteCounts(Counts(*numbers[:5]), Counts(*numbers[5:]))


def _whole(value: Any) -> int:
    if type(value) is not int or not -1 <= value <= MOST_WHOLE:
        raise ValueError("expected a whole number")
    return value


class VersionReports:
    def __init__(self) -> None:
        self.rows: dict[str, Report] = {}

    def take(self, limiter: str, packed: Any, now: float) -> None:
        self.rows.pop(limiter, None)
        self.rows[limiter] = read_report(packed, now)
        while now - next(iter(self.rows.values())).at > KEPT_S:
            del self.rows[next(iter(self.rows))]

    def told(self, service: str, number: int, now: float) -> Message:
        """All that is known of one transition, for its driver: by limiter, its age in ms and the report."""
        return {
            limiter: [
                round(1000 * (now - one.at)),
                one.slot,
                one.open,
                [
                    [service, number, route, *counts.former, *counts.target]
                    for route, counts in one.of(service, number).items()
                ],
            ]
            for limiter, one in self.rows.items()
        }


def newest(answers: Iterable[Message], now: float) -> dict[str, Report]:
    """The newest report of each limiter, of all that control planes told."""
    found: dict[str, Report] = {}
    for answer in answers:
        for limiter, (age_ms, *packed) in answer.items():
            one = read_report(packed, now - _whole(age_ms) / 1000)
            if limiter not in found or found[limiter].at < one.at:
                found[limiter] = one
    return found
