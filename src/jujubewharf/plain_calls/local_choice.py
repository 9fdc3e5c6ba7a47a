"""Endpoint choice of an instance without a leader.

Handles load that many such instances send to a few endpoints: each chooses
among two endpoints drawn at random, so that not all of them choose the one
whose last report was the best.
"""

from __future__ import annotations

import collections
from collections.abc import Iterator
from collections.abc import Sequence
import contextlib
import random
from typing import Protocol

from jujubewharf.configuration import resources
from jujubewharf.endpoint_load import table

_SAMPLE_SIZE = 2


class Loads(Protocol):
    """Newest known load of endpoints."""

    def total(self, endpoint: str) -> int | None:
        """Returns the calls that run or wait there; ``None`` if unknown."""
        ...

    def slots(self, endpoint: resources.Endpoint) -> int:
        """Returns the number of calls it processes concurrently."""
        ...


class TableLoads:
    """Implements ``Loads`` with the newest reports of endpoints.

    Args:
        loads: Load that endpoints have reported.
    """

    def __init__(self, loads: table.LoadTable) -> None:
        self._loads = loads

    def total(self, endpoint: str) -> int | None:
        """See ``Loads``."""
        known = self._loads.get(endpoint)
        if known is None:
            return None
        return known.report.running + known.report.waiting

    def slots(self, endpoint: resources.Endpoint) -> int:
        """See ``Loads``."""
        return self._loads.slots(endpoint.name) or endpoint.slots


class Times(Protocol):
    """Observed time of calls at endpoints."""

    def median_ms(self, endpoint: str) -> float:
        """Returns the median time of a call at an endpoint at present."""
        ...


class LocalChoice:
    """Chooses by expected duration, from reports and this instance's own calls.

    Args:
        domain: Failure domain of this instance.
        loads: Load of endpoints.
        rng: Draws endpoints.
    """

    def __init__(self, domain: str, loads: Loads, rng: random.Random) -> None:
        self._domain = domain
        self._loads = loads
        self._rng = rng
        self._own: collections.Counter[str] = collections.Counter()

    @property
    def in_flight(self) -> int:
        """Number of calls that are counted."""
        return self._own.total()

    def choose(
        self,
        endpoints: Sequence[resources.Endpoint],
        times: Times,
        *,
        due_in_ms: float,
    ) -> resources.Endpoint | None:
        """Returns the endpoint for a call; ``None`` if there is none.

        Args:
            endpoints: Endpoints that accept the call.
            times: Observed times of the service's calls.
            due_in_ms: Time until the call is late.
        """
        near = [e for e in endpoints if e.domain == self._domain]
        chosen = self._draw(near, times)
        if chosen is not None and self._duration_ms(chosen, times) <= due_in_ms:
            return chosen
        return self._draw(endpoints, times)

    def _draw(
        self, endpoints: Sequence[resources.Endpoint], times: Times
    ) -> resources.Endpoint | None:
        if not endpoints:
            return None
        drawn = self._rng.sample(endpoints, min(_SAMPLE_SIZE, len(endpoints)))
        return min(drawn, key=lambda e: self._duration_ms(e, times))

    def _duration_ms(self, endpoint: resources.Endpoint, times: Times) -> float:
        """Returns the expected duration of one more call at an endpoint."""
        own = self._own[endpoint.name]
        total = max(own, self._loads.total(endpoint.name) or 0)
        return expected_duration_ms(
            total,
            self._loads.slots(endpoint),
            times.median_ms(endpoint.name),
        )

    @contextlib.contextmanager
    def counted(self, endpoint: str) -> Iterator[None]:
        """Counts a call to an endpoint for the duration of the block."""
        self._own[endpoint] += 1
        try:
            yield
        finally:
            self._own[endpoint] -= 1
            if not self._own[endpoint]:
                del self._own[endpoint]


def expected_duration_ms(in_flight: float, slots: int, call_ms: float) -> float:
    """Returns how long one more call takes, its wait for a slot included.

    Args:
        in_flight: Calls that the endpoint has already.
        slots: Number of calls that it processes concurrently.
        call_ms: Median time of a call in a slot.
    """
    waiting = max(0.0, in_flight + 1 - slots)
    return call_ms * (1.0 + waiting / slots)
