"""Processes of stand-in backends that are paused, crash, or go dark."""

from __future__ import annotations

from collections.abc import Callable
from collections.abc import Mapping
import contextlib

from jujubewharf import clock as clocks
from jujubewharf.configuration import resources
from jujubewharf.engines import client
from jujubewharf.standins import backend_state
from jujubewharf.standins import endpoint_cuts

# Timeout of the platform's client for state calls that a paused engine leaves
# without an answer. Prefills and runs end with their request.
STATE_TIMEOUT_MS = 700.0
_ENDLESS_MS = 1e9


class Processes:
    """Connects to backends, and waits as their processes do.

    Args:
        clock: Clock of the simulation.
        by_name: Engines and endpoints by name.
    """

    def __init__(
        self,
        clock: clocks.Clock,
        by_name: Mapping[str, backend_state.StandInBackend],
    ) -> None:
        self._clock = clock
        self._by_name = by_name

    async def connect(
        self,
        endpoint: resources.Endpoint,
        *,
        until_ms: float = _ENDLESS_MS,
        unheard: Callable[[backend_state.StandInBackend], object] | None = None,
    ) -> backend_state.StandInBackend:
        """Returns the backend once its process reads the call.

        Args:
            endpoint: The endpoint.
            until_ms: Clock time until which the caller waits for an answer.
            unheard: What the backend does, when it resumes, with a call whose
                caller has given up.

        Raises:
            EngineError: It can't be reached, or gives no answer in time.
        """
        backend = self._by_name.get(endpoint.name)
        if backend is None:
            # An entry of another writer: nobody listens at its address.
            fault = client.EngineFault.UNREACHABLE
            raise client.EngineError(fault, endpoint.name, "nobody listens")
        if backend.is_dark:
            await self._clock.sleep_ms(endpoint_cuts.CONNECT_TIMEOUT_MS)
            raise backend.error(client.EngineFault.UNREACHABLE)
        backend = self._reachable_backend(endpoint)
        try:
            await self._wait_until_running(backend, until_ms)
        except BaseException:
            if unheard is not None and not backend.has_crashed.is_set():
                backend.pauses.when_running(
                    lambda: self._serve_unheard(backend, unheard)
                )
            raise
        return backend

    async def sleep_unless_crashed(
        self,
        backend: backend_state.StandInBackend,
        for_ms: float,
        *,
        until_ms: float = _ENDLESS_MS,
    ) -> None:
        """Waits for a duration, and for the end of a pause of the backend.

        Raises:
            EngineError: The backend has crashed, or is paused at ``until_ms``.
        """
        with contextlib.suppress(TimeoutError):
            async with self._clock.timeout_ms(for_ms):
                await backend.has_crashed.wait()
            raise backend.error(client.EngineFault.LOST, "crashed")
        await self._wait_until_running(backend, until_ms)

    def state_until_ms(self) -> float:
        """Clock time at which a state call that begins now is given up."""
        return self._clock.now_ms() + STATE_TIMEOUT_MS

    async def _wait_until_running(
        self, backend: backend_state.StandInBackend, until_ms: float
    ) -> None:
        if not backend.is_paused:
            return
        try:
            async with self._clock.timeout_ms(until_ms - self._clock.now_ms()):
                await backend.pauses.wait_until_running()
        except TimeoutError:
            fault = client.EngineFault.LOST
            raise backend.error(fault, "no answer in time") from None
        if backend.has_crashed.is_set():
            raise backend.error(client.EngineFault.LOST, "crashed")

    def _serve_unheard(
        self,
        backend: backend_state.StandInBackend,
        call: Callable[[backend_state.StandInBackend], object],
    ) -> None:
        if not backend.has_crashed.is_set():
            with contextlib.suppress(client.EngineError):
                call(backend)

    def _reachable_backend(
        self, endpoint: resources.Endpoint
    ) -> backend_state.StandInBackend:
        backend = self._by_name[endpoint.name]
        if backend.is_unreachable or backend.has_crashed.is_set():
            raise backend.error(client.EngineFault.UNREACHABLE)
        if backend.is_replaced:
            raise backend.error(client.EngineFault.REFUSED_IDENTITY)
        return backend
