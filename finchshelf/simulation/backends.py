"""Servers that do what they may not, and the record of what was asked, what ran and what was broken.

Owns the servers' harm: answers late, doubled, nameless, cut, early, in another's place; resets and silence.
It must never know what the data plane made of an answer.
"""

from __future__ import annotations

from collections import Counter as Tally
from collections import defaultdict, deque
from contextlib import suppress
from dataclasses import dataclass, field
from typing import Any

import trio

from finchshelf.simulation import network as wires
from finchshelf.simulation.network import End
from finchshelf.simulation.wire import Message, Unfit, Wire, head
from finchshelf.transport import net
from finchshelf.transport.address import Address

PROMISES = (408, 421, 429, 503)
# One in so many answers is spoilt so; the judge of `crossing` says what each must not bring about.
HARMS = (
    "late",
    "two late",
    "unasked",
    "behind",
    "nameless",
    "rubbish",
    "cut",
    "reset",
    "silent",
    "early",
    "interim",
    "close",
    "promise",
    "full",
    "large",
    "nothing said",
    "stray 421",
    "begins",
)


@dataclass
class Wanted:
    """A request as its client sent it; its target is like no other's, its id may come again."""

    target: str
    mark: str
    method: str
    once: bool
    body: bytes = b""
    answers: list[int] = field(default_factory=list)


class Record(dict[str, Wanted]):
    """What was asked, what ran, and what was broken."""

    def __init__(self) -> None:
        super().__init__()
        self.runs: dict[str, list[str]] = defaultdict(list)  # by target: the servers that ran it
        self.broken: list[str] = []
        self.seen: Tally[str] = Tally()

    def fault(self, rule: str, why: str) -> None:
        self.broken.append(f"{rule}: {why}")

    def verdict(self) -> list[str]:
        for one in self.values():
            if one.once and len(self.runs[one.target]) > 1:
                self.fault("TWICE", f"{one.target} at {self.runs[one.target]}")
            if one.once and self.runs[one.target] and set(one.answers) & set(PROMISES):
                self.fault("REFUSED", f"{one.target}: {one.answers}, and ran at {self.runs[one.target]}")
        return self.broken


# ---- servers ----


class Backend:
    """Lives of a server at one address, one after the other, and what each does wrong."""

    def __init__(self, day: Any, address: Address, service: str) -> None:
        self.day, self.address, self.service, self.random = day, address, service, day.random
        self.number = 0
        self.ends: dict[net.Stream, trio.Lock] = {}  # in an order that the seed gives
        self.begin()

    def begin(self) -> None:
        self.number += 1
        self.name = f"i-{self.address.host}-{self.number}"
        for end in self.ends:
            if isinstance(end, End):
                end.reset()

    async def accept(self, listener: Any, nursery: trio.Nursery) -> None:
        self.nursery = nursery
        while True:
            stream = await wires.accept(listener)
            nursery.start_soon(self.talk, stream, self.name)

    async def talk(self, stream: net.Stream, name: str) -> None:
        wire, late = Wire(server=True), deque[bytes]()
        self.ends[stream] = trio.Lock()
        try:
            while True:
                said = False
                while (found := wire.next()) is None:
                    wire.take(await stream.receive())
                    if said or b"\r\n\r\n" not in wire.came:
                        continue
                    if self.harm("early"):
                        said = True  # the rest of its body is read, and nothing more is said
                        await self.answer(stream, name, self.head_of(wire), late, True)
                    elif self.harm("begins"):
                        said = True
                        if not await self.begins(stream, name, self.head_of(wire)):
                            return
                if not said and not await self.answer(stream, name, found, late, False):
                    return
                if found.last:
                    return
        except Unfit as error:
            if not wire.ended:
                self.day.record.fault("UNASKED", f"what is no request at {name}: {error}")
        except (OSError, trio.ClosedResourceError):
            pass
        finally:
            self.ends.pop(stream, None)
            stream.close()

    def head_of(self, wire: Wire) -> Message:
        """Of a request whose body is still coming; it is answered, but has not run."""
        text = bytes(wire.came).split(b"\r\n\r\n")[0].decode("latin-1").split("\r\n")
        fields = dict(line.split(": ", 1) for line in text[1:])
        method, target, _ = text[0].split(" ")
        return Message(method, target, {k.lower(): v for k, v in fields.items()}, b"", False)

    async def begins(self, stream: net.Stream, name: str, asked: Message) -> bool:
        """Works on a request of which a part is here; then its answer is lost, or comes before the rest is
        read. False: this connection is over."""
        wanted = self.day.record.get(asked.target)
        if wanted is None or asked.headers.get("target-server") != name:
            return False
        self.day.record.runs[asked.target].append(name)
        await trio.sleep(self.random.choice((0.0, 0.001, 0.01)))
        end = self.random.choice(("reset", "close", "silent", "rubbish", "answer"))
        if end == "answer":
            back = [("Trial-Id", wanted.mark), ("Server-Seal", "s")]
            content = f"{wanted.mark} {wanted.target};".encode()
            return await self.say(stream, self.text(200, back, content, wanted.method))
        if end == "silent":
            await trio.sleep(30.0)
        elif end == "rubbish":
            await self.say(stream, self.random.randbytes(40))
        elif end == "reset" and isinstance(stream, End):
            stream.reset()
        return False

    def harm(self, kind: str) -> bool:
        hit: bool = self.random.random() < self.day.harm.get(kind, 0.0)
        self.day.record.seen[kind] += hit
        return hit

    async def answer(
        self, stream: net.Stream, name: str, asked: Message, late: deque[bytes], early: bool
    ) -> bool:
        """False: this connection is over."""
        method, target, headers, body, _ = asked
        mark, record = headers.get("trial-id", ""), self.day.record
        back = [("Trial-Id", mark)]
        if target == "/probe":
            return await self.say(
                stream, head("HTTP/1.1 200 X", [("Server-Id", name), ("Content-Length", "0")])
            )
        if headers.get("target-server", name) != name:
            return await self.say(stream, head("HTTP/1.1 421 X", [("Content-Length", "0")]))
        if self.harm("full"):
            return await self.say(
                stream, head("HTTP/1.1 503 X", [*back, ("Not-Executed", "1"), ("Content-Length", "0")])
            )
        if self.harm("silent"):
            await trio.sleep(30.0)
            return False
        if early:
            return await self.say(stream, head("HTTP/1.1 413 X", [*back, ("Content-Length", "0")]))
        wanted = record.get(target)
        if wanted is None or wanted.method != method or (wanted.body != body):
            record.fault("UNASKED", f"{method} {target} of {len(body)} bytes at {name}")
        elif not target.startswith(f"/{self.service}"):
            record.fault("ROUTE", f"{target} at {name} of {self.service}")
        record.runs[target].append(name)
        if self.random.random() < 0.5:
            await trio.sleep(self.random.choice((0.001, 0.01, 0.05, 0.3)))
        if self.harm("promise"):
            status = self.random.choice((503, 429, 408))
            return await self.say(stream, head(f"HTTP/1.1 {status} X", [*back, ("Content-Length", "0")]))
        if self.harm("reset"):
            if isinstance(stream, End):
                stream.reset()
            return False
        content = f"{mark} {target};".encode() * (9000 if self.harm("large") else 1)
        answer = self.text(200, [*back, ("Server-Seal", "s")], content, method)
        if self.harm("nothing said"):
            return False
        nameless = self.text(200, [("Server-Seal", "s")], content, method)
        return await self.spoilt(stream, answer, nameless, late)

    def text(self, status: int, headers: list[tuple[str, str]], content: bytes, method: str) -> bytes:
        if self.random.random() < 0.3 and method != "HEAD":
            chunks = b"".join(
                b"%x\r\n%s\r\n" % (len(part), part) for part in (content[:7], content[7:]) if part
            )
            return head(
                f"HTTP/1.1 {status} X", [*headers, ("Transfer-Encoding", "chunked")], chunks + b"0\r\n\r\n"
            )
        return head(
            f"HTTP/1.1 {status} X",
            [*headers, ("Content-Length", str(len(content)))],
            b"" if method == "HEAD" else content,
        )

    async def spoilt(self, stream: net.Stream, answer: bytes, nameless: bytes, late: deque[bytes]) -> bool:
        while late:
            await self.say(stream, late.popleft())
        if self.harm("interim"):
            await self.say(stream, head("HTTP/1.1 103 X", [("Trial-Id", "another's")]))
        if self.harm("stray 421"):
            await self.say(
                stream, head("HTTP/1.1 421 X", [("Trial-Id", "another's"), ("Content-Length", "0")])
            )
        if self.harm("late"):
            late.append(answer if self.random.random() < 0.7 else nameless)
        if self.harm("two late"):
            late.extend([answer, answer])
        if self.harm("unasked"):
            wait = self.random.choice((0.0005, 0.003, 0.02, 0.2))
            self.nursery.start_soon(self.unasked, stream, answer, wait)
        if self.harm("nameless"):
            return await self.say(stream, nameless)
        if self.harm("rubbish"):
            return await self.say(stream, self.random.randbytes(self.random.randint(1, 60)))
        if self.harm("cut"):
            await self.say(stream, answer[: self.random.randrange(len(answer))])
            if isinstance(stream, End) and self.random.random() < 0.5:
                stream.reset()
            return False
        if self.harm("behind"):
            answer += answer
        if self.harm("close"):
            await self.say(stream, answer.replace(b"\r\n", b"\r\nConnection: close\r\n", 1))
            return False
        return await self.say(stream, answer)

    async def say(self, stream: net.Stream, data: bytes) -> bool:
        async with self.ends[stream]:  # whole answers, one behind the other
            await stream.send(data)
        return True

    async def unasked(self, stream: net.Stream, data: bytes, wait: float) -> None:
        await trio.sleep(wait)
        with suppress(OSError, trio.ClosedResourceError, KeyError):
            await self.say(stream, data)
