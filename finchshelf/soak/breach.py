"""What the judge says of a rule that was broken."""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass

MOST_SHOWN = 5  # examples of one breach


@dataclass(frozen=True, slots=True)
class Breach:
    rule: str
    what: str

    def __str__(self) -> str:
        return f"{self.rule}: {self.what}"


def told(rule: str, examples: list[str], what: str) -> Iterator[Breach]:
    if examples:
        yield Breach(rule, f"{len(examples)} {what}: {', '.join(examples[:MOST_SHOWN])}")
