"""Attempts: every way in which one ends, what that says about whether it ran, and which connections serve."""

from __future__ import annotations

from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from dataclasses import dataclass

import pytest
import trio

from finchshelf.admission import interface as i
from finchshelf.node.core import Core
from finchshelf.node.dialect import Words, report
from finchshelf.node.items import Exchange, Item
from finchshelf.transport import net
from finchshelf.transport.address import Address
from finchshelf.transport.exchange import Attempt, Clock, Ended
from finchshelf.transport.servers import REST, Servers
from tests.stand_ins import (
    Got,
    Plan,
    Quiet,
    Server,
    always,
    config,
    never,
    ok,
    reset,
    status,
    trio_test,
    until,
)


class Kept(Core):
    """A core that keeps what is put on its queue, and decides nothing."""

    def put(self, item: Item) -> None:
        self.queue.append(item)


@dataclass
class Bench:
    core: Kept
    servers: Servers
    server: Server
    number: int = 0

    def start(
        self, limit: float = 5.0, address: Address | None = None, body: bytes = b"", server: str = "s0"
    ) -> Attempt:
        self.number += 1
        now = self.core.clock.now()
        request = i.Request(self.number, 0, 0, 7, now + limit)
        headers = [(b"Host", b"service.internal"), (b"X-Call-Id", b"%d" % self.number)]
        method = b"POST" if body else b"GET"
        exchange = Exchange(request, lambda answer: None, method, b"/look/0000000000000007", headers, body)
        attempt = Attempt(exchange, 0, server, address or self.server.address, limit, now)
        self.servers.start(attempt)
        return attempt

    async def end(self) -> Ended:
        await until(lambda: self.core.queue)
        ended = self.core.queue.popleft()
        assert isinstance(ended, Ended) and not self.core.queue
        return ended

    async def run(
        self, limit: float = 5.0, address: Address | None = None, body: bytes = b"", server: str = "s0"
    ) -> Ended:
        await trio.sleep(2 * REST)
        self.start(limit, address, body, server)
        return await self.end()


@asynccontextmanager
async def bench(plan: Plan) -> AsyncIterator[Bench]:
    async with trio.open_nursery() as nursery:
        server = Server(plan)
        await server.start(nursery)
        core = Kept(config(), Clock(), Quiet())
        core.addresses = {"s0": server.address}
        yield Bench(core, Servers(core, Words(config()), nursery, config().descriptors), server)
        nursery.cancel_scope.cancel()


async def break_off(got: Got) -> bytes | None:
    await got.stream.send_all(b"HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nhalf")
    return None


async def break_hard(got: Got) -> bytes | None:
    reset(got.stream)
    return None


def without_end(answer: bytes) -> Plan:
    """Says that and no more, with the connection open."""

    async def plan(got: Got) -> bytes | None:
        await got.stream.send_all(answer)
        return await never(got)

    return plan


@pytest.mark.parametrize(
    ("plan", "expected", "kept"),
    [
        (always(ok(b"yes")), i.Status.OK, True),
        (always(ok(b"yes", b"Connection: close")), i.Status.OK, False),
        (always(status(500)), i.Status.ERROR, True),
        (always(status(404)), i.Status.ERROR, True),
        (always(status(503)), i.Status.ERROR, True),
        (always(status(503, b"X-Rejected: 1")), i.Status.FULL, True),
        (always(status(504, b"X-Rejected: 1")), i.Status.FULL, True),
        (always(status(500, b"X-Rejected: 1")), i.Status.ERROR, True),
        (always(None), i.Status.RESET, False),
        (break_off, i.Status.RESET, False),
        (break_hard, i.Status.RESET, False),
        (always(b"\x00nonsense\r\n\r\n"), i.Status.RESET, False),
        # no length: it ends with its connection, and this one never does
        (without_end(b"HTTP/1.1 200 OK\r\nServer: x\r\n\r\nall or not"), i.Status.TIMEOUT, False),
        # spoilt: two lengths, one that no answer has; the connection stays open behind them
        (
            without_end(b"HTTP/1.1 200 OK\r\nContent-Length: 3\r\nContent-Length: 4\r\n\r\nyes!"),
            i.Status.RESET,
            False,
        ),
        (
            without_end(
                b"HTTP/1.1 200 OK\r\nContent-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n"
            ),
            i.Status.RESET,
            False,
        ),
        (without_end(b"HTTP/1.1 200 OK\r\nContent-Length: 3000000000\r\n\r\n"), i.Status.RESET, False),
        (without_end(b"HTTP/1.1 200 OK\r\nContent-Length: -3\r\n\r\nyes"), i.Status.RESET, False),
        (without_end(b"HTTP/1.1 102 X\r\n\r\n" * 40), i.Status.RESET, False),
        # good, with more than belongs to it
        (
            always(b"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 X\r\nA: b\r\n\r\n" + ok(b"yes")),
            i.Status.OK,
            True,
        ),
        (always(ok(b"yes") + ok(b"yes")), i.Status.OK, False),
        (always(ok(b"yes") + b"\x00\x01noise"), i.Status.OK, False),
        (
            always(ok(b"yes", b"X-Load-Report: \x01\xff=,;;", b"X-Meter: 1_0", b"X-Settled: 99999999")),
            i.Status.OK,
            True,
        ),
    ],
)
@trio_test
async def test_what_comes_back_is_what_it_means(plan: Plan, expected: i.Status, kept: bool) -> None:
    async with bench(plan) as b:
        ended = await b.run()
        assert ended.status is expected
        assert (ended.answer is not None) is (expected is i.Status.OK)
        assert ended.answer is None or ended.answer.body == b"yes"
        assert (ended.true_units, ended.load or {}) == (0, {}) and ended.used in (0, 1)
        assert sum(map(len, b.servers.idle.values())) == (1 if kept else 0)
        assert b.servers.open == (1 if kept else 0)


@trio_test
async def test_nothing_in_time_is_a_time_out_and_ends_the_connection() -> None:
    async with bench(never) as b:
        ended = await b.run(limit=0.1)
        assert ended.status is i.Status.TIMEOUT and b.servers.open == 0
        assert await b.server.open[0].receive_some() == b""


@trio_test
async def test_cancelled_attempt_ends_its_connection() -> None:
    async with bench(never) as b:
        attempt = b.start()
        await until(lambda: b.server.got)
        attempt.cancel()
        assert (await b.end()).status is i.Status.CANCELLED
        assert b.servers.open == 0


@trio_test
async def test_cancelled_before_it_began_sends_nothing() -> None:
    async with bench(always(ok())) as b:
        b.start().cancel()
        assert (await b.end()).status is i.Status.CANCELLED
        assert b.server.connections == 0


@trio_test
async def test_refused_connection_never_ran() -> None:
    async with bench(always(ok())) as b:
        await b.server.refuse()
        assert (await b.run()).status is i.Status.UNREACHABLE
        assert b.servers.open == 0


@trio_test
async def test_connection_that_never_comes_up_never_ran(monkeypatch: pytest.MonkeyPatch) -> None:
    async def hang(address: Address) -> net.Stream:
        await trio.sleep_forever()
        raise AssertionError

    monkeypatch.setattr(net, "connect", hang)
    async with bench(always(ok())) as b:
        began = trio.current_time()
        b.start()
        await until(lambda: b.servers.open == 1)  # one that is coming up holds a descriptor too
        assert (await b.end()).status is i.Status.UNREACHABLE
        assert b.servers.open == 0
        assert 0.2 < trio.current_time() - began < 2.0
        assert (await b.run(limit=0.05)).status is i.Status.UNREACHABLE


@trio_test
async def test_break_before_the_last_byte_never_ran(monkeypatch: pytest.MonkeyPatch) -> None:
    def broken(self: net.Stream, data: bytes) -> int:
        raise BrokenPipeError

    async with bench(always(ok())) as b:
        monkeypatch.setattr(net.Stream, "send_now", broken)
        assert (await b.run()).status is i.Status.UNREACHABLE
        assert b.servers.open == 0 and not b.server.got


@trio_test
async def test_limit_before_the_last_byte_never_ran(monkeypatch: pytest.MonkeyPatch) -> None:
    async def stuck(self: net.Stream, data: bytes) -> None:
        await trio.sleep_forever()

    async with bench(always(ok())) as b:
        monkeypatch.setattr(net.Stream, "send", stuck)
        assert (await b.run(limit=0.1)).status is i.Status.UNREACHABLE


@trio_test
async def test_send_decided_long_ago_is_not_begun() -> None:
    """After a halt the server may drain by now: what was decided before must be decided anew."""
    async with bench(always(ok())) as b:
        attempt = b.start()
        attempt.issued -= 1.0
        assert (await b.end()).status is i.Status.UNREACHABLE
        assert not b.server.got


@trio_test
async def test_connection_used_last_is_used_first() -> None:
    gate = trio.Event()

    async def together(got: Got) -> bytes | None:
        await gate.wait()
        return ok()

    async with bench(together) as b:
        b.start()
        b.start()
        await until(lambda: len(b.server.got) == 2)
        gate.set()
        await until(lambda: len(b.core.queue) == 2)
        last = b.servers.idle["s0"][-1]
        b.core.queue.clear()
        for _ in range(3):
            assert (await b.run()).status is i.Status.OK
            assert b.servers.idle["s0"][-1] is last
        assert b.server.connections == 2


@trio_test
async def test_idle_connection_that_the_server_closed_is_not_used() -> None:
    async def answer_and_close(got: Got) -> bytes | None:
        await got.stream.send_all(ok())
        return None if got.connection == 0 else await never(got)

    async with bench(answer_and_close) as b:
        assert (await b.run()).status is i.Status.OK
        idle = b.servers.idle["s0"][0]
        await until(lambda: not idle.stream.silent())
        assert (await b.run()).status is i.Status.OK
        assert b.server.connections == 2 and b.servers.open == 1


@trio_test
async def test_idle_connection_near_its_time_is_not_used() -> None:
    async with bench(always(ok())) as b:
        await b.run()
        b.servers.idle["s0"][0].used -= b.servers.most_idle
        await b.run()
        assert b.server.connections == 2 and b.servers.open == 1
        assert b.servers.most_idle <= 2.0  # the settings say 4 s


@trio_test
async def test_server_that_drains_loses_its_idle_connections() -> None:
    async with bench(always(ok())) as b:
        await b.run()
        b.servers.forget("s0")
        assert b.servers.open == 0 and not b.servers.idle


@trio_test
async def test_descriptors_are_kept_by_closing_the_oldest_idle() -> None:
    async with bench(always(ok())) as b:
        other = Server(always(ok()))
        await other.start(b.servers.nursery)
        b.servers.most = 1
        await b.run()
        b.core.addresses["s1"] = other.address
        await b.run(address=other.address, server="s1")
        assert b.servers.open == 1 and "s0" not in {a for a, s in b.servers.idle.items() if s}


@trio_test
async def test_sweep_retires_what_has_been_idle_for_long() -> None:
    async with bench(always(ok())) as b:
        await b.run()
        b.servers.nursery.start_soon(b.servers.sweep)
        b.servers.idle["s0"][0].used -= b.servers.most_idle
        await until(lambda: b.servers.open == 0)


@trio_test
async def test_probe_brings_a_load_report() -> None:
    async def load(got: Got) -> bytes | None:
        return ok(b"TEXT inflight=7, queue=2, util=0.61") if got.target == b"/load" else status(404)

    async with bench(load) as b:
        b.servers.probe("s0", b.server.address)
        await until(lambda: b.core.queue)
        probed = b.core.queue.popleft()
        assert isinstance(probed, i.Probed) and probed.status is i.Status.OK
        assert probed.load == {"held": 7.0, "queued": 2.0, "busy": 0.61}
        await b.server.refuse()
        b.servers.forget("s0")
        b.servers.probe("s0", b.server.address)
        await until(lambda: b.core.queue)
        probed = b.core.queue.popleft()
        assert isinstance(probed, i.Probed) and probed.status is i.Status.UNREACHABLE


def test_load_report_skips_what_nobody_knows() -> None:
    assert report(b"TEXT inflight=3, colour=red, queue=x, eps=0.5") == {"held": 3.0, "failed": 0.5}
    assert report(b"") == {}
    odd = b"inflight=nan, queue=inf, util=1_0, qps=-1, eps=1e99, latency_ms=2.5e-3"
    assert report(odd) == {"service": 0.0025}


@trio_test
async def test_second_copy_that_comes_a_moment_later_is_not_taken_for_the_next_answer() -> None:
    async def twice(got: Got) -> bytes | None:
        await got.stream.send_all(ok(b"%d" % got.connection))
        await trio.sleep(REST / 3)
        return ok(b"%d" % got.connection)

    async with bench(twice) as b:
        assert (await b.run()).status is i.Status.OK
        b.start()  # at once: the copy is still on its way
        ended = await b.end()
        assert ended.answer is not None and ended.answer.body == b"1"


@trio_test
async def test_new_server_at_the_address_of_one_that_has_gone_inherits_no_connection() -> None:
    gate = trio.Event()

    async def plan(got: Got) -> bytes | None:
        if got.body:
            await gate.wait()
        return ok()

    async with bench(plan) as b:
        await b.run()
        b.start(body=b"held")
        await until(lambda: len(b.server.got) == 2)
        before = b.server.connections
        b.core.addresses = {"s1": b.server.address}
        b.servers.forget("s0")
        gate.set()
        assert (await b.end()).status is i.Status.OK
        assert b.servers.open == 0 and not b.servers.idle
        await b.run(server="s1")
        assert b.server.connections == before + 1
