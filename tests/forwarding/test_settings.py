"""Validation of the settings file."""

from __future__ import annotations

import json

import pytest

from jujubewharf.forwarding import settings

GOOD = {
    "instance": "e1",
    "domain": "a",
    "callers": "10.0.0.1:80",
    "readiness": "10.0.0.1:81",
    "store": {"address": "10.0.0.9:1", "part_count": 24, "group_ttl_ms": 3000},
    "retries": {"ratio": 0.2, "slack": 40, "window_s": 10},
    "stop_within_s": 8,
}


def _read(tmp_path, values):
    path = tmp_path / "settings.json"
    path.write_text(json.dumps(values))
    return settings.read(path)


def test_good_settings(tmp_path):
    read = _read(tmp_path, GOOD)
    assert settings.split_address(read.callers) == ("10.0.0.1", 80)


@pytest.mark.parametrize(
    ("name", "value"),
    [
        ("callers", "host.example:80"),
        ("callers", "10.0.0.1"),
        ("callers", "10.0.0.1:99999"),
        ("stop_within_s", 0),
        ("instance", ""),
        ("log_level", "loud"),
        ("unknown", 1),
        ("admission", {"account_weights": {"a": 0}}),
        ("admission", {"account_weights": {"a": -1}}),
        ("admission", {"account_weights": {"a": 1_000.5}}),
        ("admission", {"account_weights": {"a": "many"}}),
        ("admission", {"account_weights": {f"a{n}": 1 for n in range(10_001)}}),
        ("admission", {"starving_share": 0}),
        ("admission", {"starving_share": 1.5}),
        ("admission", {"weights": {}}),
    ],
)
def test_invalid_value_is_named(tmp_path, name, value):
    with pytest.raises(ValueError, match=name):
        _read(tmp_path, GOOD | {name: value})


def test_admission_settings(tmp_path):
    """Settings must reach the wait queues as they were written."""
    weights = {f"a{n}": 1_000 for n in range(10_000)}
    admission = {"account_weights": weights, "is_enabled": False}
    policy = _read(tmp_path, GOOD | {"admission": admission}).admission.policy
    assert policy.account_weights == weights
    assert policy.starving_share == 0.5
    assert not policy.is_enabled
