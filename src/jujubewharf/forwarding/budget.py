"""Retry budget that is proportional to the requests of the whole fleet."""

from __future__ import annotations

from collections.abc import Callable

from jujubewharf import clock as clocks
from jujubewharf.forwarding import sliding_window

# Share of the allowed retries that is used. The margin covers requests near the
# edge of the window, which another counter may assign to the next window.
_USABLE_SHARE = 0.85


class FleetRetryBudget:
    """This instance's share of the fleet's retry budget.

    Retries are allowed in proportion to the instance's own requests, plus its
    share of a fixed allowance for the fleet. Independent budgets per instance
    would together exceed the fleet's limit.

    Args:
        clock: Time source.
        ratio: Retries allowed per request.
        slack: Additional retries per window, for all instances together.
        window_ms: Length of the sliding window in milliseconds.
        share: Returns this instance's share of ``slack``, 0 to 1.
    """

    def __init__(
        self,
        clock: clocks.Clock,
        *,
        ratio: float,
        slack: float,
        window_ms: float,
        share: Callable[[], float],
    ) -> None:
        self._share = share
        self._clock = clock
        self._requests: dict[str, sliding_window.SlidingSum] = {}
        self._retries: dict[str, sliding_window.SlidingSum] = {}
        # Retries that were wanted, whether or not they were allowed.
        self._wanted = sliding_window.SlidingSum(window_ms)
        self.change(ratio=ratio, slack=slack, window_ms=window_ms)

    def change(self, *, ratio: float, slack: float, window_ms: float) -> None:
        """Changes the limits; requests and retries already counted are kept."""
        self._ratio = ratio
        self._slack = slack
        self._window_ms = window_ms
        self._wanted.window_ms = window_ms
        for counter in (*self._requests.values(), *self._retries.values()):
            counter.window_ms = window_ms

    def record_request(self, service: str) -> None:
        """Counts a request for a service."""
        self._counter(self._requests, service).add(self._clock.now_ms())

    def remaining(self, service: str) -> float:
        """Returns the retries left; fractional, below 1 means none."""
        now_ms = self._clock.now_ms()
        requests = self._counter(self._requests, service).total(now_ms)
        retries = self._counter(self._retries, service).total(now_ms)
        allowed = self._ratio * requests + self._slack * self._share()
        return _USABLE_SHARE * allowed - retries

    def take(self, service: str) -> bool:
        """Consumes one retry and returns whether there was one."""
        self._wanted.add(self._clock.now_ms())
        if self.remaining(service) < 1.0:
            return False
        self._counter(self._retries, service).add(self._clock.now_ms())
        return True

    def wanted(self) -> float:
        """Returns the retries wanted within the window, by all services."""
        return self._wanted.total(self._clock.now_ms())

    def _counter(
        self, table: dict[str, sliding_window.SlidingSum], service: str
    ) -> sliding_window.SlidingSum:
        counter = table.get(service)
        if counter is None:
            counter = table[service] = sliding_window.SlidingSum(
                self._window_ms
            )
        return counter
