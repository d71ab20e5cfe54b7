"""A duty has one holder; an older term is refused."""

from fulmarrudder.state_machine import Applied, Reason, duty_named
from tests.conftest import claim


def test_claim_of_the_latest_term_wins(builder):
    assert isinstance(builder.append(claim(holder="a/1")), Applied)
    outcome = builder.append(claim(holder="b/1"))
    assert outcome.reason is Reason.STALE_TERM
    assert "a/1 holds controller at term 1" in outcome.detail
    builder.append(claim(holder="b/1", expected=1))
    duty = duty_named(builder.state, "controller")
    assert (duty.holder, duty.term) == ("b/1", 2)
