"""Request bodies that are too large to keep: a replay window of the first bytes, then one piece at a time.

Owns what is held of such a body between its client's connection, which puts, and the attempt that it goes to,
which takes; and how much all windows may hold together. It must never hold more of a body than its window and
what one read brought, give a byte behind the window twice, touch a socket, or decide whether a request is
sent again: it only tells whether its bytes are still at hand (`Body.again`). Design: `docs/uploads.md`.
"""

from __future__ import annotations

from collections.abc import Callable

import trio

WINDOW = 65536  # bytes that can be sent again; up to as many are read whole before anything is decided
PIECE = 16384  # bytes read of a streamed body at once, and the window where room is short
SHARE = 8  # part of the memory limit that all windows may hold together: one in so many


class Cut(Exception):
    """The rest of the body will not come, or goes to another attempt by now."""


class Room:
    """What the windows of all bodies hold together, in bytes."""

    def __init__(self, memory: int) -> None:
        """`memory`: the node's limit in bytes."""
        self.most, self.held = memory // SHARE, 0

    def window(self) -> int:
        """The size of one more window: less where all hold enough, never nothing."""
        return WINDOW if self.held + WINDOW <= self.most else PIECE


class Body:
    """One body on its way. `length`: bytes, None where only its end will tell. `wanted`: called once, when an
    attempt first waits for bytes (100 Continue). One attempt at a time is its `reader`."""

    __slots__ = (
        "broken",
        "length",
        "lot",
        "piece",
        "position",
        "reader",
        "room",
        "size",
        "wanted",
        "whole",
        "window",
    )

    def __init__(
        self, room: Room, first: bytes, length: int | None = None, wanted: Callable[[], None] | None = None
    ) -> None:
        self.room, self.length, self.wanted = room, length, wanted
        self.size = max(len(first), room.window())
        self.window: bytearray | None = bytearray(first)
        self.piece = bytearray()  # behind the window, not yet taken
        self.position = len(first)  # bytes of the body up to `piece`
        self.reader: object = None
        self.whole = self.broken = False
        self.lot = trio.lowlevel.ParkingLot()
        room.held += self.size

    @property
    def again(self) -> bool:
        """Is every byte that an attempt took still at hand?"""
        return self.window is not None and not self.broken

    # ---- for the client's connection ----

    def put(self, data: bytes | bytearray) -> None:
        """What came next; whoever puts waits for `taken` before it reads more."""
        window = self.window
        if window is not None and not self.piece and len(window) + len(data) <= self.size:
            window += data
            self.position = len(window)
        else:
            self.piece += data
        self.lot.unpark_all()

    async def taken(self) -> None:
        """Wait until there is room for another piece, or nobody wants one."""
        while self.piece and not self.broken:
            await self.lot.park()

    def end(self) -> None:
        """All has been put."""
        self.whole = True
        self.lot.unpark_all()

    def cut(self) -> None:
        """No attempt gets more of it; nothing is held any longer. Harmless twice."""
        self.broken = True
        self.piece.clear()
        self.let_go()
        self.lot.unpark_all()

    def let_go(self) -> None:
        if self.window is not None:
            self.window = None
            self.room.held -= self.size

    # ---- for an attempt ----

    async def take(self, reader: object, at: int) -> bytes:
        """The bytes from `at` on, `PIECE` at most of the window; none at the end. Raises Cut."""
        while True:
            # Danger: an attempt that has ended takes a piece before its task hears of that; another lacks it.
            if self.broken or self.reader is not reader:
                raise Cut
            if self.window is not None and at < len(self.window):
                return bytes(self.window[at : at + PIECE])
            if at != self.position:  # Danger: a body with a hole in it, served as the client's
                raise Cut
            if self.piece:
                data = bytes(self.piece)
                self.piece.clear()
                self.let_go()
                self.position += len(data)
                self.lot.unpark_all()
                return data
            if self.whole:
                return b""
            if self.wanted is not None:
                wanted, self.wanted = self.wanted, None
                wanted()
            await self.lot.park()
