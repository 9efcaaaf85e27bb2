"""Streams the way these programs use them: numeric addresses, no delay, served by trio.

Owns how a socket is opened, waited for, read and written. It must never look up a name, start a thread,
block, or know what the bytes mean.
"""

from __future__ import annotations

import os
import socket
import struct
from collections.abc import Callable
from contextlib import suppress

import trio

from finchshelf.transport.address import Address

CHUNK = 65536
MOST_BODY = 65536
NOWHERE = bytearray(1 << 20)  # Linux writes nothing to it: MSG_TRUNC says how much was thrown away
LAST_RECEIVED = 52  # where Linux's tcp_info has the milliseconds since data last came


def unnoted(size: int) -> None:
    """What a send tells where nobody asks how much the kernel has taken."""


class Stream:
    """A connected socket. It waits before it reads, and sends at once what the kernel takes.

    A read or send of a trio socket yields to the scheduler even when it need not wait, and each yield costs a
    look at the kernel. Here only waiting yields; whoever reads always waits first, so nobody starves others.
    """

    __slots__ = ("sock",)

    def __init__(self, sock: trio.socket.SocketType | socket.socket) -> None:
        family, kind, proto = sock.family, sock.type, sock.proto
        self.sock = socket.socket(family, kind, proto, fileno=sock.detach())
        self.sock.setblocking(False)

    async def receive(self, most: int = CHUNK) -> bytes:
        """What has come, at least a byte and `most` at the most; nothing at the end."""
        while True:
            await self.readable()
            try:
                return self.sock.recv(most)
            except BlockingIOError:
                continue

    async def readable(self) -> None:
        if self.sock.fileno() < 0:  # Danger: hung up on before this wait began, it would wait on no socket
            raise trio.ClosedResourceError
        await trio.lowlevel.wait_readable(self.sock)

    async def discard(self) -> int:
        """Throw away what has come, without a look at it; 0 at the end."""
        while True:
            await self.readable()
            try:
                return self.sock.recv_into(NOWHERE, 0, socket.MSG_TRUNC)
            except BlockingIOError:
                continue

    def send_now(self, data: bytes) -> int:
        """How much of it the kernel took without waiting."""
        try:
            return self.sock.send(data)
        except BlockingIOError:
            return 0

    async def send(self, data: bytes, note: Callable[[int], None] = unnoted) -> None:
        """All of it. `note` hears how much the kernel takes each time, also where the rest is never sent."""
        sent = self.send_now(data)
        note(sent)
        while sent < len(data):
            await trio.lowlevel.wait_writable(self.sock)
            taken = self.send_now(data[sent:])
            note(taken)
            sent += taken

    def silent(self) -> bool:
        """Nothing to read and no end: what an idle connection should be."""
        try:
            self.sock.recv(1, socket.MSG_PEEK)
        except BlockingIOError:
            return True
        except OSError:
            pass
        return False

    def quiet_for(self) -> float:
        """Seconds since the last byte came in, by the kernel's own count; 0 where it keeps none."""
        with suppress(OSError, struct.error):
            info = self.sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, LAST_RECEIVED + 4)
            return float(struct.unpack_from("=I", info, LAST_RECEIVED)[0]) / 1000
        return 0.0

    def end_sending(self) -> None:
        """Tell the other side that no more comes; it still gets all that was sent."""
        with suppress(OSError):
            self.sock.shutdown(socket.SHUT_WR)

    def hang_up(self) -> None:
        """End both ways at once: whoever waits for this stream finds its end."""
        try:
            self.sock.shutdown(socket.SHUT_RDWR)
        except OSError:
            self.close()

    def abort(self) -> None:
        """End it so that the other side finds a reset: what it has is not all."""
        with suppress(OSError):
            self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        self.close()

    def close(self) -> None:
        if self.sock.fileno() >= 0:
            trio.lowlevel.notify_closing(self.sock)
            self.sock.close()


async def connect(address: Address) -> Stream:
    """A connected stream; closed again if anything, a cancel included, comes in between."""
    sock = trio.socket.socket(address.family, trio.socket.SOCK_STREAM)
    try:
        sock.setsockopt(trio.socket.IPPROTO_TCP, trio.socket.TCP_NODELAY, 1)
        await sock.connect((address.host, address.port))
    except BaseException:
        sock.close()
        raise
    return Stream(sock)


async def listen(address: Address, backlog: int = 1024, shared: bool = False) -> trio.socket.SocketType:
    """A listening socket; `shared`: another process may listen at the same address, as in an upgrade."""
    sock = trio.socket.socket(address.family, trio.socket.SOCK_STREAM)
    try:
        sock.setsockopt(trio.socket.SOL_SOCKET, trio.socket.SO_REUSEADDR, 1)
        if shared:
            sock.setsockopt(trio.socket.SOL_SOCKET, trio.socket.SO_REUSEPORT, 1)
        await sock.bind((address.host, address.port))
        sock.listen(backlog)
    except BaseException as error:
        error.add_note(f"listen at {address}")  # the step and place, which the kernel's words lack
        sock.close()
        raise
    return sock


def queued(listener: trio.socket.SocketType) -> list[Stream]:
    """What the kernel holds in the listener's queue, taken without waiting; nothing stays in it.

    Danger: whatever is still queued when the listener closes is reset, a request turned back unheard.
    """
    taken: list[Stream] = []
    try:
        sock = socket.socket(listener.family, listener.type, fileno=os.dup(listener.fileno()))
    except OSError:  # no descriptor left for the copy: nor would there be one for what is queued
        return taken
    with sock:
        sock.setblocking(False)
        while True:
            try:
                one, _ = sock.accept()
            except ConnectionAbortedError:
                continue  # that client has gone again already
            except OSError:  # the queue is empty, or no descriptor is left
                break
            with suppress(OSError):
                one.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            taken.append(Stream(one))
    return taken


async def accept(listener: trio.socket.SocketType) -> Stream:
    sock, _ = await listener.accept()
    try:
        sock.setsockopt(trio.socket.IPPROTO_TCP, trio.socket.TCP_NODELAY, 1)
    except OSError:
        sock.close()
        raise
    return Stream(sock)
