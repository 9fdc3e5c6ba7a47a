"""Load reports of endpoints, and the check of their values.

Reports arrive with answers and with messages of other instances. A wrong value
makes the load unknown until the next report; it never fails the answer.
"""

from __future__ import annotations

import dataclasses
import enum
import math

from opentelemetry import metrics

MAX_REQUESTS = 100_000
MAX_SLOTS = 100_000
MIN_SLOWDOWN = 0.01
MAX_SLOWDOWN = 100.0
PERCENT = 100.0

_REJECTED_REPORTS = metrics.get_meter("jujubewharf").create_counter(
    "endpoint_load.rejected_reports",
    description="Load reports of endpoints with invalid values, by reason.",
)


class LoadFault(enum.Enum):
    """Reason why a load report is invalid.

    ``TOO_SMALL`` is a number of slots or a slowdown that is not negative, but
    below its lower bound.
    """

    NEGATIVE = "negative"
    TOO_SMALL = "too_small"
    TOO_LARGE = "too_large"
    NOT_A_NUMBER = "not_a_number"
    INCOMPLETE = "incomplete"


@dataclasses.dataclass(frozen=True, slots=True)
class LoadReport:
    """Load of an endpoint as stated by itself.

    Attributes:
        running: Requests that it processes.
        waiting: Requests in its queue.
        slots: Requests that it processes at the same time.
        slowdown: Factor by which work takes longer than usual on its machine;
            ``None`` if not stated.
    """

    running: int
    waiting: int
    slots: int
    slowdown: float | None = None

    @property
    def slowdown_percent(self) -> int | None:
        """The slowdown in percent; 100 is usual."""
        if self.slowdown is None:
            return None
        return round(self.slowdown * PERCENT)


def validated(
    running: float | None,
    waiting: float | None,
    slots: float | None,
    slowdown_percent: float | None,
) -> LoadReport | LoadFault:
    """Checks the values of a report.

    Args:
        running: Requests that the endpoint processes; ``None`` if missing.
        waiting: Requests in its queue; ``None`` if missing.
        slots: Requests that it processes at the same time; ``None`` if missing.
        slowdown_percent: Duration of work relative to the usual one in percent;
            ``None`` if not stated.
    """
    if running is None or waiting is None or slots is None:
        return LoadFault.INCOMPLETE
    fault = (
        _count_fault(running, 0, MAX_REQUESTS)
        or _count_fault(waiting, 0, MAX_REQUESTS)
        or _count_fault(slots, 1, MAX_SLOTS)
    )
    if fault is not None:
        return fault
    slowdown = None
    if slowdown_percent is not None:
        slowdown = slowdown_percent / PERCENT
        fault = _range_fault(slowdown, MIN_SLOWDOWN, MAX_SLOWDOWN)
        if fault is not None:
            return fault
    return LoadReport(int(running), int(waiting), int(slots), slowdown)


def accepted(
    running: float | None,
    waiting: float | None,
    slots: float | None,
    slowdown_percent: float | None,
) -> LoadReport | None:
    """Returns a valid report; counts an invalid one and returns ``None``."""
    match validated(running, waiting, slots, slowdown_percent):
        case LoadFault() as fault:
            _REJECTED_REPORTS.add(1, {"reason": fault.value})
            return None
        case report:
            return report


def _count_fault(value: float, lowest: int, highest: int) -> LoadFault | None:
    fault = _range_fault(value, lowest, highest)
    if fault is None and value != int(value):
        return LoadFault.NOT_A_NUMBER
    return fault


def _range_fault(
    value: float, lowest: float, highest: float
) -> LoadFault | None:
    if math.isnan(value):
        return LoadFault.NOT_A_NUMBER
    if value < 0:
        return LoadFault.NEGATIVE
    if value < lowest:
        return LoadFault.TOO_SMALL
    if value > highest:
        return LoadFault.TOO_LARGE
    return None
