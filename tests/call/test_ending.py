"""Consequences of an attempt's end for its endpoint and its request."""

import pytest

from fulmarrudder.call.ending import (
    Answered,
    Broken,
    Declined,
    Late,
    counts_as_failure,
    may_have_run,
    refusal_for,
    shows_no_target,
    with_earlier_attempts,
)
from fulmarrudder.call.message import Ran, Refusal, RefusalReason


def declined(reason, ran=Ran.NO):
    return Declined(refusal=Refusal(status=503, reason=reason, ran=ran))


@pytest.mark.parametrize(
    ("ending", "is_failure", "no_target", "ran"),
    [
        (Answered(status=200), False, False, True),
        (Answered(status=500), True, False, True),
        (Broken(), True, False, True),
        (Late(), True, False, True),
        (declined(RefusalReason.UNREACHABLE), True, True, False),
        (declined(RefusalReason.NO_TARGET), True, True, False),
        (declined(RefusalReason.OVERLOADED), False, False, False),
        (declined(RefusalReason.LEAVING), False, False, False),
        (
            declined(RefusalReason.CONNECTION_BROKEN, Ran.UNKNOWN),
            True,
            False,
            True,
        ),
    ],
)
def test_consequences_of_an_ending(ending, is_failure, no_target, ran):
    assert counts_as_failure(ending) is is_failure
    assert shows_no_target(ending) is no_target
    assert may_have_run(ending) is ran


def test_refusal_reports_whether_the_request_ran():
    assert refusal_for(Broken()).ran is Ran.UNKNOWN
    assert refusal_for(Late()).ran is Ran.UNKNOWN
    ending = declined(RefusalReason.LEAVING)
    assert refusal_for(ending) is ending.refusal


def test_refusal_is_not_run_only_if_no_attempt_may_have_run():
    """The last attempt did not run, but an earlier one may have (seed 33)."""
    refusal = declined(RefusalReason.NO_TARGET).refusal
    assert (
        with_earlier_attempts(refusal, may_have_run_before=False).ran is Ran.NO
    )
    assert (
        with_earlier_attempts(refusal, may_have_run_before=True).ran
        is Ran.UNKNOWN
    )


def test_status_promises_not_run_only_if_no_attempt_may_have_run():
    """A request whose connection was lost was answered with 503.

    Seen in scenario trouble-2.
    """
    refusal = declined(RefusalReason.NO_TARGET).refusal
    assert (
        with_earlier_attempts(refusal, may_have_run_before=False).status == 503
    )
    assert (
        with_earlier_attempts(refusal, may_have_run_before=True).status == 502
    )
