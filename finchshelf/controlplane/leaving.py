"""How a control plane goes after SIGTERM: once the others hold what it holds, or once its time is up.

Owns the order of going. It must never keep a program that can do nothing more for the others, or go as a
member while another could take its place at once.
"""

from __future__ import annotations

import trio

from finchshelf.agreement.core import majority
from finchshelf.agreement.membership import anyone_stays
from finchshelf.controlplane.news import News
from finchshelf.controlplane.repair import Repair

LAST = 0.5  # s after SIGTERM in which calls still come and are answered; the others hear that it goes
MARGIN = 1.5  # s before SIGKILL by which it has gone
AGAIN = 0.1  # s between two looks at whether it may go


async def leave(news: News, repair: Repair, tolerance: float) -> bool:
    """Hands its place over; True once more than half of the members, it not counted, have on disk who they
    are and in memory what it knows of servers. `tolerance`: s from SIGTERM to SIGKILL."""
    # Danger: named a candidate still, it would be made a member again as soon as it is one no more.
    news.asking.counted = False
    with trio.move_on_after(tolerance - MARGIN):
        await trio.sleep(LAST)
        # Danger: alone, or behind a cut, it would wait for what can't come.
        while news.joined():
            me, now = news.register.me, news.clock.now()
            silent = news.cells.silent(me, now, news.register.disk_failing_s())
            spares = news.cells.candidates(me, False)
            # Danger: its own duty, where it is the first in the order, would name others beside it.
            news.register.leavers.hear([*me, news.cells.life], trio.current_time())
            await repair.mend(silent, spares, news.going)
            # Danger: gone while a spare could still take its place, it would leave one member less to lose.
            handed = not repair.to_mend(silent, spares, news.going)
            told = handed and await repair.settle(AGAIN, me, news.cells.life, news.going)
            decided = news.register.decided
            if decided is None or not anyone_stays(decided.members, silent, news.going()):
                # Danger: each of those that all go would wait for the others until its time is up.
                return told
            if told and known(news) and await repair.fence(me):
                return True
            await trio.sleep(AGAIN)
    return False


def known(news: News) -> bool:
    """Do more than half of the members, it not counted, have all that this one knows of servers? A drain that
    it has acknowledged may be held by it and one more alone."""
    decided, cells = news.register.decided, news.cells
    if decided is None:
        return True
    have = [
        one
        for one in cells.controls.values()
        if one.has >= cells.servers.prompt and one.address in {member.address for member in decided.members}
    ]
    return len(have) >= majority(len(decided.members))
