"""A periodic look or a timer that fails costs what it is about: the program goes on and tells the fault."""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from random import Random
from typing import Any, cast
from unittest import mock

import pytest
import trio
from trio.testing import MockClock

from finchshelf.controlplane.sweeps import MEND, SWEEP, Sweeps
from finchshelf.dataplane.answers import plain
from finchshelf.dataplane.core import Core
from finchshelf.dataplane.dialect import Request
from finchshelf.dataplane.timers import Due
from finchshelf.dataplane.tries import OVERDUE
from finchshelf.transport.address import Address
from finchshelf.transport.exchange import Answer, Arrived, Attempt
from finchshelf.transport.telemetry import Telemetry

DEADLINE_S = 0.2


def run(story: Callable[[], Awaitable[None]]) -> None:
    trio.run(story, clock=MockClock(autojump_threshold=0))


def request_of(number: int, answers: list[tuple[int, int]]) -> Request:
    def reply(answer: Answer) -> None:
        answers.append((number, answer.status))

    return Request(number, DEADLINE_S, reply, b"GET", b"/", [], b"", mark=b"one")


def test_given_a_timer_that_fails_when_others_are_due_then_all_requests_are_answered() -> None:
    async def story() -> None:
        # Given a data plane's core with two open requests
        clock: Any = mock.Mock(now=trio.current_time)
        core = Core("edge-1", "north", clock, Telemetry("edge-1", sink=-1), Random(1), 0.2, 0.0)
        core.servers, core.clients, core.counting.wire = mock.Mock(), mock.Mock(), mock.Mock()
        answers = list[tuple[int, int]]()
        for number in (1, 2):
            core.live[number] = request_of(number, answers)
            core.timer(DEADLINE_S, Due.END, number)
        # When the hedge of the first can't be carried out
        core.timer(DEADLINE_S / 2, Due.HEDGE, 1)
        with mock.patch.object(core, "hedge", side_effect=KeyError("no such server")):
            async with trio.open_nursery() as nursery:
                nursery.start_soon(core.run)
                await trio.sleep(DEADLINE_S * 2)
                nursery.cancel_scope.cancel()
        # Then that one is answered as failed, the other at its deadline, and the fault is told
        assert answers == [(1, 502), (2, 503)]
        assert core.telemetry.count["core.error"] == 1

    run(story)


def test_given_a_timer_that_fails_while_a_try_is_out_when_it_is_answered_then_the_try_is_called_off() -> None:
    # Given a request with one try at a server
    clock: Any = mock.Mock(now=lambda: 0.0)
    core = Core("edge-1", "north", clock, Telemetry("edge-1", sink=-1), Random(1), 0.2, 0.0)
    core.servers, core.clients, answers = mock.Mock(), mock.Mock(), list[tuple[int, int]]()
    request = core.live[1] = request_of(1, answers)
    attempt = Attempt(request, 0, "i-1", Address("127.0.0.1", 1), DEADLINE_S, 0.0, DEADLINE_S, 0.0)
    request.out[attempt.number] = attempt
    # When its timer fails
    core.fault(request, KeyError("no such server"))
    # Then its client has an answer that promises nothing, and no server goes on for it
    assert answers == [(1, 502)] and attempt.cancelled


def test_given_an_upload_that_has_come_when_its_server_reads_no_further_then_it_is_answered_in_time() -> None:
    """Guards against a client that waits beyond its deadline for as long as its body might have taken."""
    # Given an upload that might come for 30 s more, and whose one try is out
    now = 0.0
    clock: Any = mock.Mock(now=lambda: now)
    core = Core("edge-1", "north", clock, Telemetry("edge-1", sink=-1), Random(1), 0.2, 0.0)
    core.servers, core.clients, answers = mock.Mock(), mock.Mock(), list[tuple[int, int]]()
    request = core.live[1] = request_of(1, answers)
    request.until, request.wait = 30.0 + DEADLINE_S, DEADLINE_S
    core.timer(request.until + OVERDUE, Due.END, 1)
    attempt = Attempt(request, 0, "i-1", Address("127.0.0.1", 1), request.until, 0.0, request.until)
    request.out[attempt.number] = attempt
    # When its last byte is here after 1 s, and its server takes none of that
    now = 1.0
    request.arrived(now)
    core.take(Arrived(request), now)
    # Then its client hears at its deadline, counted from that byte, and the try is called off
    now = 1.0 + DEADLINE_S + 2 * OVERDUE
    for timer in core.timers.due(now):
        core.tick(timer, now)
    assert answers == [(1, 504)] and attempt.cancelled


def test_given_an_error_in_what_counts_an_answer_when_it_is_given_then_the_client_has_it() -> None:
    clock: Any = mock.Mock(now=lambda: 0.0)
    core = Core("edge-1", "north", clock, Telemetry("edge-1", sink=-1), Random(1), 0.2, 0.0)
    answers = list[tuple[int, int]]()
    request = core.live[1] = request_of(1, answers)
    with (
        mock.patch.object(core.failures, "ended", side_effect=KeyError("a cause that nobody thought of")),
        pytest.raises(KeyError),
    ):
        core.answer(request, plain(503), "refused.room")
    assert answers == [(1, 503)]


def test_given_a_halt_when_the_check_of_open_requests_is_late_then_it_calls_none_overdue_by_that() -> None:
    # Given a request whose end comes just after the check's own moment
    clock: Any = mock.Mock(now=lambda: 0.0)
    core = Core("edge-1", "north", clock, Telemetry("edge-1", sink=-1), Random(1), 0.2, 0.0)
    core.servers, core.clients, answers = mock.Mock(), mock.Mock(), list[tuple[int, int]]()
    core.live[1] = request_of(1, answers)
    core.timer(DEADLINE_S / 2, Due.CHECK, 0)
    core.timer(DEADLINE_S, Due.END, 1)
    # When the program stood still for seconds, and both are due
    for timer in core.timers.due(9.0):
        core.tick(timer, 9.0)
    # Then the request is answered, and no invariant is violated
    assert answers == [(1, 503)] and not core.telemetry.monitor.violations


@pytest.mark.parametrize(("task", "fails", "every"), [("sweep", "look", SWEEP), ("mend", "mend_once", MEND)])
def test_given_a_look_that_fails_when_the_next_is_due_then_it_is_made_and_the_fault_told(
    task: str, fails: str, every: float
) -> None:
    async def story() -> None:
        # Given a control plane's sweeps
        told = list[str]()
        news: Any = mock.Mock(log=lambda event, **_: told.append(event))
        clock: Any = mock.Mock(now=trio.current_time)
        sweeps = Sweeps(news, mock.Mock(), mock.Mock(), mock.Mock(), clock, Random(1))
        looks = list[float]()

        def look(*_: object) -> Any:
            looks.append(trio.current_time())
            raise ValueError("a row that nobody thought of")

        # When each look fails
        words = (("10.0.0.1:7660",),) if task == "mend" else ()
        with mock.patch.object(sweeps, fails, look, create=True):
            async with trio.open_nursery() as nursery:
                nursery.start_soon(cast(Any, getattr(sweeps, task)), *words)
                await trio.sleep(every * 6)
                nursery.cancel_scope.cancel()
        # Then the program goes on, looks again and tells it
        assert len(looks) >= 3 and set(told) == {"sweep.error"}

    run(story)
