"""Finds out when endpoints that are out of reach can be reached again.

Without probes the end of a partition would have to be found by callers'
requests, each of which waits for a connection that hangs.
"""

from __future__ import annotations

import asyncio
import contextlib

import mode

from jujubewharf import clock as clocks
from jujubewharf import restarting_service
from jujubewharf.configuration import resources
from jujubewharf.endpoint_paths import reachability as reachabilities
from jujubewharf.endpoint_paths import relayed_backends
from jujubewharf.engines import client
from jujubewharf.peers import relay_messages
from jujubewharf.telemetry import containment

_INTERVAL_MS = 500.0
# Connection attempts per interval to a group that is out of reach.
_ENDPOINTS_PER_ROUND = 3


class PathProbes(restarting_service.RestartingService):
    """Connects to one endpoint of each group that may be out of reach, in turn.

    Args:
        backends: Paths to endpoints.
        reachability: Groups that are out of reach; records the outcome.
        clock: Time source.
    """

    def __init__(
        self,
        backends: relayed_backends.RelayedBackends,
        reachability: reachabilities.Reachability,
        clock: clocks.Clock,
    ) -> None:
        super().__init__(clock)
        self._backends = backends
        self._reachability = reachability
        self._rounds = 0
        reachability.on_suspected = self._probe_at_once

    @mode.Service.task
    async def _run(self) -> None:
        while not self.should_stop:
            await self._clock.sleep_ms(_INTERVAL_MS)
            self._rounds += 1
            probed = [
                endpoint
                for endpoints in self._reachability.to_probe()
                for endpoint in self._next(endpoints)
            ]
            await asyncio.gather(*(self._probe(e) for e in probed))

    def _next(
        self, endpoints: list[resources.Endpoint]
    ) -> list[resources.Endpoint]:
        """Returns the endpoints of a group to probe in this round."""
        count = min(_ENDPOINTS_PER_ROUND, len(endpoints))
        first = self._rounds * count
        return [endpoints[(first + i) % len(endpoints)] for i in range(count)]

    def _probe_at_once(self, endpoints: list[resources.Endpoint]) -> None:
        for endpoint in endpoints:
            self.add_future(self._probe(endpoint))

    async def _probe(self, endpoint: resources.Endpoint) -> None:
        with containment.contained("probe", endpoint=endpoint.name):
            await self._try_probe(endpoint)

    async def _try_probe(self, endpoint: resources.Endpoint) -> None:
        if await self._backends.is_reachable(endpoint):
            return
        relay = self._backends.relay
        if relay is not None and relay.is_alone:
            # Nobody sends requests to an instance that isn't ready, so nothing
            # else finds out whether peers are back.
            kind = relay_messages.CheckKind.REACHABLE
            with contextlib.suppress(client.EngineError):
                await relay.check(endpoint, kind)
