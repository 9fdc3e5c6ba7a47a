"""Hold times are estimated from completed requests and by age."""

from __future__ import annotations

import pytest

from jujubewharf.routing import hold_times


def test_prior_is_used_until_enough_samples():
    times = hold_times.HoldTimes(8_000)
    times.add(100)
    assert times.mean_ms == 8_000


def test_mean_follows_samples():
    times = hold_times.HoldTimes(60_000)
    for place in range(100):
        times.add(5_000 + 10 * place)
    assert times.mean_ms == pytest.approx(5_500, rel=0.02)


def test_end_probability_depends_on_age():
    times = hold_times.HoldTimes(1_000)
    for _ in range(50):
        times.add(5_000)
    assert times.end_probability(1_000, 2_000) == pytest.approx(0.0)
    assert times.end_probability(4_000, 2_000) > 0.9


def test_holder_older_than_all_samples_may_end():
    times = hold_times.HoldTimes(1_000)
    for _ in range(50):
        times.add(5_000)
    assert 0 < times.end_probability(50_000, 1_000) < 1
