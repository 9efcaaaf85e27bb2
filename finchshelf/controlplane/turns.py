"""Turns of work: who asks a control plane begins at once, waits by rank, or hears at once that it is busy.

Owns the one task that ends turns. It must never decide who is first (`ranks` does), or hold a turn while
something waits for the network or the disk.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable

import trio

from finchshelf.controlplane.ranks import Line, Rank

TOLD = 1.0  # s between two lines about what was shed


class Busy(Exception):
    """Shed: more is asked than can be done."""


class Ticket:
    def __init__(self, rank: Rank) -> None:
        self.rank, self.event, self.shed = rank, trio.Event(), False


class Turns:
    def __init__(self, log: Callable[..., None]) -> None:
        self.log = log
        self.line: Line[Ticket] = Line()
        self.shed: Counter[str] = Counter()
        self.told = -TOLD
        self.owner = trio.lowlevel.ParkingLot()

    async def begin(self, rank: Rank) -> None:
        """Returns when its turn has come; Busy if it is shed."""
        ticket = Ticket(rank)
        at_once, shed = self.line.come(ticket, rank, trio.current_time())
        self.owner.unpark()
        if at_once:
            return
        self.turn_away(shed)
        await ticket.event.wait()
        if ticket.shed:
            raise Busy(rank.name)

    def turn_away(self, shed: list[Ticket]) -> None:
        for ticket in shed:
            ticket.shed = True
            ticket.event.set()
            self.shed[ticket.rank.name.lower()] += 1

    async def run(self) -> None:
        while True:
            if not self.line.begun:
                await self.owner.park()
            await self.worked()
            begin, shed = self.line.turn(trio.current_time())
            for ticket in begin:
                ticket.event.set()
            self.turn_away(shed)
            if self.shed and trio.current_time() - self.told >= TOLD:
                self.log("calls.shed", **self.shed)
                self.told = trio.current_time()
                self.shed.clear()

    async def worked(self) -> None:
        """Until all that was begun has run as far as it goes without waiting."""
        await trio.lowlevel.checkpoint()
