"""Executes commands; a change is appended to the log as a record."""

from functools import singledispatchmethod

from twisted.internet.defer import gatherResults

from fulmarrudder.log import UndecidedError
from fulmarrudder.model import (
    Arrangement,
    Decision,
    EndMove,
    RecordBody,
    StartMove,
)
from fulmarrudder.observe import logs
from fulmarrudder.operate.answer import (
    ActiveArrangement,
    Answer,
    DataCentreStatus,
    Denied,
    Done,
    MoveList,
    MoveStatus,
    NodeList,
    Status,
    Undecided,
)
from fulmarrudder.operate.command import (
    BeginMove,
    Command,
    CompleteMove,
    PublishVersion,
    ShowArrangement,
    ShowHistory,
    ShowMove,
    ShowMoves,
    ShowNodes,
    ShowStatus,
    TakeMoveBack,
)
from fulmarrudder.operate.verdict import verdict_of
from fulmarrudder.state_machine import (
    Applied,
    Reason,
    Refused,
    amendment_between,
    move_by_id,
)

APPEND_TIMEOUT_S = 10.0
ADVICE = {
    Reason.STALE_VERSION: "run 'show status', look at what is in force, and"
    " repeat the command expecting that version",
    Reason.INVALID: "mend the document and publish it again",
    Reason.MOVE_OPEN: "run 'show moves'; complete the move or take it back"
    " first",
    Reason.MOVE_DECIDED: "run 'show move' to read its verdict",
    Reason.UNKNOWN_MOVE: "run 'show moves' or 'show history' for its id",
    Reason.UNKNOWN_SERVICE: "run 'show arrangement' for the services",
    Reason.UNKNOWN_TARGET_VERSION: "publish a version that declares it first",
    Reason.ALREADY_CURRENT: "nothing needs moving",
}


class CommandExecutor:
    """Executes commands on one node.

    Attributes:
        node: The node, a `fulmarrudder.node.node.Node`.
        fleet: Its view of the fleet.
    """

    def __init__(self, node, fleet):
        self.node = node
        self.fleet = fleet

    async def execute(
        self,
        command: Command,
        operator: str,
        arrangement: Arrangement | None,
    ) -> Answer:
        """Executes one command.

        Args:
            command: The command.
            operator: Name of the operator who sent it.
            arrangement: The arrangement that came with it, or None.

        Returns:
            The answer to the operator.
        """
        return await self._run(command, operator, arrangement)

    @singledispatchmethod
    async def _run(self, command, operator, arrangement) -> Answer:
        raise TypeError(f"not a command: {type(command).__name__}")

    @_run.register
    async def _(self, command: ShowStatus, operator, arrangement) -> Answer:
        state = self.node.state_store.state
        statuses = []
        for view in self.fleet.data_centres():
            statuses.append(
                DataCentreStatus(
                    name=view.name,
                    heard=view.heard,
                    nodes=view.nodes,
                    version=view.version,
                    offset=view.offset,
                    behind=max(0, state.offset - view.offset),
                    lagging=view.lagging,
                )
            )
        return Status(
            answered_by=self.node.settings.node,
            version=state.version,
            offset=state.offset,
            operator=state.operator,
            log_available=self.node.config_reader.available,
            controller=self.node.mesh.controller(),
            open_moves=len(state.moves),
            data_centres=tuple(statuses),
        )

    @_run.register
    async def _(self, command: ShowNodes, operator, arrangement) -> Answer:
        queries = self.fleet.query_relays(command.data_centre)
        replies = await gatherResults(queries)
        statuses = {}
        answered = set()
        for reply in replies:
            if reply.nodes is None:
                continue
            answered.add(reply.data_centre)
            for status in reply.nodes:
                known = statuses.get(status.node)
                if known is None or known.offset < status.offset:
                    statuses[status.node] = status
        newest = self.node.state_store.state.offset
        nodes = [
            status
            for _, status in sorted(statuses.items())
            if not command.lagging or status.offset < newest
        ]
        unheard = {reply.data_centre for reply in replies} - answered
        return NodeList(
            offset=newest, nodes=tuple(nodes), unheard=tuple(sorted(unheard))
        )

    @_run.register
    async def _(self, command: ShowMoves, operator, arrangement) -> Answer:
        return self._moves(self.node.state_store.state.moves)

    @_run.register
    async def _(self, command: ShowMove, operator, arrangement) -> Answer:
        move = move_by_id(self.node.state_store.state, command.move)
        if move is None:
            return Denied(
                reason=Reason.UNKNOWN_MOVE.value,
                detail=f"no move {command.move}",
                advice=ADVICE[Reason.UNKNOWN_MOVE],
            )
        return self._moves((move,))

    @_run.register
    async def _(self, command: ShowHistory, operator, arrangement) -> Answer:
        history = self.node.state_store.state.history
        service = command.service
        return self._moves(
            tuple(m for m in history if service in ("", m.service))
        )

    @_run.register
    async def _(self, command: ShowArrangement, operator, arrangement):
        state = self.node.state_store.state
        return ActiveArrangement(
            version=state.version, arrangement=state.arrangement
        )

    @_run.register
    async def _(self, command: PublishVersion, operator, arrangement):
        if arrangement is None:
            return Denied(
                reason="no-document",
                detail="no document came with the command",
                advice="use: fulmarrudder publish FILE --expecting N",
            )
        # The amendment is relative to the active arrangement. If the active
        # version is not the expected one, the state machine refuses the record
        # before it applies the amendment.
        state = self.node.state_store.state
        body = amendment_between(
            operator, command.expected, state.arrangement, arrangement
        )
        return await self._append(body, "published")

    @_run.register
    async def _(self, command: BeginMove, operator, arrangement) -> Answer:
        body = StartMove(
            move=command.move,
            operator=operator,
            service=command.service,
            to_version=command.to_version,
            expected=command.expected,
            deadline=command.deadline,
        )
        return await self._append(body, f"move {command.move} started")

    @_run.register
    async def _(self, command: CompleteMove, operator, arrangement):
        body = EndMove(
            move=command.move,
            decision=Decision.COMPLETE,
            by=operator,
            reason=command.reason,
        )
        return await self._append(body, f"move {command.move} completing")

    @_run.register
    async def _(self, command: TakeMoveBack, operator, arrangement):
        body = EndMove(
            move=command.move,
            decision=Decision.TAKE_BACK,
            by=operator,
            reason=command.reason,
        )
        return await self._append(body, f"move {command.move} taking back")

    def _moves(self, moves) -> MoveList:
        waiting_for = self.node.controller.waiting_for
        return MoveList(
            moves=tuple(
                MoveStatus(
                    move=move,
                    verdict=verdict_of(move, waiting_for.get(move.id, "")),
                )
                for move in moves
            )
        )

    async def _append(self, body: RecordBody, detail: str) -> Answer:
        logs.info("command", kind=type(body).__name__, detail=detail)
        try:
            outcome = await self.node.submit(body, limit_s=APPEND_TIMEOUT_S)
        except UndecidedError:
            return Undecided(
                detail="the log did not show the record in time; it may yet"
                " take effect",
                advice="run 'show status' and 'show moves' before you repeat"
                " the command; a repeat with the same expectation is safe",
            )
        if isinstance(outcome, Refused):
            return Denied(
                reason=outcome.reason.value,
                detail=outcome.detail,
                advice=ADVICE.get(outcome.reason, "run 'show status'"),
            )
        assert isinstance(outcome, Applied)
        return Done(
            offset=outcome.offset,
            version=self.node.state_store.state.version,
            detail=detail,
        )
