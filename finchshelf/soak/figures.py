"""What the programs of a soak tell of themselves at their `metrics` port.

Owns the ports and the reading. A program that does not answer tells nothing.
"""

from __future__ import annotations

from prometheus_client.parser import text_string_to_metric_families

from finchshelf.soak import wire
from finchshelf.soak.servers import status_of
from finchshelf.transport.address import Address

CONTROL_PORT, EDGE_PORT = 9101, 9102
PATH = "/metrics"
LIMIT_S = 1.0


async def fetched(address: Address, family: str, label: str) -> dict[str, float]:
    """The values of one family of metrics, by that label."""
    told = await wire.call(address.host, address.port, "GET", PATH, b"", LIMIT_S)
    if told is None or status_of(told) != 200:
        return {}
    for found in text_string_to_metric_families(told.body.decode()):
        if found.name == family:
            return {
                one.labels[label]: one.value for one in found.samples if not one.name.endswith("_created")
            }
    return {}


async def violations(address: Address) -> dict[str, float]:
    return await fetched(address, "finchshelf_invariant_violations", "invariant")


async def looks(address: Address) -> dict[str, float]:
    return await fetched(address, "finchshelf_invariant_looks", "invariant")


async def state(address: Address) -> dict[str, float]:
    return await fetched(address, "finchshelf_state", "name")
