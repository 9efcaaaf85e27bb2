"""Notes what a control plane's answers to our own processes take, by question and by who asked.

Owns the names of these counters. It must never look into an answer or hold one up.
"""

from __future__ import annotations

from collections.abc import MutableMapping

from finchshelf.controlplane.pacing import NewsLine
from finchshelf.controlplane.ranks import QUESTIONS
from finchshelf.transport.frames import Message, pack

ROW_BYTES = 80  # of a server or limiter that is told
FEW_ROWS = 16  # of which the size is reckoned by their number


def asker(question: Message) -> str:
    return "limiter" if "limiter" in question else "control"


class AnswerSizes:
    def __init__(self, count: MutableMapping[str, int], line: NewsLine) -> None:
        self.count, self.line = count, line

    def sent(self, question: Message, size: int) -> None:
        """A question was answered with so many bytes."""
        kind = question.get("op")
        # Danger: a counter for each word that a peer may send would grow without a bound.
        known = kind if isinstance(kind, str) and kind in QUESTIONS else "other"
        self.count[f"answers.{known}.{asker(question)}"] += 1
        self.count[f"answer_bytes.{known}.{asker(question)}"] += size
        if not (known == "news" and "limiter" in question):  # that is reckoned as its turn comes
            self.line.other(size)


def answer_size(answer: Message) -> int:
    """About how many bytes the lists in an answer take; 0 where there are none."""
    rows = sum(len(answer.get(part, ())) for part in ("servers", "limiters"))
    return rows * ROW_BYTES if rows <= FEW_ROWS else len(pack(answer))
