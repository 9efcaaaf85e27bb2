"""What an operator's order for a new version is told, and how a transition ends: decisions alone.

Owns the identity of such an order and each reason for which one is not taken. It must never do I/O or read a
clock, acknowledge an order that no decided value holds, or change a transition that has ended.
"""

from __future__ import annotations

from collections.abc import Collection
from dataclasses import replace
from enum import StrEnum
from typing import NamedTuple

from finchshelf.agreement.core import Refusal, Value
from finchshelf.agreement.transitions import (
    MOST_FORMER,
    MOST_REVERTED,
    MOST_TRANSITIONS,
    Mode,
    Stage,
    Transition,
    of_service,
    replaced,
)


class TransitionOrder(NamedTuple):
    """Copies of one order say the same of all three."""

    service: str
    target: str
    horizon_ms: int


class BeginRuling(StrEnum):
    TAKEN = "taken"  # it was: acknowledge
    OPEN = "open"  # nothing is in its way
    UNDER_WAY = "under way"  # another order for the service is tracked
    FULL = "full"  # more services have a transition than are remembered


def rule(value: Value, order: TransitionOrder) -> BeginRuling:
    """What this value, the newest decided one of some moment after the order came, says of it."""
    known = of_service(value.transitions, order.service)
    if known is None:
        return BeginRuling.FULL if len(value.transitions) >= MOST_TRANSITIONS else BeginRuling.OPEN
    if known.target == order.target and (known.horizon_ms == order.horizon_ms or known.mode is Mode.SETTLED):
        return BeginRuling.TAKEN
    return BeginRuling.UNDER_WAY if known.mode is Mode.TRACKING else BeginRuling.OPEN


def begin(value: Value, order: TransitionOrder, former: Collection[str] = ()) -> Value | Refusal:
    """The next value with the order in it; `former`: the service's versions in use."""
    ruling = rule(value, order)
    if ruling is not BeginRuling.OPEN:
        return Refusal(ruling)
    known = of_service(value.transitions, order.service)
    reverted = [one for one in (known.reverted_by_now() if known is not None else ()) if one != order.target]
    number = value.slot + 1
    in_use = tuple(sorted(set(former) - {order.target, *reverted}))[:MOST_FORMER]
    made = Transition(*order, number, reverted=tuple(reverted[-MOST_REVERTED:]), former=in_use)
    return replace(
        value, slot=number, transitions=replaced(value.transitions, made), taken=value.taken.in_newest_form()
    )


def advance(value: Value, service: str, number: int, stage: Stage) -> Value | Refusal:
    """The next value in which that transition has come to this stage."""
    known = of_service(value.transitions, service)
    if known is None or known.number != number or known.mode is not Mode.TRACKING or known.stage >= stage:
        return Refusal("it has ended, or come as far")
    further = replace(known, stage=stage)
    return replace(value, slot=value.slot + 1, transitions=replaced(value.transitions, further))


def end(value: Value, service: str, number: int, mode: Mode) -> Value | Refusal:
    """The next value in which that transition has ended in this mode."""
    known = of_service(value.transitions, service)
    if known is None or known.number != number or known.mode is not Mode.TRACKING:
        return Refusal("it has ended")
    ended = replace(known, mode=mode)
    return replace(value, slot=value.slot + 1, transitions=replaced(value.transitions, ended))
