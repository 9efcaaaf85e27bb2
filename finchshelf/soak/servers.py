"""The soak's servers: they beat, run requests, write down what arrives, and misbehave when told to.

Owns each server's life and its ledger rows. It must never run a request that was meant for another server, or
write down less than what arrived.
"""

from __future__ import annotations

import json
import math
from collections.abc import Callable
from dataclasses import dataclass, field
from random import Random

import h11
import trio

from finchshelf.soak import wire
from finchshelf.soak.ledger import Leaving, Ledger, Ran, Work
from finchshelf.soak.site import PULSE_MS, Service
from finchshelf.soak.wire import Ended, Message, Wire
from finchshelf.transport.address import Address

SLOTS, QUEUE = 4, 4
PULSE_S = PULSE_MS / 1000
BEAT_LIMIT_S = 1.0
LONG_S = 0.5  # work that is written down: whether it is broken off when nobody waits for it
LOOK_S = 0.02  # between two looks at whether its connection is closed
SETTLING_S = 1.0  # it serves on for so long after its leaving was acknowledged, and a little longer
SERVES_ON_S = 0.6
GIVES_UP_S = 4.0  # a leaving that nobody acknowledges
SEAL = "soak"


@dataclass(slots=True)
class Manner:
    """How a server misbehaves now: the share of its answers that it loses, garbles, doubles; or all."""

    lost: float = 0.0
    garbled: float = 0.0
    extra: float = 0.0
    full: bool = False
    paused_until: float = -math.inf


@dataclass(slots=True)
class Yard:
    """What all servers of a seed share."""

    ledger: Ledger
    nursery: trio.Nursery
    controls: list[Address]
    random: Random
    now: Callable[[], float]
    numbers: int = 0


def body_of(server: str, trial: str, method: str, path: str, size: int) -> bytes:
    return f"{server} {trial} {method} {path} {size}\n".encode()


def body_of_request(trial: str, size: int) -> bytes:
    """What a client sends: its name, over and over, to that many bytes; just once at least."""
    one = f"body of {trial} ".encode()
    return (one * (size // len(one) + 1))[: max(size, len(one))]


@dataclass(slots=True, eq=False)
class Server:
    """One life of one server."""

    yard: Yard
    kind: Service
    zone: str
    ip: str
    identity: str = ""
    port: int = 0
    mode: str = "stable"
    calls: int = 0
    running: int = 0
    waiting: int = 0
    manner: Manner = field(default_factory=Manner)
    slots: trio.Semaphore = field(default_factory=lambda: trio.Semaphore(SLOTS))
    scope: trio.CancelScope = field(default_factory=trio.CancelScope)
    target: Address | None = None
    ended: bool = False
    beating: bool = True

    @property
    def service(self) -> str:
        return self.kind.name

    async def start(self) -> None:
        self.yard.numbers += 1
        self.identity = f"s-{self.yard.numbers}"
        listener = trio.socket.socket()
        await listener.bind((self.ip, 0))
        listener.listen(128)
        self.port = listener.getsockname()[1]
        self.yard.nursery.start_soon(self.live, listener)

    async def live(self, listener: trio.socket.SocketType) -> None:
        with self.scope:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self.beats)
                while True:
                    sock, _ = await listener.accept()
                    nursery.start_soon(self.serve, Wire(trio.SocketStream(sock), h11.SERVER))
        listener.close()

    def crash(self) -> None:
        """It says nothing, and its connections are reset."""
        self.ended = True
        self.scope.cancel()

    # ---- requests ----

    async def serve(self, connection: Wire) -> None:
        try:
            while True:
                message = await connection.read()
                await self.pause()
                if not await self.answer(connection, message) or not connection.renew():
                    break
        except (
            Ended,
            h11.RemoteProtocolError,
            h11.LocalProtocolError,
            trio.BrokenResourceError,
            trio.ClosedResourceError,
        ):
            pass
        finally:
            with trio.CancelScope(shield=True):
                await (connection.reset() if self.ended else connection.close())

    async def pause(self) -> None:
        while self.yard.now() < self.manner.paused_until:
            await trio.sleep(0.05)

    async def answer(self, connection: Wire, message: Message) -> bool:
        """False where the connection has ended by it."""
        request, headers = message.head, message.headers
        assert isinstance(request, h11.Request)
        method, path = request.method.decode(), request.target.decode()
        if path == "/probe":
            await connection.write(self.response(200, [("Server-Id", self.identity)]))
            return True
        trial, target = headers.get("trial-id", ""), headers.get("target-server", "")
        if target and target != self.identity:
            self.note(connection, message, 421)
            await connection.write(self.response(421, [("Trial-Id", trial), ("Not-Executed", "1")]))
            return True
        if self.manner.full or self.waiting >= QUEUE:
            self.note(connection, message, 503)
            await connection.write(self.response(503, [("Trial-Id", trial), ("Not-Executed", "1")]))
            return True
        self.waiting += 1
        try:
            await self.slots.acquire()
        finally:
            self.waiting -= 1
        failed = self.yard.random.random() < self.kind.fails
        self.note(connection, message, 500 if failed else 200)
        self.running += 1
        try:
            await self.work(connection, trial)
        finally:
            self.running -= 1
            self.slots.release()
        if failed:
            seal = [("Trial-Id", trial), ("Server-Seal", SEAL)]
            await connection.write(self.response(500, seal))
            return True
        return await self.hand_out(
            connection, trial, body_of(self.identity, trial, method, path, len(message.body))
        )

    async def work(self, connection: Wire, trial: str) -> None:
        """For as long as it takes; long work ends when nobody waits for it any more."""
        began = self.yard.now()
        span_s = self.yard.random.uniform(*self.kind.work_s)
        if span_s < LONG_S:
            return await trio.sleep(span_s)
        broken = False
        while not broken and self.yard.now() < began + span_s:
            await trio.sleep(LOOK_S)
            broken = connection.closed()
        self.yard.ledger.works.append(Work(trial, self.identity, began, self.yard.now(), broken))

    async def hand_out(self, connection: Wire, trial: str, body: bytes) -> bool:
        manner, chance = self.manner, self.yard.random.random()
        if chance < manner.lost:
            self.yard.ledger.slips["lost"] += 1
            await connection.reset()
            return False
        whole = [("Trial-Id", trial), ("Server-Seal", SEAL)]
        if chance < manner.lost + manner.garbled:
            self.yard.ledger.slips["garbled"] += 1
            await connection.stream.send_all(
                self.yard.random.choice(
                    (
                        b"HTTP/1.1 200 OK\r\nTrial-Id: "
                        + trial.encode()
                        + b"\r\nContent-Length: 900\r\n\r\nhalf of it",
                        b"\x00\x01 these bytes are no answer\r\n\r\n",
                        b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nnone",
                    )
                )
            )
            await connection.reset()
            return False
        response = self.response(200, whole, len(body))
        await connection.write(response, body)
        if chance > 1.0 - manner.extra:
            # Behind a whole answer, sometimes later: it may meet the next request on this connection.
            self.yard.ledger.slips["extra"] += 1
            await trio.sleep(self.yard.random.choice((0.0, 0.003, 0.02)))
            copy = h11.Connection(h11.SERVER)
            copy.receive_data(b"GET / HTTP/1.1\r\nHost: one\r\n\r\n")
            copy.next_event(), copy.next_event()
            data = (copy.send(response) or b"") + (copy.send(h11.Data(data=body)) or b"")
            await connection.stream.send_all(data)
        return True

    def response(self, status: int, headers: list[tuple[str, str]], length: int = 0) -> h11.Response:
        leaving = [("Connection", "close")] if self.mode != "stable" else []
        return h11.Response(
            status_code=status,
            headers=[
                *headers,
                *leaving,
                ("Content-Length", str(length)),
                ("Server-Load", f"{self.running},{self.waiting},{SLOTS}"),
            ],
        )

    def note(self, connection: Wire, message: Message, status: int) -> None:
        request, headers = message.head, message.headers
        assert isinstance(request, h11.Request)
        method, path = request.method.decode(), request.target.decode()
        wanted = b"" if method == "GET" else body_of_request(headers.get("trial-id", ""), len(message.body))
        self.yard.ledger.ran.append(
            Ran(
                headers.get("trial-id", ""),
                self.identity,
                self.service,
                self.yard.now(),
                status in (200, 500),
                method,
                path,
                headers.get("load-name", ""),
                connection.peer,
                headers.get("target-server", ""),
                "authorization" in headers,
                message.body == wanted,
                status,
                remaining_of(headers),
            )
        )

    # ---- what it says of itself ----

    async def beats(self) -> None:
        while True:
            if self.beating and self.yard.now() >= self.manner.paused_until:
                await self.beat()
            await trio.sleep(PULSE_S * self.yard.random.uniform(0.8, 1.2))

    async def beat(self) -> bool:
        self.calls += 1
        body = json.dumps(
            {
                "address": f"{self.ip}:{self.port}",
                "observation": {
                    "subsystem": self.service,
                    "setpointSeq": "v1",
                    "zone": self.zone,
                    "capacity": SLOTS,
                },
                "stateEstimate": {"mode": self.mode, "callCount": self.calls, "warmupMs": 0},
            }
        ).encode()
        return await self.say("pulse", body)

    async def say(self, what: str, body: bytes, to: Address | None = None) -> bool:
        """`to`: the only control plane that it calls."""
        if to is not None:
            path = f"/v1/rpc?call=servers.{what}&of={self.identity}"
            told = await wire.call(to.host, to.port, "POST", path, body, BEAT_LIMIT_S, self.ip)
            return told is not None and 200 <= status_of(told) < 300
        controls = list(self.yard.controls)
        self.yard.random.shuffle(controls)
        for control in [self.target, *controls] if self.target else controls:
            path = f"/v1/rpc?call=servers.{what}&of={self.identity}"
            told = await followed(control, path, body, BEAT_LIMIT_S, self.ip)
            if told is not None and 200 <= status_of(told) < 300:
                self.turn_to(told.body)
                return True
            self.target = None
        return False

    def turn_to(self, body: bytes) -> None:
        try:
            host, _, port = str(json.loads(body or b"{}").get("pulseTarget", "")).rpartition(":")
            self.target = Address(host, int(port))
        except ValueError:
            self.target = None

    async def leave(self, silently: bool) -> None:
        """A planned end; `silently`: it never says `decaying`, but at once that it goes; no beat follows."""
        said, acknowledged = self.yard.now(), 0.0
        self.mode, self.beating = "decaying", not silently
        while not acknowledged and self.yard.now() < said + GIVES_UP_S and not self.ended:
            fine = await (self.say("departure", b"") if silently else self.beat())
            acknowledged = self.yard.now() if fine else 0.0
            await trio.sleep(0.0 if fine else 0.2)
        await self.serve_on(silently, said, acknowledged, SERVES_ON_S)

    async def depart_at(self, control: Address) -> float:
        """Says only there that it goes; when that was acknowledged, 0 if it was not."""
        self.mode, self.beating = "decaying", False
        fine = await self.say("departure", b"", control)
        return self.yard.now() if fine else 0.0

    async def serve_on(self, silently: bool, said: float, acknowledged: float, more_s: float) -> None:
        """After its leaving was acknowledged, for a little longer than it must; then it ends."""
        await trio.sleep(SETTLING_S + more_s)
        if not silently and not self.ended:
            await self.say("departure", b"")
        self.ended = True
        self.yard.ledger.leavings.append(Leaving(self.identity, said, acknowledged, self.yard.now()))
        self.scope.cancel()


def remaining_of(headers: dict[str, str]) -> float:
    """Seconds that the client still waits, as it was handed on; below 0 if it was not."""
    text = headers.get("remaining-ms", "")
    return int(text) / 1000 if text.isdigit() else -1.0


def status_of(message: Message) -> int:
    return message.head.status_code if isinstance(message.head, h11.Response) else 0


async def followed(
    control: Address, path: str, body: bytes, limit_s: float, source: str = ""
) -> Message | None:
    """A call of a control plane, redirects followed twice."""
    for _ in range(3):
        told = await wire.call(control.host, control.port, "POST", path, body, limit_s, source)
        if told is None or status_of(told) != 307:
            return told
        host, _, rest = told.headers.get("location", "").removeprefix("http://").partition(":")
        port, _, tail = rest.partition("/")
        if not port.isdigit():
            return told
        control, path = Address(host, int(port)), f"/{tail}"
    return None
