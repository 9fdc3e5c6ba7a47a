"""Checks by connecting whether an engine's process listens."""

from __future__ import annotations

import asyncio

from jujubewharf import clock as clocks

# Connecting within a region takes a few milliseconds. Across a network
# partition there is no reply, and the waiting request could continue on another
# engine.
_CONNECT_TIMEOUT_MS = 150.0


async def accepts_connections(address: str, clock: clocks.Clock) -> bool:
    """Whether an address accepts connections.

    Args:
        address: ``IP:PORT``.
        clock: Time source.
    """
    host, _, port = address.rpartition(":")
    try:
        async with clock.timeout_ms(_CONNECT_TIMEOUT_MS):
            _, writer = await asyncio.open_connection(host, int(port))
    except OSError:
        return False
    writer.close()
    return True


async def refuses_connections(address: str, clock: clocks.Clock) -> bool:
    """Whether an address refuses connections, so that no process listens.

    A host that is down, frozen or partitioned does not reply at all, and an
    engine that closed or reset a connection accepts the next one.

    Args:
        address: ``IP:PORT``.
        clock: Time source.
    """
    host, _, port = address.rpartition(":")
    try:
        async with clock.timeout_ms(_CONNECT_TIMEOUT_MS):
            _, writer = await asyncio.open_connection(host, int(port))
    except TimeoutError:
        return False
    except (ConnectionRefusedError, ConnectionResetError):
        return True
    except OSError:
        # A missing route or a lack of local file descriptors says nothing about
        # the engine.
        return False
    writer.close()
    return False
