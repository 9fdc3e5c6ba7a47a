"""The sweep frees memory that no request needs, and no other."""

from __future__ import annotations

import asyncio

from jujubewharf.engines import client
from tests.requests import deployments
from tests.requests.test_answer_service import ask_ignoring_loss
from tests.requests.test_answer_service import run

LONG = {"tokens": 900, "deadline_ms": 90_000}


def test_memory_of_a_killed_instance_is_freed_within_a_bound():
    # Memory of a lost instance must be freed even if no retry arrives.
    async def scenario(d):
        asyncio.ensure_future(ask_ignoring_loss(d, d.request(**LONG), "e1"))
        await d.clock.sleep_ms(500)
        d.bench.kill_instance("e1")
        before = await d.held()
        await d.clock.sleep_ms(16_000)
        return before, await d.held()

    before, after = run(scenario)
    assert len(before) == 1
    assert after == []


def test_memory_of_a_restarted_instance_is_freed_at_the_next_sweep():
    # The new process doesn't need the attempts of the old one.
    async def scenario(d):
        asyncio.ensure_future(ask_ignoring_loss(d, d.request(**LONG), "e1"))
        await d.clock.sleep_ms(500)
        await d.bench.restart_instance("e1")
        await d.clock.sleep_ms(7_000)
        return await d.held()

    assert run(scenario) == []


def test_a_reservation_that_lands_after_its_release_is_freed():
    # A release may overtake a slow reservation, which must still be freed.
    async def scenario(d):
        for name in ("d1", "d2"):
            d.engine(name).lag_ms["reserve"] = 1_500
        task = asyncio.ensure_future(d.ask(d.request(**LONG), "e1"))
        await d.clock.sleep_ms(300)
        task.cancel()
        await d.clock.sleep_ms(1_300)
        landed = await d.held()
        await d.clock.sleep_ms(4_000)
        return landed, await d.held()

    landed, after = run(scenario)
    assert len(landed) == 1
    assert after == []


def test_live_requests_keep_their_memory():
    # Attempts older than the grace period must not be freed while they run.
    async def scenario(d):
        asked = [d.ask(d.request(**LONG), name) for name in ("e1", "e2", "e3")]
        answers = await asyncio.gather(*asked)
        swept = [dict(d.counts(name).swept) for name in ("e1", "e2", "e3")]
        return answers, swept

    answers, swept = run(scenario)
    assert all(deployments.is_whole(events, 900) for events in answers)
    assert swept == [{}, {}, {}]


def test_an_owner_that_others_can_reach_keeps_its_memory():
    # An owner must be asked through other instances when the direct link fails.
    async def scenario(d):
        task = asyncio.ensure_future(d.ask(d.request(**LONG), "e1"))
        await d.clock.sleep_ms(500)
        assert [item[:2] for item in await d.held()] == ["d1"]
        d.bench.network.cut("a", "c")
        events = await task
        return events, [dict(d.counts(n).swept) for n in ("e1", "e2", "e3")]

    policy = deployments.ScriptedPolicy(["d1"], ["p1"])
    events, swept = run(scenario, policy=policy)
    assert deployments.is_whole(events, 900)
    assert swept == [{}, {}, {}]


def test_an_owner_paused_too_long_runs_a_new_attempt():
    # An owner that resumes after its attempt was freed must run a new attempt.
    async def scenario(d):
        task = asyncio.ensure_future(d.ask(d.request(**LONG), "e1"))
        await d.clock.sleep_ms(500)
        d.bench.pause_instance("e1")
        await d.clock.sleep_ms(16_000)
        held = await d.held()
        d.bench.resume_instance("e1")
        return held, await task

    held, events = run(scenario)
    assert held == []
    assert deployments.is_whole(events, 900)


def test_an_engine_out_of_reach_is_swept_when_it_is_back():
    async def scenario(d):
        d.bench.cut_domain("a", from_log=False, from_list=False)
        engine = d.engine("p1")
        await engine.reserve(client.Attempt("nobody.1", "e9"))
        await d.clock.sleep_ms(5_000)
        d.bench.heal()
        await d.clock.sleep_ms(16_000)
        return await d.held()

    assert run(scenario) == []
