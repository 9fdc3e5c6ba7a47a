"""All error kinds, and the table of their responses.

The table holds every error that callers or operators can get. ``ran`` is a
guarantee: ``Ran.NO`` may be used only if no engine or endpoint can have
received the request; otherwise it is ``Ran.UNKNOWN``.
"""

from __future__ import annotations

import dataclasses
import enum


class Ran(enum.Enum):
    """Whether the failed request ran."""

    NO = "no"
    YES = "yes"
    UNKNOWN = "unknown"


class ErrorKind(enum.Enum):
    """Kinds of failure; the value is the ``reason`` label of the counters."""

    BAD_REQUEST = "bad_request"
    BODY_TOO_LARGE = "body_too_large"
    SLOW_BODY = "slow_body"
    MEMORY_FULL = "memory_full"
    UNAUTHENTICATED = "unauthenticated"
    FORBIDDEN = "forbidden"
    UNKNOWN_SERVICE = "unknown_service"
    UNKNOWN_RESOURCE = "unknown_resource"
    RATE_LIMITED = "rate_limited"
    TOO_MANY_IN_FLIGHT = "too_many_in_flight"
    QUEUE_FULL = "queue_full"
    DEADLINE_UNREACHABLE = "deadline_unreachable"
    NO_FITTING_ENGINE = "no_fitting_engine"
    STREAM_ORIGIN_UNKNOWN = "stream_origin_unknown"
    STREAM_VERSION_GONE = "stream_version_gone"
    NOT_READY = "not_ready"
    SHUTTING_DOWN = "shutting_down"
    KEY_CONFLICT = "key_conflict"
    KEY_EXPIRED = "key_expired"
    CLAIM_UNAVAILABLE = "claim_unavailable"
    CLAIM_LOST = "claim_lost"
    CLAIM_UNKNOWN = "claim_unknown"
    OUTCOME_UNKNOWN = "outcome_unknown"
    DEADLINE_EXCEEDED = "deadline_exceeded"
    ENGINE_FAILED = "engine_failed"
    ENDPOINT_FAILED = "endpoint_failed"
    ANSWER_BROKEN = "answer_broken"
    QUARANTINED = "quarantined"
    CANCELLED = "cancelled"
    CONFIG_INVALID = "config_invalid"
    CONFIG_CONFLICT = "config_conflict"
    CONFIG_UNSAFE = "config_unsafe"
    LOG_UNAVAILABLE = "log_unavailable"
    OPERATION_UNKNOWN = "operation_unknown"
    INTERNAL = "internal"


@dataclasses.dataclass(frozen=True, slots=True)
class ErrorResponse:
    """Response to one kind of error.

    Attributes:
        http_status: HTTP status for callers.
        grpc_code: Name of the ``grpc.StatusCode`` for operators.
        ran: Whether the request ran.
        retryable: Whether a retry of the same request may succeed.
        message: Human-readable message of one sentence.
    """

    http_status: int
    grpc_code: str
    ran: Ran
    retryable: bool
    message: str


_NO, _YES, _UNKNOWN = Ran.NO, Ran.YES, Ran.UNKNOWN

TABLE: dict[ErrorKind, ErrorResponse] = {
    ErrorKind.BAD_REQUEST: ErrorResponse(
        400, "INVALID_ARGUMENT", _NO, False, "The request is malformed."
    ),
    ErrorKind.BODY_TOO_LARGE: ErrorResponse(
        413, "INVALID_ARGUMENT", _NO, False, "The body is over the limit."
    ),
    ErrorKind.SLOW_BODY: ErrorResponse(
        408, "DEADLINE_EXCEEDED", _NO, True, "The body came too slowly."
    ),
    ErrorKind.MEMORY_FULL: ErrorResponse(
        503,
        "RESOURCE_EXHAUSTED",
        _NO,
        True,
        "Memory for requests of this size is full.",
    ),
    ErrorKind.UNAUTHENTICATED: ErrorResponse(
        401, "UNAUTHENTICATED", _NO, False, "The token is missing or unknown."
    ),
    ErrorKind.FORBIDDEN: ErrorResponse(
        403, "PERMISSION_DENIED", _NO, False, "The identity may not do this."
    ),
    ErrorKind.UNKNOWN_SERVICE: ErrorResponse(
        404, "NOT_FOUND", _NO, False, "No such service is configured."
    ),
    ErrorKind.UNKNOWN_RESOURCE: ErrorResponse(
        404, "NOT_FOUND", _NO, False, "No such resource is configured."
    ),
    ErrorKind.RATE_LIMITED: ErrorResponse(
        429, "RESOURCE_EXHAUSTED", _NO, True, "The account's rate is used up."
    ),
    ErrorKind.TOO_MANY_IN_FLIGHT: ErrorResponse(
        429, "RESOURCE_EXHAUSTED", _NO, True, "Too many requests in flight."
    ),
    ErrorKind.QUEUE_FULL: ErrorResponse(
        503, "RESOURCE_EXHAUSTED", _NO, True, "The service's queue is full."
    ),
    ErrorKind.DEADLINE_UNREACHABLE: ErrorResponse(
        503, "RESOURCE_EXHAUSTED", _NO, True, "The targets can't be met now."
    ),
    ErrorKind.NO_FITTING_ENGINE: ErrorResponse(
        503, "UNAVAILABLE", _NO, True, "No engine fits the request now."
    ),
    ErrorKind.STREAM_ORIGIN_UNKNOWN: ErrorResponse(
        503,
        "FAILED_PRECONDITION",
        _NO,
        True,
        "Which software version began the stream is not known; begin anew.",
    ),
    ErrorKind.STREAM_VERSION_GONE: ErrorResponse(
        503,
        "FAILED_PRECONDITION",
        _NO,
        True,
        "No engine of the stream's software version is left; begin anew.",
    ),
    ErrorKind.NOT_READY: ErrorResponse(
        503, "UNAVAILABLE", _NO, True, "This instance is still starting."
    ),
    ErrorKind.SHUTTING_DOWN: ErrorResponse(
        503, "UNAVAILABLE", _NO, True, "This instance is shutting down."
    ),
    ErrorKind.KEY_CONFLICT: ErrorResponse(
        422,
        "ALREADY_EXISTS",
        _NO,
        False,
        "The idempotency key was used with another body.",
    ),
    ErrorKind.KEY_EXPIRED: ErrorResponse(
        409,
        "FAILED_PRECONDITION",
        _UNKNOWN,
        False,
        "The key's earlier answer is no longer kept.",
    ),
    ErrorKind.CLAIM_UNAVAILABLE: ErrorResponse(
        503,
        "UNAVAILABLE",
        _UNKNOWN,
        True,
        "A request that may not be repeated can't be claimed now.",
    ),
    ErrorKind.CLAIM_LOST: ErrorResponse(
        409,
        "ABORTED",
        _UNKNOWN,
        False,
        "The key was claimed before and its answer can't be had here.",
    ),
    ErrorKind.CLAIM_UNKNOWN: ErrorResponse(
        409,
        "FAILED_PRECONDITION",
        _UNKNOWN,
        False,
        "Whether a request with this key has run is no longer known.",
    ),
    ErrorKind.OUTCOME_UNKNOWN: ErrorResponse(
        504,
        "UNKNOWN",
        _UNKNOWN,
        False,
        "The request was handed over and its outcome is unknown.",
    ),
    ErrorKind.DEADLINE_EXCEEDED: ErrorResponse(
        504, "DEADLINE_EXCEEDED", _YES, True, "The deadline passed."
    ),
    ErrorKind.ENGINE_FAILED: ErrorResponse(
        502, "UNAVAILABLE", _YES, True, "Every attempt failed on its engine."
    ),
    ErrorKind.ENDPOINT_FAILED: ErrorResponse(
        502, "UNAVAILABLE", _UNKNOWN, True, "The endpoint failed."
    ),
    ErrorKind.ANSWER_BROKEN: ErrorResponse(
        502, "DATA_LOSS", _YES, True, "The answer's digest did not match."
    ),
    # Not retryable: each further run may crash another engine.
    ErrorKind.QUARANTINED: ErrorResponse(
        500, "INTERNAL", _YES, False, "Engines crash while they run it."
    ),
    ErrorKind.CANCELLED: ErrorResponse(
        499, "CANCELLED", _UNKNOWN, False, "The caller cancelled."
    ),
    ErrorKind.CONFIG_INVALID: ErrorResponse(
        400, "INVALID_ARGUMENT", _NO, False, "The resource is not valid."
    ),
    ErrorKind.CONFIG_CONFLICT: ErrorResponse(
        409, "ABORTED", _NO, True, "Another change came first."
    ),
    ErrorKind.CONFIG_UNSAFE: ErrorResponse(
        409,
        "FAILED_PRECONDITION",
        _NO,
        False,
        "The change would empty a pool in use; force it to go on.",
    ),
    ErrorKind.LOG_UNAVAILABLE: ErrorResponse(
        503, "UNAVAILABLE", _NO, True, "The platform's log can't be reached."
    ),
    ErrorKind.OPERATION_UNKNOWN: ErrorResponse(
        504,
        "UNKNOWN",
        _UNKNOWN,
        False,
        "The change's outcome is unknown; look its operation up later.",
    ),
    ErrorKind.INTERNAL: ErrorResponse(
        500, "INTERNAL", _UNKNOWN, False, "An internal error occurred."
    ),
}


class WharfError(Exception):
    """Base exception for failures that are reported to callers or operators.

    Args:
        kind: Kind of the error, which selects the response.
        detail: Description of this failure; never contains tokens or prompts.
        retry_after_ms: Milliseconds after which to retry, if known.
        ran: Overrides the table's value if more is known about this request.
    """

    def __init__(
        self,
        kind: ErrorKind,
        detail: str = "",
        *,
        retry_after_ms: float | None = None,
        ran: Ran | None = None,
    ) -> None:
        super().__init__(f"{kind.value}: {detail}" if detail else kind.value)
        self.kind = kind
        self.detail = detail
        self.retry_after_ms = retry_after_ms
        self.ran = ran if ran is not None else TABLE[kind].ran

    @property
    def response(self) -> ErrorResponse:
        """The table's entry for this kind of error."""
        return TABLE[self.kind]
