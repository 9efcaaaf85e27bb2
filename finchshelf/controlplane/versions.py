"""Which servers a limiter is told of, by the versions of their software.

Owns when each version of a service was first heard of, which of them are known to need no transition, and
which were told to limiters. Decisions only: time is handed in.

Invariant: a limiter is never told of a usable server whose version a transition withholds, nor of one of a
version that is new beside another until the newest decided value was read after it was first heard of. It
must never keep an end, a drain or a loss from a limiter that may send requests there.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import replace

from finchshelf.agreement.transitions import Transitions, of_service, withheld
from finchshelf.membership.records import Server

# s that a version must have been known before another of its service to be in use without a look at the
# transitions: after a start all servers are heard within it, in any order
ESTABLISHED_S = 2.0
MOST_PAIRS = 4096  # of service and version that are remembered

Pair = tuple[str, str]  # a service and a version of it


def pair_of(record: Server) -> Pair:
    return record.service, record.version


class Versions:
    def __init__(self) -> None:
        self.heard_at: dict[str, dict[str, float]] = {}  # by service and version: when it was first heard of
        self.proved: set[Pair] = set()  # the newest value was read since
        self.shown: set[Pair] = set()  # a usable server of it was told to a limiter
        self.kept_back: set[Pair] = set()  # a usable server of it was not told to a limiter that asked

    def hear(self, record: Server, now: float) -> None:
        """A record came. One without a version says nothing: it is of an older text."""
        if record.version:
            versions = self.heard_at.setdefault(record.service, {})
            if record.version not in versions:
                versions[record.version] = now

    def unproved(self, transitions: Transitions) -> list[Pair]:
        """Versions that are new beside another one, with no look at the transitions since."""
        return [
            (service, version)
            for service, versions in self.heard_at.items()
            if len(versions) > 1
            for version in versions
            if self.is_unproved((service, version), transitions)
        ]

    def is_unproved(self, pair: Pair, transitions: Transitions) -> bool:
        service, version = pair
        versions = self.heard_at.get(service, {})
        if version not in versions or pair in self.proved:
            return False
        known = of_service(transitions, service)
        # Danger: after a loss of all, no server would be told of before the core is read.
        if known is not None and known.names(version):
            return False
        first = min((at for other, at in versions.items() if other != version), default=None)
        return first is not None and first < versions[version] + ESTABLISHED_S

    def prove(self, pairs: Iterable[Pair]) -> None:
        """A read of the newest decided value began after these were heard of, and ended."""
        self.proved.update(pairs)

    def for_limiter(self, record: Server, transitions: Transitions, slot: int) -> Server | None:
        """The record as a limiter is told it; None where it is not told of it. `slot`: of the decided value
        that has these transitions.

        A drain or an end is kept back only where no request may go to that version."""
        pair = pair_of(record)
        if withheld(transitions, *pair):
            # Danger: one that was told of before the order would be used on.
            if pair in self.shown:
                return record.missed() if record.usable() else record
            # Danger: all that came and went with a version would lengthen the lists of limiters that start.
            self.kept_back.add(pair)
            return None
        if not record.usable():
            return record
        if self.is_unproved(pair, transitions):
            self.kept_back.add(pair)
            return None
        self.shown.add(pair)
        one = of_service(transitions, record.service)
        # Danger: without the transition that allows it, a limiter would take the target for any other server.
        return replace(record, since=slot) if one is not None and one.target == record.version else record

    def changed(self, before: Transitions, now: Transitions) -> set[Pair]:
        """Versions of which limiters have to hear anew: what they were told, or not told, holds no longer.

        Danger: told of all servers whenever a control plane learns what is decided, limiters that all start
        at once would fill thin links."""
        withdrawn = {one for one in self.shown if withheld(now, *one) and not withheld(before, *one)}
        return withdrawn | self.allowed(now)

    def allowed(self, transitions: Transitions) -> set[Pair]:
        """Versions that were kept back and no longer are."""
        found = {
            one
            for one in self.kept_back
            if not withheld(transitions, *one) and not self.is_unproved(one, transitions)
        }
        self.kept_back -= found
        return found

    def forget(self, records: Iterable[Server]) -> None:
        """Where too many versions are known, keep those that these records are of."""
        if sum(map(len, self.heard_at.values())) <= MOST_PAIRS:
            return
        present = set(map(pair_of, records))
        self.heard_at = {
            service: kept
            for service, versions in self.heard_at.items()
            if (kept := {one: at for one, at in versions.items() if (service, one) in present})
        }
        self.proved &= present
        self.shown &= present
        self.kept_back &= present
