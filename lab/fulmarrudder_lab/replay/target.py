"""Targets and callers of a replay, on the real codec."""

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
from fulmarrudder_lab.replay.network import Seat

ID_FIELD = b"x-request"
PIECE_BYTES = 16_384


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Behaviour:
    """How a target behaves; it announces itself as ready all the while.

    Attributes:
        delay_s: Time that a request takes.
        fails: Share of requests answered with 500.
        crash_on: Request ids that end the process while they run.
        shed_at: Requests under way from which on others get 503; 0 for none.
        cold_s: Time after which a started target answers in `delay_s`;
            before, it takes ten times as long.
    """

    delay_s: float = 0.02
    fails: float = 0.0
    crash_on: tuple[str, ...] = ()
    shed_at: int = 0
    cold_s: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Run:
    """A request that a target began.

    Attributes:
        request: Id of the request.
        node: Node that the target stands beside.
        at: When its body was whole.
    """

    request: str
    node: str
    at: float


class Target:
    """A target's process.

    Attributes:
        runs: Requests that it began, those of all targets together.
        behaviour: How it behaves.
    """

    def __init__(self, seat: Seat, node: str, port: int, runs: list[Run]):
        self.seat = seat
        self.node = node
        self.runs = runs
        self.behaviour = Behaviour()
        self.started = seat.seconds()
        self.running = 0
        self.rng = random.Random(node)
        factory = Factory.forProtocol(lambda: _Serving(self))
        factory.noisy = False
        seat.listenTCP(port, factory)

    def serve(self, connection: "_Serving", request: str, size: int) -> None:
        """Runs a request."""
        behaviour = self.behaviour
        self.running += 1
        shed = behaviour.shed_at and self.running > behaviour.shed_at
        if not shed:
            now = self.seat.seconds()
            self.runs.append(Run(request=request, node=self.node, at=now))
        if request in behaviour.crash_on:
            self.seat.stop()
            return
        delay, status = self._delay(), 200
        if shed:
            delay, status = 0.0, 503
        elif self.rng.random() < behaviour.fails:
            status = 500
        self.seat.callLater(
            delay, self._answer, connection, request, size, status
        )

    def _delay(self) -> float:
        cold = self.seat.seconds() < self.started + self.behaviour.cold_s
        return self.behaviour.delay_s * (10 if cold else 1)

    def _answer(self, connection, request: str, size: int, status: int) -> None:
        self.running -= 1
        body = json.dumps({"request": request, "size": size}).encode()
        head = ResponseHead(
            status=status,
            reason=b"",
            headers=Headers(),
            framing=Framing.LENGTH,
            length=len(body),
        )
        connection.transport.write(encode_response(head) + body)


class _Serving(Protocol):
    """A connection to a target."""

    def __init__(self, target: Target):
        self.target = target
        self.decoder = RequestDecoder()
        self.request = ""
        self.size = 0

    def dataReceived(self, data):  # noqa: N802
        """Serves what came."""
        for event in self.decoder.feed(data):
            if isinstance(event, RequestHead):
                self.request = (event.headers.get(ID_FIELD) or b"").decode()
                self.size = 0
            elif isinstance(event, BodyPart):
                self.size += len(event.data)
            elif isinstance(event, BodyEnd):
                self.target.serve(self, self.request, self.size)


@dataclasses.dataclass(slots=True, kw_only=True)
class Sent:
    """A request that a caller sent, and what became of it.

    Attributes:
        name: Name of the request in its trace.
        through: Node that it was sent to.
        size: Bytes of its body.
        status: Status of the answer, 0 while there is none.
        ran: What the answer says of the run, if it is a refusal.
        reason: Why it was refused, if it was.
        request: Id of the request that the answer tells of.
        told_size: Bytes of the body that the answer tells of.
        whole: Whether the answer came whole.
        lost: Whether the connection ended before.
    """

    name: str
    through: str
    size: int = 0
    status: int = 0
    ran: str = ""
    reason: str = ""
    request: str = ""
    told_size: int = 0
    whole: bool = False
    lost: bool = False


class Caller(Protocol):
    """A caller's connection, which carries one request."""

    def __init__(self, sent: Sent, head: RequestHead, over_s: float, seat):
        self.sent = sent
        self.head = head
        self.over_s = over_s
        self.seat = seat
        self.decoder = ResponseDecoder()
        self.body = b""

    def connectionMade(self):  # noqa: N802
        """Sends the request."""
        self.transport.write(encode_request(self.head))
        pieces = -(-self.head.length // PIECE_BYTES)
        for index in range(pieces):
            left = self.head.length - index * PIECE_BYTES
            piece = b"x" * min(PIECE_BYTES, left)
            delay = self.over_s * index / pieces
            self.seat.callLater(delay, self.transport.write, piece)

    def give_up(self) -> None:
        """Hangs up, if there is a connection."""
        if self.transport is not None:
            self.transport.abortConnection()

    def dataReceived(self, data):  # noqa: N802
        """Notes the answer."""
        for event in self.decoder.feed(data):
            if isinstance(event, ResponseHead):
                fields = event.headers
                self.sent.status = event.status
                self.sent.ran = (fields.get(RAN_HEADER) or b"").decode()
                self.sent.reason = (fields.get(REASON_HEADER) or b"").decode()
            elif isinstance(event, BodyPart):
                self.body += event.data
            elif isinstance(event, BodyEnd):
                self._whole()

    def _whole(self) -> None:
        self.sent.whole = True
        if not self.sent.reason:
            told = json.loads(self.body)
            self.sent.request = told["request"]
            self.sent.told_size = told["size"]
        self.transport.loseConnection()

    def connectionLost(self, reason):  # noqa: N802
        """Notes an answer that will not come."""
        self.sent.lost = not self.sent.whole
