"""What a limiter's log says of holders that answer late."""

from __future__ import annotations

from typing import Any

from finchshelf.dataplane.punctuality import MOST_HOLDERS, Punctuality


class Lines(list[dict[str, Any]]):
    def log(self, event: str, **fields: object) -> None:
        self.append({"event": event, **fields})


def test_given_late_and_missing_answers_then_one_line_names_their_holder_once() -> None:
    lines, punctuality = Lines(), Punctuality()
    punctuality.late("edge-a-2", 0.041)
    punctuality.late("edge-a-2", 0.13)
    punctuality.missing("edge-a-2")
    punctuality.report(lines)
    punctuality.report(lines)
    row = {"holder": "edge-a-2", "late": 2, "missing": 1, "slowest_ms": 130}
    assert lines == [{"event": "holders.late", "holders": [row], "of": 1}]


def test_given_many_late_holders_then_the_line_is_bounded_and_names_the_worst_first() -> None:
    lines, punctuality = Lines(), Punctuality()
    for number in range(50):
        for _ in range(number + 1):
            punctuality.missing(f"edge-{number}")
    punctuality.report(lines)
    assert [row["holder"] for row in lines[0]["holders"]] == [f"edge-{49 - n}" for n in range(MOST_HOLDERS)]
    assert lines[0]["of"] == 50
