"""The command line's own log: numbered events as JSON, for scripts that run it.

Owns the form of its lines. It must never be loaded by the two programs, which write their lines
themselves.
"""

from __future__ import annotations

import logging
from typing import Any

from pythonjsonlogger.json import JsonFormatter

from finchshelf import events

LOGGER = logging.getLogger("finchshelf.cli")
LOGGER.propagate = False


def begin(path: str | None) -> None:
    """Write to that file, to standard error at `-`, or nowhere."""
    for former in list(LOGGER.handlers):
        LOGGER.removeHandler(former)
        former.close()
    handler: logging.Handler = logging.NullHandler()
    if path is not None:
        handler = logging.StreamHandler() if path == "-" else logging.FileHandler(path, encoding="utf-8")
    handler.setFormatter(JsonFormatter("%(message)s", rename_fields={"message": "event"}, timestamp="at"))
    LOGGER.addHandler(handler)
    LOGGER.setLevel(logging.INFO)


def log(event: str, **fields: Any) -> None:
    LOGGER.info(event, extra={"number": events.NUMBERS.get(event, 0), **fields})
