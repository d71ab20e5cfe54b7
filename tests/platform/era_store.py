"""A store that goes back to an older copy, behind the real client of it."""

import base64
import copy
import dataclasses
import json
import urllib.parse

from twisted.internet.task import Clock

from fulmarrudder.call.errors import ConnectError
from fulmarrudder.call.message import (
    BodyEnd,
    BodyPart,
    Framing,
    Headers,
    ResponseHead,
)
from fulmarrudder.platform.store import READ_HEADER
from tests.call.test_host import FakeConnection

LATENCY_S = 0.01
POLL_S = 0.05


@dataclasses.dataclass(slots=True)
class Image:
    """What the store holds; groups are pairs of generation and members."""

    topics: dict = dataclasses.field(default_factory=dict)
    generation: int = 0
    members: dict = dataclasses.field(default_factory=dict)


class EraStore:
    """A store of compacted topics and one group.

    Attributes:
        image: What it holds.
        era: The era that it tells, or None for a store without eras.
        copies: What it held, by clock seconds.
        appends: Era, topic, key and value of each append that it executed.
        cut: Addresses of callers that it does not answer.
        lost: Path of calls whose answers are lost, or empty.
        delays: Seconds by which answers to a caller come late.
    """

    def __init__(self, clock: Clock, era=1):
        self.clock = clock
        self.image = Image()
        self.era = era
        self.copies = []
        self.appends = []
        self.cut = set()
        self.lost = ""
        self.delays = {}

    def write(self, topic, key, value, at=None):
        """Appends a record as the operator does; None deletes."""
        records = self.image.topics.setdefault(topic, [])
        if at is not None and at != len(records):
            return None
        self.copies.append((self.clock.seconds(), copy.deepcopy(self.image)))
        records = self.image.topics.setdefault(topic, [])
        records.append((key, value))
        self.appends.append((self.era, topic, key, value))
        return len(records)

    def go_back(self, seconds):
        """Comes back from a copy; returns the operator's lost records."""
        since = self.clock.seconds() - seconds
        lost = self.image
        later = [image for at, image in self.copies if at > since]
        self.image = copy.deepcopy(later[0]) if later else lost
        self.era += 1
        kept = len(self.image.topics.get("keyed.op", ()))
        return lost.topics.get("keyed.op", [])[kept:]

    def newest(self, topic, key):
        """Returns the newest value of a key, or None."""
        values = [v for k, v in self.image.topics.get(topic, ()) if k == key]
        return values[-1] if values else None

    def answer(self, path, query, body, give_up_at):
        """Executes a call; returns status and body, or None to wait."""
        return getattr(self, "_" + path.rpartition("-")[2])(
            query, body, give_up_at
        )

    def _newest(self, query, body, _):
        records = self.image.topics.get(query["topic"], [])
        newest = {key: (o, v) for o, (key, v) in enumerate(records)}
        items = [
            {"key": k, "value": base64.b64encode(v).decode(), "offset": o}
            for k, (o, v) in newest.items()
            if v and k > query.get("after", "")
        ]
        page = {"items": items, "hasMore": False, "endOffset": len(records)}
        return 200, json.dumps(page).encode()

    def _read(self, query, body, give_up_at):
        records = self.image.topics.get(query["topic"], [])
        start, end = int(query["from"]), len(records)
        if start > end:
            return 410, b'{"firstOffset": 0}'
        if start == end and self.clock.seconds() < give_up_at:
            return None
        data = READ_HEADER.pack(end, 0)
        for key, value in records[start:]:
            content = bytes([len(key)]) + key.encode() + (value or b"")
            data += len(content).to_bytes(4, "big") + content
        return 200, data

    def _append(self, query, body, _):
        key_end = 5 + body[4]
        key, value = body[5:key_end].decode(), body[key_end:] or None
        at = int(query["at"]) if "at" in query else None
        end = self.write(query["topic"], key, value, at)
        if end is None:
            return 412, b"{}"
        return 200, json.dumps({"offset": end - 1}).encode()

    def _join(self, query, body, _):
        call, now = json.loads(body), self.clock.seconds()
        ttl_s = int(call["ttl_time"][:-2]) / 1000
        members = self.image.members
        found = {m: at for m, at in members.items() if now - at < ttl_s}
        before = list(members)
        found[call["memberId"]] = now
        self.image.members = found
        self.image.generation += before != list(found)
        parts = [["controller", 0, 0]] * (next(iter(found)) == call["memberId"])
        page = {"generation": self.image.generation, "parts": parts}
        return 200, json.dumps(page).encode()

    def _leave(self, query, body, _):
        if self.image.members.pop(json.loads(body)["memberId"], None):
            self.image.generation += 1
        return 200, b"{}"


class EraConnection(FakeConnection):
    """A connection of one caller to the store."""

    def __init__(self, store, caller):
        super().__init__(store.clock)
        self.store = store
        self.caller = caller

    def start(self, head, body, fields=(), *, expect_continue=False):
        exchange = super().start(head, body, fields)
        path, _, query = head.target.decode().partition("?")
        query = dict(urllib.parse.parse_qsl(query))
        wait_s = int(query.get("waitMs", 0)) / 1000
        self.clock.callLater(
            LATENCY_S,
            self._execute,
            exchange,
            (path, query, b"".join(body.replay_buffer)),
            self.clock.seconds() + wait_s,
        )
        return exchange

    def drop(self, reason):
        """Ends a connection that is not used again."""

    def _execute(self, exchange, call, give_up_at):
        store = self.store
        if self.caller in store.cut or exchange.end is not None:
            return
        answer = store.answer(*call, give_up_at)
        if answer is None:
            self.clock.callLater(
                POLL_S, self._execute, exchange, call, give_up_at
            )
            return
        if store.lost and call[0].endswith(store.lost):
            return
        delay_s = LATENCY_S + store.delays.get(self.caller, 0.0)
        self.clock.callLater(delay_s, _send, exchange, store.era, *answer)


class EraPool:
    """Connections of one caller to the store, and to nobody else."""

    def __init__(self, store, caller):
        self.store = store
        self.caller = caller

    async def acquire(self, address, **_):
        if self.caller in self.store.cut:
            raise ConnectError(address)
        return EraConnection(self.store, self.caller)

    def sweep(self):
        """Keeps no connections."""

    def close(self):
        """Keeps no connections."""


def _send(exchange, era, status, body):
    if exchange.end is not None:
        return
    fields = () if era is None else ((b"store-era", str(era).encode()),)
    exchange.receive(
        ResponseHead(
            status=status,
            reason=b"",
            headers=Headers(fields),
            framing=Framing.LENGTH,
            length=len(body),
        )
    )
    exchange.receive(BodyPart(body))
    exchange.receive(BodyEnd())
