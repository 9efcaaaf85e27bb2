"""Types, events and actions between the admission logic and whatever carries it.

Times are seconds as floats. `now` is a clock that never goes back; its origin is arbitrary.
Nothing here decides anything.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum

from finchshelf.admission.outcome import ClientGone as ClientGone
from finchshelf.admission.outcome import Probed as Probed
from finchshelf.admission.outcome import Status as Status


class Effect(Enum):
    """May a request run again?"""

    SAFE = "safe"
    KEYED = "keyed"
    UNSAFE = "unsafe"


class Scope(Enum):
    """Which servers drop a repeat of a keyed request."""

    ALL = "all"
    ZONE = "zone"
    CELL = "cell"


class ServerState(Enum):
    READY = "ready"
    DRAINING = "draining"
    GONE = "gone"


class ListKind(Enum):
    """What a membership event brings."""

    CHANGES = "changes"
    FULL = "full"
    CACHED = "cached"
    FAILED = "failed"


# ---- settings -------------------------------------------------------------------------------


@dataclass(frozen=True, slots=True)
class RequestClass:
    aim: float
    deadline: float
    worth: float
    effect: Effect
    scope: Scope = Scope.ALL
    key_ttl: float = 0.0
    late_share: float = 0.0
    stream: bool = False


@dataclass(frozen=True, slots=True)
class Plan:
    """A plan's quotas; 0 means that there is no such quota."""

    price: float
    rate: float = 0.0
    burst: float = 0.0
    open_cap: int = 0
    ceiling_rate: float = 0.0
    ceiling_burst: float = 0.0
    ceiling_slack: float = 0.0
    excess_worth: float = 0.0
    overrun_cost: float = 0.0


@dataclass(frozen=True, slots=True)
class Settings:
    me: int
    limiters: int
    zone: int
    classes: tuple[RequestClass, ...]
    plans: tuple[Plan, ...]
    counter: bool
    counter_wait: float
    max_units: int
    settles_later: bool
    meter_period: float
    ask_discovery: bool
    cancel: bool
    parallel: bool
    probes: bool
    retry_after: bool
    max_retry_after: float
    max_attempts: int
    answer_slack: float
    cold_share: float
    warm_up: float
    fall_multiple: float
    fall_span: float
    price_cross_zone: float = 0.0
    price_waste: float = 0.0
    price_late: float = 0.0
    peers: bool = False
    inbox: float = 0.0
    """Messages a second that a limiter takes in from all others."""


# ---- messages between limiters -----------------------------------------------------------------


@dataclass(frozen=True, slots=True)
class Use:
    """Units of a customer that a limiter let in; `counted` if the counter was told of them."""

    customer: int
    plan: int
    units: int
    counted: bool


# ---- events ---------------------------------------------------------------------------------


@dataclass(frozen=True, slots=True)
class Server:
    name: str
    zone: int
    kind: int
    cell: int
    state: ServerState
    weight: float
    started: float
    """Time of the last start; 0 when that is long ago."""


@dataclass(frozen=True, slots=True)
class Members:
    kind: ListKind
    servers: tuple[Server, ...] = ()


@dataclass(frozen=True, slots=True)
class Request:
    id: int
    cls: int
    plan: int
    customer: int
    until: float
    units: int = 1
    entry_points: int = 1
    repeat: bool = False
    first: int = 0
    """The first of the limiters that the customer comes through; the others follow it, counted round."""
    coming: float = 0.0
    """Seconds that the rest of its body may still take to come; `until` counts from then."""


@dataclass(frozen=True, slots=True)
class Outcome:
    id: int
    attempt: int
    server: str
    status: Status
    took: float
    final: bool
    used: int = 0
    true_units: int = 0
    load: dict[str, float] = field(default_factory=dict)
    again: bool = True
    """Are all bytes of the request at hand, so that it can be sent once more?"""
    streamed: bool = False
    """It carried a body as that came (`Request.coming`): the time it took was its client's."""


@dataclass(frozen=True, slots=True)
class Opened:
    """The answer of a streamed request has started."""

    id: int
    attempt: int


@dataclass(frozen=True, slots=True)
class Counted:
    """The answer to one `Count`; answers for one name come in the order of the calls."""

    name: int
    status: Status
    total: float
    took: float


@dataclass(frozen=True, slots=True)
class Timer:
    tag: int


@dataclass(frozen=True, slots=True)
class Heard:
    """What another limiter let in; late, and some are lost."""

    sender: int
    uses: tuple[Use, ...]


@dataclass(frozen=True, slots=True)
class Maintenance:
    """An operator takes a server out (`offline`) or puts it back; it holds over lists until told again."""

    server: str
    offline: bool


Event = Heard | Members | Request | Outcome | Opened | ClientGone | Counted | Probed | Timer | Maintenance


# ---- actions --------------------------------------------------------------------------------


@dataclass(frozen=True, slots=True)
class Attempt:
    """Send a request to a server; `limit` 0 waits until the client gives up."""

    id: int
    server: str
    limit: float = 0.0


@dataclass(frozen=True, slots=True)
class Refuse:
    """Final answer: not now, trying again is harmless; `cause` is for the staff's counters."""

    id: int
    retry_after: float = 0.0
    cause: str = ""


@dataclass(frozen=True, slots=True)
class Fail:
    """Final answer: failed, nothing promised about the effect."""

    id: int


@dataclass(frozen=True, slots=True)
class Cancel:
    id: int
    attempt: int


@dataclass(frozen=True, slots=True)
class Count:
    """Add to a named number on the counter service; 0 only reads."""

    name: int
    amount: float
    ttl: float


@dataclass(frozen=True, slots=True)
class SetTimer:
    after: float
    tag: int


@dataclass(frozen=True, slots=True)
class Watch:
    """Subscribe to changes of the server list."""


@dataclass(frozen=True, slots=True)
class Probe:
    server: str


@dataclass(frozen=True, slots=True)
class Tell:
    """Tell another limiter what was let in; `USES_MOST` at most."""

    to: int
    uses: tuple[Use, ...]


Action = Tell | Attempt | Refuse | Fail | Cancel | Count | SetTimer | Watch | Probe
