"""Rules with a figure: quotas, further tries, time handed on, clients that leave, readiness.

Owns the figures' comparison with what the ledgers say; what `reach` shows of them is measured here too. It
must never excuse a breach of a rule that holds for all machines by trouble.
"""

from __future__ import annotations

from collections import Counter, defaultdict
from collections.abc import Callable, Iterator

from finchshelf.soak import site
from finchshelf.soak.breach import Breach, told
from finchshelf.soak.ledger import End, Ledger, Sent

Calm = Callable[[int, float, float], bool]

HANDED_S = 0.5  # s beyond the client's own time that a server may be handed
MOST_HANDED, HANDED_SHARE = 20, 0.2  # requests handed too much, and the share of all, that are let pass
LEFT_S = 0.5  # after a client has gone until nobody works for it any more
LEFT_SHARE, LEFT_LEAST = 0.25, 4  # of the long works whose clients left; from so many on it says something
READY_S = 1.0  # after a data plane has said that it is ready
READY_LEAST = 8  # requests to it in that time from which it says something
READY_OTHERS = 0.5  # of the requests at others that are served, so that not all have nothing to serve with


def densest(times: list[float], window_s: float) -> int:
    """The most of these moments within any window of that length."""
    ordered, start, most = sorted(times), 0, 0
    for at, moment in enumerate(ordered):
        while moment - ordered[start] > window_s:
            start += 1
        most = max(most, at - start + 1)
    return most


# ---- quotas ----


def quota_bound(tenant: site.Tenant) -> float:
    return (tenant.rate * site.QUOTA_WINDOW_S + tenant.surge) * (1 + site.OVERSHOOT) + site.QUOTA_SLACK


def quota_used(ledger: Ledger, tenant: site.Tenant) -> int:
    times = [one.at for one in ledger.ran if one.ran and one.tenant == tenant.name]
    return densest(times, site.QUOTA_WINDOW_S)


def quota(ledger: Ledger) -> Iterator[Breach]:
    for tenant in site.LIMITED:
        worst, most = quota_used(ledger, tenant), quota_bound(tenant)
        if worst > most:
            yield Breach("QUOTA", f"{tenant.name}: {worst} in {site.QUOTA_WINDOW_S:g} s, {most:g} allowed")


# ---- further tries ----


def retries_of(ledger: Ledger) -> dict[str, tuple[int, float]]:
    """By service: the most further arrivals in a window, and what is allowed."""
    first: set[str] = set()
    again: defaultdict[str, list[float]] = defaultdict(list)
    for one in sorted(ledger.ran, key=lambda row: row.at):
        if one.trial in first:
            again[one.service].append(one.at)
        first.add(one.trial)
    asked: defaultdict[str, list[float]] = defaultdict(list)
    for row in ledger.sent:
        asked[site.service_of(row.route)].append(row.at)
    window_s = site.RETRY_WINDOW_S
    return {
        name: (
            densest(again[name], window_s),
            site.RETRY_RATIO * densest(asked[name], window_s) + site.RETRY_SLACK,
        )
        for name in (one.name for one in site.SERVICES)
    }


def retries(ledger: Ledger) -> Iterator[Breach]:
    for service, (worst, most) in retries_of(ledger).items():
        if worst > most:
            why = f"{worst} further arrivals at {service} in {site.RETRY_WINDOW_S:g} s, {most:g} allowed"
            yield Breach("BUDGET", why)


# ---- time handed on ----


def most_handed(number: int) -> float:
    return max(MOST_HANDED, HANDED_SHARE * number)


def handed_too_much(ledger: Ledger, calm: Calm) -> tuple[list[str], int]:
    """Requests with which a server was handed more time than is left, or none; and all looked at."""
    sent = {one.trial: one for one in ledger.sent}
    wrong, number = list[str](), 0
    for one in ledger.ran:
        row = sent.get(one.trial)
        if row is None or not calm(row.edge, row.at, one.at):
            continue
        number += 1
        if one.remaining_s < 0 or one.remaining_s > row.until - one.at + HANDED_S:
            wrong.append(f"{one.trial}: {one.remaining_s:g} s of {row.until - one.at:.2f}")
    return wrong, number


def handed(ledger: Ledger, calm: Calm) -> Iterator[Breach]:
    wrong, number = handed_too_much(ledger, calm)
    if len(wrong) > most_handed(number):
        yield from told("BUDGET", wrong, "handed more time than is left, or none")


# ---- clients that leave ----


def left_works(ledger: Ledger, calm: Calm) -> tuple[list[str], int]:
    """Long works that went on after their client had left, and all works whose client left."""
    left = {one.trial: one for one in ledger.sent if one.end is End.LEFT and one.written}
    went_on, number = list[str](), 0
    for work in ledger.works:
        row = left.get(work.trial)
        if row is None or not calm(row.edge, row.at, row.ended + LEFT_S):
            continue
        number += 1
        if work.ended > row.ended + LEFT_S and not work.broken:
            went_on.append(f"{work.trial} at {work.server}")
    return went_on, number


def gone(ledger: Ledger, calm: Calm) -> Iterator[Breach]:
    went_on, number = left_works(ledger, calm)
    if number >= LEFT_LEAST and len(went_on) > LEFT_SHARE * number:
        yield from told("GONE", went_on, f"of {number} worked on after their client had left")


# ---- readiness ----


def refused_as_ready(ledger: Ledger) -> Iterator[tuple[float, int, int, int]]:
    """After each look at readiness: when, machine, requests that it was sent, those that it turned away."""
    rows = sorted(ledger.sent, key=lambda row: row.at)
    for at, machines in ledger.ready:
        soon = [row for row in rows if at <= row.at < at + READY_S and row.end is not End.LEFT]
        served = Counter(row.edge for row in soon if row.status == 200)
        asked = Counter(row.edge for row in soon if row.tenant == site.FREE.name)
        for machine in machines:
            others = sum(asked.values()) - asked[machine]
            fine = others and sum(served.values()) - served[machine] >= READY_OTHERS * others
            if asked[machine] >= READY_LEAST and fine:
                away = sum(row.edge == machine and turned_away(row) for row in soon)
                yield at, machine, asked[machine], away


def turned_away(row: Sent) -> bool:
    return row.tenant == site.FREE.name and row.status == 503


def readiness(ledger: Ledger) -> Iterator[Breach]:
    wrong = [
        f"edge {machine} at {at:.1f}: {away} of {asked}"
        for at, machine, asked, away in refused_as_ready(ledger)
        if away == asked
    ]
    yield from told("READY", wrong, "said that they are ready and turned all away")


EVERYWHERE: tuple[Callable[[Ledger], Iterator[Breach]], ...] = (quota, retries, readiness)
IN_TOUCH: tuple[Callable[[Ledger, Calm], Iterator[Breach]], ...] = (handed, gone)
