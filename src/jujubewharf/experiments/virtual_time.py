"""Runs a coroutine on an event loop whose time jumps to the next timer."""

from __future__ import annotations

import asyncio
from collections.abc import Coroutine
from typing import Any
from typing import TypeVar

import looptime

_Result = TypeVar("_Result")


def run(main: Coroutine[Any, Any, _Result]) -> _Result:
    """Runs to the end in virtual time, starting at zero."""
    loop = looptime.new_event_loop()
    loop.setup_looptime(start=0)
    try:
        return loop.run_until_complete(main)
    finally:
        _cancel_rest(loop)
        loop.close()


def _cancel_rest(loop: asyncio.AbstractEventLoop) -> None:
    rest = asyncio.all_tasks(loop)
    if not rest:
        return
    for task in rest:
        task.cancel()
    gathered = asyncio.gather(*rest, return_exceptions=True)
    loop.run_until_complete(gathered)
