"""Limiters and servers that speak the control protocol alone, many to a process, for `benchmarks.scale`.

Owns their questions and beats, and what they saw: a line of JSON a second. It must never do what a real one
does with what it is told: no configuration is read, no request carried.

    python -m benchmarks.scale_hollow limiters|servers '{"first": 0, "count": 100, ...}'
"""

from __future__ import annotations

import sys
import time
import zlib
from collections import Counter
from random import Random
from typing import Any

import orjson
import trio

from finchshelf.agreement.parcel import digest
from finchshelf.dataplane.follower import DOWN, MORE, WAIT
from finchshelf.membership import rendezvous
from finchshelf.transport import net
from finchshelf.transport.address import Address, address_of
from finchshelf.transport.frames import Link, PeerError

ACKNOWLEDGED = 1.0  # s that a server waits for it
seen = Counter[str]()
late: list[float] = []  # s that beats' acknowledgements took, in this second
digests: dict[bytes, bytes] = {}  # of small documents: each is told to each limiter twice


def say(**fields: Any) -> None:
    print(orjson.dumps({"at": time.monotonic(), **fields}).decode(), flush=True)


def counted() -> None:
    """Count all bytes of this process's streams."""
    receive, send_now = net.Stream.receive, net.Stream.send_now

    async def receive_too(self: net.Stream, most: int = net.CHUNK) -> bytes:
        data = await receive(self, most)
        seen["bytes in"] += len(data)
        return data

    def send_too(self: net.Stream, data: bytes) -> int:
        sent = send_now(self, data)
        seen["bytes out"] += sent
        return sent

    net.Stream.receive, net.Stream.send_now = receive_too, send_too  # type: ignore[method-assign]


async def tell() -> None:
    while True:
        await trio.sleep(1.0)
        say(kind="second", **seen, late=[round(one, 5) for one in late])
        seen.clear()
        late.clear()


# ---- limiters ----


class HollowLimiter:
    def __init__(self, given: dict[str, Any], number: int, nursery: trio.Nursery) -> None:
        zone = given["zones"][number % len(given["zones"])]
        self.row = [
            f"edge-{number:04d}",
            int(time.time() * 1000),
            f"{given['net']}.{20 + number // 200}." f"{number % 200 + 1}",
            zone,
        ]
        self.nursery, self.slot, self.document, self.random = nursery, -1, b"", Random(number)
        order = rendezvous.order(self.row[0], [one[0] for one in given["controls"]])
        own = [name for name, at in given["controls"] if at == zone]
        self.asked = [first := min(own, key=order.index), next(name for name in order if name != first)]

    async def run(self, address: str) -> None:
        link, have = Link(address_of(address), self.nursery), self.none(0)
        await trio.sleep(self.random.random())
        while True:
            try:
                answer = await link.ask(
                    "news",
                    {
                        "op": "news",
                        "wait": WAIT,
                        "limiter": self.row,
                        "have": {**have, "slot": self.slot, "document": self.document, "zip": True},
                    },
                    WAIT + MORE,
                )
            except PeerError as error:
                seen["busy" if "busy" in error.why else "unanswered"] += 1
                await trio.sleep(DOWN * (0.75 + 0.5 * self.random.random()))
                continue
            seen["answers"] += 1
            if answer["life"] != have["life"]:
                have = self.none(answer["life"])
            for mine, theirs in (
                ("rev", "rev"),
                ("list", "list"),
                ("named", "named"),
                ("core", "core"),
                ("verdicts", "verdictsRev"),
            ):
                have[mine] = answer.get(theirs, have.get(mine, -1))
            if "value" in answer:
                self.value(answer["value"])

    def none(self, life: int) -> dict[str, Any]:
        return {"life": life, "rev": -1, "list": -1, "named": -1, "core": False, "verdicts": -1}

    def value(self, value: dict[str, Any]) -> None:
        small = value.get("zip", b"")
        seen["values"] += bool(small)
        if value["slot"] <= self.slot:
            return
        self.slot = value["slot"]
        if small:
            if small not in digests:
                digests.clear()
                digests[small] = digest(zlib.decompress(small))
            self.document = digests[small]
        say(kind="version", version=value["version"], limiter=self.row[0])


async def limiters(given: dict[str, Any]) -> None:
    async with trio.open_nursery() as nursery:
        nursery.start_soon(tell)
        for number in range(given["first"], given["first"] + given["count"]):
            one = HollowLimiter(given, number, nursery)
            for address in one.asked:
                nursery.start_soon(one.run, address)


# ---- servers ----


class HollowServer:
    def __init__(self, given: dict[str, Any], number: int) -> None:
        self.name, self.random, self.count = f"i-{number:06d}", Random(number), 0
        self.every, self.known = given["pulse"], [address_of(one) for one in given["calls"]]
        self.target = self.random.choice(self.known)
        self.head = {
            "address": f"{given['net']}.{100 + number // 200}.{number % 200 + 1}:8080",
            "observation": {
                "subsystem": f"service-{number % given['services']:03d}",
                "capacity": 32,
                "zone": given["zones"][number % len(given["zones"])],
            },
        }
        self.stream: net.Stream | None = None

    async def run(self, ramp: float) -> None:
        await trio.sleep(ramp * self.random.random())
        while True:
            began = time.monotonic()
            told = None
            with trio.move_on_after(ACKNOWLEDGED):
                told = await self.beat()
            seen["beats"] += 1
            if told is None:
                seen["beats not acknowledged"] += 1
                self.hang_up()
                self.target = self.random.choice(self.known)
            else:
                late.append(time.monotonic() - began)
                if (to := told.get("pulseTarget")) and to != str(self.target):
                    self.hang_up()
                    self.target = address_of(to)
            await trio.sleep(max(0.05, self.every - (time.monotonic() - began)))

    async def beat(self) -> dict[str, Any] | None:
        self.count += 1
        body = orjson.dumps(
            {**self.head, "stateEstimate": {"mode": "stable", "callCount": self.count, "warmupMs": 0}}
        )
        try:
            if self.stream is None:
                self.stream = await net.connect(self.target)
            status, told = await posted(self.stream, self.target, f"servers.pulse&of={self.name}", body)
        except (OSError, ValueError, trio.ClosedResourceError):
            return None
        return orjson.loads(told) if status == 200 else None

    def hang_up(self) -> None:
        if self.stream is not None:
            self.stream.close()
            self.stream = None


async def posted(stream: net.Stream, to: Address, call: str, body: bytes) -> tuple[int, bytes]:
    """Status and body of a call's answer; ValueError where there is none."""
    await stream.send(
        b"POST /v1/rpc?call=%s HTTP/1.1\r\nHost: %s\r\nContent-Length: %d\r\n\r\n%s"
        % (call.encode(), str(to).encode(), len(body), body)
    )
    data = b""
    while True:
        more = await stream.receive()
        if not more:
            raise ValueError("no answer")
        data += more
        head, end, rest = data.partition(b"\r\n\r\n")
        if end:
            lines = head.split(b"\r\n")
            length = next(
                (int(line.split(b":")[1]) for line in lines if line.lower().startswith(b"content-length:")), 0
            )
            if len(rest) >= length:
                return int(lines[0].split()[1]), rest


async def servers(given: dict[str, Any]) -> None:
    async with trio.open_nursery() as nursery:
        nursery.start_soon(tell)
        for number in range(given["first"], given["first"] + given["count"]):
            nursery.start_soon(HollowServer(given, number).run, given["ramp"])


async def bounded(kind: str, given: dict[str, Any]) -> None:
    with trio.move_on_after(given["seconds"]):  # Danger: whoever started it may have died
        await {"limiters": limiters, "servers": servers}[kind](given)


if __name__ == "__main__":
    counted()
    trio.run(bounded, sys.argv[1], orjson.loads(sys.argv[2]))
