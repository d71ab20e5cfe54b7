"""Reports the decisions of a host node as events."""

from fulmarrudder.call.header_names import HeaderNames
from fulmarrudder.call.message import Ran, Refusal, RefusalReason, RequestHead
from fulmarrudder.call.slots import Slots
from fulmarrudder.clock import Clock
from fulmarrudder.observe import EventLog, StageHistograms
from fulmarrudder.placement import class_of

NO_ID = "-"
# An answer that takes this many times the mean of its class is reported.
SLOW_FACTOR = 3.0
RUN_LATE_REASONS = frozenset({RefusalReason.DEADLINE})


def request_id_of(head: RequestHead, header_names: HeaderNames) -> str:
    """Returns the id that the caller gave a request, or a dash."""
    if not header_names.request_id:
        return NO_ID
    value = head.headers.get(header_names.request_id)
    return value.decode("latin-1") if value else NO_ID


def to_ms(seconds: float) -> float:
    """Returns seconds in milliseconds, rounded for a log line."""
    # Adding zero turns a negative zero into a positive one.
    return round(seconds * 1000, 1) + 0.0


class HostReport:
    """Writes the events of one host node.

    Attributes:
        events: Log of the events.
        slots: Slots of the target.
        time_in_queue: Seconds for which requests waited for a slot.
        time_at_target: Seconds until the target answered or failed.
    """

    def __init__(
        self,
        *,
        clock: Clock,
        events: EventLog,
        slots: Slots,
        header_names: HeaderNames,
    ):
        self.clock = clock
        self.events = events
        self.slots = slots
        self.header_names = header_names
        self.time_in_queue = StageHistograms(events.metrics, "queue")
        self.time_at_target = StageHistograms(events.metrics, "target")

    def refused(self, request, refusal: Refusal) -> None:
        """Reports a request that the target did not answer.

        Args:
            request: The `HostRequest`.
            refusal: The refusal sent in place of an answer.
        """
        now = self.clock.seconds()
        event = _event_of(refusal)
        if not self.events.allow(now, event, refusal.reason):
            return
        self.events.write(
            event,
            refusal.reason,
            role="host",
            request=request_id_of(request.head, self.header_names),
            fingerprint=request.fingerprint,
            route=request.route,
            reason=refusal.reason.value,
            detail=refusal.detail,
            ran=refusal.ran.value,
            status=refusal.status,
            **self._load_fields(request, now),
        )

    def target_ended(self, request, seconds: float, *, failed: bool) -> None:
        """Measures a request at the target, and reports it if it failed.

        Args:
            request: The `HostRequest`.
            seconds: Time since it was sent to the target.
            failed: Whether it counts as a failure of the target.
        """
        self.time_at_target.add(request.route, seconds)
        if self.slots.uses_work and not failed:
            self._report_if_slow(request, seconds)
        if failed:
            self.target_event(
                "target-failed",
                request,
                target_ms=to_ms(seconds),
                left_ms=to_ms(request.deadline - self.clock.seconds()),
            )

    def _report_if_slow(self, request, seconds: float) -> None:
        """Reports an answer that took far longer than its class usually does."""
        work, now = self.slots.work, self.clock.seconds()
        cost_class = class_of(request.route, request.head.length)
        usual_s = work.usual_s(cost_class)
        if seconds < SLOW_FACTOR * usual_s:
            return
        self.target_event(
            "target-slow",
            request,
            target_ms=to_ms(seconds),
            usual_ms=to_ms(usual_s),
            p99_ms=to_ms(work.costs.histogram_of(cost_class).quantile_s(0.99)),
            slowness=round(work.speed.now(now), 2),
            told=round(work.speed.told_now(now), 2),
            taken=self.slots.taken,
            queued=self.slots.queued,
        )

    def target_event(self, event: str, request, **fields) -> None:
        """Reports what a request revealed about the target.

        Args:
            event: Name of the event.
            request: The `HostRequest`.
            **fields: Further fields.
        """
        now = self.clock.seconds()
        if not self.events.allow(now, event):
            return
        self.events.write(
            event,
            request=request_id_of(request.head, self.header_names),
            fingerprint=request.fingerprint,
            route=request.route,
            **fields,
        )

    def target_limited(self, per_s: float, before_per_s: float) -> None:
        """Reports a change of the limit that the target named.

        Args:
            per_s: Requests a second; infinite for no limit.
            before_per_s: The limit before.
        """
        now = self.clock.seconds()
        if not self.events.allow(now, "target-limited"):
            return
        self.events.write(
            "target-limited",
            per_s=per_s,
            before_per_s=before_per_s,
            taken=self.slots.taken,
            queued=self.slots.queued,
        )

    def _load_fields(self, request, now: float) -> dict:
        slots = self.slots
        fields = {
            "taken": slots.taken,
            "queued": slots.queued,
            "capacity": slots.capacity,
            "wait_ms": to_ms(slots.expected_wait(request.rank)),
            "service_ms": to_ms(slots.service_time(request.route)),
            "rank": request.rank,
            "left_ms": to_ms(request.deadline - now),
        }
        if slots.uses_work:
            fields["slowness"] = round(slots.work.speed.now(now), 2)
        if request.soft_deadline:
            fields["soft_left_ms"] = to_ms(request.soft_deadline - now)
        if request.spill_deadline:
            fields["spill_left_ms"] = to_ms(request.spill_deadline - now)
        return fields


def _event_of(refusal: Refusal) -> str:
    if refusal.ran is Ran.NO:
        return "request-refused"
    return "run-late" if refusal.reason in RUN_LATE_REASONS else "run-broken"
