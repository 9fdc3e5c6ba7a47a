"""Rate limits of endpoints: permits per window and retry-after times."""

from __future__ import annotations

import random

import pytest

from jujubewharf.forwarding import limits

WINDOW_MS = 4_000.0


def _granted(
    limiter, rate_per_s: float, *, every_ms: float, part: float = 1.0
) -> list[float]:
    """Times at which requests at a fixed interval get a permit."""
    times = []
    now_ms = 0.0
    while now_ms < 60_000.0:
        if limiter.take("s1", rate_per_s, now_ms, part=part) <= 0.0:
            times.append(now_ms)
        now_ms += every_ms
    return times


def _most(times: list[float]) -> int:
    return max(sum(t <= u < t + WINDOW_MS for u in times) for t in times)


@pytest.mark.parametrize("rate_per_s", [0.5, 1.8, 7.0, 60.0])
def test_windows_stay_within_limit_and_burst(rate_per_s):
    """Most of the limit is used, and bursts are bounded."""
    limiter = limits.EndpointRateLimiter(lambda: 0.0)
    times = _granted(limiter, rate_per_s, every_ms=7.0)
    allowed = rate_per_s * WINDOW_MS / 1_000.0
    assert _most(times) <= allowed + max(1.0, rate_per_s / 4.0) + 1.0
    assert len(times) >= 0.85 * rate_per_s * 60.0


@pytest.mark.parametrize("instances", [6, 60, 380])
def test_independent_instances_stay_within_the_limit(instances):
    """Independent buckets must not all start with a whole permit."""
    rng = random.Random(instances)
    rate_per_s = 1.5
    times = []
    for _ in range(instances):
        limiter = limits.EndpointRateLimiter(rng.random)
        times += _granted(
            limiter,
            rate_per_s,
            every_ms=28.0 * instances,
            part=1.0 / instances / 2,
        )
    assert _most(sorted(times)) <= 1.5 * rate_per_s * 4.0 + 5


def test_retry_after_times_differ():
    limiter = limits.EndpointRateLimiter(lambda: 0.0)
    waits = [limiter.take("s1", 2.0, 0.0) for _ in range(5)]
    assert waits == [500.0, 1_000.0, 1_500.0, 2_000.0, 2_500.0]


def test_zero_limit_allows_occasional_requests():
    """Without any request nobody would learn that the limit has ended."""
    limiter = limits.EndpointRateLimiter(lambda: 0.0)
    times = _granted(limiter, 0.0, every_ms=100.0)
    assert 4 <= len(times) <= 6
