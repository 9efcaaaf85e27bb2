"""The register as this machine sees it: its acceptor, its disk, its questions to the other members.

Owns the acceptor and the one thread at a time that saves it. Rules are `agreement.core`'s; this file carries
messages and measures time. It must never let a reply leave before what it leans on is on the disk.
"""

from __future__ import annotations

import math
import secrets
from collections.abc import Callable
from contextlib import suppress
from dataclasses import replace
from random import Random
from typing import Any

import trio

from finchshelf.agreement import core
from finchshelf.agreement.backoff import Backoff
from finchshelf.agreement.core import Acceptor, Decided, Member, Proposer, Refusal, Refused, Retry, Value
from finchshelf.agreement.membership import Leavers
from finchshelf.agreement.standing import DiskHealth, Standing, Witness
from finchshelf.agreement.store import Store, StoreError
from finchshelf.controlplane.chain import ChainChecks
from finchshelf.controlplane.incoming import Incoming
from finchshelf.controlplane.peers import Peers
from finchshelf.controlplane.rounds import READ_S, Rounds, slots_of
from finchshelf.controlplane.witnessing import Witnessing
from finchshelf.invariants import Monitor
from finchshelf.transport.frames import Message, PeerError

ASK = 0.4  # s for one answer of a member; a commit takes 5 to 10 ms, a disk in trouble has no vote
PAUSE = 0.03  # s between two looks for a first value
KEEP_AGAIN = 1.0  # s until a disk that refused what was learned is asked again
CONFIRM = 0.1  # s between two tries to prove, after a start, that what the disk held is the newest
AGAIN = 0.5  # s until a document that could not be fetched is asked for again


class Unsettled(Exception):
    """No majority answered in time; carries the step."""

    def __init__(self, step: str) -> None:
        super().__init__(f"{step}: no majority of the core answered in time")
        self.step = step


class Writing:
    """A save of one acceptor under way, for those that wait for it."""

    def __init__(self, acceptor: Acceptor) -> None:
        self.acceptor, self.revision, self.done = acceptor, acceptor.revision, trio.Event()
        self.error: StoreError | None = StoreError("save", "", "called off")


class Register:
    def __init__(
        self,
        address: str,
        seeds: tuple[str, ...],
        first_start: bool,
        store: Store | None,
        peers: Peers,
        random: Random,
        log: Callable[..., None],
        monitor: Monitor | None = None,
    ) -> None:
        """`monitor`: counts violations of invariants; without one they are only logged."""
        self.monitor = monitor or Monitor(log)
        self.address, self.store, self.peers, self.random, self.log = address, store, peers, random, log
        self.writing: Writing | None = None
        self.decided_event = trio.Event()
        self.decided_at = -math.inf  # when the newest decided value came to be known here
        self.witness, self.disk_health = Witness(), DiskHealth()
        self.witnessing = Witnessing(self, self.give_up, lambda: self.rounds.met)
        self.acceptor = self.restored(seeds, first_start)
        self.members = self.decided.members if self.decided else ()
        self.renewed = self.decided is not None and self.decided.taken.renewed()
        self.incoming = Incoming()
        self.checks = ChainChecks(self.monitor, address)
        self.leavers, self.rounds = Leavers(), Rounds(self)
        self.standing, self.held = Standing(), self.known  # the slot that the disk held
        self.n = 1
        self.changing = trio.Lock()

    def restored(self, seeds: tuple[str, ...], first_start: bool) -> Acceptor:
        """What the disk holds; a disk that is empty is a new member, but for the very first start of all."""
        if self.store is None:
            return Acceptor(Member(self.address, ""))
        state, faults = self.store.load()
        for fault in faults:
            self.log("disk.fault", step=fault.step, path=fault.path, lost=fault.lost)
        broken = any(fault.lost for fault in faults)
        if state is not None and not broken:
            try:
                acceptor = Acceptor.restore(self.address, state)
            except (KeyError, TypeError, ValueError, IndexError):
                # Danger: whole on disk, but not in a form that is known here: what it promised can't be told,
                # so it is taken for a wiped disk. The program must not end at each start.
                self.log("disk.fault", step="restore", path=self.store.folder, lost=True)
            else:
                # Danger: words on others' disks only help; what this one promised must not go with them.
                with suppress(TypeError, ValueError):
                    self.witnessing.told(state)
                return acceptor
        # Danger: the settings of the first start stay until someone takes them back. A disk that broke since
        # then has forgotten promises that were given under the first name.
        if first_start and state is None and not broken and self.address in seeds:
            acceptor = Acceptor(Member(self.address, core.FIRST), core.genesis(seeds))
        else:
            acceptor = Acceptor(Member(self.address, secrets.token_hex(8)))
        self.log("disk.new", disk=acceptor.me.disk)
        return acceptor

    @property
    def me(self) -> Member:
        return self.acceptor.me

    @property
    def decided(self) -> Value | None:
        return self.acceptor.decided

    def learn(self, value: Value) -> None:
        """A decided value, by an attempt or with the news; `keep` brings it to the disk.

        Danger: in memory alone, a machine that is no member, or missed all votes, would be further behind at
        its next start with each change."""
        acceptor, before = self.acceptor, self.decided
        if acceptor.learn(value):
            self.told()
        self.checks.learned(before, acceptor.decided, acceptor.contradiction)

    @property
    def known(self) -> int:
        """The newest slot that is here or on its way."""
        return max(self.incoming.slot, self.decided.slot if self.decided is not None else -1)

    def known_to(self, address: str) -> int:
        """The newest slot that a peer need not tell of."""
        coming = self.incoming.known_to(address, trio.current_time())
        return max(coming, self.decided.slot if self.decided is not None else -1)

    def tell_newest(self, slot: int) -> None:
        """Another machine knows that slot to be decided."""
        self.standing.told(slot, trio.current_time())

    def leads(self) -> bool:
        """May data planes lean on what it holds? Not while it is known to be behind, or unproved since a
        start."""
        return self.standing.leads(self.decided.slot if self.decided else -1, trio.current_time())

    async def confirm(self) -> None:
        """After a start: is what the disk held the newest? Whoever is behind catches up by it."""
        while not self.standing.proved:
            decided, event = self.decided, self.decided_event
            if decided is not None:
                states = await self.rounds.states(decided, again=True)
                if core.fresh(decided, states):
                    break
                slots = slots_of(states)
                self.tell_newest(max(slots, default=-1))
                if len(slots) < core.majority(len(decided.members)):
                    continue
                # Who is behind gets the newest with the news, once; an attempt would bring one from each.
                if max(slots) <= decided.slot:
                    with suppress(Unsettled):
                        await self.change(lambda _: Refusal("confirm"), READ_S + ASK, "confirm")
                        break
            with trio.move_on_after(CONFIRM):
                await event.wait()
        self.prove()

    def prove(self) -> None:
        if not self.standing.proved:
            self.standing.proved = True
            self.log("core.current", slot=self.known, held=self.held)
            self.told()

    async def fetch(self, value: Value, name: bytes, address: str) -> None:
        """A decided value that someone told, but for its document: it comes piece by piece."""
        if value.slot == self.incoming.slot:
            self.incoming.name(address)
            self.peers.offer(name, address)
        if value.slot <= self.known:
            return
        self.incoming.begin(value.slot, address, trio.current_time())
        try:
            document = await self.peers.document(name, address)
            if document is not None:
                self.learn(replace(value, document=document))
            else:
                await trio.sleep(AGAIN)
        finally:
            self.incoming.end(value.slot)

    def told(self) -> None:
        decided = self.decided
        if decided is not None and decided.members != self.members:
            # Whoever made the change: it may be finished by another's proposal, and would be told by nobody.
            if self.members:
                self.log("core.members", slot=decided.slot, members=[one.address for one in decided.members])
            self.members = decided.members
        if decided is not None and decided.taken.renewed() and not self.renewed:
            self.renewed = True
            self.log("core.form", slot=decided.slot)
        self.decided_at = trio.current_time()
        event, self.decided_event = self.decided_event, trio.Event()
        event.set()

    async def begin(self) -> None:
        """A disk is this member's from the first start on, whatever comes next."""
        self.standing.start(trio.current_time())
        if self.store is not None and self.acceptor.on_disk < self.acceptor.revision:
            # Danger: messages may come already. Two writes at once would cut off each other's file, and a
            # process that has a cut file mapped ends by SIGBUS.
            while self.writing is not None:
                await self.writing.done.wait()
            writing = self.writing = Writing(self.acceptor)
            await self.write(writing, self.store)
            self.saved_or_told(writing.error)
        if self.store is not None and len(self.members) > 1:
            self.witness.doubt(self.acceptor.on_disk)
            self.peers.nursery.start_soon(self.witnessing.run)

    def saved_or_told(self, error: StoreError | None) -> None:
        if error is not None:
            self.log("disk.refused", step=error.step, path=error.path)

    async def save(self) -> None:
        """Returns when all that is so now is on the disk.

        Danger: a write can't be called off. Done by whoever waits for it, it would hold up an attempt, a
        change of members, a call for as long as the own disk hangs, where the others suffice to decide."""
        if self.store is None:
            raise StoreError("save", "no disk")
        acceptor, wanted = self.acceptor, self.acceptor.revision
        while acceptor.on_disk < wanted:
            if acceptor is not self.acceptor:
                raise StoreError("save", self.store.folder, "this disk was given up meanwhile")
            writing = self.writing
            if writing is None:
                writing = self.writing = Writing(acceptor)
                self.peers.nursery.start_soon(self.write, writing, self.store)
            await writing.done.wait()
            if writing.error is not None and writing.acceptor is acceptor and writing.revision >= wanted:
                raise writing.error

    async def write(self, writing: Writing, store: Store) -> None:
        assert self.writing is writing  # one at a time
        acceptor = writing.acceptor = self.acceptor
        # What others told of their disks goes along with what is written anyway.
        writing.revision, state = acceptor.revision, {**acceptor.state(), "disks": self.disks()}
        self.disk_health.began(trio.current_time())
        try:
            await trio.to_thread.run_sync(store.save, state)
            self.disk_health.wrote()
            acceptor.saved(writing.revision)
            writing.error = None
        except StoreError as error:
            writing.error = error
        finally:
            self.writing = None
            writing.done.set()

    async def keep(self) -> None:
        """What the news told is on the disk soon.

        Danger: a decided value that only the memory knows is gone with the power. A member that missed the
        one message of its proposer would never hold it, and the next loss could leave nobody who does."""
        refused = False
        while True:
            event = self.decided_event
            if self.store is None or self.decided is None or self.acceptor.on_disk >= self.acceptor.revision:
                # Danger: a vote that the disk refused is no decided value. Nothing would find out that the
                # disk takes writes again, and its member would be replaced without need.
                with trio.move_on_after(KEEP_AGAIN):
                    await event.wait()
                continue
            try:
                await self.save()
                refused = False
            except StoreError as error:
                if not refused:
                    self.log("disk.refused", step=error.step, path=error.path)
                refused = True
                await trio.sleep(KEEP_AGAIN)

    async def handle(self, message: Message) -> Message:
        """A member's or proposer's message; StoreError where the disk did not take what the reply leans
        on."""
        # Danger: a disk that was put back, told as proof beside one that was down, would prove an old value.
        if (
            message.get("kind") == "read"
            and "me" not in message
            and not await self.witnessing.allow_read(ASK)
        ):
            raise StoreError("witness", self.address, "not yet known whether the disk is an older one")
        acceptor, before, promised = self.acceptor, self.acceptor.decided, self.acceptor.promised
        if message.get("kind") == "learn":
            self.witnessing.told(message)
        if "leaves" in message:
            self.leavers.hear(message["leaves"], trio.current_time())
        reply, dirty = acceptor.handle(message)
        self.checks.promised(before, acceptor.decided, promised, acceptor.promised)
        self.checks.learned(before, acceptor.decided, acceptor.contradiction)
        if reply["kind"] == "state" and "me" in message:
            reply["saw"] = self.witness.saw(message["me"])
        if self.witness.doubted and reply["kind"] in ("promise", "accepted"):
            raise StoreError("witness", self.address, "not yet known whether the disk is an older one")
        if self.acceptor.decided is not before:
            self.told()
        if dirty:
            if self.store is None and reply["kind"] == "learned":
                return reply
            wanted = acceptor.revision
            await self.save()
            self.checks.voting(reply["kind"], acceptor.on_disk, wanted)
        return {**reply, "saved": self.saved()} if reply["kind"] in ("promise", "accepted") else reply

    def disk_failing_s(self) -> float:
        """Seconds for which its own disk has taken no writes; 0 where it does."""
        return self.disk_health.failing_s(trio.current_time())

    def saved(self) -> int:
        """Up to where its disk has it, to be told to others; -1 while its disk is in doubt."""
        return -1 if self.witness.doubted else self.acceptor.on_disk

    def disks(self) -> list[list[Any]]:
        """How far this member knows the members' disks to be, its own among them."""
        members = self.decided.members if self.decided is not None else ()
        return self.witness.rows(
            [one.address for one in members if one.address != self.address], [*self.me, self.saved()]
        )

    async def give_up(self) -> None:
        """The disk was put back to an older state, or did not keep what it said it had: it forgot what it
        promised. Another disk of this machine goes on, which has a vote once the others have named it."""
        self.log("disk.fault", step="put back", path=self.store.folder if self.store else "", lost=True)
        self.acceptor = Acceptor(Member(self.address, secrets.token_hex(8)), self.decided)
        self.log("disk.new", disk=self.me.disk)
        self.witness.trust()
        try:
            await self.save()
        except StoreError as error:
            self.saved_or_told(error)

    async def send(self, member: Member, message: Message) -> Message | None:
        try:
            if member.address == self.address:
                with trio.move_on_after(ASK):
                    return await self.handle(message)
                return None  # its own disk hangs: one vote less, as any other's
            began = trio.current_time()
            try:
                reply = await self.peers.agree(member.address, message, ASK)
            except PeerError:
                # A connection from before its machine went is reset by the first question.
                if trio.current_time() - began > ASK / 2:
                    return None
                reply = await self.peers.agree(member.address, message, ASK / 2)
            if reply.get("kind") == "state" and not core.is_state(reply):
                return None
            if "saved" in reply:
                self.witness.heard(member.address, member.disk, int(reply["saved"]))
            return reply
        except (PeerError, StoreError, TypeError, ValueError, OverflowError):
            return None

    async def change(
        self, make: Callable[[Value], Value | Refusal], limit: float, step: str, without: Member | None = None
    ) -> Value | str:
        """The decided value with the change in it, or the reason it was refused. Unsettled: it may be
        decided yet. `without`: a member that goes and is not asked for its promise."""
        with trio.move_on_after(limit):
            async with self.changing:
                backoff = Backoff()
                while True:
                    decided, began = self.decided, trio.current_time()
                    if decided is None:
                        await trio.sleep(PAUSE)
                        continue
                    proposer = Proposer(self.address, decided, make, self.n)
                    try:
                        outcome = await self.rounds.attempt(proposer, without)
                    finally:
                        self.n = max(self.n, proposer.higher_n)
                    if isinstance(outcome, Decided):
                        self.learn(outcome.value)
                        if outcome.mine:
                            return outcome.value
                        continue
                    if isinstance(outcome, Refused):
                        return outcome.reason
                    if outcome is not None and outcome.learned is not None:
                        self.learn(outcome.learned)
                    outbid = isinstance(outcome, Retry) and outcome.learned is None
                    took = trio.current_time() - began
                    await trio.sleep(backoff.pause(outbid, took, self.random.random()))
        raise Unsettled(step)

    async def read(self, limit: float) -> Value:
        """The newest decided value; what is found unfinished is finished, what is old is mended."""
        with trio.move_on_after(limit):
            while self.decided is None:
                await trio.sleep(PAUSE)
            decided = self.decided
            if core.fresh(decided, await self.rounds.states(decided)):
                self.prove()
                return decided
            await self.change(lambda _: Refusal("read"), limit, "read")
            self.prove()
            if self.decided is not None:
                return self.decided
        raise Unsettled("read")

    async def finish(self) -> None:
        """See to it that what was accepted here is known as decided, or as not: a round of ballots."""
        with suppress(Unsettled):
            await self.change(lambda _: Refusal("nothing was left unfinished"), 1.0, "finish")
