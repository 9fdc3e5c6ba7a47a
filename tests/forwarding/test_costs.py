"""Cost estimates are unaffected by queueing and cache hits."""

from __future__ import annotations

import random

import pytest

from jujubewharf.forwarding import costs


def test_queueing_does_not_raise_prefill_cost():
    estimates = costs.CostEstimates()
    for _ in range(20):
        estimates.record_prefill(100.0, prompt_tokens=5_000)
    before_ms = estimates.prefill_ms
    for _ in range(20):
        estimates.record_prefill(700.0, prompt_tokens=5_000)
    assert estimates.prefill_ms < 1.2 * before_ms


def test_cache_hits_do_not_lower_prefill_cost():
    """Cache hits must not lower the estimated cost of a prefill.

    The role plan would otherwise turn prefill engines into decode engines.
    """
    estimates = costs.CostEstimates()
    for _ in range(20):
        estimates.record_prefill(100.0, prompt_tokens=5_000)
        estimates.record_prefill(110.0, prompt_tokens=5_000)
        estimates.record_prefill(120.0, prompt_tokens=5_000)
        estimates.record_prefill(2.0, prompt_tokens=5_000)
    assert estimates.prefill_ms > 90.0


def test_slower_engines_raise_prefill_cost():
    estimates = costs.CostEstimates()
    for _ in range(400):
        estimates.record_prefill(300.0, prompt_tokens=5_000)
    assert estimates.prefill_ms == pytest.approx(300.0, rel=0.1)


def test_decode_cost_is_weighted_by_memory_share():
    estimates = costs.CostEstimates()
    for _ in range(200):
        estimates.record_decode(4_000.0, memory_share=0.25)
    assert estimates.decode_ms == pytest.approx(1_000.0, rel=0.01)


def test_no_estimates_without_enough_samples():
    estimates = costs.CostEstimates()
    assert (estimates.prefill_ms, estimates.decode_ms) == (None, None)
    for _ in range(5):
        estimates.record_prefill(100.0, prompt_tokens=5_000)
    for _ in range(11):
        estimates.record_decode(4_000.0, memory_share=0.25)
    assert (estimates.prefill_ms, estimates.decode_ms) == (None, None)
    estimates.record_prefill(100.0, prompt_tokens=5_000)
    estimates.record_decode(4_000.0, memory_share=0.25)
    assert estimates.prefill_ms == pytest.approx(100.0)
    assert estimates.decode_ms == pytest.approx(1_000.0)


def test_prefill_cost_includes_fixed_cost_per_prompt():
    """Half of the prefills are queued, which must not raise the estimate."""
    estimates = costs.CostEstimates()
    rng = random.Random(3)
    tokens = [rng.randint(1_000, 9_000) for _ in range(64)]
    for size in tokens:
        waited_ms = max(0.0, rng.uniform(-300.0, 300.0))
        estimates.record_prefill(
            60.0 + size * 0.02 + waited_ms, prompt_tokens=size
        )
    alone_ms = 60.0 + sum(tokens) / len(tokens) * 0.02
    assert estimates.prefill_ms == pytest.approx(alone_ms, rel=0.1)


def test_projected_responses_count_until_enough_completed():
    estimates = costs.CostEstimates()
    for _ in range(12):
        estimates.record_projection(2_000.0, memory_share=0.1)
    assert estimates.decode_ms == pytest.approx(200.0)
    for _ in range(12):
        estimates.record_decode(4_000.0, memory_share=0.1)
    assert estimates.decode_ms == pytest.approx(400.0)


def test_busy_time_limits_prefill_cost_when_all_are_queued():
    """After a restart of all instances under load every prefill is queued.

    The estimate must then come from the time between ends of prefills.
    """
    estimates = costs.CostEstimates()
    for _ in range(30):
        estimates.record_prefill(670.0, prompt_tokens=5_000, busy_ms=180.0)
    assert estimates.prefill_ms == pytest.approx(180.0)


def test_early_short_responses_do_not_lower_decode_cost():
    """Short responses that complete first must not lower the estimate.

    The role plan would otherwise reassign a decode engine.
    """
    estimates = costs.CostEstimates()
    for _ in range(40):
        estimates.record_projection(4_000.0, memory_share=0.1)
    for _ in range(12):
        estimates.record_decode(2_000.0, memory_share=0.1)
    assert estimates.decode_ms == pytest.approx(400.0)
    for _ in range(200):
        estimates.record_decode(4_000.0, memory_share=0.1)
    assert estimates.decode_ms == pytest.approx(400.0, rel=0.01)
