"""The soak's operators: changes of the configuration, some at once, some unheard, and reads of it.

Owns the orders and reads and their ledger rows. An order without a clear answer is sent again unchanged, to
any control plane, until it has one.
"""

from __future__ import annotations

import json
from collections.abc import Callable
from dataclasses import dataclass
from random import Random
from typing import Any

import h11
import trio

from finchshelf.cli import documents
from finchshelf.soak import site, wire
from finchshelf.soak.clients import Route
from finchshelf.soak.ledger import Ledger, Order, Read
from finchshelf.soak.servers import followed, status_of
from finchshelf.transport.address import Address

SILENT_S = 1.0
PAUSE_S, PAUSE_MOST_S = 0.1, 1.0
GIVES_UP_S = 12.0
ROUTES_KEPT = 4  # routes that changes add; older ones are left alone
CLEAR = frozenset((200, 400, 409, 412, 413, 422))


def added(label: str, service: str) -> documents.Element:
    return documents.route(label, site.HOST, f"/{label}/", service, site.NULLIPOTENT)


def first_configuration() -> dict[str, Any]:
    return documents.whole(
        1,
        [
            *(
                documents.route(one.label, site.HOST, one.prefix, one.service, one.variant)
                for one in site.ROUTES
            ),
            *(documents.service(one.name) for one in site.SERVICES),
            *(documents.tenant(one.name, [one.key], one.rate, one.surge) for one in site.TENANTS),
        ],
    )


@dataclass(slots=True)
class Office:
    """All operators of one seed."""

    controls: list[Address]
    ledger: Ledger
    random: Random
    now: Callable[[], float]
    routes: list[Route]  # those that clients use: new ones are added once acknowledged
    newest: int = 0  # the newest version known to be taken
    highest: int = 1  # the highest version used
    racing: bool = False
    unheard_share: float = 0.0
    bad: bool = False
    numbers: int = 0

    async def begin(self, limit_s: float) -> bool:
        """The first configuration; False if nobody takes it."""
        order = Order(1, 0, "read", True, self.now())
        self.ledger.orders.append(order)
        body = json.dumps(first_configuration()).encode()
        await self.send(order, "setpoint.replace", body, limit_s)
        self.newest = 1 if order.acknowledged else 0
        return self.newest == 1

    async def run(self, until_s: float) -> None:
        while self.now() < until_s:
            await trio.sleep(self.random.uniform(0.5, 1.6))
            await self.changes()

    async def changes(self) -> None:
        """One change; several at once on one version while operators race."""
        prior = self.newest
        async with trio.open_nursery() as nursery:
            for _ in range(self.random.randint(2, 3) if self.racing else 1):
                nursery.start_soon(self.change, prior)
        if self.bad:
            await self.bad_change()

    def made(self, prior: int, service: str) -> tuple[Order, bytes]:
        self.numbers += 1
        self.highest += 1
        order = Order(self.highest, prior, f"r{self.numbers}", True, self.now(), service=service)
        self.ledger.orders.append(order)
        return order, documents.change(order.version, prior, [added(order.label, service)])

    async def change(self, prior: int) -> None:
        order, body = self.made(prior, "pages")
        await self.send(order, "setpoint.adjust", body, GIVES_UP_S)
        if order.acknowledged:
            self.newest = max(self.newest, order.version)
            self.routes.append(Route(order.label, f"/{order.label}/"))
            del self.routes[:-ROUTES_KEPT]
            if self.random.random() < 0.3:
                # Sent again with no other change made since: it must not be refused.
                await self.send(order, "setpoint.adjust", body, SILENT_S)
        elif any(status == 412 for _, status, _ in order.statuses):
            await self.catch_up()

    async def bad_change(self) -> None:
        order, body = self.made(self.newest, "no-such-service")
        order.valid = False
        await self.send(order, "setpoint.adjust", body, 2.0)

    async def catch_up(self) -> None:
        """Whoever was refused reads what is in place."""
        read = await self.read()
        if read is not None and read.status == 200:
            self.newest = max(self.newest, read.version)
            self.highest = max(self.highest, read.version)

    async def send(self, order: Order, call: str, body: bytes, limit_s: float) -> None:
        """Until the answer is clear, or for that long."""
        until_s, pause_s = self.now() + limit_s, PAUSE_S
        while self.now() < until_s:
            control = self.random.choice(self.controls)
            if self.random.random() < self.unheard_share:
                await self.unheard(control, call, body)
            else:
                told = await followed(control, f"/v1/rpc?call={call}", body, SILENT_S)
                status = status_of(told) if told is not None else 0
                order.statuses.append((self.now(), status, str(control)))
                if status == 200 and not order.acknowledged:
                    order.acknowledged = self.now()
                if status in CLEAR:
                    return
            await trio.sleep(pause_s)
            pause_s = min(PAUSE_MOST_S, pause_s * 2)

    async def unheard(self, control: Address, call: str, body: bytes) -> None:
        """Send it, and hang up before the answer: it may be taken."""
        connection = await wire.connect(control.host, control.port, SILENT_S)
        if connection is None:
            return
        try:
            headers = [("Host", str(control)), ("Content-Length", str(len(body)))]
            await connection.write(
                h11.Request(method="POST", target=f"/v1/rpc?call={call}", headers=headers), body
            )
            await trio.sleep(self.random.uniform(0.0, 0.03))
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            pass
        finally:
            with trio.CancelScope(shield=True):
                await connection.reset()

    # ---- reads ----

    async def reads(self, until_s: float) -> None:
        while self.now() < until_s:
            await trio.sleep(self.random.uniform(0.1, 0.5))
            await self.read()

    async def read(self) -> Read | None:
        control, sent = self.random.choice(self.controls), self.now()
        # A redirect is another's answer: it binds whoever gave it.
        told = await followed(control, "/v1/rpc?call=setpoint.observe", b"", SILENT_S)
        if told is None:
            return None
        version, labels = 0, ()
        if status_of(told) == 200:
            document = json.loads(told.body)
            version = int(str(document["setpointSeq"]), 16)
            labels = tuple(one["header"].get("label", "") for one in document["elements"])
        read = Read(sent, self.now(), str(control), status_of(told), version, labels)
        self.ledger.reads.append(read)
        return read
