"""Pauses of a stand-in's process, as SIGSTOP and SIGCONT have them."""

from __future__ import annotations

import asyncio
from collections.abc import Callable


class Pauses:
    """Tells whether a process runs, and keeps what waits until it does.

    The system goes on accepting connections and data for a paused process.
    The process finds them when it resumes, closed connections too.
    """

    def __init__(self) -> None:
        self._resumed = asyncio.Event()
        self._resumed.set()
        self._due: list[Callable[[], object]] = []

    @property
    def is_paused(self) -> bool:
        """Whether the process is paused."""
        return not self._resumed.is_set()

    def pause(self) -> None:
        """Pauses the process; idempotent."""
        self._resumed.clear()

    def resume(self) -> None:
        """Resumes the process, which does what is due; idempotent."""
        self._resumed.set()
        due, self._due = self._due, []
        for call in due:
            call()

    def when_running(self, call: Callable[[], object]) -> None:
        """Calls at once, or when the process resumes."""
        if self.is_paused:
            self._due.append(call)
        else:
            call()

    async def wait_until_running(self) -> None:
        """Waits until the process runs; without a yield if it does."""
        while self.is_paused:
            await self._resumed.wait()
