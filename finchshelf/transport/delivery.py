"""How much of a request has gone out to a server, and whether it may have run there.

Owns the one answer to that question. The code that writes to a server's connection moves a delivery on;
whoever ends a try asks it. It must never be reckoned from how a try ended, and never goes back: bytes that
are out stay out, and only the server's own word makes it certain that what it got has not run.
"""

from __future__ import annotations

from enum import Enum


class Begins(Enum):
    """How much of a request a server has when it may begin to work on it, by the protocol spoken to it."""

    ANY_BYTE = "any byte"
    WHOLE = "whole"


class Delivery:
    """One request on its way to one server. `bytes_sent`: as far as the kernel took them; `whole`: the last
    one is among them; `refused`: the server said that it has not run the request."""

    __slots__ = ("begins", "bytes_sent", "refused", "whole")

    def __init__(self, begins: Begins) -> None:
        self.begins, self.bytes_sent = begins, 0
        self.whole = self.refused = False

    def note(self, size: int) -> None:
        """So many more bytes are out."""
        self.bytes_sent += size

    @property
    def may_have_run(self) -> bool:
        if self.refused:
            return False
        return self.whole if self.begins is Begins.WHOLE else self.bytes_sent > 0
