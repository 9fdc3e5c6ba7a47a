"""Estimates of the engine time that requests take."""

from __future__ import annotations

import collections
from collections.abc import Iterable
import dataclasses
import statistics

# Weight of one request in the moving averages. The last few dozen requests, a
# few seconds of load, determine them.
_MIN_WEIGHT = 0.05
# Number of prefills from which an estimate is available. Prefill speed differs
# by a factor of two between deployments. With a fixed default, two of three
# prefill engines were reassigned before the first requests, whose prefills then
# took up to 1.5 s instead of 0.2 s.
_MIN_PREFILLS = 6
# The same for responses, whose durations vary far more. With six, the mean was
# off by half and pools of the wrong size were ordered.
_MIN_RESPONSES = 12
# Number of completed responses from which short ones no longer dominate. The
# mean of the first twelve was 229 ms instead of 342 to 405 ms, which caused a
# decode engine to be reassigned.
_SETTLED_RESPONSES = 64
# Number of latest prefills that are considered, and the quantile that counts,
# from the fastest: slower ones were queued.
_MAX_PREFILLS = 64
_COUNTED_QUANTILE = 0.15
# Prefills that take less than this share of the median hit the prefix cache.
_CACHE_HIT_SHARE = 0.1
# The same for the time from reservation to first event. A high quantile, so
# that most requests that are placed this early meet their target.
_MAX_FIRST_EVENTS = 64
_FIRST_EVENT_QUANTILE = 0.75


@dataclasses.dataclass(frozen=True, slots=True)
class CostReport:
    """Cost estimates of one instance, with their sample sizes.

    Attributes:
        prefills: Number of prefills in the sample.
        prefill_ms: Time that one prompt keeps a prefill engine busy.
        responses: Number of responses in the sample.
        decode_ms: Time that one response would hold a decode engine's whole
            memory.
    """

    prefills: int = 0
    prefill_ms: float = 0.0
    responses: int = 0
    decode_ms: float = 0.0

    @property
    def sample_size(self) -> int:
        """Total sample size."""
        return self.prefills + self.responses

    @property
    def is_sufficient(self) -> bool:
        """Whether the sample is large enough to be used on its own."""
        return (
            self.prefills >= _MIN_PREFILLS and self.responses >= _MIN_RESPONSES
        )


@dataclasses.dataclass(frozen=True, slots=True)
class FleetCosts:
    """Cost estimates combined from several instances.

    Attributes:
        prefill_ms: See ``CostReport``; ``None`` if the samples are too small.
        decode_ms: See ``CostReport``; ``None`` if the samples are too small.
    """

    prefill_ms: float | None = None
    decode_ms: float | None = None

    @classmethod
    def from_reports(cls, reports: Iterable[CostReport]) -> FleetCosts:
        """Averages reports weighted by their sample sizes."""
        all_reports = list(reports)
        return cls(
            _weighted_mean(
                [(r.prefills, r.prefill_ms) for r in all_reports], _MIN_PREFILLS
            ),
            _weighted_mean(
                [(r.responses, r.decode_ms) for r in all_reports],
                _MIN_RESPONSES,
            ),
        )

    @property
    def is_known(self) -> bool:
        """Whether both estimates are available."""
        return self.prefill_ms is not None and self.decode_ms is not None


def _weighted_mean(
    values: list[tuple[int, float]], min_count: int
) -> float | None:
    total = sum(min(count, _MAX_PREFILLS) for count, _ in values)
    if total < min_count:
        return None
    return sum(min(n, _MAX_PREFILLS) * value for n, value in values) / total


@dataclasses.dataclass(frozen=True, slots=True)
class _Prefill:
    """One prefill; see ``CostEstimates.record_prefill``."""

    tokens: int
    took_ms: float
    busy_ms: float


class FleetCostEstimator:
    """Cost estimates of this instance combined with its followers' reports.

    A new leader has few observations of its own. Without the reports of others
    the pools would keep the wrong sizes through the first burst after a start
    or an election.

    Args:
        cost_estimates: Estimates of this instance; followers' requests count.
    """

    def __init__(self, cost_estimates: CostEstimates) -> None:
        self._cost_estimates = cost_estimates
        self._reports: dict[str, CostReport] = {}

    @property
    def report_count(self) -> int:
        """Number of other instances that have sent a report."""
        return len(self._reports)

    @property
    def estimates(self) -> FleetCosts:
        """Combined estimates of all instances."""
        return FleetCosts.from_reports(
            (*self._reports.values(), self._cost_estimates.report())
        )

    def add_report(self, instance: str, report: CostReport) -> None:
        """Stores the report of another instance."""
        self._reports[instance] = report


class CostEstimates:
    """Estimates of engine time per request, from recent requests."""

    def __init__(self) -> None:
        self._decode = _Average(_MIN_RESPONSES)
        self._projected = _Average(_MIN_RESPONSES)
        self._hold_time = _Average(_MIN_RESPONSES)
        self._reference_hold_time = _Average(_MIN_RESPONSES)
        self._first_event_ms: collections.deque[float] = collections.deque(
            maxlen=_MAX_FIRST_EVENTS
        )
        self._prompt_tokens = _Average(_MIN_PREFILLS)
        self._prefills: collections.deque[_Prefill] = collections.deque(
            maxlen=_MAX_PREFILLS
        )

    @property
    def decode_ms(self) -> float | None:
        """Time that a request would hold a decode engine's whole memory.

        On an engine of median speed: the duration of the response times its
        share of the memory. ``None`` before enough requests were observed.
        Until many responses have
        completed, projected durations of running ones are used instead: short
        responses complete first and would make the estimate too low.
        """
        return self._best_decode.value

    @property
    def _best_decode(self) -> _Average:
        """The average of decode times that is most reliable at present."""
        has_projected = self._projected.count > self._decode.count
        if self._decode.count < _SETTLED_RESPONSES and has_projected:
            return self._projected
        return self._decode

    @property
    def memory_hold_ms(self) -> float | None:
        """Mean time that a response holds its memory, or ``None``."""
        return self._hold_time.value

    @property
    def reference_hold_ms(self) -> float | None:
        """Mean hold time on an engine of median speed, or ``None``."""
        return self._reference_hold_time.value

    @property
    def first_event_ms(self) -> float | None:
        """Upper quartile of the time from reservation to first event."""
        if len(self._first_event_ms) < _MIN_PREFILLS:
            return None
        ordered = sorted(self._first_event_ms)
        return ordered[int(len(ordered) * _FIRST_EVENT_QUANTILE)]

    @property
    def prompt_tokens(self) -> float | None:
        """Mean prompt size in tokens, or ``None``."""
        return self._prompt_tokens.value

    @property
    def token_ms(self) -> float | None:
        """Prefill time per prompt token, or ``None``."""
        if self.prefill_ms is None or self.prompt_tokens is None:
            return None
        return self.prefill_ms / max(1.0, self.prompt_tokens)

    @property
    def prefill_ms(self) -> float | None:
        """Time that a prompt keeps a prefill engine busy, or ``None``."""
        if len(self._prefills) < _MIN_PREFILLS:
            return None
        return self._estimated_prefill_ms()

    def report(self) -> CostReport:
        """Returns the current estimates for other instances."""
        prefills = len(self._prefills)
        decode = self._best_decode
        return CostReport(
            prefills,
            self._estimated_prefill_ms() if prefills else 0.0,
            decode.count,
            decode.mean,
        )

    def _estimated_prefill_ms(self) -> float:
        sizes = [prefill.tokens for prefill in self._prefills]
        times_ms = [prefill.took_ms for prefill in self._prefills]
        # A prefill has a fixed cost as well as a cost per token, so each one
        # is compared with the expected time for its size.
        expected_ms = _fitted_times_ms(sizes, times_ms)
        ratios = [
            took_ms / expected
            for took_ms, expected in zip(times_ms, expected_ms, strict=True)
        ]
        min_ratio = statistics.median_high(ratios) * _CACHE_HIT_SHARE
        uncached_ratios = sorted(
            ratio for ratio in ratios if ratio >= min_ratio
        )
        counted_ratio = uncached_ratios[
            int(len(uncached_ratios) * _COUNTED_QUANTILE)
        ]
        fastest_ms = statistics.fmean(expected_ms) * counted_ratio
        busy_ms = statistics.fmean(
            prefill.busy_ms
            for prefill, ratio in zip(self._prefills, ratios, strict=True)
            if ratio >= min_ratio
        )
        return min(fastest_ms, busy_ms)

    def record_prefill(
        self,
        took_ms: float,
        *,
        prompt_tokens: int,
        busy_ms: float | None = None,
    ) -> None:
        """Records the duration of a prefill.

        The duration includes queueing at the engine, which would make
        prefills look expensive in a burst and cause decode engines to be
        reassigned. Hits in the prefix cache would make them look free.

        Args:
            took_ms: Time from the call to its response.
            prompt_tokens: Prompt size, in tokens.
            busy_ms: Part of ``took_ms`` since the engine's previous prefill
                ended, if known. It excludes queueing even if every prefill is
                queued, as after a restart of all instances under load. An
                estimate of 670 ms instead of 180 ms caused three of six decode
                engines to be reassigned at once.
        """
        if busy_ms is None:
            busy_ms = took_ms
        self._prompt_tokens.add(prompt_tokens)
        self._prefills.append(_Prefill(prompt_tokens, took_ms, busy_ms))

    def record_decode(
        self,
        took_ms: float,
        *,
        memory_share: float,
        relative_time: float = 1.0,
    ) -> None:
        """Records how long a response held its share of engine memory.

        Args:
            took_ms: Time for which it held its memory.
            memory_share: Its share of the engine's memory.
            relative_time: The engine's time relative to the median engine's.
        """
        reference_ms = took_ms / relative_time
        self._decode.add(reference_ms * memory_share)
        self._hold_time.add(took_ms)
        self._reference_hold_time.add(reference_ms)

    def record_projection(
        self,
        projected_ms: float,
        *,
        memory_share: float,
        relative_time: float = 1.0,
    ) -> None:
        """Records the projected duration of a running response.

        Args:
            projected_ms: Projected duration.
            memory_share: See ``record_decode``.
            relative_time: See ``record_decode``.
        """
        self._projected.add(projected_ms / relative_time * memory_share)

    def record_first_event(self, took_ms: float) -> None:
        """Records the time from reservation to first event."""
        self._first_event_ms.append(took_ms)


class _Average:
    """A moving average that is available from a given sample size."""

    def __init__(self, min_count: int) -> None:
        self._min_count = min_count
        self.mean = 0.0
        self.count = 0

    @property
    def value(self) -> float | None:
        return self.mean if self.count >= self._min_count else None

    def add(self, value: float) -> None:
        self.count += 1
        # The first values have equal weights, so that none dominates.
        weight = max(_MIN_WEIGHT, 1.0 / self.count)
        self.mean += weight * (value - self.mean)


def _fitted_times_ms(sizes: list[int], times_ms: list[float]) -> list[float]:
    """Returns the expected time for each size by linear regression."""
    mean_ms = statistics.fmean(times_ms)
    if len(set(sizes)) == 1:
        return [mean_ms] * len(sizes)
    slope, base_ms = statistics.linear_regression(sizes, times_ms)
    if slope < 0 or base_ms < 0:
        # Queueing hides the effect of size; assume a cost per token only.
        slope, base_ms = mean_ms / statistics.fmean(sizes), 0.0
    return [max(1.0, base_ms + slope * size) for size in sizes]
