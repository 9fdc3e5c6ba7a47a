"""What stand-in engines answer, which callers can check."""

from __future__ import annotations

from collections.abc import Mapping
import hashlib

EVENT_END = b"\n\n"
# Software versions of engines.
VERSIONS = ("v1", "v2")
FIRST_VERSION = VERSIONS[0]


def event(stream: str, number: int, version: str = FIRST_VERSION) -> bytes:
    """Returns an event of a stream, as engines of a version write it.

    Args:
        stream: Id of the request that brought the stream's first event.
        number: Number of the event.
        version: Software version of the engine.
    """
    text = _text(f"{stream}/{number}")
    return b"id: %d\ndata: %b %b\n\n" % (number, version.encode(), text)


def version_of(event_bytes: bytes, stream: str, number: int) -> str | None:
    """Returns the version that wrote an event; ``None`` if it is another."""
    for version in VERSIONS:
        if event_bytes == event(stream, number, version):
            return version
    return None


def body(request_id: str) -> bytes:
    """Returns the body of the plain answer to a request."""
    return _text(request_id) * 8 + b"END"


def token_counts(headers: Mapping[str, str]) -> tuple[int, int]:
    """Returns prompt tokens and events of a request's answer."""
    prompt, _, count = headers["token-counts"].partition(",")
    return int(prompt), int(count)


def _text(seed: str) -> bytes:
    return hashlib.sha256(seed.encode()).hexdigest().encode()
