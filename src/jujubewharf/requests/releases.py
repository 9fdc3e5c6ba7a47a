"""Releases engine resources and tracks the running attempts."""

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
RETRY_WINDOW_MS = 30_000.0
DIGEST_BYTES = 8


def digest_of(attempt_id: str) -> bytes:
    """Returns an 8-byte digest that identifies an attempt in sweep messages.

    After a collision, an attempt is kept for longer. An attempt that is needed
    is never freed.
    """
    return xxhash.xxh3_64_digest(attempt_id.encode())


def split_digests(digests: bytes) -> list[bytes]:
    """Splits concatenated digests."""
    return [
        digests[start : start + DIGEST_BYTES]
        for start in range(0, len(digests), DIGEST_BYTES)
    ]


class Releaser:
    """Releases attempts and retries until the engine confirms.

    A release without a response may not have arrived, and the engine would hold
    a slot that is never used. Retries end after ``RETRY_WINDOW_MS``: an engine
    that is unreachable for longer was restarted or is cut off, and the sweep in
    its own failure domain frees it.

    Args:
        fleet: Views of the engines.
        clock: Source of time and timeouts.
        counters: Counts releases that were given up.
        rng: Random numbers for jitter.
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
        """Adds an attempt; must be called before any engine knows of it.

        The sweep frees attempts that are not needed. An engine must therefore
        never hold an attempt that is not yet in this set.
        """
        self._needed.add(digest_of(attempt_id))

    def end(self, attempt_id: str) -> None:
        """Removes an attempt; its resources may be freed anywhere."""
        self._needed.discard(digest_of(attempt_id))

    def find_unneeded(self, digests: bytes) -> bytes:
        """Returns the digests of attempts that no local request needs."""
        return b"".join(
            digest
            for digest in split_digests(digests)
            if digest not in self._needed
        )

    def release(self, attempt_id: str, endpoint: resources.Endpoint) -> None:
        """Starts to release an attempt at one engine."""
        task = asyncio.create_task(self._release(attempt_id, endpoint))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def release_by_names(self, attempt_id: str, names: tuple[str, ...]) -> None:
        """Releases an attempt of a lost instance at the named engines."""
        for name in names:
            view = self._fleet.view(name)
            if view is not None:
                self.release(attempt_id, view.endpoint)

    async def flush(self, timeout_ms: float) -> None:
        """Waits up to ``timeout_ms`` for pending releases, on shutdown."""
        if self._tasks:
            seconds = timeout_ms / clocks.MS_PER_S
            await asyncio.wait(list(self._tasks), timeout=seconds)

    async def _release(
        self, attempt_id: str, endpoint: resources.Endpoint
    ) -> None:
        backoff = retries.Backoff(
            self._rng, first_ms=_FIRST_DELAY_MS, longest_ms=_LONGEST_DELAY_MS
        )
        until_ms = self._clock.now_ms() + RETRY_WINDOW_MS
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
