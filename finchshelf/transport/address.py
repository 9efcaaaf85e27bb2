"""Numeric addresses.

Owns their form. It must never look a name up.
"""

from __future__ import annotations

import socket
from typing import NamedTuple


class Address(NamedTuple):
    """A numeric address: names would need DNS, and DNS a thread."""

    host: str
    port: int

    @property
    def family(self) -> socket.AddressFamily:
        return socket.AF_INET6 if ":" in self.host else socket.AF_INET

    def __str__(self) -> str:
        return f"[{self.host}]:{self.port}" if ":" in self.host else f"{self.host}:{self.port}"


def address_of(text: str) -> Address:
    """HOST:PORT or [HOST]:PORT as an address; ValueError where the port is none."""
    host, _, port = text.rpartition(":")
    return Address(host.strip("[]"), int(port))
