"""Order of workspaces in a queue, by how many requests they have waiting.

A workspace's requests take turns with those of others of the same priority, so that
one that sends many at once waits behind its own requests only.
"""


class WorkspaceTurns:
    """Gives each waiting request a turn; the lowest is served first.

    Requests without a workspace wait for no workspace's.

    Attributes:
        reached: Latest turn that was served.
        latest: Latest turn of each workspace that has requests waiting.
    """

    __slots__ = ("latest", "reached")

    def __init__(self):
        self.reached = 0
        self.latest: dict[bytes, int] = {}

    def next_turn(self, workspace: bytes | None) -> int:
        """Returns the turn that the next request of a workspace would get."""
        if workspace is None:
            return self.reached
        return max(self.reached, self.latest.get(workspace, 0)) + 1

    def take(self, workspace: bytes | None) -> int:
        """Returns the turn of a request that begins to wait."""
        turn = self.next_turn(workspace)
        if workspace is not None:
            self.latest[workspace] = turn
        return turn

    def serve(self, turn: int) -> None:
        """Records that a request is served."""
        self.reached = max(self.reached, turn)

    def give_up(self, workspace: bytes | None, turn: int) -> None:
        """Records that a request no longer waits and was not served."""
        if workspace is not None and self.latest.get(workspace) == turn:
            self.latest[workspace] = turn - 1

    def clear(self) -> None:
        """Begins anew, as no request waits."""
        self.reached = 0
        self.latest.clear()
