"""Confirmations list confirmed, lagging and unheard data centres."""

from fulmarrudder.model import ConfigSummary
from fulmarrudder.move import confirm
from fulmarrudder.operate.verdict import verdict_of
from fulmarrudder.state_machine import Move, Phase


def summary(relay, data_centre, offset):
    return ConfigSummary(
        relay=relay,
        data_centre=data_centre,
        incarnation=1,
        sequence=1,
        nodes=3,
        offset=offset,
        version=1,
        relay_offset=offset,
    )


def test_every_data_centre_is_accounted_for():
    fresh = (
        summary("a", "lima-1", 9),
        summary("b", "lima-1", 7),
        summary("c", "lima-2", 9),
    )
    data_centres = frozenset({"lima-1", "lima-2", "lima-3"})
    confirmation = confirm(8, data_centres, fresh)
    assert confirmation.confirmed == ("lima-2",)
    assert confirmation.lagging == ("lima-1",)
    assert confirmation.unheard == ("lima-3",)
    assert not confirmation.complete
    assert confirm(7, frozenset({"lima-1"}), fresh).complete


def test_verdict_is_unknown_before_the_move_is_closed():
    move = Move(
        id="m",
        service="s",
        from_version="1",
        to_version="2",
        operator="a",
        deadline=0.0,
        phase=Phase.COMPLETING,
        by="controller",
    )
    verdict = verdict_of(move, "lima-3")
    assert verdict.startswith("not known yet")
    assert "lima-3" in verdict
