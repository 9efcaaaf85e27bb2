"""Sockets the way this node uses them: numeric addresses, non-blocking, no delay, served by trio.

Owns only how a socket is opened and written. It must never look up a name, start a thread, or know what the
bytes mean.
"""

from __future__ import annotations

import trio

from finchshelf.node.config import Address

CHUNK = 65536
MOST_BODY = 65536


async def connect(address: Address) -> trio.socket.SocketType:
    """A connected socket; closed again if anything, a cancel included, comes in between."""
    sock = trio.socket.socket(address.family, trio.socket.SOCK_STREAM)
    try:
        sock.setsockopt(trio.socket.IPPROTO_TCP, trio.socket.TCP_NODELAY, 1)
        await sock.connect((address.host, address.port))
    except BaseException:
        sock.close()
        raise
    return sock


async def listen(address: Address, backlog: int = 1024) -> trio.socket.SocketType:
    sock = trio.socket.socket(address.family, trio.socket.SOCK_STREAM)
    try:
        sock.setsockopt(trio.socket.SOL_SOCKET, trio.socket.SO_REUSEADDR, 1)
        await sock.bind((address.host, address.port))
        sock.listen(backlog)
    except BaseException:
        sock.close()
        raise
    return sock


async def send_all(sock: trio.socket.SocketType, data: bytes) -> None:
    sent = await sock.send(data)
    while sent < len(data):
        sent += await sock.send(memoryview(data)[sent:])
