"""Starts one program of the system behind a gate: `python -m finchshelf.soak.child PROGRAM`.

PROGRAM is `dataplane` or `controlplane`; FINCHSHELF_BOOT names its settings, FINCHSHELF_GATE the gate's file,
FINCHSHELF_MUTANT a guard to drop (`soak.mutants`), if any.
"""

from __future__ import annotations

import importlib
import os
import signal
import sys

PROGRAMS = ("dataplane", "controlplane")


def main() -> int:
    signal.signal(signal.SIGHUP, signal.SIG_IGN)  # as the programs do before they load anything
    name = sys.argv.pop(1) if len(sys.argv) > 1 else ""
    if name not in PROGRAMS:
        print(f"soak.child: expected one of {', '.join(PROGRAMS)}", file=sys.stderr)
        return 2
    from finchshelf.configuration.boot import read_boot
    from finchshelf.soak.gate import Gate, install

    boot = read_boot(os.environ["FINCHSHELF_BOOT"])
    gate = Gate(os.environ["FINCHSHELF_GATE"], boot.ip)
    gate.look()
    install(gate)
    if boot.state_dir:
        importlib.import_module("finchshelf.soak.disks").watch(boot.state_dir)
    if mutant := os.environ.get("FINCHSHELF_MUTANT"):
        importlib.import_module("finchshelf.soak.mutants").MUTANTS[mutant].apply()
    return int(importlib.import_module(f"finchshelf.{name}.process").main())


if __name__ == "__main__":
    sys.exit(main())
