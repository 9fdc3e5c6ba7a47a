"""Iteration that yields to the event loop at regular intervals.

Entry instances relay token streams on the same event loop. Processing
thousands of resources without a pause would stall every stream.
"""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator
from collections.abc import Iterable
from typing import TypeVar

CHUNK_SIZE = 32

_Item = TypeVar("_Item")


async def paced(items: Iterable[_Item]) -> AsyncIterator[_Item]:
    """Yields the items and lets other tasks run after every few items."""
    for number, item in enumerate(items, start=1):
        yield item
        if number % CHUNK_SIZE == 0:
            await asyncio.sleep(0)
