"""Failures of operator calls, made from the error table."""

from __future__ import annotations

from jujubewharf import errors
from jujubewharf.operators import values


class OperatorError(errors.WharfError):
    """A failed operator call.

    Args:
        kind: Row of the error table.
        detail: What was wrong this time; never a token.
        ran: Overrides the table's word.
        operation_id: Operation the call asked for.
        generation: Generation in force, where that is the matter.
        violations: Faults of the resource.
        retry_after_ms: When to come back, if known.
    """

    def __init__(
        self,
        kind: errors.ErrorKind,
        detail: str = "",
        *,
        ran: errors.Ran | None = None,
        operation_id: str = "",
        generation: int = 0,
        violations: tuple[values.Violation, ...] = (),
        retry_after_ms: float | None = None,
    ) -> None:
        super().__init__(kind, detail, ran=ran, retry_after_ms=retry_after_ms)
        self.operation_id = operation_id
        self.generation = generation
        self.violations = violations


class UnreachableError(Exception):
    """No server of the list was reached; nothing ran."""


def detail_of(error: errors.WharfError) -> values.ErrorDetail:
    """What the interface tells of a failure."""
    row = error.answer
    detail = values.ErrorDetail(
        kind=error.kind.value,
        ran=error.ran,
        retryable=row.retryable,
        message=row.message,
        detail=error.detail,
        retry_after_ms=error.retry_after_ms,
    )
    if not isinstance(error, OperatorError):
        return detail
    return values.ErrorDetail(
        **{name: getattr(detail, name) for name in _SHARED},
        operation_id=error.operation_id,
        generation=error.generation,
        violations=error.violations,
    )


def from_detail(detail: values.ErrorDetail) -> OperatorError:
    """The failure that an answer tells of.

    A kind from a newer version than this one becomes ``INTERNAL``; the word
    on whether it ran is kept, for the caller's next step hangs on it.
    """
    try:
        kind = errors.ErrorKind(detail.kind)
        text = detail.detail
    except ValueError:
        kind = errors.ErrorKind.INTERNAL
        text = f"{detail.kind}: {detail.message} {detail.detail}".strip()
    return OperatorError(
        kind,
        text,
        ran=detail.ran,
        operation_id=detail.operation_id,
        generation=detail.generation,
        violations=detail.violations,
        retry_after_ms=detail.retry_after_ms,
    )


_SHARED = ("kind", "ran", "retryable", "message", "detail", "retry_after_ms")
