"""A target's first answers do not count for latency."""

from fulmarrudder.call.warmup import (
    COLD_LIMIT_S,
    COLD_REQUESTS,
    COLD_S,
    WarmupTracker,
)


def test_target_warms_by_requests_however_long_it_has_been_up():
    warmup = WarmupTracker()
    answers = [
        warmup.record_request(1, 1000.0 + COLD_S * i)
        for i in range(COLD_REQUESTS + 1)
    ]
    cold_for = int(COLD_LIMIT_S / COLD_S) + 1
    assert answers == [True] * cold_for + [False] * (
        COLD_REQUESTS + 1 - cold_for
    )


def test_busy_target_is_cold_for_a_few_seconds_only():
    warmup = WarmupTracker()
    for _ in range(10 * COLD_REQUESTS):
        assert warmup.record_request(1, 0.0)
    assert not warmup.record_request(1, COLD_S + 0.1)


def test_new_incarnation_is_cold_again():
    warmup = WarmupTracker()
    for _ in range(COLD_REQUESTS):
        warmup.record_request(1, 0.0)
    assert not warmup.record_request(1, COLD_S)
    assert warmup.record_request(2, COLD_S)
