"""A store of units (`Bucket`) and when the counter may be called (`Breaker`), for any program.
Never: anything else of the package imported, a clock read, I/O. Tuned values first, each with its reason."""
import math
from dataclasses import dataclass

TRIP_AFTER, QUARANTINE = 5, 1.0  # consecutive failures that open the breaker (design page); s that it is
STRAIN, STRAIN_SMOOTH = 0.05, 0.02  # share of failed calls, of about the last fifty, that spares the counter
CALLS_MOST, CALLS_LEAST, CALLS_AHEAD = 1000.0, 60.0, 0.25  # calls a second of one at most, of all at least
CALLS_BURST, CALL_QUICK, CALL_LATE = 2.0, 0.4, 0.8  # at once at least; shares of its wait: lets it grow, cuts
CALLS_GROW, CALLS_CUT, CUT_EVERY = 0.2, 0.85, 0.5  # their growth a second, step at a failure; s between cuts
MADE = 3.0  # s of our calls, averaged
@dataclass(slots=True)
class Bucket:  # a store of units; written only when a request is let in
    rate: float
    size: float
    level: float
    at: float
    def now_level(self, now: float) -> float:
        return min(self.size, self.level + self.rate * (now - self.at))
    def take(self, units: float, now: float) -> None:
        self.level, self.at = self.now_level(now) - units, now
class Breaker:
    """Consecutive failures open it; after a quarantine unlike the others' one call at a time is a probe."""
    def __init__(self, seed: int, now: float, limiters: int = 1) -> None:
        self.least, self.quarantine = CALLS_LEAST / max(1, limiters), QUARANTINE * (0.75 + seed % 1000 / 2000)
        self.failures, self.open_until, self.strain, self.made, self.made_at = 0, -math.inf, 0.0, 0.0, 0.0
        # Danger: a crowded counter opens all breakers and is crowded anew as they close. Calls have a rate.
        self.calls, self.cut_at = Bucket(CALLS_MOST, CALLS_MOST * CALLS_AHEAD, 0.0, -math.inf), -math.inf
        self.began = self.grown_at = now
    def allows(self, now: float) -> bool:
        if now < self.open_until:
            return False
        self.open_until = now + self.quarantine if self.failures >= TRIP_AFTER else self.open_until
        return True
    def spend(self, now: float) -> bool:  # is there a call left at the rate that the counter bears?
        if self.calls.now_level(now) < 1:
            return False
        self.calls.take(1, now)
        self.made, self.made_at = self.made * math.exp((self.made_at - now) / MADE) + 1 / MADE, now
        self.calls.size = max(CALLS_BURST, self.calls.rate * CALLS_AHEAD)
        return True
    def success(self, share: float, now: float) -> None:
        if share > CALL_LATE:
            self.slow_down(now)
        elif share < CALL_QUICK:
            grown = 1 + CALLS_GROW * min(1.0, now - self.grown_at)
            self.calls.rate = min(CALLS_MOST, self.calls.rate * grown)
        self.grown_at = now
        self.failures, self.open_until, self.strain = 0, -math.inf, self.strain * (1 - STRAIN_SMOOTH)
    def failure(self, now: float) -> None:
        self.failures, self.strain = self.failures + 1, self.strain + (1 - self.strain) * STRAIN_SMOOTH
        if self.failures >= TRIP_AFTER:
            self.open_until = now + self.quarantine
        else:
            self.slow_down(now)
    def slow_down(self, now: float) -> None:
        if now - self.cut_at > CUT_EVERY:
            made = self.made / (1 - math.exp((self.began - now - 0.1) / MADE))
            self.calls.rate, self.cut_at = max(self.least, min(self.calls.rate, made) * CALLS_CUT), now
