"""Measures one hop between nodes over HTTP/1.1 and WebSocket with CBOR.

    python bench/hop.py [--rounds 5] [--calls 1000]

First the CPU time of the codecs alone; then calls over loopback to a process
that answers immediately, with the two protocols in turn in one run.
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

HEADER_FIELDS = (
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
    method=b"GET", target=b"/quotes/1", headers=Headers(HEADER_FIELDS)
)
RESPONSE = ResponseHead(
    status=200,
    reason=b"OK",
    headers=Headers(((b"content-type", b"application/json"),)),
    framing=Framing.LENGTH,
    length=len(BODY),
)
REQUEST_FRAME = {"m": b"GET", "t": b"/quotes/1", "h": HEADER_FIELDS}
RESPONSE_FRAME = {"s": 200, "h": RESPONSE.headers.fields, "b": BODY}
URI = parse_uri("ws://127.0.0.1/hop")
WARMUP_CALLS = 200


class HttpServer(Protocol):
    """Answers HTTP requests immediately."""

    def connectionMade(self):  # noqa: N802
        """Disables Nagle's algorithm."""
        self.transport.setTcpNoDelay(True)
        self.decoder = RequestDecoder()

    def dataReceived(self, data):  # noqa: N802
        """Answers complete requests."""
        for event in self.decoder.feed(data):
            if isinstance(event, BodyEnd):
                self.transport.write(encode_response(RESPONSE) + BODY)


class WebSocketServer(Protocol):
    """Answers WebSocket messages immediately."""

    def connectionMade(self):  # noqa: N802
        """Disables Nagle's algorithm."""
        self.transport.setTcpNoDelay(True)
        self.websocket = ServerProtocol()

    def dataReceived(self, data):  # noqa: N802
        """Answers complete requests."""
        self.websocket.receive_data(data)
        for event in self.websocket.events_received():
            if isinstance(event, Request):
                self.websocket.send_response(self.websocket.accept(event))
            elif event.opcode is Opcode.BINARY:
                cbor2.loads(event.data)
                self.websocket.send_binary(cbor2.dumps(RESPONSE_FRAME))
        for part in self.websocket.data_to_send():
            self.transport.write(part)


class HttpClient(Protocol):
    """Calls over HTTP, one call after another."""

    def connectionMade(self):  # noqa: N802
        """Disables Nagle's algorithm."""
        self.transport.setTcpNoDelay(True)
        self.decoder = ResponseDecoder()
        self.pending_answer: Deferred | None = None

    def call(self) -> Deferred:
        """Sends a call; the deferred fires when it is answered."""
        self.pending_answer = Deferred()
        self.transport.write(encode_request(REQUEST))
        return self.pending_answer

    def dataReceived(self, data):  # noqa: N802
        """Completes the pending call."""
        for event in self.decoder.feed(data):
            if isinstance(event, BodyEnd):
                self.pending_answer.callback(None)


class WebSocketClient(Protocol):
    """Calls over a WebSocket, one call after another."""

    def connectionMade(self):  # noqa: N802
        """Starts the handshake."""
        self.transport.setTcpNoDelay(True)
        self.websocket = ClientProtocol(URI)
        self.websocket.send_request(self.websocket.connect())
        self.pending_answer: Deferred | None = None
        self.early = False
        self._flush()

    def call(self) -> Deferred:
        """Sends a call; the deferred fires when it is answered."""
        self.pending_answer = Deferred()
        self.websocket.send_binary(cbor2.dumps(REQUEST_FRAME))
        self._flush()
        return self.pending_answer

    def _flush(self) -> None:
        for part in self.websocket.data_to_send():
            self.transport.write(part)

    def dataReceived(self, data):  # noqa: N802
        """Completes the pending call."""
        self.websocket.receive_data(data)
        for event in self.websocket.events_received():
            if getattr(event, "opcode", None) is Opcode.BINARY:
                cbor2.loads(event.data)
                self.pending_answer.callback(None)


def run_http_codec() -> None:
    """Encodes and decodes one call as HTTP."""
    RequestDecoder().feed(encode_request(REQUEST))
    ResponseDecoder().feed(encode_response(RESPONSE) + BODY)


def open_websocket() -> tuple[ClientProtocol, ServerProtocol]:
    """Returns the two sides of an open WebSocket."""
    client, server = ClientProtocol(URI), ServerProtocol()
    client.send_request(client.connect())
    server.receive_data(b"".join(client.data_to_send()))
    server.send_response(server.accept(server.events_received()[0]))
    client.receive_data(b"".join(server.data_to_send()))
    client.events_received()
    return client, server


def run_websocket_codec(client: ClientProtocol, server: ServerProtocol) -> None:
    """Encodes and decodes one call as WebSocket frames with CBOR."""
    directions = (
        (client, server, REQUEST_FRAME),
        (server, client, RESPONSE_FRAME),
    )
    for sender, receiver, frame in directions:
        sender.send_binary(cbor2.dumps(frame))
        receiver.receive_data(b"".join(sender.data_to_send()))
        cbor2.loads(receiver.events_received()[0].data)


def cpu_us(call, count: int = 3000) -> float:
    """Returns the minimum CPU time of a call, in microseconds."""
    best = float("inf")
    for _ in range(5):
        began = time.process_time()
        for _ in range(count):
            call()
        best = min(best, (time.process_time() - began) / count)
    return best * 1e6


def serve(ports: tuple[int, int]) -> None:
    """Serves both protocols."""
    for port, protocol in zip(
        ports, (HttpServer, WebSocketServer), strict=True
    ):
        reactor.listenTCP(port, Factory.forProtocol(protocol))
    reactor.run()


async def connect(port: int, protocol):
    """Connects to the server process."""
    endpoint = TCP4ClientEndpoint(reactor, "127.0.0.1", port)
    return await endpoint.connect(Factory.forProtocol(protocol))


async def time_calls(client, calls: int) -> list[float]:
    """Returns the sorted latencies of sequential calls, in milliseconds."""
    latencies_ms = []
    for _ in range(calls):
        began = time.perf_counter()
        await client.call()
        latencies_ms.append((time.perf_counter() - began) * 1000)
    return sorted(latencies_ms)


async def measure(ports, rounds: int, calls: int) -> None:
    """Runs the rounds and prints their medians."""
    clients = {
        "http": await connect(ports[0], HttpClient),
        "websocket": await connect(ports[1], WebSocketClient),
    }
    handshake_delay: Deferred = Deferred()
    reactor.callLater(0.2, handshake_delay.callback, None)
    await handshake_delay
    results = {name: [] for name in clients}
    for client in clients.values():
        await time_calls(client, WARMUP_CALLS)
    for _ in range(rounds):
        for name, client in clients.items():
            latencies_ms = await time_calls(client, calls)
            results[name].append(
                (
                    latencies_ms[len(latencies_ms) // 2],
                    latencies_ms[-len(latencies_ms) // 100],
                )
            )
    for name, rows in results.items():
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
    print(f"http codec: {cpu_us(run_http_codec):.1f} us a call")
    pair = open_websocket()
    run_codec = functools.partial(run_websocket_codec, *pair)
    print(f"websocket and CBOR codec: {cpu_us(run_codec):.1f} us a call")
    ports = (free_port(), free_port())
    command = [sys.executable, __file__, "--ports", *map(str, ports)]
    server = subprocess.Popen(command)
    try:
        wait_for("the server", lambda: _is_listening(ports[1]))
        running = ensureDeferred(measure(ports, rounds, calls))
        running.addErrback(lambda failure: failure.printTraceback())
        running.addBoth(lambda _: reactor.stop())
        reactor.run()
    finally:
        server.kill()
        server.wait()


def _is_listening(port: int) -> bool:
    import socket

    with socket.create_connection(("127.0.0.1", port), timeout=1):
        return True


if __name__ == "__main__":
    main()
