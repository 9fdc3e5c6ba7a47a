"""Positions and the epoch of the store."""

from __future__ import annotations

import asyncio

import pytest

from jujubewharf.platform import epochs
from jujubewharf.platform import log


def test_position_of_a_later_epoch_is_higher():
    positions = [epochs.combine(e, o) for e, o in ((0, 9), (1, 0), (1, 2))]
    assert positions == sorted(positions)
    assert epochs.combine(0, 9) == 9
    assert epochs.split(positions[2]) == epochs.Position(1, 2)


def test_overtaken_answer_is_rejected():
    """An answer from before a restore arrives after one from after it."""
    epoch = epochs.StoreEpoch()
    epoch.observe(1, call="read")
    epoch.observe(2, call="join")
    with pytest.raises(log.LogUnavailableError):
        epoch.observe(1, call="read")
    assert epoch.current == 2


def test_answer_without_epoch_changes_nothing():
    epoch = epochs.StoreEpoch()
    epoch.observe(3, call="read")
    epoch.observe(None, call="read")
    epoch.require(epochs.combine(3, 9))
    assert epoch.current == 3


def test_first_epoch_is_no_restore():
    noticed = []
    epoch = epochs.StoreEpoch()
    epoch.add_listener(lambda: noticed.append(epoch.current))
    epoch.observe(7, call="read")
    assert not noticed
    epoch.learn(epochs.combine(8, 0))
    epoch.observe(8, call="read")
    assert noticed == [8]


def test_position_of_an_earlier_epoch_is_refused():
    epoch = epochs.StoreEpoch()
    epoch.observe(1, call="read")
    with pytest.raises(log.LogRestoredError):
        epoch.require(epochs.combine(0, 5))


async def test_restore_ends_a_hanging_read():
    epoch = epochs.StoreEpoch()
    epoch.observe(1, call="read")
    hanging = asyncio.ensure_future(
        epoch.until_restored(asyncio.Event().wait())
    )
    await asyncio.sleep(0)
    epoch.observe(2, call="join")
    with pytest.raises(log.LogRestoredError):
        await hanging


async def test_read_that_completed_is_returned():
    async def read():
        epoch.observe(2, call="read")
        return 5

    epoch = epochs.StoreEpoch()
    epoch.observe(1, call="read")
    assert await epoch.until_restored(read()) == 5
