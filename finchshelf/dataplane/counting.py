"""A request's question about its tenant's count, and the counts that this limiter holds for others.

Owns the questions that are out, the caller's and the holder's side of counts, and the list of limiters that
both go by. The core's task alone calls it, but for `asked` and `told`, which wait for nothing. What fits and
what a share has room for is `counts/`'s to say. It must never touch the rest of a request's life or keep it:
each that is handed to `begin` comes back to its owner once, let in or refused.
"""

from __future__ import annotations

from collections.abc import Callable, Mapping
from dataclasses import dataclass
from typing import Protocol

from finchshelf.configuration.document import Configuration
from finchshelf.counts.caller import LATER, Caller
from finchshelf.counts.ends import Ends
from finchshelf.counts.holder import AWAY, NEAR, Holder
from finchshelf.dataplane.checks import GrantChecks, QuotaMargins
from finchshelf.dataplane.dialect import Request
from finchshelf.dataplane.probing import PROBE_UNITS, Probing
from finchshelf.dataplane.punctuality import Punctuality
from finchshelf.dataplane.questions import Questions
from finchshelf.dataplane.timers import Due
from finchshelf.membership import rendezvous
from finchshelf.membership.records import Limiter
from finchshelf.transport.exchange import Port

CLOSED = 0.2  # s after which whoever asked a limiter that has ended may come again, elsewhere


@dataclass(slots=True)
class Told:
    """The answer to one question about a count."""

    number: int
    source: tuple[str, int]  # who said it, by address
    fits: bool
    after: float


@dataclass(slots=True)
class Question:
    request: Request
    holder: str
    to: tuple[str, int]  # the address that was asked
    sent: float
    late: bool = False


class Owner(Port, Protocol):
    """Who owns the requests: it lets them in or refuses them, and keeps the timers."""

    @property
    def configuration(self) -> Configuration: ...
    @property
    def live(self) -> Mapping[int, Request]: ...
    def timer(self, at: float, due: Due, number: int) -> None: ...
    def send(self, request: Request, now: float) -> None: ...
    def refuse(self, request: Request, after: float, counted: str) -> None: ...


class Counting:
    def __init__(self, me: str, owner: Owner, margins: QuotaMargins | None = None) -> None:
        self.me, self.owner, self.clock = me, owner, owner.clock
        self.telemetry, self.count = owner.telemetry, owner.telemetry.count
        self.caller, self.holder, self.ends = Caller(me, self.clock.now()), Holder(), Ends()
        self.limiters: dict[str, Limiter] = {}
        self.hosts: dict[str, str] = {}  # of limiters listed of late: those just left must hear of it
        self.questions: dict[int, Question] = {}
        self.unapplied = 0  # limiters that ended since the list was last gone by without them
        self.given: dict[str, dict[str, float]] | None = None  # at its own end: counts by their next holder
        self.grants = GrantChecks(owner.telemetry.monitor, margins or QuotaMargins())
        self.punctuality = Punctuality()
        self.probing = Probing(self, owner.timer, owner.telemetry)
        self.was_listed = False  # was this life of this limiter ever on the list?
        self.in_touch: Callable[[], bool] = lambda: True
        self.wire: Questions

    # ---- for the socket task: nothing here waits ----

    def told(self, number: int, source: tuple[str, int], fits: bool, after: float) -> None:
        self.owner.put(Told(number, source, fits, after))

    def asked(
        self, tenant: str, units: float, who: str, state: int, life: int | None
    ) -> tuple[bool, float] | None:
        """A limiter's question or word (0 units); None where that life has ended, or no such tenant is
        known (yet). `life`: None for one of an older text, which names none and tells no end."""
        if life is not None and not self.ends.hear(who, life):
            return None
        if self.caller.left_off:
            # A probe is answered all the same: it is by that answer that this limiter comes back to the list.
            return (False, 0.0) if 0 < units <= PROBE_UNITS and self.may_hold(self.clock.now()) else None
        found = self.add(tenant, units, who, state)
        if units > 0:
            self.count["count.asked"] += 1
            self.count["count.unanswered"] += found is None
        return found

    def ended(self, who: str, life: int, used: dict[str, float]) -> None:
        """A limiter lets in nothing any more: its share is free at once."""
        if not self.ends.end(who, life):
            self.count["count.former"] += 1
            return
        # Danger: where half of a large fleet ends at one moment, a new list for each word would hold up all
        # requests. The words that come in one turn make one list, before anything else goes by it.
        self.unapplied += 1
        self.holder.end(who, used, max(1, self.caller.there() - self.unapplied), self.clock.now())
        self.count["count.ended"] += 1

    def apply_ends(self, now: float) -> None:
        """Go by the list without those that ended since it was last looked at."""
        if self.unapplied:
            self.unapplied = 0
            self.caller.ended(self.ends.names(), now)

    def handed(self, who: str, life: int, totals: dict[str, float]) -> None:
        """The counts of a limiter that has ended, of which this one is the next holder."""
        now = self.clock.now()
        self.apply_ends(now)
        if self.ends.over.get(who) != life or self.caller.left_off or not self.may_hold(now):
            return  # Danger: kept back on its way, it would undo what was granted since
        for tenant, total in totals.items():
            known = self.owner.configuration.tenants.get(tenant)
            if known is not None and known.rate > 0 and self.caller.holder(tenant) == self.me:
                sole = self.caller.sole(tenant)
                self.holder.handed(tenant, total, known.rate, max(1.0, known.surge), now, sole)
                self.count["count.handed"] += 1

    def add(self, tenant: str, units: float, who: str, state: int) -> tuple[bool, float] | None:
        known, now = self.owner.configuration.tenants.get(tenant), self.clock.now()
        self.apply_ends(now)
        # Danger: on the other side of a cut, or where this limiter was left off the list, another holder
        # grants the whole rate; and what is granted after its counts were handed on, the next holder does not
        # know.
        if (
            known is None
            or known.rate <= 0
            or self.given is not None
            or self.caller.left_off
            or not self.may_hold(now)
        ):
            return None
        fits = self.holder.add(
            tenant,
            units,
            known.rate,
            max(1.0, known.surge),
            now,
            who,
            state,
            self.caller.sole(tenant),
            self.caller.there(),
            self.caller.left(),
        )
        if fits and units > 0:
            self.grants.granted(tenant, units, known.rate, max(1.0, known.surge), now)
        return fits, 0.0 if fits else self.holder.after(tenant, units, now)

    def may_hold(self, now: float) -> bool:
        """May this limiter hold counts, where it is on the list, and go by that list?"""
        if not self.in_touch():
            self.count["count.out_of_touch"] += 1
            return False
        self.holder.touch(now)
        return True

    # ---- a request ----

    def begin(self, request: Request, now: float) -> None:
        """Ask whether it fits, or decide that here; no question where its tenant has no rate."""
        tenant = request.tenant
        if tenant is None or tenant.rate <= 0:
            return self.owner.send(request, now)
        self.apply_ends(now)
        # Danger: each side of a cut takes the other's limiters for gone, and would grant the whole rate. Who
        # hears nothing of more than half of the core keeps to its share of the list from before.
        holder = self.caller.ask(tenant.label, now) if self.may_hold(now) else None
        if holder is None or (holder == self.me and self.caller.left_off):
            return self.local(request, now)
        if holder == self.me:
            fits, after = self.add(tenant.label, 1.0, self.me, NEAR) or (True, 0.0)
            return self.decide(request, fits, after, now)
        limiter = self.limiters.get(holder)
        if limiter is None:
            return self.local(request, now)
        number = self.wire.ask(limiter.host, tenant.label, 1.0, self.caller.state(holder))
        self.questions[number] = Question(request, holder, (limiter.host, self.wire.port), now)
        self.owner.timer(now + self.caller.budget(), Due.COUNT_ANSWER, number)

    def answered(self, item: Told, now: float) -> None:
        question = self.questions.get(item.number)
        if question is None:
            self.probing.answer(item.number, item.source, now)
            return
        if item.source != question.to:
            self.count["count.stranger"] += 1  # Danger: whoever wasn't asked holds another count, or none
            return
        del self.questions[item.number]
        self.probing.answered(question.holder, now)
        if question.late:
            took_s = now - question.sent
            self.punctuality.late(question.holder, took_s)
            self.telemetry.observe("count_question", "answered late", took_s)
            if item.fits and question.request.tenant is not None:
                self.caller.credit(question.request.tenant, 1.0, now)
            return
        self.caller.answered(question.holder, now - question.sent, now)
        self.telemetry.observe("count_question", "answered", now - question.sent)
        if question.request.id in self.owner.live:
            self.decide(question.request, item.fits, item.after, now)

    def overdue(self, number: int, now: float) -> None:
        """A question's time is up: first its budget, then the time in which its answer is still of use."""
        if self.probing.overdue(number, now):
            return
        question = self.questions.get(number)
        if question is not None and question.late:
            del self.questions[number]
            self.count["count.missing"] += 1
            self.punctuality.missing(question.holder)
        elif question is not None:
            question.late = True
            self.owner.timer(now + LATER, Due.COUNT_ANSWER, number)
            self.count["count.late"] += 1
            self.telemetry.observe("count_question", "late", now - question.sent)
            limiter, tenant = self.limiters.get(question.holder), question.request.tenant
            if limiter is not None and tenant is not None:
                self.probing.late(limiter, tenant.label, now)
            if self.caller.failed(question.holder, now):
                self.telemetry.log("breaker", state="open", holder=question.holder)
            if question.request.id in self.owner.live:
                self.local(question.request, now)

    def decide(self, request: Request, fits: bool, after: float, now: float) -> None:
        assert request.tenant is not None
        if self.caller.closed:
            return self.owner.refuse(request, CLOSED, "refused.ending")
        if fits:
            self.caller.counted(request.tenant, 1.0, now)
            return self.owner.send(request, now)
        self.caller.refused(request.tenant, now)
        self.owner.refuse(request, after, "refused.quota")

    def local(self, request: Request, now: float) -> None:
        """The count can't be asked: the share decides."""
        assert request.tenant is not None
        self.count["count.local"] += 1
        if self.caller.local(request.tenant, 1.0, now):
            return self.owner.send(request, now)
        self.owner.refuse(request, self.caller.after(request.tenant, 1.0, now), "refused.share")

    # ---- between limiters ----

    def state(self, tenant: str, holder: str) -> int:
        """What this limiter says of itself to a limiter that it asks about that tenant's count.

        Danger: in touch with two holders of one count, both would grant its part of the rate."""
        return self.caller.state(holder) if self.caller.holder(tenant) == holder else AWAY

    def beat(self, now: float) -> None:
        """What holders must hear of this limiter by now."""
        self.apply_ends(now)
        if self.caller.closed:
            return
        self.probing.beat(now)
        limited = [name for name, one in self.owner.configuration.tenants.items() if one.rate > 0]
        for holder, tenant, state in self.caller.beats(now, limited):
            if holder == self.me:
                self.add(tenant, 0.0, self.me, state)
            elif holder in self.hosts:
                self.wire.ask(self.hosts[holder], tenant, 0.0, state)

    def leave(self) -> None:
        """Let in nothing from now on, and say so to all: what is set aside for this limiter is free. Its
        counts go on to their next holders."""
        now = self.clock.now()
        self.probing.closed = True
        if self.given is None:
            self.given = self.next_holders(now)
        for name, used in self.caller.close(now).items():
            if name in self.hosts:
                self.wire.end(self.hosts[name], used)
        for name, totals in self.given.items():
            if name in self.hosts:
                self.wire.hand(self.hosts[name], totals)

    def next_holders(self, now: float) -> dict[str, dict[str, float]]:
        """What the counts held here have in their windows, by who holds them next."""
        found: dict[str, dict[str, float]] = {}
        if self.caller.left_off or not self.may_hold(now):
            return found
        others = [name for name in self.caller.limiters if name != self.me]
        for tenant, total in self.holder.hand(now).items():
            to = rendezvous.first(tenant, others) if self.caller.holder(tenant) == self.me else None
            if to:
                found.setdefault(to, {})[tenant] = total
        return found

    def listed(self, limiters: dict[str, Limiter], now: float) -> bool:
        """Go by this list of limiters; False where this one is out of touch and goes on with what it has."""
        current = self.may_hold(now)
        if not current and self.limiters:
            return False
        self.probing.listed(limiters, now)
        if limiters is self.limiters and self.caller.still_listed(now):
            return True
        changed, self.limiters = limiters != self.limiters, limiters
        self.was_listed = self.was_listed or self.me in limiters
        self.caller.on_list(self.me in limiters or not self.was_listed, now)
        if changed or self.ends.rows.keys() != self.caller.known.keys():
            self.ends.listed(
                {name: (one.host, one.life) for name, one in limiters.items()},
                self.caller.known.keys() | limiters.keys(),
            )
        self.caller.listed(list(limiters), now, self.ends.names())
        if not current:
            self.caller.cut_off()
        self.hosts.update((name, one.host) for name, one in limiters.items())
        self.hosts = {name: host for name, host in self.hosts.items() if name in self.caller.known}
        return True
