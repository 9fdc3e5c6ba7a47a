"""Order of engines by load and speed."""

from __future__ import annotations

import contextlib
import random

import pytest

from jujubewharf import clock as clocks
from jujubewharf.engine_speeds import speeds as all_speeds
from jujubewharf.engine_speeds import urgency as urgencies
from jujubewharf.engines import notices
from jujubewharf.experiments import virtual_time
from jujubewharf.forwarding import backpressure
from jujubewharf.forwarding import costs
from jujubewharf.forwarding import pool as pools
from tests.engine_speeds import former_ranks
from tests.forwarding import deployments

MEMORY = 40_000
PREFILLS = [
    deployments.prefill_engine(f"p{n}", "ab"[n % 2]).endpoint for n in range(6)
]
DECODES = [
    deployments.decode_engine(f"d{n}", "ab"[n % 2]).endpoint for n in range(6)
]
PATIENT = urgencies.Urgency(can_wait=True)


class _Pool(pools.EnginePool):
    """A pool with given relative times and slowdowns.

    Attributes:
        clock: Clock of the pool.
        times: Relative times by engine.
        slowdowns: Reported slowdowns by engine.
    """

    def __init__(self, seed: int = 1) -> None:
        self.clock = clocks.Clock(wall_origin_ms=0.0)
        self.times: dict[str, float] = {}
        self.slowdowns: dict[str, float] = {}
        self.costs = costs.CostEstimates()
        speeds = all_speeds.EngineSpeeds(
            self.clock, lambda name: self.slowdowns.get(name, 1.0)
        )
        for stage in all_speeds.Stage:
            speeds._unequal[stage] = self.times
        super().__init__(
            self.costs,
            backpressure.Backpressure(self.clock),
            self.clock,
            random.Random(seed),
            speeds,
        )
        super().update_engines([*PREFILLS, *DECODES])

    def decode_names(self, urgency=urgencies.UNKNOWN, **changes):
        settings = {
            "tokens": 8_000,
            "memory_tokens": MEMORY,
            "preferred_domain": "a",
        }
        found = self.decode_candidates(
            DECODES, urgency=urgency, **(settings | changes)
        )
        return [engine.name for engine in found]

    def prefill_names(self, urgency=urgencies.UNKNOWN, *, tokens=5_000):
        found = self.prefill_candidates(
            PREFILLS, preferred_domain="a", tokens=tokens, urgency=urgency
        )
        return [engine.name for engine in found]


def _run(test, *args):
    async def main():
        await test(_Pool(*args))

    virtual_time.run(main())


@pytest.mark.parametrize("seed", range(20))
def test_equal_speeds_leave_each_decision_as_it_was(seed):
    """Deployments with equal engines must see no change."""

    async def main():
        new, former = _Pool(seed), _Pool(seed)
        former_ranks.use_in(former)
        rng = random.Random(seed)
        with contextlib.ExitStack() as held:
            for _ in range(60):
                tokens = rng.randrange(1_000, 9_000)
                urgency = urgencies.Urgency(
                    rng.random() < 0.5, rng.uniform(0.0, 9e3), 500.0
                )
                failed = {rng.choice(DECODES).name}
                found = [
                    (
                        pool.decode_names(
                            urgency, tokens=tokens, failed_names=failed
                        ),
                        pool.prefill_names(urgency, tokens=tokens),
                    )
                    for pool in (new, former)
                ]
                assert found[0] == found[1]
                decode, prefill = found[0][0][0], found[0][1][0]
                took_ms = tokens * rng.uniform(0.049, 0.051)
                if rng.random() < 0.3:
                    took_ms += rng.uniform(0.0, 300.0)
                event_ms = rng.uniform(50.0, 52.0)
                is_held = rng.random() < 0.9
                for pool in (new, former):
                    if is_held:
                        held.enter_context(pool.holding_memory(decode, tokens))
                    held.enter_context(pool.prefilling(prefill, tokens))
                    busy_ms = pool.record_prefill(
                        prefill, took_ms=took_ms, tokens=tokens
                    )
                    pool.costs.record_prefill(
                        took_ms, prompt_tokens=tokens, busy_ms=busy_ms
                    )
                    pool.costs.record_decode(2_000.0, memory_share=0.2)
                    # Within a tenth: both pools record it, none uses it.
                    pool.record_event_time(decode, event_ms)
                await new.clock.sleep_ms(20.0)

    virtual_time.run(main())


def test_fast_decode_engines_come_first_at_equal_load():
    async def test(pool):
        pool.times |= {"d0": 2.0, "d2": 0.5}
        names = pool.decode_names()
        assert names[:3] == ["d2", "d4", "d0"]

    _run(test)


def test_fast_engines_are_not_filled_before_slow_ones():
    """A crash would lose more responses, and each of them would be slower."""

    async def test(pool):
        pool.times |= dict.fromkeys(("d0", "d1"), 2.0)
        with contextlib.ExitStack() as held:
            chosen = []
            for _ in DECODES:
                chosen.append(pool.decode_names()[0])
                held.enter_context(pool.holding_memory(chosen[-1], 10_000))
            assert sorted(chosen) == sorted(e.name for e in DECODES)

    _run(test)


def test_speed_comes_before_small_differences_in_load():
    async def test(pool):
        pool.times["d0"] = 2.0
        with contextlib.ExitStack() as held:
            for name in ("d1", "d2", "d3", "d4", "d5"):
                held.enter_context(pool.holding_memory(name, 5_000))
            assert pool.decode_names()[2] == "d0"

    _run(test)


def test_requests_that_can_wait_take_slow_engines_first():
    async def test(pool):
        pool.times |= {"d2": 2.0, "p1": 2.0}
        assert pool.decode_names(PATIENT)[0] == "d2"
        assert pool.decode_names()[2] == "d2"
        assert pool.prefill_names(PATIENT)[0] == "p1"
        assert pool.prefill_names()[-1] == "p1"

    _run(test)


def test_patient_request_takes_no_slow_engine_that_makes_it_late():
    """The patient class has a target too."""

    async def test(pool):
        pool.times["p1"] = 2.0
        urgency = urgencies.Urgency(True, 9_000.0, latest_start_ms=100.0)
        assert pool.prefill_names(urgency)[0] != "p1"

    _run(test)


def test_patient_request_waits_for_no_busy_slow_engine():
    async def test(pool):
        pool.times["p1"] = 2.0
        with pool.prefilling("p1", 5_000):
            assert pool.prefill_names(PATIENT)[-1] == "p1"

    _run(test)


def test_response_that_a_slow_engine_cannot_complete_goes_elsewhere():
    async def test(pool):
        pool.times["d0"] = 2.0
        for _ in range(20):
            pool.costs.record_decode(2_000.0, memory_share=0.2)
        enough = urgencies.Urgency(True, deadline_at_ms=5_000.0)
        short = urgencies.Urgency(True, deadline_at_ms=3_000.0)
        assert pool.decode_names(enough)[0] == "d0"
        assert pool.decode_names(short)[-1] == "d0"

    _run(test)


def test_prompt_goes_where_it_ends_first():
    """Prompts queued on a fast engine may end later than on a slow one."""

    async def test(pool):
        fast = [e.name for e in PREFILLS if e.name != "p1"]
        pool.times["p1"] = 2.0
        with contextlib.ExitStack() as held:
            for name in fast:
                held.enter_context(pool.prefilling(name, 4_000))
            assert pool.prefill_names()[-1] == "p1"
            for name in fast:
                held.enter_context(pool.prefilling(name, 4_000))
            assert pool.prefill_names()[0] == "p1"

    _run(test)


def test_prompt_crosses_domains_only_for_an_earlier_end():
    async def test(pool):
        # Engines p0, p2 and p4 are in the own domain "a".
        pool.times |= dict.fromkeys(("p0", "p2", "p4"), 1.15)
        assert pool.prefill_names(tokens=1_000)[0] in ("p0", "p2", "p4")
        assert pool.prefill_names(tokens=8_000)[0] in ("p1", "p3", "p5")

    _run(test)


def test_slowed_engine_is_left_alone_only_meanwhile():
    async def test(pool):
        pool.slowdowns |= {"d0": 2.5, "p0": 2.5}
        for urgency in (urgencies.UNKNOWN, PATIENT):
            assert pool.decode_names(urgency)[-1] == "d0"
            assert pool.prefill_names(urgency)[-1] == "p0"
        pool.slowdowns.clear()
        assert {pool.decode_names()[0] for _ in range(40)} >= {"d0"}

    _run(test)


def test_refusal_of_a_slow_engine_pauses_longer():
    """Its memory is held longer, so asking again is futile for longer."""

    async def test(pool):
        pool.times["d0"] = 2.0
        for name in ("d0", "d2"):
            pool.record_memory_refusal(name, 8_000)
        await pool.clock.sleep_ms(60.0)
        assert "d2" in pool.decode_names()
        assert "d0" not in pool.decode_names()
        await pool.clock.sleep_ms(60.0)
        assert "d0" in pool.decode_names()

    _run(test)


def test_engines_that_are_about_equally_slow_share_their_work():
    """A strict order among them would fill one while others are empty."""

    async def test(pool):
        pool.times |= dict.fromkeys((f"d{n}" for n in range(2, 6)), 3.0)
        pool.times |= {"d0": 1.81, "d2": 1.79}
        with pool.holding_memory("d2", 3_000):
            assert pool.decode_names()[0] == "d0"
        with pool.holding_memory("d0", 3_000):
            assert pool.decode_names()[0] == "d2"

    _run(test)


def test_overloaded_engine_is_not_preferred_because_it_is_fast():
    """An engine that announced a rate limit is overloaded."""

    async def test(pool):
        pool.times["d0"] = 0.7
        endpoint = DECODES[0]
        notice = notices.Notice(pool.clock.now_ms(), rate_limit_per_s=5.0)
        pool._backpressure.is_registered = lambda name: True
        pool._backpressure.apply_notice(endpoint, notice)
        assert pool.decode_names()[-1] == "d0"

    _run(test)
