"""Configuration status of the fleet, from the summaries of its relays."""

import dataclasses
import json

import pydantic
from twisted.internet.defer import Deferred, ensureDeferred
from twisted.web.client import Agent, HTTPConnectionPool
from twisted.web.http_headers import Headers

from fulmarrudder.clock import Clock
from fulmarrudder.distribution.duties import all_relays
from fulmarrudder.distribution.mesh import Mesh
from fulmarrudder.distribution.state_store import StateStore
from fulmarrudder.http import read_body
from fulmarrudder.membership import FactStore
from fulmarrudder.model import Condition, ConfigStatus, ConfigSummary
from fulmarrudder.move import Confirmation, confirm
from fulmarrudder.node.settings import Settings
from fulmarrudder.observe import logs
from fulmarrudder.state_machine import Duty

SUMMARY_TTL_S = 10.0
SUMMARY_REPEAT_S = 4.0
QUERY_TIMEOUT_S = 2.0
MAX_STATUS_BYTES = 16 * 1024 * 1024
MAX_LAGGING_SHOWN = 10
_STATUSES = pydantic.TypeAdapter(tuple[ConfigStatus, ...])


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class DataCentreView:
    """Status of a data centre, aggregated from its relays' summaries.

    Attributes:
        name: Name of the data centre.
        heard: Whether a summary of one of its relays arrived recently.
        nodes: Number of nodes that its relays report.
        version: Lowest configuration version of its nodes.
        offset: Lowest log offset of its nodes, or -1.
        lagging: Ids of nodes below their relay's own offset, at most a few.
    """

    name: str
    heard: bool
    nodes: int
    version: int
    offset: int
    lagging: tuple[str, ...]


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class RelayReply:
    """A relay's answer about its nodes.

    Attributes:
        data_centre: Data centre of the relay.
        nodes: Configuration status of its nodes, or None if the relay did not
            answer.
    """

    data_centre: str
    nodes: tuple[ConfigStatus, ...] | None


class FleetView:
    """Collects the summaries of all relays and builds this relay's own.

    Attributes:
        received_at: Clock seconds at which the last summary of each relay
            arrived, by the relay's node id.
        last_summary: The summary that this relay broadcast last, or None.
        last_controller: The controller at that time.
        next_repeat: Clock seconds at which an unchanged summary is repeated.
    """

    def __init__(
        self,
        *,
        reactor,
        clock: Clock,
        settings: Settings,
        incarnation: int,
        state_store: StateStore,
        mesh: Mesh,
        facts: FactStore,
    ):
        pool = HTTPConnectionPool(reactor, persistent=True)
        self.clock = clock
        self.settings = settings
        self.incarnation = incarnation
        self.state_store = state_store
        self.mesh = mesh
        self.facts = facts
        self.reactor = reactor
        self.agent = Agent(reactor, connectTimeout=QUERY_TIMEOUT_S, pool=pool)
        self.received_at: dict[str, float] = {}
        self.sequence = 0
        self.last_summary: ConfigSummary | None = None
        self.last_controller = ""
        self.next_repeat = 0.0

    def record_summary(self, summary: ConfigSummary) -> None:
        """Records the time at which a relay's summary arrived."""
        self.received_at[summary.relay] = self.clock.seconds()

    def local_statuses(self) -> tuple[ConfigStatus, ...]:
        """Returns the configuration status of this relay and its nodes.

        Nodes that are lost, in another data centre, or reached through another
        relay are left out.
        """
        source_links = self.mesh.fact_router.source_links
        peers = set(self.mesh.peers.by_node.values())
        statuses = []
        for status in self.facts.all_of(ConfigStatus):
            if status.node == self.settings.node:
                statuses.append(status)
                continue
            presence = self.facts.presence_of(status.node)
            if presence is None or presence.condition is Condition.LOST:
                continue
            if presence.data_centre != self.settings.data_centre:
                continue
            if source_links.get(status.node) not in peers:
                statuses.append(status)
        return tuple(sorted(statuses, key=lambda status: status.node))

    def make_summary(self) -> ConfigSummary:
        """Builds this relay's summary."""
        state = self.state_store.state
        statuses = self.local_statuses()
        lagging = [s for s in statuses if s.offset < state.offset]
        lowest = min(statuses, key=lambda s: s.offset, default=None)
        self.sequence += 1
        return ConfigSummary(
            relay=self.settings.node,
            data_centre=self.settings.data_centre,
            incarnation=self.incarnation,
            sequence=self.sequence,
            nodes=len(statuses),
            offset=lowest.offset if lowest else state.offset,
            version=min((s.version for s in statuses), default=state.version),
            relay_offset=state.offset,
            lagging=tuple(lagging[:MAX_LAGGING_SHOWN]),
        )

    def summary_if_due(self) -> ConfigSummary | None:
        """Returns this relay's summary if it is to be broadcast now.

        That is when it has changed, when there is a new controller, or when
        the last one is due to be repeated.
        """
        summary, now = self.make_summary(), self.clock.seconds()
        controller = self.mesh.controller()
        is_same = (
            self.last_summary is not None
            and summary
            == dataclasses.replace(self.last_summary, sequence=summary.sequence)
        )
        if (
            is_same
            and controller == self.last_controller
            and now < self.next_repeat
        ):
            return None
        self.last_summary, self.last_controller = summary, controller
        self.next_repeat = now + SUMMARY_REPEAT_S
        return summary

    def fresh_summaries(self) -> tuple[ConfigSummary, ...]:
        """Returns the summaries that arrived recently."""
        oldest = self.clock.seconds() - SUMMARY_TTL_S
        return tuple(
            s
            for s in self.facts.all_of(ConfigSummary)
            if self.received_at.get(s.relay, oldest) > oldest
        )

    def confirmation_of(self, offset: int) -> Confirmation:
        """Returns the data centres in which a record has been applied.

        Args:
            offset: Offset of the record.
        """
        relays = all_relays(self.state_store.state)
        data_centres = frozenset(duty.data_centre for duty in relays)
        return confirm(offset, data_centres, self.fresh_summaries())

    def data_centres(self) -> tuple[DataCentreView, ...]:
        """Returns the status of every data centre."""
        relays = all_relays(self.state_store.state)
        names = {duty.data_centre for duty in relays}
        fresh = self.fresh_summaries()
        names |= {summary.data_centre for summary in fresh}
        return tuple(_make_view(name, fresh) for name in sorted(names))

    def query_relays(self, data_centre: str) -> list[Deferred]:
        """Queries relays for the configuration status of their nodes.

        Args:
            data_centre: Data centre whose relays to query, or empty for all.

        Returns:
            Deferreds of `RelayReply`; none fails.
        """
        queries = []
        for duty in all_relays(self.state_store.state):
            if data_centre in ("", duty.data_centre):
                queries.append(ensureDeferred(self._query_relay(duty)))
        return queries

    async def _query_relay(self, duty: Duty) -> RelayReply:
        token = self.settings.mesh_token
        headers = Headers({"authorization": [f"Bearer {token}"]})
        url = f"http://{duty.admin_address}/v1/held".encode()
        try:
            query = self.agent.request(b"GET", url, headers)
            response = await query.addTimeout(QUERY_TIMEOUT_S, self.reactor)
            data = await read_body(response, MAX_STATUS_BYTES).addTimeout(
                QUERY_TIMEOUT_S, self.reactor
            )
            nodes = _STATUSES.validate_json(data)
        except Exception as error:
            logs.info("relay-query-failed", duty=duty.name, error=error)
            return RelayReply(data_centre=duty.data_centre, nodes=None)
        return RelayReply(data_centre=duty.data_centre, nodes=nodes)


def encode_statuses(statuses: tuple[ConfigStatus, ...]) -> bytes:
    """Encodes the configuration status of nodes as JSON."""
    documents = _STATUSES.dump_python(statuses, mode="json", by_alias=True)
    return json.dumps(documents).encode()


def _make_view(name: str, fresh: tuple[ConfigSummary, ...]) -> DataCentreView:
    summaries = [s for s in fresh if s.data_centre == name]
    lagging = [status.node for s in summaries for status in s.lagging]
    return DataCentreView(
        name=name,
        heard=bool(summaries),
        nodes=sum(s.nodes for s in summaries),
        version=min((s.version for s in summaries), default=0),
        offset=min((s.offset for s in summaries), default=-1),
        lagging=tuple(lagging[:MAX_LAGGING_SHOWN]),
    )
