"""Commands are parsed; other text is answered with valid examples."""

import pytest

from fulmarrudder.operate.command import (
    BeginMove,
    CompleteMove,
    PublishVersion,
    ShowHistory,
    ShowMove,
    ShowNodes,
    ShowStatus,
    TakeMoveBack,
)
from fulmarrudder.operate.language import EXAMPLES, parse_command

NOW = 1_000_000.0


@pytest.mark.parametrize(
    ("text", "command"),
    [
        ("show status", ShowStatus()),
        ("show nodes", ShowNodes()),
        ("show nodes in lima-1", ShowNodes(data_centre="lima-1")),
        (
            "show nodes in lima-1 lagging",
            ShowNodes(data_centre="lima-1", lagging=True),
        ),
        ("show nodes lagging", ShowNodes(lagging=True)),
        ("show move 7", ShowMove(move="7")),
        ("show history", ShowHistory()),
        ("show history of archivo-macro", ShowHistory(service="archivo-macro")),
        ("publish expecting 3", PublishVersion(expected=3)),
        (
            "start move m of caja to 2 within 10 m expecting 4",
            BeginMove(
                move="m",
                service="caja",
                to_version="2",
                deadline=NOW + 600,
                expected=4,
            ),
        ),
        (
            "start move m of caja to 2.1 by 1970-01-12T13:46:40Z expecting 4",
            BeginMove(
                move="m",
                service="caja",
                to_version="2.1",
                deadline=NOW,
                expected=4,
            ),
        ),
        (
            "complete move m",
            CompleteMove(move="m", reason="operator's decision"),
        ),
        (
            'take back move m because "it \\"fails\\""',
            TakeMoveBack(move="m", reason='it "fails"'),
        ),
    ],
)
def test_command_is_parsed(text, command):
    assert parse_command(text, NOW).ok == command


@pytest.mark.parametrize("text", EXAMPLES)
def test_every_example_is_a_command(text):
    assert parse_command(text, NOW).is_ok()


@pytest.mark.parametrize(
    "text",
    [
        "",
        "show",
        "publish",
        "start move m",
        "drop tables",
        "show nodes in",
        "publish expecting three",
        "start move m of caja to 2 within 10 y",
    ],
)
def test_invalid_text_is_answered_with_examples(text):
    assert "say for example" in str(parse_command(text, NOW).error)


def test_examples_match_the_first_word():
    assert "publish expecting" in str(parse_command("publish it", NOW).error)
    assert "show status" not in str(parse_command("publish it", NOW).error)
