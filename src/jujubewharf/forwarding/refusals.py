"""Status and headers of an error answer.

Some statuses promise that nothing ran.
"""

from __future__ import annotations

from jujubewharf import clock as clocks
from jujubewharf import errors

# Callers take these for the word that the request has not run and never will,
# and send it again although it may not be repeated.
PROMISES = frozenset({408, 421, 429, 503})
_UNKNOWN_OUTCOME = 504


def status_of(error: errors.WharfError) -> int:
    """The HTTP status of a failure.

    A status that promises that nothing ran is given only where that is known;
    whatever else the error's kind says.
    """
    status = error.answer.http_status
    if status in PROMISES and error.ran is not errors.Ran.NO:
        return _UNKNOWN_OUTCOME
    return status


def headers_of(error: errors.WharfError) -> dict[str, str]:
    """HTTP headers that tell a caller what to do about a failure.

    When to come back is told only where nothing ran: a caller that came back
    after a request of unknown outcome might have it run twice.
    """
    found: dict[str, str] = {}
    if error.retry_after_ms is not None and error.ran is errors.Ran.NO:
        seconds = error.retry_after_ms / clocks.MS_PER_S
        found["Retry-After"] = f"{seconds:.2f}"
    if error.kind is errors.ErrorKind.UNAUTHENTICATED:
        found["WWW-Authenticate"] = "Bearer"
    return found
