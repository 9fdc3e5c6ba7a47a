"""What operators and endpoints write, decoded once."""

from __future__ import annotations

import json

import pytest
from users_platform import records

from jujubewharf.configuration import resources
from jujubewharf.forwarding import routes

ROUTE = {
    "name": "r",
    "host": "Shop.Example",
    "pathPrefix": "/a/",
    "kind": "stream",
    "timeoutMs": 14000,
    "sloLatencyMs": 900,
    "priority": 1,
    "service": "s",
    "maxAttempts": 2,
    "sticky": True,
    "resumable": True,
    "gapSloMs": 300,
}
CONFIGURATION = {
    "version": 7,
    "routes": [ROUTE],
    "services": [
        {
            "name": "s",
            "healthPath": "/healthz",
            "engine": {
                "slots": 12,
                "kvTokens": 81432,
                "handleTtlS": 0.5,
                "switchS": 6.0,
                "holdMs": 2000.0,
            },
        },
        {"name": "p", "healthPath": "/healthz"},
    ],
    "limits": {
        "maxHeaderBytes": 1,
        "maxBodyBytes": 2,
        "headerTimeoutMs": 3,
        "idleTimeoutMs": 4,
    },
}
SERVER = {
    "service": "s",
    "address": "10.0.0.1:80",
    "zone": "z",
    "version": "v1",
    "slots": 12,
    "state": "ready",
    "coldLeftMs": 0,
    "stage": "decode",
    "seq": 4,
}


def _configuration(**route):
    value = CONFIGURATION | {"routes": [ROUTE | route]}
    return records.configuration("config", json.dumps(value).encode())


def _endpoint(**more):
    return records.endpoint("i-1", json.dumps(SERVER | more).encode())


def test_a_configuration():
    found = _configuration()
    assert found.version == 7
    (route,) = found.routes
    assert route == routes.Route(
        "r",
        "shop.example",
        "/a/",
        (routes.Share("s", 1.0),),
        repeat=routes.Repeat.CONTINUE,
        is_stream=True,
        is_model=True,
        timeout_ms=14_000.0,
        target_ms=900.0,
        priority=1,
        max_attempts=2,
    )
    assert found.services["s"].engine == routes.EngineTraits(
        12, 81_432, 500.0, 6_000.0, 2_000.0
    )
    assert found.services["p"].engine is None
    assert found.limits == routes.CallerLimits(1, 2, 3.0, 4.0)


@pytest.mark.parametrize(
    ("kind", "resumable", "expected"),
    [
        ("idempotent", False, routes.Repeat.AGAIN),
        ("non_idempotent", False, routes.Repeat.NEVER),
        ("stream", False, routes.Repeat.NEVER),
        ("stream", True, routes.Repeat.CONTINUE),
        # A kind that isn't known is the one that may do least.
        ("keyed", True, routes.Repeat.NEVER),
    ],
)
def test_what_may_be_repeated(kind, resumable, expected):
    found = _configuration(kind=kind, resumable=resumable)
    assert found.routes[0].repeat is expected


def test_a_split_route():
    split = [{"service": "a", "weight": 90}, {"service": "b", "weight": 10}]
    found = _configuration(trafficSplit=split)
    assert found.routes[0].shares == (
        routes.Share("a", 90.0),
        routes.Share("b", 10.0),
    )


def test_records_of_other_matters_are_none():
    assert records.configuration("other", b"{}") is None


@pytest.mark.parametrize("value", [b"", b"[]", b"{}", b'{"version":"x"}'])
def test_what_cant_be_understood_is_said(value):
    with pytest.raises(ValueError, match="validation error"):
        records.configuration("config", value)
    with pytest.raises(ValueError, match="validation error"):
        records.endpoint("i-1", value)


def test_an_engine():
    assert _endpoint() == resources.Endpoint(
        "i-1", "s", "10.0.0.1:80", "z", resources.Role.DECODE, slots=12
    )


@pytest.mark.parametrize(
    ("more", "role", "is_drained"),
    [
        ({"stage": "prefill"}, resources.Role.PREFILL, False),
        ({"stage": "colocated"}, resources.Role.BOTH, False),
        ({"stage": None}, resources.Role.PLAIN, False),
        ({"state": "draining"}, resources.Role.DECODE, True),
        # A state that isn't known is not one in which work is taken.
        ({"state": "odd"}, resources.Role.DECODE, True),
    ],
)
def test_roles_and_states(more, role, is_drained):
    found = _endpoint(**more)
    assert (found.role, found.drained) == (role, is_drained)
