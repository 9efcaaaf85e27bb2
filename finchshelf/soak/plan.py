"""What happens in one seed of the soak: every trouble with its moment, target and span, drawn from the seed.

Owns the kinds of trouble and how they overlap. A seed and a length always give the same plan. It must never
plan the loss of more disks at once than the system promises to bear.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum
from random import Random

CORE = 3  # machines whose control planes have a disk, numbered from 1
MACHINES = 5  # all run a control plane and a data plane
START_S = 3.0  # of calm traffic before the first trouble
TAIL_S = 11.0  # of calm at the end: recovery is judged there
OVERLAP_S = 1.2  # in which the troubles of one group start
DRAIN_CUT_S = 7.0  # of a cut that begins with a departure: others are calm again 4 s after it began
DISK_REST_S = 9.0  # from one loss of a disk to the next: the new member has been named and has learned


class Kind(StrEnum):
    CONTROL_KILL = "control-kill"  # SIGKILL, started again after the span
    CONTROL_WIPE = "control-wipe"  # SIGKILL, its disk emptied, started again
    CONTROL_TERM = "control-term"  # SIGTERM, started again
    CONTROL_PAUSE = "control-pause"  # SIGSTOP, SIGCONT
    CORE_KILL = "core-kill"  # every control plane with a disk at one moment
    CONTROL_POWER = "control-power"  # SIGKILL, and its disk keeps what a loss of power may leave
    ALL_POWER = "all-power"  # the same of every program of every machine at one moment
    ALL_POWER_WIPE = "all-power-wipe"  # the same, and one disk is emptied
    WIPE_HALVES = "wipe-halves"  # a disk is emptied, and the core cut in two while it is replaced
    EDGE_KILL = "edge-kill"
    EDGE_TERM = "edge-term"
    EDGE_PAUSE = "edge-pause"
    EDGES_KILL = "edges-kill"  # more than half of the data planes at one moment
    MACHINE_CUT = "machine-cut"  # from all others of the system
    EDGE_SERVERS_CUT = "edge-servers-cut"  # a machine from some servers
    HALVES_CUT = "halves-cut"  # the machines with a disk in two parts
    DISK_FULL = "disk-full"  # refuses every write
    DISK_STALL = "disk-stall"  # hangs until the span ends
    DISK_SLOW = "disk-slow"  # for long
    CLOCK_STEP = "clock-step"  # a machine's time of day, for good
    LINK_SLOW = "link-slow"  # between a machine and all others
    DRAIN_CUT = "drain-cut"  # a server departs, and whoever acknowledged it is cut off at once, for long
    SETTINGS_RELOAD = "settings-reload"  # SIGHUP
    SERVER_CRASH = "server-crash"
    SERVER_DRAIN = "server-drain"
    SERVER_DEPART = "server-depart"  # says only that it goes, never `decaying`
    SERVER_PAUSE = "server-pause"  # answers nothing for the span
    ANSWERS_LOST = "answers-lost"  # runs requests and resets their connections
    ANSWERS_GARBLED = "answers-garbled"
    ANSWERS_EXTRA = "answers-extra"  # an answer comes twice
    SERVERS_FULL = "servers-full"
    CLIENTS_RUDE = "clients-rude"  # hang up midway, send halves of requests
    CLIENTS_BURST = "clients-burst"
    ORDERS_RACE = "orders-race"  # operators send different changes on one version
    ORDERS_UNHEARD = "orders-unheard"  # operators hang up before the answer and send again
    ORDERS_BAD = "orders-bad"


HOST_LATE = "host-late"  # no trouble of the plan: the machine that plays it was late with this process
# Kinds that strike a machine of the system; the others strike servers, clients or operators.
WIPES = (Kind.CONTROL_WIPE, Kind.ALL_POWER_WIPE, Kind.WIPE_HALVES)  # one disk is lost
ON_CONTROL = (
    Kind.CONTROL_KILL,
    Kind.CONTROL_TERM,
    Kind.CONTROL_PAUSE,
    Kind.CORE_KILL,
    Kind.CONTROL_POWER,
    Kind.ALL_POWER,
    *WIPES,
)
ON_ALL = (Kind.ALL_POWER, Kind.ALL_POWER_WIPE)
ON_EDGE = (Kind.EDGE_KILL, Kind.EDGE_TERM, Kind.EDGE_PAUSE, Kind.EDGES_KILL)
ON_LINKS = (Kind.MACHINE_CUT, Kind.EDGE_SERVERS_CUT, Kind.HALVES_CUT, Kind.LINK_SLOW, Kind.DRAIN_CUT)
ON_DISKS = (Kind.DISK_FULL, Kind.DISK_STALL, Kind.DISK_SLOW)
ON_CLOCKS = (Kind.CLOCK_STEP,)
ON_SERVERS = (
    Kind.SERVER_CRASH,
    Kind.SERVER_DRAIN,
    Kind.SERVER_DEPART,
    Kind.SERVER_PAUSE,
    Kind.ANSWERS_LOST,
    Kind.ANSWERS_GARBLED,
    Kind.ANSWERS_EXTRA,
    Kind.SERVERS_FULL,
)
KINDS: tuple[Kind, ...] = tuple(Kind)


@dataclass(frozen=True, slots=True)
class Pace:
    """How close troubles come: how many start together, and the time between two such groups."""

    together: tuple[int, ...]
    every_s: tuple[float, float]


USUAL = Pace((1, 2, 2, 3, 3), (5.0, 9.0))
DENSE = Pace((2, 3, 3, 4, 5), (2.5, 5.0))


@dataclass(frozen=True, slots=True)
class Trouble:
    """One trouble. `machines`: those of the system that it strikes; `servers`: places of those it strikes in
    the list of servers at that moment; `share`: of the answers, requests or orders that it strikes; of a
    clock the step in s; of a loss of power the seed of what is left."""

    at_s: float
    kind: Kind
    span_s: float
    machines: tuple[int, ...] = ()
    servers: tuple[int, ...] = ()
    share: float = 0.0

    @property
    def until_s(self) -> float:
        return self.at_s + self.span_s


@dataclass(frozen=True, slots=True)
class Plan:
    seed: int
    length_s: float
    troubles: tuple[Trouble, ...]

    def at(self, moment_s: float) -> list[Trouble]:
        """The troubles that last at that moment."""
        return [one for one in self.troubles if one.at_s <= moment_s < one.until_s]


def draw(seed: int, length_s: float, pace: Pace = USUAL) -> Plan:
    """The plan of that seed and pace: groups of troubles that overlap, some calm in between."""
    random = Random(f"soak {seed}" if pace is USUAL else f"soak {seed} {pace}")
    troubles: list[Trouble] = []
    last_disk_s = -DISK_REST_S
    moment_s = START_S
    while moment_s < length_s - TAIL_S:
        for _ in range(random.choice(pace.together)):
            at_s = round(moment_s + random.uniform(0.0, OVERLAP_S), 2)
            kind = random.choice(KINDS)
            if kind in WIPES and at_s - last_disk_s < DISK_REST_S:
                kind = Kind.CONTROL_POWER if kind is Kind.ALL_POWER_WIPE else Kind.CONTROL_KILL
            if kind in WIPES:
                last_disk_s = at_s
            troubles.append(drawn(random, kind, at_s))
        moment_s += random.uniform(*pace.every_s)
    return Plan(seed, length_s, tuple(sorted(troubles, key=lambda one: one.at_s)))


def drawn(random: Random, kind: Kind, at_s: float) -> Trouble:
    span_s = round(random.uniform(0.4, 4.0), 2)
    machine = random.randint(1, MACHINES)
    if kind is Kind.CONTROL_WIPE:
        return Trouble(at_s, kind, min(span_s, 2.0), (random.randint(1, CORE),))
    if kind in (Kind.ALL_POWER_WIPE, Kind.WIPE_HALVES, Kind.CONTROL_POWER):
        return Trouble(at_s, kind, min(span_s, 2.0), (random.randint(1, CORE),), share=random.random())
    if kind is Kind.ALL_POWER:
        return Trouble(at_s, kind, min(span_s, 1.5), tuple(range(1, MACHINES + 1)), share=random.random())
    if kind is Kind.DISK_SLOW:
        return Trouble(at_s, kind, round(random.uniform(3.0, 8.0), 2), (random.randint(1, CORE),))
    if kind is Kind.CLOCK_STEP:
        step_s = random.choice((-20.0, -2.0, 0.5, 20.0))
        return Trouble(at_s, kind, 0.0, (machine,), share=step_s)
    if kind is Kind.DRAIN_CUT:
        cut, server = (random.randint(1, CORE),), (random.randrange(8),)
        return Trouble(at_s, kind, round(random.uniform(DRAIN_CUT_S, DRAIN_CUT_S + 2.0), 2), cut, server)
    if kind is Kind.CORE_KILL:
        return Trouble(at_s, kind, min(span_s, 1.5), tuple(range(1, CORE + 1)))
    if kind is Kind.EDGES_KILL:
        return Trouble(at_s, kind, min(span_s, 1.5), tuple(random.sample(range(1, MACHINES + 1), 3)))
    if kind in ON_DISKS:
        return Trouble(at_s, kind, span_s, (random.randint(1, CORE),))
    if kind is Kind.HALVES_CUT:
        return Trouble(at_s, kind, span_s, tuple(random.sample(range(1, CORE + 1), random.choice((1, 2)))))
    if kind in (*ON_CONTROL, *ON_EDGE, *ON_LINKS, Kind.SETTINGS_RELOAD):
        servers = tuple(random.sample(range(8), 3)) if kind is Kind.EDGE_SERVERS_CUT else ()
        return Trouble(at_s, kind, span_s, (machine,), servers)
    if kind in ON_SERVERS:
        most = 3 if kind in (Kind.ANSWERS_LOST, Kind.ANSWERS_GARBLED, Kind.ANSWERS_EXTRA) else 2
        struck = tuple(random.sample(range(8), random.randint(1, most)))
        return Trouble(at_s, kind, span_s, (), struck, round(random.uniform(0.05, 0.5), 2))
    return Trouble(at_s, kind, span_s, share=round(random.uniform(0.1, 0.6), 2))
