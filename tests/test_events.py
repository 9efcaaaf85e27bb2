"""The catalogue of events, the code that logs them and the page that shows them say the same."""

from __future__ import annotations

import ast
import os
from pathlib import Path

import orjson
import pytest

from finchshelf import events, program
from finchshelf.agreement.store import StoreError
from finchshelf.transport.frames import PeerError
from finchshelf.transport.telemetry import Telemetry

ROOT = Path(__file__).parent.parent
PACKAGES = "transport", "metrics", "controlplane", "dataplane", "experience", "rollout", "cli"
FILES = [
    ROOT / "finchshelf" / "program.py",
    ROOT / "finchshelf" / "invariants.py",
    *(path for package in PACKAGES for path in (ROOT / "finchshelf" / package).glob("*.py")),
]


def logged(path: Path) -> set[tuple[str, bool]]:
    """Names of the events that a file logs, and whether as one that may come in masses."""
    found: set[tuple[str, bool]] = set()
    for node in ast.walk(ast.parse(path.read_text())):
        if isinstance(node, ast.Call) and isinstance(node.func, ast.Attribute | ast.Name):
            name = node.func.attr if isinstance(node.func, ast.Attribute) else node.func.id
            first = node.args[0] if node.args else None
            if name in ("log", "rare", "note") and isinstance(first, ast.Constant):
                found.add((str(first.value), name == "rare"))
    return found


def test_every_event_that_the_programs_log_has_its_number() -> None:
    used = set[tuple[str, bool]]().union(*map(logged, FILES))
    assert used == {(event.name, event.rare) for event in events.CATALOGUE}


def test_no_number_is_given_twice_and_the_page_shows_the_catalogue() -> None:
    numbers = {event.number for event in events.CATALOGUE}
    assert len(numbers) == len(events.CATALOGUE) == len(events.NUMBERS)
    assert events.table() in (ROOT / "docs" / "events.md").read_text()


@pytest.mark.parametrize("numbers, number", [(events.NUMBERS, 101), ({}, 0), (None, None)])
def test_a_line_has_its_number_where_the_program_has_numbers(
    numbers: dict[str, int] | None, number: int | None
) -> None:
    reading, writing = os.pipe()
    Telemetry("edge-1", writing, numbers).log("start", slot=3)
    line = orjson.loads(os.read(reading, 4096))
    assert line["event"] == "start" and line["slot"] == 3 and line.get("number") == number
    assert list(line)[:3] == ["at", "node", "event"]


def test_each_error_of_a_group_is_one_plain_line_with_its_step_and_peer() -> None:
    inner = [StoreError("save", "/data", "full"), OSError(98, "Address already in use"), KeyError("life")]
    group = ExceptionGroup(
        "all", [PeerError("hold", "10.0.0.4:7660", "no\nanswer"), ExceptionGroup("inner", inner)]
    )
    assert [program.plain(error) for error in program.leaves(group)] == [
        "hold at 10.0.0.4:7660: no answer",
        "save: /data: full",
        "cannot serve: [Errno 98] Address already in use",
        "KeyError: 'life'",
    ]
    inner[1].add_note("listen at 10.0.0.1:7660")
    assert program.plain(inner[1]).startswith("cannot serve: listen at 10.0.0.1:7660: [Errno 98]")
    assert program.fields(group.exceptions[0]) == {"step": "hold", "peer": "10.0.0.4:7660"}
