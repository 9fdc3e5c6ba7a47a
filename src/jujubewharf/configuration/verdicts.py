"""Verdicts on records of the configuration log."""

from __future__ import annotations

import dataclasses
import enum

from jujubewharf import errors


class Outcome(enum.Enum):
    """Outcome of one record; the value is a metric label.

    An ``UNKNOWN_RECORD`` is kept until rules that support it are in force. A
    ``MALFORMED`` record is invalid in all versions and is dropped.
    """

    ACCEPTED = "accepted"
    CONFLICT = "conflict"
    INVALID = "invalid"
    UNSAFE = "unsafe"
    UNKNOWN_RECORD = "unknown_record"
    MALFORMED = "malformed"


_ERROR_KINDS: dict[Outcome, errors.ErrorKind] = {
    Outcome.CONFLICT: errors.ErrorKind.CONFIG_CONFLICT,
    Outcome.INVALID: errors.ErrorKind.CONFIG_INVALID,
    Outcome.UNSAFE: errors.ErrorKind.CONFIG_UNSAFE,
    Outcome.UNKNOWN_RECORD: errors.ErrorKind.CONFIG_INVALID,
    Outcome.MALFORMED: errors.ErrorKind.CONFIG_INVALID,
}


@dataclasses.dataclass(frozen=True, slots=True)
class Verdict:
    """Verdict on one change.

    Attributes:
        operation_id: ID of the change; empty if it can't be decoded.
        offset: Log offset of the change.
        outcome: Whether the change was accepted, or why not.
        detail: Human-readable reason.
    """

    operation_id: str
    offset: int
    outcome: Outcome
    detail: str = ""

    @property
    def is_accepted(self) -> bool:
        """Whether the change was accepted."""
        return self.outcome is Outcome.ACCEPTED

    @property
    def generation(self) -> int:
        """New generation of the resource, if the change was accepted."""
        return self.offset + 1

    def error(self) -> errors.WharfError | None:
        """Returns the error for the caller; ``None`` if accepted."""
        kind = _ERROR_KINDS.get(self.outcome)
        if kind is None:
            return None
        return errors.WharfError(kind, self.detail)
