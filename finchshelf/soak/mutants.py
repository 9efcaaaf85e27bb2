"""Guards of the programs that the soak can drop, to see that it finds the break.

Owns the patches, by name. It is loaded by `soak.child` alone, and only where a mutant is named.
"""

from __future__ import annotations

import os
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

import h11

from finchshelf.admission.outcome import Status
from finchshelf.agreement import orders, store
from finchshelf.agreement.core import FIRST, Acceptor, Member, Value, genesis
from finchshelf.agreement.orders import Ruling
from finchshelf.configuration import change, document
from finchshelf.controlplane import cells, news, register, resources
from finchshelf.counts import caller, holder
from finchshelf.dataplane import budget, core, dialect, follower, tries
from finchshelf.membership.records import Server
from finchshelf.transport import clients


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
    # The last word on an answer's truth would stand behind it.
    core.truthful = lambda request, answer: answer  # type: ignore[attr-defined]


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


def grant_anything() -> None:
    """Each request fits its tenant's count."""
    former = holder.Holder.add

    def add(self: Any, *words: Any, **more: Any) -> bool:
        former(self, *words, **more)
        return True

    holder.Holder.add = add  # type: ignore[method-assign]


def holder_starts_empty() -> None:
    """A new holder takes nothing for granted that the former one may have let in."""
    former = holder.Holder.add

    def add(self: Any, tenant: str, *words: Any, **more: Any) -> bool:
        known = tenant in self.counts
        fits = former(self, tenant, *words, **more)
        if not known:
            self.counts[tenant].total = 0.0
        return fits if known else True

    holder.Holder.add = add  # type: ignore[method-assign]


def share_whole() -> None:
    """A limiter that can't ask lets in the tenant's whole rate, not its share."""
    caller.Caller.share = lambda self, tenant, now: tenant.rate  # type: ignore[method-assign]


def retry_anything() -> None:
    """A further try is always within the budget."""
    budget.Budget.spend = lambda self, service: True  # type: ignore[method-assign]


def ready_at_once() -> None:
    """A data plane says that it is ready as soon as it listens."""
    core.Core.ready = lambda self: True  # type: ignore[method-assign]
    follower.Follower.settled = lambda self: True  # type: ignore[method-assign]


def rejoin_wiped() -> None:
    """A disk that is empty votes under the first start's name, as a member that has learned nothing."""

    def restored(self: Any, seeds: tuple[str, ...], first_start: bool) -> Acceptor:
        state = self.store.load()[0] if self.store is not None else None
        if state is not None:
            return Acceptor.restore(self.address, state)
        return Acceptor(Member(self.address, FIRST), genesis(seeds) if self.address in seeds else None)

    register.Register.restored = restored  # type: ignore[method-assign]


def seal_unsynced() -> None:
    """A save ends before the disk has it: nothing is synced."""
    store._sync = lambda path: None
    vars(store)["os"] = Unsynced()


class Unsynced:
    """The module `os`, whose `fsync` does nothing."""

    def fsync(self, _: Any) -> None:
        return None

    def __getattr__(self, name: str) -> Any:
        return getattr(os, name)


def go_back() -> None:
    """A data plane takes whatever configuration is told last."""
    former = follower.Follower.take

    def take(self: Any, source: Any, answer: Any, asked: float) -> None:
        self.slot = -1
        former(self, source, answer, asked)

    follower.Follower.take = take  # type: ignore[method-assign]


def pass_keys_on() -> None:
    """A client's key goes on to the server."""
    dialect.NOT_PASSED = dialect.NOT_PASSED - {b"authorization"}


def take_any_key() -> None:
    """A key that nobody holds is taken for the first tenant's."""
    former = document.Configuration.tenant

    def tenant(self: Any, key: str) -> Any:
        return former(self, key) or next(iter(self.tenants.values()), None)

    document.Configuration.tenant = tenant  # type: ignore[method-assign]


def time_unsaid() -> None:
    """A server isn't told how long the client waits."""
    without_header(b"Remaining-Ms")


def target_unnamed() -> None:
    """A server isn't told which one is meant."""
    without_header(b"Target-Server")


def without_header(name: bytes) -> None:
    former = dialect.Words.head

    def head(self: Any, *words: Any) -> Any:
        made = former(self, *words)
        rows = [row for row in made.headers.raw_items() if row[0].lower() != name.lower()]
        return h11.Request(method=made.method, target=made.target, headers=rows)

    dialect.Words.head = head  # type: ignore[method-assign, assignment]


def go_on_alone() -> None:
    """A try goes on when its client has left."""
    core.Core.cancel = lambda self, request: None  # type: ignore[method-assign]


def renew_anything() -> None:
    """What must run once is sent again on a new connection, where its kept one was dropped."""
    tries.renews = lambda tried, renewed: not renewed
    former = core.Core.ended

    def ended(self: Any, item: Any, now: float) -> None:
        former(self, item, now)
        if item.idle is not None:
            for delivery in item.attempt.exchange.deliveries:
                delivery.refused = True

    core.Core.ended = ended  # type: ignore[method-assign]


def any_base() -> None:
    """An order is made on whatever version is in place."""
    former = orders.rule

    def rule(value: Value, order: Any) -> Ruling:
        found = former(value, order)
        fits = found is Ruling.REFUSED and order.version > value.version
        return Ruling.OPEN if fits else found

    orders.rule = rule


def take_invalid() -> None:
    """A configuration whose routes lead nowhere is taken."""
    former = change.check

    def check(whole: dict[str, Any], *words: Any) -> Any:
        try:
            return former(whole, *words)
        except change.Invalid:
            return document.read_configuration(whole)

    change.check = check  # type: ignore[assignment]


def forget_departures() -> None:
    """A departure is acknowledged, and its server is still used."""

    def depart(self: Any, name: str, now: float) -> Any:
        known = self.servers.rows.get(name) or Server(name, "", "", "", 1)
        return known, False

    cells.Cells.depart = depart  # type: ignore[method-assign]


def answers_of_anyone() -> None:
    """An answer is taken for the one that is waited for, whatever it names."""
    former = dialect.Words.read

    def read(self: Any, reply: Any, attempt: Any, ended: Any) -> None:
        rows = [row for row in reply.headers if row[0] != b"trial-id"]
        reply.headers = [*rows, (b"trial-id", attempt.exchange.mark)]
        former(self, reply, attempt, ended)

    dialect.Words.read = read  # type: ignore[method-assign]


def end_at_once() -> None:
    """A data plane that is told to end hangs up on whatever it still has."""

    async def leave(self: Any, *words: Any) -> None:
        for connection in list(self.connections):
            connection.stream.hang_up()

    clients.Clients.leave = leave  # type: ignore[method-assign, assignment]


MUTANTS = {
    "read-alone": Mutant("a read asks a majority", "CONFIG", read_alone),
    "vote-unsaved": Mutant("a vote is on disk before it leaves", "CONFIG", vote_unsaved),
    "promise-anything": Mutant("only what has not run is promised", "REFUSED", promise_anything),
    "repeat-anything": Mutant("what runs once is not sent again", "TWICE", repeat_anything),
    "drain-alone": Mutant("a drain is held by a majority and told", "DRAIN", drain_alone),
    "refuse-repeats": Mutant("an order that was taken is not refused", "CONFIG", refuse_repeats),
    "grant-anything": Mutant("a count refuses what does not fit", "QUOTA", grant_anything),
    "holder-starts-empty": Mutant("a new holder starts with a full window", "QUOTA", holder_starts_empty),
    "share-whole": Mutant("a limiter alone lets in its share", "QUOTA", share_whole),
    "retry-anything": Mutant("further tries keep to the budget", "BUDGET", retry_anything),
    "ready-at-once": Mutant("a data plane is ready by a configuration", "READY", ready_at_once),
    "rejoin-wiped": Mutant("a wiped disk is a new member", "CONFIG", rejoin_wiped),
    "seal-unsynced": Mutant("a save is synced before it counts", "CONFIG", seal_unsynced),
    "go-back": Mutant("a data plane never goes back", "CONFIG", go_back),
    "pass-keys-on": Mutant("a key stays here", "UNASKED", pass_keys_on),
    "take-any-key": Mutant("a key that nobody holds is refused", "UNASKED", take_any_key),
    "time-unsaid": Mutant("a server is told the time that is left", "BUDGET", time_unsaid),
    "target-unnamed": Mutant("a server is told which one is meant", "ROUTE", target_unnamed),
    "go-on-alone": Mutant("a try ends with its client", "GONE", go_on_alone),
    "renew-anything": Mutant("only what may be repeated is renewed", "TWICE", renew_anything),
    "any-base": Mutant("an order is made on its base alone", "CONFIG", any_base),
    "take-invalid": Mutant("an invalid configuration is refused", "CONFIG", take_invalid),
    "forget-departures": Mutant("a server that departs is not used", "DRAIN", forget_departures),
    "answers-of-anyone": Mutant("an answer names its request", "MIXED", answers_of_anyone),
    "end-at-once": Mutant("a planned end answers what is here", "LOST", end_at_once),
}
