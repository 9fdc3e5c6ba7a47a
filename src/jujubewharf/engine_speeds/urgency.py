"""Which requests can wait for a slow engine's answer.

Load pattern: an urgent and a patient class on the same engines. What the
patient class takes of the fast engines is missing to the urgent one.
"""

from __future__ import annotations

import dataclasses

from jujubewharf import clock as clocks
from jujubewharf.admission import tickets
from jujubewharf.forwarding import runs

# Time after which a class without requests no longer counts. The other class
# then has all engines for itself.
_CLASS_TIMEOUT_MS = 10_000.0


@dataclasses.dataclass(frozen=True, slots=True)
class Urgency:
    """How urgent a request is.

    Attributes:
        can_wait: Whether it takes slow engines first.
        deadline_at_ms: Clock reading of its deadline.
        latest_start_ms: Clock reading until which it can be placed on engines
            of median speed and meet its latency target; infinite if it is late.
    """

    can_wait: bool = False
    deadline_at_ms: float = float("inf")
    latest_start_ms: float = float("inf")


# Urgency of a request about which nothing is known.
UNKNOWN = Urgency()


class PriorityClasses:
    """Priorities of the newest requests by service.

    Args:
        clock: Time source.
    """

    def __init__(self, clock: clocks.Clock) -> None:
        self._clock = clock
        self._seen_ms: dict[str, dict[int, float]] = {}

    def urgency_of(self, run: runs.Run, ticket: tickets.Ticket) -> Urgency:
        """Returns the urgency of a request and records its priority.

        Args:
            run: The request.
            ticket: Its place in the order of waiting requests.
        """
        seen_ms = self._seen_ms.setdefault(run.service, {})
        seen_ms[run.priority] = self._clock.now_ms()
        can_be_in_time = not (ticket.is_late or ticket.is_resumed)
        return Urgency(
            ticket.is_late or self._is_patient(run.service, run.priority),
            run.deadline_at_ms,
            ticket.due_ms if can_be_in_time else float("inf"),
        )

    def _is_patient(self, service: str, priority: int) -> bool:
        """Returns whether a more urgent class has requests at present."""
        oldest_ms = self._clock.now_ms() - _CLASS_TIMEOUT_MS
        return any(
            other < priority and seen_ms >= oldest_ms
            for other, seen_ms in self._seen_ms.get(service, {}).items()
        )
