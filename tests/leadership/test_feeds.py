"""A table as the leader tells it, and by oneself when it doesn't."""

from __future__ import annotations

import asyncio

from jujubewharf import clock as clocks
from jujubewharf.experiments import virtual_time
from jujubewharf.leadership import feeds
from jujubewharf.platform import tables as platform_tables
from jujubewharf.standins import tables

FRESH_MS = 2_000.0


def _run(test):
    async def main():
        clock = clocks.Clock(wall_origin_ms=0.0)
        table = tables.StandInTable(clock)
        feed = feeds.Feed(clock, fresh_ms=FRESH_MS)
        await test(clock, table, feed, feeds.LeaderTable(table, feed, clock))

    virtual_time.run(main())


def _record(offset: int, value: str | None = "v", key: str = "k"):
    return platform_tables.TableRecord(key, offset, value)


def test_what_the_leader_tells_needs_no_reading():
    async def test(clock, table, feed, fed):
        feed.take([_record(0)], 1)
        page = await fed.changes(0, wait_ms=500.0)
        assert (page.end, page.records) == (1, (_record(0),))
        assert table.reads == 0

    _run(test)


def test_news_end_a_wait_at_once():
    async def test(clock, table, feed, fed):
        feed.take([], 1)
        waiting = asyncio.ensure_future(fed.changes(1, wait_ms=1_500.0))
        await clock.sleep_ms(300.0)
        feed.take([_record(1)], 2)
        page = await waiting
        assert clock.now_ms() < 400.0
        assert page.records == (_record(1),)

    _run(test)


def test_a_leader_that_falls_silent_is_not_waited_for():
    """A change is read in time though nobody tells of it any more.

    The leader's last word grows too old in the middle of a wait; the store is
    read then, and not when the wait is over.
    """

    async def test(clock, table, feed, fed):
        table.put("k", "old")
        feed.take([_record(0, "old")], 1)
        table.put("k", "new")
        page = await fed.changes(1, wait_ms=60_000.0)
        assert clock.now_ms() <= FRESH_MS + 100.0
        assert [r.value for r in page.records] == ["new"]

    _run(test)


def test_an_old_word_is_no_fresh_one():
    """The leader is there but hasn't read the store for a while."""

    async def test(clock, table, feed, fed):
        feed.take([_record(0)], 1)
        await clock.sleep_ms(1_000.0)
        feed.confirm(1, age_ms=FRESH_MS)
        assert not feed.is_fresh
        feed.confirm(1, age_ms=100.0)
        assert feed.is_fresh

    _run(test)


def test_a_record_that_was_not_sent_is_read():
    """A configuration too large for all links at once is in force all the same.

    The leader tells only where it lies; an instance that already has it reads
    nothing.
    """

    async def test(clock, table, feed, fed):
        table.put("k", "large")
        feed.take_unsent(0, 1)
        page = await fed.changes(0, wait_ms=500.0)
        assert [r.value for r in page.records] == ["large"]
        assert table.reads == 1
        await fed.changes(1, wait_ms=500.0)
        assert table.reads == 1
        assert clock.now_ms() >= 500.0

    _run(test)


def test_what_the_store_wont_tell_is_asked_of_the_leader():
    """The store turns this instance away while it serves the leader.

    Operators have withdrawn a key. The new configuration was too large to be
    sent to all at once, so this instance has to read it, and can't.
    """

    async def test(clock, table, feed, fed):
        table.put("k", "large")
        feed.take_unsent(0, 1)
        table.is_down = True

        async def fetch() -> bool:
            feed.take([_record(0, "large")], 1)
            return True

        feed.fetch = fetch
        page = await fed.changes(0, wait_ms=500.0)
        assert [r.value for r in page.records] == ["large"]

    _run(test)


def test_what_another_leader_told_is_forgotten():
    async def test(clock, table, feed, fed):
        feed.take([_record(0)], 1)
        feed.begin()
        assert not feed.is_fresh
        feed.confirm(5, age_ms=0.0)
        assert not feed.is_fresh

    _run(test)


def test_alone_readings_of_a_busy_table_are_paced():
    async def test(clock, table, feed, fed):
        paced = feeds.LeaderTable(table, feed, clock, pause_ms=lambda: 800.0)
        for _ in range(5):
            await paced.changes(0, wait_ms=0.0)
        assert 3_100.0 <= clock.now_ms() <= 3_300.0

    _run(test)
