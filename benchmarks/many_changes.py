"""What hundreds of changes leave behind, and how a member that was down for them comes back.

    python -m benchmarks.many_changes [--marks 10,100,1000]        real programs on loopback
    python -m benchmarks.many_changes --days 1-20 [--changes 30]   in memory, links of 2 Mbit/s, harm
    python -m benchmarks.many_changes --search                     all states of catching up, mutants

Owns the days and what is printed. It must never take a decision. Times of the first are of this machine,
those of the second of the world's clock.
"""

from __future__ import annotations

import argparse
import contextlib
import io
import os
import sys
import tempfile
import time
import zlib
from dataclasses import dataclass
from pathlib import Path
from random import Random
from statistics import median
from typing import Any

import orjson
import trio

from finchshelf.cli import operator
from finchshelf.cli.system import CONTROL, INNER, System
from finchshelf.configuration.boot import Boot
from finchshelf.models import catching_up as catching
from finchshelf.simulation.fleet import Process, World, play
from finchshelf.simulation.network import now
from finchshelf.transport.address import Address
from finchshelf.transport.frames import Link, PeerError

SPEED = 250_000  # bytes a second: 2 Mbit/s


def routes(count: int, seed: int) -> dict[str, tuple[str, str, str]]:
    """The usual three, and others that change with the seed and don't pack well."""
    random = Random(seed)
    usual = {
        "read": ("/read/", "nullipotent", "alpha"),
        "write": ("/write/", "mutating", "alpha"),
        "other": ("/other/", "nullipotent", "beta"),
    }
    return {
        **usual,
        **{
            f"r-{random.randbytes(5).hex()}": (f"/{random.randbytes(6).hex()}/", "nullipotent", "alpha")
            for _ in range(count)
        },
    }


def current(small: int) -> float:
    """Stated: s from a member's start until it holds the newest, of so many bytes packed, over 2 Mbit/s: a
    second to start and ask, and three times what the bytes need, for its data plane fetches them too."""
    return 1.0 + 3 * small / SPEED


class Thin(World):
    """Each machine of ours has a link of 2 Mbit/s."""

    small = 0  # bytes of the newest document packed

    def boot(self, process: Process) -> Boot:
        process.machine.speed = SPEED
        return super().boot(process)

    def stated(self, number: int, prior: int, count: int, tenants: int) -> dict[str, Any]:
        random = Random(7)
        names = [f"t-{random.randbytes(4).hex()}" for _ in range(tenants)]
        keys = {name: [random.randbytes(12).hex()] for name in names}
        found = self.configuration(
            number,
            prior,
            routes=routes(count, number),
            keys=keys,
            tenants={**self.tenants, **dict.fromkeys(names, (100.0, 100.0))},
        )
        packed = orjson.dumps(found)
        self.small, self.operator.reading = len(zlib.compress(packed, 6)), 1.0 + len(packed) / SPEED
        return found

    async def until_current(self, host: str, version: int, limit: float = 30.0) -> float:
        """s until that machine's control plane and data plane hold the version; `limit` if not."""
        began = now()
        with trio.move_on_after(limit):
            while not (
                any(line[0] >= began for line in self.told("core.current", f"{host}-control"))
                and any(
                    line[0] >= began and line[3]["version"] >= version
                    for line in self.told("configuration", f"{host}-data")
                )
            ):
                await trio.sleep(0.02)
        return now() - began


# ---- real programs ----


@dataclass
class Mark:
    changes: int
    call: float  # ms for a change, median since the mark before
    spent: float  # ms of processor time a change, of a control plane
    memory: float  # MB of a control plane, of a data plane
    data: float
    disk: float  # kB of a control plane's folder
    back: float  # s until the member that was down since the mark before held the newest


def resident(pid: int) -> float:
    lines = Path(f"/proc/{pid}/status").read_text().splitlines()
    return next(int(line.split()[1]) for line in lines if line.startswith("VmRSS")) / 1000


def spent(pid: int) -> float:
    fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) * 1000 / os.sysconf("SC_CLK_TCK")


def slot(address: Address) -> tuple[int, int]:
    """Slot and version that a control plane holds."""

    async def ask() -> tuple[int, int]:
        async with trio.open_nursery() as nursery:
            told = await Link(address, nursery).ask("show", {"op": "show"}, 1.0)
            nursery.cancel_scope.cancel()
        return int(told["slot"]), int(told["version"])

    try:
        return trio.run(ask)
    except* PeerError:
        pass
    return -1, -1


def real(marks: list[int], count: int) -> list[Mark]:
    found = list[Mark]()
    with tempfile.TemporaryDirectory() as folder:
        system = System(Path(folder))
        try:
            for machine in (1, 2, 3):
                system.start("control-plane", machine)
            system.start("data-plane", 1)
            controls, prior = system.each(CONTROL), 0
            until = time.monotonic() + 10.0
            observe = "/v1/rpc?call=setpoint.observe"
            while not all(operator.once(one, observe, b"", 1.0)[0] for one in controls):
                assert time.monotonic() < until
                time.sleep(0.05)
            for mark in marks:
                system.kill("control-plane-3")
                calls, before = list[float](), spent(system.children["control-plane-1"].process.pid)
                first = prior
                while prior < mark:
                    body = orjson.dumps(stated(prior + 1, prior, count))
                    began = time.monotonic()
                    told = operator.call(controls[:2], "setpoint.replace", body, 10.0)
                    assert told.status == 200, told
                    calls.append(1000 * (time.monotonic() - began))
                    prior += 1
                used = spent(system.children["control-plane-1"].process.pid) - before
                began = time.monotonic()
                system.start("control-plane", 3, first=False)
                while slot(Address(system.ip(3), INNER))[1] != mark:
                    assert time.monotonic() < began + 30.0
                back = time.monotonic() - began
                files = (system.folder / "disk-1").rglob("*")
                disk = sum(one.stat().st_size for one in files if one.is_file())
                found.append(
                    Mark(
                        mark,
                        median(calls),
                        used / (mark - first),
                        resident(system.children["control-plane-1"].process.pid),
                        resident(system.children["data-plane-1"].process.pid),
                        disk / 1000,
                        back,
                    )
                )
                print(found[-1], file=sys.stderr, flush=True)
        finally:
            system.end()
    return found


def stated(number: int, prior: int, count: int) -> dict[str, Any]:
    world = World.__new__(World)
    world.tenants = {f"tenant-{n}": (100.0, 100.0) for n in range(30)}
    return world.configuration(number, prior, routes=routes(count, number))


ROWS = [
    ("a change, median", "ms", "call"),
    ("processor time of a control plane, a change", "ms", "spent"),
    ("memory of a control plane", "MB", "memory"),
    ("memory of a data plane", "MB", "data"),
    ("disk of a control plane", "kB", "disk"),
    ("a member down since the mark before: current after", "s", "back"),
]


# ---- days in memory ----


async def harm(world: Thin, random: Random) -> None:
    """One machine of the core after the other is down for some changes; its last save may be torn, its disk
    old or empty."""
    while True:
        host = random.choice(world.core)
        kind = random.choice(["kill", "kill", "power", "power", "power", "wipe"])
        if kind == "kill":
            world.kill(host, after=random.uniform(0.1, 3.0))
        else:
            await world.power_off(host, back=random.uniform(0.5, 12.0), wipe=kind == "wipe")
        await trio.sleep(random.uniform(6.0, 10.0))


def returns(world: World) -> list[float]:
    """s from each start of a control plane until what it held was proved, or had come."""
    began, found = dict[str, float](), list[float]()
    for at, name, event, _ in world.lines:
        if event == "start":
            began[name] = at
        elif event == "core.current" and name in began:
            found.append(at - began.pop(name))
    return found


def day(seed: int, changes: int, count: int) -> tuple[list[str], list[float], list[float]]:
    """What broke; s of each change until it was acknowledged; s until members that were back were current,
    the last one of them within its stated time."""
    taken, back = list[float](), list[float]()

    async def story(world: World) -> None:
        assert isinstance(world, Thin)
        random = Random(f"{seed} many")
        world.nursery.start_soon(world.traffic, 4.0, changes * 2.0)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(harm, world, random)
            prior = 1
            for number in range(2, changes + 2):
                document = world.stated(number, prior, count, random.choice([10, 10, 400]))
                began = now()
                if await world.replace(document, limit=30.0) != 200:
                    raise RuntimeError(f"change {number} was not taken")
                taken.append(now() - began)
                prior = number
                await trio.sleep(random.uniform(0.0, 1.0))
            nursery.cancel_scope.cancel()
        world.mend()
        await trio.sleep(4.0)
        # One more is down for the last changes, and comes back in peace.
        host = world.core[seed % 3]
        await world.power_off(host)
        for number in range(prior + 1, prior + 4):
            document = world.stated(number, number - 1, count, random.choice([10, 400]))
            if await world.replace(document, limit=30.0) != 200:
                raise RuntimeError(f"change {number} was not taken")
        prior += 3
        await world.power_off(host, back=0.0)
        back.append(await world.until_current(host, prior))
        if back[-1] > current(world.small):
            world.judge.fault("BEHIND", f"{host} was current after {back[-1]:.2f} s")
        await trio.sleep(4.0)

    with contextlib.redirect_stdout(io.StringIO()):
        world = play(story, seed, make=Thin, limiters=1, servers=1)
    return world.judge.verdict(), taken, [*returns(world), *back]


def main() -> None:
    raw = argparse.RawDescriptionHelpFormatter
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=raw)
    parser.add_argument("--marks", default="10,100,1000", help="changes at which it is measured")
    parser.add_argument("--routes", type=int, default=600)
    parser.add_argument("--days", default="", help="seeds A-B of days in memory")
    parser.add_argument("--changes", type=int, default=30, help="of such a day")
    parser.add_argument("--search", action="store_true", help="all states of catching up")
    given = parser.parse_args()
    if given.search:
        calm, put_back = (2, 2, 2, 1, 0), (2, 0, 0, 0, 1)
        for mutant, rest in (
            ("", calm),
            *((one, calm) for one in catching.MUTANTS),
            *((one, calm) for one in catching.HELD_BY_ANOTHER),
            ("", put_back),
            *((one, put_back) for one in catching.MUTANTS_PUT_BACK),
        ):
            try:
                states, depth, messages = catching.search(mutant, rest)
                print(
                    f"{mutant or 'no guard dropped'} {rest}: nothing breaks, {states} states, "
                    f"depth {depth}, "
                    f"current after {messages} messages at the most",
                    flush=True,
                )
            except catching.Broken as error:
                print(f"{mutant} {rest}: {error}", flush=True)
    elif given.days:
        first, _, last = given.days.partition("-")
        failed = False
        for seed in range(int(first), int(last or first) + 1):
            began = time.perf_counter()
            broken, taken, back = day(seed, given.changes, given.routes)
            failed = failed or bool(broken)
            print(
                f"seed {seed}: {len(taken)} changes, median {median(taken):.2f} s, "
                f"most {max(taken):.2f} s; {len(back)} starts, current after {median(back):.2f} s, most "
                f"{max(back):.2f} s, the last {back[-1]:.2f} s; {broken or 'nothing broken'}; "
                f"{time.perf_counter() - began:.0f} s",
                flush=True,
            )
        sys.exit(int(failed))
    else:
        marks = real(sorted(map(int, given.marks.split(","))), given.routes)
        print(
            f"| after so many changes of {given.routes} routes | unit | "
            f"{' | '.join(str(one.changes) for one in marks)} |"
        )
        print("|" + " --- |" * (len(marks) + 2))
        for name, unit, key in ROWS:
            print(f"| {name} | {unit} | {' | '.join(f'{getattr(one, key):.4g}' for one in marks)} |")


if __name__ == "__main__":
    main()
