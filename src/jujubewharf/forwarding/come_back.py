"""Retry-after of requests that endpoints are too busy to accept."""

from __future__ import annotations

import random

from jujubewharf import clock as clocks

# Largest retry-after as a share of the caller's remaining timeout. With more,
# callers retry earlier or not at all.
MAX_TIMEOUT_SHARE = 0.33
# Share of the maximum, at its end, over which requests are spread that find no
# free slot before it.
_SPREAD_SHARE = 0.5


class RetryScheduler:
    """Assigns each refused request of a service its own retry time.

    With equal times all callers would retry together for a single free slot
    and be refused again.

    Args:
        clock: Clock that the slots are planned with.
        rng: Source of jitter for requests without a free slot.
    """

    def __init__(self, clock: clocks.Clock, rng: random.Random) -> None:
        self._clock = clock
        self._rng = rng
        self._last_slot_ms: dict[str, float] = {}

    def next_retry_after_ms(
        self,
        service: str,
        *,
        free_in_ms: float,
        interval_ms: float,
        max_ms: float,
    ) -> float:
        """Returns the retry-after of one more request, in milliseconds.

        Args:
            service: Name of the service.
            free_in_ms: Time until its endpoints accept a request again.
            interval_ms: Interval at which they then accept requests.
            max_ms: Largest retry-after that the caller can be given.
        """
        now_ms = self._clock.now_ms()
        next_slot_ms = self._last_slot_ms.get(service, 0.0) + interval_ms
        slot_ms = max(now_ms + free_in_ms, next_slot_ms)
        if slot_ms > now_ms + max_ms:
            share = 1.0 - _SPREAD_SHARE * self._rng.random()
            return max_ms * share
        self._last_slot_ms[service] = slot_ms
        return slot_ms - now_ms
