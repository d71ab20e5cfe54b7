#!/bin/sh
# Builds the stand-ins of the cases 6 to 10; they need Python 3.11 and its library only.
set -eu
cd "$(dirname "$0")"
python3 -c 'import sys; sys.exit(sys.version_info < (3, 11))'
python3 -m compileall -q lib2 6 7 8 9 10
