"""Names of the header fields of the platform's callers and targets."""

from fulmarrudder.call import HeaderNames

HEADER_NAMES = HeaderNames(
    caller_timeout=b"x-deadline-remaining",
    request_id=b"x-request-id",
    time_remaining=b"x-deadline-remaining",
    calling_service=b"x-caller-service",
    expected_target=b"x-expected-instance",
    response_seal=b"x-response-seal",
    not_run=b"x-not-executed",
    load=b"x-instance-load",
    requests_per_s=b"server-limit",
    leaving=b"server-leaving",
    api_key=b"x-api-key",
    workspace=b"x-tenant-id",
    idempotency_key=b"",
)
