"""Run-time invariants of the chain of decided values, as this machine's register calls them.

Owns the checks alone. It must never change what the register does with a value or a vote.
"""

from __future__ import annotations

from finchshelf import invariants
from finchshelf.agreement.core import Ballot, Value
from finchshelf.agreement.transition_orders import TransitionOrder
from finchshelf.agreement.transitions import Mode, Transition, of_service
from finchshelf.invariants import Monitor

NEVER_TAKEN = "not taken"  # as `Taken.fate` says it
MOST_MEMBERS_CHANGED = 1  # members that come, or go, from one decided value to the next


def goes_forward(before: Transition, after: Transition) -> bool:
    """Of one transition: may the second state come after the first?"""
    return after.stage >= before.stage and before.mode in (Mode.TRACKING, after.mode)


class ChainChecks:
    def __init__(self, monitor: Monitor, address: str) -> None:
        self.monitor, self.address = monitor, address
        self.read_slot = -1  # the newest slot that a read or an acknowledgement of this life leaned on
        self.contradicted: Value | None = None  # the contradiction counted last: each counts once

    def learned(self, before: Value | None, after: Value | None, contradiction: Value | None) -> None:
        """The decided values before and after a message; `contradiction`: another one heard for a slot.

        The acceptor keeps the contradiction that it heard last, so it comes here with each later message."""
        if contradiction is not None and after is not None and contradiction != self.contradicted:
            self.contradicted = contradiction
            self.monitor.check(
                False,
                invariants.ONE_VALUE_PER_SLOT,
                slot=contradiction.slot,
                known_slot=after.slot,
                version=after.version,
                heard=contradiction.version,
                members=[one.address for one in after.members],
                heard_members=[one.address for one in contradiction.members],
            )
        if before is not None and after is not None and after.slot == before.slot + 1:
            self.members_changed(before, after)
        if before is not None and after is not None and before.transitions != after.transitions:
            self.transitions_changed(before, after)

    def transitions_changed(self, held: Value, value: Value) -> None:
        for former in held.transitions:
            one = of_service(value.transitions, former.service)
            goes_on = one is not None and (
                one.number > former.number or (one.number == former.number and goes_forward(former, one))
            )
            self.monitor.check(
                goes_on,
                invariants.TRANSITION_ENDS_ONCE,
                slot=value.slot,
                service=former.service,
                former=former.mode,
                mode=one.mode if one is not None else None,
            )

    def members_changed(self, held: Value, value: Value) -> None:
        if value.members != held.members:
            come, gone = set(value.members) - set(held.members), set(held.members) - set(value.members)
            self.monitor.check(
                max(len(come), len(gone)) <= MOST_MEMBERS_CHANGED,
                invariants.MEMBERS_CHANGE_BY_ONE,
                slot=value.slot,
                come=sorted(map(str, come)),
                gone=sorted(map(str, gone)),
            )

    def promised(self, before: Value | None, after: Value | None, promised: Ballot, now: Ballot) -> None:
        """A message was handled: `promised` was the ballot before it, `now` the one after it."""
        if before is after:
            self.monitor.check(
                now >= promised,
                invariants.PROMISE_NEVER_FALLS,
                slot=after.slot if after else -1,
                before=list(promised),
                now=list(now),
            )

    def voting(self, kind: str, on_disk: int, wanted: int) -> None:
        """A reply that leans on revision `wanted` is about to leave."""
        if kind in ("promise", "accepted"):
            self.monitor.check(
                on_disk >= wanted, invariants.VOTE_ON_DISK, kind=kind, on_disk=on_disk, wanted=wanted
            )

    def answering(self, slot: int, floor: int) -> None:
        """A read is answered by that slot; `floor`: `read_slot` when the read began.

        Reads that overlap may end in any order: only what was answered before this one began binds it."""
        self.monitor.check(slot >= floor, invariants.READS_NEVER_GO_BACK, slot=slot, before=floor)
        self.read_slot = max(self.read_slot, slot)

    def acknowledging_transition(self, value: Value, order: TransitionOrder) -> None:
        """An order for a new version is acknowledged by that decided value."""
        known = of_service(value.transitions, order.service)
        self.monitor.check(
            known is not None and known.target == order.target,
            invariants.ACKNOWLEDGED_TRANSITION_IS_DECIDED,
            service=order.service,
            target=order.target,
            known=known.target if known is not None else None,
        )

    def acknowledging(self, slot: int, version: int, fate: str) -> None:
        """An order is acknowledged; `fate`: what the decided value known here says of it."""
        self.monitor.check(
            fate != NEVER_TAKEN, invariants.ACKNOWLEDGED_IS_DECIDED, slot=slot, version=version, fate=fate
        )
        self.read_slot = max(self.read_slot, slot)
