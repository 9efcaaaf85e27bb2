"""Looks at what transitions change for limiters: which servers they are told of, and which versions are new.

Owns these looks and how often they are made. It must never take a version that is new beside another one for
one without a transition before the newest decided value was read.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import TYPE_CHECKING

import trio

from finchshelf import program
from finchshelf.agreement.transitions import Mode, Transitions, of_service, withheld
from finchshelf.controlplane.news import News
from finchshelf.controlplane.register import Register, Unsettled
from finchshelf.controlplane.versions import Pair, pair_of
from finchshelf.transport.exchange import Clock

if TYPE_CHECKING:
    from finchshelf.controlplane.transition_driver import TransitionDriver

LOOK_S = 0.25  # between two looks
READ_S = 0.7  # for a read of the newest value


class TransitionWatch:
    """Tells limiters anew what a transition changes for them, proves versions that are new, and lets the
    driver look."""

    def __init__(self, register: Register, news: News, clock: Clock, log: Callable[..., None]) -> None:
        self.register, self.news, self.cells = register, news, news.cells
        self.clock, self.log = clock, log
        self.driver: TransitionDriver | None = None
        self.transitions: Transitions = ()

    async def run(self) -> None:
        while True:
            event = self.register.decided_event
            try:
                self.retell()
                await self.prove()
                await self.drive()
            except Exception as error:
                # Danger: one record would end each control plane that holds it, again at each start.
                self.log("sweep.error", step="transitions", error=repr(error), at_line=program.where(error))
            with trio.move_on_after(LOOK_S):
                await event.wait()

    async def drive(self) -> None:
        """Let the driver look, where there is anything to drive."""
        if self.driver is None and not any(one.mode is Mode.TRACKING for one in self.transitions):
            return
        if self.driver is None:
            from finchshelf.controlplane import transition_driver  # a start need not wait for it

            self.driver = transition_driver.TransitionDriver(self.register, self.news, self.clock, self.log)
        await self.driver.look()

    def retell(self) -> None:
        """Limiters hear anew of all servers whose version is withheld from now on, or no longer is."""
        decided = self.register.decided
        before, now = self.transitions, decided.transitions if decided is not None else ()
        if now == before:
            return
        self.transitions = now
        for one in now:
            former = of_service(before, one.service)
            if former is None or former.number != one.number:
                self.log("transition.begun", service=one.service, target=one.target, slot=one.number)
            if one.mode is not Mode.TRACKING and (former is None or former.mode is not one.mode):
                self.log("transition.ended", service=one.service, target=one.target, mode=one.mode)
        self.tell(self.cells.versions.changed(before, now))

    def tell(self, pairs: set[Pair]) -> None:
        names = [one.id for one in self.cells.servers.rows.values() if pair_of(one) in pairs]
        for name in names:
            self.cells.servers.tell(name)
        if names:
            self.news.wake()

    async def prove(self) -> None:
        """A version that is new beside another one: has it a transition? Only the newest value can say."""
        pairs = self.cells.versions.unproved(self.transitions)
        if not pairs:
            return
        try:
            await self.register.read(READ_S)
        except Unsettled:
            return
        self.retell()
        self.cells.versions.prove(pairs)
        for service, version in pairs:
            bound = withheld(self.transitions, service, version)
            self.log("version.new", service=service, version=version, withheld=bound)
        self.tell(self.cells.versions.allowed(self.transitions))
