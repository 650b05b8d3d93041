#!/bin/sh
# Builds the stand-ins of review/6 and later: they need Python's standard library alone.
cd "$(dirname "$0")/.." || exit 1
exec python3 -m py_compile review/common2/kit.py review/[6-9]/case.py review/10/case.py
