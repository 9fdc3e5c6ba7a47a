"""Number of calls that one endpoint processes at the same time.

Handles load beyond the endpoint's slots: the calls beyond them wait in the
router, not at the endpoint, which would process them in order of arrival.
"""

from __future__ import annotations

import collections

# Calls that wait at the endpoint, so that a slot isn't idle while the release
# of its last call is in transit.
_WAITING_CALLS = 1
# Factor by which the limit is lowered when the endpoint is full.
_DECREASE = 0.7
# Reports over which the calls of others are estimated. The smallest estimate
# is used: calls in transit make a single report too high by some calls.
_REPORTS = 6


class EndpointCapacity:
    """Concurrency limit of one endpoint.

    Args:
        slots: Number of calls that the endpoint processes concurrently.
        max_age_ms: Age from which reports of the endpoint are ignored.
    """

    def __init__(self, slots: int, *, max_age_ms: float) -> None:
        self.slots = max(1, slots)
        self._limit = float(self._ceiling)
        self._max_age_ms = max_age_ms
        # Time and number of calls of others, of the newest reports.
        self._foreign: collections.deque[tuple[float, int]]
        self._foreign = collections.deque(maxlen=_REPORTS)

    @property
    def limit(self) -> float:
        """Maximum number of concurrent calls, of all instances."""
        return self._limit

    @property
    def _ceiling(self) -> int:
        return self.slots + _WAITING_CALLS

    def set_slots(self, slots: int) -> None:
        """Sets the number of slots that the endpoint reports."""
        slots = max(1, slots)
        if slots == self.slots:
            return
        was_lowered = self._limit < self._ceiling
        self.slots = slots
        ceiling = float(self._ceiling)
        self._limit = min(self._limit, ceiling) if was_lowered else ceiling

    def on_rejected_as_full(self) -> None:
        """Lowers the limit after the endpoint has rejected a call as full."""
        self._limit = max(1.0, self._limit * _DECREASE)

    def on_completed(self) -> None:
        """Raises the limit after a call has completed."""
        self._limit = min(float(self._ceiling), self._limit + 1.0 / self._limit)

    def on_report(self, total: int, own: int, received_ms: float) -> None:
        """Records how many calls an endpoint has.

        Args:
            total: Calls that run or wait at the endpoint.
            own: Calls that were granted and not released before the report.
            received_ms: Clock reading when the report was received.
        """
        self._foreign.append((received_ms, max(0, total - own)))

    def foreign(self, now_ms: float) -> int:
        """Returns the estimated number of calls that no permit counts."""
        oldest_ms = now_ms - self._max_age_ms
        while self._foreign and self._foreign[0][0] < oldest_ms:
            self._foreign.popleft()
        return min((calls for _, calls in self._foreign), default=0)

    def has_room(self, own: int, now_ms: float) -> bool:
        """Whether one more call may be sent besides ``own`` calls."""
        return own + self.foreign(now_ms) + 1 <= self._limit
