"""Named patterns of load: callers are served no worse than before."""

import pytest

from fulmarrudder_lab.placement import PATTERNS, Fleet


@pytest.mark.parametrize("pattern", PATTERNS)
def test_pattern_is_served_with_fewer_tries_and_as_promptly(pattern):
    landed = Fleet(PATTERNS[pattern], "landed").play()
    new = Fleet(PATTERNS[pattern], "new").play()
    assert new.total == landed.total
    assert new.tries < landed.tries
    assert new.prompt_share >= landed.prompt_share - 0.01


def test_urgent_requests_are_kept_apart_from_a_burst_of_others():
    outcome = Fleet(PATTERNS["burst of one kind"], "new").play()
    assert outcome.served("urgent") >= outcome.served("upload") - 0.05
