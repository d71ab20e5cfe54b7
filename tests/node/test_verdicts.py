"""A move has one verdict, whatever is lost and whoever holds the duty.

Seen on a day with two moves: a closed move stayed among those that the
controller works on, closing it again raised `KeyError`, and the node ended with
every call in progress.
"""

import json

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from twisted.internet.defer import Deferred, ensureDeferred
from twisted.internet.task import Clock

from fulmarrudder.model import Brake, Decision, EndMove, MoveProgress, StepMove
from fulmarrudder.node.move_executor import DECISION_SETTLE_S
from fulmarrudder.platform.errors import (
    StoreRejectedError,
    StoreUnavailableError,
)
from fulmarrudder.platform.operator_records import OperatorRecords
from fulmarrudder.platform.store import KeyedRecord, RecordBatch
from fulmarrudder.state_machine import Phase
from tests.node.fakes import FakeLease, new_node, request_of

MOVE = "caja/v2/1"
KEY = "rollout/caja"
VERDICTS = {"completed": Phase.COMPLETED, "rolled_back": Phase.TAKEN_BACK}
TICK_S = 0.25


class FakeStore:
    """The status topic, whose calls wait until the test serves them.

    Attributes:
        states: Recorded states of the move, oldest first.
        waiting: Calls that are not served, with the Deferreds of their results.
        late: Appends that are executed later, though their callers have given
            up on them.
    """

    def __init__(self):
        self.records = []
        self.waiting = []
        self.late = []

    @property
    def states(self):
        return [json.loads(r.value)["state"] for r in self.records]

    def verdicts(self):
        return [state for state in self.states if state in VERDICTS]

    async def read_latest(self, topic):
        return await self._wait(self._read)

    async def append(self, topic, record, *, expected_end=None):
        return await self._wait(lambda: self._append(record, expected_end))

    def _wait(self, execute):
        result = Deferred()
        self.waiting.append((execute, result))
        return result

    def _read(self):
        latest = {record.key: record for record in self.records}
        return RecordBatch(
            records=tuple(latest.values()), next_offset=len(self.records)
        )

    def _append(self, record, expected_end):
        if expected_end is not None and expected_end != len(self.records):
            raise StoreRejectedError(412, "endOffset")
        self.records.append(record)

    def serve(self, how="answer", index=0):
        """Serves a waiting call.

        Args:
            how: `answer`, `lose` its answer, `reject` it, or execute it
                `late`, after its caller has given up.
            index: Which call, modulo their number.
        """
        if not self.waiting:
            return
        execute, result = self.waiting.pop(index % len(self.waiting))
        if how in ("reject", "late"):
            if how == "late":
                self.late.append(execute)
            result.errback(StoreUnavailableError("503"))
            return
        try:
            value = execute()
        except StoreRejectedError as error:
            result.errback(error)
            return
        if how == "lose":
            result.errback(StoreUnavailableError("TimeoutError"))
            return
        result.callback(value)

    def execute_late(self):
        while self.late:
            try:
                self.late.pop(0)()
            except StoreRejectedError:
                continue

    def serve_all(self):
        while self.waiting:
            self.serve()


def new_holder(store, name="n1", term=0, order=1):
    """Returns a node that records verdicts in the store.

    Args:
        store: The store.
        name: Id of the node.
        term: Term in which it holds the lease; 0 when it does not.
        order: Offset of the operator's latest request.
    """
    records = OperatorRecords(store, Clock())
    node = new_node(
        name,
        lease=FakeLease(term),
        record_status=lambda move: ensureDeferred(records.record_status(move)),
        read_status=lambda move: ensureDeferred(records.read_status(move)),
        clock=Clock(),
    )
    records.node = node
    node.records = records
    node.add_move_request(request_of("caja", number=order))
    # A second open move keeps the controller at work.
    node.add_move_request(request_of("libro"))
    # Its share is up already, and stays: only one move writes to the store.
    node.gossip.broadcast(
        MoveProgress(
            move="libro/v2/1",
            service="libro",
            to_version="v2",
            permille=10,
            phase="running",
            deadline=2e9,
            term=0,
            step=1,
        )
    )
    return node


def phase_of(node):
    return next(m.phase for m in node.state.moves if m.id == MOVE)


def permille_of(node):
    return next(m.permille for m in node.state.moves if m.id == MOVE)


def status_of(state, order=1):
    """Returns the record of a status that another holder wrote."""
    status = {"state": state, "targetVersion": "v2", "requestOffset": order}
    return KeyedRecord(key=KEY, value=json.dumps(status).encode())


def decide(node, decision):
    if node.lease.holds_lease():
        node.move_executor.execute(
            EndMove(
                move=MOVE,
                decision=decision,
                by="controller",
                reason="r",
                term=node.lease.term,
            )
        )


def raise_share(node, permille, store=None):
    """Raises the share of the move; serves the calls that it makes."""
    move = next(m for m in node.state.moves if m.id == MOVE)
    node.move_executor.execute(
        StepMove(
            move=MOVE,
            term=node.lease.term,
            expected_permille=move.permille,
            permille=permille,
        )
    )
    if store is not None:
        store.serve_all()


def tick(node, seconds):
    for _ in range(int(seconds / TICK_S)):
        node.clock.advance(TICK_S)
        node.run_controller()


@pytest.fixture
def store():
    return FakeStore()


@pytest.fixture
def node(store):
    return new_holder(store, term=1)


def close(node, store, how="answer"):
    decide(node, Decision.TAKE_BACK)
    tick(node, DECISION_SETTLE_S + 2 * TICK_S)
    store.serve(how)


def test_closed_move_beside_an_open_one_is_left_alone(node, store):
    close(node, store)
    store.serve_all()
    assert phase_of(node) is Phase.TAKEN_BACK
    tick(node, 10.0)
    assert not store.waiting
    assert store.verdicts() == ["rolled_back"]


def test_verdict_whose_answer_was_lost_is_not_written_twice(node, store):
    close(node, store)
    store.serve("lose")
    assert phase_of(node) is Phase.TAKING_BACK
    tick(node, TICK_S)
    store.serve_all()
    assert phase_of(node) is Phase.TAKEN_BACK
    assert store.verdicts() == ["rolled_back"]


def test_verdict_that_was_rejected_is_written_once_more(node, store):
    close(node, store)
    store.serve("reject")
    tick(node, TICK_S)
    store.serve_all()
    assert phase_of(node) is Phase.TAKEN_BACK
    assert store.verdicts() == ["rolled_back"]


def test_verdict_of_another_holder_is_reported(node, store):
    value = json.dumps({"state": "completed", "targetVersion": "v2"})
    store.records.append(KeyedRecord(key=KEY, value=value.encode()))
    close(node, store)
    assert phase_of(node) is Phase.COMPLETED
    assert store.verdicts() == ["completed"]


def test_start_that_is_executed_late_does_not_reopen_a_verdict(node, store):
    node.move_executor.execute(
        StepMove(move=MOVE, term=1, expected_permille=0, permille=10)
    )
    store.serve()
    store.serve("late")
    close(node, store)
    store.serve_all()
    store.execute_late()
    assert store.states == ["rolled_back"]


def test_closed_move_is_not_reopened_by_a_holder_that_missed_it(node, store):
    other = new_holder(store, "n2", term=2)
    close(node, store)
    store.serve_all()
    decide(other, Decision.COMPLETE)
    deliver(other, node)
    assert phase_of(node) is Phase.TAKEN_BACK
    tick(other, DECISION_SETTLE_S + 2 * TICK_S)
    store.serve_all()
    assert phase_of(other) is Phase.TAKEN_BACK
    assert store.verdicts() == ["rolled_back"]


def test_clock_that_runs_back_does_not_hold_a_verdict_up(node, store):
    decide(node, Decision.TAKE_BACK)
    tick(node, TICK_S)
    node.clock.rightNow -= 3600.0
    tick(node, DECISION_SETTLE_S + 2 * TICK_S)
    store.serve_all()
    assert phase_of(node) is Phase.TAKEN_BACK


def test_withdrawn_move_is_forgotten(node, store):
    close(node, store)
    node.remove_move_request("caja")
    store.serve_all()
    tick(node, 10.0)
    assert all(move.id != MOVE for move in node.state.moves)


def test_request_for_the_same_version_again_gets_its_own_verdict(node, store):
    close(node, store)
    store.serve_all()
    node.add_move_request(request_of("caja", number=2))
    tick(node, 2 * TICK_S)
    store.serve_all()
    assert store.states[-1] == "active"


def restart(store, order, term=2):
    """Returns a node that starts afresh and reads what the store holds."""
    node = new_holder(store, "n1", term=term, order=order)
    ensureDeferred(node.records.load_move_results())
    store.serve_all()
    return node


def phases(node):
    return {move.id: move.phase for move in node.state.moves}


# An order for a version that was taken back before was taken for closed, and
# the new targets got no request, once the node that knew both orders had ended.
def test_verdict_of_an_earlier_request_closes_no_later_move(node, store):
    close(node, store)
    store.serve_all()
    later = restart(store, order=2)
    assert phases(later)["caja/v2/2"] is Phase.RUNNING
    tick(later, 2 * TICK_S)
    store.serve_all()
    assert store.states == ["rolled_back", "active"]
    later.move_executor.execute(
        EndMove(
            move="caja/v2/2",
            decision=Decision.COMPLETE,
            by="controller",
            reason="r",
            term=2,
        )
    )
    store.serve_all()
    tick(later, DECISION_SETTLE_S + 2 * TICK_S)
    store.serve_all()
    assert phases(later)["caja/v2/2"] is Phase.COMPLETED
    assert store.states == ["rolled_back", "active", "completed"]


def test_verdict_closes_its_own_move_after_a_restart(node, store):
    close(node, store)
    store.serve_all()
    later = restart(store, order=1)
    assert phases(later)[MOVE] is Phase.TAKEN_BACK
    tick(later, 10.0)
    store.serve_all()
    assert store.verdicts() == ["rolled_back"]


# A holder that had missed a verdict went on with shares until it decided.
def test_share_is_raised_only_after_a_look_for_the_verdict(node, store):
    raise_share(node, 10, store)
    raise_share(node, 20)
    assert permille_of(node) == 10
    store.serve_all()
    assert permille_of(node) == 20
    assert store.states == ["active"]


@pytest.mark.parametrize("state", VERDICTS)
def test_holder_that_finds_a_verdict_raises_no_share(node, store, state):
    raise_share(node, 10, store)
    store.records.append(status_of(state))
    raise_share(node, 20, store)
    assert phase_of(node) is VERDICTS[state]


def test_holder_that_finds_a_verdict_completes_nothing(node, store):
    raise_share(node, 10, store)
    store.records.append(status_of("rolled_back"))
    decide(node, Decision.COMPLETE)
    assert permille_of(node) == 10
    store.serve_all()
    assert phase_of(node) is Phase.TAKEN_BACK
    assert store.verdicts() == ["rolled_back"]


def test_share_is_not_raised_while_the_store_is_away(node, store):
    raise_share(node, 10, store)
    raise_share(node, 20)
    store.serve("reject")
    assert permille_of(node) == 10
    raise_share(node, 20, store)
    assert permille_of(node) == 20


def test_bad_version_is_taken_back_while_the_store_is_away(node, store):
    raise_share(node, 10, store)
    decide(node, Decision.TAKE_BACK)
    assert permille_of(node) == 0


def test_brake_that_comes_meanwhile_stops_a_share_and_a_completion(node, store):
    raise_share(node, 10, store)
    raise_share(node, 20)
    decide(node, Decision.COMPLETE)
    node.gossip.broadcast(
        Brake(
            move=MOVE,
            service="caja",
            target_version="v2",
            route="",
            reason="slow",
        )
    )
    store.serve_all()
    assert permille_of(node) == 10


def test_holder_that_lost_its_lease_meanwhile_raises_no_share(node, store):
    raise_share(node, 10, store)
    raise_share(node, 20)
    node.lease.held = False
    store.serve_all()
    assert permille_of(node) == 10


def progress_of(node):
    return next(f for f in node.facts.all_of(MoveProgress) if f.move == MOVE)


# A node that seeks the duty learns new terms also while another one holds it.
def test_progress_has_the_term_in_which_it_was_decided(node, store):
    raise_share(node, 10, store)
    decision = EndMove(
        move=MOVE,
        decision=Decision.TAKE_BACK,
        by="controller",
        reason="r",
        term=1,
    )
    node.lease.term = 3
    node.move_executor.execute(decision)
    assert progress_of(node).term == 1


def test_late_progress_of_an_earlier_holder_replaces_none_of_a_later(
    node, store
):
    raise_share(node, 10, store)
    raise_share(node, 20)
    other = new_holder(store, "n2", term=2)
    deliver(node, other)
    decide(other, Decision.TAKE_BACK)
    node.lease.term = 3
    store.serve_all()
    deliver(node, other)
    deliver(other, node)
    assert phase_of(node) is phase_of(other) is Phase.TAKING_BACK
    assert permille_of(node) == 0


# A verdict whose report is lost was known to the nodes that had read it only.
def test_node_that_knows_a_verdict_closes_the_move_at_a_holder_that_missed_it(
    node, store
):
    other = new_holder(store, "n2", term=2)
    raise_share(other, 10, store)
    raise_share(other, 20, store)
    close(node, store)
    store.serve_all()
    later = restart(store, order=1, term=0)
    deliver(other, later)
    assert phase_of(later) is Phase.TAKEN_BACK
    deliver(later, other)
    assert phase_of(other) is Phase.TAKEN_BACK
    known = other.facts.all_of(MoveProgress)
    deliver(other, later)
    deliver(later, other)
    assert other.facts.all_of(MoveProgress) == known


def test_verdict_that_names_no_request_closes_the_move(store):
    value = json.dumps({"state": "completed", "targetVersion": "v2"})
    store.records.append(KeyedRecord(key=KEY, value=value.encode()))
    assert phases(restart(store, order=1))[MOVE] is Phase.COMPLETED


# A holder that has not read the operator's latest order decides on the one
# before it; the operator would take that for the verdict on its latest.
def test_verdict_on_an_earlier_request_replaces_no_later_start(node, store):
    later = restart(store, order=2)
    tick(later, 2 * TICK_S)
    store.serve_all()
    assert store.states == ["active"]
    close(node, store)
    store.serve_all()
    assert store.states == ["active"]
    assert phase_of(node) is Phase.TAKING_BACK


def deliver(source, target):
    """Passes on what one node knows about the moves."""
    for fact in source.facts.all_of(MoveProgress):
        target.gossip.broadcast(fact)


def grant(holders, index, terms, keeps):
    """Grants the lease; the former holder may not have noticed."""
    for holder in holders:
        holder.lease.held = holder.lease.held and keeps
    holders[index].lease.term = next(terms)
    holders[index].lease.held = True


NODES = st.integers(0, 2)
EVENTS = st.one_of(
    st.tuples(st.just("tick"), NODES, st.sampled_from((0.25, 2.0, 5.0))),
    st.tuples(st.just("decide"), NODES, st.sampled_from(Decision)),
    st.tuples(st.just("deliver"), NODES, NODES),
    st.tuples(st.just("grant"), NODES, st.booleans()),
    st.tuples(st.just("clock"), NODES, st.sampled_from((-30.0, 3.0))),
    st.tuples(
        st.just("serve"),
        st.integers(0, 5),
        st.sampled_from(("answer", "answer", "lose", "reject", "late")),
    ),
    st.tuples(st.just("late"), NODES, st.none()),
)


def apply_event(event, holders, store, terms):
    name, index, value = event
    if name == "tick":
        tick(holders[index], value)
    elif name == "decide":
        decide(holders[index], value)
    elif name == "deliver":
        deliver(holders[index], holders[value])
    elif name == "grant":
        grant(holders, index, terms, value)
    elif name == "clock":
        holders[index].clock.rightNow += value
    elif name == "serve":
        store.serve(value, index)
    else:
        store.execute_late()


@given(st.lists(EVENTS, min_size=10, max_size=60))
@settings(max_examples=200, deadline=None, derandomize=True)
def test_any_order_of_events_and_holders_leads_to_one_verdict(events):
    store = FakeStore()
    terms = iter(range(1, 1000))
    holders = [new_holder(store, name) for name in ("n1", "n2", "n3")]
    for event in events:
        apply_event(event, holders, store, terms)
        verdicts = store.verdicts()
        assert len(verdicts) <= 1
        assert store.states[len(store.states) - len(verdicts) :] == verdicts
    store.execute_late()
    grant(holders, 0, terms, False)
    for _ in range(3):
        for source in holders:
            for target in holders:
                deliver(source, target)
        decide(holders[0], Decision.COMPLETE)
        tick(holders[0], DECISION_SETTLE_S + 4 * TICK_S)
        store.serve_all()
    for holder in holders:
        deliver(holders[0], holder)
    assert len(store.verdicts()) == 1
    assert {phase_of(h) for h in holders} == {VERDICTS[store.verdicts()[0]]}
