"""A small whole system on loopback: machines with an address each, their settings files and their
programs.

Owns the child processes that it started, and ends each by its own process id. It must never leave one
behind, touch a process that it did not start, or write outside its folder.
"""

from __future__ import annotations

import os
import random
import shutil
import signal
import socket
import subprocess
import sys
import time
from dataclasses import dataclass, field
from pathlib import Path

from finchshelf.cli.logs import log
from finchshelf.transport.address import Address

FRONT, READINESS, CONTROL, INNER = 8405, 8406, 8407, 7660
ZONES = ("north", "middle", "south")
# Of the stand-in servers' beats, as deployments have it. Danger: more often, a machine that is busy for two
# seconds would have all of its servers called lost.
PULSE_MS = 1500
PLANNED = 30.0  # s that a child has to end by itself
PACKAGE = str(Path(__file__).parent.parent.parent)
MARGINS = (
    "contactMs=3000,acknowledgeMs=5000,convergenceS=4,settlingMs=500,toleranceS=6,retryRatio=0.2,"
    "retryWindowS=10,retrySlack=64,quotaWindowS=5"
)


def network() -> str:
    """The first three numbers of loopback addresses at which our ports are free."""
    for _ in range(20):
        found = f"127.{random.randint(1, 250)}.{random.randint(1, 250)}"
        try:
            for port in (FRONT, READINESS, CONTROL, INNER, INNER + 1):
                with socket.socket() as one:
                    one.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
                    one.bind((f"{found}.1", port))
        except OSError:
            continue
        return found
    raise OSError(f"ports {FRONT}-{CONTROL} and {INNER} are taken on all addresses tried")


@dataclass
class Child:
    """One program that runs."""

    name: str
    process: subprocess.Popen[bytes]
    log: Path
    killed: bool = False
    logged: int = 0  # bytes in its log before this life

    def has_started(self) -> bool:
        """Did this life say that it listens?"""
        return b'"event":"start"' in self.log.read_bytes()[self.logged :]

    def last_lines(self) -> str:
        return self.log.read_text(errors="replace")[-600:]


@dataclass
class System:
    """Machines 1 to `machines`, in zones by turns; the first `core` of them are seeds and have a disk.

    `core`: all of them where it is 0. `extra`: further lines of the settings files, by role. `launcher`: a
    module that starts the program named to it, in place of the program itself."""

    folder: Path
    machines: int = 3
    core: int = 0
    extra: dict[str, dict[str, str]] = field(default_factory=dict)
    launcher: str = ""
    env: dict[str, str] = field(default_factory=dict)
    net: str = field(default_factory=network)
    children: dict[str, Child] = field(default_factory=dict)

    def ip(self, machine: int) -> str:
        return f"{self.net}.{machine}"

    def each(self, port: int) -> list[Address]:
        return [Address(self.ip(machine), port) for machine in range(1, self.machines + 1)]

    def seeds(self) -> list[Address]:
        return self.each(CONTROL)[: self.core or self.machines]

    def settings(self, role: str, machine: int, first: bool = True) -> Path:
        """The settings file of one program, written anew; `first`: the whole system has never run."""
        ip, zone = self.ip(machine), ZONES[(machine - 1) % len(ZONES)]
        disk = self.folder / f"disk-{machine}"
        disk.mkdir(exist_ok=True)
        edge = role == "data-plane"
        diskless = edge or machine > (self.core or self.machines)
        inlets = {"front": FRONT, "readiness": READINESS} if edge else {"control": CONTROL}
        lines = {
            "node": f"edge-{zone}-{machine}",
            "function": role,
            "machineClass": "edge",
            "serves": "edge" if edge else "supervisor",
            "ip": ip,
            "zone": zone,
            "region": "demo",
            **{f"zones.{name}": "demo" for name in ZONES},
            **{f"inlets.{name}": f"{ip}:{port}" for name, port in inlets.items()},
            "portRange": f"{INNER},{INNER + 15}",
            "initialPeers": ",".join(map(str, self.seeds())),
            "initialCondition": str(first).lower(),
            "lossCounted": str(edge or not diskless).lower(),
            "saturations.cpuFraction": "1",
            "saturations.cores": "1",
            "saturations.memoryMb": "300",
            "saturations.descriptors": "1000",
            "saturations.bandwidthMbps": "1000",
            "saturations.storageMb": "0" if diskless else "64",
            "pulseMs": str(PULSE_MS),
            "disturbances.machines": "1",
            "disturbances.zones": "0",
            "disturbances.regions": "0",
            "margins": MARGINS,
            **({} if diskless else {"stateDir": str(disk)}),
            **self.extra.get(role, {}),
        }
        path = self.folder / f"{role}-{machine}.conf"
        path.write_text("".join(f"{name}={value}\n" for name, value in lines.items()))
        return path

    def start(
        self,
        role: str,
        machine: int,
        options: tuple[str, ...] = (),
        first: bool = True,
        words: tuple[str, ...] = (),
    ) -> Child:
        """`options` are the interpreter's, `words` the program's."""
        name = f"{role}-{machine}"
        path = self.folder / f"{name}.log"
        paths = [PACKAGE, *filter(None, [os.environ.get("PYTHONPATH")])]
        program = f"finchshelf.{role.replace('-', '')}"
        started = (self.launcher, role.replace("-", "")) if self.launcher else (program,)
        own = {key: value.format(machine=machine) for key, value in self.env.items()}
        env = {
            **os.environ,
            **own,
            "FINCHSHELF_BOOT": str(self.settings(role, machine, first)),
            "PYTHONPATH": os.pathsep.join(paths),
        }
        logged = path.stat().st_size if path.exists() else 0
        with path.open("ab") as sink:
            process = subprocess.Popen(
                [sys.executable, *options, "-m", *started, *words],
                env=env,
                stdin=subprocess.DEVNULL,
                stdout=sink,
                stderr=sink,
            )
        log("child.started", child=name, pid=process.pid)
        self.children[name] = Child(name, process, path, logged=logged)
        return self.children[name]

    def kill(self, name: str) -> None:
        """Lose a process as a machine that loses power would, but for its disk."""
        child = self.children[name]
        child.killed = True
        child.process.kill()
        child.process.wait()

    def wipe(self, machine: int) -> None:
        """Empty the disk of a machine whose control plane does not run."""
        shutil.rmtree(self.folder / f"disk-{machine}")

    def end(self) -> dict[str, int]:
        """End all as planned, whoever is left by force; exit statuses of those that were not killed."""
        for child in self.children.values():
            if child.process.poll() is None:
                child.process.send_signal(signal.SIGTERM)
        until = time.monotonic() + PLANNED
        for child in self.children.values():
            try:
                child.process.wait(max(0.0, until - time.monotonic()))
            except subprocess.TimeoutExpired:
                child.process.kill()
                child.process.wait()
            log("child.ended", child=child.name, status=child.process.returncode)
        return {name: child.process.returncode for name, child in self.children.items() if not child.killed}
