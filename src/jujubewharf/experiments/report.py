"""Report of a run, serializable to JSON."""

from __future__ import annotations

import collections
from collections.abc import Sequence
import dataclasses
from typing import Any

from hdrh import histogram

from jujubewharf.configuration import resources
from jujubewharf.experiments import outcomes
from jujubewharf.experiments import truth as truths

_MAX_RECORDED_MS = 3_600_000
_PERCENTILES = (50, 90, 95, 99)
_DIGITS = 6


@dataclasses.dataclass(frozen=True, slots=True)
class ServiceReport:
    """Results of one service.

    Attributes:
        offered: Calls that arrived after the warm-up.
        finished: Calls that were answered completely.
        goodput: Calls that were answered within both latency targets.
        goodput_ratio: Goodput divided by the calls that were not cancelled.
        cancelled: Calls that were cancelled by the caller.
        refused: Calls that were finally rejected, by reason.
        retries: Retries by callers, by reason.
        lost: Calls without an answer or a rejection.
        doubled: Calls that were answered more than once.
        partial: Calls with an incomplete or incorrect answer.
        refused_but_ran: Calls rejected as not run that reached an engine.
        ttft_ms: Percentiles of the time to the first token or byte.
        completion_ms: Percentiles of the time to the last token or byte.
    """

    offered: int
    finished: int
    goodput: int
    goodput_ratio: float
    cancelled: int
    refused: dict[str, int]
    retries: dict[str, int]
    lost: int
    doubled: int
    partial: int
    refused_but_ran: int
    ttft_ms: dict[str, int]
    completion_ms: dict[str, int]


@dataclasses.dataclass(frozen=True, slots=True)
class Report:
    """Results of one run.

    Attributes:
        experiment: Name of the experiment.
        policy: Name of the routing policy.
        seed: Seed of the run.
        goodput_ratio: Goodput ratio over all model services.
        wasted_prefill_ratio: Share of prefill tokens that were never used.
        services: Results by service name.
        prefilled_tokens: Prompt tokens prefilled.
        wasted_prefill_tokens: Prefill tokens never used, by cause.
        leaked_slots: Decode slots still held at the end.
        max_dispatches_not_repeatable: Maximum number of dispatches of a call
            that is not repeatable.
        reattempts: Attempts beyond the first of each request.
        control_bytes_per_s: Mean and maximum peer traffic per instance.
    """

    experiment: str
    policy: str
    seed: int
    goodput_ratio: float
    wasted_prefill_ratio: float
    services: dict[str, ServiceReport]
    prefilled_tokens: int
    wasted_prefill_tokens: dict[str, int]
    leaked_slots: int
    max_dispatches_not_repeatable: int
    reattempts: int
    control_bytes_per_s: dict[str, float]

    @property
    def violations(self) -> dict[str, int]:
        """Guarantee violations by name; empty if there are none."""
        found = collections.Counter(leaked_slots=self.leaked_slots)
        over = max(0, self.max_dispatches_not_repeatable - 1)
        found["dispatched_twice"] = over
        for service in self.services.values():
            found["lost"] += service.lost
            found["doubled"] += service.doubled
            found["partial"] += service.partial
            found["refused_but_ran"] += service.refused_but_ran
        return {name: count for name, count in found.items() if count}

    def to_json(self) -> dict[str, Any]:
        """Returns the report as JSON-compatible data."""
        return dataclasses.asdict(self)


def service_report(
    service: resources.Service,
    call_outcomes: Sequence[outcomes.Outcome],
    truth: truths.Truth,
) -> ServiceReport:
    """Aggregates the outcomes of one service."""
    ends = collections.Counter(outcome.end for outcome in call_outcomes)
    finished = [o for o in call_outcomes if o.end is outcomes.End.FINISHED]
    good = sum(meets_targets(outcome, service) for outcome in finished)
    retries: collections.Counter[str] = collections.Counter()
    for outcome in call_outcomes:
        retries.update(outcome.retries)
    refused = collections.Counter(
        outcome.reason.value
        for outcome in call_outcomes
        if outcome.end is outcomes.End.REFUSED and outcome.reason is not None
    )
    not_cancelled = len(call_outcomes) - ends[outcomes.End.CANCELLED]
    return ServiceReport(
        offered=len(call_outcomes),
        finished=len(finished),
        goodput=good,
        goodput_ratio=ratio(good, not_cancelled),
        cancelled=ends[outcomes.End.CANCELLED],
        refused=dict(sorted(refused.items())),
        retries={k: n for k, n in sorted(retries.items()) if n},
        lost=ends[outcomes.End.LOST] + ends[None],
        doubled=sum(outcome.is_duplicated for outcome in call_outcomes),
        partial=sum(outcome.incorrect_answers > 0 for outcome in call_outcomes),
        refused_but_ran=sum(
            truth.ran_despite_rejection(o) for o in call_outcomes
        ),
        ttft_ms=_percentiles([o.first_ms for o in finished]),
        completion_ms=_percentiles([o.completion_ms for o in finished]),
    )


def meets_targets(
    outcome: outcomes.Outcome, service: resources.Service
) -> bool:
    """Whether a call was answered completely within both targets."""
    if outcome.first_ms is None or outcome.completion_ms is None:
        return False
    if outcome.incorrect_answers or outcome.is_duplicated:
        return False
    return (
        outcome.first_ms <= service.first_answer_target_ms
        and outcome.completion_ms <= service.completion_target_ms
    )


def ratio(part: float, whole: float) -> float:
    """Returns the rounded ratio, or 1 if ``whole`` is zero."""
    return round(part / whole, _DIGITS) if whole else 1.0


def _percentiles(values_ms: Sequence[float | None]) -> dict[str, int]:
    recorded = histogram.HdrHistogram(1, _MAX_RECORDED_MS, 3)
    for value_ms in values_ms:
        if value_ms is not None:
            recorded.record_value(max(1, round(value_ms)))
    found = {
        f"p{percentile}": int(recorded.get_value_at_percentile(percentile))
        for percentile in _PERCENTILES
    }
    return found | {"max": int(recorded.get_max_value())}
