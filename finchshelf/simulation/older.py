"""The text before the second form of the memory of orders, as far as what it says and reads differs.

Owns its reader, kept as it was, and which machines of the in-memory world run it. Machines are renewed by
taking them out of that set and starting their processes anew; put in again, they are put back.

What it did: a value's orders are a list of version and digest, or this is no value; an order is known again
by its whole digest; a document is what stands under `document`, whatever else comes; a control plane says
nothing of the forms that it reads, and makes values in the first; a datagram about counts has no life.
"""

from __future__ import annotations

from collections.abc import Iterator
from contextlib import ExitStack, contextmanager
from typing import Any
from unittest import mock

from finchshelf.agreement import core
from finchshelf.agreement.core import Message, Value
from finchshelf.agreement.taken import Fate, Taken
from finchshelf.controlplane.members import Members
from finchshelf.controlplane.news import News
from finchshelf.dataplane import questions
from finchshelf.simulation.network import current

NEWER_WORDS = ("form", "saved", "by")
real_unpack, real_note, real_newer = Value.unpack, News.note, News.newer
real_slim, real_whole, real_answer = Members.slim, Members.whole, core.Acceptor._answer
real_fate = Taken.fate


def read(packed: Message) -> Value:
    """A value, as the older text read it; KeyError, TypeError or ValueError if this is none."""
    entries = [(version, digest) for version, digest in packed["taken"]]
    if not all(type(version) is int and isinstance(digest, bytes) for version, digest in entries):
        raise ValueError("no orders")
    value = real_unpack({**packed, "taken": [list(one) for one in entries]})
    assert not value.taken.renewed()
    return value


@contextmanager
def running(hosts: set[str]) -> Iterator[set[str]]:
    """In the in-memory world, the machines in the set run the older text; the set may change."""

    def old() -> bool:
        return current.get().machine.host in hosts

    def unpack(packed: Message) -> Value:
        return read(packed) if old() else real_unpack(packed)

    def note(self: News, message: Message, now: float) -> None:
        if "control" in message and message["control"][0].rpartition(":")[0] in hosts:
            message = {word: one for word, one in message.items() if word not in NEWER_WORDS}
        real_note(self, message, now)

    def newer(self: News, value: Value) -> bool:
        return not old() and real_newer(self, value)

    def slim(self: Members, message: Message, address: str) -> Message:
        return message if old() else real_slim(self, message, address)

    async def whole(self: Members, message: Message, address: str) -> Message:
        return message if old() else await real_whole(self, message, address)

    def answer(self: core.Acceptor, message: Message) -> Message:
        if old() and message["kind"] == "holds":
            raise ValueError("holds")
        return real_answer(self, message)

    def fate(self: Taken, version: int, digest: bytes) -> Fate:
        if not old():
            return real_fate(self, version, digest)
        return "taken" if (version, digest) in self.older else "not taken"

    patches: list[tuple[Any, str, Any]] = [
        (Value, "unpack", staticmethod(unpack)),
        (News, "note", note),
        (News, "newer", newer),
        (Taken, "fate", fate),
        (Members, "slim", slim),
        (Members, "whole", whole),
        (core.Acceptor, "_answer", answer),
    ]
    with ExitStack() as stack:
        for owner, word, instead in patches:
            stack.enter_context(mock.patch.object(owner, word, instead))
        yield hosts


class OlderQuestions(questions.Questions):
    """Its part of the questions about counts."""

    def question(self, host: str, rows: list[tuple[int, str, float, int]]) -> list[Any]:
        return [questions.ASK, rows]

    def read(self, message: Any, source: tuple[str, int]) -> None:
        kind, rows = message
        if kind == questions.TELL:
            for number, fits, after in rows:
                self.core.told(number, source, bool(fits), after)
        else:
            super().read(message, source)
