"""The circuit breaker opens after failed calls and closes again."""

from __future__ import annotations

from jujubewharf import clock as clocks
from jujubewharf.engines import client
from jujubewharf.experiments import virtual_time
from jujubewharf.routing import breaker as breakers

_UNREACHABLE = client.EngineFault.UNREACHABLE
_LOST = client.EngineFault.LOST


def test_open_period_doubles_and_success_closes():
    async def scenario():
        clock = clocks.Clock()
        breaker = breakers.Breaker(clock)
        open_for_ms = []
        for _ in range(3):
            breaker.record_failure(_UNREACHABLE)
            start_ms = clock.now_ms()
            while breaker.is_open:
                await clock.sleep_ms(100)
            open_for_ms.append(clock.now_ms() - start_ms)
        breaker.record_failure(_UNREACHABLE)
        breaker.record_success()
        return open_for_ms, breaker.is_open

    open_for_ms, is_open = virtual_time.run(scenario())
    assert open_for_ms == [500, 1_000, 2_000]
    assert not is_open


def test_several_lost_answers_mark_engine_degraded():
    async def scenario():
        breaker = breakers.Breaker(clocks.Clock())
        degraded = []
        for _ in range(3):
            breaker.record_failure(_LOST)
            degraded.append(breaker.is_degraded)
        return degraded, breaker.is_open

    assert virtual_time.run(scenario()) == ([False, False, True], False)


def test_refusal_is_not_a_failure():
    async def scenario():
        breaker = breakers.Breaker(clocks.Clock())
        for _ in range(5):
            breaker.record_failure(client.EngineFault.REFUSED_FULL)
        return breaker.is_open or breaker.is_degraded

    assert not virtual_time.run(scenario())


# The fifth pause of a sound engine kept it away for eight seconds.
def test_silence_opens_no_longer_after_the_engine_was_heard():
    async def scenario():
        clock = clocks.Clock()
        breaker = breakers.Breaker(clock)
        open_for_ms = []
        for _ in range(4):
            breaker.record_silence()
            start_ms = clock.now_ms()
            while breaker.is_open:
                await clock.sleep_ms(100)
            open_for_ms.append(clock.now_ms() - start_ms)
            breaker.record_success()
        return open_for_ms

    assert virtual_time.run(scenario()) == [500] * 4


def test_open_period_doubles_while_an_engine_stays_silent():
    async def scenario():
        clock = clocks.Clock()
        breaker = breakers.Breaker(clock)
        open_for_ms = []
        for _ in range(3):
            breaker.record_silence()
            start_ms = clock.now_ms()
            while breaker.is_open:
                await clock.sleep_ms(100)
            open_for_ms.append(clock.now_ms() - start_ms)
        return open_for_ms

    assert virtual_time.run(scenario()) == [500, 1_000, 2_000]
