"""What control planes tell a data plane, as its core takes it.

Owns the form alone.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Any

from finchshelf.agreement.transitions import Transitions
from finchshelf.configuration.document import Configuration
from finchshelf.membership.records import Limiter, Server


@dataclass(slots=True)
class News:
    """None where nothing of that kind was told."""

    servers: list[Server]
    limiters: dict[str, Limiter] | None = None
    configuration: Configuration | None = None
    whole: frozenset[str] | None = None
    verdicts: list[Any] = field(default_factory=list)
    usual: dict[str, float] = field(default_factory=dict)  # s that routes take, as others know it
    transitions: Transitions | None = None
    transitions_slot: int = -1  # of the decided value that they are from
    slot: int = 0  # of the decided value that the configuration is from
