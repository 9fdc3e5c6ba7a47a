"""Gives engine memory back, and knows which attempts are alive here."""

from __future__ import annotations

import asyncio
import random

import structlog
import xxhash

from jujubewharf import clock as clocks
from jujubewharf.configuration import resources
from jujubewharf.engines import client
from jujubewharf.requests import counters as request_counters
from jujubewharf.requests import retries
from jujubewharf.routing import fleet as fleets

_FIRST_DELAY_MS = 100.0
_LONGEST_DELAY_MS = 2_000.0
GIVE_UP_MS = 30_000.0
MARK_BYTES = 8


def mark_of(attempt_id: str) -> bytes:
    """Eight bytes that stand for an attempt where sweeps ask owners.

    Should two attempts ever share a mark, one is kept for longer; none that
    is needed can be freed by it.
    """
    return xxhash.xxh3_64_digest(attempt_id.encode())


def marks_in(marks: bytes) -> list[bytes]:
    """The single marks of a run of marks."""
    return [
        marks[start : start + MARK_BYTES]
        for start in range(0, len(marks), MARK_BYTES)
    ]


class Releaser:
    """Releases attempts, again and again until the engine has answered.

    A release whose answer is lost may not have arrived; without the repeat
    the engine holds a slot for nobody. Repeats end after ``GIVE_UP_MS``,
    because an engine that is gone for longer has lost its memory, or is cut
    off, and then the sweep in its own domain frees it.

    Args:
        fleet: Views of the engines.
        clock: Time.
        counters: Counts what was given up.
        rng: Jitter.
    """

    def __init__(
        self,
        fleet: fleets.Fleet,
        clock: clocks.Clock,
        counters: request_counters.Counters,
        rng: random.Random,
    ) -> None:
        self._fleet = fleet
        self._clock = clock
        self._counters = counters
        self._rng = rng
        self._needed: set[bytes] = set()
        self._tasks: set[asyncio.Task[None]] = set()
        self._logger = structlog.get_logger()

    def begin(self, attempt_id: str) -> None:
        """An attempt begins; called before any engine hears of it.

        The sweep takes "not needed" as leave to free, so the order matters:
        no engine may hold an attempt that is not yet needed here.
        """
        self._needed.add(mark_of(attempt_id))

    def end(self, attempt_id: str) -> None:
        """An attempt ended; what it holds anywhere may be freed."""
        self._needed.discard(mark_of(attempt_id))

    def not_needed(self, marks: bytes) -> bytes:
        """Those attempts that no request here needs, and never will."""
        return b"".join(
            mark for mark in marks_in(marks) if mark not in self._needed
        )

    def release(self, attempt_id: str, endpoint: resources.Endpoint) -> None:
        """Starts to release an attempt at one engine."""
        task = asyncio.create_task(self._release(attempt_id, endpoint))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def release_by_names(self, attempt_id: str, names: tuple[str, ...]) -> None:
        """Releases an attempt of a lost instance at engines named by it."""
        for name in names:
            view = self._fleet.view(name)
            if view is not None:
                self.release(attempt_id, view.endpoint)

    async def flush(self, timeout_ms: float) -> None:
        """Waits a while for releases under way, for a shutdown."""
        if self._tasks:
            seconds = timeout_ms / clocks.MS_PER_S
            await asyncio.wait(list(self._tasks), timeout=seconds)

    async def _release(
        self, attempt_id: str, endpoint: resources.Endpoint
    ) -> None:
        backoff = retries.Backoff(
            self._rng, first_ms=_FIRST_DELAY_MS, longest_ms=_LONGEST_DELAY_MS
        )
        until_ms = self._clock.now_ms() + GIVE_UP_MS
        while self._clock.now_ms() < until_ms:
            view = self._fleet.view(endpoint.name)
            if view is None or view.endpoint.address != endpoint.address:
                return
            try:
                await view.client.release(attempt_id)
                return
            except client.EngineError as error:
                fault = error.fault.value
            await self._clock.sleep_ms(backoff.next_ms())
        self._counters.release_given_up()
        self._logger.warning(
            "release_given_up",
            attempt=attempt_id,
            engine=endpoint.name,
            fault=fault,
        )
