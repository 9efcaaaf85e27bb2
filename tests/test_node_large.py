"""Less room: large answers streamed in every framing, cut ones not served as whole, slow senders heard."""

from __future__ import annotations

import hashlib

import trio

from tests.stand_ins import Got, Plan, always, call, leaping, ok, trio_test, until, world

BIG = 32 * 1024 * 1024


def body_of(size: int) -> bytes:
    return (hashlib.sha256(b"piece").digest() * (size // 32 + 1))[:size]


def written(head: bytes, body: bytes, done: list[bool], cut: int = 0) -> Plan:
    """Writes the answer in pieces of 64 KiB; `cut`: ends the connection after so many bytes of the body."""

    async def plan(got: Got) -> bytes | None:
        await got.stream.send_all(head)
        end = cut or len(body)
        for place in range(0, end, 65536):
            await got.stream.send_all(body[place : min(end, place + 65536)])
        done.append(True)
        return None if cut or b"close" in head else b""

    return plan


async def read_answer(stream: trio.SocketStream) -> tuple[bytes, bytes, bool]:
    """Head, body and whether the connection ended before the answer did (a body of a given length)."""
    got = b""
    while b"\r\n\r\n" not in got:
        got += await stream.receive_some()
    head, _, begun = got.partition(b"\r\n\r\n")
    body = bytearray(begun)  # 32 MiB of bytes, copied for each piece that comes, would take seconds
    length = int(head.lower().partition(b"content-length: ")[2].partition(b"\r\n")[0] or -1)
    while len(body) != length:
        data = await stream.receive_some()
        if not data:
            return head, bytes(body), True
        body += data
    return head, bytes(body), False


@leaping
async def test_a_large_answer_goes_on_as_the_client_takes_it() -> None:
    body, done = body_of(BIG), list[bool]()
    async with world(written(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % BIG, body, done)) as w:
        stream = await trio.open_tcp_stream(*w.node.address)
        await stream.send_all(call())
        first = await stream.receive_some()
        assert first.startswith(b"HTTP/1.1 200")
        await trio.sleep(0.5)
        assert not done  # the node reads the server only as fast as the client takes it
        head, rest, cut = await read_answer_after(stream, first)
        assert not cut and rest == body and done
        assert w.telemetry.count["servers.large"] == 1
        await stream.send_all(call())  # the connection goes on
        assert (await read_answer(stream))[1] == body


async def read_answer_after(stream: trio.SocketStream, first: bytes) -> tuple[bytes, bytes, bool]:
    class Ahead:
        def __init__(self) -> None:
            self.left = first

        async def receive_some(self) -> bytes:
            if self.left:
                data, self.left = self.left, b""
                return data
            return await stream.receive_some()

    return await read_answer(Ahead())  # type: ignore[arg-type]


@trio_test
async def test_chunked_and_close_ended_answers_are_served_whole() -> None:
    body, done = body_of(300_000), list[bool]()
    chunked = (
        b"".join(
            b"%x\r\n%s\r\n" % (len(body[n : n + 70000]), body[n : n + 70000])
            for n in range(0, len(body), 70000)
        )
        + b"0\r\n\r\n"
    )
    plans = [
        written(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", chunked, done),
        written(b"HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n", body, done),
    ]
    for plan in plans:
        async with world(plan) as w:
            client = await w.client()
            assert (await client.ask(call())).body == body


@trio_test
async def test_a_large_answer_that_is_cut_is_not_served_as_whole() -> None:
    body, done = body_of(1_000_000), list[bool]()
    head = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(body)
    async with world(written(head, body, done, cut=300_000)) as w:
        stream = await trio.open_tcp_stream(*w.node.address)
        await stream.send_all(call())
        _, got, cut = await read_answer(stream)
        assert cut and len(got) < len(body)
        await until(lambda: w.telemetry.count["clients.cut"] == 1)
        assert w.telemetry.count["servers.large_cut"] == 1


@trio_test
async def test_a_head_sent_in_pieces_over_two_seconds_is_heard() -> None:
    async with world(always(ok(b"here"))) as w:
        stream = await trio.open_tcp_stream(*w.node.address)
        request = call()
        for n in range(12):  # the last piece 2.2 s after the first
            await trio.sleep(0.2 if n else 0.0)
            await stream.send_all(request[n * len(request) // 12 : (n + 1) * len(request) // 12])
        head, got, _ = await read_answer(stream)
        assert head.startswith(b"HTTP/1.1 200") and got == b"here"
