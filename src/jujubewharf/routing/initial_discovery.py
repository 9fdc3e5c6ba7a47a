"""Readiness of a starting instance to place requests."""

from __future__ import annotations

from jujubewharf import clock as clocks
from jujubewharf.configuration import follower
from jujubewharf.configuration import resources
from jujubewharf.routing import fleet as fleets

_MAX_WAIT_MS = 1_500.0


class InitialDiscovery:
    """Completes when each model service has an engine known to accept work.

    An instance that has only read the configuration has no engine status yet
    and would reject its first requests although engines are idle. The wait is
    bounded because a service may have no engine that accepts work.

    Args:
        configuration: Declared resources.
        fleet: Engine views.
        clock: Time source.
    """

    def __init__(
        self,
        configuration: follower.ConfigurationFollower,
        fleet: fleets.Fleet,
        clock: clocks.Clock,
    ) -> None:
        self._configuration = configuration
        self._fleet = fleet
        self._clock = clock
        self._started_ms: float | None = None
        self._is_set = False

    def is_set(self) -> bool:
        """Whether discovery has completed; once true, it stays true."""
        if not self._is_set:
            self._is_set = self._check()
        return self._is_set

    def _check(self) -> bool:
        if not self._configuration.caught_up.is_set():
            return False
        now_ms = self._clock.now_ms()
        if self._started_ms is None:
            self._started_ms = now_ms
        if now_ms - self._started_ms >= _MAX_WAIT_MS:
            return True
        state = self._configuration.current
        for entry in state.of_kind(resources.Kind.SERVICE):
            service = entry.resource
            assert isinstance(service, resources.Service)
            if service.kind is not resources.ServiceKind.MODEL:
                continue
            views = self._fleet.views_of(service.name)
            if not any(view.takes_work for view in views):
                return False
        return True
