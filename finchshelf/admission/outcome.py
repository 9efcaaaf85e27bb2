"""How tries, probes and requests end: what the shared sockets tell any program's decisions.

Nothing here decides anything. It stands apart from `interface.py`, whose many forms a data plane would pay
for at each start.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum


class Status(Enum):
    """How an attempt, a probe or a counter call ended."""

    OK = "ok"
    ERROR = "error"
    FULL = "full"
    TIMEOUT = "timeout"
    UNREACHABLE = "unreachable"
    RESET = "reset"
    CANCELLED = "cancelled"
    NOT_SENT = "not sent"

    @property
    def never_ran(self) -> bool:
        """True when the outcome proves that the work was not started."""
        return self in (Status.FULL, Status.UNREACHABLE, Status.NOT_SENT)


@dataclass(frozen=True, slots=True)
class ClientGone:
    id: int


@dataclass(frozen=True, slots=True)
class Probed:
    server: str
    status: Status
    took: float
    load: dict[str, float] = field(default_factory=dict)
