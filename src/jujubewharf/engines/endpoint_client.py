"""Client interface of plain endpoints: one streamed HTTP call."""

from __future__ import annotations

from collections.abc import AsyncIterator
import contextlib
import dataclasses
from typing import Protocol

from jujubewharf.configuration import resources


@dataclasses.dataclass(frozen=True, slots=True)
class PlainCall:
    """A call to forward.

    Attributes:
        request_id: Sent to the endpoint in a header.
        method: HTTP method.
        path_query: Path and query below the service's prefix.
        headers: End-to-end headers.
        body: Body as a stream; ``None`` if there is none.
    """

    request_id: str
    method: str
    path_query: str
    headers: tuple[tuple[str, str], ...] = ()
    body: AsyncIterator[bytes] | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class PlainReply:
    """Response of an endpoint.

    Attributes:
        status: HTTP status.
        headers: End-to-end headers.
        body: Body as a stream.
    """

    status: int
    headers: tuple[tuple[str, str], ...]
    body: AsyncIterator[bytes]


class EndpointClient(Protocol):
    """Calls plain endpoints.

    Entering the context and reading the body raise ``client.EngineError``:
    ``UNREACHABLE`` if nothing was sent, ``LOST`` otherwise.
    """

    def call(
        self, endpoint: resources.Endpoint, call: PlainCall
    ) -> contextlib.AbstractAsyncContextManager[PlainReply]:
        """Sends a call; leaving the context closes it."""
        ...
