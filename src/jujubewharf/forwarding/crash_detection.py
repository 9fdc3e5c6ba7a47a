"""Detects engine crashes and blocks the requests that cause them."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator
import contextlib
import dataclasses

from jujubewharf import clock as clocks
from jujubewharf.configuration import resources
from jujubewharf.engines import client
from jujubewharf.forwarding import calls
from jujubewharf.forwarding import crashes
from jujubewharf.forwarding import ports


class CrashDetectingBackends:
    """Wraps a ``ports.Backends`` to record crashes.

    All requests of callers pass through this class, so that each crash is
    attributed to the requests that the engine was processing.

    Args:
        backends: Client that makes the calls.
        history: Crash history of requests.
        clock: Time source.
    """

    def __init__(
        self,
        backends: ports.Backends,
        history: crashes.CrashHistory,
        clock: clocks.Clock,
    ) -> None:
        self._backends = backends
        self._history = history
        self._clock = clock
        self._checks: set[asyncio.Task[None]] = set()
        # Calls without a caller's request are passed through.
        self.listen = backends.listen
        self.drop_source = backends.drop_source
        self.reserve = backends.reserve
        self.drop_reservation = backends.drop_reservation
        self.is_changing = backends.is_changing
        self.is_reachable = backends.is_reachable
        self.has_crashed = backends.has_crashed
        self.process_state = backends.process_state
        self.watch_process = backends.watch_process
        self.order_role = backends.order_role

    @contextlib.asynccontextmanager
    async def send(
        self, endpoint: resources.Endpoint, outbound: calls.OutboundRequest
    ) -> AsyncIterator[calls.Reply]:
        """Sends a request; see ``ports.Backends``.

        Raises:
            WharfError: ``QUARANTINED``.
        """
        self._history.check(outbound.call)
        async with contextlib.AsyncExitStack() as stack:
            try:
                reply = await stack.enter_async_context(
                    self._backends.send(endpoint, outbound)
                )
            except client.EngineError as error:
                await self._handle_failure(
                    endpoint, outbound.call, error, stage="run"
                )
                raise
            body = self._watched_body(endpoint, outbound.call, reply)
            yield dataclasses.replace(reply, body=body)

    async def _watched_body(
        self,
        endpoint: resources.Endpoint,
        call: calls.Call,
        reply: calls.Reply,
    ) -> AsyncIterator[bytes]:
        progress = _Progress(self._history, call, self._clock)
        try:
            async for part in reply.body:
                progress.on_part()
                yield part
        except client.EngineError as error:
            await self._handle_failure(
                endpoint,
                call,
                error,
                stage="run",
                written_ms=progress.written_ms,
            )
            raise
        progress.on_end()

    async def prefill(
        self, endpoint: resources.Endpoint, outbound: calls.OutboundRequest
    ) -> calls.PrefillSource:
        """Runs prefill; see ``ports.Backends``.

        Raises:
            WharfError: ``QUARANTINED``.
        """
        self._history.check(outbound.call)
        try:
            return await self._backends.prefill(endpoint, outbound)
        except client.EngineError as error:
            await self._handle_failure(
                endpoint, outbound.call, error, stage="prefill"
            )
            raise

    async def _handle_failure(
        self,
        endpoint: resources.Endpoint,
        call: calls.Call,
        error: client.EngineError,
        *,
        stage: str,
        written_ms: float | None = None,
    ) -> None:
        """Checks whether an engine that lost a request has crashed.

        Args:
            endpoint: The engine.
            call: The request.
            error: How it was lost.
            stage: Stage of processing: ``prefill`` or ``run``.
            written_ms: Time since the engine's answer began; ``None`` if it had
                not begun.
        """
        if error.fault is not client.EngineFault.LOST:
            return
        check = asyncio.ensure_future(
            self._check_crash(endpoint, call, stage, written_ms)
        )
        self._checks.add(check)
        check.add_done_callback(self._checks.discard)
        # Continues if the caller disconnects, because the crash must still be
        # recorded before the caller tries again.
        await asyncio.shield(check)

    async def _check_crash(
        self,
        endpoint: resources.Endpoint,
        call: calls.Call,
        stage: str,
        written_ms: float | None,
    ) -> None:
        if await self._backends.has_crashed(endpoint):
            self._history.record_crash(
                call, endpoint.name, stage=stage, written_ms=written_ms
            )


class _Progress:
    """How long an engine has written an answer, and what that shows.

    Args:
        history: Crash history of requests.
        call: The request.
        clock: Time source.
    """

    def __init__(
        self,
        history: crashes.CrashHistory,
        call: calls.Call,
        clock: clocks.Clock,
    ) -> None:
        self._history = history
        self._call = call
        self._clock = clock
        self._began_ms: float | None = None
        self._has_written = False

    @property
    def written_ms(self) -> float | None:
        """Time since the answer began; ``None`` if it has not."""
        if self._began_ms is None:
            return None
        return self._clock.now_ms() - self._began_ms

    def on_part(self) -> None:
        """Records a part of the answer."""
        if self._has_written:
            self._history.record_writing(self._call)
        elif self._began_ms is None:
            self._began_ms = self._clock.now_ms()
        elif (self.written_ms or 0.0) >= crashes.CRASH_WITHIN_MS:
            self.on_end()

    def on_end(self) -> None:
        """Records that the engine has written for long enough, or all of it."""
        if not self._has_written:
            self._has_written = True
            self._history.record_written(self._call)
