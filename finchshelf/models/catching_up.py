"""Every state that catching up can come to: a machine that was down, two that go on, a data plane that asks.

Owns the harm (restarts, torn saves, changes meanwhile, answers that are lost, peers that pack otherwise) and
the rules; the decisions are `agreement`'s own: Shelf, Part, Standing, Acceptor and `fresh`. It must never
take one itself.

    python -m benchmarks.many_changes --search
"""

from __future__ import annotations

import copy
import zlib
from collections import deque
from collections.abc import Iterator
from dataclasses import dataclass, field
from typing import Any

from finchshelf.agreement import core, parcel
from finchshelf.agreement.core import Acceptor, Member, Value
from finchshelf.agreement.parcel import Lacking, Part, Shelf
from finchshelf.agreement.standing import Standing, Witness

ADDRESSES = ("a:1", "b:1", "c:1")  # a was down
MEMBERS = core.genesis(ADDRESSES).members
PIECE = 12  # bytes: a document is four pieces or five
MUTANTS = (
    "proved by the disk",
    "a majority of one",
    "a newer slot told counts for nothing",
    "any document",
    "votes behind",
    "goes back",
)
# These are looked for where all restart, one of them with an old copy of its disk.
MUTANTS_PUT_BACK = ("heard in memory only", "told to the proposer alone", "put back and trusted")
# Its place is held by the digest of the whole: without it a fetch begins anew, no more.
HELD_BY_ANOTHER = ("pieces of two forms",)
Action = tuple[Any, ...]


def document(slot: int) -> bytes:
    return f"the configuration of slot {slot}: {'abc' * 8}".encode()


def value(slot: int) -> Value:
    return Value(slot, MEMBERS, slot, document(slot))


class Broken(Exception):
    pass


class Loose(Part):
    """A mutant: what makes a document is what it says of itself."""

    def take(self, answer: core.Message) -> bytes | None:
        if answer.get("lacking"):
            raise Lacking
        self.held += answer["bytes"]
        if len(self.held) < answer["size"]:
            return None
        try:
            found = zlib.decompressobj().decompress(bytes(self.held))
        except zlib.error:
            found = bytes(self.held)
        self.held = bytearray()
        return found


class Mixed(Part):
    """A mutant: pieces of whatever form are put behind each other; the end is proved by the digest."""

    def take(self, answer: core.Message) -> bytes | None:
        self.form = answer.get("form", b"")
        return super().take(answer)


class Eager(Acceptor):
    """A mutant: it votes for whatever slot it is asked about, as if it had learned the one before."""

    def handle(self, message: core.Message) -> tuple[core.Message, bool]:
        self.decided = value(message["slot"] - 1)
        return super().handle(message)


class Forgetful(Acceptor):
    """A mutant: it takes any decided value, also one older than what it holds."""

    def learn(self, value: Value) -> bool:
        self.decided = value
        return True


@dataclass
class State:
    mutant: str
    newest: int  # slot decided
    shelves: dict[str, list[int]]  # by peer: slots whose documents it has, the last asked for last
    disk: int = 0  # slot that a's disk holds
    before: int = 0  # and the generation before
    held: int = 0  # slot that a holds
    standing: Standing = field(default_factory=Standing)
    at_start: int = 0  # decided when a's life began
    told: int = -1  # newest slot that a was told of in this life
    part: Part | None = None
    coming: int = -1
    limiter: int = -1  # slot of a data plane that asks a
    # changes, restarts of a, of peers, of the data plane; of all, a with an old copy of its disk
    rest: tuple[int, ...] = (2, 2, 2, 1, 0)
    number: int = 1  # how far a's disk is; of the copy, which has slot 0: 1
    voter: bool = True  # is it the disk that was named a member?
    owed: int = 1  # its number that went with a decided value
    heard: dict[str, int] = field(default_factory=lambda: {"b": 1, "c": 1})  # by peer: that number
    kept: dict[str, int] = field(default_factory=lambda: {"b": 1, "c": 1})  # and as its disk has it

    def key(self) -> Any:
        part = None if self.part is None else (self.part.name, self.part.form, bytes(self.part.held))
        return (
            self.newest,
            tuple(map(tuple, self.shelves.values())),
            self.disk,
            self.before,
            self.held,
            self.standing.proved,
            self.standing.newest,
            self.at_start,
            self.told,
            part,
            self.coming,
            self.limiter,
            self.rest,
            self.number,
            self.voter,
            self.owed,
            tuple(self.heard.values()),
            tuple(self.kept.values()),
        )

    def spend(self, kind: int) -> None:
        self.rest = tuple(n - (at == kind) for at, n in enumerate(self.rest))

    # ---- what may happen ----

    def actions(self) -> Iterator[Action]:
        if self.rest[0]:
            yield ("change",)
        if self.rest[1]:
            yield from (("restart", torn) for torn in (False, True))
        if self.rest[2]:
            yield from (("peer", name) for name in self.shelves)
        if self.rest[3] and self.limiter >= 0:
            yield ("limiter",)
        for name in self.shelves:
            if self.coming < 0 and self.held < self.newest:
                yield ("news", name)
            if self.part is not None:
                yield ("piece", name)
        if not self.standing.proved:
            yield ("prove",)
        if self.held < self.newest:
            yield ("learn",)
        if self.limiter < 0:
            yield ("lead",)
        if (
            self.rest[0]
            and self.rest[4]
            and self.voter
            and self.held == self.newest
            and self.number == self.owed
        ):
            yield ("vote",)
        if self.rest[4]:
            yield from (("put back", names) for names in ("b", "c", "bc"))

    def do(self, action: Action) -> None:
        getattr(self, f"do_{action[0]}".replace(" ", "_"))(*action[1:])
        self.look()

    def do_change(self) -> None:
        self.spend(0)
        self.newest += 1
        for shelf in self.shelves.values():
            shelf.append(self.newest)
            del shelf[:-2]
        # b decided it, and knows a's number by its vote; what others learn names it.
        self.kept["b"] = self.owed = self.heard["b"]
        if self.mutant != "told to the proposer alone":
            self.kept["c"] = self.heard["c"] = self.owed

    def do_vote(self) -> None:
        self.number += 1
        self.heard["b"] = self.number

    def do_put_back(self, names: str) -> None:
        """All restart, a with the copy; `names`: who answers what it heard of a's disk."""
        self.rest = (*self.rest[:4], 0)
        self.heard = {
            name: -1 if self.mutant == "heard in memory only" else number
            for name, number in self.kept.items()
        }
        self.disk = self.before = 0
        self.number = 1
        self.rest = (self.rest[0], self.rest[1] + 1, *self.rest[2:])
        self.do_restart(False)
        witness = Witness()
        witness.doubt(self.number)
        self.voter = (
            not witness.put_back(self.heard[name] for name in names) or self.mutant == "put back and trusted"
        )
        if self.voter and self.number < self.owed:
            raise Broken(f"its disk has {self.number} and votes; {self.owed} went with a decided value")

    def do_restart(self, torn: bool) -> None:
        self.spend(1)
        if torn:  # the last save was cut off
            self.disk = self.before
        self.held, self.part, self.coming, self.told = self.disk, None, -1, -1
        self.standing, self.at_start = Standing(), self.newest
        self.standing.start(0.0)
        self.standing.proved = self.mutant == "proved by the disk"

    def do_peer(self, name: str) -> None:
        self.spend(2)
        self.shelves[name] = [self.newest]

    def do_limiter(self) -> None:
        self.spend(3)
        self.limiter = -1

    def do_news(self, name: str) -> None:
        """A peer tells that there is a newer one, and its name."""
        slot, self.told = self.newest, self.newest
        if self.mutant != "a newer slot told counts for nothing":
            self.standing.told(slot, 1.0)
        self.coming = slot
        kind = {"any document": Loose, "pieces of two forms": Mixed}.get(self.mutant, Part)
        self.part = kind(parcel.digest(document(slot)))

    def do_piece(self, name: str) -> None:
        assert self.part is not None
        shelf = Shelf()
        for slot in self.shelves[name]:
            # Peers of other releases pack otherwise.
            shelf.put(document(slot), zlib.compress(document(slot), 9 if name == "b" else 0))
        question = self.part.question()
        if self.coming in self.shelves[name]:  # what is asked for stays
            self.shelves[name].remove(self.coming)
            self.shelves[name].append(self.coming)
        try:
            found = self.part.take(shelf.piece(question["document"], question["at"]))
        except Lacking:
            self.part, self.coming = None, -1
            return
        except ValueError:
            return
        if found is not None:
            slot, self.part, self.coming = self.coming, None, -1
            if found != document(slot):
                raise Broken(f"learned another document for slot {slot}")
            self.learn(slot)

    def do_learn(self) -> None:
        """A member's word brings the newest, while an older one is perhaps still on its way."""
        self.learn(self.newest)

    def learn(self, slot: int) -> None:
        acceptor = self.acceptor()
        if acceptor.learn(value(slot)):
            assert acceptor.decided is not None
            if acceptor.decided.slot < self.held:
                raise Broken(f"held slot {self.held} and went back to {slot}")
            self.held, self.before, self.disk = acceptor.decided.slot, self.disk, acceptor.decided.slot

    def acceptor(self) -> Acceptor:
        kind = {"votes behind": Eager, "goes back": Forgetful}.get(self.mutant, Acceptor)
        return kind(Member("a:1", core.FIRST), value(self.held))

    def do_prove(self) -> None:
        """It asks the members for their slots; b and c go on without it."""
        decided = value(self.held)
        states = {
            member: {
                "kind": "state",
                "slot": self.newest if member.address != "a:1" else self.held,
                "accepted": False,
                "from": list(member),
            }
            for member in MEMBERS
        }
        if self.mutant == "a majority of one":
            states = {member: one for member, one in states.items() if member.address == "a:1"}
            self.standing.proved = True
        if core.fresh(decided, states):
            self.standing.proved = True

    def do_lead(self) -> None:
        """A data plane that has nothing asks a."""
        if self.standing.leads(self.held, 2.0):
            self.limiter = self.held
            if self.held < self.at_start:
                raise Broken(f"led by slot {self.held}; {self.at_start} was decided before its start")
            if self.held < self.told:
                raise Broken(f"led by slot {self.held}, and was told of {self.told}")

    # ---- what must hold ----

    def look(self) -> None:
        if self.held > self.newest:
            raise Broken("holds what was never decided")
        reply, _ = self.acceptor().handle({"kind": "prepare", "slot": self.newest + 1, "ballot": [1, "b:1"]})
        kind = reply["kind"]
        if kind != "behind" and self.held < self.newest:
            raise Broken(f"votes for slot {self.newest + 1} and holds {self.held}")
        if kind == "behind" and self.held == self.newest:
            raise Broken("is current and has no vote")


def caught_up(state: State) -> int:
    """Messages until it holds the newest, if nothing more happens."""
    state = copy.deepcopy(state)
    for count in range(40):
        if state.held == state.newest:
            return count
        state.do(("news", "b") if state.part is None else ("piece", "b"))
    raise Broken("never catches up")


def step(state: State, action: Action) -> State:
    after = copy.deepcopy(state)
    after.do(action)
    return after


def search(
    mutant: str = "", rest: tuple[int, ...] = (2, 2, 2, 1, 0), limit: int = 1_000_000
) -> tuple[int, int, int]:
    """All states; how many, how deep, and the most messages to be current. Broken, with the depth, if a rule
    is. `rest`: the harm that there may be."""
    before, parcel.PIECE = parcel.PIECE, PIECE
    try:
        first = State(mutant, 2, {"b": [1, 2], "c": [1, 2]}, at_start=2, rest=rest)
        first.standing.start(0.0)
        first.standing.proved = mutant == "proved by the disk"
        seen, queue, depth, worst = {first.key()}, deque([(first, 0)]), 0, 0
        while queue and len(seen) < limit:
            state, depth = queue.popleft()
            try:
                worst, afters = max(worst, caught_up(state)), [step(state, one) for one in state.actions()]
            except Broken as error:
                raise Broken(f"{error} (depth {depth + 1}, {len(seen)} states)") from None
            for after in afters:
                if (key := after.key()) not in seen:
                    seen.add(key)
                    queue.append((after, depth + 1))
        return len(seen), depth, worst
    finally:
        parcel.PIECE = before
