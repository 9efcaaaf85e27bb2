"""Follows the control plane: asks the own cell and one more for news, with the version it has.

Owns the links to control planes and what each of them told. It must never take an older configuration for a
newer one, or give up what is known because a control plane says nothing. What those say that are cut off from
the core is no list of limiters, and no configuration to begin with (`membership.contact`).
"""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Callable, MutableMapping
from random import Random
from typing import Any

import orjson
import trio

from finchshelf.agreement import parcel
from finchshelf.agreement.core import Member, Value
from finchshelf.agreement.forms import FORM
from finchshelf.configuration.document import Configuration, read_configuration
from finchshelf.dataplane import sources
from finchshelf.dataplane.news import News
from finchshelf.dataplane.sources import WAIT, MergedList, Source, read_control
from finchshelf.experience.times import EACH as EACH_TIMES
from finchshelf.experience.times import changed, read_times
from finchshelf.membership import contact
from finchshelf.membership.listing import read_list
from finchshelf.membership.records import (
    GONE,
    MOST_WHOLE,
    Limiter,
    Unfit,
    read_disk,
    read_server,
)
from finchshelf.membership.suspicion import Life
from finchshelf.rollout.evidence import EACH, Seen
from finchshelf.transport.address import address_of
from finchshelf.transport.exchange import Clock
from finchshelf.transport.frames import Link, Message, PeerError, PeerRefused
from finchshelf.transport.pieces import Pieces

TRIED_WAIT = 0.3  # s of the same while a new version is tried: how it does is told with the question
MORE = 1.0  # s beside that for the answer to come
DOWN = 1.0  # s that a control plane which did not answer is passed over
# s of the same until it may begin, after each of the first failures and at most: all may have just come up
EARLY, EARLY_MOST = 0.09, 0.4
EARLY_TRIES = 8  # failures after which that doubles
LOOK = 0.25  # s between two looks at who is to be asked
PATIENCE = 10.0  # s that a newer configuration is waited for at the start, by whoever was told of it
AGAIN = 0.5  # s until a document that could not be had is told of again
OTHERS_S = 0.4  # s that a document may take until others are asked whether they have it too
KNOWS = 8.0  # s that a control plane must have been up for its list of servers to be taken for whole


def whole(value: Any) -> int:
    if type(value) is not int or not -1 <= value <= MOST_WHOLE:
        raise Unfit("read news", "number", f"expected a whole number: {value!r}"[:200])
    return value


class Follower:
    def __init__(
        self,
        me: Limiter,
        seeds: list[str],
        port: int,
        clock: Clock,
        put: Callable[[News], None],
        random: Random,
        log: Callable[..., None],
        nursery: trio.Nursery,
        seen: Seen,
        usual: dict[str, float] | None = None,
    ) -> None:
        """`usual`: s that each route takes, as this limiter learns it; None where it takes no part in shared
        experience."""
        self.seen, self.usual = seen, usual
        self.taught = False  # has another's word on these times come?
        self.me, self.clock, self.put, self.random, self.log = me, clock, put, random, log
        self.nursery = nursery
        self.count: MutableMapping[str, int] = defaultdict(int)
        self.suspects: Callable[[float], list[Life]] = lambda now: []
        self.report_versions: Callable[[], list[Any] | None] = lambda: None
        self.transitions_slot = -1  # of the newest transitions that were told
        self.seeds = seeds
        self.sources: dict[str, Source] = {}
        self.slot, self.document = -1, b""  # of the configuration in use: its digest
        self.coming, self.coming_since = -1, 0.0  # the newest slot whose document is on its way, since when
        self.newest, self.newest_since = -1, 0.0  # the newest slot that anyone named, and since when
        self.pieces = Pieces(nursery, self.piece)
        self.answered: set[str] = set()
        self.first, self.begun = 0.0, False
        self.named = trio.Event()  # while it may not begin: a control plane names others
        self.members: tuple[Member, ...] = ()  # of the core, by the newest value that was told
        self.aside: Configuration | None = None  # told by who is cut off, and not gone by yet
        self.limiters = MergedList()
        for address in seeds:
            self.meet(address, "")

    def meet(self, address: str, zone: str) -> None:
        found = self.sources.get(address)
        if found is None:
            self.sources[address] = Source(Link(address_of(address), self.nursery), zone)
        elif zone:
            found.zone = zone

    def settled(self) -> bool:
        """Has it asked enough control planes that a decided configuration can't have been missed by all?"""
        if not self.begun and self.answered:
            now, told = self.clock.now(), any(one.core for one in self.sources.values())
            # Danger: one control plane is behind and tells an old configuration at once; the newest is on its
            # way from another, or can't be had just now. Traffic would begin with old state.
            if self.newest <= self.slot or now - self.newest_since > PATIENCE:
                # Danger: one that was cut off for long may answer first, the others' word is on its way.
                asked = all(
                    (one.failed and not one.shed) or name in self.answered
                    for name, one in self.sources.items()
                )
                words = ((one.said, one.contact) for one in self.sources.values())
                lost = contact.out(words, now) if asked else 0.0
                answered = {self.identity(address) for address in self.answered}
                self.begun = contact.may_begin(self.members, answered, told, now - self.first, lost)
        return self.begun

    def identity(self, address: str) -> Member:
        """The control plane there by its disk; one that doesn't say is taken for the member named there."""
        source = self.sources.get(address)
        if source is not None and source.disk is not None:
            return Member(address, source.disk)
        return next((one for one in self.members if one.address == address), Member(address, ""))

    def in_touch(self) -> bool:
        """Does anyone who is in touch with more than half of the core speak to this limiter?"""
        now = self.clock.now()
        return any(one.core and contact.believed(one.said, now) for one in self.sources.values())

    def wanted(self) -> list[str]:
        """Whom to ask now."""
        return sources.wanted(self.me, self.sources, self.settled(), self.clock.now())

    def follow(self) -> None:
        for address in self.wanted():
            source = self.sources[address]
            if not source.running:
                source.running = True
                self.nursery.start_soon(self.ask_on, address, source)

    async def run(self) -> None:
        """Look after who is asked; the asking itself is a task each."""
        while True:
            self.follow()
            self.begin()
            await trio.sleep(LOOK if self.answered else EARLY)

    async def ask_on(self, address: str, source: Source) -> None:
        try:
            while address in self.wanted():
                try:
                    await self.ask_once(address, source)
                except Exception as error:  # Danger: one control plane's rubbish would end the limiter
                    if not isinstance(error, PeerError):
                        self.log("peer.unfit", peer=address, step="news", error=repr(error))
                    source.shed = isinstance(error, PeerRefused)
                    self.count["news.refused" if source.shed else "news.unanswered"] += 1
                    down = self.passed_over(source) * (0.75 + 0.5 * self.random.random())
                    source.down_until = self.clock.now() + down
                    self.follow()
                    with trio.move_on_after(0.1 if self.begun else down):
                        await (trio.sleep_forever() if source.shed else self.named.wait())
        finally:
            source.running = False

    def passed_over(self, source: Source) -> float:
        """Seconds for which to leave a control plane that did not answer.

        Danger: after a loss of all, a port that nobody listens at yet fails at once, and the one address at
        which there is no machine any more hangs: for a whole `DOWN` nobody else would be asked. Nor is one
        answer enough to begin; those that come up a moment later were passed over for as long. But one that
        says that it is busy is up: asked as often by all that start, it would be so for long."""
        source.failed += 1
        if self.begun:
            return DOWN
        if source.shed:
            return EARLY_MOST
        return float(min(EARLY_MOST, EARLY * 2 ** min(source.failed // EARLY_TRIES, 8)))

    async def ask_once(self, address: str, source: Source) -> None:
        have: dict[str, Any] = {
            **source.have,
            "slot": self.told_slot(source),
            "core": source.core,
            "zip": True,
            "pieces": True,
            "document": self.document,
            "lists": sources.wants_lists(self.me, self.sources, address, self.clock.now()),
        }
        times: dict[str, float] = {}
        if self.usual is not None:
            have["verdicts"] = source.have.get("verdicts", -1)
            have["usual"] = not self.taught and not self.usual
            if self.clock.now() - source.timed >= EACH_TIMES:
                times = changed(self.usual, source.times)
        versions = self.report_versions()
        source.wait = WAIT if versions is None else TRIED_WAIT
        question = {"op": "news", "have": have, "wait": source.wait, "limiter": self.me.pack(), "form": FORM}
        if versions is not None:
            question["versions"] = versions
        now, rev = self.clock.now(), source.told
        if suspects := self.suspects(now):
            question["suspects"] = [list(one) for one in suspects]
        if times:
            question["usual"], source.timed = times, now
        self.seen.look(now)
        if self.seen.on:
            have["watch"] = self.seen.id
            if self.seen.rev > rev and now - source.evident >= EACH:
                rev, source.evident = self.seen.rev, now
                question["seen"] = self.seen.since(source.told)
        answer = await source.link.ask("news", question, source.wait + MORE)
        source.failed = 0
        source.told = rev  # only now: what was not answered is told again
        source.times.update(times)
        self.take(source, answer, now)
        if "watch" in answer:
            self.seen.watch(answer["watch"], source.heard)
        if not self.answered:
            self.first = source.heard
        self.answered.add(address)
        self.begin()

    def told_slot(self, source: Source) -> int:
        """The slot that a control plane is told of as known: it tells only what is newer.

        Danger: the one that named a document stands still, and others, which have it too, say nothing."""
        slow = self.clock.now() - self.coming_since > OTHERS_S
        return max(self.slot, source.named if slow else self.coming)

    def take(self, source: Source, answer: Message, asked: float) -> None:
        """Read all of an answer, and only then let it count. `asked`: when its question began.

        Danger: its number noted with one part that can't be read, the rest would never be told again."""
        now, life = self.clock.now(), whole(answer["life"])
        have = dict(source.have)
        if life != have["life"]:
            have = {"life": life, "rev": -1, "named": -1, "list": -1}
        none = life != source.have["life"] and bool(answer.get("none"))
        news = News([read_server(row, now) for row in answer.get("servers", ())])
        listed = have["rev"] < 0 and float(answer.get("whole", 0.0)) > KNOWS
        if "rev" in answer:
            have["rev"] = whole(answer["rev"])
        limiters = None
        if "limiters" in answer:
            limiters = read_list(answer, source.limiters.values())
            have["list"] = whole(answer["list"])
        named = None
        if "controls" in answer:
            named, have["named"] = dict(map(read_control, answer["controls"])), whole(answer["named"])
        if "verdicts" in answer:
            news.verdicts, have["verdicts"] = list(answer["verdicts"]), whole(answer["verdictsRev"])
        news.usual = read_times(answer.get("usual", {}))
        self.taught = self.taught or bool(news.usual)
        value = parcel.unpack(answer["value"]) if "value" in answer else None
        if value is not None and value.slot > self.transitions_slot:
            news.transitions, news.transitions_slot = value.transitions, value.slot
        if value is not None and (name := parcel.elsewhere(answer["value"])) and name != self.document:
            if value.slot > self.newest:
                self.newest, self.newest_since = value.slot, now
            source.named = max(source.named, value.slot)
            if value.slot > max(self.slot, self.coming):
                self.coming, self.coming_since = value.slot, now
                self.nursery.start_soon(self.fetch, value, name, str(source.link.address))
            elif value.slot == self.coming:
                self.pieces.offer(name, str(source.link.address))
            value = None
        if value is not None and value.slot > self.slot and value.document:
            news.configuration = read_configuration(orjson.loads(value.document))
        held = source.wait if answer.get("none") else whole(answer.get("held", 0)) / 1000
        out = whole(answer.get("out", 0)) / 1000 * (1 - contact.DRIFT)
        disk = read_disk(answer.get("disk"))
        # From here on nothing fails.
        self.transitions_slot = max(self.transitions_slot, news.transitions_slot)
        source.heard = now
        source.said = max(source.said, min(now, contact.spoke(asked, held)))
        source.core = bool(answer.get("core", source.core and life == source.have["life"])) and not none
        if source.core or "core" in answer or life != source.have["life"]:
            source.contact = max(source.contact, now - out)
        if disk is not None:
            source.disk = disk
        if life != source.have["life"]:
            source.told, source.named = 0, -1  # it came up anew and knows nothing
            source.times.clear()
        if none:
            source.have = have
            return
        source.have = have
        if limiters is not None:
            source.limiters = limiters
        # Danger: one that is cut off has not heard of servers that started since: they'd be dropped here.
        if listed and "rev" in answer and source.core:
            news.whole = frozenset(one.id for one in news.servers if one.mode != GONE)
        news.limiters = self.limiters.of(self.sources.values(), now)
        if named is not None:
            self.name(named, source.core)
            if not self.begun:
                # Whoever is named has come up: a second answer is needed of these, and each pause delays it.
                for one in self.sources.values():
                    if not one.shed:
                        one.down_until = -1e9
                event, self.named = self.named, trio.Event()
                event.set()
        name = parcel.digest(value.document) if value is not None and news.configuration is not None else b""
        news.configuration = self.adopt(value, news.configuration, name, source.core)
        news.slot = self.slot
        self.put(news)
        if not source.core:
            self.follow()

    def adopt(
        self, value: Value | None, configuration: Configuration | None, name: bytes, joined: bool
    ) -> Configuration | None:
        """Go by a newer value; the configuration that counts from now on, if another one does. `joined`: is
        whoever told it in contact with the core?"""
        if value is not None and value.slot > self.slot:
            self.members = value.members
            if configuration is not None:
                self.document = name
            self.slot = value.slot
        # Danger: a limiter that has only just started and meets those first that are cut off would serve by
        # what the others have left behind. One in contact that has nothing newer to tell makes it count.
        if configuration is None and self.aside is None:
            return None
        self.aside = configuration or self.aside
        return self.release() if joined or self.settled() else None

    def begin(self) -> None:
        """Serve by what was kept aside, where enough have answered by now or nobody in contact is found."""
        if self.aside is not None and self.settled():
            self.put(News([], configuration=self.release(), slot=self.slot))

    def release(self) -> Configuration | None:
        found, self.aside = self.aside, None
        return found

    async def fetch(self, value: Value, name: bytes, address: str) -> None:
        """A configuration too large for an answer comes piece by piece, beside the questions for news."""
        try:
            document = await self.pieces.get(name, address)
            if document is not None and value.slot > self.slot:
                configuration = read_configuration(orjson.loads(document))
                joined = any(one.core for one in self.sources.values() if str(one.link.address) == address)
                adopted = self.adopt(value, configuration, name, joined)
                self.put(News([], configuration=adopted, slot=self.slot))
            elif document is None:
                await trio.sleep(AGAIN)
        except Exception as error:  # Danger: one document that can't be read would end the limiter
            self.log("peer.unfit", peer=address, step="document", error=repr(error))
            await trio.sleep(AGAIN)
        finally:
            if self.coming == value.slot:
                self.coming = -1
                for source in self.sources.values():
                    source.named = -1

    async def piece(self, address: str, question: Message, limit: float) -> Message:
        for source in self.sources.values():
            if str(source.link.address) == address:
                return await source.link.ask("piece", question, limit)
        raise PeerError("piece", address, "no control plane any more")

    def name(self, named: dict[str, str], joined: bool) -> None:
        """`joined`: is whoever names them in touch with the core?

        Danger: one that is cut off names its own side alone; the others would be forgotten when needed."""
        for address, zone in named.items():
            self.meet(address, zone)
        for address in [a for a, s in self.sources.items() if a not in named and not s.running]:
            if joined and address not in self.seeds:
                del self.sources[address]
