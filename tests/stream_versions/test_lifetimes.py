"""For how long streams may be taken up, and how far back versions count."""

from __future__ import annotations

import dataclasses

import pytest

from jujubewharf.stream_versions import lifetimes
from tests.forwarding import deployments

ROUTE = deployments.STREAM


# A service counted as one with a lone version before the streams were forgotten
# that another version had begun.
@pytest.mark.parametrize("timeout_ms", [100.0, 3_000.0, 14_000.0, 90_000.0])
def test_look_back_is_longer_than_streams_are_remembered(timeout_ms):
    route = dataclasses.replace(ROUTE, timeout_ms=timeout_ms)
    known = lifetimes.StreamLifetimes()
    assert known.look_back_ms(route) >= known.keep_ms(route) + timeout_ms
    assert known.keep_ms(route) >= 60_000.0


# A configuration shortened the timeout while streams ran under the longer one.
def test_shortened_timeout_shortens_nothing():
    known = lifetimes.StreamLifetimes()
    long = dataclasses.replace(ROUTE, timeout_ms=90_000.0)
    short = dataclasses.replace(ROUTE, timeout_ms=2_000.0)
    before_ms = known.keep_ms(long)
    assert known.keep_ms(short) == before_ms
    assert known.look_back_ms(short) >= before_ms
