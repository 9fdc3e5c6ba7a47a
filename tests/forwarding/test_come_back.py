"""Retry times of refused requests."""

from __future__ import annotations

import random

from jujubewharf import clock as clocks
from jujubewharf.experiments import virtual_time
from jujubewharf.forwarding import come_back


def test_retry_times_are_spaced_up_to_the_maximum():
    async def main():
        scheduler = come_back.RetryScheduler(
            clocks.Clock(wall_origin_ms=0.0), random.Random(1)
        )
        retry_after_ms = [
            scheduler.next_retry_after_ms(
                "svc", free_in_ms=300.0, interval_ms=200.0, max_ms=1_000.0
            )
            for _ in range(8)
        ]
        assert retry_after_ms[:4] == [300.0, 500.0, 700.0, 900.0]
        assert all(500.0 <= ms <= 1_000.0 for ms in retry_after_ms[4:])
        assert len(set(retry_after_ms[4:])) == 4

    virtual_time.run(main())
