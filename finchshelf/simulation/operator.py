"""The operator of the fleet in memory, who sends configurations and reads them back.

Owns the versions that were acknowledged. It must never know more of the fleet than its addresses.
"""

from __future__ import annotations

from contextlib import suppress
from typing import Any

import orjson
import trio

from finchshelf.simulation.conversation import Cut, call
from finchshelf.simulation.judge import Judge, Version
from finchshelf.simulation.network import Life, now
from finchshelf.transport.address import Address

SLOWEST = 200_000  # bytes a second: a caller waits a second, and longer for what a large body takes


class Operator:
    """Sends configurations in the way of the protocol: again, unchanged, and elsewhere, until it is told."""

    def __init__(self, life: Life, judge: Judge, supervisors: list[Address]) -> None:
        self.life, self.judge, self.supervisors = life, judge, supervisors
        self.random = life.random
        self.reading = 1.0  # s that it waits for a configuration to come

    async def replace(
        self,
        document: dict[str, Any],
        *,
        at: list[Address] | None = None,
        valid: bool = True,
        limit: float = 10.0,
    ) -> int:
        version = self.note(document, document, valid)
        return await self.send("replace", document, version, at, limit)

    async def adjust(
        self,
        change: dict[str, Any],
        whole: dict[str, Any],
        *,
        at: list[Address] | None = None,
        limit: float = 10.0,
    ) -> int:
        """`whole`: what the change makes of the version that it builds on."""
        version = self.note(change, whole, True)
        return await self.send("adjust", change, version, at, limit)

    def note(self, sent: dict[str, Any], whole: dict[str, Any], valid: bool) -> Version:
        number = int(sent["setpointSeq"], 16)
        for one in self.judge.versions:
            if one.number == number and one.document == whole:
                return one
        self.judge.versions.append(Version(number, int(sent["priorVersion"], 16), whole, now(), valid))
        return self.judge.versions[-1]

    async def send(
        self, kind: str, document: dict[str, Any], version: Version, at: list[Address] | None, limit: float
    ) -> int:
        """200, or the status that refused it; 0 where no clear answer came in time."""
        body, pause = orjson.dumps(document), 0.1
        with trio.move_on_after(limit):
            while True:
                for address in at or self.random.sample(self.supervisors, len(self.supervisors)):
                    status = 0
                    with suppress(Cut):
                        status = (
                            await call(
                                address, f"/v1/rpc?call=setpoint.{kind}", body, 1.0 + len(body) / SLOWEST
                            )
                        ).status
                    if status == 200:
                        version.taken = min(version.taken, now())
                        return 200
                    if 400 <= status < 500 and status not in (408, 429):
                        version.refused = True
                        return status
                    await trio.sleep(pause)
                    pause = min(1.0, pause * 1.5)
        return 0

    async def begin_transition(
        self, body: dict[str, Any], at: list[Address] | None = None, limit_s: float = 6.0
    ) -> int:
        """Ask for a new version of a service, again until it is told: 200, or the status that refused it; 0
        where no clear answer came in time."""
        with trio.move_on_after(limit_s):
            while True:
                for address in at or self.random.sample(self.supervisors, len(self.supervisors)):
                    status = 0
                    with suppress(Cut):
                        status = (
                            await call(address, "/v1/rpc?call=transitions.begin", orjson.dumps(body))
                        ).status
                    if status == 200 or (400 <= status < 500 and status not in (408, 429)):
                        return status
                    await trio.sleep(0.2)
        return 0

    async def observe_transition(
        self, service: str, at: list[Address] | None = None, limit_s: float = 6.0
    ) -> dict[str, Any] | None:
        """The state of the service's transition, as the first that can tell says; None if nobody can."""
        with trio.move_on_after(limit_s):
            while True:
                for address in at or self.random.sample(self.supervisors, len(self.supervisors)):
                    with suppress(Cut):
                        reply = await call(address, f"/v1/rpc?call=transitions.observe&of={service}", b"{}")
                        if reply.status == 200:
                            found: dict[str, Any] = orjson.loads(reply.body)
                            return found
                    await trio.sleep(0.2)
        return None

    async def observe(self, limit: float = 6.0, at: list[Address] | None = None) -> dict[str, Any] | None:
        with trio.move_on_after(limit):
            while True:
                for address in at or self.random.sample(self.supervisors, len(self.supervisors)):
                    with suppress(Cut):
                        reply = await call(address, "/v1/rpc?call=setpoint.observe", b"{}", self.reading)
                        if reply.status == 200:
                            found: dict[str, Any] = orjson.loads(reply.body)
                            return found
                    await trio.sleep(0.2)
        return None
