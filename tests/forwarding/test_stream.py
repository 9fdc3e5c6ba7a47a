"""Streams: once where asked, and on elsewhere where that is allowed."""

from __future__ import annotations

import asyncio
import dataclasses

import pytest

from jujubewharf import errors
from tests.forwarding import deployments

reader = deployments.reader
writer = deployments.writer


def test_a_broken_stream_goes_on_after_the_last_whole_event():
    """The caller sees one stream without a gap.

    The engine dies inside its third event. Where the route allows it the
    request goes to another engine with the last whole event's number, and
    only after the first connection was closed.
    """

    async def main():
        dying = writer("d1", breaks_after=2)
        async with deployments.deployed(
            reader("p1"), dying, writer("d2", "b")
        ) as world:
            answer = await world.ask("/verdicts/1")
            assert answer.numbers == [1, 2, 3, 4, 5]
            assert [(r.engine, r.after_event) for r in world.backends.runs] == [
                ("d1", None),
                ("d2", 2),
            ]

    deployments.run(main())


def test_a_silent_stream_goes_on_elsewhere():
    """The caller waits a second, not until it gives up.

    A machine behind a partition sends nothing, not even a reset.
    """

    async def main():
        dark = writer("d1", stalls_after=2)
        async with deployments.deployed(
            reader("p1"), dark, writer("d2", "b")
        ) as world:
            answer = await world.ask("/verdicts/1")
            assert answer.numbers == [1, 2, 3, 4, 5]
            assert answer.took_ms < 2_500.0
            assert not world.backends.by_name["d1"].at_work

    deployments.run(main())


def test_a_broken_stream_is_not_put_behind_where_memory_is_short():
    """A stream breaks while the only other engine has little memory left.

    A request that merely came back late would leave that memory to others.
    This caller has a part of its answer already: it gets the rest of it.
    """

    async def main():
        tight = writer("d2")
        tight.held["others"] = tight.memory_tokens // 2
        lost = writer("d1", stalls_after=2)
        async with deployments.deployed(reader("p1"), lost, tight) as world:
            asked = asyncio.ensure_future(world.ask("/verdicts/1"))
            await world.clock.sleep_ms(800.0)
            lost.is_unreachable = True
            assert (await asked).numbers == [1, 2, 3, 4, 5]

    deployments.run(main())


def test_a_stream_that_may_run_once_stays_broken():
    """The caller sees a broken connection, never a second run's events."""

    async def main():
        dying = writer("d1", breaks_after=2)
        async with deployments.deployed(
            reader("p1"), dying, writer("d2", "b")
        ) as world:
            answer = await world.ask("/once/1")
            assert answer.numbers[:2] == [1, 2]
            assert answer.error is not None
            assert answer.error.ran is errors.Ran.UNKNOWN
            assert len(world.backends.runs) == 1

    deployments.run(main())


def test_a_lost_answer_to_one_that_may_run_once_is_unknown():
    """The caller must not be told that nothing ran.

    The engine ran it and the answer was lost: "unknown", without a time to
    come back.
    """

    async def main():
        async with deployments.deployed(
            reader("p1"), writer("d1", loses_answers=True), writer("d2", "b")
        ) as world:
            answer = await world.ask("/once/1")
            assert answer.error is not None
            assert answer.error.kind is errors.ErrorKind.OUTCOME_UNKNOWN
            assert answer.error.retry_after_ms is None
            assert len(world.backends.runs) == 1

    deployments.run(main())


def test_a_caller_that_leaves_ends_the_engines_work():
    async def main():
        slow = writer("d1", events=100)
        async with deployments.deployed(reader("p1"), slow) as world:
            await world.ask("/verdicts/1", leave_after_ms=700.0)
            assert not slow.at_work
            assert not slow.held

    deployments.run(main())


def test_a_caller_that_leaves_while_its_prompt_is_read_leaves_nothing():
    async def main():
        long_reader = reader("p1", prefill_token_ms=0.2)
        async with deployments.deployed(long_reader, writer("d1")) as world:
            await world.ask("/verdicts/1", leave_after_ms=300.0)
            await world.clock.sleep_ms(10.0)
            assert not world.backends.by_name["d1"].held
            assert world.backends.runs == []

    deployments.run(main())


def test_the_deadline_ends_a_stream():
    async def main():
        endless = writer("d1", events=1_000)
        async with deployments.deployed(reader("p1"), endless) as world:
            answer = await world.ask("/verdicts/1")
            timeout_ms = deployments.STREAM.timeout_ms
            assert answer.took_ms == pytest.approx(timeout_ms, abs=20.0)
            assert answer.error is not None
            assert not endless.at_work

    deployments.run(main())


def test_a_resumed_stream_has_its_prompt_read_apart():
    """Other callers' answers go on without a pause.

    The engine that takes a broken stream up would read the whole prompt
    again, between the tokens of the answers that it writes.
    """

    async def main():
        dying = writer("d1", breaks_after=2)
        async with deployments.deployed(
            reader("p1"), dying, writer("d2", "b")
        ) as world:
            await world.ask("/verdicts/1")
            assert [r.had_source for r in world.backends.runs] == [True, True]
            assert len(world.backends.prefills) == 2

    deployments.run(main())


def test_a_broken_stream_passes_an_unreachable_engine_over():
    """The caller's stream goes on at the third engine.

    The first breaks off, the second died with it and can't be reached, which
    is no attempt.
    """

    async def main():
        dying = writer("d1", breaks_after=2)
        dead = writer("d2", "a")
        async with deployments.deployed(
            reader("p1"), dying, dead, writer("d3", "b")
        ) as world:
            dead.is_unreachable = True
            answer = await world.ask("/verdicts/1")
            assert answer.numbers == [1, 2, 3, 4, 5]
            assert world.backends.runs[-1].engine == "d3"

    deployments.run(main())


def test_an_event_that_is_missing_breaks_the_stream():
    """The caller gets the missing event from another engine, not a gap."""

    async def main():
        async with deployments.deployed(
            reader("p1"), writer("d1", skips=3), writer("d2", "b")
        ) as world:
            answer = await world.ask("/verdicts/1")
            assert answer.numbers == [1, 2, 3, 4, 5]
            assert [r.after_event for r in world.backends.runs] == [None, 2]

    deployments.run(main())


def test_one_that_may_run_once_is_not_sent_again_whatever_attempts_are_left():
    """The caller is told "unknown"; no second engine begins.

    The route allows three engines, which is for those that refuse. A lost
    answer may mean that the first one ran it.
    """

    async def main():
        async with deployments.deployed(
            reader("p1"), writer("d1", loses_answers=True), writer("d2", "b")
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
