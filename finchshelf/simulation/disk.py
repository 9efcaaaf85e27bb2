"""A disk in memory with the interface of `agreement.store.Store`.

Owns what lasts: what is synced, and what a write under way leaves behind. It must never keep what a wipe
took.
"""

from __future__ import annotations

from random import Random
from typing import Any

import msgpack
import trio

from finchshelf.agreement.store import Fault, State, StoreError
from finchshelf.simulation.network import Life, current

COMMIT = 0.004  # s of a save
SLOW = 50  # times that, of a disk in trouble


class Disk:
    folder = "/data"

    def __init__(self, random: Random) -> None:
        self.random = random
        self.synced: bytes | None = None
        self.pending: bytes | None = None
        self.mode = "well"  # full, slow, hang
        self.folders: dict[str, Disk] = {}

    def at(self, folder: str) -> Disk:
        """The copy of the cell's servers stands in a folder of its own on the same disk."""
        return self.folders.setdefault("cells", Disk(self.random)) if folder.endswith("cells") else self

    def load(self) -> tuple[State | None, list[Fault]]:
        return (None if self.synced is None else msgpack.unpackb(self.synced)), []

    def save(self, state: State) -> None:
        raise AssertionError("a save that holds the whole program up")

    async def write(self, state: State) -> None:
        """A save as a thread does it: it can't be called off, only its process can end."""
        life = current.get()
        with trio.CancelScope(shield=True):
            if self.mode == "full":
                await self.spend(life, COMMIT)
                raise StoreError("write", life.machine.host, "no room")
            self.pending = packed = msgpack.packb(state)
            await self.spend(life, COMMIT * (SLOW if self.mode == "slow" else 1))
            while self.mode == "hang" and life.alive:
                await self.spend(life, 0.05)
            if life.alive:
                self.synced, self.pending = packed, None

    async def spend(self, life: Life, seconds: float) -> None:
        with trio.move_on_after(seconds):
            await life.ended.wait()

    def cut_off(self) -> None:
        """Its process or its power went: a save under way is there, or it is not."""
        if self.pending is not None and self.random.random() < 0.5:
            self.synced = self.pending
        self.pending = None
        for disk in self.folders.values():
            disk.cut_off()

    def wipe(self) -> None:
        self.synced = self.pending = None
        self.folders.clear()


async def run_sync(work: Any, *given: Any, **_: Any) -> Any:
    """In place of a thread: the work at once, after the time that it takes."""
    owner = getattr(work, "__self__", None)
    if isinstance(owner, Disk):
        return await owner.write(*given)
    await trio.sleep(0.0005)
    return work(*given)
