"""What a cell knows of servers' behaviour: limiters' rows, its verdicts on them and other cells' verdicts.

Owns the rows, the verdicts and their change number. No I/O and no clock. It must never judge a service that
is another cell's: each has one owner, the cell that rendezvous names of those heard. Two owners would each
keep to the floor and break it together, and a limiter that sees all as bad would seem to see a part.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable
from dataclasses import dataclass, replace
from typing import Any

from finchshelf.experience.policy import DEFAULT, Policy
from finchshelf.experience.wayback import FULL, LOWERED, OUT, RISING, TRIAL, Way
from finchshelf.experience.witness import Opinion, Place, Row, Witness, allot, read_row
from finchshelf.membership import rendezvous
from finchshelf.membership.records import Server, Unfit

FINE, KEEP = 0.1, 0.02  # change of a share that is worth telling; of one that the floor keeps up
KEPT = 150.0  # s that the verdict of a server back at full share is kept: its falls count until then
WORDS = 3  # witnesses named in a verdict


@dataclass(frozen=True, slots=True)
class Verdict:
    """Where one server stands by its owner's word; the higher `count` wins everywhere."""

    server: str
    count: int
    cell: str
    share: float
    state: str
    holder: str = ""
    round: int = 0
    dead: bool = False
    rate: float = 0.0  # how bad it was: the order of who is kept in use
    falls: int = 0
    at: float = 0.0
    why: str = ""

    def newer(self, other: Verdict | None) -> bool:
        return other is None or (self.count, self.cell) > (other.count, other.cell)

    def pack(self, whole: bool) -> list[Any]:
        """`whole`: for another cell; limiters need not know why."""
        row = [self.server, self.count, self.cell, self.share, self.state, self.holder, self.round, self.dead]
        return [*row, round(self.rate, 2), self.falls, round(self.at, 2), self.why] if whole else row


def read_verdict(row: Any) -> Verdict:
    try:
        server, count, cell, share, state, holder, number, dead, *rest = row
        rate, falls, at, why = rest or (0.0, 0, 0.0, "")
        if state not in (FULL, LOWERED, OUT, TRIAL, RISING):
            raise ValueError(f"state {state!r}")
        return Verdict(
            str(server),
            int(count),
            str(cell),
            min(1.0, max(0.0, float(share))),
            str(state),
            str(holder),
            int(number),
            bool(dead),
            float(rate),
            int(falls),
            float(at),
            str(why),
        )
    except (TypeError, ValueError) as error:
        raise Unfit("read a verdict", "row", repr(error)) from None


def owner(service: str, named: Iterable[str]) -> str:
    """Which of the cells that are heard judges its servers."""
    return rendezvous.first(service, named) or ""


class Board:
    def __init__(
        self,
        address: str,
        policy: Policy = DEFAULT,
        log: Callable[..., None] = lambda *_, **__: None,
        witness: Witness | None = None,
    ) -> None:
        self.address, self.policy, self.log = address, policy, log
        self.witness = witness or Witness(policy)
        self.rows: dict[str, dict[str, Row]] = {}
        self.ways: dict[str, Way] = {}
        self.verdicts: dict[str, Verdict] = {}
        self.revs: dict[str, int] = {}
        self.rev = 0

    # ---- what is told ----

    def tell(self, limiter: str, rows: Iterable[Any], now: float) -> set[str]:
        """A limiter's rows; the servers that they are of."""
        told = set()
        for raw in rows:
            row = read_row(limiter, raw, now)
            known = self.rows.setdefault(row.server, {}).get(limiter)
            # A lower version that comes soon is an old one; much later it is of the limiter's next life.
            if known is None or row.version > known.version or now - known.at > 2 * self.policy.forget:
                self.rows[row.server][limiter] = row
                told.add(row.server)
        return told

    def put(self, verdict: Verdict) -> bool:
        """Another cell's verdict; True if it is news."""
        if not verdict.newer(self.verdicts.get(verdict.server)):
            return False
        self.keep(verdict)
        self.ways.pop(verdict.server, None)  # whoever owns it next goes on from the newest word
        return True

    def keep(self, verdict: Verdict) -> None:
        self.verdicts[verdict.server] = verdict
        self.rev += 1
        self.revs[verdict.server] = self.rev

    def since(self, rev: int, whole: bool) -> list[list[Any]]:
        return [self.verdicts[name].pack(whole) for name, at in self.revs.items() if at > rev]

    def way(self, server: str, now: float) -> Way:
        found = self.ways.get(server)
        if found is None:
            found, known = Way(since=now), self.verdicts.get(server)
            if known is not None:
                found.state, found.falls, found.round = known.state, known.falls, known.round
                if known.state in (OUT, TRIAL):
                    # What its former owner's grants were is not known here: a new wait, a new round.
                    found.falls = max(1, found.falls)
                    found.close(self.policy, now)
                elif known.state == RISING:
                    found.rise(now)
            self.ways[server] = found
        return found

    def bid(self, server: str, limiter: str, number: int, now: float) -> bool:
        way = self.ways.get(server)
        # Danger: one that sees all as bad would find every recovered server bad as well.
        doubted = self.witness.doubted.get(limiter, 0.0) > now
        return way is not None and not doubted and way.bid(limiter, number, self.policy, now)

    def tried(self, server: str, limiter: str, number: int, well: bool, now: float) -> None:
        way = self.ways.get(server)
        if way is not None and way.tried(limiter, number, well, self.policy, now) and way.state == RISING:
            self.rows.pop(server, None)

    # ---- what follows ----

    def busy(self) -> bool:
        return bool(self.rows or self.verdicts)

    def look(self, servers: Iterable[Server], named: Iterable[str], limiters: int, now: float) -> bool:
        """Judge anew; True if others must hear of it. `named`: the cells that are heard."""
        if not self.busy():
            return False
        heard, before = list(named), self.rev
        services: dict[str, list[Server]] = {}
        known = set()
        for record in servers:
            known.add(record.id)
            if record.usable():
                services.setdefault(record.service, []).append(record)
        self.forget(known, now)
        for service, records in services.items():
            if (
                any(one.id in self.rows or one.id in self.verdicts for one in records)
                and owner(service, heard) == self.address
            ):
                self.judge(records, limiters, now)
        return self.rev > before

    def forget(self, known: set[str], now: float) -> None:
        """A life that has ended leaves nothing behind; old words go."""
        for name in [name for name in self.rows if name not in known]:
            del self.rows[name]
        for name, rows in list(self.rows.items()):
            fresh = {limiter: row for limiter, row in rows.items() if now - row.at < 4 * self.policy.forget}
            if fresh:
                self.rows[name] = fresh
            else:
                del self.rows[name]
        for name, verdict in list(self.verdicts.items()):
            if name not in known or (verdict.state == FULL and now - verdict.at > KEPT):
                del self.verdicts[name], self.revs[name]
                self.ways.pop(name, None)

    def judge(self, records: list[Server], limiters: int, now: float) -> None:
        names = [one.id for one in records]
        credit, doubted = self.witness.credits(self.rows, names, limiters, now)
        for limiter in doubted:
            self.log("witness.ignored", limiter=limiter, service=records[0].service)
        mine: dict[str, tuple[Way, Opinion]] = {}
        for one in records:
            if one.id in self.rows or one.id in self.verdicts:
                way = self.way(one.id, now)
                since = way.since if way.state == RISING else float("-inf")
                mine[one.id] = way, self.witness.opinion(self.rows.get(one.id, {}), credit, now, since)
        bad = sum(one.witnesses > 0 and not one.dead for _, one in mine.values())
        # Danger: a service that fails or slows as a whole has no servers to steer to: none is left for it.
        common = bad > self.policy.most * len(records) and bad > 1
        places = []
        for one in records:
            verdict = self.verdicts.get(one.id)
            if one.id not in mine:
                places.append(Place(one.id, one.zone, one.capacity, 1.0, 0.0, False))
                continue
            way, opinion = mine[one.id]
            wanted = self.step(way, Opinion() if common and not opinion.dead else opinion, now)
            out = way.state in (OUT, TRIAL)
            dead, rate = out and opinion.dead, opinion.rate
            if out and verdict is not None and verdict.state in (OUT, TRIAL):
                dead, rate = dead or verdict.dead, max(rate, verdict.rate)  # nobody sees it now
            mine[one.id] = way, replace(opinion, dead=dead)
            places.append(Place(one.id, one.zone, one.capacity, wanted, rate, dead))
        shares = allot(places, self.policy)
        for place in places:
            if place.server in mine:
                self.settle(place, *mine[place.server], shares[place.server], now)

    def step(self, way: Way, opinion: Opinion, now: float) -> float:
        """The share that it should have."""
        if way.state == RISING and opinion.witnesses:
            # One failure at one limiter slows it for all.
            way.fell(self.policy, now, f"failed on the way back, {opinion.words()}")
        elif way.state in (FULL, LOWERED):
            wanted, eject = self.witness.wanted(opinion)
            if eject:
                way.fell(self.policy, now, f"left by all, {opinion.words()}")
                return 0.0
            if wanted < 1.0 or way.state == LOWERED:
                state = LOWERED if wanted < 1.0 else FULL
                way.since = way.since if way.state == state else now
                way.state = state
                way.note = f"lowered, {opinion.words()}" if state == LOWERED else "no bad word is left"
            way.look(self.policy, now)
            return wanted
        way.look(self.policy, now)
        return way.share(self.policy)

    def settle(self, place: Place, way: Way, opinion: Opinion, share: float, now: float) -> None:
        """Tell of it, if it is another than before."""
        old = self.verdicts.get(place.server)
        if old is None and way.state == FULL:
            return
        kept = share > place.wanted + 0.01
        now_is = (way.state, way.holder, way.round, way.falls)
        if (
            old is not None
            and (old.state, old.holder, old.round, old.falls) == now_is
            and abs(old.share - share) < (KEEP if kept else FINE)
            and old.cell == self.address
        ):
            return
        rows = sorted(self.rows.get(place.server, {}).values(), key=lambda row: -row.weight)
        doubted = self.witness.doubted
        why = "; ".join(
            row.words(now) + ", not heard" * (doubted.get(row.limiter, 0.0) > now) for row in rows[:WORDS]
        )
        if not why and old is not None:
            why = old.why.partition(" | ")[2]
        notes = [
            way.note,
            "kept in use by the floor" * kept,
            f"next trial in {max(0.0, way.next_at - now):.1f} s" * (way.state == OUT),
        ]
        why = f"{'; '.join(filter(None, notes))} | {why}"
        count = old.count + 1 if old is not None else 1
        self.keep(
            Verdict(
                place.server,
                count,
                self.address,
                share,
                way.state,
                way.holder,
                way.round,
                place.dead,
                place.rate,
                way.falls,
                now,
                why[:400],
            )
        )
        was = old.state if old is not None else FULL
        if way.state == OUT and was in (FULL, LOWERED, RISING):
            self.log("server.steered", server=place.server, share=share, falls=way.falls, why=why)
        elif way.state == FULL and was == RISING:
            self.log("server.back", server=place.server, falls=way.falls)
