#!/bin/sh
# Builds what a machine runs, all of it under target/deps.
set -eu
deps=target/deps
if [ ! "$deps/.ready" -nt requirements.lock ]; then
  rm -rf "$deps"
  python3 -m pip install -q --disable-pip-version-check --target "$deps" \
    -r requirements.lock
  touch "$deps/.ready"
fi
rm -rf "$deps/fulmarrudder"
cp -r src/fulmarrudder "$deps/fulmarrudder"
python3 -m compileall -q "$deps/fulmarrudder"
PYTHONPATH="$deps" python3 -m fulmarrudder.classcache fulmarrudder.platform.daemon
