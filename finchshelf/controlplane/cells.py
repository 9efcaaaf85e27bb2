"""What the cells know: servers and limiters, who was heard when, and which control planes there are.

Owns the tables and their change numbers; decisions only, time is handed in. A cell is a zone's: its control
plane hears that zone's servers and limiters, and all cells tell each other. It must never call a server
gone because it has itself only just come up, or lose a drain that it was told of.
"""

from __future__ import annotations

import math
from dataclasses import dataclass, replace
from typing import Any

from finchshelf.agreement.core import Member
from finchshelf.agreement.membership import silence
from finchshelf.controlplane.versions import Versions
from finchshelf.experience.board import Board
from finchshelf.membership.listing import Listing
from finchshelf.membership.records import GONE, STABLE, Limiter, Server, Servers, read_server
from finchshelf.membership.suspicion import Life, Suspicions, Told, confirmed

# beats missed, and s more, after which a server is lost to whoever heard it last
LOST_BEATS, LOST_MORE = 3.0, 0.6
LIMITER_SILENT = 2.6  # s without a question after which a limiter is not listed: it asks each second
# s that a limiter whose connection ended has to come again: a dead process ends it at once
CLOSED_GRACE = 0.7
CONTROL_SILENT = 2.0  # s after which another control plane is not named to data planes
CONTROL_FORGET = 20.0  # s after which it is forgotten, unless it is a seed or a member
JUDGES = 2.0  # s that a control plane must have been up: unheard of others, it takes all servers for its own
YOUNG = 2.0  # s after its start in which a control plane takes all it has not heard yet for silent
GONE_KEPT = 60.0  # s that the record of a server that left is kept: late beats must find it
LOST_KEPT = 60.0  # s that the record of a server that is lost is kept, for the same reason
# s of the same where it had said that it leaves. Danger: alive behind a cut, it would be known as stable
# again by a late beat, after its drain was acknowledged
DRAIN_KEPT = 600.0
# s without a beat after which a drain is no longer known as acknowledged, and how many are known at most: one
# that is forgotten costs a round of questions at its next beat, no more
HELD_KEPT, MOST_HELD = 30.0, 4096


@dataclass(slots=True)
class Control:
    """Another control plane as this one knows it."""

    address: str
    zone: str = ""
    disk: str = ""
    counted: bool = False
    disk_failing_since: float = math.inf  # since when its disk takes no writes, as it says
    heard: float = -1e9
    spoke: float = -1e9  # a moment at which it had not yet answered our last question that it did answer
    life: int = 0
    since: float = -1e9  # when this life was first heard
    rev: int = -1
    has: int = -1  # the change of our servers' table that it has, by its own question
    own: int = -1
    named: int = -1
    verdicts: int = -1
    limiters: tuple[Limiter, ...] = ()
    suspicions: Told = ()  # of the limiters that ask there
    suspicions_rev: int = 0

    def run_on(self, disk: str) -> None:
        """It runs on that disk.

        Danger: what it said by another disk counts for nobody: a wiped one knows nothing of what it said."""
        if disk != self.disk:
            self.disk, self.spoke = disk, -math.inf


class Held:
    """Ids of the drains that more than half of the core holds, so that not each beat asks for it again.

    Danger: an id here stands for an acknowledgement. It must never be what a drain itself lasts by: that is
    the server's record, which stays whatever is forgotten here."""

    def __init__(self) -> None:
        self.beats: dict[str, float] = {}  # the last of each, the longest ago first

    def add(self, name: str, now: float) -> None:
        self.beats.pop(name, None)
        self.beats[name] = now
        while len(self.beats) > MOST_HELD or now - next(iter(self.beats.values())) > HELD_KEPT:
            del self.beats[next(iter(self.beats))]

    def known(self, name: str, now: float) -> bool:
        """Is it acknowledged? One that is beats on."""
        if now - self.beats.get(name, -math.inf) > HELD_KEPT:
            return False
        self.add(name, now)
        return True

    def forget(self, name: str) -> None:
        self.beats.pop(name, None)


class Cells:
    def __init__(self, address: str, zone: str, pulse: float, life: int, now: float) -> None:
        self.address, self.zone, self.pulse, self.life, self.began = address, zone, pulse, life, now
        self.servers = Servers()
        self.versions = Versions()
        self.board = Board(address)
        self.heard: dict[str, float] = {}  # servers that beat here last: when
        self.held = Held()
        self.left: dict[str, float] = {}  # servers that left: when
        self.lost: dict[str, float] = {}  # servers that are lost: since when that is known here
        # limiters that ask here: until when they are listed
        self.asked: dict[str, tuple[Limiter, float]] = {}
        self.own = Listing()  # of those
        self.listing = Listing()  # of all
        self.suspicions = Suspicions()  # of the limiters that ask here
        self.left_off: frozenset[Life] = frozenset()  # limiters that ask, and answer others nothing
        self.merged: tuple[Limiter, ...] = ()
        self.merged_of: tuple[Any, ...] = ()  # of which lists
        self.controls: dict[str, Control] = {}
        self.named: tuple[tuple[str, str], ...] = ((address, zone),)
        self.named_rev = 0

    # ---- servers ----

    def beat(self, record: Server, now: float) -> bool:
        """A beat that came here; True if others must hear of it at once."""
        before = self.servers.prompt
        self.put(replace(record, cell=self.address), now)
        known = self.servers.rows[record.id]
        if known.cell == self.address and known.count == record.count:
            # Danger: by a late copy of a beat, this one would wait for beats that go to another cell by now.
            self.heard[record.id] = now
        return self.servers.prompt > before

    def put(self, record: Server, now: float) -> bool:
        """Take a record if it is newer; True if others must hear of it."""
        self.versions.hear(record, now)
        return self.servers.put(record)

    def versions_in_use(self, service: str) -> set[str]:
        """The versions of its servers that may be sent requests, as far as they said one."""
        rows = self.servers.rows.values()
        return {one.version for one in rows if one.service == service and one.usable() and one.version}

    def depart(self, name: str, now: float) -> tuple[Server, bool]:
        """A server ends; True if others must hear of it at once."""
        known = self.servers.rows.get(name) or Server(name, "", "", "", 1)
        record, before = replace(known, mode=GONE), self.servers.prompt
        self.heard.pop(name, None)
        self.held.forget(name)
        self.left[name] = now
        self.servers.put(record)
        return record, self.servers.prompt > before

    def take(self, rows: list[Any], now: float) -> bool:
        """Records of another control plane: all of them can be read, or none is taken."""
        return self.merge_records([read_server(row, now) for row in rows], now)

    def merge_records(self, records: list[Server], now: float) -> bool:
        news, before = False, self.servers.prompt
        for record in records:
            known = self.servers.rows.get(record.id)
            if record.lost and known is not None and known.newer(record) and known.usable():
                self.servers.tell(record.id)  # someone takes it for lost by an older number: tell all again
                news = True
            if self.put(record, now):
                # Danger: a server that beats elsewhere by now is silent here, and no less alive.
                self.heard.pop(record.id, None)
                if record.cell == self.address and record.mode != GONE and not record.lost:
                    self.heard[record.id] = now  # before this process started: to be heard from now on
                if record.mode == GONE:
                    self.left.setdefault(record.id, now)
                elif record.lost:
                    self.lost[record.id] = now
        return news or self.servers.prompt > before

    def recall(self, rows: list[Any], now: float) -> int:
        """Servers that this control plane knew before it started again; any beat is newer. How many."""
        for row in rows:
            record = replace(read_server(row, now), cell=self.address)
            if not record.lost and self.put(record, now):
                # One that left is forgotten in time; any other is to be heard from now on.
                (self.left if record.mode == GONE else self.heard)[record.id] = now
        return len(self.heard)

    def silent_servers(self, now: float, in_touch: bool) -> bool:
        """Those that beat here last and no longer do are lost; True if there are such. `in_touch`: with more
        than half of the core."""
        if not in_touch:
            # Danger: a machine that is cut off hears nobody, and would tell those it still reaches that all
            # servers are lost. It waits, and once it is back gives them time to be heard.
            self.heard = dict.fromkeys(self.heard, now)
            return False
        least, news = now - self.pulse * LOST_BEATS - LOST_MORE, False
        named = {address for address, _ in self.named}
        for name, record in self.servers.rows.items():
            if record.usable() and name not in self.heard and record.cell not in named:
                self.heard[name] = now  # its cell is gone: whoever is left waits for its beats
        for name, at in list(self.heard.items()):
            known = self.servers.rows.get(name)
            if known is None or known.mode == GONE:
                del self.heard[name]
            elif at < least:
                del self.heard[name]
                self.lost[name] = now
                news |= self.servers.put(known.missed())
        for name, at in list(self.left.items()):
            if now - at > GONE_KEPT:
                del self.left[name]
                self.servers.drop(name)
        self.drop_lost(now)
        self.versions.forget(self.servers.rows.values())
        return news

    def drop_lost(self, now: float) -> None:
        """Forget servers that have been lost for so long that no beat of theirs can still be on its way."""
        for name, at in list(self.lost.items()):
            known = self.servers.rows.get(name)
            if known is None or not known.lost or known.mode == GONE:
                del self.lost[name]  # it beats again, or left: `left` keeps that
            elif now - at > (LOST_KEPT if known.mode == STABLE else DRAIN_KEPT):
                del self.lost[name]
                self.servers.drop(name)

    # ---- limiters ----

    def ask(self, limiter: Limiter, now: float) -> bool:
        """A limiter asked here; True if the list changed."""
        known = self.asked.get(limiter.node)
        if known is not None and known[0].life > limiter.life:
            return False
        self.asked[limiter.node] = limiter, now + LIMITER_SILENT
        if known is None or known[0] != limiter:
            self.own.put({node: one for node, (one, _) in self.asked.items()})
            return self.merge(now)
        return False

    def suspect(self, reporter: Limiter, lives: tuple[Life, ...], now: float) -> bool:
        """A limiter that asks here said whom it suspects; True if others must hear of it."""
        if not self.suspicions.report(reporter.node, lives, now):
            return False
        self.merge(now)
        return True

    def suspicions_of(self, control: Control, told: Told, rev: int, now: float) -> bool:
        """What limiters that ask another control plane suspect; True if the list changed."""
        control.suspicions, control.suspicions_rev = told, rev
        return self.merge(now)

    def closed(self, limiter: Limiter, now: float) -> None:
        """Its connection ended: the process did, or will come again at once."""
        known = self.asked.get(limiter.node)
        if known is not None and known[0].life == limiter.life:
            self.asked[limiter.node] = known[0], min(known[1], now + CLOSED_GRACE)

    def silent_limiters(self, now: float) -> bool:
        gone = [node for node, (_, until) in self.asked.items() if now > until]
        for node in gone:
            del self.asked[node]
        if gone:
            self.own.put({node: one for node, (one, _) in self.asked.items()})
        told = self.suspicions.renew(now)
        return self.merge(now) or told

    def merge(self, now: float) -> bool:
        """The limiters that ask any control plane that is heard, without those that answer others nothing;
        True if the list changed."""
        heard = [one for one in self.controls.values() if now - one.heard <= CONTROL_SILENT]
        lists = (
            self.own.rev,
            self.suspicions.rev,
            *((one.address, one.zone, one.limiters, one.suspicions) for one in heard),
        )
        if lists == self.merged_of:
            return False
        self.merged_of = lists
        found = dict(self.own.rows)
        for control in heard:
            for limiter in control.limiters:
                known = found.get(limiter.node)
                if known is None or known.life < limiter.life:
                    found[limiter.node] = limiter
        suspicions = [self.suspicions.told, *(one.suspicions for one in heard)]
        self.left_off = confirmed(suspicions, [(node, one.life) for node, one in found.items()])
        found = {node: one for node, one in found.items() if (node, one.life) not in self.left_off}
        named = tuple(sorted([(self.address, self.zone)] + [(one.address, one.zone) for one in heard]))
        news = self.listing.put(found)
        if news:
            self.merged = tuple(sorted(found.values(), key=lambda one: one.node))
        if named != self.named:
            self.named, self.named_rev, news = named, self.named_rev + 1, True
        return news

    # ---- experience ----

    def judge(self, now: float) -> bool:
        """Look anew at what limiters say of servers; True if others must hear of it."""
        if now - self.began < JUDGES:
            return False
        named = [address for address, _ in self.named]
        return self.board.look(self.servers.rows.values(), named, len(self.merged), now)

    # ---- control planes ----

    def meet(self, address: str) -> Control | None:
        """A control plane that someone named."""
        if address == self.address:
            return None
        return self.controls.setdefault(address, Control(address))

    def forget(self, keep: set[str], now: float) -> list[str]:
        gone = [
            one.address
            for one in self.controls.values()
            if one.address not in keep and now - max(one.heard, self.began) > CONTROL_FORGET
        ]
        for address in gone:
            del self.controls[address]
        return gone

    def hear(self, control: Control, now: float) -> None:
        control.heard = now

    def limiters_of(self, control: Control, limiters: tuple[Limiter, ...], own: int, now: float) -> bool:
        control.limiters, control.own = limiters, own
        return self.merge(now)

    def silent(self, me: Member, now: float, disk_failing_s: float = 0.0) -> dict[Member, float]:
        """Seconds for which each disk has been silent or useless; `disk_failing_s`: for which the own one
        takes no writes."""
        found = {
            Member(one.address, one.disk): silence(now - one.heard, now - one.disk_failing_since)
            for one in self.controls.values()
            if one.disk
        }
        return {**found, me: silence(0.0, disk_failing_s)}

    def lives(self) -> dict[str, int]:
        """The newest life of each control plane that was heard."""
        return {one.address: one.life for one in self.controls.values() if one.life}

    def young(self, address: str, now: float) -> bool:
        """Has it only just come up, this one or another? It leaves the members as they are."""
        control = self.controls.get(address)
        since = self.began if address == self.address else control.since if control is not None else -1e9
        return now - since < YOUNG

    def candidates(self, me: Member, counted: bool) -> tuple[Member, ...]:
        rows = [Member(one.address, one.disk) for one in self.controls.values() if one.disk and one.counted]
        return (*rows, me) if counted and me.disk else tuple(rows)
