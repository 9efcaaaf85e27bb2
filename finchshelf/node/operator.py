"""The second address, for operators alone: one line in, one line out, on a connection of its own.

Owns the operators' listener, their connections, the parsing of their calls and the file in `$TMPDIR` that
hands what they said on to a process that follows this one. It must never decide what a call means for
admission (the core hands OFFLINE and ONLINE to the module), let a caller harm another, or wait on clients.
"""

from __future__ import annotations

import os
from collections.abc import Callable
from contextlib import suppress
from enum import IntEnum

import orjson
import trio

from finchshelf.node.config import Config
from finchshelf.node.core import Core
from finchshelf.node.items import Maintenance
from finchshelf.transport import net

MOST_LINE = 512  # bytes of a call with its end of line
WHOLE_LINE = 10.0  # s for a caller to send its whole line: some hold a connection for seconds first
MOST_CALLERS = 64  # connections at once; one more sends the one silent longest away
ANSWER_WITHIN = 0.9  # s for the core to take a call: the answer is owed in 1 s
LOOK = 0.5  # s between two looks at the file, which a process beside this one may have written
MOST_KEPT = 10_000  # ids in that file
MOST_ID = 128  # bytes of an id


def parse(line: bytes) -> tuple[str, str] | str:
    """A call and its id, or why it is none."""
    text = line.removesuffix(b"\n").removesuffix(b"\r")
    if not text.isascii() or not all(32 <= byte < 127 for byte in text):
        return "not a line of printable text"
    words = text.decode().split()
    if not words:
        return "empty line"
    command = words[0].upper()
    if command == "HEALTH":
        return (command, "") if len(words) == 1 else "HEALTH takes no id"
    if command not in ("OFFLINE", "ONLINE"):
        return f"unknown call {words[0][:32]}; known: HEALTH, OFFLINE ID, ONLINE ID"
    if len(words) != 2 or len(words[1]) > MOST_ID:
        return f"{command} takes one server id"
    return command, words[1]


def read_kept(path: str) -> set[str] | None:
    """The ids kept in the file, once checked; None where there is none or it can't be used."""
    try:
        with open(path, "rb") as source:
            raw = orjson.loads(source.read(MOST_KEPT * (MOST_ID + 4) + 2))
    except (OSError, orjson.JSONDecodeError):
        return None
    if not isinstance(raw, list) or len(raw) > MOST_KEPT:
        return None
    if not all(isinstance(one, str) and 0 < len(one) <= MOST_ID and one.isprintable() for one in raw):
        return None
    return set(raw)


def write_kept(path: str, ids: set[str]) -> bool:
    """Replace the file whole, so that a reader beside this process never sees half of it."""
    try:
        with open(f"{path}.{os.getpid()}", "wb") as sink:
            sink.write(orjson.dumps(sorted(ids)))
        os.replace(f"{path}.{os.getpid()}", path)
    except OSError:
        return False
    return True


class Stage(IntEnum):
    """How far a call is; the further back, the less its caller may be sent away for another's sake."""

    ANSWERED = 0
    SILENT = 1  # its line is not yet whole
    ASKED = 2


class Caller:
    """One operator's connection."""

    __slots__ = ("came", "cancel", "stage", "stream")

    def __init__(self, stream: net.Stream, now: float) -> None:
        self.stream, self.came, self.stage = stream, now, Stage.SILENT
        self.cancel = trio.CancelScope()


class Operator:
    def __init__(self, core: Core, config: Config, takes: Callable[[], str]) -> None:
        self.core, self.telemetry, self.count = core, core.telemetry, core.telemetry.count
        self.path, self.takes = config.state, takes
        self.callers: set[Caller] = set()
        self.kept: set[str] = set()  # what the file held when last read or written
        self.stamp: tuple[int, int] | None = None

    # ---- what was said before this process ----

    def restore(self) -> None:
        """Take what a former process or one beside this one kept: before any client is taken."""
        self.stamp = self.stat()
        kept = read_kept(self.path)
        if kept is None:
            if self.stamp is not None:
                self.count["operator.bad_file"] += 1
                self.telemetry.log("maintenance", state="file not used", path=self.path)
            return
        self.kept = kept
        for server in sorted(kept):
            self.core.put(Maintenance(server, True, self.noted, checked=False))
        if kept:
            self.telemetry.log("maintenance", state="restored", offline=len(kept))

    def stat(self) -> tuple[int, int] | None:
        try:
            found = os.stat(self.path)
        except OSError:
            return None
        return found.st_mtime_ns, found.st_size

    def noted(self, _: str) -> None:
        """Calls taken from the file are answered to nobody."""

    async def follow(self) -> None:
        """Take what the process beside this one said: in an upgrade both hear operators for a while."""
        while True:
            await trio.sleep(LOOK)
            stamp = self.stat()
            if stamp == self.stamp or stamp is None:
                continue
            self.stamp, kept = stamp, read_kept(self.path)
            if kept is None or kept == self.kept:
                continue
            for server in sorted(kept - self.kept):
                self.core.put(Maintenance(server, True, self.noted, checked=False))
            for server in sorted(self.kept - kept):
                self.core.put(Maintenance(server, False, self.noted, checked=False))
            self.kept = kept

    def keep(self) -> None:
        """Write what the core holds now, for whoever follows."""
        if self.core.offline == self.kept:
            return
        if write_kept(self.path, set(self.core.offline)):
            self.kept, self.stamp = set(self.core.offline), self.stat()
        else:
            self.count["operator.not_kept"] += 1
            self.telemetry.rare("operator.not_kept", path=self.path)

    # ---- calls ----

    async def serve(self, listener: trio.socket.SocketType, nursery: trio.Nursery) -> None:
        while True:
            try:
                stream = await net.accept(listener)
            except OSError:
                await trio.sleep(0.01)  # no descriptor now, or that caller has gone
                continue
            if len(self.callers) >= MOST_CALLERS:
                # Danger: callers that never finish a line would hold the address against all others; and one
                # that is told -ERR in place of its answer would take a call for refused that is taken.
                oldest = min(self.callers, key=lambda caller: (caller.stage, caller.came))
                self.count["operator.crowded"] += 1
                if oldest.stage is Stage.SILENT:
                    with suppress(OSError):  # it has gone meanwhile
                        oldest.stream.send_now(b"-ERR too many callers at once\r\n")
                oldest.cancel.cancel()
            caller = Caller(stream, self.core.clock.now())
            self.callers.add(caller)
            nursery.start_soon(self.talk, caller)

    async def talk(self, caller: Caller) -> None:
        try:
            with caller.cancel:
                line = await self.line(caller.stream)
                caller.stage = Stage.ASKED
                answer = await self.answer(parse(line) if isinstance(line, bytes) else line)
                self.count["operator.calls"] += 1
                self.count["operator.refused"] += answer.startswith("-")
                await caller.stream.send(answer.encode() + b"\r\n")
                caller.stage = Stage.ANSWERED
                caller.stream.end_sending()
                with trio.move_on_after(1.0):  # the caller ends its side; its close then is no reset
                    while await caller.stream.discard():
                        pass
        except (OSError, trio.ClosedResourceError):
            self.count["operator.broken"] += 1
        finally:
            self.callers.discard(caller)
            caller.stream.close()

    async def line(self, stream: net.Stream) -> bytes | str:
        """The caller's line, or why there is none."""
        got = b""
        with trio.move_on_after(WHOLE_LINE):
            while b"\n" not in got:
                data = await stream.receive()
                if not data:
                    return "no whole line before the end"
                got += data
                if len(got) > MOST_LINE and b"\n" not in got[:MOST_LINE]:
                    return f"a line is {MOST_LINE} bytes at most"
            return got.partition(b"\n")[0]
        self.count["operator.slow"] += 1
        return f"no whole line in {WHOLE_LINE:g} s"

    async def answer(self, call: tuple[str, str] | str) -> str:
        if isinstance(call, str):
            return f"-ERR {call}"
        command, server = call
        if command == "HEALTH":
            state = self.takes()
            return f"+OK {state}" if state == "ready" else f"-ERR {state}"
        said: list[str] = []
        done = trio.Event()

        def reply(text: str) -> None:
            said.append(text)
            if text.startswith("+"):
                self.keep()
            done.set()

        self.core.put(Maintenance(server, command == "OFFLINE", reply))
        with trio.move_on_after(ANSWER_WITHIN):
            await done.wait()
        if not said:
            # The call stays in the queue and is taken all the same; the answer can't wait for it.
            self.count["operator.late"] += 1
            return "-ERR not taken within a second; it will be, and may be made again to know"
        return said[0]
