"""The one clock: milliseconds, read from the running event loop.

Every timer in the package goes through this type, so a test or an experiment
that runs on a virtual-time loop moves the whole system by hand. A skewed clock
stands for an instance whose time differs from its peers'.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
import time

MS_PER_S = 1000.0


class Clock:
    """Reads time and waits, in milliseconds.

    Args:
        skew_ms: Added to every wall-clock reading; failure tests use it to
            model instances whose clocks differ.
        wall_origin_ms: Wall time at loop time zero. ``None`` reads the
            machine's wall clock; virtual-time runs give a constant.
    """

    def __init__(
        self, *, skew_ms: float = 0.0, wall_origin_ms: float | None = None
    ) -> None:
        self._skew_ms = skew_ms
        self._wall_origin_ms = wall_origin_ms

    def __repr__(self) -> str:
        return f"Clock(skew_ms={self._skew_ms})"

    def now_ms(self) -> float:
        """Monotonic milliseconds; comparable only within one process."""
        return asyncio.get_running_loop().time() * MS_PER_S

    def wall_ms(self) -> float:
        """Wall-clock milliseconds, for log lines and history only."""
        if self._wall_origin_ms is None:
            return time.time() * MS_PER_S + self._skew_ms
        return self._wall_origin_ms + self.now_ms() + self._skew_ms

    def awake_ms(self) -> float:
        """As ``now_ms``, but time in which the process was suspended counts.

        A lease that ran out while its holder was suspended still looks young
        by a clock that stood still meanwhile.
        """
        if self._wall_origin_ms is not None:
            return self.now_ms()
        return time.clock_gettime(time.CLOCK_BOOTTIME) * MS_PER_S

    async def sleep_ms(self, duration_ms: float) -> None:
        """Waits; a duration of zero or less yields to other tasks once."""
        await asyncio.sleep(max(0.0, duration_ms) / MS_PER_S)

    async def sleep_until_ms(self, at_ms: float) -> None:
        """Waits until ``now_ms()`` reaches the given reading."""
        await self.sleep_ms(at_ms - self.now_ms())

    def call_at_ms(
        self, at_ms: float, call: Callable[[], None]
    ) -> asyncio.TimerHandle:
        """Calls back when ``now_ms()`` reaches the given reading."""
        loop = asyncio.get_running_loop()
        return loop.call_at(at_ms / MS_PER_S, call)

    def timeout_ms(self, duration_ms: float | None) -> asyncio.Timeout:
        """An ``async with`` block that raises ``TimeoutError`` after a while.

        Args:
            duration_ms: ``None`` never times out.
        """
        if duration_ms is None:
            return asyncio.timeout(None)
        return asyncio.timeout(max(0.0, duration_ms) / MS_PER_S)
