"""Wire text to interface events, and interface actions to wire text. No decisions."""

from __future__ import annotations

import math
from collections.abc import Mapping

from finchshelf import peers
from finchshelf import settings as parse
from finchshelf.admission import interface as i

MS = 1000.0

STATUS = {
    "OK": i.Status.OK,
    "INTERNAL": i.Status.ERROR,
    "RESOURCE_EXHAUSTED": i.Status.FULL,
    "DEADLINE_EXCEEDED": i.Status.TIMEOUT,
    "UNAVAILABLE": i.Status.UNREACHABLE,
    "ABORTED": i.Status.RESET,
    "CANCELLED": i.Status.CANCELLED,
    "TOO_LATE": i.Status.NOT_SENT,
}
STATE = {0: i.ServerState.READY, 1: i.ServerState.GONE, 2: i.ServerState.DRAINING}
LIST_KIND = {0: i.ListKind.CHANGES, 1: i.ListKind.FULL, 2: i.ListKind.CACHED, 3: i.ListKind.FAILED}
LOAD = {
    "busy_reqs": "held",
    "pending": "queued",
    "cpu_share": "busy",
    "svc_ms": "service",
    "served_ps": "served",
    "failed_ps": "failed",
}
TEXT_FIELDS = ("setup", "msg")


class WireError(ValueError):
    """A line that does not follow the wire; the text says what was expected."""


def split_line(line: str) -> tuple[str, dict[str, str]]:
    """Message name and fields of one line; a text field runs to the end of the line."""
    name, _, rest = line.partition(" ")
    if not name or "=" in name:
        raise WireError("expected a message name first")
    fields: dict[str, str] = {}
    while rest:
        key, eq, tail = rest.partition("=")
        if not eq or not key or " " in key:
            raise WireError(f"expected name=value after {name}, got {rest[:40]!r}")
        if key in TEXT_FIELDS:
            fields[key] = tail
            break
        value, _, rest = tail.partition(" ")
        fields[key] = value
    return name, fields


def integer(fields: Mapping[str, str], key: str, default: int | None = None) -> int:
    text = fields.get(key)
    if text is None:
        if default is None:
            raise WireError(f"expected {key}=INTEGER")
        return default
    try:
        return int(text)
    except ValueError:
        raise WireError(f"expected an integer for {key}, got {text[:40]!r}") from None


def number(fields: Mapping[str, str], key: str, default: float | None = None) -> float:
    text = fields.get(key)
    if text is None:
        if default is None:
            raise WireError(f"expected {key}=NUMBER")
        return default
    return to_number(key, text)


def to_number(key: str, text: str) -> float:
    try:
        value = float(text)
    except ValueError:
        value = math.nan
    if not math.isfinite(value):
        raise WireError(f"expected a number for {key}, got {text[:40]!r}")
    return value


def seconds(fields: Mapping[str, str], key: str, default: float | None = None) -> float:
    return number(fields, key, None if default is None else default * MS) / MS


def flag(fields: Mapping[str, str], key: str) -> bool:
    text = fields.get(key, "0")
    if text not in ("0", "1"):
        raise WireError(f"expected 0 or 1 for {key}, got {text[:40]!r}")
    return text == "1"


def word(fields: Mapping[str, str], key: str) -> str:
    text = fields.get(key)
    if not text:
        raise WireError(f"expected {key}=WORD")
    return text


def status(fields: Mapping[str, str]) -> i.Status:
    text = word(fields, "reason")
    if text not in STATUS:
        raise WireError(f"expected a known reason, got {text[:40]!r}")
    return STATUS[text]


def load(fields: Mapping[str, str]) -> dict[str, float]:
    report: dict[str, float] = {}
    for pair in filter(None, fields.get("gauge", "").split(",")):
        key, colon, value = pair.partition(":")
        if not colon:
            raise WireError(f"expected name:value in gauge, got {pair[:40]!r}")
        if key in LOAD:
            report[LOAD[key]] = to_number(key, value)
    return report


def server(fields: Mapping[str, str]) -> i.Server:
    state = integer(fields, "condition", 0)
    if state not in STATE:
        raise WireError(f"expected condition 0, 1 or 2, got {state}")
    return i.Server(
        word(fields, "server"),
        integer(fields, "campus", 0),
        integer(fields, "class-of-host", 0),
        integer(fields, "pod", 0),
        STATE[state],
        number(fields, "weight", 1.0),
        seconds(fields, "launched", 0.0),
    )


def list_kind(fields: Mapping[str, str]) -> i.ListKind:
    form = integer(fields, "form")
    if form not in LIST_KIND:
        raise WireError(f"expected form 0 to 3, got {form}")
    return LIST_KIND[form]


def heard(f: Mapping[str, str], settings: i.Settings) -> i.Heard:
    """What another limiter said; nothing if it can't be read, as that is no fault of who sent this line."""
    text = word(f, "body")
    try:
        body = bytes.fromhex("" if text == "-" else text)
    except ValueError:
        raise WireError(f"expected hex digits for body, got {text[:40]!r}") from None
    return i.Heard(integer(f, "neighbour"), peers.decode(body, len(settings.plans)))


def event(name: str, f: Mapping[str, str]) -> i.Event:
    """The event of one line other than the ones the loop itself handles."""
    if name == "ORDER":
        return i.Request(
            integer(f, "id"),
            integer(f, "cls"),
            integer(f, "tier", 0),
            integer(f, "account", 0),
            seconds(f, "valid-until"),
            integer(f, "quota-units", 1),
            max(1, integer(f, "entry-points", 1)),
            flag(f, "resent"),
            integer(f, "first", 0),
        )
    if name == "REPLY":
        return i.Outcome(
            integer(f, "id"),
            integer(f, "n"),
            word(f, "server"),
            status(f),
            seconds(f, "took", 0.0),
            flag(f, "settled"),
            integer(f, "seen-use", 0),
            integer(f, "true-units", 0),
            load(f),
        )
    if name == "TOTAL":
        return i.Counted(integer(f, "cname"), status(f), number(f, "sum", 0.0), seconds(f, "took", 0.0))
    if name == "FIRED":
        return i.Timer(integer(f, "tag"))
    if name == "SAMPLED":
        return i.Probed(word(f, "server"), status(f), seconds(f, "took", 0.0), load(f))
    if name == "HANGUP":
        return i.ClientGone(integer(f, "id"))
    if name == "OPENED":
        return i.Opened(integer(f, "id"), integer(f, "n"))
    raise WireError(f"unknown message {name[:40]!r}")


def known_request(request: i.Request, settings: i.Settings) -> None:
    """A class or plan that the settings don't have is an error of the sender."""
    if not 0 <= request.cls < len(settings.classes):
        raise WireError(f"expected cls below {len(settings.classes)}, got {request.cls}")
    if not 0 <= request.plan < len(settings.plans):
        raise WireError(f"expected tier below {len(settings.plans)}, got {request.plan}")


def settings(text: str) -> i.Settings:
    try:
        return parse.settings(parse.read_object(text))
    except parse.SettingsError as error:
        raise WireError(str(error)) from None


def ms(value: float) -> str:
    return format(value * MS, ".3f")


def action(limiter: int, act: i.Action) -> str:
    """The wire line of one action."""
    head = f"limiter={limiter}"
    if isinstance(act, i.Attempt):
        return f"ATTEMPT {head} id={act.id} server={act.server} cap={ms(act.limit)}"
    if isinstance(act, i.Tell):
        return f"POST {head} neighbour-id={act.to} body={peers.encode(act.uses).hex()}"
    if isinstance(act, i.Count):
        return f"ADD {head} cname={act.name} step={act.amount:g} ttl={ms(act.ttl)}"
    if isinstance(act, i.Refuse):
        return f"NOT_NOW {head} id={act.id} not-before-for={ms(act.retry_after)}"
    if isinstance(act, i.Fail):
        return f"FAIL {head} id={act.id}"
    if isinstance(act, i.SetTimer):
        return f"REMIND {head} in={ms(act.after)} tag={act.tag}"
    if isinstance(act, i.Cancel):
        return f"REVOKE {head} id={act.id} n={act.attempt}"
    if isinstance(act, i.Probe):
        return f"SOUND_OUT {head} server={act.server}"
    return f"LISTEN {head} on=1"
