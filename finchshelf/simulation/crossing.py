"""One data plane's real sockets' side between clients and servers that do what they may not, byte by byte.

Owns the network's harm (every read and write cut at any byte), clients that check each answer against the
request it is due to, and the day: lives that end, addresses and ids that come again. It must never decide
anything that the data plane decides, nor draw chance from anywhere but the seed.
"""

from __future__ import annotations

from collections import Counter as Tally
from collections.abc import Callable, Iterator
from contextlib import ExitStack, contextmanager, suppress
from random import Random
from typing import Any
from unittest import mock

import h11
import trio
from trio._core import _run as trio_run

from finchshelf.configuration.document import read_configuration
from finchshelf.dataplane.core import Core
from finchshelf.dataplane.dialect import Reader, Words
from finchshelf.dataplane.news import News
from finchshelf.membership.records import Server as Listed
from finchshelf.simulation import network as wires
from finchshelf.simulation.backends import HARMS, Backend, Record, Wanted
from finchshelf.simulation.loop import Agenda, instead
from finchshelf.simulation.network import End, Life, Network, current
from finchshelf.simulation.wire import head
from finchshelf.transport import halts, net
from finchshelf.transport.address import Address
from finchshelf.transport.clients import Clients
from finchshelf.transport.exchange import Clock
from finchshelf.transport.servers import Servers
from finchshelf.transport.telemetry import Telemetry

HOST, FRONT = "shop.example", Address("10.0.0.1", 8405)
MOST_AT_ONCE = 400  # bytes that one read or write takes at most, where it is cut at all


class Grain(Network):
    """A network whose reads and writes are cut at any byte."""

    fine = 0.5  # of the reads and writes are

    def bite(self, size: int) -> int:
        size = max(0, size)
        if size <= 1 or self.random.random() > self.fine:
            return size
        return self.random.randint(1, min(size, self.random.choice((1, 3, 20, MOST_AT_ONCE))))


class VirtualClock(Clock):
    def __init__(self) -> None:
        self.origin = 1e6

    def now(self) -> float:
        return self.origin + trio.current_time()


class Notes(Telemetry):
    def log(self, event: str, **fields: Any) -> None:
        self.count[event] += 0

    def rare(self, event: str, **fields: Any) -> None:
        self.count[event] += 1
        self.said.append((event, fields))

    said: list[tuple[str, Any]]


# ---- clients ----


class Caller:
    """A client's connection: requests behind one another, each answer checked against the one due."""

    def __init__(self, day: Day) -> None:
        self.day, self.random, self.record = day, day.random, day.record

    def next(self) -> Wanted:
        day, random = self.day, self.random
        day.number += 1
        once = random.random() < 0.5
        service = random.choice(("alpha", "beta"))
        mark = f"t{day.number}"
        if day.marks and random.random() < day.harm.get("id again", 0.0):
            mark = random.choice(day.marks[-3:])
            self.record.seen["id again"] += 1
        day.marks.append(mark)
        method = "POST" if once else random.choice(("GET", "GET", "HEAD", "PUT"))
        body = random.randbytes(random.choice((0, 5, 3000))) if method in ("POST", "PUT") else b""
        if body and random.random() < 0.15:
            body = random.randbytes(150_000)
        target = f"/{service}/{'once' if once else 'any'}/{day.number}"
        wanted = self.record[target] = Wanted(target, mark, method, once, body)
        return wanted

    def text(self, one: Wanted) -> bytes:
        chunked = bool(one.body) and self.random.random() < 0.4
        headers = [("Host", HOST), ("Trial-Id", one.mark), ("Remaining-Ms", "1200")]
        if one.body and self.random.random() < 0.3:
            headers.append(("Expect", "100-continue"))  # it doesn't wait for that, as a client may
        if one.body:
            headers.append(
                ("Transfer-Encoding", "chunked") if chunked else ("Content-Length", str(len(one.body)))
            )
        if chunked:
            cuts = sorted(self.random.sample(range(1, len(one.body)), min(3, len(one.body) - 1)))
            parts = [one.body[a:b] for a, b in zip([0, *cuts], [*cuts, len(one.body)], strict=True)]
            body = b"".join(b"%x\r\n%s\r\n" % (len(part), part) for part in parts) + b"0\r\n\r\n"
        else:
            body = one.body
        return head(f"{one.method} {one.target} HTTP/1.1", headers, body)

    async def run(self) -> None:
        random = self.random
        with suppress(OSError, trio.ClosedResourceError, trio.TooSlowError):
            stream = await wires.connect(FRONT)
            try:
                for _ in range(random.randint(1, 4)):
                    batch = [self.next() for _ in range(random.choice((1, 1, 2, 4)))]
                    data = b"".join(map(self.text, batch))
                    leave = random.randrange(len(data)) if random.random() < 0.1 else len(data)
                    with trio.fail_after(8.0):
                        async with trio.open_nursery() as nursery:
                            nursery.start_soon(self.send, stream, data[:leave])
                            if leave == len(data) and not await self.take(stream, batch):
                                return
                    if leave < len(data):
                        return
                await trio.sleep(0.05)
                if isinstance(stream, End) and stream.inbox:
                    self.record.fault("MIXED", f"bytes that nobody asked for: {bytes(stream.inbox[:80])!r}")
            finally:
                stream.close()

    async def send(self, stream: net.Stream, data: bytes) -> None:
        with suppress(OSError, trio.ClosedResourceError):
            await stream.send(data)

    async def take(self, stream: net.Stream, batch: list[Wanted]) -> bool:
        """The answers in their order; False: nothing more comes."""
        rest = b""
        for one in batch:
            http = h11.Connection(h11.CLIENT)
            http.send(h11.Request(method=one.method, target=one.target, headers=[("Host", HOST)]))
            http.send(h11.EndOfMessage())
            if rest:  # nothing would be its end
                http.receive_data(rest)
            status, headers, body = 0, dict[bytes, bytes](), b""
            while True:
                try:
                    event = http.next_event()
                except h11.RemoteProtocolError as error:
                    if "closed" not in str(error).lower() and "without sending" not in str(error):
                        self.record.fault("MIXED", f"no answer in the protocol to {one.target}: {error}")
                    return False
                if event is h11.NEED_DATA:
                    http.receive_data(await stream.receive())
                elif isinstance(event, h11.Response):
                    status, headers = event.status_code, dict(event.headers)
                elif isinstance(event, h11.Data):
                    body += bytes(event.data)
                elif isinstance(event, h11.EndOfMessage):
                    break
                elif isinstance(event, h11.ConnectionClosed):
                    return False
            self.check(one, status, headers, body)
            rest = bytes(http.trailing_data[0])
            if headers.get(b"connection") == b"close":
                return False
        return True

    def check(self, one: Wanted, status: int, headers: dict[bytes, bytes], body: bytes) -> None:
        one.answers.append(status)
        self.record.seen[f"answer {status}"] += 1
        if status < 300:
            part = f"{one.mark} {one.target};".encode()
            whole = body == b"" if one.method == "HEAD" else body in (part, part * 9000)
            if not whole or headers.get(b"trial-id") != one.mark.encode() or not self.record.runs[one.target]:
                self.record.fault(
                    "MIXED",
                    f"{one.method} {one.target} ({one.mark}) got {status} {headers} "
                    f"{len(body)} bytes: {body[:60]!r}",
                )


# ---- a day ----


class Day:
    def __init__(self, seed: int, harm: dict[str, float]) -> None:
        self.random, self.harm = Random(seed), harm
        self.agenda = Agenda()
        self.network = Grain(Random(seed + 1), self.agenda)
        self.record = Record()
        self.number, self.marks = 0, list[str]()
        self.notes = Notes("edge")
        self.notes.said = []

    def document(self) -> dict[str, Any]:
        routes = [
            (f"{service}-{variant}", f"/{service}/{prefix}/", variant, service)
            for service in ("alpha", "beta")
            for prefix, variant in (("any", "nullipotent"), ("once", "mutating"))
        ]
        return {
            "setpointSeq": "00000001",
            "elements": [
                *(
                    {
                        "elementKind": "trajectories",
                        "header": {"label": label},
                        "reference": {
                            "plant": HOST,
                            "pathPrefix": prefix,
                            "variant": variant,
                            "cutoffMs": 1200,
                            "targetMs": 300,
                            "precedence": 1,
                            "subsystem": service,
                            "trials": 3,
                            "unguarded": True,
                        },
                    }
                    for label, prefix, variant, service in routes
                ),
                *(
                    {
                        "elementKind": "subsystems",
                        "header": {"label": name},
                        "reference": {"probe": "/probe", "connectionCeiling": 140},
                    }
                    for name in ("alpha", "beta")
                ),
            ],
        }

    async def run(self, callers: int) -> None:
        network, random = self.network, self.random
        for host in ("10.0.0.1", *(f"10.0.1.{n}" for n in range(4)), "10.0.2.1"):
            network.machine(host, "zone")
        current.set(Life(network, network.machines["10.0.0.1"], "edge"))
        clock = VirtualClock()
        core = Core("edge", "zone", clock, self.notes, Random(random.random()), 5.0, 1000.0)
        core.counting.wire = mock.Mock(port=7661)
        async with trio.open_nursery() as nursery:
            core.servers = Servers(core, Words(core.probe_path), nursery, 400)
            core.clients = Clients(core, Reader(core.configuration), nursery, lambda: True, 400, 1 << 28)
            listener: Any = await wires.listen(FRONT)
            for task in (core.run, core.halts.beat, core.servers.sweep, core.clients.sweep):
                nursery.start_soon(task)
            nursery.start_soon(core.clients.accept, listener)
            backends, counts = list[Backend](), Tally[str]()

            def tell(backend: Backend, mode: str = "stable") -> None:
                counts[backend.name] += 1
                core.put(
                    News(
                        [
                            Listed(
                                backend.name,
                                str(backend.address),
                                backend.service,
                                "zone",
                                50,
                                counts[backend.name],
                                mode,
                            )
                        ]
                    )
                )

            for n in range(4):
                with self.being(f"10.0.1.{n}"):
                    address = Address(f"10.0.1.{n}", 8080)
                    backend = Backend(self, address, ("alpha", "beta")[n % 2])
                    nursery.start_soon(backend.accept, await wires.listen(address), nursery)
                    backends.append(backend)
            core.put(News([], configuration=read_configuration(self.document())))
            for backend in backends:
                tell(backend)
            await trio.sleep(0.01)
            with self.being("10.0.2.1"):
                async with trio.open_nursery() as clients:
                    for _ in range(callers):
                        clients.start_soon(Caller(self).run)
                        await trio.sleep(random.choice((0.0, 0.002, 0.02, 0.1, 0.4)))
                        if random.random() < self.harm.get("replaced", 0.0):
                            self.record.seen["replaced"] += 1
                            backend = random.choice(backends)
                            former, was = backend.name, backend.service
                            # Its address is another service's by now, whoever hears of that and when.
                            backend.service = {"alpha": "beta", "beta": "alpha"}[backend.service]
                            backend.begin()
                            if random.random() < 0.5:
                                counts[former] += 1
                                core.put(
                                    News(
                                        [
                                            Listed(
                                                former,
                                                str(backend.address),
                                                was,
                                                "zone",
                                                50,
                                                counts[former],
                                                "gone",
                                            )
                                        ]
                                    )
                                )
                            tell(backend)
            await trio.sleep(2.0)
            nursery.cancel_scope.cancel()
        for event, fields in self.notes.said:
            if event in ("core.error", "clients.error", "servers.error"):
                self.record.fault("FAULT", f"{event}: {fields}")

    @contextmanager
    def being(self, host: str) -> Iterator[None]:
        token = current.set(Life(self.network, self.network.machines[host], host))
        try:
            yield
        finally:
            current.reset(token)


@contextmanager
def in_memory() -> Iterator[None]:
    with ExitStack() as stack:
        stack.enter_context(mock.patch.object(net, "connect", wires.connect))
        stack.enter_context(mock.patch.object(net, "accept", wires.accept))
        stack.enter_context(mock.patch.object(halts, "pause", trio.sleep))
        stack.enter_context(mock.patch.object(trio_run, "_ALLOW_DETERMINISTIC_SCHEDULING", True))
        stack.enter_context(instead())
        yield


def harms(random: Random) -> dict[str, float]:
    """A few kinds of harm, often; the rest seldom."""
    found = dict.fromkeys(HARMS, 0.01)
    found.update(dict.fromkeys(random.sample(HARMS, 3), 0.15))
    found["replaced"] = random.choice((0.0, 0.1))
    found["id again"] = random.choice((0.0, 0.3))
    return found


def play(
    seed: int,
    callers: int = 20,
    harm: dict[str, float] | None = None,
    made: Callable[[Day], None] | None = None,
) -> Record:
    """One day by one seed; what it broke is in the record's `verdict`."""
    day = Day(seed, harms(Random(seed)) if harm is None else harm)
    if made is not None:
        made(day)
    with in_memory():
        trio_run._r.seed(seed)
        trio.run(day.run, callers, clock=day.agenda)
    return day.record
