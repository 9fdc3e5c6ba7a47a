"""HTTP status and headers of error responses.

Some statuses tell the caller that the request was not processed.
"""

from __future__ import annotations

from jujubewharf import clock as clocks
from jujubewharf import errors

# Callers retry requests that got one of these, even non-idempotent ones,
# because they take them to mean that the request was not processed.
NOT_RUN_STATUSES = frozenset({408, 421, 429, 503})
_GATEWAY_TIMEOUT = 504


def status_of(error: errors.WharfError) -> int:
    """Returns the HTTP status of an error.

    Statuses in ``NOT_RUN_STATUSES`` are only used if the request was certainly
    not processed; otherwise they are replaced by 504.
    """
    status = error.response.http_status
    if status in NOT_RUN_STATUSES and error.ran is not errors.Ran.NO:
        return _GATEWAY_TIMEOUT
    return status


def headers_of(error: errors.WharfError) -> dict[str, str]:
    """Returns the HTTP headers of an error response.

    ``Retry-After`` is only set if the request was certainly not processed, so
    that a request of unknown outcome is not repeated.
    """
    headers: dict[str, str] = {}
    if error.retry_after_ms is not None and error.ran is errors.Ran.NO:
        seconds = error.retry_after_ms / clocks.MS_PER_S
        headers["Retry-After"] = f"{seconds:.2f}"
    if error.kind is errors.ErrorKind.UNAUTHENTICATED:
        headers["WWW-Authenticate"] = "Bearer"
    return headers
