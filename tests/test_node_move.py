"""New settings on a running node: the first seconds after the switch, on loopback sockets."""

from __future__ import annotations

import copy
import json
from pathlib import Path
from typing import Any

import pytest
import trio

from finchshelf.admission import interface as i
from finchshelf.admission.servers import Servers
from finchshelf.node.process import reload
from tests.stand_ins import SETTINGS, Got, World, call, config_object, entry, ok, trio_test, until, world
from tests.world import server, settings


def switch(made: World, tmp_path: Path, patch: pytest.MonkeyPatch, **changes: Any) -> None:
    """What SIGHUP does with a file that has these settings."""
    raw = config_object(made.discovery.address, made.counter.address)
    raw["settings"] = {**copy.deepcopy(SETTINGS), **changes}
    path = tmp_path / "config.json"
    path.write_text(json.dumps(raw))
    patch.setenv("BALANCER_CONFIG", str(path))
    reload(made.node, made.telemetry)


async def good(_: Got) -> bytes | None:
    return ok(b"here")


@trio_test
async def test_requests_end_under_the_settings_they_came_under(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    gate = trio.Event()

    async def held(got: Got) -> bytes | None:
        if got.target.startswith(b"/post"):
            await gate.wait()
        return ok(b"here")

    async with world(held, held) as made:
        waiting, usual, core = await made.client(), await made.client(), made.node.core
        await waiting.send(call("post"))
        await until(lambda: any(s.got for s in made.servers))
        before = core.limiter
        lanes = [*SETTINGS["lanes"][::-1], {**SETTINGS["lanes"][0], "name": "new"}]  # other places, one more
        switch(made, tmp_path, monkeypatch, lanes=lanes)
        assert (await usual.ask(call("new", method="GET"))).status == 200
        assert (await usual.ask(call("look"))).status == 200
        assert core.limiter is not before and core.former == [before]
        gate.set()
        assert (await waiting.receive()).body == b"here"
        await until(lambda: not core.former)
        counts = core.count
        assert (counts["in.requests"], counts["out.served"], counts["attempts.sent"]) == (3, 3, 3)
        assert not [name for name in counts if name.startswith("broken.")]


@trio_test
async def test_equal_settings_and_files_of_no_use_change_nothing(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    async with world(good) as made:
        core = made.node.core
        before = core.limiter
        switch(made, tmp_path, monkeypatch)
        switch(made, tmp_path, monkeypatch, **{"family-info": {"may-count": True, "inbox-per-s": -1}})
        assert made.telemetry.lines[-1][1]["state"] == "kept the old"
        assert (await (await made.client()).ask(call())).status == 200
        assert core.limiter is before


@trio_test
async def test_what_drains_gets_nothing_after_the_switch_and_beliefs_are_kept(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    async with world(good, good, good) as made:
        client, core = await made.client(), made.node.core
        assert (await client.ask(call())).status == 200
        made.discovery.change(entry("s0", made.servers[0].address, "DRAINING"))
        made.discovery.members[0] = entry("s0", made.servers[0].address, "DRAINING")
        await until(lambda: core.members["s0"].state is i.ServerState.DRAINING)
        core.limiter.servers.table["s1"].failed = 0.125
        before, got = core.limiter, len(made.servers[0].got)
        usual = before.servers.typical = 0.0625
        switch(made, tmp_path, monkeypatch, prices={"waste": 0.5})
        await until(lambda: core.limiter is not before)
        assert (core.limiter.servers.typical, core.limiter.servers.table["s1"].failed) == (usual, 0.125)
        for _ in range(20):
            assert (await client.ask(call())).status == 200
        made.discovery.change(entry("s1", made.servers[1].address, "DRAINING"))
        await until(lambda: core.members["s1"].state is i.ServerState.DRAINING)
        more = len(made.servers[1].got)
        for _ in range(20):
            assert (await client.ask(call())).status == 200
        assert (len(made.servers[0].got), len(made.servers[1].got)) == (got, more)
        assert 0 < core.limiter.servers.typical < usual * 2


@trio_test
async def test_ceiling_starts_with_half_its_slack_after_the_switch(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    plan = {
        "refill": 50.0,
        "most-at-once": 100.0,
        "price": 1.0,
        "name": "team",
        "never-over-rate": 0.5,
        "ceiling-burst": 8.0,
        "hard-slack": 4.0,
    }
    async with world(good) as made:
        client = await made.client()
        switch(made, tmp_path, monkeypatch, contracts=[plan])
        first = [(await client.ask(call())).status for _ in range(12)]
        switch(made, tmp_path, monkeypatch, contracts=[{**plan, "price": 2.0}])
        second = [(await client.ask(call())).status for _ in range(12)]
        assert first.count(200) <= 3 and second.count(200) <= 3  # never a second burst of eight


def test_beliefs_carry_over_where_they_mean_the_same() -> None:
    config = settings()
    former, new = Servers(config, 1), Servers(config, 2)
    other = Servers(settings(classes=config.classes[:1]), 3)
    former.update(i.Members(i.ListKind.FULL, (server("a", started=5.0), server("b"), server("c"))), 10.0)
    now = (server("a", started=9.0), server("b"), server("d"))
    former.typical = 0.4
    for health in former.table.values():
        health.slow, health.failed, health.turn, health.tokens = 3.0, 0.5, 10, -1
    for servers in (new, other):
        servers.update(i.Members(i.ListKind.FULL, now), 10.0)
        servers.inherit(former)
        assert [(h.slow, h.failed, h.tokens) for h in map(servers.table.__getitem__, "abd")] == [
            (1.0, 0.0, 0),
            (3.0, 0.5, -1),
            (1.0, 0.0, 0),
        ]  # a has started anew, d is another
    assert new.typical == 0.4 != other.typical  # other classes, other times


@pytest.mark.parametrize(
    ("change", "said"),
    [
        (
            {"lanes": [{k: v for k, v in SETTINGS["lanes"][0].items() if k != "deadline"}]},
            "lanes[0].deadline",
        ),
        ({"lanes": [{**SETTINGS["lanes"][0], "deadline": 0.0}]}, "positive"),
        ({"ceilings": {**SETTINGS["ceilings"], "try-limit": 0}}, "try-limit"),
        ({"ceilings": {k: v for k, v in SETTINGS["ceilings"].items() if k != "cancel"}}, "ceilings.cancel"),
        ({"rules": None}, "rules"),
    ],
)
@trio_test
async def test_a_broken_file_changes_nothing_and_is_counted(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, change: dict[str, Any], said: str
) -> None:
    async with world(good) as made:
        before = made.node.core.limiter
        switch(made, tmp_path, monkeypatch, **change)
        event, fields = made.telemetry.lines[-1]
        assert (event, fields["state"]) == ("reload", "kept the old") and said in fields["error"]
        assert made.telemetry.count["reloads.refused"] == 1
        assert (await (await made.client()).ask(call())).status == 200
        assert made.node.core.limiter is before


@trio_test
async def test_a_dropped_class_is_still_read_for_a_moment(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    async with world(good) as made:
        client, core = await made.client(), made.node.core
        lanes = [{**SETTINGS["lanes"][0], "name": "new"}, *SETTINGS["lanes"][1:]]  # look is dropped
        switch(made, tmp_path, monkeypatch, lanes=lanes)
        assert (await client.ask(call("look"))).status == 200  # by the former settings, for 1.2 s
        assert (await client.ask(call("new", method="GET"))).status == 200
        await trio.sleep(1.3)
        assert (await client.ask(call("look"))).status == 400
        assert (core.count["out.served"], core.count["in.bad"]) == (2, 1)
