"""Another control plane's answer to a question for news, read whole before any of it counts.

Owns its form. It must never take a part of an answer of which another part can't be read.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any

from finchshelf.agreement import parcel
from finchshelf.agreement.core import Value
from finchshelf.experience.board import Verdict, read_verdict
from finchshelf.membership.listing import read_list
from finchshelf.membership.records import (
    MOST_TEXT,
    MOST_WHOLE,
    Limiter,
    Server,
    Unfit,
    is_address,
    read_disk,
    read_server,
)
from finchshelf.membership.suspicion import Told, read_told
from finchshelf.transport.frames import Message


def place(row: Any) -> tuple[str, str]:
    """A control plane's address and zone. Danger: one that can't be asked would be asked for good."""
    address, zone = row
    if (
        not isinstance(address, str)
        or not isinstance(zone, str)
        or len(zone) > MOST_TEXT
        or not is_address(address)
    ):
        why = f"expected HOST:PORT and zone: {row!r}"[:200]
        raise Unfit("read a control plane's address", "controls", why)
    return address, zone


def number(value: Any) -> int:
    if type(value) is not int or not -1 <= value <= MOST_WHOLE:
        raise Unfit("read news", "number", f"expected a whole number: {value!r}"[:200])
    return value


@dataclass(frozen=True, slots=True)
class Heard:
    """`held`: s for which the question lay there, where the answer says so."""

    life: int
    none: bool
    servers: tuple[int, list[Server]] | None
    limiters: tuple[int, tuple[Limiter, ...]] | None
    value: Value | None
    document: bytes  # digest of the value's document, where it must be fetched
    named: int | None
    controls: list[tuple[str, str]]
    verdicts: tuple[int, list[Verdict]] | None = None
    held: float = 0.0
    disk: str | None = None  # that it runs on, told once in each life; None: not told
    suspicions: tuple[int, Told] | None = None


def read_answer(answer: Message, now: float, known: tuple[Limiter, ...] = ()) -> Heard:
    """`known`: the limiters that it told of before."""
    servers = limiters = verdicts = suspicions = None
    if "suspicions" in answer:
        suspicions = number(answer["suspicionsRev"]), read_told(answer["suspicions"])
    if "verdicts" in answer:
        verdicts = number(answer["verdictsRev"]), [read_verdict(row) for row in answer["verdicts"]]
    if "servers" in answer:
        servers = number(answer["rev"]), [read_server(row, now) for row in answer["servers"]]
    if "limiters" in answer:
        limiters = number(answer["own"]), tuple(read_list(answer, known).values())
    return Heard(
        number(answer["life"]),
        bool(answer.get("none")),
        servers,
        limiters,
        parcel.unpack(answer["value"]) if "value" in answer else None,
        parcel.elsewhere(answer["value"]) if "value" in answer else b"",
        number(answer["named"]) if "named" in answer else None,
        [place(row) for row in answer.get("controls", ())],
        verdicts,
        number(answer.get("held", 0)) / 1000,
        read_disk(answer.get("disk")),
        suspicions,
    )
