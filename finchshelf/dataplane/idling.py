"""How long a kept connection may have idled and still carry a request, learnt from how tries on such ended.

Owns what was seen of each service: ages in steps that double, how many tries began on a connection that old
and how many of them were reset unheard. No I/O and no clock. It must never call a reset the server's idling
where young connections are reset as often: then it has another cause.
"""

from __future__ import annotations

import math
from dataclasses import dataclass, field

YOUNGEST_S, STEPS = (
    0.25,
    8,
)  # s: a younger connection is never taken for a dropped one; ages told apart from there
FADE_S = 120.0  # s after which what was seen is worth 1/e: servers are replaced, and their settings with them
DOUBT = 30.0  # tries that went well which one reset is set against before any were seen
MOST_LOST_UNREPEATABLE = (
    0.005  # share of resets beyond that of young connections from which what may run once is not risked
)
MOST_LOST_REPEATABLE = (
    0.1  # the same for what can go again: it costs a further try of the budget, not an answer
)
UNTOLD_S = 2.0  # s for what may run once where neither the server nor any try says how long it keeps one
IDLE_SHARE_OF_CEILING = (
    0.8  # of the connections that a server takes, for idle ones of all limiters: the rest is for bursts
)


def kept(ceiling: int, limiters: int) -> int:
    """Idle connections to one server that a limiter may keep: those of all stay below its ceiling."""
    return max(1, int(ceiling * IDLE_SHARE_OF_CEILING) // max(1, limiters))


@dataclass(slots=True)
class Seen:
    at: float
    tries: list[float] = field(default_factory=lambda: [0.0] * (STEPS + 1))
    lost: list[float] = field(default_factory=lambda: [0.0] * (STEPS + 1))

    def fade(self, now: float) -> None:
        if now - self.at > FADE_S / 16:
            left = math.exp((self.at - now) / FADE_S)
            self.tries = [one * left for one in self.tries]
            self.lost = [one * left for one in self.lost]
            self.at = now


def step(idle: float) -> int:
    """Which of the ages it is: 0 below `YOUNGEST_S`, then one more for each doubling."""
    return 0 if idle < YOUNGEST_S else min(STEPS, 1 + int(math.log2(idle / YOUNGEST_S)))


def dropped(idle: float | None, heard: bool, reset: bool) -> bool:
    """Did a try end as on a connection that its server had dropped? `idle`: s of its kept connection, None of
    a new one; `heard`: something came on it; `reset`: it ended so."""
    return reset and not heard and idle is not None and idle >= YOUNGEST_S


class Idling:
    def __init__(self) -> None:
        self.services: dict[str, Seen] = {}

    def ended(self, service: str, idle: float, lost: bool, now: float) -> None:
        """A try on a connection that had idled so long was heard, or `lost`: reset before anything came."""
        seen = self.services.get(service)
        if seen is None:
            seen = self.services[service] = Seen(now)
        seen.fade(now)
        place = step(idle)
        seen.tries[place] += 1.0
        seen.lost[place] += lost

    def most(self, service: str, once: bool) -> float:
        """Seconds of idling up to which a connection may carry a request; `once`: it may run once only, so
        that a reset leaves its client without an answer."""
        seen, bound = self.services.get(service), MOST_LOST_UNREPEATABLE if once else MOST_LOST_REPEATABLE
        proved = UNTOLD_S if once else math.inf
        if seen is None:
            return proved
        usual = seen.lost[0] / (seen.tries[0] + DOUBT)
        for place in range(1, STEPS + 1):
            edge = YOUNGEST_S * 2.0 ** (place - 1)
            if (seen.lost[place] - usual * seen.tries[place]) / (seen.tries[place] + DOUBT) > bound:
                return edge  # older ones are no better
            if once and seen.tries[place] >= DOUBT:
                proved = max(proved, edge * 2.0)
        return proved
