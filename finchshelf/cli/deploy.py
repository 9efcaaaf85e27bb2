"""The deploy file of the system, checked before a deployment meets it.

Owns the shape of the file and the rules that a schema can't say. It must never run what the file names.
"""

from __future__ import annotations

import tomllib
from typing import Any

LARGEST = 1 << 20  # bytes of the file
CLASSES = ("edge",)
SERVES = ("edge", "supervisor")
HELPERS = ("env", "npx", "sh", "bash", "exec")
MOST_ROLES = 2  # on one machine

TEXT = {"type": "string", "minLength": 1}
PACKAGE = {"type": "string", "pattern": "^[a-z0-9][a-z0-9.+-]+$"}  # a Debian package's name
ROLE = {
    "type": "object",
    "required": ["run", "on", "serves"],
    "properties": {
        "run": TEXT,
        "on": {"enum": list(CLASSES)},
        "share": {"type": "number", "exclusiveMinimum": 0, "maximum": 1},
        "count": {"type": "integer", "minimum": 1},
        "apart": {"type": "boolean"},
        "metrics": {"type": "string", "pattern": "^[1-9][0-9]{0,4}/[!-~]+$"},
        "serves": {"type": "array", "items": {"enum": list(SERVES)}, "uniqueItems": True},
    },
    "additionalProperties": False,
}
SCHEMA = {
    "type": "object",
    "required": ["build", "roles"],
    "properties": {
        "build": TEXT,
        "packages": {"type": "array", "items": PACKAGE, "uniqueItems": True},
        "roles": {"type": "object", "minProperties": 1, "additionalProperties": ROLE},
    },
    "additionalProperties": False,
}


def check(path: str) -> list[str]:
    """All faults of the file, one line each: the place and what is allowed there."""
    from jsonschema import Draft202012Validator  # type: ignore[import-untyped]

    try:
        with open(path, "rb") as file:
            raw = file.read(LARGEST + 1)
        if len(raw) > LARGEST:
            return [f"deploy: {path}: expected at most {LARGEST} bytes"]
        document = tomllib.loads(raw.decode())
    except OSError as error:
        return [f"deploy: {path}: cannot be read: {error.strerror}"]
    except ValueError as error:  # of TOML and of UTF-8 alike
        return [f"deploy: {path}: expected TOML: {error}"]
    errors = list(Draft202012Validator(SCHEMA).iter_errors(document))
    if errors:
        return [
            f"deploy: {path}: {'.'.join(map(str, one.absolute_path)) or 'file'}: {one.message[:300]}"
            for one in errors
        ]
    return [f"deploy: {path}: {fault}" for fault in _rules(document["roles"])]


def _rules(roles: dict[str, dict[str, Any]]) -> list[str]:
    found: list[str] = []
    served: dict[tuple[str, str], str] = {}
    for name, role in roles.items():
        place = f"roles.{name}"
        if ("share" in role) == ("count" in role):
            found.append(f"{place}: expected either share (over 0, up to 1) or count (1 or more)")
        helper = role["run"].split()[0].rpartition("/")[2]
        if helper in HELPERS:
            found.append(f"{place}.run: expected a program, found {helper!r}: no shell starts it")
        for what in role["serves"]:
            other = served.setdefault((role["on"], what), name)
            if other != name:
                found.append(f"{place}.serves: role {other!r} on the same class serves {what!r} already")
    for what in SERVES:
        if not any(key[1] == what for key in served):
            found.append(f"roles: no role serves {what!r}")
    for place in CLASSES:
        # From the start of the fixed order, or from its end: roles of one side meet on its first machine.
        for side in (False, True):
            there = [
                name
                for name, role in roles.items()
                if role["on"] == place
                and (role.get("apart", False) is side or role.get("share") == 1.0 or "edge" in role["serves"])
            ]
            if len(there) > MOST_ROLES:
                found.append(f"roles: {', '.join(there)} share a machine; expected at most {MOST_ROLES}")
    return found
