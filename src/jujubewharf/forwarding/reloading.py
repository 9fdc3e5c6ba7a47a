"""Reloads the settings file while the process runs."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
import pathlib

import mode
import structlog

from jujubewharf import clock as clocks
from jujubewharf import restarting_service
from jujubewharf.forwarding import settings as all_settings

# Polling interval for changes of the file that are not signalled. None of them
# is urgent, and a check reads only about a kilobyte.
CHECK_MS = 5_000.0
# Fields that can change without a restart. The others define listeners and the
# identity of the process.
LIVE_FIELDS = frozenset(
    {"admission", "plain_calls", "quotas", "retries", "stop_within_s"}
)
# Maximum length of a logged error; `jujubewharf settings check` prints all.
_MAX_DETAIL = 500


class SettingsReloader(restarting_service.RestartingService):
    """Reads the settings file periodically and on request.

    An invalid file is ignored, because it may be read while it is being
    written.

    Args:
        path: Path of the settings file.
        settings: Settings at startup.
        clock: Time source.
        apply: Called with the new settings if a live field has changed.

    Attributes:
        settings: Settings in force.
    """

    def __init__(
        self,
        path: pathlib.Path,
        settings: all_settings.ForwardingSettings,
        clock: clocks.Clock,
        *,
        apply: Callable[[all_settings.ForwardingSettings], None],
    ) -> None:
        super().__init__(clock)
        self.settings = settings
        self._path = path
        # Includes changes that need a restart, so that each is logged once.
        self._last_read = settings
        self._apply = apply
        self._requested = asyncio.Event()
        self._logger = structlog.get_logger()

    def request(self) -> None:
        """Requests an immediate reload; for signal handlers."""
        self._requested.set()

    @mode.Service.task
    async def _watch(self) -> None:
        while not self.should_stop:
            is_requested = await self._wait()
            try:
                new_settings = all_settings.read(self._path)
            except (ValueError, OSError) as error:
                self._logger.warning(
                    "settings_rejected", detail=str(error)[:_MAX_DETAIL]
                )
                continue
            if is_requested or new_settings != self._last_read:
                self._apply_changes(new_settings)

    async def _wait(self) -> bool:
        """Waits for the next reload; returns whether it was requested."""
        try:
            async with self._clock.timeout_ms(CHECK_MS):
                await self._requested.wait()
        except TimeoutError:
            return False
        self._requested.clear()
        return True

    def _apply_changes(
        self, new_settings: all_settings.ForwardingSettings
    ) -> None:
        changed = {
            field
            for field in type(new_settings).model_fields
            if getattr(new_settings, field) != getattr(self.settings, field)
        }
        live = changed & LIVE_FIELDS
        self._last_read = new_settings
        if live:
            update = {field: getattr(new_settings, field) for field in live}
            self.settings = self.settings.model_copy(update=update)
            self._apply(self.settings)
        self._logger.info(
            "settings_reloaded",
            changed=sorted(live),
            needs_restart=sorted(changed - LIVE_FIELDS),
        )
