"""Every state that orders can come to: copies at two proposers, over core's own acceptors and proposer.

Owns which orders there are and what must hold of their answers. Who may say what when is `states.py`'s; what
an order is told is `agreement.orders`'. An attempt at a proposer is one copy of an order, or one try of it
more: it comes at any time, also when another copy has been answered, and may be given up at any.
"""

from __future__ import annotations

from dataclasses import dataclass, field, replace
from typing import Any

from finchshelf.agreement import orders
from finchshelf.agreement.orders import Order, Ruling
from finchshelf.models.agreement_records import DONE, NONE, REFUSED, Attempt, Bounds, State
from finchshelf.models.agreement_rules import BACK, BOTH, Checked, Found, explore
from finchshelf.models.order_mutants import lacking

TWO_ON_ONE = "both of two changes on one version were acknowledged"
GONE = "an acknowledged order is not in force"
DENIED = "a later value denies what an earlier one says of an order"
BAR = "bar "

Case = dict[str, Order]
RACE: Case = {"one": Order(2, 0, b"one"), "two": Order(2, 0, b"two")}  # one number, two changes
CHAIN: Case = {"one": Order(2, 0, b"one"), "two": Order(3, 2, b"two")}  # the second may come first
RIVALS: Case = {"one": Order(2, 0, b"one"), "two": Order(4, 0, b"two")}


@dataclass
class Orders(Checked):
    case: Case = field(default_factory=dict)

    def wanted(self, now: State, own: str) -> list[str]:
        return [*self.names, *(BAR + name for name, one in self.case.items() if one.prior)]

    def change(self, name: str) -> Any:
        if name not in self.names and not name.startswith(BAR):
            return super().change(name)
        order = self.case[name.removeprefix(BAR)]
        if name.startswith(BAR):
            return lambda value: orders.bar(value, order)
        return lambda value: orders.take(value, order, value, order.digest)

    def told(self, now: State, change: str, why: str) -> tuple[int, ...]:
        """Ruled open, ahead or unsure, there is no clear answer: the shell goes on, or says so."""
        name = change.removeprefix(BAR)
        if why == Ruling.TAKEN:
            return self.fate(now, name, DONE)
        return self.fate(now, name, REFUSED) if why == Ruling.REFUSED else now.fates

    def heard(self, now: State, one: Attempt, rest: tuple[Attempt, ...]) -> Any:
        for new in super().heard(now, one, rest):
            made = (
                one.change.startswith(BAR)
                and one.value == NONE
                and any(each.value != NONE and each.own and each not in rest for each in new.attempts)
            )
            if made and "bar undecided" in self.lacks:
                new = new._replace(fates=self.fate(new, one.change.removeprefix(BAR), REFUSED))
            yield new

    def decided(self, now: State, one: Attempt, rest: tuple[Attempt, ...]) -> State:
        new = super().decided(now, one, rest)
        if one.own and one.change.startswith(BAR):
            return new._replace(fates=self.fate(new, one.change.removeprefix(BAR), REFUSED))
        return new

    def check_fates(self, now: State, newest: dict[int, int]) -> None:
        chain = tuple(newest[slot] for slot in sorted(newest))
        key = (chain, now.fates)
        if key in self.memo:
            return
        taken = {self.values[each].document for each in chain}
        acknowledged: dict[int, str] = {}
        for (name, order), fate in zip(self.case.items(), now.fates, strict=True):
            if fate == REFUSED and order.digest in taken:
                self.broken(BACK)
            if fate == DONE:
                if order.digest not in taken:
                    self.broken(GONE)
                if acknowledged.setdefault(order.prior, name) != name:
                    self.broken(TWO_ON_ONE)
            self.check_facts(chain, order)
        self.memo[key] = True

    def check_facts(self, chain: tuple[int, ...], order: Order) -> None:
        """What any decided value says, however old it is when it is read, no later one denies."""
        said = ""
        for each in chain:
            ruling = orders.rule(self.values[each], order)
            if ruling in (Ruling.TAKEN, Ruling.REFUSED):
                if said not in ("", ruling):
                    self.broken(DENIED)
                said = ruling


def search(
    case: Case,
    bounds: Bounds,
    lacks: tuple[str, ...] = (),
    limit: int = 1_000_000,
    depth: int = 1000,
    deep: bool = False,
    only: str = "",
    kept: int = 1,
    barred: int = 1,
) -> Found:
    """`kept`, `barred`: bounds of the memory, so small that a few orders pass them."""
    bounds = replace(bounds, resent=True)
    with lacking(*lacks, kept=kept, barred=barred):
        model = Orders(bounds, frozenset(lacks), only, case=case, names=tuple(case))
        return explore(bounds, frozenset(lacks), limit, depth, deep, only, model)


B, A = Bounds, ("a:1",)  # one proposer, where two add nothing but states
MUTANTS: list[tuple[tuple[str, ...], Case, Bounds, str, bool]] = [
    # lacking, orders, harm, the rule broken, depth first; what takes three attempts is `order_chain.py`'s
    (("no bar",), CHAIN, B(starts=3, proposers=A), BACK, True),
    (("not looked up",), RACE, B(), BOTH, True),
    (("looked up once",), RACE, B(), BOTH, True),
    (("by number",), RACE, B(), GONE, True),
    (("any base",), RIVALS, B(proposers=A), TWO_ON_ONE, False),
    (("given up",), RACE, B(), BACK, False),
]
