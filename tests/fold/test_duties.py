"""A duty has one holder; a paused one is fenced by its term."""

from fulmarrudder.fold import Applied, Reason, duty_named
from tests.conftest import claim


def test_claim_of_the_latest_term_wins(story):
    assert isinstance(story.tell(claim(holder="a/1")), Applied)
    outcome = story.tell(claim(holder="b/1"))
    assert outcome.reason is Reason.STALE_TERM
    assert "a/1 holds controller at term 1" in outcome.detail
    story.tell(claim(holder="b/1", expected=1))
    duty = duty_named(story.state, "controller")
    assert (duty.holder, duty.term) == ("b/1", 2)
