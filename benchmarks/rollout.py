"""How a roll-out ends over many seeds: harmed requests until it halts, bad policies passed, good ones halted.

Plays the in-memory sites of `rollout_world` in virtual time. Run it:
`python -m benchmarks.rollout [--seeds 20] [--sites 5 40] [--processes 2] [--plot FILE]`.
A row a policy and number of sites: how the runs ended, requests harmed at the first site by the policy
until it was taken back (median, worst), harmed at other sites, seconds from the change to the halt, and for
good policies seconds over all sites. A good policy is also played with a server crash, a limiter killed and
a zone lost at the changed site, with a bad hour everywhere, and with late bursts at each site now and then;
a bad one with a lost zone and with a bad hour.
The plot shows sites by time, of one run each; without matplotlib, or to a file that ends in .txt, as text.
"""

from __future__ import annotations

import argparse
import statistics
import time
from collections.abc import Callable, Iterator
from concurrent.futures import ProcessPoolExecutor
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from benchmarks import rollout_world as model
from benchmarks.rollout_world import BAD, GOOD, World
from finchshelf.rollout import duty

WAVES = 4  # of many sites: one, a few, more, all others
TROUBLES = ("server crash", "limiter killed", "zone lost", "bad hour everywhere", "uneven traffic")
MASKS = ("zone lost", "bad hour everywhere")  # under which a bad policy might pass for something else
STATES = {
    "waiting": ".",
    "changing": "c",
    "watching": "w",
    "passed": "P",
    "returning": "r",
    "returned": "R",
    "left": "L",
    "refused": "x",
}


@dataclass(frozen=True)
class Run:
    policy: str
    sites: int
    seed: int
    end: str
    harmed: float  # at the first site
    elsewhere: float
    changed: int  # sites that ever had the policy
    to_halt: float  # s from the first change
    whole: float  # s of the roll-out


def trouble(world: World, kind: str, bad: bool) -> None:
    """Something that is no policy's fault, at the first site some seconds after its change, or everywhere;
    beside a bad policy at about the moment of its change, which comes after a minute."""
    at = 59.0 + world.random.random() * 6 if bad else 70.0 + world.random.random() * 60
    place = world.places["site-00"]
    if kind == "bad hour everywhere":
        world.outside = lambda _, now: {"late": 0.2, "vanished": 0.03} if at < now < at + 300 else {}
        return
    if kind == "uneven traffic":
        starts = {name: world.random.random() * 70 for name in world.places}
        world.outside = lambda name, now: {"late": 0.15} if (now + starts[name]) % 70 < 3 else {}
        return
    part, machines = {"server crash": (0.3, 1), "limiter killed": (0.4, 1), "zone lost": (1.0, 4)}[kind]
    world.outside = model.crash("site-00", at, part)

    def lose(_: World) -> None:
        place.machines -= machines
        if kind == "limiter killed":  # its counters begin anew, and what it had not told is lost
            place.life += 1
            place.totals = {route: [0] * len(row) for route, row in place.totals.items()}

    def back(_: World) -> None:
        place.machines += machines

    world.events = [(at + 2, lose), (at + 15, back)]


def made(policy: str, sites: int, seed: int) -> World:
    name, _, beside = policy.partition(", ")
    load = name == "bad only under load"
    world = World(
        sites, (GOOD | BAD)[name], seed, WAVES if sites > 10 else 0, least_busy=1.4 if load else 0.0
    )
    if load:
        world.busy = model.surges
    if beside:
        trouble(world, beside, name in BAD)
    return world


def play(case: tuple[str, int, int]) -> Run:
    policy, sites, seed = case
    world = made(policy, sites, seed)
    end = world.run(7200.0)
    first = next((at for at, event, _ in world.logged if event == "rollout.changed"), world.now)
    halted = next((at for at, event, _ in world.logged if event == "rollout.halted"), world.now)
    others = sum(place.harmed for name, place in world.places.items() if name != "site-00")
    return Run(
        policy,
        sites,
        seed,
        end,
        world.places["site-00"].harmed,
        others,
        len(world.changed()),
        halted - first,
        world.now,
    )


def cases(sites: list[int], seeds: int, kind: str) -> Iterator[tuple[str, int, int]]:
    names = {
        "bad": list(BAD),
        "both": [f"{name}, {beside}" for name in BAD for beside in MASKS],
        "good": [*GOOD, *(f"longer time, {beside}" for beside in TROUBLES)],
    }[kind]
    for number in sites:
        for name in names:
            for seed in range(seeds):
                yield name, number, seed


def table(runs: list[Run], good: bool) -> str:
    groups: dict[tuple[int, str], list[Run]] = {}
    for run in runs:
        groups.setdefault((run.sites, run.policy), []).append(run)
    if good:
        lines = [
            "| good policy | sites | runs | halted | not ended | s over all sites, median (worst) |",
            "| --- | --- | --- | --- | --- | --- |",
        ]
    else:
        lines = [
            "| bad policy | sites | runs | passed | harmed at the first site, median (worst) "
            "| harmed elsewhere | s to the halt, median (worst) |",
            "| --- | --- | --- | --- | --- | --- | --- |",
        ]
    for (sites, policy), group in groups.items():
        if good:
            whole = [run.whole for run in group if run.end == "done"] or [float("nan")]
            halted = sum(run.end == "halted" for run in group)
            still = sum(run.end not in ("done", "halted") for run in group)
            lines.append(
                f"| {policy} | {sites} | {len(group)} | {halted} | {still} | "
                f"{statistics.median(whole):.0f} ({max(whole):.0f}) |"
            )
        else:
            passed = sum(run.end != "halted" or run.changed > 1 for run in group)
            harmed, took = [run.harmed for run in group], [run.to_halt for run in group]
            lines.append(
                f"| {policy} | {sites} | {len(group)} | {passed} | {statistics.median(harmed):.0f} "
                f"({max(harmed):.0f}) | {sum(run.elsewhere for run in group):.0f} | "
                f"{statistics.median(took):.0f} ({max(took):.0f}) |"
            )
    return "\n".join(lines)


def story(policy: str, sites: int, seed: int, every: int) -> dict[str, str]:
    """One run, a letter each `every` turns for each site."""
    world = made(policy, sites, seed)
    drawn = dict.fromkeys(world.places, "")
    before = dict.fromkeys(world.places, 0.0)
    at = 0
    while duty.running(world.document) and world.now < 7200:
        world.turn()
        at += 1
        if at % every == 0:
            for name, place in world.places.items():
                state = STATES[world.state["sites"][name]["state"]]
                drawn[name] += "!" if place.harmed > before[name] else state
                before[name] = place.harmed
    return drawn


def plot(path: Path, sites: int) -> None:
    """Sites by time, of a good run and of each kind of bad one."""
    stories = [(policy, story(policy, sites, 1, 5)) for policy in ("longer time", *BAD)]
    draw: Callable[[Path, Any], None] | None = None
    if path.suffix != ".txt":
        try:
            draw = picture()
        except ImportError:
            path = path.with_suffix(".txt")
    if draw is not None:
        draw(path, stories)
    else:
        key = ", ".join(f"{letter} {name}" for name, letter in STATES.items())
        lines = [f"One letter: 5 s. {key}, ! harmed by the policy", ""]
        for policy, rows in stories:
            lines += [policy, *(f"  {name} {row}" for name, row in rows.items()), ""]
        path.write_text("\n".join(lines))
    print(f"plot: {path}")


def picture() -> Callable[[Path, Any], None]:
    from matplotlib import pyplot  # type: ignore[import-not-found,unused-ignore]

    colours = {".": 0, "c": 1, "w": 2, "P": 3, "!": 4, "r": 5, "R": 6, "L": 7, "x": 7}

    def draw(path: Path, stories: Any) -> None:
        figure, axes = pyplot.subplots(len(stories), 1, figsize=(10, 2 * len(stories)))
        for axis, (policy, rows) in zip(axes, stories, strict=True):
            axis.imshow(
                [[colours[letter] for letter in row] for row in rows.values()],
                aspect="auto",
                vmin=0,
                vmax=7,
                cmap="tab10",
            )
            axis.set_title(policy)
        figure.tight_layout()
        figure.savefig(path)

    return draw


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--seeds", type=int, default=20)
    parser.add_argument("--sites", type=int, nargs="+", default=[5, 40])
    parser.add_argument("--processes", type=int, default=2)
    parser.add_argument(
        "--only",
        choices=("bad", "both", "good"),
        help="bad policies, bad ones with a trouble beside, or good ones",
    )
    parser.add_argument("--plot", type=Path)
    given = parser.parse_args()
    began = time.monotonic()
    with ProcessPoolExecutor(given.processes) as pool:
        for kind in ("bad", "both", "good"):
            if given.only in (None, kind):
                todo = list(cases(given.sites, given.seeds, kind))
                print(table(list(pool.map(play, todo, chunksize=4)), kind == "good"), flush=True)
                print()
    if given.plot:
        plot(given.plot, min(given.sites))
    print(f"{time.monotonic() - began:.0f} s")


if __name__ == "__main__":
    main()
