"""Error answers of the caller edge, made from the error table."""

from __future__ import annotations

import math

from aiohttp import web

from jujubewharf import clock as clocks
from jujubewharf import errors


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


def error_response(
    kind: errors.ErrorKind,
    ran: errors.Ran,
    detail: str = "",
    *,
    retry_after_ms: float | None = None,
    headers: dict[str, str] | None = None,
) -> web.Response:
    """A whole error answer."""
    headers = dict(headers or {})
    if retry_after_ms is not None:
        seconds = max(1, math.ceil(retry_after_ms / clocks.MS_PER_S))
        headers["Retry-After"] = str(seconds)
    return web.json_response(
        error_body(kind, ran, detail),
        status=errors.TABLE[kind].http_status,
        headers=headers,
    )
