"""Simulated process of an entry instance that can be paused and killed."""

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
    """The instance died during a call."""


def create_unowned_task(
    coroutine: Coroutine[Any, Any, _Result],
) -> asyncio.Task[_Result]:
    """Starts a task that belongs to no instance, such as engine work.

    Tasks inherit the context of their creator and with it the owner. Without
    a new context, an engine would stop when the calling instance is paused.
    """
    loop = asyncio.get_running_loop()
    task = loop.create_task(coroutine, context=contextvars.Context())
    task.add_done_callback(_retrieve_exception)
    return task


def _retrieve_exception(task: asyncio.Task[Any]) -> None:
    """Retrieves the exception, as the caller may no longer await the task."""
    if not task.cancelled():
        task.exception()


class Process:
    """All tasks of one run of one instance.

    Args:
        name: Name of the instance.
        domain: Failure domain of the instance.

    Attributes:
        is_dead: Whether the process was killed.
        is_paused: Whether the process is paused.
    """

    def __init__(self, name: str, domain: str) -> None:
        self.name = name
        self.domain = domain
        self.is_dead = False
        self.is_paused = False
        self._on_death: dict[object, Callable[[], None]] = {}
        self._killed_tasks: list[asyncio.Task[Any]] = []

    def __repr__(self) -> str:
        return f"Process({self.name!r}, is_dead={self.is_dead})"

    def create_task(
        self, coroutine: Coroutine[Any, Any, _Result]
    ) -> asyncio.Task[_Result]:
        """Starts a task that belongs to the process."""
        context = contextvars.Context()
        context.run(virtual_time.OWNER.set, self)
        loop = asyncio.get_running_loop()
        return loop.create_task(coroutine, context=context)

    async def call_remote(
        self, coroutine: Coroutine[Any, Any, _Result]
    ) -> _Result:
        """Awaits a coroutine that runs outside the process.

        The coroutine continues if the caller is cancelled. Calls from a dead
        process are dropped, such as those of clean-up code that runs when the
        event loop is torn down.
        """
        if self.is_dead:
            coroutine.close()
            raise asyncio.CancelledError
        return await asyncio.shield(create_unowned_task(coroutine))

    def add_death_callback(self, key: object, call: Callable[[], None]) -> None:
        """Registers a callback for ``kill``; see ``remove_death_callback``."""
        self._on_death[key] = call

    def remove_death_callback(self, key: object) -> None:
        """Unregisters a death callback."""
        self._on_death.pop(key, None)

    def pause(self) -> None:
        """Pauses all tasks and timers of the process."""
        _loop().hold(self)
        self.is_paused = True

    def resume(self) -> None:
        """Resumes a paused process with its state unchanged."""
        self.is_paused = False
        _loop().release(self)

    def kill(self) -> None:
        """Kills the process without running its clean-up code."""
        self.is_dead = True
        # Keep the tasks referenced: the loop only holds weak references, and
        # the clean-up code of a garbage-collected task would run.
        self._killed_tasks = list(asyncio.all_tasks())
        _loop().hold(self)
        for call in list(self._on_death.values()):
            call()


def _loop() -> virtual_time.VirtualLoop:
    loop = asyncio.get_running_loop()
    assert isinstance(loop, virtual_time.VirtualLoop)
    return loop
