"""Which machines can't reach which addresses now, and whose disk is in trouble: told to the gates by files.

Owns these files. Cuts overlap: an address is reached again once the last cut that holds it has ended.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable
from dataclasses import dataclass, field
from pathlib import Path

DISK, FULL, STALLED = "disk=", "full", "stalled"  # a word on a machine's disk, and what it may say
Pair = tuple[int, str]  # a machine's number, and an address that it can't reach


@dataclass(slots=True)
class Cuts:
    folder: Path
    held: Counter[Pair] = field(default_factory=Counter)
    disks: dict[int, str] = field(default_factory=dict)  # what is wrong with a machine's disk

    def path(self, machine: int | str) -> Path:
        return self.folder / f"gate-{machine}"

    def begin(self, pairs: Iterable[Pair]) -> None:
        self.held.update(pairs)
        self.write()

    def end(self, pairs: Iterable[Pair]) -> None:
        self.held.subtract(pairs)
        self.held = +self.held
        self.write()

    def disk(self, machine: int, trouble: str) -> None:
        """What is wrong with that machine's disk from now on; nothing by an empty text."""
        self.disks[machine] = trouble
        self.write()

    def write(self) -> None:
        """Each file whole or not at all: a gate may read it at any moment."""
        for machine in {machine for machine, _ in self.held} | self.written() | self.disks.keys():
            words = sorted({address for number, address in self.held if number == machine})
            if trouble := self.disks.get(machine):
                words.append(DISK + trouble)
            waiting = self.path(f"{machine}.new")
            waiting.write_text("".join(f"{word}\n" for word in words))
            waiting.replace(self.path(machine))

    def written(self) -> set[int]:
        return {
            int(path.name.removeprefix("gate-"))
            for path in self.folder.glob("gate-*")
            if path.name.removeprefix("gate-").isdigit()
        }


def both_ways(machines: Iterable[int], others: Iterable[int], ip: dict[int, str]) -> list[Pair]:
    """The pairs of a cut between two groups of machines."""
    first, second = list(machines), list(others)
    pairs = [(one, ip[other]) for one in first for other in second]
    return pairs + [(other, ip[one]) for one in first for other in second]
