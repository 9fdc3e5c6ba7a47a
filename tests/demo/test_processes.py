"""Tests that child processes are ended when the context exits.

Children that survive a run would occupy ports of the next one.
"""

from __future__ import annotations

import asyncio

import pytest

from jujubewharf.demo import processes


async def test_children_are_ended_when_the_context_is_cancelled(tmp_path):
    started: list[processes.Child] = []
    ready = asyncio.Event()

    async def block() -> None:
        async with processes.Processes(tmp_path) as running:
            address = await running.start_standin("log", "log")
            assert address.startswith("127.0.0.1:")
            started.extend(running._children)
            ready.set()
            await asyncio.Event().wait()

    task = asyncio.create_task(block())
    await ready.wait()
    task.cancel()
    with pytest.raises(asyncio.CancelledError):
        await task
    assert len(started) == 1
    assert not started[0].is_running


async def test_child_that_does_not_start_raises_start_error(tmp_path):
    async with processes.Processes(tmp_path) as running:
        with pytest.raises(processes.StartError):
            await running.start_standin("bad", "no-such-standin")
