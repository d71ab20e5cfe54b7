"""Stand-in of the platform's store that comes back from older copies.

It answers calls in memory; who asks brings calls and answers across.
"""

import base64
import copy
import dataclasses
import json

from fulmarrudder.clock import Clock
from fulmarrudder.platform.store import READ_HEADER


@dataclasses.dataclass(slots=True)
class Image:
    """What the store holds.

    Attributes:
        topics: Keys and values of the records of each topic.
        generation: Generation of the one group.
        members: Clock seconds at which each member was last heard.
    """

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
