"""Which priority class is served first.

Handles a service whose classes together, or one of them alone, offer several
times what it can serve for seconds or minutes. The highest class comes first;
a lower one that starves gets single turns, at most one for as many requests of
higher classes as the starving share says.
"""

from __future__ import annotations

from collections.abc import Iterator
import dataclasses

from jujubewharf.admission import tickets

# Time over which requests are counted, and the number of its parts, of which
# the oldest is dropped at a time.
_WINDOW_MS = 8_000.0
_WINDOW_PARTS = 8
# Share of its wait after which a request of a starving class is served first.
_STARVING_WAIT_SHARE = 0.5
DEFAULT_STARVING_SHARE = 0.5
# Rounding error of the sum of some starving shares.
_ROUNDING = 1e-9


@dataclasses.dataclass(slots=True)
class _Counts:
    """Requests of one class in one part of the window."""

    part: int
    offered: int = 0
    served: int = 0


class _ClassState:
    """Counts and waiting requests of one class."""

    def __init__(self) -> None:
        # Times at which requests in time and late ones began to wait, in the
        # order in which they became so. Kept apart so that the oldest request
        # in time is found at once.
        self._in_time: dict[tickets.Ticket, float] = {}
        self._late: dict[tickets.Ticket, float] = {}
        self._parts: list[_Counts] = []

    def add(self, ticket: tickets.Ticket, now_ms: float) -> None:
        """Adds a request that begins to wait."""
        waiting = self._late if ticket.is_late else self._in_time
        waiting[ticket] = now_ms

    def remove(self, ticket: tickets.Ticket) -> float | None:
        """Removes a request; returns when it began to wait, if it did."""
        waiting = self._late if ticket.is_late else self._in_time
        return waiting.pop(ticket, None)

    def waits(self, now_ms: float) -> tickets.Waits | None:
        """Returns the number of waiting requests and the longest wait."""
        queued_ms = [*self._in_time.values(), *self._late.values()]
        if not queued_ms:
            return None
        return tickets.Waits(len(queued_ms), now_ms - min(queued_ms))

    def counts(self, part: int) -> _Counts:
        """Returns the counts of the present part of the window."""
        if not self._parts or self._parts[-1].part != part:
            self._parts.append(_Counts(part))
            self.drop_old(part)
        return self._parts[-1]

    def drop_old(self, part: int) -> None:
        """Drops the counts that have left the window."""
        while self._parts and self._parts[0].part <= part - _WINDOW_PARTS:
            del self._parts[0]

    @property
    def is_empty(self) -> bool:
        """Whether nothing waits and nothing was counted within the window."""
        return not (self._in_time or self._late or self._parts)

    @property
    def offered(self) -> int:
        """Requests that arrived within the window."""
        return sum(counts.offered for counts in self._parts)

    @property
    def served_share(self) -> float | None:
        """Share of the offered requests that were served, if there are any."""
        offered = self.offered
        if not offered:
            return None
        return sum(counts.served for counts in self._parts) / offered

    def has_starving_request(self, now_ms: float) -> bool:
        """Returns whether the oldest request has waited too long.

        Requests that can still meet their target precede late ones.
        """
        waiting = self._in_time or self._late
        if not waiting:
            return False
        ticket, queued_ms = next(iter(waiting.items()))
        wait_ms = ticket.due_ms - queued_ms
        return now_ms - queued_ms >= wait_ms * _STARVING_WAIT_SHARE


class ClassBalance:
    """Counts the requests of each priority class and orders the classes.

    Args:
        starving_share: A class starves if it is served less often than this
            share of how often a higher class is served.

    Attributes:
        starving_share: See above.
        starving: Priority of the class that starves and has the next turn;
            ``None`` if there is none.
        is_class_first: Whether a higher class is served less often than a lower
            one. Its late requests then precede all requests of lower classes.
    """

    def __init__(self, starving_share: float = DEFAULT_STARVING_SHARE) -> None:
        self.starving_share = starving_share
        self.starving: int | None = None
        self.is_class_first = False
        self._states: dict[int, _ClassState] = {}
        # Part of the next turn of a starving class that is earned.
        self._turn_credit = 1.0

    @property
    def is_active(self) -> bool:
        """Whether there are requests of more than one class."""
        return len(self._states) > 1

    def queued(self, ticket: tickets.Ticket, now_ms: float) -> None:
        """Counts a request that begins to wait."""
        state = self._states.setdefault(ticket.priority, _ClassState())
        state.add(ticket, now_ms)
        state.counts(_part(now_ms)).offered += 1

    def replaced(self, ticket: tickets.Ticket, by: tickets.Ticket) -> None:
        """Replaces the ticket of a waiting request."""
        state = self._states[ticket.priority]
        queued_ms = state.remove(ticket)
        assert queued_ms is not None
        state.add(by, queued_ms)

    def served(self, ticket: tickets.Ticket, now_ms: float) -> None:
        """Counts a request that was served."""
        state = self._states[ticket.priority]
        state.counts(_part(now_ms)).served += 1
        if ticket.priority == self.starving:
            self._turn_credit = 0.0
        elif ticket.priority != max(self._states):
            self._turn_credit = min(
                1.0, self._turn_credit + self.starving_share
            )
        self.left(ticket)

    def left(self, ticket: tickets.Ticket) -> None:
        """Removes a request that no longer waits."""
        state = self._states.get(ticket.priority)
        if state is not None:
            state.remove(ticket)

    def waits(self, now_ms: float) -> dict[int, tickets.Waits]:
        """Returns the waiting requests by priority."""
        return {
            priority: waits
            for priority, state in self._states.items()
            if (waits := state.waits(now_ms)) is not None
        }

    def update(self, now_ms: float) -> None:
        """Decides anew which class comes first."""
        part = _part(now_ms)
        for priority, state in list(self._states.items()):
            state.drop_old(part)
            if state.is_empty:
                del self._states[priority]
        self.starving = None
        self.is_class_first = False
        if len(self._states) < 2:
            self._turn_credit = 1.0
            return
        shares = list(self._shares())
        self.is_class_first = any(
            higher < lower
            for index, (_, higher) in enumerate(shares)
            for _, lower in shares[index + 1 :]
        )
        if self._turn_credit >= 1.0 - _ROUNDING:
            self.starving = self._starving(shares, now_ms)

    def _shares(self) -> Iterator[tuple[int, float]]:
        """Yields the served shares by class, the highest class first."""
        for priority in sorted(self._states):
            share = self._states[priority].served_share
            if share is not None:
                yield priority, share

    def _starving(
        self, shares: list[tuple[int, float]], now_ms: float
    ) -> int | None:
        best_share = 0.0
        for priority, share in shares:
            if share < self.starving_share * best_share:
                if self._states[priority].has_starving_request(now_ms):
                    return priority
            best_share = max(best_share, share)
        return None


def _part(now_ms: float) -> int:
    return int(now_ms // (_WINDOW_MS / _WINDOW_PARTS))
