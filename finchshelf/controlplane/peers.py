"""What a register needs of the other members, and what its parts need of it: protocols alone.

Owns no code that runs. The register's parts take it by these, so that none imports the register.
"""

from __future__ import annotations

from typing import Any, Protocol

import trio

from finchshelf.agreement.core import Member, Value
from finchshelf.agreement.standing import Witness
from finchshelf.transport.frames import Message


class Peers(Protocol):
    nursery: trio.Nursery

    async def agree(self, address: str, message: Message, limit: float) -> Message: ...

    def reaches(self, address: str) -> bool: ...

    def takes(self, document: bytes) -> float: ...

    async def document(self, name: bytes, address: str) -> bytes | None: ...

    def offer(self, name: bytes, address: str) -> None: ...


class Known(Protocol):
    """A register, for whoever asks other control planes what they know that it does not."""

    @property
    def me(self) -> Member: ...

    @property
    def decided(self) -> Value | None: ...

    def known_to(self, address: str) -> int: ...

    decided_event: trio.Event

    def saved(self) -> int: ...

    def disk_failing_s(self) -> float: ...

    def tell_newest(self, slot: int) -> None: ...

    def learn(self, value: Value) -> None: ...

    async def fetch(self, value: Value, name: bytes, address: str) -> None: ...


class Speaker(Protocol):
    """Whoever answers for this control plane: may it speak for the core, and who are that core's members?
    `wake`: there is news."""

    @property
    def known(self) -> Known: ...

    def joined(self) -> bool: ...

    def core_members(self) -> set[str]: ...

    def wake(self) -> None: ...


class Asker(Protocol):
    """A register, for whoever asks its members: `address`, `me` and `decided` as it knows them now."""

    @property
    def address(self) -> str: ...

    @property
    def me(self) -> Member: ...

    @property
    def decided(self) -> Value | None: ...

    @property
    def peers(self) -> Peers: ...

    @property
    def witness(self) -> Witness: ...

    def disks(self) -> list[list[Any]]: ...

    async def send(self, member: Member, message: Message) -> Message | None: ...
