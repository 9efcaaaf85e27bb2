"""What one limiter sums up of each server, and what of it is worth saying.

Owns the sums and their versions. No I/O and no clock. It must never say anything of a server that does well
and that nobody asks about: no news costs nothing.
"""

from __future__ import annotations

import math
from dataclasses import dataclass, field
from enum import IntEnum
from typing import Any

from finchshelf.admission.interface import Status
from finchshelf.experience.policy import Policy


class Kind(IntEnum):
    """What was bad about an end."""

    FAILED = 0  # the server's own answer of 500 or more
    LOST = 1  # its bytes went out and no answer came
    WRONG = 2  # an answer that is not the server's own, or another request's
    REFUSED = 3  # no room, though it says itself that it has
    SILENT = 4  # the connection did not come up
    SLOW = 5  # many times what the route takes elsewhere
    HUNG = 6  # no answer in that time either; the second server that was asked answered


LONG = 100.0  # s since a good end, at most, that a row says
WEIGHT = (1.0, 1.0, 1.0, 0.7, 1.0, 0.5, 0.7)


@dataclass(slots=True)
class Sum:
    """What was seen of one life of a server, worth less as it ages."""

    good: float = 0.0
    kinds: list[float] = field(default_factory=lambda: [0.0] * len(Kind))
    time: float = 1.0  # as a multiple of what the route takes at all servers
    good_at: float = -math.inf  # when it last did well
    at: float = 0.0
    version: int = 0
    told: int = 0
    bad: bool = False  # has any kind a weight?

    def weight(self) -> float:
        return sum(map(float.__mul__, self.kinds, WEIGHT)) if self.bad else 0.0


def kind(status: Status, used: int, slow: bool, room: bool) -> Kind | None:
    """What was bad about this end. `slow`: by far more than its route takes; `room`: the server has some."""
    if status is Status.OK:
        return Kind.SLOW if slow else None
    if status is Status.CANCELLED:
        # Danger: a hanging server's tries are all cancelled, as the second server answers: never late.
        return Kind.HUNG if slow else None
    if status is Status.ERROR:
        return Kind.FAILED
    if status is Status.UNREACHABLE:
        return Kind.SILENT
    if status is Status.RESET:
        return Kind.WRONG if used else Kind.LOST
    if status is Status.TIMEOUT:
        # Danger: a client that gives a request no time makes any server look as if it hung.
        return Kind.LOST if slow else None
    return Kind.REFUSED if status is Status.FULL and room else None


class Digest:
    def __init__(self, policy: Policy) -> None:
        self.policy = policy
        self.sums: dict[str, Sum] = {}
        self.version = 0  # one for all sums: a server that is forgotten and met again must not seem older
        self.due: set[str] = set()  # servers of which something is new that others want to hear
        self.run: set[str] = set()  # servers of the bad ends since the last good one
        self.watched: set[str] = set()  # that are not at full share: good ends there are news too

    def ended(self, server: str, found: Kind | None, ok: bool, multiple: float, now: float) -> bool:
        """One try ended; True if that is to be told soon."""
        if not ok and found is None:
            return False
        one = self.sums.get(server)
        if one is None:
            one = self.sums[server] = Sum(at=now)
        policy = self.policy
        fade = math.exp((one.at - now) / policy.forget)
        one.good, one.at = one.good * fade, now
        self.version = one.version = max(self.version + 1, int(now * 1000))  # past those of an earlier life
        if found is None:
            alone = self.alone()
            self.run.clear()
            one.good, one.good_at = one.good + 1.0, now
            one.time += (min(multiple, 9.0) - one.time) * 0.1
            if one.bad:
                one.kinds = [value * fade * policy.after_good for value in one.kinds]
                one.bad = one.weight() > 0.05
                self.due.add(server)
            if server in self.watched:
                self.due.add(server)
            return server in self.watched or alone
        self.run.add(server)
        one.good = min(one.good * policy.after_bad, policy.after_bad_most)
        one.kinds = [value * fade for value in one.kinds]
        one.kinds[found] += 1.0
        if multiple > 0 and found is Kind.SLOW:
            one.time += (min(multiple, 9.0) - one.time) * 0.1
        one.bad = True
        self.due.add(server)
        return not self.alone()

    def alone(self) -> bool:
        """Is it this limiter that is bad? All its tries fail, at one server after the other."""
        return len(self.run) >= self.policy.alone

    def watch(self, server: str, begin: bool) -> None:
        """Others say that it is bad: whoever sends there says how it goes. `begin`: they just did."""
        self.watched.add(server)
        one = self.sums.get(server)
        if begin and one is not None and not one.bad:
            one.good = 0.0  # Danger: what was good before a server died would speak for it

    def forget(self, server: str) -> None:
        """A new spell begins for it, or it is gone."""
        self.sums.pop(server, None)
        self.due.discard(server)
        self.watched.discard(server)

    def take(self, now: float) -> list[list[Any]]:
        """The rows that are due, each said once in each version."""
        rows: list[list[Any]] = []
        if self.alone():
            return rows  # Danger: frozen or cut off, it would speak ill of all; until a good end it is silent
        for server in self.due:
            one = self.sums[server]
            if one.version > one.told and now - one.at < 2 * self.policy.forget:
                one.told = one.version
                fade = math.exp((one.at - now) / self.policy.forget)
                rows.append(
                    [
                        server,
                        one.version,
                        round(one.good * fade * 100),
                        [round(value * fade * 100) for value in one.kinds],
                        round(one.time * 100),
                        round(min(LONG, now - one.good_at) * 100),
                    ]
                )
        self.due.clear()
        return rows
