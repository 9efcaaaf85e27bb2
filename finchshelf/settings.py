"""The settings of a deployment: the JSON object that the simulator and a real limiter both get at start.

Owns the names and units of that object; everything else sees `Settings` and `Surroundings`. It must never
decide anything, hold a tuned value, or read a file by itself.
"""

from __future__ import annotations

import json
import math
from collections.abc import Mapping
from dataclasses import dataclass
from typing import Any

from finchshelf.admission import interface as i

MS = 1000.0

EFFECT = {"retryable": i.Effect.SAFE, "dedup": i.Effect.KEYED, "fragile": i.Effect.UNSAFE}
SCOPE = {"all": i.Scope.ALL, "zone": i.Scope.ZONE, "cell": i.Scope.CELL}


class SettingsError(ValueError):
    """Settings that are not as they should be; the text says what was expected."""


class Section:
    """One object of the settings; reads with a type check, skips what it is not asked for."""

    def __init__(self, raw: Any, where: str) -> None:
        if not isinstance(raw, dict):
            raise SettingsError(f"expected an object for {where} in setup")
        self.raw: dict[str, Any] = raw
        self.where = where

    def number(self, key: str) -> float:
        value = self.raw.get(key, 0)
        if isinstance(value, bool) or not isinstance(value, int | float) or not math.isfinite(value):
            raise SettingsError(f"expected a number for {self.where}.{key} in setup")
        return float(value)

    def amount(self, key: str) -> float:
        value = self.number(key)
        if value < 0:
            raise SettingsError(f"expected 0 or more for {self.where}.{key} in setup")
        return value

    def seconds(self, key: str) -> float:
        return self.number(key) / MS

    def flag(self, key: str) -> bool:
        value = self.raw.get(key, False)
        if not isinstance(value, bool):
            raise SettingsError(f"expected true or false for {self.where}.{key} in setup")
        return value

    def word(self, key: str, known: Mapping[str, Any], default: str) -> Any:
        value = self.raw.get(key, default)
        if value not in known:
            raise SettingsError(f"expected one of {', '.join(known)} for {self.where}.{key} in setup")
        return known[value]

    def text(self, key: str) -> str:
        value = self.raw.get(key)
        if not isinstance(value, str) or not value:
            raise SettingsError(f"expected a name for {self.where}.{key} in setup")
        return value

    def texts(self, key: str) -> tuple[str, ...]:
        value = self.raw.get(key, [])
        if not isinstance(value, list) or not all(isinstance(item, str) for item in value):
            raise SettingsError(f"expected a list of names for {key} in setup")
        return tuple(value)

    def part(self, key: str) -> Section:
        return Section(self.raw.get(key, {}), key)

    def parts(self, key: str) -> list[Section]:
        value = self.raw.get(key, [])
        if not isinstance(value, list):
            raise SettingsError(f"expected a list for {key} in setup")
        return [Section(item, f"{key}[{n}]") for n, item in enumerate(value)]


def same_form(former: dict[str, Any], new: dict[str, Any], where: str = "setup") -> None:
    """A new object has every key that the one in use has; of a list of objects, every key that all entries
    in use have is in each new one. Danger: a key left out is read as 0, and a deadline of 0 refuses all."""
    for key, was in former.items():
        if key not in new:
            raise SettingsError(f"expected {where}.{key}, as the settings in use have it")
        now = new[key]
        if isinstance(was, dict) and isinstance(now, dict):
            same_form(was, now, f"{where}.{key}")
        elif isinstance(was, list) and was and all(isinstance(one, dict) for one in was):
            common = set.intersection(*(set(one) for one in was))
            if not isinstance(now, list) or not all(isinstance(one, dict) for one in now):
                raise SettingsError(f"expected a list of objects for {where}.{key}")
            for n, one in enumerate(now):
                if common - set(one):
                    raise SettingsError(f"expected {where}.{key}[{n}].{min(common - set(one))}")


def usable(settings: i.Settings) -> None:
    """What a new file must hold beyond its form: a deadline and attempts that are positive numbers."""
    if settings.max_attempts < 1:
        raise SettingsError("expected a positive number for ceilings.try-limit in setup")
    for n, cls in enumerate(settings.classes):
        if not (cls.deadline > 0 and cls.aim > 0):
            raise SettingsError(f"expected positive numbers for lanes[{n}].deadline and aim in setup")
    if not settings.classes or not settings.plans:
        raise SettingsError("expected lanes and contracts in setup")


def read_object(text: str | bytes) -> dict[str, Any]:
    try:
        raw = json.loads(text)
    except ValueError:
        raise SettingsError("expected a JSON object for setup") from None
    if not isinstance(raw, dict):
        raise SettingsError("expected a JSON object for setup")
    return raw


@dataclass(frozen=True, slots=True)
class Surroundings:
    """What only a carrier on sockets needs of the settings: names by their index, limits of connections."""

    classes: tuple[str, ...]
    plans: tuple[str, ...]
    zones: tuple[str, ...]
    kinds: tuple[str, ...]
    connect_limit: float
    idle_close: float


def surroundings(raw: dict[str, Any]) -> Surroundings:
    top = Section(raw, "setup")
    limits = top.part("ceilings")
    return Surroundings(
        tuple(c.text("name") for c in top.parts("lanes")),
        tuple(p.text("name") for p in top.parts("contracts")),
        top.texts("localities"),
        top.texts("skus"),
        limits.seconds("connect-timeout"),
        limits.seconds("idle-close"),
    )


def settings(raw: dict[str, Any]) -> i.Settings:
    top = Section(raw, "setup")
    limits, family, rules, prices = (top.part(k) for k in ("ceilings", "family-info", "rules", "prices"))
    classes = tuple(
        i.RequestClass(
            c.seconds("aim"),
            c.seconds("deadline"),
            c.number("worth"),
            c.word("semantics", EFFECT, "fragile"),
            c.word("key-scope", SCOPE, "all"),
            c.seconds("key-ttl"),
            c.number("late-share"),
            c.flag("stream"),
        )
        for c in top.parts("lanes")
    )
    plans = tuple(
        i.Plan(
            p.number("price"),
            p.number("refill"),
            p.number("most-at-once"),
            int(p.number("concurrency")),
            p.number("never-over-rate"),
            p.number("ceiling-burst"),
            p.number("hard-slack"),
            p.number("excess-worth"),
            p.number("overrun-cost"),
        )
        for p in top.parts("contracts")
    )
    return i.Settings(
        me=int(top.number("me")),
        limiters=int(top.number("balancers")),
        zone=int(top.number("locality")),
        classes=classes,
        plans=plans,
        counter=family.flag("may-count"),
        counter_wait=family.seconds("count-wait"),
        max_units=int(family.number("most-units")),
        settles_later=family.flag("trued-up"),
        meter_period=family.seconds("use-period"),
        ask_discovery=top.word("discovery", {"push": False, "ask": True}, "push"),
        cancel=limits.flag("cancel"),
        parallel=limits.flag("parallel-tries"),
        probes=limits.flag("probes"),
        retry_after=limits.flag("retry-after"),
        max_retry_after=limits.seconds("max-retry-after"),
        max_attempts=int(limits.number("try-limit")),
        answer_slack=rules.seconds("answer-slack"),
        cold_share=rules.number("cold-from"),
        warm_up=rules.seconds("warm-up"),
        fall_multiple=rules.number("fall-multiple"),
        fall_span=rules.seconds("fall"),
        price_cross_zone=prices.number("cross-zone"),
        price_waste=prices.number("waste"),
        price_late=prices.number("late-fail"),
        peers=limits.flag("peers"),
        inbox=family.amount("inbox-per-s"),
    )
