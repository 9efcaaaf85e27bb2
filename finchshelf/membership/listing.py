"""A list of limiters with the number of the change that each last had: whoever says which it has is told the
rest.

Owns those numbers. It must never tell a difference to one that may lack what came before it.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from typing import Any

from finchshelf.membership.records import MOST_TEXT, Limiter, Unfit, read_limiter

KEPT = 64  # names that have gone and are told as gone, beside one for each that is there


class Listing:
    """`rev` counts changes within one life of its owner."""

    def __init__(self) -> None:
        self.rows: dict[str, Limiter] = {}
        self.rev = 0
        self.at: dict[str, int] = {}  # by name, in the order of the changes
        self.floor = 0  # who has an older number is told all: what went before it is forgotten

    def put(self, rows: Mapping[str, Limiter]) -> bool:
        """Take the list as it is now; True if it is another."""
        changed = [node for node in self.rows if node not in rows]
        changed += [node for node, one in rows.items() if self.rows.get(node) != one]
        if not changed:
            return False
        self.rev += 1
        self.rows = dict(rows)
        for node in changed:
            self.at.pop(node, None)
            self.at[node] = self.rev
        if len(self.at) > 2 * len(rows) + KEPT:
            # Danger: with the newest forgotten too, all who follow would be told the whole list at once.
            gone = [node for node in self.at if node not in rows]
            for node in gone[: len(gone) // 2]:
                self.floor = self.at.pop(node)
        return True

    def told(self, have: Any) -> dict[str, Any]:
        """What one that has that number lacks; -1 or any other that is none: all of it."""
        if type(have) is not int or not self.floor <= have <= self.rev or have < 0:
            return {"limiters": [one.pack() for one in self.rows.values()]}
        news = list[str]()
        for node, at in reversed(self.at.items()):
            if at <= have:
                break
            news.append(node)
        return {
            "limiters": [self.rows[node].pack() for node in news if node in self.rows],
            "gone": [node for node in news if node not in self.rows],
        }


def read_list(answer: Mapping[str, Any], known: Iterable[Limiter]) -> dict[str, Limiter]:
    """The list that an answer makes of the one known; Unfit where it is none."""
    rows = {one.node: one for one in map(read_limiter, answer["limiters"])}
    if "gone" not in answer:
        return rows
    gone = answer["gone"]
    if not isinstance(gone, list) or not all(isinstance(one, str) and len(one) <= MOST_TEXT for one in gone):
        raise Unfit("read a list of limiters", "gone", f"expected names: {gone!r}"[:200])
    return {
        node: one for node, one in ({one.node: one for one in known} | rows).items() if node not in set(gone)
    }
