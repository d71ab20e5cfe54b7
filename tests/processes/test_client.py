"""The client against a real node: exit statuses and error messages."""

import json

import pytest
from click.testing import CliRunner

from fulmarrudder.client import main
from fulmarrudder_lab.cluster import Cluster, wait_for
from fulmarrudder_lab.firms import ESFERA, OPERATOR_TOKEN, arrangement_document


@pytest.fixture(scope="module")
def node(tmp_path_factory):
    with Cluster(
        tmp_path_factory.mktemp("client"), relays=1
    ) as running_cluster:
        instance = running_cluster.add_instance(
            "lima-1", ESFERA.services[0], "1", 0
        )
        running_cluster.start_node(instance)
        wait_for(
            "the node",
            lambda: (
                running_cluster.send_command(instance, "show status")["k"]
                == "status"
            ),
        )
        yield f"127.0.0.1:{instance.admin_port}"


def run(node, *words, token=OPERATOR_TOKEN):
    options = ["--node", node, "--token", token]
    return CliRunner().invoke(main, [*options, *words])


def test_commands_exit_with_distinct_statuses(node, tmp_path):
    document = tmp_path / "good.json"
    document.write_text(json.dumps(arrangement_document(ESFERA)))
    bad = tmp_path / "bad.json"
    bad.write_text('{"services": []}')
    broken = tmp_path / "broken.json"
    broken.write_text("{")

    done = run(node, "publish", str(document), "--expecting", "0")
    assert done.exit_code == 0, done.output
    raced = run(node, "publish", str(document), "--expecting", "0")
    assert raced.exit_code == 1
    assert "version 1 by lab is in force" in raced.output
    faulty = run(node, "publish", str(bad), "--expecting", "1")
    assert faulty.exit_code == 1
    assert "routes: Field required" in faulty.output
    assert run(node, "publish", str(broken), "--expecting", "1").exit_code == 2
    unknown = run(node, "do", "open", "sesame")
    assert unknown.exit_code == 2
    assert "say for example" in unknown.output
    assert run(node, "show", "move", "none").exit_code == 1
    assert run(node, "show", token="wrong").exit_code == 3
    assert run("127.0.0.1:9", "show").exit_code == 4


def test_json_option_prints_json(node):
    shown = CliRunner().invoke(
        main, ["--node", node, "--token", OPERATOR_TOKEN, "--json", "show"]
    )
    assert json.loads(shown.output)["k"] == "status"
