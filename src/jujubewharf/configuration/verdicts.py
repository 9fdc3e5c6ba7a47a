"""What the fold says of a record."""

from __future__ import annotations

import dataclasses
import enum

from jujubewharf import errors


class Outcome(enum.Enum):
    """The fold's verdict on one record; the value is the counter's reason.

    ``UNKNOWN_RECORD`` is kept whole until rules that know it are in force.
    ``MALFORMED`` is no record of any version and is dropped.
    """

    ACCEPTED = "accepted"
    CONFLICT = "conflict"
    INVALID = "invalid"
    UNSAFE = "unsafe"
    UNKNOWN_RECORD = "unknown_record"
    MALFORMED = "malformed"


_ERROR_OF: dict[Outcome, errors.ErrorKind] = {
    Outcome.CONFLICT: errors.ErrorKind.CONFIG_CONFLICT,
    Outcome.INVALID: errors.ErrorKind.CONFIG_INVALID,
    Outcome.UNSAFE: errors.ErrorKind.CONFIG_UNSAFE,
    Outcome.UNKNOWN_RECORD: errors.ErrorKind.CONFIG_INVALID,
    Outcome.MALFORMED: errors.ErrorKind.CONFIG_INVALID,
}


@dataclasses.dataclass(frozen=True, slots=True)
class Verdict:
    """What became of one change.

    Attributes:
        operation_id: Names the change; empty when it can't be read.
        offset: Where the change stands on the log.
        outcome: The verdict.
        detail: Why, for a person.
    """

    operation_id: str
    offset: int
    outcome: Outcome
    detail: str = ""

    @property
    def is_accepted(self) -> bool:
        """Whether the change is in force."""
        return self.outcome is Outcome.ACCEPTED

    @property
    def generation(self) -> int:
        """Generation the resource got, if the change was accepted."""
        return self.offset + 1

    def error(self) -> errors.WharfError | None:
        """The error to answer with; ``None`` for an accepted change."""
        kind = _ERROR_OF.get(self.outcome)
        if kind is None:
            return None
        return errors.WharfError(kind, self.detail)
