"""Run-time invariants of the data plane, as its core calls them.

Owns what each check needs beside the request at hand. It must never change a decision: a violation is counted
and logged, and the request goes on.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass

from finchshelf import invariants
from finchshelf.dataplane.answers import NEVER_RAN
from finchshelf.dataplane.dialect import Request
from finchshelf.invariants import Monitor
from finchshelf.membership.records import STABLE, Server

GRACE_S = 1.0  # beyond a request's deadline until its missing answer is a violation
CHECK_EVERY_S = 5.0


class RequestChecks:
    """What must hold of each request, its tries and its answer."""

    def __init__(self, monitor: Monitor) -> None:
        self.monitor = monitor
        self.slot = -1  # of the configuration in force

    def configured(self, version: int, slot: int) -> None:
        """A configuration takes the place of the one in force."""
        self.monitor.check(
            slot >= self.slot, invariants.CONFIGURATION_FORWARD, version=version, slot=slot, before=self.slot
        )
        self.slot = max(self.slot, slot)

    def trying(self, request: Request, record: Server | None, server: str) -> None:
        """Before a try goes out; `request.tried` names the server already."""
        route, monitor = request.route, self.monitor
        if route is None or record is None:
            monitor.check(
                False,
                invariants.SERVICE_OF_ROUTE,
                trial=request.mark.decode("latin-1"),
                server=server,
                service="unknown",
            )
            return
        trial = request.mark.decode("latin-1")
        monitor.check(
            route.repeatable or not (request.may_have_run or request.out),
            invariants.SINGLE_RUN,
            trial=trial,
            route=route.label,
            server=server,
            before=request.tried[:-1],
        )
        monitor.check(
            len(set(request.tried)) <= max(1, route.trials),
            invariants.TRIALS_BOUND,
            trial=trial,
            route=route.label,
            tried=request.tried,
        )
        monitor.check(
            record.service == request.service,
            invariants.SERVICE_OF_ROUTE,
            trial=trial,
            route=route.label,
            server=server,
            service=record.service,
        )
        monitor.check(
            record.mode == STABLE,
            invariants.TARGET_STAYS,
            trial=trial,
            route=route.label,
            server=server,
            mode=record.mode,
        )

    def answering(self, request: Request, status: int, counted: str) -> None:
        """Before the final answer goes out."""
        route = request.route
        if status not in NEVER_RAN or route is None or route.repeatable:
            return
        self.monitor.check(
            not request.may_have_run and not request.out,
            invariants.REFUSAL_NEVER_RAN,
            trial=request.mark.decode("latin-1"),
            route=route.label,
            status=status,
            counted=counted,
            tried=request.tried,
        )

    def overdue(self, open_requests: Iterable[Request], now: float) -> None:
        """All timers up to now were looked at: a request that should have ended has."""
        for request in open_requests:
            self.monitor.check(
                now < request.until + GRACE_S,
                invariants.REQUEST_ENDS,
                trial=request.mark.decode("latin-1"),
                over_s=round(now - request.until, 3),
                tried=request.tried,
                ends=[one.ended for one in request.ends],
            )


@dataclass(slots=True)
class Level:
    """Units granted that the tenant's rate has not yet covered."""

    units: float
    at: float


@dataclass(frozen=True, slots=True)
class QuotaMargins:
    """The figures of the quota rule: the window in s, and what is tolerated beyond the limit."""

    window_s: float = 5.0
    overshoot: float = 0.1
    slack: float = 20.0


class GrantChecks:
    """A meter beside the holder's own windows: another reckoning of what one tenant was granted here."""

    def __init__(self, monitor: Monitor, margins: QuotaMargins = QuotaMargins()) -> None:  # noqa: B008
        self.monitor, self.margins = monitor, margins
        self.levels: dict[str, Level] = {}

    def granted(self, tenant: str, units: float, rate: float, surge: float, now: float) -> None:
        """The level drains at the rate: no window then holds more than rate x window and the ceiling."""
        margins = self.margins
        ceiling = surge + (rate * margins.window_s + surge) * margins.overshoot + margins.slack
        level = self.levels.setdefault(tenant, Level(0.0, now))
        level.units = min(ceiling, max(0.0, level.units - rate * (now - level.at))) + units
        level.at = now
        self.monitor.check(
            level.units <= ceiling + units * 0.01,
            invariants.GRANTS_WITHIN_RATE,
            tenant=tenant,
            level=round(level.units, 1),
            ceiling=round(ceiling, 1),
            rate=rate,
        )

    def keep(self, tenants: Iterable[str]) -> None:
        """Forget tenants that the configuration no longer has."""
        kept = set(tenants)
        self.levels = {name: level for name, level in self.levels.items() if name in kept}
