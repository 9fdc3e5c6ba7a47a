"""Wait times of requests and the retry-after of refused ones."""

from __future__ import annotations

import dataclasses
import itertools

from jujubewharf import clock as clocks
from jujubewharf.experiments import virtual_time
from jujubewharf.forwarding import calls
from jujubewharf.forwarding import costs
from jujubewharf.forwarding import patience
from jujubewharf.forwarding import runs
from tests.forwarding import deployments


def _with_policy(test):
    async def main():
        clock = clocks.Clock(wall_origin_ms=0.0)
        estimates = costs.CostEstimates()
        await test(patience.WaitPolicy(estimates, clock), estimates, clock)

    virtual_time.run(main())


def _run(clock, *, caller_timeout_ms: float = 14_000.0) -> runs.Run:
    call = calls.Call(
        "r1",
        "POST",
        deployments.HOST,
        "/verdicts/1",
        (),
        b"",
        clock.now_ms(),
        caller_timeout_ms=caller_timeout_ms,
        work=calls.ModelWork(5_000, 1_000),
    )
    due_ms = clock.now_ms() + caller_timeout_ms
    return runs.Run(call, deployments.STREAM, deployments.ENGINES, due_ms)


def test_wait_leaves_time_for_first_event():
    async def test(policy, estimates, clock):
        unknown_ms = policy.on_time_wait_ms(_run(clock))
        for _ in range(20):
            estimates.record_first_event(200.0)
        assert policy.on_time_wait_ms(_run(clock)) == 700.0 > unknown_ms
        for _ in range(80):
            estimates.record_first_event(5_000.0)
        assert 0.0 < policy.on_time_wait_ms(_run(clock)) < 400.0

    _with_policy(test)


def test_request_that_cannot_complete_in_time_does_not_wait():
    """A request that can't complete in time is refused without a wait."""

    async def test(policy, estimates, clock):
        for _ in range(20):
            estimates.record_decode(4_000.0, memory_share=0.1)
        assert (
            policy.late_wait_ms(_run(clock, caller_timeout_ms=9_000.0))
            > 2_000.0
        )
        assert policy.late_wait_ms(_run(clock, caller_timeout_ms=4_000.0)) < 0.0

    _with_policy(test)


def test_retries_of_refused_requests_are_spaced():
    """Requests refused in a burst must not all be retried together.

    Retries are spaced, start late enough and stay within the timeout.
    """

    async def test(policy, estimates, clock):
        for _ in range(20):
            estimates.record_decode(3_000.0, memory_share=0.1)
        call = _run(clock).call
        times_ms = [policy.retry_after_ms(call, 10) for _ in range(4)]
        assert times_ms[0] >= 2_400.0
        apart = [b - a for a, b in itertools.pairwise(times_ms)]
        assert min(apart) > 0.0
        more = [policy.retry_after_ms(call, 10) for _ in range(9)]
        assert max(more) <= 14_000.0 / 3
        hasty = dataclasses.replace(call, caller_timeout_ms=3_000.0)
        assert policy.retry_after_ms(hasty, 10) <= 1_000.0

    _with_policy(test)


def test_retries_of_higher_classes_come_first():
    """A refused patient request must not retry before an urgent one."""

    async def test(policy, estimates, clock):
        for _ in range(20):
            estimates.record_decode(3_000.0, memory_share=0.1)
        call = _run(clock, caller_timeout_ms=60_000.0).call
        urgent_ms = [policy.retry_after_ms(call, 10) for _ in range(3)]
        patient_ms = [
            policy.retry_after_ms(call, 10, priority=5) for _ in range(3)
        ]
        assert max(urgent_ms) < min(patient_ms)
        assert patient_ms == sorted(set(patient_ms))
        # Patient retries don't push an urgent one back.
        later_ms = policy.retry_after_ms(call, 10)
        assert max(urgent_ms) < later_ms < max(patient_ms)

    _with_policy(test)


def test_retry_after_covers_the_requests_before():
    """A retry that is too early would be refused again."""

    async def test(policy, estimates, clock):
        for _ in range(20):
            estimates.record_decode(3_000.0, memory_share=0.1)
        call = _run(clock, caller_timeout_ms=60_000.0).call
        wait_ms = policy.expected_release_ms(100_000, 300_000)
        assert wait_ms == 9_000.0
        retry_ms = policy.retry_after_ms(call, 10, min_wait_ms=wait_ms)
        assert retry_ms >= wait_ms

    _with_policy(test)


def test_only_certain_lack_of_memory_is_hopeless():
    """A wait that may succeed must not be ended by a prediction."""

    async def test(policy, estimates, clock):
        due_ms = clock.now_ms() + 600.0
        assert not policy.is_hopeless(10**9, held_tokens=1, due_ms=due_ms)
        for _ in range(20):
            estimates.record_decode(3_000.0, memory_share=0.1)
        # A fifth of the held memory is expected until then.
        assert not policy.is_hopeless(0, held_tokens=0, due_ms=due_ms)
        assert not policy.is_hopeless(
            55_000, held_tokens=100_000, due_ms=due_ms
        )
        assert policy.is_hopeless(65_000, held_tokens=100_000, due_ms=due_ms)

    _with_policy(test)
