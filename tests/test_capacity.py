"""The capacity page's commands: lines through sizes, documents of each size, each part once, small."""

from __future__ import annotations

import math
from collections.abc import Callable
from typing import Any

import pytest

from benchmarks import capacity, changes
from benchmarks.target import LIMITERS, SIZES, Line, Site, document, fit, row
from finchshelf.configuration import change


def test_given_points_on_a_line_when_it_is_fitted_then_it_is_found_with_nothing_left_over() -> None:
    line = fit([(x, 3.0 + 0.5 * x) for x in SIZES])
    assert line == pytest.approx(Line(3.0, 0.5, 0.0)) and line.at(1000) == pytest.approx(503.0)


def test_given_what_grows_as_the_square_when_it_is_fitted_then_the_residual_says_so() -> None:
    line = fit([(x, float(x * x)) for x in (1, 2, 3)])
    assert line.slope == pytest.approx(4.0) and line.base == pytest.approx(-10 / 3)
    assert line.residual == pytest.approx((2 / 3) / 9)
    assert "7%" in row("squares", "", [(1.0, 1.0), (2.0, 4.0), (3.0, 9.0)], 10)
    assert fit([(1, 0.0), (2, 0.0), (3, 0.0)]).residual == 0.0


@pytest.mark.parametrize("points", [[], [(1.0, 2.0)], [(1.0, 2.0), (5.0, 3.0), (5.0, 4.0)]])
def test_given_fewer_than_three_sizes_when_a_line_is_asked_for_then_there_is_none(points: Any) -> None:
    with pytest.raises(ValueError, match="three sizes"):
        fit(points)


def test_given_the_size_to_design_for_when_it_is_made_smaller_then_all_of_it_is() -> None:
    whole, part = Site(LIMITERS), Site(56)
    assert (whole.servers, whole.services, whole.routes, whole.tenants) == (4700, 190, 4100, 15_000)
    assert (part.servers, part.services, part.routes, part.tenants) == (470, 19, 410, 1500)
    read = change.check(document(part, 2, 1), 1)  # a configuration that is valid
    assert (len(read.routes), len(read.services), len(read.tenants)) == (410, 19, 1500)
    assert document(part, 2, 1)["elements"] != document(part, 3, 2)["elements"]


@pytest.mark.parametrize("part", capacity.PARTS)
def test_given_a_small_site_when_each_part_is_measured_then_it_has_figures(
    part: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    def once(work: Callable[[], Any], *_: object) -> float:
        work()
        return 1.0

    monkeypatch.setattr(capacity, "timed", once)
    found = capacity.alone(part, 3)
    assert found and all(math.isfinite(value) and key.count("|") == 1 for key, value in found.items())


def test_given_a_day_of_changes_when_bytes_are_counted_then_each_kind_of_message_is_there() -> None:
    count, cost, size = changes.measured(3, 4, 3, 1, before=2)
    kinds = {key[2] for key in count.bytes}
    assert {"accept asked", "learn asked", "value told", "news asked"} <= kinds
    assert cost > 0 and size > 1000 and count.parts["zip"] > 0
