"""Simulated targets and callers, on the product's codec."""

import dataclasses
import json
import random

from twisted.internet.protocol import Factory, Protocol

from fulmarrudder.call.codec import (
    RequestDecoder,
    ResponseDecoder,
    encode_request,
    encode_response,
)
from fulmarrudder.call.message import (
    RAN_HEADER,
    REASON_HEADER,
    BodyEnd,
    BodyPart,
    Framing,
    Headers,
    RequestHead,
    ResponseHead,
)
from fulmarrudder_lab.replay.network import ReplayReactor

REQUEST_ID_HEADER = b"x-request"
CHUNK_BYTES = 16_384


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Behaviour:
    """Behaviour of a target, which stays announced as ready throughout.

    Attributes:
        delay_s: Seconds that a request takes.
        fails: Fraction of requests answered with 500.
        crash_on: Ids of requests that crash the process.
        shed_at: Requests in flight above which a request is answered with
            503; 0 for no limit.
        cold_s: Seconds of warm-up after a start, in which a request takes ten
            times `delay_s`.
    """

    delay_s: float = 0.02
    fails: float = 0.0
    crash_on: tuple[str, ...] = ()
    shed_at: int = 0
    cold_s: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Run:
    """A request that a target started.

    Attributes:
        request: Id of the request.
        node: Node whose local target ran it.
        at: Simulated time at which its body was complete.
    """

    request: str
    node: str
    at: float


class Target:
    """A target's process.

    Attributes:
        runs: Requests started, a list that all targets share.
        behaviour: Current behaviour.
    """

    def __init__(
        self, reactor: ReplayReactor, node: str, port: int, runs: list[Run]
    ):
        self.reactor = reactor
        self.node = node
        self.runs = runs
        self.behaviour = Behaviour()
        self.started = reactor.seconds()
        self.in_flight = 0
        self.rng = random.Random(node)
        factory = Factory.forProtocol(lambda: _TargetConnection(self))
        factory.noisy = False
        reactor.listenTCP(port, factory)

    def serve(
        self, connection: "_TargetConnection", request: str, size: int
    ) -> None:
        """Starts a request and schedules its answer."""
        behaviour = self.behaviour
        self.in_flight += 1
        shed = behaviour.shed_at and self.in_flight > behaviour.shed_at
        if not shed:
            now = self.reactor.seconds()
            self.runs.append(Run(request=request, node=self.node, at=now))
        if request in behaviour.crash_on:
            self.reactor.stop()
            return
        delay, status = self._delay(), 200
        if shed:
            delay, status = 0.0, 503
        elif self.rng.random() < behaviour.fails:
            status = 500
        self.reactor.callLater(
            delay, self._answer, connection, request, size, status
        )

    def _delay(self) -> float:
        cold = self.reactor.seconds() < self.started + self.behaviour.cold_s
        return self.behaviour.delay_s * (10 if cold else 1)

    def _answer(self, connection, request: str, size: int, status: int) -> None:
        self.in_flight -= 1
        body = json.dumps({"request": request, "size": size}).encode()
        head = ResponseHead(
            status=status,
            reason=b"",
            headers=Headers(),
            framing=Framing.LENGTH,
            length=len(body),
        )
        connection.transport.write(encode_response(head) + body)


class _TargetConnection(Protocol):
    """The target's side of a connection."""

    def __init__(self, target: Target):
        self.target = target
        self.decoder = RequestDecoder()
        self.request = ""
        self.size = 0

    def dataReceived(self, data):  # noqa: N802
        """Decodes requests and serves complete ones."""
        for event in self.decoder.feed(data):
            if isinstance(event, RequestHead):
                self.request = (
                    event.headers.get(REQUEST_ID_HEADER) or b""
                ).decode()
                self.size = 0
            elif isinstance(event, BodyPart):
                self.size += len(event.data)
            elif isinstance(event, BodyEnd):
                self.target.serve(self, self.request, self.size)


@dataclasses.dataclass(slots=True, kw_only=True)
class SentRequest:
    """A request that a caller sent, and its result.

    Attributes:
        name: Name of the request in its trace.
        through: Node that it was sent to.
        size: Bytes of its body.
        status: Status of the answer, 0 without one.
        ran: Whether the request ran, as reported by a refusal; else empty.
        reason: Reason of a refusal; else empty.
        request: Id of the request that the target reports in the answer.
        received_size: Body bytes that the target reports in the answer.
        complete: Whether the answer is complete.
        lost: Whether the connection ended before the answer was complete.
    """

    name: str
    through: str
    size: int = 0
    status: int = 0
    ran: str = ""
    reason: str = ""
    request: str = ""
    received_size: int = 0
    complete: bool = False
    lost: bool = False


class Caller(Protocol):
    """A caller's connection, which carries one request."""

    def __init__(
        self,
        sent: SentRequest,
        head: RequestHead,
        send_duration_s: float,
        reactor,
    ):
        self.sent = sent
        self.head = head
        self.send_duration_s = send_duration_s
        self.reactor = reactor
        self.decoder = ResponseDecoder()
        self.body = b""

    def connectionMade(self):  # noqa: N802
        """Sends the request."""
        self.transport.write(encode_request(self.head))
        chunk_count = -(-self.head.length // CHUNK_BYTES)
        for index in range(chunk_count):
            remaining = self.head.length - index * CHUNK_BYTES
            chunk = b"x" * min(CHUNK_BYTES, remaining)
            delay = self.send_duration_s * index / chunk_count
            self.reactor.callLater(delay, self.transport.write, chunk)

    def disconnect(self) -> None:
        """Aborts the connection, if there is one."""
        if self.transport is not None:
            self.transport.abortConnection()

    def dataReceived(self, data):  # noqa: N802
        """Records the answer."""
        for event in self.decoder.feed(data):
            if isinstance(event, ResponseHead):
                fields = event.headers
                self.sent.status = event.status
                self.sent.ran = (fields.get(RAN_HEADER) or b"").decode()
                self.sent.reason = (fields.get(REASON_HEADER) or b"").decode()
            elif isinstance(event, BodyPart):
                self.body += event.data
            elif isinstance(event, BodyEnd):
                self._complete()

    def _complete(self) -> None:
        self.sent.complete = True
        if not self.sent.reason:
            report = json.loads(self.body)
            self.sent.request = report["request"]
            self.sent.received_size = report["size"]
        self.transport.loseConnection()

    def connectionLost(self, reason):  # noqa: N802
        """Records whether the answer is incomplete."""
        self.sent.lost = not self.sent.complete
