"""What a program has to tell about itself: its telemetry, and present values asked for when they are fetched.

Owns nothing but the form.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

from finchshelf.transport.telemetry import Telemetry


@dataclass(frozen=True, slots=True)
class Figures:
    """`gauges`: present values by name, such as open requests or the version in force."""

    telemetry: Telemetry
    gauges: Callable[[], dict[str, float]]
