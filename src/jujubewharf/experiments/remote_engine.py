"""Engine client with simulated network delays and partitions.

It replaces ``engines.http.HttpEngineClient`` and behaves as HTTP does: a
request continues at the engine when the caller is cancelled, connecting
across a partition times out, an answer across a partition is held back, and
an answer that exceeds its timeout is lost.
"""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator
from collections.abc import Callable
from collections.abc import Coroutine
from typing import Any
from typing import TypeVar

from jujubewharf import clock as clocks
from jujubewharf.engines import client
from jujubewharf.experiments import processes
from jujubewharf.standins import engine as engines
from jujubewharf.standins import network as networks

_Result = TypeVar("_Result")

_DIAL_TIMEOUT_MS = 1_000.0
_CALL_TIMEOUT_MS = 5_000.0
_PREFILL_TIMEOUT_MS = 60_000.0
_CHUNK_TIMEOUT_MS = 10_000.0


class RemoteEngine:
    """Implements ``engines.client.EngineClient`` for one instance.

    Args:
        process: Process of the calling instance.
        engine: Engine to call.
        domain: Failure domain of the engine.
        network: Delays and partitions between failure domains.
        clock: Clock of the simulation.
    """

    def __init__(
        self,
        process: processes.Process,
        engine: engines.Engine,
        domain: str,
        network: networks.MemoryNetwork,
        clock: clocks.Clock,
    ) -> None:
        self._process = process
        self._engine = engine
        self._domain = domain
        self._network = network
        self._clock = clock

    def __repr__(self) -> str:
        return f"RemoteEngine({self._engine.name!r})"

    async def reserve(self, attempt: client.Attempt) -> None:
        """Reserves a decode slot; see ``client.EngineClient``."""
        await self._call(lambda: self._engine.reserve(attempt))

    async def prefill(
        self, attempt: client.Attempt, job: client.PrefillJob
    ) -> client.PrefillResult:
        """Prefills a prompt; see ``client.EngineClient``."""
        return await self._call(
            lambda: self._engine.prefill(attempt, job),
            timeout_ms=_PREFILL_TIMEOUT_MS,
        )

    async def import_kv(
        self, attempt: client.Attempt, source_address: str
    ) -> int:
        """Pulls a prefill result; see ``client.EngineClient``."""
        return await self._call(
            lambda: self._engine.import_kv(attempt, source_address)
        )

    async def decode(
        self, attempt: client.Attempt, job: client.DecodeJob
    ) -> AsyncIterator[client.TokenChunk]:
        """Decodes and streams the answer; see ``client.EngineClient``."""
        if self._process.is_dead:
            raise asyncio.CancelledError
        arrived: asyncio.Queue[_Arrival] = asyncio.Queue()
        pump = processes.create_unowned_task(
            self._receive_chunks(attempt, job, arrived)
        )
        try:
            while True:
                arrival = await self._next(arrived)
                if isinstance(arrival, client.EngineError):
                    raise arrival
                yield arrival
                if arrival.is_last:
                    return
        finally:
            pump.cancel()

    async def release(self, attempt_id: str) -> None:
        """Cancels and releases an attempt; see ``client.EngineClient``."""
        await self._call(lambda: self._engine.release(attempt_id))

    async def load(self) -> client.LoadReport:
        """Returns the latest load report; see ``client.EngineClient``."""
        return await self._call(self._engine.load)

    async def held(self) -> tuple[client.HeldAttempt, ...]:
        """Returns the held attempts; see ``client.EngineClient``."""
        return await self._call(self._engine.held)

    async def cache_events(
        self, after_sequence: int
    ) -> tuple[client.CacheEvent, ...]:
        """Returns cache events; see ``client.EngineClient``."""
        return await self._call(
            lambda: self._engine.cache_events(after_sequence)
        )

    async def order(self, order: client.Order) -> None:
        """Sends an order to the engine; see ``client.EngineClient``."""
        await self._call(lambda: self._engine.order(order))

    async def _call(
        self,
        call: Callable[[], Coroutine[Any, Any, _Result]],
        *,
        timeout_ms: float = _CALL_TIMEOUT_MS,
    ) -> _Result:
        try:
            async with self._clock.timeout_ms(timeout_ms):
                return await self._process.call_remote(self._round_trip(call))
        except TimeoutError:
            raise self._error(client.EngineFault.LOST) from None

    async def _round_trip(
        self, call: Callable[[], Coroutine[Any, Any, _Result]]
    ) -> _Result:
        await self._delay_request()
        try:
            return await call()
        finally:
            await self._delay_response()

    async def _delay_request(self) -> None:
        here = self._process.domain
        if self._network.is_cut(here, self._domain):
            await self._clock.sleep_ms(_DIAL_TIMEOUT_MS)
            raise self._error(client.EngineFault.UNREACHABLE)
        await self._clock.sleep_ms(self._network.delay_ms(here, self._domain))

    async def _delay_response(self) -> None:
        await self._network.wait_until_passable(
            self._domain, self._process.domain
        )
        delay_ms = self._network.delay_ms(self._domain, self._process.domain)
        await self._clock.sleep_ms(delay_ms)

    async def _receive_chunks(
        self,
        attempt: client.Attempt,
        job: client.DecodeJob,
        arrived: asyncio.Queue[_Arrival],
    ) -> None:
        loop = asyncio.get_running_loop()
        delay_ms = self._network.delay_ms(self._domain, self._process.domain)
        in_flight: asyncio.Queue[_Arrival] = asyncio.Queue()

        async def send(arrival: _Arrival) -> None:
            await self._network.wait_until_passable(
                self._domain, self._process.domain
            )
            in_flight.put_nowait(arrival)
            # Timers with equal deadlines may fire in any order, so each takes
            # the oldest item to keep the stream in order.
            loop.call_later(
                delay_ms / clocks.MS_PER_S,
                lambda: arrived.put_nowait(in_flight.get_nowait()),
            )

        try:
            await self._delay_request()
            async for chunk in self._engine.decode(attempt, job):
                await send(chunk)
        except client.EngineError as error:
            await send(error)

    async def _next(self, arrived: asyncio.Queue[_Arrival]) -> _Arrival:
        try:
            async with self._clock.timeout_ms(_CHUNK_TIMEOUT_MS):
                return await arrived.get()
        except TimeoutError:
            raise self._error(client.EngineFault.LOST) from None

    def _error(self, fault: client.EngineFault) -> client.EngineError:
        return client.EngineError(fault, self._engine.name)


_Arrival = client.TokenChunk | client.EngineError
