"""Likely cost of a request, learned by class from requests that have ended."""

import bisect
import collections
import dataclasses
import itertools
import math

# Upper bounds of the buckets: each is this much above the one before.
BUCKET_RATIO = 1.25
SHORTEST_S = 0.001
BUCKETS = 64
# Requests after which what was learned counts half.
HALF_LIFE_REQUESTS = 200
# Requests of which a class knows its own cost.
MIN_REQUESTS = 5.0
MAX_CLASSES = 128
# Largest bodies of the size classes; a class above them has no bound.
BODY_BOUNDS = (0, 8_192, 65_536)
DEFAULT_COST_S = 0.05

_BOUNDS = tuple(SHORTEST_S * BUCKET_RATIO**i for i in range(BUCKETS))


@dataclasses.dataclass(frozen=True, slots=True)
class CostClass:
    """Requests that are expected to cost about the same.

    Attributes:
        route: Name of the route.
        size: Number of `BODY_BOUNDS` that the body exceeds.
    """

    route: str
    size: int = 0


def class_of(route: str, body_bytes: int = 0) -> CostClass:
    """Returns the class of a request.

    Args:
        route: Name of the route.
        body_bytes: Size of its body; 0 when it is unknown.
    """
    return CostClass(route, bisect.bisect_left(BODY_BOUNDS, body_bytes))


class Histogram:
    """Decaying histogram of costs, with buckets of equal ratio.

    Attributes:
        weights: Weight of the costs in each bucket.
        sums: Weighted sum of the costs in each bucket, in seconds.
        step: Weight of the next cost; grows instead of all others decaying.
        weights_from: Weight of each bucket and those above; None when outdated.
        sums_from: The same of the sums.
    """

    __slots__ = ("step", "sums", "sums_from", "weights", "weights_from")

    def __init__(self):
        self.weights = [0.0] * (BUCKETS + 1)
        self.sums = [0.0] * (BUCKETS + 1)
        self.step = 1.0
        self.weights_from: list[float] | None = None
        self.sums_from: list[float] = []

    def add(self, cost_s: float) -> None:
        """Adds the cost of a request, in seconds."""
        index = bisect.bisect_left(_BOUNDS, cost_s)
        self.weights[index] += self.step
        self.sums[index] += self.step * cost_s
        self.step *= 2 ** (1 / HALF_LIFE_REQUESTS)
        if self.step > 2**10:
            self._rescale()
        self.weights_from = None

    def _rescale(self) -> None:
        self.weights = [weight / self.step for weight in self.weights]
        self.sums = [total / self.step for total in self.sums]
        self.step = 1.0

    def _accumulate(self) -> list[float]:
        """Returns the weight of each bucket and those above."""
        if self.weights_from is None:
            self.weights_from = _from_each(self.weights)
            self.sums_from = _from_each(self.sums)
        return self.weights_from

    @property
    def requests(self) -> float:
        """Requests that it stands for; older ones count less."""
        return self._accumulate()[0] / self.step

    @property
    def mean_s(self) -> float:
        """Mean cost in seconds; 0 without any."""
        weight = self._accumulate()[0]
        return self.sums_from[0] / weight if weight else 0.0

    def quantile_s(self, fraction: float) -> float:
        """Returns the seconds that a fraction of requests does not exceed."""
        weights_from = self._accumulate()
        if not weights_from[0]:
            return 0.0
        above = weights_from[0] * (1 - fraction)
        for index, weight in enumerate(weights_from[1:]):
            if weight <= above:
                return _BOUNDS[index]
        return _BOUNDS[-1]

    def left_s(self, spent_s: float) -> float:
        """Returns the cost expected still, given what was spent.

        Args:
            spent_s: Cost spent so far, in seconds.
        """
        weights_from = self._accumulate()
        index = bisect.bisect_right(_BOUNDS, spent_s)
        weight = weights_from[index]
        if weight <= weights_from[0] * 1e-4:
            # Longer than any before: it may take as long again.
            return max(spent_s, SHORTEST_S)
        mean_s = self.sums_from[index] / weight
        return max(mean_s - spent_s, spent_s * (BUCKET_RATIO - 1) / 2)


def _from_each(values: list[float]) -> list[float]:
    sums = list(itertools.accumulate(reversed(values)))
    sums.reverse()
    return sums


class Costs:
    """Costs of requests at one target, by class.

    Attributes:
        by_class: Histograms of the classes used last.
        overall: Histogram of all requests.
    """

    __slots__ = ("by_class", "overall")

    def __init__(self):
        self.by_class: collections.OrderedDict[CostClass, Histogram] = (
            collections.OrderedDict()
        )
        self.overall = Histogram()

    def add(self, cost_class: CostClass, cost_s: float) -> None:
        """Adds the cost of a request that has ended.

        Args:
            cost_class: Its class.
            cost_s: Seconds that it would take at the usual speed.
        """
        if not math.isfinite(cost_s) or cost_s < 0:
            return
        histogram = self.by_class.get(cost_class)
        if histogram is None:
            histogram = self.by_class[cost_class] = Histogram()
            if len(self.by_class) > MAX_CLASSES:
                self.by_class.popitem(last=False)
        self.by_class.move_to_end(cost_class)
        histogram.add(cost_s)
        self.overall.add(cost_s)

    def histogram_of(self, cost_class: CostClass) -> Histogram:
        """Returns the histogram that tells most about a class."""
        histogram = self.by_class.get(cost_class)
        if histogram is None or histogram.requests < MIN_REQUESTS:
            return self.overall
        return histogram

    def mean_s(self, cost_class: CostClass) -> float:
        """Returns the mean cost of a class in seconds."""
        return self.histogram_of(cost_class).mean_s or DEFAULT_COST_S

    def left_s(self, cost_class: CostClass, spent_s: float) -> float:
        """Returns the cost that a running request is expected to take still.

        Args:
            cost_class: Its class.
            spent_s: Cost spent so far, in seconds.
        """
        histogram = self.histogram_of(cost_class)
        if not histogram.mean_s:
            return DEFAULT_COST_S
        return histogram.left_s(spent_s)
