"""Tests of the virtual event loop."""

from __future__ import annotations

import asyncio

import pytest

from jujubewharf.experiments import virtual_time


def test_time_jumps_to_the_next_timer():
    async def run():
        await asyncio.sleep(3_600)
        return asyncio.get_running_loop().time()

    assert virtual_time.run(run()) == 3_600


def test_wait_below_clock_resolution_ends():
    """Guards against an endless loop if a wait cannot advance the clock."""

    async def run():
        loop = asyncio.get_running_loop()
        await asyncio.sleep(2.01)
        until_s = loop.time() + 1e-13
        rounds = 0
        while loop.time() < until_s and rounds < 100_000:
            await asyncio.sleep(1e-17)
            rounds += 1
        return rounds

    assert virtual_time.run(run()) < 100_000


def test_deadlock_is_reported():
    async def run():
        await asyncio.get_running_loop().create_future()

    with pytest.raises(virtual_time.DeadlockError):
        virtual_time.run(run())
