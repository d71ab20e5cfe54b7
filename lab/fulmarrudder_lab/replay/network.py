"""The network between replayed processes, and what each sees as its reactor.

A connection across a cut holds its bytes back until the cut heals, as TCP's
retransmission does; one that is dialled across a cut times out.
"""

import collections
import time

from twisted.internet.defer import succeed
from twisted.internet.error import (
    ConnectionDone,
    ConnectionLost,
    ConnectionRefusedError,
    TimeoutError,
)
from twisted.python.failure import Failure

from fulmarrudder_lab.replay.clock import ReplayClock

WINDOW_BYTES = 65_536
NEAR_S = 0.0002


class Network:
    """Carries bytes among seats.

    Attributes:
        clock: Time of the replay.
        far_s: Latency between data centres.
        cuts: Pairs of places that do not hear each other.
        listening: Ports by address.
        places: Data centre of each host.
    """

    def __init__(self, clock: ReplayClock, far_s: float):
        self.clock = clock
        self.far_s = far_s
        self.cuts: set[frozenset[str]] = set()
        self.listening: dict[tuple[str, int], Port] = {}
        self.places: dict[str, str] = {}
        self.stalled: list = []

    def is_cut(self, one: str, other: str) -> bool:
        """Tells whether two places do not hear each other."""
        return frozenset({one, other}) in self.cuts

    def carry(self, source: str, target: str, call, *args) -> None:
        """Calls after the way from one place to another."""
        if self.is_cut(source, target):
            self.stalled.append((source, target, call, args))
            return
        latency = NEAR_S if source == target else self.far_s
        self.clock.callLater(latency, call, *args)

    def heal(self) -> None:
        """Ends all cuts and carries what they held back."""
        self.cuts.clear()
        stalled, self.stalled = self.stalled, []
        for source, target, call, args in stalled:
            self.carry(source, target, call, *args)


class Port:
    """A port that a seat listens on."""

    def __init__(self, seat: "Seat", address: tuple[str, int], factory):
        self.seat = seat
        self.address = address
        self.factory = factory

    def stopListening(self):  # noqa: N802
        """Stops listening."""
        listening = self.seat.network.listening
        if listening.get(self.address) is self:
            del listening[self.address]
        return succeed(None)


class Seat:
    """What one process sees as its reactor.

    Attributes:
        host: Its address.
        place: Its data centre.
        dead: Whether the process has ended.
        frozen: Whether it is paused.
        spent_s: Processor time of its calls.
        sent_bytes: Bytes that it has sent.
    """

    def __init__(self, network: Network, host: str, place: str):
        self.network = network
        self.host = host
        self.place = place
        self.dead = False
        self.frozen = False
        self.spent_s = 0.0
        self.sent_bytes = 0
        self.held: collections.deque = collections.deque()
        self.ends: set[End] = set()
        network.places[host] = place

    def seconds(self) -> float:
        """Returns the time."""
        return self.network.clock.seconds()

    def callLater(self, delay: float, call, *args, **kw):  # noqa: N802
        """Calls later, unless the process has ended by then."""
        return self.network.clock.callLater(delay, self.run, call, args, kw)

    def run(self, call, args=(), kw=None) -> None:
        """Runs a call of this process, or keeps it while it is paused."""
        if self.dead:
            return
        if self.frozen:
            self.held.append((call, args, kw))
            return
        began = time.process_time()
        call(*args, **(kw or {}))
        self.spent_s += time.process_time() - began

    def wake(self) -> None:
        """Ends a pause and runs what it kept."""
        self.frozen = False
        while self.held and not self.frozen:
            self.run(*self.held.popleft())

    def stop(self) -> None:
        """Ends the process; its system closes its connections."""
        self.dead = True
        for port in tuple(self.network.listening.values()):
            if port.seat is self:
                port.stopListening()
        for end in tuple(self.ends):
            end.drop()

    def listenTCP(self, port, factory, interface="", backlog=50):  # noqa: N802
        """Listens on a port."""
        address = (self.host, port)
        made = Port(self, address, factory)
        self.network.listening[address] = made
        return made

    def connectTCP(  # noqa: N802
        self,
        host,
        port,
        factory,
        timeout=30,
        bindAddress=None,  # noqa: N803
    ):
        """Opens a connection."""
        return Dial(self, (host, port), factory, timeout)


class Dial:
    """An attempt to open a connection."""

    def __init__(self, seat: Seat, address, factory, timeout: float):
        self.seat = seat
        self.factory = factory
        self.address = address
        self.over = False
        factory.startedConnecting(self)
        self.timer = seat.callLater(timeout, self._fail, TimeoutError())
        place = seat.network.places[address[0]]
        seat.network.carry(seat.place, place, self._arrive)

    def stopConnecting(self) -> None:  # noqa: N802
        """Gives the attempt up."""
        self._fail(ConnectionLost())

    def _arrive(self) -> None:
        if self.over:
            return
        network = self.seat.network
        port = network.listening.get(self.address)
        place = network.places[self.address[0]]
        if port is None:
            network.carry(
                place, self.seat.place, self._fail, ConnectionRefusedError()
            )
            return
        far = End(port.seat)
        near = End(self.seat)
        far.other, near.other = near, far
        port.seat.run(far.open, (port.factory,))
        network.carry(place, self.seat.place, self._connect, near)

    def _connect(self, near: "End") -> None:
        if self.over:
            near.other.drop()
            return
        self.over = True
        # A seat that is frozen runs its timers once it wakes, so that one may
        # have fired and not been told yet.
        if self.timer.active():
            self.timer.cancel()
        self.seat.run(near.open, (self.factory,))

    def _fail(self, error: Exception) -> None:
        if self.over:
            return
        self.over = True
        if self.timer.active():
            self.timer.cancel()
        self.seat.run(
            self.factory.clientConnectionFailed, (self, Failure(error))
        )


class End:
    """One end of a connection: the transport of its protocol.

    Attributes:
        seat: The process that it belongs to.
        arrived: What has come and was not read yet.
    """

    disconnecting = False

    def __init__(self, seat: Seat):
        self.seat = seat
        self.other: End | None = None
        self.protocol = None
        self.arrived: collections.deque = collections.deque()
        self.paused = False
        self.connected = True
        self.producer = None
        self.unread = 0
        seat.ends.add(self)

    def open(self, factory) -> None:
        """Gives the connection a protocol."""
        self.protocol = factory.buildProtocol(None)
        self.protocol.makeConnection(self)
        self._read()

    def setTcpNoDelay(self, on) -> None:  # noqa: N802
        """Does nothing; nothing is delayed here."""

    def write(self, data: bytes) -> None:
        """Sends bytes."""
        if not self.connected or self.disconnecting or not data:
            return
        self.seat.sent_bytes += len(data)
        self.other.unread += len(data)
        self._carry(self.other.take, bytes(data))
        if self.other.unread > WINDOW_BYTES and self.producer is not None:
            self.producer.pauseProducing()

    def _carry(self, call, *args) -> None:
        network = self.seat.network
        network.carry(self.seat.place, self.other.seat.place, call, *args)

    def take(self, data: bytes | None) -> None:
        """Takes bytes from the network, or None for the end."""
        self.arrived.append(data)
        self.seat.run(self._read)

    def _read(self) -> None:
        while self.arrived and not self.paused and self.connected:
            if self.protocol is None:
                return
            data = self.arrived.popleft()
            if data is None:
                self._lost(ConnectionDone())
                return
            self.unread -= len(data)
            self.protocol.dataReceived(data)
            if self.unread <= WINDOW_BYTES:
                self.other.may_send()

    def may_send(self) -> None:
        """Learns that the other end has room again."""
        if self.producer is not None and self.connected:
            self.seat.run(self._resume_producer)

    def _resume_producer(self) -> None:
        if self.producer is not None:
            self.producer.resumeProducing()

    def registerProducer(self, producer, streaming) -> None:  # noqa: N802
        """Takes what to pause while the other end has no room."""
        self.producer = producer

    def unregisterProducer(self) -> None:  # noqa: N802
        """Forgets the producer."""
        self.producer = None

    def pauseProducing(self) -> None:  # noqa: N802
        """Stops reading."""
        self.paused = True

    def resumeProducing(self) -> None:  # noqa: N802
        """Reads again."""
        if self.paused:
            self.paused = False
            self.seat.callLater(0, self._read)

    def loseConnection(self) -> None:  # noqa: N802
        """Closes the connection after what was written."""
        if not self.connected or self.disconnecting:
            return
        self.disconnecting = True
        self._carry(self.other.take, None)
        self.seat.callLater(0, self._lost, ConnectionDone())

    def abortConnection(self) -> None:  # noqa: N802
        """Closes the connection at once."""
        if not self.connected:
            return
        self.disconnecting = True
        self._carry(self.other.reset)
        self.seat.callLater(0, self._lost, ConnectionLost())

    def drop(self) -> None:
        """Closes the connection of a process that has ended."""
        if self.connected:
            self.connected = False
            self._carry(self.other.reset)

    def reset(self) -> None:
        """Learns that the other end is gone."""
        self.seat.run(self._lost, (ConnectionLost(),))

    def _lost(self, error: Exception) -> None:
        if not self.connected:
            return
        self.connected = False
        self.seat.ends.discard(self)
        if self.protocol is not None:
            self.protocol.connectionLost(Failure(error))
