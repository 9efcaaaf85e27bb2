"""Drives transitions: gathers what limiters tell, and carries out the step that is due.

Owns who drives, and for how long each transition and its stage have been known here. Which step is due is
`rollout.version_plan`'s to say. It must never take a step that is not decided by the register: two that drive
at once only cost ballots.
"""

from __future__ import annotations

import math
from collections import deque
from collections.abc import Callable
from contextlib import suppress
from dataclasses import dataclass, field
from functools import partial

import trio

from finchshelf.agreement import transition_orders
from finchshelf.agreement.core import Value
from finchshelf.agreement.membership import on_duty
from finchshelf.agreement.transitions import Mode, Stage, Transition
from finchshelf.controlplane.news import News
from finchshelf.controlplane.register import Register, Unsettled
from finchshelf.controlplane.version_reports import Report, newest
from finchshelf.membership.records import Unfit
from finchshelf.rollout import version_evidence, version_plan
from finchshelf.rollout.version_evidence import RouteCounts, Routes
from finchshelf.rollout.version_plan import Standing, Step
from finchshelf.transport.exchange import Clock
from finchshelf.transport.frames import Message, PeerError

GATHER_EACH_S = 0.5  # between two rounds of questions to all control planes
GATHER_MOVING_S = 0.2  # the same while all requests move
ANSWER_S = 0.4  # for one answer
STEP_S = 1.0  # for a step to be decided
HEARD_S = 1.0  # for which a member is heard that may drive
RECENT_S = 2.0  # of the trial that are judged beside the whole
FRESH_S = 1.5  # for which the report of a limiter tells what it goes by


@dataclass(slots=True)
class Progress:
    """What is known here of one transition. Times are of the steady clock."""

    known_at: float
    stage: Stage
    stage_at: float
    stage_slot: int  # of the decided value by which the stage was known first
    gathered_at: float = -math.inf
    past: deque[tuple[float, Routes]] = field(default_factory=deque)  # totals of the last seconds
    reports: dict[str, Report] = field(default_factory=dict)

    def come_to(self, stage: Stage, slot: int, now: float) -> None:
        if stage is not self.stage:
            self.stage, self.stage_at, self.stage_slot = stage, now, slot
            self.gathered_at = -math.inf

    def gathered(self, routes: Routes, now: float) -> Routes:
        """Take the totals of now; what came in the last seconds."""
        self.past.append((now, routes))
        while len(self.past) > 1 and now - self.past[1][0] >= RECENT_S:
            self.past.popleft()
        return version_evidence.since(routes, self.past[0][1])


class TransitionDriver:
    def __init__(self, register: Register, news: News, clock: Clock, log: Callable[..., None]) -> None:
        self.register, self.news, self.cells = register, news, news.cells
        self.clock, self.log = clock, log
        self.progress: dict[tuple[str, int], Progress] = {}

    async def look(self) -> None:
        """One look at each transition that is tracked."""
        decided = self.register.decided
        tracked = [one for one in decided.transitions if one.mode is Mode.TRACKING] if decided else []
        now = self.clock.now()
        self.progress = {
            (one.service, one.number): self.progress.get((one.service, one.number))
            or Progress(now, one.stage, now, decided.slot if decided else -1)
            for one in tracked
        }
        for one in tracked:
            progress = self.progress[one.service, one.number]
            progress.come_to(one.stage, decided.slot if decided else -1, now)
            if self.drives(one, progress, now):
                await self.drive(one, progress)

    def drives(self, one: Transition, progress: Progress, now: float) -> bool:
        """Is it this one's to take the next step? The first of the members that are heard drives, and the
        next ones where a step is overdue."""
        decided, me = self.register.decided, self.register.me
        assert decided is not None
        silent = self.cells.silent(me, now, self.register.disk_failing_s())
        voters = [each.address for each in decided.members if silent.get(each, math.inf) <= HEARD_S]
        if one.stage is Stage.MOVING:
            over = now - progress.stage_at - version_plan.OPEN_MOST_S
        else:
            over = now - progress.known_at - one.horizon_ms / 1000 + version_plan.REVERT_LEAD_S
        return on_duty(self.cells.address, voters, max(0.0, over))

    async def drive(self, one: Transition, progress: Progress) -> None:
        now = self.clock.now()
        each_s = GATHER_MOVING_S if one.stage is Stage.MOVING else GATHER_EACH_S
        if now - progress.gathered_at < each_s and one.stage is not Stage.HELD:
            return
        progress.gathered_at = now
        routes: Routes = {}
        if one.stage is not Stage.HELD:
            progress.reports = await self.gather(one)
            routes = totals(one, progress.reports)
            now = self.clock.now()
        recent = progress.gathered(routes, now)
        standing = self.standing(one, progress, routes, recent, now)
        step = version_plan.next_step(standing)
        if step is not None:
            await self.take(one, step, standing, routes)

    def standing(
        self, one: Transition, progress: Progress, routes: Routes, recent: Routes, now: float
    ) -> Standing:
        return Standing(
            one.horizon_ms / 1000,
            now - progress.known_at,
            one.stage,
            now - progress.stage_at,
            self.ready(one, now),
            self.left(progress, now),
            version_evidence.judge(routes, recent),
            version_evidence.is_calm(routes, recent),
        )

    def ready(self, one: Transition, now: float) -> bool:
        """Can the target's servers bear all requests of the service?"""
        rows = [record for record in self.cells.servers.rows.values() if record.service == one.service]
        usable = [record for record in rows if record.usable()]
        warm = sum(each.capacity for each in usable if each.version == one.target and now >= each.warm_at)
        former = sum(each.capacity for each in usable if each.version in one.former)
        return warm > 0 and warm >= version_plan.READY_PART * former

    def left(self, progress: Progress, now: float) -> bool:
        """Do all limiters go by this stage, with nothing open at versions that it does not allow?"""
        reports = progress.reports
        fresh = {limiter for limiter, one in reports.items() if now - one.at <= FRESH_S}
        return fresh >= {one.node for one in self.cells.merged} and all(
            reports[limiter].slot >= progress.stage_slot and not reports[limiter].open for limiter in fresh
        )

    async def gather(self, one: Transition) -> dict[str, Report]:
        """The newest report of each limiter on that transition."""
        question = {"op": "versions", "service": one.service, "number": one.number}
        answers: list[Message] = [self.news.version_reports.told(one.service, one.number, self.clock.now())]

        async def ask(address: str) -> None:
            with suppress(PeerError):
                answer = await self.news.members.link(address).ask("versions", question, ANSWER_S)
                if isinstance(answer.get("limiters"), dict):
                    answers.append(answer["limiters"])

        async with trio.open_nursery() as nursery:
            for address, _ in self.cells.named:
                if address != self.cells.address:
                    nursery.start_soon(ask, address)
        with suppress(Unfit, TypeError, ValueError):
            return newest(answers, self.clock.now())
        return newest(answers[:1], self.clock.now())

    async def take(self, one: Transition, step: Step, standing: Standing, routes: Routes) -> None:
        """Have the step decided; the next look tries again where it is not."""
        make: Callable[[Value], object]
        if isinstance(step, Mode):
            make = partial(transition_orders.end, service=one.service, number=one.number, mode=step)
        else:
            make = partial(transition_orders.advance, service=one.service, number=one.number, stage=step)
        with suppress(Unsettled):
            made = await self.register.change(make, STEP_S, "transitions.step")
            if isinstance(made, Value):
                self.log(
                    "transition.step",
                    service=one.service,
                    target=one.target,
                    step=str(step.value),
                    judgement=standing.judgement.value,
                    evidence={route: shown(counts) for route, counts in routes.items()},
                    elapsed_s=round(standing.elapsed_s, 2),
                )


def shown(counts: RouteCounts) -> list[int]:
    """The counts of a route in a log line."""
    return [*counts.former[:3], round(counts.former.mean()), *counts.target[:3], round(counts.target.mean())]


def totals(one: Transition, reports: dict[str, Report]) -> Routes:
    """The counts of all limiters, by route."""
    found: dict[str, RouteCounts] = {}
    for report in reports.values():
        for route, counts in report.of(one.service, one.number).items():
            found[route] = found.get(route, RouteCounts()).plus(counts)
    return found
