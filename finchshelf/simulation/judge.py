"""Judges a day by what clients, servers and the operator saw, and by nothing else.

Owns that record and the rules, by their names. It must never look into a program: what one believes of itself
proves nothing.
"""

from __future__ import annotations

import math
from bisect import bisect_left
from collections import defaultdict
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from itertools import accumulate
from typing import Any

from finchshelf.simulation.quota import WINDOW, Quota, figures

PROMISES = (408, 421, 429, 503)
CONTACT, SETTLING, SETPOINT, RETRY_WINDOW = 3.0, 2.5, 2.5, 10.0
TOLERANCE, RECOVERY, LOSS_SLACK = 6.0, 5.0, 0.2  # s; back in a third of the time that the rule gives
REVERSION, ON_SLOWED = 0.25, 8  # s, and so many times that on a machine in trouble
CORE = "core"


@dataclass(eq=False)
class Asked:
    """One try of a client, and what came back."""

    id: str
    limiter: str
    host: str
    path: str
    method: str
    body: bytes
    key: str
    mutating: bool
    at: float
    told: float = 0.0  # s that it said it would wait
    status: int = 0  # 0: no whole answer
    answered: float = 0.0
    why: str = ""
    cut: bool = False  # its connection ended before a whole answer
    limiter_heard: bool = False  # its connection was there when it was sent


@dataclass(eq=False)
class Ran:
    """A request that reached a server; `turned`: it was sent away and did not run."""

    id: str
    server: str
    service: str
    path: str
    method: str
    body: bytes
    headers: dict[str, str]
    at: float
    source: str
    turned: bool
    done: float = math.inf  # when its server had worked and gave the answer; inf: it never did


@dataclass(eq=False)
class Version:
    number: int
    prior: int
    document: dict[str, Any]
    sent: float
    valid: bool = True
    taken: float = math.inf  # when it was acknowledged
    refused: bool = False
    known: dict[Any, Any] = field(default_factory=dict)  # what was looked up before: documents don't change

    def once(self, key: tuple[str, ...], find: Callable[[], Any]) -> Any:
        if key not in self.known:
            self.known[key] = find()
        return self.known[key]

    def parts(self, kind: str) -> dict[str, dict[str, Any]]:
        found: dict[str, dict[str, Any]] = self.once(
            (kind,),
            lambda: {
                one["header"].get("label", ""): one["reference"]
                for one in self.document["elements"]
                if one["elementKind"] == kind
            },
        )
        return found

    def route(self, host: str, path: str) -> dict[str, Any] | None:
        begin = path[: path.rfind("/") + 1]  # prefixes end with a slash
        found: dict[str, Any] | None = self.once((host, begin), lambda: self.longest(host, begin))
        return found

    def longest(self, host: str, path: str) -> dict[str, Any] | None:
        fits = [
            one
            for one in self.parts("trajectories").values()
            if one["plant"] == host and path.startswith(one["pathPrefix"])
        ]
        fits.sort(key=lambda each: len(str(each["pathPrefix"])))
        return fits[-1] if fits else None

    def services(self, host: str, path: str) -> set[str]:
        route = self.route(host, path) or {"distribution": []}
        if "subsystem" in route:
            return {str(route["subsystem"])}
        return {str(one["subsystem"]) for one in route["distribution"] if one["gain"] > 0}

    def tenant(self, key: str) -> str | None:
        found: str | None = self.once(
            ("holder", "of", key),
            lambda: next(
                (label for label, one in self.parts("loads").items() if key in one["credentials"]), None
            ),
        )
        return found


@dataclass(eq=False)
class Trouble:
    hosts: frozenset[str]
    begin: float
    end: float = math.inf


@dataclass(eq=False)
class Judge:
    now: Callable[[], float]
    asked: dict[str, Asked] = field(default_factory=dict)
    ran: list[Ran] = field(default_factory=list)
    bodies: dict[str, dict[str, bytes]] = field(default_factory=lambda: defaultdict(dict))  # id: seal: body
    versions: list[Version] = field(default_factory=list)
    drained: dict[str, float] = field(default_factory=dict)  # server: when that was acknowledged
    troubles: list[Trouble] = field(default_factory=list)
    begun: dict[str, list[float]] = field(default_factory=lambda: defaultdict(list))  # lives of limiters
    planned: dict[str, list[float]] = field(default_factory=lambda: defaultdict(list))  # SIGTERMs
    back: float = math.inf  # when the last of all harm had ended
    broken: list[str] = field(default_factory=list)
    ratio: float = 0.2
    slack: float = 64.0

    # ---- what was seen ----

    def fault(self, rule: str, text: str) -> None:
        line = f"{rule}: {text} (at {self.now():.3f})"
        if len(self.broken) < 200 and line not in self.broken:
            self.broken.append(line)

    def trouble(self, *hosts: str) -> Trouble:
        """From now on these are in trouble, `CORE` among them for the core; until `over`."""
        self.troubles.append(Trouble(frozenset(hosts), self.now()))
        return self.troubles[-1]

    def over(self, trouble: Trouble) -> None:
        trouble.end = min(trouble.end, self.now())

    def in_touch(self, at: float, *hosts: str) -> bool:
        """No trouble there or in the core in the `contactMs` before."""
        mine = {CORE, *hosts}
        return not any(
            one.begin <= at and one.end >= at - CONTACT and one.hosts & mine for one in self.troubles
        )

    def answer(self, asked: Asked, status: int, headers: dict[str, str], body: bytes) -> None:
        asked.status, asked.answered = status, self.now()
        back = headers.get("trial-id")
        if back is not None and back != asked.id:
            self.fault("MIXED", f"{asked.id} got the answer of {back}")
        if 200 <= status < 300:
            seal = headers.get("server-seal")
            if seal is None:
                self.fault("MIXED", f"{asked.id} got a success without a seal")
            elif self.bodies[asked.id].get(seal) != body:
                self.fault("MIXED", f"{asked.id} got a body that no server gave it: {body[:60]!r}")

    # ---- the rules ----

    def verdict(self) -> list[str]:
        """All rules that the day broke."""
        runs: dict[str, list[Ran]] = defaultdict(list)
        arrivals: dict[str, list[Ran]] = defaultdict(list)
        for one in self.ran:
            arrivals[one.id].append(one)
            if not one.turned:
                runs[one.id].append(one)
        for name, found in runs.items():
            asked = self.asked.get(name)
            if asked is None:
                self.fault("UNASKED", f"{name} ran at {found[0].server}, and no client sent it")
                continue
            self.once(asked, found)
            for one in found:
                self.unchanged(asked, one)
                self.allowed(asked, one)
                self.in_force(asked, one)
        for one in self.ran:
            self.drain(one)
        for asked in self.asked.values():
            self.denied(asked)
            self.lost(asked, arrivals.get(asked.id, []))
        self.refused_though_allowed()
        self.recover()
        self.goes_back(runs)
        self.races()
        self.quota()
        self.budget(arrivals)
        return self.broken

    def once(self, asked: Asked, found: list[Ran]) -> None:
        if not asked.mutating:
            return
        if len(found) > 1:
            self.fault("TWICE", f"{asked.id} at {[one.server for one in found]}")
        if asked.status in PROMISES:
            self.fault("REFUSED", f"{asked.id} was answered {asked.status} and ran at {found[0].server}")

    def unchanged(self, asked: Asked, one: Ran) -> None:
        if (asked.method, asked.path, asked.body) != (one.method, one.path, one.body):
            self.fault("UNASKED", f"{asked.id} was changed on its way")
        if "authorization" in one.headers:
            self.fault("UNASKED", f"{asked.id}: its key was passed on")
        holders = {each.tenant(asked.key) for each in self.versions} - {None}
        if asked.key and holders and one.headers.get("load-name") not in holders:
            self.fault("UNASKED", f"{asked.id} ran for {one.headers.get('load-name')}")

    def allowed(self, asked: Asked, one: Ran) -> None:
        ever: Iterable[set[str]] = (each.services(asked.host, asked.path) for each in self.versions)
        if not any(one.service in services for services in ever):
            self.fault("ROUTE", f"{asked.id} ran at {one.service}, which no configuration allows")
        if asked.key and not any(each.tenant(asked.key) for each in self.versions):
            self.fault("ROUTE", f"{asked.id} ran under a key that nobody ever held")

    def maybe(self, at: float, until: float) -> list[Version]:
        """The versions that may be in force for a request of that time."""
        sure = max((one.number for one in self.versions if one.taken + SETPOINT < at), default=0)
        return [
            one
            for one in self.versions
            if one.number >= sure and one.sent <= until and (one.taken < math.inf or not one.refused)
        ]

    def in_force(self, asked: Asked, one: Ran) -> None:
        if not self.in_touch(asked.at, asked.limiter):
            return
        maybe = self.maybe(asked.at, one.at)
        if not any(one.service in each.services(asked.host, asked.path) for each in maybe):
            self.fault("CONFIG", f"{asked.id} ran at {one.service} by an older version")
        elif asked.key and not any(each.tenant(asked.key) for each in maybe):
            self.fault("CONFIG", f"{asked.id} ran under a key that was taken away")

    def denied(self, asked: Asked) -> None:
        if asked.status not in (401, 403, 404) or not self.in_touch(asked.at, asked.limiter):
            return
        maybe = self.maybe(asked.at, asked.answered)
        if maybe and all(
            one.route(asked.host, asked.path) is not None and one.tenant(asked.key) is not None
            for one in maybe
        ):
            self.fault("CONFIG", f"{asked.id} was answered {asked.status} by an older version")

    def refused_though_allowed(self) -> None:
        found = [
            one
            for one in self.asked.values()
            if 300 <= one.status < 500
            and one.status not in (*PROMISES, 409)
            and self.in_touch(one.at, one.limiter)
            and self.permitted(one)
        ]
        if len(found) > 5 + len(self.asked) / 500:
            self.fault("DENIED", f"{len(found)} proper requests, such as {found[0].id}: {found[0].status}")

    def permitted(self, asked: Asked) -> bool:
        maybe = self.maybe(asked.at, asked.answered or asked.at)
        return bool(maybe) and all(
            one.route(asked.host, asked.path) is not None and one.tenant(asked.key) is not None
            for one in maybe
        )

    def lost(self, asked: Asked, arrived: list[Ran]) -> None:
        """Around a SIGTERM of the machine that took it: broken off, or an own answer put in its place."""
        near = any(
            at <= asked.answered and asked.at <= at + TOLERANCE + 1.0 for at in self.planned[asked.limiter]
        )
        if not near or any(
            one.begin <= asked.answered
            and one.end >= asked.at - CONTACT
            and one.hosts & {CORE, asked.limiter}
            for one in self.troubles
        ):
            return
        worked = [one for one in arrived if not one.turned and one.done < math.inf]
        if (
            asked.cut
            and asked.limiter_heard
            and (worked or (not arrived and asked.answered > asked.at + LOSS_SLACK))
        ):
            self.fault("LOST", f"{asked.id} was cut off at {asked.limiter} in a planned end: {asked.why}")
        elif asked.status >= 500 and any(asked.answered < one.done - 0.001 for one in worked):
            self.fault("LOST", f"{asked.id} was answered {asked.status} while {worked[0].server} worked")

    def recover(self) -> None:
        """A quarter of what was served before must be served again; tenants within a limit can't tell."""
        free = {
            key
            for one in self.versions
            for load in one.parts("loads").values()
            for key in load["credentials"]
            if not load.get("rateS")
        }
        sent = [one for one in self.asked.values() if one.key in free and self.permitted(one)]
        before = [200 <= one.status < 300 for one in sent if one.at < self.back]
        after = [200 <= one.status < 300 for one in sent if one.at > self.back + RECOVERY]
        if len(after) >= 12 and sum(before) >= len(before) / 4 and sum(after) < len(after) / 4:
            self.fault("RECOVER", f"{sum(after)} of {len(after)} served from {RECOVERY} s after the harm")

    def goes_back(self, runs: dict[str, list[Ran]]) -> None:
        """Within one life a limiter never handles a request by an older version than it did before."""
        lives: dict[tuple[str, float], list[tuple[Asked, float, list[int]]]] = defaultdict(list)
        for asked in self.asked.values():
            fits = [one for one in self.versions if not one.refused or one.taken < math.inf]
            if asked.id in runs:
                one, at = runs[asked.id][0], runs[asked.id][0].at
                by = [
                    each.number
                    for each in fits
                    if one.service in each.services(asked.host, asked.path)
                    and (not asked.key or each.tenant(asked.key))
                ]
            elif asked.status in (401, 404):
                at = asked.answered
                by = [
                    each.number
                    for each in fits
                    if each.route(asked.host, asked.path) is None or each.tenant(asked.key) is None
                ]
            else:
                continue
            life = max((begun for begun in self.begun[asked.limiter] if begun <= at), default=0.0)
            lives[asked.limiter, life].append((asked, at, by))
        for (limiter, _), handled in lives.items():
            effects = sorted((at, min(by), seen.id) for seen, at, by in handled if by)
            newest = list(accumulate(((by, name) for _, by, name in effects), max))
            for asked, _, older in handled:
                span = REVERSION * (1 if self.in_touch(asked.at, limiter) else ON_SLOWED)
                before = bisect_left(effects, (asked.at - span,))
                if older and before and max(older) < newest[before - 1][0]:
                    return self.fault("CONFIG", f"{limiter} went back: {newest[before - 1][1]}, {asked.id}")

    def drain(self, one: Ran) -> None:
        at, asked = self.drained.get(one.server), self.asked.get(one.id)
        if at is None or asked is None or one.turned or one.at <= at + SETTLING:
            return
        if self.in_touch(asked.at, asked.limiter) and self.in_touch(one.at, asked.limiter, one.source):
            self.fault("DRAIN", f"{asked.id} reached {one.server} {one.at - at:.2f} s after its word")

    def races(self) -> None:
        taken: dict[int, Version] = {}
        for one in self.versions:
            if one.taken == math.inf:
                continue
            if not one.valid:
                self.fault("CONFIG", f"version {one.number} is invalid and was taken")
            if one.prior in taken:
                self.fault("CONFIG", f"{taken[one.prior].number} and {one.number} were both taken")
            taken[one.prior] = one

    def read_back(self, document: dict[str, Any] | None) -> None:
        """What the operator gets at the end of the day."""
        newest = max((one.number for one in self.versions if one.taken < math.inf), default=0)
        if document is None:
            return self.fault("LOST", "nobody tells the configuration")
        number = int(document["setpointSeq"], 16)
        if number < newest:
            return self.fault("LOST", f"version {newest} was acknowledged, {number} is left")
        same = [one for one in self.versions if one.number == number]

        def key(one: dict[str, Any]) -> tuple[str, str]:
            return one["elementKind"], one["header"].get("label", "")

        if not any(
            sorted(one.document["elements"], key=key) == sorted(document["elements"], key=key)
            and not (one.refused and one.taken == math.inf)
            for one in same
        ):
            self.fault("CONFIG", f"version {number} is not what was sent, or was refused")

    def quotas(self) -> list[Quota]:
        """The limited tenants' days; the highest limit ever sent counts."""
        limits: dict[str, tuple[float, float]] = {}
        for one in self.versions:
            for label, load in one.parts("loads").items():
                rate, surge = load.get("rateS", 0), load.get("surge", 0)
                before = limits.get(label, (rate, surge))
                limits[label] = (max(rate, before[0]), max(surge, before[1]))
        holders = {
            key: label
            for one in self.versions
            for label, load in one.parts("loads").items()
            for key in load["credentials"]
        }
        times: dict[str, list[float]] = defaultdict(list)
        tries: dict[str, list[tuple[float, bool]]] = defaultdict(list)
        there: set[str] = set()
        for ran in self.ran:
            if not ran.turned:
                times[ran.headers.get("load-name", "")].append(ran.at)
                there.add(ran.id)
        for asked in self.asked.values():
            if asked.id in there or asked.status == 429:
                tries[holders.get(asked.key, "")].append((asked.at, asked.id in there))
        return [
            figures(label, rate, surge, times[label], tries[label])
            for label, (rate, surge) in limits.items()
            if rate
        ]

    def quota(self) -> None:
        for one in self.quotas():
            if one.most > one.allowed:
                self.fault(
                    "QUOTA",
                    f"{one.tenant} ran {one.most} in {WINDOW} s to {one.at:.3f}, " f"{one.allowed:.0f} may",
                )

    def budget(self, arrivals: dict[str, list[Ran]]) -> None:
        further: dict[str, list[float]] = defaultdict(list)
        first: dict[str, list[float]] = defaultdict(list)
        for name, found in arrivals.items():
            asked = self.asked.get(name)
            if asked is not None:
                first[found[0].service].append(asked.at)
            further[found[0].service] += sorted(one.at for one in found)[1:]
        for service, times in further.items():
            each, all_of = sorted(times), sorted(first[service])
            for n, at in enumerate(each):
                count = n + 1 - bisect_left(each, at - RETRY_WINDOW)
                most = max(
                    bisect_left(all_of, at - back) - bisect_left(all_of, at - back - RETRY_WINDOW)
                    for back in (0.0, RETRY_WINDOW / 2, RETRY_WINDOW)
                )
                if count > self.ratio * most + self.slack:
                    return self.fault("BUDGET", f"{service}: {count} further arrivals for {most}")

    # ---- what stories ask ----

    def served(self, since: float = 0.0, until: float = math.inf, path: str = "") -> float:
        """The share of the tries sent in that span that were served."""
        found = [one for one in self.asked.values() if since <= one.at < until and one.path.startswith(path)]
        return sum(200 <= one.status < 300 for one in found) / max(1, len(found))

    def count(self, *statuses: int, since: float = 0.0, until: float = math.inf) -> int:
        return sum(one.status in statuses and since <= one.at < until for one in self.asked.values())
