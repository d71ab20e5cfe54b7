"""Shared builders for tests."""

import dataclasses

import pytest

from fulmarrudder.model import (
    Arrangement,
    ClaimDuty,
    Publish,
    Record,
    Route,
    Service,
)
from fulmarrudder.state_machine import EMPTY, State, apply


class LogBuilder:
    """Folds bodies one after another, as the log would order them."""

    def __init__(self):
        self.state: State = EMPTY
        self.outcomes = []

    def append(self, body, record_id: str | None = None):
        """Folds a body and returns its outcome."""
        offset = self.state.offset + 1
        record = Record(
            offset=offset,
            id=record_id or f"id-{offset}",
            body=body,
            checksum=f"{offset:x}",
        )
        folded = apply(self.state, record)
        self.state = folded.state
        self.outcomes.append(folded.outcome)
        return folded.outcome


def small_arrangement(*versions: str) -> Arrangement:
    """Returns an arrangement with one service and two routes."""
    versions = versions or ("1", "2")
    return Arrangement(
        services=(
            Service(name="caja", target_versions=versions, initial=versions[0]),
        ),
        routes=(
            Route(
                name="quotes",
                host="",
                prefix="/",
                service="caja",
                idempotent=True,
            ),
            Route(name="deposits", host="", prefix="/deposits", service="caja"),
        ),
    )


def claim(duty="controller", holder="n1/1", expected=0) -> ClaimDuty:
    """Returns a claim of a duty."""
    return ClaimDuty(
        duty=duty,
        holder=holder,
        data_centre="lima-1",
        mesh_address="127.0.0.1:1",
        admin_address="127.0.0.1:2",
        expected_term=expected,
    )


def publish(expected=0, arrangement=None, operator="ana") -> Publish:
    """Returns the publication of a version."""
    return Publish(
        operator=operator,
        expected=expected,
        arrangement=arrangement or small_arrangement(),
    )


@pytest.fixture
def builder() -> LogBuilder:
    """A log with nothing in it yet."""
    return LogBuilder()


@pytest.fixture
def published(builder) -> LogBuilder:
    """A log with one version published and a controller claimed."""
    builder.append(publish())
    builder.append(claim())
    return builder


replace = dataclasses.replace
