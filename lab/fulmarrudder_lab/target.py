r"""Stand-in of a target: an HTTP server that announces itself to its node.

    python -m fulmarrudder_lab.target --port 7301 --node-admin 7201 \
        --service caja --target-version 1

`POST /behave` with a JSON object sets `fail_permille`, `delay_ms`,
`slow_at` (requests in flight from which on `slow_ms` is added), `slow_ms`,
`bad_prefix` (only paths below it misbehave), `shed_at` and `crash_on`
(a substring of the body that kills the process).
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

ANNOUNCE_EVERY_S = 1.0


class Behaviour(pydantic.BaseModel):
    """How the target misbehaves until told otherwise."""

    model_config = pydantic.ConfigDict(extra="forbid")

    fail_permille: int = 0
    delay_ms: float = 1.0
    slow_at: int = 0
    slow_ms: float = 0.0
    bad_prefix: str = "/"
    shed_at: int = 0
    crash_on: str = ""


class TargetState:
    """Counts and behaviour of one target."""

    def __init__(self, service: str, version: str):
        self.service = service
        self.version = version
        self.behaviour = Behaviour()
        self.running = 0
        self.runs = 0
        self.ran: dict[str, int] = {}
        self.rng = random.Random(version)


class TargetRequest(Request):
    """Answers one request."""

    def gotLength(self, length):  # noqa: N802
        """Digests the body as it arrives instead of keeping it."""
        super().gotLength(length)
        self.digest = hashlib.sha256()
        self.size = 0
        self.head = b""

    def handleContentChunk(self, data):  # noqa: N802
        """Takes a piece of the body."""
        self.digest.update(data)
        self.size += len(data)
        if len(self.head) < 65536:
            self.head += data

    def process(self):
        """Answers once the body is whole."""
        state = self.channel.factory.state
        if self.path == b"/behave":
            state.behaviour = Behaviour.model_validate_json(self.head or b"{}")
            self.finish()
            return
        if self.path == b"/runs":
            self.write(
                json.dumps({"runs": state.runs, "ran": state.ran}).encode()
            )
            self.finish()
            return
        self._run(state)

    def _run(self, state: TargetState) -> None:
        behaviour = state.behaviour
        if behaviour.crash_on and behaviour.crash_on.encode() in self.head:
            os.kill(os.getpid(), signal.SIGKILL)
        state.running += 1
        state.runs += 1
        key = self.getHeader("idempotency-key")
        if key:
            state.ran[key] = state.ran.get(key, 0) + 1
        self.gone = False
        self.notifyFinish().addErrback(lambda failure: self._lost())
        delay = behaviour.delay_ms
        bad = self.path.decode().startswith(behaviour.bad_prefix)
        if bad and behaviour.slow_ms and state.running >= behaviour.slow_at:
            delay += behaviour.slow_ms
        failing = bad and state.rng.random() * 1000 < behaviour.fail_permille
        if behaviour.shed_at and state.running > behaviour.shed_at:
            reactor.callLater(0, self._answer, state, 503)
            return
        code = 500 if failing else 200
        reactor.callLater(delay / 1000, self._answer, state, code)

    def _lost(self) -> None:
        self.gone = True

    def _answer(self, state: TargetState, code: int) -> None:
        state.running -= 1
        if self.gone:
            return
        self.setResponseCode(code)
        self.setHeader(b"content-type", b"application/json")
        answer = {
            "service": state.service,
            "version": state.version,
            "path": self.path.decode(),
            "size": self.size,
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
    """Makes channels that share one state."""

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
    """Announces the target to its node until told to leave."""

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
        asked = self.agent.request(b"POST", self.url, None, BytesBody(data))
        asked.addCallbacks(readBody, lambda failure: None)

    def leave(self) -> None:
        """Announces that the target leaves."""
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
    listening = reactor.listenTCP(
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
    LoopingCall(announcer.announce).start(ANNOUNCE_EVERY_S)

    def drain():
        if state.running:
            reactor.callLater(0.05, drain)
            return
        listening.stopListening()
        reactor.stop()

    def leave(signum, frame):
        announcer.leave()
        reactor.callLater(1.0, drain)

    reactor.callWhenRunning(signal.signal, signal.SIGTERM, leave)
    reactor.run()


if __name__ == "__main__":
    main()
