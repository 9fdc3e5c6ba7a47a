"""Follows the prefix caches of engines within a bandwidth budget."""

from __future__ import annotations

from collections.abc import Callable
from collections.abc import Sequence

import mode
import structlog

from jujubewharf import clock as clocks
from jujubewharf.engines import client
from jujubewharf.routing import fleet as fleets

# Approximate size of one event on the wire.
_EVENT_BYTES = 64.0
# Bandwidth of an instance for cache events. All control traffic of an instance
# is limited to 3 KB/s.
_EVENT_BYTES_PER_S = 400.0
_POLL_INTERVAL_MS = 2_000.0
_POLL_TIMEOUT_MS = 1_000.0


class CacheFollower(mode.Service):
    """Polls the cache events of engines and updates the prefix hints.

    Args:
        fleet: Engine views and prefix hints.
        list_views: Returns the engines to poll.
        clock: Time source.
    """

    def __init__(
        self,
        fleet: fleets.Fleet,
        list_views: Callable[[], Sequence[fleets.EngineView]],
        clock: clocks.Clock,
    ) -> None:
        super().__init__()
        self._fleet = fleet
        self._list_views = list_views
        self._clock = clock
        self._logger = structlog.get_logger()

    @mode.Service.task
    async def _follow(self) -> None:
        while not self.should_stop:
            count = 0
            for view in self._list_views():
                if view.endpoint.can_prefill and view.takes_work:
                    count += await self._poll(view)
            size_bytes = count * _EVENT_BYTES
            pause_ms = size_bytes / _EVENT_BYTES_PER_S * clocks.MS_PER_S
            await self._clock.sleep_ms(max(pause_ms, _POLL_INTERVAL_MS))

    async def _poll(self, view: fleets.EngineView) -> int:
        name, hints = view.endpoint.name, self._fleet.hints
        try:
            async with self._clock.timeout_ms(_POLL_TIMEOUT_MS):
                events = await view.client.cache_events(
                    hints.last_sequence(name)
                )
        except (client.EngineError, TimeoutError) as error:
            # Existing hints are kept; a stale hint only costs a longer prefill.
            self._logger.debug(
                "cache_events_unread",
                engine=name,
                reason=type(error).__name__,
            )
            return 0
        hints.apply_events(name, events)
        return len(events)
