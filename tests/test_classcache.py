"""Methods of data classes are the same, compiled at build or at the start."""

import dataclasses
import json
import pathlib
import subprocess
import sys

import pytest

from fulmarrudder.classcache import Cache, load

DAEMON = "fulmarrudder.platform.daemon"
# Tells how many methods a start compiles, and what an object looks like.
START = f"""
import json, pathlib, sys
from fulmarrudder import classcache
cache = classcache.load(pathlib.Path(sys.argv[1]))
cache.install()
import {DAEMON}
from fulmarrudder.model import Limits
limits = Limits(header_ms=5)
print(json.dumps([cache.compiled, repr(limits), limits == Limits(header_ms=5)]))
"""
BUILD = f"""
import pathlib, sys
from fulmarrudder import classcache
classcache.PATH = pathlib.Path(sys.argv[1])
sys.argv = ["", "{DAEMON}"]
classcache.main()
"""


def run(program, path):
    return subprocess.run(
        [sys.executable, "-c", program, str(path)],
        check=True,
        capture_output=True,
        text=True,
    ).stdout


# Each start compiled some 900 methods, a quarter of a second of a small instance.
def test_start_compiles_no_method_that_the_build_has_compiled(tmp_path):
    path = tmp_path / "cache"
    without = json.loads(run(START, path))
    run(BUILD, path)
    within = json.loads(run(START, path))
    assert without[0] > 0
    assert within == [0, *without[1:]]


@pytest.mark.parametrize("data", [b"", b"?", b"\xe3" * 9])
def test_file_that_cannot_be_read_costs_only_time(tmp_path, data):
    path = pathlib.Path(tmp_path / "cache")
    path.write_bytes(data)
    assert load(path).codes == {}
    assert load(tmp_path / "none").codes == {}


def test_cached_methods_belong_to_their_own_class(monkeypatch):
    cache = Cache({})
    monkeypatch.setattr(dataclasses, "exec", cache.execute, raising=False)

    def build(default):
        return dataclasses.make_dataclass(
            "Point", [("x", int, dataclasses.field(default=default))]
        )

    one, two = build(1), build(2)
    assert (one().x, two().x, one(5) == one(5)) == (1, 2, True)
