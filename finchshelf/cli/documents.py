"""Configurations for systems that this package starts itself: the demo and the soak.

Owns the form of their documents alone, as an operator would send them.
"""

from __future__ import annotations

import json
from collections.abc import Sequence
from typing import Any

Element = dict[str, Any]


def route(
    label: str, host: str, prefix: str, service: str, variant: str, cutoff_ms: int = 3000, trials: int = 2
) -> Element:
    return {
        "elementKind": "trajectories",
        "header": {"label": label},
        "reference": {
            "plant": host,
            "pathPrefix": prefix,
            "variant": variant,
            "cutoffMs": cutoff_ms,
            "targetMs": 500,
            "subsystem": service,
            "trials": trials,
        },
    }


def service(label: str, ceiling: int = 100) -> Element:
    return {
        "elementKind": "subsystems",
        "header": {"label": label},
        "reference": {"connectionCeiling": ceiling},
    }


def tenant(label: str, keys: Sequence[str], rate: float = 0.0, surge: float = 0.0) -> Element:
    """`rate` in requests a second; 0: no limit."""
    limits = {"rateS": rate, "surge": surge} if rate > 0 else {}
    return {
        "elementKind": "loads",
        "header": {"label": label},
        "reference": {"credentials": list(keys), **limits},
    }


def whole(version: int, elements: Sequence[Element]) -> dict[str, Any]:
    """The first configuration of all."""
    return {"setpointSeq": f"{version:08x}", "priorVersion": 0, "elements": list(elements)}


def change(version: int, prior: int, elements: Sequence[Element]) -> bytes:
    """These elements, added to or put in the place of those of their names, on top of the version `prior`."""
    return json.dumps(
        {
            "setpointSeq": f"{version:08x}",
            "priorVersion": f"{prior:08x}",
            "apply": {"elements": list(elements)},
        }
    ).encode()
