"""The data plane's own answers to requests, and what they promise.

Owns their form and the last word on their truth. It must never let an answer promise that a request has not
run which may have, or change another one.
"""

from __future__ import annotations

from finchshelf.dataplane.dialect import MISDIRECTED, PROMISES, Request
from finchshelf.transport.exchange import Answer, Headers

NOTHING: Headers = [(b"Content-Length", b"0")]
NEVER_RAN = frozenset((*PROMISES, MISDIRECTED))  # statuses that promise it
STARTING_S = 0.2  # after which whoever came before the first configuration may come again
STALE_S = 0.001  # the same for who was refused by a configuration that is no longer in force
LEAST_AFTER_S = 0.001


def plain(status: int, headers: Headers | None = None) -> Answer:
    """An answer without a body."""
    return Answer(status, [*NOTHING, *(headers or [])])


def refusal(status: int, after_s: float) -> Answer:
    """An answer with the time after which its client may come again."""
    return plain(status, [(b"Retry-After", b"%.3f" % max(LEAST_AFTER_S, after_s))])


def truthful(request: Request, answer: Answer) -> Answer:
    """The answer; one that promises nothing in its place where it would promise that a request which may run
    once has not run, and a server may have begun it.

    Whoever decides on an answer sees to that; this stands behind them all."""
    once = request.route is not None and not request.route.repeatable
    if not (once and answer.status in NEVER_RAN and request.may_have_run):
        return answer
    if answer.more is not None:
        answer.more.close()  # Danger: nobody takes the rest, and its server would wait for good
    return plain(502)
