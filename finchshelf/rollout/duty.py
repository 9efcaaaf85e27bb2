"""What the head office's register keeps of roll-outs, and who may write it: one driver, by its epoch.

Owns the form of the register's document and every change of it. It must never let a driver write whose epoch
is over, or lose an operator's word that came between two of a driver's. Pure: each function makes the
change that `agreement.core` runs on the newest decided value.

A driver is a duty: whoever hears nothing new of it for LEASE seconds takes the next epoch. Two that both
think themselves drivers are told apart by the register alone: no clock is leant on for that.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import replace
from typing import Any

import orjson

from finchshelf.agreement.core import Refusal, Value
from finchshelf.rollout.driver import ENDED

LEASE = 8.0  # s without a beat of the driver after which another drives; a turn with silent sites is less
FENCED, SAVED = "another epoch", "saved already"
FORMER = 20  # roll-outs that are remembered after their end
Make = Callable[[Value], Value | Refusal]
Document = dict[str, Any]


def read(value: Value | None) -> Document:
    if value is None or not value.document:
        return {
            "epoch": 0,
            "driver": "",
            "beat": 0,
            "paused": False,
            "abort": False,
            "leave": False,
            "state": None,
            "former": [],
        }
    found: Document = orjson.loads(value.document)
    return found


def written(value: Value, document: Document) -> Value:
    return replace(value, slot=value.slot + 1, version=value.version + 1, document=orjson.dumps(document))


def running(document: Document) -> bool:
    return document["state"] is not None and document["state"]["phase"] not in ENDED


def win(me: str, seen: int) -> Make:
    """Take the duty, if nobody did since epoch `seen`."""

    def make(value: Value) -> Value | Refusal:
        document = read(value)
        if document["epoch"] == seen + 1 and document["driver"] == me:
            return Refusal(SAVED)
        if document["epoch"] != seen or not running(document):
            return Refusal(FENCED)
        return written(value, {**document, "epoch": seen + 1, "driver": me, "beat": document["beat"] + 1})

    return make


def save(me: str, epoch: int, state: Document | None, view: Document | None = None) -> Make:
    """The driver's word: a new state, or that it is there (None); `view`: what an operator is shown."""

    def make(value: Value) -> Value | Refusal:
        document = read(value)
        # Danger: one that was cut off and comes back still holds a state, older than what was done since.
        if document["epoch"] != epoch or document["driver"] != me:
            return Refusal(FENCED)
        now = document["state"]
        if state is not None:
            if now["revision"] >= state["revision"]:
                return Refusal(SAVED)
            now = state
        return written(
            value,
            {
                **document,
                "state": now,
                "beat": document["beat"] + 1,
                "view": view or document.get("view", {}),
            },
        )

    return make


def start(state: Document) -> Make:
    """An operator begins a roll-out; one at a time."""

    def make(value: Value) -> Value | Refusal:
        document = read(value)
        if running(document):
            name = document["state"]["name"]
            return Refusal(SAVED if document["state"] == state else f"roll-out {name!r} is under way")
        former = document["former"]
        if document["state"] is not None:
            former = [*former, {key: document["state"][key] for key in ("name", "phase", "why", "history")}]
        return written(
            value,
            {
                **document,
                "state": state,
                "former": former[-FORMER:],
                "driver": "",
                "epoch": document["epoch"] + 1,
                "paused": False,
                "abort": False,
                "leave": False,
                "view": {},
            },
        )

    return make


def ask(word: str) -> Make:
    """An operator's word to the driver: `pause`, `resume`, `abort` or `leave`."""

    def make(value: Value) -> Value | Refusal:
        document = read(value)
        if not running(document):
            return Refusal("no roll-out is under way")
        wanted = {**document, **{name: document[name] or word == name for name in ("abort", "leave")}}
        wanted["paused"] = {"pause": True, "resume": False}.get(word, document["paused"])
        return Refusal(SAVED) if wanted == document else written(value, wanted)

    return make
