"""Logs the settings in force, and parts that become active or inactive.

Load: at most one check in two seconds, however many requests end; a check costs
a few comparisons for each service.
"""

from __future__ import annotations

from collections.abc import Callable

from jujubewharf import clock as clocks
from jujubewharf.forwarding import routes
from jujubewharf.forwarding import settings as all_settings
from jujubewharf.forwarding import state_log
from jujubewharf.overload import parts

# Shortest interval between two checks; bounds the log lines of one part.
CHECK_MS = 2_000.0
_NOT_CONFIGURED = parts.PartState(False, "not_configured")


class PartLog:
    """Logs which parts decide in overload, and when that changes.

    Args:
        settings: Settings at startup.
        configuration: Returns the configuration in force, if there is one.
        observed: What this instance observes.
        clock: Time source.
    """

    def __init__(
        self,
        settings: all_settings.ForwardingSettings,
        configuration: Callable[[], routes.RoutingConfiguration | None],
        observed: parts.Observed,
        clock: clocks.Clock,
    ) -> None:
        self._settings = settings
        self._configuration = configuration
        self._observed = observed
        self._clock = clock
        self._checked_ms = clock.now_ms()
        self._services: list[parts.ConfiguredService] = []
        self._services_of: routes.RoutingConfiguration | None = None
        self._logged: dict[tuple[str, parts.Part], parts.PartState] = {}

    def apply_settings(self, settings: all_settings.ForwardingSettings) -> None:
        """Logs changed settings, and the parts that they change."""
        self._settings = settings
        self.log_settings()
        self.log_changes()

    def log_settings(self) -> None:
        """Logs the settings in force."""
        shown: dict[str, dict[str, str]] = {}
        for (service, part), state in self._states().items():
            mark = "active" if state.is_active else "inactive"
            of_service = shown.setdefault(service, {})
            of_service[part.value] = f"{mark}: {state.reason}"
        admission = self._settings.admission
        state_log.log_settings(
            weights=admission.account_weights,
            starving_share=admission.starving_share,
            is_enabled=admission.is_enabled,
            plain_queue=self._settings.plain_calls.queue,
            parts=shown,
        )

    def check(self) -> None:
        """Logs changes, unless the last check was less than ``CHECK_MS`` ago.

        Called when requests end and when the store was read, so that no timer
        is needed.
        """
        now_ms = self._clock.now_ms()
        if now_ms - self._checked_ms >= CHECK_MS:
            self._checked_ms = now_ms
            self.log_changes()

    def log_changes(self) -> None:
        """Logs the parts that have become active or inactive."""
        states = self._states()
        for key in self._logged.keys() | states.keys():
            service, part = key
            state = states.get(key, _NOT_CONFIGURED)
            before = self._logged.get(key)
            was_active = before is not None and before.is_active
            if state.is_active != was_active:
                state_log.log_part(
                    part.value,
                    service,
                    is_active=state.is_active,
                    reason=state.reason,
                )
        self._logged = states

    def _states(self) -> dict[tuple[str, parts.Part], parts.PartState]:
        configuration = self._configuration()
        if configuration is None:
            return {}
        if configuration is not self._services_of:
            self._services_of = configuration
            self._services = parts.configured_services(configuration)
        switches = parts.Switches(
            self._settings.admission.is_enabled,
            self._settings.plain_calls.queue,
        )
        return {
            (service.name, part): state
            for service in self._services
            for part, state in parts.states_of(
                service, switches, self._observed
            )
        }
