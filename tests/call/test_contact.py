"""A data centre that is cut off is found silent once, not endpoint by endpoint."""

import collections
import random

from fulmarrudder.call.contact import MAX_PROBE_INTERVAL_S
from fulmarrudder.call.endpoint_stats import LoadReport
from fulmarrudder.call.load_balancer import LoadBalancer
from tests.call.test_load_balancer import endpoint

FAR = "lima-2"
THIRD = "lima-3"
SERVICE_TIME_S = 0.1
STEP_S = 0.05
REPORT = LoadReport(load=0, service_time_s=SERVICE_TIME_S)


class Scene:
    """An entry node whose service has many endpoints in two other data centres."""

    def __init__(self):
        self.balancer = LoadBalancer("lima-1", random.Random(1))
        self.endpoints = tuple(
            endpoint(f"{data_centre}-{index}", data_centre=data_centre)
            for data_centre in (FAR, THIRD)
            for index in range(20)
        )
        self.now = 10.0
        self.silent = set()
        self.under_way = []
        self.sent = collections.Counter()
        for presence in self.endpoints:
            self.balancer.record_load_report(presence, self.now, REPORT)

    def run(self, seconds):
        """Sends a request each step; it is answered unless its data centre is cut."""
        for _ in range(round(seconds / STEP_S)):
            self.now += STEP_S
            self._answer()
            chosen = self.balancer.choose(self.endpoints, "1", self.now)
            self.balancer.record_sent(chosen, self.now)
            self.sent[chosen.data_centre] += 1
            self.under_way.append((self.now + SERVICE_TIME_S, chosen))

    def _answer(self):
        for due, presence in tuple(self.under_way):
            if due > self.now or presence.data_centre in self.silent:
                continue
            self.under_way.remove((due, presence))
            self.balancer.record_load_report(presence, self.now, REPORT)
            self.balancer.record_finished(
                presence, self.now, SERVICE_TIME_S, failed=False
            )


def test_both_data_centres_are_used_while_both_answer():
    scene = Scene()
    scene.run(10.0)
    assert min(scene.sent[FAR], scene.sent[THIRD]) > 60


# Each of 20 endpoints had to be found silent by itself: during a cut of 6 s a tenth of
# the requests went there (esfera-lima-grown trouble-3, seconds 30 to 36).
def test_cut_data_centre_gets_few_requests():
    scene = Scene()
    scene.run(5.0)
    scene.sent.clear()
    scene.silent.add(FAR)
    scene.run(6.0)
    # Those until the first answer is overdue, at 0.3 s, and the probes.
    assert scene.sent[FAR] <= 0.3 / STEP_S + 4
    assert scene.sent[THIRD] >= 100


def test_data_centre_is_used_again_soon_after_the_cut():
    scene = Scene()
    scene.run(5.0)
    scene.silent.add(FAR)
    scene.run(6.0)
    scene.silent.clear()
    scene.run(MAX_PROBE_INTERVAL_S + 1.0)
    scene.sent.clear()
    scene.run(5.0)
    assert scene.sent[FAR] > 20


# Guards against a request that takes long and makes a data centre look cut off.
def test_answers_to_others_show_that_a_data_centre_is_there():
    scene = Scene()
    scene.run(1.0)
    waiting = scene.endpoints[0]
    scene.balancer.record_sent(waiting, scene.now)
    scene.run(5.0)
    assert scene.sent[FAR] > 25


def test_only_data_centre_is_used_while_it_is_silent():
    scene = Scene()
    scene.endpoints = scene.endpoints[:20]
    scene.silent.add(FAR)
    scene.run(3.0)
    assert scene.sent[FAR] == 3.0 / STEP_S
