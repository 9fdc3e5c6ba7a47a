"""Long work in small pieces.

An entry instance relays tokens on the same event loop. A file of thousands
of resources handled in one go would hold up every stream for seconds; in
small pieces the streams go on between them.
"""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator
from collections.abc import Iterable
from typing import TypeVar

PIECE = 32

_Item = TypeVar("_Item")


async def paced(items: Iterable[_Item]) -> AsyncIterator[_Item]:
    """The items, letting other tasks run after each piece."""
    for number, item in enumerate(items, start=1):
        yield item
        if number % PIECE == 0:
            await asyncio.sleep(0)
