"""What gates must know: unreachable and slow addresses, disks in trouble, clocks; told to them by files.

Owns these files. Cuts overlap: an address is reached again once the last cut that holds it has ended.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable
from dataclasses import dataclass, field
from pathlib import Path

DISK, FULL, STALLED, SLOW = "disk=", "full", "stalled", "slow"  # a word on a machine's disk, what it may say
LINK = "slow="  # a word on an address to which bytes go slowly
CLOCK = "clock="  # a word on the time of day: s that it is off
Pair = tuple[int, str]  # a machine's number, and an address that it can't reach


@dataclass(slots=True)
class Cuts:
    folder: Path
    held: Counter[Pair] = field(default_factory=Counter)
    slow: Counter[Pair] = field(default_factory=Counter)
    disks: dict[int, str] = field(default_factory=dict)  # what is wrong with a machine's disk
    clocks: dict[int, float] = field(default_factory=dict)  # s that a machine's time of day is off

    def path(self, machine: int | str) -> Path:
        return self.folder / f"gate-{machine}"

    def begin(self, pairs: Iterable[Pair]) -> None:
        self.held.update(pairs)
        self.write()

    def end(self, pairs: Iterable[Pair]) -> None:
        self.held.subtract(pairs)
        self.held = +self.held
        self.write()

    def slow_down(self, pairs: Iterable[Pair]) -> None:
        self.slow.update(pairs)
        self.write()

    def speed_up(self, pairs: Iterable[Pair]) -> None:
        self.slow.subtract(pairs)
        self.slow = +self.slow
        self.write()

    def clock(self, machine: int, off_s: float) -> None:
        """Step that machine's time of day; it stays so."""
        self.clocks[machine] = self.clocks.get(machine, 0.0) + off_s
        self.write()

    def disk(self, machine: int, trouble: str) -> None:
        """What is wrong with that machine's disk from now on; nothing by an empty text."""
        self.disks[machine] = trouble
        self.write()

    def write(self) -> None:
        """Each file whole or not at all: a gate may read it at any moment."""
        known = {machine for table in (self.held, self.slow) for machine, _ in table}
        for machine in known | self.written() | self.disks.keys() | self.clocks.keys():
            words = sorted({address for number, address in self.held if number == machine})
            words += sorted({LINK + address for number, address in self.slow if number == machine})
            if off_s := self.clocks.get(machine):
                words.append(f"{CLOCK}{off_s:g}")
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
