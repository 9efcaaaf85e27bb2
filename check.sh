#!/usr/bin/env bash
# The checks: style, types, tests (the tests also hold the limits on the module's lines).
set -euo pipefail
cd "$(dirname "$0")"
ruff check .
mypy
python -m pytest
