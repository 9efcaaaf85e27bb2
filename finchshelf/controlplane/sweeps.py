"""What no news brings: silence, members that are gone, values of which nobody says whether they are decided.

Owns the looks at them and how often. It must never call anybody lost who may only be beyond a cut.
"""

from __future__ import annotations

import math
from collections.abc import Iterator
from contextlib import contextmanager
from random import Random

import trio

from finchshelf import program
from finchshelf.agreement.membership import on_duty
from finchshelf.controlplane.asking import Asking
from finchshelf.controlplane.news import News
from finchshelf.controlplane.register import Register
from finchshelf.controlplane.repair import Repair
from finchshelf.membership import contact
from finchshelf.transport.exchange import Clock

SWEEP = 0.25  # s between two looks for silence
HALT = 1.0  # s between two looks from which this process itself stood still
MEND = 0.25  # s between two looks at the members


class Sweeps:
    def __init__(
        self, news: News, asking: Asking, register: Register, repair: Repair, clock: Clock, random: Random
    ) -> None:
        self.news, self.asking, self.register, self.repair = news, asking, register, repair
        self.clock, self.random = clock, random
        self.cells = news.cells
        self.last = clock.now()
        self.left_off = self.cells.left_off  # as last logged
        self.due = math.inf  # since when there is something to mend at the members
        self.doubted: object = None
        self.since = math.inf  # when a value was seen accepted that is still not known as decided

    async def sweep(self) -> None:
        joined = False
        while True:
            await trio.sleep(SWEEP)
            with self.told("sweep"):
                before, joined = joined, self.look(self.clock.now())
                if joined != before:
                    self.news.wake()

    def look(self, now: float) -> bool:
        """One look; whether this one may speak for the core."""
        joined, halted, self.last = self.news.joined(), now - self.last > HALT, now
        # Danger: after a halt the beats that came meanwhile are still unread, and all servers look silent;
        # behind a cut one way the others' questions come on, while servers beat elsewhere.
        news = self.cells.silent_servers(now, joined and not halted) | self.cells.silent_limiters(now)
        self.tell_left_off()
        self.news.times.keep((one.node for one in self.cells.merged), now)
        if news | (joined and self.cells.judge(now)):
            self.news.wake()
        if joined and self.doubtful(now):
            self.asking.nursery.start_soon(self.register.finish)
        return joined

    def tell_left_off(self) -> None:
        """Log the limiters that were left off the list, or came back to it, since the last look."""
        if self.cells.left_off != self.left_off:
            self.left_off = self.cells.left_off
            self.news.log("limiters.left_off", limiters=sorted(node for node, _ in self.left_off))

    def doubtful(self, now: float) -> bool:
        """Has a value been accepted here for long, with no word on whether it is decided?

        Danger: whoever proposed it acknowledged it and was cut off. Its majority holds it, nobody there knows
        that it is decided, and no limiter would hear of it before the next change."""
        accepted = self.register.acceptor.accepted
        if accepted is None or accepted is not self.doubted:
            self.doubted, self.since = accepted, now + contact.UNDECIDED_S * (1 + self.random.random())
            return False
        if now < self.since:
            return False
        self.since = now + 2 * contact.UNDECIDED_S
        return True

    async def mend(self, seeds: tuple[str, ...]) -> None:
        """Members that are wiped, gone or new: a round of ballots, by the first of those heard, or by the
        next where that one doesn't come to it."""
        while True:
            await trio.sleep(MEND * (0.75 + 0.5 * self.random.random()))
            with self.told("mend"):
                await self.mend_once(seeds)

    @contextmanager
    def told(self, step: str) -> Iterator[None]:
        """An error in a look is logged, and the next look is made.

        Danger: one record would end each control plane that holds it, again at each start."""
        try:
            yield
        except Exception as error:
            self.news.log("sweep.error", step=step, error=repr(error), at_line=program.where(error))

    async def mend_once(self, seeds: tuple[str, ...]) -> None:
        now, decided, me = self.clock.now(), self.register.decided, self.register.me
        members = {member.address for member in decided.members} if decided else set[str]()
        for address in self.cells.forget(members | set(seeds), now):
            self.asking.members.forget(address)
            self.register.witness.forget(address)
        for address in sorted(members | set(seeds)):
            control = self.cells.meet(address)
            if control is not None:
                self.asking.follow(control)
        if decided is None or self.cells.young(self.cells.address, now):
            return  # Danger: who has only just come up takes all others for silent
        silent = self.cells.silent(me, now, self.register.disk_failing_s())
        # Danger: were the duty a new member's, nobody would do it until that one is no longer young.
        voters = [
            m.address
            for m in decided.members
            if silent.get(m, math.inf) <= 1.0 and not self.cells.young(m.address, now)
        ]
        candidates = self.cells.candidates(me, self.asking.counted)
        due = self.repair.due(silent, candidates, self.news.going)
        self.due = min(self.due, now) if due else math.inf
        if on_duty(self.cells.address, voters, now - self.due):
            await self.repair.mend(silent, candidates, self.news.going)
