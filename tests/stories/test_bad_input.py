"""Stories of bad input: whatever comes in that can't be read is told with its step and peer or place.

Owns the tables of bad input, one row a case. Each is given to the real parts; what they know is compared
before and after, and a good one after it is taken. It must never lean on which words an error has beside its
step, peer and place.
"""

from __future__ import annotations

import copy
import dataclasses
import math
import os
import signal
import socket
import struct
import subprocess
import sys
import zlib
from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import asynccontextmanager
from pathlib import Path
from random import Random
from typing import Any

import msgpack
import orjson
import pytest
import trio
from trio.testing import MockClock

from finchshelf.agreement import core as agreement
from finchshelf.agreement import parcel
from finchshelf.agreement import store as stores
from finchshelf.agreement.core import Member, Value
from finchshelf.agreement.store import Store
from finchshelf.cli import demo
from finchshelf.cli.system import System
from finchshelf.configuration.document import read_configuration
from finchshelf.controlplane.cells import Cells
from finchshelf.controlplane.news import News
from finchshelf.controlplane.register import Register
from finchshelf.controlplane.resources import Departure, Observe, Pulse, Resources
from finchshelf.controlplane.turns import Turns
from finchshelf.dataplane.core import Core
from finchshelf.dataplane.follower import Follower
from finchshelf.dataplane.news import News as Told
from finchshelf.dataplane.questions import Questions
from finchshelf.dataplane.sources import Source
from finchshelf.membership.records import Limiter
from finchshelf.rollout.evidence import Seen
from finchshelf.transport import frames, net
from finchshelf.transport.address import Address
from finchshelf.transport.calls import Calls, Reader
from finchshelf.transport.clients import Clients
from finchshelf.transport.exchange import Clock
from tests.stand_ins import Client, Quiet, trio_test, until

GENEROUS_S = 60.0  # s for a state that is waited for: the machine may be many times slower than usual
HERE, PEER = "127.0.0.1:7660", "127.0.0.2:7660"
NAN, INF = math.nan, math.inf
LIMITER = ["edge-1", 5, "127.0.0.9", "north"]
SERVER = ["s-1", "127.0.0.1:80", "pages", "north", 4, 7, "stable", False, 0, HERE]
VALUE: dict[str, Any] = {
    "slot": 3,
    "members": [[HERE, "first"], [PEER, "first"]],
    "version": 1,
    "document": orjson.dumps(demo.first_configuration()),
    "taken": [[1, b"x"]],
}


def but(row: list[Any], at: int, value: Any) -> list[Any]:
    return [*row[:at], value, *row[at + 1 :]]


def named(what: str, values: list[tuple[Any, Any]]) -> dict[str, Any]:
    """Cases with a name each: what is odd, and the input that has it."""
    return {f"{what} {at}: {odd!r:.40}": given for at, (odd, given) in enumerate(values)}


def beat(**more: Any) -> dict[str, Any]:
    """A beat; `seen__zone=...` changes a field of the observation, `state__mode=...` one of the estimate."""
    body: dict[str, Any] = {
        "address": "127.0.0.1:8080",
        "observation": {"subsystem": "pages", "zone": "north", "capacity": 4},
        "stateEstimate": {"mode": "stable", "callCount": 3, "warmupMs": 0},
    }
    for name, value in more.items():
        part, _, inner = name.partition("__")
        where = body[{"seen": "observation", "state": "stateEstimate"}[part]] if inner else body
        where[inner or part] = value
        if value is None:
            del where[inner or part]
    return body


# ---- the real parts ----


class Plane:
    """A control plane's parts in this process, with its two listeners on loopback."""

    def __init__(self, nursery: trio.Nursery, store: Store | None = None) -> None:
        self.log, self.nursery, clock = Quiet(), nursery, Clock()
        self.cells = Cells(HERE, "north", 1.0, 1, clock.now())
        turns = Turns(self.log.log)
        nursery.start_soon(turns.run)
        self.news = News(self.cells, clock, nursery, False, Random(1), self.log.log, turns)
        self.register = Register(HERE, (HERE,), True, store, self.news.members, Random(2), self.log.log)
        self.register.learn(Value(0, (Member(HERE, ""),)))
        self.news.register = self.register
        handlers: Any = {
            "servers.pulse": Pulse(self.cells, self.news, clock.now, 8407),
            "servers.departure": Departure(self.cells, self.news, clock.now),
            "setpoint.observe": Observe(self.register),
        }
        calls = Calls(clock, self.log, nursery, Resources(handlers, turns).handle)
        self.clients = Clients(calls, Reader(), nursery, lambda: True, 256, 64 << 20)

    def knows(self) -> Any:
        """All that it knows, as it is now."""
        cells = self.cells
        return copy.deepcopy(
            (
                cells.servers.rows,
                cells.servers.revs,
                cells.servers.rev,
                cells.heard,
                cells.left,
                cells.asked,
                cells.own.rev,
                cells.named,
                cells.merged,
                self.register.acceptor.state(),
                {name: dataclasses.asdict(one) for name, one in cells.controls.items()},
            )
        )


@asynccontextmanager
async def plane() -> AsyncIterator[tuple[Plane, Address, Address]]:
    """With the addresses of its calls and of its frames."""
    async with trio.open_nursery() as nursery:
        made = Plane(nursery)
        outer = await net.listen(Address("127.0.0.1", 0))
        inner = await net.listen(Address("127.0.0.1", 0))
        nursery.start_soon(made.clients.accept, outer)
        nursery.start_soon(
            frames.serve,
            inner,
            made.news.handle,
            nursery,
            lambda why: made.log.rare("peer.broken", error=why),
        )
        try:
            yield made, Address(*outer.getsockname()), Address(*inner.getsockname())
        finally:
            nursery.cancel_scope.cancel()


# ---- calls ----

PULSE = "/v1/rpc?call=servers.pulse&of=s-1"
BEGIN = b"POST " + PULSE.encode() + b" HTTP/1.1\r\nHost: x\r\n"


def post(target: str, body: Any, method: str = "POST") -> bytes:
    data = body if isinstance(body, bytes) else orjson.dumps(body)
    return (
        b"%s %s HTTP/1.1\r\nHost: x\r\nContent-Length: %d\r\n\r\n"
        % (method.encode(), target.encode(), len(data))
        + data
    )


BAD_BEATS: dict[str, tuple[Any, str]] = {
    "no JSON": (b"{", ""),
    "no UTF-8": (b'{"address":"\xff"}', ""),
    "NaN": (b'{"address":"127.0.0.1:1","observation":{"capacity":NaN}}', ""),
    "deep": (b"[" * 15000, ""),
    "a list": ([], "body"),
    "null": (b"null", "body"),
    "no observation": (beat(observation=None), "body"),
    "an observation that is text": (beat(observation="pages"), "body"),
    "no estimate": (beat(stateEstimate=None), "body"),
    "too long": (beat(hint="x" * 20000), "body"),
    "no address": (beat(address=None), "address"),
    "an address that is a number": (beat(address=8080), "address"),
    "an address without a port": (beat(address="127.0.0.1"), "address"),
    "an address without a host": (beat(address=":80"), "address"),
    "port 0": (beat(address="127.0.0.1:0"), "address"),
    "port 65536": (beat(address="127.0.0.1:65536"), "address"),
    "port -1": (beat(address="127.0.0.1:-1"), "address"),
    "a long address": (beat(address="1" * 200 + ":80"), "address"),
    "an address with a line's end": (beat(address="a\r\nX: y:80"), "address"),
    "an address with other letters": (beat(address="pärnu:80"), "address"),
    "no service": (beat(seen__subsystem=None), "observation.subsystem"),
    "an empty service": (beat(seen__subsystem=""), "observation.subsystem"),
    "a long service": (beat(seen__subsystem="x" * 129), "observation.subsystem"),
    "a zone that is a list": (beat(seen__zone=["north"]), "observation.zone"),
    "a capacity that is text": (beat(seen__capacity="4"), "observation.capacity"),
    "a capacity that is true": (beat(seen__capacity=True), "observation.capacity"),
    "a capacity below 0": (beat(seen__capacity=-4), "observation.capacity"),
    "a huge capacity": (beat(seen__capacity=1e9), "observation.capacity"),
    "an odd mode": (beat(state__mode="gone"), "stateEstimate.mode"),
    "a mode that is a list": (beat(state__mode=["stable"]), "stateEstimate.mode"),
    "a huge callCount": (beat(state__callCount=1 << 60), "stateEstimate.callCount"),
    "a callCount beyond all": (
        b'{"address":"127.0.0.1:1","observation":{"subsystem":"a","zone":"b"},'
        b'"stateEstimate":{"callCount":1e999}}',
        "",
    ),
    "a callCount below 0": (beat(state__callCount=-1), "stateEstimate.callCount"),
    "a callCount that is null": (beat() | {"stateEstimate": {"callCount": None}}, "stateEstimate.callCount"),
    "a warm-up without end": (beat(state__warmupMs=1e15), "stateEstimate.warmupMs"),
}
BAD_CALLS: dict[str, tuple[bytes, int]] = {
    "no id": (post("/v1/rpc?call=servers.pulse", beat()), 400),
    "a long id": (post("/v1/rpc?call=servers.pulse&of=" + "s" * 129, beat()), 400),
    "an id with a line's end": (post("/v1/rpc?call=servers.pulse&of=s%0d%0aX:y", beat()), 400),
    "an id with other letters": (post("/v1/rpc?call=servers.pulse&of=p%C3%A4rnu", beat()), 400),
    "a departure of nobody": (post("/v1/rpc?call=servers.departure", b""), 400),
    "a departure of a long id": (post("/v1/rpc?call=servers.departure&of=" + "s" * 129, b""), 400),
    "a departure of an odd id": (post("/v1/rpc?call=servers.departure&of=s%00", b""), 400),
    "an unknown call": (post("/v1/rpc?call=servers.dance&of=s-1", beat()), 404),
    "no call": (post("/v1/rpc", beat()), 404),
    "another path": (post("/v2/rpc?call=servers.pulse&of=s-1", beat()), 404),
    "another method": (post(PULSE, beat(), "PUT"), 405),
    "too many fields": (post(PULSE + "&a=1" * 9, beat()), 400),
    "a body too large": (BEGIN + b"Content-Length: 9000000\r\n\r\n", 413),
    "two lengths": (BEGIN + b"Content-Length: 2\r\nContent-Length: 3\r\n\r\n{}", 400),
    "a head too large": (BEGIN + b"X: " + b"x" * 20000 + b"\r\n\r\n", 431),
    "a head beyond all": (BEGIN + b"X: " + b"x" * 200000 + b"\r\n\r\n", 431),
    "no HTTP": (b"\x16\x03\x01 hello\r\n\r\n", 400),
}


@trio_test
async def test_given_a_beat_or_call_that_cannot_be_read_then_it_is_refused_and_nothing_changes() -> None:
    async with plane() as (made, outer, _):

        async def said(data: bytes) -> tuple[int, bytes]:
            client = Client(await trio.open_tcp_stream(*outer))
            reply = await client.ask(data)
            await client.stream.aclose()
            return reply.status, reply.body

        # Given a server that is known
        assert (await said(post(PULSE, beat())))[0] == 200
        before = made.knows()
        # When a beat can't be read, then it is refused with step and place, and the tables are as before
        for name, (body, place) in BAD_BEATS.items():
            status, answer = await said(post(PULSE, body))
            assert status == 400 and orjson.loads(answer)["error"], name
            assert not place or f"read a beat: {place}:" in orjson.loads(answer)["error"], (name, answer)
            assert made.knows() == before, name
        for name, (data, wanted) in BAD_CALLS.items():
            status, answer = await said(data)
            assert status == wanted, (name, status, answer)
            assert made.knows() == before, name
        # Then nothing was taken for a fault of ours, and the next good beat counts
        assert not made.log.count["calls.error"] and not made.log.count["clients.error"]
        assert (await said(post(PULSE, beat(state__callCount=9))))[0] == 200
        assert made.cells.servers.rows["s-1"].count == 9


# ---- frames ----

PACK = struct.Struct(">I").pack
NEWS = {"op": "news", "wait": 0.0, "have": {}}
BROKEN_FRAMES: dict[str, bytes] = {
    "too long": PACK(frames.MOST_FRAME + 1),
    "no msgpack": PACK(3) + b"\xc1\xc1\xc1",
    "nothing": PACK(0),
    "a word": frames.pack("news"),
    "no number": frames.pack({"op": "show"}),
    "a number that is text": frames.pack(["1", {"op": "show"}]),
    "no table": frames.pack([1, ["show"]]),
    "three parts": frames.pack([1, {"op": "show"}, 2]),
    "keys that are no keys": PACK(4) + msgpack.packb([1]) + b"\x81\x90",
    "deep": PACK(3000) + b"\x91" * 3000,
}
LEARN = {"kind": "learn", "value": VALUE}
PREPARE = {"kind": "prepare", "slot": 1, "ballot": [1, PEER]}


def learn(**more: Any) -> Any:
    return {"op": "agree", "message": {"kind": "learn", "value": {**VALUE, **more}}}


def agree(**more: Any) -> Any:
    return {"op": "agree", "message": {**PREPARE, **more}}


ODD_MESSAGES: list[Any] = [
    5,
    [],
    {},
    {"kind": []},
    {"kind": "dance"},
    {"kind": "learn"},
    {"kind": "learn", "value": 5},
    {"kind": "accept", "slot": 1, "ballot": [1, PEER]},
]
BAD_QUESTIONS: dict[str, Any] = {
    "no op": {},
    "an unknown op": {"op": "dance"},
    "an op that is a list": {"op": ["news"]},
    "a hold without rows": {"op": "hold"},
    "a hold of a number": {"op": "hold", "rows": 5},
    "a hold of numbers": {"op": "hold", "rows": [1, 2]},
    "a hold with a row too short": {"op": "hold", "rows": [SERVER[:9]]},
    "a hold with a good row and a bad one": {"op": "hold", "rows": [but(SERVER, 0, "s-2"), []]},
    **{
        f"a hold with {value!r:.20} at {at}": {"op": "hold", "rows": [but(but(SERVER, 0, "s-2"), at, value)]}
        for at, value in (
            (0, ""),
            (0, 7),
            (0, "s" * 129),
            (0, "s\n"),
            (1, "nowhere"),
            (1, "a:99999"),
            (1, None),
            (2, 5),
            (3, None),
            (4, "4"),
            (4, -1),
            (4, NAN),
            (5, INF),
            (5, 1e300),
            (5, True),
            (5, 1 << 63),
            (6, "odd"),
            (6, []),
            (7, "no"),
            (8, NAN),
            (8, INF),
            (8, -1),
            (8, "0"),
            (9, 5),
        )
    },
    "news with have that is a list": {**NEWS, "have": [], "limiter": LIMITER},
    "news with a rev without end": {**NEWS, "have": {"life": 1, "rev": INF}, "limiter": LIMITER},
    "news with a slot that is text": {**NEWS, "have": {"slot": "x"}, "limiter": LIMITER},
    "news with a wait of NaN": {**NEWS, "wait": NAN, "limiter": LIMITER},
    "news with a wait that is text": {**NEWS, "wait": "long", "limiter": LIMITER},
    **{
        f"news of a limiter with {value!r:.20} at {at}": {**NEWS, "limiter": but(LIMITER, at, value)}
        for at, value in (
            (0, ""),
            (0, None),
            (1, "5"),
            (1, INF),
            (1, -1),
            (2, "a..b"),
            (2, "names.example"),
            (2, 5),
            (3, []),
        )
    },
    "news of a limiter too short": {**NEWS, "limiter": LIMITER[:3]},
    "news of a limiter that is a number": {**NEWS, "limiter": 5},
    "news of a control plane without a port": {**NEWS, "control": ["127.0.0.3", "north", "x", True]},
    "news of a control plane that is a number": {**NEWS, "control": [7, "north", "x", True]},
    "news of a control plane with an odd disk": {**NEWS, "control": [PEER, "north", ["x"], True]},
    "news of a control plane with an odd zone": {**NEWS, "control": [PEER, 5, "x", True]},
    "agree without a message": {"op": "agree"},
    **named("agree on", [(message, {"op": "agree", "message": message}) for message in ODD_MESSAGES]),
    **{f"agree on a slot {slot!r}": agree(slot=slot) for slot in (NAN, INF, "1", -1, 1e300, None)},
    **{
        f"agree on a ballot {ballot!r:.20}": agree(ballot=ballot)
        for ballot in (5, [], [1], [INF, PEER], [1e300, PEER], [1 << 63, PEER], [1, 5], ["1", PEER])
    },
    **{
        f"learn members {rows!r:.30}": learn(members=rows)
        for rows in (5, [], [5], [["x", "first"]], [["x:99999", "first"]], [[PEER, 5]], [[PEER]])
    },
    **{
        f"learn {name} {value!r:.20}": learn(**{name: value})
        for name, value in (
            ("slot", INF),
            ("slot", "9"),
            ("slot", 1 << 63),
            ("version", NAN),
            ("document", 9),
            ("document", "text"),
            ("taken", 5),
            ("taken", [[1, 10**9]]),
        )
    },
}


def refused(answer: dict[str, Any]) -> bool:
    """Was the question told to be none? Agreement has its own word for it."""
    return bool(answer.get("error")) or answer.get("reply", {}).get("kind") == "unknown"


@trio_test
async def test_given_frames_that_are_none_then_that_connection_ends_and_nothing_changes() -> None:
    async with plane() as (made, _, inner):
        before = made.knows()
        for name, data in BROKEN_FRAMES.items():
            # When a peer sends what is no frame or no question
            made.log.lines.clear()
            made.log.last.clear()
            stream = await trio.open_tcp_stream(*inner)
            port = stream.socket.getsockname()[1]
            await stream.send_all(data)
            # Then its connection ends, it is told which peer that was, and nothing changed
            with trio.fail_after(GENEROUS_S):
                assert await stream.receive_some() == b"", name
            await stream.aclose()
            ((event, fields),) = made.log.lines
            assert event == "peer.broken" and f"read a question of 127.0.0.1:{port}" in fields["error"], name
            assert made.knows() == before, name
        # And the next peer is answered
        link = frames.Link(inner, made.nursery)
        assert (await link.ask("show", {"op": "show"}, 2.0))["address"] == HERE


@trio_test
async def test_given_questions_of_wrong_shape_then_each_is_told_so_and_nothing_changes() -> None:
    async with plane() as (made, _, inner):
        link = frames.Link(inner, made.nursery)
        # Given a server and a limiter that are known
        await link.ask("hold", {"op": "hold", "rows": [SERVER]}, 2.0)
        await link.ask("news", {**NEWS, "limiter": LIMITER}, 2.0)
        before = made.knows()
        for name, question in BAD_QUESTIONS.items():
            # When a question has a wrong shape, then its answer says so, and all is as before
            try:
                answer = await link.ask("bad", question, 2.0)
            except frames.PeerError as error:
                answer = {"error": error.why}
                assert "no answer" not in error.why, name
            assert refused(answer), (name, answer)
            assert made.knows() == before, name
        # And on the same connection a good question is answered, good rows and a good value are taken
        assert len((await link.ask("show", {"op": "show"}, 2.0))["servers"]) == 1
        await link.ask("hold", {"op": "hold", "rows": [but(SERVER, 0, "s-2")]}, 2.0)
        reply = await link.ask("agree", {"op": "agree", "message": LEARN}, 2.0)
        assert reply["reply"]["kind"] == "learned" and "s-2" in made.cells.servers.rows


# ---- answers ----


class Peer:
    """A link whose peer answers each question with the next of these, then never."""

    def __init__(self, answers: list[Any], looked: Callable[[], None]) -> None:
        self.answers, self.looked = answers, looked

    async def ask(self, step: str, message: Any, limit: float) -> Any:
        self.looked()
        if not self.answers:
            await trio.sleep_forever()
        return self.answers.pop(0)


GOOD: dict[str, Any] = {
    "life": 9,
    "rev": 4,
    "whole": 0.0,
    "servers": [SERVER],
    "limiters": [LIMITER],
    "list": 2,
    "own": 2,
    "controls": [[PEER, "south"]],
    "named": 3,
    "value": VALUE,
    "core": True,
}
BAD_ANSWERS: dict[str, Any] = {
    "nothing": {},
    **named(
        "answer",
        [
            (f"{name} {value!r}", {**GOOD, name: value})
            for name, value in (
                ("life", INF),
                ("life", "9"),
                ("life", None),
                ("rev", NAN),
                ("rev", []),
                ("servers", 5),
                ("servers", [5]),
                ("servers", [SERVER, SERVER[:3]]),
                ("servers", [but(SERVER, 1, "x")]),
                ("servers", [but(SERVER, 5, INF)]),
                ("servers", [but(SERVER, 8, NAN)]),
                ("limiters", 5),
                ("limiters", [LIMITER[:3]]),
                ("limiters", [but(LIMITER, 1, INF)]),
                ("limiters", [but(LIMITER, 2, "a..b")]),
                ("gone", 5),
                ("gone", [5]),
                ("controls", 5),
                ("controls", [["x", "south"]]),
                ("controls", [[5, "south"]]),
                ("controls", [PEER]),
                ("named", INF),
                ("value", 5),
                ("value", {}),
                ("value", {**VALUE, "slot": INF}),
                ("value", {**VALUE, "members": [["x", "first"]]}),
                ("value", {**VALUE, "document": 5}),
            )
        ],
    ),
    **{
        f"zip {name}": {**GOOD, "value": {**VALUE, "zip": small}}
        for name, small in (
            ("number", 5),
            ("rubbish", b"rubbish"),
            ("cut", zlib.compress(b"{}")[:-5]),
            ("too large", zlib.compress(bytes(parcel.MOST + 1))),
        )
    },
}
FOLLOWER_ONLY: dict[str, Any] = {
    **named(
        "told",
        [
            (f"{name} {value!r}", {**GOOD, name: value})
            for name, value in (
                ("whole", "long"),
                ("list", "2"),
                ("list", INF),
                ("value", {**VALUE, "document": b"{"}),
                ("value", {**VALUE, "document": b"[]"}),
                ("value", {**VALUE, "document": b'{"elements":5}'}),
                ("value", {**VALUE, "document": b'{"elements":["x"]}'}),
                ("value", {**VALUE, "document": b'{"elements":[],"setpointSeq":"x"}'}),
                ("value", {**VALUE, "document": b"[" * 5000}),
            )
        ],
    ),
}


def soon(test: Callable[[], Awaitable[None]]) -> None:
    """Run with a clock that jumps to whatever is waited for."""

    async def limited() -> None:
        with trio.fail_after(60):
            await test()

    trio.run(limited, clock=MockClock(autojump_threshold=0))


@pytest.mark.parametrize("name", [*BAD_ANSWERS, *FOLLOWER_ONLY])
def test_given_news_of_wrong_shape_when_a_limiter_follows_then_none_of_it_counts_and_the_next_does(
    name: str,
) -> None:
    async def story() -> None:
        log, put, seen = Quiet(), list[Told](), list[Any]()
        async with trio.open_nursery() as nursery:
            me = Limiter("edge-1", 1, "127.0.0.9", "north")
            follower = Follower(me, [PEER], 7660, Clock(), put.append, Random(3), log.log, nursery, Seen())
            source: Source = follower.sources[PEER]

            def look() -> None:
                seen.append(
                    copy.deepcopy(
                        (
                            source.have,
                            source.limiters,
                            source.heard,
                            source.core,
                            len(put),
                            follower.slot,
                            follower.answered,
                            sorted(follower.sources),
                        )
                    )
                )

            bad = {**BAD_ANSWERS, **FOLLOWER_ONLY}[name]
            source.link = Peer([bad, copy.deepcopy(GOOD)], look)  # type: ignore[assignment]
            # When it asks, and what comes first has a wrong shape
            nursery.start_soon(follower.ask_on, PEER, source)
            while len(seen) < 3:
                await trio.sleep(0.05)
            nursery.cancel_scope.cancel()
        # Then nothing of it counts, it is told with step and peer, and the next answer counts whole
        assert seen[0] == seen[1] != seen[2]
        ((event, fields),) = log.lines
        assert (event, fields["peer"], fields["step"]) == ("peer.unfit", PEER, "news") and fields["error"]
        (told,) = put
        assert [one.id for one in told.servers] == ["s-1"] and follower.slot == 3 and told.configuration
        assert told.limiters is not None and list(told.limiters) == ["edge-1"]

    soon(story)


@pytest.mark.parametrize("name", BAD_ANSWERS)
def test_given_news_of_wrong_shape_when_a_control_plane_asks_then_none_of_it_counts_and_the_next_does(
    name: str,
) -> None:
    async def story() -> None:
        seen = list[Any]()
        async with trio.open_nursery() as nursery:
            made = Plane(nursery)
            control = made.cells.meet(PEER)
            assert control is not None
            answers = [BAD_ANSWERS[name], copy.deepcopy(GOOD)]
            made.news.members.links[PEER] = Peer(answers, lambda: seen.append(made.knows()))  # type: ignore[assignment]
            made.news.follow(control)
            while len(seen) < 3:
                await trio.sleep(0.05)
            nursery.cancel_scope.cancel()
        assert seen[0] == seen[1] != seen[2]
        ((event, fields),) = [line for line in made.log.lines if line[0] != "core.members"]
        assert (event, fields["peer"], fields["step"]) == ("peer.unfit", PEER, "news") and fields["error"]
        assert made.register.decided is not None and made.register.decided.slot == 3

    soon(story)


# ---- datagrams ----

ASK, TELL, END, HAND = 0, 1, 2, 3
BAD_DATAGRAMS: dict[str, Any] = {
    "nothing": b"",
    "no msgpack": b"\xc1",
    "rubbish": b"GET / HTTP/1.1\r\n\r\n",
    "half": b"\x92\x00\x91\x94",
    **named(
        "datagram",
        [
            (message, msgpack.packb(message))
            for message in (
                5,
                None,
                "ask",
                [],
                [ASK],
                [ASK, 9],
                [ASK, 9, 9, []],
                [ASK, [[1, "acme", 1.0]]],
                [ASK, 9, 5],
                [ASK, 9, [5]],
                [END, []],
                [END, [["acme", 1.0]]],
                [4, 9, []],
                [HAND, [["acme", 1.0]]],
                [HAND, 9, 5],
                [HAND, 9, [["acme"]]],
                *([HAND, 9, [[name, units]]] for name, units in ((5, 1.0), ("acme", NAN), ("acme", -1.0))),
                ["0", 9, []],
                {"kind": 0},
                [ASK, 9, [[]]],
                [ASK, 9, [[1, "acme", 1.0]]],
                *([ASK, life, [[1, "acme", 1.0, 1]]] for life in (None, "9", -1, NAN, 1 << 63, [9])),
                *(
                    [ASK, 9, [row]]
                    for row in (
                        [INF, "acme", 1.0, 1],
                        ["1", "acme", 1.0, 1],
                        [-1, "acme", 1.0, 1],
                        [1, 5, 1.0, 1],
                        [1, "acme", NAN, 1],
                        [1, "acme", INF, 1],
                        [1, "acme", -5.0, 1],
                        [1, "acme", "1", 1],
                        [1, "acme", 1.0, 7],
                        [1, "acme", 1.0, INF],
                        [1, "acme", 1.0, "near"],
                    )
                ),
                [ASK, 9, [[1, "acme", 1.0, 1], [2, "acme", NAN, 1]]],
                [TELL, 5],
                [TELL, 5, 5],
                [TELL, 5, [[1, 1]]],
                [TELL, [[1, 1, NAN]]],
                *(
                    [TELL, life, [row]]
                    for life in (5, 9)
                    for row in ([1, 1, NAN], [1, 1, INF], [INF, 1, 0.0], [1, "yes", 0.0])
                ),
                [TELL, 5, [[1, 1, 0.0], [2, 1, -1.0]]],
                [END, 9],
                [END, "9", []],
                [END, 9, 5],
                [END, 9, [[5, 1.0]]],
                [END, 9, [["acme"]]],
                [END, 9, [["acme", 1.0], ["acme", NAN]]],
                [END, 9, [["acme", -1.0]]],
            )
        ],
    ),
}


@trio_test
async def test_given_datagrams_that_are_no_questions_then_each_is_told_and_no_count_changes() -> None:
    log = Quiet()
    core = Core("edge-1", "north", Clock(), log, Random(1), 0.2, 0.0)
    document = copy.deepcopy(demo.first_configuration())
    elements: Any = document["elements"]
    elements[4]["reference"].update(rateS=0.001, surge=50)
    core.configuration = read_configuration(document)
    wire = Questions(Address("127.0.0.1", 0), core.counting, log, 5)
    asking = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    asking.setblocking(False)
    try:
        asking.bind(("127.0.0.1", 0))
        async with trio.open_nursery() as nursery:
            nursery.start_soon(wire.run)
            good = msgpack.packb([ASK, 9, [[1, "acme", 1.0, 1]]])
            # Given a count that was asked for
            asking.sendto(good, wire.sock.getsockname())
            await trio.lowlevel.wait_readable(asking)
            assert msgpack.unpackb(asking.recv(1400))[:2] == [TELL, 9]
            before = copy.deepcopy(core.counting.holder.counts)
            for name, data in BAD_DATAGRAMS.items():
                # When a datagram is no question, then it is told with step and peer, and nothing changed
                log.lines.clear()
                log.last.clear()
                asking.sendto(data, wire.sock.getsockname())
                await until(lambda: log.lines)
                ((event, fields),) = log.lines
                assert (event, fields["peer"]) == ("count.unfit", "127.0.0.1"), name
                assert fields["step"] == "read a question" and fields["error"], name
                assert core.counting.holder.counts == before and not core.mailbox.items, name
            # And the next question is answered
            asking.sendto(good, wire.sock.getsockname())
            await trio.lowlevel.wait_readable(asking)
            assert msgpack.unpackb(asking.recv(1400))[2][0][0] == 1
            nursery.cancel_scope.cancel()
    finally:
        asking.close()
        wire.sock.close()


# ---- disk and settings ----


def resealed(seal: Path, content: list[Any]) -> None:
    body = msgpack.packb(content)
    seal.write_bytes(stores._digest(body) + body)


def spoil_data(folder: Path) -> None:
    (folder / "data.mdb").write_bytes(b"rubbish" * 1000)


def data_is_a_folder(folder: Path) -> None:
    (folder / "data.mdb").unlink()
    (folder / "data.mdb").mkdir()


STATE = agreement.Acceptor(Member(HERE, "old"), agreement.genesis((HERE, PEER))).state()
BAD_DISKS: dict[str, tuple[str, Callable[[Path], Any]]] = {
    "data is rubbish": ("data", spoil_data),
    "data is gone": ("data", lambda folder: (folder / "data.mdb").unlink()),
    "data is a folder": ("record", data_is_a_folder),
    "the seal is rubbish": ("seal", lambda folder: (folder / "seal").write_bytes(b"x" * 99)),
    "the seal is empty": ("seal", lambda folder: (folder / "seal").write_bytes(b"")),
    "the seal has texts": ("seal", lambda folder: resealed(folder / "seal", ["1", "2", "3"])),
    "the seal is short": ("seal", lambda folder: resealed(folder / "seal", [1])),
    "no table": ("restore", lambda folder: Store(str(folder.parent), 64).save([])),  # type: ignore[arg-type]
    "no disk": ("restore", lambda folder: Store(str(folder.parent), 64).save({"decided": None})),
    "a promise that is text": (
        "restore",
        lambda folder: Store(str(folder.parent), 64).save({**STATE, "promised": "x"}),
    ),
    "an odd value": (
        "restore",
        lambda folder: Store(str(folder.parent), 64).save({**STATE, "decided": {"slot": INF}}),
    ),
    "accepted is short": (
        "restore",
        lambda folder: Store(str(folder.parent), 64).save({**STATE, "accepted": []}),
    ),
}


@pytest.mark.parametrize("first", [False, True])
@pytest.mark.parametrize("name", BAD_DISKS)
def test_given_a_disk_that_cannot_be_read_then_it_is_told_and_votes_as_another_member(
    name: str, first: bool, tmp_path: Path
) -> None:
    # Given a disk whose one generation is whole, and then is not; settings perhaps still of the first start
    Store(str(tmp_path), 64).save(STATE)
    step, spoil = BAD_DISKS[name]
    spoil(tmp_path / "a")

    async def story() -> None:
        log = Quiet()
        peers: Any = None
        # When a control plane starts on it
        register = Register(HERE, (HERE, PEER), first, Store(str(tmp_path), 64), peers, Random(1), log.log)
        # Then the fault is told with step and path, it has no old promise, and the disk is used anew
        faults = [fields for event, fields in log.lines if event == "disk.fault"]
        assert [(one["step"], one["lost"]) for one in faults] == [(step, True)]
        assert faults[0]["path"].startswith(str(tmp_path))
        assert register.me.disk not in ("old", "first") and register.decided is None
        await register.begin()
        state, _ = Store(str(tmp_path), 64).load()
        refused = [fields["step"] for event, fields in log.lines if event == "disk.refused"]
        if name == "data is a folder":  # no place to save to: it has no vote, and says why
            assert refused == ["write"] and state is None
        else:
            assert state is not None and state["disk"] == register.me.disk and not refused

    trio.run(story)


@pytest.mark.parametrize("role", ["control-plane", "data-plane"])
def test_given_a_settings_file_that_is_rubbish_at_a_signal_then_the_old_stay_and_the_program_goes_on(
    role: str, tmp_path: Path
) -> None:
    path = System(tmp_path, machines=1).settings(role, 1)

    def line(words: str) -> str:
        """The next line with these words."""
        assert process.stdout is not None
        told = list[str]()
        for one in process.stdout:
            told.append(one)
            if words in one:
                return one
        raise AssertionError(f"it ended: {told}")

    process = subprocess.Popen(
        [sys.executable, "-m", f"finchshelf.{role.replace('-', '')}"],
        env={**os.environ, "FINCHSHELF_BOOT": str(path)},
        stdout=subprocess.PIPE,
        stderr=subprocess.STDOUT,
        text=True,
    )
    try:
        # Given a program that runs
        line('"event":"start"')
        # When its file becomes rubbish and it is told to read it
        path.write_bytes(b"\x00\xffnode=\n" + bytes(range(256)))
        process.send_signal(signal.SIGHUP)
        # Then it says so with the place, and goes on until it is told to end
        said = orjson.loads(line("kept the old"))
        assert (said["event"], said["step"], said["place"]) == ("settings", "settings", str(path))
        assert process.poll() is None
        process.send_signal(signal.SIGTERM)
        line('"exit"')
        assert process.wait(GENEROUS_S) == 0
    finally:
        process.kill()
        process.wait()
