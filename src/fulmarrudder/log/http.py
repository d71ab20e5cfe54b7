"""HTTP client of the log service."""

import json

import pydantic
from twisted.internet.defer import Deferred, ensureDeferred
from twisted.web.client import Agent, HTTPConnectionPool

from fulmarrudder.http import BytesBody, read_body
from fulmarrudder.log.errors import ExpiredError, UnavailableError
from fulmarrudder.log.service import Batch, RawRecord

CONNECT_TIMEOUT_S = 2.0
RESPONSE_TIMEOUT_S = 5.0
MAX_RESPONSE_BYTES = 16 * 1024 * 1024
CONNECTIONS_PER_HOST = 8


class _RecordModel(pydantic.BaseModel):
    offset: int = pydantic.Field(ge=0)
    body: str


class _BatchModel(pydantic.BaseModel):
    records: list[_RecordModel]
    first: int
    next: int


class _AppendedModel(pydantic.BaseModel):
    first: int


class _ExpiredModel(pydantic.BaseModel):
    first: int


class HttpLogService:
    """Client of the log service, over HTTP and JSON.

    Attributes:
        base_url: URL of the service, without a trailing slash.
    """

    def __init__(self, reactor, base_url: str):
        pool = HTTPConnectionPool(reactor, persistent=True)
        pool.maxPersistentPerHost = CONNECTIONS_PER_HOST
        pool.retryAutomatically = False
        self.reactor = reactor
        self.base_url = base_url.rstrip("/")
        self.agent = Agent(reactor, connectTimeout=CONNECT_TIMEOUT_S, pool=pool)

    def append(self, stream: str, bodies: tuple[str, ...]) -> Deferred:
        """See `LogService.append`."""
        return ensureDeferred(self._append(stream, bodies))

    def read(
        self, stream: str, *, start: int, limit: int, wait_ms: int
    ) -> Deferred:
        """See `LogService.read`."""
        return ensureDeferred(self._read(stream, start, limit, wait_ms))

    async def _append(self, stream: str, bodies: tuple[str, ...]) -> int:
        data = json.dumps({"records": list(bodies)}).encode()
        url = f"{self.base_url}/streams/{stream}"
        content = await self._request(
            b"POST", url, BytesBody(data), RESPONSE_TIMEOUT_S
        )
        return _parse_response(_AppendedModel, content).first

    async def _read(
        self, stream: str, start: int, limit: int, wait_ms: int
    ) -> Batch:
        url = (
            f"{self.base_url}/streams/{stream}"
            f"?from={start}&limit={limit}&wait_ms={wait_ms}"
        )
        timeout = RESPONSE_TIMEOUT_S + wait_ms / 1000
        content = await self._request(b"GET", url, None, timeout)
        batch = _parse_response(_BatchModel, content)
        records = tuple(
            RawRecord(offset=record.offset, body=record.body)
            for record in batch.records
        )
        return Batch(
            records=records, oldest_offset=batch.first, next_offset=batch.next
        )

    async def _request(self, method: bytes, url: str, body, timeout: float):
        try:
            requesting = self.agent.request(method, url.encode(), None, body)
            response = await requesting.addTimeout(timeout, self.reactor)
            reading = read_body(response, MAX_RESPONSE_BYTES)
            content = await reading.addTimeout(RESPONSE_TIMEOUT_S, self.reactor)
        except Exception as error:
            raise UnavailableError(
                f"{type(error).__name__}: {error}"
            ) from error
        if response.code == 410:
            raise ExpiredError(_parse_response(_ExpiredModel, content).first)
        if response.code != 200:
            raise UnavailableError(f"status {response.code}")
        return content


def _parse_response(model, content: bytes):
    try:
        return model.model_validate_json(content)
    except pydantic.ValidationError as error:
        raise UnavailableError("invalid response") from error
