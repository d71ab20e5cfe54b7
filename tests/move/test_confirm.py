"""A verdict names where it holds and what has not been heard."""

from fulmarrudder.model import ConfigSummary
from fulmarrudder.move import confirm
from fulmarrudder.operate.verdict import verdict_of
from fulmarrudder.state_machine import Move, Phase


def summary(relay, place, offset):
    return ConfigSummary(
        relay=relay,
        data_centre=place,
        incarnation=1,
        sequence=1,
        nodes=3,
        offset=offset,
        version=1,
        relay_offset=offset,
    )


def test_every_known_data_centre_is_accounted_for():
    fresh = (
        summary("a", "lima-1", 9),
        summary("b", "lima-1", 7),
        summary("c", "lima-2", 9),
    )
    places = frozenset({"lima-1", "lima-2", "lima-3"})
    found = confirm(8, places, fresh)
    assert found.confirmed == ("lima-2",)
    assert found.lagging == ("lima-1",)
    assert found.unheard == ("lima-3",)
    assert not found.complete
    assert confirm(7, frozenset({"lima-1"}), fresh).complete


def test_verdict_is_not_known_before_the_move_is_closed():
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
    said = verdict_of(move, "lima-3")
    assert said.startswith("not known yet")
    assert "lima-3" in said
