"""Clock and timers in milliseconds, based on the running event loop.

All timers of the package use this type, so that tests and experiments can run
the whole system on an event loop with virtual time. A clock with skew models
an instance whose wall clock differs from that of its peers.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
import time

MS_PER_S = 1000.0


class Clock:
    """Reads time and waits, in milliseconds.

    Args:
        skew_ms: Added to every wall-clock reading, to model clock skew between
            instances.
        wall_origin_ms: Wall-clock time at loop time zero, for virtual-time
            runs. ``None`` reads the machine's wall clock.
    """

    def __init__(
        self, *, skew_ms: float = 0.0, wall_origin_ms: float | None = None
    ) -> None:
        self._skew_ms = skew_ms
        self._wall_origin_ms = wall_origin_ms

    def __repr__(self) -> str:
        return f"Clock(skew_ms={self._skew_ms})"

    def now_ms(self) -> float:
        """Returns monotonic milliseconds, comparable only in this process."""
        return asyncio.get_running_loop().time() * MS_PER_S

    def wall_ms(self) -> float:
        """Returns Unix time in milliseconds, for logs and history only."""
        if self._wall_origin_ms is None:
            return time.time() * MS_PER_S + self._skew_ms
        return self._wall_origin_ms + self.now_ms() + self._skew_ms

    def boottime_ms(self) -> float:
        """Returns monotonic milliseconds that include time in suspension.

        Lease holders use it: ``now_ms`` may stand still while the machine is
        suspended, and an expired lease would look valid.
        """
        if self._wall_origin_ms is not None:
            return self.now_ms()
        return time.clock_gettime(time.CLOCK_BOOTTIME) * MS_PER_S

    async def sleep_ms(self, duration_ms: float) -> None:
        """Sleeps; a duration of zero or less yields to other tasks once."""
        await asyncio.sleep(max(0.0, duration_ms) / MS_PER_S)

    async def sleep_until_ms(self, at_ms: float) -> None:
        """Sleeps until ``now_ms()`` reaches the given time."""
        await self.sleep_ms(at_ms - self.now_ms())

    def call_at_ms(
        self, at_ms: float, call: Callable[[], None]
    ) -> asyncio.TimerHandle:
        """Schedules a callback for when ``now_ms()`` reaches the given time."""
        loop = asyncio.get_running_loop()
        return loop.call_at(at_ms / MS_PER_S, call)

    def timeout_ms(self, duration_ms: float | None) -> asyncio.Timeout:
        """Returns an ``async with`` context that raises ``TimeoutError``.

        Args:
            duration_ms: Timeout in milliseconds; ``None`` never times out.
        """
        if duration_ms is None:
            return asyncio.timeout(None)
        return asyncio.timeout(max(0.0, duration_ms) / MS_PER_S)

    def reschedule_ms(
        self, timeout: asyncio.Timeout, duration_ms: float
    ) -> None:
        """Has a timeout that is waited in end after a duration from now."""
        timeout.reschedule((self.now_ms() + duration_ms) / MS_PER_S)
