"""Operators' calls over thin links: a large body is sent while it moves, and many of them fill no memory.

Owns the links, which are in memory."""

from __future__ import annotations

import io
import socket
from typing import Any

import pytest
import trio

from finchshelf.cli import operator
from finchshelf.simulation.conversation import call
from finchshelf.simulation.fleet import CONTROL, World, fine
from finchshelf.simulation.network import now
from finchshelf.transport import calls
from finchshelf.transport.address import Address

SPEED = 250_000  # bytes a second: 2 Mbit/s


class Thin:
    """A connected socket whose time is the link's; after `most` bytes nothing moves any more."""

    def __init__(self, most: float) -> None:
        self.most, self.now, self.sent, self.limit = most, 0.0, 0, 1.0

    def setsockopt(self, *_: Any) -> None:
        pass

    def settimeout(self, limit: float) -> None:
        self.limit = limit

    def sendall(self, data: bytes) -> None:
        """As Python's: the time-out is that of all of it."""
        took = len(data) / SPEED if self.sent + len(data) <= self.most else 1e9
        self.now += min(took, self.limit)
        if took > self.limit:
            raise TimeoutError
        self.sent += len(data)

    def makefile(self, *_: Any) -> io.BytesIO:
        return io.BytesIO(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}")

    def close(self) -> None:
        pass


@pytest.mark.parametrize(("most", "status", "within"), [(1e9, 200, 18.0), (1 << 20, 0, 6.0)])
def test_given_4_mb_and_2_mbit_s_when_the_body_moves_then_it_is_sent_and_given_up_when_it_stands_still(
    most: float, status: int, within: float, monkeypatch: pytest.MonkeyPatch
) -> None:
    link = Thin(most)
    monkeypatch.setattr(socket, "create_connection", lambda *_, **__: link)
    told = operator.once(Address("10.0.0.1", 1), "/v1/rpc?call=setpoint.replace", bytes(4 << 20), 5.0)
    assert told[0] == status and link.now < within, (told, link.now)
    assert status == 0 or link.sent > 4 << 20


def test_given_many_large_bodies_over_thin_links_when_they_come_together_then_some_are_sent_on_and_others_go(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(calls, "MOST_HELD", 2 << 20)
    found, took = list[int](), list[float]()

    async def story(world: World) -> None:
        at = Address(world.core[0], CONTROL)

        async def send(n: int) -> None:
            life = world.outside(f"10.8.0.{n}", "out", f"operator {n}")
            life.machine.speed = SPEED
            with world.being(life):
                found.append((await call(at, "/v1/rpc?call=setpoint.replace", b"{" * 800_000, 20.0)).status)

        async with trio.open_nursery() as nursery:
            # Given four that send 0.8 MB each for 3.2 s, where 2 MiB may be held
            for n in range(1, 5):
                nursery.start_soon(send, n)
            await trio.sleep(1.0)
            # When small changes come meanwhile
            for number in (2, 3):
                began = now()
                assert await world.replace(world.configuration(number, number - 1), at=[at]) == 200
                took.append(now() - began)

    world = fine(story, 3, limiters=1, servers=1)
    # Then those are taken at once; two bodies are read to their end, two are sent to another one
    assert sorted(found) == [400, 400, 503, 503] and max(took) < 0.1, (found, took)
    assert world.told("calls.full")


def test_given_two_large_bodies_that_hardly_move_when_a_fast_one_comes_then_it_is_read(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(calls, "MOST_HELD", 1 << 20)
    found, hosts = dict[str, int](), ["slow", "slower", "fast"]

    async def story(world: World) -> None:
        at = Address(world.core[0], CONTROL)

        async def send(name: str, speed: float, size: int) -> None:
            life = world.outside(f"10.8.0.{hosts.index(name) + 1}", "out", name)
            life.machine.speed = speed
            with world.being(life):
                answer = await call(at, "/v1/rpc?call=setpoint.replace", b"{" * size, 30.0)
                found[name] = answer.status

        async with trio.open_nursery() as nursery:
            # Given two that hold three quarters of the room for as long as they come
            for name in ("slow", "slower"):
                nursery.start_soon(send, name, 40_000, 600_000)
            await trio.sleep(10.0)
            # When one comes that is quick and needs more than what is left, then it is read to its end
            with trio.fail_after(5.0):
                await send("fast", 8 * SPEED, 600_000)
            assert found["fast"] == 400

    fine(story, 3, limiters=1, servers=1)
    # Then one of the slow ones made room for it
    assert sorted(found.values()) == [400, 400, 503]
