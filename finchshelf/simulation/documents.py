"""Configurations of the fleet in memory, in the form in which an operator sends them.

Owns the form of each element and its usual values. It must never know which of them is in force.
"""

from __future__ import annotations

from typing import Any

HOST = "shop.example"  # of all routes
SERVICES = ("alpha", "beta")
Element = dict[str, Any]
Routes = dict[str, tuple[str, str, str]]  # prefix, variant and service by name
Tenants = dict[str, tuple[float, float]]  # rate and surge by name
Keys = dict[str, list[str]]  # by tenant; one that is missing has `key-NAME`
USUAL_ROUTES: Routes = {
    "read": ("/read/", "nullipotent", "alpha"),
    "write": ("/write/", "mutating", "alpha"),
    "other": ("/other/", "nullipotent", "beta"),
}


def element(kind: str, reference: dict[str, Any], label: str = "") -> Element:
    header = {"label": label} if label else {}
    return {"elementKind": kind, "header": header, "reference": reference}


def route(name: str, prefix: str, variant: str, service: str) -> Element:
    reference = {
        "plant": HOST,
        "pathPrefix": prefix,
        "variant": variant,
        "cutoffMs": 1500,
        "targetMs": 400,
        "precedence": 1,
        "subsystem": service,
        "trials": 2,
        "unguarded": False,
    }
    return element("trajectories", reference, name)


def service(name: str) -> Element:
    reference = {"probe": "/probe", "connectionCeiling": 140, "protocol": "h1", "encryption": False}
    return element("subsystems", reference, name)


def tenant(name: str, rate: float, surge: float, keys: list[str]) -> Element:
    reference = {"credentials": keys, "precedence": 1, "rateS": rate, "surge": surge}
    return element("loads", reference, name)


def bounds() -> Element:
    """What a client may send, and how long it may take."""
    reference = {"headBytes": 16384, "payloadBytes": 1 << 20, "headMs": 3000, "quiescentMs": 15000}
    return element("saturations", reference)


def elements(routes: Routes | None, tenants: Tenants, keys: Keys | None = None) -> list[Element]:
    """All elements of a configuration."""
    held = keys or {}
    return [
        *(route(name, *ways) for name, ways in (routes or USUAL_ROUTES).items()),
        *(service(name) for name in SERVICES),
        *(
            tenant(name, rate, surge, held.get(name, [f"key-{name}"]))
            for name, (rate, surge) in tenants.items()
        ),
        bounds(),
    ]
