"""Attempts of streamed requests: reservation, prefill and decode."""

from __future__ import annotations

import asyncio

from jujubewharf import errors
from jujubewharf.configuration import resources
from jujubewharf.engines import client
from tests.forwarding import deployments

prefill_engine = deployments.prefill_engine
decode_engine = deployments.decode_engine


def test_prefill_and_decode_on_separate_engines():
    async def main():
        async with deployments.deployed(
            prefill_engine("p1"), decode_engine("d1")
        ) as world:
            answer = await world.ask("/verdicts/1")
            assert answer.status == 200
            assert answer.numbers == [1, 2, 3, 4, 5]
            assert world.backends.prefills == [("r1", "p1")]
            (ran,) = world.backends.runs
            assert (ran.engine, ran.had_source) == ("d1", True)
            assert not world.backends.by_name["d1"].held

    deployments.run(main())


def test_decode_engine_prefills_without_prefill_engine():
    async def main():
        async with deployments.deployed(decode_engine("d1")) as world:
            answer = await world.ask("/verdicts/1")
            assert answer.numbers == [1, 2, 3, 4, 5]
            (ran,) = world.backends.runs
            assert not ran.had_source

    deployments.run(main())


def test_no_prefill_without_decode_memory():
    """Prefill without reserved memory is wasted, since its result expires."""

    async def main():
        full = decode_engine("d1", memory_tokens=100)
        async with deployments.deployed(prefill_engine("p1"), full) as world:
            answer = await world.ask("/verdicts/1", caller_timeout_ms=14_000.0)
            assert answer.error is not None
            assert answer.error.kind is errors.ErrorKind.QUEUE_FULL
            assert answer.error.ran is errors.Ran.NO
            assert answer.error.retry_after_ms is not None
            # Without observed latencies, 0.35 of the target is reserved for the
            # time to the first event.
            assert answer.took_ms <= deployments.STREAM.target_ms * 0.66
            assert world.backends.prefills == []

    deployments.run(main())


def test_retried_request_waits_longer():
    """A retried request waits longer than a new one.

    It is recognised by its shorter remaining time.
    """

    async def main():
        full = decode_engine("d1", memory_tokens=100)
        async with deployments.deployed(prefill_engine("p1"), full) as world:
            first = await world.ask("/verdicts/1", caller_timeout_ms=14_000.0)
            again = await world.ask("/verdicts/1", caller_timeout_ms=10_500.0)
            assert again.took_ms > 3 * first.took_ms
            # Callers give up on streams that have not started by then.
            assert again.took_ms <= 3.61 * deployments.STREAM.target_ms

    deployments.run(main())


def test_request_that_can_meet_its_target_goes_first():
    """A request that can meet its target precedes one that is already late.

    The late request arrived first and is served afterwards.
    """

    async def main():
        tight = decode_engine("d1", memory_tokens=16_000, events=6)
        async with deployments.deployed(prefill_engine("p1"), tight) as world:
            first = asyncio.ensure_future(
                world.ask("/verdicts/1", caller_timeout_ms=14_000.0)
            )
            await world.clock.sleep_ms(50.0)
            late = asyncio.ensure_future(
                world.ask("/verdicts/2", caller_timeout_ms=10_500.0)
            )
            await world.clock.sleep_ms(50.0)
            in_time = await world.ask("/verdicts/3", caller_timeout_ms=14_000.0)
            assert not late.done()
            assert in_time.numbers[-1] == 6
            assert in_time.first_ms < deployments.STREAM.target_ms
            assert (await first).numbers[-1] == 6
            assert (await late).numbers[-1] == 6

    deployments.run(main())


def test_memory_freed_in_time_is_used():
    async def main():
        tight = decode_engine("d1", memory_tokens=20_000, events=6)
        async with deployments.deployed(prefill_engine("p1"), tight) as world:
            answers = await world.ask_all("/verdicts/1", "/verdicts/2")
            assert [a.numbers[-1] for a in answers] == [6, 6]
            assert max(a.first_ms for a in answers) < 900.0

    deployments.run(main())


def test_decode_engine_prefills_if_fetch_fails():
    """A decode engine that cannot fetch the prefill result prefills itself.

    The prefill engine is then not used for a while.
    """

    async def main():
        deaf = decode_engine("d1", refuses_sources=True)
        async with deployments.deployed(prefill_engine("p1"), deaf) as world:
            answer = await world.ask("/verdicts/1")
            assert answer.numbers == [1, 2, 3, 4, 5]
            assert [r.had_source for r in world.backends.runs] == [False]
            await world.ask("/verdicts/2")
            assert world.backends.prefills == [("r1", "p1")]

    deployments.run(main())


def test_role_change_wastes_at_most_one_prefill():
    """An engine that changes roles costs at most one wasted prefill.

    It still grants reservations, refuses runs, and registers its new role only
    seconds later.
    """

    async def main():
        changing = decode_engine("d1", is_changing=True)
        async with deployments.deployed(
            prefill_engine("p1"), changing, decode_engine("d2", "b")
        ) as world:
            answers = [await world.ask(f"/verdicts/{i}") for i in range(5)]
            assert [a.numbers for a in answers] == [[1, 2, 3, 4, 5]] * 5
            assert len(world.backends.prefills) <= 6
            assert {r.engine for r in world.backends.runs} == {"d2"}
            assert world.backends.checks == 1

    deployments.run(main())


def test_replaced_engine_is_removed():
    """A replaced engine is dropped on its refusal, without the store."""

    async def main():
        replaced = decode_engine("d1", is_replaced=True)
        async with deployments.deployed(
            prefill_engine("p1"), replaced, decode_engine("d2", "b")
        ) as world:
            world.endpoints.is_down = True
            for i in range(4):
                answer = await world.ask(f"/verdicts/{i}")
                assert answer.numbers == [1, 2, 3, 4, 5]
            assert not world.instances["e1"].registry.takes_work("d1")
            assert len(world.backends.prefills) == 4

    deployments.run(main())


def test_chosen_engine_that_is_leaving_gets_no_request():
    """An engine that starts to drain during prefill gets no request."""

    async def main():
        slow_reader = prefill_engine("p1", prefill_token_ms=0.4)
        leaving = decode_engine("d1")
        async with deployments.deployed(
            slow_reader, leaving, decode_engine("d2", "b")
        ) as world:
            asked = asyncio.create_task(world.ask("/verdicts/1"))
            await world.clock.sleep_ms(50.0)
            world.register(leaving, drained=True)
            answer = await asked
            assert answer.numbers == [1, 2, 3, 4, 5]
            assert {r.engine for r in world.backends.runs} == {"d2"}

    deployments.run(main())


def test_engine_with_outdated_role_is_skipped():
    async def main():
        other = decode_engine("d1")
        async with deployments.deployed(
            prefill_engine("p1"), other, decode_engine("d2", "b")
        ) as world:
            # The registration lags behind the engine's actual role.
            other.endpoint = other.endpoint.__class__(
                "d1", deployments.ENGINES, "d1:1", "a", resources.Role.PREFILL
            )
            answers = [await world.ask(f"/verdicts/{i}") for i in range(3)]
            assert [a.numbers for a in answers] == [[1, 2, 3, 4, 5]] * 3
            view = world.instances["e1"]
            assert view.registry.takes_work("d1")

    deployments.run(main())


def test_unreachable_engine_uses_no_attempt():
    async def main():
        async with deployments.deployed(
            prefill_engine("p1"),
            decode_engine("d1", is_unreachable=True),
            decode_engine("d2", "b"),
        ) as world:
            answer = await world.ask("/once/1")
            assert answer.numbers == [1, 2, 3, 4, 5]

    deployments.run(main())


def test_refused_prefill_moves_to_another_engine():
    """A refused prefill moves to another prefill engine.

    Prefill on the decode engine would stall its other answers.
    """

    async def main():
        changing = prefill_engine("p1")
        async with deployments.deployed(
            changing, prefill_engine("p2", "b"), decode_engine("d1")
        ) as world:
            changing.endpoint = decode_engine("p1").endpoint
            for i in range(3):
                answer = await world.ask(f"/verdicts/{i}")
                assert answer.numbers == [1, 2, 3, 4, 5]
            assert [r.had_source for r in world.backends.runs] == [True] * 3
            assert {engine for _, engine in world.backends.prefills} == {"p2"}

    deployments.run(main())


def test_unreachable_decode_engine_is_not_retried_constantly():
    """An unreachable engine is not retried in every round of the wait."""

    async def main():
        dead = decode_engine("d1", is_unreachable=True)
        full = decode_engine("d2", memory_tokens=100)
        async with deployments.deployed(
            prefill_engine("p1"), dead, full
        ) as world:
            asked = 0
            reserve = world.backends.reserve

            async def counted(endpoint, **more):
                nonlocal asked
                asked += endpoint.name == "d1"
                return await reserve(endpoint, **more)

            world.backends.reserve = counted
            await world.ask("/verdicts/1")
            assert asked <= 2

    deployments.run(main())


def test_engine_changing_roles_is_excluded_without_a_prefill_engine():
    """A role change costs one refusal in total, not one per request.

    The refused request has no prefill result that could be the cause.
    """

    async def main():
        changing = decode_engine("d1", is_changing=True)
        async with deployments.deployed(
            changing, decode_engine("d2", "b")
        ) as world:
            for i in range(4):
                answer = await world.ask(f"/verdicts/{i}")
                assert answer.numbers == [1, 2, 3, 4, 5]
            assert world.backends.checks == 1

    deployments.run(main())


def test_engine_changing_roles_is_unused_until_it_has_its_new_role():
    """An engine that changes roles is unused until it registers the new one."""

    async def main():
        changing = decode_engine("d1", is_changing=True)
        async with deployments.deployed(
            changing, decode_engine("d2", "b")
        ) as world:
            await world.ask("/verdicts/1")
            await world.clock.sleep_ms(8_000.0)
            await world.ask("/verdicts/2")
            assert world.backends.checks == 1
            changing.is_changing = False
            world.register(changing, role=resources.Role.PREFILL)
            await world.clock.sleep_ms(1_000.0)
            await world.ask("/verdicts/3")
            assert world.backends.prefills == [("r3", "d1")]

    deployments.run(main())


def test_request_without_size_is_served():
    async def main():
        async with deployments.deployed(
            prefill_engine("p1"), decode_engine("d1")
        ) as world:
            answer = await world.ask("/verdicts/1", work=None)
            assert answer.numbers == [1, 2, 3, 4, 5]
            assert world.backends.prefills == []

    deployments.run(main())


def test_run_after_refused_prefill_needs_retry_budget():
    """A run after a refused prefill counts against the retry budget."""

    async def main():
        busy = prefill_engine("p1", rejects_prefills=True)
        async with deployments.deployed(busy, decode_engine("d1")) as world:
            budget = world.instances["e1"].budget
            while budget.take(deployments.ENGINES):
                pass
            answer = await world.ask("/verdicts/1")
            assert answer.error is not None
            assert answer.error.ran is errors.Ran.NO
            assert answer.error.retry_after_ms is not None
            assert world.backends.runs == []

    deployments.run(main())


def test_run_after_unanswered_prefill_needs_retry_budget():
    """A run after an unanswered prefill counts against the retry budget.

    The prefill engine may not have accepted the first call.
    """

    async def main():
        dark = prefill_engine("p1", loses_prefills=True)
        async with deployments.deployed(dark, decode_engine("d1")) as world:
            budget = world.instances["e1"].budget
            while budget.take(deployments.ENGINES):
                pass
            answer = await world.ask("/verdicts/1")
            assert answer.error is not None
            assert answer.error.ran is errors.Ran.NO
            assert answer.error.retry_after_ms is not None
            assert world.backends.runs == []

    deployments.run(main())


def test_prefill_after_unanswered_prefill_counts_as_retry():
    """A second prefill counts against the retry budget."""

    async def main():
        lossy = prefill_engine("p1", loses_prefills=True)
        changing = decode_engine("d1", is_changing=True)
        async with deployments.deployed(
            lossy, changing, decode_engine("d2", "b")
        ) as world:
            budget = world.instances["e1"].budget
            before = budget.remaining(deployments.ENGINES)
            answer = await world.ask("/verdicts/1")
            assert answer.numbers == [1, 2, 3, 4, 5]
            taken = before - budget.remaining(deployments.ENGINES)
            # Two prefills, a refused run and a run; the first prefill and the
            # first run are not retries.
            assert len(world.backends.prefills) == 2
            assert taken >= 2 - 0.2

    deployments.run(main())


def test_unresponsive_engine_is_not_asked_again():
    """An unresponsive engine delays one request, not the whole queue."""

    async def main():
        dark, well = decode_engine("d1"), decode_engine("d2")
        async with deployments.deployed(
            prefill_engine("p1"), dark, well
        ) as world:
            reserve = world.backends.reserve
            asked = []

            async def answer_nothing(endpoint, *, tokens, ttl_ms):
                if endpoint.name != "d1":
                    return await reserve(endpoint, tokens=tokens, ttl_ms=ttl_ms)
                asked.append(endpoint.name)
                await world.clock.sleep_ms(700.0)
                raise client.EngineError(client.EngineFault.LOST, "d1")

            world.backends.reserve = answer_nothing
            for _ in range(4):
                answer = await world.ask("/verdicts/1")
                assert answer.numbers == [1, 2, 3, 4, 5]
            assert len(asked) <= 2

    deployments.run(main())
