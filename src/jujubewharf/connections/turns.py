"""Turns in which connections are read whose bytes cost much and bring little.

Chunks of a byte, or a head that comes bit by bit, take far more processor time
than the same bytes in one piece. With a crowd of such clients each
turn of the event loop would be as long as the crowd is large. So each turn
reads one of them; alone, a client is read as fast as it sends.
"""

from __future__ import annotations

import asyncio
from typing import Protocol


class Reader(Protocol):
    """A connection whose reading can be paused."""

    def pause_turn(self) -> None:
        """Stops reading."""
        ...

    def resume_turn(self) -> None:
        """Reads on."""
        ...


class ReadTurns:
    """Lets waiting connections read, one in each turn of the event loop."""

    def __init__(self) -> None:
        self._waiting: dict[Reader, None] = {}
        self._is_scheduled = False

    def __len__(self) -> int:
        return len(self._waiting)

    def wait(self, reader: Reader) -> None:
        """Pauses a connection until its turn."""
        if reader in self._waiting:
            return
        reader.pause_turn()
        self._waiting[reader] = None
        if not self._is_scheduled:
            self._is_scheduled = True
            asyncio.get_running_loop().call_soon(self._next)

    def remove(self, reader: Reader) -> None:
        """Removes a connection that has ended."""
        self._waiting.pop(reader, None)

    def _next(self) -> None:
        self._is_scheduled = False
        if not self._waiting:
            return
        reader = next(iter(self._waiting))
        del self._waiting[reader]
        reader.resume_turn()
        if self._waiting and not self._is_scheduled:
            self._is_scheduled = True
            asyncio.get_running_loop().call_soon(self._next)
