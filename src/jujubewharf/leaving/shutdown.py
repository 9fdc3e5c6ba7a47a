"""A graceful shutdown: no request in flight is cut off, within a bound.

In this order: the balancer is told and peers are given the roles; after a
short grace, in which the balancer's last requests are still served, new ones
are refused; what runs here, for callers or for other instances that pull
from here, ends by itself; only then does the process stop.
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
# Any other instance takes the request, so there is nothing to wait for.
_RETRY_AFTER_MS = 50.0


class AdmissionState:
    """Whether the instance takes requests, and how many it has.

    Attributes:
        is_ready: False asks the balancer to send no more.
        is_accepting: False refuses new requests.
        in_flight: Requests that were admitted and have not ended.
    """

    def __init__(self) -> None:
        self.is_ready = True
        self.is_accepting = True
        self.in_flight = 0

    def check(self) -> None:
        """Refuses a new request while the instance shuts down.

        Raises:
            WharfError: ``SHUTTING_DOWN``; nothing ran.
        """
        if not self.is_accepting:
            kind = errors.ErrorKind.SHUTTING_DOWN
            raise errors.WharfError(kind, retry_after_ms=_RETRY_AFTER_MS)

    @contextlib.asynccontextmanager
    async def admitted(self) -> AsyncIterator[None]:
        """Counts a request for the block.

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
    """How a shutdown went.

    Attributes:
        cut: Requests that were still in flight when the bound passed or a
            second signal came.
        duration_ms: How long it took.
    """

    cut: int
    duration_ms: float


class Shutdown:
    """Empties one instance.

    Args:
        admission: Where requests come in.
        running: Answers being written here, also for other instances.
        hand_over: Gives roles and records to others.
        clock: Time.
        grace_ms: How long new requests are still served.
        drain_ms: Upper bound of the whole.
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
        self._grace_ms = grace_ms
        self._drain_ms = drain_ms
        self._hastened = asyncio.Event()
        self._logger = structlog.get_logger()

    def hasten(self) -> None:
        """Ends the waiting at once; what is in flight is cut."""
        self._hastened.set()

    async def run(self) -> Summary:
        """Waits until the instance is empty, the bound or ``hasten``."""
        began_ms = self._clock.now_ms()
        until_ms = began_ms + self._drain_ms
        self._logger.info("shutdown_began", in_flight=self._busy())
        self._admission.is_ready = False
        self._hand_over()
        await self._wait_until_ms(min(began_ms + self._grace_ms, until_ms))
        self._admission.is_accepting = False
        while self._busy() and self._clock.now_ms() < until_ms:
            if self._hastened.is_set():
                break
            await self._wait_until_ms(self._clock.now_ms() + _POLL_MS)
        summary = Summary(self._busy(), self._clock.now_ms() - began_ms)
        log = self._logger.warning if summary.cut else self._logger.info
        log("shutdown_drained", **dataclasses.asdict(summary))
        return summary

    def _busy(self) -> int:
        return max(self._admission.in_flight, self._running())

    async def _wait_until_ms(self, at_ms: float) -> None:
        left_ms = at_ms - self._clock.now_ms()
        with contextlib.suppress(TimeoutError):
            async with self._clock.timeout_ms(left_ms):
                await self._hastened.wait()
