"""What an operator's order may be told, and what it makes of the decided value: decisions alone.

Owns the identity of an order and each reason for which one is refused. It must never do I/O or read a clock,
and never refuse an order of which another copy was taken or may still be.

Invariants: a refusal is a fact of the chain that no later value undoes; versions only rise along it, so one
that is past never comes again; of the orders on one version one is taken.
"""

from __future__ import annotations

from dataclasses import replace
from enum import StrEnum
from typing import NamedTuple

from finchshelf.agreement.core import Refusal, Value


class Order(NamedTuple):
    """`digest`: of the call and of all that its body says, so that copies of one order are one order."""

    version: int
    prior: int
    digest: bytes


class Ruling(StrEnum):
    TAKEN = "taken"  # it was: acknowledge
    REFUSED = "refused"  # neither it nor a copy of it was taken or ever will be
    OPEN = "open"  # it builds on the newest version
    AHEAD = "ahead"  # it builds on a version that is not there, and may come
    UNSURE = "unsure"  # it can't be told: no clear answer


def rule(value: Value, order: Order) -> Ruling:
    """What this value, the newest decided one of some moment after the order came, says of it."""
    fate = value.taken.fate(order.version, order.digest)
    if fate == "taken":
        return Ruling.TAKEN
    if value.taken.is_barred(order.prior, order.digest):
        return Ruling.REFUSED  # told so before its base came
    if value.version == order.prior:
        return Ruling.OPEN
    if order.version <= order.prior:  # invalid on any version: no copy of it can ever be taken
        return Ruling.REFUSED
    if value.version < order.prior:
        # Danger: refused at once, a copy of it that is late would be taken when its base has come.
        return Ruling.AHEAD
    return Ruling.UNSURE if fate == "forgotten" else Ruling.REFUSED


def take(value: Value, order: Order, base: Value, document: bytes, newer: bool = True) -> Value | Refusal:
    """The next value with the order in it; `document`: what the order makes of `base`, checked; `newer`: may
    the memory be in the form that an older text does not read?"""
    ruling = rule(value, order)
    if ruling is not Ruling.OPEN:
        return Refusal(ruling)
    if value.version != base.version or value.document != base.document or order.version <= value.version:
        return Refusal(Ruling.UNSURE)  # a restored core has that version with another document
    return replace(
        value,
        slot=value.slot + 1,
        version=order.version,
        document=document,
        taken=value.taken.add(order.version, order.digest, newer),
    )


def bar(value: Value, order: Order, newer: bool = True) -> Value | Refusal:
    """The next value in which no copy of this order can be taken any more; decided, it may be refused."""
    ruling = rule(value, order)
    if ruling is not Ruling.AHEAD:
        return Refusal(ruling)
    barred = value.taken.bar(order.prior, order.digest, newer)
    if barred is None:
        return Refusal(Ruling.UNSURE)
    return replace(value, slot=value.slot + 1, taken=barred)
