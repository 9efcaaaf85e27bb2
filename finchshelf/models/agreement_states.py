"""Every state that agreement can come to: three members, a spare, two proposers, harm that is counted out.

Owns the canonical state and what may happen next; core's own acceptor and proposer take each step. It must
never decide a step itself: a guard that core lacks must be missing here too. `rules.py` has what must hold.

Why fewer states are enough (docs/agreement.md, How it is checked, has the argument):
- A message once sent may be delivered at any later time, again, or never. So loss, doubles, delay and order
  need no steps of their own, and a question that would change nothing is no step.
- Answers are heard when a majority is there: before that they change nothing that others see.
- A decided value may be learned by anyone at any time: messages `learn`, `ahead` and news are all that.
- A disk syncs at once until it stops for good before its one restart; a late sync is a late reply.
- What can't be answered any more is dropped; attempts and answers are kept sorted.
"""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass, field, replace
from itertools import combinations
from typing import Any

from finchshelf.agreement import core
from finchshelf.agreement.membership import next_members
from finchshelf.models.agreement_mutants import Acceptor, Proposer
from finchshelf.models.agreement_records import (
    ADDRESSES,
    AT,
    DONE,
    FORGOTTEN,
    LIVE,
    NONE,
    OPEN,
    OVER,
    PROPOSERS,
    REFUSED,
    Acc,
    Accepted,
    Attempt,
    Bounds,
    Broken,
    State,
    moved,
    over,
    put,
    renumbered,
)


@dataclass
class Model:
    bounds: Bounds
    lacks: frozenset[str] = frozenset()
    only: str = ""  # the one rule that is looked at; "": all
    values: list[core.Value] = field(default_factory=list)
    numbers: dict[core.Value, int] = field(default_factory=dict)
    memo: dict[Any, Any] = field(default_factory=dict)
    names: tuple[str, ...] = tuple(PROPOSERS.values())  # of the changes

    def number(self, value: core.Value) -> int:
        if value not in self.numbers:
            self.numbers[value] = len(self.values)
            self.values.append(value)
        return self.numbers[value]

    def first(self) -> State:
        zero = self.number(core.genesis(ADDRESSES[:3]))
        members = tuple(Acc(core.FIRST, 0, zero, core.NO_BALLOT, ()) for _ in range(3))
        most = self.bounds
        return State(
            (*members, Acc("d", NONE, NONE, core.NO_BALLOT, ())),
            None,
            (zero,),
            (OPEN,) * len(self.names),
            (),
            most.starts,
            most.swaps,
            most.wipes,
            most.restarts,
        )

    def broken(self, rule: str) -> None:
        if self.only in ("", rule):
            raise Broken(rule)

    # ---- core's own steps, remembered ----

    def answer(
        self, at: int, acc: Acc, synced: bool, message: tuple[Any, ...]
    ) -> tuple[Acc, core.Message, bool]:
        """What a machine's acceptor becomes, its reply, and whether that must wait for the disk."""
        key = (at, acc, synced, message)
        if key not in self.memo:
            one = Acceptor(
                core.Member(ADDRESSES[at], acc.disk),
                None if acc.decided == NONE else self.values[acc.decided],
                acc.promised,
                (acc.accepted[0], self.values[acc.accepted[1]]) if acc.accepted else None,
            )
            one.lacks, one.on_disk = self.lacks, one.revision - (not synced)
            asked: core.Message = {"kind": message[0]}
            if message[0] == "learn":
                asked["value"] = self.values[message[1]].pack()
            elif message[0] != "read":
                asked.update(slot=message[1], ballot=list(message[2]))
                if message[0] == "accept":
                    asked["value"] = self.values[message[3]].pack()
            reply, dirty = one.handle(asked)
            new = Acc(
                acc.disk,
                one._slot(),
                NONE if one.decided is None else self.number(one.decided),
                one.promised,
                (one.accepted[0], self.number(one.accepted[1])) if one.accepted else (),
            )
            self.memo[key] = new, reply, dirty
        found: tuple[Acc, core.Message, bool] = self.memo[key]
        return found

    def change(self, name: str) -> Any:
        if name.startswith("swap"):
            return lambda now: self.swap(now, name)

        def make(now: core.Value) -> core.Value | core.Refusal:
            if name.encode() in now.document.split():
                return core.Refusal("taken")
            if now.version:
                return core.Refusal("another version")
            return replace(now, slot=now.slot + 1, version=1, document=name.encode())

        return make

    def swap(self, now: core.Value, name: str) -> core.Value | core.Refusal:
        """The members that follow: the spare for a silent one, or the disk a wipe left for the old one."""
        heard = {each: 0.0 for each in now.members}
        if name == "swap spare":
            come = core.Member("d:1", "d")
            heard.update({each: 9.0 for each in now.members if each.address == self.bounds.out})
        else:
            come = core.Member(f"{name[-1]}:1", "wiped")
            heard.update({each: 9.0 for each in now.members if each.address == come.address})
        to = next_members(now.members, {**heard, come: 0.0}, (come,))
        if to is None or len(to) != len(now.members):
            return core.Refusal("right as they are")
        return replace(now, slot=now.slot + 1, members=to)

    def proposer(self, one: Attempt) -> Proposer:
        new = Proposer(one.ballot.address, self.values[one.base], self.change(one.change), one.ballot.n)
        new.lacks = self.lacks
        return new

    def reply(self, one: Attempt, place: int, disk: str, kind: str, held: Accepted) -> Any:
        member = self.members(one)[place]
        told = member if "stranger" in self.lacks else core.Member(member.address, disk)
        accepted = [list(held[0]), self.values[held[1]].pack()] if held else None
        return member, {
            "kind": kind,
            "slot": one.slot,
            "ballot": list(one.ballot),
            "accepted": accepted,
            "from": list(told),
        }

    def hear_promises(self, one: Attempt, promises: tuple[Any, ...]) -> tuple[int, bool, str]:
        """The value proposed and whether it is the attempt's own, or why it was refused; (NONE, False, "") if
        these are not enough."""
        key = (one.ballot, one.base, one.change, promises)
        if key not in self.memo:
            new = self.proposer(one)
            for place, disk, held in promises:
                new.on_reply(*self.reply(one, place, disk, "promise", held))
            why = new.outcome.reason if isinstance(new.outcome, core.Refused) else ""
            self.memo[key] = (NONE if new._value is None else self.number(new._value)), new._own, why
        found: tuple[int, bool, str] = self.memo[key]
        return found

    def hear_votes(self, one: Attempt) -> bool:
        key = (one.ballot, one.base, one.value, one.votes)
        if key not in self.memo:
            new = self.proposer(one)
            new._value = self.values[one.value]
            if "hasty" in self.lacks:
                new.decided = replace(new.decided, members=new._value.members)
            for place, disk in one.votes:
                new.on_reply(*self.reply(one, place, disk, "accepted", ()))
            self.memo[key] = isinstance(new.outcome, core.Decided)
        return bool(self.memo[key])

    def members(self, one: Attempt) -> tuple[core.Member, ...]:
        hasty = "hasty" in self.lacks and one.value != NONE
        return self.values[one.value if hasty else one.base].members

    # ---- what may happen next ----

    def next(self, now: State) -> Iterator[State]:
        for i, one in enumerate(now.attempts):
            rest = now.attempts[:i] + now.attempts[i + 1 :]
            yield from self.asked(now, one, rest)
            if one.life == LIVE:
                yield from self.heard(now, one, rest)
        for at, acc in enumerate(now.accs):
            for slot in range(acc.slot + 1, len(now.known)):
                synced = now.stopped is None or now.stopped[0] != at
                new, _, _ = self.answer(at, acc, synced, ("learn", now.known[slot]))
                yield self.made(now._replace(accs=put(now.accs, at, new)))
        if now.starts:
            yield from self.started(now)
        yield from self.harmed(now)

    def asked(self, now: State, one: Attempt, rest: tuple[Attempt, ...]) -> Iterator[State]:
        """A question reaches a member and its reply leaves; not where it would only refuse more after it."""
        for place, member in enumerate(self.members(one)):
            at = AT[member.address]
            acc, disk = now.accs[at], now.stopped
            synced = disk is None or disk[0] != at or disk[1] == acc
            question: tuple[Any, ...] = ("prepare", one.slot, one.ballot)
            if one.value != NONE:
                question = ("accept", one.slot, one.ballot, one.value)
            new, reply, dirty = self.answer(at, acc, synced, question)
            # A disk that stopped never says what leans on it; one that syncs says it at once.
            said, told = not (dirty and disk is not None and disk[0] == at), one
            if said and reply["kind"] == "promise":
                promise = (place, acc.disk, self.held(reply["accepted"]))
                told = one._replace(promises=tuple(sorted({*one.promises, promise})))
            elif said and reply["kind"] == "accepted":
                told = one._replace(votes=tuple(sorted({*one.votes, (place, acc.disk)})))
            if told != one or (new != acc and new != acc._replace(promised=new.promised)):
                yield self.made(
                    State(
                        put(now.accs, at, new),
                        now.stopped,
                        now.known,
                        now.fates,
                        (*rest, told),
                        now.starts,
                        now.swaps,
                        now.wipes,
                        now.restarts,
                    )
                )

    def held(self, accepted: Any) -> Accepted:
        if accepted is None:
            return ()
        return core.Ballot(*accepted[0]), self.number(core.Value.unpack(accepted[1]))

    def heard(self, now: State, one: Attempt, rest: tuple[Attempt, ...]) -> Iterator[State]:
        if one.value != NONE:
            if self.hear_votes(one):
                yield self.decided(now, one, rest)
            return
        needed = core.majority(len(self.members(one))) - ("minority" in self.lacks)
        for promises in combinations(one.promises, needed):
            if len({place for place, _, _ in promises}) < needed:
                continue
            value, own, why = self.hear_promises(one, promises)
            if (own or why) and one.late:
                self.broken("a change was made or refused on a value that was superseded before it was asked")
            if why:
                fates = now.fates if one.change.startswith("swap") else self.told(now, one.change, why)
                yield self.made(now._replace(fates=fates, attempts=(*rest, over(one, OVER))))
            elif value != NONE:
                new = one._replace(value=value, own=own, promises=())
                yield self.made(now._replace(attempts=(*rest, new)))

    def decided(self, now: State, one: Attempt, rest: tuple[Attempt, ...]) -> State:
        if one.slot < len(now.known) and now.known[one.slot] != one.value:
            self.broken("two values decided for one slot")
        known = now.known if one.slot < len(now.known) else (*now.known, one.value)
        at = AT[one.ballot.address]
        synced = now.stopped is None or now.stopped[0] != at
        acc, _, _ = self.answer(at, now.accs[at], synced, ("learn", one.value))
        mine = one.own and one.change in self.names
        fates = self.fate(now, one.change, DONE) if mine else now.fates
        return self.made(
            now._replace(
                accs=put(now.accs, at, acc),
                known=known,
                fates=fates,
                attempts=(*rest, one._replace(life=OVER)),
            )
        )

    def told(self, now: State, change: str, why: str) -> tuple[int, ...]:
        """The fates once an operator was told that its change is not made, and why."""
        return self.fate(now, change, DONE if why == "taken" else REFUSED)

    def fate(self, now: State, change: str, fate: int) -> tuple[int, ...]:
        at = self.names.index(change)
        if now.fates[at] not in (OPEN, fate):
            self.broken("a change was refused and acknowledged")
        return put(now.fates, at, fate)

    def started(self, now: State) -> Iterator[State]:
        """A machine gives up what it tries and tries anew, with a ballot anywhere above those it remembers.

        The first to begin is a, where a and c may be harmed alike: the rest is that in a mirror.
        """
        most = self.bounds
        alike = (0 in most.harmed) == (2 in most.harmed) and most.out == "b:1" and len(most.proposers) == 2
        proposers = most.proposers
        if alike and now.starts == most.starts:
            proposers = proposers[:1]
        for address in proposers:
            acc, own = now.accs[AT[address]], PROPOSERS[address]
            if acc.decided == NONE:
                continue
            wants = self.wanted(now, own)
            if now.swaps:
                wants += ["swap spare"] if most.spare else []
                wants += [
                    f"swap {address[0]}"
                    for address, each in zip(ADDRESSES, now.accs, strict=True)
                    if each.disk == "wiped"
                ]
            slot = acc.slot + 1
            late = slot < len(now.known) or slot in self.chosen(now)
            gone = tuple(
                over(one, OVER) if one.ballot.address == address and one.life == LIVE else one
                for one in now.attempts
            )
            fates = now.fates
            if "given up" in self.lacks:
                for each in now.attempts:
                    if each not in gone and each.own and each.change in self.names:
                        fates = self.fate(now, each.change, REFUSED)
            for ballot, before in self.ballots(now._replace(attempts=gone, fates=fates), slot, address):
                for change in wants:
                    one = Attempt(slot, ballot, change, acc.decided, LIVE, NONE, False, late, (), ())
                    yield self.made(
                        before._replace(
                            attempts=(*before.attempts, one),
                            starts=now.starts - 1,
                            swaps=now.swaps - change.startswith("swap"),
                        )
                    )

    def wanted(self, now: State, own: str) -> list[str]:
        """The changes that may come to a proposer; `own`: of its operator."""
        return [
            name
            for name, fate in zip(self.names, now.fates, strict=True)
            if fate == OPEN and (name == own or self.bounds.resent)
        ]

    def ballots(self, now: State, slot: int, address: str) -> Iterator[tuple[core.Ballot, State]]:
        """Each place that a new ballot may have among the slot's, which are numbered anew around it."""
        mine = {
            one.ballot: one.life for one in now.attempts if one.slot == slot and one.ballot.address == address
        }
        last = max((ballot for ballot, life in mine.items() if life != FORGOTTEN), default=core.NO_BALLOT)
        disks = [*now.accs, now.stopped[1]] if now.stopped else now.accs
        used = sorted(
            {
                *(acc.promised for acc in disks if acc.slot + 1 == slot and acc.promised.n),
                *(one.ballot for one in now.attempts if one.slot == slot),
            }
        )
        yield from ((ballot, now) for ballot, life in mine.items() if life == FORGOTTEN and ballot > last)
        for place in range(sum(ballot <= last for ballot in used), len(used) + 1):
            new = {old: core.Ballot(at + 1 + (at >= place), old.address) for at, old in enumerate(used)}
            new[core.NO_BALLOT] = core.NO_BALLOT
            yield (
                core.Ballot(place + 1, address),
                now._replace(
                    accs=tuple(renumbered(acc, slot, new) for acc in now.accs),
                    stopped=now.stopped and (now.stopped[0], renumbered(now.stopped[1], slot, new)),
                    attempts=tuple(
                        one
                        if one.slot != slot
                        else one._replace(
                            ballot=new[one.ballot],
                            promises=tuple((at, disk, moved(held, new)) for at, disk, held in one.promises),
                        )
                        for one in now.attempts
                    ),
                ),
            )

    def harmed(self, now: State) -> Iterator[State]:
        for at in self.bounds.harmed:
            gone = tuple(
                over(one, FORGOTTEN) if one.ballot.address == ADDRESSES[at] else one for one in now.attempts
            )
            if (
                now.wipes
                and now.accs[at].disk != "wiped"
                and (now.wipes == self.bounds.wipes or "twice" in self.lacks or self.settled(now))
            ):
                blank = Acc("wiped", NONE, NONE, core.NO_BALLOT, ())
                if "wiped" in self.lacks:
                    blank = Acc(core.FIRST, 0, now.known[0], core.NO_BALLOT, ())
                stopped = None if now.stopped is not None and now.stopped[0] == at else now.stopped
                yield self.made(
                    now._replace(
                        accs=put(now.accs, at, blank), attempts=gone, stopped=stopped, wipes=now.wipes - 1
                    )
                )
            if now.stopped is not None and now.stopped[0] == at:
                yield self.made(
                    now._replace(accs=put(now.accs, at, now.stopped[1]), attempts=gone, stopped=None)
                )
            if now.restarts:
                yield self.made(now._replace(stopped=(at, now.accs[at]), restarts=now.restarts - 1))

    # ---- what is dropped, and what is known of a state ----

    def made(self, new: State) -> State:
        """The canonical state. An attempt whose questions nobody answers any more, decided and told, goes."""
        kept, last = [one for one in new.attempts if one.value != NONE or one.life == LIVE], len(new.known)
        if last > 1:
            disks = [*new.accs, new.stopped[1]] if new.stopped else new.accs
            kept = [
                one
                for one in kept
                if one.slot >= last
                or any(
                    acc.slot < one.slot and any(acc.disk == each.disk for each in self.members(one))
                    for acc in disks
                )
            ]
        kept.sort()
        return State(
            new.accs,
            new.stopped,
            new.known,
            new.fates,
            tuple(kept),
            new.starts,
            new.swaps,
            new.wipes,
            new.restarts,
        )

    def chosen(self, now: State) -> dict[int, int]:
        """Values that a majority of the slot's members accepted under one ballot, whoever knows it."""
        key = tuple(
            [(one.slot, one.ballot, one.base, one.value, one.votes) for one in now.attempts if one.votes]
        )
        if key not in self.memo:
            self.memo[key] = self.counted(now)
        found: dict[int, int] = self.memo[key]
        return found

    def counted(self, now: State) -> dict[int, int]:
        votes: dict[tuple[int, core.Ballot, int], set[core.Member]] = {}
        for one in now.attempts:
            if one.value != NONE and one.votes:
                named = self.members(one)
                votes.setdefault((one.slot, one.ballot, one.value), set()).update(
                    named[place] for place, disk in one.votes if named[place].disk == disk
                )
        found: dict[int, int] = {}
        for (slot, _, value), voters in votes.items():
            if len(voters) >= core.majority(3) and found.setdefault(slot, value) != value:
                self.broken("two values decided for one slot")
        return found

    def settled(self, now: State) -> bool:
        """Whether another wipe may come: all members' disks are there, a majority with the newest value."""
        last = self.values[now.known[-1]]
        accs = now.accs if now.stopped is None else put(now.accs, *now.stopped)
        there = [acc for at, acc in enumerate(accs) if core.Member(ADDRESSES[at], acc.disk) in last.members]
        have = sum(acc.slot == last.slot for acc in there)
        return len(there) == len(last.members) and (
            "unsettled" in self.lacks or have >= core.majority(len(there))
        )
