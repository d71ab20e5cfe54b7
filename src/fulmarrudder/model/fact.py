"""Facts: soft state that nodes spread among themselves without the log.

Each fact has a key and an order; of two facts with one key the higher order
wins, so merging is commutative, associative and idempotent.
"""

import dataclasses
import enum
from functools import singledispatch


class Condition(enum.Enum):
    """Condition of the target beside a node."""

    ABSENT = "absent"
    READY = "ready"
    LEAVING = "leaving"
    LOST = "lost"


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Presence:
    """A node and the target beside it.

    Attributes:
        node: Node id.
        incarnation: Start of the node process, in wall-clock milliseconds.
        sequence: Counts changes within an incarnation.
        data_centre: Where the node runs.
        call_address: host:port for calls.
        mesh_address: host:port for other nodes' links.
        service: Service of the target, or empty.
        target_version: Version of the target, or empty.
        condition: Condition of the target.
        slots: Requests that the target serves at once.
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


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Brake:
    """Stops a target version of a move, on one route or on all of them."""

    move: str
    service: str
    target_version: str
    route: str
    reason: str


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Strike:
    """A target's connection died while it ran a request.

    Attributes:
        fingerprint: Digest of the request.
        death: Id of the death.
        expires: Wall-clock seconds after which the strike is forgotten.
    """

    fingerprint: str
    death: str
    expires: float


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ConfigStatus:
    """What a node holds in force; goes up to the relays only."""

    node: str
    incarnation: int
    data_centre: str
    offset: int
    version: int


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Tally:
    """Cumulative counts of one target version on one route.

    Attributes:
        requests: Requests that the target was given.
        failures: Those that failed.
        latency_buckets: Counts by latency bucket, upper bounds doubling from 1 ms.
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
    """Cumulative tallies of a source: a node, or a relay for its subtree."""

    source: str
    incarnation: int
    sequence: int
    tallies: tuple[Tally, ...]


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ConfigSummary:
    """What a data centre's relay knows its nodes to hold.

    Attributes:
        offset: Lowest offset held by a node that is present.
        lagging: Up to a few nodes below the relay's own offset.
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
    """Where a move stands, as its controller last said.

    Attributes:
        move: Id of the move.
        permille: Share of the new version, in thousandths.
        phase: Phase of the move, by the value of `fold.Phase`.
        deadline: Wall-clock seconds by which it should be completed.
        term: The controller's term.
        step: Counts what the controller said in its term.
        reason: Why it ended, once it has.
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


Fact = (
    Presence
    | Brake
    | Strike
    | ConfigStatus
    | Evidence
    | ConfigSummary
    | MoveProgress
)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class FactKey:
    """Names what a fact is about."""

    kind: str
    name: str


@singledispatch
def key_of(fact: Fact) -> FactKey:
    """Returns what the fact is about."""
    raise TypeError(f"not a fact: {type(fact).__name__}")


@key_of.register
def _(fact: Presence) -> FactKey:
    return FactKey(kind="presence", name=fact.node)


@key_of.register
def _(fact: Brake) -> FactKey:
    return FactKey(kind="brake", name=f"{fact.move}/{fact.route}")


@key_of.register
def _(fact: Strike) -> FactKey:
    return FactKey(kind="strike", name=f"{fact.fingerprint}/{fact.death}")


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


@singledispatch
def precedence_of(fact: Fact) -> tuple[int, ...]:
    """Returns the order of the fact among facts with the same key."""
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
    return (fact.term, fact.step)
