"""Generates the documentation page of the error table."""

from __future__ import annotations

from jujubewharf import errors

_HEAD = """\
# Errors

Every error a caller or an operator can be told, made from `errors.TABLE` by
`jujubewharf errors`. *Ran* is a promise: `no` is said only when it is certain
that no engine or endpoint was given the request. An answer may say it more
exactly than the table does, never less.

A caller gets `{"error": {"code", "message", "type", "ran", "retryable"}}`;
`code` is also the `reason` of the counter `callers.refusals`. The header
`X-Should-Retry` repeats `retryable`; `Retry-After` says when to come back.

| Kind | HTTP | gRPC | Ran | Retryable | Message |
|---|---|---|---|---|---|
"""


def render() -> str:
    """Returns the page in Markdown."""
    rows = [_row(kind, response) for kind, response in errors.TABLE.items()]
    return _HEAD + "".join(rows)


def _row(kind: errors.ErrorKind, response: errors.ErrorResponse) -> str:
    retryable = "yes" if response.retryable else "no"
    cells = (
        f"`{kind.value}`",
        str(response.http_status),
        response.grpc_code,
        response.ran.value,
        retryable,
        response.message,
    )
    return f"| {' | '.join(cells)} |\n"
