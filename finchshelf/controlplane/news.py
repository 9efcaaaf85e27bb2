"""News between our processes: long questions with the version held, answered when there is news.

Owns the questions that come in and the event that wakes who waits for news. It must never decide which news
wins (`cells` and `register` do), or call its word the core's while it is cut off (`standing`).
"""

from __future__ import annotations

import math
from collections import defaultdict
from collections.abc import Callable, MutableMapping
from contextlib import suppress
from random import Random
from typing import TYPE_CHECKING, Any

import trio

from finchshelf.agreement.core import Member, Value
from finchshelf.agreement.forms import OLDEST_FORM, TRANSITIONS_FORM
from finchshelf.agreement.store import StoreError
from finchshelf.agreement.transitions import NO_TRANSITIONS, as_older_text_goes_by
from finchshelf.controlplane import shown, telling
from finchshelf.controlplane.answer_sizes import answer_size
from finchshelf.controlplane.asking import HOLD, Asking
from finchshelf.controlplane.cells import Cells, Control
from finchshelf.controlplane.forms import Forms
from finchshelf.controlplane.heard import number, place
from finchshelf.controlplane.members import Members
from finchshelf.controlplane.pacing import GATHER_S, NewsLine, Pace, gather_s
from finchshelf.controlplane.peers import Known
from finchshelf.controlplane.ranks import of_question
from finchshelf.controlplane.register import Register
from finchshelf.controlplane.standing import Standing
from finchshelf.controlplane.turns import Busy, Turns
from finchshelf.experience.board import owner
from finchshelf.experience.times import Times, read_times
from finchshelf.membership.records import (
    MOST_TEXT,
    Server,
    Unfit,
    read_limiter,
)
from finchshelf.membership.suspicion import pack_told, read_report
from finchshelf.rollout.evidence import Table
from finchshelf.transport.exchange import Clock
from finchshelf.transport.frames import Message, PeerError

if TYPE_CHECKING:
    from finchshelf.controlplane.version_reports import VersionReports

MOST_WAIT = 5.0  # s that a question may wait
LOOKS, LOOK_PART = 0.03, 10.0  # s between two judgements of servers, and times what one took
MOST_OLDER = 64  # control planes of an older text that are told of once
SILENT = 0.8  # s: a control plane that asks after as long has come up, perhaps, and can answer by now
MOST_ROWS = 48  # of servers told to a control plane at a time; it asks for more at once
RELAY = 0.3  # s for another cell to take what a limiter could not tell it itself


class News:
    def __init__(
        self,
        cells: Cells,
        clock: Clock,
        nursery: trio.Nursery,
        counted: bool,
        random: Random,
        log: Callable[..., None],
        turns: Turns,
    ) -> None:
        self.cells, self.clock, self.nursery = cells, clock, nursery
        self.turns = turns
        self.log = log
        self.register: Register
        self.members = Members(nursery, cells.address)
        self.forms, self.older = Forms(cells.address), set[str]()
        self.asking = Asking(self, cells, self.members, clock, nursery, counted, random, log)
        self.standing = Standing(cells, lambda: self.register.decided, lambda: self.register.me, random)
        self.event = trio.Event()
        self.times = Times()
        self.looking, self.look_at = False, 0.0
        self.version_reports_of: VersionReports | None = None
        self.table = Table()  # what data planes count while a roll-out watches
        self.count: MutableMapping[str, int] = defaultdict(int)
        self.line = NewsLine(Pace(math.inf))

    @property
    def version_reports(self) -> VersionReports:
        """What limiters that ask here tell of versions that are tried."""
        if self.version_reports_of is None:
            from finchshelf.controlplane import version_reports  # a start need not wait for it

            self.version_reports_of = version_reports.VersionReports()
        return self.version_reports_of

    def wake(self) -> None:
        event, self.event = self.event, trio.Event()
        event.set()

    # ---- questions that come in ----

    async def handle(self, message: Message) -> Message:
        """One question of a limiter or of another control plane, in its turn."""
        kind, came = message.get("op"), trio.current_time()
        try:
            await self.turns.begin(of_question(kind, "control" in message))
            return await self.answer(kind, message, came)
        except Busy:
            if "limiter" in message and kind == "news":
                # Danger: who only had to ask again would be taken off the list, and all be told a new one.
                self.note(message, self.clock.now())
            return {"error": "busy: ask another"}

    async def answer(self, kind: object, message: Message, came: float) -> Message:
        if kind == "news":
            return await self.answer_news(message, came)
        if kind == "agree":
            try:
                by = str(message.get("by", ""))
                reply = await self.register.handle(await self.members.whole(message["message"], by))
                return {"reply": self.members.slim(reply, by)}
            except (StoreError, PeerError) as error:
                return {"error": f"{error.step}: {error}"}
        if kind == "piece":
            return self.members.shelf.piece(message.get("document"), message.get("at"))
        if kind == "hold":
            if self.cells.take(message["rows"], self.clock.now()):
                self.wake()
            with trio.move_on_after(HOLD) as waiting:
                await self.asking.written()
            if waiting.cancelled_caught:
                return {"error": "hold: the disk takes nothing"}
            decided = self.register.decided
            return {"ok": True, "slot": decided.slot if decided else -1}
        if kind == "experience":
            return await self.experience(message)
        if kind == "show":
            me = self.register.me
            now = self.clock.now()
            return shown.show(message, self.cells, self.register.decided, me.disk, self.joined(), now)
        if kind == "evidence":
            if self.table.ask(message.get("aims", {}), self.clock.now()):
                self.wake()
            return shown.evidence(self.table, self.cells, self.register.decided)
        if kind == "versions":
            named = str(message["service"]), number(message["number"])
            return {"limiters": self.version_reports.told(*named, self.clock.now())}
        return {"error": f"no such question: {kind!r}"[:100]}

    async def answer_news(self, message: Message, came: float) -> Message:
        """`came`: when. Control planes count the time in line, or whoever asks a busy one would look cut off;
        limiters don't, or all would ask a busy one sooner."""
        now, have = self.clock.now(), message.get("have", {})
        wait = float(message.get("wait", 0.0))
        if not isinstance(have, dict) or not math.isfinite(wait):
            raise Unfit("read a question for news", "have, wait", "expected a table and a number")
        number(have.get("rev", -1)), number(have.get("slot", -1))
        self.note(message, now)  # after all else was read: who asks rubbish is not noted
        until = (came if "control" in message else trio.current_time()) + min(wait, MOST_WAIT)
        waited, had_turn = "", False
        while True:
            event, decided = self.event, self.register.decided_event
            since = trio.current_time() - self.register.decided_at
            if "control" in message and telling.under_way(
                self.register.decided, since, int(have.get("slot", -1))
            ):
                waited = str(message["control"][0])
            versioned = number(message.get("form", OLDEST_FORM)) >= TRANSITIONS_FORM
            answer = self.fresh(have, "limiter" in message, waited, versioned)
            if answer is not None and "limiter" in message and not had_turn:
                had_turn = True
                # Danger: all who start ask for all servers at once. Over a thin link each would give up
                # before its answer has come and ask again, for ever.
                if (size := answer_size(answer)) and self.line.waits(size):
                    await self.line.turn(size)
                    continue  # there may be newer news by now
            if answer is not None or trio.current_time() >= until:
                if answer is not None:
                    self.count_rows(answer, "limiter" if "limiter" in message else "control")
                    # Whoever asked knows by it how old the answer is; with nothing new it took its full time.
                    answer["held"] = int(1000 * (trio.current_time() - came))
                answer = answer or {"life": self.cells.life, "none": True}
                word = self.table.word(have.get("watch"), self.clock.now()) if "limiter" in message else None
                return answer if word is None else {**answer, "watch": word}
            waited = str(message["control"][0]) if "control" in message else ""
            with trio.move_on_at(until):
                await either(event, decided)
                await trio.sleep(GATHER_S if "control" in message else gather_s(len(self.cells.merged)))
                # News wakes all who wait for it; more of it gathers while they stand in line.
                await self.turns.begin(of_question("news", "control" in message))

    def count_rows(self, answer: Message, asker: str) -> None:
        self.count[f"news.rows.{asker}"] += len(answer.get("servers", ()))
        self.count[f"news.whole.{asker}"] += "whole" in answer

    async def experience(self, message: Message) -> Message:
        """What a limiter saw, the trials it asks for and how those went. What is another cell's goes on to it
        once: the limiter may not reach that cell."""
        cells, now, limiter = self.cells, self.clock.now(), str(message["limiter"])
        board, granted = cells.board, list[list[Any]]()
        board.tell(limiter, message.get("rows", ()), now)
        for server, trial, well in message.get("results", ()):
            board.tried(str(server), limiter, int(trial), bool(well), now)
        for server, trial in message.get("bids", ()):
            if board.bid(str(server), limiter, int(trial), now):
                granted.append([server, trial])
        self.look()
        if not message.get("relayed"):
            named, onward = [address for address, _ in cells.named], dict[str, Message]()
            for what in ("rows", "bids", "results"):
                for row in message.get(what, ()):
                    record = cells.servers.rows.get(str(row[0]))
                    to = owner(record.service, named) if record is not None else cells.address
                    if to != cells.address:
                        onward.setdefault(to, {}).setdefault(what, []).append(row)
            for to, part in onward.items():
                with suppress(PeerError):
                    answer = await self.members.link(to).ask(
                        "experience", {"op": "experience", "limiter": limiter, "relayed": True, **part}, RELAY
                    )
                    granted += answer.get("granted", ())
        return {"granted": granted}

    def look(self) -> None:
        """Judge servers soon: at once, unless that was done just now."""
        if not self.looking:
            self.looking = True
            self.nursery.start_soon(self.look_once)

    async def look_once(self) -> None:
        await trio.sleep(max(0.0, self.look_at - self.clock.now()))
        self.looking, began = False, self.clock.now()
        # Danger: one that is cut off hears few limiters, and owns all services as far as it knows. Its
        # verdicts would outlast the cut: the higher number wins.
        if self.joined() and self.cells.judge(began):
            self.wake()
        # Danger: where a whole service fails, all limiters speak of all servers all the time. Judging must
        # leave this program the time for beats, news and changes, or all would take it for dead.
        now = self.clock.now()
        self.look_at = now + max(LOOKS, LOOK_PART * (now - began))

    def note(self, message: Message, now: float) -> None:
        """Who asks is there."""
        if "limiter" in message:
            limiter, usual = read_limiter(message["limiter"]), read_times(message.get("usual", {}))
            suspects = read_report(message.get("suspects", []))
            if self.cells.ask(limiter, now) | self.cells.suspect(limiter, suspects, now):
                self.wake()
            if usual:
                self.times.take(limiter.node, usual, now)
            if "versions" in message:
                self.version_reports.take(limiter.node, message["versions"], now)
            if "seen" in message:
                self.table.take(limiter.node, limiter.life, message["seen"])
        elif "control" in message:
            address, zone, disk, counted = message["control"]
            place((address, zone))
            saved, failing_s = number(message.get("saved", -1)), number(message.get("failing", 0)) / 1000
            if not isinstance(disk, str) or len(disk) > MOST_TEXT:
                raise Unfit("read a question for news", "control", "expected the name of a disk")
            control = self.cells.meet(address)
            if control is not None:
                control.zone, control.counted = zone, bool(counted)
                control.run_on(disk)
                control.disk_failing_since = now - failing_s if failing_s > 0 else math.inf
                self.meet_form(address, number(message.get("form", 1)))
                have = message.get("have", {})
                control.has = int(have.get("rev", -1)) if have.get("life") == self.cells.life else -1
                if now - control.heard > SILENT:
                    self.register.rounds.meet()
                self.cells.hear(control, now)
                self.register.tell_newest(int(have.get("slot", -1)))
                self.register.witness.heard(address, disk, saved)
                self.follow(control)
                if self.cells.merge(now):
                    self.wake()

    def meet_form(self, address: str, form: int) -> None:
        """Danger: one of an older text, started after the others were renewed, would learn nothing and vote
        for nothing, and nobody would say so."""
        self.forms.heard(address, form)
        if not self.forms.unread(address, self.register.decided):
            self.older.discard(address)
        elif address not in self.older and len(self.older) < MOST_OLDER:
            self.older.add(address)
            self.log("core.older", peer=address, form=form)

    def newer(self, value: Value) -> bool:
        """May the value after this one be in the form that older texts don't read?"""
        return self.forms.newer(value, [address for address, _ in self.cells.named])

    def may_hold_transitions(self, value: Value) -> bool:
        """May the value after this one hold transitions?"""
        return self.forms.transitions(value, [address for address, _ in self.cells.named])

    def rows(self, records: list[Server], limiter: bool, versioned: bool) -> list[list[Any]]:
        """The records as the asker is told them."""
        now, decided = self.clock.now(), self.register.decided
        if not limiter:
            return [record.pack(now, versioned) for record in records]
        transitions, slot = (
            (decided.transitions, decided.slot) if decided is not None else (NO_TRANSITIONS, 0)
        )
        if not versioned:
            transitions = as_older_text_goes_by(transitions)
        told = (self.cells.versions.for_limiter(record, transitions, slot) for record in records)
        return [record.pack(now, versioned) for record in told if record is not None]

    def fresh(
        self, have: dict[str, Any], limiter: bool, waited: str = "", versioned: bool = False
    ) -> Message | None:
        """What the asker lacks, or None. `waited`: the control plane whose question waits since before.
        `versioned`: does it read the versions of servers?"""
        cells, now = self.cells, self.clock.now()
        same = have.get("life") == cells.life
        rev = int(have.get("rev", -1)) if same else -1
        answer: Message = {}
        lists = have.get("lists", True) is not False  # a limiter that starts needs them of few
        if lists and cells.servers.rev > rev and ((rows := cells.servers.since(rev, limiter)) or rev < 0):
            told = cells.servers.rev
            if not limiter and len(rows) > MOST_ROWS:
                # Danger: all of them in one answer, to each of the others at once, come too late over a thin
                # link. The first changes first, so that the number says what is known.
                rows = rows[-MOST_ROWS:]
                told = cells.servers.revs[rows[0].id]
            answer["servers"] = self.rows(rows, limiter, versioned)
            answer["rev"] = told
            if rev < 0:
                answer["whole"] = now - cells.began
        if not same:
            answer["disk"] = self.register.me.disk
        # Danger: in contact, but with a value not proved or known to be old, it tells none; and a limiter
        # that starts would take that for "nothing newer" than what one cut off told.
        joined = not limiter or (
            self.joined() and ((same and have.get("core") is True) or self.register.leads())
        )
        changed = limiter and (not same or have.get("core") != joined)
        if changed:
            answer["core"] = joined
            if not joined:
                answer["out"] = int(1000 * self.standing.out(now))
        if not same or changed or have.get("named") != cells.named_rev:
            # Danger: one that is cut off names its own side alone. A limiter that only knows this one would
            # never find those who have decided something else since.
            answer["controls"] = [list(one) for one in cells.named] if joined else self.standing.all()
            answer["named"] = cells.named_rev
        if lists and limiter and (not same or have.get("list") != cells.listing.rev):
            # One of an older text does not know differences.
            answer |= cells.listing.told(have.get("list") if same and "zip" in have else -1)
            answer["list"] = cells.listing.rev
        if not limiter and (not same or have.get("own") != cells.own.rev):
            answer |= cells.own.told(have.get("own") if same and "zip" in have else -1)
            answer["own"] = cells.own.rev
        if "verdicts" in have:  # Danger: one that does not know the word would be told of them for ever
            seen = max(0, int(have["verdicts"])) if same else 0
            if cells.board.rev > seen:
                answer["verdicts"] = cells.board.since(seen, not limiter)
                answer["verdictsRev"] = cells.board.rev
        if not limiter and cells.suspicions.rev != self.known_suspicions(have, same):
            answer["suspicions"] = pack_told(cells.suspicions.told)
            answer["suspicionsRev"] = cells.suspicions.rev
        if limiter and have.get("usual") and (usual := self.times.usual()):
            answer["usual"] = usual
        decided = self.register.decided
        if (
            decided is not None
            and decided.slot > int(have.get("slot", -1))
            and (not waited or telling.tells(decided, cells.address, waited))
            and (not limiter or self.register.leads())
        ):
            answer["value"] = self.members.shelf.pack(
                telling.for_limiter(decided, versioned) if limiter else decided, have
            )
        if not answer:
            return None
        return {"life": cells.life, **answer}

    def known_suspicions(self, have: dict[str, Any], same: bool) -> int:
        """The change of the suspicions that the asker has.

        Danger: one of an older text does not know the word, and would be told of them for ever."""
        if "suspicions" not in have:
            return self.cells.suspicions.rev
        return number(have["suspicions"]) if same else 0

    @property
    def known(self) -> Known:
        return self.register

    def core_members(self) -> set[str]:
        """The addresses of the core's members, by the newest value known here."""
        return self.standing.members()

    def joined(self) -> bool:
        """May this one speak for the core?"""
        return self.standing.joined(self.clock.now())

    def apart(self) -> bool:
        return self.standing.apart(self.clock.now())

    def going(self) -> frozenset[Member]:
        """Disks that said that they go, and have not come again since."""
        return self.register.leavers.going(self.cells.lives(), trio.current_time())

    async def hold(self, record: Server) -> bool:
        return await self.asking.hold(record)

    def follow(self, control: Control) -> None:
        """Ask it for news from now on."""
        self.asking.follow(control)


async def either(first: trio.Event, second: trio.Event) -> None:
    async def one(event: trio.Event) -> None:
        await event.wait()
        nursery.cancel_scope.cancel()

    async with trio.open_nursery() as nursery:
        nursery.start_soon(one, first)
        nursery.start_soon(one, second)
