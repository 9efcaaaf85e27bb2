#!/bin/sh
# The stand-ins are Python, standard library only; this compiles them, so that a fault in one is seen here.
cd "$(dirname "$0")" && exec python3 -m compileall -q common [123]/case.py
