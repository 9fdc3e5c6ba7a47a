"""Idempotency keys across instances: retries join or take over."""

from __future__ import annotations

import asyncio
import contextlib

import pytest

from jujubewharf import errors
from jujubewharf.experiments import processes
from jujubewharf.experiments import virtual_time
from jujubewharf.requests import keys
from jujubewharf.requests import model_request
from tests.requests import deployments

THREE = {"e1": "a", "e2": "b", "e3": "c"}


def run(scenario, **fields):
    async def main():
        fields.setdefault("instances", THREE)
        deployment = await deployments.Deployment(**fields).start()
        result = await scenario(deployment)
        await deployment.bench.stop()
        return result

    return virtual_time.run(main())


async def ask_ignoring_loss(d, request, name):
    """Asks, and ignores the loss of the instance."""
    with contextlib.suppress(processes.InstanceLostError):
        return await d.ask(request, name)
    return []


def test_a_retry_elsewhere_joins_the_running_answer():
    # A retry at another instance must not start a second run.
    async def scenario(d):
        first = asyncio.ensure_future(d.ask(d.request(key="k"), "e1"))
        await d.clock.sleep_ms(300)
        second = await d.ask(d.request(key="k"), "e2")
        return await first, second, d.dispatches()

    first, second, dispatches = run(scenario)
    assert deployments.is_whole(first)
    assert deployments.is_whole(second)
    assert dispatches == 1


def test_a_retry_after_the_end_gets_the_finished_answer():
    async def scenario(d):
        await d.ask(d.request(key="k"), "e1")
        await d.clock.sleep_ms(5_000)
        return await d.ask(d.request(key="k"), "e3"), d.dispatches()

    again, dispatches = run(scenario)
    assert deployments.is_whole(again)
    assert dispatches == 1


def test_simultaneous_requests_at_two_instances_run_once():
    # Simultaneous requests with one key must not both run.
    async def scenario(d):
        both = await asyncio.gather(
            d.ask(d.request(key="k"), "e1"), d.ask(d.request(key="k"), "e2")
        )
        return both, d.dispatches()

    both, dispatches = run(scenario)
    assert all(deployments.is_whole(events) for events in both)
    assert dispatches == 1


def test_the_same_key_with_another_body_is_a_conflict():
    async def scenario(d):
        await d.ask(d.request(key="k"), "e1")
        other = d.request(key="k", body_digest="other")
        return await d.ask(other, "e2"), await d.ask(other, "e1")

    for events in run(scenario):
        assert deployments.kind_of(events[-1]) is errors.ErrorKind.KEY_CONFLICT


def test_accounts_do_not_share_keys():
    async def scenario(d):
        await d.ask(d.request(key="k"), "e1")
        other = d.request(key="k")
        other = model_request.dataclasses.replace(other, account="other")
        return await d.ask(other, "e2"), d.dispatches()

    events, dispatches = run(scenario)
    assert deployments.is_whole(events)
    assert dispatches == 2


def test_a_dead_owners_answer_is_taken_over_and_its_memory_freed():
    # A retry after the owner's death must run, and must release the lost
    # attempt.
    async def scenario(d):
        request = d.request(tokens=900, key="k", deadline_ms=90_000)
        asyncio.ensure_future(ask_ignoring_loss(d, request, "e1"))
        await d.clock.sleep_ms(500)
        d.bench.kill_instance("e1")
        retry = d.request(tokens=900, key="k", deadline_ms=90_000)
        task = asyncio.ensure_future(d.ask(retry, "e2"))
        await d.clock.sleep_ms(4_000)
        held = await d.held()
        return await task, held, request.request_id

    events, held, request_id = run(scenario)
    assert deployments.is_whole(events, 900)
    assert not any(request_id in item for item in held)


def test_a_relayed_answer_continues_after_the_owners_death():
    # After the owner's death a relayed answer must continue without a gap or a
    # repeat.
    async def scenario(d):
        asyncio.ensure_future(
            ask_ignoring_loss(d, d.request(tokens=200, key="k"), "e1")
        )
        await d.clock.sleep_ms(500)
        task = asyncio.ensure_future(
            d.ask(d.request(tokens=200, key="k"), "e2")
        )
        await d.clock.sleep_ms(1_000)
        d.bench.kill_instance("e1")
        return await task

    assert deployments.is_whole(run(scenario), 200)


def test_a_paused_owner_finds_its_run_taken_over():
    # An owner that resumes after a takeover must release its attempt and relay
    # the answer of the new run.
    async def scenario(d):
        request = d.request(tokens=400, key="k", deadline_ms=60_000)
        first = asyncio.ensure_future(d.ask(request, "e1"))
        await d.clock.sleep_ms(500)
        d.bench.pause_instance("e1")
        retry = d.request(tokens=400, key="k", deadline_ms=60_000)
        second = asyncio.ensure_future(d.ask(retry, "e2"))
        await d.clock.sleep_ms(8_000)
        d.bench.resume_instance("e1")
        await d.clock.sleep_ms(2_000)
        held = await d.held()
        return await first, await second, held, request.request_id

    first, second, held, request_id = run(scenario)
    assert deployments.is_whole(second, 400)
    assert deployments.is_whole(first, 400)
    assert not any(request_id in item for item in held)


def test_a_minted_key_needs_no_record():
    # A retry with a minted key goes to the minting instance, without a record.
    async def scenario(d):
        minted = model_request.new_request_id("e1")
        request = model_request.dataclasses.replace(
            d.request(), request_id=minted, key=minted
        )
        first = asyncio.ensure_future(d.ask(request, "e1"))
        await d.clock.sleep_ms(200)
        records = sum(len(d.core(name).key_homes) for name in THREE)
        second = await d.ask(d.request(key=minted), "e2")
        return await first, second, records, d.dispatches()

    first, second, records, dispatches = run(scenario)
    assert deployments.is_whole(first)
    assert deployments.is_whole(second)
    assert (records, dispatches) == (0, 1)


def test_not_repeatable_with_a_lost_minter_is_unknown():
    async def scenario(d):
        minted = model_request.new_request_id("e1")
        request = model_request.dataclasses.replace(
            d.request(is_repeatable=False), request_id=minted, key=minted
        )
        task = asyncio.ensure_future(ask_ignoring_loss(d, request, "e1"))
        await d.clock.sleep_ms(300)
        d.bench.kill_instance("e1")
        await task
        retry = d.request(key=minted, is_repeatable=False)
        return await d.ask(retry, "e2"), d.dispatches()

    events, dispatches = run(scenario)
    assert deployments.kind_of(events[-1]) is errors.ErrorKind.KEY_EXPIRED
    assert deployments.ran_of(events[-1]) is errors.Ran.UNKNOWN
    assert dispatches == 1


def test_records_follow_when_their_home_is_lost():
    # Records must be copied to new homes, so that a retry still joins.
    async def scenario(d):
        key = next(
            f"k{number}"
            for number in range(100)
            if "e1"
            not in d.core("e1").key_homes.homes(keys.key_of("", f"k{number}"))
        )
        long = {"tokens": 900, "key": key, "deadline_ms": 90_000}
        first = asyncio.ensure_future(d.ask(d.request(**long), "e1"))
        await d.clock.sleep_ms(500)
        for name in ("e2", "e3"):
            await d.bench.restart_instance(name)
            await d.clock.sleep_ms(6_000)
        second = await d.ask(d.request(**long), "e3")
        return await first, second, d.dispatches()

    first, second, dispatches = run(scenario)
    assert deployments.is_whole(first, 900)
    assert deployments.is_whole(second, 900)
    assert dispatches == 1


@pytest.mark.parametrize("is_repeatable", [True, False])
def test_a_disconnected_caller_leaves_no_memory_allocated(is_repeatable):
    # A run without readers must release its memory after the linger time.
    async def scenario(d):
        request = d.request(tokens=900, key="k", is_repeatable=is_repeatable)
        request = model_request.dataclasses.replace(request, deadline_ms=9e4)
        events = d.bench.instances["e1"].answer(request)
        async with contextlib.aclosing(events) as opened:
            async for _ in opened:
                break
        before = await d.held()
        await d.clock.sleep_ms(2_200 if is_repeatable else 15_200)
        return before, await d.held()

    before, after = run(scenario)
    assert len(before) == 1
    assert after == []


@pytest.mark.parametrize("is_repeatable", [True, False])
def test_a_finished_answer_outlives_its_instances_shutdown(is_repeatable):
    # A retry after an orderly shutdown must not run the request again.
    async def scenario(d):
        request = d.request(key="k", is_repeatable=is_repeatable)
        await d.ask(request, "e1")
        await d.bench.stop_instance("e1")
        await d.clock.sleep_ms(1_000)
        retry = d.request(key="k", is_repeatable=is_repeatable)
        return await d.ask(retry, "e2"), d.dispatches()

    events, dispatches = run(scenario)
    assert deployments.is_whole(events)
    assert dispatches == 1


def test_an_unresponsive_second_home_barely_delays_requests():
    # A paused second home that isn't suspected yet must not delay requests.
    async def scenario(d):
        key = next(
            f"k{number}"
            for number in range(100)
            if d.core("e1").key_homes.homes(keys.key_of("", f"k{number}"))
            == ["e2", "e3"]
        )
        d.bench.pause_instance("e3")
        before_ms = d.clock.now_ms()
        events = d.bench.instances["e1"].answer(d.request(key=key))
        async with contextlib.aclosing(events) as opened:
            async for _ in opened:
                break
        took_ms = d.clock.now_ms() - before_ms
        d.bench.resume_instance("e3")
        return took_ms, len(d.core("e2").key_homes)

    took_ms, records = run(scenario)
    assert took_ms < 400
    assert records == 1


def test_a_joined_answer_keeps_the_retrys_own_deadline():
    # A retry that joins must end at its own deadline, not at the first one's.
    async def scenario(d):
        long = d.request(tokens=400, key="k", deadline_ms=60_000)
        asyncio.ensure_future(d.ask(long, "e1"))
        await d.clock.sleep_ms(300)
        before_ms = d.clock.now_ms()
        retry = d.request(tokens=400, key="k", deadline_ms=1_000)
        events = await d.ask(retry, "e1")
        return events[-1], d.clock.now_ms() - before_ms

    end, took_ms = run(scenario)
    assert deployments.kind_of(end) is errors.ErrorKind.DEADLINE_EXCEEDED
    assert deployments.ran_of(end) is errors.Ran.UNKNOWN
    assert took_ms <= 1_010
