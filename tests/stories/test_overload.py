"""Stories of control planes that are asked by all at once, on a processor that is slow.

Owns the crowd, what an item of work costs, and who must be answered all the same. It must never take part in
a rule: the crowd is neither a limiter nor a server.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field
from statistics import median
from typing import Any
from unittest import mock

import pytest
import trio

from finchshelf.controlplane import ranks, turns
from finchshelf.controlplane.ranks import Line, Rank, of_call, of_question
from finchshelf.controlplane.turns import Turns
from finchshelf.simulation.fleet import PORTS, World, fine, play
from finchshelf.simulation.network import current, now
from finchshelf.simulation.server import Server
from finchshelf.transport.address import Address
from finchshelf.transport.frames import Link, PeerError

COST = 0.02  # s of an item: a control plane does 50 a second
CROWD, AGAIN = 100, 0.5  # askers at each control plane; s until one asks again
LENGTH = 4.0  # s of it
CONVERGENCE_S, ACKNOWLEDGE_S = 4.0, 5.0
QUESTIONS: dict[str, dict[str, Any]] = {
    "news": {"op": "news", "have": {}},
    "experience": {"op": "experience", "limiter": "none"},
}


async def worked(self: Turns) -> None:
    """In place of a processor: each item takes its time, also those that come meanwhile."""
    await trio.lowlevel.checkpoint()
    done = 0
    while done < self.line.begun:
        more, done = self.line.begun - done, self.line.begun
        await trio.sleep(more * COST)


class Fair(Line[Any]):
    """A mutant: who comes first is first, and nobody is turned away."""

    def come(self, item: Any, rank: Rank, now: float) -> tuple[bool, list[Any]]:
        with mock.patch.object(ranks, "PATIENCE", (1e9,) * 5), mock.patch.object(ranks, "MOST", 1 << 30):
            return super().come(item, Rank.OPERATOR, now)


@dataclass
class Seen:
    """What the crowd and those who count saw."""

    served: list[float] = field(default_factory=list)
    shed: list[float] = field(default_factory=list)
    silent: int = 0
    changes: list[float] = field(default_factory=list)
    drains: list[float] = field(default_factory=list)
    after: float = 0.0  # s from the crowd's end until anyone is answered at once


async def ask(world: World, host: str, question: str, seen: Seen, until: float) -> None:
    current.set(world.outside(f"10.8.{len(seen.served) % 200}.{world.random.randrange(200)}", "out", "crowd"))
    async with trio.open_nursery() as nursery:
        link = Link(Address(host, PORTS[0]), nursery)
        while now() < until:
            began = now()
            try:
                await link.ask("crowd", QUESTIONS[question], 2.0)
                seen.served.append(now() - began)
            except PeerError as error:
                if "busy" in error.why:
                    seen.shed.append(now() - began)
                else:
                    seen.silent += 1
            await trio.sleep(AGAIN * world.random.uniform(0.8, 1.2))
        nursery.cancel_scope.cancel()


async def changing(world: World, seen: Seen, until: float) -> None:
    number = 1
    while now() < until:
        began, number = now(), number + 1
        assert await world.replace(world.configuration(number, number - 1)) == 200
        seen.changes.append(now() - began)
        await trio.sleep(0.5)


async def leaving(world: World, server: Server, seen: Seen) -> None:
    began = now()
    await server.leave(5.0)
    seen.drains.append(world.judge.drained.get(server.name, 1e9) - began)


def crowded(seed: int, played: Callable[..., World]) -> tuple[World, Seen]:
    seen = Seen()

    async def story(world: World) -> None:
        world.usual(15.0, rate=20.0)
        await trio.sleep(2.0)
        for host in world.edges:
            world.kill(host, after=world.random.uniform(0.3, 0.6))
        await trio.sleep(0.8)
        until = now() + LENGTH
        for host in world.core:
            for n in range(CROWD):
                question = "experience" if n % 4 == 0 else "news"
                world.nursery.start_soon(ask, world, host, question, seen, until)
        world.nursery.start_soon(changing, world, seen, until)
        await trio.sleep(1.0)
        for server in world.at("alpha")[:2] + world.at("beta")[:2]:
            world.nursery.start_soon(leaving, world, server, seen)
        await trio.sleep_until(until)
        seen.after, one = 1e9, Seen()
        while now() < until + 12.0:
            await ask(world, world.random.choice(world.core), "news", one, now() + 0.01)
            if one.served and one.served[-1] < 0.2 and all(world.inside[host] == 0 for host in world.edges):
                seen.after = now() - until
                break
        await trio.sleep(6.0)

    return played(story, seed), seen


@pytest.mark.parametrize("seed", [401, 402])
def test_given_a_crowd_after_a_mass_kill_when_operators_call_and_servers_leave_then_these_come_first(
    seed: int,
) -> None:
    with mock.patch.object(Turns, "worked", worked):
        world, seen = crowded(seed, fine)
    assert len(seen.shed) > len(seen.served) / 4 and median(seen.shed) < 0.05 and max(seen.shed) < 0.7
    assert len(seen.changes) > 3 and max(seen.changes) < ACKNOWLEDGE_S
    assert len(seen.drains) == 4 and max(seen.drains) < ACKNOWLEDGE_S
    assert seen.after < CONVERGENCE_S
    told = {rank for *_, fields in world.told("calls.shed") for rank in fields}
    assert "news" in told and not told & {"operator", "drain"}


def test_given_a_crowd_when_nobody_is_ranked_or_turned_away_then_all_wait_too_long() -> None:
    """The mutant of the story above."""
    with mock.patch.object(Turns, "worked", worked), mock.patch.object(turns, "Line", Fair):
        _, seen = crowded(401, play)
    assert not seen.shed and max(seen.drains) > ACKNOWLEDGE_S and max(seen.changes) > ACKNOWLEDGE_S


# ---- the line ----


def test_given_items_of_all_ranks_when_turns_end_then_the_higher_begin_first_and_the_stale_are_shed() -> None:
    line: Line[str] = Line()
    assert all(line.come(f"first {n}", Rank.REST, 0.0) == (True, []) for n in range(ranks.ROOM))
    for n in range(ranks.ROOM - 1):
        for rank in reversed(Rank):
            assert line.come(f"{rank.name} {n}", rank, 0.0) == (False, [])
    begun, shed = line.turn(0.0)
    assert [one.split()[0] for one in begun] == ["OPERATOR"] * 7 + ["DRAIN"] and not shed
    begun, shed = line.turn(0.3)
    assert [one.split()[0] for one in begun] == ["DRAIN"] * 6 + ["BEAT"] * 2
    assert {one.split()[0] for one in shed} == {"REST"} and len(shed) == 7
    begun, shed = line.turn(0.65)
    assert not begun and {one.split()[0] for one in shed} == {"BEAT", "NEWS"} and not len(line)


def test_given_a_slow_pace_when_an_item_would_come_too_late_then_it_is_shed_at_once_by_its_rank() -> None:
    line, at = Line[int](), 0.0
    for n in range(80):  # a long line of operators, 0.03 s each
        line.come(n, Rank.OPERATOR, at)
    for _ in range(5):
        line.turn(at := at + 0.03 * ranks.ROOM)
    assert line.pace > 0.015 and len(line) == 80 - 6 * ranks.ROOM
    assert line.come(1, Rank.NEWS, at) == (False, [1]) and line.come(2, Rank.REST, at) == (False, [2])
    assert line.come(3, Rank.OPERATOR, at) == (False, [])
    while len(line) or line.begun:
        line.turn(at := at + 0.03 * line.begun)
    assert line.come(5, Rank.REST, at) == (True, [])  # an idle one turns nobody away, whatever its pace was


def test_given_a_full_line_when_a_higher_rank_comes_then_the_newest_of_the_lowest_makes_room() -> None:
    line = Line[str]()
    for n in range(ranks.ROOM + 3):
        line.come(f"rest {n}", Rank.REST, 0.0)
    with mock.patch.object(ranks, "MOST", 3):
        assert line.come("beat", Rank.BEAT, 0.0) == (False, ["rest 10"])
        assert line.come("late", Rank.REST, 0.0) == (False, ["late"])


@pytest.mark.parametrize(
    ("name", "body", "rank"),
    [
        ("servers.pulse", b'{"mode":"stable"}', Rank.BEAT),
        ("servers.departure", b"", Rank.DRAIN),
        ("servers.pulse", b'{"mode": "decaying"}', Rank.DRAIN),
        ("setpoint.adjust", b"", Rank.OPERATOR),
        ("what", b"", Rank.REST),
    ],
)
def test_given_a_call_when_it_comes_then_it_has_its_rank(name: str, body: bytes, rank: Rank) -> None:
    assert of_call(name, body) is rank


def test_given_a_question_when_it_comes_then_control_planes_and_the_agreement_are_before_limiters() -> None:
    found = [
        of_question("agree", False),
        of_question("hold", False),
        of_question("news", True),
        of_question("news", False),
        of_question("experience", False),
        of_question([], False),
    ]
    assert found == [Rank.OPERATOR, Rank.DRAIN, Rank.DRAIN, Rank.NEWS, Rank.REST, Rank.REST]
