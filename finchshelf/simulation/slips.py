"""The guards of answers and calls, each dropped by its name.

Owns how a guard is dropped. It must never drop two at once: what is found then has one cause. Only the last
word on an answer's truth, which stands behind others, is off wherever one of those is dropped.
"""

from __future__ import annotations

from collections.abc import Callable, Iterator
from contextlib import contextmanager
from dataclasses import replace
from typing import Any
from unittest import mock

import trio

from finchshelf.admission.outcome import Status
from finchshelf.controlplane import asking, cells
from finchshelf.dataplane import core, counting, dialect, questions, tries
from finchshelf.dataplane.timers import Due
from finchshelf.membership import records
from finchshelf.transport import answering, bodies, calls, connection, delivery, frames, replies, upstream

Drop = Callable[[], Any]
read, head, begun = dialect.Words.read, dialect.Words.head, core.Core.send
answered, renew, after, told = (
    answering.Answering.answered,
    upstream.Connection.renew,
    tries.after,
    counting.Counting.told,
)


def renamed(always: bool) -> Drop:
    def mutant(self: Any, reply: replies.Reply, attempt: Any, ended: Any) -> None:
        names = [name for name, _ in reply.headers]
        if always or b"trial-id" not in names:
            reply.headers = [(name, value) for name, value in reply.headers if name != b"trial-id"]
            reply.headers.append((b"trial-id", attempt.exchange.mark))
        read(self, reply, attempt, ended)

    return lambda: mock.patch.object(dialect.Words, "read", mutant)


def untold(self: Any, attempt: Any, now: float) -> Any:
    found = head(self, attempt, now)
    found.headers._full_items[:] = [row for row in found.headers._full_items if row[1] != b"target-server"]
    return found


def hedged(self: Any, request: Any, now: float) -> None:
    begun(self, request, now)
    self.timer(now + 0.02, Due.HEDGE, request.id)


async def unnoted_part(self: Any, event: Any) -> None:
    await self.stream.send(self.http.send(event) or b"")


def sent(self: Any) -> bool:
    self.unsent = False
    return renew(self)


def at_once(self: Any, data: bytes) -> bool:
    try:
        gone = 0 if self.writing else self.stream.send_now(data)
    except OSError:
        self.stream.hang_up()
        return False
    if gone < len(data):
        self.writing = True
        self.clients.nursery.start_soon(send_beside, self, data[gone:])
    return bool(gone == len(data))


async def send_beside(self: Any, data: bytes) -> None:
    try:
        await self.stream.send(data)
        self.writing = False
        self.sent()
        self.read_on()
        self.wake()
    except (OSError, trio.ClosedResourceError):
        self.stream.hang_up()


def again(tried: Any, status: Status, budget: bool) -> Any:
    return after(replace(tried, repeatable=True), status, budget)


def from_anyone(self: Any, number: int, source: Any, fits: bool, wait: float) -> None:
    question = self.questions.get(number)
    told(self, number, source if question is None else question.to, fits, wait)


def of_any_life(self: Any, message: Any, source: Any) -> None:
    kind, *life, rows = message
    if kind == questions.TELL:
        life, rows = [self.life], [[number % (1 << questions.NUMBER), *rest] for number, *rest in rows]
    heard(self, [kind, *life, rows], source)


class AnyLine(dict[int, Any]):
    """What waits on a link, as if it waited on whichever connection an answer comes by."""

    def get(self, number: int, default: Any = None) -> Any:
        found = super().get(number)
        return default if found is None else replace(found, asked_on=AnyLine.reading)

    reading: Any = None


def any_line(self: Any, frames_: Any, message: Any) -> None:
    AnyLine.reading, waiting = frames_, self.waiting
    self.waiting = AnyLine(waiting)
    try:
        take(self, frames_, message)
    finally:
        self.waiting = waiting


def half_a_call(self: Any, answer: Any, close: bool = False) -> None:
    if answer.status == 400 and self.head is not None and self.parts:
        self.whole()  # by what came before the connection ended
    else:
        reply(self, answer, close)


async def half_a_body(self: Any, stream: Any, sizes: list[int]) -> bytes:
    reader, parts, at = object(), list[bytes](), 0
    stream.reader = reader
    try:
        while piece := await stream.take(reader, at):
            parts.append(piece)
            at += len(piece)
    except bodies.Cut:
        pass
    return b"".join(parts)


async def unasked(self: Any, record: Any) -> bool:
    return True


def by_number(self: Any) -> Any:
    return self.mode == records.GONE, self.count, not self.lost


def by_any_beat(self: Any, record: Any, now: float) -> bool:
    known = self.servers.rows.get(record.id)
    if known is not None and known.lost and record.count <= known.count:
        record = replace(record, count=known.count + 1)
    return beat(self, record, now)


@contextmanager
def without_last_word(dropped: Any) -> Iterator[None]:
    """A guard dropped, and the data plane's answers as they were decided, true or not."""
    with dropped, mock.patch.object(core, "truthful", lambda request, answer: answer):
        yield


take, heard = frames.Link.take, questions.Questions.read
reply, beat = connection.Connection.reply, cells.Cells.beat
GUARDS: dict[str, tuple[str, Drop]] = {
    "name": ("an answer is to the request whose Trial-Id it has", renamed(True)),
    "nameless": ("an answer without a Trial-Id is nobody's", renamed(False)),
    "unsent": (
        "a connection is kept only when the kernel has all of its request",
        lambda: mock.patch.object(upstream.Connection, "renew", sent),
    ),
    "carried": ("a connection carries an id once", lambda: mock.patch.object(upstream, "MARKS", 0)),
    "promise": (
        "a server's 408, 429 or 503 that doesn't say Not-Executed is no promise of ours",
        lambda: without_last_word(mock.patch.object(dialect, "PROMISES", ())),
    ),
    "pending": (
        "one task writes to a client at a time",
        lambda: mock.patch.object(answering.Answering, "send", at_once),
    ),
    "target": ("a request names the server's life", lambda: mock.patch.object(dialect.Words, "head", untold)),
    "may have run": (
        "what was written may have run",
        lambda: mock.patch.object(delivery.Delivery, "may_have_run", mock.PropertyMock(return_value=False)),
    ),
    "renewed": (
        "what may run once isn't sent again after a reset on a kept connection",
        lambda: mock.patch.object(tries, "renews", lambda tried, renewed: not renewed),
    ),
    "hedged": (
        "what may run once isn't sent to a second server beside the first",
        lambda: mock.patch.object(core.Core, "send", hedged),
    ),
    "again": ("what may have run isn't tried again", lambda: mock.patch.object(tries, "after", again)),
    "written": (
        "what goes out of a streamed body means that it may run",
        lambda: mock.patch.object(upstream.Connection, "part", unnoted_part),
    ),
    "begun": (
        "a server may begin to work on a request before it has all of it",
        lambda: mock.patch.object(dialect.Words, "begins", delivery.Begins.WHOLE),
    ),
    "life": (
        "an answer about a count names the life that asked",
        lambda: mock.patch.object(questions.Questions, "read", of_any_life),
    ),
    "source": (
        "an answer about a count comes from the address that was asked",
        lambda: mock.patch.object(counting.Counting, "told", from_anyone),
    ),
    "line": (
        "an answer comes by the connection that its question went out on",
        lambda: mock.patch.object(frames.Link, "take", any_line),
    ),
}


CALLS: dict[str, tuple[str, Drop]] = {
    "drained": (
        "no beat undoes a drain, whatever its number",
        lambda: mock.patch.object(records.Server, "rank", by_number),
    ),
    "late": (
        "a late beat of a server called lost is none of its next",
        lambda: mock.patch.object(cells.Cells, "beat", by_any_beat),
    ),
    "departed": (
        "a server that left is remembered while late beats may come",
        lambda: mock.patch.object(cells, "GONE_KEPT", 0.5),
    ),
    "held": (
        "a drain is acknowledged when more than half of the core holds it",
        lambda: mock.patch.object(asking.Asking, "hold", unasked),
    ),
    "whole": (
        "a call that is cut before its last byte changes nothing",
        lambda: mock.patch.object(connection.Connection, "reply", half_a_call),
    ),
    "streamed": (
        "nor does one whose body is too large to come in one",
        lambda: mock.patch.object(calls.Calls, "whole", half_a_body),
    ),
}


@contextmanager
def without(guard: str) -> Iterator[None]:
    with {**GUARDS, **CALLS}[guard][1]():
        yield
