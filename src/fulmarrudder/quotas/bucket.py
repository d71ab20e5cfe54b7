"""The fleet's bucket of one workspace, as one node sees it.

Two gates admit a request. The bucket stands for the whole fleet: it is filled by
the workspace's rate, and the requests of other nodes take tokens when the node is
told of them. The pace is the node's own part of the rate; it bounds what all
nodes admit before they hear of each other.
"""

import dataclasses
from collections.abc import Mapping

from fulmarrudder.model import Workspace
from fulmarrudder.quotas.demand import LONG_AVERAGED_S, Demand
from fulmarrudder.quotas.fleet import FleetView
from fulmarrudder.quotas.limits import Limit

# Part of the rate that is shared out by number of nodes instead of demand.
EVEN_PART = 0.2
# Factor of the pace while the bucket is more than half full.
EASY_PACE = 2.0
# Seconds of its pace, and requests, that a node may admit at once.
PACE_DEPTH_S = 0.8
MIN_PACE_DEPTH = 3.0
# Least part of the rate that a node has.
MIN_SHARE = 1e-4
# Age at which demand counts as known to all data centres, should they be cut
# off from each other now.
SETTLED_S = 1.5


@dataclasses.dataclass(frozen=True, slots=True)
class _Shares:
    """Demand of a workspace in the whole fleet at one moment.

    Attributes:
        at: The moment in clock seconds.
        nodes: Known nodes.
        per_s: Requests a second.
        by_data_centre: Parts of the data centres, which add up to 1.
    """

    at: float
    nodes: int
    per_s: float
    by_data_centre: Mapping[str, float]


class WorkspaceBucket:
    """Tokens of one workspace.

    Attributes:
        workspace: The workspace.
        limit: Its limit.
        tokens: Tokens of the fleet; negative after requests that were not
            heard of in time.
        filled_at: Clock seconds up to which they are filled.
        pace_tokens: Requests that this node may admit at once.
        paced_at: Clock seconds up to which those are filled.
        own: Demand at this node.
        others: Demand at all other nodes.
        by_data_centre: Demand by data centre, over a longer time.
        known: Demand that all data centres know of.
        latest: Demand that they will know of soon.
        left: Tokens that were left to parts of the fleet which were silent;
            what these have used is set off against them once it is told.
        admitted: Requests admitted since the last report.
        refused: Requests refused since the last report.
        heard_share: Part of the rate that the parts of the fleet have which
            are heard.
        own_share: Part of the rate that this node has.
        epoch: Epoch of the view by which the shares were computed.
    """

    __slots__ = (
        "admitted",
        "by_data_centre",
        "epoch",
        "filled_at",
        "heard_share",
        "known",
        "latest",
        "left",
        "limit",
        "others",
        "own",
        "own_share",
        "pace_tokens",
        "paced_at",
        "refused",
        "workspace",
        "tokens",
        "view",
    )

    def __init__(
        self,
        workspace: Workspace,
        limit: Limit,
        view: FleetView,
        now: float,
        tokens: float = 0.0,
    ):
        self.workspace = workspace
        self.limit = limit
        self.view = view
        self.tokens = tokens
        self.filled_at = now
        self.pace_tokens = MIN_PACE_DEPTH
        self.paced_at = now
        self.own = Demand()
        self.others = Demand()
        self.by_data_centre: dict[str, Demand] = {}
        self.left = 0.0
        self.admitted = 0
        self.refused = 0
        self.epoch = view.epoch
        self.heard_share = 1.0
        self.own_share = 0.0
        self.known = self.latest = self._shares(now, by_demand=False)
        self._share(now)

    @property
    def name(self) -> str:
        """Name of the workspace."""
        return self.workspace.name

    @property
    def capacity(self) -> float:
        """Tokens that the parts of the fleet which are heard may hold."""
        return max(1.0, self.limit.capacity * self.heard_share)

    @property
    def is_low(self) -> bool:
        """Whether the bucket is less than half full."""
        return self.tokens < self.capacity / 2

    @property
    def pace_per_s(self) -> float:
        """Requests a second that this node may admit."""
        factor = 1.0 if self.is_low else EASY_PACE
        return factor * self.own_share * self.limit.per_s

    @property
    def pace_depth(self) -> float:
        """Requests that this node may admit at once."""
        return max(
            MIN_PACE_DEPTH, PACE_DEPTH_S * self.own_share * self.limit.per_s
        )

    def set_limit(self, workspace: Workspace, limit: Limit, now: float) -> None:
        """Replaces the limit; a lower one takes tokens away at once."""
        self.workspace = workspace
        if limit == self.limit:
            return
        self.fill(now)
        self.limit = limit
        self.tokens = min(self.tokens, self.capacity)
        self.pace_tokens = min(self.pace_tokens, self.pace_depth)

    def fill(self, now: float) -> None:
        """Adds the tokens that both gates have gained."""
        before = self.heard_share
        self._share(now)
        least = min(before, self.heard_share)
        if self.epoch != self.view.epoch:
            self.epoch = self.view.epoch
            self._fill_bucket(least, self.view.changed_at)
            self._leave_tokens(before - self.heard_share, before)
            least = self.heard_share
        self._fill_bucket(least, now)
        self._fill_pace(now)

    def take(self, now: float) -> bool:
        """Takes a token for a request of this node, if both gates have one."""
        self.own.add(1, now)
        self._ask(self.view.data_centre, 1, now)
        self.fill(now)
        if self.tokens < 1 or self.pace_tokens < 1:
            self.refused += 1
            return False
        self.tokens -= 1
        self.pace_tokens -= 1
        self.admitted += 1
        return True

    def give_back(self) -> None:
        """Returns the token of a request that reached no target."""
        self.tokens = min(self.capacity, self.tokens + 1)
        self.pace_tokens = min(self.pace_depth, self.pace_tokens + 1)
        self.admitted -= 1

    def hear(
        self, data_centre: str, admitted: int, asked: int, now: float
    ) -> None:
        """Takes the tokens of requests that other nodes have admitted.

        Args:
            data_centre: Data centre of the nodes.
            admitted: Requests that they admitted.
            asked: Requests that they were asked for.
            now: Clock seconds.
        """
        if self.left and now >= self.view.caught_up_at and self.view.is_whole:
            self.left = 0.0
        self._use(admitted, now)
        self.others.add(asked, now)
        self._ask(data_centre, asked, now)

    def hear_late(self, admitted: int, now: float) -> None:
        """Takes tokens for requests that were held back by a cut or a pause.

        Args:
            admitted: Requests that were admitted.
            now: Clock seconds.
        """
        self.fill(now)
        covered = max(0.0, min(self.left, admitted))
        self.left -= covered
        self._use(admitted - covered, now)

    def _use(self, admitted: float, now: float) -> None:
        self.fill(now)
        floor = -self.limit.capacity - self.limit.per_s
        self.tokens = max(floor, min(self.capacity, self.tokens - admitted))

    def demand_per_s(self, now: float) -> float:
        """Returns the requests a second that the whole fleet is asked for."""
        return self.own.per_s(now) + self.others.per_s(now)

    def wait_s(self, now: float) -> float:
        """Returns the seconds until a request is likely to be admitted.

        What is asked for beyond the rate takes its time as well.
        """
        per_s = self.limit.per_s
        wait_s = max(
            (1 - self.tokens) / (self.heard_share * per_s),
            (1 - self.pace_tokens) / self.pace_per_s,
        )
        return max(wait_s, self.demand_per_s(now) / per_s - 1)

    def _ask(self, data_centre: str, asked: int, now: float) -> None:
        demand = self.by_data_centre.get(data_centre)
        if demand is None:
            demand = self.by_data_centre[data_centre] = Demand(LONG_AVERAGED_S)
        demand.add(asked, now)

    def _share(self, now: float) -> None:
        """Computes the parts of the rate by the demand that is known."""
        view = self.view
        even = EVEN_PART * self.limit.per_s
        own = self.own.per_s(now) + even / view.total_nodes
        own /= self.demand_per_s(now) + even
        self.heard_share = 1.0
        if view.is_whole:
            if now - self.latest.at > SETTLED_S:
                self.known, self.latest = self.latest, self._shares(now)
        else:
            if (
                self.known is self.latest
                and self.known.nodes < view.total_nodes
            ):
                # Nodes are found one by one after a start.
                self.known = self.latest = self._shares(now, by_demand=False)
            self.heard_share = self._heard_share()
        if view.data_centre in view.silent:
            own = 1.0
        self.own_share = own * self.heard_share

    def _heard_share(self) -> float:
        view = self.view
        heard = 0.0
        for data_centre, share in self.known.by_data_centre.items():
            if data_centre not in view.silent:
                heard += share * (1 - view.missing.get(data_centre, 0.0))
            elif data_centre == view.data_centre:
                heard += share / max(1, view.nodes.get(data_centre, 1))
        return max(MIN_SHARE, heard)

    def _shares(self, now: float, *, by_demand: bool = True) -> _Shares:
        even = EVEN_PART * self.limit.per_s / self.view.total_nodes
        demands = {}
        for data_centre, nodes in self.view.nodes.items():
            demand = self.by_data_centre.get(data_centre)
            per_s = 0.0
            if by_demand and demand is not None:
                per_s = demand.per_s(now)
            demands[data_centre] = per_s + even * nodes
        total = sum(demands.values())
        return _Shares(
            at=now,
            nodes=self.view.total_nodes,
            per_s=total,
            by_data_centre={
                name: per_s / total for name, per_s in demands.items()
            },
        )

    def _leave_tokens(self, lost: float, before: float) -> None:
        """Leaves tokens to parts of the fleet that have become silent.

        Args:
            lost: Their part of the rate; negative if some are heard again.
            before: Part of the rate of those that were heard before.
        """
        if lost <= 0:
            return
        before_tokens = self.tokens
        used_per_s = min(self.limit.per_s, self.known.per_s)
        self.tokens -= used_per_s * lost * self.view.silence_s
        if self.tokens > 0:
            self.tokens *= self.heard_share / before
        self.left += before_tokens - self.tokens

    def _fill_bucket(self, share: float, now: float) -> None:
        per_s = self.limit.per_s
        since = max(self.filled_at, self.view.resumed_at)
        if now > since:
            self.tokens += per_s * share * (now - since)
            self.left += per_s * (since - self.filled_at)
            self.left += per_s * (1 - share) * (now - since)
        self.filled_at = max(self.filled_at, now)
        self.tokens = min(self.tokens, self.capacity)

    def _fill_pace(self, now: float) -> None:
        since = max(self.paced_at, self.view.resumed_at)
        self.paced_at = now
        if now > since:
            self.pace_tokens += self.pace_per_s * (now - since)
        self.pace_tokens = min(self.pace_tokens, self.pace_depth)
