"""Answers are rendered as tables and encoded as JSON without loss."""

from fulmarrudder.operate.answer import (
    ANSWERS,
    DataCentreStatus,
    Denied,
    Status,
)
from fulmarrudder.operate.render import render

STATUS = Status(
    answered_by="n1",
    version=4,
    offset=19,
    operator="ana",
    log_available=False,
    controller="n7",
    open_moves=1,
    data_centres=(
        DataCentreStatus(
            name="lima-1",
            heard=True,
            nodes=3,
            version=4,
            offset=18,
            behind=1,
            lagging=("n2",),
        ),
        DataCentreStatus(
            name="lima-2",
            heard=False,
            nodes=0,
            version=0,
            offset=-1,
            behind=20,
            lagging=(),
        ),
    ),
)


def test_status_says_who_lags_and_who_is_not_heard(snapshot):
    text = render(STATUS)
    assert "lima-1       yes    3      4        1       n2" in text
    assert "lima-2       NO     ?      ?        ?       -" in text
    assert "log not available" in text
    assert text == snapshot


def test_answer_survives_its_journey():
    document = ANSWERS.dump(STATUS, json_types=True)
    assert ANSWERS.load(document).ok == STATUS


def test_refusal_says_what_to_do():
    denied = Denied(reason="r", detail="d", advice="do this")
    assert render(denied) == "refused (r): d\ndo this"
