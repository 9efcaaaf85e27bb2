"""Who tells whom of a value that was decided just now.

Owns that choice. It must never keep a value from whoever asks for it with an older one: what is chosen here
is only who is told while its question already waits.
"""

from __future__ import annotations

from dataclasses import replace

from finchshelf.agreement.core import Value
from finchshelf.agreement.taken import NOTHING
from finchshelf.agreement.transitions import NO_TRANSITIONS
from finchshelf.membership import rendezvous

UNDER_WAY = 0.05  # s in which a decided value comes to the others without being asked for


def tells(decided: Value, me: str, asker: str) -> bool:
    """Does the control plane `me` tell the one that waits here? Members get the proposer's `learn`, each
    other one hears it of one member. Whoever missed that asks anew within `news.BETWEEN` s and is told then.

    Danger: each of C control planes would send each change to each of the others: C x C whole documents."""
    members = [member.address for member in decided.members]
    return asker not in members and rendezvous.first(asker, members) == me


def under_way(decided: Value | None, since: float, have: int) -> bool:
    """Is it still on its way to whoever asks just now and has slot `have`? `since`: s since it came here.

    Danger: questions come at one rhythm with changes made at one, and each asker would be told by all whom it
    asks while the proposer's word is on its way."""
    return decided is not None and since < UNDER_WAY and have == decided.slot - 1


def for_limiter(decided: Value, versioned: bool) -> Value:
    """What a limiter needs of it: `taken` is for whoever proposes the next value. `versioned`: does it read
    transitions? One of an older text could not read the value with them."""
    transitions = decided.transitions if versioned else NO_TRANSITIONS
    return replace(decided, taken=NOTHING, transitions=transitions)
