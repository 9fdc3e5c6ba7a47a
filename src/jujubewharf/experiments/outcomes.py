"""What a caller saw of one call."""

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
    """One caller's story.

    Attributes:
        call: The call.
        began_ms: When it was first sent.
        end: How it ended; ``None`` while it goes on.
        reason: Kind of the last refusal.
        first_ms: Time to the first token or byte; ``None`` without one.
        completion_ms: Time to the last.
        retries: Times it was sent again, by reason.
        request_ids: Ids under which it was sent.
        said_not_run: Ids of those that were refused as not run.
        attempts_finished: Attempts whose end the caller saw.
        repeated_tokens: Tokens that came twice in one stream.
        broken: Streams that were not the whole and right answer.
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
    said_not_run: list[str] = dataclasses.field(default_factory=list)
    attempts_finished: list[str] = dataclasses.field(default_factory=list)
    repeated_tokens: int = 0
    broken: int = 0

    @property
    def is_doubled(self) -> bool:
        """Whether the caller was answered more than once."""
        return self.repeated_tokens > 0 or len(self.attempts_finished) > 1
