"""Ways to run a request, and how urgent it is."""

from __future__ import annotations

import dataclasses
import enum

from jujubewharf.routing import fleet as fleets
from jujubewharf.routing import jobs

_STEPS_TO_FIRST_TOKEN = 2.0


class Urgency(enum.Enum):
    """Adds to the priority in the lines for slots.

    ``RESUMED`` has tokens with its caller already. ``LATE`` has missed its
    first target, as after a failure, or can't meet it however short the
    lines are; it takes what is left over, for a late answer is better than
    none.
    """

    RESUMED = 1_000
    IN_TIME = 0
    LATE = -1_000


@dataclasses.dataclass(frozen=True, slots=True)
class Plan:
    """One way to run a request.

    Attributes:
        decode: Engine that writes.
        prefill: Engine that reads; ``None`` when ``decode`` does.
        ready_ms: Time from the start until the slot is needed, which is
            when the prompt was read and the link is free.
        pause_ms: Part of that which is spent waiting for the link.
        first_ms: Time from the start to the first token.
        wait_ms: Expected wait until it can start.
    """

    decode: fleets.EngineView
    prefill: fleets.EngineView | None
    ready_ms: float
    pause_ms: float
    first_ms: float
    wait_ms: float


def first_steps_ms(view: fleets.EngineView) -> float:
    """Time from the start of writing to the first token."""
    return view.step_ms * _STEPS_TO_FIRST_TOKEN


def urgency_of(job: jobs.Job, earliest_first_ms: float) -> Urgency:
    """How urgent a job is that could have its first token by then."""
    if job.first_index > 0:
        return Urgency.RESUMED
    if earliest_first_ms > job.first_answer_by_ms:
        return Urgency.LATE
    return Urgency.IN_TIME
