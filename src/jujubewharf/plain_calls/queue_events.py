"""Times at which calls of a permit queue must be looked at.

Handles hundreds of calls a second whose deadlines are minutes away: events of
calls that have ended are dropped, so memory is bounded by the calls that
remain.
"""

from __future__ import annotations

from collections.abc import Callable
import heapq

# Number of events up to which those of ended calls are kept.
_MIN_SWEPT_EVENTS = 256


class QueueEvents:
    """Events of calls, in order of time.

    Args:
        is_needed: Whether the events of a call still have something to decide.
    """

    def __init__(self, is_needed: Callable[[int], bool]) -> None:
        self._is_needed = is_needed
        self._events: list[tuple[float, int]] = []
        self._max_events = _MIN_SWEPT_EVENTS

    def __len__(self) -> int:
        return len(self._events)

    @property
    def next_ms(self) -> float | None:
        """Time of the next event; ``None`` if there is none."""
        while self._events:
            at_ms, number = self._events[0]
            if self._is_needed(number):
                return at_ms
            heapq.heappop(self._events)
        return None

    def schedule(self, at_ms: float, number: int) -> None:
        """Adds an event of a call."""
        heapq.heappush(self._events, (at_ms, number))
        if len(self._events) <= self._max_events:
            return
        self._events = [e for e in self._events if self._is_needed(e[1])]
        heapq.heapify(self._events)
        # The cost of looking through them is shared by as many calls.
        self._max_events = max(_MIN_SWEPT_EVENTS, 2 * len(self._events))

    def pop_due(self, now_ms: float) -> int | None:
        """Removes the first event that is due; returns its call."""
        if not self._events or self._events[0][0] > now_ms:
            return None
        return heapq.heappop(self._events)[1]
