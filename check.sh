#!/usr/bin/env bash
# The checks: style, types, tests (the tests also hold the limits on the module's lines).
set -euo pipefail
cd "$(dirname "$0")"
ruff check .
ruff format --check --quiet . || { echo "check.sh: ruff format . changes files" >&2; exit 1; }
# Types are checked beside the tests; pytest's closing line stays the last one where nothing is found.
found=$(mktemp)
mypy >"$found" 2>&1 &
types=$!
trap 'rm -f "$found"' EXIT
trap 'kill "$types"; exit 130' INT TERM
# Half of 16 cores at most: tests on real sockets start programs beside themselves, and measure times.
# By worksteal neighbours stay together, so that a module's fixture is made by few workers.
status=0
python -m pytest -n auto --maxprocesses 8 --dist worksteal || status=$?
wait "$types" || { status=$?; cat "$found" >&2; }
exit "$status"
