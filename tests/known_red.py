"""Tests that are known to fail for a real fault: listed in KNOWN-RED.txt, run, printed and passed over.

Owns the form of the list and what a run makes of it. It must never pass over a test that isn't listed by its
full id, let the list grow past MOST, or keep a line for a test that isn't there.

Each line is `test id | cause | issue`. A listed test is expected to fail (xfail, not strict): its failure
doesn't fail the run, and once it passes the run says that its line is to be taken out.
"""

from __future__ import annotations

from collections.abc import Generator
from dataclasses import dataclass, field
from pathlib import Path

import pytest
from _pytest.terminal import TerminalReporter

FILE = "KNOWN-RED.txt"
MOST = 3  # lines
BETWEEN = " | "


class ListError(Exception):
    """A list that can't be used; tells the line and what is allowed."""


@dataclass(frozen=True)
class Red:
    test: str
    cause: str
    issue: str


def read(path: Path) -> list[Red]:
    """What is listed, nothing where there is no file; ListError where the file isn't as it should be."""
    if not path.exists():
        return []
    lines = [line.strip() for line in path.read_text(encoding="utf-8").splitlines() if line.strip()]
    if len(lines) > MOST:
        raise ListError(f"{path.name}: {len(lines)} lines, {MOST} at most: mend some first")
    found: list[Red] = []
    for number, line in enumerate(lines, 1):
        parts = [part.strip() for part in line.rsplit(BETWEEN, 2)]  # an id may hold what stands between
        if len(parts) != 3 or not all(parts) or "::" not in parts[0]:
            raise ListError(f"{path.name}, line {number}: expected `test id{BETWEEN}cause{BETWEEN}issue`")
        if parts[0] in [red.test for red in found]:
            raise ListError(f"{path.name}, line {number}: {parts[0]} is listed twice")
        found.append(Red(*parts))
    return found


@dataclass
class Seen:
    """What a run saw of the listed tests. `whole`: it was to run all tests there are."""

    reds: list[Red]
    whole: bool
    ended: dict[str, str] = field(default_factory=dict)

    def report(self, report: pytest.TestReport) -> None:
        if report.nodeid not in {red.test for red in self.reds}:
            return
        if report.failed:  # in its teardown, or with its worker
            self.ended[report.nodeid] = "failed, not only as listed"
        elif report.skipped:
            known = hasattr(report, "wasxfail")
            self.ended[report.nodeid] = "failed as listed, passed over" if known else "was skipped"
        elif report.when == "call":
            self.ended[report.nodeid] = f"PASSED: take its line out of {FILE}"

    def missing(self) -> list[Red]:
        """Listed tests that don't exist: a run of all tests has not met them."""
        return [red for red in self.reds if red.test not in self.ended] if self.whole else []

    def lines(self) -> list[str]:
        missing = self.missing()
        return [
            f"{red.test}: {'DOES NOT EXIST' if red in missing else self.ended.get(red.test, 'not run')}"
            f" ({red.cause}; {red.issue})"
            for red in self.reds
        ]


SEEN = pytest.StashKey[Seen]()


def whole(config: pytest.Config) -> bool:
    """Whether this run is of all tests: no path, id or word chooses among them."""
    chosen = ("keyword", "markexpr", "deselect", "ignore", "ignore_glob", "lf", "collectonly", "stepwise")
    return config.args_source is pytest.Config.ArgsSource.TESTPATHS and not any(
        config.getoption(name, None) for name in chosen
    )


# ---- hooks: `conftest.py` gives them to pytest ----


def pytest_configure(config: pytest.Config) -> None:
    try:
        config.stash[SEEN] = Seen(read(config.rootpath / FILE), whole(config))
    except ListError as error:
        raise pytest.UsageError(str(error)) from None


def pytest_collection_modifyitems(config: pytest.Config, items: list[pytest.Item]) -> None:
    listed = {red.test: red for red in config.stash[SEEN].reds}
    for item in items:
        if red := listed.get(item.nodeid):
            item.add_marker(pytest.mark.xfail(reason=f"known red: {red.cause}; {red.issue}", strict=False))


@pytest.hookimpl(wrapper=True, tryfirst=True)
def pytest_runtest_makereport(
    item: pytest.Item,
    call: pytest.CallInfo[None],
) -> Generator[None, pytest.TestReport, pytest.TestReport]:
    report = yield
    listed = item.nodeid in [red.test for red in item.config.stash[SEEN].reds]
    # Danger: what is put away with a listed test may be others' too, as a module's fixture is.
    if listed and call.when == "teardown" and call.excinfo is not None:
        report.outcome = "failed"
        vars(report).pop("wasxfail", None)
    return report


class Watch:
    """Where results come together: the one process, or with workers the one that leads them."""

    def __init__(self, seen: Seen) -> None:
        self.seen = seen

    def pytest_runtest_logreport(self, report: pytest.TestReport) -> None:
        self.seen.report(report)

    def pytest_sessionfinish(self, session: pytest.Session, exitstatus: int) -> None:
        if self.seen.missing() and exitstatus == pytest.ExitCode.OK:
            session.exitstatus = pytest.ExitCode.TESTS_FAILED

    def pytest_terminal_summary(self, terminalreporter: TerminalReporter) -> None:
        if lines := self.seen.lines():
            terminalreporter.section("known red")
            for line in lines:
                terminalreporter.write_line(line)


def pytest_sessionstart(session: pytest.Session) -> None:
    if not hasattr(session.config, "workerinput"):
        session.config.pluginmanager.register(Watch(session.config.stash[SEEN]), "known-red")
