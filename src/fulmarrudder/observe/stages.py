"""Histograms of the stages of requests, by route."""

from fulmarrudder.observe.metrics import HistogramData, Metrics

STAGE_METRIC = "fulmarrudder_stage_seconds"


class StageHistograms:
    """Histograms of one stage, found by route without building labels.

    Attributes:
        by_route: Histograms by the name of the route.
    """

    __slots__ = ("by_route", "metrics", "stage")

    def __init__(self, metrics: Metrics, stage: str):
        self.metrics = metrics
        self.stage = stage
        self.by_route: dict[str, HistogramData] = {}

    def add(self, route: str, seconds: float) -> None:
        """Adds an observation.

        Args:
            route: Name of the route.
            seconds: Duration of the stage.
        """
        histogram = self.by_route.get(route)
        if histogram is None:
            histogram = self.by_route[route] = self.metrics.histogram(
                STAGE_METRIC, ("route", route), ("stage", self.stage)
            )
        histogram.add(seconds)
