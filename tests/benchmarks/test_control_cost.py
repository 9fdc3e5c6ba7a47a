"""Smoke tests of the control cost benchmark."""

from __future__ import annotations

from benchmarks import control_cost
from jujubewharf.experiments import virtual_time


def test_measures_small_fleet():
    plan = control_cost.Plan(
        control_cost.State.CHURN,
        engines_per_instance=0,
        domains=2,
        settle_s=20,
        duration_s=5,
        churn_per_min=24,
    )
    cost = virtual_time.run(control_cost.measure(4, plan))
    assert cost.instances == 4
    assert 0 < cost.control_bytes_per_s <= cost.max_bytes_per_s
    assert cost.wire_bytes_per_s > cost.control_bytes_per_s
    assert cost.frames_per_s > 0
    assert cost.spread_ms < 5_000


def test_slope_is_growth_per_instance():
    costs = [
        control_cost.Cost(
            instances=size,
            state=control_cost.State.IDLE,
            links=0,
            control_bytes_per_s=2.0 * size + 1,
            max_bytes_per_s=0,
            frames_per_s=0,
            processor_ms_per_s=0,
            spread_ms=0,
        )
        for size in (1, 2, 5)
    ]
    slope = control_cost.slope(costs, "control_bytes_per_s")
    assert round(slope.per_unit, 9) == 2.0
    assert round(slope.base, 9) == 1.0
