"""Stories of a control plane that falls silent just after it told limiters of a change.

What one control plane has told and others have too is never waited for at that one alone.
"""

from __future__ import annotations

from hashlib import sha256
from typing import Any
from unittest import mock

import pytest
import trio

from finchshelf.controlplane.register import Register
from finchshelf.dataplane.follower import Follower
from finchshelf.simulation.fleet import Process, World, fine, play
from finchshelf.simulation.network import Machine, now

ROUTES = 350  # a document of so many is named with the news, and fetched piece by piece
CHANGES = 3
SILENT_S = 5.0
IN_FORCE_S = 2.5  # after an acknowledgement
DISKLESS = "10.0.0.2"  # the host of a control plane without a disk
CALM_S = 9.5  # from one change to the next: by then who was silent counts as well again


def document(world: World, number: int) -> dict[str, Any]:
    """A large configuration, in which each version moves one route."""
    routes = {
        "read": ("/read/", "nullipotent", "alpha"),
        "write": ("/write/", "mutating", "alpha"),
        "other": ("/other/", "nullipotent", ("alpha", "beta")[number % 2]),
    }
    for n in range(ROUTES):
        name = sha256(b"%d" % n).hexdigest()[:12]
        routes[f"r-{name}"] = (f"/{name}/", "nullipotent", "alpha")
    return world.configuration(number, number - 1, routes=routes)


class Silencer:
    """Lets a control plane fall silent as soon as a limiter on another machine fetches a document from it."""

    def __init__(self) -> None:
        self.host, self.asked = "", trio.Event()

    def fetches(self, follower: Follower, address: str) -> None:
        host = address.rpartition(":")[0]
        if not self.host and host != follower.me.host:
            self.host = host
            self.asked.set()

    async def strike(self, world: World) -> None:
        await self.asked.wait()
        await world.freeze(self.host, SILENT_S)


@pytest.mark.parametrize("seed", range(4))
def test_given_a_control_plane_that_stands_still_while_its_change_is_fetched_then_others_bring_it(
    seed: int,
) -> None:
    """Guards against CONFIG: limiters went by a former configuration while who told them was silent."""
    struck = list[tuple[float, int, Silencer]]()  # acknowledged when, which version, who was silent

    async def story(world: World) -> None:
        silencer: list[Silencer] = []
        fetch = Follower.fetch

        async def watched(self: Follower, value: Any, name: bytes, address: str) -> None:
            if silencer:
                silencer[-1].fetches(self, address)
            await fetch(self, value, name, address)

        with mock.patch.object(Follower, "fetch", watched):
            assert await world.replace(document(world, 2)) == 200
            await trio.sleep(CALM_S / 2)
            for number in range(3, 3 + CHANGES):
                silencer.append(Silencer())
                world.nursery.start_soon(silencer[-1].strike, world)
                assert await world.replace(document(world, number)) == 200
                struck.append((now(), number, silencer[-1]))
                await trio.sleep(CALM_S)

    world = fine(story, seed)
    for at, number, silenced in struck:
        silent = silenced.host
        taken = {
            who: moment
            for moment, who, _, fields in world.told("configuration", "data")
            if fields["version"] == number
        }
        late = {who: moment - at for who, moment in taken.items() if moment - at > IN_FORCE_S}
        assert silent and len(taken) == len(world.edges)
        assert all(silent in who for who in late), (number, silent, late)


class WithDiskless(World):
    """One more machine runs a control plane, which has no disk and so is no member."""

    def add(self, host: str, zone: str, control: bool) -> Machine:
        machine = super().add(host, zone, control)
        if host == DISKLESS:
            self.processes.append(Process(self, machine, "control", None))
        return machine


@pytest.mark.parametrize("seed", range(4))
def test_given_who_told_a_control_plane_of_a_change_stands_still_then_others_bring_it_the_change(
    seed: int,
) -> None:
    """Guards against CONFIG: a control plane waited for a silent one, and its limiters with it."""
    struck = list[str]()  # who fell silent at each change; nobody where it came without a fetch
    late = dict[int, float]()  # s from an acknowledgement until the one without a disk had it, by version

    async def story(world: World) -> None:
        silencer: list[Silencer] = []
        watched: list[Register] = []
        fetch = Register.fetch

        async def fetching(self: Register, value: Any, name: bytes, address: str) -> None:
            host = address.rpartition(":")[0]
            if self.address.startswith(f"{DISKLESS}:"):
                watched[:] = [self]
                if silencer and not silencer[-1].host:
                    silencer[-1].host = host
                    silencer[-1].asked.set()
            await fetch(self, value, name, address)

        with mock.patch.object(Register, "fetch", fetching):
            assert await world.replace(document(world, 2)) == 200
            await trio.sleep(CALM_S / 2)
            for number in range(3, 3 + CHANGES):
                silencer.append(Silencer())
                world.nursery.start_soon(silencer[-1].strike, world)
                assert await world.replace(document(world, number)) == 200
                acknowledged = now()
                while watched[0].decided is None or watched[0].decided.version < number:
                    await trio.sleep(0.05)
                late[number] = now() - acknowledged
                struck.append(silencer[-1].host)
                await trio.sleep(CALM_S)

    play(story, seed, make=WithDiskless)
    assert any(struck)
    assert max(late.values()) <= IN_FORCE_S, late
