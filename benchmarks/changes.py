"""What one change of the configuration costs on the wire: bytes by kind of message, pair of roles and zones.

    python -m benchmarks.changes [--limiters 6,12,24] [--routes 12] [--changes 60] [--controls 2]

Owns the day (changes one after the other, in memory, simulated) and the counts. It must never change what is
said. A minute. `--routes 12,100,400` shows the document's part; `--controls 1` has three control planes in
place of six.
"""

from __future__ import annotations

import argparse
from collections import Counter
from contextlib import ExitStack
from typing import Any
from unittest import mock

import msgpack
import orjson
import trio

from benchmarks import growth
from benchmarks.target import fit, shown
from finchshelf.simulation.fleet import World
from finchshelf.simulation.network import DATA, End
from finchshelf.simulation.tally import role
from finchshelf.transport import frames

SEED, BEFORE, CALM = 7, 70, 10.0  # changes before those that count: `taken` is full then


def kind_of(said: dict[str, Any]) -> str:
    """Of a frame's message."""
    if said.get("op") == "agree":
        return f"{said['message'].get('kind')} asked"
    if "reply" in said:
        return f"{said['reply'].get('kind')} answered"
    if "op" in said:
        return f"{said['op']} asked"
    return "nothing new" if said.get("none") else "value told" if "value" in said else "other news"


class Count:
    """Bytes by (from, to, kind, between zones?), of frames, and of all streams."""

    def __init__(self) -> None:
        self.on = False
        self.bytes, self.messages = Counter[Any](), Counter[Any]()
        self.parts, self.all = Counter[str](), Counter[bool]()

    def installed(self, stack: ExitStack) -> None:
        write, put, count = frames.Frames.write, End.put, self

        async def write_too(one: frames.Frames, message: Any) -> int:
            if count.on:
                assert isinstance(one.stream, End)
                count.frame(one.stream, message[1], len(frames.pack(message)))
            return await write(one, message)

        def put_too(one: End, kind: str, data: bytes) -> None:
            if count.on and kind == DATA:
                count.all[one.life.machine.zone != one.peer.life.machine.zone] += len(data)
            put(one, kind, data)

        stack.enter_context(mock.patch.object(frames.Frames, "write", write_too))
        stack.enter_context(mock.patch.object(End, "put", put_too))

    def frame(self, end: End, said: dict[str, Any], size: int) -> None:
        apart = end.life.machine.zone != end.peer.life.machine.zone
        key = role(end.life), role(end.peer.life), kind_of(said), apart
        self.bytes[key] += size
        self.messages[key] += 1
        value = said.get("value") or said.get("message", {}).get("value") if apart else None
        for part in ("document", "zip", "taken", "members"):
            if value and value.get(part):
                self.parts[part] += len(msgpack.packb(value[part]))


def measured(
    limiters: int, routes: int, changes: int, controls: int, before: int = BEFORE
) -> tuple[Count, float, int]:
    """Counts of that many changes, kB between zones for one beyond what calm costs, the document's size."""
    count, found = Count(), list[float]()
    size = growth.Size(3, controls, limiters // 3, 2, 12)

    async def story(world: World) -> None:
        assert isinstance(world, growth.Fleet)
        number = 1

        async def change(gap: float) -> None:
            nonlocal number
            number += 1
            document = world.configuration(number, number - 1, routes=growth.thousand(world, routes))
            document["elements"][0]["reference"]["cutoffMs"] = 1000 + number
            assert await world.replace(document) == 200
            found[:] = [float(len(orjson.dumps(document)))]
            await trio.sleep(gap)

        for _ in range(before):
            await change(0.05)
        await trio.sleep(2.0)
        count.on = True
        await trio.sleep(CALM)
        calm = count.all[True] / CALM
        for table in (count.all, count.bytes, count.messages, count.parts):
            table.clear()
        began = trio.current_time()
        for _ in range(changes):
            await change(0.25)
        count.on = False
        found.append((count.all[True] - calm * (trio.current_time() - began)) / changes / 1e3)

    with ExitStack() as stack:
        count.installed(stack)
        growth.played(story, size, SEED)
    return count, found[1], int(found[0])


def main() -> None:
    raw = argparse.RawDescriptionHelpFormatter
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=raw)
    parser.add_argument("--limiters", default="6,12,24", help="multiples of 3")
    parser.add_argument("--routes", default="12")
    parser.add_argument("--changes", type=int, default=60)
    parser.add_argument("--controls", type=int, default=2, help="a zone, of three zones")
    given = parser.parse_args()
    points = list[tuple[float, float]]()
    limiters, routes = ([int(n) for n in text.split(",")] for text in (given.limiters, given.routes))
    for many in limiters:
        for long in routes:
            count, cost, document = measured(many, long, given.changes, given.controls)
            points.append((many if len(limiters) > 1 else document / 1e3, cost))
            print(
                f"\n{many} limiters, {3 * given.controls} control planes, {document} bytes of document: "
                f"{cost:.1f} kB a change between zones\n"
            )
            print("| from | to | kind | between zones | messages a change | kB a change |\n|" + " --- |" * 6)
            for key, size in count.bytes.most_common(12):
                near, far, kind, apart = key
                print(
                    f"| {near} | {far} | {kind} | {'yes' if apart else 'no'} | "
                    f"{shown(count.messages[key] / given.changes)} | {size / given.changes / 1e3:.2f} |"
                )
            print(
                "\nof values between zones, kB a change: "
                + ", ".join(
                    f"{part} {size / given.changes / 1e3:.1f}" for part, size in count.parts.most_common()
                )
            )
    if len(points) > 2:
        line = fit(points)
        print(
            f"\nkB a change between zones: {line.base:.2f} + {line.slope:.3f} n, n the "
            f"{'limiters' if len(limiters) > 1 else 'kB of document'}; residual {100 * line.residual:.0f}%"
        )


if __name__ == "__main__":
    main()
