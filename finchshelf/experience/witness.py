"""Who is believed, and to which share a server is lowered by what witnesses say.

Owns the credit of each limiter, the opinion of each server and the floor. No I/O and no clock. It must never
steer all away by one witness's word, or so much of a service that the rest is tipped over.
"""

from __future__ import annotations

import math
from collections.abc import Iterable, Mapping
from dataclasses import dataclass
from typing import Any

from finchshelf.experience.digest import WEIGHT, Kind
from finchshelf.experience.policy import Policy
from finchshelf.membership.records import Unfit

ANSWERS = (Kind.FAILED, Kind.WRONG, Kind.REFUSED, Kind.SLOW)  # bad ones, but answers


@dataclass(frozen=True, slots=True)
class Row:
    """What one limiter said of one server, and when it was heard."""

    limiter: str
    server: str
    version: int
    good: float
    kinds: tuple[float, ...]
    time: float
    at: float
    since: float = 0.0  # s since its last good end there, when it said this
    weight: float = 0.0  # of `kinds`, reckoned once

    def fade(self, now: float, policy: Policy) -> float:
        return math.exp(min(0.0, self.at - now) / policy.forget)

    def __post_init__(self) -> None:
        weight = sum(value * weight for value, weight in zip(self.kinds, WEIGHT, strict=True))
        object.__setattr__(self, "weight", weight)

    def says_bad(self, now: float, policy: Policy) -> bool:
        bad = self.weight
        return (
            bad >= policy.bad and bad > 0.3 * self.good and bad * self.fade(now, policy) >= policy.bad * 0.5
        )

    def words(self, now: float) -> str:
        told = [f"{value:.1f} {Kind(at).name.lower()}" for at, value in enumerate(self.kinds) if value >= 0.1]
        return (
            f"{self.limiter}: {', '.join(told) or 'well'} of {self.good + sum(self.kinds):.1f}, "
            f"time x{self.time:.1f}, {max(0.0, now - self.at):.1f} s ago"
        )


def read_row(limiter: str, row: Any, now: float) -> Row:
    try:
        server, version, good, kinds, time, since = row
        values = tuple(min(1e4, max(0.0, float(one) / 100)) for one in kinds)
        if len(values) != len(Kind):
            raise ValueError("kinds")
        return Row(
            limiter,
            str(server),
            int(version),
            min(1e4, max(0.0, float(good) / 100)),
            values,
            float(time) / 100,
            now,
            max(0.0, float(since) / 100),
        )
    except (TypeError, ValueError) as error:
        raise Unfit("read a digest", "row", repr(error)) from None


@dataclass(frozen=True, slots=True)
class Opinion:
    """What all witnesses together saw of one server."""

    weight: float = 0.0
    good: float = 0.0
    witnesses: int = 0
    dead: bool = False  # nobody got any answer out of it

    @property
    def rate(self) -> float:
        return self.weight / (self.weight + self.good + 0.5)

    def words(self) -> str:
        return (
            f"{self.witnesses} witness{'es' * (self.witnesses != 1)}, "
            f"{self.weight:.1f} bad of {self.weight + self.good:.1f}{', no answers' * self.dead}"
        )


class Witness:
    def __init__(self, policy: Policy) -> None:
        self.policy = policy
        self.doubted: dict[str, float] = {}  # until when

    def credits(
        self, rows: Mapping[str, Mapping[str, Row]], servers: Iterable[str], limiters: int, now: float
    ) -> tuple[dict[str, float], list[str]]:
        """The credit of each limiter by what it says of one service's servers; and who is doubted anew.

        `rows`: by server, by limiter."""
        policy = self.policy
        # Danger: where all fail, each limiter speaks of each server, many times a second: what is done for
        # every pair of limiters must be next to nothing, or the control plane does nothing else.
        bad, seen, place = dict[str, int](), dict[str, int](), 0  # bits of servers, by limiter
        for place, name in enumerate(servers):
            for limiter, row in rows.get(name, {}).items():
                bad.setdefault(limiter, 0)
                if row.says_bad(now, policy):
                    bad[limiter] |= 1 << place
                elif row.good * row.fade(now, policy) >= 1.0:
                    seen[limiter] = seen.get(limiter, 0) | 1 << place
        number, fresh = place + 1, []
        for limiter, mine in bad.items():
            count = mine.bit_count()
            if count >= 2 and count > policy.most * number:
                # Danger: one that is frozen, cut off or overloaded sees every server as bad. Only if half of
                # all see the same is it the servers.
                agree = sum(2 * (other & mine).bit_count() >= count for other in bad.values()) - 1
                if 2 * (agree + 1) <= limiters:
                    if self.doubted.get(limiter, -math.inf) <= now:
                        fresh.append(limiter)
                    self.doubted[limiter] = now + policy.doubt
        heard = [name for name in bad if self.doubted.get(name, -math.inf) <= now]
        credit = dict.fromkeys(bad, 0.0)
        for limiter in heard:
            mine = bad[limiter]
            fits = sum((bad[other] & mine).bit_count() for other in heard) - mine.bit_count() + 1.0
            differs = sum((seen.get(other, 0) & mine).bit_count() for other in heard)
            credit[limiter] = min(1.0, 2.0 * fits / (fits + differs))
        return credit, fresh

    def opinion(
        self, rows: Mapping[str, Row], credit: Mapping[str, float], now: float, since: float = -math.inf
    ) -> Opinion:
        """What is left of it when each is believed by its credit; `since`: older words do not count."""
        weight = good = answers = 0.0
        witnesses, last_good, last_bad = 0, -math.inf, -math.inf
        for limiter, row in rows.items():
            if row.at <= since:
                continue
            believed = credit.get(limiter, 1.0)
            worth = believed * row.fade(now, self.policy)
            weight += worth * row.weight
            good += worth * row.good
            answers += worth * sum(row.kinds[one] for one in ANSWERS)
            witnesses += believed >= 0.5 and row.says_bad(now, self.policy)
            last_good = max(last_good, row.at - row.since)
            last_bad = max(last_bad, row.at if row.weight else -math.inf)
        dead = witnesses >= self.policy.eject_witnesses and answers < 0.1 * weight
        dead = dead and good < 0.25 * weight
        # Danger: a server that resets what it has no room for loses many and answers the rest. Were it dead,
        # an overload would take one server after the other past the floor.
        dead = dead and last_bad - last_good >= self.policy.dead
        return Opinion(weight, good, witnesses, dead)

    def wanted(self, opinion: Opinion) -> tuple[float, bool]:
        """The share it should have by this, and whether it should be left by all."""
        policy = self.policy
        if (
            opinion.witnesses >= policy.eject_witnesses
            and opinion.weight >= policy.eject_weight
            and opinion.rate >= policy.eject_rate
        ):
            return 0.0, True
        if not opinion.witnesses:
            return 1.0, False
        return max(policy.least, 1.0 - policy.lower * opinion.rate), False


@dataclass(frozen=True, slots=True)
class Place:
    """A server as the floor sees it."""

    server: str
    zone: str
    capacity: int
    wanted: float
    rate: float  # how bad it is: the least bad comes back first
    dead: bool


def allot(places: list[Place], policy: Policy) -> dict[str, float]:
    """The share of each: as wanted, but for the floor. The worst goes first, so the least bad is back first.

    All who know the same come to the same. What does not answer at all is no capacity to keep, but counts as
    gone: the rest bears its load already."""
    total = sum(one.capacity for one in places)
    zones: dict[str, list[Place]] = {}
    for one in places:
        zones.setdefault(one.zone, []).append(one)
    lost = sum(one.capacity * (1 - one.wanted) for one in places if one.dead)
    left = max(0.0, total * (1 - policy.floor) - lost)
    in_zone = {
        zone: sum(one.capacity for one in rows) * (1 - policy.zone_floor) if len(rows) > 1 else total
        for zone, rows in zones.items()
    }
    found = {}
    for one in sorted(places, key=lambda place: (-place.rate, place.server)):
        if one.dead or one.wanted >= 1.0:
            found[one.server] = one.wanted
            continue
        take = min(one.capacity * (1 - one.wanted), left, in_zone[one.zone])
        left, in_zone[one.zone] = left - take, in_zone[one.zone] - take
        found[one.server] = round(1 - take / one.capacity, 3)
    return found
