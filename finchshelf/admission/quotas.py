"""What one customer may still use: its counts, attempts out, fallback and ceiling (types: `interface.py`).
Never: a server looked at, a request decided. Tuned values first, each with its reason."""
from collections import deque
from dataclasses import dataclass

from finchshelf.admission import interface as i
from finchshelf.admission.breaker import Bucket

USUAL, NAME_LIFE = 8.0, 60.0  # s of others' use, averaged; the counter's longest for a name
WINDOW_BURSTS, UNKNOWN = 8.0, 0.5  # window in burst/rate; of the burst, what stands at an edge if not known
DEBT, GAUGE_AIMS = 0.5, 0.5  # bursts that a store may lack after others; life of a gauge in tightest aims
class RateCheck:  # a customer's quota store, rebuilt from the totals of the window's count
    # Exception to the fixed window: a total is read as a refilling store: an edge or a wipe grants nothing.
    def __init__(self, plan: i.Plan, customer: int, now: float) -> None:
        self.base, self.name = customer << 28, -1
        self.rate, self.burst, self.level, self.at = plan.rate, plan.burst, plan.burst * UNKNOWN, now
        self.window = min(WINDOW_BURSTS * plan.burst / plan.rate, NAME_LIFE / 2)
        self.index, self.seen, self.pace = -1, 0.0, 0.0  # pace: units a second that the others use
        self.usual, self.told, self.heard = 0.0, now - NAME_LIFE, 0.0  # heard: by peers since then
        self.owed = 0.0  # what the count was not told, or told too much; goes along with the next call
        self.unsure = 0.0  # adds of ours that timed out and may have landed
    def refill(self, now: float, spent: float) -> None:
        late = max(0.0, min(spent, self.burst)) / 2  # spent after the refill, as far as anyone can tell
        level = min(self.burst, self.level + self.rate * (now - self.at) - spent + late) - late
        # Danger: use told late (a failure's) empties a store for seconds; a quota takes nothing it lacks.
        self.level, self.at = max(level, -DEBT * self.burst), now
    def turn(self, now: float) -> None:
        index = int(now // self.window)
        if self.index < 0:
            self.at = min(self.at, index * self.window)
        elif index != self.index and index * self.window > self.at:  # the others' use so far is guessed
            self.refill(index * self.window, self.pace * (index * self.window - self.at))
        if index != self.index:
            self.index, self.seen, self.heard, self.name = index, 0.0, 0.0, self.base + (index << 1) % 2**28
    def now_level(self, now: float) -> float:
        return min(self.burst, self.level + self.rate * (now - self.at))
    def listen(self, use: i.Use, now: float) -> None:  # a total may have had it before, or will have it
        self.turn(now)
        known = min(use.units, max(0.0, -self.heard)) if use.counted else 0.0
        self.heard += use.units if use.counted else 0.0
        self.refill(now, use.units - known)
    def untold(self, now: float, peers: bool) -> float:  # the others' use since the last total
        return 0.0 if peers else self.usual * (now - self.told)
    def answered(self, step: float, total: float, largest: int, now: float) -> None:
        others = total - self.seen - step
        landed = min(self.unsure, max(0.0, others))
        self.unsure -= landed
        others = max(others - landed, -float(largest))  # a fall: others took back, or the numbers were lost
        span, self.told = now - max(self.told, self.index * self.window), now
        self.usual += (max(others, 0.0) - self.usual * span) / max(span, USUAL)
        self.pace += max(others, 0.0) / max(span, 1.0) - self.pace * min(1.0, span)
        self.seen, known = total, min(max(0.0, self.heard), max(0.0, others))
        self.heard = max(self.heard - max(0.0, others), -self.burst)
        self.refill(now, others - known)
class OpenCheck:
    """Attempts out at once, as a gauge whose names live a short window, as what has ended stands in it."""
    def __init__(self, cap: int, window: float, customer: int) -> None:
        self.cap, self.window, self.base, self.name = cap, window, (customer << 28) + 1, -1
        self.open, self.told, self.others = 0, 0.0, 0.0
        self.starts = deque[float](maxlen=cap)  # when other limiters told of an attempt
    def heard(self, now: float, span: float) -> int:  # how many of those are still out
        while self.starts and self.starts[0] < now - span:
            self.starts.popleft()
        return len(self.starts)
    def turn(self, now: float) -> None:
        name = self.base + (int(now // self.window) << 1) % 2**28
        self.name, self.told = name, self.told if name == self.name else 0.0
    def step(self, extra: int) -> float:
        step, self.told = self.open + extra - self.told, self.open + extra
        return step
    def answered(self, total: float) -> None:
        self.others = max(0.0, total - self.told)
        self.told = min(self.told, total)  # less than we told: the counter lost its numbers
@dataclass(slots=True)
class Call:  # one call to the counter that has not been answered
    name: int
    step: float
    request: int
    check: RateCheck | OpenCheck
    asked: float = 0.0  # the part of the step that is the request's own
    def owed(self, added: bool) -> float:  # what the count still has to hear if the request uses nothing
        return -self.asked if added else self.step - self.asked
class Customer:  # one customer's checks, fallback and ceiling
    def __init__(self, customer: int, number: int, s: i.Settings, now: float) -> None:
        self.plan, self.used, self.points = s.plans[number], now, 0
        plan, epoch = self.plan, GAUGE_AIMS * min(c.aim for c in s.classes)
        self.rate = RateCheck(plan, customer, now) if plan.rate > 0 else None
        self.open = OpenCheck(plan.open_cap, epoch, customer) if plan.open_cap > 0 else None
        self.fallback, self.ceiling = Bucket(0.0, 0.0, 0.0, now), Bucket(0.0, 0.0, 0.0, now)
    def enter(self, points: int, since: float) -> None:  # unused here since then; its first request tells
        plan, self.points, fill = self.plan, points, self.plan.rate / points
        self.fallback = Bucket(fill, fill, fill, since)
        # Bound of each limiter, in any span t: burst/share + t * rate/share; after a restart half the slack.
        rate, size, slack = (x / points for x in (plan.ceiling_rate, plan.ceiling_burst, plan.ceiling_slack))
        self.ceiling = Bucket(rate, size, slack / 2, since)
