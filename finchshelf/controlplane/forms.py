"""Which forms of our words the other control planes read: when decided values may take on a newer one.

Owns what each of them last said of itself. No I/O, no clock. It must never let a value be made that a control
plane there can't read, on a guess: while one has not said what it reads, it is of an older text.

This is a version gate: machines are renewed one after the other, and what an older one can't read is not said
before the last of them has gone. Once it is said, it stays: an older text can't come back.
"""

from __future__ import annotations

from collections.abc import Collection

from finchshelf.agreement.core import Value
from finchshelf.agreement.forms import FORM, OLDEST_FORM, ORDERS_FORM, TRANSITIONS_FORM
from finchshelf.agreement.taken import NOTHING

MOST = 256  # control planes whose form is remembered


class Forms:
    def __init__(self, me: str) -> None:
        self.me = me
        self.said: dict[str, int] = {}

    def heard(self, address: str, form: int) -> None:
        self.said.pop(address, None)
        self.said[address] = form
        if len(self.said) > MOST:
            del self.said[next(iter(self.said))]

    def newer(self, value: Value, named: Collection[str]) -> bool:
        """May the value after this one remember orders in the second form? `named`: the control planes there
        are."""
        # Danger: a fresh core of which one machine never came up would send whole documents for good.
        unheard = ORDERS_FORM if value.taken == NOTHING else OLDEST_FORM
        return self.all_read(ORDERS_FORM, unheard, value, named)

    def transitions(self, value: Value, named: Collection[str]) -> bool:
        """May the value after this one hold transitions? Once one does, all later ones may."""
        return bool(value.transitions) or self.all_read(TRANSITIONS_FORM, OLDEST_FORM, value, named)

    def all_read(self, form: int, unheard: int, value: Value, named: Collection[str]) -> bool:
        """`unheard`: the form that is assumed of a control plane that has not said any."""
        others = ({member.address for member in value.members} | set(named)) - {self.me}
        return all(self.said.get(one, unheard) >= form for one in others)

    def unread(self, address: str, value: Value | None) -> bool:
        """Is what is decided beyond that control plane?"""
        if value is None:
            return False
        needed = (
            TRANSITIONS_FORM if value.transitions else ORDERS_FORM if value.taken.renewed() else OLDEST_FORM
        )
        return self.said.get(address, FORM) < needed
