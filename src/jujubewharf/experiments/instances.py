"""An entry core in its simulated process, and the calls made to it."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncGenerator
import contextlib
import functools

from jujubewharf import core as cores
from jujubewharf.experiments import adapters
from jujubewharf.experiments import processes
from jujubewharf.operators import service as operator_service
from jujubewharf.requests import model_request
from jujubewharf.requests import plain


class Instance:
    """One run of one instance.

    Args:
        process: Simulated process that owns the core's tasks.
        core: Entry core of the instance.
        log: The instance's connection to the log.
        live_list: The instance's connection to the live list.
    """

    def __init__(
        self,
        process: processes.Process,
        core: cores.EntryCore,
        log: adapters.InstanceLog,
        live_list: adapters.InstanceLiveList,
    ) -> None:
        self.process = process
        self.core = core
        self.log = log
        self.live_list = live_list

    def __repr__(self) -> str:
        return f"Instance({self.name!r}, {self.domain!r})"

    @property
    def name(self) -> str:
        """Name of the instance."""
        return self.process.name

    @property
    def domain(self) -> str:
        """Failure domain of the instance."""
        return self.process.domain

    @functools.cached_property
    def operators(self) -> operator_service.OperatorService:
        """Operator service of this instance, for in-process calls."""
        return operator_service.OperatorService(self.core)

    async def start(self) -> None:
        """Starts the core."""
        await self.process.create_task(_start(self.core))

    async def stop(self) -> None:
        """Stops the core gracefully."""
        await self.process.create_task(_stop(self.core))

    async def drain(self) -> None:
        """Drains the core as the daemon does on a signal, then stops it."""
        await self.process.create_task(_drain(self.core))
        await self.stop()

    async def answer(
        self, request: model_request.ModelRequest
    ) -> AsyncGenerator[model_request.Event, None]:
        """Sends a request and streams its answer, as a caller does.

        Closing the generator early cancels the request. The calling task is
        not part of the instance and survives when the instance is killed.

        Raises:
            InstanceLostError: The instance died.
        """
        if self.process.is_dead:
            raise processes.InstanceLostError(self.name)
        arrived: asyncio.Queue[model_request.Event | None] = asyncio.Queue()
        task = self.process.create_task(self._forward_events(request, arrived))
        self.process.add_death_callback(
            arrived, lambda: arrived.put_nowait(None)
        )
        try:
            while True:
                event = await arrived.get()
                if event is None:
                    break
                yield event
        finally:
            self.process.remove_death_callback(arrived)
            if not self.process.is_dead:
                task.cancel()
        if self.process.is_dead:
            raise processes.InstanceLostError(self.name)
        await task

    async def call_plain(self, request: plain.PlainRequest) -> bytes:
        """Calls a plain service and returns the whole body.

        Raises:
            InstanceLostError: The instance died.
            WharfError: The call was rejected or interrupted.
        """
        if self.process.is_dead:
            raise processes.InstanceLostError(self.name)
        call = self.process.create_task(_call_plain(self.core, request))
        lost = asyncio.get_running_loop().create_future()
        self.process.add_death_callback(call, lambda: lost.set_result(None))
        try:
            await asyncio.wait(
                (call, lost), return_when=asyncio.FIRST_COMPLETED
            )
        finally:
            self.process.remove_death_callback(call)
            if not call.done() and not self.process.is_dead:
                call.cancel()
        if lost.done():
            raise processes.InstanceLostError(self.name)
        return call.result()

    async def _forward_events(
        self,
        request: model_request.ModelRequest,
        arrived: asyncio.Queue[model_request.Event | None],
    ) -> None:
        events = self.core.answer(request)
        try:
            async with contextlib.aclosing(events) as open_events:
                async for event in open_events:
                    arrived.put_nowait(event)
        finally:
            arrived.put_nowait(None)


async def _call_plain(
    core: cores.EntryCore, request: plain.PlainRequest
) -> bytes:
    async with core.call_plain(request) as reply:
        return b"".join([chunk async for chunk in reply.body])


async def _start(core: cores.EntryCore) -> None:
    await core.start()


async def _drain(core: cores.EntryCore) -> None:
    await core.new_shutdown().run()


async def _stop(core: cores.EntryCore) -> None:
    await core.stop()
