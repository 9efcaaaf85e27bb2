"""Questions to the members of a register, for control planes and for the keepers of a roll-out.

Owns one link to each peer, and the documents that go between them. It must never know what is agreed on, take
an answer without a reply for one, or hand on a message whose documents are not whole.
"""

from __future__ import annotations

import trio

from finchshelf.agreement import parcel
from finchshelf.transport.address import address_of
from finchshelf.transport.frames import Link, Message, PeerError
from finchshelf.transport.pieces import Pieces

FETCH = 0.3  # s that a message waits for its documents, less than its sender waits for the reply; then it is
# left, and the fetch goes on: the next attempt finds what came


class Members:
    """Satisfies what `register` asks of its peers."""

    def __init__(self, nursery: trio.Nursery, me: str = "") -> None:
        """`me`: where this process answers for pieces; empty if it does not."""
        self.nursery, self.me = nursery, me
        self.links: dict[str, Link] = {}
        self.shelf = parcel.Shelf()
        self.pieces = Pieces(nursery, self.piece)
        self.sent: dict[str, set[bytes]] = {}  # digests of what each peer was sent, or sent itself

    def link(self, address: str) -> Link:
        found = self.links.get(address)
        if found is None:
            found = self.links[address] = Link(address_of(address), self.nursery)
        return found

    def forget(self, address: str) -> None:
        self.links.pop(address, None)
        self.sent.pop(address, None)

    def reaches(self, address: str) -> bool:
        """Is there a connection to that peer, so that its answer may be on the way?"""
        link = self.links.get(address)
        return link is not None and link.frames is not None

    async def agree(self, address: str, message: Message, limit: float) -> Message:
        """A member's reply; PeerError where there is none within `limit` s."""
        before = set(self.sent.get(address, ()))
        lean = self.slim(message, address)
        question = {"op": "agree", "message": lean, "by": self.me}
        try:
            answer = await self.link(address).ask("agree", question, limit + parcel.slower(lean))
        except PeerError:
            # Danger: taken for told, a document that did not come would get no time to be fetched.
            self.sent[address] = before
            raise
        reply = answer.get("reply")
        if not isinstance(reply, dict):
            raise PeerError("agree", address, "no reply")
        return await self.whole(reply, address)

    def slim(self, message: Message, address: str) -> Message:
        """A message or reply to go to that peer: what it was sent before is only named."""
        if not address or not self.me:
            return message
        held = self.sent.setdefault(address, set())
        lean, names = self.shelf.slim(message, held)
        if names:
            # Danger: the digests of all changes ever made would be kept.
            held.intersection_update(self.shelf.rows)
            held.update(names)
        return lean

    async def whole(self, message: Message, address: str) -> Message:
        """A message or reply that came from that peer, with its documents; PeerError if one is not here."""
        try:
            fetched = dict[bytes, bytes]()
            for name in self.shelf.wanted(message):
                with trio.move_on_after(FETCH + parcel.slower(message)):
                    document = await self.pieces.get(name, address)
                    if document is not None:
                        fetched[name] = document
                        self.shelf.put(document)
            return self.shelf.fat(message, fetched)
        except parcel.Lacking as error:
            raise PeerError("fetch a document", address, str(error)) from None
        except (KeyError, TypeError, ValueError) as error:
            raise PeerError("read a document", address, repr(error)) from None

    def takes(self, document: bytes) -> float:
        return self.shelf.takes(document)

    async def document(self, name: bytes, address: str) -> bytes | None:
        """The document of that digest, once it is here; None if it can't be had now."""
        document = self.shelf.find(name) or await self.pieces.get(name, address)
        if document is not None:
            self.shelf.put(document)
        return document

    def offer(self, name: bytes, address: str) -> None:
        """That peer has the document as well; nothing where it is not on its way."""
        self.pieces.offer(name, address)

    async def piece(self, address: str, question: Message, limit: float) -> Message:
        return await self.link(address).ask("piece", {**question, "control": self.me}, limit)
