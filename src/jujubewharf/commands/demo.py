"""``jujubewharf demo``: runs a deployment on loopback under a mixed load."""

from __future__ import annotations

import asyncio
import signal

import typer

from jujubewharf.demo import show

_EXIT_FAILED = 1
_EXIT_INTERRUPTED = 130


def demo(requests: int = 300) -> None:
    """Run a deployment on loopback under load and check the results.

    Exits with 0 only if every answer was complete and delivered exactly once
    and no engine holds memory at the end.
    """
    try:
        faults = asyncio.run(_until_interrupted(requests))
    except (KeyboardInterrupt, asyncio.CancelledError):
        raise typer.Exit(_EXIT_INTERRUPTED) from None
    if faults:
        raise typer.Exit(_EXIT_FAILED)


async def _until_interrupted(requests: int) -> list[str]:
    task = asyncio.ensure_future(show.run(requests))
    loop = asyncio.get_running_loop()
    for number in (signal.SIGINT, signal.SIGTERM):
        loop.add_signal_handler(number, task.cancel)
    return await task
