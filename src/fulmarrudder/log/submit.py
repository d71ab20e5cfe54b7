"""Appends records and reports their outcomes.

The outcome of an append is known once the record has been read back from the
log and applied to the state; the response to the append does not contain it.
An append whose response is lost is sent again under the same id, and the state
machine drops the second copy.
"""

import dataclasses
from collections.abc import Callable
from random import Random

from twisted.internet.defer import CancelledError, Deferred

from fulmarrudder.clock import Clock
from fulmarrudder.log.backoff import Backoff
from fulmarrudder.log.codec import Envelope, encode_envelope
from fulmarrudder.log.errors import UnavailableError, UndecidedError
from fulmarrudder.log.service import CONFIG_STREAM, LogService
from fulmarrudder.state_machine import Duplicate, Outcome

RETRY_BASE_DELAY_S = 0.2
RETRY_MAX_DELAY_S = 2.0
READ_BACK_TIMEOUT_S = 1.0
RESEND_WINDOW_RECORDS = 512


@dataclasses.dataclass(slots=True, kw_only=True)
class _Pending:
    """A submission that waits for its outcome."""

    envelope: Envelope
    outcome: Deferred
    deadline: float
    sent_at_offset: int
    backoff: Backoff
    timer: object = None


class Submitter:
    """Sends appends again until their outcome is known.

    Attributes:
        applied_offset: Returns the offset of the last record that this node
            has applied.
        pending: Appends without an outcome, by id.
    """

    def __init__(
        self,
        log: LogService,
        clock: Clock,
        rng: Random,
        applied_offset: Callable[[], int],
    ):
        self.log = log
        self.clock = clock
        self.rng = rng
        self.applied_offset = applied_offset
        self.pending: dict[str, _Pending] = {}

    def submit(self, envelope: Envelope, *, deadline: float) -> Deferred:
        """Appends a record to the configuration stream.

        Args:
            envelope: Id and body of the record.
            deadline: Clock seconds at which the append fails.

        Returns:
            Deferred of the `Outcome`; fails with `UndecidedError` when it is
            still unknown at the deadline.
        """
        pending = _Pending(
            envelope=envelope,
            outcome=Deferred(),
            deadline=deadline,
            sent_at_offset=self.applied_offset(),
            backoff=Backoff(
                base_delay_s=RETRY_BASE_DELAY_S,
                max_delay_s=RETRY_MAX_DELAY_S,
                rng=self.rng,
            ),
        )
        self.pending[envelope.id] = pending
        self._send(pending)
        return pending.outcome

    def resolve(self, outcome: Outcome) -> None:
        """Reports the outcome of a record that this node has applied."""
        if isinstance(outcome, Duplicate):
            return
        pending = self.pending.pop(outcome.id, None)
        if pending is None:
            return
        self._cancel_timer(pending)
        pending.outcome.callback(outcome)

    def stop(self) -> None:
        """Fails all appends that have no outcome."""
        for pending in tuple(self.pending.values()):
            self._fail(pending)

    def _send(self, pending: _Pending) -> None:
        pending.timer = None
        if pending.envelope.id not in self.pending:
            return
        if self.clock.seconds() >= pending.deadline:
            self._fail(pending)
            return
        if (
            self.applied_offset() - pending.sent_at_offset
            > RESEND_WINDOW_RECORDS
        ):
            # The state keeps only recent ids: a copy sent now could arrive
            # after its id is dropped, and would be applied a second time.
            self._schedule_send(
                pending, pending.deadline - self.clock.seconds()
            )
            return
        sending = self.log.append(
            CONFIG_STREAM, (encode_envelope(pending.envelope),)
        )
        sending.addCallbacks(
            lambda _: self._schedule_send(pending, READ_BACK_TIMEOUT_S),
            lambda failure: self._retry(pending, failure),
        )

    def _retry(self, pending: _Pending, failure):
        self._schedule_send(pending, pending.backoff.next_delay())
        # An error of another kind is recorded by the supervisor.
        if failure.check(UnavailableError, CancelledError):
            return None
        return failure

    def _schedule_send(self, pending: _Pending, delay: float) -> None:
        if pending.envelope.id not in self.pending:
            return
        remaining = max(0.0, pending.deadline - self.clock.seconds())
        pending.timer = self.clock.callLater(
            min(delay, remaining), self._send, pending
        )

    def _fail(self, pending: _Pending) -> None:
        self.pending.pop(pending.envelope.id, None)
        self._cancel_timer(pending)
        pending.outcome.errback(UndecidedError(pending.envelope.id))

    def _cancel_timer(self, pending: _Pending) -> None:
        if pending.timer is not None and pending.timer.active():
            pending.timer.cancel()
        pending.timer = None
