"""The rules of contact that a model plays, and the mutants that drop a guard of each.

Owns which rules a mutant replaces, and in which searches it is found. It must never play anything.
"""

from __future__ import annotations

from math import inf
from types import SimpleNamespace
from typing import Any

from finchshelf.membership import contact

Rules = SimpleNamespace


def rules(**other: Any) -> Rules:
    return Rules(
        **{
            "spoke": contact.spoke,
            "contact": contact.contact,
            "current": contact.current,
            "believed": contact.believed,
            "may_begin": contact.may_begin,
            "asked_counts": False,
            "out": contact.out,
            "alone": lambda last, began, now: now - max(last, began),
            "counts_as": lambda identity: identity,
            **other,
        }
    )


def one_less(members: Any, me: Any, spoken: Any, now: float) -> float:
    """Half of the members, rounded down, are enough."""
    times = sorted((now if one == me else spoken.get(one, -inf) for one in members), reverse=True)
    return float(times[len(times) // 2 - 1]) if times else -inf


WIPED: dict[str, dict[str, Any]] = {  # found where disks are lost
    "a member counts by its disk, not by its address alone": {"counts_as": lambda identity: identity[0]},
}


MUTANTS: dict[str, dict[str, Any]] = {
    "an answer that was read late is old": {"spoke": lambda sent, held: inf},
    "who asks is no contact": {"asked_counts": True},
    "contact is with more than half": {"contact": one_less},
    "a control plane's lease ends": {"current": lambda last, now: last > -inf},
    "a limiter's lease ends": {"believed": lambda said, now: said > -inf},
    "a limiter begins by the core's word, or that of more than half": {
        "may_begin": lambda members, answered, told, since, lost: len(answered) >= 2
        or since > contact.SETTLE_S
    },
}


def six(members: Any, answered: Any, told: bool, since: float, lost: float) -> bool:
    """As it was: 6 s of its own were enough for a limiter."""
    return contact.may_begin(members, answered, told, since, lost) or (bool(answered) and since > 6.0)


LONG: dict[str, dict[str, Any]] = {  # found where a cut may last longer than `ALONE`
    "a limiter looks for longer than a cut lasts": {"may_begin": six},
    "the last contact of any counts": {
        "out": lambda words, now: now - min((at for _, at in words), default=now)
    },
    "who says that it is cut off says so just now": {
        "out": lambda words, now: now - max((at for _, at in words), default=now)
    },
    "who has come up anew was in contact until then": {
        "alone": lambda last, began, now: now - last if last > -inf else 2 * contact.CUT_OFF_START_S
    },
}


LAX: dict[str, dict[str, Any]] = {  # found where clocks drift as much as they may
    "a control plane's lease allows for drift": {
        "current": lambda last, now: now - last <= contact.CONTROL_LEASE_S
    },
    "a limiter's lease allows for drift": {
        "believed": lambda said, now: now - said < contact.LIMITER_LEASE_S
    },
    "the time that an answer was held allows for drift": {
        "spoke": lambda sent, held: sent + held * (1 + contact.DRIFT)
    },
}
