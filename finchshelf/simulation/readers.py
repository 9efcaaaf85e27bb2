"""Recorded bytes, mutated, before the real readers: whole and cut at other bytes they must mean the same.

Owns the recordings, their mutations and the comparison. It must never know what a right answer is: only that
a reader ends, has no fault that nobody thought of, and makes the same of the same bytes however they come.
"""

from __future__ import annotations

import itertools
from collections.abc import Callable
from contextlib import suppress
from functools import cache
from random import Random
from types import SimpleNamespace
from typing import Any
from unittest import mock

import msgpack
import trio

from finchshelf.configuration.document import read_configuration
from finchshelf.dataplane import questions
from finchshelf.dataplane.dialect import Reader, Request, Words
from finchshelf.simulation.asking import Counts, Quiet
from finchshelf.simulation.crossing import Day, VirtualClock, in_memory, play
from finchshelf.simulation.loop import Agenda
from finchshelf.simulation.network import End
from finchshelf.transport import frames, net
from finchshelf.transport.address import Address
from finchshelf.transport.clients import Clients
from finchshelf.transport.exchange import Answer, Attempt, Ended, Exchange
from finchshelf.transport.servers import Servers

ADDRESS, MARK = Address("10.0.0.9", 80), b"t1"
MOST = 20_000  # bytes of a recording: larger bodies are streamed, and how far depends on the pieces
TOKENS = (
    b"\r\n",
    b"\r\n\r\n",
    b"0\r\n\r\n",
    b"Content-Length: 3\r\n",
    b"Transfer-Encoding: chunked\r\n",
    b"HTTP/1.0",
    b"HTTP/1.1 100 X\r\n\r\n",
    b"Connection: close\r\n",
    b"Trial-Id: t1\r\n",
    b"Trial-Id: t2\r\n",
    b"HEAD ",
    b"CONNECT ",
    b"\x00",
    b"\xff",
    b"999999999999",
    b"Upgrade: x\r\n",
    b" ",
    b":",
)


@cache
def recorded() -> dict[str, list[bytes]]:
    """What some days said, by who said it to whom."""
    said: dict[str, list[bytes]] = {"front": [], "answers": [], "frames": [], "datagrams": []}
    streams: dict[int, tuple[str, bytearray, End]] = {}
    put = End.put

    def note(self: End, kind: str, data: bytes) -> None:
        whose = "front" if self.near.host.startswith("10.0.2") else "answers"
        if self.near.host != "10.0.0.1":
            streams.setdefault(id(self), (whose, bytearray(), self))[1].extend(data)
        put(self, kind, data)

    with mock.patch.object(End, "put", note):
        for seed in range(3):
            play(seed)
    for whose, data, _ in streams.values():
        if 0 < len(data) < MOST:
            said[whose].append(bytes(data))
    whole = [{"of": n, "rows": [["s", n, None, 1.5, b"x" * n]]} for n in range(6)]
    said["frames"] = [
        b"".join(frames.pack([n, one]) for n, one in enumerate(whole, 1) if n % step == 0)
        for step in (1, 2, 3)
    ]
    sent = Counts.sent

    def keep(self: Counts, data: bytes, source: Any, to: Any) -> int:
        said["datagrams"].append(data)
        return sent(self, data, source, to)

    with mock.patch.object(Counts, "sent", keep):
        Counts(1)
    return said


def mutated(data: bytes, other: bytes, random: Random) -> bytes:
    for _ in range(random.choice((0, 1, 1, 2, 4))):
        at = random.randint(0, len(data))
        end = min(len(data), at + random.choice((1, 1, 2, 4, 30)))
        kind = random.randrange(7)
        if kind == 0:
            data = data[:at] + bytes([random.randrange(256)]) + data[at + 1 :]
        elif kind == 1:
            data = data[:at] + data[end:]
        elif kind == 2:
            data = data[:end] + data[at:]
        elif kind == 3:
            data = data[:at] + random.choice(TOKENS) + data[at:]
        elif kind == 4:
            data = data[:at] + other[random.randint(0, len(other)) :]
        elif kind == 5:
            data = data[:at]
        else:
            data = data + other
    return data[:MOST]


def cut(data: bytes, random: Random) -> list[bytes]:
    """In pieces: all bytes alone, or cut at some."""
    if random.random() < 0.2 and len(data) < 2000:
        return [data[n : n + 1] for n in range(len(data))]
    places = sorted({0, len(data), *(random.randint(0, len(data)) for _ in range(random.randint(1, 8)))})
    return [data[a:b] for a, b in itertools.pairwise(places) if a < b]


class Replay(net.Stream):
    """A stream that brings these pieces, then nothing, then its end."""

    def __init__(self, pieces: list[bytes]) -> None:
        self.pieces, self.taken, self.open = [one for one in pieces if one], bytearray(), True
        self.sock: Any = SimpleNamespace(setsockopt=lambda *_: None, getpeername=lambda: ("x", 1))

    async def receive(self, most: int = net.CHUNK) -> bytes:
        if not self.pieces:
            await trio.sleep(40.0)
            return b""
        await trio.sleep(0.0001)
        piece = self.pieces.pop(0)
        if len(piece) > most:
            self.pieces.insert(0, piece[most:])
        if not self.open:
            return b""
        return piece[:most]

    async def discard(self) -> int:
        return len(await self.receive(1 << 20))

    def send_now(self, data: bytes) -> int:
        if self.open:
            self.taken += data
        return len(data)

    async def send(self, data: bytes, note: Callable[[int], None] = net.unnoted) -> None:
        note(self.send_now(data))

    def silent(self) -> bool:
        return not self.pieces

    def quiet_for(self) -> float:
        return 0.0

    def end_sending(self) -> None:
        self.open = False

    hang_up = close = abort = end_sending


def ran(story: Callable[[], Any]) -> None:
    with in_memory():
        trio.run(story, clock=Agenda())


def told(notes: Any) -> list[str]:
    return [f"{event}: {fields}" for event, fields in notes.said if event.endswith(".error")]


class Notes(Quiet):
    def __init__(self) -> None:
        super().__init__("reader")
        self.said: list[tuple[str, Any]] = []

    def rare(self, event: str, **fields: Any) -> None:
        self.said.append((event, fields))


def front(pieces: list[bytes]) -> Any:
    """The requests that a client's bytes are, and the bytes that go back."""
    found: list[Any] = []
    stream, notes = Replay(pieces), Notes()

    async def story() -> None:
        async with trio.open_nursery() as nursery:

            async def answer(item: Exchange) -> None:
                await trio.sleep(0.001)
                item.reply(Answer(200, [(b"Content-Length", b"0")]))

            def put(item: Any) -> None:
                if isinstance(item, Request):
                    found.append((item.method, item.target, item.mark, item.body, sorted(item.headers)))
                    nursery.start_soon(answer, item)

            core: Any = SimpleNamespace(
                clock=VirtualClock(),
                telemetry=notes,
                put=put,
                halted=lambda _: False,
                next_id=itertools.count(1).__next__,
            )
            reader = Reader(read_configuration(Day(0, {}).document()))
            clients = Clients(core, reader, nursery, lambda: True, 100, 1 << 28)
            clients.take(stream)
            await trio.sleep(30.0)
            nursery.cancel_scope.cancel()

    ran(story)
    assert not told(notes), told(notes)
    # A body that has come by then is not waited for with a 100.
    return found, bytes(stream.taken).replace(b"HTTP/1.1 100 \r\n\r\n", b"")


def answers(pieces: list[bytes], method: bytes = b"GET") -> Any:
    """How one request ends whose server says these bytes."""
    found: list[Any] = []
    notes = Notes()

    async def story() -> None:
        async with trio.open_nursery() as nursery:
            core: Any = SimpleNamespace(clock=VirtualClock(), telemetry=notes, addresses={"s": ADDRESS})
            core.put = found.append
            servers = Servers(core, Words(), nursery, 100)
            route: Any = SimpleNamespace(repeatable=False)
            until = core.clock.now() + 20.0
            request = Request(
                1, until, mock.Mock(), method, b"/", [(b"Host", b"x")], b"", mark=MARK, route=route
            )
            with mock.patch.object(net, "connect", mock.AsyncMock(return_value=Replay(pieces))):
                servers.start(Attempt(request, 0, "s", ADDRESS, 20.0, core.clock.now(), until))
                await trio.sleep(30.0)
            nursery.cancel_scope.cancel()

    ran(story)
    assert not told(notes), told(notes)
    assert len(found) == 1 and isinstance(found[0], Ended), found
    ended: Ended = found[0]
    answer = ended.answer and (ended.answer.status, sorted(ended.answer.headers), ended.answer.body)
    return ended.status, ended.used, answer, ended.load


def framed(pieces: list[bytes]) -> Any:
    """Which questions these bytes of a peer answer, and what they are as questions."""
    found: list[Any] = []

    async def story() -> None:
        async with trio.open_nursery() as nursery:
            link = frames.Link(ADDRESS, nursery)
            with mock.patch.object(net, "connect", mock.AsyncMock(return_value=Replay(pieces))):

                async def ask(number: int) -> None:
                    with suppress(frames.PeerError):
                        found.append((number, repr(await link.ask("ask", {}, 20.0))))

                for number in range(6):
                    nursery.start_soon(ask, number)
                    await trio.lowlevel.checkpoint()
                await trio.sleep(30.0)
            assert not link.waiting
            nursery.cancel_scope.cancel()

    ran(story)
    asked, broken = list[str](), list[str]()

    async def peer() -> None:
        async def handle(message: Any) -> Any:
            asked.append(repr(message))
            return {}

        with trio.move_on_after(30.0):
            await frames.answer_all(
                frames.Frames(Replay(pieces)), handle, lambda why: broken.append("broken")
            )

    ran(peer)
    # What came before a frame that is none may be under way, and ends with its connection.
    return sorted(found), sorted(asked) if not broken else [], broken


def datagrams(pieces: list[bytes]) -> Any:
    """What one datagram makes a limiter do: all of it counts, or nothing."""
    did: list[Any] = []
    core: Any = SimpleNamespace(told=lambda *row: did.append(row), ended=lambda *row: did.append(row))
    core.asked = lambda *row: (did.append(row), (False, 1.0))[1]  # type: ignore[func-returns-value]
    with mock.patch.object(questions, "opened"):
        wire = questions.Questions(ADDRESS, core, Quiet("edge"), 1_700_000_000_001)
    wire.sock = mock.Mock()
    data = b"".join(pieces)
    try:
        wire.read(msgpack.unpackb(data), ("10.0.0.1", 1))
    except Exception:  # `run` tells it, whatever it is
        assert not did, did
    return did


READERS: dict[str, Callable[[list[bytes]], Any]] = {
    "front": front,
    "answers": answers,
    "frames": framed,
    "datagrams": datagrams,
}


def fuzz(name: str, seed: int) -> str:
    """One recording, mutated, whole and in pieces; what was wrong, or nothing."""
    random, have = Random(f"{name} {seed}"), recorded()[name]
    data = mutated(random.choice(have), random.choice(have), random)
    if name == "answers" and random.random() < 0.7:
        data = data.replace(b"Trial-Id: " + first_mark(data), b"Trial-Id: " + MARK)
    if name == "front":  # whether its body has come by then decides what a client that waits is told
        data = data.replace(b"Expect: 100-continue\r\n", b"")
    read = READERS[name]
    try:
        whole, parts = read([data]), read(cut(data, random))
    except Exception as error:
        return f"{name} seed {seed}: {error!r} of {data[:300]!r}"
    return "" if whole == parts else f"{name} seed {seed}: {whole!r} is not {parts!r} of {data[:300]!r}"


def first_mark(data: bytes) -> bytes:
    return data.partition(b"Trial-Id: ")[2].partition(b"\r\n")[0]
