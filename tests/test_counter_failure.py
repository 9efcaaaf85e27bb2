"""The counter fails: breaker, fallback at the share, ceilings."""

import itertools
from dataclasses import replace

import pytest

from finchshelf.admission import interface as i
from finchshelf.admission.breaker import QUARANTINE, TRIP_AFTER, Breaker
from finchshelf.admission.limiter import Limiter
from tests.world import BASE, Ceiling, Counter, Gateway, attempts, counts, refusals, server, settings


def test_breaker_opens_on_consecutive_failures_and_probes() -> None:
    breaker = Breaker(seed=500, now=0.0)  # the middle of the quarantines
    for _ in range(TRIP_AFTER - 1):
        breaker.failure(10.0)
    assert breaker.allows(10.0)
    breaker.failure(10.0)
    assert not breaker.allows(10.0 + 0.99 * QUARANTINE)
    assert breaker.allows(10.0 + QUARANTINE)
    assert not breaker.allows(10.0 + QUARANTINE)  # one probe at a time
    breaker.failure(10.0 + QUARANTINE)  # the probe fails: a fresh quarantine
    assert not breaker.allows(10.0 + 1.99 * QUARANTINE)
    assert breaker.allows(10.0 + 2.01 * QUARANTINE)
    breaker.success(0.1, 12.1)
    assert breaker.allows(10.0 + 2.02 * QUARANTINE) and breaker.allows(10.0 + 2.02 * QUARANTINE)


@pytest.mark.parametrize("mode", ["refusing", "silent", "lands late"])
def test_fallback_lets_in_the_share(mode: str) -> None:
    counter = Counter()
    gate = Gateway(counter)
    counter.mode = mode
    let_in = sum(gate.serve(1000.0 + n * 0.01) for n in range(1000))  # 100 a second for 10 s
    assert 50 <= let_in <= 60  # 10 a second over 2 gateways, and one second's worth at the start
    assert counter.calls <= TRIP_AFTER + 10 / (0.75 * QUARANTINE)


def test_recovery_closes_the_breaker() -> None:
    counter = Counter()
    gate = Gateway(counter)
    counter.mode = "refusing"
    for n in range(10):
        gate.serve(1000.0 + n * 0.01)
    counter.mode = "up"
    assert not counts(gate.ask(1000.1 + 0.5 * QUARANTINE))
    assert counts(gate.ask(1006.0))
    assert any(counts(gate.ask(1006.1 + n * 0.1)) for n in range(2))


def test_use_during_a_failure_is_told_afterwards() -> None:
    counter = Counter()
    gate = Gateway(counter)
    counter.mode = "refusing"
    let_in = sum(gate.serve(1000.0 + n * 0.01) for n in range(20))
    counter.mode = "up"
    gate.serve(1006.0)
    assert sum(counter.numbers.values()) == let_in + 1


def test_fallback_serves_requests_larger_than_a_second_of_the_share() -> None:
    counter = Counter()
    counter.mode = "refusing"
    small = i.Plan(1.0, rate=1.0, burst=4.0)
    gate = Gateway(counter, settings(plans=(small,)))
    assert gate.serve(1000.0, units=4)
    assert not gate.serve(1001.0, units=4)
    assert gate.serve(1010.0, units=4)


def test_stalled_limiter_answers_a_request_at_its_end_at_once() -> None:
    actions = Gateway(Counter()).ask(1000.0, until=1000.0)
    assert refusals(actions) and len(actions) == 1


@pytest.mark.parametrize("quota", [1.0, 10.0])  # with the larger one only the ceiling holds anything back
@pytest.mark.parametrize("modes", list(itertools.product(["up", "silent", "refusing"], repeat=2)))
def test_ceiling_holds_whatever_fails(modes: tuple[str, str], quota: float) -> None:
    """Several limiters at full blast, the counter changing and wiped, one limiter restarted."""
    counter = Counter()
    plan = replace(BASE.plans[2], rate=BASE.plans[2].rate * quota, burst=BASE.plans[2].burst * quota)
    config = replace(BASE, plans=(*BASE.plans[:2], plan))
    store = Ceiling(plan, 1000.0)
    gates = [Gateway(counter, config, seed=n) for n in (1, 2)]
    sent = 0
    for step in range(3000):
        now = 1000.0 + step * 0.01
        if step % 500 == 0:
            counter.mode = modes[step // 500 % 2]
            counter.numbers.clear()
        if step in (900, 1500):
            gates[0].restart(now)
        if 600 <= step < 890 or 1200 <= step < 1490:
            continue  # quiet: the store fills, so that a restart right after a burst can show
        for gate in gates:
            if gate.serve(now, plan=2, units=1 + step % 4):
                store.take(1 + step % 4, now)
                sent += 1
    assert sent > 50
    assert store.lowest >= -plan.ceiling_slack


def test_bursts_of_one_customer_do_not_jam_the_counter() -> None:
    """Twenty requests of one customer before the counter answers: only a few calls go out."""
    limiter = Limiter(BASE, 1, 1000.0)
    limiter.handle(i.Members(i.ListKind.CACHED, (server("a"), server("b"))), 1000.0)
    asked = [limiter.handle(i.Request(n, 0, 0, 7, 1004.0, 1, 2), 1000.0) for n in range(30)]
    calls = sum(len(counts(actions)) for actions in asked)
    assert 1 <= calls <= 5
    let_in = sum(len(attempts(actions)) for actions in asked)
    assert calls + let_in <= 20  # what is asked for and not yet answered is held back from the store


def test_restarted_limiter_falls_back_on_one_second_of_its_share() -> None:
    counter = Counter()
    counter.mode = "silent"
    gate = Gateway(counter)
    assert sum(gate.serve(1000.0) for _ in range(30)) == 5  # 10 a second over 2 gateways


def test_counter_that_fails_for_a_part_of_the_names_stays_in_use_for_the_rest() -> None:
    """One customer in four gets no answers: the others stay counted, it lives on its share."""
    counter = Counter()
    gate = Gateway(counter)
    let_in = {0: 0, 1: 0, 2: 0, 3: 0}
    for n in range(2000):
        customer = n % 4
        counter.mode = "silent" if customer == 0 else "up"
        let_in[customer] += gate.serve(1000.0 + n * 0.01, customer=customer)
    assert 90 <= let_in[0] <= 115  # 5 a second for 20 s and its first second
    for customer in (1, 2, 3):
        assert 200 <= let_in[customer] <= 225  # 10 a second and the burst


def test_counter_that_answers_now_and_then_keeps_near_the_quota() -> None:
    counter = Counter()
    gates = [Gateway(counter, seed=n) for n in (1, 2)]
    let_in = 0
    for n in range(2000):
        counter.mode = "up" if n // 7 % 2 else "lands late"
        let_in += gates[n % 2].serve(1000.0 + n * 0.01)
    assert 180 <= let_in <= 250  # 20 s at 10 a second, the burst, and what time-outs let through


def test_traffic_that_moves_to_another_gateway_finds_the_quota_used() -> None:
    counter = Counter()
    one, two = Gateway(counter, seed=1), Gateway(counter, seed=2)
    two.serve(1000.0)
    for n in range(500):
        one.serve(1000.0 + n * 0.01)
    moved = sum(two.serve(1005.0 + n * 0.01) for n in range(100))
    assert moved <= 10 + 10 + 2  # a second's refill, and half a burst that may have come back meanwhile


def test_name_that_expires_in_mid_use_grants_little() -> None:
    counter = Counter()
    gate = Gateway(counter)
    let_in = 0
    for n in range(1000):
        if n % 300 == 299:
            counter.numbers.clear()
        let_in += gate.serve(1000.0 + n * 0.01)
    assert let_in <= 20 + 100 + 3 * BASE.max_units


class CrowdedCounter(Counter):
    """Bears only so many calls a second; those beyond are answered too late."""

    def __init__(self, most: float) -> None:
        super().__init__()
        self.most, self.room, self.at, self.late, self.now = most, most / 10, 1000.0, 0, 1000.0

    def add(self, call: i.Count) -> i.Counted:
        self.room = min(self.most / 10, self.room + self.most * (self.now - self.at))
        self.at = self.now
        self.mode = "up" if self.room >= 1 else "lands late"
        self.room -= self.mode == "up"
        self.late += self.mode != "up"
        return super().add(call)


def test_crowded_counter_is_called_at_the_rate_that_it_bears() -> None:
    """200 requests a second of 40 customers, 50 calls a second borne: few calls fail, quotas are used."""
    counter = CrowdedCounter(50.0)
    gate, let_in, fell = Gateway(counter), 0, 0
    for n in range(4000):
        counter.now = 1000.0 + n * 0.005
        let_in += gate.serve(counter.now, customer=100 + n * 7 % 40)
        fell += gate.limiter.breaker.failures >= TRIP_AFTER
    assert counter.late < 0.2 * counter.calls and fell < 0.05 * 4000
    assert counter.calls > 0.6 * 50 * 20
    assert let_in > 0.95 * 4000  # 5 a second of each customer, with quotas of 10


def test_request_without_a_call_goes_by_the_store_only_while_that_is_known() -> None:
    counter = Counter()
    gate = Gateway(counter)
    assert gate.serve(1000.0, units=4)
    gate.limiter.breaker.spend = lambda now: False  # type: ignore[method-assign]
    calls = counter.calls
    assert [gate.serve(1000.5 + n * 0.001, units=4) for n in range(6)] == [True] * 5 + [False]  # the burst
    assert sum(gate.serve(1004.0 + n * 0.001) for n in range(20)) <= 11  # half a store, by the share
    assert counter.calls == calls


def test_many_limiters_leave_the_counter_room_and_late_answers_slow_down() -> None:
    """A counter that answers late is about to fail: a hundred limiters ask less before it does."""
    for limiters, least, most in ((100, 0.5, 2.0), (2, 25.0, 35.0)):
        breaker = Breaker(seed=1, now=0.0, limiters=limiters)
        for n in range(200):
            breaker.spend(n * 0.1)
            breaker.success(0.9, n * 0.1)
        assert least <= breaker.calls.rate <= most
        rate = breaker.calls.rate
        for n in range(100):
            breaker.success(0.1, 20.0 + n * 0.1)
        assert breaker.calls.rate > 3 * rate
