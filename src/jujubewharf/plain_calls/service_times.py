"""Observed times of plain calls at the endpoints of one service.

Handles load in which endpoints of one service differ in speed by several
times and change their speed within some hundred milliseconds. The cost of an
observation doesn't depend on the number of calls.
"""

from __future__ import annotations

import bisect
import collections
from collections.abc import Callable
from collections.abc import Collection

# Observations kept for each endpoint, and for the spread over all endpoints.
_ENDPOINT_OBSERVATIONS = 48
_SPREAD_OBSERVATIONS = 256
# Observations that outweigh the prior of an endpoint.
_PRIOR_WEIGHT = 4.0
# Quantile of the observed times within which a call must fit to be in time.
# With the mean, half of the calls that start at the last moment end late.
_HIGH_QUANTILE = 0.95
# Ratio of the high quantile to the median before there are observations.
_PRIOR_SPREAD = 1.5
# Observations of the spread that outweigh its prior.
_PRIOR_SPREAD_OBSERVATIONS = 20


class _Window:
    """Sorted window of the newest values."""

    def __init__(self, size: int) -> None:
        self._size = size
        self._newest: collections.deque[float] = collections.deque()
        self._sorted: list[float] = []

    def __len__(self) -> int:
        return len(self._sorted)

    def add(self, value: float) -> None:
        self._newest.append(value)
        bisect.insort(self._sorted, value)
        if len(self._newest) > self._size:
            oldest = self._newest.popleft()
            del self._sorted[bisect.bisect_left(self._sorted, oldest)]

    def quantile(self, share: float) -> float:
        """Returns a quantile; the window must not be empty."""
        position = min(len(self._sorted) - 1, int(share * len(self._sorted)))
        return self._sorted[position]


class ServiceTimes:
    """Median and high quantile of the time of a call at each endpoint.

    Times are kept as they would be at usual speed and are multiplied by the
    slowdown that the endpoint reports.

    Args:
        slowdown: Returns the present slowdown of an endpoint; 1.0 is usual.
        prior_ms: Time of a call before the first observation.

    Attributes:
        slowdown: See above.
    """

    def __init__(
        self, slowdown: Callable[[str], float], *, prior_ms: float
    ) -> None:
        self.slowdown = slowdown
        self._prior_ms = prior_ms
        self._by_endpoint: dict[str, _Window] = {}
        self._ratios = _Window(_SPREAD_OBSERVATIONS)
        self._spread = _PRIOR_SPREAD
        self._usual_ms: dict[str, float] = {}
        self._service_ms: float | None = None

    def record(
        self, endpoint: str, took_ms: float, *, slowdown: float = 1.0
    ) -> None:
        """Records the time of a completed call.

        Args:
            endpoint: The endpoint.
            took_ms: Time of the call there.
            slowdown: Slowdown that the endpoint reported during the call.
        """
        usual_ms = took_ms / slowdown
        self._ratios.add(usual_ms / self._usual(endpoint))
        if len(self._ratios) >= _PRIOR_SPREAD_OBSERVATIONS:
            self._spread = max(1.0, self._ratios.quantile(_HIGH_QUANTILE))
        window = self._by_endpoint.get(endpoint)
        if window is None:
            window = _Window(_ENDPOINT_OBSERVATIONS)
            self._by_endpoint[endpoint] = window
        window.add(usual_ms)
        self._usual_ms.clear()
        self._service_ms = None

    def retain(self, endpoints: Collection[str]) -> None:
        """Drops the observations of all other endpoints."""
        for name in [n for n in self._by_endpoint if n not in endpoints]:
            del self._by_endpoint[name]
        self._usual_ms.clear()
        self._service_ms = None

    def median_ms(self, endpoint: str) -> float:
        """Returns the median time of a call at an endpoint at present."""
        return self._usual(endpoint) * self.slowdown(endpoint)

    def high_ms(self, endpoint: str) -> float:
        """Returns the time within which nearly all calls end there."""
        return self.median_ms(endpoint) * self.spread

    @property
    def spread(self) -> float:
        """Ratio of the high quantile to the median."""
        return self._spread

    def _usual(self, endpoint: str) -> float:
        """Returns the median at usual speed, drawn towards the service's."""
        known_ms = self._usual_ms.get(endpoint)
        if known_ms is None:
            known_ms = self._service()
            window = self._by_endpoint.get(endpoint)
            if window is not None:
                count = len(window)
                known_ms = (
                    window.quantile(0.5) * count + known_ms * _PRIOR_WEIGHT
                ) / (count + _PRIOR_WEIGHT)
            self._usual_ms[endpoint] = known_ms
        return known_ms

    def _service(self) -> float:
        """Returns the median of the endpoints' medians."""
        if self._service_ms is None:
            medians = sorted(
                w.quantile(0.5) for w in self._by_endpoint.values()
            )
            self._service_ms = (
                medians[len(medians) // 2] if medians else self._prior_ms
            )
        return self._service_ms
