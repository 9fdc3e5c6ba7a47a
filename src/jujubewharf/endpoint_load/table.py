"""Newest load report of each endpoint, as known to this instance.

Handles one report per answer, and the leader's digests. Memory is bounded by
the registered endpoints.
"""

from __future__ import annotations

from collections.abc import Container
import dataclasses
import math

from jujubewharf import clock as clocks
from jujubewharf.endpoint_load import reports

# A queue of some tens of calls is processed within a second, so an older report
# says nothing about it.
MAX_AGE_MS = 1_000.0
# Machines slow down for some hundred milliseconds at a time.
SLOWDOWN_MAX_AGE_MS = 300.0


@dataclasses.dataclass(frozen=True, slots=True)
class KnownLoad:
    """A report and its age.

    Attributes:
        report: The report.
        age_ms: Time since the report was received from the endpoint, in ms.
    """

    report: reports.LoadReport
    age_ms: float


class LoadTable:
    """Stores the newest report of each endpoint.

    Names are unique to one start of an endpoint (``forwarding.registration``),
    so a report of an earlier start is never attributed to a later one.

    Args:
        clock: Time source.
    """

    def __init__(self, clock: clocks.Clock) -> None:
        self._clock = clock
        # Report and clock reading of its receipt, by endpoint.
        self._newest: dict[str, tuple[reports.LoadReport, float]] = {}

    def record(
        self, endpoint: str, report: reports.LoadReport, *, age_ms: float = 0.0
    ) -> None:
        """Stores a report unless a newer one is known.

        Args:
            endpoint: Name of the endpoint.
            report: The report.
            age_ms: Time since another instance received it from the endpoint;
                0 for a report in an answer to this instance.
        """
        received_ms = self._clock.now_ms() - max(0.0, age_ms)
        known = self._newest.get(endpoint)
        if known is None or received_ms >= known[1]:
            self._newest[endpoint] = (report, received_ms)

    def get(self, endpoint: str) -> KnownLoad | None:
        """Returns the newest report; ``None`` if unknown or outdated."""
        return self._get_within(endpoint, MAX_AGE_MS)

    def received_ms(self, endpoint: str) -> float:
        """Returns the clock reading of the newest report's receipt.

        Negative infinity if the endpoint never reported its load.
        """
        known = self._newest.get(endpoint)
        return -math.inf if known is None else known[1]

    def slowdown(self, endpoint: str) -> float:
        """Returns the factor by which work takes longer than usual.

        1.0 if it is unknown or outdated.
        """
        known = self._get_within(endpoint, SLOWDOWN_MAX_AGE_MS)
        if known is None or known.report.slowdown is None:
            return 1.0
        return known.report.slowdown

    def reports_load(self, endpoint: str) -> bool:
        """Returns whether an endpoint has ever reported its load."""
        return endpoint in self._newest

    def slots(self, endpoint: str) -> int | None:
        """Returns the slots of the newest report, however old it is.

        ``None`` if the endpoint never reported its load.
        """
        known = self._newest.get(endpoint)
        return None if known is None else known[0].slots

    def retain(self, names: Container[str]) -> None:
        """Drops the reports of all other endpoints."""
        for name in [name for name in self._newest if name not in names]:
            del self._newest[name]

    def _get_within(self, endpoint: str, max_age_ms: float) -> KnownLoad | None:
        known = self._newest.get(endpoint)
        if known is None:
            return None
        report, received_ms = known
        age_ms = self._clock.now_ms() - received_ms
        return KnownLoad(report, age_ms) if age_ms <= max_age_ms else None
