"""One HTTP/1.1 connection as the soak's clients, servers and operators use it: h11 over a trio socket.

Owns the reading of whole messages. It must never retry or hide how a connection ended.
"""

from __future__ import annotations

import socket
import struct
from dataclasses import dataclass

import h11
import trio

CHUNK = 65536


class Ended(Exception):
    """The connection ended; `begun`: after part of a message had come."""

    def __init__(self, begun: bool) -> None:
        super().__init__("ended midway" if begun else "ended")
        self.begun = begun


@dataclass(frozen=True, slots=True)
class Message:
    """A whole request or answer."""

    head: h11.Request | h11.Response
    headers: dict[str, str]
    body: bytes


class Wire:
    """`role`: h11.CLIENT or h11.SERVER."""

    def __init__(self, stream: trio.SocketStream, role: type[h11.CLIENT] | type[h11.SERVER]) -> None:
        self.stream, self.http = stream, h11.Connection(role)

    @property
    def peer(self) -> str:
        return str(self.stream.socket.getpeername()[0])

    def closed(self) -> bool:
        """Has the other side closed or reset it? Nothing is read."""
        try:
            return not self.stream.socket._sock.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT)  # type: ignore
        except BlockingIOError:
            return False
        except OSError:
            return True

    async def write(self, head: h11.Request | h11.Response, body: bytes = b"") -> None:
        data = self.http.send(head) or b""
        if body:
            data += self.http.send(h11.Data(data=body)) or b""
        data += self.http.send(h11.EndOfMessage()) or b""
        await self.stream.send_all(data)

    async def read(self) -> Message:
        """The next whole message; `Ended`, or h11.RemoteProtocolError where bytes are no message."""
        head: h11.Request | h11.Response | None = None
        body, begun = b"", False
        while True:
            event = self.http.next_event()
            if event is h11.NEED_DATA:
                try:
                    data = await self.stream.receive_some(CHUNK)
                except (trio.BrokenResourceError, trio.ClosedResourceError):
                    raise Ended(begun) from None
                if not data and not begun:
                    raise Ended(False)
                begun = begun or bool(data)
                try:
                    self.http.receive_data(data)
                except h11.RemoteProtocolError:
                    if not data:
                        raise Ended(True) from None
                    raise
                if not data:
                    try:
                        event = self.http.next_event()
                    except h11.RemoteProtocolError:
                        raise Ended(True) from None
                    if not isinstance(event, h11.EndOfMessage):
                        raise Ended(True)
                else:
                    continue
            if isinstance(event, h11.Request | h11.Response):
                head = event
            elif isinstance(event, h11.Data):
                body += bytes(event.data)
            elif isinstance(event, h11.EndOfMessage):
                assert head is not None
                headers = {
                    name.decode("latin-1").lower(): value.decode("latin-1") for name, value in head.headers
                }
                return Message(head, headers, body)
            elif not isinstance(event, h11.InformationalResponse):
                raise Ended(begun)

    def renew(self) -> bool:
        """Ready for the next message? False if either side ended, or more came than was due."""
        if self.http.our_state is not h11.DONE or self.http.their_state is not h11.DONE:
            return False
        if self.http.trailing_data[0]:
            return False
        self.http.start_next_cycle()
        return True

    def idle(self) -> bool:
        """Nothing has come and neither side has ended: what a kept connection should be."""
        try:
            self.stream.socket._sock.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT)  # type: ignore[attr-defined]
        except BlockingIOError:
            return True
        except OSError:
            pass
        return False

    async def close(self) -> None:
        await trio.aclose_forcefully(self.stream)

    async def reset(self) -> None:
        """End it so that the other side finds a reset."""
        self.stream.socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        await trio.aclose_forcefully(self.stream)


async def connect(host: str, port: int, limit_s: float, source: str = "") -> Wire | None:
    """A connection to that address; None where there is none in time."""
    with trio.move_on_after(limit_s):
        sock = trio.socket.socket(trio.socket.AF_INET, trio.socket.SOCK_STREAM)
        try:
            if source:
                await sock.bind((source, 0))
            await sock.connect((host, port))
        except OSError:
            sock.close()
            return None
        except BaseException:
            sock.close()
            raise
        return Wire(trio.SocketStream(sock), h11.CLIENT)
    return None


async def call(
    host: str, port: int, method: str, target: str, body: bytes, limit_s: float, source: str = ""
) -> Message | None:
    """One call on a connection of its own; None without a whole answer in time."""
    with trio.move_on_after(limit_s):
        wire = await connect(host, port, limit_s, source)
        if wire is None:
            return None
        try:
            headers = [
                ("Host", f"{host}:{port}"),
                ("Content-Type", "application/json"),
                ("Content-Length", str(len(body))),
                ("Connection", "close"),
            ]
            await wire.write(h11.Request(method=method, target=target, headers=headers), body)
            return await wire.read()
        except (Ended, h11.RemoteProtocolError, trio.BrokenResourceError, trio.ClosedResourceError):
            return None
        finally:
            with trio.CancelScope(shield=True):
                await wire.close()
    return None
