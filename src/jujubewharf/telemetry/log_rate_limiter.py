"""Rate limit for log lines of the same event.

Under overload, thousands of similar refusals per second would be logged, and
writing them would slow down the requests that are served.
"""

from __future__ import annotations

import collections
from collections.abc import Callable
import time
from typing import Any

import structlog

# Well above the rate of refusals and failures in normal operation, a few dozen
# per second.
MAX_LINES_PER_S = 200


class LogRateLimiter:
    """A structlog processor that drops lines of too frequent events.

    The next line that is written, of any event, has the number of dropped
    lines by event in its field ``left_out``.

    Args:
        max_per_s: Maximum number of lines per event and second.
        now_s: Reads a monotonic clock, in seconds.
    """

    def __init__(
        self,
        *,
        max_per_s: int = MAX_LINES_PER_S,
        now_s: Callable[[], float] = time.monotonic,
    ) -> None:
        self._max_per_s = max_per_s
        self._now_s = now_s
        self._second = 0
        self._counts: collections.Counter[str] = collections.Counter()
        self._dropped: collections.Counter[str] = collections.Counter()

    def __call__(
        self, logger: Any, method: str, event: structlog.typing.EventDict
    ) -> structlog.typing.EventDict:
        """Returns the event, or raises ``structlog.DropEvent``."""
        second = int(self._now_s())
        if second != self._second:
            self._second = second
            self._counts.clear()
        kind = str(event.get("event"))
        self._counts[kind] += 1
        if self._counts[kind] > self._max_per_s:
            self._dropped[kind] += 1
            raise structlog.DropEvent
        if self._dropped:
            event["left_out"] = dict(self._dropped)
            self._dropped.clear()
        return event
