"""The present node's calls to the outside counter and to discovery, byte by byte, and what goes wrong there.

Owns the stand-ins' harm (late, no answer, cut, silent, reset, unasked while the node stands still) and the
record of which call each answer was to: the counter's total is its call's own number, discovery's change
names the version that was asked after. It must never send what can't be told from a right answer.
"""

from __future__ import annotations

from collections import Counter as Tally
from collections import defaultdict, deque
from collections.abc import Callable
from contextlib import suppress
from random import Random
from types import SimpleNamespace
from typing import Any
from unittest import mock

import orjson
import trio
from trio._core import _run as trio_run

from finchshelf.admission import interface as i
from finchshelf.node import counter as module
from finchshelf.node.counter import Counter
from finchshelf.node.discovery import Discovery
from finchshelf.simulation import network as wires
from finchshelf.simulation.crossing import Grain, Notes, VirtualClock, in_memory
from finchshelf.simulation.loop import Agenda
from finchshelf.simulation.network import End, Life, current
from finchshelf.simulation.wire import Wire, head
from finchshelf.transport.address import Address
from tests.stand_ins import config

HERE, PLACES = "10.0.0.1", (Address("10.0.0.2", 7000), Address("10.0.0.3", 7000))
NAMES, WAIT = 12, 0.4
WRONG = {b"what\r\nok 999999\r\n": "no answer", b"ok nan\r\nok 999999\r\n": "no number"}


class Day:
    """Stand-ins at two addresses, and the node's machine that stands still at times."""

    def __init__(self, seed: int) -> None:
        self.random, self.agenda = Random(seed), Agenda()
        self.network = Grain(Random(seed + 1), self.agenda)
        self.broken: list[str] = []
        self.seen: Tally[str] = Tally()
        self.lines: dict[End, int] = {}  # the stand-ins' ends: questions that have no answer yet
        self.notes = Notes("node")
        self.notes.said = []
        self.node = SimpleNamespace(clock=VirtualClock(), telemetry=self.notes, put=self.ended)

    def ended(self, item: Any) -> None:
        raise NotImplementedError

    async def answer(self, end: End, came: bytearray) -> bool:
        """Answer what has come whole; False: this connection is over."""
        raise NotImplementedError

    async def talk(self, stream: Any) -> None:
        came, self.lines[stream] = bytearray(), 0
        with suppress(OSError, trio.ClosedResourceError):
            while data := await stream.receive():
                came += data
                if not await self.answer(stream, came):
                    break
        del self.lines[stream]
        stream.close()

    async def serve(self, address: Address, nursery: trio.Nursery) -> None:
        current.set(Life(self.network, self.network.machine(address.host, "zone"), "stand-in"))
        listener = await wires.listen(address)
        while True:
            nursery.start_soon(self.talk, await wires.accept(listener))

    async def harm(self, idle: Callable[[], bool], unasked: Callable[[], bytes]) -> None:
        """The node stands still, and what nobody asked for comes meanwhile; or all connections reset."""
        random, here = self.random, self.network.machines[HERE]
        while True:
            await trio.sleep(random.uniform(0.1, 0.8))
            if random.random() < 0.3:
                self.seen["reset"] += 1
                for address in PLACES:
                    self.network.reset(here, self.network.machines[address.host])
                continue
            here.frozen = True
            await trio.sleep(0.02)  # what was on its way has come
            for end, waiting in list(self.lines.items()):
                if not waiting and not end.peer.out and idle() and random.random() < 0.7:
                    self.seen["unasked"] += 1
                    end.peer.inbox += unasked()  # at this moment: nothing can be asked in between
                    end.peer.wake()
            await trio.sleep(random.choice((0.02, 0.3)))
            here.frozen = False
            self.network.pump()

    def play(self) -> None:
        async def later(_: object) -> None:
            await trio.sleep(0.001)

        with in_memory(), mock.patch.object(trio.lowlevel, "wait_writable", later):
            trio_run._r.seed(self.random.getrandbits(32))
            trio.run(self.run, clock=self.agenda)
        for event, fields in self.notes.said:
            if event.endswith(".error"):
                self.broken.append(f"FAULT: {event}: {fields}")

    async def run(self) -> None:
        raise NotImplementedError


class Tallies(Day):
    def __init__(self, seed: int) -> None:
        super().__init__(seed)
        self.waiting: dict[int, deque[int]] = defaultdict(deque)
        self.received, self.not_added = set[int](), set[int]()
        self.play()

    def ended(self, item: i.Counted) -> None:
        number = self.waiting[item.name].popleft()
        self.seen[item.status.value] += 1
        if item.status is i.Status.OK and item.total != number:
            self.broken.append(f"MIXED: call {number} got the total of {item.total}")
        if item.status is i.Status.UNREACHABLE:
            self.not_added.add(number)

    async def answer(self, end: End, came: bytearray) -> bool:
        random = self.random
        while b"\n" in came:
            line = bytes(came[: came.index(b"\n")]).split()
            del came[: came.index(b"\n") + 1]
            if line == [b"ping"]:
                await end.send(b"pong\r\n")
                continue
            number = int(line[2])
            self.received.add(number)
            self.lines[end] += 1
            await trio.sleep(random.choice((0.0, 0.0, 0.001, 0.02, 0.2, 0.6)))
            what = random.random()
            if what < 0.03:
                self.seen["silent"] += 1
                await trio.sleep(4.0)
                return False
            if what < 0.08:
                wrong = random.choice([*WRONG])
                self.seen[WRONG[wrong]] += 1
                await end.send(wrong)
                await trio.sleep(0.1)
                return False
            if what < 0.11:
                self.seen["cut"] += 1
                await end.send(b"ok %d" % number)
                return False
            full = random.choice((b"busy\r\n", b"error\r\n"))
            await end.send(full if what < 0.2 else b"ok %d\r\n" % number)
            self.lines[end] -= 1
        return True

    async def run(self) -> None:
        random, network = self.random, self.network
        current.set(Life(network, network.machine(HERE, "zone"), "node"))
        settings: Any = SimpleNamespace(
            settings=SimpleNamespace(counter_wait=WAIT), around=SimpleNamespace(connect_limit=0.25)
        )
        async with trio.open_nursery() as nursery:
            for address in PLACES:
                nursery.start_soon(self.serve, address, nursery)
            await trio.sleep(0.01)
            node: Any = self.node
            counter = Counter(node, settings, PLACES[0], nursery)
            nursery.start_soon(
                self.harm, lambda: not any(line.out for line in counter.lines), lambda: b"ok 888888\r\n"
            )
            for number in range(1, 300):
                name, now = 2 * random.randrange(NAMES), node.clock.now()
                self.waiting[name].append(number)
                counter.call(name, float(number), 4.0, now)
                if random.random() < 0.7:
                    counter.flush()
                if random.random() < 0.01:
                    self.seen["moved"] += 1
                    counter.move(random.choice(PLACES))
                await trio.sleep(random.choice((0.0, 0.001, 0.01, 0.03, 0.2)))
                counter.expire(node.clock.now())
            counter.flush()
            await trio.sleep(1.0)
            counter.expire(node.clock.now())
            nursery.cancel_scope.cancel()
        if any(self.waiting.values()):
            self.broken.append(f"LEAK: {sum(map(len, self.waiting.values()))} calls without an end")
        if wrong := self.received & self.not_added:
            self.broken.append(f"UNTRUE: called not added, and came: {sorted(wrong)[:5]}")


class Lists(Day):
    def __init__(self, seed: int) -> None:
        super().__init__(seed)
        self.version = 5
        self.discovery: Any = None
        self.play()

    def ended(self, item: Any) -> None:
        self.seen[item.members.kind.value] += 1
        asked = f"after-{self.discovery.version}"
        for server in item.members.servers:
            if item.members.kind is i.ListKind.CHANGES and server.name != asked:
                self.broken.append(f"MIXED: {server.name} was told to who asked {asked}")

    def text(self, after: int) -> bytes:
        entry = {
            "id": f"after-{after}",
            "host_port": "10.0.0.9:80",
            "locality": "here",
            "flavor": "box",
            "cell": 0,
            "phase": "SERVING",
            "size": 1.0,
            "up_since_ms": 0,
        }
        body = orjson.dumps({"revision": self.version, "complete": after < 0, "members": [entry]})
        if self.random.random() < 0.4:
            return head(
                "HTTP/1.1 200 X",
                [("Transfer-Encoding", "chunked")],
                b"%x\r\n%s\r\n%x\r\n%s\r\n0\r\n\r\n" % (9, body[:9], len(body) - 9, body[9:]),
            )
        return head("HTTP/1.1 200 X", [("Content-Length", str(len(body)))], body)

    async def answer(self, end: End, came: bytearray) -> bool:
        random, wire = self.random, Wire(server=True)
        wire.take(bytes(came))
        while (found := wire.next()) is not None:
            self.lines[end] += 1
            after = found.target.partition("after=")[2].partition("&")[0]
            await trio.sleep(random.choice((0.0, 0.01, 0.3, 3.0)))
            if random.random() < 0.6:
                self.version += 1
            data, what = self.text(int(after or -1)), random.random()
            if what < 0.1:
                self.seen["cut"] += 1
                await end.send(data[: random.randrange(len(data))])
                return False
            if what < 0.15:
                self.seen["silent"] += 1
                await trio.sleep(20.0)
                return False
            if what < 0.25:
                self.seen["behind"] += 1
                end.put(wires.DATA, data + data)  # at one moment; what came later could be any answer
            elif what > 0.9:
                await end.send(head("HTTP/1.1 103 X", []) + data)
            else:
                await end.send(data)
            self.lines[end] -= 1
        came[:] = wire.came
        return True

    async def run(self) -> None:
        random, network = self.random, self.network
        current.set(Life(network, network.machine(HERE, "zone"), "node"))
        async with trio.open_nursery() as nursery:
            for address in PLACES:
                nursery.start_soon(self.serve, address, nursery)
            await trio.sleep(0.01)
            node: Any = self.node
            self.discovery = Discovery(node, config(PLACES[0]))
            nursery.start_soon(self.discovery.run)
            # A question is out unless it sleeps between two.
            nursery.start_soon(self.harm, lambda: self.between(), lambda: self.text(self.version))
            for _ in range(30):
                await trio.sleep(random.uniform(0.5, 3.0))
                if random.random() < 0.1:
                    self.seen["moved"] += 1
                    self.discovery.move(random.choice(PLACES))
            nursery.cancel_scope.cancel()

    def between(self) -> bool:
        http = self.discovery.http
        return http is not None and http.our_state.__name__ == "IDLE"


def dropped(guard: str) -> Any:
    """That guard of the node's calls is dropped."""
    line = module.Line
    answered, retire, fail = line.answered, line.retire, line.fail

    def any_line(self: Any, text: bytes) -> bool:
        return answered(self, text) or True

    def at_once(self: Any, heir: Any) -> None:
        retire(self, heir)
        heir.before = []

    def before_older(self: Any) -> None:
        self.before = []
        fail(self)

    def none_added(self: Any) -> None:
        for call in self.out:
            if call is not None:
                self.owner.end(call, i.Status.UNREACHABLE)
        fail(self)

    mutants: dict[str, Callable[[], Any]] = {
        **dict.fromkeys(("lying", "unread"), lambda: mock.patch.object(End, "silent", lambda self: True)),
        "no answer": lambda: mock.patch.object(line, "answered", any_line),
        "in a breath": lambda: mock.patch.object(
            module, "all", lambda found: False not in [*found], create=True
        ),
        "former": lambda: mock.patch.object(line, "retire", at_once),
        "older": lambda: mock.patch.object(line, "fail", before_older),
        "written": lambda: mock.patch.object(line, "fail", none_added),
    }
    return mutants[guard]()


DROPPED: dict[str, tuple[str, type[Day]]] = {
    "lying": ("what lay on a line before a call is not its answer", Tallies),
    "no answer": ("what is no answer ends its line", Tallies),
    "in a breath": ("and nothing behind it in the same read is one", Tallies),
    "former": ("calls of a name wait for those that are out at a former address", Tallies),
    "older": ("nor do they end before those", Tallies),
    "unread": ("what lay there before discovery was asked is not its answer", Lists),
    "written": ("what was written may have been added", Tallies),
}
