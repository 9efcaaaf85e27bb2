"""Figures as text: what a program tells of itself on the port that its settings name, and what it refuses."""

from __future__ import annotations

from pathlib import Path
from typing import Any

import pytest
import trio
from prometheus_client.parser import text_string_to_metric_families

from finchshelf import invariants
from finchshelf.cli.system import System
from finchshelf.configuration.boot import MetricsPlace, SettingsError, check_boot, read_boot
from finchshelf.metrics import endpoint, exposition
from finchshelf.metrics.figures import Figures
from finchshelf.transport import net
from finchshelf.transport.address import Address
from finchshelf.transport.exchange import Clock
from finchshelf.transport.telemetry import Telemetry

WORDS = [
    ("9100/metrics", MetricsPlace(9100, "/metrics")),
    ('"9100/a/b"', MetricsPlace(9100, "/a/b")),
    ("9100", None),
    ("/metrics", None),
    ("9100/", None),
    ("0/metrics", None),
    ("70000/metrics", None),
    ("9100/a b", None),
    ("9100/a?b", None),
    ("x/metrics", None),
]


def settings(folder: Path, **more: str) -> Path:
    path = System(folder, net="127.0.0").settings("data-plane", 1)
    path.write_text(path.read_text() + "".join(f"{name}={value}\n" for name, value in more.items()))
    return path


def families(text: bytes) -> dict[str, Any]:
    return {one.name: one for one in text_string_to_metric_families(text.decode())}


def told(telemetry: Telemetry) -> dict[str, Any]:
    return families(exposition.text(Figures(telemetry, lambda: {"requests_open": 3.0})))


@pytest.mark.parametrize(("text", "place"), WORDS)
def test_the_settings_name_a_port_and_a_path_or_a_clear_error(
    text: str, place: MetricsPlace | None, tmp_path: Path
) -> None:
    path = str(settings(tmp_path, metrics=text))
    if place is not None:
        assert read_boot(path).metrics == place and not check_boot(path)
        return
    with pytest.raises(SettingsError, match=r"metrics: expected PORT/PATH"):
        read_boot(path)
    assert any("metrics: expected PORT/PATH" in fault for fault in check_boot(path))


def test_without_the_field_nothing_is_opened(tmp_path: Path) -> None:
    assert read_boot(str(settings(tmp_path))).metrics is None


def test_counters_durations_and_present_values_are_told() -> None:
    telemetry = Telemetry("edge-1")
    telemetry.count["in.requests"] += 7
    for seconds in (0.0005, 0.003, 0.003, 20.0):
        telemetry.observe("request", "out.served", seconds)
    found = told(telemetry)
    assert [
        (one.labels["event"], one.value)
        for one in found["finchshelf_events"].samples
        if one.name.endswith("_total")
    ] == [("in.requests", 7.0)]
    rows = {
        one.labels["le"]: one.value
        for one in found["finchshelf_request_seconds"].samples
        if one.name.endswith("_bucket")
    }
    assert rows["0.001"] == 1 and rows["0.005"] == 3 and rows["10.0"] == 3 and rows["+Inf"] == 4
    assert [one.value for one in found["finchshelf_state"].samples] == [3.0]


@pytest.mark.usefixtures("invariants_may_break")
def test_each_invariant_has_a_row_and_a_violation_is_counted_and_logged() -> None:
    telemetry = Telemetry("edge-1", sink=-1)
    assert not telemetry.monitor.check(False, invariants.SINGLE_RUN, trial="t1")
    assert telemetry.monitor.check(True, invariants.TRIALS_BOUND)
    rows = {
        one.labels["invariant"]: one.value
        for one in told(telemetry)["finchshelf_invariant_violations"].samples
        if one.name.endswith("_total")
    }
    assert rows == {one.name: float(one is invariants.SINGLE_RUN) for one in invariants.CATALOGUE}
    assert telemetry.count["invariant.violated"] == 1


def test_the_page_shows_the_catalogue_of_invariants() -> None:
    names = [one.name for one in invariants.CATALOGUE]
    assert len(set(names)) == len(names)
    assert invariants.table() in (Path(__file__).parent.parent / "docs" / "invariants.md").read_text()


async def get(address: Address, head: bytes) -> tuple[int, bytes]:
    stream = await net.connect(address)
    try:
        await stream.send(head + b" HTTP/1.1\r\nHost: one\r\nConnection: close\r\n\r\n")
        found = b""
        while data := await stream.receive():
            found += data
    finally:
        stream.close()
    top, _, body = found.partition(b"\r\n\r\n")
    return int(top.split()[1]), body


def test_the_listener_answers_on_its_path_alone_and_a_port_that_is_taken_ends_nothing(tmp_path: Path) -> None:
    async def story() -> None:
        taken = await net.listen(Address("127.0.0.1", 0))
        port = taken.getsockname()[1]
        boot = read_boot(str(settings(tmp_path, metrics=f"{port}/metrics")))
        telemetry = Telemetry("edge-1", sink=-1)
        async with trio.open_nursery() as nursery:
            figures = Figures(telemetry, dict)
            await endpoint.serve(boot, figures, Clock(), nursery)
            taken.close()
            await endpoint.serve(boot, figures, Clock(), nursery)
            address = Address("127.0.0.1", port)
            with trio.fail_after(5.0):
                status, body = await get(address, b"GET /metrics")
                assert status == 200 and "finchshelf_invariant_violations" in families(body)
                assert (await get(address, b"GET /other"))[0] == 404
                assert (await get(address, b"POST /metrics"))[0] == 405
            nursery.cancel_scope.cancel()

    trio.run(story)
