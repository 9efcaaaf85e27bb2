"""One configuration in the form used inside, with its look-ups prepared.

Owns the meaning of a stored document: names, units and defaults. It must never check one (change.py does so
before it is stored) or load the schema library: every limiter reads its configuration here when it starts.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field
from typing import Any

MS = 1000.0


@dataclass(frozen=True, slots=True)
class Route:
    """Where requests of one host and prefix go; times in seconds, `services` with their gains."""

    label: str
    host: str
    prefix: str
    repeatable: bool
    cutoff: float
    target: float
    precedence: int
    services: tuple[tuple[str, float], ...]
    trials: int
    unguarded: bool


@dataclass(frozen=True, slots=True)
class Service:
    """A service; `ceiling` is the number of connections one server takes from all callers."""

    label: str
    probe: str
    ceiling: int


@dataclass(frozen=True, slots=True)
class Tenant:
    """Who may call; a rate of 0 means no limit."""

    label: str
    keys: tuple[str, ...]
    precedence: int
    rate: float
    surge: float


@dataclass(frozen=True, slots=True)
class Limits:
    """Bounds on what one client may send and how long it may take, in bytes and seconds."""

    head_bytes: int = 16384
    payload_bytes: int = 67108864
    head_time: float = 3.0
    idle_time: float = 15.0


@dataclass(frozen=True, slots=True)
class Configuration:
    """A whole configuration of one version."""

    version: int
    routes: tuple[Route, ...]
    services: dict[str, Service]
    tenants: dict[str, Tenant]
    limits: Limits
    _hosts: dict[str, tuple[int, dict[str, Route]]] = field(init=False, repr=False, compare=False)
    _keys: dict[str, Tenant] = field(init=False, repr=False, compare=False)

    _ranks: dict[tuple[int, int], float] = field(init=False, repr=False, compare=False)

    def __post_init__(self) -> None:
        tenants = {one.precedence for one in self.tenants.values()} | {0}
        pairs = sorted((first, second) for first in tenants for second in {r.precedence for r in self.routes})
        object.__setattr__(self, "_ranks", {pair: n / max(1, len(pairs) - 1) for n, pair in enumerate(pairs)})
        hosts: dict[str, dict[str, Route]] = {}
        for route in self.routes:
            hosts.setdefault(route.host, {})[route.prefix] = route
        longest = {host: (max(map(len, prefixes)), prefixes) for host, prefixes in hosts.items()}
        object.__setattr__(self, "_hosts", longest)
        keys = {key: tenant for tenant in self.tenants.values() for key in tenant.keys}
        object.__setattr__(self, "_keys", keys)

    def route(self, host: str, path: str) -> Route | None:
        """The route with the longest prefix that begins the path; a port of the host does not matter."""
        known = self._hosts.get(host) or self._hosts.get(bare_host(host))
        if known is None:
            return None
        # Cut to the longest prefix first: a path made of thousands of slashes would cost its length squared.
        # A query never picks a route.
        end, prefixes = known
        begin = path.partition("?")[0][:end]
        while (end := begin.rfind("/")) >= 0:
            found = prefixes.get(begin[: end + 1])
            if found is not None:
                return found
            begin = begin[:end]
        return None

    def rank(self, tenant: Tenant | None, route: Route) -> float:
        """By precedence of the tenant, then of the route: 0 for the highest there is, 1 for the lowest."""
        return self._ranks.get((tenant.precedence if tenant is not None else 0, route.precedence), 0.0)

    def tenant(self, key: str) -> Tenant | None:
        """The tenant that owns the key."""
        return self._keys.get(key)


def bare_host(host: str) -> str:
    """The host in small letters and without its port."""
    name, colon, port = host.lower().rpartition(":")
    return name if colon and (port.isdigit() or not port) else host.lower()


def version_of(text: str) -> int:
    """The version that eight hexadecimal digits stand for."""
    return int(text, 16)


def _route(label: str, given: dict[str, Any]) -> Route:
    service = given.get("subsystem")
    cutoff = given["cutoffMs"]
    return Route(
        label,
        bare_host(given["plant"]),
        given["pathPrefix"],
        given["variant"] == "nullipotent",
        cutoff / MS,
        given.get("targetMs", cutoff) / MS,
        int(given.get("precedence", 0)),
        ((service, 1.0),)
        if service is not None
        else tuple([(part["subsystem"], float(part["gain"])) for part in given["distribution"]]),
        int(given.get("trials", 1)),
        given.get("unguarded", False),
    )


def _service(label: str, given: dict[str, Any]) -> Service:
    return Service(label, given.get("probe", "/probe"), int(given.get("connectionCeiling", 100)))


def _tenant(label: str, given: dict[str, Any]) -> Tenant:
    return Tenant(
        label,
        tuple(given["credentials"]),
        int(given.get("precedence", 0)),
        float(given.get("rateS", 0)),
        float(given.get("surge", 0)),
    )


def _limits(given: dict[str, Any]) -> Limits:
    return Limits(
        int(given.get("headBytes", Limits().head_bytes)),
        int(given.get("payloadBytes", Limits().payload_bytes)),
        given.get("headMs", Limits().head_time * MS) / MS,
        given.get("quiescentMs", Limits().idle_time * MS) / MS,
    )


def read_configuration(doc: dict[str, Any]) -> Configuration:
    """The configuration of a document that was checked before it was stored."""
    routes: list[Route] = []
    services: dict[str, Service] = {}
    tenants: dict[str, Tenant] = {}
    limits = Limits()
    elements: Iterable[dict[str, Any]] = doc["elements"]
    for element in elements:
        kind, given = element["elementKind"], element["reference"]
        label = element["header"].get("label", "")
        if kind == "trajectories":
            routes.append(_route(label, given))
        elif kind == "subsystems":
            services[label] = _service(label, given)
        elif kind == "loads":
            tenants[label] = _tenant(label, given)
        else:
            limits = _limits(given)
    return Configuration(version_of(doc["setpointSeq"]), tuple(routes), services, tenants, limits)
