"""The commands `finchshelf rollout`: check a plan, begin and watch a roll-out, hold it up, call it off.

Owns their words and what a person reads. Exit status: 0 well (`watch`: done), 1 a fault, a refusal or a
roll-out that halted, 2 no keeper answered. It must never change a site itself.
"""

from __future__ import annotations

import signal
import sys
import time
from pathlib import Path
from types import FrameType
from typing import Any, NoReturn

import click
import orjson
import trio

from finchshelf.cli import show
from finchshelf.rollout import plan
from finchshelf.rollout.driver import ENDED
from finchshelf.transport.address import Address

FILE = click.Path(exists=True, dir_okay=False)
LIMIT = 5.0  # s for a keeper's answer: a change has two for its decision
AGAIN = 1.0  # s between two looks of `watch`
AS_JSON = click.option("--json", "as_json", is_flag=True, help="JSON, for a script.")
KEEPERS = click.option(
    "--keeper",
    "keepers",
    multiple=True,
    required=True,
    metavar="HOST:PORT",
    help="A keeper; of several the next is asked where one says nothing.",
)


@click.group()
def rollout() -> None:
    """A change of policy, brought to many sites one by one, onward only on evidence."""


def load(file: str, as_json: bool) -> plan.Plan:
    try:
        return plan.read_file(file)
    except plan.PlanError as error:
        click.echo(
            orjson.dumps({"file": file, "faults": error.faults}) if as_json else str(error), err=not as_json
        )
        sys.exit(1)


def addresses(keepers: tuple[str, ...]) -> list[Address]:
    found = []
    for text in keepers:
        host, _, port = text.rpartition(":")
        if not host or not port.isdigit():
            raise click.UsageError(f"--keeper {text}: expected HOST:PORT, both numbers")
        found.append(Address(host.strip("[]"), int(port)))
    return found


def say(keepers: tuple[str, ...], **message: Any) -> dict[str, Any]:
    """A keeper's answer; status 2 where there is none."""
    from finchshelf.cli import keeper

    answer = trio.run(keeper.say, addresses(keepers), message, LIMIT)
    if "error" in answer:
        click.echo(f"finchshelf: {answer['error']}", err=True)
        sys.exit(2)
    return answer


def document(keepers: tuple[str, ...]) -> dict[str, Any]:
    found: dict[str, Any] = orjson.loads(say(keepers, word="status")["document"])
    return found


def told(answer: dict[str, Any], well: str, as_json: bool) -> NoReturn:
    refused = answer.get("refused")
    if as_json:
        click.echo(orjson.dumps({"ok": not refused, "why": refused or ""}))
    else:
        click.echo(f"finchshelf: refused: {refused}" if refused else well, err=bool(refused))
    sys.exit(1 if refused else 0)


@rollout.command("plan")
@click.argument("file", type=FILE)
@AS_JSON
def plan_command(file: str, as_json: bool) -> None:
    """Check a plan, and say what it would do."""
    made = load(file, as_json)
    waves = [[site.name for site in wave] for wave in made.waves]
    if as_json:
        click.echo(
            orjson.dumps(
                {
                    "file": file,
                    "faults": [],
                    "name": made.name,
                    "waves": waves,
                    "kinds": [kind.route for kind in made.kinds],
                }
            )
        )
        return
    click.echo(
        f"{made.name}: no fault found; {len(made.sites)} sites in {len(waves)} waves, each watched "
        f"for {made.window:g} s and {made.least} requests of each kind at least"
    )
    for number, names in enumerate(waves, 1):
        click.echo(f"wave {number}: {', '.join(names)}")
    for kind in made.kinds:
        words = ", ".join(f"{harm} {part:.1%}" for harm, part in kind.tolerated.items())
        once = "must not repeat; " if kind.once else ""
        click.echo(f"{kind.route}: {once}tolerated more than before: {words}")


@rollout.command("keep")
@click.option("--listen", required=True, metavar="HOST:PORT", help="This keeper's address.")
@click.option(
    "--seed",
    "seeds",
    multiple=True,
    required=True,
    metavar="HOST:PORT",
    help="A keeper of the first start; all of them, this one too.",
)
@click.option("--folder", required=True, type=click.Path(file_okay=False), help="Its disk.")
@click.option("--first", is_flag=True, help="The very first start of all keepers. Never again.")
def keep_command(listen: str, seeds: tuple[str, ...], folder: str, first: bool) -> None:
    """Run one of the head office's three keepers until SIGTERM."""
    from finchshelf.cli import keeper

    addresses((listen, *seeds))
    trio.run(keeper.keep, listen, seeds, Path(folder), first)


@rollout.command()
@click.argument("file", type=FILE)
@KEEPERS
@AS_JSON
def start(file: str, keepers: tuple[str, ...], as_json: bool) -> None:
    """Begin the roll-out of a plan."""
    made = load(file, as_json)
    told(say(keepers, word="start", plan=orjson.dumps(made.given)), f"{made.name}: begun", as_json)


def word(name: str, means: str, well: str) -> None:
    @rollout.command(name, help=means)
    @KEEPERS
    @AS_JSON
    def command(keepers: tuple[str, ...], as_json: bool) -> None:
        told(say(keepers, word=name), well, as_json)


word("pause", "Change no further site; what has changed is watched on.", "paused")
word("resume", "Let a paused roll-out go on.", "goes on")
word("abort", "Call it off: sites of this wave go back to their last good policy.", "called off")

word("leave", "Give up on sites of a halted roll-out that can't be taken back.", "left as they are")


def rows(found: dict[str, Any]) -> list[show.Row]:
    """A line a site."""
    state, view = found["state"], found.get("view", {})
    waves = {row["name"]: row.get("wave", at) for at, row in enumerate(state["plan"]["sites"], 1)}
    listed = []
    for name, row in state["sites"].items():
        seen = view.get(name, {})
        version = row.get("back_version", row.get("version"))
        harms = [f"{kind} {part:.1%}" for kind, part in seen.get("harms", {}).items() if part >= 0.001]
        listed.append(
            {
                "site": name,
                "wave": waves[name],
                "state": row["state"],
                "version": f"{version:08x}" if version else None,
                "a_second": seen.get("rate"),
                "watched": seen.get("taken"),
                "seen": ", ".join(harms) or None,
            }
        )
    return listed


def text(found: dict[str, Any]) -> str:
    state = found["state"]
    if state is None:
        return "no roll-out yet"
    paused = ", paused" if found["paused"] else ""
    head = f"{state['name']}: {state['phase']}{paused}; driver {found['driver'] or 'none yet'}"
    return "\n".join(filter(None, [head, state["why"] or state["says"], show.table(rows(found))]))


@rollout.command()
@KEEPERS
@AS_JSON
def status(keepers: tuple[str, ...], as_json: bool) -> None:
    """Where the roll-out stands, a line a site."""
    found = document(keepers)
    if as_json:
        state = found["state"] or {}
        click.echo(
            orjson.dumps(
                {
                    "name": state.get("name"),
                    "phase": state.get("phase"),
                    "why": state.get("why"),
                    "says": state.get("says"),
                    "paused": found["paused"],
                    "driver": found["driver"],
                    "epoch": found["epoch"],
                    "sites": rows(found) if state else [],
                }
            )
        )
    else:
        click.echo(text(found))


@rollout.command()
@KEEPERS
@AS_JSON
def watch(keepers: tuple[str, ...], as_json: bool) -> None:
    """Show it until its end, drawn anew each second; status 0 if it is done, 1 if it halted."""
    last = ""
    while True:
        found = document(keepers)
        state = found["state"]
        if as_json and state:
            sites = {name: row["state"] for name, row in state["sites"].items()}
            now = orjson.dumps(
                {"phase": state["phase"], "says": state["says"], "why": state["why"], "sites": sites}
            ).decode()
        else:
            now = text(found)
        if sys.stdout.isatty() and not as_json:
            click.clear()
            click.echo(now)
        elif now != last:
            click.echo(now)
        last = now
        if state is None or state["phase"] in ENDED:
            sys.exit(0 if state and state["phase"] == "done" else 1)
        time.sleep(AGAIN)


@rollout.command()
@KEEPERS
@AS_JSON
def history(keepers: tuple[str, ...], as_json: bool) -> None:
    """What happened, in this roll-out and in those before it."""
    found = document(keepers)
    state = found["state"]
    now = [{key: state[key] for key in ("name", "phase", "why", "history")}] if state else []
    told_of = [*found["former"], *now]
    if as_json:
        click.echo(orjson.dumps(told_of))
        return
    for one in told_of:
        click.echo(f"{one['name']}: {one['phase']} {one['why']}".rstrip())
        for line in one["history"]:
            when = time.strftime("%Y-%m-%d %H:%M:%S", time.gmtime(line["at"]))
            more = " ".join(
                f"{key}={value}"
                for key, value in line.items()
                if key not in ("at", "event", "site") and value != ""
            )
            click.echo(f"  {when}  {line['event']:18} {line['site']:16} {more}".rstrip())


@rollout.command("drill")
def drill_command() -> None:
    """Five small systems on loopback: a good policy reaches all, a bad one stops at the first."""
    from finchshelf.cli import drill  # it loads what no other command needs

    def ended(number: int, frame: FrameType | None) -> NoReturn:
        # Danger: ended by a signal, the children that the drill started would stay.
        sys.exit(128 + number)

    former = signal.signal(signal.SIGTERM, ended)
    try:
        well = drill.run(click.echo)
    finally:
        signal.signal(signal.SIGTERM, former)
    click.echo("all went through" if well else "not all went through")
    sys.exit(0 if well else 1)
