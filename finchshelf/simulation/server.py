"""A server of the fleet in memory: one life, with its beats, its work and its troubles.

Owns how it behaves and tells the judge what it ran. It must never know more of the fleet than its addresses.
"""

from __future__ import annotations

import math
from collections import deque
from contextlib import suppress

import orjson
import trio

from finchshelf.simulation.conversation import Cut, Headers, call
from finchshelf.simulation.judge import Judge, Ran
from finchshelf.simulation.network import End, Life, Listener, Machine, Network, accept, current, listen, now
from finchshelf.simulation.wire import Message, Unfit, Wire, head
from finchshelf.transport import net
from finchshelf.transport.address import Address


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
        self.version = "v1"  # of its software
        self.mode, self.calls, self.acknowledged = "stable", 0, trio.Event()
        self.target: Address | None = None
        self.departed = False  # it has said that it ends, and says nothing more
        self.queue = 4
        self.work = 0.02  # s for a request
        self.on_full = "503"
        self.failing = 0.0  # share of its answers that are 500
        self.slow_times = 1.0  # times that a request takes longer
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
                    "setpointSeq": self.version,
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
            await trio.sleep(self.work * self.slow_times * (0.8 + 0.4 * self.random.random()))
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
        failed = self.failing > 0 and self.random.random() < self.failing
        return await self.say(stream, 500 if failed else 200, back, b"" if failed else content)

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
