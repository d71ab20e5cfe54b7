"""Moves in a fleet whose operator orders them one by one.

An order opens a move; how far it has come is a `MoveProgress`, which its controller
spreads; how it ended stands in the platform's service.
"""

import dataclasses
from collections.abc import Iterable

from fulmarrudder.model import MoveProgress
from fulmarrudder.state_machine import Move, Phase

ENDED = frozenset({Phase.COMPLETED, Phase.TAKEN_BACK})


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class MoveRequest:
    """The operator's order to move a service to another target version.

    Attributes:
        id: Names this order among all orders.
        deadline: Wall-clock seconds by which it should be completed.
    """

    id: str
    service: str
    to_version: str
    deadline: float


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class MoveResult:
    """How the latest move of a service ended, as far as it is recorded.

    Attributes:
        taken_back: Whether it was taken back, rather than completed.
    """

    service: str
    to_version: str
    taken_back: bool


class MoveRequestStore:
    """Orders of the operator and what has become of them.

    Attributes:
        orders: The latest order of each service.
        verdicts: The latest recorded verdict of each service.
    """

    def __init__(self):
        self.orders: dict[str, MoveRequest] = {}
        self.verdicts: dict[str, MoveResult] = {}

    def add_move_request(self, order: MoveRequest) -> bool:
        """Takes an order; returns whether it is a new one."""
        known = self.orders.get(order.service)
        if known is not None and known.id == order.id:
            return False
        self.orders[order.service] = order
        return True

    def add_move_result(self, verdict: MoveResult) -> None:
        """Takes a recorded verdict."""
        self.verdicts[verdict.service] = verdict

    def remove(self, service: str) -> None:
        """Forgets the order of a service."""
        self.orders.pop(service, None)

    def moves(self, courses: Iterable[MoveProgress]) -> tuple[Move, ...]:
        """Returns the latest move of each service, sorted by id.

        Args:
            courses: How far moves have come, as far as it is known here.
        """
        by_move = {course.move: course for course in courses}
        found = []
        for order in self.orders.values():
            found.append(self._move(order, by_move.get(order.id)))
        return tuple(sorted(found, key=lambda move: move.id))

    def _move(self, order: MoveRequest, course: MoveProgress | None) -> Move:
        move = Move(
            id=order.id,
            service=order.service,
            from_version="",
            to_version=order.to_version,
            operator="operator",
            deadline=order.deadline,
        )
        if course is not None:
            return dataclasses.replace(
                move,
                permille=course.permille,
                phase=Phase(course.phase),
                deadline=course.deadline,
                reason=course.reason,
                changed=course.term * 1_000_000 + course.step,
            )
        verdict = self.verdicts.get(order.service)
        if verdict is None or verdict.to_version != order.to_version:
            return move
        if verdict.taken_back:
            return dataclasses.replace(move, phase=Phase.TAKEN_BACK)
        return dataclasses.replace(move, phase=Phase.COMPLETED, permille=1000)
