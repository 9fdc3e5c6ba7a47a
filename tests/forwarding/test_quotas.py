"""Token buckets of account quotas, and charges for the time of a placement."""

from __future__ import annotations

import hypothesis
from hypothesis import strategies
import pytest

from jujubewharf.forwarding import accounts
from jujubewharf.forwarding import quotas

QUOTA = accounts.Quota(rate_per_s=1_000.0, burst=2_000.0)
NAME = "shop"


def _full() -> quotas.QuotaBuckets:
    buckets = quotas.QuotaBuckets()
    buckets.set_balance(NAME, QUOTA.burst, 0.0)
    return buckets


def test_burst_then_rate():
    buckets = _full()
    assert buckets.take(NAME, QUOTA, 1_500.0, 0.0) == 0.0
    assert buckets.take(NAME, QUOTA, 500.0, 0.0) == 0.0
    assert buckets.take(NAME, QUOTA, 500.0, 0.0) > 0.0
    assert buckets.take(NAME, QUOTA, 500.0, 501.0) == 0.0


def test_large_request_runs_into_debt():
    buckets = _full()
    assert buckets.take(NAME, QUOTA, 5_000.0, 0.0) == 0.0
    assert buckets.take(NAME, QUOTA, 1.0, 2_900.0) > 0.0
    assert buckets.take(NAME, QUOTA, 1.0, 3_001.0) == 0.0


def test_retry_after_time_is_sufficient():
    buckets = _full()
    buckets.charge(NAME, QUOTA, 2_600.0, 0.0)
    told = [buckets.take(NAME, QUOTA, 400.0, 0.0) for _ in range(5)]
    # Successive callers get increasing times, by the units that each needs.
    assert told == sorted(told)
    assert len(set(told)) == len(told)
    for wait_ms in told:
        assert buckets.take(NAME, QUOTA, 400.0, wait_ms) == 0.0


def test_refund_restores_the_balance():
    buckets = _full()
    buckets.take(NAME, QUOTA, 2_000.0, 0.0)
    buckets.charge(NAME, QUOTA, -2_000.0, 0.0)
    assert buckets.balance(NAME, QUOTA, 0.0) == QUOTA.burst


def test_small_request_is_admitted_in_tolerated_debt():
    """A small request is admitted up to the tolerated debt of a large one."""
    buckets = _full()
    buckets.charge(NAME, QUOTA, 2_300.0, 0.0)
    assert buckets.take(NAME, QUOTA, 20.0, 0.0) > 0.0
    for _ in range(10):
        assert buckets.take(NAME, QUOTA, 20.0, 0.0, debt=500.0) == 0.0
    assert buckets.take(NAME, QUOTA, 20.0, 0.0, debt=500.0) > 0.0
    assert buckets.balance(NAME, QUOTA, 0.0) == -500.0


def test_lower_quota_applies_immediately():
    buckets = _full()
    lower = accounts.Quota(rate_per_s=10.0, burst=20.0)
    assert buckets.balance(NAME, lower, 0.0) == 20.0
    assert buckets.balance(NAME, QUOTA, 0.0) == 20.0


def test_new_count_grants_no_second_burst():
    buckets = quotas.QuotaBuckets(5_000.0)
    assert buckets.balance(NAME, QUOTA, 5_000.0) < QUOTA.burst / 2
    # First seen long after counting started: the whole burst is available.
    assert buckets.balance("other", QUOTA, 9_000.0) == QUOTA.burst
    buckets.set_balance(NAME, QUOTA.burst, 5_000.0)
    buckets.resume(9_000.0)
    assert buckets.balance(NAME, QUOTA, 9_000.0) < QUOTA.burst / 2
    assert buckets.balance(NAME, QUOTA, 12_000.0) == QUOTA.burst


def test_resumed_count_keeps_debts():
    """Two instances that alternate in counting grant no additional burst."""
    buckets = _full()
    buckets.charge(NAME, QUOTA, 5_000.0, 0.0)
    buckets.resume(1_000.0)
    assert buckets.balance(NAME, QUOTA, 1_000.0) == -2_000.0


@hypothesis.given(
    strategies.lists(
        strategies.tuples(
            strategies.floats(0.0, 400.0), strategies.floats(1.0, 900.0)
        ),
        max_size=120,
    )
)
def test_windows_stay_within_rate_burst_and_one_request(asked):
    """The bound holds for any arrivals and any sliding window."""
    buckets = _full()
    admitted: list[tuple[float, float]] = []
    now_ms = 0.0
    for gap_ms, units in asked:
        now_ms += gap_ms
        if buckets.take(NAME, QUOTA, units, now_ms) == 0.0:
            admitted.append((now_ms, units))
    window_ms = 4_000.0
    bound = QUOTA.burst + QUOTA.rate_per_s * window_ms / 1_000.0 + 900.0
    for start_ms, _ in admitted:
        used = sum(
            units
            for at_ms, units in admitted
            if start_ms <= at_ms <= start_ms + window_ms
        )
        assert used <= bound + 1e-6


class _RecordingQuotas:
    """Records charges and refunds instead of counting them."""

    def __init__(self) -> None:
        self.notes: list[str] = []

    def take(self, run) -> None:
        run.is_counted = True
        self.notes.append("take")

    def refund(self, run) -> None:
        run.is_counted = False
        self.notes.append("give back")


class _Run:
    is_counted = False


def test_failed_block_refunds_its_charge():
    counts, run = _RecordingQuotas(), _Run()
    with (
        pytest.raises(ZeroDivisionError),
        quotas.charged(counts, run),
    ):
        raise ZeroDivisionError
    assert counts.notes == ["take", "give back"]


def test_failed_resumption_refunds_nothing():
    """A failed attempt to resume refunds nothing, since the stream ran."""
    counts, run = _RecordingQuotas(), _Run()
    run.is_counted = True
    with (
        pytest.raises(ZeroDivisionError),
        quotas.charged(counts, run),
    ):
        raise ZeroDivisionError
    assert counts.notes == ["take"]
