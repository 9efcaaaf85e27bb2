"""Evidence: what data planes count for each route while a roll-out watches, and how it comes together.

Owns the counters of one data plane, the table of one control plane, and the sums of one site. It must never
count one request twice because a message was repeated, lose it because one was lost, or cost anything
while nobody watches.

A data plane tells totals of its life, only of routes that changed, at most every EACH seconds, in the
question for news that it asks anyway. Totals are taken by the highest for each life, so repeats,
losses and two control planes that heard the same do no harm.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Iterable
from typing import Any
from zlib import crc32

import msgpack

FIELDS = ("taken", "late", "vanished", "repeated", "refused", "denied", "wrong", "broken")
AT = {name: at for at, name in enumerate(FIELDS)}
EACH = 2.0  # s between two tellings of a data plane to one control plane
WATCHED = 30.0  # s after the last word of a watcher in which is counted on
MOST_ROUTES, MOST_IDS, MOST_LIVES = 2000, 20_000, 2000
SAFE = (b"GET", b"HEAD", b"OPTIONS")  # by HTTP's own word: run twice they do no harm
Totals = list[int]


class Seen:
    """What one data plane saw, for each route; `on` only while somebody watches."""

    def __init__(self) -> None:
        self.on, self.until = False, 0.0
        self.id, self.rev = 0, 0
        self.aims: dict[str, float] = {}
        self.rows: dict[str, Totals] = {}
        self.revs: dict[str, int] = {}
        self.ids: set[bytes] = set()
        self.order: deque[bytes] = deque()

    def watch(self, told: dict[str, Any], now: float) -> None:
        """A control plane's word that somebody watches, with the aims in ms if they are new here."""
        self.on, self.until = True, now + WATCHED
        if "aims" in told:
            self.id = int(told["id"])
            self.aims = {str(route): float(aim) / 1000 for route, aim in told["aims"].items()}

    def look(self, now: float) -> None:
        if self.on and now > self.until:  # the watcher is gone: its ids and aims are not kept
            self.on, self.id, self.aims = False, 0, {}
            self.ids.clear()
            self.order.clear()

    def add(self, route: str, field: str) -> None:
        row = self.rows.get(route)
        if row is None:
            if len(self.rows) >= MOST_ROUTES:
                return
            row = self.rows[route] = [0] * len(FIELDS)
        row[AT[field]] += 1
        self.rev += 1
        self.revs[route] = self.rev

    def ended(self, route: str, aim: float, counted: str, status: int, took: float) -> None:
        """A request got its answer; `counted`: the data plane's own word for how."""
        if counted == "out.served":
            if status >= 400:
                self.add(route, "wrong")
            elif took > (self.aims.get(route) or aim):
                self.add(route, "late")
        elif counted == "out.error":
            self.add(route, "wrong")
        elif counted.startswith("out."):
            self.add(route, "vanished" if status != 503 else "refused")
        else:
            self.add(route, "refused" if status in (429, 503) else "denied")

    def ran(self, route: str, trial: bytes) -> None:
        """A server answered that it ran this request; a second time for the same id is a repeat."""
        if trial in self.ids:
            self.add(route, "repeated")
            return
        self.ids.add(trial)
        self.order.append(trial)
        if len(self.order) > MOST_IDS:
            self.ids.discard(self.order.popleft())

    def since(self, rev: int) -> list[list[Any]]:
        return [[route, *self.rows[route]] for route, at in self.revs.items() if at > rev]


def watch_id(aims: dict[str, float]) -> int:
    """The same at each control plane, so that a data plane that asks two is not told the aims anew."""
    return crc32(msgpack.packb(sorted(aims.items()))) or 1


class Table:
    """What one control plane was told by its data planes."""

    def __init__(self) -> None:
        self.aims: dict[str, float] = {}
        self.id, self.until = 0, -1e9
        self.lives: dict[tuple[str, int], dict[str, Totals]] = {}

    def ask(self, aims: Any, now: float) -> bool:
        """Somebody watches; True if data planes are to be told so."""
        wanted = {str(route): float(aim) for route, aim in dict(aims).items()}
        if len(wanted) > MOST_ROUTES:
            raise ValueError("too many routes")
        new = now > self.until or watch_id(wanted) != self.id
        self.aims, self.id, self.until = wanted, watch_id(wanted), now + WATCHED
        return new

    def word(self, known: object, now: float) -> dict[str, Any] | None:
        """What a data plane that knows this watch is told with its news."""
        if now > self.until:
            return None
        return {"id": self.id} if known == self.id else {"id": self.id, "aims": self.aims}

    def take(self, node: str, life: int, rows: Iterable[Any]) -> None:
        known = self.lives.setdefault((node, life), {})
        merge(known, rows)
        while len(self.lives) > MOST_LIVES:
            self.lives.pop(next(iter(self.lives)))

    def rows(self) -> list[list[Any]]:
        return [
            [node, life, [[route, *totals] for route, totals in routes.items()]]
            for (node, life), routes in self.lives.items()
        ]


def merge(known: dict[str, Totals], rows: Iterable[Any]) -> None:
    """Each total only grows within a life: whoever knows the most knows it last."""
    for route, *totals in rows:
        if len(totals) != len(FIELDS) or (str(route) not in known and len(known) >= MOST_ROUTES):
            continue
        former = known.get(str(route), [0] * len(FIELDS))
        known[str(route)] = [max(a, int(b)) for a, b in zip(former, totals, strict=True)]


class Sums:
    """What a whole site saw, as the watcher heard it from some or all of its control planes."""

    def __init__(self) -> None:
        self.lives: dict[tuple[str, int], dict[str, Totals]] = {}

    def take(self, answer: dict[str, Any]) -> None:
        for node, life, rows in answer["rows"]:
            merge(self.lives.setdefault((str(node), int(life)), {}), rows)

    def totals(self, route: str) -> Totals:
        found = [0] * len(FIELDS)
        for routes in self.lives.values():
            if route in routes:
                found = [a + b for a, b in zip(found, routes[route], strict=True)]
        return found
