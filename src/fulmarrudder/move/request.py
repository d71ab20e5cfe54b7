"""Moves in a fleet whose operator requests them one by one.

A request opens a move. The controller broadcasts its progress as
`MoveProgress`, and the platform's service stores its result.
"""

import dataclasses
from collections.abc import Iterable
from typing import TypeVar

from fulmarrudder.model import MoveProgress
from fulmarrudder.model.position import era_of
from fulmarrudder.move.identity import (
    Identities,
    identify,
    offset_in,
    request_id,
)
from fulmarrudder.state_machine import Move, Phase

ENDED = frozenset({Phase.COMPLETED, Phase.TAKEN_BACK})
ESTABLISHED = frozenset({Phase.COMPLETING, Phase.COMPLETED})
FULL_PERMILLE = 1000
# Requests that may still be found to have completed after their replacement.
MAX_REPLACED = 100


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class MoveRequest:
    """The operator's request to move a service to another target version.

    Attributes:
        id: Unique id of the request; becomes the id of the move.
        deadline: Wall-clock seconds by which the move should be completed.
        offset: Position of its record; a later request has a higher one.
    """

    id: str
    service: str
    to_version: str
    deadline: float
    offset: int


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class MoveResult:
    """Recorded result of the latest move of a service.

    Attributes:
        taken_back: Whether the move was taken back rather than completed.
        request_offset: Position of the move's request, or None in a record of
            an older build.
    """

    service: str
    to_version: str
    taken_back: bool
    request_offset: int | None = None

    @property
    def phase(self) -> Phase:
        """Phase of the move."""
        return Phase.TAKEN_BACK if self.taken_back else Phase.COMPLETED

    @property
    def permille(self) -> int:
        """Share of the new version from then on, in thousandths."""
        return 0 if self.taken_back else FULL_PERMILLE


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class RecordedMove:
    """A move as its latest record tells it.

    Attributes:
        phase: Running, completed or taken back.
        request_offset: Position of the move's request, or None in a record of
            an older build.
        withdrawn: Versions that moves before this one led to without
            completing, oldest first.
    """

    service: str
    to_version: str
    phase: Phase
    request_offset: int | None
    withdrawn: tuple[str, ...] = ()

    @property
    def result(self) -> MoveResult | None:
        """The move's result, or None while the move is in progress."""
        if self.phase is Phase.RUNNING:
            return None
        return MoveResult(
            service=self.service,
            to_version=self.to_version,
            taken_back=self.phase is Phase.TAKEN_BACK,
            request_offset=self.request_offset,
        )


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class VersionOutcome:
    """What the latest move to a target version has come to.

    Attributes:
        offset: Offset of the request, or of a later one.
        is_established: Whether the version was completed, so that it serves
            requests until another one is.
    """

    offset: int
    is_established: bool


_Recorded = TypeVar("_Recorded", MoveResult, RecordedMove)


class MoveRequestStore:
    """Requests of the operator and their results.

    Attributes:
        outcomes: Outcomes of earlier moves, by service and target version.
        replaced: Requests that later ones have replaced, by the ids of their
            moves.
        requests: The latest request of each service.
        results: The latest recorded result of each service.
        repeated: Id of the latest request of each service that asks for the
            same target version as the one before it.
        doubtful: The latest request of each service as it was read, if it may
            be one of an earlier era whose record was written again.
        recorded: Positions of the requests to each service and target version
            that records tell.
        identities: Present ids of requests whose records have got another
            position.
    """

    def __init__(self):
        self.doubtful: dict[str, MoveRequest] = {}
        self.identities = Identities()
        self.recorded: dict[tuple[str, str], set[int]] = {}
        self.repeated: dict[str, str] = {}
        self.requests: dict[str, MoveRequest] = {}
        self.results: dict[str, MoveResult] = {}
        self.outcomes: dict[str, dict[str, VersionOutcome]] = {}
        self.replaced: dict[str, MoveRequest] = {}

    def add_move_request(
        self, request: MoveRequest, *, is_doubtful: bool = False
    ) -> bool:
        """Stores a request; returns whether it is new.

        Args:
            request: The request.
            is_doubtful: Whether it may be one of an earlier era.
        """
        self.doubtful.pop(request.service, None)
        if is_doubtful and era_of(max(0, request.offset)):
            self.doubtful[request.service] = request
        latest = self.requests.get(request.service)
        if latest is not None and latest.id == request.id:
            return False
        if latest is not None and latest.to_version == request.to_version:
            self.repeated[request.service] = request.id
        self._replace(latest)
        self.requests[request.service] = request
        return True

    def identify(self, progress: Iterable[MoveProgress]) -> None:
        """Gives each doubtful request the id that it had in an earlier era.

        That is the id of the latest known move to the same target version,
        unless a move is known by the request's own id.

        Args:
            progress: Progress of the moves that this node has received.
        """
        if not self.doubtful:
            return
        known = {target: set(at) for target, at in self.recorded.items()}
        for latest in progress:
            target = (latest.service, latest.to_version)
            offset = offset_in(latest.move)
            if offset is not None:
                known.setdefault(target, set()).add(offset)
        for service, read in self.doubtful.items():
            found = known.get((service, read.to_version), set())
            offset = identify(read.offset, found)
            self.requests[service] = dataclasses.replace(
                read,
                id=request_id(service, read.to_version, offset),
                offset=offset,
            )

    def follow(self, service: str, offset: int) -> str | None:
        """Handles that the record of a request has another position.

        Nodes that read it there for the first time know the request by that.

        Returns:
            The id of the request from now on, or None if there is no request.
        """
        request = self.requests.get(service)
        if request is None:
            return None
        self.doubtful.pop(service, None)
        present = request_id(service, request.to_version, offset)
        self.requests[service] = dataclasses.replace(
            request, id=present, offset=offset
        )
        if self.repeated.get(service) == request.id:
            self.repeated[service] = present
        self.identities.follow(
            request.id, present, {r.id for r in self.requests.values()}
        )
        if service in self.results:
            self.results[service] = self.followed(self.results[service])
        return present

    def followed(self, told: _Recorded) -> _Recorded:
        """Returns a record of a move with the present position of its request."""
        if told.request_offset is None:
            return told
        offset = self.identities.offset_of(
            told.service, told.to_version, told.request_offset
        )
        return dataclasses.replace(told, request_offset=offset)

    def add_move_result(self, result: MoveResult) -> None:
        """Stores a recorded result, unless that of a later request is known."""
        result = self.followed(result)
        known = self.results.get(result.service)
        if known is not None and None not in (
            known.request_offset,
            result.request_offset,
        ):
            if known.request_offset >= result.request_offset:
                return
        self.results[result.service] = result

    def add_recorded_move(self, recorded: RecordedMove) -> None:
        """Stores a recorded move, and what its record tells of earlier ones."""
        recorded = self.followed(recorded)
        if recorded.result is not None:
            self.add_move_result(recorded.result)
        offset = recorded.request_offset or 0
        target = (recorded.service, recorded.to_version)
        self.recorded.setdefault(target, set()).add(offset)
        for version in recorded.withdrawn:
            self._note(
                recorded.service, version, offset - 1, is_established=False
            )
        self._note(
            recorded.service,
            recorded.to_version,
            offset,
            is_established=recorded.phase in ESTABLISHED,
        )

    def remove(self, service: str) -> None:
        """Removes the request of a service."""
        self.doubtful.pop(service, None)
        self._replace(self.requests.pop(service, None))

    def note_completed(self, progress: Iterable[MoveProgress]) -> None:
        """Stores which versions were completed, by the latest progress.

        The verdict of a request may arrive after it was replaced.

        Args:
            progress: Progress of the moves that this node has received.
        """
        by_move = {latest.move: latest for latest in progress}
        for request in (*self.replaced.values(), *self.requests.values()):
            phase = self._move(request, by_move.get(request.id)).phase
            if phase in ESTABLISHED:
                self._note(
                    request.service,
                    request.to_version,
                    request.offset,
                    is_established=True,
                )

    def withdrawn(self) -> dict[str, frozenset[str]]:
        """Returns the versions that earlier moves led to without completing.

        A move that was taken back has not completed, and neither has one that
        the operator's next request has replaced.

        Returns:
            The versions by service.
        """
        found = {}
        for service, outcomes in self.outcomes.items():
            versions = frozenset(
                version
                for version, outcome in outcomes.items()
                if not outcome.is_established
            )
            if versions:
                found[service] = versions
        return found

    def _replace(self, request: MoveRequest | None) -> None:
        """Handles that a request is no longer the latest of its service."""
        if request is None:
            return
        self.replaced[request.id] = request
        while len(self.replaced) > MAX_REPLACED:
            del self.replaced[next(iter(self.replaced))]
        self._note(
            request.service,
            request.to_version,
            request.offset,
            is_established=False,
        )

    def _note(
        self, service: str, version: str, offset: int, *, is_established: bool
    ) -> None:
        """Stores an outcome, unless one of a later move is known.

        A move that has completed once stays so.
        """
        outcomes = self.outcomes.setdefault(service, {})
        known = outcomes.get(version)
        if known is not None and (known.offset, known.is_established) >= (
            offset,
            is_established,
        ):
            return
        outcomes[version] = VersionOutcome(
            offset=offset, is_established=is_established
        )

    def is_result_of(self, result: MoveResult, move: Move) -> bool:
        """Returns whether a recorded result is that of a move."""
        if (result.service, result.to_version) != (
            move.service,
            move.to_version,
        ):
            return False
        result = self.followed(result)
        if result.request_offset is not None:
            return result.request_offset == move.opened
        # A result that names no request may be that of the one before, until
        # the start of the move is recorded.
        repeated = self.repeated.get(move.service) == move.id
        return not (repeated and move.phase is Phase.RUNNING)

    def moves(self, progress: Iterable[MoveProgress]) -> tuple[Move, ...]:
        """Returns the latest move of each service, sorted by id.

        Args:
            progress: Progress of the moves that this node has received.
        """
        by_move = {latest.move: latest for latest in progress}
        found = []
        for request in self.requests.values():
            found.append(self._move(request, by_move.get(request.id)))
        return tuple(sorted(found, key=lambda move: move.id))

    def recorded_moves(
        self, progress: Iterable[MoveProgress]
    ) -> tuple[Move, ...]:
        """Returns the moves whose status was recorded, sorted by id.

        Args:
            progress: Progress of the moves that this node has received.
        """
        found = [
            m for m in self.moves(progress) if m.permille or m.phase in ENDED
        ]
        for service, result in self.results.items():
            if service in self.requests or result.request_offset is None:
                continue
            offset = result.request_offset
            found.append(
                Move(
                    id=request_id(service, result.to_version, offset),
                    service=service,
                    from_version="",
                    to_version=result.to_version,
                    operator="operator",
                    deadline=0.0,
                    permille=result.permille,
                    phase=result.phase,
                    opened=offset,
                )
            )
        return tuple(sorted(found, key=lambda move: move.id))

    def unreported_results(
        self, progress: Iterable[MoveProgress]
    ) -> tuple[MoveProgress, ...]:
        """Returns the recorded results of moves that are reported as open.

        Each is the open progress with another phase, so that all nodes that
        know the result report the same.

        Args:
            progress: Progress of the moves that this node has received.
        """
        by_move = {latest.move: latest for latest in progress}
        found = []
        for move in self.moves(by_move.values()):
            latest = by_move.get(move.id)
            if latest is None or latest.phase == move.phase.value:
                continue
            found.append(
                dataclasses.replace(
                    latest, permille=move.permille, phase=move.phase.value
                )
            )
        return tuple(found)

    def _move(self, request: MoveRequest, latest: MoveProgress | None) -> Move:
        move = Move(
            id=request.id,
            service=request.service,
            from_version="",
            to_version=request.to_version,
            operator="operator",
            deadline=request.deadline,
            opened=request.offset,
        )
        if latest is not None:
            move = dataclasses.replace(
                move,
                permille=latest.permille,
                phase=Phase(latest.phase),
                deadline=latest.deadline,
                reason=latest.reason,
                changed=latest.term * 1_000_000 + latest.step,
            )
        result = self._result_of(move, latest)
        if move.phase in ENDED or result is None:
            return move
        return dataclasses.replace(
            move, phase=result.phase, permille=result.permille
        )

    def _result_of(
        self, move: Move, latest: MoveProgress | None
    ) -> MoveResult | None:
        result = self.results.get(move.service)
        if result is None or not self.is_result_of(result, move):
            return None
        if latest is not None and result.request_offset is None:
            # It may be the result of an earlier move to the same version.
            return None
        return result
