"""How new versions fare under the real decisions: what bad ones get, and how many good ones are settled.

    python -m benchmarks.version_trials --days 200

Plays the model of trials (`finchshelf/models/version_trials.py`; virtual time) with so many good versions and
so many bad ones of each kind. Prints for each kind how many were reverted and settled, how many passed the
bound on what a bad version may get, and the largest part of that bound.
"""

from __future__ import annotations

from random import Random

import click

from finchshelf.agreement.transitions import Mode
from finchshelf.models.version_trials import EXPOSED_PART, EXPOSED_SLACK, KINDS, Day, Outcome, drawn

SERVERS = 28
HORIZONS_S = (10.0, 12.0, 14.0, 16.0)


def played(kind: str, seed: int, load: float) -> Outcome:
    random = Random(f"{kind} {seed}")
    horizon_s, servers = random.choice(HORIZONS_S), round(SERVERS * load)
    return Day(drawn(kind, random), seed, servers=servers, horizon_s=horizon_s, load=load).play()


@click.command()
@click.option("--days", default=200, show_default=True, help="Versions of each kind.")
@click.option("--seed", default=1, show_default=True, help="The first seed.")
@click.option("--load", default=1.0, show_default=True, help="Times the requests and servers of a small day.")
@click.option("--show", is_flag=True, help="Each bad version that was settled, or passed the bound.")
def main(days: int, seed: int, load: float, show: bool) -> None:
    click.echo(f"seeds {seed} to {seed + days - 1}\nkind        reverted settled over  most")
    for kind in ("", *KINDS):
        found = [played(kind, at, load) for at in range(seed, seed + days)]
        reverted = sum(one.mode is Mode.REVERTED for one in found)
        settled = sum(one.mode is Mode.SETTLED for one in found)
        over = sum(one.over for one in found) if kind else 0
        most = max(one.exposed / (EXPOSED_PART * one.arrived + EXPOSED_SLACK) for one in found)
        click.echo(f"{kind or 'good':11} {reverted:8} {settled:7} {over:4} {most:5.2f}")
        for one in found if show and kind else ():
            if one.over or one.mode is Mode.SETTLED:
                click.echo(f"  {one.version} {one.horizon_s} {one.mode} {one.ended_s} {one.exposed}")


if __name__ == "__main__":
    main()
