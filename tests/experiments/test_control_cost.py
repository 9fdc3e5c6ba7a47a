"""The measurement of control cost runs and counts."""

from __future__ import annotations

from jujubewharf.experiments import control_cost
from jujubewharf.experiments import virtual_time


def test_a_small_fleet_is_measured():
    cost = virtual_time.run(
        control_cost.measure(4, domains=2, duration_s=5, churn_per_min=24)
    )
    assert cost.size == 4
    assert 0 < cost.bytes_per_s <= cost.max_bytes_per_s
    assert cost.wire_bytes_per_s > cost.bytes_per_s
    assert cost.frames_per_s > 0
    assert cost.spread_ms < 5_000


def test_the_slope_is_the_growth_for_each_further_instance():
    costs = [
        control_cost.Cost(size, 0, 0, 2.0 * size + 1, 0, 0, 0, 0)
        for size in (1, 2, 5)
    ]
    assert control_cost.slope(costs, "bytes_per_s") == 2.0
