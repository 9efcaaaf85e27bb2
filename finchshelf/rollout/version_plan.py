"""The steps of a transition: when a version is tried, when all requests move to it, when it is settled.

Owns the order of the steps and the times between them. Decisions only: what was seen is handed in. It must
never settle a version that was not proven by requests of each kind, or move requests to servers that can't
bear them.
"""

from __future__ import annotations

from dataclasses import dataclass

from finchshelf.agreement.transitions import Mode, Stage
from finchshelf.rollout.version_evidence import Judgement

# s before its term that a transition is reverted if it was not proven: for ballots, an operator's look, and
# the way of the order
REVERT_LEAD_S = 1.8
# s before its term at which requests move: late, as a version may turn bad after it looked good, and early
# enough that what is open at the former versions ends
MOVE_LEAD_S = 2.5
MOVE_LATEST_S = 1.9  # s before its term after which it is not begun any more
REPEATABLE_S = 1.2  # s that requests which may be repeated go first
OPEN_LEAST_S, OPEN_MOST_S = 0.8, 2.5  # s that a move takes: until nothing is open at the former versions
READY_PART = 0.9  # of the slots of the former versions that the target must have warm


@dataclass(frozen=True, slots=True)
class Standing:
    """What the driver sees of a transition. Times in s: `elapsed_s` since the order was known, `stage_s`
    since its stage was. `ready`: can the target bear all requests? `left`: do all limiters in touch go by
    this stage, with nothing open at the former versions? `calm`: did the target get some requests, and do
    no worse with them?"""

    horizon_s: float
    elapsed_s: float
    stage: Stage
    stage_s: float
    ready: bool
    left: bool
    judgement: Judgement
    calm: bool


Step = Stage | Mode


def next_step(now: Standing) -> Step | None:
    """The step that is due, if one is."""
    left_s = now.horizon_s - now.elapsed_s
    if now.judgement is Judgement.BAD:
        return Mode.REVERTED
    if now.stage is Stage.MOVING:
        done = now.left or now.stage_s >= OPEN_MOST_S
        return Mode.SETTLED if done and now.stage_s >= OPEN_LEAST_S else None
    if left_s <= min(REVERT_LEAD_S, now.horizon_s / 2):
        return Mode.REVERTED
    if now.stage is Stage.ALL:
        may_move = MOVE_LATEST_S <= left_s <= MOVE_LEAD_S and now.ready
        return Stage.MOVING if may_move and now.judgement is Judgement.GOOD else None
    if now.stage is Stage.HELD:
        return Stage.REPEATABLE if now.ready else None
    return Stage.ALL if now.stage_s >= REPEATABLE_S and now.calm else None
