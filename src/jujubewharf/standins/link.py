"""A link of limited bandwidth with sequential transfers."""

from __future__ import annotations

from typing import Protocol

from jujubewharf import clock as clocks

MS_PER_S = clocks.MS_PER_S


class KvSource(Protocol):
    """Source from which an engine pulls KV cache."""

    async def export_kv(self, attempt_id: str) -> int:
        """Sends an attempt's prefill result and returns its size in bytes."""
        ...


class Link:
    """KV link of one engine.

    Args:
        rate_bytes_per_s: Bandwidth.
        clock: Clock of the simulation.
    """

    def __init__(self, rate_bytes_per_s: float, clock: clocks.Clock) -> None:
        self.rate_bytes_per_s = rate_bytes_per_s
        self.is_stalled = False
        self._clock = clock
        self._free_at_ms = 0.0

    def schedule(self, size_bytes: int) -> float:
        """Queues a transfer and returns its end in clock ms."""
        start_ms = max(self._clock.now_ms(), self._free_at_ms)
        duration_ms = size_bytes / self.rate_bytes_per_s * MS_PER_S
        self._free_at_ms = start_ms + duration_ms
        return self._free_at_ms

    async def transfer(self, size_bytes: int) -> None:
        """Queues a transfer and waits for its end, also while stalled."""
        end_ms = self.schedule(size_bytes)
        await self._clock.sleep_until_ms(end_ms)
        while self.is_stalled:
            await self._clock.sleep_ms(100.0)
