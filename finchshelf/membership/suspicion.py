"""A failure detector for limiters that are listed and leave others' questions unanswered.

Owns what one limiter has seen of those that it asks (`Watcher`), and when control planes go by what limiters
say (`Suspicions`, `confirmed`). Decisions only: time is handed in. It must never take a limiter off the list
on the word of fewer than `QUORUM` others, for what a former life of it did, or where so many are suspected
that the network, and not they, must be at fault.
"""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Collection, Iterable, Mapping
from dataclasses import dataclass
from typing import Any

from finchshelf.membership.records import MOST_TEXT, MOST_WHOLE, Unfit

QUORUM = 3  # limiters that must suspect one life
# Probes in a row without an answer: a process that is killed is back before that, and lost datagrams are few.
MISSES = 3
MOST_PART = 0.1  # of the limiters that may be taken off the list for it at the same time
# Suspects of one limiter: whoever has more is itself the one that answers do not reach.
MOST_SUSPECTS = 3
LEAST_S = 5.0  # s that a suspicion lasts: a holder that comes and goes would move its counts each time
FORGET_S = 30.0  # s off the list after which a suspect is no longer probed
REPORT_KEPT_S = 2.6  # s that a limiter's word counts: it gives it with each question, each second
MOST_ROWS = 4096  # of suspicions in one answer

Life = tuple[str, int]  # a limiter's node and the life of its process


@dataclass(slots=True)
class Suspect:
    """A limiter that left a probe unanswered; suspected once it left `MISSES` in a row."""

    life: int
    since: float
    listed: float  # when it last was on the list
    misses: int = 1
    suspected: bool = False


class Watcher:
    """One limiter's view: a question that is late is followed by probes; if none of them is answered in time,
    whoever was asked is suspected until it answers again."""

    def __init__(self) -> None:
        self.probes: dict[int, Life] = {}  # by the number of the question
        self.suspects: dict[str, Suspect] = {}

    def to_probe(self, node: str) -> bool:
        """One of its answers is late: is it to be probed now?"""
        return all(node != probed for probed, _ in self.probes.values())

    def probed(self, number: int, node: str, life: int) -> None:
        self.probes[number] = node, life

    def answered(self, node: str, now: float) -> None:
        """It answered a question or a probe."""
        for number in [number for number, (probed, _) in self.probes.items() if probed == node]:
            del self.probes[number]
        suspect = self.suspects.get(node)
        if suspect is not None:
            suspect.misses = 0
            self.drop(now)

    def unanswered(self, number: int, now: float) -> Suspect:
        """A probe's time is up. Whoever was probed is to be probed again, at once until it is suspected."""
        node, life = self.probes.pop(number)
        suspect = self.suspects.get(node)
        if suspect is None or suspect.life != life:
            suspect = self.suspects[node] = Suspect(life, now, now)
        else:
            suspect.misses += 1
        if suspect.misses >= MISSES and not suspect.suspected:
            suspect.suspected, suspect.since = True, now
        return suspect

    def listed(self, lives: Mapping[str, int], now: float) -> None:
        """The limiters on the list, by their lives."""
        for node, suspect in [*self.suspects.items()]:
            life = lives.get(node)
            if life == suspect.life:
                suspect.listed = now
            elif life is not None or now - suspect.listed > FORGET_S:
                del self.suspects[node]

    def drop(self, now: float) -> None:
        """Suspect no longer those that answer again, once `LEAST_S` has passed."""
        self.suspects = {
            node: one
            for node, one in self.suspects.items()
            if one.misses > 0 or (one.suspected and now - one.since < LEAST_S)
        }

    def report(self, now: float) -> list[Life]:
        """The lives that are suspected, for control planes; none where this limiter is the likelier cause."""
        self.drop(now)
        found = [(node, one.life) for node, one in self.suspects.items() if one.suspected]
        return found if len(found) <= MOST_SUSPECTS else []


def read_report(rows: Any) -> tuple[Life, ...]:
    """A limiter's report as another process sent it."""
    if not isinstance(rows, list) or len(rows) > MOST_SUSPECTS:
        raise Unfit("read a report of suspects", "suspects", f"expected few rows: {rows!r}"[:200])
    return tuple(read_life(row) for row in rows)


def read_life(row: Any) -> Life:
    try:
        node, life = row
    except (TypeError, ValueError):
        raise Unfit("read a report of suspects", "row", f"expected node and life: {row!r}"[:200]) from None
    if not isinstance(node, str) or len(node) > MOST_TEXT or type(life) is not int:
        raise Unfit("read a report of suspects", "row", f"expected node and life: {row!r}"[:200])
    if not 0 <= life <= MOST_WHOLE:
        raise Unfit("read a report of suspects", "life", f"expected a number from 0 on: {row!r}"[:200])
    return node, life


Told = tuple[tuple[Life, tuple[str, ...]], ...]  # each suspected life, and who suspects it


class Suspicions:
    """What limiters that ask one control plane say; `rev` counts the changes of what others are told.

    Danger: a row for each limiter that suspects would fill thin links just when many limiters do; so `QUORUM`
    reporters of a life are told, and no more."""

    def __init__(self) -> None:
        self.reports: dict[str, tuple[tuple[Life, ...], float]] = {}  # by reporter: until when they count
        self.told: Told = ()
        self.rev = 0

    def report(self, reporter: str, lives: tuple[Life, ...], now: float) -> bool:
        """A limiter said whom it suspects; True if others must hear of it."""
        if lives:
            self.reports[reporter] = lives, now + REPORT_KEPT_S
        elif self.reports.pop(reporter, None) is None:
            return False
        return self.renew(now)

    def renew(self, now: float) -> bool:
        """Without the reports that no longer count; True if others must hear of it."""
        self.reports = {name: one for name, one in self.reports.items() if now <= one[1]}
        by_life: dict[Life, list[str]] = defaultdict(list)
        for reporter, (lives, _) in self.reports.items():
            for life in lives:
                by_life[life].append(reporter)
        # The first who said so, in the order in which they did: what is told changes seldom.
        told = tuple((life, tuple(by_life[life][:QUORUM])) for life in sorted(by_life))
        if told == self.told:
            return False
        self.told = told
        self.rev += 1
        return True


def pack_told(told: Told) -> list[list[Any]]:
    return [[node, life, list(reporters)] for (node, life), reporters in told]


def read_told(rows: Any) -> Told:
    """What another control plane's limiters suspect."""
    if not isinstance(rows, list) or len(rows) > MOST_ROWS:
        raise Unfit("read suspicions", "rows", "expected a list")
    found = []
    for row in rows:
        if not isinstance(row, list) or len(row) != 3 or not isinstance(row[2], list):
            raise Unfit("read suspicions", "row", f"expected node, life and reporters: {row!r}"[:200])
        if not all(isinstance(one, str) and len(one) <= MOST_TEXT for one in row[2][:QUORUM]):
            raise Unfit("read suspicions", "reporters", f"expected names: {row!r}"[:200])
        found.append((read_life(row[:2]), tuple(row[2][:QUORUM])))
    return tuple(found)


def confirmed(heard: Iterable[Told], lives: Collection[Life]) -> frozenset[Life]:
    """Which of the limiters there are to be left off the list, by what all control planes heard."""
    by_life: dict[Life, set[str]] = defaultdict(set)
    for told in heard:
        for life, reporters in told:
            by_life[life].update(reporters)
    found = {life for life, reporters in by_life.items() if len(reporters) >= QUORUM} & {*lives}
    # Danger: a part of the network that loses datagrams would empty the list of those beyond it.
    return frozenset(found) if len(found) <= max(1.0, MOST_PART * len(lives)) else frozenset()
