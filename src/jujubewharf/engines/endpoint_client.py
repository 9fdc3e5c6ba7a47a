"""The interface of plain endpoints: one HTTP-shaped call, streamed."""

from __future__ import annotations

from collections.abc import AsyncIterator
import contextlib
import dataclasses
from typing import Protocol

from jujubewharf.configuration import resources


@dataclasses.dataclass(frozen=True, slots=True)
class PlainCall:
    """A call to pass on.

    Attributes:
        request_id: Carried to the endpoint in a header.
        method: HTTP method.
        path_query: Path and query below the service's prefix.
        headers: End-to-end headers.
        body: The body as it arrives; ``None`` without one.
    """

    request_id: str
    method: str
    path_query: str
    headers: tuple[tuple[str, str], ...] = ()
    body: AsyncIterator[bytes] | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class PlainReply:
    """The endpoint's answer.

    Attributes:
        status: HTTP status.
        headers: End-to-end headers.
        body: The body as it arrives.
    """

    status: int
    headers: tuple[tuple[str, str], ...]
    body: AsyncIterator[bytes]


class EndpointClient(Protocol):
    """Calls plain endpoints.

    Entering the context and reading the body raise ``client.EngineError``:
    ``UNREACHABLE`` before anything was sent, ``LOST`` after.
    """

    def call(
        self, endpoint: resources.Endpoint, call: PlainCall
    ) -> contextlib.AbstractAsyncContextManager[PlainReply]:
        """Sends a call; leaving the context ends it."""
        ...
