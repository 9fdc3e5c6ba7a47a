"""Estimates how long requests hold a decode slot, from completed requests."""

from __future__ import annotations

import bisect
import itertools

_MIN_EDGE_MS = 50.0
_GROWTH = 1.1
_BUCKETS = 96
_DECAY = 0.998
_MIN_WEIGHT = 12.0


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
            _MIN_EDGE_MS * _GROWTH**bucket for bucket in range(_BUCKETS)
        ]
        self._weights = [0.0] * (_BUCKETS + 1)
        self._tail_weights = [0.0] * (_BUCKETS + 2)
        self._sum_ms = 0.0
        self._prior_ms = prior_ms

    def add(self, held_ms: float) -> None:
        """Adds the hold time of a completed request."""
        self._weights = [weight * _DECAY for weight in self._weights]
        self._weights[bisect.bisect_left(self._edges_ms, held_ms)] += 1.0
        self._sum_ms = self._sum_ms * _DECAY + held_ms
        tail_weights = itertools.accumulate(reversed(self._weights))
        self._tail_weights = [*reversed(list(tail_weights)), 0.0]

    @property
    def mean_ms(self) -> float:
        """Mean time for which a slot is held."""
        total = self._tail_weights[0]
        if total < _MIN_WEIGHT:
            return self._prior_ms
        return self._sum_ms / total

    def end_probability(self, age_ms: float, within_ms: float) -> float:
        """Returns the probability that a holder of ``age_ms`` ends in time."""
        if within_ms <= 0:
            return 0.0
        remaining = self._weight_above(age_ms)
        if self._tail_weights[0] < _MIN_WEIGHT or remaining < 1.0:
            mean_ms = max(self.mean_ms, age_ms)
            return min(1.0, within_ms / mean_ms)
        return 1.0 - self._weight_above(age_ms + within_ms) / remaining

    def _weight_above(self, held_ms: float) -> float:
        """Returns the weight of longer holds, interpolated within a bucket."""
        bucket = bisect.bisect_left(self._edges_ms, held_ms)
        if bucket >= _BUCKETS:
            return self._weights[_BUCKETS]
        low_ms = self._edges_ms[bucket - 1] if bucket else 0.0
        fraction = (held_ms - low_ms) / (self._edges_ms[bucket] - low_ms)
        return self._tail_weights[bucket + 1] + self._weights[bucket] * (
            1.0 - fraction
        )
