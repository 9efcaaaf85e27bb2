"""The driver of a roll-out: events in, orders out; which site changes when, and when all is called off.

Owns the steps. It must never do I/O or read a clock, order a site's change that is not yet written down by
the register under its own epoch, or go on past a site without proof.

Written down first, then ordered: a driver that was cut off gets nothing written and so orders nothing.
What it may have sent just before is the same bytes that its follower sends, on the exact version that the
site had: taken once. And a site that goes back is moved to a version of its own in any case, so what is still
under way to it meets another version and is refused.
"""

from __future__ import annotations

import math
from copy import deepcopy
from typing import Any

import orjson

from finchshelf.rollout import plan as plans
from finchshelf.rollout.evidence import AT, FIELDS, Totals
from finchshelf.rollout.messages import (
    Adjust,
    Answered,
    Ask,
    Event,
    Log,
    Observe,
    Observed,
    Order,
    Save,
    State,
    Tick,
    Told,
)
from finchshelf.rollout.plan import Plan, Site
from finchshelf.rollout.statistics import BACK_S, Growth, Verdict
from finchshelf.rollout.unchanged import UnchangedSites
from finchshelf.rollout.watched import GRACE, Watched, lacks

ENDED = ("done", "halted", "aborted")
SILENT = 30.0  # s without any word of a changed site: what happens there is not known, so it goes back
EXCUSED = 24.0  # s of a watch that losses may excuse in all: a policy that fells machines is not excused
RATE_OVER = 10  # intervals over which a site's rate is taken
REPEATS = 0.001  # of a kind whose clients repeat by themselves, more than before
KEPT = 200  # lines of history


def begin(plan: Plan) -> State:
    return {
        "name": plan.name,
        "plan": plan.given,
        "phase": "observing",
        "wave": 0,
        "why": "",
        "says": "",
        "revision": 0,
        "systems": {},
        "history": [],
        "sites": {site.name: {"state": "waiting"} for site in plan.sites},
    }


class Driver:
    compare = True  # False only in a test that shows what the comparison with other sites is for

    def __init__(self, plan: Plan, state: State, now: float) -> None:
        self.plan, self.state, self.now, self.wall = plan, deepcopy(state), now, 0.0
        self.sites = {site.name: site for site in plan.sites}
        self.mind = {site.name: Watched(at=now, since=now) for site in plan.sites}
        self.began = self.polled = now
        self.paused = False
        self.back = max(1, math.ceil(BACK_S / plan.poll))
        self.unchanged = UnchangedSites(self.plan, self.state["sites"], self.mind)
        self.held: list[tuple[int, Adjust]] = []  # each waits for its revision to be written down
        self.out: list[Order] = []
        self.dirty = False
        for name, row in self.state["sites"].items():
            if row["state"] == "watching":
                self.watch(name)

    def take(self, event: Event) -> list[Order]:
        self.out = []
        if isinstance(event, Tick):
            self.tick(event)
        elif isinstance(event, Told):
            self.told(event)
        elif isinstance(event, Observed):
            self.observed(event)
        elif isinstance(event, Answered):
            self.answered(event)
        else:
            self.out += [order for revision, order in self.held if revision <= event.revision]
            self.held = [(revision, order) for revision, order in self.held if revision > event.revision]
        if self.dirty:
            self.dirty = False
            self.out.insert(0, Save(self.state["revision"], deepcopy(self.state)))
        return self.out

    def view(self) -> dict[str, Any]:
        """What an operator is shown of each site that was heard."""
        return {name: mind.shown(self.plan.poll) for name, mind in self.mind.items() if mind.has_rows()}

    # ---- words ----

    @property
    def phase(self) -> str:
        return str(self.state["phase"])

    def row(self, name: str) -> dict[str, Any]:
        found: dict[str, Any] = self.state["sites"][name]
        return found

    @property
    def wave(self) -> list[Site]:
        return self.plan.waves[self.state["wave"]]

    def change_state(self) -> int:
        """The state is to be written down; what waits for it names this revision."""
        if not self.dirty:
            self.dirty = True
            self.state["revision"] += 1
        return int(self.state["revision"])

    def note(self, event: str, site: str = "", **more: Any) -> None:
        line = {"at": self.wall, "event": event, "site": site, **more}
        self.state["history"] = [*self.state["history"], line][-KEPT:]
        self.change_state()
        self.out.append(Log(event, {"rollout": self.plan.name, "site": site, **more}))

    def order(self, order: Adjust) -> None:
        """Sent again and again until it is answered, each time only after the register has confirmed anew
        that this driver still is the driver."""
        self.held = [(revision, other) for revision, other in self.held if other.site != order.site]
        self.held.append((self.change_state(), order))

    def says(self, why: str) -> None:
        if self.state["says"] != why:
            self.state["says"] = why
            self.change_state()

    # ---- time ----

    def tick(self, event: Tick) -> None:
        self.now, self.wall = event.now, event.wall
        if self.phase in ENDED:
            return
        if event.abort and self.phase != "returning":
            return self.halt("", "aborted by an operator", "aborted")
        if event.paused != self.paused:
            self.paused = event.paused
            if self.paused:
                self.note("rollout.paused")
            else:
                self.note("rollout.resumed")
        if self.phase == "observing":
            silent = [site.name for site in self.plan.sites if site.system not in self.state["systems"]]
            self.says(f"waits for the configuration of {silent[0]}" if silent else "")
            self.out += [
                Observe(site) for site in self.plan.sites if site.system not in self.state["systems"]
            ]
            return
        if self.phase == "returning":
            return self.leave() if event.leave else self.go_back()
        self.judge()
        if self.phase == "before":
            self.before()
        elif self.phase == "stepping":
            self.step()
        elif self.phase == "watching":
            self.decide()
        if self.phase not in (*ENDED, "returning"):
            self.out += [
                Ask(
                    site,
                    {route: kind.aim_ms for route, kind in self.plan.routes(site).items() if kind.aim_ms},
                )
                for site in self.plan.sites
            ]

    # ---- evidence ----

    def told(self, event: Told) -> None:
        if event.answer is not None:
            self.mind[event.site].take(event.answer, self.now)

    def totals(self, site: Site) -> dict[str, Totals]:
        return {route: self.mind[site.name].sums.totals(route) for route in self.plan.routes(site)}

    def judge(self) -> None:
        """One interval of every site that was heard; harm halts, and so does a change of another's."""
        passed = max(1e-3, self.now - self.polled)
        self.unchanged.begin(self.now)
        self.polled = self.now
        for site in self.plan.sites:
            mind, row = self.mind[site.name], self.row(site.name)
            if not mind.news:
                if row["state"] == "watching" and self.now - mind.at > SILENT:
                    return self.halt(site.name, f"no evidence from here for {SILENT:g} s")
                mind.deltas.append({})  # what is not known of it now must not count as now
                continue
            mind.news = False
            now = self.totals(site)
            mind.interval(
                now,
                row.get("at", now) if row["state"] == "watching" else now,
                row["state"] == "waiting",
                self.now,
                self.back,
            )
        under_way = {
            (one.system, self.row(one.name)["version"])
            for one in self.plan.sites
            if self.row(one.name)["state"] == "changing"
        }
        for site in self.plan.sites:
            mind, row = self.mind[site.name], self.row(site.name)
            known = self.state["systems"].get(site.system)
            if known is not None and mind.version > known and (site.system, mind.version) not in under_way:
                return self.halt(site.name, f"version {mind.version:08x} is another operator's")
            if row["state"] == "watching" and mind.deltas[-1]:
                self.examine(site, passed)
                if self.phase == "returning":
                    return

    def examine(self, site: Site, passed: float) -> None:
        """The tests of one interval at a site that has changed."""
        mind, row = self.mind[site.name], self.row(site.name)
        delta = mind.deltas[-1]
        recent = list(mind.deltas)[-RATE_OVER:]  # fewer at first: the rate is then taken for lower
        mind.peak = max(
            mind.peak, sum(each[route][0] for each in recent for route in each) / (RATE_OVER * passed)
        )
        excused = self.now - mind.disturbed <= GRACE and mind.excused < EXCUSED
        mind.excused += passed if excused else 0.0
        for route, kind in self.plan.routes(site).items():
            taken, repeated = delta[route][0], delta[route][AT["repeated"]]
            mind.taken[route] = mind.taken.get(route, 0) + taken
            if kind.once and repeated and not row["past"][route][AT["repeated"]]:
                return self.halt(site.name, f"{route}: {repeated} run more than once", harm="repeated")
            if excused:
                continue
            grown = self.unchanged.grown(kind) if self.compare else [0.0] * len(FIELDS)
            for harm in self.tested(kind, row["past"][route]):
                test = mind.tests[route, harm]
                if taken or delta[route][AT[harm]]:
                    # Danger: an answer may fall into the interval after its request's, over its own number.
                    test.add(delta[route][AT[harm]], max(taken, delta[route][AT[harm]]), grown[AT[harm]])
                if test.undecided():
                    return self.halt(
                        site.name,
                        f"{route}: after {test.calm} requests still not proven that " f"{harm} has not grown",
                        harm=harm,
                    )
                if test.verdict() is Verdict.HALT:
                    rate, before = delta[route][AT[harm]] / max(1, taken), test.past_x / max(1, test.past_n)
                    return self.halt(
                        site.name,
                        f"{route}: {harm} {rate:.1%} of requests, {before:.1%} " "before, more than beside",
                        harm=harm,
                    )

    def tested(self, kind: plans.Kind, past: Totals) -> list[str]:
        own = kind.once and past[AT["repeated"]]
        return [*plans.HARMS, "repeated"] if own else list(plans.HARMS)

    def watch(self, name: str) -> None:
        """The tests of a site begin."""
        mind, row = self.mind[name], self.row(name)
        mind.begin(self.now)
        for route, kind in self.plan.routes(self.sites[name]).items():
            past = row["past"][route]
            for harm in self.tested(kind, past):
                mind.tests[route, harm] = Growth(
                    past[AT[harm]], past[0], kind.tolerated.get(harm, REPEATS), back=self.back
                )

    # ---- steps ----

    def before(self) -> None:
        """The sites' own past is gathered until there is enough of it."""
        lacking = [
            (site, route, self.past(site)[route][0])
            for site in self.wave
            for route in self.plan.routes(site)
            if self.past(site)[route][0] < self.plan.least
        ]
        if self.now - self.began < self.plan.before:
            self.says(f"gathers the past of all sites for {self.plan.before:g} s")
        elif lacking:
            site, route, seen = lacking[0]
            self.says(
                f"waits: too few requests before the change at {site.name}, {route}: fewer than "
                f"{self.plan.least}"
            )
        elif not self.paused:
            for one in self.plan.sites:
                if self.row(one.name)["state"] == "waiting":
                    self.row(one.name)["past"] = self.past(one)
            self.state["phase"] = "stepping"
            self.says("")
            self.change_state()
            self.step()

    def past(self, site: Site) -> dict[str, Totals]:
        """What this driver saw at a site that has not changed, while no machine was lost there."""
        past = self.mind[site.name].past
        return {route: past.get(route, [0] * len(FIELDS)) for route in self.plan.routes(site)}

    def step(self) -> None:
        """Sites of the wave that still wait: each system one step at a time."""
        busy = {
            self.sites[name].system for name, row in self.state["sites"].items() if row["state"] == "changing"
        }
        for site in self.wave:
            row = self.row(site.name)
            if row["state"] == "changing":
                self.send(site)  # again: no clear answer yet, or the driver before was lost
            elif row["state"] == "waiting" and site.system not in busy and not self.paused:
                busy.add(site.system)
                self.out.append(Observe(site))
        if all(self.row(site.name)["state"] == "watching" for site in self.wave):
            self.state["phase"] = "watching"
            self.change_state()

    def send(self, site: Site) -> None:
        row = self.row(site.name)
        change = site.own(self.plan.change)
        self.order(Adjust(site, row["version"], plans.body(change, row["prior"], row["version"])))

    def observed(self, event: Observed) -> None:
        site, row, systems = self.sites[event.site], self.row(event.site), self.state["systems"]
        if event.version < 0:
            return
        if self.phase == "observing":
            systems[site.system] = event.version
            self.change_state()
            if all(one.system in systems for one in self.plan.sites):
                self.state["phase"], self.began = "before", self.now
                self.note("rollout.began", sites=len(self.plan.sites), waves=len(self.plan.waves))
        elif self.phase == "stepping" and row["state"] == "waiting":
            if event.version != systems[site.system]:
                return self.halt(site.name, f"version {event.version:08x} is another operator's")
            document = orjson.loads(event.document) if event.document else {}
            row.update(
                state="changing",
                prior=event.version,
                version=event.version + 1,
                back=plans.undo(site.own(self.plan.change), document),
                at=self.totals(site),
            )
            self.note("rollout.step", site.name, version=f"{row['version']:08x}")
            self.send(site)
        elif self.phase == "returning" and row["state"] == "returning" and "back_version" not in row:
            ours = {
                systems[site.system],
                *(
                    other["version"]
                    for name, other in self.state["sites"].items()
                    if self.sites[name].system == site.system and "version" in other
                ),
            }
            document = orjson.loads(event.document) if event.document else {}
            # Danger: an operator may have counted on to the very number that an unanswered step had.
            doubt = event.version == row["version"] > systems[site.system]
            change = site.own(self.plan.change)
            if event.version not in ours or (doubt and not plans.applied(change, document)):
                row["state"] = "left"
                self.note("rollout.left", site.name, version=f"{event.version:08x}")
                return self.returned()
            row.update(back_prior=event.version, back_version=max(ours) + 1)
            self.change_state()
            self.send_back(site)

    def answered(self, event: Answered) -> None:
        site, row, systems = self.sites[event.site], self.row(event.site), self.state["systems"]
        if row["state"] == "changing" and event.version == row["version"]:
            if event.status == 200:
                systems[site.system] = event.version
                row["state"] = "watching"
                self.watch(site.name)
                self.mind[site.name].last = row["at"]
                self.note("rollout.changed", site.name, version=f"{event.version:08x}")
            elif event.status == 412:  # not ours, and whatever of ours is still on its way is refused too
                row["state"] = "left"
                self.halt(site.name, "another operator changed the configuration meanwhile")
            elif 400 <= event.status < 500:
                row["state"] = "refused"
                self.halt(site.name, f"the change was refused here with {event.status}")
        elif row["state"] == "returning" and event.version == row.get("back_version"):
            if event.status == 200:
                systems[site.system] = event.version
                row["state"] = "returned"
                self.note("rollout.returned", site.name, version=f"{event.version:08x}")
                self.returned()
            elif event.status == 412:  # what is in place now says whose change it was
                del row["back_prior"], row["back_version"]
                self.change_state()

    def decide(self) -> None:
        """On to the next wave, or on with the watch."""
        for site in self.wave:
            why = lacks(self.plan, site, self.mind[site.name], self.now)
            if why:
                return self.says(f"{site.name}: {why}")
        if self.paused:
            return self.says("paused")
        for site in self.wave:
            self.row(site.name)["state"] = "passed"
            self.note("rollout.passed", site.name, requests=sum(self.mind[site.name].taken.values()))
        if self.state["wave"] + 1 == len(self.plan.waves):
            self.state["phase"] = "done"
            return self.note("rollout.done")
        self.state.update(wave=self.state["wave"] + 1, phase="before")
        self.before()

    # ---- back ----

    def halt(self, name: str, why: str, end: str = "halted", harm: str = "") -> None:
        """No site more; those of this wave go back."""
        if self.phase in (*ENDED, "returning"):
            return
        self.state.update(phase="returning", end=end, why=f"{name}: {why}" if name else why, says="")
        self.held = []  # Danger: a step that waits to be written down would be ordered after the halt
        wanted = ("changing", "watching", "passed") if self.plan.back == "all" else ("changing", "watching")
        for row in self.state["sites"].values():
            if row["state"] in wanted:
                row["state"] = "returning"
        self.note("rollout.halted", name, why=why, harm=harm)
        self.returned()
        self.go_back()

    def go_back(self) -> None:
        busy = set[str]()
        for site in self.plan.sites:
            row = self.row(site.name)
            if row["state"] == "returning" and site.system not in busy:
                busy.add(site.system)
                if "back_version" in row:
                    self.send_back(site)
                else:
                    self.out.append(Observe(site))

    def leave(self) -> None:
        """An operator gave up: a site that can't be reached would keep the next roll-out from beginning."""
        for name, row in self.state["sites"].items():
            if row["state"] == "returning":
                row["state"] = "left"
                self.note("rollout.left", name, version="given up")
        self.returned()

    def send_back(self, site: Site) -> None:
        row = self.row(site.name)
        self.order(
            Adjust(site, row["back_version"], plans.body(row["back"], row["back_prior"], row["back_version"]))
        )

    def returned(self) -> None:
        if self.phase == "returning" and not any(
            row["state"] == "returning" for row in self.state["sites"].values()
        ):
            self.state["phase"] = self.state["end"]
            self.note("rollout.ended", end=self.state["end"])
