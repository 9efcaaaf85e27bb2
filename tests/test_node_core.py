"""The core: one owner of the module, one time a turn, one answer a request whatever goes wrong."""

from __future__ import annotations

import os
import subprocess
import sys
from collections.abc import Callable
from dataclasses import dataclass, field

import pytest
import trio

from finchshelf.admission import interface as i
from finchshelf.node.core import Core
from finchshelf.node.items import Exchange, Listed
from finchshelf.transport.address import Address
from finchshelf.transport.exchange import Answer, Attempt, Clock, Ended
from finchshelf.transport.telemetry import Telemetry
from tests.stand_ins import Quiet, config, trio_test, until

ADDRESS = Address("127.0.0.1", 9)


@dataclass
class Servers:
    """Takes attempts down and runs none."""

    started: list[Attempt] = field(default_factory=list)
    forgotten: list[str] = field(default_factory=list)
    probed: list[str] = field(default_factory=list)

    def start(self, attempt: Attempt) -> None:
        self.started.append(attempt)

    def probe(self, server: str, address: Address) -> None:
        self.probed.append(server)

    def forget(self, server: str) -> None:
        self.forgotten.append(server)


class Told:
    """In the module's place: notes what it is told, says what the test wants."""

    def __init__(self, say: Callable[[i.Event], list[i.Action]]) -> None:
        self.say, self.events = say, list[tuple[i.Event, float]]()
        self.breaker = Core(config(), Clock(), Quiet()).limiter.breaker

    def start(self) -> list[i.Action]:
        return []

    def handle(self, event: i.Event, now: float) -> list[i.Action]:
        self.events.append((event, now))
        return self.say(event)


def made(say: Callable[[i.Event], list[i.Action]]) -> tuple[Core, Servers, Told]:
    core = Core(config(), Clock(), Quiet())
    servers, told = Servers(), Told(say)
    core.servers, core.limiter = servers, told  # type: ignore[assignment]
    listed = i.Members(i.ListKind.FULL, (i.Server("s0", 0, 0, 0, i.ServerState.READY, 1.0, 0.0),))
    core.turn([Listed(listed, {"s0": ADDRESS})])
    return core, servers, told


def exchange(core: Core, answers: list[Answer], budget: float = 5.0) -> Exchange:
    request = i.Request(core.next_id(), 0, 0, 7, core.clock.now() + budget)
    return Exchange(request, answers.append, b"GET", b"/look/0000000000000007", [], b"")


def send(event: i.Event) -> list[i.Action]:
    return [i.Attempt(event.id, "s0", 2.0)] if isinstance(event, i.Request) else []


def test_first_good_answer_is_the_only_one() -> None:
    core, servers, told = made(send)
    answers: list[Answer] = []
    core.turn([exchange(core, answers)])
    attempt = servers.started[0]
    assert attempt.limit == 2.0 and attempt.address == ADDRESS
    good = Answer(200, [], b"yes")
    core.turn([Ended(attempt, i.Status.OK, good)])
    assert answers == [good] and not core.live and not core.out
    outcome = told.events[-1][0]
    assert isinstance(outcome, i.Outcome) and outcome.final
    core.act([i.Refuse(attempt.exchange.id), i.Fail(attempt.exchange.id)], 0.0, core.limiter)
    assert answers == [good]


def test_answer_after_the_client_went_is_final_and_goes_nowhere() -> None:
    core, servers, told = made(send)
    answers: list[Answer] = []
    core.turn([exchange(core, answers)])
    attempt = servers.started[0]
    core.turn([i.ClientGone(attempt.exchange.id)])
    core.turn([i.ClientGone(attempt.exchange.id)])  # told once only
    core.turn([Ended(attempt, i.Status.OK, Answer(200, []))])
    kinds = [type(event) for event, _ in told.events]
    assert kinds == [i.Members, i.Request, i.ClientGone, i.Outcome]
    outcome = told.events[-1][0]
    assert isinstance(outcome, i.Outcome) and outcome.final and not answers


def test_limit_never_passes_the_clients_time() -> None:
    core, servers, _ = made(lambda e: [i.Attempt(e.id, "s0", 0.0)] if isinstance(e, i.Request) else [])
    core.turn([exchange(core, [], budget=0.7)])
    assert 0.5 < servers.started[0].limit <= 0.7


def test_all_events_of_a_turn_have_one_time_and_news_is_first() -> None:
    core, _, told = made(lambda event: [])
    gone = Listed(
        i.Members(i.ListKind.CHANGES, (i.Server("s0", 0, 0, 0, i.ServerState.DRAINING, 1.0, 0.0),)),
        {"s0": ADDRESS},
    )
    core.turn([exchange(core, []), exchange(core, []), gone])
    batch = told.events[1:]
    assert [type(event) for event, _ in batch] == [i.Members, i.Request, i.Request]
    assert len({now for _, now in batch}) == 1


def test_server_that_drains_or_goes_is_forgotten() -> None:
    core, servers, _ = made(lambda event: [])
    core.turn([Listed(i.Members(i.ListKind.FULL, ()), {})])
    assert servers.forgotten == ["s0"] and not core.addresses


@pytest.mark.parametrize(("state", "left"), [(i.ServerState.DRAINING, True), (i.ServerState.GONE, False)])
def test_change_of_one_server_is_kept_apart_from_the_others(state: i.ServerState, left: bool) -> None:
    core, servers, _ = made(lambda event: [])
    changed = i.Members(i.ListKind.CHANGES, (i.Server("s0", 0, 0, 0, state, 1.0, 0.0),))
    core.turn([Listed(changed, {"s0": ADDRESS} if left else {})])
    assert servers.forgotten == ["s0"] and ("s0" in core.addresses) is left


def test_refusal_is_429_with_a_time_and_failure_502() -> None:
    answers: list[Answer] = []
    core, _, _ = made(
        lambda e: [i.Refuse(e.id, 0.25)]
        if isinstance(e, i.Request) and e.id % 2
        else [i.Fail(e.id)]
        if isinstance(e, i.Request)
        else []
    )
    core.turn([exchange(core, answers), exchange(core, answers)])
    assert [a.status for a in answers] == [429, 502]
    assert dict(answers[0].headers)[b"Retry-After"] == b"0.250"


@trio_test
async def test_timers_come_back_in_their_order() -> None:
    timers: list[i.Action] = [i.SetTimer(0.06, 1), i.SetTimer(0.02, 2)]
    core, _, told = made(lambda event: timers if isinstance(event, i.Request) else [])
    async with trio.open_nursery() as nursery:
        nursery.start_soon(core.run)
        core.put(exchange(core, []))
        await until(lambda: len(told.events) == 4)
        nursery.cancel_scope.cancel()
    assert [event.tag for event, _ in told.events[2:] if isinstance(event, i.Timer)] == [2, 1]
    began = told.events[1][1]
    assert told.events[2][1] - began >= 0.02 and told.events[3][1] - began >= 0.06


@trio_test
async def test_request_that_everyone_forgot_is_answered_when_its_time_is_up() -> None:
    core, _, told = made(lambda event: [])
    answers: list[Answer] = []
    async with trio.open_nursery() as nursery:
        nursery.start_soon(core.run)
        core.put(exchange(core, answers, budget=0.05))
        await until(lambda: answers)
        nursery.cancel_scope.cancel()
    assert answers[0].status == 502 and isinstance(told.events[-1][0], i.ClientGone)
    assert core.count["overdue"] == 1 and not core.ends


def test_answered_requests_leave_nothing_to_wake_for() -> None:
    core, _, _ = made(lambda e: [i.Fail(e.id)] if isinstance(e, i.Request) else [])
    core.turn([exchange(core, []) for _ in range(50)])
    assert core.next_end() == float("inf") and not core.ends


def test_what_must_hold_is_asserted_in_debug_builds() -> None:
    telemetry = Quiet()
    assert telemetry.holds(True, "fine")
    with pytest.raises(AssertionError, match="never"):
        telemetry.holds(False, "never")


RELEASE = """
import sys
sys.path.insert(0, ".")
from tests.test_node_core import made, exchange
from finchshelf.admission import interface as i

def broken(event):
    if isinstance(event, i.Request):
        raise ValueError("no such thing")
    return []

core, servers, told = made(broken)
answers = []
core.turn([exchange(core, answers), exchange(core, answers)])
core.telemetry.holds(False, "never")
print([a.status for a in answers], core.count["core.error"], core.count["broken.never"], len(core.live))
"""


def test_release_builds_count_and_go_on() -> None:
    run = subprocess.run([sys.executable, "-O", "-c", RELEASE], capture_output=True, text=True, check=False)
    assert run.stdout == "[502, 502] 2 1 0\n", run.stderr


def test_log_is_one_json_line_an_event_and_counts_what_nobody_took(capfd: pytest.CaptureFixture[str]) -> None:
    telemetry = Telemetry("n0")
    for _ in range(3):
        telemetry.rare("again", where="here")
    telemetry.counters("asked", **{"now.requests": 2})
    lines = capfd.readouterr().err.splitlines()
    assert len(lines) == 2 and '"event":"again"' in lines[0] and '"so_far":1' in lines[0]
    assert '"again":3' in lines[1] and '"now.requests":2' in lines[1]
    lost = Telemetry("n0", sink=-1)
    lost.log("start")
    assert lost.count["log.lost"] == 1


def test_log_that_nobody_reads_does_not_stop_the_node() -> None:
    reader, writer = os.pipe()
    telemetry = Telemetry("n0", sink=writer)
    for _ in range(200):
        telemetry.log("error", trace="x" * 5000)
    taken = os.read(reader, 1 << 20).splitlines()
    assert telemetry.count["log.lost"] == 200 - len(taken) > 0
    assert all(len(line) < 4096 and line.endswith(b"}") for line in taken)
    os.close(reader)
    os.close(writer)
