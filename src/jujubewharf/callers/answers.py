"""Error answers of the caller edge, made from the error table."""

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
    """The JSON body of an error, in the shape usual clients expect."""
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
    """Headers that tell a client whether and when to come back.

    ``X-Should-Retry`` is obeyed by the official OpenAI clients. Without it
    they send every 5xx again, also one whose outcome is unknown, and a
    request that may not be repeated would run twice.
    """
    row = errors.TABLE[kind]
    headers = {"X-Should-Retry": "true" if row.retryable else "false"}
    if retry_after_ms is not None:
        seconds = max(1, math.ceil(retry_after_ms / clocks.MS_PER_S))
        headers["Retry-After"] = str(seconds)
        headers["Retry-After-Ms"] = str(math.ceil(retry_after_ms))
    return headers


def count(kind: errors.ErrorKind) -> None:
    """Counts an error answer by its reason."""
    _refusals.add(1, {"reason": kind.value})


def error_response(
    kind: errors.ErrorKind,
    ran: errors.Ran,
    detail: str = "",
    *,
    retry_after_ms: float | None = None,
    headers: Mapping[str, str] | None = None,
) -> web.Response:
    """A whole error answer; it is counted."""
    count(kind)
    return web.json_response(
        error_body(kind, ran, detail),
        status=errors.TABLE[kind].http_status,
        headers={**(headers or {}), **error_headers(kind, retry_after_ms)},
    )


def response_to(error: errors.WharfError) -> web.Response:
    """The answer to a raised error."""
    return error_response(
        error.kind,
        error.ran,
        error.detail,
        retry_after_ms=error.retry_after_ms,
    )


def failed_response(
    event: model_request.Failed, headers: Mapping[str, str]
) -> web.Response:
    """The answer to a model request that failed before its first token."""
    return error_response(
        event.kind,
        event.ran,
        event.detail,
        retry_after_ms=event.retry_after_ms,
        headers=headers,
    )
