"""Expected waits of plain calls, by which calls are accepted or rejected.

Handles bursts over hundreds of waiting calls: the estimates are made of counts,
so their cost grows with the number of accounts and endpoints, not of calls.
"""

from __future__ import annotations

from jujubewharf.plain_calls import arrival_rate
from jujubewharf.plain_calls import decisions
from jujubewharf.plain_calls import endpoint_group
from jujubewharf.plain_calls import waiting_calls

# Smallest share of the capacity that late calls are expected to get, because a
# burst may end at any time.
_MIN_LATE_SHARE = 0.25


class WaitEstimates:
    """Estimates waits from the service rate, the queue and the arrivals.

    Args:
        endpoints: Endpoints of the service.
        waiting: Calls that wait for them.
    """

    def __init__(
        self,
        endpoints: endpoint_group.EndpointGroup,
        waiting: waiting_calls.WaitingCalls,
    ) -> None:
        self._endpoints = endpoints
        self._waiting = waiting
        self._arrivals = arrival_rate.ArrivalRate()

    def record_arrival(self, now_ms: float) -> None:
        """Counts an arriving call."""
        self._arrivals.add(now_ms)

    def is_in_time_after(
        self,
        ahead: int,
        call: decisions.WaitingCall,
        accepting: endpoint_group.Endpoints,
        now_ms: float,
    ) -> bool:
        """Returns whether a call is expected to be in time if it waits."""
        wait_ms = (ahead + 1) / self._endpoints.served_per_ms(accepting, now_ms)
        high_ms = self._endpoints.min_high_ms(accepting)
        return now_ms + wait_ms + high_ms <= call.due_ms

    def has_time_if_late(
        self,
        call: decisions.WaitingCall,
        accepting: endpoint_group.Endpoints,
        now_ms: float,
    ) -> bool:
        """Returns whether a late call may get capacity before its deadline."""
        if not accepting:
            return False
        high_ms = self._endpoints.min_high_ms(accepting)
        per_ms = self._endpoints.served_per_ms(accepting, now_ms)
        late_before_ms = now_ms + high_ms
        late = self._waiting.count_late(late_before_ms)
        in_time = len(self._waiting) - late
        late_ahead = self._waiting.count_late(min(late_before_ms, call.due_ms))
        # Of the calls that precede this one while it is in time, those that
        # can't all be served before it is late will be late as well.
        in_time_ms = max(0.0, call.due_ms - late_before_ms)
        ahead = self._waiting.count_ahead(call, late_before_ms)
        will_be_late = max(0.0, ahead - in_time_ms * per_ms)
        left_over = 1.0 - self._arrivals.per_ms(now_ms) / per_ms
        share = max(_MIN_LATE_SHARE, left_over)
        # It is served as a late call only after it has become late.
        wait_ms = (
            in_time_ms
            + (in_time - will_be_late) / per_ms
            + (late_ahead + will_be_late + 1) / share / per_ms
        )
        return now_ms + wait_ms <= call.latest_start_ms(high_ms)

    def next_free_ms(
        self, accepting: endpoint_group.Endpoints, now_ms: float
    ) -> tuple[float, float]:
        """Returns when capacity is free for a call that comes back.

        Returns:
            Mean time between two calls that are served, and the time until the
            calls that wait now have been served; 0 without endpoints.
        """
        if not accepting:
            return 0.0, 0.0
        interval_ms = 1.0 / self._endpoints.served_per_ms(accepting, now_ms)
        # A call that comes back precedes the late ones.
        late_before_ms = now_ms + self._endpoints.min_high_ms(accepting)
        late = self._waiting.count_late(late_before_ms)
        return interval_ms, (len(self._waiting) - late + 1) * interval_ms
