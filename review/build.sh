#!/usr/bin/env bash
# Compiles the stand-ins; they need only the standard library of Python 3.11.
set -eu
cd "$(dirname "$0")"
python3 -c 'import sys; sys.exit(sys.version_info < (3, 11))'
python3 -m compileall -q lib [1-9]
