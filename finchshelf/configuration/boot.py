"""The settings file of one process, read into a frozen form with times in seconds.

Owns the names, units and limits of the file's fields. It must never look at anything but that one file, guess
a value it needs, or load the schema library on the ordinary path: that costs a tenth of a second of start.
"""

from __future__ import annotations

import math
from dataclasses import dataclass
from typing import Any, NamedTuple

MS = 1000.0
LARGEST_FILE = 1 << 20  # a path set to the wrong file must not fill the memory of the machine

# Every field this program knows, with its kind; `zones.NAME` fields are texts too. All others are skipped.
KINDS = {
    "node": "text",
    "function": "text",
    "machineClass": "text",
    "serves": "texts",
    "ip": "text",
    "zone": "text",
    "region": "text",
    "inlets.front": "address",
    "inlets.readiness": "address",
    "inlets.control": "address",
    "portRange": "ports",
    "initialPeers": "addresses",
    "initialCondition": "flag",
    "lossCounted": "flag",
    "saturations.cpuFraction": "number",
    "saturations.cores": "number",
    "saturations.memoryMb": "number",
    "saturations.descriptors": "count",
    "saturations.bandwidthMbps": "number",
    "saturations.storageMb": "number",
    "pulseMs": "number",
    "disturbances.machines": "count",
    "disturbances.zones": "count",
    "disturbances.regions": "count",
    "metrics": "place",
}
# What a field that is missing counts as, by kind; 0 for numbers.
EMPTY: dict[str, Any] = {
    "text": "",
    "texts": (),
    "addresses": (),
    "flag": False,
    "address": None,
    "place": None,
}
REQUIRED = (
    *("node", "function", "machineClass", "serves", "ip", "zone", "region", "portRange", "pulseMs"),
    *("saturations.cpuFraction", "saturations.cores", "saturations.memoryMb"),
    *("saturations.descriptors", "saturations.bandwidthMbps"),
)
INLETS = {"edge": ("inlets.front", "inlets.readiness"), "supervisor": ("inlets.control",)}


class SettingsError(ValueError):
    """A settings file that is not as it should be, told in one plain line."""

    def __init__(self, step: str, place: str, why: str) -> None:
        super().__init__(f"{step}: {place}: {why}")
        self.step = step
        self.place = place
        self.why = why


class Address(NamedTuple):
    """An address of IPv4 and a port."""

    host: str
    port: int

    def __str__(self) -> str:
        return f"{self.host}:{self.port}"


class MetricsPlace(NamedTuple):
    """Where a program tells its figures: a port of its own machine and a path that begins with a slash."""

    port: int
    path: str


@dataclass(frozen=True, slots=True)
class Boot:
    """What this process is told about itself; `state_dir` is empty on a machine without a disk."""

    node: str
    function: str
    machine_class: str
    serves: tuple[str, ...]
    ip: str
    zone: str
    region: str
    zones: dict[str, str]
    front: Address | None
    readiness: Address | None
    control: Address | None
    port_range: tuple[int, int]
    initial_peers: tuple[Address, ...]
    initial_condition: bool
    loss_counted: bool
    memory_mb: float
    descriptors: int
    bandwidth_mbps: float
    storage_mb: float
    state_dir: str
    pulse: float
    margins: dict[str, float | bool]
    lost_machines: int
    lost_zones: int
    lost_regions: int
    cores: float
    cpu_fraction: float
    metrics: MetricsPlace | None = None

    def seconds(self, name: str, default: float) -> float:
        """A margin of time in seconds, by its name without the unit: `settling`, `peerDelay`."""
        if f"{name}S" in self.margins:
            return float(self.margins[f"{name}S"])
        return float(self.margins.get(f"{name}Ms", default * MS)) / MS


class _Lines:
    """The fields of one file with the lines they stand on."""

    def __init__(self, path: str) -> None:
        self.path = path
        self.fields: dict[str, tuple[int, str]] = {}
        self.faults: list[SettingsError] = []
        try:
            with open(path, "rb") as file:
                text = file.read(LARGEST_FILE + 1).decode()
        except OSError as error:
            raise SettingsError("settings", path, f"cannot be read: {error.strerror}") from None
        except UnicodeDecodeError:
            raise SettingsError("settings", path, "expected text in UTF-8") from None
        if len(text) > LARGEST_FILE:
            raise SettingsError("settings", path, f"expected at most {LARGEST_FILE} bytes")
        for number, line in enumerate(text.splitlines(), 1):
            field, equals, value = line.strip().partition("=")
            if equals and field:
                self.fields[field.strip()] = (number, value.strip())
            elif field and not field.startswith("#"):
                # The file may be read while it is being written: half a line is told, never guessed at.
                self.faults.append(SettingsError("settings", f"{path} line {number}", "expected field=value"))

    def fault(self, field: str, why: str) -> SettingsError:
        line = f" line {self.fields[field][0]}," if field in self.fields else ""
        return SettingsError("settings", f"{self.path}{line} {field}", why)

    def value(self, field: str) -> Any:
        """The field in its kind, or the kind's empty value if it is missing."""
        kind = KINDS.get(field, "text")
        if field not in self.fields:
            if field in REQUIRED:
                raise self.fault(field, "this field is missing")
            return EMPTY.get(kind, 0)
        text = self.fields[field][1]
        value = _parse(kind, text)
        if value is None or (kind == "text" and not value):
            raise self.fault(field, f"expected {WANTED[kind]}, found {text!r:.80}")
        return value


WANTED = {
    "text": "a name",
    "texts": "names joined by commas",
    "address": "host:port",
    "addresses": "host:port texts joined by commas",
    "ports": "two ports, the lower one first",
    "flag": "true or false",
    "number": "a number, 0 or more",
    "count": "a whole number, 0 or more",
    "place": "PORT/PATH",
}


def _number(text: str) -> float | None:
    try:
        value = float(text)
    except ValueError:
        return None
    return value if math.isfinite(value) else None


def _port(text: str) -> int | None:
    digits = text.isascii() and text.isdigit() and len(text) <= 5
    return int(text) if digits and 0 < int(text) < 65536 else None


def _metrics_place(text: str) -> MetricsPlace | None:
    digits, slash, path = text.strip('"').partition("/")
    port = _port(digits)
    fine = slash and path and path.isascii() and path.isprintable() and not set(path) & set(" ?#")
    return MetricsPlace(port, f"/{path}") if port is not None and fine else None


def _parse(kind: str, text: str) -> Any:
    """The text in its kind, or None if it is not of that kind."""
    if kind == "texts":
        return tuple(part.strip() for part in text.split(",") if part.strip())
    if kind == "address":
        host, _, digits = text.rpartition(":")
        port = _port(digits)
        return Address(host, port) if host and ":" not in host and port is not None else None
    if kind == "place":
        return _metrics_place(text)
    if kind == "addresses":
        peers = tuple(_parse("address", part) for part in _parse("texts", text))
        return None if None in peers else peers
    if kind == "ports":
        ends = tuple(_port(part.strip()) for part in text.split(","))
        if len(ends) != 2 or ends[0] is None or ends[1] is None or ends[0] > ends[1]:
            return None
        return ends
    if kind == "flag":
        return {"true": True, "false": False}.get(text)
    if kind in ("number", "count"):
        value = _number(text)
        if value is None or value < 0 or (kind == "count" and value != int(value)):
            return None
        return int(value) if kind == "count" else value
    return text


def _margins(text: str) -> dict[str, float | bool]:
    """The margins by their own names and in their own units; one of an unknown shape is skipped."""
    margins: dict[str, float | bool] = {}
    for part in text.split(","):
        name, _, value = part.strip().partition("=")
        known = _parse("flag", value)
        if known is None:
            known = _number(value)
        if known is not None:
            margins[name] = known
    return margins


def _boot(lines: _Lines) -> Boot:
    value = lines.value
    zones = {field[6:]: value(field) for field in lines.fields if field.startswith("zones.")}
    zones.setdefault(value("zone"), value("region"))
    for role in value("serves"):
        for inlet in INLETS.get(role, ()):
            if inlet not in lines.fields:
                raise lines.fault(inlet, f"this field is missing, but the role serves {role}")
    if not value("pulseMs"):
        # A period of nothing would call every server dead at once.
        raise lines.fault("pulseMs", "expected more than 0")
    return Boot(
        node=value("node"),
        function=value("function"),
        machine_class=value("machineClass"),
        serves=value("serves"),
        ip=value("ip"),
        zone=value("zone"),
        region=value("region"),
        zones=zones,
        front=value("inlets.front"),
        readiness=value("inlets.readiness"),
        control=value("inlets.control"),
        port_range=value("portRange"),
        initial_peers=value("initialPeers"),
        # Left out it is false: a machine that wrongly takes itself for the first would found a second system.
        initial_condition=value("initialCondition"),
        loss_counted=value("lossCounted"),
        memory_mb=value("saturations.memoryMb"),
        descriptors=value("saturations.descriptors"),
        bandwidth_mbps=value("saturations.bandwidthMbps"),
        storage_mb=float(value("saturations.storageMb")),
        state_dir=lines.fields.get("stateDir", (0, ""))[1],
        pulse=value("pulseMs") / MS,
        margins=_margins(lines.fields.get("margins", (0, ""))[1]),
        lost_machines=value("disturbances.machines"),
        lost_zones=value("disturbances.zones"),
        lost_regions=value("disturbances.regions"),
        cores=value("saturations.cores"),
        cpu_fraction=value("saturations.cpuFraction"),
        metrics=value("metrics"),
    )


def read_boot(path: str) -> Boot:
    """The settings in that file; raises SettingsError at the first fault."""
    lines = _Lines(path)
    if lines.faults:
        raise lines.faults[0]
    return _boot(lines)


def check_boot(path: str) -> list[str]:
    """All faults of the file, one line each; for a command line, as it loads the schema library."""
    from jsonschema import Draft202012Validator  # type: ignore[import-untyped]

    try:
        lines = _Lines(path)
    except SettingsError as error:
        return [str(error)]
    found = list(map(str, lines.faults))
    # A field that does not parse stands in the document as null, so the schema finds it by its type.
    types = {"text": "string", "flag": "boolean", "number": "number", "count": "integer"}
    schema = {
        "required": list(REQUIRED),
        "properties": {
            **{field: {"type": types.get(kind, "array")} for field, kind in KINDS.items()},
            **{field: {"type": "string", "minLength": 1} for field, kind in KINDS.items() if kind == "text"},
            "pulseMs": {"type": "number", "exclusiveMinimum": 0},
        },
        "patternProperties": {"^zones\\.": {"type": "string", "minLength": 1}},
        "allOf": [
            {
                "if": {"properties": {"serves": {"contains": {"const": role}}}, "required": ["serves"]},
                "then": {"required": list(inlets)},
            }
            for role, inlets in INLETS.items()
        ],
    }
    document: dict[str, Any] = {}
    for field, (_, text) in lines.fields.items():
        value = _parse(KINDS.get(field, "text"), text)
        document[field] = list(value) if isinstance(value, tuple) else value
    for fault in Draft202012Validator(schema).iter_errors(document):
        if fault.path:
            field = str(fault.path[0])
            found.append(str(lines.fault(field, f"expected {WANTED[KINDS.get(field, 'text')]}")))
        else:
            found.append(str(SettingsError("settings", path, fault.message)))
    if not found:
        try:
            _boot(lines)
        except SettingsError as error:
            found.append(str(error))
    return found
