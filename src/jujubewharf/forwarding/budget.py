"""Retries in proportion to requests, over the whole fleet."""

from __future__ import annotations

from collections.abc import Callable

from jujubewharf import clock as clocks
from jujubewharf.forwarding import recent

# Part of the bound that is used: requests near the edge of the window are
# counted a little earlier or later by who checks the bound.
_USED_PART = 0.85


class FleetBudget:
    """This instance's share of the retries that the fleet may make.

    Instances that each kept a bound of their own would together exceed the
    fleet's. So each takes the ratio of its own requests, and of the stock that
    doesn't depend on requests only its share.

    Args:
        clock: Time.
        ratio: Retries allowed for each request.
        slack: Retries allowed besides, to all instances together.
        window_ms: Time over which both are counted.
        share: Tells this instance's part of ``slack``, 0 to 1.
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
        self._requests: dict[str, recent.RecentSum] = {}
        self._retries: dict[str, recent.RecentSum] = {}
        self.change(ratio=ratio, slack=slack, window_ms=window_ms)

    def change(self, *, ratio: float, slack: float, window_ms: float) -> None:
        """Takes other bounds; what was counted before still counts."""
        self._ratio = ratio
        self._slack = slack
        self._window_ms = window_ms
        for counted in (*self._requests.values(), *self._retries.values()):
            counted.window_ms = window_ms

    def accepted(self, service: str) -> None:
        """A request for a service came."""
        self._of(self._requests, service).add(self._clock.now_ms())

    def left(self, service: str) -> float:
        """Retries that may be made now; below 1 there is none."""
        now_ms = self._clock.now_ms()
        requests = self._of(self._requests, service).total(now_ms)
        retries = self._of(self._retries, service).total(now_ms)
        allowed = self._ratio * requests + self._slack * self._share()
        return _USED_PART * allowed - retries

    def take(self, service: str) -> bool:
        """Takes one retry, if there is one."""
        if self.left(service) < 1.0:
            return False
        self._of(self._retries, service).add(self._clock.now_ms())
        return True

    def _of(
        self, table: dict[str, recent.RecentSum], service: str
    ) -> recent.RecentSum:
        counted = table.get(service)
        if counted is None:
            counted = table[service] = recent.RecentSum(self._window_ms)
        return counted
