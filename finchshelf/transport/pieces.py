"""Fetches documents piece by piece, and goes on where it was when a peer fails.

Owns the fetches of one process. It must never hold up other questions by a large answer, fetch one document
twice at once, or give up what came because the one that told it is gone.
"""

from __future__ import annotations

from collections.abc import Awaitable, Callable

import trio

from finchshelf.agreement.parcel import Lacking, Part
from finchshelf.transport.frames import Message, PeerError

PIECE_WAIT = 3.0  # s for a piece: at 2 Mbit/s it takes a tenth of one, behind a few dozen others this long
SLOW = 0.4  # s after which a piece that has not come is asked of another that has told of the document since
PAUSE = 0.15  # s after a failure
FAILURES = 12  # in a row, after which a fetch ends; what came is kept for the next one
AT_ONCE = 2  # fetches: more would share the link, and none would end in time
KEPT = 2  # parts of documents kept when their fetch has ended

Ask = Callable[[str, Message, float], Awaitable[Message]]


class Way:
    """A document on its way."""

    def __init__(self, part: Part) -> None:
        self.part, self.done = part, trio.Event()
        self.peers: list[str] = []  # who told of it, the last first
        self.asked, self.asking = 0.0, trio.CancelScope()  # the piece asked for: since when
        self.document: bytes | None = None


class Pieces:
    def __init__(self, nursery: trio.Nursery, ask: Ask) -> None:
        self.nursery, self.ask = nursery, ask
        self.ways: dict[bytes, Way] = {}
        self.parts: dict[bytes, Part] = {}

    async def get(self, name: bytes, peer: str) -> bytes | None:
        """The document of that digest, which `peer` told of; None if it can't be had now. Whoever waits may
        be cancelled: the fetch goes on, and the next one to ask finds what came.

        Danger: a fetch that is begun is ended before a newer one takes its link. Were the newest always
        first, changes that come faster than a document does would leave a peer behind for ever."""
        way = self.ways.get(name)
        if way is None:
            if len(self.ways) >= AT_ONCE:
                return None
            way = self.ways[name] = Way(self.parts.pop(name, Part(name)))
            self.nursery.start_soon(self.fetch, way)
        self.offer(name, peer)
        await way.done.wait()
        return way.document

    def offer(self, name: bytes, peer: str) -> None:
        """That peer has the document as well; nothing where it is not on its way."""
        way = self.ways.get(name)
        if way is None or peer in way.peers:
            return
        way.peers.insert(0, peer)
        # Danger: the one that is asked has lost its power, and nobody says so.
        way.asking.deadline = min(way.asking.deadline, max(way.asked + SLOW, trio.current_time()))

    async def fetch(self, way: Way) -> None:
        failures = 0
        try:
            while way.document is None and failures < FAILURES and way.peers:
                peer, way.asked = way.peers[0], trio.current_time()
                wait = PIECE_WAIT if len(way.peers) == 1 else min(PIECE_WAIT, SLOW * 2**failures)
                answer = None
                try:
                    with trio.move_on_after(wait) as way.asking:
                        answer = await self.ask(peer, way.part.question(), PIECE_WAIT)
                    if answer is None:
                        raise PeerError("piece", peer, "slow")
                    way.document = way.part.take(answer)
                    failures = 0
                except Lacking:
                    way.peers.remove(peer)
                except (PeerError, KeyError, TypeError, ValueError):
                    failures += 1
                    way.peers.remove(peer)
                    way.peers.append(peer)
                    await trio.sleep(PAUSE if answer is not None or len(way.peers) == 1 else 0.0)
        finally:
            del self.ways[way.part.name]
            if way.document is None and way.part.held:
                self.parts[way.part.name] = way.part
                while len(self.parts) > KEPT:
                    del self.parts[next(iter(self.parts))]
            way.done.set()
