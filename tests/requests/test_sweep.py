"""The sweep frees what is held for nobody, and never a live request's."""

from __future__ import annotations

import asyncio

from jujubewharf.engines import client
from tests.requests import deployments
from tests.requests.test_answers import ask_quietly
from tests.requests.test_answers import run

LONG = {"tokens": 900, "deadline_ms": 90_000}


def test_memory_of_a_killed_instance_is_freed_within_a_bound():
    # e1 dies while it writes and nobody retries. Its owner's silence is
    # noticed; after the bound no engine holds anything of it.
    async def story(d):
        asyncio.ensure_future(ask_quietly(d, d.request(**LONG), "e1"))
        await d.clock.sleep_ms(500)
        d.bench.kill_instance("e1")
        before = await d.held()
        await d.clock.sleep_ms(16_000)
        return before, await d.held()

    before, after = run(story)
    assert len(before) == 1
    assert after == []


def test_memory_of_a_restarted_instance_is_freed_at_the_next_sweep():
    # The new e1 knows nothing of the old one's attempts, and says so.
    async def story(d):
        asyncio.ensure_future(ask_quietly(d, d.request(**LONG), "e1"))
        await d.clock.sleep_ms(500)
        await d.bench.restart_instance("e1")
        await d.clock.sleep_ms(7_000)
        return await d.held()

    assert run(story) == []


def test_a_reservation_that_lands_after_its_release_is_freed():
    # The reservation is slow; the caller leaves, the release overtakes it,
    # and the slot is taken for a request that is long over.
    async def story(d):
        for name in ("d1", "d2"):
            d.engine(name).lag_ms["reserve"] = 1_500
        task = asyncio.ensure_future(d.ask(d.request(**LONG), "e1"))
        await d.clock.sleep_ms(300)
        task.cancel()
        await d.clock.sleep_ms(1_300)
        landed = await d.held()
        await d.clock.sleep_ms(4_000)
        return landed, await d.held()

    landed, after = run(story)
    assert len(landed) == 1
    assert after == []


def test_live_requests_keep_their_memory():
    # Long answers are written by all instances while sweeps go on; none is
    # taken from them, although some attempts are older than any grace.
    async def story(d):
        asked = [d.ask(d.request(**LONG), name) for name in ("e1", "e2", "e3")]
        answers = await asyncio.gather(*asked)
        swept = [dict(d.counts(name).swept) for name in ("e1", "e2", "e3")]
        return answers, swept

    answers, swept = run(story)
    assert all(deployments.is_whole(events, 900) for events in answers)
    assert swept == [{}, {}, {}]


def test_an_owner_that_others_can_reach_keeps_its_memory():
    # d1 stands in c and is swept from there. The links between c and a, where
    # the owner is, are cut, but b reaches both: the owner's word comes round.
    async def story(d):
        task = asyncio.ensure_future(d.ask(d.request(**LONG), "e1"))
        await d.clock.sleep_ms(500)
        assert [item[:2] for item in await d.held()] == ["d1"]
        d.bench.network.cut("a", "c")
        events = await task
        return events, [dict(d.counts(n).swept) for n in ("e1", "e2", "e3")]

    policy = deployments.Scripted(["d1"], ["p1"])
    events, swept = run(story, policy=policy)
    assert deployments.is_whole(events, 900)
    assert swept == [{}, {}, {}]


def test_an_owner_paused_for_long_loses_its_memory_and_answers_whole():
    # e1 is paused longer than the sweep's patience. Its attempt is freed;
    # when e1 is back it finds the stream broken and runs a second attempt.
    async def story(d):
        task = asyncio.ensure_future(d.ask(d.request(**LONG), "e1"))
        await d.clock.sleep_ms(500)
        d.bench.pause_instance("e1")
        await d.clock.sleep_ms(16_000)
        held = await d.held()
        d.bench.resume_instance("e1")
        return held, await task

    held, events = run(story)
    assert held == []
    assert deployments.is_whole(events, 900)


def test_an_engine_out_of_reach_is_swept_when_it_is_back():
    async def story(d):
        d.bench.cut_domain("a", from_log=False, from_list=False)
        engine = d.engine("p1")
        await engine.reserve(client.Attempt("nobody.1", "e9"))
        await d.clock.sleep_ms(5_000)
        d.bench.heal()
        await d.clock.sleep_ms(16_000)
        return await d.held()

    assert run(story) == []
