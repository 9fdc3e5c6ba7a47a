"""Tests of tables that the leader sends, with the store as fallback."""

from __future__ import annotations

import asyncio

from jujubewharf import clock as clocks
from jujubewharf.experiments import virtual_time
from jujubewharf.leadership import feeds
from jujubewharf.peers import leader_messages
from jujubewharf.platform import epochs
from jujubewharf.platform import tables as platform_tables
from jujubewharf.standins import tables

FRESH_MS = 2_000.0


def _run(test):
    async def main():
        clock = clocks.Clock(wall_origin_ms=0.0)
        table = tables.StandInTable(clock)
        feed = feeds.Feed(epochs.StoreEpoch(), clock, fresh_ms=FRESH_MS)
        await test(clock, table, feed, feeds.LeaderTable(table, feed, clock))

    virtual_time.run(main())


def _record(offset: int, value: str | None = "v", key: str = "k"):
    return platform_tables.TableRecord(key, offset, value)


def test_records_from_leader_need_no_read():
    async def test(clock, table, feed, leader_table):
        feed.apply([_record(0)], 1)
        page = await leader_table.changes(0, wait_ms=500.0)
        assert (page.end, page.records) == (1, (_record(0),))
        assert table.reads == 0

    _run(test)


def test_new_record_ends_long_poll():
    async def test(clock, table, feed, leader_table):
        feed.apply([], 1)
        waiting = asyncio.ensure_future(
            leader_table.changes(1, wait_ms=1_500.0)
        )
        await clock.sleep_ms(300.0)
        feed.apply([_record(1)], 2)
        page = await waiting
        assert clock.now_ms() < 400.0
        assert page.records == (_record(1),)

    _run(test)


def test_stale_data_ends_long_poll():
    """A change is read from the store once the leader's data is stale.

    The data becomes stale in the middle of a long poll.
    """

    async def test(clock, table, feed, leader_table):
        table.put("k", "old")
        feed.apply([_record(0, "old")], 1)
        table.put("k", "new")
        page = await leader_table.changes(1, wait_ms=60_000.0)
        assert clock.now_ms() <= FRESH_MS + 100.0
        assert [r.value for r in page.records] == ["new"]

    _run(test)


def test_first_records_of_an_old_read_are_not_fresh():
    """A follower of a leader that the store refuses counted them as new.

    It read nothing itself until the next heartbeat, so a draining endpoint got
    work for longer than allowed.
    """

    async def test(clock, table, feed, leader_table):
        feed.confirm(1, age_ms=FRESH_MS)
        feed.apply([_record(0)], 1)
        assert not feed.is_fresh

    _run(test)


def test_first_records_of_a_read_after_the_first_heartbeat_are_fresh():
    """All followers of a new leader would read the store once more."""

    async def test(clock, table, feed, leader_table):
        feed.confirm(1, age_ms=leader_messages.NEVER_READ_AGE_MS)
        feed.apply([_record(0)], 1)
        assert feed.is_fresh

    _run(test)


def test_freshness_depends_on_confirmed_age():
    """The leader is connected but has not read the store recently."""

    async def test(clock, table, feed, leader_table):
        feed.apply([_record(0)], 1)
        await clock.sleep_ms(1_000.0)
        feed.confirm(1, age_ms=FRESH_MS)
        assert not feed.is_fresh
        feed.confirm(1, age_ms=100.0)
        assert feed.is_fresh

    _run(test)


def test_unsent_record_is_read_from_store():
    """A configuration that is too large to be sent is read once."""

    async def test(clock, table, feed, leader_table):
        table.put("k", "large")
        feed.note_unsent(0, 1)
        page = await leader_table.changes(0, wait_ms=500.0)
        assert [r.value for r in page.records] == ["large"]
        assert table.reads == 1
        await leader_table.changes(1, wait_ms=500.0)
        assert table.reads == 1
        assert clock.now_ms() >= 500.0

    _run(test)


def test_unsent_record_is_fetched_when_store_refuses():
    """The leader's copy is fetched when the store refuses the read.

    Otherwise a withdrawn API key would still be accepted here.
    """

    async def test(clock, table, feed, leader_table):
        table.put("k", "large")
        feed.note_unsent(0, 1)
        table.is_down = True

        async def fetch() -> bool:
            feed.apply([_record(0, "large")], 1)
            return True

        feed.fetch = fetch
        page = await leader_table.changes(0, wait_ms=500.0)
        assert [r.value for r in page.records] == ["large"]

    _run(test)


def test_data_of_previous_leader_is_discarded():
    async def test(clock, table, feed, leader_table):
        feed.apply([_record(0)], 1)
        feed.reset()
        assert not feed.is_fresh
        feed.confirm(5, age_ms=0.0)
        assert not feed.is_fresh

    _run(test)


def test_reads_of_a_busy_table_are_paced_without_leader():
    async def test(clock, table, feed, leader_table):
        paced = feeds.LeaderTable(table, feed, clock, pause_ms=lambda: 800.0)
        for _ in range(5):
            await paced.changes(0, wait_ms=0.0)
        assert 3_100.0 <= clock.now_ms() <= 3_300.0

    _run(test)


def test_confirmation_counts_only_if_nothing_is_missing():
    """A read that found records not sent yet would count as one without them.

    The endpoint that they register again would be dropped.
    """

    async def test(clock, table, feed, leader_table):
        confirmed = []
        feed.on_confirmed = lambda end, age_ms: confirmed.append((end, age_ms))
        feed.confirm(1, age_ms=0.0)
        feed.apply([_record(0)], 1)
        feed.confirm(1, age_ms=20.0)
        feed.confirm(2, age_ms=10.0)
        assert confirmed == [(1, 20.0)]

    _run(test)


def test_digest_of_the_leaders_keys_is_passed_on_once():
    """It would be compared with keys that have changed since."""

    async def test(clock, table, feed, leader_table):
        feed.apply([], 1, keys_digest=7)
        page = await leader_table.changes(1, wait_ms=0.0)
        assert (page.records, page.keys_digest) == ((), 7)
        page = await leader_table.changes(1, wait_ms=0.0)
        assert page.keys_digest is None

    _run(test)


def test_digest_is_not_lost_to_an_update_that_follows_at_once():
    """The follower would not notice that it has missed a removal."""

    async def test(clock, table, feed, leader_table):
        feed.apply([], 1, keys_digest=7)
        feed.apply([_record(1)], 2)
        page = await leader_table.changes(1, wait_ms=0.0)
        assert page.keys_digest == 7

    _run(test)
