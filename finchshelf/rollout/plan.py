"""A plan of a roll-out, checked: what changes, in which order of sites, and what must not grow meanwhile.

Owns the form of the file, its bounds, and how a change becomes a site's own. It must never let a plan
through that could not be carried to its end, or name a fault without its place.
"""

from __future__ import annotations

import tomllib
from collections.abc import Iterator
from copy import deepcopy
from dataclasses import dataclass, field
from functools import cached_property
from ipaddress import ip_address
from pathlib import Path
from typing import Any

import orjson

LARGEST = 1 << 20  # bytes of a plan, and of the change that it names
MOST_SITES, MOST_KINDS = 500, 64
HARMS = ("late", "vanished", "refused", "denied", "wrong", "broken")

_TEXT = {"type": "string", "minLength": 1, "maxLength": 128}
_PART = {"type": "number", "exclusiveMinimum": 0, "maximum": 0.5}
_TIME = {"type": "number", "exclusiveMinimum": 0, "maximum": 86400}
_CHANGE = {
    "type": "object",
    "minProperties": 1,
    "additionalProperties": False,
    "properties": {
        "apply": {
            "type": "object",
            "required": ["elements"],
            "additionalProperties": False,
            "properties": {"elements": {"type": "array", "items": {"type": "object"}}},
        },
        "remove": {"type": "object", "additionalProperties": {"type": "array", "items": {"type": "string"}}},
    },
}
SCHEMA: dict[str, Any] = {
    "type": "object",
    "required": ["name", "change", "kinds", "sites"],
    "additionalProperties": False,
    "properties": {
        "name": _TEXT,
        "change": {"anyOf": [_TEXT, _CHANGE]},
        "back": {"enum": ["site", "all"]},
        "watch": {
            "type": "object",
            "additionalProperties": False,
            "properties": {
                "before_s": _TIME,
                "window_s": _TIME,
                "poll_s": {"type": "number", "minimum": 0.2, "maximum": 60},
                "least": {"type": "integer", "minimum": 1, "maximum": 10_000_000},
                "least_rate": {"type": "number", "minimum": 0},
            },
        },
        "kinds": {
            "type": "array",
            "minItems": 1,
            "maxItems": MOST_KINDS,
            "items": {
                "type": "object",
                "required": ["route"],
                "additionalProperties": False,
                "properties": {
                    "route": _TEXT,
                    "once": {"type": "boolean"},
                    "aim_ms": _TIME,
                    **{harm: _PART for harm in HARMS},
                },
            },
        },
        "sites": {
            "type": "array",
            "minItems": 1,
            "maxItems": MOST_SITES,
            "items": {
                "type": "object",
                "required": ["name", "controls"],
                "additionalProperties": False,
                "properties": {
                    "name": _TEXT,
                    "wave": {"type": "integer", "minimum": 1, "maximum": MOST_SITES},
                    "controls": {"type": "array", "minItems": 1, "maxItems": 32, "items": _TEXT},
                    "least_rate": {"type": "number", "minimum": 0},
                    "inner": {"type": "integer", "minimum": 1, "maximum": 65535},
                    "set": {"type": "object", "additionalProperties": {"type": "string"}},
                },
            },
        },
    },
}
# What is tolerated where a kind does not say: a part of its requests more than would be expected.
TOLERATED = {"late": 0.02, "vanished": 0.01, "refused": 0.02, "denied": 0.01, "wrong": 0.01, "broken": 0.02}


class PlanError(Exception):
    """A plan that can't be used: one line a fault, each with file and place."""

    def __init__(self, faults: list[str]) -> None:
        super().__init__("\n".join(faults))
        self.faults = faults


@dataclass(frozen=True)
class Kind:
    """One kind of request, by its route; `once`: it must never run twice."""

    route: str
    once: bool = False
    aim_ms: float = 0.0  # 0: the route's own aim
    tolerated: dict[str, float] = field(default_factory=dict)


@dataclass(frozen=True)
class Site:
    """A system of its own, or a part of one: then several sites name the same control planes."""

    name: str
    wave: int
    controls: tuple[str, ...]
    inner: int
    words: dict[str, str]
    least_rate: float = 0.0  # 0: the plan's

    @cached_property
    def system(self) -> str:
        return ",".join(sorted(self.controls))

    def own(self, value: Any) -> Any:
        """A part of the plan as it reads at this site: `{site}` and the words of `set` in its texts."""
        if isinstance(value, str):
            for word, meaning in {"site": self.name, **self.words}.items():
                value = value.replace("{" + word + "}", meaning)
            return value
        if isinstance(value, dict):
            return {self.own(key): self.own(inner) for key, inner in value.items()}
        return [self.own(inner) for inner in value] if isinstance(value, list) else value


@dataclass(frozen=True)
class Plan:
    name: str
    change: dict[str, Any]
    back: str
    before: float
    window: float
    poll: float
    least: int
    least_rate: float
    kinds: tuple[Kind, ...]
    sites: tuple[Site, ...]
    given: dict[str, Any]  # as it is kept with the state

    @property
    def waves(self) -> list[list[Site]]:
        """Sites of one wave change together."""
        return [
            [site for site in self.sites if site.wave == number]
            for number in sorted({site.wave for site in self.sites})
        ]

    def routes(self, site: Site) -> dict[str, Kind]:
        return {site.own(kind.route): kind for kind in self.kinds}


def read_file(path: str | Path) -> Plan:
    """The plan of a TOML file; its `change` may name a JSON file beside it."""
    try:
        given = tomllib.loads(_bytes(Path(path)).decode())
    except ValueError as error:  # of TOML and of UTF-8 alike
        raise PlanError([f"{path}: file: expected TOML: {error}"]) from None
    named = given.get("change")
    if isinstance(named, str):
        beside = Path(path).parent / named
        try:
            change = orjson.loads(_bytes(beside))
        except orjson.JSONDecodeError as error:
            raise PlanError([f"{beside}: file: expected JSON: {error}"]) from None
        if isinstance(change, dict):  # an operator's file has versions; here each site's own count
            change = {key: change[key] for key in change if key not in ("setpointSeq", "priorVersion")}
        given["change"] = change
    return read(given, str(path))


def _bytes(path: Path) -> bytes:
    try:
        with path.open("rb") as file:
            raw = file.read(LARGEST + 1)
    except OSError as error:
        raise PlanError([f"{path}: file: cannot be read: {error.strerror}"]) from None
    if len(raw) > LARGEST:
        raise PlanError([f"{path}: file: expected at most {LARGEST} bytes"])
    return raw


def read(given: Any, file: str = "plan") -> Plan:
    """The plan in `given`; PlanError with every fault of it."""
    from jsonschema import Draft202012Validator  # type: ignore[import-untyped]

    found = [
        f"{file}: {_place(error)}: {error.message[:200]}"
        for error in Draft202012Validator(SCHEMA).iter_errors(given)
    ]
    if not found and isinstance(given["change"], str):
        found = [f"{file}: change: expected the change itself"]
    if not found:
        found = [f"{file}: {fault}" for fault in _rules(given)]
    if found:
        raise PlanError(found)
    watch = given.get("watch", {})
    before, window = float(watch.get("before_s", 60)), float(watch.get("window_s", 120))
    kinds = tuple(
        Kind(
            one["route"],
            one.get("once", False),
            float(one.get("aim_ms", 0)),
            {harm: float(one.get(harm, TOLERATED[harm])) for harm in HARMS},
        )
        for one in given["kinds"]
    )
    sites = tuple(
        Site(
            one["name"],
            one.get("wave", at),
            tuple(one["controls"]),
            one.get("inner", 7660),
            dict(one.get("set", {})),
            float(one.get("least_rate", 0)),
        )
        for at, one in enumerate(given["sites"], 1)
    )
    return Plan(
        given["name"],
        given["change"],
        given.get("back", "site"),
        before,
        window,
        float(watch.get("poll_s", 1)),
        int(watch.get("least", 500)),
        float(watch.get("least_rate", 0)),
        kinds,
        sites,
        deepcopy(given),
    )


def _place(error: Any) -> str:
    place = "".join(f"[{part}]" if isinstance(part, int) else f".{part}" for part in error.absolute_path)
    return place.lstrip(".") or "file"


def _rules(given: dict[str, Any]) -> Iterator[str]:
    """What a schema can't say."""
    watch = given.get("watch", {})
    for key in ("before_s", "window_s"):
        if watch.get(key, 60) < 5 * watch.get("poll_s", 1):
            yield f"watch.{key}: expected at least five times poll_s"
    seen: dict[str, int] = {}
    for at, kind in enumerate(given["kinds"]):
        if seen.setdefault(kind["route"], at) != at:
            yield f"kinds[{at}].route: kinds[{seen[kind['route']]}] has this route"
    names: dict[str, int] = {}
    waved = ["wave" in site for site in given["sites"]]
    for at, site in enumerate(given["sites"]):
        if names.setdefault(site["name"], at) != at:
            yield f"sites[{at}].name: sites[{names[site['name']]}] has this name"
        if any(waved) and not waved[at]:
            yield f"sites[{at}].wave: expected, as other sites have one"
        for number, control in enumerate(site["controls"]):
            host, _, port = control.rpartition(":")
            try:
                ip_address(host.strip("[]"))
                fit = port.isascii() and port.isdigit() and 0 < int(port) < 65536
            except ValueError:
                fit = False
            if not fit:
                yield f"sites[{at}].controls[{number}]: expected HOST:PORT, both numbers"
    systems: dict[str, int] = {}
    text = orjson.dumps(given["change"]).decode()
    for at, site in enumerate(given["sites"]):
        system = ",".join(sorted(site["controls"]))
        says = any("{" + word + "}" in text for word in ("site", *site.get("set", {})))
        if systems.setdefault(system, at) != at and not says:
            # Danger: the change of one site would be the change of all, all at once.
            yield (
                f"sites[{at}].controls: sites[{systems[system]}] is in the same system; the change must "
                "say by {site} or a word of `set` whose it is"
            )


def label(element: dict[str, Any]) -> tuple[str, str]:
    """Kind and name of an element of a configuration."""
    kind = str(element.get("elementKind", ""))
    return kind, "" if kind == "saturations" else str(element.get("header", {}).get("label", ""))


def undo(change: dict[str, Any], document: dict[str, Any]) -> dict[str, Any]:
    """The change that brings `document`'s items back after `change`: what was there, and what was not."""
    former = {label(element): element for element in document.get("elements", [])}
    touched = [label(element) for element in change.get("apply", {}).get("elements", [])]
    touched += [(kind, name) for kind, names in change.get("remove", {}).items() for name in names]
    back: dict[str, Any] = {"apply": {"elements": []}}
    for name in dict.fromkeys(touched):
        if name in former:
            back["apply"]["elements"].append(former[name])
        else:
            back.setdefault("remove", {}).setdefault(name[0], []).append(name[1])
    return back


def applied(change: dict[str, Any], document: dict[str, Any]) -> bool:
    """Does the document say all that the change says?"""
    now = {label(element): element for element in document.get("elements", [])}
    gone = ((kind, name) for kind, names in change.get("remove", {}).items() for name in names)
    put = change.get("apply", {}).get("elements", [])
    return all(now.get(label(each)) == each for each in put) and not any(each in now for each in gone)


def body(change: dict[str, Any], prior: int, version: int) -> bytes:
    """The operator's call of a step: the same bytes whoever makes it."""
    before: str | int = f"{prior:08x}" if prior else 0
    return orjson.dumps(
        {"setpointSeq": f"{version:08x}", "priorVersion": before, **change}, option=orjson.OPT_SORT_KEYS
    )
