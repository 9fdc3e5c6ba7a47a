"""Error responses of the caller edge, built from the error table."""

from __future__ import annotations

from collections.abc import Mapping
import math

from aiohttp import web
from opentelemetry import metrics

from jujubewharf import clock as clocks
from jujubewharf import errors
from jujubewharf.requests import model_request

_refusals = metrics.get_meter("jujubewharf").create_counter(
    "callers.refusals",
    description="Error answers to callers, by reason.",
)


def error_body(
    kind: errors.ErrorKind, ran: errors.Ran, detail: str = ""
) -> dict[str, object]:
    """Builds the JSON body of an error in the OpenAI format."""
    row = errors.TABLE[kind]
    message = f"{row.message} {detail}".strip()
    return {
        "error": {
            "message": message,
            "type": kind.value,
            "code": kind.value,
            "ran": ran.value,
            "retryable": row.retryable,
        }
    }


def error_headers(
    kind: errors.ErrorKind, retry_after_ms: float | None
) -> dict[str, str]:
    """Builds the headers that tell a client whether and when to retry.

    The official OpenAI clients honor ``X-Should-Retry``. Without it they retry
    every 5xx response, even one whose outcome is unknown, so a request that
    may not be repeated could run twice.

    Args:
        kind: Kind of the error.
        retry_after_ms: Milliseconds after which to retry, if known.
    """
    row = errors.TABLE[kind]
    headers = {"X-Should-Retry": "true" if row.retryable else "false"}
    if retry_after_ms is not None:
        seconds = max(1, math.ceil(retry_after_ms / clocks.MS_PER_S))
        headers["Retry-After"] = str(seconds)
        headers["Retry-After-Ms"] = str(math.ceil(retry_after_ms))
    return headers


def count_error(kind: errors.ErrorKind) -> None:
    """Counts an error response by its reason."""
    _refusals.add(1, {"reason": kind.value})


def error_response(
    kind: errors.ErrorKind,
    ran: errors.Ran,
    detail: str = "",
    *,
    retry_after_ms: float | None = None,
    headers: Mapping[str, str] | None = None,
) -> web.Response:
    """Builds and counts an error response."""
    count_error(kind)
    return web.json_response(
        error_body(kind, ran, detail),
        status=errors.TABLE[kind].http_status,
        headers={**(headers or {}), **error_headers(kind, retry_after_ms)},
    )


def response_from(error: errors.WharfError) -> web.Response:
    """Builds the response to a raised error."""
    return error_response(
        error.kind,
        error.ran,
        error.detail,
        retry_after_ms=error.retry_after_ms,
    )


def failed_response(
    event: model_request.Failed, headers: Mapping[str, str]
) -> web.Response:
    """Builds the response to a model request that failed before a token."""
    return error_response(
        event.kind,
        event.ran,
        event.detail,
        retry_after_ms=event.retry_after_ms,
        headers=headers,
    )
