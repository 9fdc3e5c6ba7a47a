"""Calls of engines and endpoints, watched for those that crash meanwhile.

A request that crashes engines goes to no more of them.
"""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator
import contextlib
import dataclasses

from jujubewharf.configuration import resources
from jujubewharf.engines import client
from jujubewharf.forwarding import calls
from jujubewharf.forwarding import crashes
from jujubewharf.forwarding import ports


class WatchedBackends:
    """Implements ``ports.Backends`` over another one.

    All sendings of callers' requests pass here, first and later ones alike, so
    none is forgotten.

    Args:
        backends: Makes the calls.
        history: Learns which engines crashed under which requests.
    """

    def __init__(
        self, backends: ports.Backends, history: crashes.CrashHistory
    ) -> None:
        self._backends = backends
        self._history = history
        self._looking: set[asyncio.Task[None]] = set()
        # These carry no request of a caller.
        self.listen = backends.listen
        self.drop_source = backends.drop_source
        self.reserve = backends.reserve
        self.drop_reservation = backends.drop_reservation
        self.is_changing = backends.is_changing
        self.has_crashed = backends.has_crashed
        self.order_role = backends.order_role

    @contextlib.asynccontextmanager
    async def send(
        self, endpoint: resources.Endpoint, sending: calls.Sending
    ) -> AsyncIterator[calls.Reply]:
        """Sends a request; see ``ports.Backends``.

        Raises:
            WharfError: It has crashed engines.
        """
        self._history.check(sending.call)
        async with contextlib.AsyncExitStack() as stack:
            try:
                reply = await stack.enter_async_context(
                    self._backends.send(endpoint, sending)
                )
            except client.EngineError as error:
                await self._failed(endpoint, sending.call, error, stage="run")
                raise
            body = self._body(endpoint, sending.call, reply)
            yield dataclasses.replace(reply, body=body)

    async def _body(
        self,
        endpoint: resources.Endpoint,
        call: calls.Call,
        reply: calls.Reply,
    ) -> AsyncIterator[bytes]:
        try:
            async for part in reply.body:
                yield part
        except client.EngineError as error:
            await self._failed(endpoint, call, error, stage="run")
            raise

    async def prefill(
        self, endpoint: resources.Endpoint, sending: calls.Sending
    ) -> calls.Source:
        """Reads a prompt; see ``ports.Backends``.

        Raises:
            WharfError: It has crashed engines.
        """
        self._history.check(sending.call)
        try:
            return await self._backends.prefill(endpoint, sending)
        except client.EngineError as error:
            await self._failed(endpoint, sending.call, error, stage="prefill")
            raise

    async def _failed(
        self,
        endpoint: resources.Endpoint,
        call: calls.Call,
        error: client.EngineError,
        *,
        stage: str,
    ) -> None:
        """Finds out whether an engine that lost a request has crashed."""
        if error.fault is not client.EngineFault.LOST:
            return
        looking = asyncio.ensure_future(self._look(endpoint, call, stage))
        self._looking.add(looking)
        looking.add_done_callback(self._looking.discard)
        # Goes on when the caller leaves: the next try would crash another one.
        await asyncio.shield(looking)

    async def _look(
        self, endpoint: resources.Endpoint, call: calls.Call, stage: str
    ) -> None:
        if await self._backends.has_crashed(endpoint):
            self._history.crashed(call, endpoint.name, stage=stage)
