"""The log rate limit drops and counts frequent events, and only these."""

from __future__ import annotations

import pytest
import structlog

from jujubewharf.telemetry import log_rate_limiter


def _written(bound, event: str) -> dict | None:
    try:
        return bound(None, "info", {"event": event})
    except structlog.DropEvent:
        return None


def test_frequent_events_are_dropped_and_counted():
    now_s = [0.0]
    bound = log_rate_limiter.LogRateLimiter(max_per_s=3, now_s=lambda: now_s[0])
    storm = [_written(bound, "refused") for _ in range(10)]
    assert [line is not None for line in storm] == [True] * 3 + [False] * 7
    assert _written(bound, "other") == {
        "event": "other",
        "left_out": {"refused": 7},
    }
    now_s[0] = 1.0
    assert _written(bound, "refused") == {"event": "refused"}


@pytest.mark.parametrize("count", [1, 200])
def test_events_within_the_limit_are_written(count):
    bound = log_rate_limiter.LogRateLimiter(now_s=lambda: 0.0)
    assert all(_written(bound, "refused") for _ in range(count))
