"""The size to design for, smaller ones in proportion, what may be spent there, and lines through sizes.

Owns those figures, the documents of such sizes and the fit. It must never measure anything itself.
"""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass
from random import Random
from typing import Any, NamedTuple

LIMITERS = 560
SIZES = (50, 150, LIMITERS)


@dataclass(frozen=True)
class Site:
    """A site with that many limiters, all else in proportion to the one to design for."""

    limiters: int

    def part(self, whole: int) -> int:
        return max(1, round(whole * self.limiters / LIMITERS))

    @property
    def servers(self) -> int:
        return self.part(4700)

    @property
    def services(self) -> int:
        return self.part(190)

    @property
    def routes(self) -> int:
        return self.part(4100)

    @property
    def tenants(self) -> int:
        return self.part(15_000)


def elements(site: Site, part: float = 1.0, seed: int = 1) -> list[dict[str, Any]]:
    """Of a configuration, or that part of its routes and tenants: keys are random, as real ones are, so they
    don't pack."""
    random = Random(seed)

    def one(kind: str, label: str, reference: dict[str, Any]) -> dict[str, Any]:
        return {"elementKind": kind, "header": {"label": label}, "reference": reference}

    return [
        *(
            one(
                "trajectories",
                f"route-{n:05d}",
                {
                    "plant": f"site-{n % 97:02d}.example",
                    "pathPrefix": f"/agency-{n * 7919 % 99991:05d}/builds/",
                    "variant": "mutating" if n % 3 == 0 else "nullipotent",
                    "cutoffMs": 1500,
                    "targetMs": 400,
                    "precedence": n % 3,
                    "subsystem": f"service-{n % site.services:03d}",
                    "trials": 2,
                    "unguarded": False,
                },
            )
            for n in range(max(1, int(site.routes * part)))
        ),
        *(
            one(
                "subsystems",
                f"service-{n:03d}",
                {"probe": "/probe", "connectionCeiling": 700, "protocol": "h1", "encryption": False},
            )
            for n in range(site.services)
        ),
        *(
            one(
                "loads",
                f"tenant-{n:05d}",
                {
                    "credentials": [random.randbytes(16).hex()],
                    "precedence": n % 4,
                    "rateS": 5.0 + n % 40,
                    "surge": 20.0,
                },
            )
            for n in range(int(site.tenants * part))
        ),
        {
            "elementKind": "saturations",
            "header": {},
            "reference": {"headBytes": 16384, "payloadBytes": 1 << 20, "headMs": 3000, "quiescentMs": 15000},
        },
    ]


def document(site: Site, version: int, prior: int, part: float = 1.0) -> dict[str, Any]:
    """A whole configuration, or a part of it; one route differs from version to version."""
    found = elements(site, part)
    found[0]["reference"]["cutoffMs"] = 1000 + version
    return {"setpointSeq": f"{version:08x}", "priorVersion": f"{prior:08x}", "elements": found}


class Line(NamedTuple):
    """y = base + slope * x; `residual`: the largest distance from it, as a part of the largest y."""

    base: float
    slope: float
    residual: float

    def at(self, x: float) -> float:
        return self.base + self.slope * x


def fit(points: Sequence[tuple[float, float]]) -> Line:
    """The line of least squares; ValueError with fewer than three sizes: two always fit."""
    if len({x for x, _ in points}) < 3:
        raise ValueError(f"expected three sizes at least: {points}")
    count = len(points)
    mean_x, mean_y = sum(x for x, _ in points) / count, sum(y for _, y in points) / count
    slope = sum((x - mean_x) * (y - mean_y) for x, y in points) / sum((x - mean_x) ** 2 for x, _ in points)
    base = mean_y - slope * mean_x
    most = max(abs(y) for _, y in points)
    return Line(base, slope, max(abs(y - base - slope * x) for x, y in points) / most if most else 0.0)


def shown(value: float) -> str:
    return f"{value:,.0f}" if abs(value) >= 100 else f"{value:.1f}" if abs(value) >= 10 else f"{value:.3g}"


def row(name: str, unit: str, points: Sequence[tuple[float, float]], at: float) -> str:
    """Of a table: the sizes measured, the line and what it says at `at`."""
    line = fit(points)
    seen = " | ".join(shown(y) for _, y in points)
    return (
        f"| {name} | {unit} | {seen} | {shown(line.base)} + {shown(line.slope)} n | "
        f"{100 * line.residual:.0f}% | {shown(line.at(at))} |"
    )
