"""Trials of new versions by this limiter's requests: which request goes there, how it ended, what is told.

Owns the way between the requests and the decisions (`versions`, `choice`). It must never try a version while
this limiter is out of touch with the core.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable, MutableMapping
from typing import Any

from finchshelf.admission.outcome import Status
from finchshelf.agreement.transitions import Transitions
from finchshelf.dataplane.choice import Choice
from finchshelf.dataplane.dialect import Request
from finchshelf.dataplane.news import News
from finchshelf.membership.records import Server
from finchshelf.transport.exchange import Attempt


class VersionTrials:
    def __init__(self, choice: Choice, in_touch: Callable[[], bool], count: MutableMapping[str, int]) -> None:
        self.choice, self.versions = choice, choice.versions
        self.in_touch, self.count = in_touch, count

    def server_for(self, request: Request, now: float) -> Server | None:
        """The server of a version that is tried, if this request is one of that version's share."""
        route = request.route
        assert route is not None
        if request.service not in self.versions.by_service or request.tried or request.stream is not None:
            return None
        # Danger: one that is cut off would go on by a state of the transition that the others have left.
        if not self.in_touch():
            return None
        if not self.versions.is_due(request.service, route.label, route.repeatable, now):
            return None
        server = self.choice.pick_tried(request.service, now, request.rank)
        self.count["tries.version"] += server is not None
        return server

    def ended(self, route: str, attempt: Attempt, status: Status, now: float) -> None:
        """Count the end of a try, if its service has a version that is tried."""
        known = self.choice.table.get(attempt.server)
        if known is not None and self.versions.watching():
            usual = self.choice.usual.get(route, 0.0)
            self.versions.ended(known.record, route, status, now - attempt.issued, usual)

    def report(self, requests: Iterable[Request]) -> list[Any] | None:
        """What control planes are told of versions that are tried; None while none is. `requests`: all that
        are open."""
        if not self.versions.watching():
            return None
        out = {attempt.server for request in requests for attempt in request.out.values()}
        known = (self.choice.table.get(name) for name in out)
        return self.versions.report(one.record for one in known if one is not None)

    def news(self, item: News, log: Callable[..., None]) -> None:
        """Go by the transitions of these news, if they are newer."""
        transitions, slot = item.transitions, item.transitions_slot
        if transitions is not None and self.versions.take(transitions, slot):
            log("versions", slot=slot, transitions=told(transitions))


def told(transitions: Transitions) -> list[str]:
    """The transitions in a log line."""
    return [f"{one.service} to {one.target}: {one.mode}, stage {int(one.stage)}" for one in transitions]
