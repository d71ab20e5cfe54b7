"""Each move has one verdict, whatever happens to holders, orders and the store.

Three nodes seek the duty. They restart, the lease goes from one to another,
orders repeat a version that was taken back, progress and appends come late,
answers are lost, and clocks step.
"""

import json
import random

import pytest
from twisted.internet.defer import Deferred, ensureDeferred
from twisted.internet.task import Clock

from fulmarrudder.model import Decision, EndMove, MoveProgress, StepMove
from fulmarrudder.move.schedule import SHARES_PERMILLE
from fulmarrudder.node.move_executor import DECISION_SETTLE_S
from fulmarrudder.platform.errors import (
    StoreRejectedError,
    StoreUnavailableError,
)
from fulmarrudder.platform.lease import RESIGN_S, TTL_S, GroupLease
from fulmarrudder.platform.operator_records import (
    OPERATOR_TOPIC,
    STATUS_TOPIC,
    OperatorRecords,
)
from fulmarrudder.platform.store import (
    GroupMembership,
    KeyedRecord,
    RecordBatch,
)
from fulmarrudder.platform.tail import Tail
from fulmarrudder.state_machine import OPEN_PHASES, Phase
from tests.node.fakes import new_node

KEY = "rollout/caja"
VERDICTS = {"completed": Phase.COMPLETED, "rolled_back": Phase.TAKEN_BACK}
TICK_S = 0.25
NAMES = ("n1", "n2", "n3")


class Call:
    """A call of a node that the test serves.

    Attributes:
        result: Deferred of its result.
        told: Status records at the time of its execution.
    """

    def __init__(self, client, execute):
        self.client = client
        self.execute = execute
        self.result = Deferred()
        self.told = None
        self.value = None


class Store:
    """Topics and a group; calls are answered at once or as planned.

    Attributes:
        planned: What happens to the next `read` and the next `append`; see
            `serve`.
        topics: Records of each topic, oldest first.
        holder: Id of the member to which the partition is assigned.
        generation: Generation of the group.
        waiting: Calls that were not executed yet.
        answers: Calls that were executed, whose answers are under way.
        late: Appends that are executed after their callers have given up.
        told: Status records that the answer being passed on tells, or None.
    """

    def __init__(self):
        self.topics = {OPERATOR_TOPIC: [], STATUS_TOPIC: []}
        self.planned = {}
        self.holder = ""
        self.generation = 0
        self.waiting = []
        self.answers = []
        self.late = []
        self.told = None

    def order(self, version):
        """Writes an order of the operator."""
        order = {
            "service": "caja",
            "targetVersion": version,
            "duration": "9000s",
        }
        value = json.dumps(order).encode()
        self.topics[OPERATOR_TOPIC].append(KeyedRecord(key=KEY, value=value))

    def grant(self, member):
        """Assigns the partition; the former holder is not told."""
        self.holder = member
        self.generation += 1

    def statuses(self):
        """Returns offset of the order and state of each recorded status."""
        return statuses_in(self.topics[STATUS_TOPIC])

    def start(self, call, kind):
        """Serves a call as planned."""
        how = self.planned.pop(kind, "answer")
        if how == "wait":
            self.waiting.append(call)
        else:
            self.serve(call, how)

    def serve(self, call, how="answer"):
        """Serves a call.

        Args:
            call: The call.
            how: `answer`; `slow` to pass its answer on later; `lose` its
                answer; `reject` it; or execute it `late`, after its caller has
                given up.
        """
        if how in ("reject", "late"):
            if how == "late":
                self.late.append(call)
            call.value = StoreUnavailableError("503")
            self._pass_on(call)
            return
        self._execute(call)
        if how == "lose":
            call.value = StoreUnavailableError("TimeoutError")
        if how == "slow":
            self.answers.append(call)
            return
        self._pass_on(call)

    def serve_waiting(self):
        """Executes the calls that wait and passes slow answers on."""
        self.planned.clear()
        while self.waiting or self.answers:
            if self.waiting:
                self.serve(self.waiting.pop(0))
            if self.answers:
                self._pass_on(self.answers.pop(0))

    def serve_late(self):
        """Executes the calls whose callers have given up on them."""
        while self.late:
            self._execute(self.late.pop(0))

    def _execute(self, call):
        try:
            call.value = call.execute()
        except StoreRejectedError as error:
            call.value = error
        call.told = tuple(self.topics[STATUS_TOPIC])

    def _pass_on(self, call):
        if not call.client.alive:
            return
        told, self.told = self.told, call.told
        if isinstance(call.value, Exception):
            call.result.errback(call.value)
        else:
            call.result.callback(call.value)
        self.told = told


class Client:
    """A node's client of the store.

    Attributes:
        alive: Whether its process runs.
        cut: Whether the group's answers do not reach it.
    """

    def __init__(self, store):
        self.store = store
        self.alive = True
        self.cut = False

    def _call(self, execute, kind):
        call = Call(self, execute)
        self.store.start(call, kind)
        return call.result

    async def read_latest(self, topic, **_):
        records = self.store.topics[topic]

        def execute():
            latest = {record.key: record for record in numbered(records)}
            return RecordBatch(
                records=tuple(latest.values()), next_offset=len(records)
            )

        return await self._call(execute, "read")

    async def read(self, topic, start, wait_s, **_):
        records = self.store.topics[topic]
        return await self._call(
            lambda: RecordBatch(
                records=numbered(records)[start:], next_offset=len(records)
            ),
            "read",
        )

    async def append(self, topic, record, *, expected_end=None):
        records = self.store.topics[topic]

        def execute():
            if expected_end is not None and expected_end != len(records):
                raise StoreRejectedError(412, "endOffset")
            records.append(record)

        return await self._call(execute, "append")

    async def join_group(self, group, member, topic, *, ttl_s, generation):
        if self.cut:
            raise StoreUnavailableError("TimeoutError")
        return GroupMembership(
            generation=self.store.generation,
            holds_partition=self.store.holder == member,
        )

    async def leave_group(self, group, member):
        pass


def numbered(records):
    return tuple(
        KeyedRecord(key=record.key, value=record.value, offset=offset)
        for offset, record in enumerate(records)
    )


def statuses_in(records):
    documents = [json.loads(record.value) for record in records]
    return [(d["requestOffset"], d["state"]) for d in documents]


class Holder:
    """A node that seeks the duty.

    Attributes:
        progress: Progress that any holder has reported, oldest first; late
            progress is taken from it.
        failures: Failures of its tasks.
    """

    def __init__(self, store, name, boot, progress):
        self.store = store
        self.progress = progress
        self.failures = []
        self.client = Client(store)
        self.clock = Clock()
        self.clock.advance(1000.0)
        self.member = f"{name}/{boot}"
        self.records = OperatorRecords(self.client, self.clock)
        self.lease = GroupLease(
            self.client, self.clock, self.member, self.catch_up
        )
        self.node = new_node(
            name,
            lease=self.lease,
            record_status=self.calling(self.records.record_status),
            read_status=self.calling(self.records.read_status),
            clock=self.clock,
        )
        self.records.node = self.node
        self.tail = Tail(
            store=self.client,
            clock=self.clock,
            rng=self.node.rng,
            topic=OPERATOR_TOPIC,
            on_record=self.records.apply_record,
            on_answer=lambda start, batch: self.node.confirm_version(),
            reads_from=lambda: 0.0,
            due_s=2.0,
        )
        self.renewal = None
        self.reading = None
        self.executor = self.node.move_executor
        self.executor.broadcast = self.broadcast
        self.node.controller.append = self.execute

    @staticmethod
    def calling(coroutine):
        return lambda move: ensureDeferred(coroutine(move))

    async def catch_up(self):
        await self.tail.catch_up()
        await self.records.load_move_results()

    def watch(self, deferred):
        """Keeps what no one handles, other than faults of the store."""
        return deferred.addErrback(self.failures.append)

    def execute(self, body):
        return self.watch(self.executor.execute(body))

    def read(self):
        """Reads orders and results, as a node does from its start on."""
        reading = ensureDeferred(self.catch_up())
        reading.addErrback(
            lambda f: f.trap(StoreUnavailableError, StoreRejectedError)
        )
        self.watch(reading)

    def broadcast(self, progress):
        """Checks what this node decides, before it reports it."""
        before = self.move()
        if Phase(progress.phase) in OPEN_PHASES:
            known = self.store.told
            if known is None:
                known = self.store.topics[STATUS_TOPIC]
            if progress.permille > before.permille:
                verdicts = verdicts_on(before.opened, statuses_in(known))
                assert not verdicts, "share raised after a verdict"
                assert progress.term == self.lease.term
                assert self.lease.holds_lease()
        self.progress.append(progress)
        self.node.gossip.broadcast(progress)

    def move(self):
        return next(iter(self.node.state.moves), None)

    def tick(self, seconds):
        for _ in range(int(seconds / TICK_S)):
            self.clock.advance(TICK_S)
            if self.renewal is None or self.renewal.called:
                call = self.lease.tick(is_candidate=True)
                if call is not None:
                    self.renewal = self.watch(ensureDeferred(call))
            if self.reading is None or self.reading.called:
                call = self.lease.read_records()
                if call is not None:
                    self.reading = self.watch(ensureDeferred(call))
            self.node.run_controller()

    def decide(self, decision):
        move = self.move()
        if move is not None and self.lease.holds_lease():
            self.execute(
                EndMove(
                    move=move.id,
                    decision=decision,
                    by="controller",
                    reason="r",
                    term=self.lease.term,
                )
            )

    def raise_share(self):
        move = self.move()
        if move is None or not self.lease.holds_lease():
            return
        higher = [p for p in SHARES_PERMILLE[:-1] if p > move.permille]
        if higher:
            self.execute(
                StepMove(
                    move=move.id,
                    term=self.lease.term,
                    expected_permille=move.permille,
                    permille=higher[0],
                )
            )

    def close(self, decision):
        """Decides; then waits until the verdict may be recorded."""
        self.decide(decision)
        self.tick(DECISION_SETTLE_S + 2 * TICK_S)

    def receive(self, progress):
        self.node.gossip.broadcast(progress)

    def check(self):
        assert not self.failures
        assert not self.node.supervisor.logged
        move, result = self.move(), self.node.move_requests.results.get("caja")
        if result is not None and result.request_offset == move.opened:
            assert move.phase not in OPEN_PHASES


class Fleet:
    """The nodes, the store and what the nodes have reported."""

    def __init__(self):
        self.store = Store()
        self.progress = []
        self.boots = iter(range(1000))
        self.store.order("v2")
        self.holders = [self.boot(name) for name in NAMES]
        for holder in self.holders:
            holder.read()

    def boot(self, name):
        return Holder(self.store, name, next(self.boots), self.progress)

    def restart(self, index):
        old = self.holders[index]
        old.check()
        old.client.alive = False
        self.holders[index] = self.boot(NAMES[index])
        self.holders[index].read()

    def deliver(self, source, target):
        for fact in self.holders[source].node.facts.all_of(MoveProgress):
            self.holders[target].receive(fact)

    def check(self):
        for holder in self.holders:
            holder.check()
        statuses = self.store.statuses()
        orders = [order for order, _ in statuses]
        assert orders == sorted(orders), "an earlier order came after a later"
        for order in set(orders):
            states = [state for of, state in statuses if of == order]
            assert len(verdicts_on(order, statuses)) <= 1
            assert not any(state in VERDICTS for state in states[:-1])

    def settle(self):
        """Lets the first node hold the duty, with nothing in its way."""
        self.store.serve_late()
        self.store.serve_waiting()
        first = self.holders[0]
        first.client.cut = False
        self.store.grant(first.member)
        for _ in range(4):
            for source in range(len(NAMES)):
                for target in range(len(NAMES)):
                    self.deliver(source, target)
            first.tick(RESIGN_S + TTL_S)
            first.close(Decision.COMPLETE)
        for target, holder in enumerate(self.holders):
            self.deliver(0, target)
            holder.read()


def verdicts_on(order, statuses):
    return [s for of, s in statuses if of == order and s in VERDICTS]


EVENTS_A_RUN = 60
NODES = range(len(NAMES))
FAULTS = ("wait", "slow", "lose", "reject", "late")
# Kind of event: how often it is drawn, and the values drawn with it.
EVENTS = {
    "tick": (2, (0.25, 2.0)),
    "raise": (3, (None,)),
    "close": (3, tuple(Decision)),
    "decide": (1, tuple(Decision)),
    "deliver": (1, NODES),
    "late-progress": (1, range(30)),
    "grant": (3, (False, True, True)),
    "restart": (1, (None,)),
    "order": (1, ("v2", "v2", "v3")),
    "read": (1, (None,)),
    "clock": (1, (-30.0, -1.0, 3.0)),
    "plan-read": (1, FAULTS),
    "plan-append": (3, FAULTS),
    "late-append": (2, (None,)),
    "serve-waiting": (1, (None,)),
}


def draw_events(rng):
    kinds = list(EVENTS)
    weights = [weight for weight, _ in EVENTS.values()]
    for kind in rng.choices(kinds, weights, k=EVENTS_A_RUN):
        _, values = EVENTS[kind]
        yield kind, rng.choice(NODES), rng.choice(values)


def acting(fleet, index):
    """Returns one of the nodes that take themselves for the holder."""
    found = [h for h in fleet.holders if h.lease.holds_lease()]
    return found[index % len(found)] if found else fleet.holders[index]


def grant(fleet, index, former_is_cut):
    """Grants the lease; a former holder that is cut does not notice."""
    for holder in fleet.holders:
        holder.client.cut = former_is_cut
    fleet.holders[index].client.cut = False
    fleet.store.grant(fleet.holders[index].member)
    fleet.holders[index].tick(1.0)


def receive_late(fleet, index, which):
    if fleet.progress:
        late = fleet.progress[which % len(fleet.progress)]
        fleet.holders[index].receive(late)


def step_clock(fleet, index, seconds):
    fleet.holders[index].clock.rightNow += seconds


def plan(kind):
    def apply(fleet, _, how):
        fleet.store.planned[kind] = how

    return apply


EFFECTS = {
    "tick": lambda fleet, index, s: fleet.holders[index].tick(s),
    "raise": lambda fleet, index, _: acting(fleet, index).raise_share(),
    "close": lambda fleet, index, how: acting(fleet, index).close(how),
    "decide": lambda fleet, index, how: acting(fleet, index).decide(how),
    "deliver": lambda fleet, index, target: fleet.deliver(index, target),
    "late-progress": receive_late,
    "grant": grant,
    "restart": lambda fleet, index, _: fleet.restart(index),
    "order": lambda fleet, _, version: fleet.store.order(version),
    "read": lambda fleet, index, _: fleet.holders[index].read(),
    "clock": step_clock,
    "plan-read": plan("read"),
    "plan-append": plan("append"),
    "late-append": lambda fleet, *_: fleet.store.serve_late(),
    "serve-waiting": lambda fleet, *_: fleet.store.serve_waiting(),
}


@pytest.mark.parametrize("seed", range(300))
def test_any_order_of_faults_leads_to_one_verdict_for_each_move(seed):
    fleet = Fleet()
    for kind, index, value in draw_events(random.Random(seed)):
        EFFECTS[kind](fleet, index, value)
        fleet.check()
    fleet.settle()
    fleet.check()
    latest = len(fleet.store.topics[OPERATOR_TOPIC]) - 1
    (verdict,) = verdicts_on(latest, fleet.store.statuses())
    for holder in fleet.holders:
        assert holder.move().phase is VERDICTS[verdict]
