"""How long SIGHUP can end a program that starts: from its exec until its first line ignores the signal.

    python -m benchmarks.signal_window [--starts 40]

Owns the measurement alone. Nothing of ours runs before the interpreter has begun `__main__`; what is left is
the interpreter's own start, which only whoever starts the program could guard.
"""

from __future__ import annotations

import argparse
import os
import signal
import subprocess
import sys
import time
from pathlib import Path
from statistics import median

WAYS = {
    "as deployed: python3 -O -m": ("-O", "-m"),
    "without site: python3 -O -S -m": ("-O", "-S", "-m"),
}
PROGRAMS = ("finchshelf.dataplane", "finchshelf.controlplane")
HANGUP = 1 << (signal.SIGHUP - 1)
LOOK_S = 0.0002
LIMIT_S = 20.0


def ignores(pid: int) -> bool:
    for line in Path(f"/proc/{pid}/status").read_text().splitlines():
        if line.startswith("SigIgn:"):
            return bool(int(line.split()[1], 16) & HANGUP)
    return False


def window_s(options: tuple[str, ...], program: str) -> float:
    """One start; its settings are missing, so it ends by itself if nobody ends it before."""
    env = {name: value for name, value in os.environ.items() if name != "FINCHSHELF_BOOT"}
    began = time.perf_counter()
    process = subprocess.Popen(
        [sys.executable, *options, program], env=env, stdout=subprocess.DEVNULL, stderr=subprocess.DEVNULL
    )
    try:
        while not ignores(process.pid):
            if process.poll() is not None or time.perf_counter() - began > LIMIT_S:
                raise RuntimeError(f"{program} never ignored SIGHUP")
            time.sleep(LOOK_S)
        return time.perf_counter() - began
    finally:
        process.kill()
        process.wait()


def main() -> None:
    words = argparse.ArgumentParser()
    words.add_argument("--starts", type=int, default=40)
    given = words.parse_args()
    print("| start | program | median, ms | most, ms |\n| --- | --- | --- | --- |")
    for name, options in WAYS.items():
        for program in PROGRAMS:
            found = [window_s(options, program) * 1000 for _ in range(given.starts)]
            print(f"| `{name}` | {program} | {median(found):.1f} | {max(found):.1f} |")


if __name__ == "__main__":
    main()
