"""Checks by connecting whether an engine's process listens."""

from __future__ import annotations

import asyncio
import enum

from jujubewharf import clock as clocks
from jujubewharf.configuration import resources

# Connecting within a region takes a few milliseconds. Across a network
# partition there is no reply, and the waiting request could continue on another
# engine.
_CONNECT_TIMEOUT_MS = 150.0


class ProcessState(enum.Enum):
    """Whether the process of an endpoint exists.

    ``RUNNING``: it replied. ``GONE``: nothing listens, or another process does.
    ``SILENT``: its host made or reset connections, but no process replied.
    ``UNKNOWN``: the host isn't reached from here, or not yet known to be.
    """

    RUNNING = "running"
    GONE = "gone"
    SILENT = "silent"
    UNKNOWN = "unknown"

    @property
    def is_certain(self) -> bool:
        """Whether it tells that the process runs, or that it doesn't."""
        return self in (ProcessState.RUNNING, ProcessState.GONE)


class _ConnectOutcome(enum.Enum):
    ACCEPTED = "accepted"
    REFUSED = "refused"
    RESET = "reset"
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
    outcome = await _connect(address, clock)
    return outcome in (_ConnectOutcome.REFUSED, _ConnectOutcome.RESET)


class ProcessChecks:
    """Checks endpoints by connecting; see ``ports.Backends``.

    Args:
        clock: Time source.
    """

    def __init__(self, clock: clocks.Clock) -> None:
        self._clock = clock

    async def is_reachable(self, endpoint: resources.Endpoint) -> bool:
        """Whether the endpoint accepts connections."""
        return await accepts_connections(endpoint.address, self._clock)

    async def has_crashed(self, endpoint: resources.Endpoint) -> bool:
        """Whether the endpoint's process is gone."""
        return await refuses_connections(endpoint.address, self._clock)


async def _connect(address: str, clock: clocks.Clock) -> _ConnectOutcome:
    """Opens a connection, sends nothing on it, and closes it."""
    host, _, port = address.rpartition(":")
    try:
        async with clock.timeout_ms(_CONNECT_TIMEOUT_MS):
            _, writer = await asyncio.open_connection(host, int(port))
    except ConnectionRefusedError:
        return _ConnectOutcome.REFUSED
    except ConnectionResetError:
        return _ConnectOutcome.RESET
    except OSError:
        # A timeout, a missing route or a lack of local file descriptors says
        # nothing about the engine.
        return _ConnectOutcome.UNCLEAR
    writer.close()
    return _ConnectOutcome.ACCEPTED
