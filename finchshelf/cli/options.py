"""Words of the command line that several of its commands take."""

from __future__ import annotations

from ipaddress import ip_address
from typing import Any

import click

from finchshelf.transport.address import Address


class HostPort(click.ParamType[Address]):
    """A numeric address: `10.0.0.4:8407`, `[::1]:8407`."""

    name = "HOST:PORT"

    def convert(self, value: Any, param: click.Parameter | None, ctx: click.Context | None) -> Address:
        if isinstance(value, Address):
            return value
        host, _, port = str(value).rpartition(":")
        try:
            plain = str(ip_address(host.strip("[]")))
        except ValueError:
            plain = ""  # a name would be looked up, and nothing here does that
        if not plain or not port.isascii() or not port.isdigit() or not 0 < int(port) < 65536:
            self.fail(f"{value!r}: expected HOST:PORT, both numbers", param, ctx)
        return Address(plain, int(port))
