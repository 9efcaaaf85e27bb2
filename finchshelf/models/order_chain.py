"""Every state that calls of operators can come to, over a register that decides one value a slot.

Owns the calls (copies of orders: when they come, read, make, are given up, and are answered) and what must
hold of the answers. The register here is what `states.py` shows of the real one, and no more: of the values
made for a slot any one may be decided, at any later time, whether its maker still waits or not; the others
never are. What an order is told is `agreement.orders`'.

Why fewer states are enough: an answer that is lost is one that was not heard, and a copy that never comes is
one still on its way, so neither needs a step; a call reads the newest value, for the facts of an older one
are looked at by themselves (`DENIED`).
"""

from __future__ import annotations

from collections import deque
from collections.abc import Iterator
from dataclasses import replace
from typing import NamedTuple

from finchshelf.agreement import orders
from finchshelf.agreement.core import Refusal, Value, genesis
from finchshelf.agreement.orders import Order, Ruling
from finchshelf.agreement.taken import DIGEST, ENTRY
from finchshelf.models.agreement_records import Broken
from finchshelf.models.agreement_rules import BACK, BOTH, Found
from finchshelf.models.order_mutants import lacking

TWO_ON_ONE = "both of two changes on one version were acknowledged"
GONE = "an acknowledged order is not in force"
DENIED = "a later value denies what an earlier one says of an order"
FIRST = genesis(("a:1", "b:1", "c:1"))

Case = tuple[Order, ...]


class Call(NamedTuple):
    """A copy of an order at a control plane. `base`: what it read; `made`: what it waits for."""

    order: int
    step: str = "read"  # then early where its base is not there, then go, then wait
    kind: Ruling = Ruling.OPEN  # what it read: it takes its order, or bars it
    base: Value = FIRST
    made: Value | None = None


class Day(NamedTuple):
    newest: Value
    made: tuple[Value, ...]  # for the slot after it
    calls: tuple[Call, ...]
    copies: tuple[int, ...]  # of each order that may still come
    told: tuple[str, ...]  # what each order's operator was told
    said: tuple[str, ...]  # and what the decided values say of it
    chain: tuple[int, ...]  # the orders that were taken


class Calls:
    def __init__(
        self,
        case: Case,
        copies: tuple[int, ...],
        lacks: tuple[str, ...] = (),
        denied: bool = True,
        like: bool = False,
    ) -> None:
        """`denied`: is that rule looked at, or only what operators see? `like`: of states that differ only by
        which of like orders is which, is one enough?"""
        self.case, self.copies, self.lacks, self.denied = case, copies, lacks, denied
        self.renamed: dict[tuple[Value, tuple[int, ...]], Value] = {}
        kinds: dict[tuple[int, int, int], list[int]] = {}
        for at, one in enumerate(case if like else ()):
            kinds.setdefault((one.version, one.prior, copies[at]), []).append(at)
        self.like = [some for some in kinds.values() if len(some) > 1]

    def first(self) -> Day:
        none = ("",) * len(self.case)
        return self.facts(Day(FIRST, (), (), self.copies, none, none, ()))

    def next(self, now: Day) -> Iterator[Day]:
        for at, left in enumerate(now.copies):
            if left:
                yield now._replace(copies=fewer(now.copies, at), calls=(*now.calls, Call(at)))
        for call in dict.fromkeys(now.calls):
            gone = without(now.calls, call)
            # Its time is up, its machine is gone, or nobody hears it any more.
            if "given up" in self.lacks and call.step != "read":
                yield self.tell(now._replace(calls=gone), call.order, Ruling.REFUSED)
            else:
                yield now._replace(calls=gone)
            yield from self.step(now._replace(calls=gone), call)
        for value in now.made:
            yield self.decide(now, value)

    def step(self, now: Day, call: Call) -> Iterator[Day]:
        order = self.case[call.order]
        if call.step == "read":
            ruling = orders.rule(now.newest, order)
            if ruling is Ruling.OPEN:
                if order.version > now.newest.version or "number below" in self.lacks:
                    yield self.at(now, call._replace(step="go", kind=ruling, base=now.newest))
                else:
                    yield self.tell(now, call.order, Ruling.REFUSED)  # it is not valid: 400
            elif ruling is Ruling.AHEAD:
                yield self.at(now, call._replace(step="early", kind=ruling))
            else:
                yield self.tell(now, call.order, ruling)
            return
        if call.step == "early":
            if orders.rule(now.newest, order) is Ruling.AHEAD:  # it has waited long enough
                yield self.at(now, call._replace(step="go", base=now.newest))
            elif "not anew" in self.lacks and now.newest.version != order.prior:
                yield self.tell(now, call.order, Ruling.REFUSED)
            else:
                yield self.at(now, Call(call.order))
            return
        if call.step == "wait":
            if call.made is not None and call.made.slot <= now.newest.slot:  # another's was decided
                yield self.at(now, call._replace(step="go", made=None))
            return
        if call.kind is Ruling.OPEN:
            made = orders.take(now.newest, order, call.base, order.digest)
        else:
            made = orders.bar(now.newest, order)
            if "bar undecided" in self.lacks and isinstance(made, Value):
                now = self.tell(now, call.order, Ruling.REFUSED)
        if not isinstance(made, Refusal):
            held = now.made if made in now.made else (*now.made, made)
            yield self.at(now._replace(made=held), call._replace(step="wait", made=made))
        elif made.reason in (Ruling.OPEN, Ruling.AHEAD):
            yield self.at(now, Call(call.order))
        else:
            yield self.tell(now, call.order, Ruling(made.reason))

    def decide(self, now: Day, value: Value) -> Day:
        taken = next(
            (
                at
                for at, one in enumerate(self.case)
                if value.document == one.digest and value.version != now.newest.version
            ),
            -1,
        )
        chain = now.chain if taken < 0 else (*now.chain, taken)
        day = self.facts(
            now._replace(
                newest=value,
                made=(),
                chain=chain,
                calls=tuple(call for call in now.calls if call.made != value),
            )
        )
        for call in now.calls:
            if call.made == value:
                day = self.tell(day, call.order, Ruling.TAKEN if call.kind is Ruling.OPEN else Ruling.REFUSED)
        return day

    def at(self, now: Day, call: Call) -> Day:
        return now._replace(calls=(*now.calls, call))

    def tell(self, now: Day, order: int, ruling: Ruling) -> Day:
        if ruling is Ruling.UNSURE:
            return now
        if now.told[order] not in ("", ruling):
            raise Broken(BOTH)
        return now._replace(told=put(now.told, order, str(ruling)))

    def facts(self, now: Day) -> Day:
        """What any decided value says, however old it is when it is read, no later one denies."""
        for at, order in enumerate(self.case if self.denied else ()):
            ruling = orders.rule(now.newest, order)
            if ruling in (Ruling.TAKEN, Ruling.REFUSED):
                if now.said[at] not in ("", ruling):
                    raise Broken(DENIED)
                now = now._replace(said=put(now.said, at, str(ruling)))
        return now

    def check(self, now: Day) -> Day:
        """The canonical state, if nothing is broken in it."""
        acknowledged: dict[int, int] = {}
        for at, told in enumerate(now.told):
            if told == Ruling.REFUSED and at in now.chain:
                raise Broken(BACK)
            if told == Ruling.TAKEN:
                if at not in now.chain:
                    raise Broken(GONE)
                if acknowledged.setdefault(self.case[at].prior, at) != at:
                    raise Broken(TWO_ON_ONE)
        if self.like:
            now = self.alike(now)
        return now._replace(made=tuple(sorted(now.made, key=repr)), calls=tuple(sorted(now.calls, key=repr)))

    # ---- like orders ----

    def alike(self, now: Day) -> Day:
        """The state with like orders in the order of what has become of them.

        Why one of such states is enough: orders of one number and base differ by their digests alone, which
        are only compared. Renamed throughout, a state has the same next ones, renamed. How they are sorted
        does not matter to that: where a sort tells too little apart, there are more states, not fewer."""
        become = dict[int, str]()
        for some in self.like:
            for at in some:
                own = self.case[at].digest
                calls = sorted(
                    (one.step, str(one.kind), one.base.slot, one.made is not None)
                    for one in now.calls
                    if one.order == at
                )
                made = [value.document == own for value in now.made]
                place = now.chain.index(at) if at in now.chain else -1
                become[at] = repr((place, now.copies[at], now.told[at], now.said[at], any(made), calls))
        goes = list(range(len(self.case)))
        for some in self.like:
            for new, at in zip(some, sorted(some, key=become.__getitem__), strict=True):
                goes[at] = new
        if goes == sorted(goes):
            return now
        to, comes = tuple(goes), [goes.index(at) for at in range(len(goes))]
        return Day(
            self.rename(now.newest, to),
            tuple(self.rename(value, to) for value in now.made),
            tuple(
                one._replace(
                    order=to[one.order],
                    base=self.rename(one.base, to),
                    made=one.made and self.rename(one.made, to),
                )
                for one in now.calls
            ),
            tuple(now.copies[at] for at in comes),
            tuple(now.told[at] for at in comes),
            tuple(now.said[at] for at in comes),
            tuple(to[at] for at in now.chain),
        )

    def rename(self, value: Value, to: tuple[int, ...]) -> Value:
        """The value in which each order has the digest of the one whose place it takes."""
        found = self.renamed.get((value, to))
        if found is None:
            names = {one.digest: self.case[to[at]].digest for at, one in enumerate(self.case)}
            short = {
                old[:DIGEST].ljust(DIGEST, b"\0"): new[:DIGEST].ljust(DIGEST, b"\0")
                for old, new in names.items()
            }

            def entries(packed: bytes) -> bytes:
                split = [packed[at : at + ENTRY] for at in range(0, len(packed), ENTRY)]
                return b"".join(one[:-DIGEST] + short.get(one[-DIGEST:], one[-DIGEST:]) for one in split)

            memory = replace(value.taken, kept=entries(value.taken.kept), barred=entries(value.taken.barred))
            found = self.renamed[value, to] = replace(
                value, document=names.get(value.document, value.document), taken=memory
            )
        return found


def put(row: tuple[str, ...], at: int, new: str) -> tuple[str, ...]:
    return (*row[:at], new, *row[at + 1 :])


def fewer(row: tuple[int, ...], at: int) -> tuple[int, ...]:
    return (*row[:at], row[at] - 1, *row[at + 1 :])


def without(calls: tuple[Call, ...], one: Call) -> tuple[Call, ...]:
    at = calls.index(one)
    return calls[:at] + calls[at + 1 :]


def search(
    case: Case,
    copies: int | tuple[int, ...] = 2,
    lacks: tuple[str, ...] = (),
    limit: int = 2_000_000,
    kept: int = 1,
    barred: int = 1,
    denied: bool = True,
    like: bool = False,
) -> Found:
    """Breadth first; `kept`, `barred`: bounds of the memory, so small that a few orders pass them; `like`: is
    one enough of states that differ only by which of like orders is which?"""
    with lacking(*lacks, kept=kept, barred=barred):
        each = (copies,) * len(case) if isinstance(copies, int) else copies
        model = Calls(case, each, lacks, denied, like)
        first = model.first()
        seen, todo, full = {first}, deque([(0, first)]), 0
        while todo:
            at, now = todo.popleft()
            if len(seen) >= limit:
                return Found(len(seen), at, False)
            full = max(full, at)
            try:
                for made in model.next(now):
                    new = model.check(made)
                    if new not in seen:
                        seen.add(new)
                        todo.append((at + 1, new))
            except Broken as broken:
                return Found(len(seen), at, False, str(broken), at + 1)
    return Found(len(seen), full, True)


RACE = (Order(2, 0, b"one"), Order(2, 0, b"two"))  # one number, two changes
CHAIN = (Order(2, 0, b"one"), Order(3, 2, b"two"))  # the second may come first
RIVALS = (Order(2, 0, b"one"), Order(4, 0, b"two"))
AHEAD = (*CHAIN, Order(4, 2, b"three"))  # two that build on what is not there yet
BELOW = (Order(2, 0, b"one"), Order(1, 2, b"two"))  # the second is not valid
MUTANTS: list[tuple[str, Case, int | tuple[int, ...], str]] = [
    # lacking, orders, copies of each, the rule that an operator sees broken
    ("forgets", CHAIN, 2, BOTH),
    ("no bar", CHAIN, 2, BOTH),
    ("bar undecided", CHAIN, 2, BOTH),
    ("bar unread", CHAIN, 2, BOTH),
    ("bar let go", CHAIN, 2, BOTH),
    ("bar evicted", AHEAD, (1, 2, 1), BOTH),
    ("not looked up", RACE, 2, BOTH),
    ("looked up once", RACE, 2, BOTH),
    ("by number", RACE, 2, GONE),
    ("any base", RIVALS, 2, TWO_ON_ONE),
    ("number below", BELOW, 2, BOTH),
    ("given up", RACE, 2, BACK),
    ("not anew", CHAIN, 2, BOTH),
]
