"""Keeps to the rate limits that endpoints name.

The load this answers: an endpoint in need asks for a few requests a second
while its service gets dozens, at many instances at once. Each permit is for
one request or prompt, and whoever gets none is told when to ask again.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Protocol

from jujubewharf import clock as clocks
from jujubewharf.requests import buckets

# Permits that may be saved up, as time at the limit. Requests come unevenly,
# and with less most of a limit of several dozen a second would be lost.
_SAVED_UP_S = 0.25
# A limit below this is taken for it: with no request at all nobody would ever
# hear that it has ended.
_LEAST_PER_S = 0.1
# Whoever got no permit asks again within this time, for the limit may have
# been raised and others may need none.
_LONGEST_WAIT_MS = 5_000.0


class Permits(Protocol):
    """Gives out what endpoints' limits allow."""

    async def take(self, endpoint: str) -> bool:
        """Takes a permit for one request.

        Returns:
            Whether there was one. If not, ``restraints.Restraints`` has the
            endpoint wait until it is worth to ask again.
        """
        ...


class LimitLedger:
    """Permits of endpoints, given out by one who counts all of them.

    Args:
        first_permits: Tells what an endpoint's count begins with, below 1.
    """

    def __init__(self, first_permits: Callable[[], float]) -> None:
        self._first_permits = first_permits
        self._by_name: dict[str, buckets.TokenBucket] = {}
        self._promised_ms: dict[str, float] = {}

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
            limit_per_s: Its limit.
            now_ms: Now.
            part: Part of the limit that is given out here.

        Returns:
            0 where there was one; else the time in ms until it is worth to ask
            again, a later one for each who asks.
        """
        rate_per_s = max(limit_per_s, _LEAST_PER_S) * part
        bucket = self._by_name.get(endpoint)
        if bucket is None:
            bucket = buckets.TokenBucket(self._first_permits(), now_ms)
            self._by_name[endpoint] = bucket
        bucket.fill(now_ms, rate_per_s, max(1.0, rate_per_s * _SAVED_UP_S))
        if bucket.tokens >= 1.0:
            bucket.tokens -= 1.0
            return 0.0
        return self._promise(endpoint, bucket, rate_per_s, now_ms)

    def _promise(
        self,
        endpoint: str,
        bucket: buckets.TokenBucket,
        rate_per_s: float,
        now_ms: float,
    ) -> float:
        free_ms = now_ms + bucket.wait_ms(rate_per_s)
        apart_ms = clocks.MS_PER_S / rate_per_s
        promised_ms = self._promised_ms.get(endpoint, 0.0) + apart_ms
        at_ms = min(max(free_ms, promised_ms), now_ms + _LONGEST_WAIT_MS)
        self._promised_ms[endpoint] = at_ms
        # Never no time at all, or who asks again at once would ask for ever.
        return max(1.0, at_ms - now_ms)
