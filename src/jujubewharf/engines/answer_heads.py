"""Tells whether the head of an answer is one in the protocol.

The parsers of aiohttp take any three digits for a status, and differ in which
names of fields they let pass. A head that isn't sound makes its answer lost.
"""

from __future__ import annotations

import re

import aiohttp
from aiohttp import http
from opentelemetry import metrics

_INTERIM = range(100, 200)
_FINAL = range(200, 600)
# An answer to a request to change the protocol, which nothing here sends.
_SWITCHING_PROTOCOLS = 101
# A token of RFC 9110.
_NAME = re.compile(rb"[!#$%&'*+.^_`|~0-9A-Za-z-]+")
_ENDS_VALUE = re.compile(rb"[\x00\r\n]")

_MALFORMED = metrics.get_meter("jujubewharf").create_counter(
    "endpoints.malformed_answers",
    description="Answers whose head is none in the protocol, by part.",
)


class MalformedAnswerError(aiohttp.ClientPayloadError):
    """The head of an answer is none in the protocol.

    Args:
        part: What isn't sound: ``status`` or ``field``.
    """

    def __init__(self, part: str) -> None:
        super().__init__(f"malformed {part}")
        _MALFORMED.add(1, {"part": part})


def is_final_status(status: int) -> bool:
    """Returns whether a status ends an exchange."""
    return status in _FINAL


def find_fault(message: http.RawResponseMessage) -> str | None:
    """Returns the part of a head that isn't sound, if there is one."""
    status = message.code
    is_interim = status in _INTERIM and status != _SWITCHING_PROTOCOLS
    if not (is_interim or is_final_status(status)):
        return "status"
    for name, value in message.raw_headers:
        if not _NAME.fullmatch(name) or _ENDS_VALUE.search(value):
            return "field"
    return None
