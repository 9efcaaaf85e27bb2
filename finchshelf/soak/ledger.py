"""What clients, servers and operators of the soak wrote down themselves.

Owns the rows alone. All times are seconds since the start of the seed, by one steady clock.
"""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass, field
from enum import StrEnum


class End(StrEnum):
    """How a request ended for its client."""

    ANSWERED = "answered"
    CUT = "cut"  # an answer began and did not come whole
    CLOSED = "closed"  # the connection ended without a byte of an answer
    TIMEOUT = "timeout"
    NO_CONNECTION = "no connection"
    LEFT = "left"  # the client hung up itself
    WRONG = "wrong"  # bytes that are no answer, or one to another request


@dataclass(slots=True)
class Sent:
    """One try of a client: one `Trial-Id`."""

    trial: str
    route: str
    method: str
    path: str
    tenant: str
    edge: int  # the machine whose data plane it was sent to
    kept: bool  # on a connection that has carried a request before
    at: float
    until: float  # its deadline
    written: float = 0.0  # when its last byte was out; 0: it never was
    ended: float = 0.0
    end: End = End.NO_CONNECTION
    status: int = 0
    answered_by: str = ""  # the server's life that the body names
    body_fits: bool = True
    retry_after: str = ""
    size: int = 0  # bytes of its body


@dataclass(frozen=True, slots=True)
class Ran:
    """One arrival at a server; `ran`: it began to work on it."""

    trial: str
    server: str
    service: str
    at: float
    ran: bool
    method: str
    path: str
    tenant: str
    source: str  # the address that it came from
    target: str
    key_passed: bool
    body_fits: bool
    status: int
    remaining_s: float = -1.0  # that it was handed; below 0: none


@dataclass(frozen=True, slots=True)
class Work:
    """A long piece of work of a server; `broken`: its connection closed meanwhile, and it ended by that."""

    trial: str
    server: str
    began: float
    ended: float
    broken: bool


@dataclass(slots=True)
class Order:
    """One change of the configuration, with each answer that its operator got."""

    version: int
    prior: int
    label: str
    valid: bool
    at: float
    statuses: list[tuple[float, int, str]] = field(default_factory=list)  # when, status, by whom
    acknowledged: float = 0.0  # when its first 200 came; 0: it never did
    service: str = ""  # where its route leads


@dataclass(frozen=True, slots=True)
class Read:
    """The configuration read back."""

    sent: float
    ended: float
    by: str
    status: int
    version: int
    labels: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class Leaving:
    """A server that leaves: when its word was acknowledged, and when it ended."""

    server: str
    said: float
    acknowledged: float  # 0: nobody did
    ended: float


@dataclass(frozen=True, slots=True)
class Struck:
    """A trouble as it was carried out."""

    kind: str
    at: float
    until: float
    machines: tuple[int, ...]
    during: tuple[str, ...]  # kinds of the other troubles that lasted then


@dataclass(slots=True)
class Ledger:
    sent: list[Sent] = field(default_factory=list)
    ran: list[Ran] = field(default_factory=list)
    orders: list[Order] = field(default_factory=list)
    reads: list[Read] = field(default_factory=list)
    leavings: list[Leaving] = field(default_factory=list)
    struck: list[Struck] = field(default_factory=list)
    works: list[Work] = field(default_factory=list)
    slips: Counter[str] = field(default_factory=Counter)  # answers that servers lost, garbled, gave twice
    looks: Counter[str] = field(default_factory=Counter)  # at invariants, by name
    early_hangups: int = 0  # programs ended by SIGHUP in the interpreter's own start: nothing can guard that
    torn: int = 0  # files and entries that losses of power changed
    violations: dict[str, int] = field(default_factory=dict)  # by invariant and program
    faults: list[str] = field(default_factory=list)  # lines of the programs' logs that must not come
    own_ends: list[str] = field(default_factory=list)  # programs that ended by themselves
    ready: list[tuple[float, tuple[int, ...]]] = field(default_factory=list)  # which data planes said 200
