"""Measures one hop between nodes as HTTP/1.1 and as websocket with CBOR.

    python bench/hop.py [--rounds 5] [--calls 1000]

First the codecs alone, by processor time; then calls over loopback to a
process that answers at once, the two protocols in turn in one run.
"""

import functools
import statistics
import subprocess
import sys
import time

import cbor2
import click
from twisted.internet import reactor
from twisted.internet.defer import Deferred, ensureDeferred
from twisted.internet.endpoints import TCP4ClientEndpoint
from twisted.internet.protocol import Factory, Protocol
from websockets.client import ClientProtocol
from websockets.frames import Opcode
from websockets.http11 import Request
from websockets.server import ServerProtocol
from websockets.uri import parse_uri

from fulmarrudder.call.codec import (
    RequestDecoder,
    ResponseDecoder,
    encode_request,
    encode_response,
)
from fulmarrudder.call.message import (
    BodyEnd,
    Framing,
    Headers,
    RequestHead,
    ResponseHead,
)
from fulmarrudder_lab.cluster import free_port, wait_for

FIELDS = (
    (b"host", b"esfera.example"),
    (b"user-agent", b"caller/1.0"),
    (b"accept", b"application/json"),
    (b"traceparent", b"00-" + b"a" * 32 + b"-" + b"b" * 16 + b"-01"),
    (b"fulmarrudder-peer", b"t" * 32),
    (b"fulmarrudder-time-left-ms", b"9999"),
    (b"fulmarrudder-target", b"caja/1"),
    (b"fulmarrudder-route", b"caja-reads"),
    (b"fulmarrudder-fingerprint", b"f" * 24),
)
BODY = b"x" * 160
REQUEST = RequestHead(
    method=b"GET", target=b"/quotes/1", headers=Headers(FIELDS)
)
RESPONSE = ResponseHead(
    status=200,
    reason=b"OK",
    headers=Headers(((b"content-type", b"application/json"),)),
    framing=Framing.LENGTH,
    length=len(BODY),
)
REQUEST_FRAME = {"m": b"GET", "t": b"/quotes/1", "h": FIELDS}
RESPONSE_FRAME = {"s": 200, "h": RESPONSE.headers.fields, "b": BODY}
URI = parse_uri("ws://127.0.0.1/hop")
WARM_CALLS = 200


class HttpServer(Protocol):
    """Answers HTTP requests at once."""

    def connectionMade(self):  # noqa: N802
        """Sends small writes at once."""
        self.transport.setTcpNoDelay(True)
        self.decoder = RequestDecoder()

    def dataReceived(self, data):  # noqa: N802
        """Answers."""
        for event in self.decoder.feed(data):
            if isinstance(event, BodyEnd):
                self.transport.write(encode_response(RESPONSE) + BODY)


class SocketServer(Protocol):
    """Answers websocket messages at once."""

    def connectionMade(self):  # noqa: N802
        """Sends small writes at once."""
        self.transport.setTcpNoDelay(True)
        self.socket = ServerProtocol()

    def dataReceived(self, data):  # noqa: N802
        """Answers."""
        self.socket.receive_data(data)
        for event in self.socket.events_received():
            if isinstance(event, Request):
                self.socket.send_response(self.socket.accept(event))
            elif event.opcode is Opcode.BINARY:
                cbor2.loads(event.data)
                self.socket.send_binary(cbor2.dumps(RESPONSE_FRAME))
        for part in self.socket.data_to_send():
            self.transport.write(part)


class HttpClient(Protocol):
    """Calls over HTTP, one call after another."""

    def connectionMade(self):  # noqa: N802
        """Sends small writes at once."""
        self.transport.setTcpNoDelay(True)
        self.decoder = ResponseDecoder()
        self.waiting: Deferred | None = None

    def call(self) -> Deferred:
        """Makes a call."""
        self.waiting = Deferred()
        self.transport.write(encode_request(REQUEST))
        return self.waiting

    def dataReceived(self, data):  # noqa: N802
        """Takes an answer."""
        for event in self.decoder.feed(data):
            if isinstance(event, BodyEnd):
                self.waiting.callback(None)


class SocketClient(Protocol):
    """Calls over a websocket, one call after another."""

    def connectionMade(self):  # noqa: N802
        """Starts the handshake."""
        self.transport.setTcpNoDelay(True)
        self.socket = ClientProtocol(URI)
        self.socket.send_request(self.socket.connect())
        self.waiting: Deferred | None = None
        self.early = False
        self._flush()

    def call(self) -> Deferred:
        """Makes a call."""
        self.waiting = Deferred()
        self.socket.send_binary(cbor2.dumps(REQUEST_FRAME))
        self._flush()
        return self.waiting

    def _flush(self) -> None:
        for part in self.socket.data_to_send():
            self.transport.write(part)

    def dataReceived(self, data):  # noqa: N802
        """Takes an answer."""
        self.socket.receive_data(data)
        for event in self.socket.events_received():
            if getattr(event, "opcode", None) is Opcode.BINARY:
                cbor2.loads(event.data)
                self.waiting.callback(None)


def codec_http() -> None:
    """Encodes and decodes one call as HTTP."""
    RequestDecoder().feed(encode_request(REQUEST))
    ResponseDecoder().feed(encode_response(RESPONSE) + BODY)


def opened() -> tuple[ClientProtocol, ServerProtocol]:
    """Returns the two sides of an open websocket."""
    client, server = ClientProtocol(URI), ServerProtocol()
    client.send_request(client.connect())
    server.receive_data(b"".join(client.data_to_send()))
    server.send_response(server.accept(server.events_received()[0]))
    client.receive_data(b"".join(server.data_to_send()))
    client.events_received()
    return client, server


def codec_socket(client: ClientProtocol, server: ServerProtocol) -> None:
    """Encodes and decodes one call as websocket frames with CBOR."""
    ways = ((client, server, REQUEST_FRAME), (server, client, RESPONSE_FRAME))
    for sender, taker, frame in ways:
        sender.send_binary(cbor2.dumps(frame))
        taker.receive_data(b"".join(sender.data_to_send()))
        cbor2.loads(taker.events_received()[0].data)


def cpu_us(call, count: int = 3000) -> float:
    """Returns the least processor time of a call in microseconds."""
    best = float("inf")
    for _ in range(5):
        began = time.process_time()
        for _ in range(count):
            call()
        best = min(best, (time.process_time() - began) / count)
    return best * 1e6


def serve(ports: tuple[int, int]) -> None:
    """Serves both protocols."""
    for port, protocol in zip(ports, (HttpServer, SocketServer), strict=True):
        reactor.listenTCP(port, Factory.forProtocol(protocol))
    reactor.run()


async def connect(port: int, protocol):
    """Connects to the serving process."""
    endpoint = TCP4ClientEndpoint(reactor, "127.0.0.1", port)
    return await endpoint.connect(Factory.forProtocol(protocol))


async def play(client, calls: int) -> list[float]:
    """Returns the milliseconds of calls made one after another."""
    took = []
    for _ in range(calls):
        began = time.perf_counter()
        await client.call()
        took.append((time.perf_counter() - began) * 1000)
    return sorted(took)


async def measure(ports, rounds: int, calls: int) -> None:
    """Plays the rounds and prints their medians."""
    clients = {
        "http": await connect(ports[0], HttpClient),
        "websocket": await connect(ports[1], SocketClient),
    }
    opening: Deferred = Deferred()
    reactor.callLater(0.2, opening.callback, None)
    await opening
    found = {name: [] for name in clients}
    for client in clients.values():
        await play(client, WARM_CALLS)
    for _ in range(rounds):
        for name, client in clients.items():
            took = await play(client, calls)
            found[name].append((took[len(took) // 2], took[-len(took) // 100]))
    for name, rows in found.items():
        p50, p99 = (statistics.median(c) for c in zip(*rows, strict=True))
        print(f"{name} over loopback: p50 {p50:.3f} ms, p99 {p99:.3f} ms")


@click.command()
@click.option("--rounds", type=int, default=5)
@click.option("--calls", type=int, default=1000)
@click.option("--ports", nargs=2, type=int, default=None)
def main(rounds: int, calls: int, ports) -> None:
    """Measures both protocols."""
    if ports is not None:
        serve(ports)
        return
    print(f"http codec: {cpu_us(codec_http):.1f} us a call")
    pair = opened()
    both = functools.partial(codec_socket, *pair)
    print(f"websocket and CBOR codec: {cpu_us(both):.1f} us a call")
    ports = (free_port(), free_port())
    command = [sys.executable, __file__, "--ports", *map(str, ports)]
    server = subprocess.Popen(command)
    try:
        wait_for("the server", lambda: _listens(ports[1]))
        running = ensureDeferred(measure(ports, rounds, calls))
        running.addErrback(lambda failure: failure.printTraceback())
        running.addBoth(lambda _: reactor.stop())
        reactor.run()
    finally:
        server.kill()
        server.wait()


def _listens(port: int) -> bool:
    import socket

    with socket.create_connection(("127.0.0.1", port), timeout=1):
        return True


if __name__ == "__main__":
    main()
