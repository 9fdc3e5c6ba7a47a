"""Generates the calls of an experiment from its load model."""

from __future__ import annotations

from collections.abc import Iterator
import dataclasses
import math

import numpy as np

from jujubewharf import clock as clocks
from jujubewharf.experiments import models


@dataclasses.dataclass(frozen=True, slots=True)
class PlannedCall:
    """One scheduled call.

    Attributes:
        key: Idempotency key, unique in the run.
        at_ms: Arrival time from the start of the load.
        service: Name of the service called.
        is_plain: Whether it is a plain service.
        is_repeatable: Whether the call may be dispatched more than once.
        max_retries: Maximum number of retries after a rejection.
        cancel_after_ms: Time until the caller cancels; ``None`` for never.
        impatient_after_ms: Time without a first token until the caller
            retries at another instance; ``None`` for never.
        prompt: Prompt text; empty for plain calls.
        answer_tokens: Length of the whole answer in tokens.
        priority: Priority of the request.
    """

    key: str
    at_ms: float
    service: str
    is_plain: bool
    is_repeatable: bool
    max_retries: int
    cancel_after_ms: float | None = None
    impatient_after_ms: float | None = None
    prompt: str = ""
    answer_tokens: int = 0
    priority: int = 0


def plan(
    experiment: models.Experiment, rng: np.random.Generator
) -> list[PlannedCall]:
    """Generates all calls of a run, sorted by arrival time."""
    calls: list[PlannedCall] = []
    for number, load in enumerate(experiment.load):
        factor = experiment.load_factor if load.kind == "model" else 1.0
        end_ms = experiment.duration_s * clocks.MS_PER_S
        moments = _arrivals(load.arrivals, factor, end_ms, rng)
        for index, at_ms in enumerate(moments):
            key = f"c{number}-{index}"
            calls.append(_call(load, key, at_ms, rng))
    return sorted(calls, key=lambda call: (call.at_ms, call.key))


def _arrivals(
    arrivals: models.Arrivals,
    factor: float,
    end_ms: float,
    rng: np.random.Generator,
) -> Iterator[float]:
    """Samples an inhomogeneous Poisson process by thinning."""
    peak = max(point.per_s for point in arrivals.points) * factor
    peak *= math.prod(max(1.0, burst.factor) for burst in arrivals.bursts)
    if peak <= 0:
        return
    at_ms = 0.0
    while True:
        at_ms += rng.exponential(clocks.MS_PER_S / peak)
        if at_ms >= end_ms:
            return
        rate = _rate(arrivals, at_ms / clocks.MS_PER_S) * factor
        if rng.random() * peak < rate:
            yield at_ms


def _rate(arrivals: models.Arrivals, at_s: float) -> float:
    times = [point.at_s for point in arrivals.points]
    rates = [point.per_s for point in arrivals.points]
    rate = float(np.interp(at_s, times, rates))
    for burst in arrivals.bursts:
        if burst.at_s <= at_s < burst.at_s + burst.for_s:
            rate *= burst.factor
    return rate


def _call(
    load: models.ModelLoad | models.PlainLoad,
    key: str,
    at_ms: float,
    rng: np.random.Generator,
) -> PlannedCall:
    is_repeatable = bool(rng.random() >= load.not_repeatable_share)
    cancel_after_ms = None
    if rng.random() < load.cancel_share:
        cancel_after_ms = _draw(load.cancel_after_ms, rng)
    call = PlannedCall(
        key=key,
        at_ms=at_ms,
        service=load.service,
        is_plain=isinstance(load, models.PlainLoad),
        is_repeatable=is_repeatable,
        max_retries=load.come_backs,
        cancel_after_ms=cancel_after_ms,
    )
    if isinstance(load, models.PlainLoad):
        return call
    answer_tokens = max(1, round(_draw(load.answer_tokens, rng)))
    is_impatient = rng.random() < load.impatient_share
    return dataclasses.replace(
        call,
        impatient_after_ms=load.impatient_after_ms if is_impatient else None,
        prompt=_prompt(load, key, answer_tokens, rng),
        answer_tokens=answer_tokens,
        priority=load.priority,
    )


def _prompt(
    load: models.ModelLoad,
    key: str,
    answer_tokens: int,
    rng: np.random.Generator,
) -> str:
    tokens = max(3, round(_draw(load.prompt_tokens, rng)))
    words: list[str] = []
    if rng.random() < load.shared_prefix_share:
        family = rng.integers(load.shared_prefixes)
        words += [f"t{family}"] * min(tokens - 2, load.shared_prefix_tokens)
    words.append(key)
    words += ["w"] * (tokens - len(words) - 1)
    words.append(f"answer_tokens={answer_tokens}")
    return " ".join(words)


def _draw(distribution: models.Distribution, rng: np.random.Generator) -> float:
    match distribution:
        case models.Constant(value=value):
            return value
        case models.Uniform(low=low, high=high):
            return float(rng.uniform(low, high))
        case models.Lognormal(median=median, sigma=sigma):
            drawn = float(rng.lognormal(math.log(median), sigma))
            return min(distribution.high, max(distribution.low, drawn))
