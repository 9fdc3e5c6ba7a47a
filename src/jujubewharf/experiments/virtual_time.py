"""An event loop in virtual time that can hold the callbacks of an owner.

Time advances to the next timer as soon as no callback is ready. Holding an
owner simulates a stopped or dead process: none of its callbacks and timers
run until it is released. The owner of a callback is stored in its context.
"""

from __future__ import annotations

import asyncio
import collections
from collections.abc import Callable
from collections.abc import Coroutine
import contextvars
import heapq
import selectors
from typing import Any
from typing import TypeVar

_Result = TypeVar("_Result")

_CANCEL_ROUNDS = 10

OWNER: contextvars.ContextVar[object | None] = contextvars.ContextVar(
    "owner", default=None
)


_RESOLUTION_DIGITS = 6
_TICK_S = 1e-6
_MAX_ROUNDS_PER_TICK = 2_000


class DeadlockError(RuntimeError):
    """Deadlock: no callback is ready and no timer is scheduled."""


class VirtualLoop(asyncio.SelectorEventLoop):
    """Event loop in virtual time, starting at zero.

    It supports no I/O and never polls the operating system.
    """

    # Attributes of ``asyncio.BaseEventLoop`` that are missing in typeshed.
    _ready: collections.deque[asyncio.Handle]
    _scheduled: list[asyncio.TimerHandle]

    def __init__(self) -> None:
        super().__init__(_VirtualSelector(self))
        self._now_s = 0.0
        self._clock_resolution = _TICK_S
        self._held: dict[object, list[asyncio.Handle]] = {}

    def time(self) -> float:
        """Returns the virtual time in seconds."""
        return self._now_s

    def jump(self) -> None:
        """Advances the time to the next timer.

        Raises:
            DeadlockError: No timer is scheduled.
        """
        if not self._scheduled:
            raise DeadlockError(
                "no callback is ready and no timer is scheduled"
            )
        # Rounding removes floating-point errors of summed durations.
        next_s = round(self._scheduled[0].when(), _RESOLUTION_DIGITS)
        if next_s <= self._now_s:
            self.tick()
        else:
            self._now_s = next_s

    def tick(self) -> None:
        """Advances the time by the clock resolution.

        Code that repeatedly waits for the remainder of a duration would loop
        forever if the remainder is too small to advance the clock.
        """
        self._now_s = round(self._now_s + _TICK_S, _RESOLUTION_DIGITS)

    def hold(self, owner: object) -> None:
        """Holds all callbacks and timers of an owner; idempotent."""
        if owner in self._held:
            return
        held = self._held[owner] = []
        ready = list(self._ready)
        self._ready.clear()
        for handle in ready:
            if _owner(handle) is owner:
                held.append(handle)
                handle = self._placeholder()
            self._ready.append(handle)
        timers = sorted(self._scheduled)
        self._scheduled.clear()
        for timer in timers:
            if _owner(timer) is owner:
                timer._scheduled = False  # type: ignore[attr-defined]
                held.append(timer)
            else:
                self._scheduled.append(timer)

    def release(self, owner: object) -> None:
        """Releases an owner; overdue callbacks run at once."""
        for handle in self._held.pop(owner, []):
            if handle.cancelled():
                continue
            if isinstance(handle, asyncio.TimerHandle):
                handle._scheduled = True  # type: ignore[attr-defined]
                heapq.heappush(self._scheduled, handle)
            else:
                self._ready.append(handle)

    def release_all(self) -> None:
        """Releases all owners."""
        for owner in list(self._held):
            self.release(owner)

    def _placeholder(self) -> asyncio.Handle:
        """Returns a cancelled handle as a placeholder in the ready queue.

        The loop counts the ready handles before it runs them and fails on an
        empty queue if a callback removes one.
        """
        handle = asyncio.Handle(lambda: None, (), self)
        handle.cancel()
        return handle

    def _call_soon(
        self,
        callback: Callable[..., object],
        args: tuple[Any, ...],
        context: contextvars.Context | None,
    ) -> asyncio.Handle:
        if self._held:
            owner = OWNER.get() if context is None else context.get(OWNER)
            held = self._held.get(owner)
            if held is not None:
                handle = asyncio.Handle(callback, args, self, context)
                held.append(handle)
                return handle
        return super()._call_soon(callback, args, context)  # type: ignore[misc]


class _VirtualSelector(selectors.DefaultSelector):
    def __init__(self, loop: VirtualLoop) -> None:
        super().__init__()
        self._loop = loop
        self._rounds = 0

    def select(
        self, timeout: float | None = None
    ) -> list[tuple[selectors.SelectorKey, int]]:
        self._rounds += 1
        if timeout is None or timeout > 0:
            self._loop.jump()
            self._rounds = 0
        elif self._rounds >= _MAX_ROUNDS_PER_TICK:
            self._loop.tick()
            self._rounds = 0
        return []


def run(main: Coroutine[Any, Any, _Result]) -> _Result:
    """Runs a coroutine to completion in virtual time."""
    loop = VirtualLoop()
    try:
        return loop.run_until_complete(main)
    finally:
        loop.release_all()
        _cancel_remaining(loop)
        loop.close()


def _owner(handle: asyncio.Handle) -> object | None:
    return handle._context.get(OWNER)  # type: ignore[attr-defined]


def _cancel_remaining(loop: asyncio.AbstractEventLoop) -> None:
    """Cancels all tasks, including those started during cancellation.

    Python 3.11 raises ``SystemError`` if the garbage collector destroys a
    pending task during ``ast.parse``.
    """
    for _ in range(_CANCEL_ROUNDS):
        remaining = asyncio.all_tasks(loop)
        if not remaining:
            return
        for task in remaining:
            task.cancel()
        gathered = asyncio.gather(*remaining, return_exceptions=True)
        loop.run_until_complete(gathered)
