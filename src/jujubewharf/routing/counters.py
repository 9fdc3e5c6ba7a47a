"""Counters of routing decisions."""

from __future__ import annotations

from opentelemetry import metrics

from jujubewharf import errors

_METER = metrics.get_meter("jujubewharf")
_SLOT_REQUESTS = _METER.create_counter(
    "routing.slot_asks", description="Asks for decode slots, by outcome."
)
_REFUSALS = _METER.create_counter(
    "routing.refusals", description="Requests given no place, by reason."
)
_FALLBACKS = _METER.create_counter(
    "routing.keeper_fallbacks",
    description="Asks judged here because a keeper gave no answer.",
)


def count_slot_answer(*, is_granted: bool, is_infeasible: bool) -> None:
    """Counts the response to a slot request."""
    outcome = "not_yet"
    if is_granted:
        outcome = "granted"
    elif is_infeasible:
        outcome = "hopeless"
    _SLOT_REQUESTS.add(1, {"outcome": outcome})


def count_refusal(kind: errors.ErrorKind) -> None:
    """Counts a request that was not placed."""
    _REFUSALS.add(1, {"reason": kind.value})


def count_fallback() -> None:
    """Counts a slot request that the engine's coordinator did not answer."""
    _FALLBACKS.add(1)
