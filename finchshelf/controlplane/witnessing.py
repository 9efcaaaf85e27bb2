"""What members tell each other of their disks, and the vote that waits after a start until they have.

Owns the questions to the other members about this one's disk, and the words on their disks that go with
decided values. It must never let a disk vote of which a member that answers has heard more than it holds.
"""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from typing import Any

import trio

from finchshelf.agreement import core
from finchshelf.agreement.core import Member
from finchshelf.controlplane.peers import Asker
from finchshelf.transport.frames import Message

# rows that are read: a core may be begun with more members than it grows to; who tells is one more
MOST_ROWS = 256
WORDS_S = 0.3  # s for the members' words on this one's disk
REACH_S = 0.01  # until a member to which no connection has come up is taken for unreachable, for reads only
ASK_AGAIN_S = 0.1  # s until they are asked again, where too few answered


class Witnessing:
    """The vote of a restarted disk waits for every member's word; what it holds is told a little sooner.

    A read is answered once no member that can be reached has still to say what it has heard of this disk. A
    slow member is waited for as long as a vote would be, a dark one is not: after a loss of power every
    start would be late by it.
    """

    def __init__(
        self, register: Asker, give_up: Callable[[], Awaitable[None]], met: Callable[[], trio.Event]
    ) -> None:
        """`met`: the event of another member that was silent being heard again."""
        self.register, self.give_up, self.met = register, give_up, met
        self.readable = trio.Event()

    async def allow_read(self, limit: float) -> bool:
        """Waits `limit` s at most until what the disk holds may be told; False if it may not yet."""
        if not self.register.witness.doubted:
            return True
        with trio.move_on_after(limit):
            await self.readable.wait()
        return self.readable.is_set()

    async def run(self) -> None:
        """After a start: has any member heard more of this disk than it holds? Until then it has no vote."""
        register = self.register
        while register.witness.doubted:
            members = register.decided.members if register.decided is not None else ()
            met = self.met()
            words = await self.words([one for one in members if one.address != register.address])
            if register.witness.put_back(words):
                await self.give_up()
            elif len(words) + 1 >= core.majority(len(members)):
                register.witness.trust()
            else:
                with trio.move_on_after(ASK_AGAIN_S):
                    await met.wait()
        self.readable.set()

    async def words(self, others: list[Member]) -> list[int]:
        """What each of them that answers has heard of this disk."""
        found, register = list[int](), self.register
        silent = set(others)
        answered = trio.Event()

        async def ask(member: Member) -> None:
            nonlocal answered
            while True:
                met = self.met()
                reply = await register.send(member, {"kind": "read", "me": list(register.me)})
                if reply is not None and reply.get("kind") == "state":
                    break
                # Danger: one that comes up while another is waited for would be asked only in the next round.
                with trio.move_on_after(ASK_AGAIN_S):
                    await met.wait()
            found.append(int(reply.get("saw", -1)))
            silent.discard(member)
            answered.set()
            answered = trio.Event()

        async def release_reads() -> None:
            needed = core.majority(len(others) + 1) - 1
            await trio.sleep(REACH_S)
            while (
                len(found) < needed
                or register.witness.put_back(found)
                or any(register.peers.reaches(member.address) for member in silent)
            ):
                await answered.wait()
            self.readable.set()

        # Danger: the first to answer may be one that has itself just come up; all are waited for.
        with trio.move_on_after(WORDS_S):
            async with trio.open_nursery() as nursery:
                nursery.start_soon(release_reads)
                async with trio.open_nursery() as questions:
                    for member in others:
                        questions.start_soon(ask, member)
                nursery.cancel_scope.cancel()
        return found

    def told(self, message: Message) -> None:
        """Words on the members' disks that came with a decided value; they go to this disk with it."""
        for row in read_rows(message.get("disks", ())):
            self.register.witness.heard(*row)


def read_rows(rows: Any) -> list[tuple[str, str, int]]:
    """Address, disk and number of each member; ValueError or TypeError where they can't be read."""
    found = [(address, disk, number) for address, disk, number in rows]
    if len(found) > MOST_ROWS or not all(
        isinstance(address, str) and isinstance(disk, str) and type(number) is int
        for address, disk, number in found
    ):
        raise ValueError("disks: expected rows of address, disk and number")
    return found
