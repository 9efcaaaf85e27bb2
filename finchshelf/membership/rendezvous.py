"""Rendezvous hashing: names, for any key, the few of a list that hold, know or watch it.

Owns the order. It must never depend on anything but the names, so that all who have one list agree.
"""

from __future__ import annotations

from collections.abc import Iterable
from hashlib import blake2b


def weight(key: str, name: str) -> bytes:
    return blake2b(f"{key}\0{name}".encode(), digest_size=8).digest()


def order(key: str, names: Iterable[str]) -> list[str]:
    """All names, the one that comes first for `key` in front."""
    return sorted(names, key=lambda name: weight(key, name), reverse=True)


def first(key: str, names: Iterable[str]) -> str | None:
    found = max(((weight(key, name), name) for name in names), default=None)
    return found[1] if found is not None else None
