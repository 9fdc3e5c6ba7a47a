"""Following a table through outages and truncated history."""

from __future__ import annotations

import random

from jujubewharf import clock as clocks
from jujubewharf.experiments import virtual_time
from jujubewharf.forwarding import follower
from jujubewharf.platform import epochs
from jujubewharf.standins import tables

PACE = follower.PollIntervals(wait_ms=500.0, pause_ms=50.0)


def _run(test):
    async def main():
        clock = clocks.Clock(wall_origin_ms=0.0)
        table = tables.StandInTable(clock)
        known = {}
        lost = []

        def on_page(page, is_full_read):
            known.update({r.key: r.value for r in page.records})

        service = follower.TableFollower(
            "t",
            table,
            PACE,
            epochs.StoreEpoch(),
            clock,
            random.Random(1),
            on_page=on_page,
            on_lost=lambda: lost.append(clock.now_ms()),
        )
        await service.start()
        await test(clock, table, known, lost)
        await service.stop()

    virtual_time.run(main())


def test_changes_are_read_within_one_poll():
    async def test(clock, table, known, lost):
        table.put("a", 1)
        await clock.sleep_ms(100.0)
        table.put("a", 2)
        await clock.sleep_ms(100.0)
        assert known == {"a": 2}
        assert not lost

    _run(test)


def test_outage_is_reported_and_recovered():
    async def test(clock, table, known, lost):
        table.put("a", 1)
        await clock.sleep_ms(100.0)
        table.is_down = True
        await clock.sleep_ms(5_000.0)
        assert lost
        table.put("a", 2)
        table.is_down = False
        await clock.sleep_ms(700.0)
        assert known == {"a": 2}

    _run(test)


def test_truncated_history_causes_a_full_read():
    """A truncated history is replaced by a full read."""

    async def test(clock, table, known, lost):
        table.put("a", 1)
        await clock.sleep_ms(100.0)
        table.is_down = True
        await clock.sleep_ms(1_000.0)
        table.put("a", 2)
        table.put("b", 3)
        table.truncate()
        table.is_down = False
        await clock.sleep_ms(1_000.0)
        assert known == {"a": 2, "b": 3}

    _run(test)


def test_outage_retries_are_paced():
    async def test(clock, table, known, lost):
        table.is_down = True
        await clock.sleep_ms(10_000.0)
        assert len(lost) < 10_000.0 / 125.0

    _run(test)


class _OddTable(tables.StandInTable):
    """A table one of whose answers fails in an unforeseen way."""

    fails_next = False

    async def changes(self, from_offset, *, wait_ms):
        if self.fails_next:
            self.fails_next = False
            raise TypeError("odd answer")
        return await super().changes(from_offset, wait_ms=wait_ms)


def test_pages_and_answers_that_fail_end_no_following():
    """One of them ended the service, and with it the process."""

    async def main():
        clock = clocks.Clock(wall_origin_ms=0.0)
        table = _OddTable(clock)
        known = {}
        lost = []

        def on_page(page, is_full_read):
            known.update({r.key: r.value for r in page.records})
            if "bad" in {r.key for r in page.records}:
                raise OverflowError("bad")

        service = follower.TableFollower(
            "t",
            table,
            PACE,
            epochs.StoreEpoch(),
            clock,
            random.Random(1),
            on_page=on_page,
            on_lost=lambda: lost.append(clock.now_ms()),
        )
        await service.start()
        await clock.sleep_ms(100.0)
        table.put("bad", 1)
        await clock.sleep_ms(600.0)
        table.put("a", 1)
        await clock.sleep_ms(600.0)
        assert known["a"] == 1
        assert not lost
        table.fails_next = True
        table.put("b", 1)
        await clock.sleep_ms(3_000.0)
        assert known["b"] == 1
        assert lost
        assert not service.crashed
        await service.stop()

    virtual_time.run(main())
