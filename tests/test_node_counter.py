"""The counter's side: pipelined calls, late answers, failures by what they say about the number."""

from __future__ import annotations

import os
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from dataclasses import dataclass

import pytest
import trio

from finchshelf.admission import interface as i
from finchshelf.node import counter as module
from finchshelf.node.core import Core
from finchshelf.node.counter import Counter, number
from finchshelf.transport import net
from finchshelf.transport.exchange import Clock
from tests import stand_ins
from tests.stand_ins import Quiet, Say, config, leaping, trio_test, until


@dataclass
class Bench:
    core: Core
    counter: Counter
    service: stand_ins.Counter

    def call(self, name: int, amount: float = 1.0) -> None:
        self.counter.call(name, amount, 4.0, self.core.clock.now())
        self.counter.flush()

    async def counted(self, many: int = 1) -> list[tuple[int, i.Status, float]]:
        await until(lambda: len(self.core.queue) >= many)
        events = list(self.core.queue)
        self.core.queue.clear()
        assert len(events) == many
        return [(e.name, e.status, e.total) for e in events if isinstance(e, i.Counted)]


@asynccontextmanager
async def bench(say: Say | None = None) -> AsyncIterator[Bench]:
    async with trio.open_nursery() as nursery:
        service = stand_ins.Counter(say)
        await service.start(nursery)
        settings = config(counter=service.address)
        core = Core(settings, Clock(), Quiet())
        counter = Counter(core, settings, service.address, nursery)
        await until(lambda: all(line.stream for line in counter.lines))
        yield Bench(core, counter, service)
        nursery.cancel_scope.cancel()


@trio_test
async def test_calls_add_up_and_a_name_keeps_its_line() -> None:
    async with bench() as b:
        for _ in range(3):
            b.call(1 << 40)
            b.call((1 << 40) + 2, -2.5)
        got = await b.counted(6)
        assert [total for name, _, total in got if name == 1 << 40] == [1.0, 2.0, 3.0]
        assert [total for name, _, total in got if name != 1 << 40] == [-2.5, -5.0, -7.5]
        assert all(status is i.Status.OK for _, status, _ in got)
        lines = {(text.split()[1], line) for line, text in b.service.of}
        assert len(lines) == len({name for name, _ in lines}) == 2
        assert f"tally {1 << 40} 1 4000" in b.service.calls


def test_amounts_are_decimal_without_exponent() -> None:
    assert [number(x) for x in (1.0, -2.5, 0.0, 123456789.0, 0.000001)] == [
        b"1",
        b"-2.5",
        b"0",
        b"123456789",
        b"0.000001",
    ]


@pytest.mark.parametrize(
    ("answer", "expected"),
    [
        (b"busy\r\n", i.Status.FULL),
        (b"error\r\n", i.Status.ERROR),
        (b"ok 5e0\r\n", i.Status.OK),
        (b"ok much\r\n", i.Status.TIMEOUT),
        (b"ok nan\r\n", i.Status.TIMEOUT),
        (b"hello\r\n", i.Status.TIMEOUT),
        (None, i.Status.TIMEOUT),
    ],
)
@trio_test
async def test_every_answer_is_what_it_means(answer: bytes | None, expected: i.Status) -> None:
    async def say(_: str) -> bytes | None:
        return answer

    async with bench(say) as b:
        b.call(4)
        assert await b.counted() == [(4, expected, 5.0 if expected is i.Status.OK else 0.0)]


@trio_test
async def test_refused_connection_has_added_nothing() -> None:
    async with bench() as b:
        await b.service.die()
        await until(lambda: not any(line.stream for line in b.counter.lines))
        b.call(4)
        b.call(4)
        assert await b.counted(2) == [(4, i.Status.UNREACHABLE, 0.0)] * 2
        assert not b.counter.up


@trio_test
async def test_late_answer_is_not_taken_for_the_next() -> None:
    gate = trio.Event()
    totals = iter((b"ok 1\r\n", b"ok 2\r\n"))

    async def say(_: str) -> bytes | None:
        await gate.wait()
        return next(totals)

    async with bench(say) as b:
        b.call(4)
        await until(lambda: b.service.calls)
        b.counter.expire(b.core.clock.now() + 1.0)
        assert await b.counted() == [(4, i.Status.TIMEOUT, 0.0)]
        b.call(4)
        gate.set()
        assert await b.counted() == [(4, i.Status.OK, 2.0)]
        assert b.counter.count["counter.late"] == 1


@trio_test
async def test_call_never_written_has_added_nothing() -> None:
    async with bench() as b:
        b.counter.call(4, 1.0, 4.0, b.core.clock.now())
        b.counter.expire(b.core.clock.now() + 1.0)
        assert await b.counted() == [(4, i.Status.UNREACHABLE, 0.0)]
        b.counter.flush()
        b.call(4)
        assert await b.counted() == [(4, i.Status.OK, 1.0)]


@trio_test
async def test_expiry_is_that_of_the_oldest_call_out() -> None:
    async def say(_: str) -> bytes | None:
        await trio.sleep_forever()
        return None

    async with bench(say) as b:
        assert b.counter.next_expiry() == float("inf")
        now = b.core.clock.now()
        b.call(4)
        assert now + 0.4 <= b.counter.next_expiry() <= now + 0.6


@trio_test
async def test_silent_line_is_replaced(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(module, "SILENT", 0.1)
    monkeypatch.setattr(module, "LOOK", 0.05)

    async def first_is_silent(text: str) -> bytes | None:
        if len(b.service.calls) == 1:
            await trio.sleep_forever()
        return b"ok 7\r\n"

    async with bench(first_is_silent) as b:
        b.call(4)
        assert await b.counted() == [(4, i.Status.TIMEOUT, 0.0)]
        b.call(4)
        assert await b.counted() == [(4, i.Status.OK, 7.0)]
        assert b.counter.count["counter.silent"] == 1


@trio_test
async def test_idle_lines_are_kept_up(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(module, "PING_AFTER", 0.05)
    monkeypatch.setattr(module, "LOOK", 0.02)
    async with bench() as b:
        await until(lambda: b.service.calls.count("ping") > 3 * module.LINES)
        b.call(4)
        assert await b.counted() == [(4, i.Status.OK, 1.0)]
        assert b.service.connections == module.LINES


@trio_test
async def test_calls_that_the_kernel_takes_in_parts_all_arrive(monkeypatch: pytest.MonkeyPatch) -> None:
    async with bench() as b:
        whole = net.Stream.send_now
        monkeypatch.setattr(net.Stream, "send_now", lambda self, data: whole(self, data[:7]))
        for _ in range(20):
            b.call(4)
        got = await b.counted(20)
        assert [total for _, _, total in got] == [float(n) for n in range(1, 21)]


@trio_test
async def test_calls_of_a_name_end_in_order_when_the_counter_moves() -> None:
    gate = trio.Event()

    async def slow(_: str) -> bytes | None:
        await gate.wait()
        return b"ok 7\r\n"

    async with bench(slow) as b, trio.open_nursery() as nursery:
        moved, third = stand_ins.Counter(), stand_ins.Counter()
        await moved.start(nursery)
        await third.start(nursery)
        b.call(2)
        b.call(4)
        await until(lambda: len(b.service.calls) == 2)
        b.counter.move(moved.address)
        await until(lambda: moved.connections == module.LINES)
        b.call(2)
        b.call(6)  # nothing older is out on that line
        assert await b.counted() == [(6, i.Status.OK, 1.0)]
        assert len(moved.calls) == 1
        b.counter.move(third.address)  # and again, before the first call has its answer
        await until(lambda: third.connections == module.LINES and not moved.open)
        gate.set()
        got = await b.counted(3)
        assert [one for one in got if one[0] == 2] == [(2, i.Status.OK, 7.0), (2, i.Status.OK, 1.0)]
        await until(lambda: not b.service.open)
        assert not b.counter.retiring and third.calls == ["tally 2 1 4000"]
        nursery.cancel_scope.cancel()


@trio_test
async def test_calls_to_a_former_address_that_says_nothing_end_by_their_time() -> None:
    async def never(_: str) -> bytes | None:
        await trio.sleep_forever()
        return None

    async with bench(never) as b, trio.open_nursery() as nursery:
        moved = stand_ins.Counter()
        await moved.start(nursery)
        b.call(2)
        due = b.counter.next_expiry()
        await until(lambda: b.service.calls)
        b.counter.move(moved.address)
        await until(lambda: moved.connections == module.LINES)
        b.call(2)
        assert b.counter.next_expiry() == due and not b.core.queue
        b.counter.expire(due)  # its time and no later: a test that stood still would end both calls
        assert (await b.counted(2)) == [(2, i.Status.TIMEOUT, 0.0), (2, i.Status.OK, 1.0)]
        nursery.cancel_scope.cancel()


@leaping
async def test_line_that_hangs_is_replaced_after_a_few_waits_of_a_call() -> None:
    async def hang(text: str) -> bytes | None:
        if text.startswith("tally 2 "):
            await trio.sleep_forever()
        return b"ok 1\r\n"

    async with bench(hang) as b:
        b.counter.wait = 0.05
        b.call(2)
        began = trio.current_time()
        await until(lambda: b.service.connections == module.LINES + 1 or b.counter.count["counter.silent"])
        assert 0.2 < trio.current_time() - began < 0.8


@trio_test
async def test_stream_that_was_hung_up_on_ends_a_wait_that_begins_after_it() -> None:
    async with bench() as b:
        stream = b.counter.lines[0].stream
        assert stream is not None
        stream.close()
        with pytest.raises(trio.ClosedResourceError):
            await stream.receive()


@trio_test
async def test_what_lay_on_a_line_before_a_call_is_not_its_answer() -> None:
    async with bench() as b:
        b.call(4)
        await b.counted()
        for stream in b.service.open:  # no turn of the loop comes between this and the next call
            os.write(stream.socket.fileno(), b"ok 77\r\n")
        b.call(4)
        assert await b.counted() == [(4, i.Status.UNREACHABLE, 0.0)] and b.counter.count["counter.unasked"]
        b.call(4)
        assert await b.counted() == [(4, i.Status.OK, 2.0)]  # the one in between was never written


@pytest.mark.parametrize("at", [0, 5, 9])
@trio_test
async def test_what_comes_behind_no_answer_is_none_however_it_comes(at: int) -> None:
    gate = trio.Event()

    async def say(text: str) -> bytes | None:
        if len(b.service.calls) < 2:
            return b""
        for part in (b"what\r\nok 7\r\n"[:at], b"what\r\nok 7\r\n"[at:]):
            for stream in b.service.open:
                if part:
                    await stream.send_all(part)
            await trio.sleep(0.02)
        await gate.wait()
        return b""

    async with bench(say) as b:
        b.call(4)
        b.call(4)
        assert await b.counted(2) == [(4, i.Status.TIMEOUT, 0.0)] * 2
        gate.set()
