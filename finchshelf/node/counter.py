"""The counter service: a few pipelined connections, a name always on the same one.

Owns those connections and the calls that are out. Each call ends with exactly one `Counted` on the core's
queue, in the order of the calls for its name, at the latest when its time is up. It must never call anything
"not added" that may have been, send a call again, or read a late answer as that of a later call.
"""

from __future__ import annotations

import math
from collections import deque
from dataclasses import dataclass

import trio

from finchshelf.admission import interface as i
from finchshelf.node import net
from finchshelf.node.config import Address, Config
from finchshelf.node.core import Core

LINES = 4  # connections; the counter holds 32 of a node
PING_AFTER = 3.0  # s without a word after which a line is kept up; the counter closes at 10 s or less
SILENT = 1.5  # s that an answer is out, nothing else coming, after which a line is taken for dead
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

    def __init__(self, owner: Counter, number: int) -> None:
        self.owner, self.number = owner, number
        self.todo: deque[Call] = deque()
        self.out: deque[Call | None] = deque()  # None: a ping
        self.wanted = trio.Event()
        self.heard = 0.0  # when something last came, or the line was last empty
        self.up = False

    def put(self, call: Call) -> None:
        self.todo.append(call)
        self.wanted.set()

    async def run(self) -> None:
        """Connect when there is something to say; one connection after another, for ever."""
        self.wanted.set()  # the first connection is made at start, so that the first call finds it
        while True:
            await self.wanted.wait()
            sock = None
            with trio.move_on_after(self.owner.connect_limit):
                try:
                    sock = await net.connect(self.owner.address)
                except OSError:
                    self.owner.count["counter.unreachable"] += 1
            if sock is None:
                self.fail(i.Status.UNREACHABLE)
                self.renew_wish()
                await trio.lowlevel.checkpoint()
                continue
            self.change(True)
            self.heard = self.owner.core.clock.now()
            try:
                async with trio.open_nursery() as nursery:
                    nursery.start_soon(self.read, sock, nursery.cancel_scope)
                    await self.write(sock, nursery.cancel_scope)
            except Exception as error:  # Danger: what nobody thought of must not end the node
                self.owner.telemetry.rare("counter.error", error=repr(error))
            finally:
                sock.close()
            self.change(False)
            self.fail(i.Status.UNREACHABLE)
            self.renew_wish()

    def renew_wish(self) -> None:
        if not self.todo:
            self.wanted = trio.Event()

    def change(self, up: bool) -> None:
        if up is not self.up:
            self.up = up
            self.owner.line_changed()

    def fail(self, unwritten: i.Status) -> None:
        """The connection is gone: what was written may have been added, the rest has not been."""
        for call in self.out:
            if call is not None:
                self.owner.end(call, i.Status.TIMEOUT)
        self.out.clear()
        for call in self.todo:
            self.owner.end(call, unwritten)
        self.todo.clear()

    async def write(self, sock: trio.socket.SocketType, scope: trio.CancelScope) -> None:
        clock = self.owner.core.clock
        while True:
            while self.todo and self.todo[0].done:
                self.todo.popleft()
            if not self.todo:
                self.wanted = trio.Event()
                with trio.move_on_after(PING_AFTER / 2):
                    await self.wanted.wait()
            now = clock.now()
            if not self.out:
                idle = now - self.heard
            elif now - self.heard > SILENT:
                # Danger: a counter's machine that vanishes says nothing; calls would time out for ever.
                self.owner.count["counter.silent"] += 1
                scope.cancel()
                return
            else:
                idle = 0.0
            batch = [call for call in self.todo if not call.done]
            self.todo.clear()
            text = b"".join([call.text for call in batch])
            if not batch:
                if idle < PING_AFTER:
                    continue
                text = b"ping\r\n"
            if not self.out:
                self.heard = now
            # Danger: a break in the middle of a write leaves open which calls went whole: all may have.
            for call in batch:
                call.written = True
            if batch:
                self.out.extend(batch)
            else:
                self.out.append(None)
            try:
                await net.send_all(sock, text)
            except OSError:
                scope.cancel()
                return

    async def read(self, sock: trio.socket.SocketType, scope: trio.CancelScope) -> None:
        buffer = bytearray()
        while True:
            try:
                data = await sock.recv(net.CHUNK)
            except OSError:
                data = b""
            buffer += data
            end = buffer.rfind(b"\n")
            if end >= 0:
                self.heard = self.owner.core.clock.now()
                lines = bytes(buffer[:end]).split(b"\n")
                del buffer[:end + 1]
                if not all([self.answered(line.rstrip(b"\r")) for line in lines]):
                    data = b""
            if not data or len(buffer) > MOST_LINE:
                scope.cancel()
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
        self.core, self.address = core, address
        self.telemetry, self.count = core.telemetry, core.telemetry.count
        self.wait = config.settings.counter_wait
        self.connect_limit = config.around.connect_limit or 1.0
        self.lines = [Line(self, number) for number in range(LINES)]
        self.calls: deque[Call] = deque()
        self.up = False
        for line in self.lines:
            nursery.start_soon(line.run)

    # ---- for the core: nothing here waits ----

    def call(self, name: int, amount: float, life: float, now: float) -> None:
        text = b"tally %d %s %d\r\n" % (name, number(amount), max(1, round(life * 1000)))
        call = Call(name, text, now)
        self.calls.append(call)
        self.lines[name // 2 % 1009 % LINES].put(call)

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

    def line_changed(self) -> None:
        up = any(line.up for line in self.lines)
        if up is not self.up:
            self.up = up
            self.telemetry.log("counter", state="up" if up else "down")


def number(amount: float) -> bytes:
    """A decimal number without an exponent."""
    return (b"%d" % int(amount)) if amount == int(amount) else (b"%.6f" % amount).rstrip(b"0")
