"""How much of a tenant within its limit is served once its holder stays on the list and answers nothing.

    python -m benchmarks.silent_holder

Plays the model of counts (`finchshelf/models/counts.py`; virtual time, real decisions) for 24 s, one seed in
all; the holder falls silent at 3 s. Prints the share served from 4 s on and the fullest window over what is
allowed.
"""

from __future__ import annotations

import click

from finchshelf.models.counts import Fleet, Plan

SILENT_AT_S, SERVED_FROM_S, UNTIL_S = 3.0, 4.0, 24.0
CASES = [(12, 60.0), (36, 10.0), (96, 20.0), (200, 5.0), (200, 20.0), (200, 100.0)]  # limiters, rate


def played(limiters: int, rate: float, seed: int, both_ways: bool) -> Fleet:
    fleet = Fleet(Plan(limiters=limiters, rate=rate, hot=0.6, skew=0.0, loss=0.0, until=UNTIL_S), seed)
    pairs = [(fleet.first, name) for name in fleet.others]
    pairs += [(name, fleet.first) for name in fleet.others] if both_ways else []
    fleet.lose(pairs, SILENT_AT_S, UNTIL_S)
    return fleet.play()


@click.command()
@click.option("--seed", default=1, show_default=True)
def main(seed: int) -> None:
    click.echo(f"seed {seed}\nlimiters  rate  lost            served  window")
    for limiters, rate in CASES:
        for both_ways in (False, True):
            fleet = played(limiters, rate, seed, both_ways)
            lost = "both ways" if both_ways else "its answers"
            served, window = fleet.served(SERVED_FROM_S), fleet.worst()
            click.echo(f"{limiters:8} {rate:5g}  {lost:14} {served:7.3f} {window:7.3f}")


if __name__ == "__main__":
    main()
