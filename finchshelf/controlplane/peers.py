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
