#!/bin/sh
# Builds the stand-ins of the cases of REPORT-3.md. They are Python source of the
# standard library alone, so that it is enough to see that they compile.
set -eu
cd "$(dirname "$0")"
python3 -c 'import sys; assert sys.version_info >= (3, 11), sys.version'
for file in lib3/*.py 1[1-5]/*.py; do
  [ -e "$file" ] || continue
  python3 -c 'import sys; compile(open(sys.argv[1]).read(), sys.argv[1], "exec")' "$file"
done
