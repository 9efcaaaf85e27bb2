"""Stories of data planes that are told to end while clients use their connections until these are gone."""

from __future__ import annotations

from typing import Any

import pytest
import trio

from finchshelf.dataplane.leaving import ANSWERED_S, TAKEN_S, Leaving
from finchshelf.simulation.client import Client
from finchshelf.simulation.documents import HOST
from finchshelf.simulation.fleet import FRONT, World, fine
from finchshelf.transport.address import Address
from finchshelf.transport.answering import MOST_BEHIND
from tests.stand_ins import Got, always, status, trio_test, until
from tests.test_transport import GET, world

CLIENTS = 60
CUTOFF_S = 6.0
WORK_S = (
    2.5  # a fifth more or less: what came until 2.5 s after SIGTERM has its answer before the process ends
)


@pytest.mark.parametrize(
    ("now", "until", "streamed", "taken"),
    [
        (100.0, 130.0, False, True),
        (100.0 + TAKEN_S - 0.001, 130.0, False, True),
        (100.0 + TAKEN_S, 130.0, False, False),
        (100.0 + TAKEN_S, 105.6 - ANSWERED_S, False, True),
        (100.0 + TAKEN_S, 105.6, False, False),
        (105.0, 105.4, False, True),
        (100.0, 130.0, True, False),
        (100.0, 105.6 - ANSWERED_S, True, True),
    ],
)
def test_given_a_planned_end_then_late_requests_are_taken_if_they_end_before_it(
    now: float, until: float, streamed: bool, taken: bool
) -> None:
    """Guards against LOST: what is passed on late, or while its body comes, and may outlast the process."""
    assert Leaving(100.0, 105.6).takes(until, streamed, now) is taken


def patient(world: World) -> dict[str, Any]:
    """A configuration whose routes wait longer than a data plane that ends can."""
    document = world.configuration(2, 1)
    for element in document["elements"]:
        if element["elementKind"] == "trajectories":
            element["reference"]["cutoffMs"] = int(CUTOFF_S * 1000)
    return document


async def kept_until_gone(world: World) -> None:
    """Each client uses its kept connection once, at any moment until the process is gone."""
    assert await world.replace(patient(world)) == 200
    host = world.edges[1]
    front = Address(host, FRONT)
    for server in world.at("alpha"):
        server.capacity, server.slots = CLIENTS, trio.Semaphore(CLIENTS)
    callers = [
        Client(world.outside(f"10.9.8.{n}", "z0", f"caller {n}"), world.judge) for n in range(1, CLIENTS + 1)
    ]

    async def ask(caller: Client, after_s: float) -> None:
        await trio.sleep(after_s)
        with world.being(caller.life):
            await caller.ask(front, HOST, "/write/", "key-plain", mutating=True, body=b"desk", wait=CUTOFF_S)

    async with trio.open_nursery() as nursery:
        for caller in callers:
            nursery.start_soon(ask, caller, 0.0)
    for server in world.at("alpha"):
        server.work = WORK_S
    world.terminate(host)
    async with trio.open_nursery() as nursery:
        for caller in callers:
            nursery.start_soon(ask, caller, CUTOFF_S * world.random.random())


@trio_test
async def test_given_requests_behind_one_another_when_the_program_is_told_to_end_then_all_are_answered() -> (
    None
):
    """Guards against LOST: requests that had come behind another were dropped with its last answer."""
    told = trio.Event()

    async def slow(got: Got) -> bytes | None:
        await told.wait()
        return status(200)

    async with world(slow) as w:
        client = await w.client()
        await client.send(GET * 3)
        await until(lambda: w.server.got)
        w.clients.draining = True
        told.set()
        answers = [await client.receive() for _ in range(3)]
        assert [answer.status for answer in answers] == [200] * 3
        assert [answer.headers.get(b"connection") for answer in answers] == [None, None, b"close"]
        assert not await client.stream.receive_some()


@trio_test
async def test_given_a_client_that_always_has_more_when_the_program_is_told_to_end_then_it_ends() -> None:
    async with world(always(status(200))) as w:
        client = await w.client()
        w.clients.draining = True
        await client.send(GET * (2 * MOST_BEHIND))
        answers = 0
        while (await client.receive()).headers.get(b"connection") is None:
            answers += 1
        assert answers == MOST_BEHIND


@pytest.mark.parametrize("seed", range(5))
def test_given_kept_connections_used_until_a_limiter_has_ended_then_nothing_that_it_took_is_cut(
    seed: int,
) -> None:
    """Guards against LOST: requests read late in a planned end, passed on, and closed unanswered."""
    world = fine(kept_until_gone, seed)
    late = [one for one in world.judge.asked.values() if one.status == 503]
    assert late and len([one for one in world.judge.asked.values() if one.status == 200]) > CLIENTS
