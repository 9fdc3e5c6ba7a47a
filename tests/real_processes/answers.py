"""What stand-in engines answer, which callers can check."""

from __future__ import annotations

from collections.abc import Mapping
import hashlib

EVENT_END = b"\n\n"


def event(request_id: str, number: int) -> bytes:
    """Returns an event of the stream that answers a request."""
    return b"id: %d\ndata: %b\n\n" % (number, _text(f"{request_id}/{number}"))


def body(request_id: str) -> bytes:
    """Returns the body of the plain answer to a request."""
    return _text(request_id) * 8 + b"END"


def token_counts(headers: Mapping[str, str]) -> tuple[int, int]:
    """Returns prompt tokens and events of a request's answer."""
    prompt, _, count = headers["token-counts"].partition(",")
    return int(prompt), int(count)


def _text(seed: str) -> bytes:
    return hashlib.sha256(seed.encode()).hexdigest().encode()
