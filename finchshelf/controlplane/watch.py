"""How calls of servers and operators ended: durations by call and status, and what explains a failed one.

Owns these figures alone. It must never log each call, or keep a body.
"""

from __future__ import annotations

from finchshelf.transport.exchange import Answer
from finchshelf.transport.telemetry import Telemetry

FAILED = 400
MOST_WHY = 200  # bytes of the answer that are logged


class CallWatch:
    def __init__(self, telemetry: Telemetry) -> None:
        self.telemetry = telemetry

    def ended(self, call: str, of: str, answer: Answer, took: float, unserved: str = "") -> None:
        """`call`: a name that is known here, or empty, and then `unserved` the name that was asked for; `of`:
        the server or service that it is about, if any."""
        self.telemetry.observe("call", f"{call or 'unknown'} {answer.status}", took)
        if answer.status >= FAILED:
            why = (answer.body or b"")[:MOST_WHY].decode("utf-8", "replace")
            self.telemetry.rare(
                "calls.failed",
                call=call,
                unserved=unserved[:MOST_WHY],
                of=of[:MOST_WHY],
                status=answer.status,
                took=round(took * 1000),
                why=why,
            )
