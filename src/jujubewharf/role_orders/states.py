"""Asks engines whether they are changing their roles.

Load: one call to each engine of a service per leadership, all at once.
"""

from __future__ import annotations

import asyncio
from collections.abc import Iterable

from jujubewharf.configuration import resources
from jujubewharf.engines import client
from jujubewharf.forwarding import ports


async def find_changing(
    backends: ports.Backends, engines: Iterable[resources.Endpoint]
) -> list[resources.Endpoint]:
    """Returns the engines that state that they are changing their roles."""
    asked = list(engines)
    states = await asyncio.gather(*(is_changing(backends, e) for e in asked))
    return [e for e, state in zip(asked, states, strict=True) if state]


async def is_changing(
    backends: ports.Backends, engine: resources.Endpoint
) -> bool | None:
    """Returns whether an engine changes roles; ``None`` without an answer."""
    try:
        return await backends.is_changing(engine)
    except client.EngineError:
        return None
