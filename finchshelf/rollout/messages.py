"""What a roll-out's driver is told (events) and what it asks for (orders).

Owns these forms. Each is plain data: the driver's shell carries events in and orders out.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any

from finchshelf.rollout.plan import Site

State = dict[str, Any]


@dataclass(frozen=True)
class Tick:
    now: float
    wall: float = 0.0
    paused: bool = False
    abort: bool = False
    leave: bool = False  # sites that can't be taken back are left as they are


@dataclass(frozen=True)
class Told:
    """Evidence of one site, `None` where nobody there answered."""

    site: str
    answer: dict[str, Any] | None


@dataclass(frozen=True)
class Observed:
    site: str
    version: int  # -1: nobody answered
    document: bytes = b""


@dataclass(frozen=True)
class Answered:
    """The end of a call of the operator's kind; `status` 0: no clear answer."""

    site: str
    version: int
    status: int


@dataclass(frozen=True)
class Saved:
    revision: int


Event = Tick | Told | Observed | Answered | Saved


@dataclass(frozen=True)
class Save:
    revision: int
    state: State


@dataclass(frozen=True)
class Ask:
    site: Site
    aims: dict[str, float]


@dataclass(frozen=True)
class Observe:
    site: Site


@dataclass(frozen=True)
class Adjust:
    site: Site
    version: int
    body: bytes


@dataclass(frozen=True)
class Log:
    event: str
    fields: dict[str, Any]


Order = Save | Ask | Observe | Adjust | Log
