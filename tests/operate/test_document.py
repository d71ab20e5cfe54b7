"""An invalid document is refused with all its errors and their paths."""

from fulmarrudder.node.settings import Operator
from fulmarrudder.operate.admin_api import authenticate_operator
from fulmarrudder.operate.document import parse_document

SERVICE = {"name": "caja", "target_versions": ["1"], "initial": "1"}
ROUTE = {"name": "quotes", "prefix": "/quotes", "service": "caja"}


def faults(document):
    return "\n".join(parse_document(document).error.faults)


def test_valid_document_is_parsed():
    arrangement = parse_document(
        {"services": [SERVICE], "routes": [{**ROUTE, "host": "A.Example"}]}
    ).ok
    assert arrangement.routes[0].host == "a.example"


def test_schema_errors_are_listed_with_their_paths():
    lines = faults(
        {
            "services": [{**SERVICE, "target_versions": []}],
            "routes": [{**ROUTE, "timeout_ms": 0, "colour": "red"}],
        }
    )
    assert "services.0.target_versions" in lines
    assert "routes.0.timeout_ms" in lines
    assert "routes.0.colour" in lines


def test_inconsistent_references_are_listed():
    lines = faults(
        {"services": [SERVICE], "routes": [{**ROUTE, "service": "x"}]}
    )
    assert lines == "route quotes: no service x"
    assert "routes" in faults({"services": []})


def test_only_an_operators_token_authenticates():
    operators = (
        Operator(name="ana", token="a" * 16),
        Operator(name="bor", token="b" * 16),
    )
    assert authenticate_operator(b"b" * 16, operators) == "bor"
    assert authenticate_operator(b"", operators) == ""
    assert authenticate_operator(b"a" * 15, operators) == ""
