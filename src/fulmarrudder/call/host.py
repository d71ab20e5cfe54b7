"""Pipeline of the node beside a target: admit, claim, forward, count.

This node owns the target's connections and slots, so it alone can say that a
request did not run.
"""

import dataclasses
import random

from twisted.internet.defer import (
    CancelledError,
    Deferred,
    TimeoutError,
    ensureDeferred,
)
from twisted.internet.task import deferLater

from fulmarrudder.call.answer import Answer, BufferedAnswer, refusal_answer
from fulmarrudder.call.body import RequestBody
from fulmarrudder.call.claims import (
    Claims,
    Mine,
)
from fulmarrudder.call.collect import Collector
from fulmarrudder.call.dialect import (
    OWN,
    Dialect,
    Soundness,
    for_target,
    soundness,
)
from fulmarrudder.call.ending import FAILED_FROM
from fulmarrudder.call.errors import CallError, ConnectError, SlotError
from fulmarrudder.call.exchange import BrokenError, Ended, Exchange
from fulmarrudder.call.message import (
    Framing,
    Ran,
    Refusal,
    RefusalReason,
    RequestHead,
    ResponseHead,
)
from fulmarrudder.call.refusals import broken, late, not_run
from fulmarrudder.call.screen import clean_response
from fulmarrudder.call.settle import claim_answer, settlement
from fulmarrudder.call.slots import SlotRequest, Slots
from fulmarrudder.call.suspects import STRIKE_S, refuse_suspect
from fulmarrudder.call.tally import Tallies
from fulmarrudder.call.upstream import ConnectionPool
from fulmarrudder.call.warmth import Warmth
from fulmarrudder.clock import wall_seconds
from fulmarrudder.membership import Beside, FactStore
from fulmarrudder.model import Condition, Strike
from fulmarrudder.observe import logs

# A request that is given up after less says nothing of its target's pace.
GIVEN_UP_S = 1.0
# For so long a target that closed a connection must keep a new one open to
# count as alive: a kernel takes some milliseconds to clear a process away.
PROBE_S = 0.1


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class HostRequest:
    """A request for the target beside this node.

    Attributes:
        head: The head for the target.
        service: Service that the entry node meant.
        target_version: Target version that the entry node meant.
        route: Name of the route.
        fingerprint: Digest of the request.
        key: Idempotency key, or empty when none needs claiming.
        repeatable: Whether a second run would do no harm.
        deadline: Clock seconds.
        prompt: Clock seconds until which the answer is worth most, or 0.
        rank: Urgency; 0 is the most urgent.
        comfort: Clock seconds after which the answer would rather come from
            another target that the entry node knows of; 0 when it knows none.
    """

    head: RequestHead
    service: str
    target_version: str
    route: str
    fingerprint: str
    key: str
    repeatable: bool
    deadline: float
    prompt: float = 0.0
    rank: int = 0
    comfort: float = 0.0


class UpstreamAnswer:
    """An answer that still comes from the target."""

    __slots__ = ("exchange", "head")

    refusal = None

    def __init__(self, head: ResponseHead, exchange: Exchange):
        self.head = head
        self.exchange = exchange

    def stream_to(self, sink) -> None:
        """Sends the body to a sink."""
        self.exchange.stream_to(sink)

    def cancel(self) -> None:
        """Gives the answer up, which cancels the target's work."""
        self.exchange.cancel()


class HostPipeline:
    """Serves requests with the target beside this node.

    Attributes:
        leaving: Whether new requests are refused because of a stop.
        in_flight: Requests under way.
        spread: Called with facts to spread.
    """

    def __init__(
        self,
        *,
        clock,
        pool: ConnectionPool,
        beside: Beside,
        facts: FactStore,
        log,
        rng: random.Random,
        spread,
        dialect: Dialect = OWN,
    ):
        self.dialect = dialect
        self.clock = clock
        self.pool = pool
        self.beside = beside
        self.facts = facts
        self.log = log
        self.rng = rng
        self.spread = spread
        self.slots = Slots(clock)
        self.tallies = Tallies()
        self.claims: dict[str, Claims] = {}
        self.leaving = False
        self.in_flight = 0
        self.warmth = Warmth()
        self.lines = logs.Bounded()

    def announced(self) -> None:
        """Takes over the slots and connections that the target announced.

        A connection carries one request, and another is opened only when none
        is idle, so that bounding requests bounds connections as well.
        """
        latest = self.beside.latest
        if latest is not None:
            self.slots.resize(min(latest.slots, latest.connections))

    async def open(
        self, request: HostRequest, body: RequestBody, ready
    ) -> Answer:
        """Runs a request, or says why it did not run.

        Args:
            request: The request.
            body: Its body.
            ready: Called once the body is wanted.

        Returns:
            The target's answer, or a refusal.
        """
        refusal = self.refuse(request)
        if refusal is not None:
            return _declined(refusal)
        ask = SlotRequest(
            deadline=request.deadline,
            prompt=request.prompt,
            rank=request.rank,
            kind=request.route,
            comfort=request.comfort,
        )
        granted = self.slots.acquire(request.deadline, ask)
        if not granted.called:
            # Queued, so that it will run: its body may come meanwhile.
            ready()
        try:
            await granted
        except SlotError as error:
            return _declined(self._too_busy(request, str(error)))
        # What has changed while the request waited binds as well.
        refusal = self.refuse(request)
        if refusal is not None:
            self.slots.release()
            return _declined(refusal)
        hold = _Hold(self, request.route)
        try:
            if not request.key:
                return await self._run(request, body, ready, hold)
            return await self._run_claimed(request, body, ready, hold)
        finally:
            hold.settle()

    def _too_busy(self, request: HostRequest, detail: str) -> Refusal:
        reason = RefusalReason.OVERLOADED
        if request.comfort:
            reason = RefusalReason.BUSY
        after_s = self.slots.retry_after()
        return not_run(reason, detail, retry_after_s=after_s)

    @property
    def load(self) -> int:
        """Requests that run or wait beside this node."""
        return self.slots.taken + self.slots.queued

    def refuse(self, request: HostRequest) -> Refusal | None:
        """Says why a request may not run now, or None."""
        latest = self.beside.latest
        condition = self.beside.condition
        if self.leaving or condition is Condition.LEAVING:
            return not_run(RefusalReason.LEAVING, "target is leaving")
        if latest is None or condition is not Condition.READY:
            return not_run(RefusalReason.NO_TARGET, "no target beside node")
        wanted = (request.service, request.target_version)
        if wanted != (latest.service, latest.target_version):
            return not_run(RefusalReason.WRONG_TARGET, "another target here")
        if request.deadline <= self.clock.seconds():
            return not_run(RefusalReason.DEADLINE, "no time left", 504)
        return refuse_suspect(self.facts, request.fingerprint, wall_seconds())

    async def _run_claimed(self, request, body, ready, hold) -> Answer:
        claims = self._claims_of(request.service)
        claimed = await claims.claim(
            request.key, request.fingerprint, request.deadline
        )
        if not isinstance(claimed, Mine):
            return claim_answer(claimed)
        # From here on the request may run, so that neither a lost caller nor
        # a lost entry node may end it before its answer is kept.
        hold.shared = True
        running = ensureDeferred(
            self._run_to_end(request, body, ready, hold, claims, claimed)
        )
        waiting: Deferred = Deferred()
        running.addBoth(_pass_to, waiting)
        return await waiting

    async def _run_to_end(
        self, request, body, ready, hold, claims: Claims, claimed: Mine
    ) -> Answer:
        try:
            answer = await self._run(request, body, ready, hold)
            if isinstance(answer, BufferedAnswer):
                if answer.refusal and answer.refusal.ran is Ran.NO:
                    claims.release(request.key, claimed.claim)
                return answer
            collector = Collector()
            answer.stream_to(collector)
            data = await collector.whole
        except CallError as error:
            return _declined(broken(str(error)))
        finally:
            hold.shared = False
            hold.settle()
        claims.settle(settlement(request.key, claimed, answer.head, data))
        head = dataclasses.replace(
            answer.head, framing=Framing.LENGTH, length=len(data)
        )
        return BufferedAnswer(head, data)

    async def _run(self, request, body, ready, hold) -> Answer:
        target = self.beside.latest
        address, incarnation = target.address, target.incarnation
        try:
            connection = await self.pool.take(
                address, fresh=not request.repeatable
            )
        except ConnectError:
            self.beside.refused_connection()
            return _declined(
                not_run(RefusalReason.UNREACHABLE, "target refuses connections")
            )
        ready()
        started = self.clock.seconds()
        left = max(0.0, request.deadline - started)
        fields = for_target(
            self.dialect, left_ms=int(left * 1000), target=target.id
        )
        exchange = connection.start(request.head, body, fields)
        hold.take(exchange)
        try:
            head = await exchange.until(request.deadline)
        except TimeoutError:
            self._tally(request, started, failed=True)
            return _declined(late("target gave no answer in time"))
        except CancelledError:
            # Whoever waited gave up: it took this long at the least.
            if self.clock.seconds() - started >= GIVEN_UP_S:
                self._tally(request, started, failed=False)
            raise
        except BrokenError as error:
            if body.lost:
                return _declined(broken("request body was cut off"))
            self._tally(request, started, failed=True)
            ensureDeferred(self._probe(request, address, incarnation))
            return _declined(broken(f"target closed: {error}"))
        sound = soundness(head, request.head, self.dialect)
        if sound is not Soundness.SOUND:
            return await self._unsound(request, sound, head, exchange)
        failed = head.status >= FAILED_FROM
        self._tally(request, started, failed=failed)
        return UpstreamAnswer(clean_response(head), exchange)

    async def _unsound(
        self, request: HostRequest, sound: Soundness, head, exchange: Exchange
    ) -> Answer:
        self.lines.info(
            self.clock.seconds(),
            "answer-unsound",
            request=request.fingerprint,
            found=sound.value,
            status=head.status,
        )
        if sound is Soundness.FOREIGN:
            exchange.cancel()
            self._tally(request, self.clock.seconds(), failed=True)
            return _declined(broken("target's answer was not to this request"))
        if sound is Soundness.MISDIRECTED:
            exchange.cancel()
            self.beside.refused_connection()
            return _declined(
                not_run(
                    RefusalReason.MISDIRECTED,
                    "another target has the address",
                    arrived=True,
                )
            )
        collector = Collector()
        exchange.stream_to(collector)
        collector.whole.addErrback(lambda failure: failure.trap(CallError))
        await collector.whole
        return _declined(
            not_run(
                RefusalReason.SHED,
                "target turned the request away",
                retry_after_s=self.slots.retry_after(),
                arrived=True,
            )
        )

    async def _probe(
        self, request: HostRequest, address: str, incarnation: int
    ) -> None:
        # A target that has died is told from one that closed a connection
        # by connecting again, long before its silence would tell.
        try:
            connection = await self.pool.take(address, fresh=True)
        except ConnectError:
            connection = None
        if connection is not None:
            # One that dies may accept connections until it is gone.
            await deferLater(self.clock, PROBE_S)
            if not connection.lost:
                self.pool.give_back(connection)
                return
        self.beside.refused_connection()
        self._strike(request, address, incarnation)

    def _tally(self, request: HostRequest, started: float, *, failed) -> None:
        now = self.clock.seconds()
        cold = self.warmth.cold(self.beside.latest.incarnation, now)
        self.tallies.note(
            request.service,
            request.target_version,
            request.route,
            failed=failed,
            took_s=None if cold else now - started,
        )

    def _strike(
        self, request: HostRequest, address: str, incarnation: int
    ) -> None:
        self.lines.info(
            self.clock.seconds(),
            "target-broke",
            request=request.fingerprint,
            route=request.route,
        )
        self.spread(
            Strike(
                fingerprint=request.fingerprint,
                death=f"{address}/{incarnation}",
                expires=wall_seconds() + STRIKE_S,
            )
        )

    def _claims_of(self, service: str) -> Claims:
        if service not in self.claims:
            self.claims[service] = Claims(
                self.log, service, self.clock, self.rng
            )
        return self.claims[service]


def _declined(refusal: Refusal) -> Answer:
    return refusal_answer(refusal, to_node=True)


class _Hold:
    """A slot in use, given back once whatever comes first."""

    __slots__ = ("exchange", "host", "kind", "open", "shared", "started")

    def __init__(self, host: HostPipeline, kind: str):
        self.host = host
        self.kind = kind
        self.exchange: Exchange | None = None
        self.open = True
        self.shared = False
        self.started = 0.0
        host.in_flight += 1

    def take(self, exchange: Exchange) -> None:
        self.exchange = exchange
        self.started = self.host.clock.seconds()
        exchange.on_end = self._ended

    def settle(self) -> None:
        """Gives the slot back unless an exchange still uses it."""
        if self.shared:
            return
        if self.exchange is None or self.exchange.on_end is None:
            self._release()

    def _ended(self, ended: Ended) -> None:
        self.exchange = None
        if not self.shared:
            held_s = None
            if ended is Ended.WHOLE:
                held_s = self.host.clock.seconds() - self.started
            self._release(held_s)

    def _release(self, held_s: float | None = None) -> None:
        if self.open:
            self.open = False
            self.host.in_flight -= 1
            self.host.slots.release(held_s, self.kind)


def _pass_to(result, waiting: Deferred) -> None:
    if not waiting.called:
        waiting.callback(result)
