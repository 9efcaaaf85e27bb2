"""The servers that requests may go to: their records, their addresses, their connections' end.

Owns the table of servers (`choice`) together with the address of each. It must never keep an address whose
server has gone: another service may have it by then.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from typing import Protocol

from finchshelf.configuration.document import Service
from finchshelf.dataplane.choice import Choice
from finchshelf.membership.records import Server
from finchshelf.transport.address import Address

PROBE = "/probe"  # of a service that names no path of its own


class Connections(Protocol):
    """The connections to servers, as far as the table's owner needs them."""

    def probe(self, server: str, address: Address) -> None: ...
    def forget(self, server: str) -> None: ...


class Targets:
    def __init__(self, choice: Choice) -> None:
        self.choice = choice
        self.addresses: dict[str, Address] = {}

    def put(self, record: Server, connections: Connections) -> None:
        """What a control plane tells of a server."""
        must_go = self.choice.put(record)
        if record.id in self.choice.table:
            host, _, port = record.address.rpartition(":")
            self.addresses[record.id] = Address(host, int(port))
        else:
            self.addresses.pop(record.id, None)
        if must_go:
            connections.forget(record.id)

    def keep(self, whole: Iterable[str]) -> None:
        """These are all the servers that there are."""
        self.choice.keep(frozenset(whole))
        self.addresses = {name: at for name, at in self.addresses.items() if name in self.choice.table}

    def gone(self, server: str, connections: Connections) -> None:
        """Its address is another's by now."""
        self.choice.drop(server)
        self.addresses.pop(server, None)
        connections.forget(server)

    def probe(self, server: str, connections: Connections) -> bool:
        """Ask a server how it is; False where nobody knows its address any more."""
        if server in self.addresses:
            connections.probe(server, self.addresses[server])
        return server in self.addresses

    def probe_path(self, server: str, services: Mapping[str, Service]) -> str:
        """What the service of that server says of it."""
        known = self.choice.table.get(server)
        service = services.get(known.record.service) if known is not None else None
        return service.probe if service is not None else PROBE
