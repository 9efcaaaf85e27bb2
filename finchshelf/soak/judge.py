"""Compares the ledgers of one seed with the rules: decisions only.

Owns what breaks a rule. It must never look at what the programs say of themselves, but for violated
invariants and faults, which always break a seed. A rule with a time bound is judged only for machines that no
trouble has touched for `CONTACT_S`.
"""

from __future__ import annotations

from collections import Counter, defaultdict
from collections.abc import Callable, Iterator
from functools import partial

from finchshelf.soak import bounds, site
from finchshelf.soak import plan as plans
from finchshelf.soak.breach import MOST_SHOWN, Breach, told
from finchshelf.soak.ledger import End, Ledger, Sent, Struck

CONTACT_S = 4.0  # since the last trouble until a machine counts as calm; the margin is 3 s
SETTLING_S = 1.0  # from a drain's acknowledgement until no request may reach the server
IN_FORCE_S = 2.5  # from an acknowledgement until the version is in force everywhere
ACKNOWLEDGE_S = 5.0  # for an order in a calm time
RECOVERED_S = 8.0  # after the last trouble until the end, where service is whole; the margin is 15 s
LEAST_OWED = 20  # requests from which a share says something
LEAST_SERVED = 0.97  # of the requests in that time
LOSS_SLACK_S = 0.2
OVER_DEADLINE_S = 0.6
PROMISES = frozenset((408, 421, 429, 503))
UNSAFE = "POST"


class Judge:
    def __init__(self, ledger: Ledger, length_s: float) -> None:
        self.ledger, self.length_s = ledger, length_s
        self.by_trial = {one.trial: one for one in ledger.sent}

    def breaches(self) -> list[Breach]:
        rules: tuple[Callable[[], Iterator[Breach]], ...] = (
            *(partial(rule, self.ledger) for rule in bounds.EVERYWHERE),
            *(partial(rule, self.ledger, self.calm) for rule in bounds.IN_TOUCH),
            self.twice,
            self.refused,
            self.mixed,
            self.unasked,
            self.trials,
            self.drained,
            self.lost_at_end,
            self.unanswered,
            self.orders,
            self.reads,
            self.in_force,
            self.served,
            self.recovered,
            self.own_words,
        )
        return [breach for rule in rules for breach in rule()]

    # ---- which machines are calm ----

    def calm(self, machine: int, since: float, until: float) -> bool:
        """Was that machine untouched, and the core as well, from `CONTACT_S` before `since` to `until`?"""
        return not any(
            begin < until and end > since - CONTACT_S
            for one in self.ledger.struck
            if touches(one, machine)
            for begin, end in spans(one, machine)
        )

    def all_calm(self, since: float, until: float) -> bool:
        return not any(
            one.at < until and one.until > since - CONTACT_S and one.kind in TOUCHING
            for one in self.ledger.struck
        )

    # ---- requests ----

    def twice(self) -> Iterator[Breach]:
        runs = Counter(one.trial for one in self.ledger.ran if one.ran and one.method == UNSAFE)
        doubled = [trial for trial, number in runs.items() if number > 1]
        yield from told("TWICE", doubled, "run more than once")

    def refused(self) -> Iterator[Breach]:
        ran = {one.trial for one in self.ledger.ran if one.ran}
        wrong = [
            one.trial
            for one in self.ledger.sent
            if one.method == UNSAFE and one.status in PROMISES and one.trial in ran
        ]
        yield from told("REFUSED", wrong, "told that they had not run, and ran")

    def mixed(self) -> Iterator[Breach]:
        ran = {(one.trial, one.server) for one in self.ledger.ran if one.ran and one.status == 200}
        wrong = [
            one.trial
            for one in self.ledger.sent
            if one.status == 200
            and one.end is End.ANSWERED
            and (not one.body_fits or (one.trial, one.answered_by) not in ran)
        ]
        yield from told("MIXED", wrong, "answered by what no server gave them")
        strange = [one.trial for one in self.ledger.sent if one.end is End.WRONG]
        yield from told("MIXED", strange, "answered by bytes that are no answer to them")

    def unasked(self) -> Iterator[Breach]:
        for one in self.ledger.ran:
            sent = self.by_trial.get(one.trial)
            if not one.ran:
                continue
            if sent is None or (sent.method, sent.path) != (one.method, one.path) or not one.body_fits:
                yield Breach("UNASKED", f"{one.server} ran {one.trial}, which nobody sent so")
            elif one.key_passed or one.tenant != sent.tenant:
                yield Breach(
                    "UNASKED", f"{one.server} ran {one.trial} for {one.tenant!r}, sent by {sent.tenant!r}"
                )
            elif one.target != one.server:
                yield Breach("ROUTE", f"{one.server} ran {one.trial}, meant for {one.target!r}")

    def trials(self) -> Iterator[Breach]:
        servers: defaultdict[str, set[str]] = defaultdict(set)
        for one in self.ledger.ran:
            if one.ran:
                servers[one.trial].add(one.server)
        wrong = [trial for trial, names in servers.items() if len(names) > 2]
        yield from told("BUDGET", wrong, "run on more servers than their route's trials")

    def drained(self) -> Iterator[Breach]:
        left = {one.server: one for one in self.ledger.leavings if one.acknowledged}
        late: list[str] = []
        for one in self.ledger.ran:
            leaving, sent = left.get(one.server), self.by_trial.get(one.trial)
            if leaving is None or sent is None or one.status == 421:
                continue
            if one.at > leaving.acknowledged + SETTLING_S and self.calm(sent.edge, one.at, one.at):
                late.append(f"{one.trial} at {one.server} {one.at - leaving.acknowledged:.2f} s after")
        yield from told("DRAIN", late, "sent to servers that had left")

    def lost_at_end(self) -> Iterator[Breach]:
        """Around a planned end of a calm machine a request that was read has its answer."""
        ran = {one.trial: one.at for one in self.ledger.ran if one.ran}
        ends = [one for one in self.ledger.struck if one.kind == plans.Kind.EDGE_TERM]
        for end in ends:
            others = [one for one in self.ledger.struck if one is not end and one.kind in TOUCHING]
            for one in self.ledger.sent:
                if one.edge not in end.machines or not end.at - 2.0 < one.at < end.until:
                    continue
                if one.ended < end.at or not self.lost(one, ran):
                    continue
                if any(other.at < one.ended and other.until > one.at - CONTACT_S for other in others):
                    continue
                if server_trouble(self.ledger.struck, one):
                    continue
                if one.trial in ran or (one.written and one.ended - one.written > LOSS_SLACK_S):
                    after_s = one.ended - end.at
                    yield Breach(
                        "LOST", f"{one.trial} at edge {one.edge}: {one.end} {after_s:.2f} s after SIGTERM"
                    )

    def unanswered(self) -> Iterator[Breach]:
        """At calm machines a request ends by its deadline, and a kept connection isn't closed on one."""
        slow, closed = list[str](), list[str]()
        ran = {one.trial: one.at for one in self.ledger.ran if one.ran}
        for one in self.ledger.sent:
            if one.end is End.LEFT or not one.written or not self.calm(one.edge, one.at, one.ended):
                continue
            if one.end is End.TIMEOUT or one.ended > one.until + OVER_DEADLINE_S:
                slow.append(f"{one.trial} at edge {one.edge}, sent {one.at:.2f}, ended {one.ended:.2f}")
            elif self.lost(one, ran) and not server_trouble(self.ledger.struck, one):
                closed.append(f"{one.trial} at edge {one.edge}, sent {one.at:.2f}: {one.end}")
        yield from told("LOST", closed, "closed without an answer in a calm time")
        yield from told("LATE", slow, "without an answer past their deadline in a calm time")

    def lost(self, one: Sent, ran: dict[str, float]) -> bool:
        """Did its connection end without a whole answer? A request that crosses the close of a kept
        connection and was not passed on is not lost."""
        crossed = one.kept and one.trial not in ran and one.ended - one.written <= LOSS_SLACK_S
        return one.end is End.CUT or (one.end is End.CLOSED and not crossed)

    # ---- configuration ----

    def orders(self) -> Iterator[Breach]:
        taken: defaultdict[int, list[int]] = defaultdict(list)
        for one in self.ledger.orders:
            statuses = {status for _, status, _ in one.statuses}
            if one.acknowledged and not one.valid:
                yield Breach("CONFIG", f"invalid order {one.label} was acknowledged")
            if 200 in statuses and 412 in statuses:
                yield Breach("CONFIG", f"order {one.label} was both acknowledged and refused: {one.statuses}")
            if one.acknowledged:
                taken[one.prior].append(one.version)
            elif (
                one.valid
                and not statuses & {412, 400}
                and self.all_calm(one.at, one.at + ACKNOWLEDGE_S)
                and one.at + ACKNOWLEDGE_S < self.length_s
            ):
                yield Breach(
                    "ACKS", f"order {one.label} of {one.at:.2f} s was never acknowledged: {one.statuses}"
                )
            if one.valid and 400 in statuses:
                yield Breach("CONFIG", f"valid order {one.label} was called invalid: {one.statuses}")
            if (
                one.acknowledged
                and one.acknowledged - one.at > ACKNOWLEDGE_S
                and self.all_calm(one.at, one.acknowledged)
            ):
                yield Breach("ACKS", f"order {one.label} took {one.acknowledged - one.at:.2f} s")
        for prior, versions in taken.items():
            if len(set(versions)) > 1:
                yield Breach("CONFIG", f"orders {versions} on version {prior} were all acknowledged")

    def reads(self) -> Iterator[Breach]:
        acknowledged = sorted(
            (one.acknowledged, one.version, one.label) for one in self.ledger.orders if one.acknowledged
        )
        for read in self.ledger.reads:
            if read.status != 200:
                continue
            before = [(version, label) for at, version, label in acknowledged if at < read.sent]
            newest = max((version for version, _ in before), default=0)
            if read.version < newest:
                yield Breach(
                    "CONFIG",
                    f"a read of {read.sent:.2f} s by {read.by} gave version {read.version}, "
                    f"{newest} was acknowledged",
                )
            lacking = [
                label for version, label in before if version <= read.version and label not in read.labels
            ]
            if lacking:
                yield Breach("LOST", f"a read of {read.sent:.2f} s by {read.by} lacks {lacking[:MOST_SHOWN]}")
        last = [one for one in self.ledger.reads if one.status == 200 and one.sent > self.length_s - 1.0]
        if not last:
            yield Breach("LOST", "the configuration could not be read back at the end")

    def in_force(self) -> Iterator[Breach]:
        """A calm data plane serves a new route `IN_FORCE_S` after its acknowledgement."""
        known = {one.label: one for one in self.ledger.orders if one.acknowledged}
        late: list[str] = []
        for one in self.ledger.sent:
            order = known.get(one.route)
            if (
                order is not None
                and one.status in (401, 403, 404)
                and one.tenant
                and self.calm(one.edge, one.at, one.ended)
                and one.at > order.acknowledged + IN_FORCE_S
            ):
                late.append(
                    f"{one.trial} on {one.route} at edge {one.edge}: {one.status} "
                    f"{one.at - order.acknowledged:.2f} s after"
                )
        yield from told("CONFIG", late, "refused on a route that is in force")
        denied = [
            one.trial
            for one in self.ledger.sent
            if one.route not in known
            and one.status in (401, 403, 404)
            and one.route in site.BY_ROUTE
            and one.tenant
        ]
        yield from told("DENIED", denied, "refused though every version allows them")

    # ---- the whole ----

    def served(self) -> Iterator[Breach]:
        """In calm times, with no trouble among servers and clients either, almost all is served."""
        owed = [
            one
            for one in self.ledger.sent
            if one.end is not End.LEFT
            and one.tenant == site.FREE.name
            and one.route in site.FIRST_ROUTES
            and not self.any_trouble(one)
        ]
        served = sum(one.status == 200 for one in owed)
        if len(owed) >= LEAST_OWED and served < LEAST_SERVED * len(owed):
            yield Breach("SERVED", f"{served} of {len(owed)} in calm times: {unserved(owed)}")

    def any_trouble(self, one: Sent) -> bool:
        return any(other.at < one.ended and other.until > one.at - CONTACT_S for other in self.ledger.struck)

    def recovered(self) -> Iterator[Breach]:
        last = max((one.until for one in self.ledger.struck), default=0.0)
        since = last + RECOVERED_S
        owed = [
            one
            for one in self.ledger.sent
            if one.at > since
            and one.end is not End.LEFT
            and one.tenant == site.FREE.name
            and one.route in site.FIRST_ROUTES
        ]
        served = sum(one.status == 200 for one in owed)
        if len(owed) >= LEAST_OWED and served < LEAST_SERVED * len(owed):
            ends = unserved(owed)
            yield Breach(
                "RECOVER",
                f"{served} of {len(owed)} served {RECOVERED_S:g} s after the last trouble: " f"{ends}",
            )

    def own_words(self) -> Iterator[Breach]:
        for name, number in self.ledger.violations.items():
            yield Breach("INVARIANT", f"{name}: {number}")
        for fault in self.ledger.faults[:MOST_SHOWN]:
            yield Breach("FAULT", fault)
        for end in self.ledger.own_ends:
            yield Breach("FAULT", f"{end} ended by itself")


# The host's own lateness counts as trouble of all machines: a bound of time can't be judged by a late clock.
EVERYBODYS = frozenset(map(str, (*plans.ON_ALL, plans.HOST_LATE)))
TOUCHING = EVERYBODYS | frozenset(
    map(str, (*plans.ON_CONTROL, *plans.ON_EDGE, *plans.ON_LINKS, *plans.ON_DISKS, *plans.ON_CLOCKS))
)
BETWEEN_ALL = (plans.Kind.HALVES_CUT, plans.Kind.LINK_SLOW)
CORE_WIDE = frozenset(map(str, (*plans.ON_CONTROL, *plans.ON_DISKS, *plans.ON_CLOCKS, *BETWEEN_ALL)))
# One machine of the core apart: the others are in touch again a while after it began, and after it ended.
ONE_APART = frozenset(map(str, (plans.Kind.MACHINE_CUT, plans.Kind.DRAIN_CUT)))


def touches(struck: Struck, machine: int) -> bool:
    """Does that trouble touch this machine, or the core that it must be in touch with?"""
    if struck.kind not in TOUCHING:
        return False
    if struck.kind in EVERYBODYS:
        return True
    core = any(one <= plans.CORE for one in struck.machines)
    return machine in struck.machines or (core and struck.kind in CORE_WIDE | ONE_APART)


def spans(struck: Struck, machine: int) -> list[tuple[float, float]]:
    """When that trouble touches this machine; moments where the core is cut or joined elsewhere."""
    if struck.kind in ONE_APART and machine not in struck.machines:
        return [(struck.at, struck.at), (struck.until, struck.until)]
    return [(struck.at, struck.until)]


def server_trouble(struck: list[Struck], sent: Sent) -> bool:
    """Did servers misbehave while the request was under way? Then its end may be theirs."""
    kinds = frozenset(map(str, plans.ON_SERVERS))
    return any(one.kind in kinds and one.at < sent.ended and one.until > sent.at - 1.0 for one in struck)


def unserved(rows: list[Sent]) -> dict[str, int]:
    """How those that were not served ended."""
    return dict(Counter(f"{one.end} {one.status}" for one in rows if one.status != 200))
