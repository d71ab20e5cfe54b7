"""Client of the platform's store: one call, one deadline, one outcome."""

import base64
import dataclasses
import json
import struct
import urllib.parse

from twisted.internet.defer import TimeoutError

from fulmarrudder.call import (
    BodyCollector,
    CallError,
    Connection,
    ConnectionPool,
    Framing,
    Headers,
    RequestBody,
    RequestHead,
)
from fulmarrudder.clock import Clock
from fulmarrudder.platform.errors import (
    ExpiredError,
    StoreRejectedError,
    StoreUnavailableError,
)

# The store answers within milliseconds; a call that takes this long has met
# a store that is slow or away.
CALL_TIMEOUT_S = 1.5
# Beyond the time for which a read waits for a record.
READ_SLACK_S = 1.0
CONFLICT = frozenset({409, 412})
FIRST_PART = 0
LENGTH = struct.Struct(">I")
READ_HEADER = struct.Struct(">QQ")


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class StoreResponse:
    """An answer of the store."""

    status: int
    body: bytes


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class KeyedRecord:
    """A record of a topic that keeps the newest of each key.

    Attributes:
        value: Its value; None when the key was dropped.
        offset: Its offset, -1 when it is not known.
    """

    key: str
    value: bytes | None
    offset: int = -1


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class RecordBatch:
    """Records of a partition, in order.

    Attributes:
        records: The records.
        end: Offset that the next record will have.
    """

    records: tuple[KeyedRecord, ...]
    end: int


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class GroupMembership:
    """A member's place in a group.

    Attributes:
        generation: Rises with each change of the group.
        holds: Whether the member holds the topic's first partition.
    """

    generation: int
    holds: bool


class _NoSource:
    def pauseProducing(self) -> None:  # noqa: N802
        pass

    def resumeProducing(self) -> None:  # noqa: N802
        pass


class StoreClient:
    """The platform's store, as this node reaches it.

    Attributes:
        address: host:port.
        calls: Calls made so far.
    """

    def __init__(self, clock: Clock, pool: ConnectionPool, address: str):
        self.clock = clock
        self.pool = pool
        self.address = address
        self.calls = 0

    async def read_latest(self, topic: str) -> RecordBatch:
        """Reads the newest record of each key of a topic.

        Raises:
            StoreError: The store is away, or refuses.
        """
        found: list[KeyedRecord] = []
        query = {"topic": topic, "part": "0"}
        while True:
            reply = await self._get("/-/log-newest", query)
            page = _object(reply)
            try:
                found += [_keyed_item(item) for item in page["items"]]
                end, more = page["endOffset"], page["hasMore"]
            except (KeyError, TypeError, ValueError) as error:
                raise StoreRejectedError(
                    reply.status, f"page: {error}"
                ) from error
            if not more or not found:
                return RecordBatch(records=tuple(found), end=end)
            query["after"] = found[-1].key

    async def read(self, topic: str, start: int, wait_s: float) -> RecordBatch:
        """Reads the records of a keyed topic from an offset on.

        Args:
            topic: The topic.
            start: Offset of the first record wanted.
            wait_s: Seconds to wait for a record when there is none.

        Raises:
            ExpiredError: The records are no longer kept.
            StoreError: The store is away, or refuses.
        """
        query = {
            "topic": topic,
            "part": "0",
            "from": str(start),
            "waitMs": str(int(wait_s * 1000)),
        }
        reply = await self._get(
            "/-/log-read", query, limit_s=wait_s + READ_SLACK_S
        )
        return _records(reply.body, start)

    async def append(
        self,
        topic: str,
        record: KeyedRecord,
        *,
        producer: str = "",
        epoch: int = 0,
        sequence: int = 0,
    ) -> None:
        """Appends a record to a keyed topic.

        Args:
            topic: The topic.
            record: The record.
            producer: Whose epoch and sequence fence the append, or empty.
            epoch: An append of a lower one is refused from now on.
            sequence: Counts the appends of an epoch.

        Raises:
            StoreError: The store is away, or refuses; when it is away, the
                append may still take effect.
        """
        query = {"topic": topic, "part": "0"}
        if producer:
            query["producerId"] = producer
            query["epoch"] = str(epoch)
            query["sequence"] = str(sequence)
        key = record.key.encode()
        data = bytes([len(key)]) + key + (record.value or b"")
        await self._post("/-/log-append", query, LENGTH.pack(len(data)) + data)

    async def join_group(
        self,
        group: str,
        member: str,
        topic: str,
        *,
        ttl_s: float,
        generation: int,
    ) -> GroupMembership:
        """Joins a group, or stays in it.

        Args:
            group: The group.
            member: Id of the member.
            topic: Topic whose first partition is what is held; it has more,
                which are dealt out among the members alike.
            ttl_s: Seconds of silence after which the member is out.
            generation: The latest generation received, or 0.

        Raises:
            StoreError: The store is away, or refuses.
        """
        body = {
            "group": group,
            "memberId": member,
            "topics": [topic],
            "ttl_time": f"{int(ttl_s * 1000)}ms",
            "generation": generation,
        }
        reply = await self._post("/-/log-join", {}, json.dumps(body).encode())
        answer = _object(reply)
        try:
            held = any(
                row[0] == topic and row[1] == FIRST_PART
                for row in answer["parts"]
            )
            return GroupMembership(generation=answer["generation"], holds=held)
        except (KeyError, TypeError, IndexError) as error:
            raise StoreRejectedError(reply.status, f"join: {error}") from error

    async def leave_group(self, group: str, member: str) -> None:
        """Leaves a group.

        Raises:
            StoreError: The store is away, or refuses.
        """
        body = {"group": group, "memberId": member}
        await self._post("/-/log-leave", {}, json.dumps(body).encode())

    async def _get(
        self, path: str, query: dict[str, str], limit_s: float = CALL_TIMEOUT_S
    ) -> StoreResponse:
        head = self._head(b"GET", path, query, 0)
        return await self._call(head, b"", limit_s)

    async def _post(
        self, path: str, query: dict[str, str], body: bytes
    ) -> StoreResponse:
        head = self._head(b"POST", path, query, len(body))
        return await self._call(head, body, CALL_TIMEOUT_S)

    def _head(
        self, method: bytes, path: str, query: dict[str, str], length: int
    ) -> RequestHead:
        target = path
        if query:
            target += "?" + urllib.parse.urlencode(query)
        fields = [(b"host", self.address.encode())]
        if length:
            fields.append((b"content-type", b"application/json"))
        return RequestHead(
            method=method,
            target=target.encode(),
            headers=Headers(tuple(fields)),
            framing=Framing.LENGTH if length else Framing.NONE,
            length=length,
        )

    async def _call(
        self, head: RequestHead, body: bytes, limit_s: float
    ) -> StoreResponse:
        self.calls += 1
        deadline = self.clock.seconds() + limit_s
        try:
            connection = await self.pool.take(self.address)
            reply = await self._exchange(connection, head, body, deadline)
        except (CallError, TimeoutError) as error:
            raise StoreUnavailableError(
                f"{type(error).__name__}: {error}"
            ) from error
        if reply.status == 410:
            raise ExpiredError(head.target.decode())
        if reply.status in (429, 503):
            raise StoreUnavailableError(f"status {reply.status}")
        if reply.status != 200:
            raise StoreRejectedError(
                reply.status, reply.body[:200].decode("latin-1")
            )
        return reply

    async def _exchange(
        self,
        connection: Connection,
        head: RequestHead,
        body: bytes,
        deadline: float,
    ) -> StoreResponse:
        sent = RequestBody(_NoSource())
        if body:
            sent.receive_part(body)
        sent.receive_end()
        exchange = connection.start(head, sent)
        left = deadline - self.clock.seconds()
        found = await exchange.head_ready.addTimeout(left, self.clock)
        collector = BodyCollector()
        exchange.stream_to(collector)
        left = max(0.0, deadline - self.clock.seconds())
        try:
            data = await collector.body.addTimeout(left, self.clock)
        except TimeoutError:
            exchange.cancel()
            raise
        return StoreResponse(status=found.status, body=data)


def _object(reply: StoreResponse) -> dict:
    try:
        document = json.loads(reply.body)
    except ValueError as error:
        raise StoreRejectedError(reply.status, f"not JSON: {error}") from error
    if not isinstance(document, dict):
        raise StoreRejectedError(reply.status, "not an object")
    return document


def _keyed_item(item: dict) -> KeyedRecord:
    return KeyedRecord(
        key=item["key"],
        value=base64.b64decode(item["value"]),
        offset=item["offset"],
    )


def _records(data: bytes, start: int) -> RecordBatch:
    if len(data) < READ_HEADER.size:
        raise StoreRejectedError(200, "read without its edges")
    end, _ = READ_HEADER.unpack_from(data)
    found = []
    place, offset = READ_HEADER.size, start
    while place + LENGTH.size <= len(data):
        (length,) = LENGTH.unpack_from(data, place)
        place += LENGTH.size
        content = data[place : place + length]
        place += length
        if len(content) < length:
            break
        found.append(_keyed(content, offset))
        offset += 1
    return RecordBatch(records=tuple(found), end=offset)


def _keyed(content: bytes, offset: int) -> KeyedRecord:
    size = content[0] if content else 0
    key = content[1 : 1 + size].decode("utf-8", "replace")
    value = content[1 + size :]
    return KeyedRecord(key=key, value=value or None, offset=offset)
