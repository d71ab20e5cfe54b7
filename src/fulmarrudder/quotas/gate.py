"""Filter: calls of workspaces that are within their limits; the others refused."""

from fulmarrudder.call.message import Refusal
from fulmarrudder.call.plan import Call
from fulmarrudder.clock import Clock
from fulmarrudder.observe import EventLog
from fulmarrudder.quotas.admission import FleetQuotas


class QuotaGate:
    """Asks for the tokens of calls, and gives back those not used.

    Attributes:
        quotas: Decides on them.
        events: Reports refusals.
    """

    __slots__ = ("clock", "events", "quotas")

    def __init__(self, clock: Clock, quotas: FleetQuotas, events: EventLog):
        self.clock = clock
        self.quotas = quotas
        self.events = events

    def admit(self, call: Call) -> Refusal | None:
        """Returns None for a call within its workspace's limit, else a refusal."""
        if call.workspace is None:
            return None
        now = self.clock.seconds()
        refusal = self.quotas.admit(call.workspace, now)
        if refusal is not None and self.events.allow(now, "quota-exceeded"):
            bucket = self.quotas.buckets[call.workspace.name]
            self.events.write(
                "quota-exceeded",
                request=call.id,
                workspace=call.workspace.name,
                per_s=bucket.limit.per_s,
                tokens=round(bucket.tokens, 1),
                pace_tokens=round(bucket.pace_tokens, 1),
                heard_share=round(bucket.heard_share, 3),
                own_share=round(bucket.own_share, 4),
                silent=" ".join(sorted(self.quotas.view.silent)),
                retry_after_s=round(refusal.retry_after_s, 2),
            )
        return refusal

    def refund(self, call: Call) -> None:
        """Gives back the token of a call that reached no target."""
        if call.workspace is not None:
            self.quotas.refund(call.workspace)
