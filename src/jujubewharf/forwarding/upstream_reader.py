"""Reads an engine's answer without ending it when it is waited for too long."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from jujubewharf import clock as clocks
from jujubewharf.configuration import resources
from jujubewharf.engines import client
from jujubewharf.forwarding import attempts
from jujubewharf.forwarding import events

# Time for which an engine must stay silent once its limit has passed. If this
# process was stopped, the limit is noticed before what arrived meanwhile is
# read; the confirmation begins after that.
_CONFIRM_MS = 100.0


def _do_nothing() -> None:
    pass


class UpstreamReader:
    """Reads the events of one engine's answer, one part ahead.

    Cancelling a read of the body ends the answer, so a task of its own reads
    it, whoever stops waiting.

    Args:
        upstream: The engine's answer.
        clock: Time source.

    Attributes:
        upstream: The engine's answer.
        has_begun: Whether any of the body has arrived.
        heard_ms: Clock reading when the engine was last heard.
        on_arrival: Called when ``take`` may be called.
    """

    def __init__(
        self, upstream: attempts.Upstream, clock: clocks.Clock
    ) -> None:
        self.upstream = upstream
        self.has_begun = False
        self.heard_ms = clock.now_ms()
        self.on_arrival: Callable[[], None] = _do_nothing
        self._clock = clock
        self._splitter = events.EventSplitter()
        self._part: bytes | None = None
        self._error: Exception | None = None
        self._arrived = asyncio.Event()
        self._taken = asyncio.Event()
        self._silence = _SilenceTimer(clock)
        self._task = asyncio.ensure_future(self._read())

    @property
    def engine(self) -> resources.Endpoint:
        """The engine that answers."""
        return self.upstream.engine

    @property
    def is_ready(self) -> bool:
        """Whether ``take`` may be called."""
        return self._arrived.is_set()

    @property
    def silent_ms(self) -> float:
        """Time since the engine was last heard."""
        return self._clock.now_ms() - self.heard_ms

    async def wait(self) -> None:
        """Waits until ``take`` may be called."""
        await self._arrived.wait()

    async def is_heard_within(self, limit_ms: float | None) -> bool:
        """Waits until the engine is heard, at most for a limited time.

        Args:
            limit_ms: Limit in milliseconds; ``None`` for none.
        """
        if limit_ms is None or self.is_ready:
            await self.wait()
            return True
        await self._silence.wait(limit_ms)
        return self.is_ready

    def take(self) -> list[events.Event] | None:
        """Returns the events that what has arrived completes.

        Returns:
            ``None`` at the end of the answer.

        Raises:
            EngineError: The answer broke off.
        """
        assert self.is_ready
        if self._part is not None:
            part, self._part = self._part, None
            self._arrived.clear()
            self._taken.set()
            try:
                return self._splitter.feed(part)
            except events.EventTooLargeError as error:
                raise client.EngineError(
                    client.EngineFault.LOST,
                    self.engine.name,
                    "event without end",
                ) from error
        if self._error is not None:
            raise self._error
        if self._splitter.has_partial:
            fault = client.EngineFault.LOST
            detail = "ended inside an event"
            raise client.EngineError(fault, self.engine.name, detail)
        return None

    async def aclose(self) -> None:
        """Ends the answer, which cancels the engine's work."""
        self._silence.cancel()
        self._task.cancel()
        await asyncio.wait([self._task])
        await self.upstream.exit_stack.aclose()

    async def _read(self) -> None:
        try:
            async for part in self.upstream.reply.body:
                if not part:
                    continue
                self._part = part
                self.has_begun = True
                self._taken.clear()
                self._on_arrival()
                await self._taken.wait()
        except Exception as error:
            # Raised where the answer is taken.
            self._error = error
        except asyncio.CancelledError:
            fault = client.EngineFault.LOST
            self._error = client.EngineError(fault, self.engine.name)
            raise
        finally:
            self._on_arrival()

    def _on_arrival(self) -> None:
        self.heard_ms = self._clock.now_ms()
        self._arrived.set()
        self._silence.end()
        self.on_arrival()


class _SilenceTimer:
    """Tells when a wait has lasted too long.

    One timer serves many waits: it is set anew only as it fires, because
    hundreds of events arrive for each time that it does.

    Args:
        clock: Time source.
    """

    def __init__(self, clock: clocks.Clock) -> None:
        self._clock = clock
        self._due_ms = 0.0
        self._is_confirming = False
        self._ended = asyncio.Event()
        self._handle: asyncio.TimerHandle | None = None
        self._set_to_ms = 0.0

    async def wait(self, limit_ms: float) -> None:
        """Waits for ``end``, at most until the limit has passed."""
        self._due_ms = self._clock.now_ms() + limit_ms - _CONFIRM_MS
        self._is_confirming = False
        self._ended.clear()
        if self._handle is not None and self._set_to_ms > self._due_ms:
            self.cancel()
        if self._handle is None:
            self._set(self._due_ms)
        await self._ended.wait()

    def end(self) -> None:
        """Ends the wait, if there is one."""
        self._ended.set()

    def cancel(self) -> None:
        """Cancels the timer."""
        if self._handle is not None:
            self._handle.cancel()
            self._handle = None

    def _set(self, at_ms: float) -> None:
        self._set_to_ms = at_ms
        self._handle = self._clock.call_at_ms(at_ms, self._on_time)

    def _on_time(self) -> None:
        self._handle = None
        now_ms = self._clock.now_ms()
        if self._ended.is_set():
            return
        if now_ms < self._due_ms:
            self._set(self._due_ms)
        elif not self._is_confirming:
            self._is_confirming = True
            self._set(now_ms + _CONFIRM_MS)
        else:
            self._ended.set()
