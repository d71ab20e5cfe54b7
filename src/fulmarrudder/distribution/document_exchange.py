"""Filter: requests for configuration to documents, and answers to them.

A document takes long on a slow link, and further copies of it would take the
link from requests, so that a node awaits one at a time and sends one at a time.
"""

import dataclasses
import math
import random
from collections.abc import Callable

from fulmarrudder.clock import Clock
from fulmarrudder.distribution.guard import ignore
from fulmarrudder.distribution.link import IDLE_TIMEOUT_S, Link
from fulmarrudder.distribution.message import (
    Document,
    ResyncRequest,
    UpToDate,
)
from fulmarrudder.observe import Metrics, logs

# Silence on a link after which its node is taken not to answer.
DOCUMENT_TIMEOUT_S = 1.0
# Time without a check after which this node is taken to have been frozen. What
# arrived meanwhile has not been handled yet.
PAUSE_S = 0.5
# Time to receive a document on a slow link that is shared with others.
DOCUMENT_LIMIT_S = 10.0
# Time to send a document before it is sent to another node. Nodes of the
# previous build do not tell that they have received it.
SENDING_LIMIT_S = 1.0
# Time in which a version that a neighbour tells of arrives from the store.
STORE_GRACE_S = 1.0


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Offer:
    """What a neighbour can be asked for.

    Attributes:
        version: Version that it last told of; 0 for none.
        settled_at: Clock seconds from which its link is expected to stay.
        due_at: Clock seconds from which the version is requested though the
            store is available.
    """

    version: int
    settled_at: float
    due_at: float = 0.0


class DocumentExchange:
    """Requests documents from other nodes and serves them.

    Attributes:
        current_document: Returns the active document, or None; it may have to
            be put together first.
        active_version: Returns the active version; 0 for none.
        on_document: Called with a document from another node.
        on_version_told: Called with each version that a neighbour tells of
            and that is newer than the active one, and the neighbour.
        is_receiving: Returns whether a version is arriving from the store.
        offers: Offers of neighbours by link.
        advanced_version: Active version when it was last looked at.
        advanced_at: Clock seconds at which it was first seen.
        received: Newest version that was received; this node may have refused
            it.
        source: Link on which a document was requested and has not arrived
            yet, or None.
        silence_deadline: Clock seconds until which the first byte after the
            request is awaited.
        deadline: Clock seconds until which the document is awaited.
        paused_at: Clock seconds from which this node is taken to have been
            frozen, unless deadlines are checked earlier.
        receiver: Link on which a document was sent and may not have arrived
            yet, or None.
        sent_version: Version of that document.
        sending_deadline: Clock seconds from which it is taken to have arrived.
    """

    def __init__(
        self,
        *,
        clock: Clock,
        rng: random.Random,
        metrics: Metrics,
        current_document: Callable[[], Document | None],
        on_document: Callable[[Document], None],
        on_version_told: Callable[[int, str], None] = ignore,
        is_receiving: Callable[[], bool] = bool,
        active_version: Callable[[], int] | None = None,
    ):
        self.clock = clock
        self.rng = rng
        self.metrics = metrics
        self.current_document = current_document
        self.active_version = active_version or self._version_of_document
        self.on_document = on_document
        self.on_version_told = on_version_told
        self.is_receiving = is_receiving
        self.offers: dict[Link, Offer] = {}
        self.advanced_version = 0
        self.advanced_at = -math.inf
        self.received = 0
        self.source: Link | None = None
        self.silence_deadline = 0.0
        self.deadline = 0.0
        self.paused_at = 0.0
        self.receiver: Link | None = None
        self.sent_version = 0
        self.sending_deadline = 0.0

    @property
    def version(self) -> int:
        """Version of the active document; 0 for none."""
        return self.active_version()

    def add_offer(self, link: Link, offer: Offer) -> None:
        """Adds a neighbour, and requests its document if it is newer."""
        self.offers[link] = offer
        self._report_told(link, offer.version)
        self.request_newer()

    def withdraw_offer(self, link: Link) -> None:
        """Requests nothing more on a link that is being closed."""
        self.offers.pop(link, None)

    def link_closed(self, link: Link) -> None:
        """Removes a neighbour; ends the wait for its answer."""
        self.withdraw_offer(link)
        self._end_request(link)
        self._end_sending(link)

    def tell_version(self) -> None:
        """Tells all neighbours of the newest version."""
        for neighbour in self.offers:
            neighbour.send(UpToDate(offset=self._known_version, digest=""))

    def request_newer(self) -> None:
        """Requests a document that did not arrive from the store in time.

        Does nothing while the store sends versions: a copy of a large one would
        delay it on a slow link.
        """
        self.end_unanswered()
        now = self.clock.seconds()
        if self.is_receiving() or now < self._advanced_at(now) + STORE_GRACE_S:
            return
        self._request_from(
            tuple(
                link
                for link in self._newer_offers()
                if now >= self.offers[link].due_at
            )
        )

    def request_any(self) -> None:
        """Requests a newer document from any neighbour."""
        self.end_unanswered()
        self._request_from(self._newer_offers() or self._settled_offers())

    def end_unanswered(self) -> None:
        """Closes the link on which the document is overdue.

        The node at its other end may be frozen, and would send the document
        once it goes on.
        """
        link, now = self.source, self.clock.seconds()
        was_frozen = now >= self.paused_at
        self.paused_at = now + PAUSE_S
        if link is None:
            return
        if was_frozen:
            self.silence_deadline = now + DOCUMENT_TIMEOUT_S
            self.deadline = max(self.deadline, self.silence_deadline)
            return
        heard_at = link.idle_deadline - IDLE_TIMEOUT_S
        silence_deadline = max(
            self.silence_deadline, heard_at + DOCUMENT_TIMEOUT_S
        )
        if now < min(silence_deadline, self.deadline):
            return
        logs.warning("document-overdue", peer=link.node)
        self.link_closed(link)
        link.close()

    def answer(self, request: ResyncRequest, link: Link) -> None:
        """Sends the active document if it is newer than the requester's.

        While another node receives it, only its version is sent.
        """
        if self.version <= request.offset:
            link.send(UpToDate(offset=self.version, digest=""))
            return
        if self._is_sending():
            link.send(UpToDate(offset=self.version, digest=""))
            link.send(UpToDate(offset=request.offset, digest=""))
            return
        document = self.current_document()
        self.receiver = link
        self.sent_version = document.version
        self.sending_deadline = self.clock.seconds() + SENDING_LIMIT_S
        link.send(document)

    def receive_version(self, message: UpToDate, link: Link) -> None:
        """Handles the version that a neighbour tells.

        A newer one is an offer, or tells that a document has arrived there. Any
        other one tells that the neighbour sends none.
        """
        if message.offset >= self.sent_version:
            self._end_sending(link)
        if message.offset <= self._known_version:
            self._end_request(link)
        self._update_offer(link, message.offset)
        self._report_told(link, message.offset)

    def receive(self, document: Document, link: Link) -> None:
        """Passes a document on, and tells all neighbours that it has arrived.

        Its sender may then send it to others, who may ask this node as well.
        """
        self._end_request(link)
        self._update_offer(link, document.version)
        self.received = max(self.received, document.version)
        self.on_document(document)
        self.tell_version()

    def _version_of_document(self) -> int:
        document = self.current_document()
        return document.version if document else 0

    @property
    def _known_version(self) -> int:
        """Version up to which documents need not be received again."""
        return max(self.version, self.received)

    def _settled_offers(self) -> tuple[Link, ...]:
        now = self.clock.seconds()
        return tuple(
            link
            for link, offer in self.offers.items()
            if now >= offer.settled_at
        )

    def _newer_offers(self) -> tuple[Link, ...]:
        known = self._known_version
        return tuple(
            link
            for link in self._settled_offers()
            if self.offers[link].version > known
        )

    def _request_from(self, links: tuple[Link, ...]) -> None:
        if self.source is not None or not links:
            return
        now = self.clock.seconds()
        self.source = self.rng.choice(links)
        self.silence_deadline = now + DOCUMENT_TIMEOUT_S
        self.deadline = now + DOCUMENT_LIMIT_S
        self.metrics.count("fulmarrudder_resyncs_total")
        self.source.send(ResyncRequest(offset=self._known_version, digest=""))

    def _update_offer(self, link: Link, version: int) -> None:
        offer = self.offers.get(link)
        if offer is None or version <= offer.version:
            return
        due_at = offer.due_at
        if offer.version <= self._known_version:
            due_at = self.clock.seconds() + STORE_GRACE_S
        self.offers[link] = dataclasses.replace(
            offer, version=version, due_at=due_at
        )

    def _advanced_at(self, now: float) -> float:
        """Returns when the active version last changed, in clock seconds."""
        if self.version != self.advanced_version:
            # The first version tells nothing of how fast the store is.
            if self.advanced_version:
                self.advanced_at = now
            self.advanced_version = self.version
        return self.advanced_at

    def _report_told(self, link: Link, version: int) -> None:
        if version > self.version:
            self.on_version_told(version, link.node)

    def _is_sending(self) -> bool:
        return (
            self.receiver is not None
            and self.clock.seconds() < self.sending_deadline
        )

    def _end_sending(self, link: Link) -> None:
        if link is self.receiver:
            self.receiver = None

    def _end_request(self, link: Link) -> None:
        if link is self.source:
            self.source = None
