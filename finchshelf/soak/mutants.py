"""Guards of the programs that the soak can drop, to see that it finds the break.

Owns the patches, by name. It is loaded by `soak.child` alone, and only where a mutant is named.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from finchshelf.admission.outcome import Status
from finchshelf.agreement.core import Value
from finchshelf.agreement.orders import Ruling
from finchshelf.controlplane import news, register, resources
from finchshelf.dataplane import tries


@dataclass(frozen=True, slots=True)
class Mutant:
    """`guard`: what it drops; `rule`: one of those that must break."""

    guard: str
    rule: str
    apply: Callable[[], None]


def read_alone() -> None:
    """A read is answered by what this machine holds, without a majority's word."""

    async def read(self: Any, limit: float) -> Value:
        decided = self.decided
        if decided is None:
            raise register.Unsettled("read")
        return decided  # type: ignore[no-any-return]

    register.Register.read = read  # type: ignore[method-assign]


def vote_unsaved() -> None:
    """A vote leaves before it is on the disk, and the disk takes nothing later."""

    async def save(self: Any) -> None:
        self.acceptor.on_disk = self.acceptor.revision

    register.Register.save = save  # type: ignore[method-assign]


def promise_anything() -> None:
    """What may have run is told never to have run."""

    def end(tried: tries.Tried, status: Status) -> tries.Next:
        return tries.Next.PASS if tried.has_answer else tries.Next.PROMISE

    tries.end = end


def repeat_anything() -> None:
    """What must run once goes to a second server after its bytes went out."""
    former = tries.after

    def after(tried: tries.Tried, status: Status, budget: bool) -> tries.Next:
        again = tried.bytes_at_hand and tried.tries < tried.trials and tried.left > 0 and budget
        return tries.Next.AGAIN if again else former(tried, status, budget)

    tries.after = after


def drain_alone() -> None:
    """A drain is acknowledged by who heard it, held by no other and told to nobody."""

    async def hold(self: Any, record: Any) -> bool:
        return True

    news.News.hold = hold  # type: ignore[method-assign]
    news.News.wake = lambda self: None  # type: ignore[method-assign]


def refuse_repeats() -> None:
    """An order that was taken is refused when it comes again."""
    former = resources.Change.answer

    def answer(self: Any, ruling: Ruling, order: Any) -> Any:
        seen = self.__dict__.setdefault("seen", set())
        again = order.digest in seen
        seen.add(order.digest)
        return former(self, Ruling.REFUSED if again and ruling is Ruling.TAKEN else ruling, order)

    resources.Change.answer = answer  # type: ignore[method-assign]


MUTANTS = {
    "read-alone": Mutant("a read asks a majority", "CONFIG", read_alone),
    "vote-unsaved": Mutant("a vote is on disk before it leaves", "CONFIG", vote_unsaved),
    "promise-anything": Mutant("only what has not run is promised", "REFUSED", promise_anything),
    "repeat-anything": Mutant("what runs once is not sent again", "TWICE", repeat_anything),
    "drain-alone": Mutant("a drain is held by a majority and told", "DRAIN", drain_alone),
    "refuse-repeats": Mutant("an order that was taken is not refused", "CONFIG", refuse_repeats),
}
