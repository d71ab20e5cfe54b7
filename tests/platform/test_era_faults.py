"""Faults in any order around eras: what must always hold does."""

import pathlib
import tempfile

import pytest
from hypothesis import HealthCheck, Phase, settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, precondition, rule

from tests.platform.test_eras import ORDERED_AT_S, World

NAMES = st.sampled_from(["n1", "n2", "n3"])


class EraFaults(RuleBasedStateMachine):
    """The store goes back while nodes are cut off, restarted or unanswered.

    `World` checks after each step that one node acts at most, and that no
    version and no verdict goes back.
    """

    def __init__(self):
        super().__init__()
        self.patch = pytest.MonkeyPatch()
        self.folder = tempfile.TemporaryDirectory()
        self.world = World(pathlib.Path(self.folder.name), self.patch)
        self.world.pass_time(ORDERED_AT_S)
        self.world.order()
        # A node whose answer was lost or late, or that has forgotten, may
        # write again.
        self.writes_once = True

    @rule(seconds=st.sampled_from([0.05, 0.3, 1.0, 3.0, 6.0]))
    def wait(self, seconds):
        self.world.pass_time(seconds)

    @rule(seconds=st.sampled_from([0.5, 2.0, 5.0]))
    def go_back(self, seconds):
        self.world.go_back(seconds)

    @rule(name=NAMES, reaches_others=st.booleans())
    def cut_off(self, name, reaches_others):
        self.world.store.cut.add(name)
        if not reaches_others:
            self.world.cut.add(name)

    @rule()
    def join_again(self):
        self.world.store.cut.clear()
        self.world.cut.clear()

    @rule(path=st.sampled_from(["append", "join", "newest", ""]))
    def lose_answers(self, path):
        self.world.store.lost = path
        self.writes_once = self.writes_once and not path

    @rule(name=NAMES, late_s=st.sampled_from([0.0, 0.3, 1.2]))
    def answer_late(self, name, late_s):
        self.world.store.delays[name] = late_s
        self.writes_once = self.writes_once and not late_s

    @precondition(lambda self: not self.world.cut and not self.world.store.cut)
    @rule(name=NAMES)
    def restart(self, name):
        self.writes_once = False
        self.world.pass_time(1.0)
        self.world.kill(name)
        self.world.start(name)
        # It hears of the others before it is cut off from them.
        self.world.pass_time(1.0)

    def teardown(self):
        try:
            self.world.cut.clear()
            self.world.check_settled(writes_once=self.writes_once)
        finally:
            self.patch.undo()
            self.folder.cleanup()


TestEraFaults = EraFaults.TestCase
TestEraFaults.settings = settings(
    max_examples=25,
    stateful_step_count=10,
    deadline=None,
    derandomize=True,
    phases=(Phase.generate,),
    suppress_health_check=list(HealthCheck),
)
