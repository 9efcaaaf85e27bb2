"""A data plane that is told to end more than once, as a program of its own."""

from __future__ import annotations

import os
import signal
import socket
import subprocess
import sys
from pathlib import Path

import pytest

from finchshelf.cli.system import FRONT, INNER, READINESS, System, network

SETTINGS = """node=n1
function=x
machineClass=m
serves=edge
ip={0}
zone=z
region=r
inlets.front={0}:{1}
inlets.readiness={0}:{2}
portRange={3},{4}
initialPeers={0}:{3}
pulseMs=500
saturations.cpuFraction=1
saturations.cores=1
saturations.memoryMb=256
saturations.descriptors=512
saturations.bandwidthMbps=100
margins=toleranceS=6
"""


def heard(process: subprocess.Popen[str], event: str) -> None:
    assert process.stdout is not None
    told = list[str]()
    for line in process.stdout:
        told.append(line)
        if f'"{event}"' in line:
            return
    pytest.fail(f"it ended before {event}: {told}")


def asked(host: str, port: int, request: bytes) -> bytes:
    with socket.create_connection((host, port), timeout=10.0) as client:
        client.sendall(request)
        return client.recv(100)


@pytest.mark.parametrize("again", [signal.SIGTERM, signal.SIGUSR1])
def test_given_a_data_plane_that_ends_when_it_is_signalled_again_then_it_still_answers(
    again: signal.Signals, tmp_path: Path
) -> None:
    host, settings = f"{network()}.1", tmp_path / "settings"
    settings.write_text(SETTINGS.format(host, FRONT, READINESS, INNER, INNER + 10))
    process = subprocess.Popen(
        [sys.executable, "-m", "finchshelf.dataplane"],
        stdout=subprocess.PIPE,
        stderr=subprocess.STDOUT,
        text=True,
        env={**os.environ, "FINCHSHELF_BOOT": str(settings)},
    )
    try:
        heard(process, "start")
        # One answer shows that it waits for signals: it answers nobody before
        answer = asked(host, READINESS, b"GET /v1/readiness HTTP/1.1\r\nHost: x\r\n\r\n")
        assert answer.startswith(b"HTTP/1.1 503 ")
        client = socket.create_connection((host, FRONT), timeout=10.0)
        process.send_signal(signal.SIGTERM)
        heard(process, "ending")
        process.send_signal(again)
        with client:
            client.sendall(b"GET / HTTP/1.1\r\nHost: x\r\nTrial-Id: a\r\nRemaining-Ms: 1000\r\n\r\n")
            assert client.recv(100).startswith(b"HTTP/1.1 503 "), "no answer"
    finally:
        process.kill()
        process.wait()


@pytest.mark.parametrize("role", ["control-plane", "data-plane"])
def test_given_a_program_that_has_begun_to_listen_when_it_is_told_to_end_then_it_ends_as_planned(
    role: str, tmp_path: Path
) -> None:
    """The signal comes right behind the line that says that it listens, before it does anything else."""
    code = (
        "import gc, os, signal\n"
        "gc.collect = lambda *_: os.kill(os.getpid(), signal.SIGTERM)\n"
        f"from finchshelf.{role.replace('-', '')}.process import main\n"
        "raise SystemExit(main())"
    )
    settings = System(tmp_path, machines=1).settings(role, 1)
    done = subprocess.run(
        [sys.executable, "-c", code],
        env={**os.environ, "FINCHSHELF_BOOT": str(settings)},
        capture_output=True,
        text=True,
        timeout=60.0,
        check=False,
    )
    assert done.returncode == 0 and '"ending"' in done.stdout + done.stderr, (done.returncode, done.stderr)
