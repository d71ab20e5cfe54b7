"""Decision: what the connections of one node may hold, and which one has to go.

The memory and the descriptors of a machine are shared by clients that the node
does not control. Each connection is charged with an estimate of what it holds.
While the sum is high, pipelined requests are served one at a time; beyond the
budget the connection that holds most is closed.
"""

import dataclasses
import math

# Part of the machine's memory that connections of callers and nodes may hold.
# The rest is the node's own, and what a request costs beyond the estimate.
MEMORY_SHARE = 0.25
# Part of the sockets for connections that others open. Each of them may need
# another one to a target.
SOCKET_SHARE = 0.4
# Descriptors that are not sockets.
FILE_DESCRIPTORS = 200
# Part of the budget from which on requests are not served side by side.
SERIAL_SHARE = 0.5
# An open connection, with its transport, decoder and buffers.
CONNECTION_BYTES = 8_192
# A call in progress, without its head and its body.
CALL_BYTES = 8_192
# An answer that waits until those before it on its connection are sent.
WAITING_ANSWER_BYTES = 131_072
# What a connection may hold without being charged for it.
LIGHT_BYTES = 2_048
# A parsed field, beside its bytes.
FIELD_BYTES = 136


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class BudgetLimits:
    """What the connections of a node may hold; without limits by default.

    Attributes:
        memory_bytes: Most bytes of all connections together.
        connections: Most connections.
    """

    memory_bytes: float = math.inf
    connections: float = math.inf


def limits_of_machine(memory_bytes: float, descriptors: float) -> BudgetLimits:
    """Returns the limits on a machine.

    Args:
        memory_bytes: Memory of the process; infinite if it is not known.
        descriptors: Descriptors of the process; infinite if not known.
    """
    sockets = max(0.0, descriptors - FILE_DESCRIPTORS)
    return BudgetLimits(
        memory_bytes=memory_bytes * MEMORY_SHARE,
        connections=max(1.0, sockets * SOCKET_SHARE),
    )


class Budget:
    """Sums up what the connections hold.

    Attributes:
        limits: What they may hold together.
        charged: Bytes by connection.
        total: Sum of these.
    """

    def __init__(self, limits: BudgetLimits | None = None):
        self.limits = limits or BudgetLimits()
        self.charged: dict[object, int] = {}
        self.total = 0

    def charge(self, connection, size: int) -> None:
        """Sets the bytes that a connection holds."""
        self.total += size - self.charged.get(connection, 0)
        self.charged[connection] = size

    def release(self, connection) -> None:
        """Forgets a connection."""
        self.total -= self.charged.pop(connection, 0)

    @property
    def is_high(self) -> bool:
        """Whether requests should be served one at a time."""
        return self.total > self.limits.memory_bytes * SERIAL_SHARE

    def largest(self) -> object | None:
        """Returns the connection that holds most if all hold too much."""
        if self.total <= self.limits.memory_bytes:
            return None
        return max(self.charged, key=self.charged.__getitem__, default=None)

    def is_full(self, connections: int) -> bool:
        """Returns whether there are more connections than allowed."""
        return connections > self.limits.connections
