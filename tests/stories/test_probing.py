"""What a data plane does about holders that leave its questions unanswered."""

from __future__ import annotations

from typing import Any
from unittest import mock

from finchshelf.counts.holder import KEEP
from finchshelf.dataplane.counting import Counting
from finchshelf.invariants import Monitor
from finchshelf.membership.records import Limiter
from finchshelf.membership.suspicion import FORGET_S, MISSES

LIST = {name: Limiter(name, 1, f"10.0.0.{n}", "z") for n, name in enumerate(("me", "gone", "other"))}


def asker(now: list[float]) -> Counting:
    """A data plane's counting, by a clock that the test turns."""
    owner: Any = mock.MagicMock()
    owner.clock.now = lambda: now[0]
    owner.telemetry.monitor = Monitor(mock.Mock())
    one = Counting("me", owner)
    one.wire = mock.Mock(port=1, ask=mock.Mock(side_effect=range(1, 1000)))
    return one


# The same list told again refreshed no suspicion: one gone for good was probed for ever.
def test_given_a_suspect_gone_for_good_when_the_list_stays_the_same_then_it_is_probed_no_more() -> None:
    now = [0.0]
    one = asker(now)
    one.listed(LIST, 0.0)
    one.probing.late(LIST["gone"], "t", 0.0)
    for number in range(1, MISSES + 1):
        one.probing.overdue(number, 0.0)
    assert one.probing.report(0.0) == [("gone", 1)]
    without = {name: limiter for name, limiter in LIST.items() if name != "gone"}
    while now[0] < KEEP + FORGET_S + 1:
        now[0] += 1.0
        one.listed(without, now[0])
    assert one.probing.report(now[0]) == []
    one.beat(now[0])
    assert not one.probing.targets and not one.probing.watcher.probes


def test_given_a_limiter_left_off_then_it_answers_probes_alone_until_it_is_back() -> None:
    now = [1.0]
    one = asker(now)
    tenants: Any = one.owner.configuration.tenants
    tenants.get = lambda name: mock.Mock(rate=10.0, surge=10.0)
    one.listed(LIST, 1.0)
    assert one.asked("t", 1.0, "10.0.0.2", 1, 1) is not None
    one.listed({name: limiter for name, limiter in LIST.items() if name != "me"}, 1.1)
    assert one.asked("t", 1.0, "10.0.0.2", 1, 1) is None
    assert one.asked("t", 1e-6, "10.0.0.2", 1, 1) == (False, 0.0)
    one.listed(LIST, 1.2)
    assert one.asked("t", 1.0, "10.0.0.2", 1, 1) is not None
