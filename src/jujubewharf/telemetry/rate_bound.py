"""Bounds how many lines of one kind are written a second.

In a storm of refusals each line says the same, and writing them takes time
from the requests that are served.
"""

from __future__ import annotations

import collections
from collections.abc import Callable
import time
from typing import Any

import structlog

# Refusals and failures of an instance are a few dozen a second; a storm is
# many times that.
MAX_LINES_PER_S = 200


class RateBound:
    """A processor that drops lines of a kind that came too often.

    The next line that is written, of whatever kind, tells how many of each
    kind were left out before it, in its field ``left_out``.

    Args:
        max_per_s: Lines of one kind in one second.
        now_s: Reads a clock that never goes back.
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
        self._left_out: collections.Counter[str] = collections.Counter()

    def __call__(
        self, logger: Any, method: str, event: structlog.typing.EventDict
    ) -> structlog.typing.EventDict:
        """Passes an event on, or drops it."""
        second = int(self._now_s())
        if second != self._second:
            self._second = second
            self._counts.clear()
        kind = str(event.get("event"))
        self._counts[kind] += 1
        if self._counts[kind] > self._max_per_s:
            self._left_out[kind] += 1
            raise structlog.DropEvent
        if self._left_out:
            event["left_out"] = dict(self._left_out)
            self._left_out.clear()
        return event
