"""The decisions on orders, each able to lack a guard that the real ones have.

Owns how a guard is dropped, for the search of `order_states.py` and the lives of `order_lives.py`.
"""

from __future__ import annotations

from collections.abc import Callable, Iterator
from contextlib import ExitStack, contextmanager
from dataclasses import replace
from typing import Any
from unittest import mock

from finchshelf.agreement import orders, taken
from finchshelf.agreement.core import Refusal, Value
from finchshelf.agreement.orders import Order, Ruling
from finchshelf.agreement.taken import Taken

GUARDS = {
    "forgets": "an order that may have been taken before all that is remembered is refused",
    "no bar": "an order whose base is not there is refused at once",
    "bar undecided": "it is refused when the bar is made, before that is decided",
    "bar unread": "a barred order is taken once its base is there",
    "bar let go": "a bar goes with the version that its order builds on",
    "bar evicted": "a new bar takes the place of the oldest",
    "not looked up": "an order that was taken is not looked up",
    "looked up once": "it is looked up when it is read, and not again when it is made",
    "by number": "an order is known by its number alone",
    "any base": "a change is made on whatever version is there",
    "number below": "a version may be lower than the one that it builds on",
    "given up": "an operator whose order was given up is told that it is refused",
    "not anew": "an order that waited for its base is refused where another is newest, without a new ruling",
}
real_rule, real_add, real_bar, real_take = orders.rule, Taken.add, Taken.bar, orders.take


def forgets(value: Value, order: Order) -> Ruling:
    ruling = real_rule(value, order)
    return Ruling.REFUSED if ruling is Ruling.UNSURE else ruling


def no_bar(value: Value, order: Order) -> Ruling:
    ruling = real_rule(value, order)
    return Ruling.REFUSED if ruling is Ruling.AHEAD else ruling


def let_go(self: Taken, version: int, digest: bytes, newer: bool = True) -> Taken:
    return replace(real_add(self, version, digest, newer), barred=b"")


def evicted(self: Taken, prior: int, digest: bytes, newer: bool = True) -> Taken | None:
    if len(self.barred) >= taken.BARRED * taken.ENTRY:
        self = replace(self, barred=self.barred[taken.ENTRY :])
    return real_bar(self, prior, digest, newer)


def any_base(value: Value, order: Order) -> Ruling:
    ruling = real_rule(value, order)
    above = order.version > value.version  # else it is not valid
    return Ruling.OPEN if ruling in (Ruling.REFUSED, Ruling.AHEAD) and above else ruling


def take_any(value: Value, order: Order, base: Value, document: bytes, newer: bool = True) -> Value | Refusal:
    return real_take(value, order, value, document, newer)


def unlooked(value: Value, order: Order, base: Value, document: bytes, newer: bool = True) -> Value | Refusal:
    made = real_take(value, order, base, document, newer)
    return Refusal(Ruling.REFUSED) if made == Refusal(Ruling.TAKEN) else made


def below(value: Value, order: Order, base: Value, document: bytes, newer: bool = True) -> Value | Refusal:
    if order.version <= value.version == order.prior:
        return replace(
            value,
            slot=value.slot + 1,
            version=order.version,
            document=document,
            taken=value.taken.add(order.version, order.digest),
        )
    return real_take(value, order, base, document, newer)


def by_number(version: int, digest: bytes) -> bytes:
    return version.to_bytes(taken.NUMBER, "big") + bytes(taken.DIGEST)


DROPPED: dict[str, list[tuple[Any, str, Callable[..., Any]]]] = {
    "forgets": [(orders, "rule", forgets)],
    "no bar": [(orders, "rule", no_bar)],
    "bar unread": [(Taken, "is_barred", lambda *_: False)],
    "bar let go": [(Taken, "add", let_go)],
    "bar evicted": [(Taken, "bar", evicted)],
    "not looked up": [(Taken, "fate", lambda *_: "not taken")],
    "looked up once": [(orders, "take", unlooked)],
    "by number": [(taken, "_entry", by_number)],
    "any base": [(orders, "rule", any_base), (orders, "take", take_any)],
    "number below": [(orders, "take", below)],
}


@contextmanager
def lacking(*names: str, kept: int = taken.KEPT, barred: int = taken.BARRED) -> Iterator[None]:
    """The decisions without these guards (three are the shell's, lacking there), and with smaller bounds."""
    with ExitStack() as stack:
        stack.enter_context(mock.patch.object(taken, "KEPT", kept))
        stack.enter_context(mock.patch.object(taken, "BARRED", barred))
        for name in names:
            assert name in GUARDS
            for owner, word, instead in DROPPED.get(name, []):
                stack.enter_context(mock.patch.object(owner, word, instead))
        yield
