"""Requests on one instance while engines fail."""

from __future__ import annotations

import asyncio
import contextlib

import pytest

from jujubewharf import errors
from jujubewharf.configuration import resources
from jujubewharf.engines import client
from jujubewharf.experiments import virtual_time
from jujubewharf.requests import model_request
from tests.requests import deployments

LOST = client.EngineFault.LOST
NO_RESUME = {"capabilities": resources.Capabilities(resume=False)}


def run(deployment_of, scenario):
    async def main():
        deployment = await deployment_of().start()
        result = await scenario(deployment)
        await deployment.bench.stop()
        return result

    return virtual_time.run(main())


async def _fill_slots(engine, count=20):
    for number in range(count):
        await engine.reserve(client.Attempt(f"other.{number}", "e1"))


def test_a_refused_prefill_result_moves_to_another_decode_engine():
    # A refused reservation must not lose the prefill result.
    async def scenario(d):
        await _fill_slots(d.engine("d1"))
        d.policy.reserve_after_ms = d.clock.now_ms() + 60
        events = await d.ask(d.request())
        read = d.engine("p1").counts.prefilled_tokens
        return events, read, dict(d.counts().moves)

    policy = deployments.ScriptedPolicy(["d1", "d2"], ["p1"])
    events, read, moves = run(
        lambda: deployments.Deployment(policy=policy), scenario
    )
    assert deployments.is_whole(events)
    assert read == 401
    assert moves == {"refused_full": 1}


def test_a_policy_may_choose_the_decode_engine_after_the_prefill():
    async def scenario(d):
        return await d.ask(d.request()), d.engine("d2").counts.dispatches

    policy = deployments.ScriptedPolicy(
        ["d2"], ["p1"], chooses_decode_late=True
    )
    events, dispatches = run(
        lambda: deployments.Deployment(policy=policy), scenario
    )
    assert deployments.is_whole(events)
    assert sum(dispatches.values()) == 1


def test_a_prefill_result_without_a_slot_is_counted_as_wasted():
    # A prefill result that expires without a slot must be counted as wasted,
    # and the request must run the prefill again.
    async def scenario(d):
        await _fill_slots(d.engine("d1"))
        request = d.request()
        task = asyncio.ensure_future(d.ask(request))
        await d.clock.sleep_ms(2_000)
        for number in range(20):
            await d.engine("d1").release(f"other.{number}")
        return await task, dict(d.counts().wasted_prefill_tokens)

    policy = deployments.ScriptedPolicy(
        ["d1"], ["p1"], chooses_decode_late=True
    )
    events, wasted = run(
        lambda: deployments.Deployment(policy=policy), scenario
    )
    assert deployments.is_whole(events)
    assert wasted["no_decode_slot"] >= 401


def test_a_stalled_transfer_is_given_up_and_done_elsewhere():
    # A stalled transfer must time out, free its slot and move elsewhere.
    async def scenario(d):
        d.engine("p1").link.is_stalled = True
        events = await d.ask(d.request())
        d.engine("p1").link.is_stalled = False
        await d.clock.sleep_ms(500)
        wasted = dict(d.counts().wasted_prefill_tokens)
        return events, wasted, await d.held(), d.clock.now_ms()

    def policy_of():
        return deployments.ScriptedPolicy(["d1", "d2"], ["p1", "p2"])

    events, wasted, held, _ = run(
        lambda: deployments.Deployment(policy=policy_of()), scenario
    )
    assert deployments.is_whole(events)
    assert wasted == {"transfer_stalled": 401}
    assert held == []


@pytest.mark.parametrize("specs", [{}, {"d2": NO_RESUME}])
def test_an_engines_death_leaves_no_gap_and_no_repeat(specs):
    # The caller must get each token once, whether or not d2 can resume.
    async def scenario(d):
        task = asyncio.ensure_future(d.ask(d.request()))
        await d.clock.sleep_ms(400)
        await d.engine("d1").die()
        return await task, dict(d.counts().retries)

    policy = deployments.ScriptedPolicy(["d1", "d2"], ["p1"])
    events, retries = run(
        lambda: deployments.Deployment(policy=policy, specs=specs), scenario
    )
    assert deployments.is_whole(events)
    assert sum(retries.values()) == 1


def test_a_replay_that_differs_is_a_broken_answer():
    # Parts of two different answers must not be combined.
    async def scenario(d):
        task = asyncio.ensure_future(d.ask(d.request()))
        await d.clock.sleep_ms(400)
        await d.engine("d1").die()
        engine = d.engine("d2")
        decode = engine.decode

        async def other(attempt, job):
            async for chunk in decode(attempt, job):
                texts = tuple(text.upper() + "!" for text in chunk.tokens)
                yield type(chunk)(chunk.first_index, texts, chunk.is_last)

        engine.decode = other
        return await task

    policy = deployments.ScriptedPolicy(["d1", "d2"], ["p1"])
    events = run(
        lambda: deployments.Deployment(policy=policy, specs={"d2": NO_RESUME}),
        scenario,
    )
    assert deployments.kind_of(events[-1]) is errors.ErrorKind.ANSWER_BROKEN


# The rest of an answer came from an engine with another version of the model.
@pytest.mark.parametrize(
    ("versions", "is_resumed"),
    [(("1", "1"), True), (("1", "2"), False), (("1", ""), False)],
)
def test_answer_is_resumed_by_the_same_model_version_only(versions, is_resumed):
    async def scenario(d):
        task = asyncio.ensure_future(d.ask(d.request()))
        await d.clock.sleep_ms(400)
        await d.engine("d1").die()
        engine = d.engine("d2")
        decode = engine.decode
        jobs = []

        async def recorded(attempt, job):
            jobs.append(job)
            async for chunk in decode(attempt, job):
                yield chunk

        engine.decode = recorded
        return await task, jobs

    first, second = versions
    specs = {"d1": {"model_version": first}, "d2": {"model_version": second}}
    policy = deployments.ScriptedPolicy(["d1", "d2"], ["p1"])
    events, jobs = run(
        lambda: deployments.Deployment(policy=policy, specs=specs), scenario
    )
    assert deployments.is_whole(events)
    assert [job.first_index > 0 for job in jobs] == [is_resumed]


@pytest.mark.parametrize("gone_after_ms", [0, 1, 30, 81, 100, 300, 700])
def test_memory_is_free_at_once_when_the_caller_leaves(gone_after_ms):
    # A disconnect in any phase must release all resources without a timer.
    async def scenario(d):
        events = d.bench.instances["e1"].answer(d.request())

        async def read():
            async with contextlib.aclosing(events) as opened:
                async for _ in opened:
                    pass

        task = asyncio.ensure_future(read())
        await d.clock.sleep_ms(gone_after_ms)
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)
        await d.clock.sleep_ms(50)
        return await d.held()

    policy = deployments.ScriptedPolicy(["d1", "d2"], ["p1"])
    held = run(lambda: deployments.Deployment(policy=policy), scenario)
    assert held == []


def test_an_unanswered_release_is_repeated():
    # A release that was lost must be repeated, or the slot stays allocated.
    async def scenario(d):
        engine = d.engine("d1")
        release, calls = engine.release, []

        async def deaf(attempt_id):
            calls.append(attempt_id)
            if len(calls) <= 3:
                raise client.EngineError(client.EngineFault.LOST, "d1")
            await release(attempt_id)

        engine.release = deaf
        events = d.bench.instances["e1"].answer(d.request(tokens=500))
        async with contextlib.aclosing(events) as opened:
            async for _ in opened:
                break
        await d.clock.sleep_ms(1_000)
        return await d.held(), len(calls)

    policy = deployments.ScriptedPolicy(["d1"], ["p1"])
    held, calls = run(lambda: deployments.Deployment(policy=policy), scenario)
    assert held == []
    assert calls >= 4


def test_retries_stop_when_their_budget_is_used_up():
    # Retries must not exceed the budget while every engine fails.
    async def scenario(d):
        for name in ("d1", "d2"):
            d.engine(name).lose_answers["decode"] = 10_000
        kinds = []
        for _ in range(20):
            events = await d.ask(d.request())
            kinds.append(events[-1].kind)
        return set(kinds), d.dispatches()

    policy = deployments.ScriptedPolicy(["d1", "d2"], ["p1"])
    kinds, dispatches = run(
        lambda: deployments.Deployment(
            policy=policy, service={"retry_ratio": 0.2}
        ),
        scenario,
    )
    # Requests are refused without an attempt while both engines are excluded.
    assert errors.ErrorKind.ENGINE_FAILED in kinds
    assert kinds <= {
        errors.ErrorKind.ENGINE_FAILED,
        errors.ErrorKind.NO_FITTING_ENGINE,
    }
    assert dispatches <= 20 + 10 + 20 * 0.2


def test_not_repeatable_is_never_dispatched_twice():
    # After a lost response the engine may be decoding, so there is no retry.
    async def scenario(d):
        d.engine("d1").lose_answers["decode"] = 1
        events = await d.ask(d.request(is_repeatable=False))
        await d.clock.sleep_ms(2_000)
        return events, d.dispatches()

    policy = deployments.ScriptedPolicy(["d1", "d2"], ["p1"])
    events, dispatches = run(
        lambda: deployments.Deployment(policy=policy), scenario
    )
    assert deployments.kind_of(events[-1]) is errors.ErrorKind.OUTCOME_UNKNOWN
    assert deployments.ran_of(events[-1]) is errors.Ran.UNKNOWN
    assert dispatches == 1


def test_not_repeatable_goes_on_after_an_engines_own_refusal():
    async def scenario(d):
        await _fill_slots(d.engine("d1"))
        return await d.ask(d.request(is_repeatable=False)), d.dispatches()

    policy = deployments.ScriptedPolicy(["d1", "d2"], ["p1"])
    events, dispatches = run(
        lambda: deployments.Deployment(policy=policy), scenario
    )
    assert deployments.is_whole(events)
    assert dispatches == 1


@pytest.mark.parametrize(
    ("deadline_ms", "ran"),
    [
        (50, errors.Ran.UNKNOWN),
        (400, errors.Ran.YES),
    ],
)
def test_a_deadline_reports_whether_the_request_ran(deadline_ms, ran):
    # A deadline during prefill or decode must not report "did not run".
    async def scenario(d):
        events = await d.ask(d.request(tokens=100, deadline_ms=deadline_ms))
        await d.clock.sleep_ms(100)
        return events, await d.held(), d.dispatches()

    policy = deployments.ScriptedPolicy(["d1"], ["p1"])
    events, held, dispatches = run(
        lambda: deployments.Deployment(policy=policy), scenario
    )
    failed = events[-1]
    assert isinstance(failed, model_request.Failed)
    assert deployments.kind_of(failed) is errors.ErrorKind.DEADLINE_EXCEEDED
    assert deployments.ran_of(failed) is ran
    assert (dispatches == 0) == (ran is errors.Ran.UNKNOWN)
    assert held == []


def test_a_prefill_is_never_reported_as_did_not_run():
    # An engine has worked for the request even though no decode started.
    async def scenario(d):
        d.bench.stall_link("p1")
        return await d.ask(d.request(deadline_ms=1_000)), d.dispatches()

    policy = deployments.ScriptedPolicy(["d1"], ["p1"])
    events, dispatches = run(
        lambda: deployments.Deployment(policy=policy), scenario
    )
    assert dispatches == 0
    assert deployments.ran_of(events[-1]) is errors.Ran.UNKNOWN


def test_a_deadline_after_dispatch_is_not_retryable():
    # A retryable error would make a client without a key send the request
    # again, and it would run twice.
    async def scenario(d):
        request = d.request(tokens=100, deadline_ms=400, is_repeatable=False)
        return await d.ask(request), d.dispatches()

    policy = deployments.ScriptedPolicy(["d1"], ["p1"])
    events, dispatches = run(
        lambda: deployments.Deployment(policy=policy), scenario
    )
    kind = deployments.kind_of(events[-1])
    assert dispatches == 1
    assert not errors.TABLE[kind].retryable
    assert deployments.ran_of(events[-1]) is errors.Ran.UNKNOWN


def test_a_deadline_before_any_attempt_reports_did_not_run():
    # No engine was contacted, so "did not run" is certain.
    async def scenario(d):
        return await d.ask(d.request(deadline_ms=500))

    policy = deployments.ScriptedPolicy([], ["p1"])
    events = run(lambda: deployments.Deployment(policy=policy), scenario)
    assert deployments.ran_of(events[-1]) is errors.Ran.NO
