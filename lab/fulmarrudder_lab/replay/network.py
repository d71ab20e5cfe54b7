"""Simulated network, and the reactor through which a process uses it.

Bytes sent across a partition are delivered once it heals, as TCP retransmits
them; a connection attempt across a partition times out.
"""

import collections
import time

from twisted.internet.base import DelayedCall
from twisted.internet.defer import succeed
from twisted.internet.error import (
    ConnectionDone,
    ConnectionLost,
    ConnectionRefusedError,
    TimeoutError,
)
from twisted.python.failure import Failure

from fulmarrudder_lab.replay.clock import ReplayClock

RECEIVE_WINDOW_BYTES = 65_536
LOCAL_LATENCY_S = 0.0002


class Network:
    """Delivers bytes between simulated processes.

    Attributes:
        clock: The simulated clock.
        remote_latency_s: One-way latency between locations, in seconds.
        partitions: Pairs of locations that cannot reach each other.
        listening: Listening ports by address.
        locations: Location of each host: a data centre, or `callers`.
        undelivered: Calls that wait for partitions to heal.
    """

    def __init__(self, clock: ReplayClock, remote_latency_s: float):
        self.clock = clock
        self.remote_latency_s = remote_latency_s
        self.partitions: set[frozenset[str]] = set()
        self.listening: dict[tuple[str, int], ListeningPort] = {}
        self.locations: dict[str, str] = {}
        self.undelivered: list = []

    def is_partitioned(self, first: str, second: str) -> bool:
        """Returns whether two locations are partitioned from each other."""
        return frozenset({first, second}) in self.partitions

    def deliver(self, source: str, target: str, call, *args) -> None:
        """Schedules a call after the latency between two locations."""
        if self.is_partitioned(source, target):
            self.undelivered.append((source, target, call, args))
            return
        latency = LOCAL_LATENCY_S if source == target else self.remote_latency_s
        self.clock.callLater(latency, call, *args)

    def heal(self) -> None:
        """Ends all partitions and delivers the calls that waited."""
        self.partitions.clear()
        undelivered, self.undelivered = self.undelivered, []
        for source, target, call, args in undelivered:
            self.deliver(source, target, call, *args)


class ListeningPort:
    """A port that a process listens on."""

    def __init__(
        self, reactor: "ReplayReactor", address: tuple[str, int], factory
    ):
        self.reactor = reactor
        self.address = address
        self.factory = factory

    def stopListening(self):  # noqa: N802
        """Stops listening."""
        listening = self.reactor.network.listening
        if listening.get(self.address) is self:
            del listening[self.address]
        return succeed(None)


class ReplayReactor:
    """The reactor of one simulated process.

    Attributes:
        host: The process's address.
        location: The process's location.
        exited: Whether the process has ended.
        frozen: Whether the process is paused.
        cpu_s: CPU time of the process's calls, in seconds.
        sent_bytes: Bytes that the process has sent.
    """

    def __init__(self, network: Network, host: str, location: str):
        self.network = network
        self.host = host
        self.location = location
        self.exited = False
        self.frozen = False
        self.cpu_s = 0.0
        self.sent_bytes = 0
        self.pending_calls: collections.deque = collections.deque()
        self.transports: set[Transport] = set()
        network.locations[host] = location

    def seconds(self) -> float:
        """Returns the time."""
        return self.network.clock.seconds()

    def callLater(self, delay: float, call, *args, **kw):  # noqa: N802
        """Schedules a call; it is dropped if the process ends first."""
        timer = self.network.clock.callLater(delay, self._expire)
        timer.args = (timer, call, args, kw)
        return timer

    def _expire(self, timer: DelayedCall, call, args, kw) -> None:
        if not self.frozen and not self.exited:
            self.run(call, args, kw)
            return
        # It is not called in a process that has ended; in a paused one, what is
        # queued before it can still cancel it.
        timer.called = 0
        if self.exited:
            return
        self.pending_calls.append(
            (self._run_timer, (timer, call, args, kw), None)
        )

    def _run_timer(self, timer: DelayedCall, call, args, kw) -> None:
        if not timer.cancelled:
            timer.called = 1
            call(*args, **kw)

    def run(self, call, args=(), kw=None) -> None:
        """Runs a call, or queues it while the process is paused."""
        if self.exited:
            return
        if self.frozen:
            self.pending_calls.append((call, args, kw))
            return
        began = time.process_time()
        call(*args, **(kw or {}))
        self.cpu_s += time.process_time() - began

    def wake(self) -> None:
        """Resumes the process and runs its queued calls."""
        self.frozen = False
        while self.pending_calls and not self.frozen:
            self.run(*self.pending_calls.popleft())

    def stop(self) -> None:
        """Ends the process; its ports and connections are closed."""
        self.exited = True
        for port in tuple(self.network.listening.values()):
            if port.reactor is self:
                port.stopListening()
        for transport in tuple(self.transports):
            transport.drop()

    def listenTCP(self, port, factory, interface="", backlog=50):  # noqa: N802
        """Listens on a port."""
        address = (self.host, port)
        listening_port = ListeningPort(self, address, factory)
        self.network.listening[address] = listening_port
        return listening_port

    def connectTCP(  # noqa: N802
        self,
        host,
        port,
        factory,
        timeout=30,
        bindAddress=None,  # noqa: N803
    ):
        """Opens a connection."""
        return Connector(self, (host, port), factory, timeout)


class Connector:
    """An attempt to open a connection."""

    def __init__(
        self, reactor: ReplayReactor, address, factory, timeout: float
    ):
        self.reactor = reactor
        self.factory = factory
        self.address = address
        self.finished = False
        factory.startedConnecting(self)
        self.timer = reactor.callLater(timeout, self._fail, TimeoutError())
        location = reactor.network.locations[address[0]]
        reactor.network.deliver(reactor.location, location, self._reach_host)

    def stopConnecting(self) -> None:  # noqa: N802
        """Aborts the attempt."""
        self._fail(ConnectionLost())

    def _reach_host(self) -> None:
        if self.finished:
            return
        network = self.reactor.network
        port = network.listening.get(self.address)
        location = network.locations[self.address[0]]
        if port is None:
            network.deliver(
                location,
                self.reactor.location,
                self._fail,
                ConnectionRefusedError(),
            )
            return
        remote = Transport(port.reactor)
        local = Transport(self.reactor)
        remote.peer, local.peer = local, remote
        port.reactor.run(remote.open, (port.factory,))
        network.deliver(location, self.reactor.location, self._complete, local)

    def _complete(self, local: "Transport") -> None:
        if self.finished:
            local.peer.drop()
            return
        self.finished = True
        # A frozen process queues its calls: the timer may have fired although
        # `_fail` has not run yet.
        if self.timer.active():
            self.timer.cancel()
        self.reactor.run(local.open, (self.factory,))

    def _fail(self, error: Exception) -> None:
        if self.finished:
            return
        self.finished = True
        if self.timer.active():
            self.timer.cancel()
        self.reactor.run(
            self.factory.clientConnectionFailed, (self, Failure(error))
        )


class Transport:
    """One end of a connection: the transport of its protocol.

    Attributes:
        reactor: The reactor of its process.
        receive_queue: Received data that is not read yet; None marks the end.
        unread_bytes: Bytes sent by the peer that are not read yet.
    """

    disconnecting = False

    def __init__(self, reactor: ReplayReactor):
        self.reactor = reactor
        self.peer: Transport | None = None
        self.protocol = None
        self.receive_queue: collections.deque = collections.deque()
        self.paused = False
        self.connected = True
        self.producer = None
        self.unread_bytes = 0
        reactor.transports.add(self)

    def open(self, factory) -> None:
        """Builds the protocol and starts reading."""
        self.protocol = factory.buildProtocol(None)
        self.protocol.makeConnection(self)
        self._read()

    def setTcpNoDelay(self, on) -> None:  # noqa: N802
        """Does nothing: writes are never delayed."""

    def write(self, data: bytes) -> None:
        """Sends bytes."""
        if not self.connected or self.disconnecting or not data:
            return
        self.reactor.sent_bytes += len(data)
        self.peer.unread_bytes += len(data)
        self._send(self.peer.receive, bytes(data))
        if (
            self.peer.unread_bytes > RECEIVE_WINDOW_BYTES
            and self.producer is not None
        ):
            self.producer.pauseProducing()

    def _send(self, call, *args) -> None:
        network = self.reactor.network
        network.deliver(
            self.reactor.location, self.peer.reactor.location, call, *args
        )

    def receive(self, data: bytes | None) -> None:
        """Receives bytes from the network, or None for the end."""
        self.receive_queue.append(data)
        self.reactor.run(self._read)

    def _read(self) -> None:
        while self.receive_queue and not self.paused and self.connected:
            if self.protocol is None:
                return
            data = self.receive_queue.popleft()
            if data is None:
                self._close(ConnectionDone())
                return
            self.unread_bytes -= len(data)
            self.protocol.dataReceived(data)
            if self.unread_bytes <= RECEIVE_WINDOW_BYTES:
                self.peer.notify_writable()

    def notify_writable(self) -> None:
        """Resumes the producer, as the peer can receive again."""
        if self.producer is not None and self.connected:
            self.reactor.run(self._resume_producer)

    def _resume_producer(self) -> None:
        if self.producer is not None:
            self.producer.resumeProducing()

    def registerProducer(self, producer, streaming) -> None:  # noqa: N802
        """Sets the producer to pause while the peer's window is full."""
        self.producer = producer

    def unregisterProducer(self) -> None:  # noqa: N802
        """Removes the producer."""
        self.producer = None

    def pauseProducing(self) -> None:  # noqa: N802
        """Stops reading."""
        self.paused = True

    def resumeProducing(self) -> None:  # noqa: N802
        """Resumes reading."""
        if self.paused:
            self.paused = False
            self.reactor.callLater(0, self._read)

    def loseConnection(self) -> None:  # noqa: N802
        """Closes the connection after the bytes written so far."""
        if not self.connected or self.disconnecting:
            return
        self.disconnecting = True
        self._send(self.peer.receive, None)
        self.reactor.callLater(0, self._close, ConnectionDone())

    def abortConnection(self) -> None:  # noqa: N802
        """Resets the connection."""
        if not self.connected:
            return
        self.disconnecting = True
        self._send(self.peer.reset)
        self.reactor.callLater(0, self._close, ConnectionLost())

    def drop(self) -> None:
        """Resets the connection without notifying the local protocol."""
        if self.connected:
            self.connected = False
            self._send(self.peer.reset)

    def reset(self) -> None:
        """Closes the connection because the peer has reset it."""
        self.reactor.run(self._close, (ConnectionLost(),))

    def _close(self, error: Exception) -> None:
        if not self.connected:
            return
        self.connected = False
        self.reactor.transports.discard(self)
        if self.protocol is not None:
            self.protocol.connectionLost(Failure(error))
