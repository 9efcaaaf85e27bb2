"""Questions of this control plane to the others: for news, and to hold a record.

Owns who is asked, and what their answers change here. It must never count a record as held by one that knows
of a newer core than this one does, or call an answer younger than its question.
"""

from __future__ import annotations

import math
from collections.abc import Awaitable, Callable
from random import Random

import trio

from finchshelf.agreement.forms import FORM
from finchshelf.controlplane.cells import Cells, Control
from finchshelf.controlplane.heard import Heard, read_answer
from finchshelf.controlplane.members import Members
from finchshelf.controlplane.peers import Speaker
from finchshelf.membership import contact
from finchshelf.membership.records import Server
from finchshelf.transport.exchange import Clock
from finchshelf.transport.frames import PeerError

BETWEEN = 0.4  # s that a question between control planes waits: they judge each other's silence by it
AFTER_FAILURE = 0.3  # s until a control plane that did not answer is asked again
NO_SLOT = -1  # what is held here is held by whom this one knows to be a member
HOLD = 0.6  # s for other control planes to hold a record: a server waits a second for its acknowledgement


TOLD_S = 1.0  # s for which a disk takes no writes until the others are told


def disk_trouble(failing_s: float) -> dict[str, int]:
    """What a question says of the own disk; nothing while it does well."""
    return {"failing": int(1000 * failing_s)} if failing_s >= TOLD_S else {}


class Asking:
    def __init__(
        self,
        speaker: Speaker,
        cells: Cells,
        members: Members,
        clock: Clock,
        nursery: trio.Nursery,
        counted: bool,
        random: Random,
        log: Callable[..., None],
    ) -> None:
        self.speaker, self.cells, self.members, self.clock = speaker, cells, members, clock
        self.nursery, self.counted, self.random, self.log = nursery, counted, random, log
        self.steady: set[str] = set()
        # Returns once the tables as they are now are on disk; at once where there is none.
        self.written: Callable[[], Awaitable[None]] = trio.lowlevel.checkpoint

    def follow(self, control: Control) -> None:
        """Ask it for news from now on."""
        if control.address not in self.steady:
            self.steady.add(control.address)
            self.nursery.start_soon(self.ask_on, control)

    async def ask_on(self, control: Control) -> None:
        try:
            while self.cells.controls.get(control.address) is control:
                try:
                    await self.ask_once(control)
                except Exception as error:  # Danger: one peer's rubbish would end the program
                    if not isinstance(error, PeerError):
                        self.log("peer.unfit", peer=control.address, step="news", error=repr(error))
                    await trio.sleep(AFTER_FAILURE * (0.5 + self.random.random()))
        finally:
            self.steady.discard(control.address)

    async def ask_once(self, control: Control) -> None:
        cells, register = self.cells, self.speaker.known
        have = {
            "life": control.life,
            "rev": control.rev,
            "own": control.own,
            "named": control.named,
            "verdicts": control.verdicts,
            "suspicions": control.suspicions_rev,
            "slot": register.known_to(control.address),
            "zip": True,
            "pieces": True,
        }
        sent = self.clock.now()
        answer = await self.members.link(control.address).ask(
            "news",
            {
                "op": "news",
                "have": have,
                "wait": BETWEEN,
                "control": [cells.address, cells.zone, register.me.disk, self.counted],
                "saved": register.saved(),
                "form": FORM,
                **disk_trouble(register.disk_failing_s()),
            },
            BETWEEN + 1.0,
        )
        now = self.clock.now()
        heard = read_answer(answer, now, control.limiters)
        self.take(control, heard, min(now, contact.spoke(sent, BETWEEN if heard.none else heard.held)), now)

    def take(self, control: Control, heard: Heard, spoke: float, now: float) -> None:
        """`spoke`: a moment at which it had not yet said all of this."""
        cells, register, joined = self.cells, self.speaker.known, self.speaker.joined()
        cells.hear(control, now)
        if heard.disk is not None:
            control.run_on(heard.disk)
        control.spoke = max(control.spoke, spoke)
        if heard.life != control.life:
            control.since = now
            control.life, control.rev, control.own, control.named = heard.life, -1, -1, -1
            control.verdicts, control.suspicions, control.suspicions_rev = -1, (), 0
            if heard.none:
                return
        news = False
        if heard.servers is not None:
            control.rev, records = heard.servers
            news |= cells.merge_records(records, now)
        if heard.limiters is not None:
            news |= cells.limiters_of(control, heard.limiters[1], heard.limiters[0], now)
        if heard.verdicts is not None:
            control.verdicts, verdicts = heard.verdicts
            for verdict in verdicts:
                news |= cells.board.put(verdict)
        if heard.suspicions is not None:
            rev, told = heard.suspicions
            news |= cells.suspicions_of(control, told, rev, now)
        if heard.value is not None:
            register.tell_newest(heard.value.slot)
            if heard.document:
                self.nursery.start_soon(register.fetch, heard.value, heard.document, control.address)
            else:
                register.learn(heard.value)
        control.named = control.named if heard.named is None else heard.named
        for address, zone in heard.controls:
            met = cells.meet(address)
            if met is not None:
                met.zone = zone
                self.follow(met)
        if news | cells.merge(now) or joined != self.speaker.joined():
            self.speaker.wake()

    async def hold(self, record: Server) -> bool:
        """Do more than half of the core have this record on disk? While cut off, this one asks nobody."""
        if not self.speaker.joined():
            return False
        held: dict[str, int] = {}  # by whom, and the newest slot that each knew then
        rows = [record.pack(self.clock.now())]
        done = trio.Event()

        def enough() -> bool:
            # Danger: more than half of a core that is no more may be held by nobody whom limiters ask. An
            # answer from a newer one counts once this one knows that too.
            core, slot = self.speaker.core_members(), self.slot()
            return 2 * sum(held.get(one, math.inf) <= slot for one in core) > len(core)

        async def keep() -> None:
            # Danger: in memory alone, it would be forgotten where all control planes are killed at once.
            await self.written()
            held[self.cells.address] = NO_SLOT
            if enough():
                done.set()

        async def tell(address: str) -> None:
            try:
                answer = await self.members.link(address).ask("hold", {"op": "hold", "rows": rows}, HOLD)
            except PeerError:
                return
            held[address] = int(answer.get("slot", -1))
            if enough():
                done.set()

        async def learn() -> None:
            while True:
                await self.speaker.known.decided_event.wait()
                if enough():
                    done.set()

        with trio.move_on_after(HOLD):
            async with trio.open_nursery() as nursery:
                nursery.start_soon(keep)
                others = sorted(self.speaker.core_members() - {self.cells.address})
                for address in others:
                    nursery.start_soon(tell, address)
                nursery.start_soon(learn)
                await done.wait()
                # Danger: the others must hear of it too, so what is under way is not cut off.
                for address in others:
                    if address not in held:
                        self.nursery.start_soon(tell, address)
                nursery.cancel_scope.cancel()
        return enough()

    def slot(self) -> int:
        decided = self.speaker.known.decided
        return decided.slot if decided is not None else -1
