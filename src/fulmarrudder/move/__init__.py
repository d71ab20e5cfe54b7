"""Pipeline from evidence to decisions on moves.

`stats` adds up the evidence, `analysis` compares the two target versions,
`monitor` sends brakes, `schedule` chooses the next action, `controller` appends
records to the log, `closing` says what follows an event of a move's verdict, and
`confirm` reports the data centres that have applied a record. `request` stores
the moves that a fleet's operator requests, `identity` knows them again in a later
era of their source.
"""

from fulmarrudder.move.analysis import (
    Finding,
    NoRegression,
    Regression,
    compare_versions,
)
from fulmarrudder.move.closing import (
    VerdictAction,
    VerdictEvent,
    next_verdict_action,
)
from fulmarrudder.move.confirm import Confirmation, confirm
from fulmarrudder.move.controller import Controller
from fulmarrudder.move.errors import MoveError
from fulmarrudder.move.identity import request_id
from fulmarrudder.move.monitor import Monitor
from fulmarrudder.move.request import (
    MoveRequest,
    MoveRequestStore,
    MoveResult,
    RecordedMove,
)
from fulmarrudder.move.schedule import next_action
from fulmarrudder.move.stats import Counts, MoveStats, RouteEvidence

__all__ = [
    "Regression",
    "Confirmation",
    "Controller",
    "Counts",
    "Finding",
    "MoveStats",
    "Monitor",
    "MoveError",
    "MoveRequest",
    "MoveRequestStore",
    "RouteEvidence",
    "MoveResult",
    "NoRegression",
    "RecordedMove",
    "VerdictAction",
    "VerdictEvent",
    "confirm",
    "compare_versions",
    "next_action",
    "next_verdict_action",
    "request_id",
]
