"""Estimates how long requests hold a decode slot, from completed requests."""

from __future__ import annotations

import bisect
import itertools

_SHORTEST_MS = 50.0
_GROWTH = 1.1
_BUCKETS = 96
_FORGET = 0.998
_ENOUGH = 12.0


class HoldTimes:
    """A decaying histogram of hold times with exponentially growing buckets.

    The length of a response is not known in advance, but the distribution of
    lengths is. It gives the probability that a request of a certain age ends
    within a certain time.

    Args:
        prior_ms: Mean that is used until enough requests have completed.
    """

    def __init__(self, prior_ms: float) -> None:
        self._edges_ms = [
            _SHORTEST_MS * _GROWTH**place for place in range(_BUCKETS)
        ]
        self._counts = [0.0] * (_BUCKETS + 1)
        self._beyond = [0.0] * (_BUCKETS + 2)
        self._sum_ms = 0.0
        self._prior_ms = prior_ms

    def add(self, held_ms: float) -> None:
        """Adds the hold time of a completed request."""
        self._counts = [count * _FORGET for count in self._counts]
        self._counts[bisect.bisect_left(self._edges_ms, held_ms)] += 1.0
        self._sum_ms = self._sum_ms * _FORGET + held_ms
        beyond = itertools.accumulate(reversed(self._counts))
        self._beyond = [*reversed(list(beyond)), 0.0]

    @property
    def mean_ms(self) -> float:
        """Mean time for which a slot is held."""
        total = self._beyond[0]
        if total < _ENOUGH:
            return self._prior_ms
        return self._sum_ms / total

    def chance_of_end(self, age_ms: float, within_ms: float) -> float:
        """Returns the probability that a holder of ``age_ms`` ends in time."""
        if within_ms <= 0:
            return 0.0
        left = self._longer_than(age_ms)
        if self._beyond[0] < _ENOUGH or left < 1.0:
            mean_ms = max(self.mean_ms, age_ms)
            return min(1.0, within_ms / mean_ms)
        return 1.0 - self._longer_than(age_ms + within_ms) / left

    def _longer_than(self, held_ms: float) -> float:
        """Returns the weight of longer holds, interpolated within a bucket."""
        place = bisect.bisect_left(self._edges_ms, held_ms)
        if place >= _BUCKETS:
            return self._counts[_BUCKETS]
        low_ms = self._edges_ms[place - 1] if place else 0.0
        share = (held_ms - low_ms) / (self._edges_ms[place] - low_ms)
        return self._beyond[place + 1] + self._counts[place] * (1.0 - share)
