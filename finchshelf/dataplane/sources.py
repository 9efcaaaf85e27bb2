"""The control planes that a data plane knows, what each told, and which of them it asks for what.

Owns a record for each, the choice among them and the list of limiters that they make together. Decisions
only: time is handed in. What those say that are cut off from the core must never make a list while others
speak.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from typing import Any

from finchshelf.membership import rendezvous
from finchshelf.membership.records import Limiter, Unfit, is_address
from finchshelf.transport.frames import Link

WAIT = 1.0  # s that a question waits for news: by it a control plane knows that this limiter is there
LISTED_S = 2.5  # after which the list of a silent control plane does not count: limiters must not differ


def read_control(row: Any) -> tuple[str, str]:
    address, zone = row
    if not isinstance(address, str) or not isinstance(zone, str) or not is_address(address):
        raise Unfit("read news", "controls", f"expected HOST:PORT and zone: {row!r}"[:200])
    return address, zone


class Source:
    """One control plane and what it told."""

    def __init__(self, link: Link, zone: str) -> None:
        self.link, self.zone = link, zone
        self.have: dict[str, int] = {"life": 0, "rev": -1, "named": -1, "list": -1}
        self.limiters: dict[str, Limiter] = {}
        self.down_until = self.heard = self.evident = -1e9
        self.said = -1e9  # a moment at which it had not yet given its last answer
        self.wait = WAIT  # s that the last question was to wait for news
        self.failed = 0  # questions in a row without an answer
        self.shed = False  # was the last one answered by "busy"?
        self.core = False  # was it in touch with more than half of the core, as it last said?
        self.contact = -1e9  # when it last was, as it said
        self.disk: str | None = None  # that it runs on; None: it is of an older text and does not say
        self.told = 0  # what it knows of the counters that a roll-out watches
        self.times: dict[str, float] = {}  # and of the usual times of routes
        self.timed = -1e9
        self.named = -1  # the newest slot that it named without its document
        self.running = False


def wanted(me: Limiter, sources: Mapping[str, Source], settled: bool, now: float) -> list[str]:
    """Whom to ask: the own cell and one more; all while too few have answered (not `settled`), or while
    neither of those two is in touch with the core."""
    up = not_passed_over(sources, now)
    if not settled:
        return up
    found = steady(me, sources, up)
    # Danger: a cut between control planes leaves both on the side where nothing new is decided, while
    # this limiter could reach the other side.
    return found if any(sources[name].core for name in found) else up


def not_passed_over(sources: Mapping[str, Source], now: float) -> list[str]:
    """Those that did not fail just now; all where all did."""
    return [name for name, one in sources.items() if now >= one.down_until] or list(sources)


def steady(me: Limiter, sources: Mapping[str, Source], up: list[str]) -> list[str]:
    """The control planes that are asked where all is well: one of the own cell and one more."""
    order = rendezvous.order(me.node, up)
    own = [name for name in order if sources[name].zone == me.zone][:1] or order[:1]
    return own + [name for name in order if name not in own][:1]


def wants_lists(me: Limiter, sources: Mapping[str, Source], address: str, now: float) -> bool:
    """Is that control plane to tell its lists of servers and limiters?

    Danger: while it starts a limiter asks all control planes. All lists from each of them, to all who
    start at once, would fill thin links for seconds."""
    found = steady(me, sources, not_passed_over(sources, now))
    unasked_or_in_touch = any(sources[name].core or not sources[name].have["life"] for name in found)
    return address in found or not unasked_or_in_touch


class MergedList:
    """The limiters there are, by what control planes told last."""

    def __init__(self) -> None:
        self.lists: list[dict[str, Limiter]] = []  # that `limiters` was made of
        self.limiters: dict[str, Limiter] = {}

    def of(self, sources: Iterable[Source], now: float) -> dict[str, Limiter]:
        """By those cut off only while nobody else tells. The same object as long as nothing of it changes:
        news comes many times a second, and the work on a list grows with the fleet.

        Danger: a limiter that only they hear of would be asked for counts here, and another one elsewhere."""
        heard = [one for one in sources if now - one.heard < LISTED_S]
        joined = any(one.core for one in heard)
        lists = [one.limiters for one in heard if one.core or not joined]
        if len(lists) != len(self.lists) or any(a is not b for a, b in zip(lists, self.lists, strict=True)):
            self.lists = lists
            found = newest(lists)
            if found != self.limiters:
                self.limiters = found
        return self.limiters


def newest(lists: list[dict[str, Limiter]]) -> dict[str, Limiter]:
    """The newest life of each limiter on any of these lists."""
    found: dict[str, Limiter] = {}
    for limiters in lists:
        for node, one in limiters.items():
            if node not in found or found[node].life < one.life:
                found[node] = one
    return found
