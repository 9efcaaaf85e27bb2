"""Stories of the exploration: seeds that break nothing pass, a planted break is found and cut down."""

from __future__ import annotations

import os
import subprocess
import sys
from pathlib import Path
from typing import Any
from unittest import mock

import pytest
from click.testing import CliRunner

from finchshelf.cli import __main__ as command
from finchshelf.controlplane.register import Register
from finchshelf.simulation import explore
from finchshelf.simulation.quota import figures
from tests.stories.test_fleet_stories import unsaved

SHORT = ["--jobs", "1", "--length", "9", "--calm", "5", "--traffic", "0.1"]

ROOT = Path(__file__).parent.parent.parent


def test_given_a_guard_dropped_when_seeds_are_explored_then_it_is_found_with_its_fewest_faults() -> None:
    with mock.patch.object(Register, "save", unsaved):  # what is acknowledged is not on a disk
        done = CliRunner().invoke(
            explore.main, ["--seeds", "1-9", "--faults", "all_dark,change,signalled,resets", *SHORT]
        )
    assert done.exit_code == 1, done.output
    assert "breaks LOST" in done.stdout, done.stdout
    left = [line.split()[1] for line in done.stdout.splitlines() if "(its chance:" in line]
    assert left == ["all_dark"], done.stdout  # the first configuration of all is lost already
    assert "ended" in done.stdout and "faults are left after" in done.stderr


def test_given_sound_programs_when_seeds_are_explored_then_nothing_is_broken() -> None:
    done = CliRunner().invoke(explore.main, ["--seeds", "1-2", *SHORT])
    assert done.exit_code == 0 and "no rule broken" in done.stdout, done.output
    assert "QUOTA hot: at most" in done.stdout and "one bucket for all would have let in" in done.stdout


def test_given_tries_when_one_bucket_is_led_past_them_then_room_and_excess_are_told() -> None:
    tries = [(0.0, True), (0.0, True), (0.1, True), (0.1, False), (1.2, False), (1.3, False), (2.3, True)]
    one = figures("hot", 1.0, 2.0, [at for at, ran in tries if ran] + [9.0], tries)
    assert (one.most, one.at, round(one.allowed, 3)) == (4, 2.3, 27.7)
    assert (one.fits, one.refused, one.over) == (4, 1, 1)


def test_given_one_fault_left_out_when_a_day_is_played_then_the_others_stay_as_they_are() -> None:
    shape = explore.Shape(("kill", "frozen", "change"), 6.0, 3.0, 0.1)
    with mock.patch.object(explore, "PAUSE", 2.5):  # so far apart that all of them begin
        faults = explore.plan(4, shape)
    one, again = explore.day(4, faults[1:], shape, True), explore.day(4, faults[1:], shape, True)
    assert one == again and [fault for _, fault in one.began] == list(faults[1:]) and one.events


def test_given_other_hashes_when_a_day_is_played_then_its_events_are_the_same() -> None:
    code = (
        "from finchshelf.simulation import explore as e\n"
        "shape = e.Shape(('leave', 'dark'), 8.0, 4.0, 0.1)\n"
        "days = [e.day(n, e.plan(n, shape), shape, True) for n in (1, 2)]\n"
        "print(chr(10).join(line for day in days for line in day.events))"
    )
    days = [
        subprocess.run(
            [sys.executable, "-c", code],
            env={**os.environ, "PYTHONHASHSEED": hashes},
            capture_output=True,
            text=True,
            check=True,
            cwd=ROOT,
        ).stdout
        for hashes in ("1", "2")
    ]
    assert days[0] == days[1] and days[0].count("\n") > 40


def test_given_words_that_fit_nothing_when_explored_then_they_are_refused() -> None:
    for words in (["--seeds", "9-1"], ["--seeds", "1-2", "--faults", "flood"]):
        assert CliRunner().invoke(explore.main, words).exit_code == 2


def test_given_the_command_when_it_is_called_then_it_becomes_the_fleet_in_memory(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    became: list[Any] = []
    monkeypatch.setattr(os, "execv", lambda *given: became.append(given))
    CliRunner().invoke(command.main, ["explore", "--seeds", "1-2", "--jobs", "1"])
    ((program, words),) = became
    assert program == sys.executable
    assert words[1:] == ["-m", "finchshelf.simulation.explore", "--seeds", "1-2", "--jobs", "1"]


def test_given_the_package_alone_when_a_day_is_explored_then_no_test_is_needed(tmp_path: Path) -> None:
    """As where finchshelf is installed: neither the tests nor what they run with are there."""
    code = (
        "import sys\n"
        "sys.modules['pytest'] = sys.modules['tests'] = None\n"
        "from finchshelf.simulation import explore as e, order_days, readers, calling\n"
        "from finchshelf.models import (agreement_rules, catching_up, contact, counts, losses,\n"
        "    order_chain, order_lives, order_states)\n"
        "shape = e.Shape(('leave',), 4.0, 2.0, 0.1)\n"
        "print(len(e.day(1, e.plan(1, shape), shape, True).events) > 3)"
    )
    path = os.pathsep.join([str(ROOT), *sys.path[1:]])
    done = subprocess.run(
        [sys.executable, "-c", code],
        env={**os.environ, "PYTHONPATH": path},
        capture_output=True,
        text=True,
        check=False,
        cwd=tmp_path,
    )
    assert done.stdout == "True\n", done.stderr


def test_given_the_programs_when_they_load_then_neither_simulation_nor_models_nor_soak_is_loaded() -> None:
    code = (
        "import sys, finchshelf.dataplane.process, finchshelf.controlplane.process, finchshelf.node.process\n"
    )
    code += "print(*sys.modules)"
    done = subprocess.run([sys.executable, "-c", code], capture_output=True, text=True, check=True, cwd=ROOT)
    tools = ("finchshelf.simulation", "finchshelf.models", "finchshelf.soak", "unittest.mock")
    assert not [name for name in done.stdout.split() if name.startswith(tools)]
