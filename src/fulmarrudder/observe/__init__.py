"""Logs, metrics and spans."""

from fulmarrudder.observe import logs
from fulmarrudder.observe.events import EventLog
from fulmarrudder.observe.metrics import Metrics, Sample
from fulmarrudder.observe.spans import Spans
from fulmarrudder.observe.stages import StageHistograms

__all__ = ["EventLog", "Metrics", "Sample", "Spans", "StageHistograms", "logs"]
