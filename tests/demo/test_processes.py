"""The demonstration leaves nothing running, however its block ends.

A caller interrupts the demonstration, or a process of it does not start; the
children must be gone when the block is left, or a second run would meet
engines and ports of the first.
"""

from __future__ import annotations

import asyncio

import pytest

from jujubewharf.demo import processes


async def test_children_are_gone_after_the_block_was_cancelled(tmp_path):
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


async def test_a_child_that_does_not_start_is_an_error(tmp_path):
    async with processes.Processes(tmp_path) as running:
        with pytest.raises(processes.StartError):
            await running.start_standin("bad", "no-such-standin")
