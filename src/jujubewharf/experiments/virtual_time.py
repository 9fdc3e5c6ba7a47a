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
from typing import Any
from typing import TypeVar

import looptime

_CANCEL_ROUNDS = 10

_Result = TypeVar("_Result")

OWNER: contextvars.ContextVar[object | None] = contextvars.ContextVar(
    "owner", default=None
)


class VirtualLoop(looptime.LoopTimeEventLoop, asyncio.SelectorEventLoop):
    """The loop; it starts at time zero."""

    # What asyncio's own base class calls them; typeshed leaves them out.
    _ready: collections.deque[asyncio.Handle]
    _scheduled: list[asyncio.TimerHandle]

    def __init__(self) -> None:
        super().__init__(start=0, noop_cycles=0)
        self._held: dict[object, list[asyncio.Handle]] = {}

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
