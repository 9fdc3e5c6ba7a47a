"""The status of an error answer; some statuses promise that nothing ran."""

from __future__ import annotations

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
