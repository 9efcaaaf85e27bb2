"""Documents as they are told on: made small, carried whole if they are little, else named and fetched.

Owns these forms and how pieces make a document again. No I/O, no clock. It must never touch what members
agree with: whoever decides gets the document whole, or no message at all.
"""

from __future__ import annotations

import zlib
from collections.abc import Iterator
from dataclasses import replace
from hashlib import blake2b
from typing import Any

from finchshelf.agreement.core import Message, Value, is_in_newer_form

MOST = 16 << 20  # bytes of a document, as much as a frame may have
LEVEL = 6  # 10 ms for a thousand routes, once a value, and a tenth of the bytes or less
# bytes of a small form that go with the message itself, and of a piece: a tenth of a second at 2 Mbit/s, so
# that the beats which go the same way are not held up for longer
INLINE = PIECE = 16 << 10
NEWS = 2 << 10  # the same of what is told with the news: that comes from several, and is fetched once
LITTLE = 1024  # bytes of a document below which nothing is gained
SLOWEST = 100_000  # bytes a second that a document comes with at least: 2 Mbit/s, shared by two who fetch it
KEPT = 4  # documents on a shelf: the newest, and older ones that somebody fetches
KEPT_BYTES = 32 << 20  # of them all; two are kept whatever they have
NAME = 16  # bytes of a digest: by it a document is known to be the one that was decided


class Lacking(Exception):
    """Whoever was asked does not hold that document (any more)."""


class Shelf:
    """Documents at hand, with their small forms. All who ask are told the same form.

    Danger: a document must not leave while somebody fetches it piece by piece: with changes that come faster
    than it does over a thin link, he would begin anew each time and never be current. What was asked for last
    leaves last."""

    def __init__(self) -> None:
        self.rows: dict[bytes, tuple[bytes, bytes]] = {}  # by digest: document, small form if it was needed

    def put(self, document: bytes, small: bytes = b"") -> bytes:
        """Its digest."""
        name = next((name for name, row in self.rows.items() if row[0] is document), b"") or digest(document)
        known = self.rows.pop(name, (document, small))
        self.rows[name] = known[0], known[1] or small
        while len(self.rows) > KEPT or (len(self.rows) > 2 and self.size() > KEPT_BYTES):
            del self.rows[next(iter(self.rows))]
        return name

    def size(self) -> int:
        return sum(len(document) + len(small) for document, small in self.rows.values())

    def find(self, name: bytes) -> bytes | None:
        if name not in self.rows:
            return None
        self.rows[name] = self.rows.pop(name)
        return self.rows[name][0]

    def small(self, name: bytes) -> bytes:
        document, small = self.rows[name]
        if not small:
            small = zlib.compress(document, LEVEL)
            self.rows[name] = document, small
        return small

    def told(self, name: bytes, inline: int = INLINE) -> Message:
        """The document with a message, or where to ask for it."""
        small = self.small(name)
        return {"zip": small} if len(small) <= inline else {"at": [name, len(small)]}

    def takes(self, document: bytes) -> float:
        """Seconds that the document takes on its way, beside the message: none if it goes with that."""
        size = len(self.small(self.put(document))) if len(document) > INLINE else 0
        return size / SLOWEST if size > INLINE else 0.0

    def piece(self, name: Any, at: Any) -> Message:
        if not isinstance(name, bytes) or type(at) is not int or at < 0:
            raise ValueError("expected a digest and a number of bytes")
        if self.find(name) is None:
            return {"lacking": True}
        small = self.small(name)
        return {"form": digest(small), "size": len(small), "bytes": small[at : at + PIECE]}

    # ---- news ----

    def pack(self, value: Value, have: dict[str, Any]) -> Message:
        """`have`: what the asker says of itself; `document` the digest of the one it holds, `zip` and
        `pieces` whether it reads small ones and fetches large ones. One of an older text is told all."""
        if "zip" not in have or not value.document:
            return value.pack()
        name, packed = self.put(value.document), replace(value, document=b"").pack()
        # Danger: each change of the core's members would bring the whole document to all limiters again.
        if have.get("document") == name:
            return packed
        return {**packed, **(self.told(name, NEWS) if "pieces" in have else {"zip": self.small(name)})}

    # ---- agreement ----

    def slim(self, message: Message, held: set[bytes]) -> tuple[Message, list[bytes]]:
        """The same message for a peer that has the documents of these digests, and the digests of its own."""
        names = list[bytes]()

        def lean(packed: Message) -> Message:
            document = packed["document"]
            # Danger: an older text would read a value with its document elsewhere as one without. It can't
            # read one at all whose memory of orders is in the newer form.
            if len(document) <= LITTLE or not is_in_newer_form(packed):
                return packed
            names.append(name := self.put(document))
            more = {"at": [name, 0]} if name in held else self.told(name)
            return {**packed, "document": b"", **more}

        return changed(message, lean), names

    def wanted(self, message: Message) -> list[bytes]:
        """Digests of what must be fetched before the message is whole; small forms are taken out of it."""
        found = list[bytes]()
        for packed in values(message):
            if "zip" in packed:
                document = expand(packed["zip"])
                packed["at"] = [self.put(document, packed.pop("zip")), 0]
            if (name := elsewhere(packed)) and self.find(name) is None:
                found.append(name)
        return found

    def fat(self, message: Message, fetched: dict[bytes, bytes]) -> Message:
        """The message with its documents; `fetched`: those that were not on the shelf."""

        def whole(packed: Message) -> Message:
            name = elsewhere(packed)
            if not name:
                return packed
            document = fetched.get(name) or self.find(name)
            if document is None:
                raise Lacking(name.hex())
            return {key: one for key, one in packed.items() if key != "at"} | {"document": document}

        return changed(message, whole)


class Part:
    """A document as far as it has come. What came stays, whoever tells the rest of it."""

    def __init__(self, name: bytes) -> None:
        self.name, self.form, self.held = name, b"", bytearray()

    def question(self) -> Message:
        return {"op": "piece", "document": self.name, "at": len(self.held)}

    def take(self, answer: Message) -> bytes | None:
        """The document once it is whole. Lacking: this peer has none; ValueError, TypeError, KeyError:
        rubbish."""
        if answer.get("lacking"):
            raise Lacking(self.name.hex())
        form, size, data = answer["form"], answer["size"], answer["bytes"]
        if (
            not isinstance(form, bytes)
            or type(size) is not int
            or not 0 < size <= MOST
            or not isinstance(data, bytes)
        ):
            raise ValueError("no piece")
        if form != self.form:
            # Danger: another peer may pack tighter or less so; pieces of two forms make none.
            begun, self.form, self.held = bool(self.held), form, bytearray()
            if begun:
                return None
        if not data or len(self.held) + len(data) > size:
            self.form, self.held = b"", bytearray()
            raise ValueError("a piece beyond the end")
        self.held += data
        if len(self.held) < size:
            return None
        small, self.form, self.held = bytes(self.held), b"", bytearray()
        document = expand(small)
        if digest(document) != self.name:  # Danger: only the document that was decided may be learned
            raise ValueError("another document")
        return document


def values(message: Message) -> Iterator[Message]:
    """The values in a message or reply: what is proposed or decided, and what was accepted."""
    if isinstance(message.get("value"), dict):
        yield message["value"]
    accepted = message.get("accepted")
    if isinstance(accepted, list) and len(accepted) == 2 and isinstance(accepted[1], dict):
        yield accepted[1]


def changed(message: Message, change: Any) -> Message:
    given = [change(packed) for packed in values(message)]
    if not given:
        return message
    if isinstance(message.get("value"), dict):
        return {**message, "value": given[0]}
    return {**message, "accepted": [message["accepted"][0], given[0]]}


def digest(document: bytes) -> bytes:
    return blake2b(document, digest_size=NAME).digest()


def slower(message: Message) -> float:
    """Seconds more that a reply may take, where documents that the message names must be fetched first."""
    return float(sum(packed["at"][1] for packed in values(message) if elsewhere(packed)) / SLOWEST)


def elsewhere(packed: Message) -> bytes:
    """The digest of a document that does not come with its value; empty where there is none to ask for."""
    if "at" not in packed:
        return b""
    name, size = packed["at"]
    if not isinstance(name, bytes) or len(name) != NAME or type(size) is not int or not 0 <= size <= MOST:
        raise ValueError("at: expected a digest and a size")
    return name


def expand(small: Any) -> bytes:
    reader = zlib.decompressobj()
    try:
        document = reader.decompress(small, MOST)
    except zlib.error as error:
        raise ValueError(f"document: {error}") from None
    if not reader.eof:  # Danger: a few kB of rubbish can be made to fill all memory
        raise ValueError("document: cut off, or too large")
    return document


def unpack(packed: Any) -> Value:
    """The value; its document empty where the asker holds it, or must ask for it (`elsewhere`). KeyError,
    TypeError or ValueError if this is none."""
    value = Value.unpack(packed)
    elsewhere(packed)
    return replace(value, document=expand(packed["zip"])) if "zip" in packed else value
