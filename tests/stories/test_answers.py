"""Stories of answers and calls: none reaches another's caller, and what may run once goes out once.

Owns the seeds that are played here; `python -m benchmarks.fuzz_readers` plays more. A failure prints its
seed.
"""

from __future__ import annotations

import math
from collections import Counter
from collections.abc import Callable
from contextlib import nullcontext, suppress
from typing import Any
from unittest import mock

import h11
import pytest
import trio

from finchshelf.admission.outcome import Status
from finchshelf.configuration.document import Configuration, Limits
from finchshelf.dataplane.choice import Choice
from finchshelf.dataplane.dialect import Reader, Request, Words
from finchshelf.membership.records import GONE, Server
from finchshelf.simulation.asking import Counts, framed
from finchshelf.simulation.crossing import play
from finchshelf.simulation.readers import READERS, fuzz
from finchshelf.simulation.slips import GUARDS, without
from finchshelf.transport import frames, net
from finchshelf.transport.address import Address
from finchshelf.transport.bodies import Body, Room
from finchshelf.transport.delivery import Begins, Delivery
from finchshelf.transport.exchange import Answer, Attempt
from finchshelf.transport.reading import BadRequest
from finchshelf.transport.replies import Another, Broken, Reply
from finchshelf.transport.servers import Servers
from finchshelf.transport.upstream import Connection, Upload
from tests.stand_ins import Client, Got, always, ok, status, trio_test, until
from tests.test_transport import GET, world

ADDRESS = Address("127.0.0.1", 80)
PLAYED: dict[str, Callable[[int], list[str]]] = {
    **dict.fromkeys(GUARDS, lambda seed: play(seed).verdict()),
    "life": lambda seed: Counts(seed).broken,
    "source": lambda seed: Counts(seed).broken,
}
ALONE = ("unsent", "pending", "line")  # each with a story of its own below


@pytest.mark.parametrize("seed", range(24))
def test_given_streams_cut_at_any_byte_and_answers_late_doubled_or_lost_then_no_rule_breaks(
    seed: int,
) -> None:
    broken = play(seed).verdict()
    assert not broken, f"seed {seed}: {broken}"


def test_given_datagrams_in_any_order_over_restarts_then_each_answer_is_its_askers() -> None:
    refused = stale = strange = 0
    for seed in range(60):
        day = Counts(seed)
        assert not day.broken, f"seed {seed}: {day.broken}"
        refused, stale, strange = refused + day.refused, stale + day.stale, strange + day.strange
    assert refused > 1000 and stale > 500 and strange > 50


def test_given_limiters_of_an_older_text_among_them_when_they_ask_then_each_answer_is_its_askers() -> None:
    mixed = stale = 0
    for seed in range(60):
        day = Counts(seed, 1 + seed % 2)
        assert not day.broken, f"seed {seed}: {day.broken}"
        mixed, stale = mixed + day.mixed, stale + day.stale
    assert mixed > 200 and stale > 200


def test_given_frames_late_doubled_and_cut_off_then_each_question_gets_its_own_answer_or_none() -> None:
    for seed in range(12):
        day = framed(seed)
        assert not day.record.broken, f"seed {seed}: {day.record.broken}"
        assert day.record.seen["answered"] > 5 and day.record.seen["unanswered"] > 5


@pytest.mark.usefixtures("invariants_may_break")
@pytest.mark.parametrize("guard", [one for one in GUARDS if one not in ALONE])
def test_given_one_guard_is_dropped_then_the_break_is_found(guard: str) -> None:
    with without(guard):
        assert any(PLAYED[guard](seed) for seed in range(80)), GUARDS[guard][0]


@pytest.mark.parametrize("name", READERS)
def test_given_recorded_bytes_mutated_then_a_reader_makes_the_same_of_them_however_they_come(
    name: str,
) -> None:
    for seed in range(120):
        wrong = fuzz(name, seed)
        assert not wrong, wrong


# ---- frames ----


@pytest.mark.parametrize("guard", ["", "line"])
@trio_test
async def test_given_a_former_connection_brings_the_number_of_a_question_then_it_is_not_its_answer(
    guard: str,
) -> None:
    link, old, new = frames.Link(ADDRESS, mock.Mock()), mock.Mock(), mock.Mock()
    event, slot = trio.Event(), list[Any]()
    link.frames, link.waiting[1] = new, frames.Waiting(new, event, slot, trio.CancelScope(), 0.0)
    with without(guard) if guard else nullcontext():
        link.take(old, [1, {"of": "another"}])
        assert bool(slot) is bool(guard)
    link.take(new, [1, {"of": "mine"}])
    link.take(new, [1, {"of": "a copy"}])
    assert slot[-1]["of"] == "mine" or guard
    # And what ends a former connection is no end to what waits on the one that took its place
    waiting = trio.Event()
    link.waiting[2] = frames.Waiting(new, waiting, [], trio.CancelScope(), 0.0)
    link.drop(old)
    assert not waiting.is_set() and link.frames is new
    for odd in ([True, {}], [1.0, {}], ["1", {}], [1, None]):
        with pytest.raises(ValueError):
            link.take(new, odd)


# ---- to servers ----


class Stalled:
    """A stream whose kernel takes nothing more; `come`: what a server says meanwhile."""

    def __init__(self, come: bytes) -> None:
        self.come, self.taken = come, b""
        self.full = False

    async def send(self, data: bytes, note: Callable[[int], None] = net.unnoted) -> None:
        if self.full and data:
            await trio.sleep_forever()
        self.taken += data
        note(len(data))

    async def receive(self) -> bytes:
        await trio.lowlevel.checkpoint()
        data, self.come = self.come, b""
        return data

    def silent(self) -> bool:
        return not self.come


@pytest.mark.parametrize("guard", ["", "unsent"])
@trio_test
async def test_given_an_answer_before_the_last_chunk_is_out_then_its_connection_is_not_kept(
    guard: str,
) -> None:
    stream = Stalled(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
    connection = Connection("s", ADDRESS, stream, 0.0)  # type: ignore[arg-type]
    chunked = h11.Request(
        method="POST", target="/", headers=[("Host", "x"), ("Transfer-Encoding", "chunked")]
    )
    await connection.part(chunked)
    await connection.part(h11.Data(data=b"body"))
    stream.full = True
    async with trio.open_nursery() as nursery:
        nursery.start_soon(connection.part, h11.EndOfMessage())
        reply = await connection.read()
        nursery.cancel_scope.cancel()
    assert reply.status == 200 and not stream.taken.endswith(b"0\r\n\r\n")
    with without(guard) if guard else nullcontext():
        assert connection.renew() is bool(guard)


class Breaks(Stalled):
    """A stream that breaks when nothing more of a body goes out, or its last chunk."""

    async def send(self, data: bytes, note: Callable[[int], None] = net.unnoted) -> None:
        if data in (b"", b"0\r\n\r\n"):
            raise BrokenPipeError
        self.taken += data
        note(len(data))


@pytest.mark.parametrize(("length", "size"), [(100, 100), (None, 100), (100, 60)])
@trio_test
async def test_given_an_end_right_behind_a_bodys_last_byte_then_it_may_have_run(
    length: int | None, size: int
) -> None:
    body, upload = Body(Room(1 << 20), b"x" * size, length), Upload()
    if size == 100:
        body.end()
    else:
        body.cut()
    connection = Connection("s", ADDRESS, Breaks(b""), 0.0)  # type: ignore[arg-type]
    connection.carry(Delivery(Begins.WHOLE))
    framing = ("Transfer-Encoding", "chunked") if length is None else ("Content-Length", "100")
    await connection.part(h11.Request(method="POST", target="/", headers=[("Host", "x"), framing]))
    body.reader = upload
    servers = Servers(mock.Mock(), Words(), mock.Mock(), 100)
    await servers.upload(connection, mock.Mock(exchange=mock.Mock(stream=body), scope=None), upload)
    assert connection.delivery.may_have_run is (size == 100)


@trio_test
async def test_given_a_server_that_speaks_before_it_is_asked_then_its_word_is_no_answer() -> None:
    async def first(listener: trio.SocketListener) -> None:
        stream = await listener.accept()
        await stream.send_all(b"HTTP/1.1 421 X\r\nContent-Length: 0\r\n\r\n")
        with suppress(trio.BrokenResourceError):
            while data := await stream.receive_some():
                came.append(data)

    came = list[bytes]()
    async with trio.open_nursery() as nursery:
        (listener,) = await trio.open_tcp_listeners(0, host="127.0.0.1")
        nursery.start_soon(first, listener)
        core = mock.Mock(put=mock.Mock())
        core.clock.now = trio.current_time
        core.telemetry.count = Counter()
        servers = Servers(core, Words(), nursery, 100)
        connect = net.connect

        async def slowly(address: Address) -> net.Stream:
            stream = await connect(address)
            await stream.readable()
            return stream

        name = listener.socket.getsockname()
        asked = request(True).exchange
        asked.headers, asked.until = [(b"Host", b"x")], trio.current_time() + 5.0
        attempt = Attempt(asked, 1, "s", Address(name[0], name[1]), 5.0, trio.current_time())
        with mock.patch.object(net, "connect", slowly):
            await servers.run(attempt)
        await trio.sleep(0.01)
        assert core.put.call_args.args[0].status is Status.UNREACHABLE and not came
        nursery.cancel_scope.cancel()


@trio_test
async def test_given_a_server_that_switches_to_what_is_no_http_then_the_read_ends() -> None:
    stream = Stalled(b"HTTP/1.1 200 OK\r\n\r\n")
    connection = Connection("s", ADDRESS, stream, 0.0)  # type: ignore[arg-type]
    await connection.write(h11.Request(method="CONNECT", target="x:1", headers=[("Host", "x")]), b"")
    with pytest.raises(Broken):
        await connection.read()
    with pytest.raises(BadRequest):
        Reader(Configuration(0, (), {}, {}, Limits())).head(
            h11.Request(method="CONNECT", target="x:1", headers=[("Host", "x")])
        )


def test_given_an_id_again_or_another_address_then_no_kept_connection_carries_it() -> None:
    core = mock.Mock(addresses={"s": ADDRESS})
    core.clock.now = lambda: 10.0
    core.telemetry.count = dict.fromkeys(("servers.reused",), 0)
    servers = Servers(core, Words(), mock.Mock(), 100)

    def kept() -> Connection:
        made = Connection("s", ADDRESS, Stalled(b""), 9.0)  # type: ignore[arg-type]
        made.stream.close = mock.Mock()  # type: ignore[method-assign]
        made.carry(Delivery(Begins.WHOLE), b"id")
        servers.idle["s"] = [made]
        return made

    one = kept()
    assert servers.take("s", ADDRESS, math.inf, b"id") is None and servers.idle["s"] == [one]
    assert servers.take("s", ADDRESS, math.inf, b"other") is one
    kept()
    assert servers.take("s", Address("127.0.0.2", 80)) is None and not servers.idle["s"]


def request(once: bool) -> Any:
    one = Request(
        1, math.inf, mock.Mock(), b"GET", b"/", [], b"", mark=b"mine", route=mock.Mock(repeatable=not once)
    )
    return mock.Mock(exchange=one, server="s")


def test_given_an_answer_then_its_names_decide_whose_it_is_and_what_it_promises() -> None:
    words, mine = Words(), (b"trial-id", b"mine")

    def read(code: int, *headers: tuple[bytes, bytes], once: bool = True) -> Any:
        ended = mock.Mock(used=0, answer=None)
        words.read(Reply(code, [*headers], b""), request(once), ended)
        return ended

    for headers, error in (
        ([(b"trial-id", b"other")], Another),
        ([], Broken),
        ([mine, mine], Broken),
        ([mine, (b"trial-id", b"other")], Broken),
        ([(b"server-id", b"s")], Another),
    ):
        with pytest.raises(error):
            read(200, (b"server-seal", b"s"), *headers)
    for code in (408, 429, 503):
        assert read(code, mine).status is Status.ERROR and read(code, mine).answer is None
        assert read(code, mine, (b"not-executed", b"1")).status is Status.FULL
    assert read(503, mine, once=False).answer.status == 503
    assert read(421).status is Status.FULL and read(500, mine).answer.status == 500


def test_given_a_probes_answer_then_it_is_of_the_server_that_was_asked() -> None:
    words = Words()
    assert words.probed(Reply(200, [(b"server-id", b"s")], b""), "s")[0] is Status.OK
    assert words.probed(Reply(503, [], b""), "s")[0] is Status.ERROR
    with pytest.raises(Broken):
        words.probed(Reply(200, [(b"server-id", b"other")], b""), "s")
    with pytest.raises(Another):
        words.probed(Reply(200, [(b"trial-id", b"t")], b""), "s")


@trio_test
async def test_given_a_body_written_whole_and_words_that_fail_then_it_may_have_run() -> None:
    async with world(always(status(200))) as w:
        w.servers.dialect.read = mock.Mock(side_effect=ZeroDivisionError)  # type: ignore[method-assign]
        body = b"x" * 90_000
        head = b"POST /any HTTP/1.1\r\nHost: x\r\nContent-Length: %d\r\n\r\n" % len(body)
        await (await w.client()).ask(head + body)
        await until(lambda: w.core.ended)
        assert w.core.ended[0].status is Status.RESET


def test_given_a_record_under_another_service_then_its_server_is_no_longer_the_former_ones() -> None:
    choice = Choice("z", mock.Mock())
    choice.put(Server("s", "a:1", "alpha", "z", 1, 1))
    choice.put(Server("s", "a:1", "beta", "z", 1, 2))
    assert not choice.services["alpha"] and len(choice.services["beta"]) == 1
    choice.put(Server("s", "a:1", "beta", "z", 1, 3, GONE))
    assert not choice.services["beta"]


# ---- to clients ----


@trio_test
async def test_given_an_answer_again_after_its_turn_then_the_next_request_does_not_get_it() -> None:
    async with world(always(ok(b"right"))) as w:
        client = await w.client()
        assert (await client.ask(GET)).body == b"right"
        first = w.core.ended[0].attempt.exchange
        put, held = w.core.put, list[Any]()
        w.core.put = held.append  # type: ignore[method-assign, assignment]
        await client.send(GET)
        await until(lambda: held)
        first.reply(Answer(200, [(b"Content-Length", b"5")], b"wrong"))
        assert w.core.telemetry.count["clients.late"] == 1
        w.core.put = put  # type: ignore[method-assign]
        put(held[0])
        assert (await client.receive()).body == b"right"


@trio_test
async def test_given_a_large_answer_is_cut_then_an_old_client_does_not_take_it_for_whole() -> None:
    async def cut(got: Got) -> bytes | None:
        await got.stream.send_all(
            b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n11170\r\n"
            + b"x" * 70_000
            + b"\r\n5\r\nhal"
        )
        return None

    async with world(cut) as w:
        client = Client(await trio.open_tcp_stream(*w.address))
        await client.send(GET.replace(b"HTTP/1.1", b"HTTP/1.0"))
        with pytest.raises(trio.BrokenResourceError):
            while await client.stream.receive_some():
                pass


@pytest.mark.parametrize("guard", ["", "pending"])
@trio_test
async def test_given_a_kernel_that_takes_half_of_a_continue_then_the_answer_goes_out_behind_it(
    guard: str,
) -> None:
    sound, full = net.Stream.send_now, [True]

    def in_parts(self: net.Stream, data: bytes) -> int:
        if full and data.startswith(b"P/1.1 100"):
            return 0
        return sound(self, data[:3] if data.startswith(b"HTTP/1.1 100") else data)

    async def later(_: object) -> None:
        await trio.sleep(0.02)

    expect = b"PUT /any HTTP/1.1\r\nHost: x\r\nContent-Length: 2\r\nExpect: 100-continue\r\n\r\n"
    async with world(always(ok(b"here"))) as w:
        with (
            mock.patch.object(net.Stream, "send_now", in_parts),
            mock.patch.object(trio.lowlevel, "wait_writable", later),
            without(guard) if guard else nullcontext(),
        ):
            stream = await trio.open_tcp_stream(*w.address)
            await stream.send_all(expect)
            await until(lambda: any(one.writing for one in w.clients.connections))
            connection = next(iter(w.clients.connections))
            connection.reply(Answer(417, [(b"Content-Length", b"0")]), True)
            await trio.sleep(0.01)
            full.clear()
            data = b""
            with trio.move_on_after(1.0):
                while part := await stream.receive_some():
                    data += part
        whole = data.startswith(b"HTTP/1.1 100 \r\n\r\nHTTP/1.1 417 ")
        assert whole is not bool(guard), data
