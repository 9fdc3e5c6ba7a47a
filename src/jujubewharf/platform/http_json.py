"""Reads JSON from one of the platform's small HTTP services."""

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
    """The body found at an address, within two seconds.

    Raises:
        aiohttp.ClientError: Not reached, refused, or not said to be JSON.
        OSError: Not reached; ``TimeoutError`` when it took too long.
        ValueError: The body is no JSON.
    """
    async with clock.timeout_ms(_REQUEST_TIMEOUT_MS):
        async with session.get(url) as response:
            response.raise_for_status()
            return await response.json()
