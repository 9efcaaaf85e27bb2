"""The cell's servers on disk: a control plane that starts again need not wait for their next beats, and has
not forgotten which of them were acknowledged to leave.

Owns the copy on disk and when it is written. What it gives back of servers that stay is only a guess until
they beat again: it must never outlive a newer record, or bring back what left.
"""

from __future__ import annotations

import math
from collections.abc import Callable
from typing import Any

import trio

from finchshelf.agreement.store import Store, StoreError
from finchshelf.controlplane.cells import Cells

EVERY = 0.5  # s between two looks at whether there is something new to keep
RENEW = 15.0  # s after which the copy is written again, so that its age tells when it was true
# s of age from which a copy is not used. Danger: others forget a server that left after `cells.GONE_KEPT`,
# and nobody would contradict a copy from before it left.
OLD = 40.0


class Memory:
    def __init__(self, store: Store, cells: Cells, log: Callable[..., None]) -> None:
        self.store, self.cells, self.log = store, cells, log
        self.kept = -1  # the tables' change that is on disk
        self.saved = trio.Event()  # set at the next save
        self.awaited = trio.Event()  # somebody waits for one

    def recall(self, now: float) -> int:
        """Take what the disk holds as heard just now: it has as long to beat as any other. How many."""
        state, _ = self.store.load()
        at = state.get("at", now) if state is not None else now  # one of an older text has no time
        if state is None or not isinstance(at, int | float) or not abs(now - at) <= OLD:
            return 0
        versions: dict[str, str] = state.get("versions", {})
        rows: list[Any] = [[*row, versions.get(row[0], ""), 0] for row in state.get("servers", [])]
        return self.cells.recall(rows, now)

    async def written(self) -> None:
        """Return once the tables as they are now are on disk; for good while the disk takes nothing."""
        rev = self.cells.servers.rev
        while self.kept < rev:
            self.awaited.set()
            await self.saved.wait()

    async def run(self, now: Callable[[], float]) -> None:
        at = -math.inf
        while True:
            with trio.move_on_after(EVERY):
                await self.awaited.wait()
            self.awaited = trio.Event()
            rev = self.cells.servers.rev
            if rev == self.kept and now() - at < RENEW:
                continue
            # Danger: without those that leave and those that left, an older copy on another disk, where they
            # are stable, would be the only word of them after all control planes were lost at once.
            records = [record for record in self.cells.servers.rows.values() if not record.lost]
            rows = [record.pack(now()) for record in records]
            # Beside the rows: a text put back to an older one reads those, and ends where it can't.
            versions = {record.id: record.version for record in records if record.version}
            try:
                at = now()
                await trio.to_thread.run_sync(
                    self.store.save, {"servers": rows, "versions": versions, "at": at}
                )
                self.kept = rev
                saved, self.saved = self.saved, trio.Event()
                saved.set()
            except StoreError as error:  # a full disk: the next beats tell as well
                self.log("disk.refused", step=error.step, path=error.path)
                await trio.sleep(EVERY * 4)
