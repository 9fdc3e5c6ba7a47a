"""Request options that callers set in headers."""

from __future__ import annotations

import dataclasses
import re
from typing import TYPE_CHECKING

from jujubewharf import errors

if TYPE_CHECKING:
    from collections.abc import Mapping

KEY_HEADER = "Idempotency-Key"
REQUEST_HEADER = "X-Request-Id"
ATTEMPT_HEADER = "X-Attempt"
DEADLINE_HEADER = "X-Deadline-Ms"
PRIORITY_HEADER = "X-Priority"
REPEATABLE_HEADER = "X-Repeatable"
LAST_EVENT_HEADER = "Last-Event-ID"

MAX_PRIORITY = 9
MAX_DEADLINE_MS = 86_400_000.0
_KEY_PATTERN = re.compile(r"[!-~]{1,128}")
_COUNT_PATTERN = re.compile(r"[0-9]{1,9}")
_FLAGS = {"true": True, "false": False}


@dataclasses.dataclass(frozen=True, slots=True)
class RequestOptions:
    """Validated request options; ``None`` for headers that are not set.

    Attributes:
        key: Idempotency key.
        deadline_ms: Time limit of the request, counted from its arrival.
        priority: Requests of a higher priority are served first.
        is_repeatable: Whether the request may run more than once.
        resume_from: Number of answer tokens that the caller already has.
    """

    key: str | None = None
    deadline_ms: float | None = None
    priority: int | None = None
    is_repeatable: bool | None = None
    resume_from: int | None = None

    @classmethod
    def from_headers(cls, headers: Mapping[str, str]) -> RequestOptions:
        """Parses and validates the headers.

        Raises:
            WharfError: ``BAD_REQUEST``; the detail names the invalid header.
        """
        options = cls(
            key=_key(headers),
            deadline_ms=_count(headers, DEADLINE_HEADER),
            priority=_count(headers, PRIORITY_HEADER),
            is_repeatable=_flag(headers, REPEATABLE_HEADER),
            resume_from=_count(headers, LAST_EVENT_HEADER),
        )
        if options.priority is not None and options.priority > MAX_PRIORITY:
            raise _invalid_header(PRIORITY_HEADER)
        if options.deadline_ms is not None:
            if not 0 < options.deadline_ms <= MAX_DEADLINE_MS:
                raise _invalid_header(DEADLINE_HEADER)
        if options.resume_from is not None and options.key is None:
            raise errors.WharfError(
                errors.ErrorKind.BAD_REQUEST,
                f"{LAST_EVENT_HEADER} needs the {KEY_HEADER} of the answer",
            )
        return options


def _key(headers: Mapping[str, str]) -> str | None:
    value = headers.get(KEY_HEADER)
    if value is not None and not _KEY_PATTERN.fullmatch(value):
        raise _invalid_header(KEY_HEADER)
    return value


def _count(headers: Mapping[str, str], name: str) -> int | None:
    value = headers.get(name)
    if value is None:
        return None
    if not _COUNT_PATTERN.fullmatch(value):
        raise _invalid_header(name)
    return int(value)


def _flag(headers: Mapping[str, str], name: str) -> bool | None:
    value = headers.get(name)
    if value is None:
        return None
    flag = _FLAGS.get(value.lower())
    if flag is None:
        raise _invalid_header(name)
    return flag


def _invalid_header(name: str) -> errors.WharfError:
    return errors.WharfError(errors.ErrorKind.BAD_REQUEST, f"header {name}")
