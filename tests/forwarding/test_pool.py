"""Ranking of decode engines by domain and load."""

from __future__ import annotations

import contextlib
import random

from jujubewharf import clock as clocks
from jujubewharf.experiments import virtual_time
from jujubewharf.forwarding import backpressure
from jujubewharf.forwarding import costs
from jujubewharf.forwarding import pool as pools
from tests.forwarding import deployments

MEMORY = 40_000
NEAR = [deployments.decode_engine(f"near{n}", "a").endpoint for n in range(2)]
FAR = [deployments.decode_engine(f"far{n}", "b").endpoint for n in range(2)]


def _with_pool(test):
    async def main():
        clock = clocks.Clock(wall_origin_ms=0.0)
        pool = pools.EnginePool(
            costs.CostEstimates(),
            backpressure.Backpressure(clock),
            clock,
            random.Random(1),
        )
        pool.update_engines([*NEAR, *FAR])
        with contextlib.ExitStack() as held:
            test(pool, held)

    virtual_time.run(main())


def _first_candidate(pool) -> str:
    candidates = pool.decode_candidates(
        [*NEAR, *FAR], tokens=8_000, memory_tokens=MEMORY, preferred_domain="a"
    )
    return candidates[0].name


def test_engines_of_own_domain_come_first_at_equal_load():
    def test(pool, held):
        held.enter_context(pool.holding_memory("near0", 5_000))
        held.enter_context(pool.holding_memory("near1", 6_000))
        assert _first_candidate(pool) == "near0"

    _with_pool(test)


def test_burst_from_one_domain_spreads_over_all_engines():
    """A burst from one domain must not overfill that domain's engines.

    Overfilled engines preempt responses while memory elsewhere is unused.
    """

    def test(pool, held):
        load = dict.fromkeys(("near0", "near1", "far0", "far1"), 0)
        for _ in range(12):
            name = _first_candidate(pool)
            held.enter_context(pool.holding_memory(name, 8_000))
            load[name] += 8_000
        assert max(load.values()) - min(load.values()) <= 10_000

    _with_pool(test)


def test_any_number_of_memory_refusals_is_counted():
    """The 1,025th in a row overflowed the pause, and failed its request."""

    async def main():
        clock = clocks.Clock(wall_origin_ms=0.0)
        pool = pools.EnginePool(
            costs.CostEstimates(),
            backpressure.Backpressure(clock),
            clock,
            random.Random(1),
        )
        pool.update_engines(NEAR)
        state = pool.state("near0")
        for _ in range(3_000):
            pool.record_memory_refusal("near0", 100)
            pause_ms = state.full_until_ms - clock.now_ms()
            assert 0.0 < pause_ms < 10_000.0
            await clock.sleep_ms(pause_ms + 1.0)
        assert state.refusals == 3_000

    virtual_time.run(main())
