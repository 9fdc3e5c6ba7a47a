"""Rate at which calls arrive."""

from __future__ import annotations

import math

# Time constant of the rate.
_ARRIVALS_MS = 500.0


class ArrivalRate:
    """Exponentially weighted rate of arriving calls."""

    def __init__(self) -> None:
        self._weight = 0.0
        self._at_ms = 0.0

    def add(self, now_ms: float) -> None:
        """Counts a call."""
        self._weight = self._decayed(now_ms) + 1.0
        self._at_ms = now_ms

    def per_ms(self, now_ms: float) -> float:
        """Returns the rate in calls per millisecond."""
        return self._decayed(now_ms) / _ARRIVALS_MS

    def _decayed(self, now_ms: float) -> float:
        return self._weight * math.exp((self._at_ms - now_ms) / _ARRIVALS_MS)
