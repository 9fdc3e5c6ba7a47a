"""Sum over a sliding window."""

from __future__ import annotations

import collections


class SlidingSum:
    """Sum of the amounts added within a sliding window.

    Args:
        window_ms: Length of the window, in milliseconds.
    """

    def __init__(self, window_ms: float) -> None:
        self.window_ms = window_ms
        self._amounts: collections.deque[tuple[float, float]]
        self._amounts = collections.deque()
        self._sum = 0.0

    def add(self, now_ms: float, amount: float = 1.0) -> None:
        """Adds an amount at the current time."""
        self._amounts.append((now_ms, amount))
        self._sum += amount
        self._drop_expired(now_ms)

    def total(self, now_ms: float) -> float:
        """Returns the sum of the amounts within the window."""
        self._drop_expired(now_ms)
        return self._sum

    def _drop_expired(self, now_ms: float) -> None:
        oldest_ms = now_ms - self.window_ms
        while self._amounts and self._amounts[0][0] < oldest_ms:
            self._sum -= self._amounts.popleft()[1]
        if not self._amounts:
            # Removes accumulated rounding errors.
            self._sum = 0.0
