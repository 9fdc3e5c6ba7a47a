"""Answers that their endpoint would have ended, and what ends them before.

Each endpoint here is sound: it pauses and goes on. Its caller is still there.
"""

from __future__ import annotations

import asyncio
import dataclasses

from jujubewharf.forwarding import entry
from jujubewharf.standins import backends
from tests.forwarding import deployments

prefill_engine = deployments.prefill_engine
decode_engine = deployments.decode_engine
plain_endpoint = deployments.plain_endpoint

# Longer than an event may take, and less than any caller waits for one.
PAUSE_MS = 1_300.0
EVENTS = 20
ALL_EVENTS = list(range(1, EVENTS + 1))


def _use_up_budget(
    instance: entry.ForwardingEntry, service: str = deployments.ENGINES
) -> None:
    while instance.budget.take(service):
        pass


async def _allow_one_attempt(world: deployments.Deployment) -> None:
    route = dataclasses.replace(deployments.STREAM, max_attempts=1)
    world.configurations.put("config", deployments.configuration(2, route))
    await world.clock.sleep_ms(100.0)


async def _ask_beside_pause(
    world: deployments.Deployment,
    *names: str,
    path: str = "/verdicts/1",
    after_ms: float = 300.0,
    for_ms: float = PAUSE_MS,
) -> deployments.Answer:
    asked = asyncio.ensure_future(world.ask(path))
    await world.clock.sleep_ms(after_ms)
    world.pause(names, for_ms=for_ms)
    return await asked


def test_paused_engine_keeps_the_last_attempt():
    """No attempt is left, and the engine goes on."""

    async def main():
        async with deployments.deployed(
            prefill_engine("p1"),
            decode_engine("d1", events=EVENTS),
            decode_engine("d2", "b", events=EVENTS),
        ) as world:
            await _allow_one_attempt(world)
            answer = await _ask_beside_pause(world, "d1")
            assert answer.error is None
            assert answer.numbers == ALL_EVENTS

    deployments.run(main())


def test_paused_engine_keeps_its_stream_without_budget():
    """A stream that can't be resumed elsewhere keeps the engine it has."""

    async def main():
        async with deployments.deployed(
            prefill_engine("p1"),
            decode_engine("d1", events=EVENTS),
            decode_engine("d2", "b", events=EVENTS),
        ) as world:
            _use_up_budget(world.instances["e1"])
            answer = await _ask_beside_pause(world, "d1")
            assert answer.error is None
            assert answer.numbers == ALL_EVENTS

    deployments.run(main())


def test_two_pauses_do_not_use_up_the_attempts():
    """A stream that has left an engine in one pause survives the next."""

    async def main():
        async with deployments.deployed(
            prefill_engine("p1"),
            decode_engine("d1", events=60),
            decode_engine("d2", "b", events=60),
        ) as world:
            asked = asyncio.ensure_future(world.ask("/verdicts/1"))
            await world.clock.sleep_ms(300.0)
            world.pause(["d1", "d2"], for_ms=PAUSE_MS)
            await world.clock.sleep_ms(PAUSE_MS + 1_000.0)
            world.pause(["d1", "d2"], for_ms=PAUSE_MS)
            answer = await asked
            assert answer.error is None
            assert answer.numbers == list(range(1, 61))

    deployments.run(main())


def test_first_event_may_come_late():
    """An engine that pauses between the head and the first event is kept."""

    async def main():
        async with deployments.deployed(
            prefill_engine("p1"), decode_engine("d1"), decode_engine("d2", "b")
        ) as world:
            await _allow_one_attempt(world)
            answer = await _ask_beside_pause(
                world, "d1", after_ms=120.0, for_ms=1_800.0
            )
            assert answer.error is None
            assert answer.numbers == [1, 2, 3, 4, 5]

    deployments.run(main())


def test_stall_of_the_own_loop_is_no_silence_of_engines():
    """After a stall the events are there, but the timers are due as well.

    A stopped instance would otherwise give up all of its streams at once.
    """

    async def main():
        async with deployments.deployed(
            prefill_engine("p1"),
            decode_engine("d1", events=EVENTS),
            decode_engine("d2", "b", events=EVENTS),
        ) as world:
            asked = asyncio.ensure_future(world.ask("/verdicts/1"))
            await world.clock.sleep_ms(500.0)
            _stall(PAUSE_MS)
            answer = await asked
            assert answer.numbers == ALL_EVENTS
            assert [run.engine for run in world.backends.runs] == ["d1"]

    deployments.run(main())


def _stall(for_ms: float) -> None:
    """Lets time pass without a turn of the loop."""
    loop = asyncio.get_running_loop()
    loop._now_s += for_ms / 1_000.0


def test_wait_of_a_resumed_stream_counts_the_rest_only():
    """Two events are missing, and there is time for ten.

    The wait for memory leaves time for a whole response.
    """

    async def main():
        engines = [decode_engine(n, events=EVENTS) for n in ("d1", "d2")]
        async with deployments.deployed(
            prefill_engine("p1"), *engines
        ) as world:
            for _ in range(16):
                await world.ask("/verdicts/1")
            for engine in engines:
                engine.breaks_after = EVENTS - 2
            answer = await world.ask("/verdicts/1", caller_timeout_ms=1_500.0)
            assert answer.error is None
            assert answer.numbers == ALL_EVENTS

    deployments.run(main())


def test_paused_prefill_engine_keeps_its_prompt_without_budget():
    """Without a retry, the prefill under way is all that the request has."""

    async def main():
        async with deployments.deployed(
            prefill_engine("p1"), prefill_engine("p2"), decode_engine("d1")
        ) as world:
            _use_up_budget(world.instances["e1"])
            answer = await _ask_beside_pause(
                world, "p1", "p2", after_ms=50.0, for_ms=1_700.0
            )
            assert answer.error is None
            assert answer.numbers == [1, 2, 3, 4, 5]

    deployments.run(main())


def test_unanswered_report_is_no_role_change(monkeypatch):
    """An engine that pauses when its role is asked is used once it goes on."""
    asked = backends.StandInBackends.is_changing

    async def main():
        engine = decode_engine("d1", refuses_sources=True)
        async with deployments.deployed(prefill_engine("p1"), engine) as world:

            async def pause_and_ask(self, endpoint):
                world.pause(["d1"], for_ms=PAUSE_MS)
                return await asked(self, endpoint)

            with monkeypatch.context() as patch:
                patch.setattr(
                    backends.StandInBackends, "is_changing", pause_and_ask
                )
                await world.ask("/verdicts/1")
            await world.clock.sleep_ms(PAUSE_MS + 500.0)
            answer = await world.ask("/verdicts/2")
            assert answer.numbers == [1, 2, 3, 4, 5]

    deployments.run(main())


def test_engine_is_used_again_after_each_pause():
    """The fifth pause keeps an engine away no longer than the first one.

    Reservations that got no answer say nothing about the time after a pause.
    """

    async def main():
        async with deployments.deployed(
            prefill_engine("p1"), decode_engine("d1")
        ) as world:
            event_counts = []
            for _ in range(5):
                world.pause(["d1"], for_ms=PAUSE_MS)
                await world.ask("/verdicts/1", leave_after_ms=PAUSE_MS)
                await world.clock.sleep_ms(500.0)
                answer = await world.ask("/verdicts/2")
                event_counts.append(len(answer.numbers))
                await world.clock.sleep_ms(4_000.0)
            assert event_counts == [5] * 5

    deployments.run(main())


def test_only_endpoint_keeps_its_call():
    """No second endpoint accepts the call, and the first one answers late."""

    async def main():
        async with deployments.deployed(plain_endpoint("s1")) as world:
            answer = await _ask_beside_pause(
                world, "s1", path="/lookup/1", after_ms=10.0, for_ms=400.0
            )
            assert answer.error is None
            assert answer.status == 200

    deployments.run(main())


def test_paused_endpoint_keeps_its_call_without_budget():
    """The budget is used up after the call has been sent."""

    async def main():
        async with deployments.deployed(
            plain_endpoint("s1"), plain_endpoint("s2", "b")
        ) as world:
            asked = asyncio.ensure_future(world.ask("/lookup/1"))
            await world.clock.sleep_ms(10.0)
            world.pause(["s1"], for_ms=400.0)
            _use_up_budget(world.instances["e1"], deployments.PLAIN)
            answer = await asked
            assert answer.error is None
            assert answer.status == 200

    deployments.run(main())


def test_late_answer_is_used_if_the_second_endpoint_has_none():
    """The second endpoint accepts the call, but only the first one answers."""

    async def main():
        async with deployments.deployed(
            plain_endpoint("s1"), plain_endpoint("s2", "b", is_silent=True)
        ) as world:
            answer = await _ask_beside_pause(
                world, "s1", path="/lookup/1", after_ms=10.0, for_ms=400.0
            )
            assert answer.error is None
            assert answer.status == 200

    deployments.run(main())


def test_stall_of_the_own_loop_ends_no_call():
    """After a stall the answer is there, but the timer is due as well."""

    async def main():
        async with deployments.deployed(
            plain_endpoint("s1"), plain_endpoint("s2", "b")
        ) as world:
            asked = asyncio.ensure_future(world.ask("/lookup/1"))
            await world.clock.sleep_ms(10.0)
            _stall(400.0)
            answer = await asked
            assert answer.status == 200
            assert [run.engine for run in world.backends.runs] == ["s1"]

    deployments.run(main())


def test_answer_that_arrives_is_not_given_up():
    """An answer without a whole body by the limit is under way, not lost."""

    async def main():
        endpoint = plain_endpoint("s1", is_streaming=True, events=8)
        async with deployments.deployed(endpoint) as world:
            answer = await world.ask("/lookup/1")
            assert answer.error is None
            assert answer.numbers == list(range(1, 9))

    deployments.run(main())
