"""What a control plane tells whoever only looks: the operator's `show`, and the evidence of a roll-out.

Owns these answers. It must never change anything.
"""

from __future__ import annotations

from finchshelf.agreement.core import Value
from finchshelf.agreement.forms import OLDEST_FORM, TRANSITIONS_FORM
from finchshelf.controlplane.cells import Cells
from finchshelf.controlplane.heard import number
from finchshelf.rollout.evidence import Table
from finchshelf.transport.frames import Message


def show(
    message: Message, cells: Cells, decided: Value | None, disk: str, joined: bool, now: float
) -> Message:
    """The answer to `show`. `joined`: may this one speak for the core?"""
    versioned = number(message.get("form", OLDEST_FORM)) >= TRANSITIONS_FORM
    return {
        "address": cells.address,
        "zone": cells.zone,
        "disk": disk,
        "slot": decided.slot if decided else -1,
        "version": decided.version if decided else 0,
        "joined": joined,
        "members": [list(member) for member in decided.members] if decided else [],
        "controls": [[one.address, one.zone, round(now - one.heard, 3)] for one in cells.controls.values()],
        "limiters": [one.pack() for one in cells.merged],
        "servers": [record.pack(now, versioned) for record in cells.servers.rows.values()],
        "transitions": [one.pack() for one in decided.transitions] if decided else [],
        "experience": cells.board.since(0, True),
    }


def evidence(table: Table, cells: Cells, decided: Value | None) -> Message:
    """The answer to a roll-out's question: what the data planes that ask here saw."""
    usable = sum(record.usable() for record in cells.servers.rows.values())
    return {
        "rows": table.rows(),
        "version": decided.version if decided else 0,
        "machines": usable + len(cells.merged),
    }
