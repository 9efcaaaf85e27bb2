"""trio's run loop for days in memory: time that stands still while anybody can run, then leaps.

Owns the world's time and what is due when. It must never look at real sockets but for an interrupt, nor run
tasks in an order that the seed doesn't give. It stands on trio's inner parts, so on the pinned version.
"""

from __future__ import annotations

import heapq
import math
from collections.abc import Callable, Generator, Iterator
from contextlib import ExitStack, contextmanager
from typing import Any
from unittest import mock

import trio
from outcome import Error, Value
from trio._core import _run as trio_run
from trio._core._traps import CancelShieldedCheckpoint, WaitTaskRescheduled

LOOK = 4096  # rounds between two looks for an interrupt
STILL = 1.0  # s of real time in which nothing comes, with nothing due
VERSION = "0.35.0"


class Agenda(trio.abc.Clock):
    """The world's clock, and what happens at a time without a task of its own: flights, ends of sleep."""

    def __init__(self) -> None:
        self.time, self.count = 0.0, 0
        self.heap: list[tuple[float, int, Callable[[], None]]] = []

    def start_clock(self) -> None:
        pass

    def current_time(self) -> float:
        return self.time

    def deadline_to_sleep_time(self, deadline: float) -> float:
        raise AssertionError("nobody sleeps for real")

    def at(self, when: float, what: Callable[[], None]) -> None:
        self.count += 1
        heapq.heappush(self.heap, (when, self.count, what))

    def due(self) -> None:
        while self.heap and self.heap[0][0] <= self.time:
            heapq.heappop(self.heap)[2]()

    async def sleep_until(self, deadline: float) -> None:
        """As `trio.sleep_until`, without a cancel scope that ends by an exception."""
        if deadline <= self.time:
            return await trio.lowlevel.checkpoint()
        waiting: list[trio.lowlevel.Task] = [trio.lowlevel.current_task()]

        def wake() -> None:
            if waiting:
                trio_run.GLOBAL_RUN_CONTEXT.runner.reschedule(waiting.pop())

        def abort(_: object) -> trio.lowlevel.Abort:
            waiting.clear()
            return trio.lowlevel.Abort.SUCCEEDED

        if deadline < math.inf:
            self.at(deadline, wake)
        await trio.lowlevel.wait_task_rescheduled(abort)

    async def sleep(self, seconds: float) -> None:
        if not seconds >= 0:
            raise ValueError("`seconds` must be non-negative")
        await self.sleep_until(self.time + seconds)


def rounds(runner: Any, async_fn: Any, args: Any, *_: Any) -> Generator[float, Any, None]:
    """In the place of trio's `unrolled_run`: no instruments, no polls; one leap to the next time at which
    anything is due. Tasks of one round run in an order that the seeded generator gives, as trio's do."""
    if False:
        yield 0.0  # trio drives a generator, which here never asks for events
    agenda, queue, count = runner.clock, runner.runq, 0
    context, deadlines, shuffle = trio_run.GLOBAL_RUN_CONTEXT, runner.deadlines, trio_run._r.shuffle
    try:
        runner.entry_queue.wakeup.wakeup_on_signals()
        runner.init_task = runner.spawn_impl(runner.init, (async_fn, args), None, "<init>", system_task=True)
        while runner.tasks:
            count += 1
            if not queue:
                soonest = deadlines.next_deadline()
                if agenda.heap and agenda.heap[0][0] < soonest:
                    soonest = agenda.heap[0][0]
                if soonest < math.inf:
                    agenda.time = max(agenda.time, soonest)
                elif not look(runner, STILL):
                    raise AssertionError("the day stands still: everybody waits, and nothing is due")
            if count % LOOK == 0:
                look(runner, 0.0)
            agenda.due()
            deadlines.expire(agenda.time)
            batch = list(queue)
            queue.clear()
            if len(batch) > 1:
                batch.sort(key=number)
                shuffle(batch)
            while batch:
                step(runner, context, batch.pop())
    except trio.TrioInternalError:
        raise
    except BaseException as error:
        raise trio.TrioInternalError(f"the world's loop: {error!r}") from error
    finally:
        runner.close()
        context.__dict__.clear()
        if runner.ki_pending:
            runner.main_task_outcome = Error(KeyboardInterrupt())


def look(runner: Any, wait: float) -> bool:
    """trio's own call for a moment of its loop, or an interrupt, comes by a socket."""
    events = runner.io_manager.get_events(wait)
    runner.io_manager.process_events(events)
    return bool(events)


def number(task: Any) -> int:
    return int(task._counter)


def step(runner: Any, context: Any, task: Any) -> None:
    told = runner.instruments
    if "before_task_step" in told:
        told.call("before_task_step", task)
    advance(runner, context, task)
    if "after_task_step" in told:
        told.call("after_task_step", task)


def advance(runner: Any, context: Any, task: Any) -> None:
    context.task = task
    send, value = task._next_send_fn, task._next_send
    task._next_send_fn = task._next_send = None
    try:
        told = task.context.run(send, value)
    except StopIteration as stop:
        ended: Any = Value(stop.value)
    except BaseException as error:
        ended = Error(error)
    else:
        task._schedule_points += 1
        if told is CancelShieldedCheckpoint:
            runner.reschedule(task)
        elif type(told) is WaitTaskRescheduled:
            task._cancel_points += 1
            task._abort_func = told.abort_func
            if runner.ki_pending and task is runner.main_task:
                task._attempt_delivery_of_pending_ki()
            task._attempt_delivery_of_any_pending_cancel()
        else:
            raise AssertionError(f"{task}: {told!r}")
        del context.task
        return
    runner.task_exited(task, ended)
    del context.task


@contextmanager
def instead() -> Iterator[None]:
    """trio runs by this loop, and the programs sleep on the agenda of whoever runs."""
    assert trio.__version__ == VERSION, f"written for trio {VERSION}"

    def agenda() -> Agenda:
        found = trio_run.GLOBAL_RUN_CONTEXT.runner.clock
        assert isinstance(found, Agenda)
        return found

    with ExitStack() as stack:
        for owner, name, what in (
            (trio_run, "unrolled_run", rounds),
            (trio, "current_time", lambda: agenda().time),
            (trio, "sleep", lambda seconds: agenda().sleep(seconds)),
            (trio, "sleep_until", lambda deadline: agenda().sleep_until(deadline)),
        ):
            stack.enter_context(mock.patch.object(owner, name, what))
        yield
