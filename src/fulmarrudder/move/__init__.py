"""Pipeline from evidence to decisions on moves.

Left to right: `ledger` counts, `judge` finds, `monitor` brakes, `schedule`
decides, `controller` writes to the log, `confirm` tells where it is in force.
"""

from fulmarrudder.move.confirm import Confirmation, confirm
from fulmarrudder.move.controller import Controller
from fulmarrudder.move.errors import MoveError
from fulmarrudder.move.judge import Bad, Finding, Unproven, judge
from fulmarrudder.move.ledger import Counts, Ledger, RouteEvidence
from fulmarrudder.move.monitor import Monitor
from fulmarrudder.move.order import Order, OrderBook, Verdict
from fulmarrudder.move.schedule import next_action

__all__ = [
    "Bad",
    "Confirmation",
    "Controller",
    "Counts",
    "Finding",
    "Ledger",
    "Monitor",
    "MoveError",
    "Order",
    "OrderBook",
    "RouteEvidence",
    "Verdict",
    "Unproven",
    "confirm",
    "judge",
    "next_action",
]
