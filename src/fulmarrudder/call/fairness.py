"""Order of tenants in a queue, by how many requests they have waiting.

A tenant's requests take turns with those of others of the same priority, so that
one that sends many at once waits behind its own requests only.
"""


class TenantTurns:
    """Gives each waiting request a turn; the lowest is served first.

    Requests without a tenant wait for no tenant's.

    Attributes:
        reached: Latest turn that was served.
        latest: Latest turn of each tenant that has requests waiting.
    """

    __slots__ = ("latest", "reached")

    def __init__(self):
        self.reached = 0
        self.latest: dict[bytes, int] = {}

    def next_turn(self, tenant: bytes | None) -> int:
        """Returns the turn that the next request of a tenant would get."""
        if tenant is None:
            return self.reached
        return max(self.reached, self.latest.get(tenant, 0)) + 1

    def take(self, tenant: bytes | None) -> int:
        """Returns the turn of a request that begins to wait."""
        turn = self.next_turn(tenant)
        if tenant is not None:
            self.latest[tenant] = turn
        return turn

    def serve(self, turn: int) -> None:
        """Records that a request is served."""
        self.reached = max(self.reached, turn)

    def give_up(self, tenant: bytes | None, turn: int) -> None:
        """Records that a request no longer waits and was not served."""
        if tenant is not None and self.latest.get(tenant) == turn:
            self.latest[tenant] = turn - 1

    def clear(self) -> None:
        """Begins anew, as no request waits."""
        self.reached = 0
        self.latest.clear()
