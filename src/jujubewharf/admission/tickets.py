"""Waiting requests, as far as their order is concerned."""

from __future__ import annotations

import dataclasses

# Priorities from this one on share a label, so that their number in metrics
# doesn't follow the configuration.
_FIRST_SHARED_PRIORITY = 10


@dataclasses.dataclass(frozen=True, slots=True)
class Waits:
    """Waiting requests of one class.

    Attributes:
        count: Their number.
        oldest_ms: How long the oldest one has waited.
    """

    count: int
    oldest_ms: float


def priority_label(priority: int) -> str:
    """Returns the label of a class in metrics."""
    if priority >= _FIRST_SHARED_PRIORITY:
        return f"{_FIRST_SHARED_PRIORITY}+"
    return str(max(0, priority))


# Compared by identity: two requests may have equal fields.
@dataclasses.dataclass(frozen=True, slots=True, eq=False)
class Ticket:
    """A waiting request.

    Attributes:
        priority: Priority; 0 is the highest.
        account: Name of the client account; ``None`` if there is none.
        cost: Tokens of prompt and expected output; 1 for a plain call.
        is_late: Whether it has missed its latency target.
        is_resumed: Whether its caller already has a part of the answer.
        due_ms: Clock reading in milliseconds, the earliest first: for a model
            request, when it is given up; for a plain call, when its answer
            becomes late.
    """

    priority: int
    account: str | None
    cost: float
    is_late: bool
    is_resumed: bool
    due_ms: float
