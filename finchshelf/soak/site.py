"""What the soak's system serves: its services, routes and tenants, and how hard each is pressed.

Owns these figures. All the time some tenants ask for several times their rates at all limiters, one service
fails a third of its requests, and clients leave slow requests midway: rules with a bound must be met near it.
"""

from __future__ import annotations

from dataclasses import dataclass

HOST = "shop.example"
UNKNOWN_KEY = "soak-key-of-nobody"
UNKNOWN_SHARE = 0.02  # of the requests come with a key that no configuration ever held


@dataclass(frozen=True, slots=True)
class Service:
    """`work_s`: least and most that a request takes; `fails`: the share that it answers with 500."""

    name: str
    servers: int
    work_s: tuple[float, float]
    fails: float = 0.0


@dataclass(frozen=True, slots=True)
class SiteRoute:
    """`requests_s`: by tenants without a limit; `leaves`: the share whose clients hang up midway."""

    label: str
    prefix: str
    service: str
    variant: str
    requests_s: float
    leaves: float = 0.0

    @property
    def method(self) -> str:
        return "POST" if self.variant == MUTATING else "GET"


@dataclass(frozen=True, slots=True)
class Tenant:
    """`rate` and `surge`: its limit, 0 for none; `requests_s`: of one with a limit, all on `read`. `on_s` of
    each `period_s` it sends them; 0: always."""

    name: str
    key: str
    rate: float = 0.0
    surge: float = 0.0
    requests_s: float = 0.0
    on_s: float = 0.0
    period_s: float = 1.0

    def sends(self, now: float) -> bool:
        return not self.on_s or now % self.period_s < self.on_s


NULLIPOTENT, MUTATING = "nullipotent", "mutating"
SERVICES = (
    Service("pages", 5, (0.02, 0.08)),
    Service("orders", 5, (0.02, 0.08)),
    Service("archive", 4, (0.01, 0.03), fails=1 / 3),
    Service("exports", 3, (0.9, 1.1)),
)
ROUTES = (
    SiteRoute("read", "/pages/", "pages", NULLIPOTENT, 14.0),
    SiteRoute("buy", "/orders/", "orders", MUTATING, 14.0),
    SiteRoute("fetch", "/archive/", "archive", NULLIPOTENT, 18.0),
    SiteRoute("export", "/exports/", "exports", NULLIPOTENT, 3.0, leaves=0.6),
)
ADDED_S = 6.0  # requests a second on the routes that changes add
FREE = Tenant("acme", "soak-key-of-acme")
LIMITED = (
    Tenant("corner-shop", "soak-key-of-corner", 6.0, 6.0, 18.0),
    Tenant("kiosk", "soak-key-of-kiosk", 4.0, 30.0, 25.0, on_s=4.0, period_s=12.0),
)
TENANTS = (FREE, *LIMITED)
BY_ROUTE = {one.label: one for one in ROUTES}
BY_TENANT = {one.name: one for one in TENANTS}
# Served almost always in calm times: of `fetch` a third fails, of `export` clients leave.
FIRST_ROUTES = frozenset(("read", "buy"))

PULSE_MS = 1500  # between two beats of a server, as deployments have it
RETRY_RATIO, RETRY_SLACK, RETRY_WINDOW_S = 0.2, 10, 10.0
QUOTA_WINDOW_S, OVERSHOOT, QUOTA_SLACK = 5.0, 0.1, 20.0
MARGINS = (
    "contactMs=3000,acknowledgeMs=5000,convergenceS=4,settlingMs=500,toleranceS=6,"
    f"retryRatio={RETRY_RATIO},retryWindowS={RETRY_WINDOW_S:g},retrySlack={RETRY_SLACK},"
    f"quotaWindowS={QUOTA_WINDOW_S:g},quotaOvershoot={OVERSHOOT},quotaSlack={QUOTA_SLACK:g}"
)


def service_of(route: str) -> str:
    """The service of a route; those that changes add lead to `pages`."""
    found = BY_ROUTE.get(route)
    return found.service if found is not None else "pages"
