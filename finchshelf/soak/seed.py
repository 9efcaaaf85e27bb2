"""One seed of the soak from start to verdict: the system, its clients, servers, operators, and the troubles.

Owns the order of these and the folder in which a seed's logs and ledgers are kept. It must never leave a
process behind that it started.
"""

from __future__ import annotations

import json
import signal
import tempfile
import time
from collections import Counter
from contextlib import ExitStack
from dataclasses import asdict, dataclass, field
from pathlib import Path
from random import Random
from typing import Any

import orjson
import trio

from finchshelf.cli.system import CONTROL, FRONT, READINESS, ZONES, System
from finchshelf.soak import figures, site
from finchshelf.soak import judge as judges
from finchshelf.soak import plan as plans
from finchshelf.soak.breach import Breach
from finchshelf.soak.clients import Crowd, Platform, Route
from finchshelf.soak.cuts import Cuts
from finchshelf.soak.judge import Judge
from finchshelf.soak.ledger import Ledger, Struck
from finchshelf.soak.operators import Office
from finchshelf.soak.plan import CORE, MACHINES, USUAL, Pace, Plan
from finchshelf.soak.reach import Reached, reached
from finchshelf.soak.servers import Server, Yard
from finchshelf.soak.troubles import Hands
from finchshelf.transport.address import Address

METRICS = {"control-plane": figures.CONTROL_PORT, "data-plane": figures.EDGE_PORT}
STARTS_S = 40.0  # for the first configuration to be taken: ten programs start at once
READY_S = 20.0
SCRAPE_S = 2.0
LAST_READ_S = 3.0
TICK_S, LATE_S = 0.05, 0.25  # between two looks at the clock, and from which lateness of one the host is late
# Log events that are always a fault of ours.
FAULTS = frozenset(
    ("fault", "core.error", "calls.error", "clients.error", "servers.error", "invariant.violated")
)


class NotStarted(Exception):
    """The system did not come up: nothing of the seed can be judged."""


@dataclass(slots=True)
class Verdict:
    seed: int
    breaches: list[Breach]
    struck: Counter[str] = field(default_factory=Counter)
    overlaps: Counter[str] = field(default_factory=Counter)
    requests: int = 0
    served: int = 0
    orders: int = 0
    reads: int = 0
    torn: int = 0
    early_hangups: int = 0
    reach: list[Reached] = field(default_factory=list)
    folder: str = ""

    @property
    def fine(self) -> bool:
        return not self.breaches


class Seed:
    def __init__(self, plan: Plan, folder: Path, mutant: str = "") -> None:
        self.plan, self.folder = plan, folder
        self.random, self.ledger = Random(f"soak actors {plan.seed}"), Ledger()
        self.cuts = Cuts(folder)
        self.system = System(folder, MACHINES, core=CORE, launcher="finchshelf.soak.child")
        own = {"pulseMs": str(site.PULSE_MS), "margins": site.MARGINS}
        self.system.extra = {
            role: {"metrics": f"{port}{figures.PATH}", **own} for role, port in METRICS.items()
        }
        self.system.env = {"FINCHSHELF_GATE": str(folder / "gate-{machine}")}
        if mutant:
            self.system.env["FINCHSHELF_MUTANT"] = mutant
        self.began = time.monotonic()
        # By program and its start: violations, and looks, by invariant.
        self.scraped: dict[str, dict[str, float]] = {}
        self.looked: dict[str, dict[str, float]] = {}

    def now(self) -> float:
        return time.monotonic() - self.began

    async def run(self) -> None:
        """Plays the plan; the ledgers are whole when it returns."""
        for role in ("control-plane", "data-plane"):
            for machine in range(1, MACHINES + 1):
                self.system.start(role, machine, ("-O",))
        async with trio.open_nursery() as nursery:
            yard, servers = await self.open_servers(nursery)
            routes = list[Route]()  # those that changes add
            office = Office(self.system.each(CONTROL), self.ledger, self.random, self.now, routes)
            platform = Platform(self.system.each(READINESS), self.ledger, self.now)
            nursery.start_soon(platform.run)
            if not await office.begin(STARTS_S) or not await self.all_ready(platform):
                raise NotStarted(f"seed {self.plan.seed}: {[one.statuses for one in self.ledger.orders]}")
            crowd = Crowd(self.system.each(FRONT), platform, self.ledger, self.random, self.now, routes)
            hands = Hands(
                self.system, self.cuts, yard, servers, crowd, office, self.ledger, self.random, self.now
            )
            self.began = time.monotonic()
            await self.play(hands, nursery)
            nursery.cancel_scope.cancel()
        self.read_logs()

    async def open_servers(self, nursery: trio.Nursery) -> tuple[Yard, list[Server]]:
        yard = Yard(self.ledger, nursery, self.system.each(CONTROL), self.random, self.now)
        servers: list[Server] = []
        for service in site.SERVICES:
            for _ in range(service.servers):
                zone = ZONES[len(servers) % len(ZONES)]
                servers.append(Server(yard, service, zone, f"{self.system.net}.{20 + len(servers)}"))
                await servers[-1].start()
        return yard, servers

    async def all_ready(self, platform: Platform) -> bool:
        with trio.move_on_after(READY_S):
            while any(platform.misses):
                await trio.sleep(0.1)
            return True
        return False

    async def play(self, hands: Hands, nursery: trio.Nursery) -> None:
        self.ledger.orders[0].at = self.ledger.orders[0].acknowledged = 1e-6
        nursery.start_soon(self.scrapes)
        nursery.start_soon(self.watch, hands)
        nursery.start_soon(self.watch_host)
        async with trio.open_nursery() as acting:
            acting.start_soon(hands.crowd.run, self.plan.length_s)
            acting.start_soon(hands.office.run, self.plan.length_s - 2.0)
            acting.start_soon(hands.office.reads, self.plan.length_s)
            acting.start_soon(hands.run, self.plan)
        until = self.now() + LAST_READ_S
        while self.now() < until:
            read = await hands.office.read()
            if read is not None and read.status == 200:
                break
        await self.scrape()

    # ---- what the programs say ----

    async def watch(self, hands: Hands) -> None:
        """Programs that end by themselves are written down, and started again as a platform does."""
        while True:
            await trio.sleep(0.2)
            for name, child in list(self.system.children.items()):
                if child.process.poll() is not None and not child.killed and name not in hands.busy:
                    status = child.process.returncode
                    if status == -signal.SIGHUP and child.process.pid in hands.unguarded:
                        self.ledger.early_hangups += 1
                    else:
                        self.ledger.own_ends.append(f"{name} (status {status}, {self.now():.1f} s)")
                    hands.restart([name])

    async def watch_host(self) -> None:
        """Spans in which the host had no time for this process, and hardly for others, are trouble too."""
        while True:
            due = self.now() + TICK_S
            await trio.sleep(TICK_S)
            if self.now() - due > LATE_S:
                self.ledger.struck.append(Struck(plans.HOST_LATE, due, self.now(), (), ()))

    async def scrapes(self) -> None:
        while True:
            await trio.sleep(SCRAPE_S)
            await self.scrape()

    async def scrape(self) -> None:
        async with trio.open_nursery() as nursery:
            for role, port in METRICS.items():
                for machine, address in enumerate(self.system.each(port), 1):
                    nursery.start_soon(self.scrape_one, f"{role}-{machine}", address)

    async def scrape_one(self, name: str, address: Address) -> None:
        pid = self.system.children[name].process.pid
        if found := await figures.violations(address):
            self.scraped[f"{name} {pid}"] = found
        if found := await figures.looks(address):
            self.looked[f"{name} {pid}"] = found

    def read_logs(self) -> None:
        """Violations by metric, and lines that must not come, of all lives of all programs."""
        for program, rows in self.scraped.items():
            for name, number in rows.items():
                if number:
                    self.ledger.violations[f"{name} at {program.split()[0]}"] = int(number)
        for rows in self.looked.values():
            for name, number in rows.items():
                self.ledger.looks[name] += int(number)
        for path in sorted(self.folder.glob("*.log")):
            for line in path.read_bytes().splitlines():
                self.read_line(path.stem, line)

    def read_line(self, program: str, line: bytes) -> None:
        try:
            event: dict[str, Any] = orjson.loads(line)
        except orjson.JSONDecodeError:
            if line.strip():
                self.ledger.faults.append(f"{program}: {line[:200].decode('utf-8', 'replace')}")
            return
        if event.get("event") in FAULTS:
            self.ledger.faults.append(f"{program}: {line[:600].decode('utf-8', 'replace')}")

    # ---- the verdict ----

    def verdict(self) -> Verdict:
        ledger = self.ledger
        found = Verdict(self.plan.seed, Judge(ledger, self.plan.length_s).breaches(), folder=str(self.folder))
        found.struck = Counter(one.kind for one in ledger.struck)
        found.overlaps = Counter(
            f"{one.kind} during {other}" for one in ledger.struck for other in one.during
        )
        found.requests, found.served = len(ledger.sent), sum(one.status == 200 for one in ledger.sent)
        found.early_hangups = ledger.early_hangups
        found.reach, found.torn = reached(ledger, self.plan.length_s), ledger.torn
        found.orders, found.reads = sum(one.acknowledged > 0 for one in ledger.orders), len(ledger.reads)
        return found

    def keep(self, verdict: Verdict) -> None:
        """What explains a seed that failed: plan, ledgers, verdict, beside the programs' logs."""
        told = {
            "plan": asdict(self.plan),
            "breaches": list(map(str, verdict.breaches)),
            "started_unix_s": time.time() - self.now(),
        }
        (self.folder / "verdict.json").write_text(json.dumps(told, indent=1))
        for name in ("sent", "ran", "orders", "reads", "leavings", "struck", "ready", "works"):
            rows = [one if isinstance(one, tuple) else asdict(one) for one in getattr(self.ledger, name)]
            (self.folder / f"{name}.jsonl").write_text("".join(json.dumps(row) + "\n" for row in rows))


def play(seed: int, length_s: float, keep: Path | None, pace: Pace = USUAL, mutant: str = "") -> Verdict:
    """One seed; `mutant`: the guard that the programs lack, by its name.

    `keep`: a folder in which those that fail leave their logs; none is kept without it."""
    with ExitStack() as stack:
        if keep is not None:
            keep.mkdir(parents=True, exist_ok=True)
        folder = Path(tempfile.mkdtemp(prefix=f"seed-{seed}-", dir=keep))
        one = Seed(plans.draw(seed, length_s, pace), folder, mutant)
        stack.callback(one.system.end)
        verdict = Verdict(seed, [], folder=str(folder))
        try:
            trio.run(one.run)
            verdict = one.verdict()
        except* NotStarted as group:
            verdict.breaches.append(Breach("START", str(group.exceptions[0])))
        one.system.end()
        if verdict.fine or keep is None:
            remove(folder)
        else:
            one.keep(verdict)
        return verdict


def remove(folder: Path) -> None:
    for path in sorted(folder.rglob("*"), reverse=True):
        path.rmdir() if path.is_dir() else path.unlink()
    folder.rmdir()


assert judges.RECOVERED_S < plans.TAIL_S, "recovery is judged within the calm at the end"
