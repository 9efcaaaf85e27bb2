"""Cuts between machines, inside the processes that the soak starts: what a cut holds up waits until it ends.

Owns which peers a process can't reach now, read from a file that the soak's driver writes, and the socket
calls that obey it. Connections hang as behind a real cut: nothing is reset, a write that stays unacknowledged
for `SILENCE_S` fails as `TCP_USER_TIMEOUT` makes it, datagrams are lost. It is loaded by `soak.child` alone,
before the program, and must never be part of a program that serves.
"""

from __future__ import annotations

import errno
import os
import socket
import time
from collections.abc import Callable
from contextlib import suppress
from typing import Any

import trio

from finchshelf.agreement.store import Store, StoreError
from finchshelf.dataplane import questions
from finchshelf.soak.cuts import CLOCK, DISK, FULL, LINK, SLOW, STALLED
from finchshelf.transport import net
from finchshelf.transport.address import Address

LOOK_S = 0.02  # between two looks at the file
SLOW_LINK_S, SLOW_DISK_S = 0.08, 0.25  # that bytes on a slow link, and a write on a slow disk, take longer
SILENCE_S = 1.5  # that written bytes may stay unacknowledged
MOST_DATAGRAM = 65536


class Gate:
    """The addresses that this machine can't reach; `path`: the file, a line an address."""

    def __init__(self, path: str, own: str) -> None:
        self.path, self.own = path, own
        self.looked, self.stamp = 0.0, (0, 0, 0)
        self.cut: frozenset[str] = frozenset()
        self.slow: frozenset[str] = frozenset()
        self.off_s = 0.0  # that the time of day is off
        self.disk = ""  # what is wrong with the disk: `FULL`, `STALLED`, `SLOW` or nothing

    def closed(self, peer: str) -> bool:
        now = time.monotonic()
        if now - self.looked >= LOOK_S:
            self.looked = now
            self.look()
        return peer in self.cut

    def look(self) -> None:
        try:
            found = os.stat(self.path)
            # A time alone has the kernel's ticks of some ms: each file is a new one, so its number tells.
            stamp = found.st_mtime_ns, found.st_ino, found.st_size
            if stamp != self.stamp:
                with open(self.path, encoding="ascii") as file:
                    words = frozenset(file.read().split())
                self.cut = frozenset(word for word in words if "=" not in word)
                self.slow = frozenset(word.removeprefix(LINK) for word in words if word.startswith(LINK))
                self.disk = said(words, DISK)
                self.off_s = float(said(words, CLOCK) or 0.0)
                self.stamp = stamp
        except OSError:
            self.cut, self.slow, self.disk = frozenset(), frozenset(), ""

    def write_disk(self, folder: str) -> None:
        """Before a write, in its thread: what the disk does with it now."""
        self.look()
        while self.disk == STALLED:
            time.sleep(LOOK_S)
            self.look()
        if self.disk == SLOW:
            time.sleep(SLOW_DISK_S)
        if self.disk == FULL:
            raise StoreError("write", folder, "no space left on the soak's disk")

    async def passes(self, peer: str, limit_s: float = float("inf")) -> None:
        """Returns once that peer can be reached; TimeoutError after `limit_s`."""
        until = time.monotonic() + limit_s
        while self.closed(peer):
            if time.monotonic() >= until:
                raise TimeoutError(errno.ETIMEDOUT, "unacknowledged")
            await trio.sleep(LOOK_S)


def said(words: frozenset[str], prefix: str) -> str:
    return next((word.removeprefix(prefix) for word in words if word.startswith(prefix)), "")


class GatedStream(net.Stream):
    """A stream whose bytes wait while its peer can't be reached."""

    __slots__ = ("peer",)
    gate: Gate

    def __init__(self, sock: Any) -> None:
        super().__init__(sock)
        self.peer = ""
        with suppress(OSError):
            self.peer = self.sock.getpeername()[0]

    async def receive(self, most: int = net.CHUNK) -> bytes:
        while True:
            await self.readable()
            await self.gate.passes(self.peer)
            if self.peer in self.gate.slow:
                await trio.sleep(SLOW_LINK_S)
            if self.sock.fileno() < 0:
                raise trio.ClosedResourceError
            try:
                return self.sock.recv(most)
            except BlockingIOError:
                continue

    def send_now(self, data: bytes) -> int:
        return 0 if self.gate.closed(self.peer) else super().send_now(data)

    async def send(self, data: bytes, note: Callable[[int], None] = net.unnoted) -> None:
        sent = 0
        while sent < len(data):
            await self.gate.passes(self.peer, SILENCE_S)
            if self.sock.fileno() < 0:
                raise trio.ClosedResourceError
            taken = super().send_now(data[sent:])
            note(taken)
            sent += taken
            if sent < len(data):
                await trio.lowlevel.wait_writable(self.sock)


class GatedDatagrams(socket.socket):
    """A datagram socket that loses what a cut would."""

    gate: Gate

    def sendto(self, data: Any, address: Any) -> int:  # type: ignore[override]
        return len(data) if self.gate.closed(address[0]) else super().sendto(data, address)

    def recvfrom(self, most: int, flags: int = 0) -> tuple[bytes, Any]:
        while True:
            data, source = super().recvfrom(most, flags)
            if not self.gate.closed(source[0]):
                return data, source


def install(gate: Gate) -> None:
    """Puts the gate under all sockets of this process."""
    GatedStream.gate = GatedDatagrams.gate = gate

    async def connect(address: Address) -> net.Stream:
        await gate.passes(address.host)
        sock = trio.socket.socket(address.family, trio.socket.SOCK_STREAM)
        try:
            sock.setsockopt(trio.socket.IPPROTO_TCP, trio.socket.TCP_NODELAY, 1)
            # So that who accepts knows from which machine this is.
            sock.setsockopt(trio.socket.IPPROTO_IP, IP_BIND_ADDRESS_NO_PORT, 1)
            await sock.bind((gate.own, 0))
            await sock.connect((address.host, address.port))
        except BaseException:
            sock.close()
            raise
        return GatedStream(sock)

    def opened(address: Address) -> socket.socket:
        sock = GatedDatagrams(socket.AF_INET, socket.SOCK_DGRAM)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        sock.setblocking(False)
        sock.bind((address.host, address.port))
        return sock

    former = Store.save

    def save(self: Store, state: dict[str, Any]) -> None:
        gate.write_disk(self.folder)
        former(self, state)

    Store.save = save  # type: ignore[method-assign]
    time_of_day = time.time
    time.time = lambda: time_of_day() + gate.off_s
    net.Stream = GatedStream  # type: ignore[misc]
    net.connect = connect
    questions.opened = opened


IP_BIND_ADDRESS_NO_PORT = 24  # of Linux: the port is chosen at the connect, so that none are used up
