"""Leases on duties: heartbeats in the log, and who watches them.

A lease is lapsed for a watcher when the log answers and has shown no
heartbeat of the duty's latest term by the watcher's own deadline. Clocks are
never compared; a wrong guess is harmless because terms fence.
"""

import random
from collections.abc import Callable

from fulmarrudder.clock import Clock
from fulmarrudder.fold import Duty, State, duty_named
from fulmarrudder.log import (
    DUTIES,
    LAST,
    Batch,
    Envelope,
    LogService,
    Tail,
    UnavailableError,
    decode,
    encode,
)
from fulmarrudder.model import RenewDuty

LEASE_S = 6.0
RENEW_S = 1.5
ANSWERED_WITHIN_S = 4.0


class LeaseWatcher:
    """Follows heartbeats of duties.

    Attributes:
        deadlines: Clock seconds by which the next heartbeat is due, by duty
            and term.
        tail: Reads the stream of heartbeats.
    """

    def __init__(self, log: LogService, clock: Clock, rng: random.Random):
        self.clock = clock
        self.deadlines: dict[tuple[str, int], float] = {}
        self.answering = False
        self.since = 0.0
        self.tail = Tail(
            log,
            DUTIES,
            clock,
            rng,
            on_batch=self._took,
            on_expired=self._expired,
        )

    def start(self) -> None:
        """Watches from now on."""
        if not self.tail.running:
            self.since = self.clock.seconds()
            self.answering = False
            self.deadlines.clear()
            self.tail.start(LAST)

    def stop(self) -> None:
        """Watches no longer."""
        self.tail.stop()

    def is_expired(self, state: State, duty: str) -> bool:
        """Tells whether nobody holds a duty as far as is known.

        Args:
            state: The folded state.
            duty: Name of the duty.
        """
        now = self.clock.seconds()
        if not self.tail.available:
            return False
        if now - self.tail.answered_at > ANSWERED_WITHIN_S:
            return False
        held = duty_named(state, duty)
        if held is None:
            return True
        key = (duty, held.term)
        if key not in self.deadlines:
            self.deadlines[key] = now + LEASE_S
        return now > self.deadlines[key]

    def _took(self, batch: Batch) -> None:
        now = self.clock.seconds()
        if not self.answering:
            # Holders could not be heard while the log was away.
            self.answering = True
            self._grant_all(now)
        for raw in batch.records:
            decoded = decode(raw.body)
            if decoded.is_error() or not isinstance(decoded.ok.body, RenewDuty):
                continue
            renewal = decoded.ok.body
            self.deadlines[(renewal.duty, renewal.term)] = now + LEASE_S

    def track_log_outage(self) -> None:
        """Gives every holder a new term once the log answers again."""
        if not self.tail.available:
            self.answering = False

    def _grant_all(self, now: float) -> None:
        for key in self.deadlines:
            self.deadlines[key] = now + LEASE_S

    def _expired(self, first: int) -> None:
        self.tail.next_offset = first


class LeaseRenewer:
    """Sends the heartbeats of this node's duties.

    Attributes:
        holder: How this node is named as a holder.
        confirmed: Clock seconds of the last heartbeat that was answered.
    """

    def __init__(
        self,
        log: LogService,
        clock: Clock,
        holder: str,
        held: Callable[[], tuple[Duty, ...]],
    ):
        self.log = log
        self.clock = clock
        self.holder = holder
        self.held = held
        self.count = 0
        self.due = 0.0
        self.confirmed = clock.seconds()

    def tick(self) -> None:
        """Sends heartbeats when they are due."""
        now = self.clock.seconds()
        duties = self.held()
        if not duties or now < self.due:
            return
        self.due = now + RENEW_S
        texts = []
        for duty in duties:
            self.count += 1
            renewal = RenewDuty(
                duty=duty.name, holder=self.holder, term=duty.term
            )
            record_id = f"{self.holder}/{self.count}"[-64:]
            texts.append(encode(Envelope(id=record_id, body=renewal)))
        renewing = self.log.append(DUTIES, tuple(texts))
        renewing.addCallbacks(lambda first: self._renewed(now), _unanswered)

    def _renewed(self, now: float) -> None:
        self.confirmed = now

    def holds_lease(self) -> bool:
        """Tells whether the lease cannot have lapsed for anybody yet."""
        return self.clock.seconds() - self.confirmed < LEASE_S


def _unanswered(failure) -> None:
    failure.trap(UnavailableError)
