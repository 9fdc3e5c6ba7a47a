"""One entry instance as a process that can be paused and killed."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from collections.abc import Coroutine
import contextvars
from typing import Any
from typing import TypeVar

from jujubewharf.experiments import virtual_time

_Result = TypeVar("_Result")


class InstanceLostError(Exception):
    """The instance died while a caller waited for it."""


def outside(coroutine: Coroutine[Any, Any, _Result]) -> asyncio.Task[_Result]:
    """Runs what belongs to no instance, such as an engine's own work.

    A task inherits its maker's context, and so its owner: without this an
    engine's writing would stop when the instance that asked for it is paused.
    """
    loop = asyncio.get_running_loop()
    task = loop.create_task(coroutine, context=contextvars.Context())
    task.add_done_callback(_look_at)
    return task


def _look_at(task: asyncio.Task[Any]) -> None:
    """Marks a failure as seen: whoever asked may wait for it no longer."""
    if not task.cancelled():
        task.exception()


class Process:
    """All tasks of one run of one instance.

    Args:
        name: The instance's name.
        domain: Its failure domain.

    Attributes:
        is_dead: Set for good by ``kill``.
        is_paused: Whether it stands still just now.
    """

    def __init__(self, name: str, domain: str) -> None:
        self.name = name
        self.domain = domain
        self.is_dead = False
        self.is_paused = False
        self._on_death: dict[object, Callable[[], None]] = {}
        self._kept: list[asyncio.Task[Any]] = []

    def __repr__(self) -> str:
        return f"Process({self.name!r}, is_dead={self.is_dead})"

    def create_task(
        self, coroutine: Coroutine[Any, Any, _Result]
    ) -> asyncio.Task[_Result]:
        """Runs a coroutine as part of the process."""
        context = contextvars.Context()
        context.run(virtual_time.OWNER.set, self)
        loop = asyncio.get_running_loop()
        return loop.create_task(coroutine, context=context)

    async def call_out(
        self, coroutine: Coroutine[Any, Any, _Result]
    ) -> _Result:
        """Runs something at another process and waits for its answer.

        What was sent goes on there even when the waiting ends here. A dead
        process sends nothing, whatever its clean-up code tries at the very
        end of a run.
        """
        if self.is_dead:
            coroutine.close()
            raise asyncio.CancelledError
        return await asyncio.shield(outside(coroutine))

    def on_death(self, key: object, call: Callable[[], None]) -> None:
        """Calls back when the process is killed; ``forget`` ends it."""
        self._on_death[key] = call

    def forget(self, key: object) -> None:
        """Ends an ``on_death``."""
        self._on_death.pop(key, None)

    def pause(self) -> None:
        """Stops it; it notices nothing of the time that passes."""
        _loop().hold(self)
        self.is_paused = True

    def resume(self) -> None:
        """Lets it run on, believing what it believed."""
        self.is_paused = False
        _loop().let_go(self)

    def kill(self) -> None:
        """Stops it for good, without any goodbye."""
        self.is_dead = True
        # A stopped task that nothing refers to would be collected, and its
        # clean-up code would run: the loop itself keeps weak references.
        self._kept = list(asyncio.all_tasks())
        _loop().hold(self)
        for call in list(self._on_death.values()):
            call()


def _loop() -> virtual_time.VirtualLoop:
    loop = asyncio.get_running_loop()
    assert isinstance(loop, virtual_time.VirtualLoop)
    return loop
