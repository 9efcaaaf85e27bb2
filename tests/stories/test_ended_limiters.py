"""The real programs while limiters end in order: what was set aside for them is free, they let in no more."""

from __future__ import annotations

from types import SimpleNamespace
from typing import Any
from unittest import mock

import pytest
import trio

from finchshelf.configuration.document import Tenant
from finchshelf.counts.caller import LEAST, Caller
from finchshelf.counts.holder import NEAR, Holder
from finchshelf.dataplane import questions
from finchshelf.dataplane.counting import Counting, Told
from finchshelf.invariants import Monitor
from finchshelf.membership.records import Limiter
from finchshelf.simulation.fleet import World, play
from finchshelf.transport.address import Address


async def story(world: World) -> None:
    """Nine of twelve limiters are told to end within 7 s and stay away; a tenant asks 0.8 of its limit."""

    async def end() -> None:
        for host in world.random.sample([one for one in world.edges if not one.endswith(".1")], 9):
            await trio.sleep(world.random.uniform(0.2, 0.8))
            world.process(host, "data").wanted = False
            world.terminate(host)

    world.nursery.start_soon(end)
    await world.traffic(24.0, 20.0, key="key-hot", tries=1)


def day(seed: int) -> tuple[float, World]:
    """The part refused of what one bucket for all would have let in."""
    world = play(story, seed, limiters=4, tenants={"plain": (0.0, 0.0), "hot": (30.0, 30.0)})
    quota = next(one for one in world.judge.quotas() if one.tenant == "hot")
    return quota.refused / quota.fits, world


@pytest.mark.parametrize("seed", [1, 2])
def test_given_most_limiters_end_when_a_tenant_is_within_its_limit_then_little_is_refused(seed: int) -> None:
    refused, world = day(seed)
    assert refused < 0.03 and not world.judge.verdict(), f"seed {seed}: {refused}"
    assert world.counted("count.ended") >= 60 and world.counted("count.unfit") == 0
    with mock.patch.object(Counting, "leave", lambda self: None):
        assert day(seed)[0] > 0.3


def test_given_a_limiter_that_said_its_end_then_neither_share_nor_late_answer_lets_in() -> None:
    let, refused, tenant = list[Any](), list[str](), Tenant("t", (), 1, 60.0, 60.0)
    telemetry = SimpleNamespace(
        count=mock.MagicMock(), log=None, monitor=Monitor(mock.Mock()), observe=mock.Mock()
    )
    owner: Any = mock.Mock(
        telemetry=telemetry,
        live={1: 1, 2: 2},
        configuration=SimpleNamespace(tenants={"t": tenant}),
        clock=SimpleNamespace(now=lambda: 9.0),
        send=lambda *row: let.append(row),
        refuse=lambda request, after, why: refused.append(why),
    )
    one = Counting("a", owner)
    one.wire = wire = mock.Mock(port=1, ask=mock.Mock(return_value=7))
    with mock.patch.object(Caller, "holder", lambda self, tenant: "b"):
        one.listed({name: Limiter(name, 1, name, "z") for name in "ab"}, 9.0)
        one.caller.bucket(tenant, 8.0).level = 2 * LEAST
        request: Any = SimpleNamespace(id=1, tenant=tenant)
        one.local(request, 9.0)
        one.begin(request, 9.0)
        assert len(let) == 1
        one.leave()
        wire.end.assert_called_once_with("b", {"t": 1.0})  # what it let in alone is told with its end
        one.answered(Told(7, ("b", 1), True, 0.0), 9.01)
        one.begin(request, 9.02)
        one.overdue(7, 9.05)
        one.beat(9.1)
    assert len(let) == 1 and refused == ["refused.ending", "refused.share"] and wire.ask.call_count == 2
    assert one.caller.close(99.0) == {"b": {}}
    # And what its holder did not yet read of a life that ended counts for nothing
    holder = Counting("a", owner)
    holder.listed({name: Limiter(name, 1, name, "z") for name in "ab"}, 9.0)
    holder.ended("b", 1, {})
    assert holder.asked("t", 1.0, "b", NEAR, 1) is None is not holder.asked("t", 1.0, "b", NEAR, 2)
    # Nor does one that has ended itself grant anything, whoever asks
    assert one.asked("t", 1.0, "b", NEAR, 2) is None


def test_given_an_end_that_was_heard_then_the_next_holder_is_asked_before_the_list_says_so() -> None:
    names = ["a", "b", "c"]
    caller = Caller("a", 0.0)
    caller.listed(names, 0.0)
    tenant = next(name for name in map(str, range(99)) if caller.holder(name) == "b")
    caller.ended(["b"], 1.0)
    after = caller.holder(tenant)
    assert after != "b" and caller.settled == 1.0 and (caller.there(), caller.left()) == (2, 0)
    caller.listed(names, 2.0, ["b"])  # the list still has it
    assert caller.holder(tenant) == after and caller.settled == 1.0
    caller.listed(names, 3.0)  # another life, at the same address
    assert caller.holder(tenant) == "b" and (caller.there(), caller.left()) == (3, 0)


def test_given_more_used_alone_than_a_datagram_holds_then_its_end_is_not_said_by_halves() -> None:
    with mock.patch.object(questions, "opened"):
        wire = questions.Questions(Address("a", 1), mock.Mock(), mock.Mock(), 5)
    for most, said in ((40, 1), (200, 0)):
        with mock.patch.object(wire, "send") as send:
            wire.end("b", {f"tenant-{n:05d}": 1.0 for n in range(most)})
        assert send.call_count == said


def test_given_a_limiter_not_heard_for_long_when_it_ends_then_its_share_since_is_charged() -> None:
    holder = Holder()
    for who in "ab":
        holder.add("t", 0.0, 60.0, 60.0, 100.0, who, NEAR, 0.0, 2)
    before = holder.counts["t"].total
    holder.end("b", {"t": 5.0}, 2, 100.0)  # just heard: what it says it used
    assert holder.counts["t"].total == before + 5.0 and not holder.counts["t"].away
    holder = Holder()
    holder.add("t", 0.0, 60.0, 60.0, 110.0, "b", NEAR, 0.0, 2)
    holder.end("b", {}, 2, 112.0)  # it may have been cut off, and there was nobody to look
    assert holder.counts["t"].total == 60.0


def test_given_half_of_a_large_fleet_ends_at_one_moment_then_its_words_make_one_list() -> None:
    names = [f"n{number:03d}" for number in range(560)]
    tenants = {f"t{number}": Tenant(f"t{number}", (), 1, 60.0, 60.0) for number in range(50)}
    telemetry = SimpleNamespace(
        count=mock.MagicMock(), log=None, monitor=Monitor(mock.Mock()), observe=mock.Mock()
    )
    owner: Any = mock.Mock(
        telemetry=telemetry,
        configuration=SimpleNamespace(tenants=tenants),
        clock=SimpleNamespace(now=lambda: 9.0),
    )
    one = Counting(names[0], owner)
    one.wire = mock.Mock(port=1)
    one.listed({name: Limiter(name, 1, name, "z") for name in names}, 9.0)
    with mock.patch.object(one.caller, "renewed", wraps=one.caller.renewed) as renewed:
        for name in names[280:]:
            one.ended(name, 1, {})
            one.ended(name, 1, {})  # each says it twice
        assert renewed.call_count == 0 and one.caller.there() == 560
        one.beat(9.0)
        assert renewed.call_count == 1 and one.caller.there() == 280
    assert set(one.caller.limiters) == set(names[:280])


def test_given_counts_handed_on_then_only_the_next_holder_takes_them_from_a_life_that_ended() -> None:
    tenants = {f"t{number}": Tenant(f"t{number}", (), 1, 60.0, 60.0) for number in range(30)}

    def limiter(name: str) -> Counting:
        telemetry = SimpleNamespace(
            count=mock.MagicMock(), log=None, monitor=Monitor(mock.Mock()), observe=mock.Mock()
        )
        clock = SimpleNamespace(now=lambda: 99.0)
        owner: Any = mock.Mock(
            telemetry=telemetry, configuration=SimpleNamespace(tenants=tenants), clock=clock
        )
        made = Counting(name, owner)
        made.wire = mock.Mock(port=1)
        made.caller.settled = made.caller.told = 90.0
        made.listed({one: Limiter(one, 1, one, "z") for one in "abc"}, 90.0)
        return made

    former, heirs = limiter("a"), {"b": limiter("b"), "c": limiter("c")}
    for tenant in tenants:
        former.add(tenant, 5.0, "b", NEAR)
    former.leave()
    assert former.add("t1", 1.0, "b", NEAR) is None  # it grants no more: the next holder would not know
    hand: Any = former.wire.hand
    told = {call.args[0]: call.args[1] for call in hand.call_args_list}
    assert told.keys() == {"b", "c"} and not told["b"].keys() & told["c"].keys()
    for name, heir in heirs.items():
        heir.handed("a", 1, told[name])
        assert not heir.holder.counts  # it has not said that it ended
        heir.ended("a", 1, {})
        heir.handed("a", 1, told["b"] | told["c"])
        assert heir.holder.counts.keys() == told[name].keys()
        assert heir.add(next(iter(told[name])), 40.0, "b", NEAR) == (True, 0.0)
