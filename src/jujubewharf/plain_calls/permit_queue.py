"""Decides which plain call of a service is sent to which endpoint, and when.

Handles bursts of several times the capacity that last for seconds: as many
calls as an endpoint processes at the same time are sent to it, the others
wait here. A call that can still be in time is served while there is enough
time for nearly all of its answers; late calls get the capacity that is left;
calls that can't be served before their deadline are rejected at once.
"""

from __future__ import annotations

from collections.abc import Collection
from collections.abc import Sequence

from jujubewharf.admission import order as orders
from jujubewharf.admission import tickets
from jujubewharf.configuration import resources
from jujubewharf.plain_calls import decisions
from jujubewharf.plain_calls import endpoint_grants
from jujubewharf.plain_calls import endpoint_group
from jujubewharf.plain_calls import queue_events
from jujubewharf.plain_calls import retry_times
from jujubewharf.plain_calls import service_times
from jujubewharf.plain_calls import wait_estimates
from jujubewharf.plain_calls import waiting_calls

# Calls that wait for one service. More can't be served within any deadline
# that callers set; the memory of the leader stays bounded.
MAX_WAITING = 4_096
# Number in the event for the end of an endpoint's pause. Calls count from 1.
_PAUSE_END = -1


class PermitQueue:
    """Grants the calls of one plain service.

    Args:
        times: Observed times of calls at the endpoints.
        order: Order of waiting calls.
        report_max_age_ms: Age from which reports of endpoints are ignored.
    """

    def __init__(
        self,
        times: service_times.ServiceTimes,
        order: orders.AdmissionOrder,
        *,
        report_max_age_ms: float,
    ) -> None:
        self.times = times
        self._order = order
        self._endpoints = endpoint_group.EndpointGroup(
            times, report_max_age_ms=report_max_age_ms
        )
        self._retry_times = retry_times.RetryTimes()
        self._waiting = waiting_calls.WaitingCalls(order)
        self._estimates = wait_estimates.WaitEstimates(
            self._endpoints, self._waiting
        )
        self._events = queue_events.QueueEvents(self._is_needed)

    @property
    def waiting(self) -> int:
        """Number of waiting calls."""
        return len(self._waiting)

    @property
    def in_flight(self) -> int:
        """Number of granted calls that were not released."""
        return self._endpoints.in_flight

    def waits(self, now_ms: float) -> dict[int, tickets.Waits]:
        """Returns the waiting calls by priority."""
        return self._waiting.waits(now_ms)

    def endpoint_loads(self, now_ms: float) -> list[endpoint_group.Load]:
        """Returns limit and calls of each endpoint that accepts work."""
        return self._endpoints.loads(now_ms)

    def in_flight_at(self, endpoint: str) -> int:
        """Returns the number of granted calls of one endpoint."""
        known = self._endpoints.get(endpoint)
        return 0 if known is None else len(known)

    @property
    def next_event_ms(self) -> float | None:
        """Clock reading at which ``expire`` has something to decide."""
        return self._events.next_ms

    def set_endpoints(
        self, endpoints: Sequence[resources.Endpoint], now_ms: float
    ) -> list[decisions.Decision]:
        """Replaces the endpoints that accept work."""
        self._endpoints.set_endpoints(endpoints)
        decided: list[decisions.Decision] = []
        for entry in self._waiting:
            if not self._endpoints.accepting(entry.call.excluded):
                reason = decisions.RejectReason.NO_ENDPOINT
                decided.append(self._reject_waiting(entry, reason, now_ms))
        decided.extend(self._fill(now_ms))
        return decided

    def record_report(
        self,
        endpoint: str,
        *,
        total: int,
        slots: int,
        now_ms: float,
        age_ms: float = 0.0,
    ) -> list[decisions.Decision]:
        """Records the load that an endpoint reports.

        A report that a released call brings is recorded before the release.

        Args:
            endpoint: Name of the endpoint.
            total: Calls that run or wait there.
            slots: Calls that it processes concurrently.
            now_ms: Current clock reading.
            age_ms: Time since the report was received from the endpoint.
        """
        self._endpoints.record_report(
            endpoint, total=total, slots=slots, received_ms=now_ms - age_ms
        )
        return self._fill(now_ms)

    def request(
        self, call: decisions.WaitingCall, now_ms: float
    ) -> decisions.Decision | decisions.Waiting:
        """Decides about a new call.

        Returns:
            ``Waiting`` if a later ``release`` or ``expire`` decides.
        """
        self._estimates.record_arrival(now_ms)
        ticket = waiting_calls.new_ticket(call)
        self._order.queued(ticket, now_ms)
        accepting = self._endpoints.accepting(call.excluded)
        if not accepting:
            reason = decisions.RejectReason.NO_ENDPOINT
            return self._reject(call, ticket, reason, now_ms)
        late_before_ms = now_ms + self._endpoints.min_high_ms(accepting)
        ahead = self._waiting.count_ahead(call, late_before_ms)
        can_be_in_time = self._estimates.is_in_time_after(
            ahead, call, accepting, now_ms
        )
        found = self._endpoints.best_with_room(
            accepting, call, now_ms, must_be_in_time=can_be_in_time
        )
        if found is not None:
            return self._grant(call, ticket, found, now_ms)
        if len(self._waiting) >= MAX_WAITING:
            reason = decisions.RejectReason.TOO_MANY
            return self._reject(call, ticket, reason, now_ms)
        if not can_be_in_time and not self._estimates.has_time_if_late(
            call, accepting, now_ms
        ):
            reason = decisions.RejectReason.NO_TIME
            return self._reject(
                call, ticket, reason, now_ms, ahead=len(self._waiting)
            )
        entry = waiting_calls.Entry(call, ticket, now_ms, ahead)
        self._waiting.add(entry)
        self._events.schedule(
            call.due_ms - self._endpoints.min_high_ms(accepting), call.number
        )
        return decisions.Waiting(call.number, ahead)

    def release(
        self,
        number: int,
        now_ms: float,
        *,
        outcome: decisions.Outcome = decisions.Outcome.COMPLETED,
    ) -> list[decisions.Decision]:
        """Ends a granted call; returns decisions about waiting ones.

        Args:
            number: Number of the call.
            now_ms: Current clock reading.
            outcome: How it ended.
        """
        endpoint = self._endpoints.endpoint_of(number)
        is_counted = self._endpoints.release(number, now_ms, outcome=outcome)
        if endpoint is None or not is_counted:
            return []
        if outcome is decisions.Outcome.FAILED:
            paused_until_ms = self._endpoints.paused_until_ms(endpoint)
            self._events.schedule(paused_until_ms, _PAUSE_END)
        return self._fill(now_ms)

    def cancel(self, number: int, now_ms: float) -> list[decisions.Decision]:
        """Removes a call, whether it waits or was granted."""
        entry = self._waiting.get(number)
        if entry is None:
            outcome = decisions.Outcome.CANCELLED
            return self.release(number, now_ms, outcome=outcome)
        self._waiting.remove(entry)
        self._order.withdrawn(entry.ticket)
        return []

    def orphan(self, numbers: Collection[int]) -> None:
        """Marks granted calls whose instance can't release them any more."""
        self._endpoints.orphan(numbers)

    def expire(self, now_ms: float) -> list[decisions.Decision]:
        """Decides what depends on time alone.

        Calls that became late get capacity that is left or are rejected, and
        granted calls are no longer counted after their deadline.
        """
        decided: list[decisions.Decision] = []
        while (number := self._events.pop_due(now_ms)) is not None:
            self._endpoints.drop_expired(number, now_ms)
            entry = self._waiting.get(number)
            if entry is not None:
                decided.extend(self._expire_waiting(entry, now_ms))
        decided.extend(self._fill(now_ms))
        return decided

    def _expire_waiting(
        self, entry: waiting_calls.Entry, now_ms: float
    ) -> list[decisions.Decision]:
        call = entry.call
        accepting = self._endpoints.accepting(call.excluded)
        high_ms = self._endpoints.min_high_ms(accepting)
        if call.due_ms - high_ms > now_ms:
            # Calls take less time than when it began to wait.
            self._events.schedule(call.due_ms - high_ms, call.number)
            return []
        self._waiting.update_ticket(entry, is_late=True)
        found = self._endpoints.best_with_room(
            accepting, call, now_ms, must_be_in_time=False
        )
        if found is not None:
            return [self._grant_waiting(entry, found, now_ms)]
        if not self._estimates.has_time_if_late(call, accepting, now_ms):
            reason = decisions.RejectReason.NO_TIME
            return [self._reject_waiting(entry, reason, now_ms)]
        self._events.schedule(
            max(now_ms + 1.0, call.latest_start_ms(high_ms)), call.number
        )
        return []

    def _fill(self, now_ms: float) -> list[decisions.Decision]:
        """Grants waiting calls while endpoints have room for them."""
        decided: list[decisions.Decision] = []
        if not len(self._waiting):
            return decided
        accepting = self._endpoints.accepting()
        free = [e for e in accepting if self._endpoints.has_room(e, now_ms)]
        if not free:
            return decided
        late_before_ms = now_ms + self._endpoints.min_high_ms(accepting)
        free.sort(key=lambda e: self._endpoints.expected_duration_ms(e, now_ms))
        for endpoint in free:
            high_ms = self.times.high_ms(endpoint.name)
            while len(self._waiting) and self._endpoints.has_room(
                endpoint, now_ms
            ):
                entry = self._waiting.first_for(
                    endpoint.name,
                    now_ms,
                    in_time_from_ms=now_ms + high_ms,
                    late_before_ms=late_before_ms,
                )
                if entry is None:
                    break
                decided.append(self._grant_waiting(entry, endpoint, now_ms))
        return decided

    def _grant(
        self,
        call: decisions.WaitingCall,
        ticket: tickets.Ticket,
        endpoint: endpoint_grants.EndpointGrants,
        now_ms: float,
        *,
        waited_ms: float = 0.0,
        ahead: int = 0,
    ) -> decisions.Granted:
        account_group = self._order.account_group(ticket)
        self._order.served(ticket)
        deadline_ms = max(now_ms, call.deadline_ms)
        self._endpoints.add_grant(
            endpoint, call.number, now_ms, deadline_ms=deadline_ms
        )
        self._events.schedule(deadline_ms, call.number)
        return decisions.Granted(
            call.number, endpoint.name, waited_ms, ahead, account_group
        )

    def _grant_waiting(
        self,
        entry: waiting_calls.Entry,
        endpoint: endpoint_grants.EndpointGrants,
        now_ms: float,
    ) -> decisions.Granted:
        self._waiting.remove(entry)
        return self._grant(
            entry.call,
            entry.ticket,
            endpoint,
            now_ms,
            waited_ms=now_ms - entry.queued_ms,
            ahead=entry.ahead,
        )

    def _reject(
        self,
        call: decisions.WaitingCall,
        ticket: tickets.Ticket,
        reason: decisions.RejectReason,
        now_ms: float,
        *,
        waited_ms: float = 0.0,
        ahead: int = 0,
    ) -> decisions.Rejected:
        account_group = self._order.account_group(ticket)
        self._order.rejected(ticket)
        return decisions.Rejected(
            call.number,
            self._retry_after_ms(call, now_ms),
            reason,
            waited_ms,
            ahead,
            account_group,
        )

    def _retry_after_ms(
        self, call: decisions.WaitingCall, now_ms: float
    ) -> float:
        """Returns when a rejected call may come back, later for each call."""
        accepting = self._endpoints.accepting(call.excluded)
        interval_ms, free_in_ms = self._estimates.next_free_ms(
            accepting, now_ms
        )
        return self._retry_times.next_ms(
            now_ms,
            free_in_ms=free_in_ms,
            interval_ms=interval_ms,
            left_ms=call.deadline_ms - now_ms,
        )

    def _reject_waiting(
        self,
        entry: waiting_calls.Entry,
        reason: decisions.RejectReason,
        now_ms: float,
    ) -> decisions.Rejected:
        self._waiting.remove(entry)
        return self._reject(
            entry.call,
            entry.ticket,
            reason,
            now_ms,
            waited_ms=now_ms - entry.queued_ms,
            ahead=entry.ahead,
        )

    def _is_needed(self, number: int) -> bool:
        """Returns whether an event still has something to decide."""
        return (
            number == _PAUSE_END
            or self._waiting.get(number) is not None
            or self._endpoints.is_granted(number)
        )
