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
    rows = [_row(kind, answer) for kind, answer in errors.TABLE.items()]
    return _HEAD + "".join(rows)


def _row(kind: errors.ErrorKind, answer: errors.Answer) -> str:
    retryable = "yes" if answer.retryable else "no"
    cells = (
        f"`{kind.value}`",
        str(answer.http_status),
        answer.grpc_code,
        answer.ran.value,
        retryable,
        answer.message,
    )
    return f"| {' | '.join(cells)} |\n"
