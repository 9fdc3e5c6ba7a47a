"""Checks by connecting whether an engine's process listens."""

from __future__ import annotations

import asyncio
import enum

from jujubewharf import clock as clocks

# Connecting within a region takes a few milliseconds. Across a network
# partition there is no reply, and the waiting request could continue on another
# engine.
_CONNECT_TIMEOUT_MS = 150.0


class _ConnectOutcome(enum.Enum):
    ACCEPTED = "accepted"
    REFUSED = "refused"
    UNCLEAR = "unclear"


async def accepts_connections(address: str, clock: clocks.Clock) -> bool:
    """Whether an address accepts connections.

    Args:
        address: ``IP:PORT``.
        clock: Time source.
    """
    return await _connect(address, clock) is _ConnectOutcome.ACCEPTED


async def refuses_connections(address: str, clock: clocks.Clock) -> bool:
    """Whether an address refuses connections, so that no process listens.

    A host that is down, frozen or partitioned does not reply at all, and an
    engine that closed or reset a connection accepts the next one.

    Args:
        address: ``IP:PORT``.
        clock: Time source.
    """
    return await _connect(address, clock) is _ConnectOutcome.REFUSED


async def _connect(address: str, clock: clocks.Clock) -> _ConnectOutcome:
    """Opens a connection, sends nothing on it, and closes it."""
    host, _, port = address.rpartition(":")
    try:
        async with clock.timeout_ms(_CONNECT_TIMEOUT_MS):
            _, writer = await asyncio.open_connection(host, int(port))
    except (ConnectionRefusedError, ConnectionResetError):
        return _ConnectOutcome.REFUSED
    except OSError:
        # A timeout, a missing route or a lack of local file descriptors says
        # nothing about the engine.
        return _ConnectOutcome.UNCLEAR
    writer.close()
    return _ConnectOutcome.ACCEPTED
