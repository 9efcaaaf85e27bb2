"""What one process of each role spends by the size of the site: processor time, memory, bytes, with lines.

    python -m benchmarks.capacity [--sizes 50,150,300] [--at 560]

Owns the measurements of single parts, each in a process of its own (`docs/CAPACITY.md`). Real code, no
network; the clock is this machine's, memory is what Python's allocator gave out. It must never
decide what a budget is: `target` has it. A minute of one core.
"""

from __future__ import annotations

import argparse
import gc
import time
import tracemalloc
import zlib
from collections.abc import Callable
from concurrent.futures import ProcessPoolExecutor
from multiprocessing import get_context
from random import Random
from tempfile import TemporaryDirectory
from typing import Any

import msgpack
import orjson

from benchmarks.target import LIMITERS, Site, document, row
from finchshelf.agreement import core, parcel
from finchshelf.agreement.store import Store
from finchshelf.agreement.taken import KEPT, NOTHING
from finchshelf.configuration import change
from finchshelf.configuration.document import Configuration, read_configuration
from finchshelf.controlplane.cells import Cells
from finchshelf.counts.caller import Caller
from finchshelf.counts.holder import NEAR, Holder
from finchshelf.dataplane.choice import Choice
from finchshelf.membership.listing import Listing, read_list
from finchshelf.membership.records import Limiter, Server, Servers, read_beat, read_server

Figures = dict[str, float]
ADDRESS = "10.0.0.1:7660"
SQUARE = ", by n x n"  # of a figure that grows with limiters times tenants


def timed(work: Callable[[], Any], least: float = 0.2, most: int = 200) -> float:
    """ms of processor time that it takes, the least of several."""
    best, until, turns = float("inf"), time.perf_counter() + least, 0
    while turns < 3 or (time.perf_counter() < until and turns < most):
        began = time.thread_time_ns()
        work()
        best, turns = min(best, (time.thread_time_ns() - began) / 1e6), turns + 1
    return best


def grown(make: Callable[[], Any]) -> tuple[Any, float, float]:
    """What it makes, MB that it holds afterwards and MB at most meanwhile."""
    gc.collect()
    tracemalloc.start()
    made = make()
    gc.collect()
    held_, most = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    return made, held_ / 1e6, most / 1e6


def servers(site: Site) -> list[Server]:
    return [
        Server(
            f"i-{n:08x}",
            f"10.{n // 62500}.{n // 250 % 250}.{n % 250 + 1}:8080",
            f"service-{n % site.services:03d}",
            f"zone-{n % 4}",
            32,
            7,
            cell=f"10.0.0.{n % 5 + 1}:7660",
        )
        for n in range(site.servers)
    ]


def limiters(site: Site) -> dict[str, Limiter]:
    return {
        f"edge-{n:04d}": Limiter(
            f"edge-{n:04d}", 1_800_000_000_000 + n, f"10.9.{n // 250}.{n % 250 + 1}", f"zone-{n % 4}"
        )
        for n in range(site.limiters)
    }


# ---- a whole configuration ----


def configuration(site: Site) -> Figures:
    body = orjson.dumps(document(site, 2, 1))
    wanted, base = change.read_change("replace", body), document(site, 1, 0)
    small = zlib.compress(body, parcel.LEVEL)
    taken = NOTHING
    for n in range(1, KEPT + 1):
        taken = taken.add(n, bytes(16))
    value = core.Value(2, core.genesis((ADDRESS,)).members, 2, body, taken)
    acceptor = core.Acceptor(
        core.Member(ADDRESS, core.FIRST), value, accepted=(core.Ballot(1, ADDRESS), value)
    )
    with TemporaryDirectory() as folder:
        store = Store(folder, 64.0)
        began = time.perf_counter()
        store.save(acceptor.state())
        saved = (time.perf_counter() - began) * 1e3
    return {
        "document|kB": len(body) / 1e3,
        "document, small|kB": len(small) / 1e3,
        "read a change (a thread)|ms": timed(lambda: change.read_change("replace", body)),
        "check it (a thread)|ms": timed(lambda: change.check(wanted.document, 1), 0.0),
        "check it on top of one in force (a thread)|ms": timed(
            lambda: change.check(wanted.document, 1, base), 0.0
        ),
        "make small (the loop)|ms": timed(lambda: zlib.compress(body, parcel.LEVEL)),
        "read small back (the loop)|ms": timed(lambda: zlib.decompress(small)),
        "save decided and accepted (a thread, wall)|ms": saved,
        "a limiter: read JSON (the loop)|ms": timed(lambda: orjson.loads(body)),
        "a limiter: make its form (the loop)|ms": timed(lambda: read_configuration(wanted.document)),
    }


def held(site: Site) -> Figures:
    body = orjson.dumps(document(site, 2, 1))
    one, size, most = grown(lambda: read_configuration(orjson.loads(body)))
    assert isinstance(one, Configuration)
    return {"a limiter: configuration in memory|MB": size, "a limiter: at most while it is read|MB": most}


# ---- servers and limiters known ----


def known(site: Site) -> Figures:
    rows = [one.pack(0.0) for one in servers(site)]
    packed = msgpack.packb(rows)
    choice = Choice("zone-0", Random(1))

    def take() -> None:
        for each in msgpack.unpackb(packed):
            choice.put(read_server(each, 0.0))

    _, size, _ = grown(take)
    table = limiters(site)
    told = msgpack.packb([one.pack() for one in table.values()])
    listing = Listing()
    listing.put(table)
    listed, more, _ = grown(lambda: read_list(msgpack.unpackb(msgpack.packb(listing.told(-1))), ()))
    assert len(listed) == site.limiters
    return {
        "a limiter: all servers told|kB": len(packed) / 1e3,
        "a limiter: all servers read (the loop)|ms": timed(
            lambda: [read_server(each, 0.0) for each in msgpack.unpackb(packed)]
        ),
        "a limiter: servers in memory|MB": size,
        "a limiter: all limiters told|kB": len(told) / 1e3,
        "a limiter: limiters in memory, a control plane asked|MB": more,
    }


# ---- counts ----


def counts(site: Site) -> Figures:
    names, tenants = list(limiters(site)), [f"tenant-{n:05d}" for n in range(site.tenants)]
    caller = Caller(names[0], 0.0)
    caller.listed(names, 0.0)
    began = time.thread_time_ns()
    first = caller.beats(1.0, tenants)
    start = (time.thread_time_ns() - began) / 1e6
    used = tenants[: site.part(1100)]  # 110 requests a second for 5 s and their tenants, twice over
    for tenant in used:
        caller.ask(tenant, 9.0)
    round_ = timed(lambda: caller.beats(9.1, tenants))
    began = time.thread_time_ns()
    caller.listed([*names, "edge-new"], 10.0)
    caller.beats(10.0, tenants)
    came = (time.thread_time_ns() - began) / 1e6
    holder, mine = Holder(), [tenant for tenant in tenants if caller.holder(tenant) == names[0]]

    def hear() -> None:
        for tenant in mine:
            for name in names:
                holder.add(tenant, 0.0, 20.0, 20.0, 11.0, name, NEAR, 0.0, len(names), 0)

    _, size, _ = grown(hear)
    asked = mine[0] if mine else tenants[0]
    later = iter(range(10**9))
    one = timed(
        lambda: [
            holder.add(asked, 1.0, 20.0, 20.0, 12.0 + next(later), names[1], NEAR, 0.0, len(names), 0)
            for _ in range(100)
        ]
    )
    return {
        f"a limiter starts: who holds each tenant's count (the loop){SQUARE}|ms": start,
        "a question about a count, payload|bytes": len(msgpack.packb([0, [(9999, tenants[-1], 1.0, NEAR)]])),
        "its answer, payload|bytes": len(msgpack.packb([1, [(9999, 1, 0.0)]])),
        "a limiter starts: words to holders|words": len(first),
        "a round of words to holders (the loop)|ms": round_,
        "seconds between two rounds|s": caller.pace(),
        "a limiter comes: holders anew (the loop)|ms": came,
        "a holder: counts held|counts": len(mine),
        "a holder: all limiters heard, in memory|MB": size,
        "a holder: a question after a while|us": one * 10,
    }


# ---- a control plane ----


def cell(site: Site) -> Figures:
    rows, table = servers(site), limiters(site)
    told = [one.pack(0.0) for one in rows]
    pulse = 1.5
    cells = Cells(ADDRESS, "zone-0", pulse, 1, 0.0)
    _, size, _ = grown(lambda: cells.take(told, 1.0))
    for n, one in enumerate(table.values()):
        if n % 5 < 2:
            cells.ask(one, 1.0)
    body = orjson.dumps(
        {
            "address": rows[0].address,
            "observation": {"subsystem": rows[0].service, "zone": "zone-0", "capacity": 32},
            "stateEstimate": {"mode": "stable", "callCount": 9, "warmupMs": 0},
        }
    )
    later = iter(range(100, 10**9))

    def beat() -> None:
        for n in range(100):
            row_ = rows[n % len(rows)]
            record = read_beat(row_.id, orjson.loads(body), 1.0)
            cells.beat(Server(record.id, row_.address, row_.service, record.zone, 32, next(later)), 1.0)

    beaten = timed(beat) * 10
    revs = cells.servers.rev
    listing = Listing()
    listing.put(table)
    turn = iter(range(10**9))

    def come() -> None:
        listing.put({**table, "edge-new": Limiter("edge-new", next(turn), "10.8.0.1", "zone-0")})

    return {
        "a beat, read and kept|us": beaten,
        "a look for silent servers (the loop, 4 a second)|ms": timed(lambda: cells.silent_servers(1.0, True)),
        "a look for silent limiters (4 a second)|ms": timed(lambda: cells.silent_limiters(1.0)),
        "a limiter comes: its list anew|ms": timed(come),
        "all servers told to one that lacks them (the loop)|ms": timed(
            lambda: msgpack.packb([one.pack(1.0) for one in cells.servers.since(-1, True)])
        ),
        "nothing new to tell|us": timed(lambda: [cells.servers.since(revs, True) for _ in range(100)]) * 10,
        "servers in memory|MB": size,
    }


def steps(site: Site) -> Figures:
    """Of a request, what looks at tables: the services' servers are as many at each size."""
    read = read_configuration(document(site, 2, 1))
    choice = Choice("zone-0", Random(1))
    for one in servers(site):
        choice.put(one)
    path, key = f"{read.routes[-1].prefix}x/y", next(iter(read.tenants.values())).keys[0]
    table = Servers()
    table.put(servers(site)[0])
    return {
        "a request: route and tenant|us": timed(
            lambda: [(read.route("site-01.example", path), read.tenant(key)) for _ in range(100)]
        )
        * 10,
        "a request: choice among its service's servers|us": timed(
            lambda: [choice.pick("service-000", 1.0) for _ in range(100)]
        )
        * 10,
    }


PARTS: dict[str, Callable[[Site], Figures]] = {
    "A whole configuration": configuration,
    "A configuration in memory": held,
    "Servers and limiters known": known,
    "Counts": counts,
    "A control plane": cell,
    "A request": steps,
}


def alone(part: str, limiters_: int) -> Figures:
    return PARTS[part](Site(limiters_))


def main() -> None:
    raw = argparse.RawDescriptionHelpFormatter
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=raw)
    parser.add_argument("--sizes", default="50,150,300", help="limiters, three at least")
    parser.add_argument("--at", type=int, default=LIMITERS, help="limiters that the lines are read at")
    given = parser.parse_args()
    sizes = [int(size) for size in given.sizes.split(",")]
    # Danger: what one part leaves in memory would be found again by the next: each has a process of its own.
    with ProcessPoolExecutor(1, mp_context=get_context("spawn"), max_tasks_per_child=1) as pool:
        for part in PARTS:
            found = [pool.submit(alone, part, size).result() for size in [*sizes, given.at]]
            print(
                f"| {part}, n limiters | unit | {' | '.join(map(str, sizes))} | line | residual | "
                f"at {given.at} by the line | measured |\n|{' --- |' * (len(sizes) + 6)}"
            )
            for key in found[0]:
                name, unit = key.split("|")
                power = 2 if SQUARE in name else 1
                points = [(float(size**power), one[key]) for size, one in zip(sizes, found, strict=False)]
                print(f"{row(name, unit, points, given.at**power)} {found[-1][key]:.4g} |")
            print(flush=True)


if __name__ == "__main__":
    main()
