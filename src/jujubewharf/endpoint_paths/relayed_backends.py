"""Reaches endpoints directly, or through a peer where that fails.

An instance that can't open a connection to an endpoint knows nothing about the
endpoint: it may be partitioned itself. After a single failure the caller's
request goes to another endpoint. Once all of a group seem to fail, or if a call
is for the failed endpoint again, a peer makes it, whose failure confirms that
the endpoint has ended.
"""

from __future__ import annotations

from collections.abc import AsyncIterator
from collections.abc import Awaitable
from collections.abc import Callable
import contextlib
import dataclasses
from typing import TypeVar

from jujubewharf import clock as clocks
from jujubewharf.configuration import resources
from jujubewharf.endpoint_paths import observed_backends
from jujubewharf.endpoint_paths import reachability as reachabilities
from jujubewharf.endpoint_paths import relay_client
from jujubewharf.endpoint_paths import whole_replies
from jujubewharf.engines import client
from jujubewharf.engines import liveness
from jujubewharf.engines import notices
from jujubewharf.engines import process_watch
from jujubewharf.forwarding import calls
from jujubewharf.forwarding import ports
from jujubewharf.peers import relay_messages

_Result = TypeVar("_Result")


class RelayedBackends:
    """Implements ``ports.Backends`` over the best path to each endpoint.

    Orders go directly only: an engine counts those from two instances as those
    of two holders.

    Args:
        direct: Client for the instance's own connections.
        reachability: Endpoints that the instance reaches by itself.
        clock: Time source.

    Attributes:
        relay: Has peers make calls; ``None`` without peers.
    """

    def __init__(
        self,
        direct: observed_backends.ObservedBackends,
        reachability: reachabilities.Reachability,
        clock: clocks.Clock,
    ) -> None:
        self.relay: relay_client.RelayClient | None = None
        self._direct = direct
        self._reachability = reachability
        self._clock = clock

    def listen(self, listener: notices.Listener) -> None:
        """Sets the listener for notices; see ``ports.Backends``."""
        self._direct.listen(listener)

    @contextlib.asynccontextmanager
    async def send(
        self, endpoint: resources.Endpoint, outbound: calls.OutboundRequest
    ) -> AsyncIterator[calls.Reply]:
        """Sends a request; see ``ports.Backends``."""
        began_ms = self._clock.now_ms()
        async with contextlib.AsyncExitStack() as stack:
            reply = await self._call(
                endpoint,
                lambda: stack.enter_async_context(
                    self._direct.send(endpoint, outbound)
                ),
                lambda relay: stack.enter_async_context(
                    relay.send(endpoint, self._remaining(outbound, began_ms))
                ),
            )
            yield whole_replies.with_certain_end(
                reply,
                endpoint,
                self.watch_process,
                self._clock,
                limit_ms=self._remaining(outbound, began_ms).left_ms,
            )

    async def prefill(
        self, endpoint: resources.Endpoint, outbound: calls.OutboundRequest
    ) -> calls.PrefillSource:
        """Runs prefill; see ``ports.Backends``."""
        began_ms = self._clock.now_ms()
        return await self._call(
            endpoint,
            lambda: self._direct.prefill(endpoint, outbound),
            lambda relay: relay.prefill(
                endpoint, self._remaining(outbound, began_ms)
            ),
        )

    async def drop_source(
        self, endpoint: resources.Endpoint, source: calls.PrefillSource
    ) -> None:
        """Frees a prefill result; see ``ports.Backends``."""
        await self._call(
            endpoint,
            lambda: self._direct.drop_source(endpoint, source),
            lambda relay: relay.release(endpoint, source=source),
        )

    async def reserve(
        self, endpoint: resources.Endpoint, *, tokens: int, ttl_ms: float
    ) -> str:
        """Reserves memory; see ``ports.Backends``."""
        return await self._call(
            endpoint,
            lambda: self._direct.reserve(
                endpoint, tokens=tokens, ttl_ms=ttl_ms
            ),
            lambda relay: relay.reserve(endpoint, tokens=tokens, ttl_ms=ttl_ms),
        )

    async def drop_reservation(
        self, endpoint: resources.Endpoint, hold: str
    ) -> None:
        """Releases a reservation; see ``ports.Backends``."""
        await self._call(
            endpoint,
            lambda: self._direct.drop_reservation(endpoint, hold),
            lambda relay: relay.release(endpoint, hold=hold),
        )

    async def is_changing(self, endpoint: resources.Endpoint) -> bool:
        """Whether an engine changes roles; see ``ports.Backends``."""
        kind = relay_messages.CheckKind.CHANGING
        return await self._call(
            endpoint,
            lambda: self._direct.is_changing(endpoint),
            lambda relay: relay.check(endpoint, kind),
        )

    async def is_reachable(self, endpoint: resources.Endpoint) -> bool:
        """Whether connecting succeeds; see ``ports.Backends``."""
        return await self._direct.is_reachable(endpoint)

    async def has_crashed(self, endpoint: resources.Endpoint) -> bool:
        """Whether an endpoint's process is gone; see ``ports.Backends``.

        A partition that resets connections looks the same from here, and its
        requests would be blocked as if they had crashed the endpoint.
        """
        if not await self._direct.has_crashed(endpoint):
            return False
        if self.relay is None:
            return True
        kind = relay_messages.CheckKind.CRASHED
        try:
            return await self.relay.check(endpoint, kind)
        except client.EngineError:
            return not self._reachability.is_cut_off(endpoint)

    async def process_state(
        self, endpoint: resources.Endpoint
    ) -> liveness.ProcessState:
        """Whether an endpoint's process exists; see ``ports.Backends``.

        A peer is asked where this instance can't tell.
        """
        state = await self._direct.process_state(endpoint)
        if state is liveness.ProcessState.UNKNOWN:
            return await self._state_by_peer(endpoint)
        return state

    def watch_process(
        self, endpoint: resources.Endpoint
    ) -> process_watch.ProcessWatch:
        """Watches an endpoint's process; see ``ports.Backends``."""
        direct = self._direct.watch_process(endpoint)
        return _Watch(direct, lambda: self._state_by_peer(endpoint))

    async def _state_by_peer(
        self, endpoint: resources.Endpoint
    ) -> liveness.ProcessState:
        kind = relay_messages.CheckKind.RUNNING
        with contextlib.suppress(client.EngineError):
            if self.relay and await self.relay.check(endpoint, kind):
                return liveness.ProcessState.RUNNING
        return liveness.ProcessState.UNKNOWN

    async def order_role(
        self, endpoint: resources.Endpoint, order: ports.RoleOrder
    ) -> None:
        """Orders a role; see ``ports.Backends``."""
        await self._direct.order_role(endpoint, order)

    async def _call(
        self,
        endpoint: resources.Endpoint,
        direct: Callable[[], Awaitable[_Result]],
        relayed: Callable[[relay_client.RelayClient], Awaitable[_Result]],
    ) -> _Result:
        """Makes a call over the best path.

        Raises:
            EngineError: The call failed.
        """
        if self.relay is None:
            return await direct()
        if not self._reachability.is_avoided(endpoint):
            try:
                return await direct()
            except client.EngineError as error:
                is_unreachable = error.fault is client.EngineFault.UNREACHABLE
                if not (
                    is_unreachable and self._reachability.is_cut_off(endpoint)
                ):
                    raise
        return await relayed(self.relay)

    def _remaining(
        self, outbound: calls.OutboundRequest, began_ms: float
    ) -> calls.OutboundRequest:
        """Returns a request with the time that is left now."""
        passed_ms = self._clock.now_ms() - began_ms
        return dataclasses.replace(
            outbound, left_ms=outbound.left_ms - passed_ms
        )


class _Watch:
    """A watch that asks a peer where this instance can't tell.

    Args:
        direct: Watch over the instance's own connections.
        state_by_peer: Asks a peer.
    """

    def __init__(
        self,
        direct: process_watch.ProcessWatch,
        state_by_peer: Callable[[], Awaitable[liveness.ProcessState]],
    ) -> None:
        self.on_part = direct.on_part
        self._direct = direct
        self._state_by_peer = state_by_peer

    async def state(self) -> liveness.ProcessState:
        """Returns the state; see ``process_watch.ProcessWatch``."""
        state = await self._direct.state()
        if state is liveness.ProcessState.UNKNOWN:
            return await self._state_by_peer()
        return state
