"""Client of the platform's store.

Each call has a deadline, and ends with a result or a `StoreError`.
"""

import base64
import dataclasses
import json
import struct
import urllib.parse
from collections.abc import Callable

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
from fulmarrudder.model.position import era_of, offset_of
from fulmarrudder.node.supervisor import ignore
from fulmarrudder.platform.era import HEADER as ERA_HEADER
from fulmarrudder.platform.era import EraTracker, parse_era
from fulmarrudder.platform.errors import (
    ExpiredError,
    StoreRejectedError,
    StoreUnavailableError,
)

# The store answers within milliseconds, so after this time it is overloaded or
# unavailable.
CALL_TIMEOUT_S = 1.5
# Added to the wait time of a read to get the timeout of its first byte.
READ_TIMEOUT_SLACK_S = 1.0
# Time from the head of a response to its end. Records of a large configuration
# take seconds on a slow link, while a store that cannot be reached sends no head.
BODY_TIMEOUT_S = 5.0
# Time for the end of a topic, which is a small response.
END_TIMEOUT_S = 1.0
# No key comes after it: keys are names.
LAST_KEY = "\x7f"
CONFLICT_STATUSES = frozenset({409, 412})
FIRST_PARTITION = 0
LENGTH_PREFIX = struct.Struct(">I")
# Header of a read response: the end offset of the partition and a second
# number. Neither is needed, as the next offset is computed from the records.
READ_HEADER = struct.Struct(">QQ")


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class StoreResponse:
    """A response of the store.

    Attributes:
        era: Era of the store that it tells, or None.
    """

    status: int
    body: bytes
    era: int | None = None


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class KeyedRecord:
    """A record of a compacted topic.

    Attributes:
        key: Key; the topic keeps the latest record of each key.
        value: Value, or None when the key is deleted.
        offset: Position of its offset, or -1 when it is not known.
    """

    key: str
    value: bytes | None
    offset: int = -1


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class RecordBatch:
    """Records of a partition.

    Attributes:
        records: The records, in order of their offsets.
        next_offset: Position from which to read on.
        is_latest: Whether these are the latest records of all keys.
    """

    records: tuple[KeyedRecord, ...]
    next_offset: int
    is_latest: bool = False


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class GroupMembership:
    """Membership in a group, from the response to a join call.

    Attributes:
        generation: Increases with each change of the group, and with the era.
        holds_partition: Whether the topic's first partition is assigned to
            the member.
    """

    generation: int
    holds_partition: bool


class _NullProducer:
    def pauseProducing(self) -> None:  # noqa: N802
        pass

    def resumeProducing(self) -> None:  # noqa: N802
        pass


class StoreClient:
    """Makes calls to the store.

    Offsets and generations are told and taken as positions, which hold the era
    (see `model.position`). A call ends with an `EraError` if its answer or what
    it refers to belongs to another era than the highest seen.

    Attributes:
        pool: Connection pool for the calls.
        address: host:port of the store.
        calls: Number of calls made.
        era: The highest era that was seen.
    """

    def __init__(self, clock: Clock, pool: ConnectionPool, address: str):
        self.clock = clock
        self.pool = pool
        self.address = address
        self.calls = 0
        self.era = EraTracker(clock)

    async def read_latest(
        self, topic: str, *, timeout_s: float = CALL_TIMEOUT_S
    ) -> RecordBatch:
        """Reads the latest record of each key of a compacted topic.

        Pages are not a snapshot. Reading goes on at the end that the first one
        tells, so that no record is missed and some may be read twice.

        Args:
            topic: Name of the topic.
            timeout_s: Seconds after which a page that has not arrived fails.

        Raises:
            StoreError: The store is unavailable or rejects the call.
        """
        records: list[KeyedRecord] = []
        query = {"topic": topic, "part": "0"}
        last_keys: set[str] = set()
        next_offset: int | None = None
        begun: int | None = None
        while True:
            response = await self._get("/-/log-newest", query, timeout_s)
            self.era.check(begun, response.era)
            begun = self.era.number
            page = _parse_object(response)
            try:
                records += [self._parse_item(item) for item in page["items"]]
                end, more = self._parse_end(page), page["hasMore"]
            except (KeyError, TypeError, ValueError) as error:
                raise StoreRejectedError(
                    response.status, f"invalid page: {error}"
                ) from error
            if next_offset is None:
                next_offset = end
            if not more:
                return RecordBatch(
                    records=tuple(records),
                    next_offset=next_offset,
                    is_latest=True,
                )
            if not page["items"] or records[-1].key in last_keys:
                raise StoreRejectedError(
                    response.status, "page makes no progress"
                )
            query["after"] = records[-1].key
            last_keys.add(records[-1].key)

    async def read_end(self, topic: str) -> int:
        """Returns the position at which a compacted topic ends.

        Raises:
            StoreError: The store is unavailable or rejects the call.
        """
        query = {"topic": topic, "part": "0", "after": LAST_KEY}
        response = await self._get("/-/log-newest", query, END_TIMEOUT_S)
        page = _parse_object(response)
        try:
            return self._parse_end(page)
        except (KeyError, TypeError) as error:
            raise StoreRejectedError(
                response.status, f"invalid page: {error}"
            ) from error

    async def read(
        self,
        topic: str,
        start: int,
        wait_s: float,
        *,
        on_head: Callable[[], None] = ignore,
    ) -> RecordBatch:
        """Reads records of a compacted topic from a position on.

        Args:
            topic: Name of the topic.
            start: Position of the first record.
            wait_s: Seconds to wait for a record when there is none.
            on_head: Called when the response begins to arrive.

        Raises:
            ExpiredError: The records are no longer kept.
            StoreError: The store is unavailable or rejects the call.
        """
        query = {
            "topic": topic,
            "part": "0",
            "from": str(self.era.offset_of(start)),
            "waitMs": str(int(wait_s * 1000)),
        }
        response = await self._get(
            "/-/log-read",
            query,
            timeout_s=wait_s + READ_TIMEOUT_SLACK_S,
            on_head=on_head,
        )
        return _parse_read_response(response.body, start)

    async def append(
        self,
        topic: str,
        record: KeyedRecord,
        *,
        producer: str = "",
        epoch: int = 0,
        sequence: int = 0,
        expected_end: int | None = None,
    ) -> None:
        """Appends a record to a compacted topic.

        Args:
            topic: Name of the topic.
            record: The record; its offset is ignored.
            producer: Id of the producer for fencing; empty for no fencing.
            epoch: Fencing epoch; the store rejects later appends of the
                producer with a lower one.
            sequence: Number of the append within its epoch.
            expected_end: Position at which the partition must end; the store
                rejects the append if it ends elsewhere.

        Raises:
            StoreError: The store is unavailable or rejects the call. The
                append may take effect after a `StoreUnavailableError`.
        """
        query = {"topic": topic, "part": "0"}
        if producer:
            query["producerId"] = producer
            query["epoch"] = str(epoch)
            query["sequence"] = str(sequence)
        if expected_end is not None:
            query["at"] = str(self.era.offset_of(expected_end))
        key = record.key.encode()
        data = bytes([len(key)]) + key + (record.value or b"")
        await self._post(
            "/-/log-append", query, LENGTH_PREFIX.pack(len(data)) + data
        )

    async def join_group(
        self,
        group: str,
        member: str,
        topic: str,
        *,
        ttl_s: float,
        generation: int,
    ) -> GroupMembership:
        """Joins a group or renews the membership.

        Args:
            group: Name of the group.
            member: Id of the member.
            topic: Topic whose partitions the store assigns to the members.
                Only the first partition counts as the lease; the others are
                assigned to members as well.
            ttl_s: Seconds without a call after which the store removes the
                member.
            generation: The latest generation received, or 0; one of an
                earlier era counts as none.

        Raises:
            StoreError: The store is unavailable or rejects the call.
        """
        if era_of(generation) != self.era.current:
            generation = 0
        body = {
            "group": group,
            "memberId": member,
            "topics": [topic],
            "ttl_time": f"{int(ttl_s * 1000)}ms",
            "generation": offset_of(generation),
        }
        response = await self._post(
            "/-/log-join", {}, json.dumps(body).encode()
        )
        document = _parse_object(response)
        try:
            holds = any(
                row[0] == topic and row[1] == FIRST_PARTITION
                for row in document["parts"]
            )
            return GroupMembership(
                generation=self.era.position_of(document["generation"]),
                holds_partition=holds,
            )
        except (KeyError, TypeError, IndexError) as error:
            raise StoreRejectedError(
                response.status, f"invalid join response: {error}"
            ) from error

    async def leave_group(self, group: str, member: str) -> None:
        """Leaves a group.

        Raises:
            StoreError: The store is unavailable or rejects the call.
        """
        body = {"group": group, "memberId": member}
        await self._post("/-/log-leave", {}, json.dumps(body).encode())

    async def _get(
        self,
        path: str,
        query: dict[str, str],
        timeout_s: float = CALL_TIMEOUT_S,
        *,
        on_head: Callable[[], None] = ignore,
    ) -> StoreResponse:
        head = self._head(b"GET", path, query, 0)
        return await self._call(head, b"", timeout_s, on_head)

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
        self,
        head: RequestHead,
        body: bytes,
        timeout_s: float,
        on_head: Callable[[], None] = ignore,
    ) -> StoreResponse:
        self.calls += 1
        begun = self.era.number
        deadline = self.clock.seconds() + timeout_s
        try:
            connection = await self.pool.acquire(self.address)
            response = await self._exchange(
                connection, head, body, deadline, on_head
            )
        except (CallError, TimeoutError) as error:
            raise StoreUnavailableError(
                f"{type(error).__name__}: {error}"
            ) from error
        self.era.check(begun, response.era)
        if response.status == 410:
            raise ExpiredError(head.target.decode())
        if response.status in (429, 503):
            raise StoreUnavailableError(f"status {response.status}")
        if response.status != 200:
            raise StoreRejectedError(
                response.status, response.body[:200].decode("latin-1")
            )
        return response

    async def _exchange(
        self,
        connection: Connection,
        head: RequestHead,
        body: bytes,
        deadline: float,
        on_head: Callable[[], None],
    ) -> StoreResponse:
        """Sends a request and returns its response.

        Args:
            connection: The connection to use.
            head: Head of the request.
            body: Body of the request.
            deadline: Clock seconds until which the head of the response is
                awaited; a body whose length it tells may take
                `BODY_TIMEOUT_S` longer.
            on_head: Called when the head of the response has arrived.

        Raises:
            CallError: The connection was lost.
            TimeoutError: The response did not arrive in time.
        """
        request_body = RequestBody(_NullProducer())
        if body:
            request_body.receive_part(body)
        request_body.receive_end()
        exchange = connection.start(head, request_body)
        head_left_s = max(0.0, deadline - self.clock.seconds())
        answer_head = await exchange.wait_for_head(
            deadline + BODY_TIMEOUT_S
        ).addTimeout(head_left_s, self.clock)
        on_head()
        era = parse_era(answer_head.headers.get(ERA_HEADER))
        self.era.note(era)
        collector = BodyCollector()
        exchange.stream_to(collector)
        body_left_s = BODY_TIMEOUT_S
        if answer_head.framing is not Framing.LENGTH:
            # It may have no end.
            body_left_s = max(0.0, deadline - self.clock.seconds())
        try:
            data = await collector.body.addTimeout(body_left_s, self.clock)
        except TimeoutError:
            exchange.cancel()
            raise
        return StoreResponse(status=answer_head.status, body=data, era=era)

    def _parse_item(self, item: dict) -> KeyedRecord:
        key = item["key"]
        if not isinstance(key, str):
            raise TypeError("a key is not a string")
        return KeyedRecord(
            key=key,
            value=base64.b64decode(item["value"]),
            offset=self._parse_offset(item["offset"]),
        )

    def _parse_end(self, page: dict) -> int:
        return self._parse_offset(page["endOffset"])

    def _parse_offset(self, value: object) -> int:
        if not isinstance(value, int):
            raise TypeError("an offset is not a number")
        return self.era.position_of(value)


def _parse_object(response: StoreResponse) -> dict:
    try:
        document = json.loads(response.body)
    except (ValueError, RecursionError) as error:
        raise StoreRejectedError(
            response.status, f"not JSON: {error}"
        ) from error
    if not isinstance(document, dict):
        raise StoreRejectedError(response.status, "not a JSON object")
    return document


def _parse_read_response(data: bytes, start: int) -> RecordBatch:
    if len(data) < READ_HEADER.size:
        raise StoreRejectedError(200, "read response shorter than its header")
    end, _ = READ_HEADER.unpack_from(data)
    records = []
    position, offset = READ_HEADER.size, start
    while position + LENGTH_PREFIX.size <= len(data):
        (length,) = LENGTH_PREFIX.unpack_from(data, position)
        position += LENGTH_PREFIX.size
        content = data[position : position + length]
        position += length
        if len(content) < length:
            break
        records.append(_parse_record(content, offset))
        offset += 1
    return RecordBatch(records=tuple(records), next_offset=offset)


def _parse_record(content: bytes, offset: int) -> KeyedRecord:
    key_length = content[0] if content else 0
    key = content[1 : 1 + key_length].decode("utf-8", "replace")
    value = content[1 + key_length :]
    return KeyedRecord(key=key, value=value or None, offset=offset)
