"""How near to each rule's break a seed came: occasions, and where a rule has a figure the nearest approach.

Owns these measures. A rule without an occasion has not been tested by the seed, whatever its verdict.
"""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Iterable, Iterator
from dataclasses import dataclass

from finchshelf.soak import bounds, judge, site
from finchshelf.soak import plan as plans
from finchshelf.soak.judge import Judge
from finchshelf.soak.ledger import End, Ledger, Sent

SOON_S = 2.0  # after an acknowledgement or a start, in which what comes is a near miss


@dataclass(frozen=True, slots=True)
class Reached:
    """`occasions`: cases in which the rule could have been broken; `nearest`: of its bound, 0 without one."""

    rule: str
    occasions: int
    nearest: float = 0.0


def reached(ledger: Ledger, length_s: float) -> list[Reached]:
    judged = Judge(ledger, length_s)
    return [*requests(ledger, judged), *figures(ledger, judged), *orders(ledger, judged), *looks(ledger)]


def requests(ledger: Ledger, judged: Judge) -> Iterator[Reached]:
    arrivals: defaultdict[str, list[str]] = defaultdict(list)
    ran = {one.trial for one in ledger.ran if one.ran}
    for one in ledger.ran:
        arrivals[one.trial].append(one.server)
    unsafe = [one for one in ledger.sent if one.method == judge.UNSAFE]
    yield Reached(
        "TWICE: run, and no answer came", sum(one.trial in ran and one.status != 200 for one in unsafe)
    )
    yield Reached(
        "REFUSED: promised after an arrival",
        sum(one.status in judge.PROMISES and one.trial in arrivals for one in unsafe),
    )
    for name in ("lost", "garbled", "extra"):
        yield Reached(f"MIXED: answers {name}", ledger.slips[name])
    yield Reached("ROUTE: at another server than meant", sum(one.status == 421 for one in ledger.ran))
    yield Reached("UNASKED: with a key of nobody", sum(not one.tenant for one in ledger.sent))
    most = max((len(set(names)) for names in arrivals.values()), default=0)
    yield Reached("BUDGET: servers of one request", sum(len(set(n)) > 1 for n in arrivals.values()), most / 2)
    planned = [one for one in ledger.struck if one.kind == plans.Kind.EDGE_TERM]
    yield Reached(
        "LOST: open at a SIGTERM",
        sum(
            one.edge in end.machines and one.at < end.at < one.ended for end in planned for one in ledger.sent
        ),
    )
    calm = [one for one in ledger.sent if one.written and judged.calm(one.edge, one.at, one.ended)]
    yield Reached("LOST: on kept connections in touch", sum(one.kept for one in calm))
    late = max(
        ((one.ended - one.at) / (one.until - one.at + judge.OVER_DEADLINE_S) for one in calm), default=0
    )
    yield Reached("LATE: in touch", len(calm), late)
    starts = [one for one in ledger.struck if one.kind in map(str, plans.ON_EDGE)]
    yield Reached(
        "DENIED: just after a start",
        sum(
            one.edge in start.machines and 0 <= one.at - start.until < SOON_S and one.route in site.BY_ROUTE
            for start in starts
            for one in ledger.sent
        ),
    )


def figures(ledger: Ledger, judged: Judge) -> Iterator[Reached]:
    for tenant in site.LIMITED:
        used, most = bounds.quota_used(ledger, tenant), bounds.quota_bound(tenant)
        refused = sum(one.tenant == tenant.name and one.status == 429 for one in ledger.sent)
        yield Reached(f"QUOTA: {tenant.name}, refusals", refused, used / most)
    for service, (worst, allowed) in bounds.retries_of(ledger).items():
        yield Reached(f"BUDGET: further arrivals at {service}", worst, worst / allowed)
    wrong, number = bounds.handed_too_much(ledger, judged.calm)
    yield Reached("BUDGET: time handed on", number, len(wrong) / bounds.most_handed(number))
    went_on, number = bounds.left_works(ledger, judged.calm)
    share = len(went_on) / number / bounds.LEFT_SHARE if number else 0.0
    yield Reached("GONE: clients that left long work", number, share)
    ready = [away / asked for _, _, asked, away in bounds.refused_as_ready(ledger)]
    yield Reached("READY: looks at machines that say so", len(ready), max(ready, default=0.0))
    owed = [one for one in ledger.sent if one.tenant == site.FREE.name and one.route in site.FIRST_ROUTES]
    calm = [one for one in owed if one.end is not End.LEFT and not judged.any_trouble(one)]
    yield Reached("SERVED: in calm times", len(calm), missed(calm))


def missed(rows: list[Sent]) -> float:
    failed = sum(one.status != 200 for one in rows)
    return failed / len(rows) / (1 - judge.LEAST_SERVED) if rows else 0.0


def orders(ledger: Ledger, judged: Judge) -> Iterator[Reached]:
    taken = [one for one in ledger.orders if one.acknowledged]
    again = sum(sum(status == 200 for _, status, _ in one.statuses) > 1 for one in taken)
    yield Reached("CONFIG: orders told once more that they were taken", again)
    bases = [one.prior for one in ledger.orders if one.valid]
    yield Reached(
        "CONFIG: orders on a version that another builds on", sum(bases.count(one) > 1 for one in bases)
    )
    yield Reached("CONFIG: invalid orders", sum(not one.valid for one in ledger.orders))
    soon = [
        read.sent - one.acknowledged
        for read in ledger.reads
        if read.status == 200
        for one in taken
        if 0 <= read.sent - one.acknowledged < SOON_S
    ]
    yield Reached("CONFIG: reads just after an acknowledgement", len(soon))
    yield Reached("CONFIG: reads that were not answered", sum(one.status != 200 for one in ledger.reads))
    known = {one.label: one for one in taken}
    old = [
        one.at - known[one.route].acknowledged
        for one in ledger.sent
        if one.route in known and one.status == 404 and one.at > known[one.route].acknowledged
    ]
    yield Reached("CONFIG: a new route not yet known", len(old), max(old, default=0.0) / judge.IN_FORCE_S)
    took = [one.acknowledged - one.at for one in taken if judged.all_calm(one.at, one.acknowledged)]
    yield Reached("ACKS: in calm times", len(took), max(took, default=0.0) / judge.ACKNOWLEDGE_S)
    left = {one.server: one.acknowledged for one in ledger.leavings if one.acknowledged}
    after = [
        one.at - left[one.server] for one in ledger.ran if one.server in left and one.at > left[one.server]
    ]
    yield Reached(
        "DRAIN: sent after an acknowledgement", len(left), max(after, default=0.0) / judge.SETTLING_S
    )


def looks(ledger: Ledger) -> Iterator[Reached]:
    for name, number in sorted(ledger.looks.items()):
        yield Reached(f"invariant {name}", number)


def together(found: Iterable[list[Reached]]) -> list[Reached]:
    """Of several seeds: all occasions, and the nearest of all."""
    sums: dict[str, Reached] = {}
    for rows in found:
        for one in rows:
            known = sums.get(one.rule, Reached(one.rule, 0))
            sums[one.rule] = Reached(
                one.rule, known.occasions + one.occasions, max(known.nearest, one.nearest)
            )
    return list(sums.values())


def table(rows: Iterable[Reached]) -> str:
    lines = ["| rule | occasions | nearest, of its bound |", "| --- | --- | --- |"]
    lines += [
        f"| {one.rule} | {one.occasions:,} | {f'{one.nearest:.2f}' if one.nearest else ''} |" for one in rows
    ]
    return "\n".join(lines)
