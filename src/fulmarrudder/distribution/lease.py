"""Leases on duties, renewed by records in the log.

A lease has expired for a watcher if the log is reachable and contained no
renewal of the duty's latest term before the watcher's own deadline. Clocks of
different nodes are never compared. A wrong decision does no harm, because the
term of a duty fences its former holder.
"""

import random
from collections.abc import Callable

from fulmarrudder.clock import Clock
from fulmarrudder.log import (
    DUTIES_STREAM,
    NEWEST_RECORD,
    Batch,
    Envelope,
    LogService,
    Tail,
    UnavailableError,
    decode_envelope,
    encode_envelope,
)
from fulmarrudder.model import RenewDuty
from fulmarrudder.state_machine import Duty, State, duty_named

LEASE_DURATION_S = 6.0
RENEWAL_INTERVAL_S = 1.5
MAX_LOG_ANSWER_AGE_S = 4.0


class LeaseWatcher:
    """Detects expired leases.

    Attributes:
        deadlines: Clock seconds at which the lease expires unless it is
            renewed, by duty and term.
        log_answers: Whether the log has answered since the last outage.
        started_at: Clock seconds at which the watcher was started.
        tail: Reads the stream of renewals.
    """

    def __init__(self, log: LogService, clock: Clock, rng: random.Random):
        self.clock = clock
        self.deadlines: dict[tuple[str, int], float] = {}
        self.log_answers = False
        self.started_at = 0.0
        self.tail = Tail(
            log,
            DUTIES_STREAM,
            clock,
            rng,
            on_batch=self._on_batch,
            on_expired=self._on_expired,
        )

    def start(self) -> None:
        """Starts to read renewals; does nothing if running."""
        if not self.tail.running:
            self.started_at = self.clock.seconds()
            self.log_answers = False
            self.deadlines.clear()
            self.tail.start(NEWEST_RECORD)

    def stop(self) -> None:
        """Stops reading renewals."""
        self.tail.stop()

    def is_expired(self, state: State, duty: str) -> bool:
        """Returns whether the lease on a duty has expired.

        Args:
            state: The replicated state.
            duty: Name of the duty.

        Returns:
            True if nobody has claimed the duty or its lease has expired;
            always False while the log is not reachable.
        """
        now = self.clock.seconds()
        if not self.tail.available:
            return False
        if now - self.tail.last_answer_at > MAX_LOG_ANSWER_AGE_S:
            return False
        latest = duty_named(state, duty)
        if latest is None:
            return True
        key = (duty, latest.term)
        if key not in self.deadlines:
            self.deadlines[key] = now + LEASE_DURATION_S
        return now > self.deadlines[key]

    def _on_batch(self, batch: Batch) -> None:
        now = self.clock.seconds()
        if not self.log_answers:
            # Holders could not renew their leases during the outage.
            self.log_answers = True
            self._extend_all(now)
        for raw in batch.records:
            decoded = decode_envelope(raw.body)
            if decoded.is_error() or not isinstance(decoded.ok.body, RenewDuty):
                continue
            renewal = decoded.ok.body
            self.deadlines[(renewal.duty, renewal.term)] = (
                now + LEASE_DURATION_S
            )

    def track_log_outage(self) -> None:
        """Records an outage of the log; leases are extended after it."""
        if not self.tail.available:
            self.log_answers = False

    def _extend_all(self, now: float) -> None:
        for key in self.deadlines:
            self.deadlines[key] = now + LEASE_DURATION_S

    def _on_expired(self, oldest_offset: int) -> None:
        self.tail.next_offset = oldest_offset


class LeaseRenewer:
    """Renews the leases on this node's duties.

    Attributes:
        holder: Name of this node as a holder of duties: its id and
            incarnation.
        held_duties: Returns the duties that this node holds.
        renewal_count: Renewals sent so far; makes their ids unique.
        next_renewal_at: Clock seconds of the next renewal.
        renewed_at: Clock seconds at which the last successful renewal was
            sent.
    """

    def __init__(
        self,
        log: LogService,
        clock: Clock,
        holder: str,
        held_duties: Callable[[], tuple[Duty, ...]],
    ):
        self.log = log
        self.clock = clock
        self.holder = holder
        self.held_duties = held_duties
        self.renewal_count = 0
        self.next_renewal_at = 0.0
        self.renewed_at = clock.seconds()

    def tick(self) -> None:
        """Renews the leases when renewal is due."""
        now = self.clock.seconds()
        duties = self.held_duties()
        if not duties or now < self.next_renewal_at:
            return
        self.next_renewal_at = now + RENEWAL_INTERVAL_S
        envelopes = []
        for duty in duties:
            self.renewal_count += 1
            renewal = RenewDuty(
                duty=duty.name, holder=self.holder, term=duty.term
            )
            record_id = f"{self.holder}/{self.renewal_count}"[-64:]
            envelopes.append(
                encode_envelope(Envelope(id=record_id, body=renewal))
            )
        renewing = self.log.append(DUTIES_STREAM, tuple(envelopes))
        renewing.addCallbacks(lambda _: self._renewed(now), _ignore_unavailable)

    def _renewed(self, now: float) -> None:
        self.renewed_at = now

    def holds_lease(self) -> bool:
        """Returns whether the lease cannot have expired for any watcher."""
        return self.clock.seconds() - self.renewed_at < LEASE_DURATION_S


def _ignore_unavailable(failure) -> None:
    failure.trap(UnavailableError)
