"""A target that answers nothing gets few requests until one is answered."""

from fulmarrudder.placement.circuit import (
    LOSSES_TO_OPEN,
    PROBE_PERIOD_S,
    Circuit,
)


def opened(now):
    circuit = Circuit()
    for _ in range(LOSSES_TO_OPEN):
        assert circuit.admits(now)
        circuit.lost(now)
    return circuit


def test_losses_in_a_row_open_it_and_one_request_tries():
    circuit = opened(10.0)
    assert not circuit.admits(10.0)
    assert circuit.admits(10.0 + PROBE_PERIOD_S)
    assert not circuit.admits(10.0 + PROBE_PERIOD_S)
    circuit.answered()
    assert circuit.admits(10.0 + PROBE_PERIOD_S)


def test_answers_between_losses_keep_it_closed():
    circuit = Circuit()
    for _ in range(5 * LOSSES_TO_OPEN):
        circuit.lost(10.0)
        circuit.lost(10.0)
        circuit.answered()
    assert circuit.admits(10.0)
