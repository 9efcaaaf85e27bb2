"""A limiter is stopped in order (SIGTERM) while clients use their kept connections at any moment."""

from __future__ import annotations

import random
import signal
import socket
import sys
import threading
import time
from collections import Counter
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "common"))
import small  # noqa: E402

HOST, KEY = "desks.example", "2b9wu3fexd9dnn2ctnfz"
SERVERS, SLOTS, WORK = 6, 24, 2.75  # s: it ends before toleranceS for whatever comes until 3.25 s
CLIENTS, SPAN = 180, 6.0  # kept connections; each is used once, at any moment of that many s from the SIGTERM
DEADLINE_MS, TOLERANCE, LOSS_SLACK = 6000, 6.0, 0.2
EXCUSED, LAST_SIXTH = 3.0, TOLERANCE * 5 / 6  # s after the SIGTERM, as the rule's last excuse has them


def case(record: small.Record, ends: list) -> bool:
    deployment = small.Deployment(record)
    ends.append(deployment.end)
    deployment.start_all()
    lock, ran, done = threading.Lock(), dict[str, float](), dict[str, float]()

    def answer(
        server: small.Server, sock: socket.socket, reader: small.Reader, first: str, headers: dict
    ) -> bool:
        reader.body(headers)
        trial = headers.get("trial-id", "")
        if not server.enter(sock, trial):
            return False
        with lock:
            ran[trial] = time.monotonic()
        record("server", server.identity, "runs", trial)
        time.sleep(0.02 if "warm" in first else WORK)
        with lock:
            done[trial] = time.monotonic()
        server.leave()
        record("server", server.identity, "answers 200 to", trial)
        server.respond(
            sock, 200, {"Trial-Id": trial, "Server-Seal": f"seal-{trial}"}, f"ran {trial}\n".encode()
        )
        return True

    servers = [small.Server(deployment, "bookings", n, SLOTS, answer) for n in range(SERVERS)]
    ends.extend(server.end for server in servers)
    document = small.whole(
        7,
        0,
        [
            small.route("book-confirm", HOST, "/book/", "bookings", "mutating", DEADLINE_MS),
            small.service("bookings"),
            small.tenant("huka270", KEY),
            small.saturations(),
        ],
    )
    if deployment.configure(document) != 200:
        raise small.CouldNot("the configuration was not taken")
    deployment.ready()
    time.sleep(2.0)

    def post(sock: socket.socket, reader: small.Reader, path: str, trial: str) -> int:
        sock.sendall(
            small.head(
                f"POST /book/{path} HTTP/1.1",
                {
                    "Host": HOST,
                    "Trial-Id": trial,
                    "Remaining-Ms": str(DEADLINE_MS),
                    "Authorization": f"Token {KEY}",
                    "Content-Length": "4",
                },
            )
            + b"desk"
        )
        first, headers = reader.line_end()
        reader.body(headers)
        return int(first.split()[1])

    def opened(number: int) -> tuple[socket.socket, small.Reader]:
        """A connection that has carried one request and is kept."""
        sock = socket.create_connection((deployment.ip(1), small.FRONT), 1.0)
        sock.settimeout(DEADLINE_MS / 1000)
        reader = small.Reader(sock)
        status = post(sock, reader, "warm", f"{number:04x}{random.randrange(1 << 48):012x}")
        if status != 200:
            raise small.CouldNot(f"before the SIGTERM: {status}")
        return sock, reader

    kept = [opened(number) for number in range(CLIENTS)]
    time.sleep(1.0)
    leaving = deployment.processes["data-plane-1"]
    if small.TROUBLE:
        leaving.send_signal(signal.SIGTERM)
        record("platform: SIGTERM to data-plane-1")
    told = time.monotonic()
    sent, got = dict[str, float](), dict[str, tuple[str, float]]()

    def client(number: int) -> None:
        sock, reader = kept[number]
        trial = f"{number:04x}{random.randrange(1 << 48):012x}"
        time.sleep(max(0.0, told + random.uniform(0.0, SPAN) - time.monotonic()))
        sent[trial] = time.monotonic()
        record("client sends", trial)
        try:
            found = str(post(sock, reader, "one", trial))
        except (OSError, small.Ended, ValueError):
            found = "connection closed without an answer"
        got[trial] = found, time.monotonic()
        record(f"client, sent {sent[trial] - told:.3f} s after the SIGTERM, gets", found, "for", trial)
        sock.close()

    def counts_as_lost(trial: str) -> bool:
        """LOST as NEWS-22 has it, for a SIGTERM and servers that never break off."""
        (found, at), began = got[trial], sent[trial]
        closed = found.startswith("connection") and (trial in ran or at > began + LOSS_SLACK)
        in_its_place = found in ("502", "503", "504") and trial in ran  # an answer of the gateway's own
        if not (closed or in_its_place) or at > told + TOLERANCE + 1.0:
            return False
        if at >= began + DEADLINE_MS / 1000:  # the deadline, and the route's timeout
            return False
        at_work = trial in ran and done.get(trial, float("inf")) > told + LAST_SIXTH
        return not (at_work and began <= told + EXCUSED)

    threads = [threading.Thread(target=client, args=(number,)) for number in range(CLIENTS)]
    for thread in threads:
        thread.start()
    time.sleep(max(0.0, told + TOLERANCE - time.monotonic()))
    if small.TROUBLE:
        record("data-plane-1 at toleranceS: exit status", leaving.poll())
        leaving.kill()  # as the platform does with whoever still runs
    for thread in threads:
        thread.join()
    lost = [trial for trial in got if counts_as_lost(trial)]
    for trial in lost:
        record(
            f"LOST: {trial} sent {sent[trial] - told:.3f} s after the SIGTERM, run by a server from "
            f"{ran[trial] - told:.3f} s on, closed unanswered at {got[trial][1] - told:.3f} s; its server "
            f"answered at {done.get(trial, 0.0) - told:.3f} s"
        )
    counts = dict(
        Counter(
            found if trial in ran or found == "200" else "closed, not passed on"
            for trial, (found, _) in got.items()
        )
    )
    print(f"answers {counts}; LOST by the rule: {len(lost)}")
    if not small.TROUBLE and set(counts) != {"200"}:
        raise small.CouldNot(f"without trouble: {counts}")
    return not lost


if __name__ == "__main__":
    sys.exit(small.main(case, FOLDER))
