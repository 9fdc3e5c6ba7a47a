"""Outcome of a call as seen by its caller."""

from __future__ import annotations

import collections
import dataclasses
import enum

from jujubewharf import errors
from jujubewharf.experiments import load


class End(enum.Enum):
    """How a call ended for its caller."""

    FINISHED = "finished"
    REFUSED = "refused"
    CANCELLED = "cancelled"
    LOST = "lost"


@dataclasses.dataclass(slots=True)
class Outcome:
    """Outcome of one call.

    Attributes:
        call: The call.
        began_ms: Clock time of the first send.
        end: How the call ended; ``None`` while it runs.
        reason: Error kind of the last rejection.
        first_ms: Time to the first token or byte; ``None`` without one.
        completion_ms: Time to the last token or byte.
        retries: Number of retries, by reason.
        request_ids: Ids of all requests sent for the call.
        rejected_as_not_run: Ids of requests rejected as not run.
        finished_attempts: Attempts whose final event the caller received.
        repeated_tokens: Tokens received twice in one stream.
        incorrect_answers: Number of incomplete or incorrect answers.
    """

    call: load.PlannedCall
    began_ms: float
    end: End | None = None
    reason: errors.ErrorKind | None = None
    first_ms: float | None = None
    completion_ms: float | None = None
    retries: collections.Counter[str] = dataclasses.field(
        default_factory=collections.Counter
    )
    request_ids: list[str] = dataclasses.field(default_factory=list)
    rejected_as_not_run: list[str] = dataclasses.field(default_factory=list)
    finished_attempts: list[str] = dataclasses.field(default_factory=list)
    repeated_tokens: int = 0
    incorrect_answers: int = 0

    @property
    def is_duplicated(self) -> bool:
        """Whether the caller received more than one answer."""
        return self.repeated_tokens > 0 or len(self.finished_attempts) > 1
