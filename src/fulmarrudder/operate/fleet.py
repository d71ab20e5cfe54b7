"""What a relay knows of all data centres, for operators and verdicts."""

import dataclasses
import json

import pydantic
from twisted.internet.defer import Deferred, ensureDeferred
from twisted.web.client import Agent, HTTPConnectionPool, readBody
from twisted.web.http_headers import Headers

from fulmarrudder.clock import Clock
from fulmarrudder.distribution import Mesh, StateStore, all_relays
from fulmarrudder.membership import FactStore
from fulmarrudder.model import Condition, ConfigStatus, ConfigSummary
from fulmarrudder.move import Confirmation, confirm
from fulmarrudder.node.settings import Settings
from fulmarrudder.observe import logs
from fulmarrudder.state_machine import Duty

FRESH_S = 10.0
REPEAT_S = 4.0
ASK_LIMIT_S = 2.0
LAGGING_SHOWN = 10
_HELD = pydantic.TypeAdapter(tuple[ConfigStatus, ...])


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class DataCentreView:
    """A data centre as its relays' summaries show it."""

    name: str
    heard: bool
    nodes: int
    version: int
    offset: int
    lagging: tuple[str, ...]


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class RelayReply:
    """What a relay said of its nodes.

    Attributes:
        nodes: What they hold, or None when the relay did not answer.
    """

    data_centre: str
    nodes: tuple[ConfigStatus, ...] | None


class FleetView:
    """Collects summaries, and makes this relay's own.

    Attributes:
        heard: Clock seconds at which each relay's summary last came.
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
        self.agent = Agent(reactor, connectTimeout=ASK_LIMIT_S, pool=pool)
        self.heard: dict[str, float] = {}
        self.sequence = 0
        self.told: ConfigSummary | None = None
        self.told_to = ""
        self.repeat_at = 0.0

    def record_summary(self, summary: ConfigSummary) -> None:
        """Notes that a relay was heard."""
        self.heard[summary.relay] = self.clock.seconds()

    def local_statuses(self) -> tuple[ConfigStatus, ...]:
        """Returns what the nodes of this relay hold, and itself."""
        source_links = self.mesh.fact_router.source_links
        peers = set(self.mesh.peers.by_node.values())
        found = []
        for held in self.facts.all_of(ConfigStatus):
            if held.node == self.settings.node:
                found.append(held)
                continue
            presence = self.facts.presence_of(held.node)
            if presence is None or presence.condition is Condition.LOST:
                continue
            if presence.data_centre != self.settings.data_centre:
                continue
            if source_links.get(held.node) not in peers:
                found.append(held)
        return tuple(sorted(found, key=lambda held: held.node))

    def summary(self) -> ConfigSummary:
        """Makes this relay's summary."""
        state = self.state_store.state
        held = self.local_statuses()
        behind = [h for h in held if h.offset < state.offset]
        lowest = min(held, key=lambda h: h.offset, default=None)
        self.sequence += 1
        return ConfigSummary(
            relay=self.settings.node,
            data_centre=self.settings.data_centre,
            incarnation=self.incarnation,
            sequence=self.sequence,
            nodes=len(held),
            offset=lowest.offset if lowest else state.offset,
            version=min((h.version for h in held), default=state.version),
            relay_offset=state.offset,
            lagging=tuple(behind[:LAGGING_SHOWN]),
        )

    def summary_if_due(self) -> ConfigSummary | None:
        """Returns this relay's summary when it is news or due again."""
        summary, now = self.summary(), self.clock.seconds()
        controller = self.mesh.controller()
        same = self.told is not None and summary == dataclasses.replace(
            self.told, sequence=summary.sequence
        )
        if same and controller == self.told_to and now < self.repeat_at:
            return None
        self.told, self.told_to = summary, controller
        self.repeat_at = now + REPEAT_S
        return summary

    def fresh(self) -> tuple[ConfigSummary, ...]:
        """Returns the summaries that came lately."""
        oldest = self.clock.seconds() - FRESH_S
        return tuple(
            s
            for s in self.facts.all_of(ConfigSummary)
            if self.heard.get(s.relay, oldest) > oldest
        )

    def confirmation_of(self, offset: int) -> Confirmation:
        """Tells where a record is in force."""
        relays = all_relays(self.state_store.state)
        places = frozenset(duty.data_centre for duty in relays)
        return confirm(offset, places, self.fresh())

    def data_centres(self) -> tuple[DataCentreView, ...]:
        """Returns every data centre as it was last heard."""
        relays = all_relays(self.state_store.state)
        names = {duty.data_centre for duty in relays}
        fresh = self.fresh()
        names |= {summary.data_centre for summary in fresh}
        return tuple(_view(name, fresh) for name in sorted(names))

    def query_relays(self, data_centre: str) -> list[Deferred]:
        """Asks relays what their nodes hold.

        Args:
            data_centre: Only this one's, or empty for all.

        Returns:
            Deferreds of `RelayReply`; none fails.
        """
        asked = []
        for duty in all_relays(self.state_store.state):
            if data_centre in ("", duty.data_centre):
                asked.append(ensureDeferred(self._ask(duty)))
        return asked

    async def _ask(self, duty: Duty) -> RelayReply:
        token = self.settings.mesh_token
        headers = Headers({"authorization": [f"Bearer {token}"]})
        url = f"http://{duty.admin_address}/v1/held".encode()
        try:
            asked = self.agent.request(b"GET", url, headers)
            response = await asked.addTimeout(ASK_LIMIT_S, self.reactor)
            data = await readBody(response).addTimeout(
                ASK_LIMIT_S, self.reactor
            )
            nodes = _HELD.validate_json(data)
        except Exception as error:
            logs.info("relay-silent", duty=duty.name, error=error)
            return RelayReply(data_centre=duty.data_centre, nodes=None)
        return RelayReply(data_centre=duty.data_centre, nodes=nodes)


def encode_statuses(held: tuple[ConfigStatus, ...]) -> bytes:
    """Encodes what nodes hold."""
    found = _HELD.dump_python(held, mode="json", by_alias=True)
    return json.dumps(found).encode()


def _view(name: str, fresh: tuple[ConfigSummary, ...]) -> DataCentreView:
    own = [s for s in fresh if s.data_centre == name]
    lagging = [held.node for s in own for held in s.lagging]
    return DataCentreView(
        name=name,
        heard=bool(own),
        nodes=sum(s.nodes for s in own),
        version=min((s.version for s in own), default=0),
        offset=min((s.offset for s in own), default=-1),
        lagging=tuple(lagging[:LAGGING_SHOWN]),
    )
