"""The records of servers and limiters, and which of two records is the newer.

Owns their form and the order between them. Each machine that gets the same records in any order ends with the
same table. It must never go back: an old beat that comes late changes nothing, and none undoes a drain.
"""

from __future__ import annotations

import math
import socket
from dataclasses import dataclass, replace
from typing import Any

STABLE, LOST, DECAYING, GONE = "stable", "lost", "decaying", "gone"
MOST_TEXT = 128
MOST_WHOLE = 1 << 62  # of a number told by another process: no larger one can be told on
MOST_WARM = 1e12  # ms
FIELDS = 10  # of a record, but for the version


class Unfit(ValueError):
    """A record that can't be read; carries the step and the place."""

    def __init__(self, step: str, place: str, why: str) -> None:
        super().__init__(f"{step}: {place}: {why}")
        self.step, self.place, self.why = step, place, why


@dataclass(frozen=True, slots=True)
class Server:
    """A life of a server. `warm_at`: s on the holder's steady clock when it is no longer slow. `cell`: the
    control plane that heard its last beat; only that one may call it lost. `version`: of its software; empty
    where nobody said it. `since`: told to limiters alone, the slot whose transitions a limiter must go by
    before it may use this server."""

    id: str
    address: str
    service: str
    zone: str
    capacity: int
    count: int = 0
    mode: str = STABLE
    lost: bool = False
    warm_at: float = 0.0
    cell: str = ""
    version: str = ""
    since: int = 0

    def rank(self) -> tuple[int, int, bool]:
        """A life only ever goes on from stable to decaying to gone. Danger: by its number alone, a late
        stable beat would undo the drain of a server that was called lost meanwhile. A loss has the number of
        the beat that would have been next (`missed`): that one is newer than the loss, a late one older."""
        return (STABLE, DECAYING, GONE).index(self.mode), self.count, not self.lost

    def missed(self) -> Server:
        """Lost: its next beat did not come."""
        return replace(self, count=self.count + 1, lost=True)

    def newer(self, other: Server | None) -> bool:
        return other is None or self.rank() > other.rank()

    def usable(self) -> bool:
        """May a request be sent to it?"""
        return self.mode == STABLE and not self.lost

    def pack(self, now: float, versioned: bool = False) -> list[Any]:
        """As said to another machine, whose clock is another: what is left of the slow time, in ms.
        `versioned`: does it read the version?"""
        row = [
            self.id,
            self.address,
            self.service,
            self.zone,
            self.capacity,
            self.count,
            self.mode,
            self.lost,
            max(0, round((self.warm_at - now) * 1000)),
            self.cell,
        ]
        return [*row, self.version, self.since] if versioned else row


def is_address(address: str) -> bool:
    """HOST:PORT, in letters that a head and a socket take."""
    host, _, port = address.rpartition(":")
    return (
        bool(host)
        and host.isascii()
        and host.isprintable()
        and " " not in host
        and port.isascii()
        and port.isdigit()
        and len(port) <= 5
        and 0 < int(port) < 65536
    )


def read_disk(name: Any) -> str | None:
    """The disk that a control plane runs on, as it says; None: one of an older text does not say."""
    if name is not None and (not isinstance(name, str) or len(name) > MOST_TEXT):
        raise Unfit("read news", "disk", "expected the name of a disk")
    return name


def read_server(row: Any, now: float) -> Server:
    """A row of another of our processes.

    Danger: what is taken here is told on. One number that can't be said again (NaN, 1e300) would spoil every
    answer with news, and one address without a port ends whoever sends there."""

    def fit(true: bool, place: str) -> None:
        if not true:
            raise Unfit("read a server's record", place, f"not as expected in {row!r}"[:200])

    fit(isinstance(row, list | tuple) and len(row) in (FIELDS, FIELDS + 2), "row")
    name, address, service, zone, capacity, count, mode, lost, warm, cell = row[:FIELDS]
    version, since = row[FIELDS:] if len(row) > FIELDS else ("", 0)
    texts = {"id": name, "address": address, "service": service, "zone": zone, "cell": cell}
    texts["version"] = version
    for place, value in texts.items():
        fit(isinstance(value, str) and len(value) <= MOST_TEXT, place)
    for place, value in {"capacity": capacity, "count": count, "since": since}.items():
        fit(type(value) is int and 0 <= value <= MOST_WHOLE, place)
    fit(bool(name) and name.isascii() and name.isprintable(), "id")
    fit(mode in (STABLE, DECAYING, GONE), "mode")
    fit(is_address(address) or (mode == GONE and not address), "address")  # gone before its first beat: none
    fit(isinstance(lost, bool), "lost")
    fit(isinstance(warm, int | float) and math.isfinite(warm) and 0 <= warm <= MOST_WARM, "warm")
    warm_at = now + warm / 1000
    return Server(name, address, service, zone, capacity, count, mode, lost, warm_at, cell, version, since)


def text(value: Any, place: str) -> str:
    if not isinstance(value, str) or not 0 < len(value) <= MOST_TEXT:
        raise Unfit("read a beat", place, "expected a short text")
    return value


def whole(value: Any, place: str, most: int = 1 << 53) -> int:
    if not isinstance(value, int | float) or isinstance(value, bool) or not 0 <= value <= most:
        raise Unfit("read a beat", place, "expected a number from 0 on")
    return int(value)


def read_beat(name: str, body: Any, now: float) -> Server:
    """What a server says of itself (`servers.pulse`)."""
    seen = body.get("observation") if isinstance(body, dict) else None
    state = body.get("stateEstimate") if isinstance(body, dict) else None
    if not isinstance(seen, dict) or not isinstance(state, dict):
        raise Unfit("read a beat", "body", "observation and stateEstimate are needed")
    address = text(body.get("address"), "address")
    if not is_address(address):
        raise Unfit("read a beat", "address", "expected HOST:PORT")
    if not text(name, "of").isascii() or not name.isprintable():  # Danger: no head to the server can name it
        raise Unfit("read a beat", "of", "expected printable ASCII")
    mode = state.get("mode", STABLE)
    if mode not in (STABLE, DECAYING):
        raise Unfit("read a beat", "stateEstimate.mode", "expected stable or decaying")
    return Server(
        name,
        address,
        text(seen.get("subsystem"), "observation.subsystem"),
        text(seen.get("zone"), "observation.zone"),
        max(1, whole(seen.get("capacity", 1), "observation.capacity", 1 << 16)),
        whole(state.get("callCount", 0), "stateEstimate.callCount"),
        mode,
        False,
        now + whole(state.get("warmupMs", 0), "stateEstimate.warmupMs", int(MOST_WARM)) / 1000,
        version=text(seen["setpointSeq"], "observation.setpointSeq") if "setpointSeq" in seen else "",
    )


@dataclass(frozen=True, slots=True)
class Limiter:
    """A life of a data plane's process; `life` grows with each start on its machine."""

    node: str
    life: int
    host: str
    zone: str

    def pack(self) -> list[Any]:
        return [self.node, self.life, self.host, self.zone]


def read_limiter(row: Any) -> Limiter:
    """Danger: datagrams go to its host, and a name there would be looked up, with all else waiting."""
    try:
        node, life, host, zone = row
        if not all(isinstance(one, str) and 0 < len(one) <= MOST_TEXT for one in (node, host, zone)):
            raise ValueError("expected short texts")
        if type(life) is not int or not 0 <= life <= MOST_WHOLE:
            raise ValueError("expected a life from 0 on")
        socket.inet_aton(host)
    except (TypeError, ValueError, OSError) as error:
        raise Unfit("read a limiter's record", "row", f"{error!r} in {row!r}"[:200]) from None
    return Limiter(node, life, host, zone)


class Servers:
    """A table of servers' records with the number of the change that each last had.

    `rev` counts changes within one life of the table's owner; whoever asks says the one it has. `shown`: the
    same without moves to another cell, which are nothing to limiters. `prompt`: the last that must be told at
    once; a move, or an end of which all know that it comes, is told at the next question."""

    def __init__(self) -> None:
        self.rows: dict[str, Server] = {}
        self.revs: dict[str, int] = {}  # in the order of the changes
        self.shown: dict[str, int] = {}
        self.rev = self.prompt = 0

    def put(self, server: Server) -> bool:
        """Take a record if it is newer; True if others must hear of it: more than its beat's number
        changed."""
        known = self.rows.get(server.id)
        if not server.newer(known):
            return False
        self.rows[server.id] = server
        told = known is None or replace(known, count=server.count, warm_at=server.warm_at) != server
        if told:
            moved = (
                known is not None
                and replace(known, count=server.count, warm_at=server.warm_at, cell=server.cell) == server
            )
            self.tell(server.id, moved)
            if not moved and not (known is not None and known.mode == DECAYING and server.mode == GONE):
                self.prompt = self.rev
        return told

    def tell(self, name: str, moved: bool = False) -> None:
        """Whoever asks next hears of it (again); a limiter not if it only moved."""
        self.rev += 1
        for table in (self.revs,) if moved else (self.revs, self.shown):
            table.pop(name, None)
            table[name] = self.rev

    def since(self, rev: int, limiter: bool) -> list[Server]:
        """What changed after that, the last first."""
        found = []
        for name, at in reversed((self.shown if limiter else self.revs).items()):
            if at <= rev:
                break
            found.append(self.rows[name])
        return found

    def drop(self, name: str) -> None:
        """Forget a record of which nothing more can come."""
        self.rows.pop(name, None)
        self.revs.pop(name, None)
        self.shown.pop(name, None)
