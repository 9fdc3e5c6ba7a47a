"""Pauses between failed calls, shared by the readers of an instance."""

from __future__ import annotations

import random

import pytest

from jujubewharf import clock as clocks
from jujubewharf.experiments import virtual_time
from jujubewharf.platform import availability as availabilities


def _run(test):
    async def main():
        clock = clocks.Clock(wall_origin_ms=0.0)
        availability = availabilities.StoreAvailability(clock)

        def reader(max_pause_ms):
            return availabilities.RetryBackoff(
                availability,
                clock,
                random.Random(7),
                max_pause_ms=max_pause_ms,
            )

        await test(clock, availability, reader)

    virtual_time.run(main())


@pytest.mark.parametrize("max_pause_ms", [100.0, 800.0, 5_000.0])
def test_pauses_grow_up_to_their_bound(max_pause_ms):
    async def test(clock, availability, reader):
        backoff = reader(max_pause_ms)
        pauses_ms = []
        for _ in range(12):
            began_ms = clock.now_ms()
            await backoff.pause(began_ms=began_ms)
            pauses_ms.append(clock.now_ms() - began_ms)
        assert max(pauses_ms) <= max_pause_ms
        assert pauses_ms[-1] >= 0.7 * max_pause_ms
        assert pauses_ms[0] <= min(375.0, max_pause_ms)

    _run(test)


def test_answer_to_one_reader_ends_the_pause_of_another():
    """A rarely read table must not wait for its own long pause."""

    async def test(clock, availability, reader):
        slow = reader(5_000.0)
        for _ in range(6):
            await slow.pause(began_ms=clock.now_ms())
        began_ms = clock.now_ms()
        clock.call_at_ms(began_ms + 700.0, availability.record_answer)
        await slow.pause(began_ms=began_ms)
        assert clock.now_ms() - began_ms == pytest.approx(700.0, abs=1.0)

    _run(test)


def test_answer_during_the_first_pause_counts():
    async def test(clock, availability, reader):
        slow = reader(5_000.0)
        for _ in range(6):
            await slow.pause(began_ms=clock.now_ms())
        began_ms = clock.now_ms()
        clock.call_at_ms(began_ms + 10.0, availability.record_answer)
        await slow.pause(began_ms=began_ms)
        assert clock.now_ms() - began_ms <= 375.0

    _run(test)


def test_failure_of_one_reader_postpones_another():
    """Several tables are not read in vain where one read shows the outage."""

    async def test(clock, availability, reader):
        slow = reader(1_000.0)
        for _ in range(6):
            await slow.pause(began_ms=clock.now_ms())
        began_ms = clock.now_ms()
        clock.call_at_ms(
            began_ms + 600.0,
            lambda: availability.record_failure(began_ms=clock.now_ms()),
        )
        await slow.pause(began_ms=began_ms)
        assert 1_300.0 <= clock.now_ms() - began_ms <= 1_600.0

    _run(test)


def test_unanswered_call_counts_towards_the_pause():
    """The store may have returned while a call got no answer."""

    async def test(clock, availability, reader):
        backoff = reader(1_000.0)
        for _ in range(6):
            await backoff.pause(began_ms=clock.now_ms())
        began_ms = clock.now_ms()
        await clock.sleep_ms(1_500.0)
        await backoff.pause(began_ms=began_ms)
        assert clock.now_ms() - began_ms <= 1_500.0 + 376.0

    _run(test)
