"""Messages between limiters: what they let in, as bytes, and bytes as that.

Owns the form of a message, for every carrier. It must never decide anything; what is no message harms
nobody.
"""

from __future__ import annotations

from finchshelf.admission import interface as i

SIZE = 6  # bytes of one use: 33 bits of customer, 4 of plan, 1 for counted, 10 of units
MOST = 256 // SIZE  # uses of one message


def encode(uses: tuple[i.Use, ...]) -> bytes:
    return b"".join(
        (use.customer << 15 | use.plan << 11 | use.counted << 10 | min(use.units, 1023)).to_bytes(SIZE, "big")
        for use in uses
    )


def decode(body: bytes, plans: int) -> tuple[i.Use, ...]:
    """The uses; none if these bytes are no message, or name a plan that the settings don't have."""
    if not body or len(body) % SIZE or len(body) > MOST * SIZE:
        return ()
    numbers = [int.from_bytes(body[at : at + SIZE], "big") for at in range(0, len(body), SIZE)]
    uses = tuple(i.Use(n >> 15, n >> 11 & 15, n & 1023, bool(n >> 10 & 1)) for n in numbers)
    return uses if all(use.plan < plans and use.units for use in uses) else ()
