"""One view over a fleet: reads the logs of many nodes and prints what all of them did, second by second.

    python -m benchmarks.fleet_log LOGS

LOGS is a folder with one log a node (`*.log`), as the node writes it to standard error; what stands before
the `{` of a line is passed over. Owns nothing and decides nothing: it adds up the nodes' own `tally` lines
(what each counter gained in a second) and counts `start` and `breaker` lines. A line that is cut off, no JSON
or no event is counted and told.
"""

from __future__ import annotations

import sys
from collections import Counter, defaultdict
from collections.abc import Iterator
from dataclasses import dataclass, field
from pathlib import Path
from statistics import median
from typing import Any

import orjson

TRIES, SERVED, REFUSED = "in.requests", "out.served", "out.refused"
OPENED, REUSED = "servers.opened", "servers.reused"
GROUPS = {"refused": "refused.", "attempts": "attempts.", "counter": "counter.", "lists": "discovery."}
LEFT_OUT = frozenset(("attempts.sent", "attempts.settled", "counter.calls"))


@dataclass(slots=True)
class Fleet:
    """What the logs of all nodes say: counts by second and by node, and how many lines could not be read."""

    seconds: defaultdict[int, Counter[str]] = field(default_factory=lambda: defaultdict(Counter))
    nodes: defaultdict[str, Counter[str]] = field(default_factory=lambda: defaultdict(Counter))
    unread: Counter[str] = field(default_factory=Counter)
    empty: list[str] = field(default_factory=list)


def events(path: Path, unread: Counter[str]) -> Iterator[dict[str, Any]]:
    """The events of one log; what is none is counted under the file's name."""
    with path.open("rb") as lines:
        for line in lines:
            brace = line.find(b"{")
            try:
                event = orjson.loads(line[brace:]) if brace >= 0 else None
            except orjson.JSONDecodeError:
                event = None
            if isinstance(event, dict) and isinstance(event.get("at"), int | float) and "event" in event:
                yield event
            else:
                unread[path.name] += 1


def read(folder: Path) -> Fleet:
    """Every `*.log` of a folder, put together; seconds count from the first event of all."""
    fleet, found = Fleet(), list[tuple[float, str, Counter[str]]]()
    for path in sorted(folder.glob("*.log")):
        seen, shut = 0, True
        for event in events(path, fleet.unread):
            seen += 1
            kind, at, what = event["event"], float(event["at"]), Counter[str]()
            if kind == "tally":
                what.update(
                    {
                        key: n
                        for key, n in event.items()
                        if key not in ("at", "node", "event") and isinstance(n, int)
                    }
                )
            elif kind == "start":
                what["starts"], shut = 1, True
            elif kind == "breaker" and (event.get("state") == "open") is shut:
                shut = not shut
                what["breakers"] = -1 if shut else 1
            if what:
                found.append((at, path.stem, what))
        if not seen:
            fleet.empty.append(path.name)
    first = min((at for at, _, _ in found), default=0.0)
    for at, node, what in found:
        fleet.seconds[int(at - first)].update(what)
        fleet.nodes[node].update(what)
    return fleet


def group(counts: Counter[str], prefix: str) -> str:
    """`ok 12, timeout 3` of the counters that begin alike, the largest first."""
    parts = [
        (key.removeprefix(prefix), n)
        for key, n in counts.most_common()
        if key.startswith(prefix) and n > 0 and key not in LEFT_OUT
    ]
    return ", ".join(f"{name} {n}" for name, n in parts) or "-"


def share(part: int, rest: int) -> str:
    return f"{100 * part / (part + rest):.0f}%" if part + rest else "-"


def show(fleet: Fleet) -> Iterator[str]:
    """The lines of the report."""
    open_now = 0
    for second in sorted(fleet.seconds):
        counts = fleet.seconds[second]
        open_now += counts["breakers"]
        groups = "; ".join(f"{name}: {group(counts, prefix)}" for name, prefix in GROUPS.items())
        yield (
            f"{second:4d} s  tries {counts[TRIES]}, served {counts[SERVED]}, refused {counts[REFUSED]}, "
            f"new connections {counts[OPENED]} (reused {share(counts[REUSED], counts[OPENED])}), "
            f"probes {counts['probes']}, breakers open {open_now}, starts {counts['starts']}; {groups}"
        )
    names = sorted({key for counts in fleet.nodes.values() for key in counts} - {"breakers"})
    if names:
        yield f"{len(fleet.nodes)} nodes, each: median, most, all"
    for name in names:
        each = [counts[name] for counts in fleet.nodes.values()]
        yield f"  {name:28s} {median(each):8.0f} {max(each):8d} {sum(each):10d}"
    for name, n in sorted(fleet.unread.items()):
        yield f"{name}: {n} lines are no event (cut off, or not from a node)"
    for name in fleet.empty:
        yield f"{name}: no event"


def main(arguments: list[str]) -> int:
    if len(arguments) != 1 or not Path(arguments[0]).is_dir():
        print("usage: python -m benchmarks.fleet_log LOGS (a folder with one *.log a node)", file=sys.stderr)
        return 2
    for line in show(read(Path(arguments[0]))):
        print(line)
    return 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
