"""The cell's servers on disk, so that a control plane which starts again need not wait for their next beats.

Owns the copy on disk and when it is written. What it gives back is only a guess until a server beats again:
it must never acknowledge anything, outlive a newer record, or hold anything up.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

import trio

from finchshelf.agreement.store import Store, StoreError
from finchshelf.controlplane.cells import Cells

EVERY = 0.5  # s between two looks at whether there is something new to keep


class Memory:
    def __init__(self, store: Store, cells: Cells, log: Callable[..., None]) -> None:
        self.store, self.cells, self.log = store, cells, log
        self.kept = -1  # the tables' change that is on disk

    def recall(self, now: float) -> int:
        """Take what the disk holds as heard just now: it has as long to beat as any other. How many."""
        state, _ = self.store.load()
        rows: list[Any] = state.get("servers", []) if state is not None else []
        return self.cells.recall(rows, now)

    async def run(self, now: Callable[[], float]) -> None:
        while True:
            await trio.sleep(EVERY)
            rev = self.cells.servers.rev
            if rev == self.kept:
                continue
            rows = [row.pack(now()) for row in self.cells.servers.rows.values() if row.usable()]
            try:
                await trio.to_thread.run_sync(self.store.save, {"servers": rows})
                self.kept = rev
            except StoreError as error:  # a full disk: the next beats tell as well
                self.log("disk.refused", step=error.step, path=error.path)
                await trio.sleep(EVERY * 4)
