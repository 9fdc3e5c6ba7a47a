"""An event loop whose time jumps to the next timer, and that can hold tasks.

Holding stands for a stopped process (``SIGSTOP``, a long pause, a dead
machine): nothing that belongs to the held owner runs, its timers included,
until it is let go. Whom a callback belongs to is told by its context, so no
code of the product has to know.
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
_ROUNDS_A_TICK = 2_000


class StuckError(RuntimeError):
    """Nothing is due and nothing can ever come: tasks wait for each other."""


class VirtualLoop(asyncio.SelectorEventLoop):
    """The loop; it starts at time zero.

    It does no input or output, so that asking the system for events, which
    the library ``looptime`` does several times a step, is spared.
    """

    # What asyncio's own base class calls them; typeshed leaves them out.
    _ready: collections.deque[asyncio.Handle]
    _scheduled: list[asyncio.TimerHandle]

    def __init__(self) -> None:
        super().__init__(_JumpingSelector(self))
        self._now_s = 0.0
        self._clock_resolution = _TICK_S
        self._held: dict[object, list[asyncio.Handle]] = {}

    def time(self) -> float:
        """Virtual seconds."""
        return self._now_s

    def jump(self) -> None:
        """Goes on to the next timer.

        Raises:
            StuckError: There is none.
        """
        if not self._scheduled:
            raise StuckError("nothing is due, ever")
        # Rounded, so that sums of durations don't differ in the last bit.
        next_s = round(self._scheduled[0].when(), _RESOLUTION_DIGITS)
        if next_s <= self._now_s:
            self.tick()
        else:
            self._now_s = next_s

    def tick(self) -> None:
        """Goes on by the least step.

        Code that waits for what is left of a while may find left, by
        rounding, what is too little to move the clock, and wait for it again
        and again: on a real loop the rounds themselves take time.
        """
        self._now_s = round(self._now_s + _TICK_S, _RESOLUTION_DIGITS)

    def hold(self, owner: object) -> None:
        """Stops everything of an owner; again is harmless."""
        if owner in self._held:
            return
        held = self._held[owner] = []
        ready = list(self._ready)
        self._ready.clear()
        for handle in ready:
            if _owner(handle) is owner:
                held.append(handle)
                handle = self._skipped()
            self._ready.append(handle)
        timers = sorted(self._scheduled)
        self._scheduled.clear()
        for timer in timers:
            if _owner(timer) is owner:
                timer._scheduled = False  # type: ignore[attr-defined]
                held.append(timer)
            else:
                self._scheduled.append(timer)

    def let_go(self, owner: object) -> None:
        """Lets an owner run on; what fell due meanwhile runs now."""
        for handle in self._held.pop(owner, []):
            if handle.cancelled():
                continue
            if isinstance(handle, asyncio.TimerHandle):
                handle._scheduled = True  # type: ignore[attr-defined]
                heapq.heappush(self._scheduled, handle)
            else:
                self._ready.append(handle)

    def let_all_go(self) -> None:
        """Lets every owner run on, for the end of a run."""
        for owner in list(self._held):
            self.let_go(owner)

    def _skipped(self) -> asyncio.Handle:
        """A handle that the loop passes over.

        A round of the loop counts its handles before it runs them; taking one
        out while a callback of the same round holds an owner would leave the
        round short, and it would crash on the empty queue.
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


class _JumpingSelector(selectors.DefaultSelector):
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
        elif self._rounds >= _ROUNDS_A_TICK:
            self._loop.tick()
            self._rounds = 0
        return []


def run(main: Coroutine[Any, Any, _Result]) -> _Result:
    """Runs to the end in virtual time, starting at zero."""
    loop = VirtualLoop()
    try:
        return loop.run_until_complete(main)
    finally:
        loop.let_all_go()
        _cancel_rest(loop)
        loop.close()


def _owner(handle: asyncio.Handle) -> object | None:
    return handle._context.get(OWNER)  # type: ignore[attr-defined]


def _cancel_rest(loop: asyncio.AbstractEventLoop) -> None:
    """Cancels all tasks, and those that the cancelled ones start in turn.

    A task left over is destroyed by the garbage collector at any later
    moment; within ``ast.parse`` that is a ``SystemError`` of Python 3.11.
    """
    for _ in range(_CANCEL_ROUNDS):
        rest = asyncio.all_tasks(loop)
        if not rest:
            return
        for task in rest:
            task.cancel()
        gathered = asyncio.gather(*rest, return_exceptions=True)
        loop.run_until_complete(gathered)
