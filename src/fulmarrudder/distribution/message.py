"""Messages on the links between nodes."""

import dataclasses
import enum

from fulmarrudder.log import RawRecord
from fulmarrudder.model import Fact
from fulmarrudder.quotas.message import QuotaReport, QuotaUse
from fulmarrudder.state_machine import State

# Nodes of protocol 1 take `SourceUpdate` and `ConfigChange`, those of protocol 2
# `Vacancy`, `QuotaReport`, `QuotaUse` and the facts `Evacuation` and `SourceEra` as
# well. A node closes a link on which a message or a fact of an unknown kind arrives.
PROTOCOL = 2
VACANCY_PROTOCOL = 2


class Role(enum.Enum):
    """Role of the node that opens a link."""

    CHILD = "child"
    PEER = "peer"


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Hello:
    """First message of the node that opens a link, and a peer's reply.

    Attributes:
        role: Role of the node on this link.
        node: Id of the node.
        data_centre: Data centre of the node.
        mesh_address: host:port at which it accepts links.
        offset: Offset of the last record applied on the node; -1 for none.
            In a fleet without relays, the configuration version; 0 for none.
        digest: Chain digest at that offset, hexadecimal. In a fleet without
            relays, the digest of the facts that the node holds; empty for
            none.
        interest: Services whose presences the node subscribes to; None for
            all.
        protocol: Messages that the node understands; see `PROTOCOL`.
    """

    role: Role
    node: str
    data_centre: str
    mesh_address: str
    offset: int
    digest: str
    interest: tuple[str, ...] | None
    protocol: int = 0


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class PathUpdate:
    """Accepts the receiver as a child, or updates its path to the root.

    Attributes:
        path: Ids of the nodes from the relay down to the parent; empty when
            the parent has lost its own path to a relay.
    """

    path: tuple[str, ...]


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Redirect:
    """Refuses a link and names other nodes to try.

    Attributes:
        addresses: Mesh addresses to try; may be empty.
    """

    addresses: tuple[str, ...]


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Delta:
    """Records that follow an offset.

    Attributes:
        after: Offset before the first record.
        digest: Chain digest after the last record, hexadecimal.
        records: The records, in the order of the log, without gaps.
    """

    after: int
    digest: str
    records: tuple[RawRecord, ...]


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Snapshot:
    """The complete replicated state."""

    state: State


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class UpToDate:
    """Reports that the sender has no newer records than the receiver.

    In a fleet without relays it tells the sender's version instead of a
    document, or after one.

    Attributes:
        offset: Offset of the sender's state.
        digest: Chain digest at that offset, hexadecimal.
    """

    offset: int
    digest: str


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ResyncRequest:
    """Requests the records, state or document after an offset.

    Attributes:
        offset: Offset of the requester's state, or its configuration version
            in a fleet without relays.
        digest: Chain digest at that offset, hexadecimal.
    """

    offset: int
    digest: str


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class InterestUpdate:
    """Replaces the set of services that the sender subscribes to.

    Attributes:
        services: Services whose presences it receives; None for all.
    """

    services: tuple[str, ...] | None


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ClaimRequest:
    """Requests that the receiver claim a duty.

    Attributes:
        duty: Name of the duty.
        expected_term: Latest term of the duty, 0 for none; the claim fails if
            another node has claimed it since.
    """

    duty: str
    expected_term: int


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class FactBatch:
    """Facts to merge into the receiver's store."""

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


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ConfigChange:
    """What differs between two configuration versions.

    Attributes:
        base: Version that it starts from.
        version: Version that it leads to.
        digest: Digest of that version's entries, hexadecimal.
        removed: Ids of the entries that are no longer there, hexadecimal.
        added: Texts of the new entries.
    """

    base: int
    version: int
    digest: str
    removed: tuple[str, ...]
    added: tuple[str, ...]


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class SourceRecord:
    """A record of the source of versions, other than a version.

    Attributes:
        key: Key of the record.
        value: Its value, or None when the key is deleted.
        offset: Its offset.
    """

    key: str
    value: str | None
    offset: int


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class SourceUpdate:
    """What a reader of the source of versions has read, also if it is nothing.

    Attributes:
        start: Offset from which it has read.
        end: Offset after the last record.
        version: Latest version before `end`.
        records: Records from `start` on, without versions, in order.
    """

    start: int
    end: int
    version: int
    records: tuple[SourceRecord, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Vacancy:
    """Tells that the target beside the sender has a slot free.

    Attributes:
        slowness: How long work takes there, in percent of the average.
    """

    slowness: int


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
    | ConfigChange
    | SourceUpdate
    | QuotaReport
    | QuotaUse
    | Vacancy
)
