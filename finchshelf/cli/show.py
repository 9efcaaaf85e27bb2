"""What a running system knows, asked of its control planes over frames: rows for a table or for a script.

Owns the questions and how their answers become rows. It must never change anything at whom it asks, or
show a tenant's keys.
"""

from __future__ import annotations

from datetime import UTC, datetime
from typing import Any

import orjson
import trio

from finchshelf.agreement.core import Member, Value
from finchshelf.agreement.forms import FORM
from finchshelf.agreement.membership import may_go
from finchshelf.agreement.transitions import read_transitions
from finchshelf.configuration.document import Configuration, read_configuration
from finchshelf.counts.caller import Caller
from finchshelf.experience.board import read_verdict
from finchshelf.membership.records import Unfit, read_limiter, read_server
from finchshelf.transport.address import Address, address_of
from finchshelf.transport.frames import Link, Message, PeerError

LIMIT = 2.0  # s for one answer
SHOW: Message = {"op": "show", "form": FORM}
Row = dict[str, Any]


async def ask(address: Address, message: Message) -> Message:
    """One answer of one control plane; PeerError where there is none."""
    outcome: Message | PeerError
    async with trio.open_nursery() as nursery:
        try:
            outcome = await Link(address, nursery).ask("show", message, LIMIT)
        except PeerError as error:  # past the nursery, which would put it into a group
            outcome = error
        nursery.cancel_scope.cancel()
    if isinstance(outcome, PeerError):
        raise outcome
    return outcome


async def first(addresses: list[Address], message: Message) -> Message:
    """The answer of the first that gives one; PeerError of the last."""
    for address in addresses[:-1]:
        try:
            return await ask(address, message)
        except PeerError:
            continue
    return await ask(addresses[-1], message)


async def each(seen: Message, wanted: set[str]) -> dict[str, Message | PeerError]:
    """What each of these control planes tells itself, by address; those without an answer too."""
    found: dict[str, Message | PeerError] = {}

    async def one(text: str) -> None:
        try:
            found[text] = seen if text == seen["address"] else await ask(address_of(text), SHOW)
        except PeerError as error:
            found[text] = error

    async with trio.open_nursery() as nursery:
        for text in wanted:
            nursery.start_soon(one, text)
    return found


async def versions(addresses: list[Address]) -> list[Row]:
    """The version that each control plane has, by its own word."""
    seen = await first(addresses, SHOW)
    controls = [(seen["address"], seen["zone"]), *seen["controls"]]
    found, rows = await each(seen, {row[0] for row in controls}), list[Row]()
    for text, zone, *_ in controls:
        told, row = found[text], {"control": text, "zone": zone, "version": None, "slot": None}
        try:
            if isinstance(told, PeerError):
                row["state"] = f"silent: {told}"
            else:
                row |= {
                    "zone": told["zone"],
                    "version": f"{int(told['version']):08x}",
                    "slot": told["slot"],
                    "state": "up",
                }
        except (KeyError, TypeError, ValueError):
            row["state"] = "not understood"
        rows.append(row)
    return sorted(rows, key=lambda row: str(row["control"]))


async def members(addresses: list[Address]) -> list[Row]:
    """The members of the core by the newest that any of them knows: how long each has been silent, whether it
    votes by its own word, and whether it may be taken away now."""
    seen = await first(addresses, SHOW)
    asked = await each(seen, {row[0] for row in seen["members"]})
    found = {text: told for text, told in asked.items() if not isinstance(told, PeerError)}
    newest = max([seen, *found.values()], key=lambda told: int(told["slot"]))
    zones = {seen["address"]: (seen["zone"], 0.0)}
    zones |= {row[0]: (row[1], float(row[2])) for row in seen["controls"]}
    named = tuple(Member(address, disk) for address, disk in newest["members"])
    states = {member: standing(member, found.get(member.address), newest["slot"]) for member in named}
    free = may_go(named, frozenset(member for member, state in states.items() if state == "votes"))
    rows = []
    for member in named:
        zone, silent = zones.get(member.address, ("", float("inf")))
        # Whoever was never heard has been silent since long before the start.
        rows.append(
            {
                "member": member.address,
                "zone": zone,
                "disk": member.disk,
                "silent_s": round(silent, 3) if silent < 1e6 else None,
                "state": states[member],
                "may_go": member in free,
            }
        )
    return rows


def standing(member: Member, told: Message | None, newest: int) -> str:
    """What a member's own answer, None where there was none, makes of it."""
    if told is None:
        return "silent"
    if told["disk"] != member.disk:
        return "another disk"
    if told["slot"] < newest:
        return "behind"
    # Danger: one that heard too few yet doesn't know the drains that the others acknowledged.
    return "votes" if told.get("joined", True) else "alone"


async def servers(addresses: list[Address]) -> list[Row]:
    seen = await first(addresses, SHOW)
    records = sorted(
        (read_server(row, 0.0) for row in seen["servers"]), key=lambda one: (one.service, one.id)
    )
    # A control plane from before shared experience says nothing of it.
    verdicts = {one.server: one for one in map(read_verdict, seen.get("experience", ()))}

    def stands(name: str) -> Row:
        one = verdicts.get(name)
        if one is None:
            return {"share": 1.0, "stands": "full", "since": None, "by": None, "why": None}
        at = datetime.fromtimestamp(one.at, UTC).isoformat("T", "seconds")
        state = f"{one.state}, tried by {one.holder}" if one.holder else one.state
        return {"share": one.share, "stands": state, "since": at, "by": one.cell, "why": one.why or None}

    return [
        {
            "server": one.id,
            "service": one.service,
            "version": one.version or None,
            "zone": one.zone,
            "address": one.address,
            "slots": one.capacity,
            "state": "lost" if one.lost else one.mode,
            "beats": one.count,
            "cell": one.cell,
            **stands(one.id),
        }
        for one in records
    ]


async def transitions(addresses: list[Address]) -> list[Row]:
    """Orders for new versions, the last of each service, and the servers that there are of each version."""
    seen = await first(addresses, SHOW)
    servers = [read_server(row, 0.0) for row in seen["servers"]]
    return [
        {
            "service": one.service,
            "target": one.target,
            "mode": str(one.mode),
            "horizon_s": one.horizon_ms / 1000,
            "slot": one.number,
            "servers": sum(
                record.usable() and (record.service, record.version) == (one.service, one.target)
                for record in servers
            ),
            "withheld": " ".join(filter(one.withholds, [*one.reverted, one.target])) or None,
        }
        for one in read_transitions(seen.get("transitions", ()))
    ]


async def limiters(addresses: list[Address]) -> list[Row]:
    seen = await first(addresses, SHOW)
    return [
        {"limiter": one.node, "zone": one.zone, "host": one.host, "life": one.life}
        for one in map(read_limiter, seen["limiters"])
    ]


async def holders(addresses: list[Address]) -> list[Row]:
    """Which limiter holds which tenant's count, as the limiters work it out themselves."""
    seen = await first(addresses, SHOW)
    configuration = await current(addresses)
    names = [read_limiter(row).node for row in seen["limiters"]]
    if configuration is None or not names:
        return []
    caller = Caller(names[0], 0.0)
    caller.listed(names, 0.0)
    return [
        {
            "tenant": one.label,
            "holder": caller.holder(one.label),
            "rate_s": one.rate,
            "surge": one.surge,
            "share_s": round(one.rate / len(names), 3),
        }
        for one in sorted(configuration.tenants.values(), key=lambda one: one.label)
        if one.rate > 0
    ]


async def current(addresses: list[Address]) -> Configuration | None:
    """The newest configuration that one control plane knows; None while there is none."""
    # No `limiter` and no `control` in the question: who only looks must not be listed as one of them.
    told = await first(addresses, {"op": "news", "have": {}, "wait": 0.0})
    value = Value.unpack(told["value"]) if "value" in told else None
    if value is None or not value.document:
        return None
    return read_configuration(orjson.loads(value.document))


VIEWS = {
    "versions": versions,
    "members": members,
    "servers": servers,
    "limiters": limiters,
    "transitions": transitions,
    "holders": holders,
}


def rows(view: str, addresses: list[Address]) -> list[Row]:
    """The rows of a view; PeerError where no control plane answers, or not in a form that can be read."""
    try:
        return trio.run(VIEWS[view], addresses)
    except (Unfit, KeyError, TypeError, ValueError) as error:
        raise PeerError("show", str(addresses[0]), f"an answer of another form: {error!r:.200}") from None


def table(found: list[Row]) -> str:
    """Columns under their names, for a person."""
    if not found:
        return "none"
    names = list(found[0])
    cells = [names, *([("-" if row[name] is None else str(row[name])) for name in names] for row in found)]
    widths = [max(len(line[at]) for line in cells) for at in range(len(names))]
    padded = ([text.ljust(width) for text, width in zip(line, widths, strict=True)] for line in cells)
    return "\n".join("  ".join(line).rstrip() for line in padded)
