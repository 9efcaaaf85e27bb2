"""Decisions of agreement: what a member promises and accepts, how an attempt ends.

Owns every rule that keeps two machines from deciding differently. It must never do I/O, read a clock or
draw a random number: the shell carries messages, saves the acceptor's state and measures silence.

One Paxos instance a slot, no leader. The members of slot s+1 are those that the value decided for slot s
names. A member is an address with one incarnation of its disk: a wiped disk is another member.
"""

from __future__ import annotations

from collections.abc import Callable, Mapping
from dataclasses import dataclass
from typing import Any, NamedTuple

from finchshelf.agreement.taken import NOTHING, Taken, is_renewed
from finchshelf.agreement.transitions import NO_TRANSITIONS, Transitions, read_transitions

FIRST = "first"  # the disk of machines that were there at the very first start of the whole system
ASK_AGAIN = 3  # times a member that is behind is taught and asked again in one step: reordering can't loop

MOST_WHOLE, MOST_TEXT = 1 << 62, 256  # of what comes in a message

ORDERS = "orders"  # field of a value with transitions: its memory of orders, and these

Message = dict[str, Any]


class Member(NamedTuple):
    address: str
    disk: str


class Ballot(NamedTuple):
    n: int
    address: str


NO_BALLOT = Ballot(0, "")


@dataclass(frozen=True)
class Value:
    slot: int
    members: tuple[Member, ...]
    version: int = 0
    document: bytes = b""
    taken: Taken = NOTHING
    transitions: Transitions = NO_TRANSITIONS

    def pack(self) -> Message:
        """Danger: an older text would read a value with transitions as one without, and propose the next
        value so. To that text this is no value: it has no `taken`."""
        taken = self.taken.pack()
        transitions = [one.pack() for one in self.transitions]
        orders = {ORDERS: [taken, transitions]} if transitions else {"taken": taken}
        return {
            "slot": self.slot,
            "members": [list(member) for member in self.members],
            "version": self.version,
            "document": self.document,
            **orders,
        }

    @staticmethod
    def unpack(packed: Message) -> Value:
        """The value; KeyError, TypeError or ValueError if this is none."""
        members = tuple(_member(each) for each in packed["members"])
        if not members:  # danger: nobody could decide anything after it
            raise ValueError("no members")
        taken, transitions = packed[ORDERS] if ORDERS in packed else (packed["taken"], ())
        return Value(
            _whole(packed["slot"]),
            members,
            _whole(packed["version"]),
            _bytes(packed["document"]),
            Taken.unpack(taken),
            read_transitions(transitions),
        )


def is_in_newer_form(packed: Message) -> bool:
    """Is this packed value none to a text that reads only the first form of the memory of orders?"""
    return ORDERS in packed or is_renewed(packed["taken"])


def genesis(addresses: tuple[str, ...]) -> Value:
    """Slot 0, known by settings: the seeds with the disks of the very first start."""
    return Value(0, tuple(Member(address, FIRST) for address in sorted(addresses)))


def majority(count: int) -> int:
    return count // 2 + 1


def _member(packed: Any) -> Member:
    address, disk = packed
    host, _, port = _text(address).rpartition(":")
    if not host or not port.isascii() or not port.isdigit() or not 0 < int(port[:6]) < 65536:
        raise ValueError("no address")  # danger: whoever asks the members would end at this one
    return Member(address, _text(disk))


def _ballot(packed: Any) -> Ballot:
    n, address = packed
    return Ballot(_whole(n), _text(address))


def _whole(packed: Any) -> int:
    """Danger: a number too large to be packed, once promised, would make every later save fail."""
    if type(packed) is not int or not 0 <= packed <= MOST_WHOLE:
        raise ValueError("no number")
    return packed


def _text(packed: Any) -> str:
    if not isinstance(packed, str) or len(packed) > MOST_TEXT:
        raise TypeError("no text")
    return packed


def _bytes(packed: Any) -> bytes:
    if not isinstance(packed, bytes):  # danger: bytes() of a large number would fill the memory
        raise TypeError("no bytes")
    return packed


class Acceptor:
    """One machine's part in every slot: what it promised and accepted, and the highest decided value.

    Its state must be on disk before a reply that leans on it leaves. The shell, when `handle` says dirty:
    takes `revision` and `state()` together, saves, calls `saved(revision)`, only then sends the reply.
    """

    def __init__(
        self,
        me: Member,
        decided: Value | None = None,
        promised: Ballot = NO_BALLOT,
        accepted: tuple[Ballot, Value] | None = None,
    ) -> None:
        self.me = me
        self.decided = decided
        self.promised = promised
        self.accepted = accepted
        self.revision = 1  # a new acceptor isn't on disk: the first reply that leans on it saves it
        self.on_disk = 0
        self.contradiction: Value | None = None  # heard as decided for a slot that holds another value here

    @staticmethod
    def restore(address: str, state: Message) -> Acceptor:
        decided, accepted = state["decided"], state["accepted"]
        acceptor = Acceptor(
            Member(address, str(state["disk"])),
            None if decided is None else Value.unpack(decided),
            _ballot(state["promised"]),
            None if accepted is None else (_ballot(accepted[0]), Value.unpack(accepted[1])),
        )
        # It goes on from life to life, so that a disk which was put back to an older state can be told:
        # others have heard a higher number. A state of an older text has none.
        acceptor.revision = max(1, _whole(state.get("revision", 1)))
        acceptor.on_disk = acceptor.revision
        return acceptor

    def state(self) -> Message:
        """What must last, as the store takes it."""
        return {
            "disk": self.me.disk,
            "revision": self.revision,
            "decided": None if self.decided is None else self.decided.pack(),
            "promised": list(self.promised),
            "accepted": None if self.accepted is None else [list(self.accepted[0]), self.accepted[1].pack()],
        }

    def saved(self, revision: int) -> None:
        self.on_disk = max(self.on_disk, revision)

    def learn(self, value: Value) -> bool:
        """Moves to a decided value; False if it is known already. Never back: that would undo promises."""
        if self.decided is not None and value.slot <= self.decided.slot:
            if value.slot == self.decided.slot and value != self.decided:
                self.contradiction = value
            return False
        self.decided, self.promised, self.accepted = value, NO_BALLOT, None
        self.revision += 1
        return True

    def handle(self, message: Message) -> tuple[Message, bool]:
        """The reply, and whether the state must be on disk before it leaves."""
        try:
            reply = self._answer(message)
        except (KeyError, TypeError, ValueError):
            reply = {"kind": "unknown"}  # what is no message harms nobody
        # Danger: a repeated message changes nothing, but the first one's save may have failed or still run.
        # So what counts is whether the state is on disk, not whether this message changed it.
        dirty = reply["kind"] in ("promise", "accepted", "learned") and self.on_disk < self.revision
        return {**reply, "from": list(self.me)}, dirty

    def _answer(self, message: Message) -> Message:
        kind = message["kind"]
        if kind in ("learn", "holds"):  # told what is decided, or asked what of it is on the disk
            if kind == "learn":
                self.learn(Value.unpack(message["value"]))
            return {"kind": "learned", "slot": self._slot()}
        if kind == "read":
            return {"kind": "state", "slot": self._slot(), "accepted": self.accepted is not None}
        if kind not in ("prepare", "accept"):
            raise ValueError(kind)
        slot, ballot = _whole(message["slot"]), _ballot(message["ballot"])
        about = {"slot": slot, "ballot": list(ballot)}
        if self.decided is None or slot > self.decided.slot + 1:
            return {"kind": "behind", **about, "decided": self._slot()}
        if slot <= self.decided.slot:
            return {"kind": "ahead", **about, "value": self.decided.pack()}
        if not self._may_vote():
            return {"kind": "no_member", **about}
        if kind == "prepare":
            # Danger: an equal ballot is refused too. A machine that forgot its counter in a restart may use
            # a ballot twice; were it promised twice, two values could be accepted under one ballot.
            if ballot <= self.promised:
                return {"kind": "reject", **about, "promised": list(self.promised)}
            self.promised = ballot
            self.revision += 1
            accepted = None
            if self.accepted is not None:
                accepted = [list(self.accepted[0]), self.accepted[1].pack()]
            return {"kind": "promise", **about, "accepted": accepted}
        value = Value.unpack(message["value"])
        if value.slot != slot:
            raise ValueError("a value of another slot")
        if ballot < self.promised:
            return {"kind": "reject", **about, "promised": list(self.promised)}
        if self.accepted != (ballot, value) or self.promised != ballot:
            self.promised, self.accepted = ballot, (ballot, value)
            self.revision += 1
        return {"kind": "accepted", **about}

    def _slot(self) -> int:
        return -1 if self.decided is None else self.decided.slot

    def _may_vote(self) -> bool:
        """Danger: a wiped disk forgot its promises. With a new disk it is no member until a value says so."""
        return self.decided is not None and self.me in self.decided.members


@dataclass(frozen=True)
class Refusal:
    reason: str


@dataclass(frozen=True)
class Decided:
    value: Value
    mine: bool  # False: another's value was finished; the change is still to be tried in the next slot


@dataclass(frozen=True)
class Refused:
    reason: str


@dataclass(frozen=True)
class Retry:
    higher_n: int
    learned: Value | None


Outcome = Decided | Refused | Retry
Sends = list[tuple[Member, Message]]


class Proposer:
    """One attempt to decide the slot after `decided`. It never waits: the shell gives up by its own clock.

    After a Retry, or if the shell gives up, the change may still be decided by whoever finds it accepted:
    the next attempt's `change` must look it up in `taken` before doing it once more.
    `change` runs only when a majority has promised and holds nothing accepted, so `decided` is then the
    latest decided value and a refusal is as good as a read of a single machine.
    """

    def __init__(self, me: str, decided: Value, change: Callable[[Value], Value | Refusal], n: int) -> None:
        self.decided = decided
        self.slot = decided.slot + 1
        self.ballot = Ballot(max(n, 1), me)
        self.higher_n = self.ballot.n + 1  # for the next attempt, also one after the shell gave up
        self.outcome: Outcome | None = None
        self.settled = False  # a majority of the decided value's members has it on disk as decided
        self._change = change
        self._value: Value | None = None
        self._own = False
        self._promises: dict[Member, tuple[Ballot, Value] | None] = {}
        self._accepts: frozenset[Member] = frozenset()
        self._against: frozenset[Member] = frozenset()
        self._learned: frozenset[Member] = frozenset()
        self._asked: dict[Member, int] = {}

    def start(self, without: Member | None = None) -> Sends:
        """`without`: a member that goes, whose promise is worth nothing to those that stay."""
        return [(member, self._question()) for member in self.decided.members if member != without]

    def on_reply(self, member: Member, reply: Message) -> Sends:
        """`member` is whom the question was sent to."""
        try:
            return self._on_reply(member, reply)
        except (KeyError, TypeError, ValueError, OverflowError):
            return []  # what is no reply harms nobody

    def _on_reply(self, member: Member, reply: Message) -> Sends:
        kind, speaker = reply["kind"], _member(reply["from"])
        if kind == "learned":
            self._on_learned(speaker, int(reply["slot"]))
            return []
        if self.outcome is not None:
            return []
        if (int(reply["slot"]), _ballot(reply["ballot"])) != (self.slot, self.ballot):
            return []
        if kind == "ahead":  # a decided value is true whoever tells it
            self._on_ahead(Value.unpack(reply["value"]))
            return []
        # Danger: a wiped disk answers at a member's address. Its promise is worth nothing.
        if speaker != member or member not in self.decided.members:
            return []
        if kind == "behind":
            return self._teach(member)
        if kind == "promise" and self._value is None:
            accepted = reply["accepted"]
            self._promises[member] = (
                None if accepted is None else (_ballot(accepted[0]), Value.unpack(accepted[1]))
            )
            if len(self._promises) >= self._needed():
                return self._propose()
        elif kind == "accepted" and self._value is not None:
            self._accepts |= {member}
            if len(self._accepts) >= self._needed():
                return self._decide(self._value)
        elif kind in ("reject", "no_member"):
            self._on_against(member, reply)
        return []

    def _needed(self) -> int:
        return majority(len(self.decided.members))

    def _question(self) -> Message:
        about = {"slot": self.slot, "ballot": list(self.ballot)}
        if self._value is None:
            return {"kind": "prepare", **about}
        return {"kind": "accept", **about, "value": self._value.pack()}

    def _teach(self, member: Member) -> Sends:
        asked = self._asked.get(member, 0)
        if asked >= ASK_AGAIN:
            return []
        self._asked[member] = asked + 1
        return [(member, {"kind": "learn", "value": self.decided.pack()}), (member, self._question())]

    def _propose(self) -> Sends:
        found = self._found()
        if found is None:
            made = self._change(self.decided)
            if isinstance(made, Refusal):
                self.outcome = Refused(made.reason)
                return []
            if made.slot != self.slot or not made.members:
                raise RuntimeError(f"a change to slot {made.slot} offered for slot {self.slot}")
            self._own, found = True, made
        self._value = found
        self._against = frozenset()
        self._asked = {}
        return [(member, self._question()) for member in self.decided.members]

    def _found(self) -> Value | None:
        """Danger: an accepted value may be decided already. The one of the highest ballot must be kept."""
        held = [accepted for accepted in self._promises.values() if accepted is not None]
        return max(held, key=lambda each: each[0])[1] if held else None

    def _decide(self, value: Value) -> Sends:
        self.outcome = Decided(value, self._own)
        told = dict.fromkeys((*value.members, *self.decided.members))
        return [(member, {"kind": "learn", "value": value.pack()}) for member in told]

    def _on_ahead(self, value: Value) -> None:
        if value.slot < self.slot:
            return
        if value == self._value:  # another machine finished this very value
            self.outcome = Decided(value, self._own)
        else:
            self.outcome = Retry(self.higher_n, value)

    def _on_against(self, member: Member, reply: Message) -> None:
        if reply["kind"] == "reject":
            promised = _ballot(reply["promised"])
            if promised == self.ballot:
                return  # the echo of a repeated question, not a refusal
            self.higher_n = max(self.higher_n, promised.n + 1)
        self._against |= {member}
        if len(self.decided.members) - len(self._against) < self._needed():
            self.outcome = Retry(self.higher_n, None)

    def _on_learned(self, speaker: Member, slot: int) -> None:
        if isinstance(self.outcome, Decided) and slot >= self.slot and speaker in self.outcome.value.members:
            self._learned |= {speaker}
            self.settled = len(self._learned) >= majority(len(self.outcome.value.members))


def is_state(reply: Message) -> bool:
    """Can this answer to `read` be read?"""
    return (
        type(reply.get("slot")) is int
        and type(reply.get("accepted")) is bool
        and isinstance(reply.get("from"), list | tuple)
        and type(reply.get("saw", -1)) is int
    )


def fresh(decided: Value, states: Mapping[Member, Message]) -> bool:
    """Whether these answers to `read` prove that nothing after `decided` was decided before they were asked.

    A later value would have been accepted by a majority, of which one at least is among any other majority.
    """
    silent = 0
    for member in decided.members:
        reply = states.get(member)
        if reply is None or reply.get("kind") != "state" or tuple(reply["from"]) != member:
            silent += 1
        elif reply["slot"] > decided.slot or (reply["slot"] == decided.slot and reply["accepted"]):
            return False
    return len(decided.members) - silent >= majority(len(decided.members))
