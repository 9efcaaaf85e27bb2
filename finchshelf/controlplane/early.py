"""Orders whose base is not there yet: how many wait for it, and how long each is only told to come again.

Owns, for one control plane, the places to wait and since when each early order is known. No I/O, no clock. It
must never rule on an order: that is `agreement.orders`', and done anew after each wait.

Both bounds are of this control plane's memory alone. Where it forgets, an order is told for longer that there
is no clear answer, which is always true.
"""

from __future__ import annotations

from finchshelf.agreement.orders import Order

# s that an order waits for its base: many times what one under way takes to be decided, and well under the
# second of silence after which its operator asks another
WAIT = 0.4
ROOM = 16  # orders that wait at once: twice those under way
# s from an order's first copy until it is refused: whoever lost the answer to its base sends that again after
# a second of silence, and once more after a pause that grows
PATIENCE = 5.0
KNOWN = 64  # orders whose first copy is remembered
FORGOTTEN = 60.0  # s after its last copy from which an order is new


class Early:
    def __init__(self) -> None:
        self.waiting = 0
        self.seen: dict[Order, tuple[float, float]] = {}  # its first copy, its last

    def begin(self) -> bool:
        """Is there a place to wait? `end` gives it back."""
        if self.waiting >= ROOM:
            return False
        self.waiting += 1
        return True

    def end(self) -> None:
        self.waiting -= 1
        assert self.waiting >= 0, "a place was given back twice"

    def may_come(self, order: Order, now: float) -> bool:
        """Is it too soon to refuse it, its base still missing?

        Danger: an operator ends at a refusal, and the base may be sent again a moment later."""
        first, last = self.seen.pop(order, (now, now))
        if now - last > FORGOTTEN:
            first = now
        self.seen[order] = first, now
        if len(self.seen) > KNOWN:
            del self.seen[next(iter(self.seen))]
        return now - first < PATIENCE
