"""What an instance knows about the load of its services."""

from __future__ import annotations

from collections.abc import Callable
from collections.abc import Collection

from jujubewharf.admission import tickets
from jujubewharf.engine_speeds import speeds as all_speeds
from jujubewharf.forwarding import placement as placements
from jujubewharf.leadership import plain_queues
from jujubewharf.plain_calls import endpoint_group


class OverloadView:
    """Implements ``gauges.Sources`` for one instance.

    Args:
        placement: Placement of model requests.
        queues: Queues of plain calls; empty unless this instance leads.
        speeds: Observed speeds of engines.
        services: Returns the names of the configured services.
    """

    def __init__(
        self,
        placement: placements.Placement,
        queues: plain_queues.PlainQueues,
        speeds: all_speeds.EngineSpeeds,
        services: Callable[[], Collection[str]],
    ) -> None:
        self._placement = placement
        self._queues = queues
        self._speeds = speeds
        self._services = services

    def waits(self) -> dict[str, dict[int, tickets.Waits]]:
        """See ``gauges.Sources``."""
        return self._placement.waits() | self._queues.waits()

    def endpoint_loads(self) -> list[endpoint_group.Load]:
        """See ``gauges.Sources``."""
        return self._queues.endpoint_loads()

    def speed_spreads(
        self,
    ) -> dict[tuple[str, all_speeds.Stage], all_speeds.SpeedSpread]:
        """See ``gauges.Sources``."""
        spreads = {}
        for service in self._services():
            for stage in all_speeds.Stage:
                spread = self._speeds.spread(service, stage)
                if spread is not None:
                    spreads[service, stage] = spread
        return spreads
