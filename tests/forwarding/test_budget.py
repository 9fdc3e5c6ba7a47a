"""The retry budget is shared by all instances."""

from __future__ import annotations

from jujubewharf import clock as clocks
from jujubewharf.experiments import virtual_time
from jujubewharf.forwarding import budget as budgets


def _budget(clock, share=1.0):
    return budgets.FleetRetryBudget(
        clock, ratio=0.2, slack=40.0, window_ms=10_000.0, share=lambda: share
    )


def _take_all(budget) -> int:
    taken = 0
    while budget.take("s"):
        taken += 1
    return taken


def test_fleet_stays_within_the_budget():
    async def main():
        clock = clocks.Clock(wall_origin_ms=0.0)
        fleet = [_budget(clock, share=1 / 6) for _ in range(6)]
        for budget in fleet:
            for _ in range(50):
                budget.record_request("s")
        assert sum(_take_all(b) for b in fleet) <= 0.2 * 300 + 40

    virtual_time.run(main())


def test_retries_expire_with_the_window():
    async def main():
        clock = clocks.Clock(wall_origin_ms=0.0)
        budget = _budget(clock)
        first = _take_all(budget)
        assert first > 20
        assert _take_all(budget) == 0
        await clock.sleep_ms(10_001.0)
        assert _take_all(budget) == first

    virtual_time.run(main())


def test_budget_is_per_service():
    async def main():
        clock = clocks.Clock(wall_origin_ms=0.0)
        budget = _budget(clock)
        _take_all(budget)
        assert budget.take("other")

    virtual_time.run(main())
