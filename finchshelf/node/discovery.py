"""The list of servers, as discovery's agent on this machine tells it.

Owns the one connection to the agent and the version of the list. It must never keep the module from news: a
whole list or a change goes to the core as it comes, silence and errors are told and tried again. It decides
nothing about servers.
"""

from __future__ import annotations

import math
from random import Random
from typing import Any

import h11
import orjson
import trio

from finchshelf.admission import interface as i
from finchshelf.node.config import Config, ConfigError, address
from finchshelf.node.core import Core
from finchshelf.node.items import Listed
from finchshelf.transport import net
from finchshelf.transport.address import Address

WAIT = 5.0  # s that a watch may wait: short, so that an agent gone silent is noticed
GRACE = 1.5  # s beyond the wait until silence is a failure
WHOLE = 3.0  # s for a whole list, which may wait for its turn
FIRST, FRESH = 1.0, 0.1  # s until clients are taken before the first answer: with no list known; with one, as
# what is newer than that comes at once
PAUSE = 0.1  # s before the next try after a failure: within the 200 ms in which a watch goes on
GROWTH = 2.0  # times the pause before, after one failure more
MOST_PAUSE = 3.0  # s: half of the 6 s after which news counts as told (protocol), so that one falls into them
RETRIES = 4.0  # calls a second of all limiters together while discovery turns them away
MOST_LIST = 1 << 20

STATE = {"SERVING": i.ServerState.READY, "DRAINING": i.ServerState.DRAINING, "DELETED": i.ServerState.GONE}


class BadList(ValueError):
    """An answer that is no list of servers."""


class TurnedAway(BadList):
    """Discovery has more callers than it bears."""


def listed(raw: Any, config: Config, cached: bool = False) -> tuple[int, Listed]:
    """A list's version and what it says; an entry that can't be read makes the whole answer bad."""
    try:
        version, whole = raw["revision"], raw["complete"]
        if not isinstance(version, int) or not isinstance(whole, bool):
            raise BadList("revision and complete")
        servers, addresses = [], {}
        for entry in raw["members"]:
            server = member(entry, config)
            servers.append(server)
            if server.state is not i.ServerState.GONE:
                addresses[server.name] = address(entry["host_port"], "host_port")
    except (KeyError, TypeError, ValueError, AttributeError, ArithmeticError, ConfigError) as error:
        raise BadList(f"no list of servers: {error!r}") from None
    kind = i.ListKind.CACHED if cached else i.ListKind.FULL if whole else i.ListKind.CHANGES
    return version, Listed(i.Members(kind, tuple(servers)), addresses)


def member(entry: Any, config: Config) -> i.Server:
    around = config.around
    size, started = float(entry.get("size", 1.0)), float(entry.get("up_since_ms", 0)) / 1000
    if not isinstance(entry["id"], str) or not math.isfinite(size) or not math.isfinite(started):
        raise BadList("id, size and up_since_ms")
    zone, kind = index(around.zones, entry.get("locality")), index(around.kinds, entry.get("flavor"))
    return i.Server(entry["id"], zone, kind, int(entry.get("cell", 0)), STATE[entry["phase"]], size, started)


def index(names: tuple[str, ...], name: object) -> int:
    """The place of a name in the settings; one that they don't have is like nothing known: -1."""
    return names.index(name) if isinstance(name, str) and name in names else -1


class Discovery:
    def __init__(self, core: Core, config: Config) -> None:
        self.core, self.config = core, config
        self.telemetry, self.count = core.telemetry, core.telemetry.count
        self.address, self.asking = config.discovery, trio.CancelScope()
        self.version = -1
        self.random, self.pause = Random(config.seed), PAUSE
        self.first_ended = False  # the first call at start, well or not
        self.began = math.inf
        self.well: bool | None = None
        self.http: h11.Connection | None = None
        self.stream: net.Stream | None = None

    @property
    def asked(self) -> bool:
        """May clients be taken? Once the first call has ended, or has taken too long."""
        known = self.config.known and self.version >= 0
        return self.first_ended or trio.current_time() > self.began + (FRESH if known else FIRST)

    def begin(self) -> None:
        """What this node last knew, before anything is asked."""
        self.began = trio.current_time()
        if self.config.known:
            try:
                self.version, known = listed(self.config.known, self.config, cached=True)
            except BadList as error:
                self.telemetry.log("discovery", state="bad known list", error=str(error))
            else:
                self.core.put(known)
                self.version = self.version if known.members.servers else -1  # of nothing the whole is asked

    def renew(self, config: Config) -> None:
        """Read the list by other names of zones and kinds; it is asked for as a whole."""
        self.config = config

    def move(self, address: Address) -> None:
        """Ask another agent from now on, for the whole list first: its versions may be others."""
        self.address, self.pause = address, PAUSE
        self.asking.cancel()

    async def run(self) -> None:
        # Danger: whole lists for a whole fleet at once are more than discovery gives in seconds, and a watch
        # is to follow each. So the first call is that watch already, for what came after the known list.
        while True:
            target, limit = "/v1/servers", WHOLE
            if self.version >= 0:
                target, limit = f"{target}?after={self.version}&wait_ms={WAIT * 1000:.0f}", WAIT + GRACE
            with trio.CancelScope() as self.asking:
                await self.ask(target, limit)
            if self.asking.cancel_called:
                self.hang_up()
                self.version = -1

    async def ask(self, target: str, limit: float) -> None:
        """One call, and the pause that is due after it."""
        began = trio.current_time()
        try:
            with trio.fail_after(limit):
                raw = await self.get(target)
            version, news = listed(raw, self.config)
        except Exception as error:  # a broken connection, no HTTP, no list, silence: all the same here
            self.hang_up()
            self.tell(False, repr(error))
            self.core.put(Listed(i.Members(i.ListKind.FAILED), {}))
            self.count["discovery.failed"] += 1
            self.first_ended = True
            # Danger: a whole fleet that asks again in step, ten times a second each, keeps discovery so busy
            # that it turns all of them away for good. So all together keep to a rate, each at its own time.
            if isinstance(error, TurnedAway):
                await trio.sleep(PAUSE + self.random.random() * self.config.settings.limiters / RETRIES)
            else:
                await trio.sleep(self.pause * self.random.uniform(0.5, 1.0))
                self.pause = min(MOST_PAUSE, self.pause * GROWTH)
        else:
            self.pause = PAUSE
            self.tell(True)
            self.first_ended = True
            self.count["discovery.answers"] += 1
            if news.members.servers or news.members.kind is i.ListKind.FULL:
                self.changed(news)
                self.core.put(news)
            if version == self.version:
                # Danger: an agent that answers a watch at once, with nothing new, is asked without end.
                await trio.sleep_until(began + PAUSE)
            # Danger: one that counts anew, behind what this node knows, would have nothing newer for long.
            self.version = version if version >= self.version or news.members.kind is i.ListKind.FULL else -1

    def tell(self, well: bool, error: str = "") -> None:
        if well is not self.well:
            self.well = well
            self.telemetry.log("discovery", state="up" if well else "lost", error=error)

    def changed(self, news: Listed) -> None:
        for server in news.members.servers:
            if news.members.kind is i.ListKind.CHANGES:
                self.telemetry.log(
                    "server", server=server.name, state=server.state.value, started=round(server.started, 3)
                )
        if news.members.kind is i.ListKind.FULL:
            self.telemetry.log("list", servers=len(news.members.servers))

    async def get(self, target: str) -> Any:
        if self.stream is not None and not self.stream.silent():
            # Danger: an answer that lies here was not given to this question; nor were all that came after.
            self.count["discovery.unasked"] += 1
            self.hang_up()
        if self.stream is None:
            self.stream = await net.connect(self.address)
            self.http = h11.Connection(h11.CLIENT)
        assert self.http is not None
        http, stream = self.http, self.stream
        request = h11.Request(method="GET", target=target, headers=[("Host", str(self.address))])
        await stream.send((http.send(request) or b"") + (http.send(h11.EndOfMessage()) or b""))
        body, status = bytearray(), 0
        while True:
            event = http.next_event()
            if event is h11.NEED_DATA:
                http.receive_data(await stream.receive())
            elif isinstance(event, h11.Response):
                status = event.status_code
            elif isinstance(event, h11.Data):
                body += event.data
                if len(body) > MOST_LIST:
                    raise BadList("too large")
            elif isinstance(event, h11.EndOfMessage):
                break
            elif isinstance(event, h11.ConnectionClosed):
                raise BadList("closed")
        if http.our_state is h11.DONE and http.their_state is h11.DONE and not http.trailing_data[0]:
            http.start_next_cycle()
        else:
            self.hang_up()
        if status in (429, 503):
            raise TurnedAway(f"status {status}")
        if status != 200:
            raise BadList(f"status {status}")
        return orjson.loads(bytes(body))

    def hang_up(self) -> None:
        if self.stream is not None:
            self.stream.close()
        self.stream = self.http = None
