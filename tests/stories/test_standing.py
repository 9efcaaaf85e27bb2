"""A control plane's and a limiter's own parts where answers come late, from beyond a cut or a newer core.

Owns the answers and the clock. It must never wait in real time.
"""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from dataclasses import replace
from random import Random
from typing import Any, cast
from unittest import mock

import trio
from trio.testing import MockClock

from finchshelf.agreement import core, parcel
from finchshelf.agreement.core import Member, Value
from finchshelf.controlplane.cells import Cells
from finchshelf.controlplane.news import News
from finchshelf.controlplane.register import Register
from finchshelf.controlplane.repair import Repair
from finchshelf.controlplane.resources import Resources
from finchshelf.controlplane.sweeps import Sweeps
from finchshelf.controlplane.turns import Turns
from finchshelf.dataplane.choice import MOST_TOMBSTONES, Choice
from finchshelf.dataplane.follower import PATIENCE, Follower
from finchshelf.dataplane.news import News as Told
from finchshelf.membership import contact
from finchshelf.membership.records import Limiter, Server
from finchshelf.rollout.evidence import Seen
from finchshelf.transport.calls import Call, told
from finchshelf.transport.exchange import Clock
from finchshelf.transport.frames import Link, PeerError
from tests.stories.test_bad_input import VALUE

HERE, NEAR, FAR = "10.0.0.1:7660", "10.0.0.2:7660", "10.0.0.3:7660"
MEMBERS = (HERE, NEAR, FAR)
Answer = Callable[[str, dict[str, Any]], dict[str, Any] | None]


class At(Clock):
    def __init__(self) -> None:
        self.time = 100.0

    def now(self) -> float:
        return self.time


class Peer:
    """A link whose peer answers by a function; None: it says nothing."""

    def __init__(self, answer: Answer, address: str = "") -> None:
        self.answer, self.asked, self.address = answer, list[str](), address

    async def ask(self, step: str, message: dict[str, Any], limit: float) -> dict[str, Any]:
        await trio.lowlevel.checkpoint()
        self.asked.append(step)
        found = self.answer(step, message)
        if found is None:
            raise PeerError(step, "there", "no answer in time")
        return found


class Plane:
    def __init__(self, nursery: trio.Nursery, answer: Answer) -> None:
        self.clock, log = At(), lambda *_, **__: None
        self.cells = Cells(HERE, "north", 1.5, 1, self.clock.now() - 60.0)
        self.news = News(self.cells, self.clock, nursery, True, Random(1), log, Turns(log))
        self.register = Register(HERE, MEMBERS, True, None, self.news.members, Random(2), log)
        self.register.acceptor.me = Member(HERE, core.FIRST)
        self.news.register = self.register
        self.register.learn(replace(core.genesis(MEMBERS), slot=4))
        self.peers = {address: Peer(answer) for address in (NEAR, FAR)}
        self.news.members.links.update(cast(dict[str, Link], self.peers))
        for address in self.peers:
            control = self.cells.meet(address)
            assert control is not None
            control.run_on(core.FIRST)
        repair = Repair(self.register, lambda *_, **__: None)
        self.sweeps = Sweeps(self.news, self.news.asking, self.register, repair, self.clock, Random(3))

    async def ask(self, address: str) -> None:
        await self.news.asking.ask_once(self.cells.controls[address])


def soon(test: Callable[[trio.Nursery], Awaitable[None]]) -> None:
    async def limited() -> None:
        with trio.fail_after(60):
            async with trio.open_nursery() as nursery:
                await test(nursery)
                nursery.cancel_scope.cancel()

    trio.run(limited, clock=MockClock(autojump_threshold=0))


def test_given_an_answer_that_lay_unread_while_the_process_stood_still_then_it_is_no_contact() -> None:
    async def story(nursery: trio.Nursery) -> None:
        halt = [0.0]

        def answer(step: str, message: dict[str, Any]) -> dict[str, Any]:
            plane.clock.time += halt[0]
            return {"life": 7, "none": True} if halt[0] else {"life": 7, "named": 1, "held": 100}

        plane = Plane(nursery, answer)
        await plane.ask(NEAR)
        assert plane.news.joined() and not plane.news.apart()
        # When the next answer is read 20 s after its question
        halt[0] = 20.0
        await plane.ask(NEAR)
        # Then this one doesn't speak for the core by it, and knows itself cut off
        assert not plane.news.joined() and plane.news.apart()

    soon(story)


def test_given_a_member_that_came_up_with_an_empty_disk_then_its_answers_are_no_contact() -> None:
    """Cut off with it from the third, this one would speak for the core by what it held."""

    async def story(nursery: trio.Nursery) -> None:
        lives = {"life": 7, "disk": core.FIRST, "held": 100}
        plane = Plane(nursery, lambda step, _: lives if step == "news" else None)
        await plane.ask(NEAR)
        assert plane.news.joined()
        # When it has another life, and another disk
        lives |= {"life": 8, "disk": "empty"}
        await plane.ask(NEAR)
        assert not plane.news.joined()
        # Then it counts once it is named by that disk
        members = tuple(sorted([(HERE, core.FIRST), (NEAR, "empty"), (FAR, core.FIRST)]))
        plane.register.learn(
            replace(core.genesis(MEMBERS), slot=5, members=tuple(map(Member._make, members)))
        )
        assert plane.news.joined()

    soon(story)


def test_given_a_halt_when_beats_are_still_unread_then_no_server_is_called_lost() -> None:
    async def story(nursery: trio.Nursery) -> None:
        plane = Plane(nursery, lambda *_: {"life": 7, "named": 1, "held": 0})
        plane.cells.beat(Server("s-1", "10.9.0.1:80", "pages", "north", 4, 1), plane.clock.now())
        plane.sweeps.look(plane.clock.now())
        plane.clock.time += 20.0
        await plane.ask(NEAR)  # it hears others before its first look
        assert plane.sweeps.look(plane.clock.now())
        assert not plane.cells.servers.rows["s-1"].lost
        # And where it goes on to be silent, it is
        for _ in range(22):
            plane.clock.time += 0.25
            await plane.ask(NEAR)
            plane.sweeps.look(plane.clock.now())
        assert plane.cells.servers.rows["s-1"].lost

    soon(story)


def test_given_others_that_ask_and_do_not_answer_then_no_server_is_called_lost_and_nothing_is_held() -> None:
    async def story(nursery: trio.Nursery) -> None:
        plane = Plane(nursery, lambda *_: None)
        record = Server("s-1", "10.9.0.1:80", "pages", "north", 4, 1)
        plane.cells.beat(record, plane.clock.now())
        for _ in range(40):
            plane.clock.time += 0.25
            for address in (NEAR, FAR):
                plane.news.note({"control": [address, "south", core.FIRST, True]}, plane.clock.now())
            plane.sweeps.look(plane.clock.now())
        assert len(plane.cells.named) == 3 and not plane.cells.servers.rows["s-1"].lost
        for peer in plane.peers.values():
            peer.asked.clear()
        assert not await plane.news.hold(record) and not any(one.asked for one in plane.peers.values())
        # And limiters that ask are told of all control planes, and that this one does not speak for the core
        found = plane.news.fresh({}, True)
        assert found is not None and found["core"] is False
        assert found["out"] == 70_000  # ms since its start, for it never was in contact
        assert [address for address, _ in found["controls"]] == list(MEMBERS)

    soon(story)


def test_given_a_record_to_hold_when_another_knows_a_newer_core_then_it_does_not_count() -> None:
    async def story(nursery: trio.Nursery) -> None:
        slot = [4]

        def answer(step: str, message: dict[str, Any]) -> dict[str, Any]:
            return {"ok": True, "slot": slot[0]} if step == "hold" else {"life": 7, "named": 1, "held": 0}

        plane = Plane(nursery, answer)
        await plane.ask(NEAR)
        record = Server("s-1", "10.9.0.1:80", "pages", "north", 4, 1)
        assert await plane.news.hold(record)
        slot[0] = 5
        assert not await plane.news.hold(record)
        # And once this one knows that core too, it does

        async def later() -> None:
            await trio.sleep(0.1)
            plane.register.learn(replace(core.genesis(MEMBERS), slot=5))

        nursery.start_soon(later)
        began = trio.current_time()
        assert await plane.news.hold(record) and trio.current_time() - began < 0.2

    soon(story)


def test_given_a_value_accepted_and_never_told_as_decided_then_it_is_finished_once_while_in_contact() -> None:
    async def story(nursery: trio.Nursery) -> None:
        plane = Plane(nursery, lambda *_: {"life": 7, "named": 1, "held": 0})
        value = replace(core.genesis(MEMBERS), slot=5, version=1)
        plane.register.acceptor.accepted = core.Ballot(1, FAR), value
        seen = list[bool]()
        for _ in range(8):
            seen.append(plane.sweeps.doubtful(plane.clock.now()))
            plane.clock.time += 0.25
        first = seen.index(True)
        assert contact.UNDECIDED_S <= 0.25 * first <= 2 * contact.UNDECIDED_S + 0.25 and not seen[first + 1]

    soon(story)


def test_given_a_machine_cut_off_then_orders_are_sent_on_at_once_and_a_handlers_own_word_stays() -> None:
    async def story(nursery: trio.Nursery) -> None:
        turns, beyond, called = Turns(lambda *_, **__: None), list[str | None]([None]), list[str]()
        nursery.start_soon(turns.run)

        class Handler:
            status = 503

            async def call(self, of: str, body: bytes) -> Any:
                called.append(of)
                return told(self.status)

        handler = Handler()
        handlers: Any = {"setpoint.replace": handler, "servers.pulse": handler}
        resources = Resources(handlers, turns, lambda: beyond[0])

        async def status(name: str) -> tuple[int, bytes | None]:
            answer = await resources.handle(Call(b"POST", f"/v1/rpc?call={name}&of=x%20y".encode(), b""))
            return answer.status, dict(answer.headers).get(b"Location")

        assert await status("setpoint.replace") == (503, None) and len(called) == 1
        beyond[0] = "10.0.0.2:8407"
        to = b"http://10.0.0.2:8407/v1/rpc?call=setpoint.replace&of=x%20y"
        assert await status("setpoint.replace") == (307, to) and len(called) == 1
        assert (await status("servers.pulse"))[0] == 307 and called[1:] == ["x y"]  # noted all the same
        handler.status = 400
        assert (await status("servers.pulse"))[0] == 400
        handler.status, beyond[0] = 503, ""
        assert await status("setpoint.replace") == (503, None)

    soon(story)


# ---- a limiter ----


class Followed:
    def __init__(self, nursery: trio.Nursery, sources: int = 2) -> None:
        self.clock, self.put = At(), list[Told]()
        me = Limiter("edge-1", 1, "10.0.0.9", "north")
        self.follower = Follower(
            me,
            [HERE, NEAR][:sources],
            7660,
            self.clock,
            self.put.append,
            Random(1),
            lambda *_, **__: None,
            nursery,
            Seen(),
        )
        for address, source in self.follower.sources.items():
            source.link = cast(Link, Peer(lambda *_: None, address))

    def take(self, address: str, answer: dict[str, Any], late: float = 0.0) -> None:
        asked = self.clock.now()
        self.clock.time += 0.01 + late
        self.follower.take(self.follower.sources[address], {"life": 5, "held": 0, **answer}, asked)
        self.follower.first = self.follower.first if self.follower.answered else self.clock.now()
        self.follower.answered.add(address)

    def versions(self) -> list[int]:
        return [one.configuration.version for one in self.put if one.configuration is not None]


def value(slot: int, version: int) -> dict[str, Any]:
    members = [[address, core.FIRST] for address in MEMBERS]
    document = VALUE["document"].replace(b'"00000001"', b'"%08x"' % version)
    return Value.unpack(
        {"slot": slot, "members": members, "version": version, "document": document, "taken": []}
    ).pack()


def test_given_a_limiter_that_starts_when_one_that_is_cut_off_answers_first_then_its_word_waits() -> None:
    async def story(nursery: trio.Nursery) -> None:
        # Given the old configuration of one that is cut off, when one in contact has a newer one, that counts
        limiter = Followed(nursery)
        limiter.take(HERE, {"core": False, "value": value(3, 1)})
        assert not limiter.versions() and not limiter.follower.settled()
        limiter.take(NEAR, {"core": True, "value": value(4, 2)})
        assert limiter.versions() == [2] and limiter.follower.settled()
        # When one in contact has nothing newer, the one that was told comes in force
        limiter = Followed(nursery)
        limiter.take(HERE, {"core": False, "value": value(3, 1)})
        limiter.take(NEAR, {"core": True})
        assert limiter.versions() == [1]

    soon(story)


def test_given_a_limiter_that_finds_nobody_in_contact_then_it_serves_by_what_there_is_after_a_while() -> None:
    async def story(nursery: trio.Nursery) -> None:
        limiter = Followed(nursery, sources=1)
        nursery.start_soon(limiter.follower.run)
        limiter.take(HERE, {"core": False, "value": value(3, 1)})
        limiter.clock.time += contact.CUT_OFF_START_S - 0.5
        await trio.sleep(1.0)
        assert not limiter.versions()
        limiter.clock.time += 1.0
        await trio.sleep(1.0)
        assert limiter.versions() == [1] and limiter.follower.settled()

    soon(story)


def test_given_those_reached_have_been_cut_off_for_long_then_a_limiter_that_starts_need_not_wait() -> None:
    async def story(nursery: trio.Nursery) -> None:
        long, short = int(contact.CUT_OFF_START_S * 1010), 3000  # ms

        def told(words: dict[str, int], then: float = 0.0) -> list[int]:
            limiter = Followed(nursery, sources=len(words))
            for address, out in words.items():
                limiter.take(address, {"core": False, "out": out, "value": value(3, 1)})
            limiter.clock.time += then
            limiter.follower.begin()
            return limiter.versions()

        assert told({HERE: long}) == [1]
        # And it waits where they were not, or where nothing more was heard after that word
        assert told({HERE: short}) == [] and told({HERE: long - 1000}, contact.LIMITER_LEASE_S + 1.0) == []
        # The last contact of any counts
        assert contact.out([(100.0, 50.0), (80.0, 79.0)], 100.0) == 21.0 and contact.out([], 100.0) == 0.0

    soon(story)


def test_given_contact_and_a_value_not_proved_since_the_start_then_limiters_that_start_are_not_led() -> None:
    async def story(nursery: trio.Nursery) -> None:
        plane = Plane(nursery, lambda *_: {"life": 7, "named": 1, "held": 0})
        standing, life = plane.register.standing, plane.cells.life
        await plane.ask(NEAR)
        standing.start(trio.current_time())

        def core_told(have: dict[str, Any]) -> Any:
            found = plane.news.fresh({"named": plane.cells.named_rev, "slot": 9, **have}, True)
            return found.get("core") if found is not None else None

        assert plane.news.joined() and core_told({}) is False
        assert core_told({"life": life, "core": False}) is None
        # Who was led by it before, in this life, still is; a former life's word counts for nothing
        assert core_told({"life": life, "core": True}) is None
        assert core_told({"life": 3, "core": True}) is False
        standing.proved = True
        assert core_told({}) is True and core_told({"life": life, "core": False}) is True

    soon(story)


def test_given_a_whole_list_by_one_cut_off_then_servers_that_it_never_heard_of_stay() -> None:
    async def story(nursery: trio.Nursery) -> None:
        for joined in (True, False):
            limiter = Followed(nursery)
            row = Server("s-1", "10.9.0.1:80", "pages", "north", 4, 1).pack(0.0)
            limiter.take(HERE, {"core": joined, "servers": [row], "rev": 1, "whole": 60.0})
            assert limiter.put[-1].whole == (frozenset(["s-1"]) if joined else None)

    soon(story)


def test_given_a_server_that_left_when_one_tells_of_it_as_before_then_it_stays_away() -> None:
    choice, record = Choice("north", Random(1)), Server("s-1", "10.9.0.1:80", "pages", "north", 4, 1)
    for known in (True, False):
        record = replace(record, id=f"s-{known}")
        if known:
            choice.put(record)
        choice.put(replace(record, mode="gone"))
        choice.put(replace(record, count=9))
        assert record.id not in choice.table and choice.pick("pages", 1.0) is None
    for number in range(2 * MOST_TOMBSTONES):
        choice.put(replace(record, id=f"t-{number}", mode="gone"))
    assert len(choice.tombstones) == MOST_TOMBSTONES and f"t-{number}" in choice.tombstones


def test_given_two_of_three_members_that_answer_a_limiter_itself_then_it_need_not_wait() -> None:
    async def story(nursery: trio.Nursery) -> None:
        limiter = Followed(nursery)
        for address in (HERE, NEAR):
            limiter.take(address, {"core": False, "value": value(3, 1)})
        assert limiter.follower.settled()

    soon(story)


def test_given_a_member_with_an_empty_disk_that_answers_a_limiter_itself_then_it_waits() -> None:
    async def story(nursery: trio.Nursery) -> None:
        limiter = Followed(nursery)
        limiter.take(HERE, {"core": False, "value": value(3, 1), "disk": core.FIRST})
        limiter.take(NEAR, {"core": False, "disk": "empty"})
        assert not limiter.follower.settled()
        limiter.take(NEAR, {"core": False, "disk": core.FIRST, "life": 6})
        assert limiter.follower.settled()

    soon(story)


def test_given_a_newer_document_that_cannot_be_had_then_a_limiter_that_starts_waits_for_it() -> None:
    """It is named by one, comes in pieces, and nobody gives them just now."""

    async def story(nursery: trio.Nursery) -> None:
        limiter = Followed(nursery)
        limiter.take(HERE, {"core": True, "value": value(3, 1)})
        named = {**value(4, 2), "document": b"", "at": [b"x" * parcel.NAME, 100_000]}
        limiter.take(NEAR, {"core": True, "value": named})
        for _ in range(4):
            await trio.sleep(2.0)  # the fetch fails, and is given up for a while
            assert not limiter.follower.settled()
        # Where it can't be had for long, old is better than nothing
        limiter.clock.time += PATIENCE + 0.1
        assert limiter.follower.settled()

    soon(story)


def test_given_a_machine_cut_off_when_limiters_tell_of_servers_then_it_judges_none() -> None:
    async def story(nursery: trio.Nursery) -> None:
        plane = Plane(nursery, lambda *_: None)
        with mock.patch.object(plane.cells, "judge", return_value=True) as judge:
            for joined in (False, True):
                with mock.patch.object(plane.news, "joined", lambda joined=joined: joined):
                    plane.sweeps.look(plane.clock.now())
                    plane.news.look()
                    await trio.sleep(1.0)
                assert judge.called is joined

    soon(story)


def test_given_a_word_that_lay_unread_then_a_limiter_does_not_go_by_it() -> None:
    async def story(nursery: trio.Nursery) -> None:
        limiter = Followed(nursery)
        limiter.take(NEAR, {"core": True, "value": value(3, 1)})
        assert limiter.follower.in_touch()
        limiter.take(NEAR, {"core": True}, late=20.0)
        assert not limiter.follower.in_touch()

    soon(story)


def test_given_lists_of_one_in_contact_and_one_cut_off_then_the_latter_adds_nobody() -> None:
    async def story(nursery: trio.Nursery) -> None:
        limiter = Followed(nursery)

        def row(name: str) -> list[Any]:
            return [name, 1, "10.0.0.8", "north"]

        limiter.take(HERE, {"core": False, "limiters": [row("edge-1"), row("edge-7")], "list": 1})
        assert sorted(limiter.put[-1].limiters or ()) == ["edge-1", "edge-7"]
        limiter.take(NEAR, {"core": True, "limiters": [row("edge-1"), row("edge-2")], "list": 1})
        assert sorted(limiter.put[-1].limiters or ()) == ["edge-1", "edge-2"]

    soon(story)
