"""Random lives of orders: up to eight under way, doubled, late, after hundreds of later changes.

Owns the operators, the calls at each control plane and what must hold of their answers. Acceptors, proposers,
disks and messages are `fleet.py`'s, with its harm; what an order is told is `agreement.orders`'.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field
from random import Random

from finchshelf.agreement import core, orders
from finchshelf.agreement.orders import Order, Ruling
from finchshelf.models.agreement_fleet import ADDRESSES, Fleet
from finchshelf.models.order_mutants import lacking

UNDER_WAY = 8


class Denied(Exception):
    """What must never be; the words tell which rule and order."""


@dataclass
class Call:
    """A copy of an order at a control plane, and the attempt that it waits for."""

    order: Order
    attempt: str = ""
    reading: bool = True
    ruling: Ruling = Ruling.OPEN
    base: core.Value | None = None  # what it read
    waited: bool = False  # for its base


@dataclass
class Plane:
    """One control plane's calls: one attempt at a time, ballots that rise within a life."""

    waiting: deque[Call] = field(default_factory=deque)
    now: Call | None = None
    n: int = 1


class Life:
    def __init__(self, seed: int, lacks: tuple[str, ...] = ()) -> None:
        self.random, self.lacks = Random(seed), lacks
        self.fleet = Fleet(lazy=True)
        self.planes = {address: Plane() for address in ADDRESSES}
        self.known: list[Order] = []
        self.told: dict[Order, Ruling] = {}
        self.unsure = self.again = self.attempts = 0

    # ---- operators ----

    def order(self) -> None:
        """A new one: on the newest version, on an older one, or on one that may come; or two at once."""
        random, newest = self.random, self.newest()
        under_way = [one for one in self.known[-UNDER_WAY:] if one not in self.told]
        if len(under_way) < UNDER_WAY:
            prior = newest
            if random.random() < 0.15 and under_way:
                prior = random.choice(under_way).version
            elif random.random() < 0.05:
                prior = max(0, newest - random.randint(1, 5))
            version = prior + random.randint(1, 2)
            one = Order(version, prior, random.randbytes(16))
            self.known.append(one)
            self.send(one)
            if random.random() < 0.3:  # another operator at the same moment
                self.known.append(Order(version, prior, random.randbytes(16)))
                self.send(self.known[-1])

    def send(self, one: Order) -> None:
        self.planes[self.random.choice(ADDRESSES)].waiting.append(Call(one))

    def copy(self) -> None:
        """One sent again: just now, or after any number of changes."""
        if self.known:
            late = self.random.random() < 0.3
            self.send(self.random.choice(self.known if late else self.known[-UNDER_WAY:]))

    def newest(self) -> int:
        return self.fleet.chosen[max(self.fleet.chosen)].version

    # ---- control planes ----

    def look(self, address: str) -> None:
        plane = self.planes[address]
        if plane.now is None and plane.waiting:
            plane.now = plane.waiting.popleft()
            if plane.now.waited and "not anew" in self.lacks and self.newest() != plane.now.order.prior:
                self.tell(plane.now.order, Ruling.REFUSED)
                plane.now = None
                return
            self.read(address, plane.now)
        call = plane.now
        if call is None:
            return
        attempt = self.fleet.attempts.get(call.attempt)
        outcome = None if attempt is None else attempt.outcome
        if attempt is None:
            return
        if outcome is None:
            held = (packet for some in self.fleet.held.values() for packet in some)
            if not any(packet[0] == call.attempt for packet in (*self.fleet.net, *held)):
                self.go(address, call)  # nobody answers any more
            return
        plane.n = max(plane.n, attempt.higher_n)
        if isinstance(outcome, core.Refused):
            self.ruled(address, call, outcome.reason)
        elif isinstance(outcome, core.Decided) and outcome.mine:
            self.tell(call.order, Ruling.TAKEN if call.ruling is Ruling.OPEN else Ruling.REFUSED)
            plane.now = None
        else:
            self.go(address, call)

    def ruled(self, address: str, call: Call, reason: str) -> None:
        if reason not in (Ruling.OPEN, Ruling.AHEAD):
            self.tell(call.order, Ruling(reason))
            self.planes[address].now = None
        elif not call.reading:  # its base came meanwhile
            self.read(address, call)
        elif reason == Ruling.AHEAD and not call.waited:  # until all that came before it has been ruled on
            call.waited = True
            self.planes[address].waiting.append(call)
            self.planes[address].now = None
        elif call.ruling is Ruling.OPEN and call.order.version <= call.order.prior:
            self.tell(call.order, Ruling.REFUSED)  # not valid
            self.planes[address].now = None
        else:
            call.reading = False
            self.go(address, call)

    def read(self, address: str, call: Call) -> None:
        """A read as an attempt that finishes what it finds and makes nothing."""
        call.reading = True
        self.go(address, call)

    def go(self, address: str, call: Call) -> None:
        order, reading, base = call.order, call.reading, call.base

        def make(value: core.Value) -> core.Value | core.Refusal:
            if reading:
                call.base, call.ruling = value, orders.rule(value, order)
                return core.Refusal(call.ruling)
            if call.ruling is Ruling.AHEAD or base is None:
                return orders.bar(value, order)
            return orders.take(value, order, base, order.digest)

        self.attempts += 1
        self.fleet.attempts.pop(call.attempt, None)
        call.attempt = f"{address} {self.attempts}"
        self.fleet.propose(call.attempt, address, make, self.planes[address].n)
        self.planes[address].n += 1

    def give_up(self, address: str) -> None:
        call, self.planes[address].now = self.planes[address].now, None
        if call is not None and "given up" in self.lacks:
            self.tell(call.order, Ruling.REFUSED)

    def restart(self, address: str) -> None:
        self.fleet.restart(address)
        self.planes[address] = Plane()

    # ---- what must hold ----

    def tell(self, order: Order, ruling: Ruling) -> None:
        if ruling is Ruling.UNSURE:
            self.unsure += 1
            return
        self.again += order in self.told
        if self.told.setdefault(order, ruling) is not ruling:
            raise Denied(f"told both: {order}")

    def judge(self) -> int:
        """How many changes were taken."""
        chain = [self.fleet.chosen[slot] for slot in sorted(self.fleet.chosen)]
        documents = {value.document for value in chain}
        bases: dict[int, Order] = {}
        for order, ruling in self.told.items():
            if ruling is Ruling.REFUSED and order.digest in documents:
                raise Denied(f"refused and in force: {order}")
            if ruling is Ruling.TAKEN:
                if order.digest not in documents:
                    raise Denied(f"acknowledged and not in force: {order}")
                if bases.setdefault(order.prior, order) != order:
                    raise Denied(f"two on one version were acknowledged: {order}")
        return len(documents) - 1


def play(
    seed: int, steps: int = 20_000, lacks: tuple[str, ...] = (), kept: int = 8, barred: int = 2
) -> tuple[int, Life]:
    """One life, judged all along; how many changes were taken. Denied, or fleet's Split, if a rule broke."""
    with lacking(*lacks, kept=kept, barred=barred):
        life = Life(seed, lacks)
        random, fleet = life.random, life.fleet
        calls, harm = random.uniform(0.01, 0.04), random.uniform(0.0, 0.002)
        for step in range(steps):
            address, chance = random.choice(ADDRESSES), random.random()
            if chance < calls:
                life.order()
            elif chance < 2 * calls:
                life.copy()
            elif chance < 2 * calls + harm:
                life.restart(address)
            elif chance < 2 * calls + 2 * harm:
                life.give_up(address)
            elif chance < 0.25:
                fleet.sync(address)
            elif fleet.net:
                packet = random.choice(sorted(fleet.net))
                if random.random() < 0.02:
                    fleet.net -= {packet}
                else:
                    fleet.deliver(packet, keep=random.random() < 0.05)
            life.look(address)
            if step % 500 == 0:
                life.judge()
        return life.judge(), life
