"""When callers of endpoints that take no more now should come back."""

from __future__ import annotations

import random

from jujubewharf import clock as clocks

# Callers come back within this part of the time that they have left; told
# more, they come sooner or not at all.
OF_PATIENCE = 0.33
# Who finds no free moment within that time is spread over this last part of
# it: some endpoint may take more by then.
_SPREAD_PART = 0.5


class ComeBackTimes:
    """Tells each refused caller of a service another time.

    Told the same, all would come back together for the one request that the
    endpoints take then, and nearly all be refused once more.

    Args:
        clock: Time.
        rng: Spreads those for whom there is no free moment.
    """

    def __init__(self, clock: clocks.Clock, rng: random.Random) -> None:
        self._clock = clock
        self._rng = rng
        self._promised_ms: dict[str, float] = {}

    def next_ms(
        self,
        service: str,
        *,
        free_in_ms: float,
        apart_ms: float,
        longest_ms: float,
    ) -> float:
        """Time after which one more caller should come back.

        Args:
            service: The service.
            free_in_ms: When its endpoints take a request again.
            apart_ms: Time between two requests that they take then.
            longest_ms: Longest time that the caller can be told.
        """
        now_ms = self._clock.now_ms()
        promised_ms = self._promised_ms.get(service, 0.0) + apart_ms
        at_ms = max(now_ms + free_in_ms, promised_ms)
        if at_ms > now_ms + longest_ms:
            part = 1.0 - _SPREAD_PART * self._rng.random()
            return longest_ms * part
        self._promised_ms[service] = at_ms
        return at_ms - now_ms
