"""Sites in memory, in virtual time: traffic, policies that do what their document says, harm from outside.

Owns the model. A policy acts by what stands in the configuration: a time-out that is too short loses what
takes longer, a quota that is too low refuses. Nothing here knows whether a roll-out is under way; the driver,
the register's rules and the operator's calls are the product's own. Must never be taken for the real
system: its figures are of the decisions alone.
"""

from __future__ import annotations

import math
from collections import Counter
from collections.abc import Callable
from copy import deepcopy
from random import Random
from typing import Any

import orjson

from finchshelf.agreement import core
from finchshelf.configuration import change as changes
from finchshelf.rollout import driver as drivers
from finchshelf.rollout import duty, messages, plan
from finchshelf.rollout.driver import Driver
from finchshelf.rollout.evidence import AT, FIELDS
from finchshelf.rollout.messages import Adjust, Ask, Log, Observe, Save

KINDS = {"status": 25.0, "confirm": 15.0, "release": 12.0}  # requests a second, in a usual hour
ONCE = ("confirm", "release")
BASE = {"late": 0.01, "vanished": 0.0005, "refused": 0.002, "denied": 0.0002, "wrong": 0.001, "broken": 0.002}
CUTOFF, USUAL, SPREAD = 3000.0, 150.0, 0.6  # ms; times are log-normal
KEEPERS = ("hq-1:1", "hq-2:1", "hq-3:1")


def route(label: str, **more: Any) -> dict[str, Any]:
    variant = "mutating" if label in ONCE else "nullipotent"
    return {
        "elementKind": "trajectories",
        "header": {"label": label},
        "reference": {
            "plant": "booking",
            "pathPrefix": f"/{label}/",
            "cutoffMs": CUTOFF,
            "targetMs": 500,
            "variant": variant,
            "subsystem": label,
            "trials": 1 if label in ONCE else 2,
            **more,
        },
    }


def service(label: str, **more: Any) -> dict[str, Any]:
    return {
        "elementKind": "subsystems",
        "header": {"label": label},
        "reference": {"connectionCeiling": 100, **more},
    }


def load(**more: Any) -> dict[str, Any]:
    return {
        "elementKind": "loads",
        "header": {"label": "desk"},
        "reference": {"credentials": ["desk-1", "desk-2"], "rateS": 200, "surge": 50, **more},
    }


def first_document() -> dict[str, Any]:
    return {
        "setpointSeq": "00000001",
        "priorVersion": 0,
        "elements": [
            *map(route, KINDS),
            *map(service, (*KINDS, "small")),
            load(),
            {"elementKind": "saturations", "header": {}, "reference": {"quiescentMs": 15000}},
        ],
    }


def split(gain: float) -> list[dict[str, Any]]:
    return [{"subsystem": "status", "gain": 100 - gain}, {"subsystem": "small", "gain": gain}]


def unsplit(label: str, **more: Any) -> dict[str, Any]:
    found = route(label, **more)
    del found["reference"]["subsystem"]
    return found


GOOD: dict[str, dict[str, Any]] = {
    "longer time": {"apply": {"elements": [route("status", cutoffMs=4000)]}},
    "another key": {"apply": {"elements": [load(credentials=["desk-1", "desk-2", "desk-3"])]}},
    "small share to a new service": {"apply": {"elements": [unsplit("status", distribution=split(3))]}},
}
BAD: dict[str, dict[str, Any]] = {
    "time-outs too short": {"apply": {"elements": [route(kind, cutoffMs=350) for kind in KINDS]}},
    "a quota too low": {"apply": {"elements": [load(rateS=45)]}},
    "a weight that overloads": {"apply": {"elements": [unsplit("status", distribution=split(60))]}},
    "trials that double": {"apply": {"elements": [route("confirm", variant="nullipotent", trials=3)]}},
    "a route to the wrong service": {"apply": {"elements": [route("release", subsystem="small")]}},
    "a key taken away": {"apply": {"elements": [load(credentials=["desk-1"])]}},
    "bad only under load": {"apply": {"elements": [service("confirm", connectionCeiling=3)]}},
    "bad for one kind alone": {"apply": {"elements": [route("release", cutoffMs=450)]}},
    "harm after a minute": {
        "apply": {
            "elements": [
                {"elementKind": "saturations", "header": {}, "reference": {"quiescentMs": 3_600_000}}
            ]
        }
    },
}


def over(ms: float, usual: float = USUAL) -> float:
    """Part of the requests that take longer."""
    return 0.5 * math.erfc(math.log(ms / usual) / (SPREAD * math.sqrt(2)))


class Place:
    """One site: its configuration, as its control planes would keep it, and what its clients meet."""

    def __init__(self, name: str, random: Random, scale: float) -> None:
        self.name, self.random, self.scale = name, random, scale
        self.document, self.version, self.taken = first_document(), 1, set[bytes]()
        self.totals = {kind: [0] * len(FIELDS) for kind in KINDS}
        self.since, self.machines, self.life = 0.0, 9, 1
        self.harmed, self.policies, self.stepped = 0.0, 0, Counter[int]()
        self.rates: dict[str, tuple[dict[str, float], float]] = {}
        self.loaded = -1.0
        self.up = True

    def adjust(self, body: bytes, now: float) -> int:
        """`setpoint.adjust`, by the product's own rules."""
        wanted = changes.read_change("adjust", body)
        if wanted.digest in self.taken:
            return 200
        if wanted.prior != self.version or wanted.version <= self.version:
            return 412
        self.document, self.version = changes.apply(self.document, wanted), wanted.version
        self.taken.add(wanted.digest)
        self.since, self.loaded = now, -1.0
        self.policies += 1
        self.stepped[wanted.version] += 1
        return 200

    def element(self, kind: str, label: str) -> dict[str, Any]:
        found = (one for one in self.document["elements"] if plan.label(one) == (kind, label))
        reference: dict[str, Any] = next(found)["reference"]
        return reference

    def parts(self, kind: str, busy: float, now: float) -> tuple[dict[str, float], float]:
        """Parts of requests that meet each harm, and those run twice, by what the configuration says."""
        given = self.element("trajectories", kind)
        found = dict(BASE)
        found["vanished"] += over(given["cutoffMs"])
        desk, asked = self.element("loads", "desk"), self.scale * busy * sum(KINDS.values())
        found["refused"] += max(0.0, 1 - desk["rateS"] * self.scale / max(1.0, asked))
        found["denied"] += 0.0 if "desk-2" in desk["credentials"] else 0.4
        gain = sum(part["gain"] for part in given.get("distribution", ()) if part["subsystem"] == "small")
        if gain * busy > 20:  # the small service bears a fifth of it
            found["late"] += gain / 100 * 0.7
            found["refused"] += gain / 100 * 0.2
        if given.get("subsystem", kind) != kind:
            found["wrong"] += 0.97
        ceiling = self.element("subsystems", kind)["connectionCeiling"]
        need = KINDS[kind] * busy * USUAL / 1000
        if need > ceiling:
            found["refused"] += 0.15
            found["late"] += 0.25
        saturations = self.element("saturations", "")
        if saturations["quiescentMs"] > 600_000 and now - self.since > 60:
            found["vanished"] += 0.12  # connections that are never closed have used up the descriptors
        twice = 0.004 if kind in ONCE and given["variant"] == "nullipotent" else 0.0
        return found, twice

    def draw(self, mean: float) -> int:
        if mean > 30:
            return max(0, round(self.random.gauss(mean, math.sqrt(mean))))
        left, found = math.exp(-mean), 0
        chance, whole = self.random.random(), left
        while chance > whole and found < 100:
            found += 1
            left *= mean / found
            whole += left
        return found

    def live(self, now: float, step: float, busy: float, outside: dict[str, float]) -> None:
        """`step` seconds of traffic."""
        late = now - self.since > 60
        if self.loaded != busy + late:
            self.rates = {kind: self.parts(kind, busy, now) for kind in KINDS}
            self.loaded = busy + late
        for kind, rate in KINDS.items():
            harms, twice = self.rates[kind]
            row, taken = self.totals[kind], self.draw(rate * busy * self.scale * step)
            row[0] += taken
            for harm, part in harms.items():
                all_of_it = min(1.0, part + outside.get(harm, 0.0))
                seen = min(taken, self.draw(all_of_it * taken))
                row[AT[harm]] += seen
                if part > BASE[harm] + 0.001:  # what the policy alone costs
                    self.harmed += seen * (part - BASE[harm]) / all_of_it
            if twice:
                seen = self.draw(twice * taken)
                row[AT["repeated"]] += seen
                self.harmed += seen

    def evidence(self) -> dict[str, Any]:
        return {
            "version": self.version,
            "machines": self.machines,
            "rows": [["edge", self.life, [[kind, *row] for kind, row in self.totals.items()]]],
        }


class Keepers:
    """The head office's register: the product's acceptors, and messages that arrive unless cut off."""

    def __init__(self) -> None:
        self.acceptors = {
            each: core.Acceptor(core.Member(each, core.FIRST), core.genesis(KEEPERS)) for each in KEEPERS
        }
        self.cut: set[str] = set()
        self.n = 1

    def newest(self) -> core.Value:
        return max(
            (one.decided for one in self.acceptors.values() if one.decided is not None),
            key=lambda value: value.slot,
        )

    def change(self, me: str, make: duty.Make) -> core.Value | str | None:
        """The decided value, why it was refused, or None where no majority answers."""
        for _ in range(20):
            decided = self.acceptors[me].decided
            assert decided is not None
            self.n += 1
            proposer = core.Proposer(me, decided, make, self.n)
            sends = proposer.start()
            while sends and proposer.outcome is None:
                member, message = sends.pop(0)
                if member.address == me or not {me, member.address} & self.cut:
                    reply, _ = self.acceptors[member.address].handle(message)
                    sends += proposer.on_reply(member, reply)
            if isinstance(proposer.outcome, core.Refused):
                return proposer.outcome.reason
            if isinstance(proposer.outcome, core.Decided):
                for address, acceptor in self.acceptors.items():
                    if address == me or not {me, address} & self.cut:
                        acceptor.learn(proposer.outcome.value)
                return proposer.outcome.value
            if proposer.outcome is not None and proposer.outcome.learned is not None:
                self.acceptors[me].learn(proposer.outcome.learned)
        return None


class Hand:
    """A keeper that drives: carries out the driver's orders. `fenced` False is a mutant."""

    def __init__(self, world: World, me: str, epoch: int, state: duty.Document) -> None:
        self.world, self.me, self.epoch = world, me, epoch
        self.driver = world.maker(plan.read(state["plan"]), state, world.now)
        self.gone, self.fenced = False, True
        self.stalled: list[Adjust] = []  # sent, and on its way for long

    def feed(self, event: messages.Event) -> None:
        todo = list(self.driver.take(event))
        while todo and not self.gone:
            todo += self.obey(todo.pop(0))

    def obey(self, order: messages.Order) -> list[messages.Order]:
        world = self.world
        if isinstance(order, Log):
            world.logged.append((world.now, order.event, str(order.fields.get("site", ""))))
            return []
        if isinstance(order, Save):
            made = world.keepers.change(self.me, duty.save(self.me, self.epoch, order.state))
            if (made is None or made == duty.FENCED) and self.fenced:
                self.gone = True
                return []
            return self.driver.take(messages.Saved(order.revision))
        name = order.site.name
        place = world.places[name]
        if isinstance(order, Ask):
            return self.driver.take(messages.Told(name, place.evidence() if place.up else None))
        if isinstance(order, Observe):
            return self.driver.take(messages.Observed(name, place.version, orjson.dumps(place.document)))
        if self.me in world.slow:
            self.stalled.append(order)
            return self.driver.take(messages.Answered(name, order.version, 0))
        status = place.adjust(order.body, world.now)
        if world.lose_answers and world.random.random() < 0.5:
            status = 0
        return self.driver.take(messages.Answered(name, order.version, status))


class World:
    """Sites, keepers and time."""

    def __init__(
        self,
        sites: int,
        change: dict[str, Any],
        seed: int,
        waves: int = 0,
        scale: float = 1.0,
        least_busy: float = 0.0,
        shared: bool = False,
        **watch: Any,
    ) -> None:
        self.random, self.now, self.logged = Random(seed), 0.0, list[tuple[float, str, str]]()
        self.maker: Callable[..., Driver] = Driver
        self.places = {
            f"site-{at:02}": Place(
                f"site-{at:02}", Random(seed * 1000 + at), scale * self.random.uniform(0.7, 1.3)
            )
            for at in range(sites)
        }
        if shared:  # sites within one system
            self.places = dict.fromkeys(self.places, self.places["site-00"])
        rows: list[dict[str, Any]] = [
            {"name": name, "controls": [f"10.{0 if shared else at}.0.1:8407"]}
            for at, name in enumerate(self.places)
        ]
        for row, place in zip(rows if least_busy else (), self.places.values(), strict=False):
            row["least_rate"] = least_busy * place.scale * sum(KINDS.values())
        for at, row in enumerate(rows if waves else ()):  # one, then few, then each wave three times as many
            row["wave"] = 1 if at == 0 else 2 + min(waves - 2, int(math.log(at, 3)))
        given = {
            "name": "try",
            "change": deepcopy(change),
            "sites": rows,
            "watch": {"before_s": 60, "window_s": 100, "least": 400, "poll_s": 1, **watch},
            "kinds": [{"route": kind, "once": kind in ONCE} for kind in KINDS],
        }
        self.plan = plan.read(given)
        self.keepers, self.hands = Keepers(), dict[str, Hand]()
        self.heard: dict[str, tuple[int, float]] = dict.fromkeys(KEEPERS, (-1, 0.0))
        self.dead: set[str] = set()
        self.slow: set[str] = set()
        self.lose_answers = False
        self.outside: Callable[[str, float], dict[str, float]] = lambda _site, _now: {}
        self.busy: Callable[[float], float] = lambda now: 1.0 + 0.15 * math.sin(now / 90)
        self.events: list[tuple[float, Callable[[World], None]]] = []
        assert isinstance(self.keepers.change(KEEPERS[0], duty.start(drivers.begin(self.plan))), core.Value)

    @property
    def document(self) -> duty.Document:
        return duty.read(self.keepers.newest())

    @property
    def state(self) -> duty.Document:
        found: duty.Document = self.document["state"]
        return found

    def keep(self, me: str) -> None:
        """One turn of a keeper: drive, or see whether somebody does."""
        hand = self.hands.get(me)
        if hand is not None and not hand.gone:
            made = self.keepers.change(me, duty.save(me, hand.epoch, None))
            if made in (None, duty.FENCED) and hand.fenced:
                hand.gone = True
                return
            document = duty.read(self.keepers.acceptors[me].decided)
            hand.feed(
                messages.Tick(self.now, self.now, document["paused"], document["abort"], document["leave"])
            )
            return
        document = duty.read(self.keepers.acceptors[me].decided)
        beat, at = self.heard[me]
        if document["beat"] != beat or not duty.running(document):
            self.heard[me] = document["beat"], self.now
        elif self.now - at >= duty.LEASE or not document["driver"]:
            made = self.keepers.change(me, duty.win(me, document["epoch"]))
            if isinstance(made, core.Value):
                won = duty.read(made)
                self.hands[me] = Hand(self, me, won["epoch"], won["state"])

    def turn(self) -> None:
        step = self.plan.poll
        self.now += step
        while self.events and self.events[0][0] <= self.now:
            self.events.pop(0)[1](self)
        busy = self.busy(self.now)
        busy = round(busy, 1)
        for name, place in {place.name: place for place in self.places.values()}.items():
            place.live(self.now, step, busy, self.outside(name, self.now))
        for me in KEEPERS:
            if me not in self.dead:
                self.keep(me)

    def run(self, limit: float = 3600.0) -> str:
        """To the roll-out's end; how it ended."""
        while self.now < limit and duty.running(self.document):
            self.turn()
        return str(self.state["phase"])

    def changed(self) -> list[str]:
        """Sites that ever got a policy of the roll-out."""
        return [name for name, place in self.places.items() if place.policies]


def surges(now: float) -> float:
    """Traffic with a busy quarter of an hour now and then."""
    return 1.0 + 0.5 * math.sin(now / 90 - 1.0)


def crash(site: str, at: float, part: float) -> Callable[[str, float], dict[str, float]]:
    """What a loss of machines costs at one site, whatever its policy: a burst until it is known, then too
    little room until all have settled."""

    def outside(name: str, now: float) -> dict[str, float]:
        if name != site or not at <= now < at + 9.0:
            return {}
        if now >= at + 2.5:
            return {"late": 0.2 * part, "refused": 0.1 * part}
        return {"vanished": 0.3 * part, "broken": 0.3 * part, "late": 0.5 * part, "refused": 0.2 * part}

    return outside
