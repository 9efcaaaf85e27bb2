"""What members say of their disks, and of what they hold: many of them, unfit ones, ones in doubt.

Owns the words and who says them. It must never wait in real time.
"""

from __future__ import annotations

import math
from collections.abc import Callable
from pathlib import Path
from random import Random
from typing import Any, cast

import pytest
import trio
from trio.testing import MockClock

from finchshelf.agreement.core import Member, Value
from finchshelf.agreement.store import Store
from finchshelf.controlplane.register import Register

SEEDS = tuple(f"10.0.0.{n}:7660" for n in range(1, 11))


class Peers:
    """The other members; one that is `slow` takes its time. `word`: what all of them say instead."""

    def __init__(
        self,
        nursery: trio.Nursery,
        me: str,
        others: dict[str, Register],
        slow: str = "",
        word: dict[str, Any] | None = None,
    ) -> None:
        self.nursery, self.me, self.others, self.slow, self.word = nursery, me, others, slow, word

    def reaches(self, address: str) -> bool:
        return True

    async def agree(self, address: str, message: dict[str, Any], limit: float) -> dict[str, Any]:
        await trio.sleep(0.05 if self.slow in (address, self.me) else 0.001)
        if self.word is not None:
            return {"kind": "state", "slot": 0, "accepted": False, "from": [address, "first"], **self.word}
        return await self.others[address].handle(message)


def made(folder: Path, peers: Peers, seeds: tuple[str, ...]) -> Register:
    folder.mkdir(exist_ok=True)
    return Register(
        peers.me, seeds, True, Store(str(folder), 64), cast(Any, peers), Random(1), lambda *_, **__: None
    )


def run(story: Callable[[trio.Nursery], Any]) -> None:
    async def whole() -> None:
        async with trio.open_nursery() as nursery:
            await story(nursery)
            nursery.cancel_scope.cancel()

    trio.run(whole, clock=MockClock(autojump_threshold=0))


@pytest.mark.parametrize("me", [SEEDS[0], "10.0.0.99:7660"])
def test_given_ten_disks_of_which_it_knows_when_it_starts_again_then_its_own_is_no_wiped_one(
    me: str, tmp_path: Path
) -> None:
    # Given a core of ten seeds with their first disks, or one of nine and this one beside it
    async def story(nursery: trio.Nursery) -> None:
        peers = Peers(nursery, me, {})
        first = made(tmp_path / "disk", peers, SEEDS)
        if me not in SEEDS:
            first.learn(Value(1, tuple(Member(one, "first") for one in SEEDS[1:])))
        assert first.decided is not None
        for member in first.decided.members:
            first.witness.heard(member.address, member.disk, 5)
        await first.save()
        # When it starts again, then it has the same disk and what it held
        again = made(tmp_path / "disk", peers, SEEDS)
        assert again.me == first.me
        assert again.decided == first.decided
        # and what it tells is read by the others
        again.witnessing.told({"disks": first.disks()})

    run(story)


@pytest.mark.parametrize(
    "word",
    [
        {"saw": None},
        {"saw": math.inf},
        {"slot": None},
        {"slot": math.inf},
        {"accepted": None, "slot": "0"},
        {"from": None},
        {"saved": math.inf},
    ],
)
def test_given_a_member_that_answers_rubbish_when_one_starts_then_its_program_goes_on(
    word: dict[str, Any], tmp_path: Path
) -> None:
    async def story(nursery: trio.Nursery) -> None:
        register = made(tmp_path / "disk", Peers(nursery, SEEDS[0], {}, word=word), SEEDS[:3])
        await register.begin()
        with trio.move_on_after(2.0):
            await register.confirm()

    run(story)


def test_given_a_disk_in_doubt_when_it_says_what_it_holds_then_that_proves_nothing(tmp_path: Path) -> None:
    # Given three of which the first holds a newer value, and has heard more of the second's disk than that
    # holds now: it was put back. The third was down meanwhile.
    async def story(nursery: trio.Nursery) -> None:
        core = dict[str, Register]()
        for address in SEEDS[:3]:
            peers = Peers(nursery, address, core, slow=SEEDS[0])
            core[address] = made(tmp_path / address, peers, SEEDS[:3])
            await core[address].save()
        newest, put_back, behind = core.values()
        newest.learn(Value(1, newest.members, 1, b"{}"))
        newest.witness.heard(SEEDS[1], "first", 99)
        # When both start, and the second's word is there before the first's
        await put_back.begin()
        await behind.begin()
        with trio.move_on_after(0.04):
            await behind.confirm()
        # Then the third does not take for the newest what it holds
        assert put_back.witness.doubted and not behind.standing.proved

    run(story)
