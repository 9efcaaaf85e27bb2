"""The command `finchshelf`: starts the programs, checks files, asks and changes a running system, shows a
demo.

Owns the words of the command line, its exit status (0 well, 1 a fault or refusal, 2 nobody answered)
and what a person reads. It must never be loaded by the two programs.
"""

from __future__ import annotations

import os
import signal
import sys
from contextlib import suppress
from pathlib import Path
from types import FrameType
from typing import NoReturn
from urllib.parse import quote

import click
import orjson

from finchshelf.agreement.transitions import MOST_HORIZON_MS
from finchshelf.cli import deploy, logs, operator, show
from finchshelf.cli.options import HostPort
from finchshelf.cli.rollout import rollout
from finchshelf.cli.state import state as state_commands
from finchshelf.configuration import change
from finchshelf.configuration.boot import SettingsError, check_boot, read_boot
from finchshelf.transport.address import Address
from finchshelf.transport.frames import PeerError

FILE = click.Path(exists=True, dir_okay=False)
AS_JSON = click.option("--json", "as_json", is_flag=True, help="JSON, for a script.")


CONTROLS = click.option(
    "--control",
    "controls",
    type=HostPort(),
    multiple=True,
    help="A control plane; of several the next is called where one says nothing.",
)
SETTINGS = click.option("--settings", type=FILE, help="A settings file whose initialPeers are called.")


def unreachable(why: object) -> NoReturn:
    click.echo(f"finchshelf: {why}", err=True)
    sys.exit(2)


def called(controls: tuple[Address, ...], settings: str | None, inner: bool) -> list[Address]:
    """Whom to call: as given, and the seeds of a settings file; `inner`: at the first of `portRange`."""
    found = list(controls)
    if settings is not None:
        try:
            boot = read_boot(settings)
        except SettingsError as error:
            raise click.ClickException(str(error)) from None
        port = boot.port_range[0]
        found += [Address(peer.host, port if inner else peer.port) for peer in boot.initial_peers]
    if not found:
        raise click.UsageError("expected --control HOST:PORT or --settings FILE")
    return found


@click.group()
@click.option("--log", "log_to", help="Where to write this command's own log (JSON); - is standard error.")
def main(log_to: str | None) -> None:
    """The whole system: limiters that carry the traffic, control planes that know and keep."""
    logs.begin(log_to)


# ---- the programs ----


def become(package: str, settings: str | None, *words: str) -> NoReturn:
    """Turn into the program: a command line that stays in memory would be paid for as long as it runs."""
    if settings is not None:
        os.environ["FINCHSHELF_BOOT"] = settings
    if not os.environ.get("FINCHSHELF_BOOT"):
        raise click.UsageError("expected --settings FILE or FINCHSHELF_BOOT")
    sys.stdout.flush()
    os.execv(sys.executable, [sys.executable, "-O", "-m", package, *words])


@main.command("data-plane")
@click.option("--settings", type=FILE, help="The settings file; else FINCHSHELF_BOOT names it.")
@click.option(
    "--experience",
    type=click.Choice(["on", "off"]),
    help="Steer by what all limiters know of servers; else as this version has it.",
)
def data_plane(settings: str | None, experience: str | None) -> None:
    """Start a data plane: carries the traffic of one limiter."""
    become("finchshelf.dataplane", settings, *(("--experience", experience) if experience else ()))


@main.command("control-plane")
@click.option("--settings", type=FILE, help="The settings file; else FINCHSHELF_BOOT names it.")
def control_plane(settings: str | None) -> None:
    """Start a control plane: knows servers and limiters, keeps the configuration."""
    become("finchshelf.controlplane", settings)


# ---- files ----


def configuration_faults(path: str, on: str | None) -> list[str]:
    """All faults of a configuration, or of a change on top of one."""
    body = read(path)
    try:
        try:
            wanted = change.read_change("replace", body)
        except change.Invalid as error:
            if error.place != "elements" or (on is None and b'"apply"' not in body):
                raise
            wanted = change.read_change("adjust", body)  # no `elements` of its own: a change by name
        base, prior = None, 0
        if on is not None:
            below = change.read_change("replace", read(on))
            base, prior = below.document, below.version
        elif wanted.kind == "adjust":
            return [f"{path}: a change by name is checked on top of a configuration: give --on FILE"]
        document, found = change.apply(base, wanted), list[change.Invalid]()
    except change.Invalid as error:
        if error.place not in ("setpointSeq", "priorVersion"):
            return [f"{path}: {error}"]
        # Its bounds are kept, so the rest can be read; a version is told once, as it was met first.
        document, found, prior = orjson.loads(body), [error], 0
        if "elements" not in document:
            return [f"{path}: {error}"]  # a change by name: without a version it builds on nothing
    places = {fault.place for fault in found}
    found += [fault for fault in change.faults(document, prior) if fault.place not in places]
    return [f"{path}: {fault}" for fault in found]


def read(path: str) -> bytes:
    with open(path, "rb") as file:
        return file.read(change.MOST_BYTES + 1)


@main.command()
@click.argument("kind", type=click.Choice(["settings", "configuration", "deploy"]))
@click.argument("file", type=FILE)
@click.option("--on", type=FILE, help="The configuration that a change by name builds on.")
@AS_JSON
def check(kind: str, file: str, on: str | None, as_json: bool) -> None:
    """List every fault of FILE: file, place and what is allowed there."""
    if kind == "settings":
        found = check_boot(file)
    else:
        found = deploy.check(file) if kind == "deploy" else configuration_faults(file, on)
    if as_json:
        click.echo(orjson.dumps({"file": file, "kind": kind, "faults": found}))
    else:
        click.echo("\n".join(found) or f"{file}: no fault found")
    sys.exit(1 if found else 0)


main.add_command(state_commands)


# ---- a running system ----


@main.command("show")
@click.argument("view", type=click.Choice(sorted(show.VIEWS)))
@CONTROLS
@SETTINGS
@AS_JSON
def show_view(view: str, controls: tuple[Address, ...], settings: str | None, as_json: bool) -> None:
    """What a running system knows. Asked at the first port of portRange of a control plane's machine."""
    try:
        found = show.rows(view, called(controls, settings, True))
    except PeerError as error:
        unreachable(error)
    click.echo(orjson.dumps(found) if as_json else show.table(found))


@main.group()
def config() -> None:
    """The configuration of a running system, by way of its control planes' own addresses."""


WITHIN = click.option(
    "--within",
    type=click.FloatRange(0.1, 600.0),
    default=15.0,
    show_default=True,
    help="Seconds in which a clear answer is sought.",
)


MEANINGS = {
    ("setpoint", 412): "another version is in place, nothing was changed",
    ("setpoint", 400): "the configuration is invalid",
    ("transitions", 404): "nothing was ordered",
    ("transitions", 409): "another order for this service is under way",
}


def operate(name: str, controls: list[Address], body: bytes, within: float) -> bytes:
    """The body of a 200; else a plain line and status 1 for a refusal, 2 where no answer was clear."""
    told = operator.call(controls, name, body, within)
    if 200 <= told.status < 300:
        return told.body
    words = told.body[:2000].decode("utf-8", "replace")
    if told.status == 0:
        asked = ", ".join(map(str, controls))
        unreachable(f"{name}: no clear answer from {asked} in {told.tries} tries: {words}")
    with suppress(ValueError, KeyError, TypeError):
        words = str(orjson.loads(told.body)["error"])
    meaning = MEANINGS.get((name.partition(".")[0], told.status), "refused")
    click.echo(
        f"finchshelf: {name} at {told.by}: {told.status}: {meaning}: {words}",
        err=True,
    )
    sys.exit(1)


@config.command("get")
@CONTROLS
@SETTINGS
@WITHIN
@click.argument("file", type=click.Path(dir_okay=False), default="-")
def config_get(controls: tuple[Address, ...], settings: str | None, within: float, file: str) -> None:
    """Write the newest configuration to FILE (- is standard output)."""
    body = operate("setpoint.observe", called(controls, settings, False), b"", within)
    text = orjson.dumps(orjson.loads(body), option=orjson.OPT_INDENT_2 | orjson.OPT_APPEND_NEWLINE)
    if file == "-":
        click.echo(text, nl=False)
    else:
        Path(file).write_bytes(text)


def send(name: str, controls: list[Address], file: str, within: float) -> None:
    answer = orjson.loads(operate(name, controls, read(file), within) or b"{}")
    version = answer.get("setpointSeq", "")
    click.echo(f"version {version} taken: on the disks of more than half of the core")


@config.command("put")
@CONTROLS
@SETTINGS
@WITHIN
@click.argument("file", type=FILE)
def config_put(controls: tuple[Address, ...], settings: str | None, within: float, file: str) -> None:
    """Replace the whole configuration with FILE."""
    send("setpoint.replace", called(controls, settings, False), file, within)


@config.command("adjust")
@CONTROLS
@SETTINGS
@WITHIN
@click.argument("file", type=FILE)
def config_adjust(controls: tuple[Address, ...], settings: str | None, within: float, file: str) -> None:
    """Change the items that FILE names."""
    send("setpoint.adjust", called(controls, settings, False), file, within)


@main.group()
def transition() -> None:
    """New versions of services, brought in while traffic flows."""


@transition.command("begin")
@CONTROLS
@SETTINGS
@WITHIN
@click.option(
    "--horizon",
    type=click.FloatRange(0.1, MOST_HORIZON_MS / 1000),
    required=True,
    help="Seconds in which the version is to be settled or reverted.",
)
@click.argument("service")
@click.argument("target")
def transition_begin(
    controls: tuple[Address, ...],
    settings: str | None,
    within: float,
    horizon: float,
    service: str,
    target: str,
) -> None:
    """Bring in the version TARGET of SERVICE; its servers are to be started beside the old ones now."""
    body = orjson.dumps({"subsystem": service, "target": target, "horizonS": horizon})
    operate("transitions.begin", called(controls, settings, False), body, within)
    click.echo(f"{service}: {target} is tracked: on the disks of more than half of the core")


@transition.command("observe")
@CONTROLS
@SETTINGS
@WITHIN
@click.argument("service")
def transition_observe(
    controls: tuple[Address, ...], settings: str | None, within: float, service: str
) -> None:
    """Tell where the transition of SERVICE stands."""
    name = f"transitions.observe&of={quote(service, safe='')}"
    seen = orjson.loads(operate(name, called(controls, settings, False), b"{}", within))
    click.echo(f"{service}: {seen['target']} is {seen['mode']}")


# ---- many sites ----

main.add_command(rollout)


# ---- the fleet in memory ----


@main.command(
    "explore",
    add_help_option=False,
    context_settings={"ignore_unknown_options": True, "allow_extra_args": True},
)
@click.pass_context
def explore(ctx: click.Context) -> None:
    """Play storms of an in-memory fleet over seeds."""
    sys.stdout.flush()
    os.execv(sys.executable, [sys.executable, "-m", "finchshelf.simulation.explore", *ctx.args])


# ---- the demo ----


@main.command("demo")
def demo_command() -> None:
    """Start a small whole system on loopback, use it, change it, lose a part, and end it."""
    from finchshelf.cli import demo  # it loads what no other command needs

    def ended(number: int, frame: FrameType | None) -> NoReturn:
        # Danger: ended by a signal, the children that the demo started would stay.
        sys.exit(128 + number)

    former = signal.signal(signal.SIGTERM, ended)
    try:
        well = demo.run(click.echo)
    finally:
        signal.signal(signal.SIGTERM, former)
    click.echo("all went through" if well else "not all went through")
    sys.exit(0 if well else 1)


@main.command("soak", context_settings={"ignore_unknown_options": True}, add_help_option=False)
@click.argument("words", nargs=-1, type=click.UNPROCESSED)
def soak_command(words: tuple[str, ...]) -> None:
    """Play the whole system under troubles drawn from seeds, on loopback (`finchshelf soak --help`)."""
    os.execv(sys.executable, [sys.executable, "-m", "finchshelf.soak", *words])


if __name__ == "__main__":
    main(prog_name="finchshelf")
