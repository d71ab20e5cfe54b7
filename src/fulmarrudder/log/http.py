"""The log service over HTTP."""

import json

import pydantic
from twisted.internet.defer import Deferred, ensureDeferred
from twisted.web.client import Agent, HTTPConnectionPool, readBody

from fulmarrudder.http import BytesBody
from fulmarrudder.log.errors import ExpiredError, UnavailableError
from fulmarrudder.log.service import Batch, RawRecord

CONNECT_TIMEOUT_S = 2.0
ANSWER_TIMEOUT_S = 5.0
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


class _GoneModel(pydantic.BaseModel):
    first: int


class HttpLogService:
    """Speaks to the log service over HTTP and JSON.

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
        """Appends; see `LogService.append`."""
        return ensureDeferred(self._append(stream, bodies))

    def read(
        self, stream: str, *, start: int, limit: int, wait_ms: int
    ) -> Deferred:
        """Reads; see `LogService.read`."""
        return ensureDeferred(self._read(stream, start, limit, wait_ms))

    async def _append(self, stream: str, bodies: tuple[str, ...]) -> int:
        data = json.dumps({"records": list(bodies)}).encode()
        url = f"{self.base_url}/streams/{stream}"
        answer = await self._ask(
            b"POST", url, BytesBody(data), ANSWER_TIMEOUT_S
        )
        return _checked(_AppendedModel, answer).first

    async def _read(
        self, stream: str, start: int, limit: int, wait_ms: int
    ) -> Batch:
        url = (
            f"{self.base_url}/streams/{stream}"
            f"?from={start}&limit={limit}&wait_ms={wait_ms}"
        )
        timeout = ANSWER_TIMEOUT_S + wait_ms / 1000
        answer = await self._ask(b"GET", url, None, timeout)
        batch = _checked(_BatchModel, answer)
        records = tuple(
            RawRecord(offset=record.offset, body=record.body)
            for record in batch.records
        )
        return Batch(records=records, first=batch.first, next_offset=batch.next)

    async def _ask(self, method: bytes, url: str, body, timeout: float):
        try:
            asked = self.agent.request(method, url.encode(), None, body)
            response = await asked.addTimeout(timeout, self.reactor)
            reading = readBody(response)
            answer = await reading.addTimeout(ANSWER_TIMEOUT_S, self.reactor)
        except Exception as error:
            raise UnavailableError(f"{type(error).__name__}") from error
        if response.code == 410:
            raise ExpiredError(_checked(_GoneModel, answer).first)
        if response.code != 200:
            raise UnavailableError(f"status {response.code}")
        return answer


def _checked(model, answer: bytes):
    try:
        return model.model_validate_json(answer)
    except pydantic.ValidationError as error:
        raise UnavailableError("answer not understood") from error
