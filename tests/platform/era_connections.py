"""Connections of whole nodes to the stand-in of a store with eras."""

import urllib.parse

from fulmarrudder.call.errors import ConnectError
from fulmarrudder.call.message import (
    BodyEnd,
    BodyPart,
    Framing,
    Headers,
    ResponseHead,
)
from tests.call.test_host import FakeConnection

LATENCY_S = 0.01
POLL_S = 0.05


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
