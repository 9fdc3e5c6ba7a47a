"""Attempts of one request that are open at the same time.

An endpoint that is slow may answer a moment later. Its attempt therefore stays
open while another endpoint is tried, and the first answer is used.
"""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
import contextlib
import dataclasses
from typing import Generic
from typing import TypeVar

from jujubewharf import clock as clocks

# Last part of each limit. If this process was stopped, the limit is noticed
# before what arrived meanwhile is read; the last part begins after that.
_CONFIRM_MS = 20.0


_Result = TypeVar("_Result")


@dataclasses.dataclass(frozen=True, slots=True)
class Answered(Generic[_Result]):
    """An attempt got an answer.

    Attributes:
        result: The answer.
    """

    result: _Result


@dataclasses.dataclass(frozen=True, slots=True)
class Failed:
    """An attempt failed.

    Attributes:
        error: How it failed.
    """

    error: Exception


@dataclasses.dataclass(frozen=True, slots=True)
class Slow:
    """The newest attempt has lasted longer than its limit, and is still open.

    Attributes:
        endpoint: Its endpoint.
        is_first: Whether it wasn't slow before.
    """

    endpoint: str
    is_first: bool = True


@dataclasses.dataclass(slots=True)
class OpenCall:
    """One attempt.

    Attributes:
        endpoint: Name of its endpoint; empty until it is sent.
        slow_at_ms: Clock reading at which it counts as slow; ``None`` if it
            never does.
        is_slow: Whether it has been found slow.
    """

    on_change: Callable[[], None]
    endpoint: str = ""
    slow_at_ms: float | None = None
    is_slow: bool = False

    def sent(self, endpoint: str, slow_at_ms: float | None) -> None:
        """Records that the request is sent to an endpoint.

        Args:
            endpoint: Name of the endpoint.
            slow_at_ms: Limit, unless one was set before.
        """
        self.endpoint = endpoint
        if self.slow_at_ms is None:
            self.slow_at_ms = slow_at_ms
        self.on_change()


class OpenCalls(Generic[_Result]):
    """The open attempts of one request.

    Args:
        discard: Releases an answer that is not used.
        clock: Time source.
    """

    def __init__(
        self,
        discard: Callable[[_Result], Awaitable[None]],
        clock: clocks.Clock,
    ) -> None:
        self._discard = discard
        self._clock = clock
        self._has_changed = asyncio.Event()
        self._tasks: dict[asyncio.Task[_Result], OpenCall] = {}

    def __bool__(self) -> bool:
        """Whether any attempt is open."""
        return bool(self._tasks)

    @property
    def has_unsent(self) -> bool:
        """Whether an open attempt is still to be sent."""
        return any(not call.endpoint for call in self._tasks.values())

    async def __aenter__(self) -> OpenCalls[_Result]:
        return self

    async def __aexit__(self, *unused: object) -> None:
        """Ends all attempts that are still open."""
        for task in self._tasks:
            task.cancel()
        if not self._tasks:
            return
        await asyncio.wait(self._tasks)
        for task in self._tasks:
            if not task.cancelled() and task.exception() is None:
                await self._discard(task.result())

    def begin(
        self,
        attempt: Callable[[OpenCall], Awaitable[_Result]],
        *,
        slow_at_ms: float | None = None,
    ) -> None:
        """Begins another attempt.

        Args:
            attempt: Makes the attempt.
            slow_at_ms: Clock reading at which it counts as slow; ``None`` to
                let the attempt say.
        """
        call = OpenCall(self._has_changed.set, slow_at_ms=slow_at_ms)
        task = asyncio.ensure_future(attempt(call))
        task.add_done_callback(lambda _: self._has_changed.set())
        self._tasks[task] = call

    def set_limit(self, slow_at_ms: float | None) -> None:
        """Sets when the newest open attempt counts as slow, also once more.

        Args:
            slow_at_ms: Clock reading; ``None`` for never.
        """
        newest = self._newest
        if newest is not None:
            newest.slow_at_ms = slow_at_ms

    def set_limit_of_all(self, slow_at_ms: float) -> None:
        """Sets when each open attempt counts as slow.

        Args:
            slow_at_ms: Clock reading.
        """
        for call in self._tasks.values():
            call.slow_at_ms = slow_at_ms

    async def next_event(self) -> Answered[_Result] | Failed | Slow:
        """Waits until an attempt ends, or the newest one is slow."""
        while True:
            for task in self._tasks:
                if task.done():
                    return self._end(task)
            newest = self._newest
            if newest is not None and self._has_passed(newest.slow_at_ms):
                newest.slow_at_ms = None
                is_first, newest.is_slow = not newest.is_slow, True
                return Slow(newest.endpoint, is_first)
            await self._wait(None if newest is None else newest.slow_at_ms)

    def _end(self, task: asyncio.Task[_Result]) -> Answered[_Result] | Failed:
        del self._tasks[task]
        error = task.exception()
        if error is None:
            return Answered(task.result())
        if not isinstance(error, Exception):
            raise error
        return Failed(error)

    @property
    def _newest(self) -> OpenCall | None:
        return next(reversed(self._tasks.values()), None)

    def _has_passed(self, at_ms: float | None) -> bool:
        return at_ms is not None and self._clock.now_ms() >= at_ms

    async def _wait(self, slow_at_ms: float | None) -> None:
        if slow_at_ms is None:
            await self._has_changed.wait()
        else:
            await self._wait_until(slow_at_ms - _CONFIRM_MS)
            if not self._has_changed.is_set():
                await self._wait_until(self._clock.now_ms() + _CONFIRM_MS)
        self._has_changed.clear()

    async def _wait_until(self, at_ms: float) -> None:
        wait_ms = at_ms - self._clock.now_ms()
        with contextlib.suppress(TimeoutError):
            async with self._clock.timeout_ms(wait_ms):
                await self._has_changed.wait()
