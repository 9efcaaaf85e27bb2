"""Rounds of questions to the members: an attempt to its outcome, and what they say of themselves.

Owns the tasks that carry one round's messages. Rules are `agreement.core`'s. It must never leave a task
outside of the program's nursery, nor ask a member that answers without a pause in between.
"""

from __future__ import annotations

import trio

from finchshelf.agreement import core
from finchshelf.agreement.core import Decided, Member, Proposer, Refused, Retry, Value
from finchshelf.controlplane.peers import Asker
from finchshelf.transport.frames import Message

READ_S = 0.3  # s for the answers to a read
ASK_AGAIN_S = 0.1  # s until one that could not answer is asked again, where nobody is heard that was silent


class Rounds:
    def __init__(self, register: Asker) -> None:
        self.register = register
        self.met = trio.Event()  # another member that was silent is heard again

    def meet(self) -> None:
        """Someone is heard that was silent: who waits for its answer asks it anew, at once."""
        event, self.met = self.met, trio.Event()
        event.set()

    async def attempt(
        self, proposer: Proposer, without: Member | None = None
    ) -> Decided | Refused | Retry | None:
        """One attempt to its outcome; None where the members that answered leave it open."""
        done, busy = trio.Event(), 0

        async def carry(sends: list[tuple[Member, Message]]) -> None:
            nonlocal busy
            for member, message in sends:
                reply = await self.register.send(member, message)
                if reply is not None and proposer.outcome is None:
                    follow = proposer.on_reply(member, reply)
                    if proposer.outcome is None:
                        start(follow)
                    else:
                        self.spread(follow)
            busy -= 1
            if proposer.outcome is not None or not busy:
                done.set()

        def start(sends: list[tuple[Member, Message]]) -> None:
            nonlocal busy
            by_member: dict[Member, list[tuple[Member, Message]]] = {}
            for member, message in sends:
                by_member.setdefault(member, []).append((member, message))
            for group in by_member.values():
                busy += 1
                nursery.start_soon(carry, group)

        async with trio.open_nursery() as nursery:
            start(proposer.start(without))
            await done.wait()
            nursery.cancel_scope.cancel()
        return proposer.outcome

    def spread(self, sends: list[tuple[Member, Message]]) -> None:
        """Tell the members what is decided; whoever misses it hears it with the news."""
        for member, message in sends:
            if member.address != self.register.address:
                # Danger: a task outside of the program's nursery goes on when that has ended; what it meets
                # then, a link that opens no more tasks, would end the whole program as an internal error.
                if message["kind"] == "learn":
                    # Danger: known to its proposer alone, a vote is forgotten with that one.
                    message = {**message, "disks": self.register.disks()}
                self.register.peers.nursery.start_soon(self.tell, member, message)

    async def tell(self, member: Member, message: Message) -> None:
        await self.register.send(member, message)

    async def states(self, decided: Value, again: bool = False) -> dict[Member, Message]:
        """What its members say of themselves, until they prove it to be the newest or the time is up.
        `again`: who could not answer is asked anew as soon as anybody is heard that was silent."""
        states: dict[Member, Message] = {}

        async def ask(member: Member) -> None:
            while True:
                met = self.met
                reply = await self.register.send(member, {"kind": "read"})
                if reply is not None:
                    states[member] = reply
                    # What a majority says proves it, or says that there is more, and no other word undoes it.
                    if len(slots_of(states)) >= core.majority(len(decided.members)):
                        nursery.cancel_scope.cancel()
                # Danger: a wiped disk answers at once, and says nothing of use. Without a pause for it as for
                # one that is silent, it would be asked as fast as it answers, for as long as it is none.
                if slots_of({member: states.get(member, {})}) or not again:
                    return
                with trio.move_on_after(ASK_AGAIN_S):
                    await met.wait()

        with trio.move_on_after(READ_S):
            async with trio.open_nursery() as nursery:
                for member in decided.members:
                    nursery.start_soon(ask, member)
        return states


def slots_of(states: dict[Member, Message]) -> list[int]:
    """The newest slot that each of those knows who said so under the name asked for."""
    return [
        int(one["slot"])
        for member, one in states.items()
        if one.get("kind") == "state" and one.get("from") == list(member)
    ]
