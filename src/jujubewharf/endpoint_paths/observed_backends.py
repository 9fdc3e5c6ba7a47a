"""The instance's own connections to endpoints, and what they show."""

from __future__ import annotations

from collections.abc import AsyncIterator
from collections.abc import Iterator
import contextlib
import contextvars

from jujubewharf.configuration import resources
from jujubewharf.endpoint_paths import reachability as reachabilities
from jujubewharf.engines import client
from jujubewharf.engines import liveness
from jujubewharf.engines import notices
from jujubewharf.engines import process_watch
from jujubewharf.forwarding import calls
from jujubewharf.forwarding import ports

# Faults that don't show whether there was a connection.
_UNCLEAR_FAULTS = frozenset({client.EngineFault.LOST})

CapturedNotices = list[notices.Notice]

_captured: contextvars.ContextVar[CapturedNotices | None]
_captured = contextvars.ContextVar("captured_notices", default=None)


class ObservedBackends:
    """Wraps a ``ports.Backends`` to record reachability.

    Args:
        backends: Client that makes the calls.
        reachability: Gets the outcome of each connection.
    """

    def __init__(
        self,
        backends: ports.Backends,
        reachability: reachabilities.Reachability,
    ) -> None:
        self._backends = backends
        self._reachability = reachability

    def listen(self, listener: notices.Listener) -> None:
        """Sets the listener for notices; see ``ports.Backends``."""

        def on_notice(
            endpoint: resources.Endpoint, notice: notices.Notice
        ) -> None:
            captured = _captured.get()
            if captured is not None:
                captured.append(notice)
            listener(endpoint, notice)

        self._backends.listen(on_notice)

    @contextlib.contextmanager
    def capturing_notices(self) -> Iterator[CapturedNotices]:
        """Collects the notices in answers to the calls of the block."""
        collected: CapturedNotices = []
        token = _captured.set(collected)
        try:
            yield collected
        finally:
            _captured.reset(token)

    @contextlib.asynccontextmanager
    async def send(
        self, endpoint: resources.Endpoint, outbound: calls.OutboundRequest
    ) -> AsyncIterator[calls.Reply]:
        """Sends a request; see ``ports.Backends``."""
        async with contextlib.AsyncExitStack() as stack:
            with self._observed(endpoint):
                reply = await stack.enter_async_context(
                    self._backends.send(endpoint, outbound)
                )
            yield reply

    async def prefill(
        self, endpoint: resources.Endpoint, outbound: calls.OutboundRequest
    ) -> calls.PrefillSource:
        """Runs prefill; see ``ports.Backends``."""
        with self._observed(endpoint):
            return await self._backends.prefill(endpoint, outbound)

    async def drop_source(
        self, endpoint: resources.Endpoint, source: calls.PrefillSource
    ) -> None:
        """Frees a prefill result; see ``ports.Backends``."""
        with self._observed(endpoint):
            await self._backends.drop_source(endpoint, source)

    async def reserve(
        self, endpoint: resources.Endpoint, *, tokens: int, ttl_ms: float
    ) -> str:
        """Reserves memory; see ``ports.Backends``."""
        with self._observed(endpoint):
            return await self._backends.reserve(
                endpoint, tokens=tokens, ttl_ms=ttl_ms
            )

    async def drop_reservation(
        self, endpoint: resources.Endpoint, hold: str
    ) -> None:
        """Releases a reservation; see ``ports.Backends``."""
        with self._observed(endpoint):
            await self._backends.drop_reservation(endpoint, hold)

    async def is_changing(self, endpoint: resources.Endpoint) -> bool:
        """Whether an engine changes roles; see ``ports.Backends``."""
        with self._observed(endpoint):
            return await self._backends.is_changing(endpoint)

    async def is_reachable(self, endpoint: resources.Endpoint) -> bool:
        """Whether connecting succeeds; see ``ports.Backends``."""
        is_reached = await self._backends.is_reachable(endpoint)
        if is_reached:
            self._reachability.record_connection(endpoint)
        else:
            self._reachability.record_failure(endpoint, is_probe=True)
        return is_reached

    async def has_crashed(self, endpoint: resources.Endpoint) -> bool:
        """Whether an endpoint's process is gone; see ``ports.Backends``."""
        return await self._backends.has_crashed(endpoint)

    async def process_state(
        self, endpoint: resources.Endpoint
    ) -> liveness.ProcessState:
        """Whether an endpoint's process exists; see ``ports.Backends``."""
        return await self._backends.process_state(endpoint)

    def watch_process(
        self, endpoint: resources.Endpoint
    ) -> process_watch.ProcessWatch:
        """Watches an endpoint's process; see ``ports.Backends``."""
        return self._backends.watch_process(endpoint)

    async def order_role(
        self, endpoint: resources.Endpoint, order: ports.RoleOrder
    ) -> None:
        """Orders a role; see ``ports.Backends``."""
        with self._observed(endpoint):
            await self._backends.order_role(endpoint, order)

    @contextlib.contextmanager
    def _observed(self, endpoint: resources.Endpoint) -> Iterator[None]:
        """Records whether the block reached an endpoint."""
        try:
            yield
        except client.EngineError as error:
            if error.fault is client.EngineFault.UNREACHABLE:
                self._reachability.record_failure(endpoint)
            elif error.fault not in _UNCLEAR_FAULTS:
                self._reachability.record_connection(endpoint)
            raise
        self._reachability.record_connection(endpoint)
