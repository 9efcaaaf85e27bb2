"""Machines that agree, in memory: what can happen next is listed, and one of it done at a time.

Owns the harm: loss, doubles, reordering, restarts that lose what wasn't synced, wiped disks.
"""

from __future__ import annotations

from dataclasses import replace
from typing import Any

import msgpack

from finchshelf.agreement import core
from finchshelf.agreement.membership import next_members

ADDRESSES = ("a:1", "b:1", "c:1")
Action = tuple[Any, ...]


class Split(Exception):
    """What must never be: two values decided for one slot."""


class Forgetful(core.Proposer):
    """A mutant: ignores what was accepted."""

    def _found(self) -> core.Value | None:
        return None


def add(change: str) -> Any:
    def make(now: core.Value) -> core.Value | core.Refusal:
        return replace(
            now, slot=now.slot + 1, version=now.version + 1, document=now.document + change.encode() + b" "
        )

    return make


def members(to: tuple[core.Member, ...]) -> Any:
    return lambda now: replace(now, slot=now.slot + 1, members=to)


class Fleet:
    def __init__(self, mutant: str = "", lazy: bool = False) -> None:
        self.mutant, self.lazy = mutant, lazy or mutant == "early"
        self.acceptors = {
            each: core.Acceptor(core.Member(each, core.FIRST), core.genesis(ADDRESSES)) for each in ADDRESSES
        }
        self.disks = {each: msgpack.packb(one.state()) for each, one in self.acceptors.items()}
        self.held: dict[str, tuple[Action, ...]] = {each: () for each in ADDRESSES}
        self.net: frozenset[Action] = frozenset()  # (attempt, member, is a reply, packed message)
        self.attempts: dict[str, core.Proposer] = {}
        self.chosen: dict[int, core.Value] = {0: core.genesis(ADDRESSES)}
        self.done: frozenset[str] = frozenset()  # acknowledged changes
        self.wipes = 0

    def propose(self, name: str, address: str, change: Any, n: int) -> None:
        decided = self.acceptors[address].decided
        if decided is not None:
            maker = Forgetful if self.mutant == "forgetful" else core.Proposer
            self.attempts[name] = maker(address, decided, change, n)
            self._send(name, self.attempts[name].start())

    def _send(self, name: str, sends: core.Sends) -> None:
        self.net |= {(name, to, False, msgpack.packb(message)) for to, message in sends}

    def deliver(self, packet: Action, keep: bool = False) -> None:
        if not keep:
            self.net -= {packet}
        name, to, is_reply, packed = packet
        if is_reply:
            self._hear(name, to, msgpack.unpackb(packed))
            return
        acceptor = self.acceptors[to.address]
        reply, dirty = acceptor.handle(msgpack.unpackb(packed))
        back = (name, to, True, msgpack.packb(reply))
        if acceptor.decided is not None:
            self._choose(acceptor.decided)
        if dirty and self.lazy and self.mutant != "early":
            self.held[to.address] += (back,)
            return
        if dirty and not self.lazy:
            self.sync(to.address)
        self.net |= {back}

    def _hear(self, name: str, to: core.Member, reply: core.Message) -> None:
        if name not in self.attempts:
            return
        attempt = self.attempts[name]
        before = attempt.outcome
        self._send(name, attempt.on_reply(to, reply))
        if isinstance(attempt.outcome, core.Decided) and before is None:
            self._choose(attempt.outcome.value)
            self.acceptors[attempt.ballot.address].learn(attempt.outcome.value)
            if attempt.outcome.mine:
                self.done |= {name}
        elif isinstance(attempt.outcome, core.Retry):
            if attempt.outcome.learned is not None:
                self.acceptors[attempt.ballot.address].learn(attempt.outcome.learned)

    def _choose(self, value: core.Value) -> None:
        if self.chosen.setdefault(value.slot, value) != value:
            raise Split(value.slot)

    def sync(self, address: str) -> None:
        one = self.acceptors[address]
        self.disks[address] = msgpack.packb(one.state())
        one.saved(one.revision)
        self.net |= frozenset(self.held[address])
        self.held[address] = ()

    def restart(self, address: str) -> None:
        self.acceptors[address] = core.Acceptor.restore(address, msgpack.unpackb(self.disks[address]))
        self.held[address] = ()
        self.attempts = {name: one for name, one in self.attempts.items() if one.ballot.address != address}

    def wipe(self, address: str) -> None:
        self.wipes += 1
        me = core.Member(address, f"wiped {self.wipes}")
        blank = core.Acceptor(me)
        if self.mutant == "wiped":
            blank = core.Acceptor(self.acceptors[address].me, self.chosen[0])
        self.acceptors[address] = blank
        self.attempts = {name: one for name, one in self.attempts.items() if one.ballot.address != address}
        self.held[address] = ()
        self.disks[address] = msgpack.packb(blank.state())

    def recovered(self) -> bool:
        """Whether another wipe may come: all members' disks are there, and a majority knows it durably."""
        last = self.chosen[max(self.chosen)]
        known = [
            msgpack.unpackb(self.disks[each.address])["decided"] == last.pack()
            for each in last.members
            if self.acceptors[each.address].me == each
        ]
        return len(known) == len(last.members) and sum(known) >= core.majority(len(last.members))

    def heal(self, name: str) -> None:
        """All is delivered in order until wiped disks are members again and a last change is decided."""
        self.net, self.attempts = frozenset(), {}
        for address in ADDRESSES:
            self.sync(address)
        n = 1000
        for turn in range(12):
            address = max(ADDRESSES, key=lambda each: self.acceptors[each]._slot())
            now = self.acceptors[address].decided
            assert now is not None
            seen = {one.me: 0.0 for one in self.acceptors.values()}
            to = next_members(now.members, seen, tuple(seen))
            change = f"{name}{turn}" if to is None else f"m{name}{turn}"
            self.propose(change, address, add(change) if to is None else members(to), n)
            n = 1000 + 10 * turn
            while self.net:
                self.deliver(min(self.net))
                for each in ADDRESSES:
                    self.sync(each)
            if to is None and change in self.done:
                return
        raise Split("nothing is decided any more")
