"""Stories of requests that are out when their try ends: "it never ran" is said only where nothing went out.

Owns the table of how a try ends by how much of its request is out; more days: `benchmarks.fuzz_readers`.
"""

from __future__ import annotations

import math
from collections import Counter
from collections.abc import Callable
from contextlib import nullcontext
from dataclasses import dataclass, field
from unittest import mock

import pytest
import trio

from finchshelf.admission.outcome import Status
from finchshelf.dataplane.dialect import Request, Words
from finchshelf.simulation.crossing import play
from finchshelf.simulation.slips import without
from finchshelf.transport import connection, net
from finchshelf.transport.address import Address
from finchshelf.transport.bodies import Body, Room
from finchshelf.transport.delivery import Begins
from finchshelf.transport.exchange import Attempt, Ended
from finchshelf.transport.servers import Servers
from tests.stand_ins import Got, trio_test, until
from tests.test_transport import Dialect, world

ADDRESS = Address("127.0.0.1", 80)
BODY = b"x" * 1000
HEAD_LEAST = 150  # bytes: less than any head here
LIMIT_S = 0.05
MINE = b"Trial-Id: mine\r\n"
NOTHING, PART_OF_HEAD, PART_OF_BODY, ALL = 0, HEAD_LEAST // 2, HEAD_LEAST + 500, 1 << 20


@dataclass
class Peer:
    """A server's connection that takes `takes` bytes of what is sent; `says` comes once it has them."""

    takes: int
    says: bytes | type[OSError] | None
    taken: int = 0
    said: bool = False
    full: trio.Event = field(default_factory=trio.Event)

    async def send(self, data: bytes, note: Callable[[int], None] = lambda _: None) -> None:
        size = min(len(data), self.takes - self.taken)
        self.taken += size
        if size:
            note(size)
        if self.taken == self.takes or self.takes == ALL:
            self.full.set()
        if size < len(data):
            await trio.sleep_forever()

    async def receive(self, most: int = 0) -> bytes:
        await self.full.wait()
        await trio.sleep(LIMIT_S / 10)  # the rest of what it takes comes meanwhile
        if self.says is None:
            await trio.sleep_forever()
        if isinstance(self.says, type):
            raise self.says
        assert self.says is not None
        said, self.said = self.said, True
        return b"" if said else self.says

    def silent(self) -> bool:
        return True

    def hang_up(self) -> None:
        self.says = b""

    close = end_sending = hang_up


async def ended(framing: str, peer: Peer, cut: bool = False) -> Ended:
    """How a try at that server ends. `framing` of its request: kept whole, by length, in chunks; `cut`: its
    client ends while the connection comes up."""
    async with trio.open_nursery() as nursery:
        core = mock.Mock(put=mock.Mock(), addresses={})
        core.clock.now = trio.current_time
        core.telemetry.count = Counter()
        servers = Servers(core, Words(), nursery, 100)
        stream = None
        if framing != "kept":
            stream = Body(Room(1 << 20), BODY, len(BODY) if framing == "length" else None)
            stream.end()
        request = Request(
            1,
            math.inf,
            mock.Mock(),
            b"POST",
            b"/" + b"a" * HEAD_LEAST,
            [(b"Host", b"x")],
            BODY if stream is None else b"",
            stream=stream,
            mark=b"mine",
            route=mock.Mock(repeatable=False),
        )
        request.until = trio.current_time() + 5.0
        attempt = Attempt(request, 1, "s", ADDRESS, LIMIT_S, trio.current_time(), request.until)

        async def connect(_: Address) -> Peer:
            if cut and stream is not None:
                stream.cut()
            return peer

        with mock.patch.object(net, "connect", connect):
            await servers.run(attempt)
        nursery.cancel_scope.cancel()
    found: Ended = core.put.call_args.args[0]
    return found


@pytest.mark.parametrize(("begins", "told"), [(Begins.ANY_BYTE, 504), (Begins.WHOLE, 408)])
@trio_test
async def test_given_an_upload_that_is_out_when_its_client_stalls_then_408_is_said_only_if_none_began(
    begins: Begins, told: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against 408, a promise that nothing ran, for an upload that a server works on (REFUSED)."""

    async def begun(got: Got) -> bytes | None:
        await trio.sleep_forever()

    monkeypatch.setattr(connection, "MUTE", 0.2)
    monkeypatch.setattr(Dialect, "begins", begins)
    async with world(begun) as w:
        client = await w.client()
        await client.send(b"POST /any HTTP/1.1\r\nHost: x\r\nContent-Length: 90000\r\n\r\n" + b"x" * 70_000)
        assert (await client.receive()).status == told
        await until(lambda: w.core.ended)
        assert w.core.ended[0].sent > 70_000


@trio_test
async def test_given_an_upload_that_was_cut_while_its_try_connects_then_nothing_of_it_goes_out() -> None:
    """Guards against a request that is sent after its client was told that it never will be."""
    peer = Peer(ALL, None)
    found = await ended("length", peer, cut=True)
    assert not peer.taken and not found.sent
    assert found.status is Status.CANCELLED  # its server is not to be taken for one that can't be reached


ENDS: dict[str, tuple[bytes | type[OSError] | None, bool]] = {
    # What the server says or does, and whether that is its word that the request has not run.
    "reset": (ConnectionResetError, False),
    "close": (b"", False),
    "silence": (None, False),
    "rubbish": (b"\x00nonsense\r\n\r\n", False),
    "nobody's answer": (b"HTTP/1.1 200 X\r\nContent-Length: 0\r\n\r\n", False),
    "another's answer": (
        b"HTTP/1.1 503 X\r\nTrial-Id: other\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n",
        False,
    ),
    "half an answer": (b"HTTP/1.1 200 X\r\n" + MINE, False),
    "a success without its seal": (b"HTTP/1.1 200 X\r\n" + MINE + b"Content-Length: 0\r\n\r\n", False),
    "503": (b"HTTP/1.1 503 X\r\n" + MINE + b"Content-Length: 0\r\n\r\n", False),
    "not executed": (b"HTTP/1.1 503 X\r\n" + MINE + b"Not-Executed: 1\r\nContent-Length: 0\r\n\r\n", True),
    "misdirected": (b"HTTP/1.1 421 X\r\nContent-Length: 0\r\n\r\n", True),
}


@pytest.mark.parametrize("framing", ["kept", "length", "chunks"])
@pytest.mark.parametrize("takes", [NOTHING, PART_OF_HEAD, PART_OF_BODY, ALL])
@pytest.mark.parametrize("end", ENDS)
@trio_test
async def test_given_a_try_that_ends_then_it_never_ran_only_if_nothing_was_out_or_its_server_says_so(
    end: str, takes: int, framing: str
) -> None:
    """Guards against a request that began before its body was in, and was sent again or refused."""
    says, refused = ENDS[end]
    found = await ended(framing, Peer(takes, says))
    never_ran = found.status.never_ran
    assert found.status is not Status.OK
    assert not never_ran or takes == NOTHING or refused, found.status
    assert never_ran or not (takes == NOTHING or (refused and takes == ALL)), found.status


@pytest.mark.parametrize("guard", ["", "begun"])
@pytest.mark.usefixtures("invariants_may_break")
def test_given_servers_that_work_before_a_body_is_in_then_nothing_runs_twice_or_is_refused(
    guard: str,
) -> None:
    """Guards against TWICE and REFUSED where a server begins early and its answer is lost."""
    begun, broken = 0, list[str]()
    with without(guard) if guard else nullcontext():
        for seed in range(12):
            record = play(seed, harm={"begins": 0.08})
            begun += record.seen["begins"]
            broken += record.verdict()
    assert begun > 50 and bool(broken) is bool(guard), broken[:3]
