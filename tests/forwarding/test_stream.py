"""Streams: resumption, lost answers and deadlines."""

from __future__ import annotations

import asyncio
import dataclasses

import pytest

from jujubewharf import errors
from tests.forwarding import deployments

prefill_engine = deployments.prefill_engine
decode_engine = deployments.decode_engine


def test_broken_stream_resumes_after_the_last_complete_event():
    """A stream that breaks inside an event resumes without gap or repeat."""

    async def main():
        dying = decode_engine("d1", breaks_after=2)
        async with deployments.deployed(
            prefill_engine("p1"), dying, decode_engine("d2", "b")
        ) as world:
            answer = await world.ask("/verdicts/1")
            assert answer.numbers == [1, 2, 3, 4, 5]
            assert [(r.engine, r.after_event) for r in world.backends.runs] == [
                ("d1", None),
                ("d2", 2),
            ]

    deployments.run(main())


# Without length or chunks the end of the connection is the end of the answer.
def test_stream_that_ends_inside_an_event_resumes():
    async def main():
        dying = decode_engine("d1", ends_after=2, is_framed=False)
        async with deployments.deployed(
            prefill_engine("p1"), dying, decode_engine("d2", "b")
        ) as world:
            answer = await world.ask("/verdicts/1")
            assert answer.numbers == [1, 2, 3, 4, 5]
            assert [r.engine for r in world.backends.runs] == ["d1", "d2"]

    deployments.run(main())


# Its events were whole, so the end of the connection was taken for its end.
def test_stream_that_ends_behind_an_event_with_its_engine_resumes():
    async def main():
        async with deployments.deployed(
            prefill_engine("p1"),
            decode_engine("d1", is_framed=False),
            decode_engine("d2", "b", is_framed=False),
        ) as world:
            asking = asyncio.ensure_future(world.ask("/verdicts/1"))
            while not world.backends.runs:
                await world.clock.sleep_ms(10.0)
            await world.clock.sleep_ms(120.0)
            first = world.backends.runs[0].engine
            world.backends.crash(world.backends.by_name[first])
            answer = await asking
            assert answer.numbers == [1, 2, 3, 4, 5]
            assert [r.after_event for r in world.backends.runs] == [None, 2]

    deployments.run(main())


# It can't be resumed, and an answer that ends early must not look complete.
def test_stream_that_runs_once_breaks_off_with_its_engine():
    async def main():
        async with deployments.deployed(
            prefill_engine("p1"), decode_engine("d1", is_framed=False)
        ) as world:
            asking = asyncio.ensure_future(world.ask("/once/1"))
            while not world.backends.runs:
                await world.clock.sleep_ms(10.0)
            await world.clock.sleep_ms(120.0)
            world.backends.crash(world.backends.by_name["d1"])
            answer = await asking
            assert answer.numbers == [1, 2]
            assert not answer.is_ended
            assert answer.error is not None
            assert answer.error.kind is errors.ErrorKind.ANSWER_BROKEN

    deployments.run(main())


def test_silent_stream_resumes_elsewhere():
    """A stream without events resumes elsewhere after a second.

    A host behind a network partition does not even reset its connections.
    """

    async def main():
        dark = decode_engine("d1", stalls_after=2)
        async with deployments.deployed(
            prefill_engine("p1"), dark, decode_engine("d2", "b")
        ) as world:
            answer = await world.ask("/verdicts/1")
            assert answer.numbers == [1, 2, 3, 4, 5]
            assert answer.took_ms < 2_500.0
            assert not world.backends.by_name["d1"].running_requests

    deployments.run(main())


def test_resumed_stream_is_not_deprioritised():
    """A stream that resumes is not deprioritised like a late request."""

    async def main():
        tight = decode_engine("d2")
        tight.held["others"] = tight.memory_tokens // 2
        lost = decode_engine("d1", stalls_after=2)
        async with deployments.deployed(
            prefill_engine("p1"), lost, tight
        ) as world:
            asked = asyncio.ensure_future(world.ask("/verdicts/1"))
            await world.clock.sleep_ms(800.0)
            lost.is_unreachable = True
            assert (await asked).numbers == [1, 2, 3, 4, 5]

    deployments.run(main())


def test_stream_without_repeat_stays_broken():
    """The caller never gets events of a second run."""

    async def main():
        dying = decode_engine("d1", breaks_after=2)
        async with deployments.deployed(
            prefill_engine("p1"), dying, decode_engine("d2", "b")
        ) as world:
            answer = await world.ask("/once/1")
            assert answer.numbers[:2] == [1, 2]
            assert answer.error is not None
            assert answer.error.ran is errors.Ran.UNKNOWN
            assert len(world.backends.runs) == 1

    deployments.run(main())


def test_lost_answer_without_repeat_has_unknown_outcome():
    """A lost answer is not reported as "did not run" and has no retry-after."""

    async def main():
        async with deployments.deployed(
            prefill_engine("p1"),
            decode_engine("d1", loses_answers=True),
            decode_engine("d2", "b"),
        ) as world:
            answer = await world.ask("/once/1")
            assert answer.error is not None
            assert answer.error.kind is errors.ErrorKind.OUTCOME_UNKNOWN
            assert answer.error.retry_after_ms is None
            assert len(world.backends.runs) == 1

    deployments.run(main())


def test_disconnect_of_caller_cancels_the_run():
    async def main():
        slow = decode_engine("d1", events=100)
        async with deployments.deployed(prefill_engine("p1"), slow) as world:
            await world.ask("/verdicts/1", leave_after_ms=700.0)
            assert not slow.running_requests
            assert not slow.held

    deployments.run(main())


def test_disconnect_during_prefill_releases_everything():
    async def main():
        long_reader = prefill_engine("p1", prefill_token_ms=0.2)
        async with deployments.deployed(
            long_reader, decode_engine("d1")
        ) as world:
            await world.ask("/verdicts/1", leave_after_ms=300.0)
            await world.clock.sleep_ms(10.0)
            assert not world.backends.by_name["d1"].held
            assert world.backends.runs == []

    deployments.run(main())


def test_deadline_ends_a_stream():
    async def main():
        endless = decode_engine("d1", events=1_000)
        async with deployments.deployed(prefill_engine("p1"), endless) as world:
            answer = await world.ask("/verdicts/1")
            timeout_ms = deployments.STREAM.timeout_ms
            assert answer.took_ms == pytest.approx(timeout_ms, abs=20.0)
            assert answer.error is not None
            assert not endless.running_requests

    deployments.run(main())


def test_resumed_stream_uses_a_prefill_engine():
    """Prefill on the resuming decode engine would stall its other answers."""

    async def main():
        dying = decode_engine("d1", breaks_after=2)
        async with deployments.deployed(
            prefill_engine("p1"), dying, decode_engine("d2", "b")
        ) as world:
            await world.ask("/verdicts/1")
            assert [r.had_source for r in world.backends.runs] == [True, True]
            assert len(world.backends.prefills) == 2

    deployments.run(main())


def test_resumption_skips_unreachable_engine():
    """An unreachable engine does not count as an attempt."""

    async def main():
        dying = decode_engine("d1", breaks_after=2)
        dead = decode_engine("d2", "a")
        async with deployments.deployed(
            prefill_engine("p1"), dying, dead, decode_engine("d3", "b")
        ) as world:
            dead.is_unreachable = True
            answer = await world.ask("/verdicts/1")
            assert answer.numbers == [1, 2, 3, 4, 5]
            assert world.backends.runs[-1].engine == "d3"

    deployments.run(main())


def test_missing_event_breaks_the_stream():
    """A gap in the event numbers resumes the stream elsewhere."""

    async def main():
        async with deployments.deployed(
            prefill_engine("p1"),
            decode_engine("d1", skipped_event=3),
            decode_engine("d2", "b"),
        ) as world:
            answer = await world.ask("/verdicts/1")
            assert answer.numbers == [1, 2, 3, 4, 5]
            assert [r.after_event for r in world.backends.runs] == [None, 2]

    deployments.run(main())


def test_no_repeat_despite_attempts_left():
    """A lost answer may mean that the request ran, so it is not repeated."""

    async def main():
        async with deployments.deployed(
            prefill_engine("p1"),
            decode_engine("d1", loses_answers=True),
            decode_engine("d2", "b"),
        ) as world:
            route = dataclasses.replace(deployments.ONE_STREAM, max_attempts=3)
            world.configurations.put(
                "config", deployments.configuration(2, route)
            )
            await world.clock.sleep_ms(100.0)
            answer = await world.ask("/once/1")
            assert answer.error is not None
            assert answer.error.ran is errors.Ran.UNKNOWN
            assert len(world.backends.runs) == 1

    deployments.run(main())
