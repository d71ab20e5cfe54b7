"""Appends a record and learns its outcome from the fold.

The answer to an append says nothing that is needed: the outcome comes from
the record as it is read back. An append whose answer was lost is sent again
under the same id, and the fold drops the second copy.
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

RETRY_BASE_S = 0.2
RETRY_LIMIT_S = 2.0
READ_BACK_S = 1.0
RESEND_WINDOW = 512


@dataclasses.dataclass(slots=True, kw_only=True)
class _Pending:
    envelope: Envelope
    outcome: Deferred
    deadline: float
    sent_at_offset: int
    backoff: Backoff
    timer: object = None


class Submitter:
    """Keeps appends until the fold shows what became of them.

    Attributes:
        applied_offset: Returns the offset of the last record folded here.
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
            deadline: Clock seconds after which to give up.

        Returns:
            Deferred of the `Outcome`; fails with `UndecidedError` when it is
            not known by the deadline.
        """
        pending = _Pending(
            envelope=envelope,
            outcome=Deferred(),
            deadline=deadline,
            sent_at_offset=self.applied_offset(),
            backoff=Backoff(
                base_delay_s=RETRY_BASE_S,
                max_delay_s=RETRY_LIMIT_S,
                rng=self.rng,
            ),
        )
        self.pending[envelope.id] = pending
        self._send(pending)
        return pending.outcome

    def resolve(self, outcome: Outcome) -> None:
        """Takes the outcome of a record that has been folded here."""
        if isinstance(outcome, Duplicate):
            return
        pending = self.pending.pop(outcome.id, None)
        if pending is None:
            return
        self._quiet(pending)
        pending.outcome.callback(outcome)

    def stop(self) -> None:
        """Gives up every append that has no outcome yet."""
        for pending in tuple(self.pending.values()):
            self._give_up(pending)

    def _send(self, pending: _Pending) -> None:
        pending.timer = None
        if pending.envelope.id not in self.pending:
            return
        if self.clock.seconds() >= pending.deadline:
            self._give_up(pending)
            return
        if self.applied_offset() - pending.sent_at_offset > RESEND_WINDOW:
            # A copy sent now could be newer than the ids that the fold
            # still remembers, and would be applied twice.
            self._later(pending, pending.deadline - self.clock.seconds())
            return
        sending = self.log.append(
            CONFIG_STREAM, (encode_envelope(pending.envelope),)
        )
        sending.addCallbacks(
            lambda first: self._later(pending, READ_BACK_S),
            lambda failure: self._retry(pending, failure),
        )

    def _retry(self, pending: _Pending, failure) -> None:
        failure.trap(UnavailableError, CancelledError)
        self._later(pending, pending.backoff.next_delay())

    def _later(self, pending: _Pending, delay: float) -> None:
        if pending.envelope.id not in self.pending:
            return
        left = max(0.0, pending.deadline - self.clock.seconds())
        pending.timer = self.clock.callLater(
            min(delay, left), self._send, pending
        )

    def _give_up(self, pending: _Pending) -> None:
        self.pending.pop(pending.envelope.id, None)
        self._quiet(pending)
        pending.outcome.errback(UndecidedError(pending.envelope.id))

    def _quiet(self, pending: _Pending) -> None:
        if pending.timer is not None and pending.timer.active():
            pending.timer.cancel()
        pending.timer = None
