"""Estimates of the engine time that requests take."""

from __future__ import annotations

import collections
from collections.abc import Iterable
import dataclasses
import statistics

# Weight of one request in the moving averages.
_WEIGHT = 0.05
# Number of prefills from which an estimate is available. Prefill speed differs
# between deployments, so a fixed default could cause engines to be reassigned
# before the first requests.
_ENOUGH = 6
# The same for responses, whose durations vary far more.
_ENOUGH_STAYS = 12
# Number of completed responses from which short ones no longer dominate.
_SETTLED_STAYS = 64
# Number of latest prefills that are considered, and the quantile that counts,
# from the fastest: slower ones were queued.
_READINGS = 64
_COUNTED_PART = 0.15
# Prefills that take less than this share of the median hit the prefix cache.
_CACHED_PART = 0.1
# The same for the time from reservation to first event. A high quantile, so
# that most requests that are placed this early meet their target.
_BEGINNINGS = 64
_BEGUN_PART = 0.75


@dataclasses.dataclass(frozen=True, slots=True)
class CostReport:
    """Cost estimates of one instance, with their sample sizes.

    Attributes:
        readings: Number of prefills.
        prefill_ms: Time that one prompt keeps a prefill engine busy.
        answers: Number of responses.
        decode_ms: Time that one response would hold a decode engine's whole
            memory.
    """

    readings: int = 0
    prefill_ms: float = 0.0
    answers: int = 0
    decode_ms: float = 0.0

    @property
    def count(self) -> int:
        """Total sample size."""
        return self.readings + self.answers

    @property
    def is_enough(self) -> bool:
        """Whether the sample is large enough to be used on its own."""
        return self.readings >= _ENOUGH and self.answers >= _ENOUGH_STAYS


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
            _weighted(
                [(r.readings, r.prefill_ms) for r in all_reports], _ENOUGH
            ),
            _weighted(
                [(r.answers, r.decode_ms) for r in all_reports], _ENOUGH_STAYS
            ),
        )

    @property
    def is_known(self) -> bool:
        """Whether both estimates are available."""
        return self.prefill_ms is not None and self.decode_ms is not None


def _weighted(values: list[tuple[int, float]], enough: int) -> float | None:
    total = sum(min(count, _READINGS) for count, _ in values)
    if total < enough:
        return None
    return sum(min(n, _READINGS) * value for n, value in values) / total


@dataclasses.dataclass(frozen=True, slots=True)
class _Reading:
    """One prefill; see ``WorkCosts.prefilled``."""

    tokens: int
    took_ms: float
    busy_ms: float


class ReportedCosts:
    """Cost estimates of this instance combined with its followers' reports.

    A new leader has few observations of its own. Without the reports of others
    the pools would keep the wrong sizes through the first burst after a start
    or an election.

    Args:
        work: Estimates of this instance, including requests of followers.
    """

    def __init__(self, work: WorkCosts) -> None:
        self._work = work
        self._told: dict[str, CostReport] = {}

    @property
    def instances(self) -> int:
        """Number of other instances that have sent a report."""
        return len(self._told)

    @property
    def fleet(self) -> FleetCosts:
        """Combined estimates of all instances."""
        return FleetCosts.from_reports(
            (*self._told.values(), self._work.report())
        )

    def told(self, instance: str, report: CostReport) -> None:
        """Stores the report of another instance."""
        self._told[instance] = report


class WorkCosts:
    """Estimates of engine time per request, from recent requests."""

    def __init__(self) -> None:
        self._decode = _Average(_ENOUGH_STAYS)
        self._projected = _Average(_ENOUGH_STAYS)
        self._stay = _Average(_ENOUGH_STAYS)
        self._begin_ms: collections.deque[float] = collections.deque(
            maxlen=_BEGINNINGS
        )
        self._prompt_tokens = _Average(_ENOUGH)
        self._readings: collections.deque[_Reading] = collections.deque(
            maxlen=_READINGS
        )

    @property
    def decode_ms(self) -> float | None:
        """Time that a request would hold a decode engine's whole memory.

        The duration of the response times its share of the memory; ``None``
        before enough requests were observed. Until many responses have
        completed, projected durations of running ones are used as well: short
        responses complete first and would make the estimate too low.
        """
        return self._answers.value

    @property
    def _answers(self) -> _Average:
        """The average of decode times that is most reliable at present."""
        has_projected = self._projected.count > self._decode.count
        if self._decode.count < _SETTLED_STAYS and has_projected:
            return self._projected
        return self._decode

    @property
    def stay_ms(self) -> float | None:
        """Mean time that a response holds its memory, or ``None``."""
        return self._stay.value

    @property
    def begin_ms(self) -> float | None:
        """Time from reservation to first event, or ``None``."""
        if len(self._begin_ms) < _ENOUGH:
            return None
        ordered = sorted(self._begin_ms)
        return ordered[int(len(ordered) * _BEGUN_PART)]

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
        if len(self._readings) < _ENOUGH:
            return None
        return self._reading_ms()

    def report(self) -> CostReport:
        """Returns the current estimates for other instances."""
        readings = len(self._readings)
        answers = self._answers
        return CostReport(
            readings,
            self._reading_ms() if readings else 0.0,
            answers.count,
            answers.mean,
        )

    def _reading_ms(self) -> float:
        sizes = [reading.tokens for reading in self._readings]
        times_ms = [reading.took_ms for reading in self._readings]
        # A prefill has a fixed cost as well as a cost per token, so each one
        # is compared with the expected time for its size.
        usual_ms = _line(sizes, times_ms)
        parts = [
            took_ms / usual
            for took_ms, usual in zip(times_ms, usual_ms, strict=True)
        ]
        least = statistics.median_high(parts) * _CACHED_PART
        read = sorted(part for part in parts if part >= least)
        counted = read[int(len(read) * _COUNTED_PART)]
        fastest_ms = statistics.fmean(usual_ms) * counted
        busy_ms = statistics.fmean(
            reading.busy_ms
            for reading, part in zip(self._readings, parts, strict=True)
            if part >= least
        )
        return min(fastest_ms, busy_ms)

    def prefilled(
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
                queued, as after a restart of all instances under load.
        """
        if busy_ms is None:
            busy_ms = took_ms
        self._prompt_tokens.add(prompt_tokens)
        self._readings.append(_Reading(prompt_tokens, took_ms, busy_ms))

    def decoded(self, took_ms: float, *, memory_part: float) -> None:
        """Records how long a response held its share of engine memory."""
        self._decode.add(took_ms * memory_part)
        self._stay.add(took_ms)

    def projected(self, will_take_ms: float, *, memory_part: float) -> None:
        """Records the projected duration of a running response."""
        self._projected.add(will_take_ms * memory_part)

    def began(self, took_ms: float) -> None:
        """Records the time from reservation to first event."""
        self._begin_ms.append(took_ms)


class _Average:
    """A moving average that is available from a given sample size."""

    def __init__(self, enough: int) -> None:
        self._enough = enough
        self.mean = 0.0
        self.count = 0

    @property
    def value(self) -> float | None:
        return self.mean if self.count >= self._enough else None

    def add(self, value: float) -> None:
        self.count += 1
        # The first values have equal weights, so that none dominates.
        weight = max(_WEIGHT, 1.0 / self.count)
        self.mean += weight * (value - self.mean)


def _line(sizes: list[int], times_ms: list[float]) -> list[float]:
    """Returns the expected time for each size by linear regression."""
    mean_ms = statistics.fmean(times_ms)
    if len(set(sizes)) == 1:
        return [mean_ms] * len(sizes)
    slope, base_ms = statistics.linear_regression(sizes, times_ms)
    if slope < 0 or base_ms < 0:
        # Queueing hides the effect of size; assume a cost per token only.
        slope, base_ms = mean_ms / statistics.fmean(sizes), 0.0
    return [max(1.0, base_ms + slope * size) for size in sizes]
