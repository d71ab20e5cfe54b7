"""Messages on the links between nodes."""

import dataclasses
import enum

from fulmarrudder.fold import State
from fulmarrudder.log import RawRecord
from fulmarrudder.model import Fact


class Role(enum.Enum):
    """What the node that opens a link wants it for."""

    CHILD = "child"
    PEER = "peer"


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Hello:
    """First message of the node that opens a link, and a peer's answer.

    Attributes:
        offset: Offset that the node holds.
        digest: Chain digest at that offset.
        interest: Services whose presences it wants; None for all.
    """

    role: Role
    node: str
    data_centre: str
    mesh_address: str
    offset: int
    digest: str
    interest: tuple[str, ...] | None


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class PathUpdate:
    """Takes a node on as a child, or tells it a new path to the root.

    Attributes:
        path: Nodes from the relay down to the parent; empty when the parent
            has lost its own source.
    """

    path: tuple[str, ...]


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Redirect:
    """Sends a node elsewhere.

    Attributes:
        addresses: Mesh addresses to try, possibly none.
    """

    addresses: tuple[str, ...]


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Delta:
    """Records after an offset, in order.

    Attributes:
        after: Offset that they follow.
        digest: Chain digest after the last of them.
    """

    after: int
    digest: str
    records: tuple[RawRecord, ...]


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Snapshot:
    """The whole folded state."""

    state: State


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class UpToDate:
    """The sender holds nothing newer than the receiver."""

    offset: int
    digest: str


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ResyncRequest:
    """Asks for what follows an offset."""

    offset: int
    digest: str


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class InterestUpdate:
    """Tells the services whose presences the sender wants."""

    services: tuple[str, ...] | None


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ClaimRequest:
    """Asks the receiver to claim a duty."""

    duty: str
    expected_term: int


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class FactBatch:
    """Facts."""

    facts: tuple[Fact, ...]


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Document:
    """A configuration version, as the operator wrote it.

    Attributes:
        version: The version.
        text: The document.
    """

    version: int
    text: str


Message = (
    Hello
    | PathUpdate
    | Redirect
    | Delta
    | Snapshot
    | UpToDate
    | ResyncRequest
    | InterestUpdate
    | ClaimRequest
    | FactBatch
    | Document
)
