"""Execution plans of a request, and its urgency."""

from __future__ import annotations

import dataclasses
import enum

from jujubewharf.routing import fleet as fleets
from jujubewharf.routing import jobs

_STEPS_TO_FIRST_TOKEN = 2.0


class Urgency(enum.Enum):
    """Priority offset in the wait queues for slots.

    ``RESUMED`` has already delivered tokens to the caller. ``LATE`` has missed
    its target for the first token, for example after a failure, or cannot meet
    it even without waiting. It gets only the remaining capacity, since a late
    response is better than none.
    """

    RESUMED = 1_000
    IN_TIME = 0
    LATE = -1_000


@dataclasses.dataclass(frozen=True, slots=True)
class Plan:
    """One way to run a request.

    Attributes:
        decode: Decode engine.
        prefill: Prefill engine; ``None`` if ``decode`` also runs prefill.
        ready_ms: Time from the start until the slot is needed: prefill is
            complete and the network link is free.
        link_wait_ms: Part of ``ready_ms`` spent waiting for the link.
        first_token_ms: Time from the start to the first token.
        wait_ms: Expected wait before the start.
    """

    decode: fleets.EngineView
    prefill: fleets.EngineView | None
    ready_ms: float
    link_wait_ms: float
    first_token_ms: float
    wait_ms: float


def first_steps_ms(view: fleets.EngineView) -> float:
    """Returns the time from the start of decode to the first token."""
    return view.step_ms * _STEPS_TO_FIRST_TOKEN


def urgency_of(job: jobs.Job, earliest_first_token_ms: float) -> Urgency:
    """Returns the urgency of a job by the earliest time of its first token."""
    if job.first_index > 0:
        return Urgency.RESUMED
    if earliest_first_token_ms > job.first_answer_by_ms:
        return Urgency.LATE
    return Urgency.IN_TIME
