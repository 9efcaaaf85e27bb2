"""Stories of a settings file that changes under a running program: taken when it rests, else the old stay.

Owns no clock: a look is called, never waited for. It must never send a signal to a process.
"""

from __future__ import annotations

import os
from pathlib import Path
from typing import Any

import pytest

from finchshelf.configuration.boot import Boot, read_boot
from finchshelf.program import Settings
from tests.stories.test_configuration import SETTINGS

OTHER = SETTINGS.replace("10.2.0.3:8407", "10.9.0.3:8407")


class Program:
    """What a program does with its settings, and what it logged."""

    def __init__(self, folder: Path) -> None:
        self.path = folder / "boot.conf"
        self.path.write_text(SETTINGS)
        self.taken: list[Boot] = []
        self.lines: list[dict[str, Any]] = []
        self.settings = Settings(read_boot(str(self.path)), self.take, self.log, str(self.path))

    def take(self, boot: Boot) -> dict[str, object]:
        self.taken.append(boot)
        return {"state": "taken"}

    def log(self, event: str, **fields: Any) -> None:
        assert event == "settings"
        self.lines.append(fields)

    def looks(self, times: int = 3) -> None:
        for _ in range(times):
            self.settings.look()


@pytest.fixture
def program(tmp_path: Path) -> Program:
    return Program(tmp_path)


def test_given_a_file_that_stays_when_looked_at_then_it_is_read_once_and_nothing_is_said(
    program: Program, monkeypatch: pytest.MonkeyPatch
) -> None:
    reads = list[str]()

    def counted(path: str) -> Boot:
        reads.append(path)
        return read_boot(path)

    monkeypatch.setattr("finchshelf.program.read_boot", counted)
    program.looks(20)
    assert len(reads) == 1 and not program.taken and not program.lines


def test_given_another_file_when_it_rests_then_it_is_taken_once(program: Program) -> None:
    program.looks()
    program.path.write_text(OTHER)
    program.settings.look()
    assert not program.taken
    program.looks()
    assert [str(one.initial_peers[1]) for one in program.taken] == ["10.9.0.3:8407"]
    assert program.lines == [{"state": "taken"}]


def test_given_a_change_between_the_start_and_the_first_look_then_it_is_taken(program: Program) -> None:
    program.path.write_text(OTHER)
    program.looks()
    assert len(program.taken) == 1


def test_given_the_same_settings_written_again_then_nothing_is_taken(program: Program) -> None:
    program.looks()
    program.path.write_text("# a word more\n" + SETTINGS)
    program.looks()
    assert not program.taken and not program.lines


def test_given_a_file_being_written_when_each_look_finds_more_then_no_half_is_read(program: Program) -> None:
    program.looks()
    for end in range(0, len(OTHER), 40):
        program.path.write_text(OTHER[:end])
        program.settings.look()
    assert not program.taken and not program.lines
    program.path.write_text(OTHER)
    program.looks()
    assert program.lines == [{"state": "taken"}]


@pytest.mark.parametrize("half", [OTHER[:300], OTHER[: -len(OTHER) // 3], "", "\0rubbish\n", None])
def test_given_half_a_file_that_rests_then_the_old_stay_it_is_said_once_and_the_whole_is_taken_later(
    program: Program, half: str | None
) -> None:
    program.looks()
    if half is None:
        program.path.unlink()
    else:
        program.path.write_text(half)
    program.looks(9)
    (line,) = program.lines
    assert (line["state"], line["step"]) == ("kept the old", "settings")
    assert str(program.path) in line["place"]
    assert not program.taken
    if half is not None:  # touched, and no better
        os.utime(program.path, ns=(1, 1))
        program.looks(9)
        assert len(program.lines) == 1
    program.path.write_text(OTHER)
    program.looks()
    assert len(program.taken) == 1 and program.lines[1:] == [{"state": "taken"}]


def test_given_a_signal_then_the_file_is_read_at_once_and_each_time_told(program: Program) -> None:
    program.settings.read()
    program.path.write_bytes(b"\xff\xfe")
    program.settings.read()
    program.settings.read()
    assert [line["state"] for line in program.lines] == ["taken", "kept the old", "kept the old"]
    program.looks(9)
    assert len(program.lines) == 3
