"""Retry-after times of rejected plain calls.

Handles bursts of rejections: with equal times all callers would come back
together and be rejected again.
"""

from __future__ import annotations

import math

# Largest retry-after as a share of the caller's remaining time. With more,
# callers come back earlier or not at all.
_MAX_SHARE = 0.33
# Share of the largest retry-after up to which times are given as expected.
# Later ones are compressed into the rest, so that they still differ.
_EXACT_SHARE = 0.7
_MIN_MS = 1.0


class RetryTimes:
    """Gives each rejected call of a service a later time than the last one."""

    def __init__(self) -> None:
        self._last_ms = 0.0
        # Time by which all callers that were told a time have come back.
        self._told_until_ms = 0.0

    def next_ms(
        self,
        now_ms: float,
        *,
        free_in_ms: float,
        interval_ms: float,
        left_ms: float,
    ) -> float:
        """Returns the retry-after of one more call, in milliseconds.

        Args:
            now_ms: Current clock reading.
            free_in_ms: Time until the calls that wait have been served.
            interval_ms: Mean time between two calls that are served.
            left_ms: Time for which the caller will wait.
        """
        if now_ms >= self._told_until_ms:
            self._last_ms = 0.0
        self._last_ms = max(now_ms + free_in_ms, self._last_ms + interval_ms)
        wait_ms = max(_MIN_MS, self._last_ms - now_ms)
        max_ms = max(_MIN_MS, left_ms * _MAX_SHARE)
        exact_ms = max_ms * _EXACT_SHARE
        if wait_ms > exact_ms:
            rest_ms = max_ms - exact_ms
            late_share = math.exp((exact_ms - wait_ms) / rest_ms)
            wait_ms = max_ms - rest_ms * late_share
        self._told_until_ms = max(self._told_until_ms, now_ms + wait_ms)
        return wait_ms
