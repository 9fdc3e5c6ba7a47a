"""Fetches JSON from the platform's HTTP services."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Any

if TYPE_CHECKING:
    import aiohttp

    from jujubewharf import clock as clocks

_REQUEST_TIMEOUT_MS = 2_000.0


async def get(
    url: str, session: aiohttp.ClientSession, clock: clocks.Clock
) -> Any:
    """Fetches and parses a JSON document, with a timeout.

    Raises:
        aiohttp.ClientError: The connection failed, the status was an error,
            or the content type was not JSON.
        OSError: The connection failed; ``TimeoutError`` on a timeout.
        ValueError: The body is not valid JSON.
    """
    async with clock.timeout_ms(_REQUEST_TIMEOUT_MS):
        async with session.get(url) as response:
            response.raise_for_status()
            return await response.json()
