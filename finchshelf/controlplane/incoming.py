"""The newest decided value whose document is still on its way to this control plane.

Owns which peers have named it. It must never call a value known to a peer that has not named it once its
document is late: whoever is asked for it may stand still, and the others would say nothing.
"""

from __future__ import annotations

NO_SLOT = -1
LATE_S = 0.4  # s that a document may take until others are asked whether they have it too


class Incoming:
    def __init__(self) -> None:
        self.slot, self.since = NO_SLOT, 0.0
        self.named_by: set[str] = set()

    def begin(self, slot: int, address: str, now: float) -> None:
        """That peer named a newer value; its document is asked for."""
        self.slot, self.since, self.named_by = slot, now, {address}

    def name(self, address: str) -> None:
        """That peer has it too."""
        self.named_by.add(address)

    def end(self, slot: int) -> None:
        """The document of that slot came, or can't be had now."""
        if self.slot == slot:
            self.slot = NO_SLOT
            self.named_by.clear()

    def known_to(self, address: str, now: float) -> int:
        """The slot that the peer need not tell of; none where its word may be needed."""
        late = now - self.since > LATE_S
        return NO_SLOT if late and address not in self.named_by else self.slot
