"""Observed times of one kind of work, and how fast each engine does it.

Load pattern: a time is compared with the expected time for its size, which is
the prompt's size or the load of the engine. A busy engine therefore doesn't
look slow, and an engine with long prompts doesn't either.
"""

from __future__ import annotations

import array
import collections
import dataclasses
import math
import statistics

# Slowdown that counts as a slowdown; smaller ones are within the noise.
SLOWDOWN_STEP = 1.1
# Number of observations below which an engine's figures don't count.
MIN_OBSERVATIONS = 4
# Number of newest observations of an engine that count.
_MAX_OBSERVATIONS = 24
# Size, time and slowdown, which an observation is stored as.
_VALUE_COUNT = 3
# Time without work after which an engine's observations are dropped. An engine
# that gets no work because it was slow is then unknown, and is tried again.
MAX_IDLE_MS = 60_000.0
# Quantile of the times that counts, from the fastest: times above it may
# include queueing, times far below it hits in the prefix cache.
_COUNTED_QUANTILE = 1 / 3
# Standard deviations of the quantile that its confidence interval covers.
# Engines whose interval includes the median engine's time count as equal.
_MARGIN_DEVIATIONS = 2.5
# Smallest share of a reported slowdown that observed times must show. Below
# it the report is ignored.
_CREDIBLE_SHARE = 0.5
# Number of observations of all engines to which the expected times are fitted.
_MAX_FITTED = 128
# Number below which they are not fitted.
MIN_FITTED = 16


@dataclasses.dataclass(frozen=True, slots=True)
class Observation:
    """Time that one piece of work took.

    Attributes:
        size: Size of the work, or load of the engine; 0 or more.
        took_ms: Time that the work took.
        slowdown: Slowdown that the engine reported at that time.
    """

    size: float
    took_ms: float
    slowdown: float

    @property
    def is_slowed(self) -> bool:
        """Whether the engine reported a slowdown."""
        return self.slowdown >= SLOWDOWN_STEP


class ExpectedTimes:
    """Expected time of work by its size, fitted to all engines' times.

    Only ratios of expected times matter, so the fit's scale has no meaning.

    Args:
        is_proportional: Whether time is assumed to grow in proportion to size
            where the observations don't show how it grows; otherwise it is
            assumed not to depend on size.
    """

    def __init__(self, *, is_proportional: bool) -> None:
        self._is_proportional = is_proportional
        self._observed: collections.deque[tuple[float, float]] = (
            collections.deque(maxlen=_MAX_FITTED)
        )
        self._base = 0.0 if is_proportional else 1.0
        self._slope = 1.0 if is_proportional else 0.0

    def add(self, observation: Observation) -> None:
        """Adds an observation to the next fit, unless it was slowed."""
        if not observation.is_slowed:
            self._observed.append((observation.size, observation.took_ms))

    def fit(self) -> None:
        """Fits the expected times to the newest observations."""
        if len(self._observed) < MIN_FITTED:
            return
        sizes = [size for size, _ in self._observed]
        times_ms = [took_ms for _, took_ms in self._observed]
        mean_ms = statistics.fmean(times_ms)
        slope, base = 0.0, mean_ms
        if len(set(sizes)) > 1:
            slope, base = statistics.linear_regression(sizes, times_ms)
        if slope <= 0.0 and self._is_proportional:
            slope, base = mean_ms / max(1.0, statistics.fmean(sizes)), 0.0
        elif slope <= 0.0:
            slope, base = 0.0, mean_ms
        elif base < 0.0:
            slope, base = mean_ms / max(1.0, statistics.fmean(sizes)), 0.0
        self._slope, self._base = slope, base

    def of_size(self, size: float) -> float:
        """Returns the expected time of work of a size."""
        return max(1e-6, self._base + self._slope * size)


@dataclasses.dataclass(frozen=True, slots=True)
class CountedTime:
    """A quantile of an engine's times relative to the expected ones.

    Attributes:
        time: The quantile.
        low: Lower end of its confidence interval.
        high: Upper end of its confidence interval.
        count: Number of observations.
    """

    time: float
    low: float
    high: float
    count: int

    def relative_to(self, reference: float) -> float:
        """Returns the ratio to the reference; 1.0 if it may be equal."""
        if self.low <= reference <= self.high:
            return 1.0
        return self.time / reference

    def divided_by(self, factor: float) -> CountedTime:
        """Returns the same times without a slowdown."""
        return CountedTime(
            self.time / factor,
            self.low / factor,
            self.high / factor,
            self.count,
        )


class EngineTimes:
    """Observed times of one engine for one kind of work.

    Attributes:
        worked_ms: Clock reading when the engine last completed work.
        usual: Times without a reported slowdown; ``None`` before there are
            enough observations.
        slowed: The same while the engine reported a slowdown, not divided by
            it.
        reported_slowdown: Median of the slowdowns reported with them.
    """

    __slots__ = (
        "_values",
        "reported_slowdown",
        "slowed",
        "usual",
        "worked_ms",
    )

    def __init__(self) -> None:
        self.worked_ms = 0.0
        self.usual: CountedTime | None = None
        self.slowed: CountedTime | None = None
        self.reported_slowdown = 1.0
        # Size, time and slowdown of each observation in turn. Objects would
        # take 44 MB for 5,900 engines.
        self._values = array.array("d")

    def add(self, observation: Observation) -> None:
        """Adds an observation; ``update`` counts it."""
        if len(self._values) >= _MAX_OBSERVATIONS * _VALUE_COUNT:
            del self._values[:_VALUE_COUNT]
        o = observation
        self._values.extend((o.size, o.took_ms, o.slowdown))

    def update(self, expected: ExpectedTimes) -> None:
        """Updates the figures from the observations."""
        usual: list[float] = []
        slowed: list[float] = []
        slowdowns: list[float] = []
        values = iter(self._values)
        for size, took_ms, slowdown in zip(values, values, values, strict=True):
            time = took_ms / expected.of_size(size)
            if slowdown >= SLOWDOWN_STEP:
                slowed.append(time)
                slowdowns.append(slowdown)
            else:
                usual.append(time)
        self.usual = _counted(usual)
        self.slowed = _counted(slowed)
        self.reported_slowdown = 1.0
        if self.slowed is not None:
            self.reported_slowdown = statistics.median(slowdowns)

    def is_credible(self, reference: float) -> bool:
        """Returns whether the reported slowdowns agree with observed times.

        Args:
            reference: Relative time of the median engine.
        """
        if self.slowed is None:
            return True
        usual = reference if self.usual is None else self.usual.time
        shown = self.slowed.time / usual
        return shown >= self.reported_slowdown * _CREDIBLE_SHARE

    def lasting(self, reference: float) -> CountedTime | None:
        """Returns the times without slowdown; ``None`` if they are unknown.

        An engine that always reports a slowdown has no times without one.
        """
        if self.usual is not None or self.slowed is None:
            return self.usual
        if not self.is_credible(reference):
            return self.slowed
        return self.slowed.divided_by(self.reported_slowdown)


def is_valid(took_ms: float, size: float) -> bool:
    """Returns whether a time and a size can be used."""
    return (
        math.isfinite(took_ms)
        and math.isfinite(size)
        and took_ms > 0.0
        and size >= 0.0
    )


def _counted(times: list[float]) -> CountedTime | None:
    count = len(times)
    if count < MIN_OBSERVATIONS:
        return None
    ordered = sorted(times)
    position = int(count * _COUNTED_QUANTILE)
    deviation = math.sqrt(count * _COUNTED_QUANTILE * (1.0 - _COUNTED_QUANTILE))
    margin = math.ceil(deviation * _MARGIN_DEVIATIONS)
    return CountedTime(
        ordered[position],
        ordered[max(0, position - margin)],
        ordered[min(count - 1, position + margin)],
        count,
    )
