"""Errors of operator calls and their conversion to error details."""

from __future__ import annotations

from jujubewharf import errors
from jujubewharf.operators import values


class OperatorError(errors.WharfError):
    """A failed operator call.

    Args:
        kind: Kind of the error, a row of the error table.
        detail: Description of this occurrence; must not contain a token.
        ran: Whether the call took effect; overrides the error table.
        operation_id: ID of the requested operation.
        generation: Current generation, if the error is about it; else 0.
        violations: Invalid fields of the resource.
        retry_after_ms: Delay before a retry in milliseconds, if known.
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
    """No instance was reachable; the call did not run."""


def to_detail(error: errors.WharfError) -> values.ErrorDetail:
    """Returns the error detail that is sent to the client."""
    row = error.response
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
        **{name: getattr(detail, name) for name in _SHARED_FIELDS},
        operation_id=error.operation_id,
        generation=error.generation,
        violations=error.violations,
    )


def from_detail(detail: values.ErrorDetail) -> OperatorError:
    """Returns the error that a received error detail describes.

    A kind that this version does not know becomes ``INTERNAL``. ``ran`` is
    kept, because the caller decides by it whether to retry.
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


_SHARED_FIELDS = (
    "kind",
    "ran",
    "retryable",
    "message",
    "detail",
    "retry_after_ms",
)
