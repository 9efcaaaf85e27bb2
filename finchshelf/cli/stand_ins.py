"""Stand-in servers for the demo, in this process: they answer on loopback, and beat as real servers do.

Owns what each has run. It must never answer a request that was meant for another server.
"""

from __future__ import annotations

import json
import sys
import threading
import time
from collections import Counter
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer
from itertools import count
from typing import Any

from finchshelf.cli import operator
from finchshelf.transport.address import Address

LIMIT = 1.0  # s for a control plane to acknowledge a beat
NUMBERS = count(1)


class Web(ThreadingHTTPServer):
    daemon_threads, request_queue_size = True, 128
    owner: Server

    def handle_error(self, request: Any, client_address: Any) -> None:
        if not isinstance(sys.exception(), OSError):  # a gateway that gave up a try is no fault here
            super().handle_error(request, client_address)


class Handler(BaseHTTPRequestHandler):
    protocol_version, timeout = "HTTP/1.1", 10.0
    server: Web

    def do_GET(self) -> None:
        owner, target = self.server.owner, self.headers.get("Target-Server")
        body = self.rfile.read(int(self.headers.get("Content-Length", "0")))
        mine = target is None or target == owner.identity
        if mine:
            owner.ran[self.headers.get("Trial-Id", "")] += 1
            time.sleep(owner.takes)
        text = f"{owner.identity} {self.command} {self.path} {len(body)}\n".encode()
        self.send_response((500 if owner.failing else 200) if mine else 421)
        trial, length = self.headers.get("Trial-Id", ""), str(len(text))
        for name, value in (
            ("Trial-Id", trial),
            ("Content-Length", length),
            ("Server-Load", f"1,0,{owner.slots}"),
            ("Server-Seal", "demo"),
        ):
            self.send_header(name, value)
        if not mine:
            self.send_header("Not-Executed", "1")
        self.end_headers()
        self.wfile.write(text)

    do_POST = do_GET

    def log_message(self, format: str, *args: object) -> None:
        pass


class Server:
    """One life of a server of a service."""

    def __init__(self, service: str, zone: str, ip: str, controls: list[Address], pulse: float) -> None:
        self.identity, self.service, self.zone, self.slots = f"s-{next(NUMBERS)}", service, zone, 4
        self.controls, self.pulse = list(controls), pulse
        self.ran: Counter[str] = Counter()
        self.calls, self.mode, self.failing = 0, "stable", False
        self.takes = 0.0  # s of an answer
        self.saying, self.ending = threading.Lock(), threading.Event()
        self.web = Web((ip, 0), Handler)
        self.web.owner = self
        self.address = f"{ip}:{self.web.server_address[1]}"
        self.threads = [
            threading.Thread(target=self.web.serve_forever, kwargs={"poll_interval": 0.05}),
            threading.Thread(target=self.beats),
        ]
        for thread in self.threads:
            thread.daemon = True
            thread.start()

    def beats(self) -> None:
        while not self.ending.wait(self.pulse):
            self.beat()

    def beat(self) -> bool:
        """Say that it is here, and how; True if a control plane acknowledged it."""
        with self.saying:
            self.calls += 1
            body = {
                "address": self.address,
                "observation": {
                    "subsystem": self.service,
                    "setpointSeq": "v1",
                    "zone": self.zone,
                    "capacity": self.slots,
                },
                "stateEstimate": {"mode": self.mode, "callCount": self.calls, "warmupMs": 0},
            }
            return self.say("pulse", json.dumps(body).encode())

    def say(self, what: str, body: bytes = b"") -> bool:
        for _ in range(len(self.controls)):
            status, answer, _ = operator.once(
                self.controls[0], f"/v1/rpc?call=servers.{what}&of={self.identity}", body, LIMIT
            )
            if 200 <= status < 300:
                self.turn_to(answer)
                return True
            self.controls.append(self.controls.pop(0))
        return False

    def turn_to(self, answer: bytes) -> None:
        """Later beats go where the answer says."""
        try:
            host, _, port = str(json.loads(answer or b"{}").get("pulseTarget", "")).rpartition(":")
            wanted = Address(host, int(port))
        except ValueError:
            return
        if wanted in self.controls:
            self.controls.remove(wanted)
            self.controls.insert(0, wanted)

    def drain(self) -> bool:
        self.mode = "decaying"
        return self.beat()

    def depart(self) -> bool:
        self.ending.set()
        with self.saying:
            return self.say("departure")

    def end(self) -> None:
        self.ending.set()
        self.web.shutdown()
        self.web.server_close()
