"""Calls that wait for a permit, by priority and client account.

Handles hundreds of waiting calls: only the first call of each account is
ranked when a slot comes free.
"""

from __future__ import annotations

import bisect
from collections.abc import Iterator
import dataclasses
import operator

from jujubewharf.admission import order as orders
from jujubewharf.admission import tickets
from jujubewharf.plain_calls import decisions

_BucketKey = tuple[int, str | None]


@dataclasses.dataclass(slots=True, eq=False)
class Entry:
    """A waiting call.

    Attributes:
        call: The call.
        ticket: Its place in the order of all calls.
        queued_ms: Clock reading when it began to wait.
        ahead: Number of calls that waited before it then.
    """

    call: decisions.WaitingCall
    ticket: tickets.Ticket
    queued_ms: float
    ahead: int = 0

    @property
    def due_ms(self) -> float:
        """Clock reading from which the answer is late."""
        return self.call.due_ms


_DUE = operator.attrgetter("due_ms")


def new_ticket(
    call: decisions.WaitingCall, *, is_late: bool = False
) -> tickets.Ticket:
    """Returns the ticket of a call."""
    return tickets.Ticket(
        call.priority, call.account, 1.0, is_late, False, call.due_ms
    )


class WaitingCalls:
    """Waiting calls, each list sorted by the time from which they are late.

    Args:
        order: Order of calls that wait.
    """

    def __init__(self, order: orders.AdmissionOrder) -> None:
        self._order = order
        self._by_number: dict[int, Entry] = {}
        self._buckets: dict[_BucketKey, list[Entry]] = {}

    def __len__(self) -> int:
        return len(self._by_number)

    def __iter__(self) -> Iterator[Entry]:
        return iter(list(self._by_number.values()))

    def get(self, number: int) -> Entry | None:
        """Returns a waiting call."""
        return self._by_number.get(number)

    def add(self, entry: Entry) -> None:
        """Adds a call."""
        self._by_number[entry.call.number] = entry
        bucket = self._buckets.setdefault(_key(entry.call), [])
        bisect.insort(bucket, entry, key=_DUE)

    def remove(self, entry: Entry) -> None:
        """Removes a call."""
        del self._by_number[entry.call.number]
        key = _key(entry.call)
        bucket = self._buckets[key]
        position = bisect.bisect_left(bucket, entry.due_ms, key=_DUE)
        while bucket[position] is not entry:
            position += 1
        del bucket[position]
        if not bucket:
            del self._buckets[key]

    def first_for(
        self,
        endpoint: str,
        now_ms: float,
        *,
        in_time_from_ms: float,
        late_before_ms: float,
    ) -> Entry | None:
        """Returns the call that comes first at an endpoint.

        Calls that are in time at other endpoints only are left to these.

        Args:
            endpoint: Name of the endpoint.
            now_ms: Current clock reading.
            in_time_from_ms: Calls that are due from this time on would be in
                time at this endpoint.
            late_before_ms: Calls that are due before this time would be late
                everywhere.
        """
        best: Entry | None = None
        best_rank: orders.Rank | None = None
        for bucket in self._buckets.values():
            for start, end in (
                (bisect.bisect_left(bucket, in_time_from_ms, key=_DUE), None),
                (0, bisect.bisect_left(bucket, late_before_ms, key=_DUE)),
            ):
                entry = _first_accepting(bucket, endpoint, start, end)
                if entry is None:
                    continue
                self.update_ticket(entry, is_late=end is not None)
                rank = self._order.rank(entry.ticket, now_ms)
                if best_rank is None or rank < best_rank:
                    best, best_rank = entry, rank
        return best

    def update_ticket(self, entry: Entry, *, is_late: bool) -> None:
        """Replaces the ticket of a call that became late."""
        if entry.ticket.is_late == is_late:
            return
        ticket = new_ticket(entry.call, is_late=is_late)
        self._order.replaced(entry.ticket, ticket)
        entry.ticket = ticket

    def waits(self, now_ms: float) -> dict[int, tickets.Waits]:
        """Returns the waiting calls by priority."""
        counts: dict[int, int] = {}
        oldest: dict[int, float] = {}
        for entry in self._by_number.values():
            priority = entry.call.priority
            counts[priority] = counts.get(priority, 0) + 1
            waited_ms = now_ms - entry.queued_ms
            oldest[priority] = max(oldest.get(priority, 0.0), waited_ms)
        return {
            priority: tickets.Waits(count, oldest[priority])
            for priority, count in counts.items()
        }

    def count_late(self, late_before_ms: float) -> int:
        """Returns how many calls would be late everywhere."""
        return sum(
            bisect.bisect_left(bucket, late_before_ms, key=_DUE)
            for bucket in self._buckets.values()
        )

    def count_ahead(
        self, call: decisions.WaitingCall, late_before_ms: float
    ) -> int:
        """Returns how many calls that are in time come before a call.

        Accounts of one priority are served in turn, so of each as many calls
        precede this one as its own account has before it.
        """
        own = self._buckets.get(_key(call), [])
        own_ahead = bisect.bisect_right(own, call.due_ms, key=_DUE)
        own_late = bisect.bisect_left(own, late_before_ms, key=_DUE)
        before = max(0, own_ahead - own_late)
        ahead = before
        for key, bucket in self._buckets.items():
            if key == _key(call) or key[0] > call.priority:
                continue
            late = bisect.bisect_left(bucket, late_before_ms, key=_DUE)
            in_time = len(bucket) - late
            if key[0] == call.priority:
                in_time = min(in_time, before + 1)
            ahead += in_time
        return ahead


def _first_accepting(
    bucket: list[Entry], endpoint: str, start: int, end: int | None
) -> Entry | None:
    for position in range(start, len(bucket) if end is None else end):
        if endpoint not in bucket[position].call.excluded:
            return bucket[position]
    return None


def _key(call: decisions.WaitingCall) -> _BucketKey:
    return (call.priority, call.account)
