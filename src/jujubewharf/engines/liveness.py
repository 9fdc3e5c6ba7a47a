"""Tells an engine that crashed from one whose connection merely broke."""

from __future__ import annotations

import asyncio

from jujubewharf import clock as clocks

# A connection within a region takes some milliseconds. Behind a cut there is no
# answer, and whoever waits here is a request that could go on elsewhere.
_CONNECT_MS = 150.0


async def is_refused(address: str, clock: clocks.Clock) -> bool:
    """Whether connections to an address are refused: nobody listens there.

    A machine that is dark, frozen or behind a cut doesn't answer at all, and an
    engine that closed or reset a connection accepts the next one.

    Args:
        address: ``IP:PORT``.
        clock: Time.
    """
    host, _, port = address.rpartition(":")
    try:
        async with clock.timeout_ms(_CONNECT_MS):
            _, writer = await asyncio.open_connection(host, int(port))
    except TimeoutError:
        return False
    except (ConnectionRefusedError, ConnectionResetError):
        return True
    except OSError:
        # No route, or no descriptor left here: that says nothing of it.
        return False
    writer.close()
    return False
