"""Plays the storms of the in-memory world over seeds; cuts a day that breaks a rule down to few faults.

Owns the plan of a day (which fault when, with chance of its own, so that one can be left out and the
others stay as they are), the search for fewer, and what is printed. It must never play a day that its
seed and faults don't give again, or call a day well that ended by an error.

`python -m finchshelf.simulation.explore --seeds 1-100`
"""

from __future__ import annotations

import contextlib
import io
import multiprocessing
import os
import sys
import time
from collections import Counter, defaultdict
from collections.abc import Callable, Iterator, Sequence
from dataclasses import dataclass
from functools import partial
from random import Random
from typing import Any, NamedTuple, cast

import click
import trio

from finchshelf.simulation import storms
from finchshelf.simulation.fleet import World, play
from finchshelf.simulation.quota import Quota

LANES: tuple[list[storms.Harm], ...] = (storms.CORE_HARM, storms.OTHER_HARM)  # one at a time in each
KINDS = {harm.__name__: harm for lane in LANES for harm in lane}
PAUSE = 0.5  # s between two faults of a lane, on average
LENGTH, CALM = 20.0, 7.0  # s of harm, and after it: RECOVER is judged in the last two
HOT = {"plain": (0.0, 0.0), "hot": (10.0, 10.0)}
# As little as the rules need: each limiter, server and route is asked a few times between two faults, and the
# hot tenant so often that two sides which each grant its rate break QUOTA.
TRAFFIC = (
    ("/read/", "key-plain", 6.0),
    ("/write/", "key-plain", 5.0),
    ("/other/", "key-plain", 1.5),
    ("/read/", "key-old", 2.0),
    ("/write/", "key-hot", 28.0),
)
MOST_DAYS = 150  # played to cut one day down
EVENTS = 150  # lines printed of the day that is left
TOLD_S = 2.0  # s between two lines of progress


class Fault(NamedTuple):
    lane: int
    at: float  # s after the start of the harm, at the earliest: the one before it in the lane ends first
    kind: str
    seed: int  # of its own chance


@dataclass(frozen=True)
class Shape:
    """What days have in common."""

    kinds: tuple[str, ...]
    length: float  # s of harm
    calm: float  # s after it
    traffic: float  # times the usual


@dataclass(frozen=True)
class Day:
    seed: int
    faults: tuple[Fault, ...]
    broken: tuple[str, ...]  # rules in the judge's words
    began: tuple[tuple[float, Fault], ...]  # in the world's time
    events: tuple[str, ...]
    quotas: tuple[Quota, ...] = ()

    @property
    def rule(self) -> str:
        return self.broken[0].partition(":")[0] if self.broken else ""


class View:
    """The world as one fault sees it: all of it, but with chance of the fault's own.

    Danger: with the world's one generator a fault left out would change every fault after it.
    """

    def __init__(self, world: World, random: Random) -> None:
        self.__dict__.update(_world=world, random=random)

    def __getattr__(self, name: str) -> Any:
        return getattr(self._world, name)

    def __setattr__(self, name: str, value: Any) -> None:
        setattr(self._world, name, value)


def plan(seed: int, shape: Shape) -> tuple[Fault, ...]:
    """The faults of a seed's day; other seeds and other kinds give others."""
    found = []
    for lane, harms in enumerate(LANES):
        names = [harm.__name__ for harm in harms if harm.__name__ in shape.kinds]
        random, at = Random(f"{seed} {lane} {names}"), 0.0
        while names and (at := at + random.expovariate(1 / PAUSE)) < shape.length:
            found.append(Fault(lane, at, random.choice(names), random.getrandbits(32)))
    return tuple(sorted(found, key=lambda fault: fault.at))


def day(seed: int, faults: tuple[Fault, ...], shape: Shape, told: bool = False) -> Day:
    """Play it; `told`: with what the programs logged."""
    began: list[tuple[float, Fault]] = []
    worlds: list[World] = []
    quotas: tuple[Quota, ...] = ()

    async def one_lane(world: World, since: float, mine: list[Fault]) -> None:
        for fault in mine:
            await trio.sleep_until(since + fault.at)
            began.append((trio.current_time(), fault))
            await KINDS[fault.kind](cast(World, View(world, Random(fault.seed))))

    async def story(world: World) -> None:
        worlds.append(world)
        since, span = trio.current_time(), shape.length + shape.calm
        for path, key, rate in TRAFFIC:
            world.nursery.start_soon(world.traffic, rate * shape.traffic, span, path, key)
        with trio.move_on_after(shape.length):
            async with trio.open_nursery() as nursery:
                for lane in range(len(LANES)):
                    nursery.start_soon(one_lane, world, since, [one for one in faults if one.lane == lane])
        world.mend()
        await trio.sleep_until(since + span)

    try:
        with contextlib.redirect_stdout(io.StringIO()):  # a story tells its seed; here that is progress
            judge = play(story, seed, tenants=HOT).judge
            broken, quotas = judge.verdict(), tuple(judge.quotas())
    except Exception as error:
        # Danger: a world that fell is no day without a broken rule.
        broken = [f"ERROR: {cause!r}" for cause in causes(error)]
    lines = worlds[0].lines if told and worlds else []
    return Day(
        seed,
        faults,
        tuple(broken),
        tuple(began),
        tuple(f"{at:9.3f} {name} {event} {fields}" for at, name, event, fields in lines),
        quotas,
    )


def causes(error: BaseException) -> Iterator[BaseException]:
    if isinstance(error, BaseExceptionGroup):
        for each in error.exceptions:
            yield from causes(each)
    else:
        yield error


def fewest(found: Day, shape: Shape, tell: Callable[[str], None]) -> Day:
    """The day with the fewest faults that still breaks that rule: none of them can be left out alone."""
    best, days = found, 0
    left = tuple(fault for _, fault in found.began)  # what didn't begin broke nothing
    part = max(1, len(left))
    while part and days < MOST_DAYS:
        at, cut = 0, False
        while at < len(left) and days < MOST_DAYS:
            days += 1
            tried = day(found.seed, left[:at] + left[at + part :], shape)
            if found.rule in {line.partition(":")[0] for line in tried.broken}:
                best, left, cut = tried, tried.faults, True
                tell(f"{len(left)} faults are left after {days} days")
            else:
                at += part
        part = part // 2 if part > 1 else int(cut)  # single ones again until none can go
    return best


class Quotas:
    """The limited tenants' figures over all days played."""

    def __init__(self) -> None:
        self.worst: dict[str, tuple[float, int, Quota]] = {}  # share of what is allowed, seed
        self.units: dict[str, Counter[str]] = defaultdict(Counter)

    def add(self, played: Day) -> None:
        for one in played.quotas:
            share = one.most / one.allowed
            self.worst[one.tenant] = max(self.worst.get(one.tenant, (0.0, 0, one)), (share, played.seed, one))
            self.units[one.tenant].update(fits=one.fits, refused=one.refused, over=one.over)

    def lines(self) -> Iterator[str]:
        for tenant, (share, seed, one) in sorted(self.worst.items()):
            units = self.units[tenant]
            net = units["refused"] - units["over"]
            yield (
                f"QUOTA {tenant}: at most {share:.2f} of what is allowed, {one.most} of {one.allowed:.0f} "
                f"in a window to {one.at:.3f} of seed {seed}"
            )
            yield (
                f"QUOTA {tenant}: of {units['fits']} units that one bucket for all would have let in "
                f"{units['refused']} were refused, {units['over']} others ran: {net} fewer in all "
                f"({net / max(1, units['fits']):.3f})"
            )


def first_broken(
    seeds: Sequence[int], shape: Shape, jobs: int, tell: Callable[[str], None], quotas: Quotas
) -> Day | None:
    """The first seed, by number, whose day breaks a rule; `quotas` gets the figures of each day before it."""
    began = told = time.monotonic()
    with contextlib.ExitStack() as stack:
        one = partial(seeded, shape)
        days: Iterator[Day] = map(one, seeds)
        if jobs > 1:
            # Leaving it ends the children, and only those that it started.
            pool = stack.enter_context(multiprocessing.Pool(min(jobs, len(seeds)), maxtasksperchild=50))
            days = pool.imap(one, seeds)
        for count, played in enumerate(days, 1):
            now = time.monotonic()
            quotas.add(played)
            if played.broken:
                tell(f"seed {played.seed} broke {played.rule} after {count} seeds, {now - began:.1f} s")
                return played
            if now - told > TOLD_S or count == len(seeds):
                told = now
                tell(f"{count} of {len(seeds)} seeds, nothing broken, {now - began:.1f} s")
    return None


def seeded(shape: Shape, seed: int) -> Day:
    return day(seed, plan(seed, shape), shape)


def report(left: Day, whole: Day, shape: Shape) -> Iterator[str]:
    yield f"seed {left.seed} breaks {whole.rule}"
    yield from (line for line in left.broken if line.partition(":")[0] == whole.rule)
    yield f"{len(left.faults)} of {len(whole.began)} faults are left:"
    yield from (f"{at:9.3f} {fault.kind} (its chance: {fault.seed})" for at, fault in left.began)
    yield f"events, the last {EVENTS} at the most:"
    yield from left.events[-EVENTS:]


class Seeds(click.ParamType[range]):
    """`1-100`, or one."""

    name = "A-B"

    def convert(self, value: Any, param: click.Parameter | None, ctx: click.Context | None) -> range:
        if isinstance(value, range):
            return value
        first, _, last = str(value).partition("-")
        if not first.isdigit() or not (last or first).isdigit() or int(last or first) < int(first):
            self.fail(f"{value!r}: expected A-B, two numbers, the lower first", param, ctx)
        return range(int(first), int(last or first) + 1)


def kinds(ctx: click.Context, param: click.Parameter, value: str | None) -> tuple[str, ...]:
    found = tuple(sorted(KINDS)) if value is None else tuple(value.split(","))
    unknown = sorted(set(found) - set(KINDS))
    if unknown:
        raise click.BadParameter(f"{', '.join(unknown)}: expected some of {', '.join(sorted(KINDS))}")
    return found


@click.command()
@click.option("--seeds", type=Seeds(), required=True, help="From A to B, both played.")
@click.option("--faults", callback=kinds, help="Only these kinds, with commas between.")
@click.option(
    "--jobs", type=click.IntRange(1), default=os.cpu_count() or 1, help="Processes; else one on each core."
)
@click.option(
    "--length",
    type=click.FloatRange(1.0),
    default=LENGTH,
    show_default=True,
    help="Seconds of harm in the world's time.",
)
@click.option(
    "--calm",
    type=click.FloatRange(1.0),
    default=CALM,
    show_default=True,
    help="Seconds after it: all must be back.",
)
@click.option(
    "--traffic",
    type=click.FloatRange(0.0, 10.0, min_open=True),
    default=1.0,
    show_default=True,
    help="Times the usual traffic: less is quicker, and sees less.",
)
def main(
    seeds: range, faults: tuple[str, ...], jobs: int, length: float, calm: float, traffic: float
) -> None:
    """Play storms over seeds; print the first broken rule with the fewest faults.

    Status 0 if none is broken, 1 if one is.
    """

    def tell(words: str) -> None:
        click.echo(words, err=True)

    shape = Shape(faults, length, calm, traffic)
    quotas = Quotas()
    found = first_broken(seeds, shape, jobs, tell, quotas)
    click.echo("\n".join(quotas.lines()))
    if found is None:
        click.echo(f"seeds {seeds[0]}-{seeds[-1]}: no rule broken")
        return
    left = fewest(found, shape, tell)
    again = day(left.seed, left.faults, shape, told=True)
    if again.broken != left.broken:
        tell("played again, the day was another: its seed does not give it")
    click.echo("\n".join(report(again, found, shape)))
    sys.exit(1)


if __name__ == "__main__":
    main(prog_name="explore")
