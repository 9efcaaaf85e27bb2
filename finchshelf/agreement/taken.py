"""What a decided value remembers of operators' orders: which were taken, and which may never be.

Owns the form of that memory, in the value and on disk, and its bounds. It must never forget that it forgot:
where it can't tell whether an order was taken, it says so.

Versions only rise along the chain of decided values, so entries stand in order of version and each has one.

There are two forms. An older text reads and writes the first one only; a value that has it keeps it, byte by
byte, until whoever makes the next value knows that all read the second (`controlplane/forms.py`). A value in
the second form is none to an older text: it can't take it for another, or for one without its document.
"""

from __future__ import annotations

from dataclasses import dataclass, replace
from itertools import pairwise
from struct import Struct
from typing import Any, Literal

KEPT = 1024  # orders remembered one by one: over a day at 890 changes a day, 12 KiB in each decided value
BARRED = 64  # orders barred at once: an order whose base is not there yet is a mistake, or very early
DIGEST = 8  # bytes kept of an order's digest: two of one number are alike by chance once in 10^19
NUMBER = 4  # bytes of a version: eight hexadecimal digits
ENTRY = NUMBER + DIGEST
VERSIONS = Struct(f">I{DIGEST}x")  # of an entry its version
MOST_VERSION = (1 << 8 * NUMBER) - 1
OLDER_KEPT = 64  # orders in the first form; it tells not whether any were forgotten

Fate = Literal["taken", "not taken", "forgotten"]


def _entry(number: int, digest: bytes) -> bytes:
    return number.to_bytes(NUMBER, "big") + digest[:DIGEST].ljust(DIGEST, b"\0")


@dataclass(frozen=True, slots=True)
class Taken:
    """`kept`: an entry of version and digest for each order taken above version `forgotten`, in order.
    `barred`: an entry of base and digest for each order that was refused before its base came. `older`:
    version and whole digest of each that is kept, if it is in the first form, which has no bars.

    Danger: a list that just drops its oldest would call an order taken long ago a stranger, and a late copy
    of it would be refused after it was acknowledged."""

    forgotten: int = 0
    kept: bytes = b""
    barred: bytes = b""
    older: tuple[tuple[int, bytes], ...] = ()

    def fate(self, version: int, digest: bytes) -> Fate:
        low, high = 0, len(self.kept) // ENTRY
        while low < high:
            middle = (low + high) // 2
            if self._version(middle) < version:
                low = middle + 1
            else:
                high = middle
        if self.kept[low * ENTRY : (low + 1) * ENTRY] == _entry(version, digest):
            return "taken"
        return "forgotten" if version <= self.forgotten else "not taken"

    def renewed(self) -> bool:
        """Is it in the second form? It stays in that. None remembered, it is in both."""
        return not self.older and self != NOTHING

    def add(self, version: int, digest: bytes, newer: bool = True) -> Taken:
        """With this order, whose version is above all others', taken. `newer`: may it be in the second form?

        Danger: of a digest cut short, an older member would not know its order again, and refuse it."""
        if not newer and not self.renewed():
            return _older([*self.older, (version, digest)][-OLDER_KEPT:])
        kept = self.kept + _entry(version, digest)
        out = max(0, len(kept) - KEPT * ENTRY)
        forgotten = int.from_bytes(kept[out - ENTRY : out - DIGEST], "big") if out else self.forgotten
        # What builds on a version that is past needs no bar: it is refused by its base.
        barred = b"".join(one for one in _split(self.barred) if one[:NUMBER] >= kept[-ENTRY:-DIGEST])
        return Taken(forgotten, kept[out:], barred)

    def bar(self, prior: int, digest: bytes, newer: bool = True) -> Taken | None:
        """With this order, which builds on a version that is not there yet, barred; None if there is no room,
        as there is none in the first form.

        Danger: a bar that made room for another would let its order be taken after it was refused."""
        if not newer and not self.renewed():
            return None
        if len(self.barred) >= BARRED * ENTRY:
            return None
        return Taken(self.forgotten, self.kept, self.barred + _entry(prior, digest))

    def is_barred(self, prior: int, digest: bytes) -> bool:
        return _entry(prior, digest) in _split(self.barred)

    def _version(self, at: int) -> int:
        return int.from_bytes(self.kept[at * ENTRY : at * ENTRY + NUMBER], "big")

    def in_newest_form(self) -> Taken:
        """The same in the second form."""
        return replace(self, older=())

    def pack(self) -> list[Any]:
        if not self.renewed():
            return [list(one) for one in self.older]
        return [self.forgotten, self.kept, self.barred]

    @staticmethod
    def unpack(packed: Any) -> Taken:
        """The memory, in whichever form it came; TypeError or ValueError if this is none."""
        if not isinstance(packed, list | tuple):
            raise TypeError("no memory of orders")
        if packed and isinstance(packed[0], list | tuple):
            return _older(packed)
        if not packed:
            return NOTHING
        forgotten, kept, barred = packed
        if type(forgotten) is not int or not 0 <= forgotten <= MOST_VERSION:
            raise ValueError("no version")
        for part, most in ((kept, KEPT), (barred, BARRED)):
            if not isinstance(part, bytes) or len(part) % ENTRY or len(part) > most * ENTRY:
                raise ValueError("no entries")
        # Danger: looked up by halves, entries out of order would hide an order that was taken.
        versions = [forgotten, *(version for (version,) in VERSIONS.iter_unpack(kept))]
        if any(after <= before for before, after in pairwise(versions)):
            raise ValueError("entries out of order")
        return Taken(forgotten, kept, barred)


NOTHING = Taken()


def is_renewed(packed: Any) -> bool:
    """Is this packed memory in the second form?"""
    return isinstance(packed, list | tuple) and bool(packed) and not isinstance(packed[0], list | tuple)


def _older(packed: Any) -> Taken:
    """The first form: a list of version and whole digest."""
    entries = list[tuple[int, bytes]]()
    for version, digest in packed:
        if type(version) is not int or not 0 < version <= MOST_VERSION or not isinstance(digest, bytes):
            raise ValueError("no order")
        entries.append((version, digest))
    forgotten = entries[0][0] - 1 if len(entries) >= OLDER_KEPT else 0
    kept = b"".join(_entry(*one) for one in entries)
    return replace(Taken.unpack([forgotten, kept, b""]), older=tuple(entries))


def _split(entries: bytes) -> list[bytes]:
    return [entries[at : at + ENTRY] for at in range(0, len(entries), ENTRY)]
