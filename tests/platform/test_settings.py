"""The settings file is decoded; every validation error is listed."""

import json

from fulmarrudder.platform.settings import (
    load_machine_settings,
    parse_machine_settings,
)

SETTINGS = {
    "nodeId": "sidecar-1",
    "zone": "lima-1",
    "ip": "10.1.0.41",
    "listen": {
        "inbound": "10.1.0.41:8624",
        "outbound": "10.1.0.41:8629",
        "readinessAddr": "10.1.0.41:8625",
        "control": "10.1.0.41:8620",
    },
    "portRange": [7600, 7615],
    "appAddr": "10.1.0.41:8628",
    "service": "caja",
    "bounds": {
        "drain": "2000ms",
        "grace": "6s",
        "retryBudgetRatio": 0.2,
        "budgetSlack": 58,
    },
    "platform": {"address": "10.200.1.7:8627", "form": "log"},
    "dataDir": None,
}


def test_settings_are_decoded_and_unknown_fields_ignored():
    settings = parse_machine_settings(json.dumps(SETTINGS)).ok
    assert settings.mesh_address == "10.1.0.41:7600"
    assert settings.metrics_address == "10.1.0.41:7601"
    assert (settings.drain_s, settings.grace_period_s) == (2.0, 6.0)
    assert settings.store_address == "10.200.1.7:8627"


def test_cold_target_may_get_as_much_more_as_the_bounds_allow():
    bounds = {**SETTINGS["bounds"], "coldExcess": 1.5}
    allowed = parse_machine_settings(json.dumps({**SETTINGS, "bounds": bounds}))
    assert allowed.ok.cold_excess == 1.5
    assert parse_machine_settings(json.dumps(SETTINGS)).ok.cold_excess == 1.0


def test_every_validation_error_is_listed_with_its_path():
    invalid = {**SETTINGS, "zone": 7, "appAddr": "here"}
    faults = parse_machine_settings(json.dumps(invalid)).error.faults
    assert len(faults) == 2
    assert faults[0].startswith("zone:")
    assert faults[1].startswith("appAddr:")


def test_invalid_json_and_a_missing_file_are_errors(tmp_path):
    assert parse_machine_settings("{").is_error()
    assert load_machine_settings(tmp_path / "none.json").is_error()
