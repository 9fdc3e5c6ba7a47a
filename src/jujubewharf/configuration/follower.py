"""Follows the configuration stream and holds the state in force."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

import mode
import structlog

from jujubewharf import clock as clocks
from jujubewharf.configuration import records
from jujubewharf.configuration import state as states
from jujubewharf.platform import log

_RETRY_MS = 250.0

Listener = Callable[[states.State], None]


class ConfigurationFollower(mode.Service):
    """Reads the log on and on and folds what it reads.

    Args:
        platform_log: The platform's log.
        clock: Time.
        wait_ms: How long one read waits for news.

    Attributes:
        current: Configuration in force here.
        caught_up: Set once the end of the log was seen.
    """

    def __init__(
        self,
        platform_log: log.Log,
        clock: clocks.Clock,
        *,
        wait_ms: float = 2_000.0,
    ) -> None:
        super().__init__()
        self.current = states.State()
        self.caught_up = asyncio.Event()
        self._log = platform_log
        self._clock = clock
        self._wait_ms = wait_ms
        self._listeners: list[Listener] = []
        self._logger = structlog.get_logger()

    def listen(self, listener: Listener) -> None:
        """Calls back after every run of records that was folded."""
        self._listeners.append(listener)

    @mode.Service.task
    async def _follow(self) -> None:
        while not self.should_stop:
            try:
                await self._read_once()
            except log.LogUnavailableError as error:
                self._logger.warning("log_unavailable", detail=str(error))
                await self._clock.sleep_ms(_RETRY_MS)

    async def _read_once(self) -> None:
        page = await self._log.read(
            records.STREAM, self.current.next_offset, wait_ms=self._wait_ms
        )
        for record in page.records:
            self.current.apply(record)
        if page.records:
            for listener in self._listeners:
                listener(self.current)
        if self.current.next_offset >= page.next_offset:
            self.caught_up.set()
