"""What limiters tell each other: its form, whom it reaches, and what it changes."""

from __future__ import annotations

import io

import pytest

from finchshelf import peers
from finchshelf.admission import interface as i
from finchshelf.admission.limiter import PEER_SHARE
from finchshelf.drill.__main__ import Drill
from tests.world import Counter, Gateway, attempts, counts, settings

TOLD = {"peers": True, "inbox": 100.0, "limiters": 4}


def tells(gate: Gateway) -> list[i.Tell]:
    return [act for act in gate.log if isinstance(act, i.Tell)]


def test_message_keeps_what_it_says() -> None:
    uses = (i.Use(2**33 - 1, 0, 6, True), i.Use(7, 15, 1, False))
    assert peers.decode(peers.encode(uses), 16) == uses
    assert len(peers.encode(uses * 21)) <= 256


@pytest.mark.parametrize("body", ["", "00", "ffffffffffff", "000000000000", "00" * 264, "0000000380010a"])
def test_what_is_no_message_says_nothing(body: str) -> None:
    assert peers.decode(bytes.fromhex(body), 3) == ()


def test_adapter_carries_messages_and_bears_garbage() -> None:
    said = peers.encode((i.Use(7, 0, 2, False),)).hex()
    setup = (
        '{"balancers": 2, "lanes": [{"name": "a", "semantics": "retryable",'
        ' "worth": 1}], "contracts": [{"name": "b", "refill": 10, "most-at-once": 20, "price": 1}],'
        ' "ceilings": {"peers": true}, "family-info": {"inbox-per-s": 40}}'
    )
    lines = [
        "BEGIN_BATCH sim-time=1000",
        f"OPEN_INSTANCE limiter=0 nonce64=1 setup={setup}",
        "REGISTER buffer=0 rows=1",
        "M server=s",
        "ROSTER_CHANGE limiter=0 form=2 version=1 buffer=0",
        f"WHISPER limiter=0 neighbour=1 body={said}",
        "WHISPER limiter=0 neighbour=1 body=-",
        "WHISPER limiter=0 neighbour=1 body=68692037",
        "EOF_BATCH",
    ]
    sink, drill = io.StringIO(), Drill()
    drill.run(io.StringIO("\n".join(lines) + "\n"), sink)
    assert sink.getvalue() == "FINISHED\n"
    rate = drill.limiters[0].customers[7].rate
    assert rate is not None and rate.level == pytest.approx(18.0, abs=0.1)


def test_those_that_share_a_customer_are_told_and_nobody_else() -> None:
    gate = Gateway(Counter(), settings(me=1, **TOLD))
    gate.feed(i.Request(1, 0, 0, 7, 1004.0, 2, 3, False, 3), 1000.0)  # comes through 3, 0 and 1
    assert [(act.to, act.uses) for act in tells(gate)] == [
        (3, (i.Use(7, 0, 2, True),)),
        (0, (i.Use(7, 0, 2, True),)),
    ]
    alone = Gateway(Counter(), settings(me=1, limiters=4))
    alone.feed(i.Request(1, 0, 0, 7, 1004.0, 2, 3, False, 3), 1000.0)
    assert not tells(alone)  # messages are not allowed


def test_nobody_is_told_more_than_inboxes_take() -> None:
    gate = Gateway(Counter(), settings(me=0, peers=True, inbox=10.0, limiters=50))
    for n in range(1000):
        gate.feed(i.Request(n, 0, 3, n, 1015.0, 1, 50, False, 0), 1000.0 + n * 0.01)
    assert 50 <= len(tells(gate)) <= 10 * 10 * PEER_SHARE + 5


def test_use_is_counted_once_whether_the_total_or_the_message_comes_first() -> None:
    """Others' counted use is in the next total; what the counter was not told is in no total."""
    for order in ("message first", "total first"):
        counter = Counter()
        gate = Gateway(counter, settings(**TOLD))
        gate.serve(1000.0)
        rate = gate.limiter.customers[7].rate
        assert rate is not None
        name = next(iter(counter.numbers))
        counter.numbers[name] += 9.0
        if order == "message first":
            gate.feed(i.Heard(1, (i.Use(7, 0, 9, True),)), 1000.0)
            assert rate.level == 10.0
        gate.serve(1000.0)
        assert rate.level == 9.0
        gate.feed(i.Heard(1, (i.Use(7, 0, 9, True),)), 1000.0) if order == "total first" else None
        assert rate.level == 9.0
        gate.feed(i.Heard(1, (i.Use(7, 0, 3, False),)), 1000.0)
        gate.serve(1000.0)
        assert rate.level == 5.0


def test_requests_without_a_call_keep_to_a_quota_that_others_tell_of() -> None:
    """The counter is too crowded for a call; what the others let in is known all the same."""
    gates = []
    for told in (False, True):
        gate = Gateway(Counter(), settings(**TOLD))
        gate.limiter.breaker.spend = lambda now: False  # type: ignore[method-assign]
        for n in range(30 if told else 0):
            gate.feed(i.Heard(1, (i.Use(7, 0, 1, False),)), 1000.0 + n * 0.01)
        gates.append(sum(gate.serve(1000.31 + n * 0.001) for n in range(10)))
    assert gates == [10, 0]


def test_attempts_that_others_tell_of_count_against_a_cap() -> None:
    gate = Gateway(Counter(), settings(**TOLD))
    gate.limiter.breaker.spend = lambda now: False  # type: ignore[method-assign]
    assert gate.serve(1000.0, plan=1)
    gate.feed(i.Heard(1, (i.Use(7, 1, 1, True), i.Use(7, 1, 1, False))), 1000.5)
    assert not attempts(gate.ask(1000.51, plan=1))
    assert attempts(gate.ask(1002.0, plan=1))  # they have ended by now


def test_lost_messages_leave_the_count() -> None:
    """None arrives: each request is asked for as ever."""
    counter = Counter()
    gates = [Gateway(counter, settings(me=n, **TOLD), seed=n + 1) for n in (0, 1)]
    let_in = sum(gates[n % 2].serve(1000.0 + n * 0.001) for n in range(100))
    assert 19 <= let_in <= 22 and counter.calls >= 100
    assert counts(gates[0].ask(1001.0))
