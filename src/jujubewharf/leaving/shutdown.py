"""Graceful shutdown of an instance, with an upper bound on its duration.

First the readiness check fails and roles are handed over to peers. During a
short grace period requests that the balancer still sends are served. Then new
requests are refused, and the instance waits for the requests in flight, both
its callers' and those that other instances pull from here, before the process
stops.
"""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator
from collections.abc import Callable
import contextlib
import dataclasses

import structlog

from jujubewharf import clock as clocks
from jujubewharf import errors

_POLL_MS = 100.0
# Another instance can take the request at once.
_RETRY_AFTER_MS = 50.0
# Share of the whole shutdown in which new requests are served at most; the rest
# is for them to end.
_GRACE_SHARE = 0.35
# Share at its end that is left for answers to what hasn't ended.
_ANSWER_SHARE = 0.05


class AdmissionState:
    """Whether the instance admits requests, and how many are in flight.

    Attributes:
        is_ready: Readiness for the balancer; false asks it to send no more.
        is_accepting: Whether new requests are admitted.
        in_flight: Admitted requests that have not ended.
        ends_at_ms: Clock reading at which admitted requests must have ended;
            ``None`` while the instance isn't shutting down.
    """

    def __init__(self) -> None:
        self.is_ready = True
        self.is_accepting = True
        self.in_flight = 0
        self.ends_at_ms: float | None = None

    def check(self) -> None:
        """Refuses new requests while the instance shuts down.

        Raises:
            WharfError: ``SHUTTING_DOWN``; nothing ran.
        """
        if not self.is_accepting:
            kind = errors.ErrorKind.SHUTTING_DOWN
            raise errors.WharfError(kind, retry_after_ms=_RETRY_AFTER_MS)

    @contextlib.asynccontextmanager
    async def admitted(self) -> AsyncIterator[None]:
        """Counts a request as in flight for the block.

        Raises:
            WharfError: ``SHUTTING_DOWN``; nothing ran.
        """
        self.check()
        self.in_flight += 1
        try:
            yield
        finally:
            self.in_flight -= 1


@dataclasses.dataclass(frozen=True, slots=True)
class Summary:
    """Result of a shutdown.

    Attributes:
        cut: Requests that were still in flight when the drain limit passed or a
            second signal arrived.
        duration_ms: Duration of the shutdown in ms.
    """

    cut: int
    duration_ms: float


class Shutdown:
    """Drains one instance.

    Args:
        admission: Admission of new requests.
        running: Returns the number of answers being written, including those
            for other instances.
        hand_over: Hands roles and records over to other instances.
        clock: Clock.
        grace_ms: Time in ms for which new requests are still served; less if
            the whole shutdown leaves too little time for them to end.
        drain_ms: Upper bound in ms of the whole shutdown.
    """

    def __init__(
        self,
        admission: AdmissionState,
        running: Callable[[], int],
        hand_over: Callable[[], None],
        clock: clocks.Clock,
        *,
        grace_ms: float,
        drain_ms: float,
    ) -> None:
        self._admission = admission
        self._running = running
        self._hand_over = hand_over
        self._clock = clock
        self._grace_ms = min(grace_ms, _GRACE_SHARE * drain_ms)
        self._drain_ms = drain_ms
        self._forced = asyncio.Event()
        self._logger = structlog.get_logger()

    def force(self) -> None:
        """Skips the rest of the wait; requests in flight are cut off."""
        self._forced.set()

    async def run(self) -> Summary:
        """Waits until the instance is idle, the limit passes or ``force``."""
        started_ms = self._clock.now_ms()
        deadline_ms = started_ms + self._drain_ms
        self._logger.info("shutdown_began", in_flight=self._in_flight())
        self._admission.is_ready = False
        self._admission.ends_at_ms = (
            deadline_ms - _ANSWER_SHARE * self._drain_ms
        )
        self._hand_over()
        await self._wait_until_ms(started_ms + self._grace_ms)
        self._admission.is_accepting = False
        while self._in_flight() and self._clock.now_ms() < deadline_ms:
            if self._forced.is_set():
                break
            await self._wait_until_ms(self._clock.now_ms() + _POLL_MS)
        summary = Summary(self._in_flight(), self._clock.now_ms() - started_ms)
        log = self._logger.warning if summary.cut else self._logger.info
        log("shutdown_drained", **dataclasses.asdict(summary))
        return summary

    def _in_flight(self) -> int:
        return max(self._admission.in_flight, self._running())

    async def _wait_until_ms(self, at_ms: float) -> None:
        timeout_ms = at_ms - self._clock.now_ms()
        with contextlib.suppress(TimeoutError):
            async with self._clock.timeout_ms(timeout_ms):
                await self._forced.wait()
