"""The counter service: a few pipelined connections, a name always on the same one.

Owns those connections and the calls that are out. Each call ends with exactly one `Counted` on the core's
queue, in the order of the calls for its name, at the latest when its time is up. It must never call anything
"not added" that may have been, send a call again, or read a late answer as that of a later call.
"""

from __future__ import annotations

import math
from collections import deque
from collections.abc import Iterable
from contextlib import suppress
from dataclasses import dataclass

import trio

from finchshelf.admission import interface as i
from finchshelf.node.config import Config
from finchshelf.node.core import Core
from finchshelf.transport import net
from finchshelf.transport.address import Address

LINES = 8  # connections; the counter holds 32 of a node. Answers on one come in order: one slow name holds
# up those behind it, so there are some
LOOK = 0.1  # s between two looks at silent lines
PING_AFTER = 3.0  # s without a word after which a line is kept up; the counter closes at 10 s or less
SILENT = 5.0  # times the wait for an answer that one is out, nothing else coming, until a line is taken for
# dead: all calls behind it fail
MOST_LINE = 4096  # bytes of an answer; more is no answer


@dataclass(slots=True, eq=False)
class Call:
    name: int
    text: bytes
    began: float
    written: bool = False
    done: bool = False


class Line:
    """One connection: calls not yet written, and those whose answer has not come, in order."""

    def __init__(self, owner: Counter, address: Address) -> None:
        self.owner, self.address = owner, address
        self.retired = False  # the counter has moved: this line takes no new calls
        self.before: list[Line] = []  # lines to a former address that still have calls of the same names out
        self.todo: deque[Call] = deque()
        self.out: deque[Call | None] = deque()  # None: a ping
        self.wanted = trio.Event()
        self.wanted.set()  # the first connection is made at start, so that the first call finds it
        self.heard = 0.0  # when something last came or, where nothing was due, was last asked
        self.stream: net.Stream | None = None
        self.backlog = b""
        self.writable = trio.Event()

    async def run(self) -> None:
        """Connect when there is something to say; one connection after another, until the counter moves."""
        while True:
            await self.wanted.wait()
            if self.retired:
                return
            with trio.move_on_after(self.owner.connect_limit):
                with suppress(OSError):
                    self.stream = await net.connect(self.address)
            if self.stream is None:
                self.owner.count["counter.no_connection"] += 1
            elif self.retired:
                self.stream.close()
                self.stream = None
            else:
                self.heard = self.owner.core.clock.now()
                self.owner.lines_changed()
                self.flush()
                try:
                    async with trio.open_nursery() as nursery:
                        nursery.start_soon(self.write_backlog)
                        await self.read(self.stream)
                        nursery.cancel_scope.cancel()
                except Exception as error:  # Danger: what nobody thought of must not end the node
                    self.owner.telemetry.rare("counter.error", error=repr(error))
                self.stream.close()
                self.stream = None
            self.fail()
            self.owner.lines_changed()
            if self.retired:
                return

    def busy(self) -> bool:
        return any(call is not None and not call.done for call in self.out)

    def retire(self, heir: Line) -> None:
        """The counter has moved: calls that are out end here, what was not written goes by the heir."""
        self.retired = True
        heir.todo.extend(self.todo)
        self.todo.clear()
        # Danger: a total from the new address would be read as that of an older call for the same name.
        heir.before = [line for line in (*self.before, self) if line.busy()]
        self.wanted.set()

    def fail(self) -> None:
        """There is no connection: what was written may have been added, the rest has not been."""
        out, todo = self.out, self.todo
        self.out, self.todo, self.backlog, self.wanted = deque(), deque(), b"", trio.Event()
        if any(line.busy() for line in self.before):
            # Danger: ended before the older calls of their names, they would be taken for those.
            self.todo, todo = todo, self.todo
        for call in out:
            if call is not None:
                self.owner.end(call, i.Status.TIMEOUT)
        for call in todo:
            self.owner.end(call, i.Status.UNREACHABLE)

    def flush(self) -> None:
        """Send what is to be sent as far as the kernel takes it; the rest goes when it can."""
        if self.stream is None:
            if self.todo:
                self.wanted.set()
            return
        self.before = [line for line in self.before if line.busy()]
        if self.before:
            return
        batch = [call for call in self.todo if not call.done]
        self.todo.clear()
        if not batch:
            return
        if not self.say(self.stream, b"".join([call.text for call in batch]), batch):
            self.todo.extend(batch)  # nothing of it was written: they end with the line
            return
        # Danger: a break in the middle of a write leaves open which calls went whole: all may have.
        for call in batch:
            call.written = True

    def say(self, stream: net.Stream, text: bytes, calls: Iterable[Call | None]) -> bool:
        """Write it, or as much as the kernel takes for now; False when the line has broken before."""
        if not self.out and not stream.silent():
            # Danger: what lies here unread was said before this is asked; it would be read as its answer.
            self.owner.count["counter.unasked"] += 1
            stream.hang_up()
            return False
        try:
            sent = 0 if self.backlog else stream.send_now(text)
        except OSError:
            stream.hang_up()
            return False
        if not self.out:
            self.heard = self.owner.core.clock.now()
        self.out.extend(calls)
        if sent < len(text):
            self.backlog += text[sent:]
            self.writable.set()
        return True

    async def write_backlog(self) -> None:
        while True:
            await self.writable.wait()
            self.writable = trio.Event()
            while self.backlog and self.stream is not None:
                await trio.lowlevel.wait_writable(self.stream.sock)
                try:
                    self.backlog = self.backlog[self.stream.send_now(self.backlog) :]
                except OSError:
                    return self.stream.hang_up()

    def keep_up(self, now: float) -> None:
        """A ping where nothing was said for a while; the end of a line that has long said nothing."""
        if self.stream is None:
            return
        if self.out and now - self.heard > SILENT * self.owner.wait:
            # Danger: a counter's machine that vanishes says nothing; calls would time out for ever.
            self.owner.count["counter.silent"] += 1
            self.stream.hang_up()
        elif not self.out and now - self.heard > PING_AFTER:
            self.say(self.stream, b"ping\r\n", (None,))

    async def read(self, stream: net.Stream) -> None:
        buffer = bytearray()
        while True:
            try:
                data = await stream.receive()
            except (OSError, trio.ClosedResourceError):
                return
            buffer += data
            end = buffer.rfind(b"\n")
            if end >= 0:
                self.heard = self.owner.core.clock.now()
                lines = bytes(buffer[:end]).split(b"\n")
                del buffer[: end + 1]
                # Danger: behind what is no answer, the next line would be taken for the next call's answer.
                if not all(self.answered(line.rstrip(b"\r")) for line in lines):
                    return
            if not data or len(buffer) > MOST_LINE:
                return

    def answered(self, line: bytes) -> bool:
        """One answer, for the call that has waited longest; False when it is none."""
        if not self.out:
            self.owner.count["counter.unasked"] += 1
            return False
        call = self.out.popleft()
        if call is None:
            return line == b"pong"
        word, _, rest = line.partition(b" ")
        if word == b"ok":
            try:
                total = float(rest)
            except ValueError:
                total = math.nan
            if not math.isfinite(total):
                self.owner.end(call, i.Status.TIMEOUT)
                return False
            self.owner.end(call, i.Status.OK, total)
        elif word == b"busy":
            self.owner.end(call, i.Status.FULL)
        elif word == b"error":
            self.owner.end(call, i.Status.ERROR)
        else:
            self.owner.end(call, i.Status.TIMEOUT)
            return False
        return True


class Counter:
    def __init__(self, core: Core, config: Config, address: Address, nursery: trio.Nursery) -> None:
        self.core, self.address, self.nursery = core, address, nursery
        self.telemetry, self.count = core.telemetry, core.telemetry.count
        self.renew(config)
        self.lines = [Line(self, address) for _ in range(LINES)]
        self.retiring: list[Line] = []
        self.asked: dict[Line, None] = {}  # in the order of the calls
        self.calls: deque[Call] = deque()
        self.up = False
        for line in self.lines:
            nursery.start_soon(line.run)
        nursery.start_soon(self.keep_up)

    def renew(self, config: Config) -> None:
        """Go by these settings from now on."""
        self.wait = config.settings.counter_wait
        self.connect_limit = config.around.connect_limit or 1.0

    def move(self, address: Address) -> None:
        """Call another address from now on."""
        if address == self.address:
            return
        self.address, former = address, self.lines
        self.lines = [Line(self, address) for _ in former]
        self.asked.clear()
        for line, heir in zip(former, self.lines, strict=True):
            line.retire(heir)
            self.retiring.append(line)
            self.nursery.start_soon(heir.run)
        self.end_retired()

    def end_retired(self) -> None:
        """Lines to a former address end with their last call; what waited for that goes out."""
        for line in [line for line in self.retiring if not line.busy()]:
            self.retiring.remove(line)
            if line.stream is not None:
                line.stream.hang_up()
        for line in self.lines:
            if line.before:
                line.flush()

    async def keep_up(self) -> None:
        while True:
            await trio.sleep(LOOK)
            for line in self.lines:
                line.keep_up(self.core.clock.now())

    # ---- for the core: nothing here waits ----

    def call(self, name: int, amount: float, life: float, now: float) -> None:
        text = b"tally %d %s %d\r\n" % (name, number(amount), max(1, round(life * 1000)))
        call = Call(name, text, now)
        self.calls.append(call)
        line = self.lines[name // 2 % 1009 % LINES]
        line.todo.append(call)
        self.asked[line] = None

    def flush(self) -> None:
        """Send the calls of one turn of the core together."""
        for line in self.asked:
            line.flush()
        self.asked.clear()

    def next_expiry(self) -> float:
        calls = self.calls
        while calls and calls[0].done:
            calls.popleft()
        return calls[0].began + self.wait if calls else math.inf

    def expire(self, now: float) -> None:
        """Calls whose time is up; their answers, should they still come, are matched and dropped."""
        while self.next_expiry() <= now:
            call = self.calls.popleft()
            # What was never written was never added: the module may forget it without doubt.
            self.end(call, i.Status.TIMEOUT if call.written else i.Status.UNREACHABLE)

    def end(self, call: Call, status: i.Status, total: float = 0.0) -> None:
        if call.done:
            self.count["counter.late"] += 1
            return
        call.done = True
        self.count[f"counter.{status.value}"] += 1
        self.core.put(i.Counted(call.name, status, total, self.core.clock.now() - call.began))
        if self.retiring:
            self.end_retired()

    def lines_changed(self) -> None:
        up = any(line.stream is not None for line in self.lines)
        if up is not self.up:
            self.up = up
            self.telemetry.log("counter", state="up" if up else "down")


def number(amount: float) -> bytes:
    """A decimal number without an exponent."""
    return (b"%d" % int(amount)) if amount == int(amount) else (b"%.6f" % amount).rstrip(b"0")
