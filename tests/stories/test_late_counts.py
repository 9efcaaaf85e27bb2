"""The real programs on a day on which answers about counts come late, to a limiter that has started anew."""

from __future__ import annotations

from contextlib import nullcontext
from typing import Any
from unittest import mock

import pytest
import trio

from finchshelf.dataplane import questions
from finchshelf.dataplane.counting import Counting
from finchshelf.dataplane.questions import Questions
from finchshelf.membership import rendezvous
from finchshelf.simulation.fleet import World, play
from finchshelf.simulation.slips import without

ASKER, HOLDER = "10.0.0.2", "10.0.0.3"
NODES = [f"edge-10.0.0.{n}" for n in (1, 2, 3)]
HELD = [
    name for name in (f"tenant{n}" for n in range(60)) if rendezvous.first(name, NODES) == f"edge-{HOLDER}"
][:6]


async def story(world: World) -> None:
    """A holder stands still with questions unread; who asked them ends, starts anew and asks others."""
    world.kill(ASKER, "data", after=0.1)
    await trio.sleep(0.4)  # its numbers are still low
    async with trio.open_nursery() as nursery:

        async def ask(tenants: list[str], seconds: float) -> None:
            until = trio.current_time() + seconds
            while trio.current_time() < until:
                name = world.random.choice(tenants)
                nursery.start_soon(
                    lambda key: world.ask("zone0", "/read/", key, front=ASKER, tries=1), f"key-{name}"
                )
                await trio.sleep(0.005)

        nursery.start_soon(world.freeze, HOLDER, 0.7)
        await ask(HELD[:3], 0.15)
        world.kill(ASKER, "data", after=0.05)
        await trio.sleep(0.15)
        await ask(HELD[3:], 1.0)


def day(seed: int, guard: str = "") -> tuple[int, int, list[str]]:
    """Answers that a former life's question got and another request took; those told stale; rules broken."""
    wrong, stale = list[int](), [False]
    told = Counting.told

    def telling(self: Counting, number: int, *rest: Any) -> None:
        if stale[0] and number in self.questions:
            wrong.append(number)
        told(self, number, *rest)

    with without(guard) if guard else nullcontext():
        read = Questions.read

        def reading(self: Questions, message: Any, source: tuple[str, int]) -> None:
            stale[0] = message[0] == questions.TELL and message[1] != self.life
            read(self, message, source)

        with mock.patch.object(Questions, "read", reading), mock.patch.object(Counting, "told", telling):
            world = play(
                story,
                seed,
                zones=1,
                limiters=3,
                controls=1,
                tenants={"plain": (0.0, 0.0), **dict.fromkeys(HELD, (400.0, 400.0))},
            )
    return len(wrong), world.counted("count.stale"), world.judge.verdict()


@pytest.mark.parametrize("seed", [1, 2])
def test_given_a_holder_that_stood_still_then_its_answers_to_a_former_life_reach_nobody(seed: int) -> None:
    wrong, stale, broken = day(seed)
    assert not wrong and stale and not broken, f"seed {seed}: {wrong}, {stale}, {broken}"


def test_given_answers_name_no_life_then_the_same_day_gives_them_to_others() -> None:
    assert day(1, "life")[0]
