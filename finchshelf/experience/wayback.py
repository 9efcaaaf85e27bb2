"""The way back of a server that is left by all: who tries it, when, and how its share rises.

Owns one `Way` a server: its falls, the ballot for the trial, and the steps. No I/O and no clock. It must
never let two limiters hold one trial, or let a failure at one limiter go unnoticed by the others.
"""

from __future__ import annotations

from dataclasses import dataclass

from finchshelf.experience.policy import Policy

FULL, LOWERED, OUT, TRIAL, RISING = "full", "lowered", "out", "trial", "rising"


@dataclass(slots=True)
class Way:
    """Where one server stands."""

    state: str = FULL
    falls: int = 0
    tries: int = 0  # failed trials of this fall
    round: int = 0  # of the ballot: a grant of an older round is void
    holder: str = ""
    until: float = 0.0  # when the holder's grant ends
    next_at: float = 0.0
    good: int = 0
    idle: int = 0
    step: int = 0
    since: float = 0.0  # when this state began
    note: str = ""  # why it is in it, for the staff

    def share(self, policy: Policy) -> float:
        if self.state in (OUT, TRIAL):
            return 0.0
        return policy.steps[self.step] if self.state == RISING else 1.0

    def fell(self, policy: Policy, now: float, note: str = "") -> None:
        """Left by all, once more: each fall makes the way back longer, so flapping is slower."""
        self.falls, self.tries, self.idle = self.falls + 1, 0, 0
        self.note = f"fall {self.falls}: {note}"
        self.close(policy, now)

    def close(self, policy: Policy, now: float) -> None:
        falls = policy.first_wait * 2.0 ** min(self.falls - 1, 16)
        trials = min(policy.trial_wait, policy.first_wait * 2.0 ** min(self.tries, 16))
        self.state, self.holder, self.good, self.since = OUT, "", 0, now
        self.next_at = now + min(policy.most_wait, max(falls, trials))

    def look(self, policy: Policy, now: float) -> bool:
        """What time alone changes; True if it changed something."""
        if self.state == OUT and now >= self.next_at:
            self.state, self.holder, self.since, self.until = TRIAL, "", now, now + policy.grant
            self.round += 1
            return True
        if self.state == TRIAL and now >= self.until:
            # The holder said nothing (it may be dead, or had no request for it): another may win it.
            self.round, self.holder, self.until = self.round + 1, "", now + policy.grant
            self.idle += 1
            if self.idle >= policy.idle_rounds:
                self.rise(now, "nobody had a repeatable request to try it with")
            return True
        if self.state == RISING and now - self.since >= policy.step * max(1, min(self.falls, 8)):
            self.step, self.since = self.step + 1, now
            if self.step == len(policy.steps):
                self.state, self.step = FULL, 0
            return True
        if self.state == FULL and self.falls and now - self.since >= policy.calm:
            self.falls, self.since = self.falls - 1, now
        return False

    def rise(self, now: float, note: str = "") -> None:
        self.note = note
        self.state, self.holder, self.step, self.since, self.idle = RISING, "", 0, now, 0

    def bid(self, limiter: str, number: int, policy: Policy, now: float) -> bool:
        """A limiter wants the trial of this round; True if it has it. The first that asks wins it."""
        if self.state != TRIAL or number != self.round or now >= self.until:
            return False
        if self.holder and self.holder != limiter:
            return False
        self.holder, self.until = limiter, now + policy.grant
        return True

    def tried(self, limiter: str, number: int, well: bool, policy: Policy, now: float) -> bool:
        """The holder's trial ended; True if that changed the state."""
        if self.state != TRIAL or limiter != self.holder or number != self.round:
            return False  # Danger: a holder that was silent too long speaks of another spell
        self.idle = 0
        if not well:
            self.tries += 1
            self.note = f"fall {self.falls}: trial {self.tries} failed at {limiter}"
            self.close(policy, now)
            return True
        self.good, self.until = self.good + 1, now + policy.grant
        if self.good >= policy.good_trials:
            self.rise(now, f"{self.good} trials went well at {limiter}")
            return True
        return False
