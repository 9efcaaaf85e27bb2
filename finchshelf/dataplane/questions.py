"""Questions about counts between limiters, one datagram each way.

Owns the datagram socket and its part of each correlation: the life (incarnation) that asked and a number
within it, both of which an answer gives back. It must never decide whether something fits, wait, answer what
is no question, or hand on an answer to another life's question.
"""

from __future__ import annotations

import socket
from contextlib import suppress
from typing import Any, Protocol

import msgpack
import trio

from finchshelf.counts.ends import LIFE
from finchshelf.counts.holder import AWAY, BYE, NEAR
from finchshelf.transport.address import Address
from finchshelf.transport.exchange import Log

MOST = 1400  # bytes of a datagram: more would be cut on its way
ASK, TELL, END, HAND = 0, 1, 2, 3
MOST_UNITS = 1e9
# Of a number in a datagram without a life, which limiters of an older text read and write: the part that is
# the number's. Above it stands the life that asked, for an older holder gives back numbers alone.
NUMBER = 28
MOST_OLDER = 1024  # hosts that are asked in that form
HANDED = 8  # counts in a datagram: their names may be long
BATCH = 64  # datagrams read before others have a turn


def whole(value: Any) -> int:
    if not isinstance(value, int) or not 0 <= value < 1 << 62:
        raise ValueError("expected a number from 0 on")
    return value


def text(value: Any) -> str:
    if not isinstance(value, str):
        raise ValueError("expected a tenant's name")
    return value


def amount(value: Any) -> float:
    """Danger: NaN added to a count stays there for good, and units below 0 would make room."""
    if not isinstance(value, int | float) or not 0 <= value <= MOST_UNITS:
        raise ValueError("expected units or seconds from 0 on")
    return float(value)


def state_of(value: Any) -> int:
    if value not in (BYE, AWAY, NEAR) or not isinstance(value, int):
        raise ValueError("expected a limiter's state")
    return value


class Asked(Protocol):
    def asked(
        self, tenant: str, units: float, who: str, state: int, life: int | None
    ) -> tuple[bool, float] | None: ...
    def told(self, number: int, source: tuple[str, int], fits: bool, after: float) -> None: ...
    def ended(self, who: str, life: int, used: dict[str, float]) -> None: ...
    def handed(self, who: str, life: int, totals: dict[str, float]) -> None: ...


def opened(address: Address) -> socket.socket:
    """The datagram socket; stories put one in memory in its place."""
    sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    sock.setblocking(False)
    try:
        sock.bind((address.host, address.port))
    except OSError as error:
        error.add_note(f"listen for datagrams at {address}")
        sock.close()
        raise
    return sock


class Questions:
    def __init__(self, address: Address, core: Asked, log: Log, life: int) -> None:
        """`life`: of this process, another at each start on its machine."""
        self.core, self.log, self.port, self.life = core, log, address.port, life & LIFE
        self.sock = opened(address)
        self.numbers = 0
        self.out: dict[str, list[tuple[int, str, float, int]]] = {}
        self.older: set[str] = set()  # hosts whose last datagram had no life

    def ask(self, host: str, tenant: str, units: float, state: int) -> int:
        """Put a question, or with 0 units say a word that wants no answer; those of one turn to one holder
        share a datagram."""
        self.numbers += 1
        self.out.setdefault(host, []).append((self.numbers, tenant, units, state))
        return self.numbers

    def flush(self) -> None:
        for host, rows in self.out.items():
            for at in range(0, len(rows), 16):
                self.send(self.question(host, rows[at : at + 16]), (host, self.port))
        self.out.clear()

    def question(self, host: str, rows: list[tuple[int, str, float, int]]) -> list[Any]:
        if host not in self.older:
            return [ASK, self.life, rows]
        return [ASK, [(self.life << NUMBER | number % (1 << NUMBER), *rest) for number, *rest in rows]]

    def end(self, host: str, used: dict[str, float]) -> None:
        """Say that this life has ended, and what it let in by itself; more than a datagram holds isn't said.

        Danger: with a part of it, what isn't told would be released uncharged."""
        message = [END, self.life, [*used.items()]]
        if host not in self.older and len(msgpack.packb(message)) <= MOST:
            self.send(message, (host, self.port))

    def hand(self, host: str, totals: dict[str, float]) -> None:
        """Say what the windows of counts hold that are that limiter's from now on; each row counts by itself.

        One of an older text can't read it, and starts with a full window as after a kill."""
        rows = [*totals.items()]
        for at in range(0, len(rows), HANDED):
            self.send([HAND, self.life, rows[at : at + HANDED]], (host, self.port))

    def send(self, message: object, to: tuple[str, int]) -> None:
        with suppress(OSError, ValueError):  # a datagram may be lost in any case: whoever waits has a time
            self.sock.sendto(msgpack.packb(message), to)

    async def run(self) -> None:
        while True:
            await trio.lowlevel.wait_readable(self.sock)
            for _ in range(BATCH):
                try:
                    data, source = self.sock.recvfrom(MOST)
                except OSError:
                    break
                try:
                    self.read(msgpack.unpackb(data), source)
                except Exception as error:  # Danger: one datagram of anyone would end the limiter
                    self.log.rare("count.unfit", peer=source[0], step="read a question", error=repr(error))
            await trio.lowlevel.checkpoint()

    def read(self, message: Any, source: tuple[str, int]) -> None:
        kind, *life, rows = message
        if len(life) > 1:
            raise ValueError("more than a life")
        form = [whole(one) for one in life]
        if kind == ASK:
            answers: list[tuple[int, int, float]] = []
            asked = [
                (whole(number), text(tenant), amount(units), state_of(state))
                for number, tenant, units, state in rows
            ]
            self.spoke(source[0], bool(form) or any(one[0] >> NUMBER for one in asked))
            for number, tenant, units, state in asked:  # all can be read, or none counts
                of = form[0] if form else number >> NUMBER or None
                found = self.core.asked(tenant, units, source[0], state, of)
                if found is not None and units > 0:
                    answers.append((number, int(found[0]), round(found[1], 3)))
            if answers:
                self.send([TELL, *form, answers], source)
        elif kind == TELL:
            told = [(whole(number), bool(whole(fits)), amount(after)) for number, fits, after in rows]
            for number, fits, after in told:
                of, number = (form[0], number) if form else divmod(number, 1 << NUMBER)
                if of != self.life:
                    # Danger: numbers start anew with each life. An answer that a frozen holder or a slow link
                    # kept back over a restart would let in, or refuse, whoever has that number now.
                    self.log.count["count.stale"] += 1
                else:
                    self.core.told(number, source, fits, after)
        elif kind == END:
            if not form:
                raise ValueError("an end without a life")
            self.core.ended(source[0], form[0], {text(tenant): amount(units) for tenant, units in rows})
        elif kind == HAND:
            if not form:
                raise ValueError("counts handed on without a life")
            self.core.handed(source[0], form[0], {text(tenant): amount(units) for tenant, units in rows})
        else:
            raise ValueError(f"kind {kind!r}")

    def spoke(self, host: str, life: bool) -> None:
        """By its own questions a limiter is known to run an older text, or no more.

        Danger: a life in the upper bits tells as well; else two that take each other for older stay so."""
        if life:
            self.older.discard(host)
        elif len(self.older) < MOST_OLDER:
            self.older.add(host)
