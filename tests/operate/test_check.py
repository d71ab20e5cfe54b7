"""A check tells what a valid document lacks, and what it changes."""

import dataclasses
import json

import pytest
from click.testing import CliRunner

from fulmarrudder.client import main
from fulmarrudder.model import (
    Arrangement,
    Limits,
    Route,
    Service,
    WeightedService,
    Workspace,
)
from fulmarrudder.operate.check import (
    Change,
    Difference,
    Kind,
    check,
    compare,
)

CAJA = Service(name="caja", target_versions=("1",), initial="1")
PAY = Route(name="pay", host="a", prefix="/pay/", service="caja")
ACME = Workspace(name="acme", keys=("k1",), requests_per_s=5.0, burst=5.0)
SOUND = Arrangement(services=(CAJA,), routes=(PAY,), workspaces=(ACME,))
SPLIT = (
    WeightedService(service="caja", weight=1),
    WeightedService(service="quiet", weight=0),
)


def with_route(**fields):
    return dataclasses.replace(
        SOUND, routes=(dataclasses.replace(PAY, **fields),)
    )


def with_workspace(**fields):
    return dataclasses.replace(
        SOUND, workspaces=(dataclasses.replace(ACME, **fields),)
    )


def with_service(**fields):
    return dataclasses.replace(
        SOUND, services=(dataclasses.replace(CAJA, **fields),)
    )


def test_sound_arrangement_has_no_findings():
    assert check(SOUND) == ()


@pytest.mark.parametrize(
    ("arrangement", "kind", "subject"),
    [
        (with_route(prefix="/a b/"), Kind.UNREACHABLE, "route pay"),
        (with_route(prefix="/a/../b/"), Kind.UNREACHABLE, "route pay"),
        (with_route(prefix="/a/%2E/"), Kind.UNREACHABLE, "route pay"),
        (with_route(prefix="/a?b=1"), Kind.UNREACHABLE, "route pay"),
        (with_route(host="a:80"), Kind.UNREACHABLE, "route pay"),
        (with_route(split=SPLIT), Kind.UNREACHABLE, "route pay"),
        (
            with_route(latency_objective_ms=900, timeout_ms=800),
            Kind.CONTRADICTION,
            "route pay",
        ),
        (with_route(attempts=9), Kind.CONTRADICTION, "route pay"),
        (with_workspace(keys=()), Kind.UNREACHABLE, "workspace acme"),
        (with_workspace(burst=0.0), Kind.CONTRADICTION, "workspace acme"),
        (
            with_workspace(requests_per_s=0.0),
            Kind.CONTRADICTION,
            "workspace acme",
        ),
        (with_service(cold_per_s=3.0), Kind.CONTRADICTION, "service caja"),
        (
            dataclasses.replace(SOUND, workspaces=()),
            Kind.UNREACHABLE,
            "route pay",
        ),
        (
            dataclasses.replace(
                SOUND, services=(CAJA, dataclasses.replace(CAJA, name="old"))
            ),
            Kind.UNREACHABLE,
            "service old",
        ),
        (
            dataclasses.replace(
                SOUND, routes=(PAY, dataclasses.replace(PAY, name="late"))
            ),
            Kind.UNREACHABLE,
            "route late",
        ),
    ],
)
def test_each_fault_is_found_once_at_its_entry(arrangement, kind, subject):
    (finding,) = check(arrangement)
    assert (finding.kind, finding.subject) == (kind, subject)


@pytest.mark.parametrize(
    ("callers", "hidden"),
    [
        ([("x",), ("y",)], []),
        ([("x",), ("x", "y")], []),
        ([("x",), ()], []),
        ([(), ("x",)], ["route pay1"]),
        ([("x",), ("y",), ("x", "y")], ["route pay2"]),
    ],
)
def test_route_is_hidden_once_all_its_callers_have_earlier_ones(
    callers, hidden
):
    routes = tuple(
        dataclasses.replace(PAY, name=f"pay{number}", callers=names)
        for number, names in enumerate(callers)
    )
    findings = check(dataclasses.replace(SOUND, routes=routes))
    assert [finding.subject for finding in findings] == hidden


@pytest.mark.parametrize(
    ("after", "differences"),
    [
        (SOUND, ()),
        (
            with_route(timeout_ms=5),
            (
                Difference(
                    change=Change.CHANGED,
                    subject="route pay",
                    detail="timeout_ms: 10000 -> 5",
                ),
            ),
        ),
        (
            with_route(split=SPLIT),
            (
                Difference(
                    change=Change.CHANGED,
                    subject="route pay",
                    detail="split: - -> caja:1/quiet:0",
                ),
            ),
        ),
        (
            dataclasses.replace(SOUND, limits=Limits(idle_ms=1)),
            (
                Difference(
                    change=Change.CHANGED,
                    subject="limits",
                    detail="idle_ms: 60000 -> 1",
                ),
            ),
        ),
        (
            with_workspace(keys=("k2", "k3")),
            (
                Difference(
                    change=Change.CHANGED,
                    subject="workspace acme",
                    detail="keys: 2 added, 1 removed",
                ),
            ),
        ),
        (
            dataclasses.replace(SOUND, routes=(), workspaces=None),
            (
                Difference(change=Change.REMOVED, subject="route pay"),
                Difference(change=Change.REMOVED, subject="workspace acme"),
                Difference(change=Change.REMOVED, subject="workspaces"),
            ),
        ),
    ],
)
def test_differences_are_told_by_entry_without_keys(after, differences):
    assert compare(SOUND, after) == differences


DOCUMENT = {
    "services": [{"name": "s", "target_versions": ["1"], "initial": "1"}],
    "routes": [{"name": "r", "prefix": "/a/", "service": "s"}],
}
CHANGED = DOCUMENT | {
    "routes": [{"name": "r", "prefix": "/b/", "service": "s"}]
}
DOUBTFUL = DOCUMENT | {
    "routes": [{"name": "r", "prefix": "/a b/", "service": "s"}]
}


@pytest.mark.parametrize(
    ("document", "options", "status", "text"),
    [
        (DOCUMENT, [], 0, "nothing is wrong"),
        (DOUBTFUL, [], 1, "never matches  route r"),
        ({"services": []}, [], 1, "error  -  routes: Field required"),
        ("{", [], 1, "not JSON"),
        (CHANGED, ["--against", "old.json"], 0, "prefix: /a/ -> /b/"),
        (DOCUMENT, ["--against", "none.json"], 2, "none.json"),
        (DOCUMENT, ["--platform"], 1, "version"),
        (
            DOCUMENT,
            ["--platform", "--against", "current"],
            1,
            "version",
        ),
    ],
)
def test_command_tells_and_exits(
    tmp_path, monkeypatch, document, options, status, text
):
    monkeypatch.chdir(tmp_path)
    (tmp_path / "old.json").write_text(json.dumps(DOCUMENT))
    data = document if isinstance(document, str) else json.dumps(document)
    (tmp_path / "new.json").write_text(data)
    done = CliRunner().invoke(main, ["check", "new.json", *options])
    assert (done.exit_code, text in done.output) == (status, True), done.output


def test_a_folder_is_wrong_usage(tmp_path):
    done = CliRunner().invoke(main, ["check", str(tmp_path)])
    assert done.exit_code == 2
    assert "is a directory" in done.output


def test_report_is_printed_as_json(tmp_path):
    path = tmp_path / "new.json"
    path.write_text(json.dumps(DOUBTFUL))
    done = CliRunner().invoke(main, ["--json", "check", str(path)])
    (finding,) = json.loads(done.output)["findings"]
    assert finding["kind"] == "never matches"
    assert finding["subject"] == "route r"
