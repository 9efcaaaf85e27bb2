"""When a control plane may speak as one of the core, and how long a limiter may go by its word.

Owns the leases: contact with more than half of the members, what it allows and until when. Decisions only:
the steady clock's time is handed in. It must never take an answer for younger than it is.

Invariant: what a control plane says as current at `t`, more than half of the members that it knows of said
at `t - CONTROL_LEASE_S` or later; what a limiter goes by as current at `t`, a control plane said at
`t - LIMITER_LEASE_S` or later. So after a cut, once both have passed, nothing acts as current that the other
side has left behind (`docs/control.md`).
"""

from __future__ import annotations

from collections.abc import Collection, Hashable, Iterable, Mapping
from math import inf
from typing import TypeVar

# What a control plane is known by: its address together with its disk. Danger: a wiped disk answers at a
# member's address, and knows nothing of what was decided.
Identity = TypeVar("Identity", bound=Hashable)

DRIFT = 0.001  # of two steady clocks, one against the other, at most
CONTROL_LEASE_S = (
    1.1  # s after contact in which a control plane's word is the core's, and it acknowledges drains
)
# s after which callers are sent elsewhere: by now those beyond the cut name this one no more, and take the
# servers that only it hears for silent
OUT_OF_CONTACT_S = 2.0
LIMITER_LEASE_S = (
    1.4  # s for which a limiter goes by the word of a control plane: longer than one question waits
)
SETTLE_S = 1.5  # s in which a limiter that starts waits for the answer of a second control plane
# s without contact after which a core is taken for lost for good: a limiter that starts goes by what is told
# behind the cut: then old is better than nothing. Danger: before that, the others may live beyond the cut and
# decide; so it is longer than two of the cuts that operators met (16 to 22 s)
CUT_OFF_START_S = 45.0
UNDECIDED_S = 0.4  # s that a value may stay accepted with no word on whether it is decided


def spoke(sent: float, held: float) -> float:
    """A moment at which the peer had not yet given its answer. `held`: s for which the peer had the question,
    by its clock.

    Danger: an answer that lay in a buffer while this process stood still, or the network did, is as old as
    its question, whenever it is read."""
    return sent + max(0.0, held) * (1 - DRIFT)


def contact(
    members: Collection[Identity], me: Identity, spoken: Mapping[Identity, float], now: float
) -> float:
    """When more than half of the members were last in contact with this one, itself among them; -inf: never.

    Danger: who asks this one is no contact: behind a cut one way the others' questions still come, and what
    they know does not."""
    times = sorted((now if one == me else spoken.get(one, -inf) for one in members), reverse=True)
    return times[len(times) // 2] if times else -inf


def current(last: float, now: float) -> bool:
    """May a control plane whose last contact that was call its word the core's?"""
    return now - last <= CONTROL_LEASE_S * (1 - DRIFT)


def apart(last: float, now: float) -> bool:
    """Is it to send its callers elsewhere?"""
    return now - last > OUT_OF_CONTACT_S


def believed(said: float, now: float) -> bool:
    """Does a limiter still go by a control plane's word that it is in contact?"""
    return now - said < LIMITER_LEASE_S * (1 - DRIFT)


def out(words: Iterable[tuple[float, float]], now: float) -> float:
    """For how long has none of the control planes been in contact, by their own words? `words`: of each, when
    it spoke to the limiter last, and when it was in contact last, as it said.

    Danger: one of which nothing is heard may be back in contact by now; so one at least says so just now, and
    the last contact of any counts."""
    known = list(words)
    if not any(believed(said, now) for said, _ in known):
        return 0.0
    return now - max(last for _, last in known)


def may_begin(
    members: Collection[Identity], answered: Collection[Identity], told: bool, since: float, lost: float
) -> bool:
    """May a limiter that started serve by what it was told? `members`: by the newest value that it knows of,
    `answered`: control planes that did, `told`: by one in contact with the core, `since`: s since the first,
    `lost`: s for which none of them has been in contact (`out`).

    Danger: two that are cut off together both tell what the others have left behind."""
    majority = 2 * len(set(members) & set(answered)) > len(members) > 0
    if told or majority:
        return len(answered) >= 2 or since > SETTLE_S
    return bool(answered) and max(since, lost) > CUT_OFF_START_S
