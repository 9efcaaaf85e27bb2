"""Carries a limiter's experience to the cells that own the services it is about, and grants back.

Owns when it goes out. It must never hold up a request, say more often than it must, or take the silence of
a cell for news.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

import trio

from finchshelf.dataplane.follower import Follower
from finchshelf.dataplane.sources import LISTED_S
from finchshelf.dataplane.steering import Steering
from finchshelf.transport.exchange import Clock
from finchshelf.transport.frames import PeerError

GAP = 0.15  # s between two times of telling, the first of which is prompt: a failing service fails often
LIMIT = 0.6  # s for a cell to answer
PASSED_OVER = 2.0  # s that a cell which did not answer is passed over: another relays
LOOK = 1.0  # s between two looks at whether any cell is heard


class Teller:
    def __init__(
        self,
        steering: Steering,
        follower: Follower,
        clock: Clock,
        nursery: trio.Nursery,
        log: Callable[..., None],
    ) -> None:
        self.steering, self.follower, self.clock, self.log = steering, follower, clock, log
        self.nursery = nursery
        self.event = trio.Event()
        self.failed: dict[str, float] = {}
        steering.wake = self.wake

    def wake(self) -> None:
        self.event.set()

    async def run(self) -> None:
        steering, prompt = self.steering, self.steering.policy.prompt
        while True:
            now = self.clock.now()
            with trio.move_on_after(min(LOOK, max(0.0, steering.next_at(now) - now))):
                await self.event.wait()
            self.event = trio.Event()
            await trio.sleep(prompt)
            now = self.clock.now()
            sources = self.follower.sources
            if steering.verdicts and all(now - one.heard > LISTED_S for one in sources.values()):
                steering.alone()
                for one in sources.values():
                    one.have["verdicts"] = -1
            named = [
                name
                for name, one in sources.items()
                if now >= max(one.down_until, self.failed.get(name, 0.0))
            ]
            said = steering.take(named, now)
            for address, message in said.items():
                self.nursery.start_soon(self.tell, address, message)
            if said:
                await trio.sleep(GAP - prompt)

    async def tell(self, address: str, message: dict[str, Any]) -> None:
        source = self.follower.sources.get(address)
        if source is None:
            return
        try:
            answer = await source.link.ask(
                "experience", {"op": "experience", "limiter": self.steering.me, **message}, LIMIT
            )
            for server, number in answer.get("granted", ()):
                self.steering.granted(str(server), int(number))
        except PeerError:
            self.failed[address] = self.clock.now() + PASSED_OVER
        except (TypeError, ValueError) as error:
            self.log("peer.unfit", peer=address, step="experience", error=repr(error))
