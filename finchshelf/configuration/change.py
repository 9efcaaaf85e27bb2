"""A change that an operator sends: read within bounds, applied to the current document, and checked whole.

Owns what makes a configuration invalid and the place a fault is named by. It must never store a document,
decide which of two changes wins, or let one through that document.py could not read.
"""

from __future__ import annotations

import math
from collections.abc import Iterator
from dataclasses import dataclass
from functools import cache
from hashlib import blake2b
from itertools import chain
from typing import Any, Literal, cast

import orjson

from finchshelf.configuration.document import Configuration, bare_host, read_configuration, version_of

MOST_BYTES = 8 << 20
MOST_DEPTH = 12
MOST_ELEMENTS = 20_000
MOST_COMMAS = 400_000  # one comma a value: 8 MiB of empty lists would take twenty times that once read
HEX_DIGITS = frozenset("0123456789abcdefABCDEF")
KINDS = ("trajectories", "subsystems", "loads", "saturations")

_TEXT = {"type": "string", "minLength": 1}
_RANK = {"type": "integer", "minimum": 0}
_ABOVE = {"type": "number", "exclusiveMinimum": 0}
_AMOUNT = {"type": "number", "minimum": 0}
_COUNT = {"type": "integer", "minimum": 1}
_SHARE = {
    "type": "object",
    "required": ["subsystem", "gain"],
    "properties": {"subsystem": _TEXT, "gain": _AMOUNT},
}

# The shape of `reference`, one flat schema a kind: one schema for all would try each kind on each element.
# Fields that are not named are allowed and skipped.
REFERENCES: dict[str, dict[str, Any]] = {
    "trajectories": {
        "type": "object",
        "required": ["plant", "pathPrefix", "variant", "cutoffMs"],
        "properties": {
            "plant": _TEXT,
            "pathPrefix": _TEXT,
            "variant": {"enum": ["nullipotent", "mutating"]},
            "cutoffMs": _ABOVE,
            "targetMs": _ABOVE,
            "precedence": _RANK,
            "subsystem": _TEXT,
            "distribution": {"type": "array", "minItems": 1, "items": _SHARE},
            "trials": _COUNT,
            "unguarded": {"type": "boolean"},
        },
    },
    "subsystems": {
        "type": "object",
        "properties": {"probe": {"type": "string", "pattern": "^/"}, "connectionCeiling": _COUNT},
    },
    "loads": {
        "type": "object",
        "required": ["credentials"],
        "properties": {
            "credentials": {"type": "array", "items": _TEXT},
            "precedence": _RANK,
            "rateS": _AMOUNT,
            "surge": _AMOUNT,
        },
    },
    "saturations": {
        "type": "object",
        "properties": {"headBytes": _COUNT, "payloadBytes": _COUNT, "headMs": _ABOVE, "quiescentMs": _ABOVE},
    },
}

RULES = {
    "type": "the type",
    "enum": "one of",
    "exclusiveMinimum": "more than",
    "minimum": "at least",
    "minLength": "a length of at least",
    "minItems": "a length of at least",
    "pattern": "the pattern",
}

Kind = Literal["replace", "adjust"]


class Invalid(ValueError):
    """A configuration that is refused; `place` is a path such as `elements[3].reference.cutoffMs`."""

    def __init__(self, step: str, place: str, why: str) -> None:
        super().__init__(f"{step}: {place}: {why}" if place else f"{step}: {why}")
        self.step = step
        self.place = place
        self.why = why


@dataclass(frozen=True, slots=True)
class Change:
    """One call of an operator; the same body sent again has the same digest."""

    version: int
    prior: int
    digest: bytes
    kind: Kind
    document: dict[str, Any]


def _version(step: str, place: str, value: Any) -> int:
    # int() alone would take '+0000007', '0x000007' and digits of other scripts for versions.
    if not isinstance(value, str) or len(value) != 8 or not HEX_DIGITS.issuperset(value):
        raise Invalid(step, place, "expected eight hexadecimal digits")
    return version_of(value)


def _depth_kept(value: Any) -> bool:
    """Whether no list or object lies deeper than allowed; level by level, so it cannot overflow the stack."""
    level = [value]
    for _ in range(MOST_DEPTH):
        inner = chain.from_iterable(v.values() if type(v) is dict else v for v in level)
        level = [v for v in inner if type(v) is dict or type(v) is list]
        if not level:
            return True
    return False


def _elements(step: str, place: str, value: Any) -> list[Any]:
    if not isinstance(value, list):
        raise Invalid(step, place, "expected a list")
    if len(value) > MOST_ELEMENTS:
        raise Invalid(step, place, f"expected at most {MOST_ELEMENTS} elements")
    return value


def read_change(kind: Kind, body: bytes) -> Change:
    """The change in the body of a call, within bounds; what it holds is not checked yet."""
    if len(body) > MOST_BYTES:
        raise Invalid("read", "", f"expected at most {MOST_BYTES} bytes")
    if body.count(b",") > MOST_COMMAS:
        raise Invalid("read", "", f"expected at most {MOST_COMMAS} values")
    try:
        document = orjson.loads(body)
    except orjson.JSONDecodeError as error:
        raise Invalid("read", "", f"expected JSON: {error}") from None
    if not isinstance(document, dict):
        raise Invalid("read", "", "expected an object")
    if not _depth_kept(document):
        raise Invalid("read", "", f"expected at most {MOST_DEPTH} levels")
    if kind == "replace":
        _elements("read", "elements", document.get("elements"))
    else:
        applied = document.get("apply", {})
        if not isinstance(applied, dict):
            raise Invalid("read", "apply", "expected an object")
        _elements("read", "apply.elements", applied.get("elements", []))
    version = _version("read", "setpointSeq", document.get("setpointSeq"))
    # The first configuration builds on nothing: 0, written as a number or left out, says the same.
    given = document.get("priorVersion", 0)
    nothing = given == "0" or (type(given) is int and given == 0)
    prior = 0 if nothing else _version("read", "priorVersion", given)
    # The kind is part of it, so that one body sent to both calls is never taken for the same change.
    canonical = orjson.dumps(document, option=orjson.OPT_SORT_KEYS)
    digest = blake2b(kind.encode() + b"\n" + canonical, digest_size=16).digest()
    return Change(version, prior, digest, kind, document)


def _name(step: str, place: str, element: Any) -> tuple[str, str]:
    """The kind and label of an element; there is one `saturations`, and it has no label."""
    if not isinstance(element, dict):
        raise Invalid(step, place, "expected an object")
    kind, header = element.get("elementKind"), element.get("header")
    if not isinstance(kind, str) or kind not in KINDS:
        raise Invalid(step, f"{place}.elementKind", f"expected one of {', '.join(KINDS)}")
    if not isinstance(header, dict):
        raise Invalid(step, f"{place}.header", "expected an object")
    if kind == "saturations":
        return kind, ""
    label = header.get("label")
    if not isinstance(label, str) or not label:
        raise Invalid(step, f"{place}.header.label", "expected a name")
    return kind, label


def _twice(step: str, place: str, name: tuple[str, str]) -> Invalid:
    return Invalid(step, f"{place}.header.label", f"{name[0]} {name[1]!r:.80} is given twice")


def _named(step: str, place: str, elements: list[Any]) -> dict[tuple[str, str], Any]:
    named: dict[tuple[str, str], Any] = {}
    for at, element in enumerate(elements):
        name = _name(step, f"{place}[{at}]", element)
        if name in named:
            raise _twice(step, f"{place}[{at}]", name)
        named[name] = element
    return named


def _removed(remove: Any) -> Iterator[tuple[str, str]]:
    if not isinstance(remove, dict):
        raise Invalid("apply", "remove", "expected an object")
    for kind, labels in remove.items():
        place = f"remove.{kind:.80}"
        if kind not in KINDS:
            raise Invalid("apply", place, f"expected one of {', '.join(KINDS)}")
        if not isinstance(labels, list):
            raise Invalid("apply", place, "expected a list")
        for at, label in enumerate(labels):
            if not isinstance(label, str):
                raise Invalid("apply", f"{place}[{at}]", "expected a name")
            yield kind, label


def apply(current: dict[str, Any] | None, change: Change) -> dict[str, Any]:
    """The whole document after the change; the current one is left as it is."""
    if change.kind == "replace":
        return change.document
    given = change.document
    base = current or {"elements": []}
    elements = _named("apply", "elements", base["elements"])
    elements.update(_named("apply", "apply.elements", given.get("apply", {}).get("elements", [])))
    for name in _removed(given.get("remove", {})):
        elements.pop(name, None)
    whole = {**base, "setpointSeq": given["setpointSeq"], "elements": list(elements.values())}
    whole["priorVersion"] = given.get("priorVersion", 0)
    return whole


@cache
def _validators() -> dict[str, Any]:
    # Loaded at the first change only: limiters that just read a configuration never pay for it.
    from jsonschema import Draft202012Validator  # type: ignore[import-untyped]

    return {kind: Draft202012Validator(schema) for kind, schema in REFERENCES.items()}


def _shapes(place: str, validator: Any, reference: Any) -> Iterator[Invalid]:
    for error in validator.iter_errors(reference):
        where = place
        for part in error.absolute_path:
            where += f"[{part}]" if isinstance(part, int) else f".{part}"
        if error.validator == "required":
            for name in error.validator_value:
                if name not in error.instance and f"'{name}'" in error.message:
                    yield Invalid("check", f"{where}.{name}", "this field is missing")
            continue
        # The text of the library quotes the whole value, which may be megabytes.
        words = RULES.get(error.validator, error.validator)
        yield Invalid("check", where, f"expected {words} {error.validator_value!r:.80}")


def _route(place: str, given: dict[str, Any], services: set[str]) -> None:
    prefix = given["pathPrefix"]
    if prefix[0] != "/" or prefix[-1] != "/":
        raise Invalid("check", f"{place}.pathPrefix", "expected a slash at both ends")
    if "subsystem" in given:
        if "distribution" in given:
            raise Invalid("check", f"{place}.distribution", "expected this or a subsystem, not both")
        if given["subsystem"] not in services:
            raise Invalid("check", f"{place}.subsystem", f"no service {given['subsystem']!r:.80}")
        return
    if "distribution" not in given:
        raise Invalid("check", f"{place}.subsystem", "expected a subsystem or a distribution")
    total = 0.0
    for at, part in enumerate(given["distribution"]):
        name = part["subsystem"]
        if name not in services:
            raise Invalid("check", f"{place}.distribution[{at}].subsystem", f"no service {name!r:.80}")
        total += part["gain"]
    # Gains are picked from by their sum: none at all, or one past the largest number, would pick nothing.
    if not 0 < total < math.inf:
        raise Invalid("check", f"{place}.distribution", "expected a sum of gains over 0 and finite")


def _references(document: dict[str, Any] | None) -> dict[tuple[str, str], Any]:
    """By kind and label, of a document that was checked before."""
    elements = document["elements"] if document is not None else ()
    return {_name("check", "", one): one["reference"] for one in elements}


def _same(given: Any, before: Any) -> bool:
    """Danger: True is 1 to Python, and 1.0 too; as JSON they are three."""
    return bool(given == before) and orjson.dumps(given) == orjson.dumps(before)


def faults(
    document: dict[str, Any], current_version: int, base: dict[str, Any] | None = None
) -> Iterator[Invalid]:
    """Each fault of the whole document with its place, as far as those before it leave it readable. `base`:
    the document in force; the shape of what it holds too was checked when it was stored."""
    try:
        if _version("check", "setpointSeq", document.get("setpointSeq")) <= current_version:
            yield Invalid("check", "setpointSeq", f"expected more than {current_version:08x}")
    except Invalid as error:
        yield error
    try:
        elements = _elements("check", "elements", document.get("elements"))
    except Invalid as error:
        yield error
        return
    named: dict[tuple[str, str], tuple[int, Any]] = {}
    for at, element in enumerate(elements):
        try:
            name = _name("check", f"elements[{at}]", element)
        except Invalid as error:
            yield error
            continue
        if name in named:
            yield _twice("check", f"elements[{at}]", name)
        named.setdefault(name, (at, element))
    services = {label for kind, label in named if kind == "subsystems"}
    validators, known = _validators(), _references(base)
    prefixes: dict[tuple[str, str], str] = {}
    keys: dict[str, str] = {}
    for (kind, label), (at, element) in named.items():
        place = f"elements[{at}].reference"
        if "reference" not in element:
            yield Invalid("check", place, "this field is missing")
            continue
        given, sound = cast(dict[str, Any], element["reference"]), True
        # Danger: a schema's look at each of 20,000 elements takes longer than an operator waits.
        unchanged = (kind, label) in known and _same(given, known[kind, label])
        for fault in () if unchanged else _shapes(place, validators[kind], given):
            sound = False
            yield fault
        if not sound:
            continue  # what has another shape can't be read any further
        if kind == "trajectories":
            try:
                _route(place, given, services)
            except Invalid as error:
                yield error
            first = prefixes.setdefault((bare_host(given["plant"]), given["pathPrefix"]), label)
            if first != label:
                yield Invalid("check", f"{place}.pathPrefix", f"route {first!r:.80} has this host and prefix")
        elif kind == "loads":
            for number, key in enumerate(given["credentials"]):
                if keys.setdefault(key, label) != label:
                    # Its owner is named, never the key: what is told here ends up in logs.
                    why = f"tenant {keys[key]!r:.80} has this key"
                    yield Invalid("check", f"{place}.credentials[{number}]", why)


def check(
    document: dict[str, Any], current_version: int, base: dict[str, Any] | None = None
) -> Configuration:
    """The configuration of the whole document, or Invalid with the place of its first fault; `base` as in
    `faults`."""
    for fault in faults(document, current_version, base):
        raise fault
    return read_configuration(document)
