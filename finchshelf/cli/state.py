"""The commands on a control plane's folder: check, show, export, restore.

Owns their words and exit status. It must never show a document, which holds tenants' keys, or take an old
state for the newest without a word.
"""

from __future__ import annotations

import sys
from collections import Counter
from contextlib import suppress
from typing import Any, NoReturn

import click
import orjson

from finchshelf.agreement import backup
from finchshelf.agreement.backup import Generation
from finchshelf.agreement.core import Acceptor, Value
from finchshelf.agreement.store import StoreError
from finchshelf.cli.options import HostPort

FOLDER = click.Path()
FAULTS = {
    "unsealed": "it has no seal: its first save was cut off",
    "seal": "its seal can't be read",
    "data": "its seal does not fit its file",
    "record": "its record does not prove itself",
    "state": "of a form that this version does not know",
}


@click.group()
def state() -> None:
    """The folder (stateDir) of a control plane that does not run, and backups of it."""


def ended(error: StoreError, status: int) -> NoReturn:
    click.echo(f"finchshelf: {error}", err=True)
    sys.exit(status)


def warn(words: str) -> None:
    click.echo(f"finchshelf: warning: {words}", err=True)


def looked(folder: str) -> list[Generation]:
    """Both generations, with a warning if the folder looks in use; status 2 if it can't be read."""
    try:
        found = backup.examine(folder)
    except StoreError as error:
        ended(error, 2)
    if words := backup.in_use(folder):
        warn(f"{folder}: {words}")
    return found


def tell_lost(found: list[Generation]) -> None:
    for each in backup.lost(found):
        warn(
            f"{each.path}: {FAULTS[each.fault]}; it was whole and newer than what is left here. Compare "
            "with the other members' folders: they may hold a newer version"
        )


def row(each: Generation) -> dict[str, Any]:
    acceptor = each.acceptor
    found: dict[str, Any] = {
        "generation": each.name,
        "fault": each.fault,
        "path": each.path,
        "size": each.size,
        "counter": each.counter,
        "decided": None,
        "accepted": None,
    }
    if acceptor is not None:
        found |= {
            "disk": acceptor.me.disk,
            "decided": backup.told(acceptor.decided),
            "promised": list(acceptor.promised),
            "accepted": None
            if acceptor.accepted is None
            else {"ballot": list(acceptor.accepted[0]), **(backup.told(acceptor.accepted[1]) or {})},
        }
    return found


def words(value: Value | None) -> str:
    if value is None:
        return "none"
    members = ", ".join(f"{member.address} ({member.disk})" for member in value.members)
    return f"slot {value.slot}, version {value.version:08x}, {len(value.document)} bytes, members {members}"


def lines(each: Generation) -> list[str]:
    if each.empty:
        return [f"{each.name}: nothing was ever saved here"]
    if each.acceptor is None:
        return [
            f"{each.name}: FAULT: {each.path}: {FAULTS[each.fault]}; counter {each.counter}, "
            f"{each.size} bytes"
        ]
    return [
        f"{each.name}: the seal fits; counter {each.counter}, {each.size} bytes",
        *(f"   {line}" for line in inside(each.acceptor)),
    ]


def inside(acceptor: Acceptor) -> list[str]:
    accepted = "none"
    if acceptor.accepted is not None:
        accepted = f"{words(acceptor.accepted[1])}, ballot {acceptor.accepted[0].n}"
    return [
        f"disk {acceptor.me.disk}",
        f"decided: {words(acceptor.decided)}",
        f"accepted, not known to be decided: {accepted}",
    ]


@state.command()
@click.argument("folder", type=FOLDER)
@click.option("--json", "as_json", is_flag=True, help="JSON, for a script.")
def check(folder: str, as_json: bool) -> None:
    """Tell of both generations in FOLDER. Status 0 all well, 1 a fault, 2 unreadable."""
    found = looked(folder)
    whole = backup.newest(found)
    if as_json:
        click.echo(orjson.dumps({"folder": folder, "generations": list(map(row, found))}))
    else:
        click.echo("\n".join(line for each in found for line in lines(each)))
    tell_lost(found)
    if whole is None:
        warn(f"{folder}: no whole state in it")
    sys.exit(1 if whole is None or any(each.fault for each in found) else 0)


@state.command()
@click.argument("folder", type=FOLDER)
@click.option("--json", "as_json", is_flag=True, help="JSON, for a script.")
def show(folder: str, as_json: bool) -> None:
    """The newest whole state in FOLDER, without the keys of tenants."""
    found = looked(folder)
    best = backup.newest(found)
    tell_lost(found)
    if best is None or best.acceptor is None:
        ended(StoreError("show", folder, "no whole state in it"), 1)
    decided, kinds = best.acceptor.decided, Counter[str]()
    with suppress(ValueError, KeyError, TypeError):
        document = orjson.loads(decided.document if decided else b"")
        kinds.update(one["elementKind"] for one in document["elements"])
    if as_json:
        click.echo(orjson.dumps({**row(best), "elements": dict(kinds)}))
        return
    click.echo("\n".join([f"generation {best.name}, counter {best.counter}", *inside(best.acceptor)]))
    click.echo("elements: " + (", ".join(f"{n} {kind}" for kind, n in sorted(kinds.items())) or "none"))


@state.command()
@click.argument("folder", type=FOLDER)
@click.argument("file", type=click.Path())
def export(folder: str, file: str) -> None:
    """Write the newest whole state in FOLDER to a new FILE. It holds tenants' keys."""
    tell_lost(looked(folder))
    try:
        value = backup.export(folder, file)
    except StoreError as error:
        ended(error, 1)
    click.echo(f"{file}: {words(value)}")


class Members(click.ParamType[tuple[str, ...]]):
    """`10.1.0.5:7660,10.2.0.5:7660`, each once."""

    name = "HOST:PORT,..."

    def convert(
        self, value: Any, param: click.Parameter | None, ctx: click.Context | None
    ) -> tuple[str, ...]:
        if isinstance(value, tuple):
            return value
        found = tuple(str(HostPort().convert(part.strip(), param, ctx)) for part in str(value).split(","))
        if len(set(found)) != len(found):
            self.fail(f"{value!r}: one member twice", param, ctx)
        return found


@state.command()
@click.argument("file", type=click.Path())
@click.argument("folder", type=FOLDER)
@click.option(
    "--members",
    type=Members(),
    required=True,
    help="All machines of the new core, at the first port of their portRange.",
)
@click.option("--start", help="What the first machine's restore printed; left out on that first one only.")
@click.option("--accepted", is_flag=True, help="Take the accepted value, not known to be decided.")
@click.option(
    "--storage-mb",
    type=click.FloatRange(1.0),
    default=64.0,
    show_default=True,
    help="saturations.storageMb of the machine.",
)
def restore(
    file: str, folder: str, members: tuple[str, ...], start: str | None, accepted: bool, storage_mb: float
) -> None:
    """Begin a new core from the backup FILE, in the empty FOLDER of one of its members.

    Only when the old core is gone: stop what is left of it first.
    """
    try:
        held = backup.read(file)[0].accepted
        begun = start or backup.begin(file, members, accepted)
        backup.restore(folder, backup.first_state(file, members, begun, accepted), storage_mb)
    except StoreError as error:
        ended(error, 1)
    if held is not None and not accepted:
        warn(
            f"{file}: it also holds {words(held[1])}, accepted and not known to be decided: it may have "
            "been acknowledged. Compare the other members' folders; --accepted takes it"
        )
    click.echo(f"{folder}: restored")
    if start is None:
        click.echo(f"on each other member within the hour, once: add --start {begun}")
