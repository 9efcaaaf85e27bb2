"""A keeper of the head office's roll-outs: a member of their register, and driver while that is its duty.

Owns its sockets, its turns, and the calls at sites that the driver orders; decisions are `rollout/`'s. It
must never send a site anything before the register has confirmed that this keeper still drives.

A keeper is a process of its own beside nobody's traffic: three of them make the register, and one that is
lost or wiped comes back as a control plane does. Sites are reached as any operator reaches them.
"""

from __future__ import annotations

import secrets
import signal
import time
from pathlib import Path
from random import Random
from typing import Any

import orjson
import trio

from finchshelf import events
from finchshelf.agreement.core import Member, Value
from finchshelf.agreement.store import Store
from finchshelf.cli import operator
from finchshelf.controlplane.members import Members
from finchshelf.controlplane.register import Register, Unsettled
from finchshelf.controlplane.repair import Repair
from finchshelf.rollout import driver as drivers
from finchshelf.rollout import duty, messages, plan
from finchshelf.rollout.driver import Driver
from finchshelf.rollout.messages import Adjust, Ask, Log, Observe, Save
from finchshelf.rollout.plan import Site
from finchshelf.transport import frames, net
from finchshelf.transport.address import Address, address_of
from finchshelf.transport.frames import Link, Message, PeerError
from finchshelf.transport.telemetry import Telemetry

TURN = 1.0  # s between two looks of a keeper that does not drive
DECIDE = 2.0  # s for the register; a keeper that gets nothing decided in them does not drive
SITE = 1.0  # s for a site's answer to a question
CALLS = 1.5  # s in which further control planes of a site are called
STORAGE_MB = 64.0
ROUNDS = 8  # of orders that follow from answers, in one turn


class Hand:
    """Carries out a driver's orders."""

    def __init__(self, keeper: Keeper, epoch: int, state: duty.Document) -> None:
        self.keeper, self.epoch = keeper, epoch
        self.driver = Driver(plan.read(state["plan"]), state, trio.current_time())
        self.gone = False

    async def turn(self, document: duty.Document) -> None:
        tick = messages.Tick(
            trio.current_time(),
            round(time.time(), 3),
            document["paused"],
            document["abort"],
            document["leave"],
        )
        happened: list[messages.Event] = [tick]
        for _ in range(ROUNDS):
            if self.gone or not happened:
                return
            happened = await self.obey([order for event in happened for order in self.driver.take(event)])

    async def obey(self, orders: list[messages.Order]) -> list[messages.Event]:
        """What is to be written is written first; then sites are asked and called, all at once."""
        found: list[messages.Event] = []
        for order in orders:
            if isinstance(order, Log):
                self.keeper.log(order.event, **order.fields)
            elif isinstance(order, Save):
                if not await self.write(order.state):
                    return []
                found.append(messages.Saved(order.revision))
        async with trio.open_nursery() as nursery:
            for order in orders:
                if isinstance(order, Ask | Observe | Adjust):
                    nursery.start_soon(self.reach, order, found)
        return found

    async def write(self, state: duty.Document | None) -> bool:
        """False, and no longer the driver, where the register does not take it."""
        made = await self.keeper.change(duty.save(self.keeper.me, self.epoch, state, self.driver.view()))
        self.gone = self.gone or made is None or made == duty.FENCED
        return not self.gone

    async def reach(self, order: Ask | Observe | Adjust, found: list[messages.Event]) -> None:
        site = order.site
        if isinstance(order, Ask):
            found.append(messages.Told(site.name, await self.evidence(site, order.aims)))
        elif isinstance(order, Observe):
            status, body = await self.call(site, "setpoint.observe", b"")
            if status == 200:
                version = int(orjson.loads(body)["setpointSeq"], 16)
                found.append(messages.Observed(site.name, version, body))
            else:
                found.append(messages.Observed(site.name, 0 if status == 404 else -1))
        else:
            status, _ = await self.call(site, "setpoint.adjust", order.body)
            found.append(messages.Answered(site.name, order.version, status))

    async def call(self, site: Site, name: str, body: bytes) -> tuple[int, bytes]:
        """The operator's call at one control plane after the other: the first clear answer."""
        until = trio.current_time() + CALLS
        for control in self.keeper.random.sample(site.controls, len(site.controls)):
            if trio.current_time() > until:
                break  # Danger: a turn that lasts as long as a lease is another driver's beginning
            status, data, _ = await trio.to_thread.run_sync(
                operator.once, address_of(control), f"/v1/rpc?call={name}", body, operator.SILENT
            )
            if status == 200 or status in operator.AT_ONCE or status == 404:
                return status, data
        return 0, b""

    async def evidence(self, site: Site, aims: dict[str, float]) -> Message | None:
        """Of all its control planes together: each data plane tells two of them."""
        heard: list[Message] = []

        async def ask(control: str) -> None:
            link = self.keeper.members.link(f"{address_of(control).host}:{site.inner}")
            try:
                heard.append(await link.ask("evidence", {"op": "evidence", "aims": aims}, SITE))
            except PeerError:
                return

        async with trio.open_nursery() as nursery:
            for control in site.controls:
                nursery.start_soon(ask, control)
        if not heard:
            return None
        return {
            "rows": [row for answer in heard for row in answer["rows"]],
            "version": max(int(answer["version"]) for answer in heard),
            "machines": max(int(answer["machines"]) for answer in heard),
        }


class Keeper:
    def __init__(
        self,
        me: str,
        seeds: tuple[str, ...],
        folder: Path,
        first: bool,
        nursery: trio.Nursery,
        telemetry: Telemetry,
    ) -> None:
        self.me, self.seeds, self.nursery, self.log = me, seeds, nursery, telemetry.log
        self.random = Random(secrets.randbits(32))
        self.members = Members(nursery)
        folder.mkdir(parents=True, exist_ok=True)
        store = Store(str(folder), STORAGE_MB)
        self.register = Register(me, seeds, first, store, self.members, self.random, self.log)
        self.repair = Repair(self.register, self.log)
        self.began = trio.current_time()
        self.heard: dict[Member, float] = {}
        self.beat, self.beat_at = -1, trio.current_time()
        self.hand: Hand | None = None

    async def change(self, make: duty.Make) -> Value | str | None:
        """The decided value, why it was refused, or None: not decided in time."""
        try:
            return await self.register.change(make, DECIDE, "rollout")
        except Unsettled:
            return None

    # ---- questions ----

    async def handle(self, message: Message) -> Message:
        kind, word = message.get("op"), message.get("word")
        if kind == "agree":
            return {"reply": await self.register.handle(message["message"])}
        if kind != "rollout":
            return {"error": f"no such question: {kind!r}"[:100]}
        try:
            if word == "status":
                return {"document": orjson.dumps(duty.read(await self.register.read(DECIDE)))}
            if word == "start":
                made = await self.change(duty.start(drivers.begin(plan.read(orjson.loads(message["plan"])))))
            elif word in ("pause", "resume", "abort", "leave"):
                made = await self.change(duty.ask(word))
            else:
                return {"error": f"no such word: {word!r}"[:100]}
        except plan.PlanError as error:
            return {"refused": str(error)[:2000]}
        except Unsettled as error:
            return {"error": str(error)}
        if made is None:
            return {"error": "not decided in time; it may be yet: say it again"}
        return {"ok": True} if isinstance(made, Value) or made == duty.SAVED else {"refused": made}

    # ---- turns ----

    async def run(self) -> None:
        await self.register.begin()
        while True:
            began = trio.current_time()
            await self.meet()
            try:
                document = duty.read(await self.register.read(DECIDE))
            except Unsettled:
                if self.hand is not None:
                    self.log("rollout.fenced", why="no majority of keepers answers")
                self.hand = None
            else:
                await self.turn(document)
            every = self.hand.driver.plan.poll if self.hand is not None else TURN
            await trio.sleep(max(0.05, began + every - trio.current_time()))

    async def turn(self, document: duty.Document) -> None:
        if not duty.running(document):
            self.hand, self.beat, self.beat_at = None, -1, trio.current_time()
            return
        if self.hand is not None:
            if not await self.hand.write(None):
                self.log("rollout.fenced", epoch=self.hand.epoch)
                self.hand = None
                return
            return await self.hand.turn(document)
        now = trio.current_time()
        if document["beat"] != self.beat:
            self.beat, self.beat_at = document["beat"], now
        silent = now - self.beat_at
        if silent < duty.LEASE and (document["driver"] or silent < self.random.random()):
            return
        made = await self.change(duty.win(self.me, document["epoch"]))
        if isinstance(made, Value):
            won = duty.read(made)
            self.hand = Hand(self, won["epoch"], won["state"])
            self.log("rollout.duty", epoch=won["epoch"], name=won["state"]["name"])

    async def meet(self) -> None:
        """Who is there, with which disk; a wiped or replaced one is named a member again."""

        async def ask(address: str) -> None:
            try:
                reply = await self.members.agree(address, {"kind": "read"}, SITE / 2)
                self.heard[Member(*map(str, reply["from"]))] = trio.current_time()
            except (PeerError, KeyError, TypeError):
                return

        async with trio.open_nursery() as nursery:
            for address in self.seeds:
                if address != self.me:
                    nursery.start_soon(ask, address)
        now, decided, mine = trio.current_time(), self.register.decided, self.register.me
        silent = {member: now - at for member, at in self.heard.items()} | {mine: 0.0}
        if decided is None or now - self.began < 2.0:
            return  # Danger: who has only just come up takes all others for silent
        there = [member.address for member in decided.members if silent.get(member, 99.0) <= 1.0]
        if there and min(there) == self.me:
            await self.repair.mend(silent, tuple(silent))


async def keep(listen: str, seeds: tuple[str, ...], folder: Path, first: bool) -> None:
    telemetry = Telemetry(f"keeper {listen}", numbers=events.NUMBERS)
    async with trio.open_nursery() as nursery:
        keeper = Keeper(listen, seeds, folder, first, nursery, telemetry)
        listener = await net.listen(address_of(listen))
        nursery.start_soon(
            frames.serve,
            listener,
            keeper.handle,
            nursery,
            lambda why: telemetry.rare("peer.broken", error=why),
        )
        nursery.start_soon(keeper.run)
        telemetry.log("start", address=listen, disk=keeper.register.me.disk)
        with trio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as signals:
            async for _ in signals:
                break
        telemetry.log("exit")
        nursery.cancel_scope.cancel()


async def say(keepers: list[Address], message: dict[str, Any], limit: float) -> Message:
    """An operator's word to whichever keeper answers; PeerError of the last."""
    failed = PeerError("rollout", "", "no keeper given")
    async with trio.open_nursery() as nursery:
        for address in keepers:
            try:
                answer = await Link(address, nursery).ask("rollout", {"op": "rollout", **message}, limit)
            except PeerError as error:
                failed = error
                continue
            nursery.cancel_scope.cancel()
            return answer
        nursery.cancel_scope.cancel()
    return {"error": str(failed)}
