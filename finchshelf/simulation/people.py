"""Whoever stands around the fleet: clients, servers, the operator, each with a machine of its own.

Owns how they behave, trouble of servers included, and tells the judge what they saw. None of them must ever
know more of the fleet than its addresses.
"""

from __future__ import annotations

import math
from collections import deque
from contextlib import suppress
from dataclasses import dataclass
from typing import Any

import orjson
import trio

from finchshelf.simulation.judge import Asked, Judge, Ran, Version
from finchshelf.simulation.network import End, Life, Listener, Machine, Network, accept, current, listen, now
from finchshelf.simulation.wire import Message, Unfit, Wire, head
from finchshelf.transport import net
from finchshelf.transport.address import Address

SLOWEST = 200_000  # bytes a second: a caller waits a second, and longer for what a large body takes
Headers = list[tuple[str, str]]


class Cut(Exception):
    """No whole answer came."""


class Garbled(Cut):
    """What came can be no answer."""


@dataclass
class Reply:
    status: int
    headers: dict[str, str]
    body: bytes


class Talk:
    """A connection on which one asks and waits."""

    def __init__(self, stream: net.Stream, address: Address) -> None:
        self.stream, self.address = stream, address
        self.wire = Wire(server=False)
        self.open = True

    async def ask(self, method: str, target: str, headers: Headers, body: bytes = b"") -> Reply:
        """The whole answer; Cut where there is none."""
        self.open = False
        length = [("Content-Length", str(len(body)))] if body or method != "GET" else []
        try:
            await self.stream.send(head(f"{method} {target} HTTP/1.1", [*headers, *length], body))
            while (found := self.wire.next()) is None:
                self.wire.take(await self.stream.receive())
        except Unfit as error:
            raise (Cut if self.wire.ended else Garbled)(repr(error)) from None
        except (OSError, trio.ClosedResourceError) as error:
            raise Cut(repr(error)) from None
        self.open = not found.last
        return Reply(int(found.first), found.headers, found.body)

    def close(self) -> None:
        self.open = False
        self.stream.close()


async def talk(address: Address) -> Talk:
    return Talk(await net.connect(address), address)


async def call(address: Address, target: str, body: bytes, limit: float = 1.0) -> Reply:
    """One call on a fresh connection, and two more where it is sent on; Cut where no answer comes in time."""
    reply = await call_once(address, target, body, limit)
    for _ in range(2):
        if reply.status != 307:
            break
        host, _, rest = reply.headers["location"].removeprefix("http://").partition("/")
        place, _, port = host.rpartition(":")
        reply = await call_once(Address(place, int(port)), f"/{rest}", body, limit)
    return reply


async def call_once(address: Address, target: str, body: bytes, limit: float) -> Reply:
    line = None
    try:
        with trio.fail_after(limit):
            line = await talk(address)
            return await line.ask("POST" if body else "GET", target, [("Host", str(address))], body)
    except (OSError, trio.TooSlowError) as error:
        raise Cut(repr(error)) from None
    finally:
        if line is not None:
            line.close()


# ---- servers ----


class Server:
    """One life of a server, on a machine that may get another afterwards."""

    def __init__(
        self,
        network: Network,
        judge: Judge,
        machine: Machine,
        name: str,
        service: str,
        supervisors: list[Address],
        pulse: float,
        capacity: int = 8,
        port: int = 8080,
    ) -> None:
        self.network, self.judge, self.machine, self.name, self.service = (
            network,
            judge,
            machine,
            name,
            service,
        )
        self.supervisors, self.pulse, self.capacity = list(supervisors), pulse, capacity
        self.address = Address(machine.host, port)
        self.life = Life(network, machine, name)
        self.random = self.life.random
        self.mode, self.calls, self.acknowledged = "stable", 0, trio.Event()
        self.target: Address | None = None
        self.departed = False  # it has said that it ends, and says nothing more
        self.queue = 4
        self.work = 0.02  # s for a request
        self.on_full = "503"
        self.lose = 0  # of so many requests more the answer is lost: they run, and the connection resets
        self.extra = 0  # after so many answers more a second copy comes late, in the place of the next
        self.extra_in = math.inf  # s after its answer that such a copy comes by itself, if nothing else does
        self.extra_copies, self.extra_status = 1, 200
        self.idle_drop = math.inf  # s after which it drops an idle connection and says nothing of it
        self.keep_alive: int | None = 10
        self.waiting = self.running = self.probes = 0
        self.slots = trio.Semaphore(capacity)
        self.seals = 0
        self.lines: dict[net.Stream, str] = {}

    async def run(self) -> None:
        current.set(self.life)
        with self.life.scope:
            listener = await listen(self.address)
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self.beat)
                nursery.start_soon(self.accept, listener, nursery)
        self.life.die()

    async def accept(self, listener: Listener, nursery: trio.Nursery) -> None:
        while True:
            stream = await accept(listener)
            nursery.start_soon(self.answer_all, stream)

    # ---- beats ----

    def document(self) -> bytes:
        self.calls += 1
        return orjson.dumps(
            {
                "address": str(self.address),
                "observation": {
                    "subsystem": self.service,
                    "setpointSeq": "v1",
                    "zone": self.machine.zone,
                    "capacity": self.capacity,
                },
                "stateEstimate": {"mode": self.mode, "callCount": self.calls, "warmupMs": 0},
            }
        )

    async def beat(self) -> None:
        while not self.departed:
            await self.beat_once()
            await trio.sleep(self.pulse * (0.95 + 0.1 * self.random.random()))

    async def beat_once(self) -> bool:
        """One beat: to the address named last, else to one after another until it is acknowledged."""
        mode = self.mode
        order = self.random.sample(self.supervisors, len(self.supervisors))
        for address in ([self.target] if self.target else []) + order:
            try:
                reply = await call(address, f"/v1/rpc?call=servers.pulse&of={self.name}", self.document())
            except Cut:
                self.target = None
                continue
            if 200 <= reply.status < 300:
                named = orjson.loads(reply.body or b"{}").get("pulseTarget")
                if named:
                    host, _, port = named.rpartition(":")
                    self.target = Address(host, int(port))
                if mode == "decaying" and not self.acknowledged.is_set():
                    self.judge.drained[self.name] = now()
                    self.acknowledged.set()
                return True
            self.target = None
        return False

    async def drain(self) -> bool:
        """Says that it leaves until that is acknowledged; False if nobody did within 5 s."""
        self.mode = "decaying"
        with trio.move_on_after(5.0):
            while not await self.beat_once():
                await trio.sleep(0.2)
        return self.acknowledged.is_set()

    async def leave(self, settling: float = 2.5) -> None:
        """The planned end: drain, serve on, depart, end."""
        current.set(self.life)
        await self.drain()
        await trio.sleep(settling + 0.3)
        for address in self.supervisors:
            with suppress(Cut):
                reply = await call(address, f"/v1/rpc?call=servers.departure&of={self.name}", b"{}")
                if reply.status == 200:
                    break
        self.life.die()

    async def depart(self, limit_s: float = 2.0) -> bool:
        """The planned end of one that never says `decaying`: it departs, and serves on until it is ended."""
        self.departed = True
        with trio.move_on_after(limit_s):
            while True:
                for address in self.random.sample(self.supervisors, len(self.supervisors)):
                    with suppress(Cut):
                        reply = await call(address, f"/v1/rpc?call=servers.departure&of={self.name}", b"{}")
                        if reply.status == 200:
                            self.mode = "decaying"
                            self.judge.drained[self.name] = now()
                            return True
                await trio.sleep(0.1)
        return False

    # ---- requests ----

    async def answer_all(self, stream: net.Stream) -> None:
        wire, late, used = Wire(server=True), deque[bytes](), now()
        try:
            while True:
                found = wire.next()
                if found is None:
                    wire.take(await stream.receive())
                    if now() - used > self.idle_drop and isinstance(stream, End):
                        return stream.reset()
                elif await self.answer(stream, found, late) and not found.last:
                    used = now()
                else:
                    return
        except (OSError, trio.ClosedResourceError, Unfit):
            pass
        finally:
            stream.close()

    async def answer(self, stream: net.Stream, asked: Message, late: deque[bytes]) -> bool:
        """False: this connection is over."""
        method, target, headers, body, _ = asked
        if target == "/probe":
            self.probes += 1
            ok = self.mode == "stable"
            return await self.say(stream, 200 if ok else 503, [("Server-Id", self.name)], b"")
        name = headers.get("trial-id", "")
        source = getattr(stream, "far", self.machine).host
        seen = Ran(name, self.name, self.service, target, method, body, headers, now(), source, True)
        self.judge.ran.append(seen)
        back: Headers = [("Trial-Id", name)]
        if headers.get("target-server", self.name) != self.name:
            return await self.say(stream, 421, [*back, ("Not-Executed", "1")], b"")
        if self.running + self.waiting >= self.capacity + self.queue:
            if self.on_full == "reset":
                return False
            if self.on_full == "hang":
                await trio.sleep_forever()
            return await self.say(stream, 503, [*back, ("Not-Executed", "1")], b"")
        self.waiting += 1
        try:
            await self.slots.acquire()
        finally:
            self.waiting -= 1
        try:
            self.running += 1
            seen.turned = False
            self.seals += 1
            seal = f"{self.name}.{self.seals}"
            content = f"{self.name} did {name}".encode()
            self.judge.bodies[name][seal] = content
            await trio.sleep(self.work * (0.8 + 0.4 * self.random.random()))
        finally:
            self.running -= 1
            self.slots.release()
        if self.lose > 0:
            self.lose -= 1
            if isinstance(stream, End):
                stream.reset()
            return False
        seen.done = now()
        load = f"{self.running},{self.waiting},{self.capacity}"
        back += [("Server-Seal", seal), ("Server-Load", load)]
        if self.keep_alive is not None:
            back.append(("Keep-Alive", f"timeout={self.keep_alive}"))
        while late:
            await stream.send(late.popleft())
        if self.extra > 0:
            self.extra -= 1
            lines = "".join(f"{k}: {v}\r\n" for k, v in [*back, ("Content-Length", str(len(content)))])
            copy = f"HTTP/1.1 {self.extra_status} X\r\n{lines}\r\n".encode() + content
            late.extend([copy] * self.extra_copies)
            if self.extra_in < math.inf:
                self.network.timeline.at(now() + self.extra_in, lambda: self.unasked(stream, late))
        return await self.say(stream, 200, back, content)

    def unasked(self, stream: net.Stream, late: deque[bytes]) -> None:
        with suppress(OSError):
            while late:
                stream.send_now(late.popleft())

    async def say(self, stream: net.Stream, status: int, headers: Headers, body: bytes) -> bool:
        leaving = self.mode == "decaying"
        closing = [("Connection", "close")] if leaving else []
        length = ("Content-Length", str(len(body)))
        await stream.send(head(f"HTTP/1.1 {status} ", [*headers, length, *closing], body))
        return not leaving


# ---- clients ----


class Client:
    """One client in a zone: keeps connections, or opens a fresh one for each try."""

    def __init__(self, life: Life, judge: Judge) -> None:
        self.life, self.judge, self.random = life, judge, life.random
        self.idle: dict[Address, list[Talk]] = {}

    async def ask(
        self,
        front: Address,
        host: str,
        path: str,
        key: str = "",
        *,
        mutating: bool = False,
        body: bytes = b"",
        wait: float = 2.0,
        fresh: bool = False,
        patience: float = 0.0,
    ) -> Asked:
        """One try, told to the judge; `patience`: s that it listens beyond the time that it tells."""
        name = f"{self.random.getrandbits(64):016x}"
        method = "POST" if mutating else "GET"
        path = f"{path}{name[:4]}"
        asked = Asked(name, front.host, host, path, method, body, key, mutating, now(), wait)
        self.judge.asked[name] = asked
        headers = [("Host", host), ("Trial-Id", name), ("Remaining-Ms", str(int(wait * 1000)))]
        if key:
            headers.append(("Authorization", f"Token {key}"))
        line = None if fresh else self.kept(front)
        try:
            with trio.fail_after(wait + patience):
                if line is None:
                    with trio.fail_after(1.0):
                        line = await talk(front)
                asked.limiter_heard = True
                reply = await line.ask(method, path, headers, body)
            self.judge.answer(asked, reply.status, reply.headers, reply.body)
        except (Cut, OSError, trio.TooSlowError) as error:
            asked.why, asked.answered = repr(error), now()
            asked.cut = isinstance(error, Cut)
            if isinstance(error, Garbled):
                self.judge.fault("MIXED", f"{name} got bytes that are no answer: {error}")
        finally:
            if line is not None:
                if line.open and not fresh:
                    self.idle.setdefault(front, []).append(line)
                else:
                    line.close()
        return asked

    def kept(self, front: Address) -> Talk | None:
        stack = self.idle.get(front, [])
        while stack:
            line = stack.pop()
            if line.stream.silent():
                return line
            inbox = bytes(getattr(line.stream, "inbox", b""))
            if b"HTTP/1.1 2" in inbox:
                self.judge.fault("MIXED", "a success on a connection where no request waits")
            line.close()
        return None


# ---- the operator ----


class Operator:
    """Sends configurations in the way of the protocol: again, unchanged, and elsewhere, until it is told."""

    def __init__(self, life: Life, judge: Judge, supervisors: list[Address]) -> None:
        self.life, self.judge, self.supervisors = life, judge, supervisors
        self.random = life.random
        self.reading = 1.0  # s that it waits for a configuration to come

    async def replace(
        self,
        document: dict[str, Any],
        *,
        at: list[Address] | None = None,
        valid: bool = True,
        limit: float = 10.0,
    ) -> int:
        version = self.note(document, document, valid)
        return await self.send("replace", document, version, at, limit)

    async def adjust(
        self,
        change: dict[str, Any],
        whole: dict[str, Any],
        *,
        at: list[Address] | None = None,
        limit: float = 10.0,
    ) -> int:
        """`whole`: what the change makes of the version that it builds on."""
        version = self.note(change, whole, True)
        return await self.send("adjust", change, version, at, limit)

    def note(self, sent: dict[str, Any], whole: dict[str, Any], valid: bool) -> Version:
        number = int(sent["setpointSeq"], 16)
        for one in self.judge.versions:
            if one.number == number and one.document == whole:
                return one
        self.judge.versions.append(Version(number, int(sent["priorVersion"], 16), whole, now(), valid))
        return self.judge.versions[-1]

    async def send(
        self, kind: str, document: dict[str, Any], version: Version, at: list[Address] | None, limit: float
    ) -> int:
        """200, or the status that refused it; 0 where no clear answer came in time."""
        body, pause = orjson.dumps(document), 0.1
        with trio.move_on_after(limit):
            while True:
                for address in at or self.random.sample(self.supervisors, len(self.supervisors)):
                    status = 0
                    with suppress(Cut):
                        status = (
                            await call(
                                address, f"/v1/rpc?call=setpoint.{kind}", body, 1.0 + len(body) / SLOWEST
                            )
                        ).status
                    if status == 200:
                        version.taken = min(version.taken, now())
                        return 200
                    if 400 <= status < 500 and status not in (408, 429):
                        version.refused = True
                        return status
                    await trio.sleep(pause)
                    pause = min(1.0, pause * 1.5)
        return 0

    async def observe(self, limit: float = 6.0, at: list[Address] | None = None) -> dict[str, Any] | None:
        with trio.move_on_after(limit):
            while True:
                for address in at or self.random.sample(self.supervisors, len(self.supervisors)):
                    with suppress(Cut):
                        reply = await call(address, "/v1/rpc?call=setpoint.observe", b"{}", self.reading)
                        if reply.status == 200:
                            found: dict[str, Any] = orjson.loads(reply.body)
                            return found
                    await trio.sleep(0.2)
        return None
