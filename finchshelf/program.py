"""What both programs of the system do round their work: settings in, a plain line an error, a status out.

Owns the exit status and the form of what a program says before it can log and after it can't. It must
never know what the program does, or load anything beside what a start needs: a killed limiter pays for
it.
"""

from __future__ import annotations

import os
import secrets
import sys
from collections.abc import AsyncIterator, Awaitable, Callable, Iterator

import trio

from finchshelf import events
from finchshelf.configuration.boot import Boot, SettingsError, read_boot
from finchshelf.transport.telemetry import Telemetry

LONGEST = 500  # characters of an error's line
LOOK = 2.0  # s between two looks at the settings file
TALLY = 5.0  # s between two lines of what the counters gained
Stamp = tuple[int, int, int, int]
Serve = Callable[[Boot, Telemetry, int], Awaitable[None]]


class Settings:
    """The settings file while its program runs: taken at SIGHUP, and when it was changed and rests.

    A look is one `os.stat`. `take` does what new settings mean to the program and returns what to log."""

    def __init__(
        self, boot: Boot, take: Callable[[Boot], dict[str, object]], log: Callable[..., None], path: str = ""
    ) -> None:
        self.boot, self.take, self.log = boot, take, log
        self.path = path or os.environ.get("FINCHSHELF_BOOT", "")
        # Of the file as last read and as last seen. It may have changed since the start read it: so none yet.
        self.known: Stamp | None = None
        self.seen: Stamp | None = None
        self.refused = ""

    def stamp(self) -> Stamp:
        try:
            found = os.stat(self.path)
        except OSError:
            return 0, 0, 0, 0
        return found.st_mtime_ns, found.st_size, found.st_ino, found.st_dev

    def look(self) -> None:
        stamp, before = self.stamp(), self.seen
        self.seen = stamp
        # Danger: half of a file may be whole settings with a shorter list of seeds. One that still changes
        # is not read: only what was the same at two looks.
        if stamp == before and stamp != self.known:
            self.read(told=False)

    def read(self, told: bool = True) -> None:
        """Take the file; what can't be used changes nothing. `told`: someone asked, so log it in any case."""
        self.known = self.stamp()  # before it is read: a change from now on is another stamp
        try:
            boot = read_boot(self.path)
        except SettingsError as error:
            if told or str(error) != self.refused:
                self.log("settings", state="kept the old", error=str(error), **fields(error))
            self.refused = str(error)
            return
        self.refused = ""
        if told or boot != self.boot:
            self.boot = boot
            self.log("settings", **self.take(boot))

    async def run(self) -> None:
        while True:
            await trio.sleep(LOOK)
            self.look()


async def pass_over(signals: AsyncIterator[int]) -> None:
    """Take all further signals, and do nothing: the end is under way."""
    async for _ in signals:
        pass


def leaves(error: BaseException) -> Iterator[BaseException]:
    """The single errors of a group, however deep it is."""
    if isinstance(error, BaseExceptionGroup):
        for inner in error.exceptions:
            yield from leaves(inner)
    else:
        yield error


def plain(error: BaseException) -> str:
    """One line; our own errors say their step and peer (or place, or path) themselves, others by a note."""
    if isinstance(error, OSError):
        words = ": ".join(["cannot serve", *getattr(error, "__notes__", ()), str(error)])
    elif hasattr(error, "step"):
        words = str(error)
    else:
        words = f"{type(error).__name__}: {error}"
    return " ".join(words.split())[:LONGEST]


def fields(error: BaseException) -> dict[str, str]:
    """What an error carries beside its words, for the log."""
    named = ("step", "peer", "place", "path")
    return {name: str(getattr(error, name)) for name in named if hasattr(error, name)}


def main(serve: Serve) -> int:
    """Run a program to its end: 0 as planned, 1 by an error, 2 without settings that can be used."""
    try:
        boot = read_boot(os.environ.get("FINCHSHELF_BOOT", ""))
    except SettingsError as error:
        print(f"finchshelf: {error}", file=sys.stderr)
        return 2
    telemetry, status = Telemetry(boot.node, numbers=events.NUMBERS), 0
    try:
        trio.run(serve, boot, telemetry, secrets.randbits(32))
    except* Exception as group:
        for leaf in leaves(group):
            if not isinstance(leaf, OSError):
                telemetry.log("fault", error=repr(leaf), at_line=where(leaf), **fields(leaf))
            print(f"finchshelf: {plain(leaf)}", file=sys.stderr)
        status = 1
    return status


def where(error: BaseException) -> str:
    """File and line at which an error arose: what is left of its traceback in one line."""
    frame = error.__traceback__
    while frame is not None and frame.tb_next is not None:
        frame = frame.tb_next
    return f"{frame.tb_frame.f_code.co_filename}:{frame.tb_lineno}" if frame is not None else ""


async def tally(telemetry: Telemetry, *reports: Callable[[Telemetry], None]) -> None:
    """Log at intervals what the counters gained, and what else is reported then."""
    while True:
        await trio.sleep(TALLY)
        telemetry.tally()
        for report in reports:
            report(telemetry)
