"""Run-time invariants: what must always hold, checked while the programs run, with violations counted.

Owns the catalogue of invariants and the count of violations. A check is a plain condition that its caller has
already computed; it never does I/O of its own, never raises and never ends a process. `docs/invariants.md`
shows the catalogue (`python -m finchshelf.invariants` prints it), and a test holds the two together.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

MOST_RECORDED = 100  # violations kept by `RECORDER`


@dataclass(frozen=True, slots=True)
class Invariant:
    """One promise in a form that running code can check.

    `name`: as in the metric and the log; `promise`: what must hold; `checked`: module and function that look
    at it; `cost`: what a look costs.
    """

    name: str
    promise: str
    checked: str
    cost: str


SINGLE_RUN = Invariant(
    "single-run",
    "A request that must not be repeated goes to no further server once it may have run.",
    "dataplane.core.Core.start",
    "two comparisons a try",
)
REFUSAL_NEVER_RAN = Invariant(
    "refusal-never-ran",
    "A non-repeatable request gets 408, 421, 429 or 503 only if it has not run and is at no server.",
    "dataplane.core.Core.answer",
    "one look-up an answer",
)
TRIALS_BOUND = Invariant(
    "trials-bound",
    "One request is sent to no more servers than its route's `trials`.",
    "dataplane.core.Core.start",
    "one comparison a try",
)
SERVICE_OF_ROUTE = Invariant(
    "service-of-route",
    "A request goes only to a known server of the service drawn from its route.",
    "dataplane.core.Core.start",
    "one look-up a try",
)
TARGET_STAYS = Invariant(
    "target-stays",
    "No try goes to a server that is known here to be leaving or gone.",
    "dataplane.core.Core.start",
    "one comparison a try",
)
REQUEST_ENDS = Invariant(
    "request-ends",
    "No request stays without a final answer beyond its deadline and a grace time.",
    "dataplane.core.Core.check_overdue",
    "one pass over open requests each 5 s",
)
CONFIGURATION_FORWARD = Invariant(
    "configuration-forward",
    "A data plane never replaces its configuration by one of an older slot.",
    "dataplane.core.Core.news",
    "one comparison a change",
)
GRANTS_WITHIN_RATE = Invariant(
    "grants-within-rate",
    "One holder grants a tenant no more than its rate and surge, plus what the quota rule tolerates.",
    "dataplane.counting.Counting.add",
    "one multiplication a grant",
)
ONE_VALUE_PER_SLOT = Invariant(
    "one-value-per-slot",
    "Two members never hold different decided values for one slot.",
    "controlplane.register.Register.learn",
    "one comparison a decided value that is heard",
)
TRANSITION_ENDS_ONCE = Invariant(
    "transition-ends-once",
    "A transition that is settled or reverted stays so, and one that is tracked is never forgotten.",
    "controlplane.register.Register.learn",
    "one comparison a decided value",
)
ACKNOWLEDGED_TRANSITION_IS_DECIDED = Invariant(
    "acknowledged-transition-is-decided",
    "An order for a new version is acknowledged only if the decided value known here holds it.",
    "controlplane.transitions.Begin.answer",
    "one comparison an acknowledgement",
)
VOTE_ON_DISK = Invariant(
    "vote-on-disk",
    "A promise or an acceptance leaves only after the state it leans on is on this member's disk.",
    "controlplane.register.Register.handle",
    "one comparison a vote",
)
PROMISE_NEVER_FALLS = Invariant(
    "promise-never-falls",
    "Within a slot and a disk's life the promised ballot never goes down.",
    "controlplane.register.Register.handle",
    "one comparison a message",
)
MEMBERS_CHANGE_BY_ONE = Invariant(
    "members-change-by-one",
    "Consecutive decided values replace, add or remove one member at most.",
    "controlplane.register.Register.told",
    "two set differences a decided value",
)
ACKNOWLEDGED_IS_DECIDED = Invariant(
    "acknowledged-is-decided",
    "An order is acknowledged only if the decided value known here has it as taken.",
    "controlplane.resources.Change.answer",
    "one look-up an order",
)
READS_NEVER_GO_BACK = Invariant(
    "reads-never-go-back",
    "Within a life a control plane answers no read by an older slot than it answered or acknowledged before.",
    "controlplane.resources.Observe.call",
    "one comparison a read",
)
DRAIN_HELD = Invariant(
    "drain-held",
    "A server's leaving is acknowledged only after more than half of the core holds it.",
    "controlplane.resources.Pulse.call",
    "one look-up a beat that says `decaying`",
)

CATALOGUE = (
    SINGLE_RUN,
    REFUSAL_NEVER_RAN,
    TRIALS_BOUND,
    SERVICE_OF_ROUTE,
    TARGET_STAYS,
    REQUEST_ENDS,
    CONFIGURATION_FORWARD,
    GRANTS_WITHIN_RATE,
    ONE_VALUE_PER_SLOT,
    TRANSITION_ENDS_ONCE,
    ACKNOWLEDGED_TRANSITION_IS_DECIDED,
    VOTE_ON_DISK,
    PROMISE_NEVER_FALLS,
    MEMBERS_CHANGE_BY_ONE,
    ACKNOWLEDGED_IS_DECIDED,
    READS_NEVER_GO_BACK,
    DRAIN_HELD,
)


@dataclass(frozen=True, slots=True)
class Violation:
    invariant: Invariant
    details: dict[str, Any]


class Recorder:
    """Violations of every monitor of this process; the test suite fails a test that leaves any here."""

    def __init__(self) -> None:
        self.violations: list[Violation] = []

    def add(self, violation: Violation) -> None:
        if len(self.violations) < MOST_RECORDED:
            self.violations.append(violation)

    def take(self) -> list[Violation]:
        """What was recorded since the last call."""
        found, self.violations = self.violations, []
        return found


RECORDER = Recorder()


class Monitor:
    """Counts the violations of one program and logs each invariant's violations, rate-limited by `rare`."""

    def __init__(self, rare: Callable[..., None]) -> None:
        self.rare = rare
        self.looks: Counter[str] = Counter()  # how often each was looked at
        self.violations: Counter[str] = Counter()

    def check(self, holds: bool, invariant: Invariant, **details: Any) -> bool:
        """Returns `holds`. `details` must be enough to explain a violation from the log alone."""
        self.looks[invariant.name] += 1
        if not holds:
            self.violations[invariant.name] += 1
            RECORDER.add(Violation(invariant, details))
            self.rare("invariant.violated", invariant=invariant.name, **details)
        return holds


def table() -> str:
    """The catalogue as the table of `docs/invariants.md`."""
    rows = ["| name | what must hold | checked in | cost |", "| --- | --- | --- | --- |"]
    rows += [f"| `{one.name}` | {one.promise} | `{one.checked}` | {one.cost} |" for one in CATALOGUE]
    return "\n".join(rows)


if __name__ == "__main__":
    print(table())
