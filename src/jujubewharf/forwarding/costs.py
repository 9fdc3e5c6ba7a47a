"""What a request costs its engines, as this instance has measured it."""

from __future__ import annotations

import collections
from collections.abc import Iterable
import dataclasses
import statistics

# Weight of one request in the running averages; some dozen requests, a few
# seconds' worth, decide.
_WEIGHT = 0.05
# Requests that must have been seen before an average is told. Engines of one
# deployment read a prompt in twice the time of another's, so a figure taken
# for granted turns engines away that are needed from the first request on: two
# of three prefill engines were ordered off 5 s before it, and readings then
# took up to 1.5 s instead of 0.2 s.
_ENOUGH = 6
# The same for how long answers keep their memory, which differs far more from
# one to the next: with six, the mean was off by half, and pools of the wrong
# size were ordered.
_ENOUGH_STAYS = 12
# Ends from which on they are no longer mostly those of short answers.
_SETTLED_STAYS = 64
# Readings that are looked at, and the one that counts, from the fastest: slower
# ones waited for others.
_READINGS = 64
_COUNTED_PART = 0.15
# Readings that took less than this part of the median found the prompt in the
# cache.
_CACHED_PART = 0.1
# The same for the time from memory to an answer's first event: most requests
# that are placed so long before their target meet it.
_BEGINNINGS = 64
_BEGUN_PART = 0.75


@dataclasses.dataclass(frozen=True, slots=True)
class CostReport:
    """What one instance has observed, however little it rests on.

    Attributes:
        readings: Prompts that were read.
        prefill_ms: Time for which one keeps a prefill engine busy.
        answers: Answers that were written.
        decode_ms: Time for which one would keep a decode engine's whole memory.
    """

    readings: int = 0
    prefill_ms: float = 0.0
    answers: int = 0
    decode_ms: float = 0.0

    @property
    def count(self) -> int:
        """All that it rests on."""
        return self.readings + self.answers

    @property
    def is_enough(self) -> bool:
        """Whether it can be relied on by itself."""
        return self.readings >= _ENOUGH and self.answers >= _ENOUGH_STAYS


@dataclasses.dataclass(frozen=True, slots=True)
class FleetCosts:
    """What several instances have observed together.

    Attributes:
        prefill_ms: See ``CostReport``; ``None`` before enough was observed.
        decode_ms: The same.
    """

    prefill_ms: float | None = None
    decode_ms: float | None = None

    @classmethod
    def from_reports(cls, reports: Iterable[CostReport]) -> FleetCosts:
        """Weighs reports by what they rest on."""
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
        """Whether both costs are known."""
        return self.prefill_ms is not None and self.decode_ms is not None


def _weighted(values: list[tuple[int, float]], enough: int) -> float | None:
    total = sum(min(count, _READINGS) for count, _ in values)
    if total < enough:
        return None
    return sum(min(n, _READINGS) * value for n, value in values) / total


@dataclasses.dataclass(frozen=True, slots=True)
class _Reading:
    """One prompt that was read; see ``WorkCosts.prefilled``."""

    tokens: int
    took_ms: float
    busy_ms: float


class ReportedCosts:
    """What this instance and those that follow it have observed.

    The load this answers: the first burst after a start or a change of leader,
    with pools of the wrong size. A new leader has observed little itself, and
    would know what requests cost only when the burst is over.

    Args:
        work: What this instance has observed, also by its followers' word.
    """

    def __init__(self, work: WorkCosts) -> None:
        self._work = work
        self._told: dict[str, CostReport] = {}

    @property
    def instances(self) -> int:
        """Other instances that have told theirs."""
        return len(self._told)

    @property
    def fleet(self) -> FleetCosts:
        """All of it together."""
        return FleetCosts.from_reports(
            (*self._told.values(), self._work.report())
        )

    def told(self, instance: str, report: CostReport) -> None:
        """Learns what another instance had observed before."""
        self._told[instance] = report


class WorkCosts:
    """Running averages of the engine time that requests take."""

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
        """Time for which a request would keep a decode engine's memory busy.

        Its own time there, times its part of the memory; ``None`` before
        enough requests were seen. Until many have ended, those that run count
        with the time that they are going to take: the first answers end only
        after seconds, in which pools of the wrong size lose most, and of those
        that run together the short ones end first. The first twelve ends told
        229 ms where 342 to 405 were true, and a decode engine was ordered away.
        """
        return self._answers.value

    @property
    def _answers(self) -> _Average:
        """What answers take, by whichever tells it best now."""
        has_projected = self._projected.count > self._decode.count
        if self._decode.count < _SETTLED_STAYS and has_projected:
            return self._projected
        return self._decode

    @property
    def stay_ms(self) -> float | None:
        """Time for which an answer keeps its memory, as above."""
        return self._stay.value

    @property
    def begin_ms(self) -> float | None:
        """Time from memory to the first event, as above."""
        if len(self._begin_ms) < _ENOUGH:
            return None
        ordered = sorted(self._begin_ms)
        return ordered[int(len(ordered) * _BEGUN_PART)]

    @property
    def prompt_tokens(self) -> float | None:
        """Mean size of prompts, as above."""
        return self._prompt_tokens.value

    @property
    def token_ms(self) -> float | None:
        """Time for which a prompt's token keeps a prefill engine busy."""
        if self.prefill_ms is None or self.prompt_tokens is None:
            return None
        return self.prefill_ms / max(1.0, self.prompt_tokens)

    @property
    def prefill_ms(self) -> float | None:
        """Time for which a prompt keeps a prefill engine busy, as above."""
        if len(self._readings) < _ENOUGH:
            return None
        return self._reading_ms()

    def report(self) -> CostReport:
        """What was observed so far, for other instances."""
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
        # Reading has a fixed cost beside that of each token, so a reading is
        # compared with what one of its size takes.
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
        """Learns how long a prompt took to be read.

        That includes the wait for others that were read before it. In a burst
        it would make reading look dear and call for another prefill engine,
        which is then missing for writing. A prompt that a caller sends again
        is found in the cache, and would make reading look free.

        Args:
            took_ms: Time from the call to the answer.
            prompt_tokens: Size of the prompt.
            busy_ms: The part of it after the engine's last reading had ended,
                where that is known. When all readings wait, as after a restart
                of all instances under load, only that tells what one costs: a
                figure of 670 instead of 180 ms had three of six decode engines
                ordered away at once.
        """
        if busy_ms is None:
            busy_ms = took_ms
        self._prompt_tokens.add(prompt_tokens)
        self._readings.append(_Reading(prompt_tokens, took_ms, busy_ms))

    def decoded(self, took_ms: float, *, memory_part: float) -> None:
        """Learns how long a request kept its part of a decode engine."""
        self._decode.add(took_ms * memory_part)
        self._stay.add(took_ms)

    def projected(self, will_take_ms: float, *, memory_part: float) -> None:
        """Learns how long a request that runs is going to keep its memory."""
        self._projected.add(will_take_ms * memory_part)

    def began(self, took_ms: float) -> None:
        """Learns the time from memory to an answer's first event."""
        self._begin_ms.append(took_ms)


class _Average:
    """A running average that is told once it rests on enough values."""

    def __init__(self, enough: int) -> None:
        self._enough = enough
        self.mean = 0.0
        self.count = 0

    @property
    def value(self) -> float | None:
        return self.mean if self.count >= self._enough else None

    def add(self, value: float) -> None:
        self.count += 1
        # The first ones count alike, so that none of them decides for long.
        weight = max(_WEIGHT, 1.0 / self.count)
        self.mean += weight * (value - self.mean)


def _line(sizes: list[int], times_ms: list[float]) -> list[float]:
    """What readings of these sizes take, by the straight line through all."""
    mean_ms = statistics.fmean(times_ms)
    if len(set(sizes)) == 1:
        return [mean_ms] * len(sizes)
    slope, base_ms = statistics.linear_regression(sizes, times_ms)
    if slope < 0 or base_ms < 0:
        # Waits hide what the size does; then each token counts alike.
        slope, base_ms = mean_ms / statistics.fmean(sizes), 0.0
    return [max(1.0, base_ms + slope * size) for size in sizes]
