"""A limiter's part in shared experience: what it sees, what all know, and the trials it won.

Owns this limiter's digest, the verdicts it follows and its duties. No I/O and no clock: `teller` carries.
It must never touch a request that has been sent: a verdict only changes where the next one goes.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable
from typing import Any

from finchshelf.admission.interface import Status
from finchshelf.dataplane.choice import Choice
from finchshelf.experience.board import Verdict, owner, read_verdict
from finchshelf.experience.digest import Digest, kind
from finchshelf.experience.policy import Policy
from finchshelf.experience.wayback import FULL, OUT, RISING, TRIAL
from finchshelf.membership import rendezvous

FRESH = 1.0  # s after which a server's own word on its load is too old to excuse it


class Steering:
    def __init__(self, me: str, policy: Policy, choice: Choice) -> None:
        self.me, self.policy, self.choice, self.on = me, policy, choice, policy.on
        self.digest = Digest(policy)
        self.verdicts: dict[str, Verdict] = {}
        self.bids: dict[str, float] = {}  # servers whose trial nobody holds: when this limiter asks for it
        self.duties: dict[str, int] = {}  # trials that are this limiter's: of which round
        self.trying: dict[str, int] = {}  # and is out: of which round
        self.probing: dict[str, int] = {}  # trials that wait for a probe's end: of which round
        self.probe: Callable[[str], bool] = lambda _: False  # sends one; False if it can't
        self.results: list[tuple[str, int, bool]] = []
        self.limiters: list[str] = [me]
        self.wake: Callable[[], None] = lambda: None

    # ---- what this limiter sees ----

    def ended(
        self,
        server: str,
        status: Status,
        used: int,
        took: float,
        usual: float,
        load: tuple[int, int, int] | None,
        now: float,
    ) -> None:
        """One try ended; `usual`: s that its route takes."""
        multiple = took / max(usual, 1e-3) if usual else 1.0
        # Danger: where answers take a millisecond, a turn of our own loop makes any server look slow.
        slow = multiple >= self.policy.slow and took - usual >= self.policy.slow_least
        known = self.choice.table.get(server)
        if slow and known is not None:
            # Danger: under a load that is more than all can bear, queues would make every server look slow.
            slow = multiple >= self.policy.slow * max(1.0, (known.open + known.told) / known.record.capacity)
        full = (
            known is not None
            and now - known.told_at < FRESH
            and known.open + known.told >= known.record.capacity
        )
        room = load is not None and load[0] < load[2] and not load[1]
        found = kind(status, used, slow, room)
        if full and status in (Status.RESET, Status.TIMEOUT):
            # Danger: some servers reset or hang what they have no room for. One that says that it is full is
            # not bad: under an overload all would be, and all would leave one after the other.
            found = None
        if server in self.trying and (found is not None or status is Status.OK):
            self.results.append((server, self.trying.pop(server), found is None))
            if found is not None:
                self.duties.pop(server, None)
            self.wake()
        elif server in self.trying and status is Status.CANCELLED:
            del self.trying[server]
        if known is not None and self.digest.ended(server, found, status is Status.OK, multiple, now):
            verdict = self.verdicts.get(server)
            if verdict is None or verdict.state not in (OUT, TRIAL):  # else all know; the next round will do
                self.wake()

    def trial(self, service: str, now: float) -> str | None:
        """A server of the service that is to be tried by the next repeatable request."""
        for name in self.duties:
            known = self.choice.table.get(name)
            if (
                known is not None
                and known.record.service == service
                and name not in self.trying
                and name not in self.probing
                and known.record.usable()
            ):
                self.trying[name] = self.duties[name]
                return name
        return None

    # ---- what others know ----

    def news(self, rows: Iterable[Any], now: float) -> None:
        for row in rows:
            verdict = read_verdict(row)
            if not verdict.newer(self.verdicts.get(verdict.server)):
                continue
            old = self.verdicts.get(verdict.server)
            self.verdicts[verdict.server] = verdict
            self.follow(verdict, old, now)
            self.apply(verdict.server)

    def follow(self, verdict: Verdict, old: Verdict | None, now: float) -> None:
        name = verdict.server
        if verdict.state in (OUT, RISING) and (old is None or old.state != verdict.state):
            self.digest.forget(name)  # what it was before is no word on what it is now
        if verdict.state == FULL:
            self.digest.watched.discard(name)
        else:
            self.digest.watch(name, old is None or old.state == FULL)
        if (
            verdict.state != TRIAL
            or verdict.holder not in ("", self.me)
            or self.duties.get(name, verdict.round) != verdict.round
        ):
            self.duties.pop(name, None)
            self.trying.pop(name, None)
            self.probing.pop(name, None)
        self.bids.pop(name, None)
        if verdict.state == TRIAL and not verdict.holder:
            order = rendezvous.order(f"{name}#{verdict.round}", self.limiters)
            place = order.index(self.me) if self.me in order else len(order)
            self.bids[name] = now + place * self.policy.bid_step
        self.wake()

    def apply(self, server: str) -> None:
        known, verdict = self.choice.table.get(server), self.verdicts.get(server)
        if known is not None and verdict is not None:
            known.share, known.dead = verdict.share, verdict.dead and verdict.share <= 0.0

    def granted(self, server: str, number: int) -> None:
        verdict = self.verdicts.get(server)
        if verdict is not None and verdict.state == TRIAL and verdict.round == number:
            self.duties[server] = number
            # Danger: a probe that lies would keep a server out for good: after some rounds one goes without.
            if number % (self.policy.probes + 1) and self.probe(server):
                self.probing[server] = number

    def probed(self, server: str, well: bool) -> None:
        """A probe ended. A good one is only a hint: the trial that it was for follows."""
        number = self.probing.pop(server, -1)
        if not well and self.duties.get(server) == number:
            del self.duties[server]
            self.results.append((server, number, False))
            self.wake()

    def alone(self) -> None:
        """No cell has been heard for long: each limiter goes by what it sees itself."""
        for name in self.verdicts:
            if (known := self.choice.table.get(name)) is not None:
                known.share, known.dead = 1.0, False
        self.verdicts.clear()
        self.digest.watched.clear()
        self.bids.clear()
        self.duties.clear()
        self.trying.clear()
        self.probing.clear()

    def keep(self) -> None:
        """Lives that have ended leave nothing behind."""
        for table in (self.verdicts, self.bids, self.duties, self.trying, self.probing):
            for name in [name for name in table if name not in self.choice.table]:
                del table[name]
        for name in [name for name in self.digest.sums if name not in self.choice.table]:
            self.digest.forget(name)

    # ---- what goes out ----

    def take(self, named: Iterable[str], now: float) -> dict[str, dict[str, list[Any]]]:
        """What there is to say, by the cell that owns the service it is about."""
        heard, found = list(named), dict[str, dict[str, list[Any]]]()

        def put(server: str, what: str, row: list[Any]) -> None:
            known = self.choice.table.get(server)
            cell = owner(known.record.service, heard) if known is not None else ""
            if cell:
                found.setdefault(cell, {"rows": [], "bids": [], "results": []})[what].append(row)

        for row in self.digest.take(now):
            put(row[0], "rows", row)
        for server in [name for name, at in self.bids.items() if at <= now]:
            del self.bids[server]
            put(server, "bids", [server, self.verdicts[server].round])
        for server, number, well in self.results:
            put(server, "results", [server, number, well])
        self.results.clear()
        return found

    def next_at(self, now: float) -> float:
        """When there is something to say without anything new; far off where nothing is."""
        return min(self.bids.values(), default=now + 3600.0)
