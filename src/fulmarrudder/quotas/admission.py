"""Filter: requests of workspaces that are within their limits in the fleet."""

import collections
from collections.abc import Callable, Iterable

from fulmarrudder.call.message import Refusal, RefusalReason
from fulmarrudder.call.refusals import not_run
from fulmarrudder.model import Workspace
from fulmarrudder.quotas.bucket import WorkspaceBucket
from fulmarrudder.quotas.counts import (
    Counts,
    counts_of,
    flat_counts,
    workspace_id,
)
from fulmarrudder.quotas.fleet import FleetView
from fulmarrudder.quotas.limits import QuotaBounds, limit_of
from fulmarrudder.quotas.message import QuotaReport, QuotaSum, QuotaUse

MIN_RETRY_AFTER_S = 0.1
MAX_RETRY_AFTER_S = 5.0
# Reports that are kept until the collector's sums include them.
MAX_PENDING_REPORTS = 64
# Tokens of a node that starts: enough for a workspace whose next token takes long.
START_TOKENS = 1.0
TOO_MANY_STATUS = 429
# Part of the slack below which requests that are unheard do not press.
UNPRESSING_PART = 0.25
DEFAULT_BOUNDS = QuotaBounds()


def _nothing() -> None:
    """Is called where nobody waits."""


class FleetQuotas:
    """Decides for one node which requests of workspaces exceed their limits.

    Attributes:
        node: Id of the node.
        bounds: What the deployment demands; replaced with the settings.
        view: Which parts of the fleet are heard.
        buckets: Buckets of the workspaces that have a limit, by name.
        by_id: The same, by the number that links name them by.
        changed: Buckets with counts that are not reported yet.
        number: Number of the latest report.
        pending: Requests admitted by report that the collector may not have
            included yet.
        refusals: Requests refused here, by workspace.
        on_pressing: Called when a report should not wait.
        is_filled: Whether a version is in force, so that workspaces of later ones
            start with tokens.
    """

    def __init__(
        self,
        node: str,
        data_centre: str,
        now: float,
        bounds: QuotaBounds = DEFAULT_BOUNDS,
    ):
        self.node = node
        self.bounds = bounds
        self.view = FleetView(data_centre, now)
        self.buckets: dict[str, WorkspaceBucket] = {}
        self.by_id: dict[int, tuple[WorkspaceBucket, ...]] = {}
        self.changed: dict[str, WorkspaceBucket] = {}
        self.number = 0
        self.pending: collections.OrderedDict[int, Counts] = (
            collections.OrderedDict()
        )
        self.refusals: collections.Counter[str] = collections.Counter()
        self.on_pressing: Callable[[], None] = _nothing
        self.is_filled = False

    @property
    def has_limits(self) -> bool:
        """Whether any workspace has a limit."""
        return bool(self.buckets)

    def set_workspaces(
        self, workspaces: Iterable[Workspace] | None, now: float
    ) -> None:
        """Applies the limits of a configuration version.

        Workspaces of the first version start with a token only, as the node may
        have just restarted.

        Args:
            workspaces: All workspaces; None where there are none.
            now: Clock seconds.
        """
        buckets = {}
        for workspace in workspaces or ():
            bucket = self.buckets.get(workspace.name)
            if bucket is None or bucket.workspace is not workspace:
                bucket = self._bucket_of(workspace, bucket, now)
            if bucket is not None:
                buckets[workspace.name] = bucket
        self.is_filled = True
        if buckets.keys() != self.buckets.keys():
            self._index(buckets)
            self.changed = {
                name: bucket
                for name, bucket in self.changed.items()
                if name in buckets
            }
        self.buckets = buckets

    def set_bounds(self, bounds: QuotaBounds, now: float) -> None:
        """Replaces what the deployment demands."""
        if bounds == self.bounds:
            return
        self.bounds = bounds
        for bucket in self.buckets.values():
            self._bucket_of(bucket.workspace, bucket, now)

    def admit(self, workspace: Workspace, now: float) -> Refusal | None:
        """Takes a token for a request.

        Args:
            workspace: Workspace of the request.
            now: Clock seconds.

        Returns:
            None if the request is within the limit, else its refusal.
        """
        bucket = self.buckets.get(workspace.name)
        if bucket is None:
            return None
        self.changed[workspace.name] = bucket
        if bucket.take(now):
            if self._is_pressing(bucket, now):
                self.on_pressing()
            return None
        self.refusals[workspace.name] += 1
        wait_s = max(MIN_RETRY_AFTER_S, bucket.wait_s(now))
        return not_run(
            RefusalReason.QUOTA,
            "the workspace has used up its limit",
            TOO_MANY_STATUS,
            retry_after_s=min(MAX_RETRY_AFTER_S, wait_s),
        )

    def refund(self, workspace: Workspace) -> None:
        """Returns the token of a request that reached no target."""
        bucket = self.buckets.get(workspace.name)
        if bucket is not None:
            self.changed[workspace.name] = bucket
            bucket.give_back()

    def beat(self, now: float) -> None:
        """Finds which parts of the fleet are silent."""
        self.view.beat(now)

    def take_report(self, now: float) -> QuotaReport:
        """Returns what was counted since the last report.

        What a node counts while it is cut off is not reported: the others have
        left it its part of the rate meanwhile.
        """
        is_late = self.view.is_late(self.view.data_centre, now)
        if is_late:
            self.pending.clear()
        counts = {}
        pressing = False
        for bucket in self.changed.values():
            if not is_late:
                counts[workspace_id(bucket.name)] = (
                    bucket.admitted,
                    bucket.refused,
                )
            pressing |= self._is_pressing(bucket, now)
            bucket.admitted = bucket.refused = 0
        self.changed = {}
        self.number += 1
        if counts:
            self.pending[self.number] = counts
        if len(self.pending) > MAX_PENDING_REPORTS:
            self.pending.popitem(last=False)
        return QuotaReport(
            number=self.number, counts=flat_counts(counts), pressing=pressing
        )

    def report_again(self) -> None:
        """Counts what a collector that is no longer used may not have told."""
        for counts in self.pending.values():
            for number, (admitted, refused) in counts.items():
                for bucket in self.by_id.get(number, ()):
                    bucket.admitted += admitted
                    bucket.refused += refused
                    self.changed[bucket.name] = bucket
        self.pending.clear()

    def hear(self, use: QuotaUse, now: float, teller: str = "") -> None:
        """Applies what a node of this data centre tells.

        Args:
            use: What it tells.
            now: Clock seconds.
            teller: Id of the node.
        """
        own = self._included(use)
        for told in use.sums:
            is_late = self.view.is_late(told.data_centre, now)
            self.view.hear(told.data_centre, told.missing, now, teller)
            is_local = told.data_centre == self.view.data_centre
            self._apply(
                told,
                own if is_local else {},
                now,
                is_late=is_late,
            )

    def _bucket_of(
        self, workspace: Workspace, bucket: WorkspaceBucket | None, now: float
    ) -> WorkspaceBucket | None:
        """Returns the bucket of a workspace, or None if it has no limit."""
        limit = limit_of(workspace, self.bounds)
        if limit is None:
            return None
        if bucket is None:
            tokens = limit.capacity if self.is_filled else START_TOKENS
            return WorkspaceBucket(workspace, limit, self.view, now, tokens)
        bucket.set_limit(workspace, limit, now)
        return bucket

    def _apply(
        self, told: QuotaSum, own: Counts, now: float, *, is_late: bool
    ) -> None:
        for number, admitted, refused in counts_of(told.counts):
            own_admitted, own_refused = own.get(number, (0, 0))
            others = admitted - own_admitted
            asked = others + refused - own_refused
            for bucket in self.by_id.get(number, ()):
                if is_late:
                    bucket.hear_late(others, now)
                    continue
                bucket.hear(told.data_centre, others, asked, now)

    def _included(self, use: QuotaUse) -> Counts:
        """Returns this node's own counts that a message includes."""
        latest = dict(use.included).get(self.node, 0)
        own: dict[int, tuple[int, int]] = {}
        for number in tuple(self.pending):
            if number > latest:
                break
            for workspace, counts in self.pending.pop(number).items():
                before = own.get(workspace, (0, 0))
                own[workspace] = (before[0] + counts[0], before[1] + counts[1])
        return own

    def _is_pressing(self, bucket: WorkspaceBucket, now: float) -> bool:
        """Returns whether other nodes should soon hear of a workspace's requests.

        What a workspace of little demand asks for unheard is within the slack.
        """
        if bucket.admitted <= 0:
            return False
        unheard = bucket.demand_per_s(now) * self.view.silence_s
        if unheard <= UNPRESSING_PART * self.bounds.slack:
            return False
        return bucket.is_low or bucket.admitted >= bucket.pace_depth

    def _index(self, buckets: dict[str, WorkspaceBucket]) -> None:
        by_id: dict[int, tuple[WorkspaceBucket, ...]] = {}
        for bucket in buckets.values():
            number = workspace_id(bucket.name)
            by_id[number] = (*by_id.get(number, ()), bucket)
        self.by_id = by_id
