"""Frames between the system's own processes: msgpack with a length in front, questions and answers by number.

Owns the connections between our processes; a question and its answer are correlated by their connection and a
number that a `Link` gives once. It must never know what a message says, wait for a peer without a
time, or let one that sends rubbish harm more than its own connection.
"""

from __future__ import annotations

import math
import socket
import struct
from collections.abc import Awaitable, Callable
from contextlib import suppress
from dataclasses import dataclass
from functools import partial
from typing import Any

import msgpack
import trio

from finchshelf.transport import net
from finchshelf.transport.address import Address

MOST_FRAME = 16 << 20  # bytes: a whole configuration and some
MOST_OPEN = 256  # questions of one connection that wait for an answer
HEAD = struct.Struct(">I")
SILENCE_MS = 1500  # ms that sent bytes may stay unacknowledged: behind a cut a connection would hang for good
WRITE, PART = 2.0, 1 << 16  # s for so many bytes of a frame to be taken: a large one may take longer
LARGE = 1 << 12  # bytes; a frame of more may take longer than its question, as long as it comes
MOVING = 1.0  # s that such a frame may stand still
MOST_MOVING = 30.0  # s beyond its time that an answer may be on its way: one of 8 MB at 2 Mbit/s
Message = dict[str, Any]
Handler = Callable[[Message], Awaitable[Message]]
Sent = Callable[[Message, int], None]  # a question was answered with so many bytes


class PeerError(Exception):
    """A peer did not answer; carries the step and the peer at which it arose."""

    def __init__(self, step: str, peer: str, why: str) -> None:
        super().__init__(f"{step} at {peer}: {why}")
        self.step, self.peer, self.why = step, peer, why


class PeerRefused(PeerError):
    """It is there, and answered that it can't or won't."""


def pack(message: object) -> bytes:
    body: bytes = msgpack.packb(message, use_bin_type=True)
    return HEAD.pack(len(body)) + body


def unpack(data: bytes) -> Any:
    """A message that came; ValueError where it is none. Depth is bounded by msgpack itself (512)."""
    try:
        return msgpack.unpackb(data, raw=False, strict_map_key=False)
    except ValueError:
        raise
    except Exception as error:
        raise ValueError(repr(error)) from None


class Frames:
    """One connection seen as frames."""

    def __init__(self, stream: net.Stream) -> None:
        self.stream, self.held, self.writing = stream, bytearray(), trio.Lock()
        self.moving: Callable[[], None] = lambda: None  # more of a large frame has come
        with suppress(OSError):
            stream.sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, SILENCE_MS)

    def peer(self) -> str:
        try:
            host, port = self.stream.sock.getpeername()[:2]
        except (OSError, ValueError):
            return "a peer that has gone"
        return f"{host}:{port}"

    async def read(self) -> Any:
        """The next message; EOFError at the end, ValueError where it is none."""
        while True:
            if len(self.held) >= HEAD.size:
                (size,) = HEAD.unpack_from(self.held)
                if size > MOST_FRAME:
                    raise ValueError(f"frame of {size} bytes")
                if len(self.held) >= HEAD.size + size:
                    data = bytes(self.held[HEAD.size : HEAD.size + size])
                    del self.held[: HEAD.size + size]
                    return unpack(data)
                if size > LARGE:
                    self.moving()
            data = await self.stream.receive()
            if not data:
                raise EOFError
            self.held += data

    async def write(self, message: object) -> int:
        """Send a message; its size in bytes."""
        data = pack(message)
        async with self.writing:
            # Danger: a question given up half written would spoil every frame after it.
            for at in range(0, len(data), PART):
                with trio.CancelScope(shield=True, deadline=trio.current_time() + WRITE) as scope:
                    await self.stream.send(data[at : at + PART] if len(data) > PART else data)
                if scope.cancelled_caught:
                    self.stream.hang_up()
                    raise BrokenPipeError("a peer that does not read")
        return len(data)


@dataclass(slots=True)
class Waiting:
    """A question that waits: the connection it went out on, and until when at most while a frame comes."""

    asked_on: Frames
    event: trio.Event
    answer: list[Message]
    scope: trio.CancelScope
    most: float


class Link:
    """Questions to one peer over one connection, made when it is needed and made anew when it broke."""

    def __init__(self, address: Address, nursery: trio.Nursery, connect_limit: float = 1.0) -> None:
        self.address, self.nursery, self.connect_limit = address, nursery, connect_limit
        self.frames: Frames | None = None
        self.waiting: dict[int, Waiting] = {}
        self.number = 0
        self.opening = trio.Lock()
        self.heard = -math.inf  # when the peer last said anything

    async def ask(self, step: str, message: Message, limit: float) -> Message:
        """The answer to a question; PeerError when there is none within `limit` s, or, while a large frame
        comes on this connection, when that stands still.

        Danger: a large answer that is given up half way is asked for anew, and given up again, for ever."""
        answer: list[Message] = []
        number, frames = -1, None
        with trio.move_on_after(limit) as scope:
            try:
                frames = await self.connected()
                self.number += 1
                number, event = self.number, trio.Event()
                self.waiting[number] = Waiting(frames, event, answer, scope, scope.deadline + MOST_MOVING)
                await frames.write([number, message])
                await event.wait()
            except (OSError, ValueError, trio.ClosedResourceError, trio.TooSlowError) as error:
                self.drop(frames)  # ValueError: a host that can't be one
                raise PeerError(step, str(self.address), repr(error)) from None
            finally:
                self.waiting.pop(number, None)
        if not answer:
            raise PeerError(step, str(self.address), "no answer in time")
        if "error" in answer[0]:
            raise PeerRefused(step, str(self.address), str(answer[0]["error"])[:200])
        return answer[0]

    async def connected(self) -> Frames:
        async with self.opening:
            if self.frames is None:
                with trio.fail_after(self.connect_limit):
                    stream = await net.connect(self.address)
                self.frames = Frames(stream)
                self.frames.moving = partial(self.moving, self.frames)
                self.nursery.start_soon(self.read, self.frames)
            return self.frames

    async def read(self, frames: Frames) -> None:
        try:
            while True:
                self.take(frames, await frames.read())
        except (OSError, EOFError, ValueError, TypeError, trio.ClosedResourceError):
            pass  # whoever waits is told below that nothing comes
        finally:
            self.drop(frames)
            frames.stream.close()

    def moving(self, frames: Frames) -> None:
        """All that is asked here is answered behind the frame that comes."""
        self.heard = trio.current_time()
        for one in self.waiting.values():
            if one.asked_on is frames:
                one.scope.deadline = max(one.scope.deadline, min(one.most, self.heard + MOVING))

    def take(self, frames: Frames, message: Any) -> None:
        """What came on a connection: the answer to a question that waits there, or nobody's."""
        self.heard = trio.current_time()
        number, answer = message
        if type(number) is not int or not isinstance(answer, dict):  # Danger: True and 1.0 are 1 here
            raise ValueError("no answer")
        one = self.waiting.get(number)
        # Danger: what a former connection still brings is no answer to what was asked on this one.
        if one is not None and one.asked_on is frames and not one.answer:
            one.answer.append(answer)
            one.event.set()

    def drop(self, frames: Frames | None) -> None:
        """A connection is of no more use; all who wait on it hear that nothing comes.

        Danger: one question fails late, on a connection that has been replaced by then. Those that wait on
        the new one would be told that nothing comes, and ask again what is already on its way."""
        if frames is None:
            return
        frames.stream.hang_up()
        if self.frames is frames:
            self.frames = None
        for one in self.waiting.values():
            if one.asked_on is frames:
                one.event.set()


def uncounted(question: Message, size: int) -> None:
    """For whoever does not count what is sent."""


async def serve(
    listener: trio.socket.SocketType,
    handler: Handler,
    nursery: trio.Nursery,
    broken: Callable[[str], None],
    sent: Sent = uncounted,
) -> None:
    """Answer the questions of whoever connects; each in a task of its own."""
    while True:
        try:
            stream = await net.accept(listener)
        except OSError as error:
            broken(repr(error))
            await trio.sleep(0.02)
            continue
        nursery.start_soon(answer_all, Frames(stream), handler, broken, sent)


async def answer_all(
    frames: Frames, handler: Handler, broken: Callable[[str], None], sent: Sent = uncounted
) -> None:
    room, peer = trio.CapacityLimiter(MOST_OPEN), frames.peer()

    async def one(number: object, message: Message) -> None:
        async with room:
            try:
                answer = await handler(message)
            except Exception as error:  # Danger: one bad question must not end the program
                broken(f"answer a question of {peer}: {error!r}"[:300])
                answer = {"error": repr(error)[:300]}
            with suppress(OSError, trio.ClosedResourceError):
                sent(message, await frames.write([number, answer]))

    try:
        async with trio.open_nursery() as nursery:
            try:
                while True:
                    number, message = await frames.read()
                    if not isinstance(message, dict) or not isinstance(number, int):
                        raise ValueError("no question")
                    nursery.start_soon(one, number, message)
            except (OSError, EOFError, trio.ClosedResourceError):
                pass
            except (ValueError, TypeError) as error:
                broken(f"read a question of {peer}: {error!r}"[:300])
            nursery.cancel_scope.cancel()
    finally:
        frames.stream.close()
