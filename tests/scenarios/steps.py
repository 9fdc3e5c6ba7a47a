"""Shared state of the scenarios: a bench that runs on virtual time."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from collections.abc import Coroutine
from typing import Any

from jujubewharf.experiments import bench as benches
from jujubewharf.experiments import virtual_time

_STEP_MS = 100.0


class World:
    """A bench whose virtual clock advances only while a step runs."""

    def __init__(self) -> None:
        self.loop = virtual_time.VirtualLoop()
        self.bench = benches.Bench()

    def run(self, coroutine: Coroutine[Any, Any, Any]) -> Any:
        """Runs a coroutine to completion."""
        return self.loop.run_until_complete(coroutine)

    def call_in_loop(self, action: Callable[[], Any]) -> Any:
        """Calls a function within the running event loop."""

        async def call() -> Any:
            return action()

        return self.run(call())

    def wait_s(self, duration_s: float) -> None:
        """Advances the virtual clock."""
        self.run(self.bench.clock.sleep_ms(duration_s * 1_000))

    def condition_met_within_s(
        self, duration_s: float, condition: Callable[[], bool]
    ) -> bool:
        """Waits for a condition; returns whether it became true in time."""

        async def watch() -> bool:
            deadline_ms = self.bench.clock.now_ms() + duration_s * 1_000
            while not condition():
                if self.bench.clock.now_ms() >= deadline_ms:
                    return False
                await self.bench.clock.sleep_ms(_STEP_MS)
            return True

        return bool(self.run(watch()))

    def close(self) -> None:
        """Stops the bench and cancels all remaining tasks."""
        self.run(self.bench.stop())
        self.loop.release_all()
        remaining = asyncio.all_tasks(self.loop)
        for task in remaining:
            task.cancel()
        if remaining:
            self.run(_wait_for_all(remaining))
        self.loop.close()


class LoadedWorld(World):
    """A world in which callers send requests while steps run.

    Attributes:
        sent: Request tasks that ``end_load`` waits for.
    """

    def __init__(self) -> None:
        super().__init__()
        self.sent: list[asyncio.Task[Any]] = []
        self._load_task: asyncio.Task[None] | None = None

    def start_load(self, sending: Coroutine[Any, Any, None]) -> None:
        """Starts sending requests in the background."""

        async def start() -> None:
            self._load_task = asyncio.create_task(sending)

        self.run(start())

    def end_load(self) -> None:
        """Stops sending and waits for all answers."""
        assert self._load_task is not None
        self._load_task.cancel()

        async def finish() -> None:
            await asyncio.gather(*self.sent)

        self.run(finish())


async def _wait_for_all(tasks: set[asyncio.Task[Any]]) -> None:
    await asyncio.gather(*tasks, return_exceptions=True)
