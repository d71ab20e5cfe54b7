"""Facts: soft state that nodes gossip to each other, outside the log.

Each fact has a key and a precedence. Of two facts with the same key, the one
with the higher precedence wins (last-writer-wins), so merging is commutative,
associative and idempotent.
"""

import dataclasses
import enum
from functools import singledispatch

# Values of `state_machine.Phase` in which a move is closed.
CLOSED_PHASES = frozenset({"completed", "taken-back"})


class Condition(enum.Enum):
    """Condition of the local target of a node."""

    ABSENT = "absent"
    READY = "ready"
    LEAVING = "leaving"
    LOST = "lost"


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Presence:
    """A node and its local target.

    Attributes:
        node: Node id.
        incarnation: Start time of the node process, in wall-clock
            milliseconds.
        sequence: Number of the change within the incarnation.
        data_centre: Data centre in which the node runs.
        call_address: host:port for calls.
        mesh_address: host:port for links from other nodes.
        service: Service of the target, or empty without a target.
        target_version: Version of the target, or empty without a target.
        condition: Condition of the target.
        slots: Maximum number of requests that the target serves at once.
        target: Id of the target, or empty.
        target_incarnation: Start of the target, as its announcements tell it.
        target_leaves: Whether the target itself has told that it leaves.
    """

    node: str
    incarnation: int
    sequence: int
    data_centre: str
    call_address: str
    mesh_address: str
    service: str = ""
    target_version: str = ""
    condition: Condition = Condition.ABSENT
    slots: int = 0
    target: str = ""
    target_incarnation: int = 0
    target_leaves: bool = False


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Brake:
    """Stops traffic to the new target version of a move.

    Attributes:
        move: Id of the move.
        service: Service that moves.
        target_version: Target version that must receive no traffic.
        route: Route that is stopped, or empty for all routes.
        reason: Comparison that led to the brake, for operators.
    """

    move: str
    service: str
    target_version: str
    route: str
    reason: str


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Strike:
    """A target's connection broke while it executed a request.

    Requests with several strikes are treated as poison requests.

    Attributes:
        fingerprint: Digest of the request.
        crash_id: Id of the crash: address and incarnation of the target.
        expires: Wall-clock seconds at which the strike expires.
    """

    fingerprint: str
    crash_id: str = dataclasses.field(metadata={"alias": "death"})
    expires: float


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ConfigStatus:
    """Log offset and active configuration version of a node.

    It is sent up to the relays only.
    """

    node: str
    incarnation: int
    data_centre: str
    offset: int
    version: int


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Tally:
    """Cumulative counts of one target version on one route.

    Attributes:
        requests: Requests that were sent to targets of the version.
        failures: Requests among them that failed.
        latency_buckets: Number of answers by latency; the upper bounds of
            the buckets double from 1 ms.
    """

    service: str
    target_version: str
    route: str
    requests: int
    failures: int
    latency_buckets: tuple[int, ...] = dataclasses.field(
        metadata={"alias": "slow"}
    )


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Evidence:
    """Cumulative tallies of a source.

    Attributes:
        source: A node, or a node that adds up the tallies of others.
        attached: Sequence from which the receiver adds up the tallies of the
            source; None where each reader counts them.
    """

    source: str
    incarnation: int
    sequence: int
    tallies: tuple[Tally, ...]
    attached: int | None = None


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ConfigSummary:
    """Configuration status of a data centre, as collected by a relay.

    Attributes:
        offset: Lowest offset among the nodes that are present.
        lagging: Some of the nodes that are behind the relay's own offset.
    """

    relay: str
    data_centre: str
    incarnation: int
    sequence: int
    nodes: int
    offset: int
    version: int
    relay_offset: int
    lagging: tuple[ConfigStatus, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class MoveProgress:
    """Progress of a move, as its controller last reported it.

    Attributes:
        move: Id of the move.
        permille: Share of the new version, in thousandths.
        phase: Phase of the move, a value of `state_machine.Phase`.
        deadline: Wall-clock seconds by which it should be completed.
        term: Term of the controller's duty.
        step: Number of the report within the term.
        reason: Why the move ended; empty while it is open.
    """

    move: str
    service: str
    to_version: str
    permille: int
    phase: str
    deadline: float
    term: int
    step: int
    reason: str = ""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Evacuation:
    """Whether the targets of a data centre must get no requests.

    Attributes:
        data_centre: The data centre, which need not be known.
        offset: Offset of the operator's record.
        in_force: False once the operator has taken it back.
    """

    data_centre: str
    offset: int
    in_force: bool


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class SourceEra:
    """The source of versions has come back from an older copy.

    Attributes:
        number: How often it has; see `model.position`.
    """

    number: int


Fact = (
    Presence
    | Brake
    | Strike
    | ConfigStatus
    | Evidence
    | ConfigSummary
    | MoveProgress
    | Evacuation
    | SourceEra
)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class FactKey:
    """Identifies the subject of a fact; a store has one fact per key."""

    kind: str
    name: str


@singledispatch
def key_of(fact: Fact) -> FactKey:
    """Returns the key of a fact."""
    raise TypeError(f"not a fact: {type(fact).__name__}")


@key_of.register
def _(fact: Presence) -> FactKey:
    return FactKey(kind="presence", name=fact.node)


@key_of.register
def _(fact: Brake) -> FactKey:
    return FactKey(kind="brake", name=f"{fact.move}/{fact.route}")


@key_of.register
def _(fact: Strike) -> FactKey:
    return FactKey(kind="strike", name=f"{fact.fingerprint}/{fact.crash_id}")


@key_of.register
def _(fact: ConfigStatus) -> FactKey:
    return FactKey(kind="held", name=fact.node)


@key_of.register
def _(fact: Evidence) -> FactKey:
    return FactKey(kind="evidence", name=fact.source)


@key_of.register
def _(fact: ConfigSummary) -> FactKey:
    return FactKey(kind="summary", name=fact.relay)


@key_of.register
def _(fact: MoveProgress) -> FactKey:
    return FactKey(kind="course", name=fact.move)


@key_of.register
def _(fact: Evacuation) -> FactKey:
    return FactKey(kind="evacuation", name=fact.data_centre)


@key_of.register
def _(fact: SourceEra) -> FactKey:
    return FactKey(kind="era", name="source")


@singledispatch
def precedence_of(fact: Fact) -> tuple[int, ...]:
    """Returns the precedence of a fact among facts with the same key."""
    return (0,)


@precedence_of.register
def _(fact: Presence) -> tuple[int, ...]:
    lost = int(fact.condition is Condition.LOST)
    return (fact.incarnation, fact.sequence, lost)


@precedence_of.register
def _(fact: ConfigStatus) -> tuple[int, ...]:
    return (fact.incarnation, fact.offset)


@precedence_of.register
def _(fact: Evidence) -> tuple[int, ...]:
    return (fact.incarnation, fact.sequence)


@precedence_of.register
def _(fact: ConfigSummary) -> tuple[int, ...]:
    return (fact.incarnation, fact.sequence)


@precedence_of.register
def _(fact: MoveProgress) -> tuple[int, ...]:
    # A closed move stays closed: its verdict is recorded, and the next holder
    # of the duty may not have heard of it.
    closed = int(fact.phase in CLOSED_PHASES)
    return (closed, fact.term, fact.step)


@precedence_of.register
def _(fact: Evacuation) -> tuple[int, ...]:
    return (fact.offset, int(not fact.in_force))


@precedence_of.register
def _(fact: SourceEra) -> tuple[int, ...]:
    return (fact.number,)
