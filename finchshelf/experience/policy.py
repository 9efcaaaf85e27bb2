"""The figures of shared experience, in one place, checked where they are made.

Owns each figure with its reason, and the switch. It must never be changed while a program runs.
"""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Policy:
    """`on` and `probes` are the switches of a data plane that is started without `--experience on|off` and
    `--probes N`."""

    on: bool = False
    # s after which what was seen is worth 1/e: requests take tenths of a second, spells last seconds
    forget: float = 3.0
    slow: float = 4.0  # times what the route takes elsewhere: a queue at a full server makes two or three
    slow_least: float = 0.15  # s beyond that usual time: less may be our own halts
    # of the good before a bad end that still counts, and at most: it may be another spell by now. By that,
    # three limiters with one bad end each, at once, make `eject_rate`; two do not.
    after_bad: float = 0.3
    after_bad_most: float = 1.0
    after_good: float = 0.8  # of the bad before a good end that still counts
    bad: float = 0.6  # weight from which a row says that its server is bad
    prompt: float = 0.03  # s that a bad end waits for more of them
    least: float = 0.2  # share that one witness alone can lower a server to
    lower: float = 2.2  # times what is bad of all seen, by which a share is lowered
    eject_rate: float = 0.45  # of what witnesses saw that is bad, from which a server is left by all
    eject_weight: float = 2.4  # that must be bad in all, and
    eject_witnesses: int = 2  # witnesses that must say so
    # of a service's capacity that stays in use, dead servers aside: 0.7 and what is too little to be told
    floor: float = 0.72
    zone_floor: float = 0.5  # of a zone's capacity of a service, where the zone has two servers or more
    most: float = 0.5  # of a service that may be called bad before it is the witness, or all of it
    dead: float = 1.0  # s of bad ends alone, at all limiters, from which a server gives no answers at all
    alone: int = 3  # servers in a row at which all ends are bad, from which a limiter doubts itself
    doubt: float = 5.0  # s that a doubted witness is not heard
    first_wait: float = 0.5  # s until the first trial; doubled by each fall
    trial_wait: float = 4.0  # s, most between two trials of one fall: a trial costs one further try
    most_wait: float = 60.0  # s, most that falls can make of it
    calm: float = 30.0  # s at full share after which one fall is forgotten
    grant: float = 1.5  # s that a trial is one limiter's
    bid_step: float = 0.2  # s between the bids of two limiters, in the order of rendezvous
    # rounds of trials in a row that begin with a probe, which alone can fail them; 0: none, as some sites
    # pay for each. The round after them goes without: a probe may lie either way
    probes: int = 0
    idle_rounds: int = 3  # trials that nobody could make (no repeatable request) before it rises untried
    good_trials: int = 2
    steps: tuple[float, ...] = (0.1, 0.25, 0.5)  # shares on the way back
    step: float = 0.5  # s at each, times the falls

    def __post_init__(self) -> None:
        shares = (
            self.after_bad,
            self.after_good,
            self.least,
            self.eject_rate,
            self.floor,
            self.zone_floor,
            self.most,
            *self.steps,
        )
        if not all(0.0 < one < 1.0 for one in shares) or list(self.steps) != sorted(self.steps):
            raise ValueError("experience: expected shares between 0 and 1, and steps that rise")
        times = (
            self.dead,
            self.forget,
            self.prompt,
            self.doubt,
            self.first_wait,
            self.grant,
            self.bid_step,
            self.step,
        )
        if min(times) <= 0 or self.trial_wait < self.first_wait or self.most_wait < self.trial_wait:
            raise ValueError("experience: expected times over 0, and waits that grow")
        if not 0 <= self.probes <= 100:
            raise ValueError("experience: expected 0 to 100 rounds with a probe")
        if self.eject_witnesses < 2 or self.slow <= 1 or min(self.good_trials, self.idle_rounds) < 1:
            raise ValueError("experience: expected two witnesses or more, and slow over 1")


DEFAULT = Policy()
