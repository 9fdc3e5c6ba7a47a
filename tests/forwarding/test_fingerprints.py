"""Which tries count as the same request."""

from __future__ import annotations

import pytest

from jujubewharf.forwarding import fingerprints
from tests.forwarding import deployments


def _of(**more) -> fingerprints.Fingerprint:
    call = deployments.Deployment.call
    given = {"arrived_ms": 0.0, "path_query": "/verdicts/1"} | more
    world = deployments.Deployment()
    world.clock.now_ms = lambda: 0.0
    return fingerprints.Fingerprint.from_call(
        call(world, given.pop("path_query"), **given)
    )


@pytest.mark.parametrize(
    "again",
    [
        {"request_id": "another"},
        {"caller_timeout_ms": 500.0, "last_event": 3},
        {"headers": (("Idempotency-Key", "k"), ("Accept", "x"))},
        {"host": deployments.HOST.upper()},
    ],
)
def test_retried_request_has_the_same_fingerprint(again):
    assert _of(**again) == _of()


@pytest.mark.parametrize(
    "other",
    [
        {"body": b"Body"},
        {"path_query": "/verdicts/1?x"},
        {"method": "PUT"},
        {"account": "acme"},
        {"headers": (("Authorization", "Bearer a"),)},
        {"host": "other.example"},
    ],
)
def test_different_request_has_another_fingerprint(other):
    assert _of(**other) != _of()


def test_field_boundaries_are_hashed():
    first = _of(path_query="/a", headers=(("Authorization", "b"),))
    assert first.digest != _of(path_query="/ab").digest


def test_non_text_paths_are_distinguished():
    assert _of(path_query="/\udcff") != _of(path_query="/\udcfe")
