"""Stories of many changes: whoever was down for any part of them comes back by one snapshot, and leads nobody
by what its disk held.

Owns the bounds: of the time to be current over links of 2 Mbit/s, and of what comes over them. The search
over all states of catching up is `catching.py`; `benchmarks.many_changes` has the long days and the figures.
"""

from __future__ import annotations

import os
from dataclasses import replace
from pathlib import Path
from random import Random
from types import SimpleNamespace
from typing import Any

import pytest
import trio
import trio.testing

from benchmarks.many_changes import SPEED, Thin
from benchmarks.many_changes import current as stated
from finchshelf.agreement import core, parcel, store
from finchshelf.agreement.parcel import KEPT, Lacking, Part, Shelf
from finchshelf.agreement.standing import BEHIND, UNPROVED, Standing, Witness
from finchshelf.agreement.store import Store, StoreError
from finchshelf.controlplane.register import Register
from finchshelf.controlplane.witnessing import Witnessing
from finchshelf.dataplane.follower import Follower
from finchshelf.models import catching_up as catching
from finchshelf.simulation.fleet import CONTROL, World, fine, play
from finchshelf.simulation.network import listen, now
from finchshelf.transport import frames
from finchshelf.transport.address import Address
from finchshelf.transport.exchange import Clock
from finchshelf.transport.frames import Link, PeerError
from finchshelf.transport.pieces import SLOW, Pieces


class Packed:
    """Counts how often a value is told."""

    def __init__(self) -> None:
        self.count, self.pack = 0, Shelf.pack

    def __call__(self, *given: Any) -> Any:
        self.count += 1
        return self.pack(*given)


@pytest.mark.parametrize("tenants", [4, 1000])
def test_given_600_routes_and_thin_links_when_a_member_was_down_for_changes_then_one_snapshot_is_enough(
    tenants: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    packed = Packed()
    monkeypatch.setattr(Shelf, "pack", lambda *given: packed(*given))
    # Given links of 2 Mbit/s, and documents that go with a message or must come in pieces
    taken = list[float]()

    async def story(world: World) -> None:
        assert isinstance(world, Thin)
        back = world.core[0]
        for number in (2, 3, 4, 5):
            if number == 3:
                await world.power_off(back)
            began = now()
            assert await world.replace(world.stated(number, number - 1, 600, tenants)) == 200
            taken.append(now() - began)
        # When it comes back with the disk of before
        before, told = world.network.machines[back].came, packed.count
        await world.power_off(back, back=0.0)
        took = await world.until_current(back, 5)
        came = world.network.machines[back].came - before
        # Then it has the newest within its time, and all its data plane ever took is that
        assert took < stated(world.small), took
        assert packed.count - told < 12  # nobody asks again while the document comes
        # ... by one snapshot for its control plane and one for its data plane, beside words on counts
        assert came < 2 * world.small + 20_000 + 60 * tenants, came
        versions = [line[3]["version"] for line in world.told("configuration", f"{back}-data")]
        assert versions[-1] == 5 and versions[:-1] in ([1], [1, 2]), versions

    fine(story, 5, make=Thin, limiters=1, servers=1)
    # And each change was acknowledged within `acknowledgeMs`, but for those sent to the one without power
    assert sorted(taken)[1] < 5.0, taken


def test_given_a_member_behind_when_a_data_plane_starts_with_it_then_it_is_not_led_by_the_old_state() -> None:
    # Given a control plane whose links are cut as soon as it is back, so that nobody tells it anything
    async def story(world: World) -> None:
        back = world.core[0]
        others = [host for host in world.network.machines if host != back]
        await world.power_off(back)
        for number in (2, 3):
            assert await world.replace(world.configuration(number, number - 1)) == 200
        heal = world.cut([back], others)
        await world.power_off(back, back=0.1)
        # When its own data plane starts with it
        await trio.sleep(UNPROVED - 1.0)
        led = world.told("configuration", f"{back}-data")[1:]
        heal()
        await trio.sleep(3.0)
        # Then that has no configuration until the newest is there
        assert not led, led
        assert [line[3]["version"] for line in world.told("configuration", f"{back}-data")] == [1, 3]

    fine(story, 3, limiters=1, servers=1)


def test_given_two_configurations_on_their_way_when_a_data_plane_starts_then_it_waits_for_the_new() -> None:
    # Given a control plane that is behind and cut off from the others for longer than it keeps silent
    async def story(world: World) -> None:
        assert isinstance(world, Thin)
        behind, other = world.core[0], "10.0.0.2"
        await world.power_off(behind)
        for number in (2, 3):
            assert await world.replace(world.stated(number, number - 1, 600, 1500), limit=30.0) == 200
        heal = world.cut([behind], [one for one in world.core if one != behind])
        await world.power_off(behind, back=0.0)
        await trio.sleep(UNPROVED + 1.0)
        # When a data plane starts that reaches all of them
        began = now()
        world.kill(other, "data", after=0.0)
        await trio.sleep(4.0)
        heal()
        # Then it is told the old one first, and is not ready before it has the new one
        taken = {
            line[3]["version"]: line[0]
            for line in world.told("configuration", f"{other}-data")
            if line[0] > began
        }
        ready = min(line[0] for line in world.told("ready", f"{other}-data") if line[0] > began)
        assert sorted(taken) == [1, 3] and taken[1] < taken[3] <= ready, (taken, ready)

    fine(story, 8, make=Thin, limiters=2, servers=1)


@pytest.mark.parametrize("guarded", [True, False])
def test_given_a_disk_put_back_to_before_its_vote_when_it_is_needed_then_nothing_is_decided_twice(
    guarded: bool, monkeypatch: pytest.MonkeyPatch
) -> None:
    if not guarded:
        monkeypatch.setattr(Witness, "put_back", lambda *_: False)
    second = list[int]()

    async def story(world: World) -> None:
        # Given a change that two of three accepted, acknowledged by one that goes dark at once: the other
        # does not know that it was decided, and the third has not heard of it
        one, two, three = world.core
        disk = world.process(one, "control").disk
        assert disk is not None
        world.network.machines["10.9.9.9"].zone = world.network.machines[three].zone
        heal, before = world.cut([two], [three]), disk.synced
        assert await world.replace(world.configuration(2, 1), at=[Address(three, CONTROL)]) == 200
        await world.power_off(three)
        heal()
        await trio.sleep(0.8)
        # When that other one comes back with the disk of before
        world.kill(one, "control")
        disk.synced = before
        await trio.sleep(1.5)
        at = [Address(one, CONTROL), Address(two, CONTROL)]
        second.append(await world.replace(world.configuration(3, 1), at=at, limit=3.0))
        await world.power_off(three, back=0.0)
        await trio.sleep(5.0)

    world = play(story, 4, limiters=1, servers=1)
    put_back = [line for line in world.told("disk.fault") if line[3]["step"] == "put back"]
    # Then the two that are left find no majority until the third is back; unguarded, they decide otherwise
    broken = world.judge.verdict()
    assert bool(put_back) is guarded and (second != [200]) is guarded
    assert bool(broken) is not guarded, broken


@pytest.mark.parametrize("dropped", ["", "kept", "told"])
def test_given_a_disk_put_back_when_all_have_restarted_then_nothing_is_decided_twice(
    dropped: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    # Mutants: a disk forgets what was heard of others; decided values come without it
    if dropped == "kept":
        monkeypatch.setattr(Register, "disks", lambda _: [])
    if dropped == "told":
        told = Witnessing.told
        monkeypatch.setattr(Witnessing, "told", lambda self, one: "kind" in one or told(self, one))
    second = list[int]()

    async def story(world: World) -> None:
        # Given a disk's copy from before a change that all have; then one that two of three accepted,
        # acknowledged by one that goes dark at once, and of which the third has not heard
        one, two, three = world.core
        disk = world.process(one, "control").disk
        assert disk is not None
        await trio.sleep(1.0)
        before = disk.synced
        assert await world.replace(world.configuration(2, 1)) == 200
        await trio.sleep(1.0)
        world.network.machines["10.9.9.9"].zone = world.network.machines[three].zone
        heal = world.cut([two], [three])
        assert await world.replace(world.configuration(3, 2), at=[Address(three, CONTROL)]) == 200
        await world.power_off(three)
        heal()
        # When the other two restart, one of them with the copy
        for host in (one, two):
            world.kill(host, "control")
        disk.synced = before
        await trio.sleep(2.0)
        at = [Address(one, CONTROL), Address(two, CONTROL)]
        second.append(await world.replace(world.configuration(4, 2), at=at, limit=3.0))
        await world.power_off(three, back=0.0)
        await trio.sleep(5.0)

    world = play(story, 4, limiters=1, servers=1)
    found = any(line[3]["step"] == "put back" for line in world.told("disk.fault"))
    broken = world.judge.verdict()
    # Then those two find no majority until the third is back; with a guard less they decide otherwise
    assert (found, second != [200], not broken) == (not dropped,) * 3, (found, second, broken)


def test_given_words_of_a_disk_when_it_holds_less_then_it_was_put_back_and_no_other_disk_is() -> None:
    witness = Witness()
    witness.heard("a:1", "first", 7)
    witness.heard("a:1", "first", 5)
    witness.heard("a:1", "first", -1)
    assert witness.saw(["a:1", "first"]) == 7
    assert witness.saw(["a:1", "other"]) == witness.saw(["b:1", "first"]) == witness.saw(7) == -1
    witness.heard("a:1", "other", 2)
    assert witness.saw(["a:1", "first"]) == -1
    witness.doubt(7)
    assert witness.doubted and witness.put_back([-1, 8]) and not witness.put_back([7, -1])
    witness.forget("a:1")
    assert witness.saw(["a:1", "other"]) == -1


@pytest.mark.parametrize("mutant", ["", *catching.MUTANTS, *catching.MUTANTS_PUT_BACK])
def test_given_all_states_of_catching_up_when_a_guard_is_dropped_then_a_rule_breaks(mutant: str) -> None:
    if mutant:
        with pytest.raises(catching.Broken):
            put_back = mutant in catching.MUTANTS_PUT_BACK
            catching.search(mutant, (1, 0, 0, 0, 1) if put_back else (1, 1, 1, 1, 0))
    else:
        states, depth, messages = catching.search("", (1, 0, 0, 0, 1))
        assert states > 2_000 and messages <= 10
        states, depth, messages = catching.search("", (1, 1, 1, 1, 0))
        assert states > 10_000 and depth >= 20 and messages <= 10


def test_given_a_document_on_its_way_when_each_piece_sees_changes_then_it_still_comes_whole() -> None:
    # Given two that fetch one document each
    shelf, random = Shelf(), Random(3)
    parts = {name: Part(name) for name in (shelf.put(random.randbytes(5 * parcel.PIECE)) for _ in range(2))}
    found = dict[bytes, bytes]()
    while len(found) < len(parts):
        # When there are changes after each piece, more than a shelf holds
        for _ in range(KEPT - len(parts)):
            shelf.put(random.randbytes(3 * parcel.PIECE))
        for name, part in parts.items():
            if name not in found and (document := part.take(shelf.piece(name, len(part.held)))) is not None:
                found[name] = document
    # Then both come to their end, and the shelf holds no history
    assert all(parcel.digest(document) == name for name, document in found.items())
    assert len(shelf.rows) <= KEPT


def test_given_peers_that_fail_when_a_document_comes_then_each_piece_comes_once_whoever_tells_it() -> None:
    # Given three peers: one fails after two pieces, one has lost the document, one is well
    shelf, random, asked = Shelf(), Random(5), list[tuple[str, int]]()
    document = random.randbytes(6 * parcel.PIECE)
    name, down = shelf.put(document), set[str]()

    async def ask(peer: str, question: Any, limit: float) -> Any:
        asked.append((peer, question["at"]))
        if peer in down or (peer == "one" and question["at"] >= 2 * parcel.PIECE):
            raise PeerError("piece", peer, "no answer in time")
        return {"lacking": True} if peer == "two" else shelf.piece(name, question["at"])

    async def story() -> None:
        async with trio.open_nursery() as nursery:
            # When whoever waits gives up, and all peers are down for longer than a fetch goes on
            pieces, found = Pieces(nursery, ask), list[bytes | None]()
            down.update(["three"])
            with trio.move_on_after(0.1):
                await pieces.get(name, "one")
            for peer in ("two", "three"):
                nursery.start_soon(pieces.get, name, peer)
            await trio.sleep(10.0)
            assert not pieces.ways
            down.clear()
            found.append(await pieces.get(name, "three"))
            assert found == [document]

    trio.run(story, clock=trio.testing.MockClock(autojump_threshold=0))
    # Then the next fetch goes on where the first one was
    whole = [at for peer, at in asked if peer == "three"][-5:]
    assert whole == [at * parcel.PIECE for at in (2, 3, 4, 5, 6)][: len(whole)]
    assert ("three", 0) not in asked and ("one", 0) in asked


def test_given_a_peer_gone_dark_when_another_tells_of_the_document_then_that_one_is_asked_soon() -> None:
    shelf = Shelf()
    name = shelf.put(Random(6).randbytes(3 * parcel.PIECE))

    async def ask(peer: str, question: Any, limit: float) -> Any:
        if peer == "dark":
            await trio.sleep(limit)
        return shelf.piece(name, question["at"])

    async def story() -> None:
        began = trio.current_time()
        async with trio.open_nursery() as nursery:
            pieces = Pieces(nursery, ask)
            nursery.start_soon(pieces.get, name, "dark")
            await trio.sleep(0.1)
            assert await pieces.get(name, "well") is not None
            assert trio.current_time() - began < 2 * SLOW

    trio.run(story, clock=trio.testing.MockClock(autojump_threshold=0))


def test_given_a_register_in_doubt_when_it_is_asked_for_a_vote_then_it_is_silent_and_news_reaches_its_disk(
    tmp_path: Path,
) -> None:
    lasting = Store(str(tmp_path), 64)

    async def story() -> None:
        async with trio.open_nursery() as nursery:
            peers: Any = SimpleNamespace(nursery=nursery)
            register = Register(
                "a:1", ("a:1", "b:1", "c:1"), True, lasting, peers, Random(1), lambda *_, **__: None
            )
            prepare = {"kind": "prepare", "slot": 1, "ballot": [1, "b:1"]}
            register.witness.doubt(1)
            with pytest.raises(StoreError):
                await register.handle(prepare)
            assert register.saved() == -1
            register.witness.trust()
            assert (await register.handle({**prepare, "ballot": [2, "b:1"]}))["saved"] == register.saved() > 0
            nursery.start_soon(register.keep)
            register.learn(replace(core.genesis(("a:1", "b:1", "c:1")), slot=7, version=7))
            with trio.fail_after(10):
                while register.acceptor.on_disk < register.acceptor.revision:
                    await trio.lowlevel.checkpoint()
            nursery.cancel_scope.cancel()

    trio.run(story)
    state, _ = Store(str(tmp_path), 64).load()
    assert state is not None and state["decided"]["slot"] == 7


def test_given_a_newer_configuration_on_its_way_when_it_is_settled_once_then_it_stays_so() -> None:
    follower = Follower.__new__(Follower)
    follower.clock, follower.begun, follower.answered, follower.first = Clock(), False, {"a", "b"}, 0.0
    follower.sources, follower.members = {}, (core.Member("a", "first"), core.Member("b", "first"))
    follower.slot, follower.newest, follower.newest_since = 3, 5, follower.clock.now()
    assert not follower.settled()
    follower.slot = 5
    assert follower.settled()
    follower.newest = 9
    assert follower.settled()


def test_given_pieces_that_are_none_when_taken_then_they_are_refused_and_the_document_still_comes() -> None:
    shelf, random = Shelf(), Random(4)
    name = shelf.put(random.randbytes(2 * parcel.PIECE))
    part, other = Part(name), shelf.put(random.randbytes(2 * parcel.PIECE))
    good = shelf.piece(name, 0)
    for bad in (
        {},
        {**good, "form": 5},
        {**good, "size": -1},
        {**good, "size": parcel.MOST + 1},
        {**good, "size": 3},
        {**good, "bytes": "text"},
        {**good, "bytes": b""},
    ):
        with pytest.raises((KeyError, TypeError, ValueError)):
            part.take(bad)
    with pytest.raises(Lacking):
        part.take({"lacking": True})
    with pytest.raises(ValueError):  # another document whole
        for _ in range(4):
            part.take(shelf.piece(other, len(part.held)))
    while (found := part.take(shelf.piece(name, len(part.held)))) is None:
        pass
    assert parcel.digest(found) == name
    for bad_name, at in (("text", 0), (name, -1), (name, 0.5)):
        with pytest.raises(ValueError):
            shelf.piece(bad_name, at)


def test_given_what_others_told_when_time_goes_by_then_old_state_leads_only_if_nobody_knows() -> None:
    standing = Standing()
    standing.start(10.0)
    assert not standing.leads(4, 10.0 + UNPROVED / 2) and standing.leads(4, 10.1 + UNPROVED)
    standing.told(6, 20.0)
    assert not standing.leads(4, 20.0 + BEHIND / 2) and standing.leads(6, 20.0)
    assert standing.leads(4, 20.1 + BEHIND)  # who told it is gone
    standing.told(5, 30.0)
    standing.proved = True
    assert standing.leads(4, 30.0) and not standing.leads(-1, 99.0)


@pytest.mark.parametrize("checked", [True, False])
def test_given_a_snapshot_torn_anywhere_when_loaded_then_it_is_never_taken_for_whole(
    tmp_path: Path, checked: bool, monkeypatch: pytest.MonkeyPatch
) -> None:
    # Given two generations, of which the newer was torn in its document, by whatever has no checksum (mutant)
    states: list[dict[str, Any]] = [{"disk": "first", "n": n, "document": os.urandom(40_000)} for n in (1, 2)]
    if not checked:
        monkeypatch.setattr(store, "_digest", lambda _: bytes(store.DIGEST))
    for state in states:
        Store(str(tmp_path), 64).save(state)
    data, wrong, random = tmp_path / "b" / "data.mdb", list[Any](), Random(6)
    content = data.read_bytes()
    start = content.index(states[1]["document"][:64])
    for _ in range(40):
        at = start + random.randrange(39_000)
        data.write_bytes(content[:at] + bytes(512) + content[at + 512 :])
        found, faults = Store(str(tmp_path), 64).load()
        if found != states[0] or not any(fault.lost for fault in faults):
            wrong.append((at, faults))
    # Then the one before is loaded and the loss is told; without checksums it isn't
    assert bool(wrong) is not checked


@pytest.mark.parametrize(
    ("size", "cut", "fits"), [(1_200_000, False, True), (700_000, True, False), (20_000, False, True)]
)
def test_given_a_thin_link_when_an_answer_takes_longer_than_its_time_then_it_counts_if_it_keeps_moving(
    size: int, cut: bool, fits: bool
) -> None:
    # Given an answer that takes 4.8 s on its way, to a question that has 1 s
    found = list[Any]()

    async def story(world: World) -> None:
        near, far = world.outside("10.8.0.1", "out", "asks"), world.outside("10.8.0.2", "out", "answers")
        near.machine.speed = far.machine.speed = SPEED

        async def handler(_: Any) -> Any:
            return {"rows": bytes(size)}

        with world.being(far):
            listener: Any = await listen(Address("10.8.0.2", 1))
            world.nursery.start_soon(frames.serve, listener, handler, world.nursery, lambda _: None)
        with world.being(near):
            link, began = Link(Address("10.8.0.2", 1), world.nursery), now()
            if cut:  # When the way is cut half way, or not
                way = "10.8.0.2", "10.8.0.1"
                world.network.timeline.at(began + 0.9, lambda: world.network.cuts.add(way))
            try:
                found.append(await link.ask("big", {"op": "big"}, 1.0))
            except PeerError:
                found.append(None)
            assert now() - began < (2.0 if cut else 1.0 + size / SPEED)

    fine(story, 1, zones=1, limiters=1, servers=1)
    # Then it comes whole, or is given up as soon as it stands still
    assert (found[0] is not None) is fits
