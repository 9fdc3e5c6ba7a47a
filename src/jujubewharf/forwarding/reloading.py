"""Puts changes of the settings file in force while the process runs."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
import pathlib

import mode
import structlog

from jujubewharf import clock as clocks
from jujubewharf.forwarding import settings as all_settings

# The file may change without a signal. Nothing in it is urgent, and a look is
# one read of a kilobyte.
CHECK_MS = 5_000.0
# Fields that take effect at once. The others name what the process listens on
# or is known by.
LIVE_FIELDS = frozenset({"quotas", "retries", "stop_within_s"})
# A file with many errors is told in part; `jujubewharf settings check` tells
# all of them.
_MAX_DETAIL = 500


class SettingsReloader(mode.Service):
    """Reads the settings file again, on a signal and now and then.

    A file that doesn't fit changes nothing: it may be read while it is being
    written, and an instance that stopped for it would take the others along.

    Args:
        path: The settings file.
        settings: What was read of it at the start.
        clock: Time.
        apply: Takes the settings whose live fields have changed.

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
        super().__init__()
        self.settings = settings
        self._path = path
        # Also what waits for a restart, so that it is told only once.
        self._seen = settings
        self._clock = clock
        self._apply = apply
        self._asked = asyncio.Event()
        self._logger = structlog.get_logger()

    def request(self) -> None:
        """Asks for a look now; for a signal handler."""
        self._asked.set()

    @mode.Service.task
    async def _watch(self) -> None:
        while not self.should_stop:
            is_asked = await self._wait()
            try:
                found = all_settings.read(self._path)
            except (ValueError, OSError) as error:
                self._logger.warning(
                    "settings_rejected", detail=str(error)[:_MAX_DETAIL]
                )
                continue
            if is_asked or found != self._seen:
                self._take(found)

    async def _wait(self) -> bool:
        """Waits for the next look; true where a signal asks for it."""
        try:
            async with self._clock.timeout_ms(CHECK_MS):
                await self._asked.wait()
        except TimeoutError:
            return False
        self._asked.clear()
        return True

    def _take(self, found: all_settings.ForwardingSettings) -> None:
        changed = {
            field
            for field in type(found).model_fields
            if getattr(found, field) != getattr(self.settings, field)
        }
        live = changed & LIVE_FIELDS
        self._seen = found
        if live:
            update = {field: getattr(found, field) for field in live}
            self.settings = self.settings.model_copy(update=update)
            self._apply(self.settings)
        self._logger.info(
            "settings_reloaded",
            changed=sorted(live),
            needs_restart=sorted(changed - LIVE_FIELDS),
        )
