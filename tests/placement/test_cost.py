"""Costs are learned by class, with their spread."""

import random

import pytest

from fulmarrudder.placement.cost import (
    DEFAULT_COST_S,
    MAX_CLASSES,
    CostClass,
    Costs,
    Histogram,
    class_of,
)


def filled(costs):
    histogram = Histogram()
    for cost_s in costs:
        histogram.add(cost_s)
    return histogram


@pytest.mark.parametrize(
    ("body_bytes", "size"),
    [(0, 0), (1, 1), (8_192, 1), (8_193, 2), (70_000, 3)],
)
def test_classes_differ_by_route_and_size(body_bytes, size):
    assert class_of("a", body_bytes) == CostClass("a", size)


def test_quantiles_show_the_tail():
    rng = random.Random(1)
    costs = [0.7 if rng.random() < 0.05 else 0.1 for _ in range(4_000)]
    histogram = filled(costs)
    assert histogram.quantile_s(0.5) == pytest.approx(0.1, rel=0.25)
    assert histogram.quantile_s(0.99) == pytest.approx(0.7, rel=0.25)
    assert histogram.mean_s == pytest.approx(0.13, rel=0.25)


def test_request_that_has_run_for_long_is_expected_to_run_on():
    histogram = filled([0.1] * 95 + [0.7] * 5)
    fresh_s, old_s = histogram.left_s(0.0), histogram.left_s(0.2)
    assert fresh_s == pytest.approx(0.13, rel=0.1)
    assert old_s == pytest.approx(0.5, rel=0.1)
    assert histogram.left_s(2.0) == 2.0


def test_later_costs_replace_earlier_ones():
    histogram = filled([0.1] * 1_000 + [0.3] * 1_000)
    assert histogram.mean_s == pytest.approx(0.3, rel=0.05)


def test_unknown_class_costs_what_all_cost_and_classes_are_bounded():
    costs = Costs()
    assert costs.mean_s(CostClass("new")) == DEFAULT_COST_S
    for index in range(2 * MAX_CLASSES):
        costs.add(CostClass(f"r{index}"), 0.2)
    assert costs.mean_s(CostClass("new")) == pytest.approx(0.2)
    assert len(costs.by_class) == MAX_CLASSES
