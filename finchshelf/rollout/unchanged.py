"""What grew meanwhile at the sites of a roll-out where nothing was changed.

Owns that comparison, made once an interval for each kind of request. It must never decide what follows.
"""

from __future__ import annotations

from collections.abc import Mapping
from typing import Any

from finchshelf.rollout.evidence import FIELDS, Totals
from finchshelf.rollout.plan import Kind, Plan, Site
from finchshelf.rollout.statistics import lift
from finchshelf.rollout.watched import GRACE, SPANS, Watched


class UnchangedSites:
    def __init__(self, plan: Plan, rows: Mapping[str, dict[str, Any]], minds: Mapping[str, Watched]) -> None:
        """`rows`: what is written down of each site, `minds`: what the driver keeps in mind of it."""
        self.plan, self.rows, self.minds, self.now = plan, rows, minds, 0.0
        self.known: dict[str, list[float]] = {}  # of this interval, for each kind

    def begin(self, now: float) -> None:
        """Another interval."""
        self.now = now
        self.known.clear()

    def sites(self) -> list[Site]:
        """Sites to compare with: not changed; where none is left, those that have passed."""
        waiting = [one for one in self.plan.sites if self.rows[one.name]["state"] == "waiting"]
        return waiting or [one for one in self.plan.sites if self.rows[one.name]["state"] == "passed"]

    def grown(self, kind: Kind) -> list[float]:
        """What each harm grew by at the same time where nothing was changed."""
        if kind.route not in self.known:
            most = [0.0] * len(FIELDS)
            for span in SPANS:
                pairs = self.pairs(kind, span)
                most = [
                    max(former, lift((now[at], now[0], past[at], past[0]) for now, past in pairs))
                    for at, former in enumerate(most)
                ]
            self.known[kind.route] = most
        return self.known[kind.route]

    def pairs(self, kind: Kind, span: int) -> list[tuple[Totals, Totals]]:
        """The last `span` intervals and the past of each site, where no machine was lost just now."""
        found: list[tuple[Totals, Totals]] = []
        for one in self.sites():
            route, mind = one.own(kind.route), self.minds[one.name]
            past = self.rows[one.name].get("past", {})
            if route in past and past[route][0] and self.now - mind.disturbed > GRACE:
                deltas = [each[route] for each in list(mind.deltas)[-span:] if route in each]
                if deltas:
                    found.append(([sum(each) for each in zip(*deltas, strict=True)], past[route]))
        return found
