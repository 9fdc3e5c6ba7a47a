"""Enforces the rate limits that endpoints set.

An overloaded endpoint may allow a few requests per second while many instances
together receive far more for its service. Every request and every prefill needs
a permit; callers without a permit are told when to try again.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Protocol

from jujubewharf import clock as clocks
from jujubewharf.requests import buckets

# Burst of the token buckets, in seconds of the limit. Requests arrive unevenly,
# and a smaller burst would leave most of a limit of several dozen requests per
# second unused.
_BURST_S = 0.25
# Lower bound of limits. Without any request an instance would never learn that
# the limit has ended.
_MIN_LIMIT_PER_S = 0.1
# Upper bound of the retry-after time, because limits may be raised and other
# instances may not use their permits.
_MAX_RETRY_AFTER_MS = 5_000.0


class Permits(Protocol):
    """Issues permits within the rate limits of endpoints."""

    async def take(self, endpoint: str) -> bool:
        """Takes a permit for one request.

        Returns:
            Whether a permit was available. If not,
            ``backpressure.Backpressure`` defers the endpoint until a retry is
            worthwhile.
        """
        ...


class EndpointRateLimiter:
    """Token buckets that enforce the rate limits of endpoints.

    Args:
        initial_tokens: Returns the initial tokens of a new bucket, below 1.
    """

    def __init__(self, initial_tokens: Callable[[], float]) -> None:
        self._first_permits = initial_tokens
        self._by_name: dict[str, buckets.TokenBucket] = {}
        self._last_retry_ms: dict[str, float] = {}

    def take(
        self,
        endpoint: str,
        limit_per_s: float,
        now_ms: float,
        *,
        part: float = 1.0,
    ) -> float:
        """Takes a permit.

        Args:
            endpoint: Name of the endpoint.
            limit_per_s: Rate limit of the endpoint in requests per second.
            now_ms: Current clock reading.
            part: Share of the limit that is issued here, 0 to 1.

        Returns:
            0 if a permit was taken, else the retry-after time in milliseconds.
            Successive callers get increasing times.
        """
        rate_per_s = max(limit_per_s, _MIN_LIMIT_PER_S) * part
        bucket = self._by_name.get(endpoint)
        if bucket is None:
            bucket = buckets.TokenBucket(self._first_permits(), now_ms)
            self._by_name[endpoint] = bucket
        bucket.refill(now_ms, rate_per_s, max(1.0, rate_per_s * _BURST_S))
        if bucket.tokens >= 1.0:
            bucket.tokens -= 1.0
            return 0.0
        return self._next_retry_after_ms(endpoint, bucket, rate_per_s, now_ms)

    def _next_retry_after_ms(
        self,
        endpoint: str,
        bucket: buckets.TokenBucket,
        rate_per_s: float,
        now_ms: float,
    ) -> float:
        free_ms = now_ms + bucket.wait_ms(rate_per_s)
        interval_ms = clocks.MS_PER_S / rate_per_s
        next_ms = self._last_retry_ms.get(endpoint, 0.0) + interval_ms
        at_ms = min(max(free_ms, next_ms), now_ms + _MAX_RETRY_AFTER_MS)
        self._last_retry_ms[endpoint] = at_ms
        # At least 1 ms, so that callers do not retry in a busy loop.
        return max(1.0, at_ms - now_ms)
