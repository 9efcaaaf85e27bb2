"""The second address: operators' calls on loopback, the hard cases, and what they do to the servers used."""

from __future__ import annotations

import json
import time
from pathlib import Path

import pytest
import trio

from finchshelf.node.operator import MOST_CALLERS, parse, read_kept
from tests.stand_ins import World, always, call, leaping, ok, trio_test, until, world


async def say(w: World, line: bytes) -> str:
    """One call on a connection of its own; the one line of answer."""
    assert w.node.operator is not None
    stream = await trio.open_tcp_stream(*w.node.operator)
    await stream.send_all(line)
    got = b""
    while not got.endswith(b"\n"):
        data = await stream.receive_some()
        if not data:
            break
        got += data
    await stream.aclose()
    return got.decode()


def test_calls_are_read_strictly() -> None:
    assert parse(b"HEALTH\r\n") == ("HEALTH", "")
    assert parse(b"offline s-1\n") == ("OFFLINE", "s-1")
    bad_ones = (
        b"",
        b"HEALTH now",
        b"OFFLINE",
        b"ONLINE a b",
        b"REBOOT s-1",
        b"\x00\xffHEALTH",
        b"ONLINE " + b"x" * 200,
    )
    for bad in bad_ones:
        assert isinstance(parse(bad), str), bad


@leaping
async def test_health_and_the_hard_cases_get_a_line_each(tmp_path: Path) -> None:
    async with world(always(ok()), always(ok()), keep=str(tmp_path)) as w:
        assert await say(w, b"HEALTH\r\n") == "+OK ready\r\n"
        assert (await say(w, b"OFFLINE nobody\n")).startswith("-ERR no server nobody")
        assert (await say(w, b"RESTART s0\n")).startswith("-ERR unknown call")
        assert (await say(w, b"\x16\x03\x01\x02\x00\n")).startswith("-ERR not a line")
        assert (await say(w, b"ONLINE " + b"s" * 600 + b"\n")).startswith("-ERR a line is")
        assert (await say(w, b"HEALTH")).startswith("-ERR no whole line")  # ended mid-line
        assert await say(w, b"HEALTH\n") == "+OK ready\r\n"
        w.node.clients.draining = True
        assert await say(w, b"HEALTH\n") == "-ERR ending\r\n"


@trio_test
async def test_answers_come_in_a_second_beside_callers_that_say_nothing(tmp_path: Path) -> None:
    async with world(always(ok()), keep=str(tmp_path)) as w:
        assert w.node.operator is not None
        silent = [await trio.open_tcp_stream(*w.node.operator) for _ in range(MOST_CALLERS + 8)]
        await trio.sleep(0.1)
        for _ in range(5):
            began = time.monotonic()
            assert await say(w, b"HEALTH\n") == "+OK ready\r\n"
            assert time.monotonic() - began < 1.0
        # The longest silent were sent away with a reason; the others are still heard.
        assert (await silent[0].receive_some()).startswith(b"-ERR too many callers")
        await silent[-1].send_all(b"HEALTH\n")
        assert await silent[-1].receive_some() == b"+OK ready\r\n"
        for stream in silent:
            await stream.aclose()


@pytest.mark.parametrize("others", [MOST_CALLERS - 1, MOST_CALLERS])
@trio_test
async def test_callers_that_have_their_answer_make_room_first_and_harm_nobody(
    others: int, tmp_path: Path
) -> None:
    """Danger: a write to one whose answer was its last ended the node."""
    async with world(always(ok()), keep=str(tmp_path)) as w:
        assert w.node.operator is not None
        waiting = await trio.open_tcp_stream(*w.node.operator)
        answered = [await trio.open_tcp_stream(*w.node.operator) for _ in range(others)]
        for stream in answered:  # told, and not yet gone
            await stream.send_all(b"HEALTH\n")
        for stream in answered:
            assert await stream.receive_some() == b"+OK ready\r\n"
        assert await say(w, b"HEALTH\n") == "+OK ready\r\n"
        if others < MOST_CALLERS:
            await waiting.send_all(b"HEALTH\n")
            assert await waiting.receive_some() == b"+OK ready\r\n"


@trio_test
async def test_a_server_taken_out_gets_nothing_until_it_is_back(tmp_path: Path) -> None:
    async with world(always(ok()), always(ok()), keep=str(tmp_path)) as w:
        for _ in range(2):
            assert await say(w, b"OFFLINE s0\n") == "+OK s0 offline\r\n"
        (kept,) = [p for p in tmp_path.iterdir() if p.suffix == ".offline"]
        assert read_kept(str(kept)) == {"s0"}
        w.discovery.change(w.discovery.members[0])  # the list says it serves, all the same
        client = await w.client()
        for _ in range(6):
            assert (await client.ask(call())).status == 200
        assert not w.servers[0].got and len(w.servers[1].got) == 6
        assert await say(w, b"ONLINE s0\n") == "+OK s0 online\r\n"
        assert not w.node.core.offline
        assert json.loads(kept.read_text()) == []
        for _ in range(40):
            assert (await client.ask(call())).status == 200
        await until(lambda: w.servers[0].got)  # cold, and used again
