"""The list of servers: known at start, watched, lost and found again; drains before sends."""

from __future__ import annotations

from dataclasses import replace
from random import Random
from typing import Any

import pytest
import trio
import trio.testing

from finchshelf.admission import interface as i
from finchshelf.node import discovery as module
from finchshelf.node.discovery import BadList, Discovery, TurnedAway, listed
from finchshelf.node.items import Exchange, Listed
from finchshelf.transport.exchange import Answer, Clock
from tests.stand_ins import Discovery as Agent
from tests.stand_ins import Quiet, always, call, config, entry, ok, trio_test, until, world
from tests.test_node_servers import Kept


def news(core: Kept) -> list[tuple[i.ListKind, list[tuple[str, i.ServerState]]]]:
    return [
        (item.members.kind, [(s.name, s.state) for s in item.members.servers])
        for item in core.queue
        if isinstance(item, Listed)
    ]


NEAR = entry("s0", config().listen, up_since_ms=1500, locality="there", cell=3)


async def begun(nursery: trio.Nursery, revision: int) -> tuple[Agent, Kept, Discovery]:
    """An agent whose list is of version 1, and a node that knows one of `revision`."""
    agent = Agent([NEAR])
    await agent.start(nursery)
    settings = config(agent.address, known={"revision": revision, "complete": True, "members": [NEAR]})
    core = Kept(settings, Clock(), Quiet())
    discovery = Discovery(core, settings)
    discovery.begin()
    return agent, core, discovery


@trio_test
async def test_starts_from_what_is_known_and_watches_for_what_came_after() -> None:
    async with trio.open_nursery() as nursery:
        agent, core, discovery = await begun(nursery, 0)
        settings = discovery.config
        assert news(core) == [(i.ListKind.CACHED, [("s0", i.ServerState.READY)])]
        item = core.queue.popleft()
        assert isinstance(item, Listed) and item.addresses == {"s0": settings.listen}
        assert item.members.servers[0] == i.Server("s0", 1, 0, 3, i.ServerState.READY, 1.0, 1.5)
        nursery.start_soon(discovery.run)
        await until(lambda: len(agent.targets) == 2)
        assert agent.targets == ["/v1/servers?after=0&wait_ms=5000", "/v1/servers?after=1&wait_ms=5000"]
        agent.change(entry("s0", settings.listen, "DRAINING"))
        await until(lambda: len(agent.targets) == 3)
        agent.change(entry("s0", settings.listen, "DELETED"))
        await until(lambda: len(agent.targets) == 4)
        assert agent.targets[-1] == "/v1/servers?after=3&wait_ms=5000"
        assert news(core) == [
            (i.ListKind.FULL, [("s0", i.ServerState.READY)]),
            (i.ListKind.CHANGES, [("s0", i.ServerState.DRAINING)]),
            (i.ListKind.CHANGES, [("s0", i.ServerState.GONE)]),
        ]
        assert agent.connections == 1
        nursery.cancel_scope.cancel()


@pytest.mark.parametrize("mode", ["silent", "error", "garbage"])
@trio_test
async def test_failure_is_told_and_tried_again(mode: str, monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(module, "WAIT", 0.1)
    monkeypatch.setattr(module, "GRACE", 0.1)
    async with trio.open_nursery() as nursery:
        agent = Agent([NEAR])
        await agent.start(nursery)
        telemetry = Quiet()
        settings = config(agent.address)
        core = Kept(settings, Clock(), telemetry)
        discovery = Discovery(core, settings)
        nursery.start_soon(discovery.run)
        await until(lambda: discovery.version == 1)
        agent.mode = mode
        agent.change(entry("s0", settings.listen, "DRAINING"))
        await until(lambda: len([kind for kind, _ in news(core) if kind is i.ListKind.FAILED]) > 1)
        agent.mode = "well"
        await until(lambda: news(core)[-1] == (i.ListKind.CHANGES, [("s0", i.ServerState.DRAINING)]))
        states = [fields["state"] for event, fields in telemetry.lines if event == "discovery"]
        assert states == ["up", "lost", "up"]
        nursery.cancel_scope.cancel()


class Crowded:
    """One discovery for many limiters: calls in turn, `WORK` s each, also those that nobody waits for now. A
    call is turned away where the line is full, or after 2 s in it. A watch that goes on costs nothing."""

    WORK, LINE = 0.15, 20

    def __init__(self) -> None:
        self.free_at, self.told, self.calls = 0.0, dict[object, float](), 0

    async def get(self, caller: object, target: str) -> Any:
        now = trio.current_time()
        empty = {"revision": 1, "complete": "after=" not in target, "members": []}
        if now - self.told.get(caller, -1.0) > 0.2:
            self.calls += 1
            wait = max(0.0, self.free_at - now)
            if wait > self.LINE * self.WORK:
                raise TurnedAway("line full")
            self.free_at = max(self.free_at, now) + self.WORK
            await trio.sleep(min(wait + self.WORK, 2.0))
            if wait + self.WORK > 2.0:
                raise TurnedAway("too long in line")
        if "after=" in target:
            await trio.sleep(5.0)
        self.told[caller] = trio.current_time()
        return empty


@pytest.mark.parametrize("seed", [1, 2])
def test_forty_limiters_that_start_at_once_do_not_keep_discovery_from_answering(
    seed: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Danger: asked again and again by all, it works on calls that nobody waits for, and answers none."""
    service, random = Crowded(), Random(seed)
    monkeypatch.setattr(Discovery, "get", lambda self, target: service.get(self, target))
    known = {"revision": 1, "complete": True, "members": [NEAR]}

    async def fleet() -> None:
        async with trio.open_nursery() as nursery:
            for me in range(40):
                one = replace(config(known=known), seed=random.getrandbits(32))
                one = replace(one, settings=replace(one.settings, me=me, limiters=40))
                discovery = Discovery(Kept(one, Clock(), Quiet()), one)
                discovery.begin()
                nursery.start_soon(discovery.run)
            await trio.sleep(40.0)
            assert len(service.told) == 40  # each has had an answer
            calls = service.calls
            await trio.sleep(30.0)
            assert service.calls == calls  # and goes on watching, which costs nothing
            nursery.cancel_scope.cancel()

    trio.run(fleet, clock=trio.testing.MockClock(autojump_threshold=0))


@pytest.mark.parametrize("later", [0.0, 0.02])
@trio_test
async def test_answer_given_twice_is_not_taken_for_that_to_the_next_question(later: float) -> None:
    async with trio.open_nursery() as nursery:
        agent, _, discovery = await begun(nursery, 1)
        agent.waits = False  # nothing new is told at once, and the next question comes after a pause
        answer = agent.answer

        async def doubled(target: str) -> bytes:
            told = await answer(target)
            if len(agent.targets) > 1:
                return told
            await agent.open[0].send_all(told)
            await trio.sleep(later)
            return told

        agent.answer = doubled  # type: ignore[method-assign]
        nursery.start_soon(discovery.run)
        await until(lambda: len(agent.targets) >= 2)
        assert agent.connections == 2
        agent.change(entry("s0", discovery.config.listen, "DELETED"))
        await until(lambda: discovery.version == 2)
        nursery.cancel_scope.cancel()


@trio_test
async def test_list_that_counts_anew_is_asked_for_whole() -> None:
    async with trio.open_nursery() as nursery:
        agent, _, discovery = await begun(nursery, 9)
        agent.waits = False
        nursery.start_soon(discovery.run)
        await until(lambda: discovery.version == 1)
        assert agent.targets[:2] == ["/v1/servers?after=9&wait_ms=5000", "/v1/servers"]
        nursery.cancel_scope.cancel()


@trio_test
async def test_agent_that_never_waits_is_not_asked_without_end() -> None:
    async with trio.open_nursery() as nursery:
        agent = Agent([NEAR])
        await agent.start(nursery)
        agent.waits = False
        settings = config(agent.address)
        nursery.start_soon(Discovery(Kept(settings, Clock(), Quiet()), settings).run)
        await trio.sleep(0.55)
        assert 2 <= len(agent.targets) <= 8
        nursery.cancel_scope.cancel()


@trio_test
async def test_no_agent_at_start_leaves_the_known_list() -> None:
    async with trio.open_nursery() as nursery:
        settings = config(known={"revision": 5, "complete": True, "members": [NEAR]})
        core = Kept(settings, Clock(), Quiet())
        discovery = Discovery(core, settings)
        discovery.begin()
        nursery.start_soon(discovery.run)
        await until(lambda: discovery.asked)
        assert discovery.version == 5 and news(core)[0][0] is i.ListKind.CACHED
        nursery.cancel_scope.cancel()


@trio_test
async def test_drained_server_gets_nothing_more() -> None:
    async with world(always(ok(b"0")), always(ok(b"1"))) as w:
        client = await w.client()
        used = int((await client.ask(call())).body)
        w.discovery.change(entry(f"s{used}", w.servers[used].address, "DRAINING"))
        await until(lambda: any(isinstance(e, i.Members) and e.kind is i.ListKind.CHANGES for e in w.events))
        assert {(await client.ask(call())).body for _ in range(12)} == {b"%d" % (1 - used)}
        assert len(w.servers[used].got) == 1
        assert not w.node.servers.idle.get(f"s{used}")


@trio_test
async def test_news_goes_ahead_of_requests_that_came_before_it() -> None:
    answers: list[Answer] = []
    async with world(always(ok())) as w:
        request = i.Request(1000, 0, 2, 7, w.node.core.clock.now() + 4.0)
        headers = [(b"Host", b"x"), (b"X-Call-Id", b"1")]
        w.node.core.put(Exchange(request, answers.append, b"GET", b"/look/0000000000000007", headers, b""))
        drained = listed(
            {"revision": 2, "complete": False, "members": [entry("s0", w.servers[0].address, "DRAINING")]},
            config(),
        )[1]
        w.node.core.put(drained)
        await until(lambda: answers)
        assert answers[0].status == 429 and not w.servers[0].got


@pytest.mark.parametrize(
    "raw",
    [
        None,
        [],
        {},
        {"revision": 1, "complete": True},
        {"revision": "1", "complete": True, "members": []},
        {"revision": 1, "complete": 1, "members": []},
        {"revision": 1, "complete": True, "members": [{"id": "a"}]},
        {"revision": 1, "complete": True, "members": ["a"]},
        {"revision": 1, "complete": True, "members": [{**NEAR, "cell": float("inf")}]},
        {"revision": 1, "complete": True, "members": [entry("a", config().listen, "ASLEEP")]},
        {"revision": 1, "complete": True, "members": [{**NEAR, "host_port": "some.name:80"}]},
        {"revision": 1, "complete": True, "members": [{**NEAR, "size": "large"}]},
        {"revision": 1, "complete": True, "members": [{**NEAR, "id": 7}]},
    ],
)
def test_what_is_no_list_is_refused_whole(raw: object) -> None:
    with pytest.raises(BadList):
        listed(raw, config())
