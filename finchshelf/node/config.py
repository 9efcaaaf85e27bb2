"""The configuration of one node: what `BALANCER_CONFIG` holds, checked once at start.

Owns the form of that file. It must never decide anything, open a socket, or let a
value through that it has not checked: the rest of the node trusts what stands here.
"""

from __future__ import annotations

import hashlib
import ipaddress
import os
from collections.abc import Mapping
from dataclasses import dataclass, field, replace
from typing import Any

from finchshelf import settings as parse
from finchshelf.admission import interface as i
from finchshelf.transport.address import Address

DEFAULT_DESCRIPTORS = 1024
DEFAULT_MEMORY = 192  # MB


class ConfigError(ValueError):
    """A configuration that can't be used; the text is one plain line."""


def address(text: object, what: str = "address") -> Address:
    """HOST:PORT with a numeric host."""
    if isinstance(text, str):
        host, _, port = text.rpartition(":")
        try:
            plain = str(ipaddress.ip_address(host.strip("[]")))
            if port.isascii() and port.isdigit() and 0 <= int(port) < 65536:
                return Address(plain, int(port))
        except ValueError:
            pass
    raise ConfigError(f"expected a numeric HOST:PORT for {what}, got {str(text)[:60]!r}")


@dataclass(frozen=True, slots=True)
class Config:
    name: str
    listen: Address
    discovery: Address
    counter: Address | None
    seed: int
    settings: i.Settings
    around: parse.Surroundings
    known: dict[str, Any]
    descriptors: int
    messages: bool
    """The settings allow messages between limiters, for which these sockets have no protocol."""
    operator: Address | None = None
    """The second address, for operators alone."""
    state: str = ""
    """Where what operators said is kept for a process that follows this one: a file in `$TMPDIR`."""
    form: dict[str, Any] = field(default_factory=dict, compare=False)
    """The settings' object as the file has it, to check a new file against."""
    memory: int = DEFAULT_MEMORY << 20
    """The limit on this process's memory, in bytes."""


def read(raw: dict[str, Any], environ: Mapping[str, str]) -> Config:
    """The configuration file's object; the environment's word holds where the file is silent."""

    def text(key: str) -> str:
        value = raw.get(key, environ.get(f"BALANCER_{key.upper()}"))
        if not isinstance(value, str) or not value:
            raise ConfigError(f"expected a text for {key}")
        return value

    try:
        seed = int(text("seed"), 16) if "seed" in raw else 0
    except ValueError:
        raise ConfigError("expected hex digits for seed") from None
    limits, known = raw.get("limits", {}), raw.get("known", {})
    if not all(isinstance(part, dict) for part in (limits, known, raw.get("settings"))):
        raise ConfigError("expected objects for limits, known and settings")
    descriptors = limits.get("sockets", DEFAULT_DESCRIPTORS)
    if not isinstance(descriptors, int) or isinstance(descriptors, bool) or descriptors < 32:
        raise ConfigError("expected a whole number of 32 or more for limits.sockets")
    memory = limits.get("memory_mb", DEFAULT_MEMORY)
    if not isinstance(memory, int | float) or isinstance(memory, bool) or not 1 <= memory < 1e9:
        raise ConfigError("expected a number of 1 or more for limits.memory_mb")
    try:
        settings, around = parse.settings(raw["settings"]), parse.surroundings(raw["settings"])
    except parse.SettingsError as error:
        raise ConfigError(str(error)) from None
    if settings.counter and raw.get("counter") is None:
        raise ConfigError("expected an address for counter, as the settings allow calls to it")
    messages = settings.peers
    # Danger: the module would wait for what it is never told, and let in what it may not.
    settings = replace(settings, peers=False)
    operator = raw.get("operator", environ.get("BALANCER_OPERATOR"))
    name = text("name")
    # A name may hold whatever; the file's name holds a digest of it.
    state = os.path.join(
        environ.get("TMPDIR") or "/tmp",
        f"finchshelf-{hashlib.sha256(name.encode()).hexdigest()[:16]}.offline",
    )
    return Config(
        name,
        address(text("listen"), "listen"),
        address(text("discovery"), "discovery"),
        address(raw["counter"], "counter") if raw.get("counter") is not None else None,
        seed,
        settings,
        around,
        known,
        descriptors,
        messages,
        address(operator, "operator") if operator else None,
        state,
        raw["settings"],
        int(memory * (1 << 20)),
    )


def load(environ: Mapping[str, str] | None = None, former: Config | None = None) -> Config:
    """The configuration as the file has it now; beside `former`, the one in use, it is checked further."""
    environ = os.environ if environ is None else environ
    path = environ.get("BALANCER_CONFIG")
    if not path:
        raise ConfigError("expected the path of a configuration file in BALANCER_CONFIG")
    try:
        with open(path, "rb") as source:
            content = source.read()
    except OSError as error:
        raise ConfigError(f"cannot read {path}: {error.strerror}") from None
    try:
        raw = parse.read_object(content)
    except parse.SettingsError:
        raise ConfigError(f"expected a JSON object in {path}") from None
    config = read(raw, environ)
    if former is not None:
        try:
            parse.same_form(former.form, config.form)
            parse.usable(config.settings)
        except parse.SettingsError as error:
            raise ConfigError(str(error)) from None
    return config
