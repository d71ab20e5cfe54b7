"""Decisions on where a request goes: its likely cost and the work left.

Nothing here knows of sockets or of the encoding of messages.
"""

from fulmarrudder.placement.circuit import Circuit
from fulmarrudder.placement.cost import (
    CostClass,
    Costs,
    Histogram,
    class_of,
)
from fulmarrudder.placement.returns import ReturnLine
from fulmarrudder.placement.speed import Speed
from fulmarrudder.placement.vacancy import Askers, Vacancies, is_needed
from fulmarrudder.placement.work import Run, Workload

__all__ = [
    "Askers",
    "Circuit",
    "CostClass",
    "Costs",
    "Histogram",
    "ReturnLine",
    "Run",
    "Speed",
    "Vacancies",
    "Workload",
    "class_of",
    "is_needed",
]
