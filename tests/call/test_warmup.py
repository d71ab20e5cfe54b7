"""Answers of a cold target are left out of its latencies."""

from fulmarrudder.call.warmup import (
    MAX_WARMUP_S,
    MIN_WARMUP_S,
    WARMUP_REQUESTS,
    WarmupTracker,
)


def test_target_warms_up_by_requests_and_not_by_uptime():
    tracker = WarmupTracker()
    answers = [
        tracker.record_request(1, 1000.0 + MIN_WARMUP_S * i)
        for i in range(WARMUP_REQUESTS + 1)
    ]
    cold_for = int(MAX_WARMUP_S / MIN_WARMUP_S) + 1
    assert answers == [True] * cold_for + [False] * (
        WARMUP_REQUESTS + 1 - cold_for
    )


def test_busy_target_is_cold_for_a_few_seconds_only():
    tracker = WarmupTracker()
    for _ in range(10 * WARMUP_REQUESTS):
        assert tracker.record_request(1, 0.0)
    assert not tracker.record_request(1, MIN_WARMUP_S + 0.1)


def test_new_incarnation_is_cold_again():
    tracker = WarmupTracker()
    for _ in range(WARMUP_REQUESTS):
        tracker.record_request(1, 0.0)
    assert not tracker.record_request(1, MIN_WARMUP_S)
    assert tracker.record_request(2, MIN_WARMUP_S)
