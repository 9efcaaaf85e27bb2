"""Who is worked for first when a control plane is asked more than it can do, and who is told so at once.

Owns the ranks, how long each may wait, and the line. Decisions only: time is handed in, and what an item is
does not matter. It must never keep anybody waiting longer than whoever asks would wait for the answer.
"""

from __future__ import annotations

import math
from collections import deque
from enum import IntEnum
from typing import Generic, TypeVar

T = TypeVar("T")


class Rank(IntEnum):
    OPERATOR = 0  # operators' calls and looks, and the agreement that they wait for
    DRAIN = 1  # servers that leave, and what control planes ask each other: by it they judge silence
    BEAT = 2
    NEWS = 3  # limiters' questions: they go on with what they know
    REST = 4


ROOM = 8  # items begun in one turn: few, so that who comes next is not behind all who came before
MOST = 2048  # items that wait, of all ranks: each holds a connection and a body
# s that an item may wait; servers and operators ask elsewhere after a second of silence
PATIENCE = (math.inf, 0.7, 0.6, 0.4, 0.2)
NEWER = 0.2  # the part of a turn's measure that the pace takes


class Line(Generic[T]):
    """Items by rank; a turn begins up to `ROOM` of them and ends when all those have run.

    Danger: what all ask again and again after a mass kill grows faster than it can be answered. Whoever would
    not be reached in time is shed when it comes, not when its time is over: it goes elsewhere."""

    def __init__(self) -> None:
        self.waiting: tuple[deque[tuple[float, T]], ...] = tuple(deque() for _ in Rank)
        self.begun, self.since = 0, 0.0  # this turn: items, and since when
        self.pace = 0.0  # s for an item, by the turns seen

    def __len__(self) -> int:
        return sum(map(len, self.waiting))

    def come(self, item: T, rank: Rank, now: float) -> tuple[bool, list[T]]:
        """Whether it begins at once, else it waits; and who is shed, this one perhaps."""
        if self.begun < ROOM and not len(self):
            self.since = self.since if self.begun else now
            self.begun += 1
            return True, []
        if sum(map(len, self.waiting[: rank + 1])) * self.pace > PATIENCE[rank]:
            return False, [item]
        self.waiting[rank].append((now, item))
        if len(self) <= MOST:
            return False, []
        lowest = next(line for line in reversed(self.waiting) if line)
        return False, [lowest.pop()[1]]

    def turn(self, now: float) -> tuple[list[T], list[T]]:
        """A turn ended: who begins in the next, and who is shed because it waited too long."""
        if self.begun:
            self.pace += NEWER * ((now - self.since) / self.begun - self.pace)
        begin, shed = list[T](), list[T]()
        for line, patience in zip(self.waiting, PATIENCE, strict=True):
            while line and now - line[0][0] > patience:
                shed.append(line.popleft()[1])
            while line and len(begin) < ROOM:
                begin.append(line.popleft()[1])
        self.begun, self.since = len(begin), now
        return begin, shed


CALLS = {
    "servers.departure": Rank.DRAIN,
    "setpoint.replace": Rank.OPERATOR,
    "setpoint.adjust": Rank.OPERATOR,
    "setpoint.observe": Rank.OPERATOR,
    "transitions.begin": Rank.OPERATOR,
    "transitions.observe": Rank.OPERATOR,
}
QUESTIONS = {
    "agree": Rank.OPERATOR,
    "show": Rank.OPERATOR,
    "hold": Rank.DRAIN,
    "news": Rank.NEWS,
    "piece": Rank.NEWS,
}


def of_call(name: str, body: bytes) -> Rank:
    """A call's rank before it is read: the word alone may raise a beat, and costs no more than a search."""
    if name == "servers.pulse":
        return Rank.DRAIN if b'"decaying"' in body else Rank.BEAT
    return CALLS.get(name, Rank.REST)


def of_question(kind: object, from_control: bool) -> Rank:
    """Danger: control planes that shed each other's questions would call each other silent."""
    return Rank.DRAIN if from_control else QUESTIONS.get(str(kind), Rank.REST)
