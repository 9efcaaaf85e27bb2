"""Upgrades: a second process beside the first on the same clients' address; real processes on loopback."""

from __future__ import annotations

import os
import signal
import socket
from collections.abc import Iterator
from contextlib import contextmanager
from pathlib import Path

import trio

from finchshelf.node.core import OVERLAP, Core
from finchshelf.node.process import another
from finchshelf.transport import net
from finchshelf.transport.address import Address
from finchshelf.transport.exchange import Clock
from tests.stand_ins import Client, Quiet, call, config, trio_test, until
from tests.test_node_life import Run, running, spawn


@contextmanager
def held_port() -> Iterator[int]:
    """A port that nodes may share and nobody else is given: bound and not listening, it takes no connection.

    Danger: one that was only looked at may be another test's by the time that a node listens on it.
    """
    with socket.socket() as held:
        held.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEPORT, 1)
        held.bind(("127.0.0.1", 0))
        yield int(held.getsockname()[1])


@trio_test
async def test_a_second_process_listens_beside_the_first_and_nothing_is_turned_back(tmp_path: Path) -> None:
    gate = trio.Event()
    with held_port() as port:
        await upgraded(tmp_path, gate, port)


async def upgraded(tmp_path: Path, gate: trio.Event, port: int) -> None:
    async with running(tmp_path, gate, listen=f"127.0.0.1:{port}") as old, trio.open_nursery() as nursery:
        new = Run(await spawn(old.path), old.servers, old.path, old.discovery, old.counter)
        nursery.start_soon(new.read_log)
        try:
            # Danger: without a shared port the second process can't listen and ends with status 1.
            await until(lambda: new.said("list") or new.process.returncode is not None)
            assert new.process.returncode is None and new.said("start")[0]["listen"] == f"127.0.0.1:{port}"
            answers: list[int] = []

            async def one() -> None:
                client = Client(await trio.open_tcp_stream("127.0.0.1", port))
                answers.append((await client.ask(call())).status)
                await client.stream.aclose()

            for _ in range(20):
                await one()
            old.process.send_signal(signal.SIGTERM)
            for _ in range(40):  # across the old process's end: every connection is heard by one of the two
                await one()
                await trio.sleep(0.02)
            assert answers == [200] * 60
            assert await old.process.wait() == 0
            assert new.process.returncode is None
        finally:
            new.process.kill()
        nursery.cancel_scope.cancel()


@trio_test
async def test_what_the_kernel_queued_is_taken_before_the_listener_closes() -> None:
    listener = await net.listen(Address("127.0.0.1", 0), shared=True)
    port = listener.getsockname()[1]
    waiting = [socket.create_connection(("127.0.0.1", port)) for _ in range(3)]
    await trio.sleep(0.05)
    taken = net.queued(listener)
    listener.close()
    assert len(taken) == 3
    for client, stream in zip(waiting, taken, strict=True):
        client.sendall(b"x")
        assert await stream.receive() == b"x"
        stream.close()
        client.close()
    empty = await net.listen(Address("127.0.0.1", 0))
    assert net.queued(empty) == []
    empty.close()


def test_process_that_starts_beside_its_predecessor_knows_it(tmp_path: Path) -> None:
    """Danger: on ceilings it would take for unused what the former process still lets in."""
    state, word = str(tmp_path / "n0"), tmp_path / "n0.running"
    assert not another(state) and word.read_text() == str(os.getpid())
    assert not another(state)  # its own word
    for text, beside in ((str(os.getppid()), True), ("4194304999", False), ("no number", False), ("", False)):
        word.write_text(text)
        assert another(state) is beside and word.read_text() == str(os.getpid())
    assert not another(str(tmp_path / "none" / "n0"))  # nowhere to leave word: as on a new machine
    clock = Clock()
    alone, second = (Core(config(), clock, Quiet(), beside) for beside in (False, True))
    assert alone.limiter.alone_from <= clock.now() < second.limiter.alone_from <= clock.now() + OVERLAP


def test_counters_are_told_as_what_they_gained() -> None:
    telemetry = Quiet()
    telemetry.count["in.requests"] += 2
    telemetry.tally()
    telemetry.tally()  # nothing new: no line
    telemetry.count["in.requests"] += 1
    telemetry.count["out.served"] += 1
    telemetry.tally()
    assert telemetry.lines == [("tally", {"in.requests": 2}), ("tally", {"in.requests": 1, "out.served": 1})]
