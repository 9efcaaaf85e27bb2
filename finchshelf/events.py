"""The catalogue of numbered events: every line that the system's programs and its command line may log.

Owns each event's number, name, meaning and what to do; `docs/events.md` shows the same table and a test
holds the two together with the code. A number is never given to another event. It must never be asked
whether an event may be logged: an event that is missing here gets number 0 and fails a test, not a
program.

`python -m finchshelf.events` prints the table.
"""

from __future__ import annotations

from typing import NamedTuple


class Event(NamedTuple):
    """One kind of log line. `rare`: it may come in masses: a line a second at most."""

    number: int
    name: str
    meaning: str
    action: str
    rare: bool = False


NOTHING = "Nothing."
REPORT = "Report it with the line."

# 1xx a program's life, 2xx clients, servers and calls, 3xx between our processes, 4xx the core and its
# disks, 5xx configuration, 6xx counts of tenants, 70x faults of ours, 75x shared experience, 8xx roll-outs
# (the head office's keepers), 9xx the command line.
CATALOGUE = (
    Event(
        101,
        "start",
        "The program listens. `disk`: the name of this life of the disk, none without a disk; "
        "`slot`: the newest decided value that the disk holds.",
        NOTHING,
    ),
    Event(
        102,
        "ready",
        "A listener answered its health question with 200 for the first time.",
        "If it does not come within seconds of `start`: ask a control plane with `finchshelf " "show`.",
    ),
    Event(
        103,
        "settings",
        "SIGHUP came, or the settings file changed and has rested. `taken`: the seeds that count from "
        "now on; `kept the old`: the file can't be used (`step`, `place`); `noted`: a control plane "
        "needs seeds only at its start.",
        "`kept the old`: run `finchshelf check settings` on the file and mend it.",
    ),
    Event(
        104,
        "ending",
        "SIGTERM or SIGINT came; what is here and what still comes is answered.",
        "Nothing; the end should follow within `toleranceS`.",
    ),
    Event(
        105,
        "exit",
        "A control plane ends as planned. `handed`: more than half of the members, it not counted, have on "
        "disk who they are and know all its servers.",
        "`handed` false: see which members are silent before the next machine goes.",
    ),
    Event(106, "counters", "All counters of a data plane; `why` is `asked` (SIGUSR1) or `exit`.", NOTHING),
    Event(107, "tally", "What each counter gained since the last such line; each 5 s.", NOTHING),
    Event(
        108,
        "fault",
        "The program ends by an error that nothing caught; one line for each, with its step and "
        "peer where it has them.",
        REPORT,
    ),
    Event(
        109,
        "halt",
        "A data plane stood still for so many `seconds` beyond a beat: frozen, starved, or swamped. "
        "Requests that came meanwhile are taken by their true age.",
        "Where it comes often: look at that machine's load and memory.",
        rare=True,
    ),
    Event(
        110,
        "invariant.violated",
        "Something that must always hold did not (`docs/invariants.md`): `invariant`, and what explains "
        "it. The program goes on; the metric `finchshelf_invariant_violations_total` counts all.",
        "Report it with the line, and with the other machines' lines of the same seconds.",
        rare=True,
    ),
    Event(
        111,
        "metrics.open",
        "The program's figures are told at this `port` and `path` (`metrics` in the settings).",
        NOTHING,
    ),
    Event(
        112,
        "metrics.refused",
        "The port for figures can't be listened on; all else goes on.",
        "Name a free port in the settings and start the program anew.",
    ),
    Event(201, "clients.error", "A fault that cost one client's connection.", REPORT, rare=True),
    Event(
        202,
        "clients.no_descriptor",
        "Accepting found no descriptor left.",
        "Raise the limit on descriptors, or find who opens so many connections.",
        rare=True,
    ),
    Event(203, "servers.error", "A fault that cost one try at a server.", REPORT, rare=True),
    Event(
        204,
        "calls.error",
        "A call of a server or of the operator ended in a fault; its caller got 500.",
        REPORT,
        rare=True,
    ),
    Event(
        205,
        "calls.shed",
        "A control plane was asked more than it can do and told these, by rank, that it is busy.",
        "Nothing right after many were started at once; else give its machine more, or see who asks.",
    ),
    Event(
        206,
        "calls.full",
        "A large body was turned away with 503: as much of such bodies as may be held is here already.",
        "Nothing where many operators change at once over thin links; else see who sends.",
        rare=True,
    ),
    Event(
        207,
        "calls.failed",
        "A call of a server or of the operator was refused or failed: `call`, `status`, `why`, and how "
        "many ms it `took`; `unserved`: the name of a call that nobody serves. One line a second; "
        "`finchshelf_call_seconds` counts all by call and status.",
        "`why` names the step. Many 503 in a row: see `core.*` and who is cut off.",
        rare=True,
    ),
    Event(
        208,
        "request.failed",
        "A request was not served: `trial` (its client's name for it), `route`, `service`, `tenant`, "
        "`why`, `status`, `held_ms`, and its tries (server, how each ended, ms, bytes sent). One line a "
        "second; at SIGUSR1 the last ones are logged whole.",
        "`why` and `tries` name the cause; the counter of that name tells how many.",
        rare=True,
    ),
    Event(
        209,
        "requests.failed",
        "The last requests that were not served, told at SIGUSR1; each as `request.failed` has it.",
        NOTHING,
    ),
    Event(
        301,
        "peer.unfit",
        "A peer's answer has not the form it should have; none of it counts. `peer`, `step`.",
        "See whether both run versions that know each other's words.",
    ),
    Event(
        302,
        "peer.broken",
        "What came from a peer is no question (its connection was closed), or a question that can't be "
        "answered (it was told so). `error` names the peer.",
        "See who connects to the first port of `portRange`.",
        rare=True,
    ),
    Event(
        401,
        "core.members",
        "The members of the core changed, as each that knew the old ones hears; `members` are those "
        "from now on.",
        "Nothing, if a machine was replaced or lost its disk; else see why one was silent.",
    ),
    Event(
        402,
        "disk.new",
        "The disk was empty or could not be trusted: it votes as a new member, once the others "
        "have decided so.",
        "Nothing after a wipe or replacement; else look at the disk.",
    ),
    Event(
        403,
        "disk.fault",
        "A generation of the state on disk was left alone. `lost`: it had been whole, so the disk"
        " broke, or (`restore`) what it holds has no known form, or (`put back`) others have heard more of "
        "it than it holds, and it is taken for a wiped one.",
        "`lost`: replace the disk.",
    ),
    Event(
        404,
        "disk.refused",
        "The disk did not take the state at the start, or what was learned since; this member has no vote "
        "until it does.",
        "Look at the disk: full, or failing.",
    ),
    Event(
        405,
        "core.current",
        "After a start: what this machine holds was proved to be the newest, or the newest came. `slot`; "
        "`held`: the slot that its disk held (-1: none). Until then data planes are not led by it.",
        "Nothing; without it seconds after a `start` the core has no majority, or the links are thin.",
    ),
    Event(
        406,
        "core.settled",
        "More than half of the members have on disk the value that names them, as each of them asks for "
        "itself after a change: the next loss stops nothing.",
        "Nothing; where it stays out after `core.members`, see whose disk takes nothing.",
    ),
    Event(
        407,
        "core.form",
        "From this `slot` on the core remembers orders in a form that an older text does not read: all "
        "control planes were renewed. Once in the life of a core, at each of its control planes.",
        "Nothing; from here on no machine may be put back to the older text.",
    ),
    Event(
        408,
        "core.older",
        "A control plane of an older text asks, at a core whose values it can't read: it learns nothing, "
        "votes for nothing and serves what it knew. `peer`; `form`: what it reads.",
        "Renew that machine, or put the newer text back on it.",
    ),
    Event(
        409,
        "sweep.error",
        "A look at silent servers (`step` sweep) or at the core's members (`mend`) met an error of ours; the "
        "program goes on and looks again.",
        REPORT,
    ),
    Event(
        501,
        "configuration",
        "A configuration was taken: decided (control plane), or in force from here on (data " "plane).",
        NOTHING,
    ),
    Event(
        502,
        "transition.begun",
        "An operator's order for a new version (`target`) of a `service` was taken: decided in `slot`."
        " Servers of that version get no requests.",
        "Nothing; `finchshelf show transitions` tells where it stands.",
    ),
    Event(
        503,
        "transition.ended",
        "A transition of a `service` to the version `target` ended: `mode` settled or reverted.",
        "Where it is reverted: take its servers away, and see why.",
    ),
    Event(
        504,
        "version.new",
        "Servers of a version that is new beside another of the `service` were heard of, and the decided "
        "transitions were looked at. `withheld`: do they get no requests by a transition?",
        "Where it is not withheld and nobody meant to renew that service: see who started these servers.",
    ),
    Event(
        505,
        "transition.step",
        "The driver of a transition took a `step`: a stage (1 requests that may be repeated are tried, 2 all,"
        " 3 all move) or its end. `judgement`; `evidence`: by route, of the former versions and of the"
        " target, requests that ended, failed and were slow, and what they took in hundredths of the usual;"
        " `elapsed_s` since the order was known.",
        "Where it is reverted as bad: `evidence` shows on which route.",
    ),
    Event(
        506,
        "versions",
        "The transitions of services that this limiter goes by from here on, of decided `slot`.",
        NOTHING,
    ),
    Event(
        601,
        "breaker",
        "Questions to the holder of tenants' counts failed in a row; this limiter's share decides"
        " until a probe is answered.",
        "See whether the limiter named as `holder` is up and reachable.",
    ),
    Event(
        602,
        "count.unfit",
        "A datagram that is no question about a count. `peer`.",
        "See who sends to the second port of `portRange`; a limiter of another text is to be renewed.",
        rare=True,
    ),
    Event(
        603,
        "holders.late",
        "Holders of tenants' counts whose answers came after their budget in the last seconds, those with the"
        " most first: how many came `late`, how many were `missing`, and how long the slowest took. `of`: how"
        " many holders there were.",
        "One holder named by many limiters: look at that machine's load and link. Many holders named by one"
        " limiter: look at the machine that wrote the line.",
    ),
    Event(
        604,
        "holder.suspected",
        "The holder of tenants' counts named as `holder` left a question and the probes after it unanswered;"
        " control planes are told so until it answers again.",
        "Nothing where one machine writes it: its own link may be at fault. Else see `limiters.left_off`.",
    ),
    Event(
        605,
        "limiters.left_off",
        "Limiters that ask control planes and answer other limiters nothing, as enough of those say: they are"
        " left off the list, and their tenants' counts are held by others. Empty: all are back.",
        "Look at the links and the load of the machines named.",
    ),
    Event(
        701,
        "core.error",
        "One event could not be taken; its request was answered as failed.",
        REPORT,
        rare=True,
    ),
    Event(
        751,
        "server.steered",
        "Limiters agree that a server is bad: all leave it. `share`: what the floor keeps in use there; "
        "`falls`: how often lately; `why`: who said what.",
        "See `finchshelf show servers`, then the server. It comes back by itself once it does well.",
    ),
    Event(
        752,
        "server.back",
        "A server that was left is at full share again.",
        "Nothing; if it keeps falling (`falls`), take it out.",
    ),
    Event(
        753,
        "witness.ignored",
        "A limiter calls most servers of a `service` bad, and most other limiters do not: it is not "
        "heard for a while.",
        "Look at that limiter: cut off, overloaded or halted.",
    ),
    Event(
        801,
        "rollout.began",
        "Every site's version is known; the past of all is gathered from here on.",
        NOTHING,
    ),
    Event(
        802,
        "rollout.step",
        "A site's change is written down in the register and about to be sent. `version`: the one it "
        "gets.",
        NOTHING,
    ),
    Event(803, "rollout.changed", "A site took the change; its watch begins.", NOTHING),
    Event(
        804,
        "rollout.passed",
        "It is proven that no harm has grown at the site; `requests` were watched.",
        NOTHING,
    ),
    Event(
        805,
        "rollout.halted",
        "No further site gets the change; `why`, and `harm` where one has grown.",
        "Read `why` in `finchshelf rollout status`; mend the policy, begin a new roll-out.",
    ),
    Event(
        806, "rollout.returned", "The site has its last good policy back, under the new `version`.", NOTHING
    ),
    Event(
        807,
        "rollout.left",
        "Another operator's version is in place at the site: the roll-out leaves it alone.",
        "Ask who changed it and whether that builds on the change that was rolled out.",
    ),
    Event(
        808,
        "rollout.paused",
        "An operator paused: what has changed is still watched, nothing more changes.",
        "`finchshelf rollout resume` when it may go on.",
    ),
    Event(809, "rollout.resumed", "An operator let it go on.", NOTHING),
    Event(810, "rollout.done", "Every site has the change, and each has passed.", NOTHING),
    Event(
        811, "rollout.ended", "A roll-out that was halted or aborted has nothing more to take back.", NOTHING
    ),
    Event(
        812,
        "rollout.duty",
        "This keeper drives from here on; `epoch`.",
        "Nothing, if the former driver was ended or lost; if it repeats, see what cuts keepers off.",
    ),
    Event(
        813,
        "rollout.fenced",
        "This keeper no longer drives: another has a later epoch, or no majority of keepers answers.",
        "See whether the other keepers are up; nothing else: it can do no harm.",
    ),
    Event(
        901,
        "call.again",
        "The command line's call got no clear answer and goes to the next control plane.",
        "If it repeats: see which control planes are up.",
    ),
    Event(902, "call.ended", "The command line's call has its final answer.", NOTHING),
    Event(903, "child.started", "The demo started a program; `pid`.", NOTHING),
    Event(904, "child.ended", "A program of the demo ended; `status`.", NOTHING),
)

NUMBERS = {event.name: event.number for event in CATALOGUE}


def table() -> str:
    """The catalogue as the table of `docs/events.md`."""
    rows = ["| number | event | means | do |", "| --- | --- | --- | --- |"]
    rows += [
        f"| {one.number} | `{one.name}`{' *' if one.rare else ''} | {one.meaning} | {one.action} |"
        for one in CATALOGUE
    ]
    return "\n".join(rows)


if __name__ == "__main__":
    print(table())
