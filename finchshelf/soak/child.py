"""Starts one program of the system behind a gate: `python -m finchshelf.soak.child PROGRAM`.

PROGRAM is `dataplane` or `controlplane`; FINCHSHELF_BOOT names its settings, FINCHSHELF_GATE the gate's file,
FINCHSHELF_MUTANT a guard to drop (`soak.mutants`), if any.
"""

from __future__ import annotations

import importlib
import os
import sys

from finchshelf.configuration.boot import read_boot
from finchshelf.soak.gate import Gate, install

PROGRAMS = ("dataplane", "controlplane")


def main() -> int:
    name = sys.argv.pop(1) if len(sys.argv) > 1 else ""
    if name not in PROGRAMS:
        print(f"soak.child: expected one of {', '.join(PROGRAMS)}", file=sys.stderr)
        return 2
    boot = read_boot(os.environ["FINCHSHELF_BOOT"])
    install(Gate(os.environ["FINCHSHELF_GATE"], boot.ip))
    if mutant := os.environ.get("FINCHSHELF_MUTANT"):
        importlib.import_module("finchshelf.soak.mutants").MUTANTS[mutant].apply()
    program = importlib.import_module(f"finchshelf.{name}.__main__")
    return int(program.main())


if __name__ == "__main__":
    sys.exit(main())
