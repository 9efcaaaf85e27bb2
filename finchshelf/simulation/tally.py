"""What a fleet in memory says, by kind and by whom: messages, bytes, connections, processor time.

Owns the counts. It must never change what is said, and what it spends itself is taken off the processor time
of whoever spoke.
"""

from __future__ import annotations

import time
from collections import Counter
from collections.abc import Iterator
from contextlib import ExitStack, contextmanager
from typing import Any
from unittest import mock

import msgpack
import trio

from finchshelf.counts.holder import NEAR
from finchshelf.dataplane.questions import ASK, END
from finchshelf.simulation import network
from finchshelf.simulation.network import DATA, Datagrams, End, Life, current
from finchshelf.transport import frames, net
from finchshelf.transport.address import Address

PORTS = {8405: "clients", 8406: "readiness", 8407: "beats, calls", 7660: "frames"}
PARTS = ("servers", "limiters", "gone", "controls", "value", "verdicts")
Key = tuple[str, str, str]  # said by, to, kind


def role(life: Life) -> str:
    """`data`, `control`, or another."""
    ends = life.name.rpartition("-")[2]
    return ends if ends in ("data", "control") else "outside"


class Tally(trio.abc.Instrument):
    """Counts since its start; whoever wants those of a span takes the difference of two copies."""

    def __init__(self) -> None:
        self.messages, self.bytes, self.rows = Counter[Key](), Counter[Key](), Counter[Key]()
        self.opened = Counter[Key]()
        self.spent = Counter[str]()  # ns by role
        self.own, self.began, self.own_then = 0, 0, 0

    def copy(self) -> Tally:
        found = Tally()
        for name in ("messages", "bytes", "rows", "opened", "spent"):
            setattr(found, name, getattr(self, name).copy())
        return found

    def since(self, before: Tally) -> Tally:
        found = Tally()
        for name in ("messages", "bytes", "rows", "opened", "spent"):
            setattr(found, name, getattr(self, name) - getattr(before, name))
        return found

    def total(self, what: str, kind: str, who: str = "") -> float:
        """All of a kind (by how it begins) in which `who` has a part."""
        counts: Counter[Key] = getattr(self, what)
        return sum(n for (a, b, k), n in counts.items() if k.startswith(kind) and who in ("", a, b))

    # ---- processor time ----

    def before_task_step(self, task: trio.lowlevel.Task) -> None:
        self.began, self.own_then = time.thread_time_ns(), self.own

    def after_task_step(self, task: trio.lowlevel.Task) -> None:
        life = task.context.get(current)
        if life is not None:
            self.spent[role(life)] += time.thread_time_ns() - self.began - (self.own - self.own_then)

    # ---- what is said ----

    def note(self, near: str, far: str, kind: str, size: int, rows: int = 1) -> None:
        key = near, far, kind
        self.messages[key] += 1
        self.bytes[key] += size
        self.rows[key] += rows

    def frame(self, end: End, message: Any) -> None:
        near, far, (_, said) = role(end.life), role(end.peer.life), message
        size = len(frames.pack(message))
        if "op" in said:
            self.note(near, far, f"question {said['op']}", size)
        elif "life" not in said:
            self.note(near, far, "answer", size)
        else:
            self.note(near, far, "nothing new" if said.get("none") else "news", size)
            for part in PARTS:
                if part in said:
                    self.note(
                        near,
                        far,
                        f"part {part}",
                        len(msgpack.packb(said[part])),
                        len(said[part]) if isinstance(said[part], list) else 1,
                    )

    def datagram(self, near: Life, data: bytes) -> None:
        kind, _, rows = msgpack.unpackb(data)
        if kind != ASK:
            what = "word of an end" if kind == END else "count answer"
            return self.note("data", "data", what, len(data), len(rows))
        words = [row for row in rows if row[2] == 0]
        self.note(
            "data",
            "data",
            "count word" if len(words) == len(rows) else "count question",
            len(data),
            len(rows),
        )
        for row in words:
            self.note("data", "data", "word NEAR" if row[3] == NEAR else "word AWAY, BYE", 0)

    @contextmanager
    def installed(self) -> Iterator[None]:
        """Counts all that is said within; begins before the world does."""
        put, sendto, write, connect = End.put, Datagrams.sendto, frames.Frames.write, network.connect
        tally = self

        def put_too(self: End, kind: str, data: bytes) -> None:
            at, port = time.thread_time_ns(), getattr(self, "port", 0)
            if kind == DATA and port != 7660:
                tally.note(role(self.life), role(self.peer.life), PORTS.get(port, "to servers"), len(data))
            tally.own += time.thread_time_ns() - at
            put(self, kind, data)

        def sendto_too(self: Datagrams, data: bytes, to: tuple[str, int]) -> int:
            at = time.thread_time_ns()
            tally.datagram(self.life, data)
            tally.own += time.thread_time_ns() - at
            return sendto(self, data, to)

        async def write_too(self: frames.Frames, message: object) -> int:
            at = time.thread_time_ns()
            assert isinstance(self.stream, End)
            tally.frame(self.stream, message)
            tally.own += time.thread_time_ns() - at
            return await write(self, message)

        async def connect_too(address: Address) -> net.Stream:
            end: Any = await connect(address)
            end.port = end.peer.port = address.port
            tally.opened[role(end.life), role(end.peer.life), PORTS.get(address.port, "to servers")] += 1
            return end  # type: ignore[no-any-return]

        with ExitStack() as stack:
            for owner, name, new in (
                (End, "put", put_too),
                (Datagrams, "sendto", sendto_too),
                (frames.Frames, "write", write_too),
                (network, "connect", connect_too),
            ):
                stack.enter_context(mock.patch.object(owner, name, new))
            yield
