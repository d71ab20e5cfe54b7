"""Header fields that the platform's callers and targets speak."""

from fulmarrudder.call import Dialect

DIALECT = Dialect(
    time_left=b"x-deadline-remaining",
    request_id=b"x-request-id",
    work_until=b"x-deadline-remaining",
    caller=b"x-caller-service",
    expected=b"x-expected-instance",
    seal=b"x-response-seal",
    not_run=b"x-not-executed",
    load=b"x-instance-load",
)
