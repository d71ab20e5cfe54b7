r"""Stand-in for a target: an HTTP server that announces itself to its node.

    python -m fulmarrudder_lab.target --port 7301 --node-admin 7201 \
        --service caja --target-version 1

`POST /behave` with a JSON object sets `fail_permille`, `delay_ms`,
`slow_at` (requests in flight at which `slow_ms` is added), `slow_ms`,
`bad_prefix` (only paths below it misbehave), `shed_at` (requests in flight
above which a request is answered 503) and `crash_on` (a substring of the body
that kills the process). `GET /runs` returns the number of requests started, in
total and by idempotency key.
"""

import hashlib
import json
import os
import random
import signal
import time

import click
import pydantic
from twisted.internet import reactor
from twisted.internet.task import LoopingCall
from twisted.web.client import Agent, readBody
from twisted.web.http import HTTPChannel, HTTPFactory, Request

from fulmarrudder.http import BytesBody

ANNOUNCE_INTERVAL_S = 1.0


class Behaviour(pydantic.BaseModel):
    """Behaviour of the target until the next `POST /behave`."""

    model_config = pydantic.ConfigDict(extra="forbid")

    fail_permille: int = 0
    delay_ms: float = 1.0
    slow_at: int = 0
    slow_ms: float = 0.0
    bad_prefix: str = "/"
    shed_at: int = 0
    crash_on: str = ""


class TargetState:
    """Counters and behaviour of one target."""

    def __init__(self, service: str, version: str):
        self.service = service
        self.version = version
        self.behaviour = Behaviour()
        self.in_flight = 0
        self.request_count = 0
        self.runs_by_key: dict[str, int] = {}
        self.rng = random.Random(version)


class TargetRequest(Request):
    """Answers one request."""

    def gotLength(self, length):  # noqa: N802
        """Prepares to hash the body as it arrives, without storing it."""
        super().gotLength(length)
        self.digest = hashlib.sha256()
        self.body_bytes = 0
        self.body_prefix = b""

    def handleContentChunk(self, data):  # noqa: N802
        """Hashes a chunk, and stores the start of the body for `crash_on`."""
        self.digest.update(data)
        self.body_bytes += len(data)
        if len(self.body_prefix) < 65536:
            self.body_prefix += data

    def process(self):
        """Answers once the body is complete."""
        state = self.channel.factory.state
        if self.path == b"/behave":
            state.behaviour = Behaviour.model_validate_json(
                self.body_prefix or b"{}"
            )
            self.finish()
            return
        if self.path == b"/runs":
            self.write(
                json.dumps(
                    {"runs": state.request_count, "ran": state.runs_by_key}
                ).encode()
            )
            self.finish()
            return
        self._handle(state)

    def _handle(self, state: TargetState) -> None:
        behaviour = state.behaviour
        if (
            behaviour.crash_on
            and behaviour.crash_on.encode() in self.body_prefix
        ):
            os.kill(os.getpid(), signal.SIGKILL)
        state.in_flight += 1
        state.request_count += 1
        key = self.getHeader("idempotency-key")
        if key:
            state.runs_by_key[key] = state.runs_by_key.get(key, 0) + 1
        self.disconnected = False
        self.notifyFinish().addErrback(
            lambda failure: self._mark_disconnected()
        )
        delay_ms = behaviour.delay_ms
        misbehaves = self.path.decode().startswith(behaviour.bad_prefix)
        if (
            misbehaves
            and behaviour.slow_ms
            and state.in_flight >= behaviour.slow_at
        ):
            delay_ms += behaviour.slow_ms
        failing = (
            misbehaves and state.rng.random() * 1000 < behaviour.fail_permille
        )
        if behaviour.shed_at and state.in_flight > behaviour.shed_at:
            reactor.callLater(0, self._answer, state, 503)
            return
        code = 500 if failing else 200
        reactor.callLater(delay_ms / 1000, self._answer, state, code)

    def _mark_disconnected(self) -> None:
        self.disconnected = True

    def _answer(self, state: TargetState, code: int) -> None:
        state.in_flight -= 1
        if self.disconnected:
            return
        self.setResponseCode(code)
        self.setHeader(b"content-type", b"application/json")
        answer = {
            "service": state.service,
            "version": state.version,
            "path": self.path.decode(),
            "size": self.body_bytes,
            "sha256": self.digest.hexdigest(),
            "echo": self.getHeader("x-echo") or "",
        }
        data = json.dumps(answer).encode()
        self.setHeader(b"content-length", str(len(data)).encode())
        self.write(data)
        self.finish()


class TargetChannel(HTTPChannel):
    """HTTP channel of the target."""

    requestFactory = TargetRequest  # noqa: N815


class TargetFactory(HTTPFactory):
    """Builds channels that share one state."""

    def __init__(self, state: TargetState):
        super().__init__()
        self.state = state
        self.protocol = lambda: TargetChannel()

    def buildProtocol(self, addr):  # noqa: N802
        """Builds a channel without the generic wrapper."""
        channel = TargetChannel()
        channel.factory = self
        channel.timeOut = 600
        return channel


class Announcer:
    """Sends a target's announcements to its node."""

    def __init__(self, agent, url: str, document: dict):
        self.agent = agent
        self.url = url.encode()
        self.document = document
        self.document["incarnation"] = int(time.time() * 1000)
        self.document["sequence"] = 0

    def announce(self) -> None:
        """Sends one announcement."""
        self.document["sequence"] += 1
        data = json.dumps(self.document).encode()
        response = self.agent.request(b"POST", self.url, None, BytesBody(data))
        response.addCallbacks(readBody, lambda failure: None)

    def announce_leaving(self) -> None:
        """Announces that the target is leaving."""
        self.document["condition"] = "leaving"
        self.announce()


@click.command()
@click.option("--port", type=int, required=True)
@click.option("--node-admin", type=int, required=True)
@click.option("--service", required=True)
@click.option("--target-version", required=True)
@click.option("--slots", type=int, default=6)
@click.option("--connections", type=int, default=110)
def main(port, node_admin, service, target_version, slots, connections):
    """Runs a target on loopback."""
    state = TargetState(service, target_version)
    listening_port = reactor.listenTCP(
        port, TargetFactory(state), interface="127.0.0.1"
    )
    document = {
        "service": service,
        "target_version": target_version,
        "address": f"127.0.0.1:{port}",
        "condition": "ready",
        "slots": slots,
        "connections": connections,
    }
    url = f"http://127.0.0.1:{node_admin}/announce"
    announcer = Announcer(Agent(reactor), url, document)
    LoopingCall(announcer.announce).start(ANNOUNCE_INTERVAL_S)

    def drain():
        if state.in_flight:
            reactor.callLater(0.05, drain)
            return
        listening_port.stopListening()
        reactor.stop()

    def begin_leaving(signum, frame):
        announcer.announce_leaving()
        reactor.callLater(1.0, drain)

    reactor.callWhenRunning(signal.signal, signal.SIGTERM, begin_leaving)
    reactor.run()


if __name__ == "__main__":
    main()
