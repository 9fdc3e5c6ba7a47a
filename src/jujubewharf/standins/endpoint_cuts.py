"""Partitions between single instances and the endpoints of a simulation.

Callers, the store and other instances still reach such an instance. Only its
own connections to endpoints fail.
"""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator
from collections.abc import Awaitable
from collections.abc import Callable
from collections.abc import Collection
import contextlib
import dataclasses
import enum
from typing import TypeVar

from jujubewharf import clock as clocks
from jujubewharf.configuration import resources
from jujubewharf.engines import client
from jujubewharf.engines import liveness
from jujubewharf.engines import notices
from jujubewharf.engines import process_watch
from jujubewharf.forwarding import calls
from jujubewharf.forwarding import ports

# As long as a connection attempt without an answer takes.
CONNECT_TIMEOUT_MS = 250.0

_Result = TypeVar("_Result")


class CutKind(enum.Enum):
    """What happens to the connections of a partitioned instance.

    ``SILENT``: all hang. ``RESET``: all are reset, new ones are refused.
    ``NEW_ONLY``: open ones live on, new ones hang.
    """

    SILENT = "silent"
    RESET = "reset"
    NEW_ONLY = "new_only"


@dataclasses.dataclass(frozen=True, slots=True)
class Cut:
    """A partition of one instance.

    Attributes:
        kind: What happens to connections.
        endpoints: Names of the endpoints; ``None`` for all.
    """

    kind: CutKind
    endpoints: frozenset[str] | None = None

    def covers(self, endpoint: str) -> bool:
        """Whether the instance can't reach an endpoint."""
        return self.endpoints is None or endpoint in self.endpoints


class EndpointCuts:
    """The partitions of a simulation, by instance."""

    def __init__(self) -> None:
        self._cuts: dict[str, Cut] = {}
        self._changed = asyncio.Event()

    def begin(
        self,
        instance: str,
        kind: CutKind = CutKind.SILENT,
        *,
        endpoints: Collection[str] | None = None,
    ) -> None:
        """Partitions an instance from endpoints, by default from all."""
        names = None if endpoints is None else frozenset(endpoints)
        self._cuts[instance] = Cut(kind, names)
        self._notify()

    def end(self, *instances: str) -> None:
        """Ends the partitions of some instances, or of all."""
        for instance in instances or tuple(self._cuts):
            self._cuts.pop(instance, None)
        self._notify()

    def find(self, instance: str, endpoint: str) -> Cut | None:
        """Returns the partition between an instance and an endpoint."""
        cut = self._cuts.get(instance)
        return cut if cut is not None and cut.covers(endpoint) else None

    async def wait_for_change(self) -> None:
        """Waits until a partition begins or ends."""
        await self._changed.wait()

    def _notify(self) -> None:
        self._changed.set()
        self._changed = asyncio.Event()


class CutBackends:
    """Wraps a ``ports.Backends`` in the partitions of one instance.

    Args:
        backends: Client that makes the calls.
        instance: Name of the instance that calls.
        cuts: Partitions of the simulation.
        clock: Clock of the simulation.
    """

    def __init__(
        self,
        backends: ports.Backends,
        instance: str,
        cuts: EndpointCuts,
        clock: clocks.Clock,
    ) -> None:
        self._backends = backends
        self._instance = instance
        self._cuts = cuts
        self._clock = clock

    def listen(self, listener: notices.Listener) -> None:
        """Sets the listener for notices; see ``ports.Backends``."""
        self._backends.listen(listener)

    @contextlib.asynccontextmanager
    async def send(
        self, endpoint: resources.Endpoint, outbound: calls.OutboundRequest
    ) -> AsyncIterator[calls.Reply]:
        """Sends a request; see ``ports.Backends``."""
        await self._connect(endpoint)
        context = self._backends.send(endpoint, outbound)
        entering = asyncio.ensure_future(context.__aenter__())
        try:
            reply = await self._interruptible(endpoint, entering)
        except BaseException:
            if not entering.cancelled() and entering.exception() is None:
                # The endpoint had answered; its answer never arrived.
                await context.__aexit__(None, None, None)
            raise
        try:
            body = self._interruptible_body(endpoint, reply.body)
            yield dataclasses.replace(reply, body=body)
        finally:
            await context.__aexit__(None, None, None)

    async def _interruptible_body(
        self, endpoint: resources.Endpoint, body: AsyncIterator[bytes]
    ) -> AsyncIterator[bytes]:
        while True:
            part = await self._interruptible(endpoint, anext(body, None))
            if part is None:
                return
            yield part

    async def prefill(
        self, endpoint: resources.Endpoint, outbound: calls.OutboundRequest
    ) -> calls.PrefillSource:
        """Prefills a prompt; see ``ports.Backends``."""
        return await self._call(
            endpoint, lambda: self._backends.prefill(endpoint, outbound)
        )

    async def drop_source(
        self, endpoint: resources.Endpoint, source: calls.PrefillSource
    ) -> None:
        """Drops a prefill result; see ``ports.Backends``."""
        await self._call(
            endpoint, lambda: self._backends.drop_source(endpoint, source)
        )

    async def reserve(
        self, endpoint: resources.Endpoint, *, tokens: int, ttl_ms: float
    ) -> str:
        """Reserves memory; see ``ports.Backends``."""
        return await self._call(
            endpoint,
            lambda: self._backends.reserve(
                endpoint, tokens=tokens, ttl_ms=ttl_ms
            ),
        )

    async def drop_reservation(
        self, endpoint: resources.Endpoint, hold: str
    ) -> None:
        """Releases a reservation; see ``ports.Backends``."""
        await self._call(
            endpoint, lambda: self._backends.drop_reservation(endpoint, hold)
        )

    async def is_changing(self, endpoint: resources.Endpoint) -> bool:
        """Whether an order is being executed; see ``ports.Backends``."""
        return await self._call(
            endpoint, lambda: self._backends.is_changing(endpoint)
        )

    async def is_reachable(self, endpoint: resources.Endpoint) -> bool:
        """Whether a connection can be opened; see ``ports.Backends``."""
        try:
            await self._connect(endpoint)
        except client.EngineError:
            return False
        return await self._backends.is_reachable(endpoint)

    async def has_crashed(self, endpoint: resources.Endpoint) -> bool:
        """Whether connections are refused; see ``ports.Backends``."""
        cut = self._cuts.find(self._instance, endpoint.name)
        if cut is not None:
            return cut.kind is CutKind.RESET
        return await self._backends.has_crashed(endpoint)

    async def process_state(
        self, endpoint: resources.Endpoint
    ) -> liveness.ProcessState:
        """Whether the process replies; see ``ports.Backends``."""
        cut = self._cuts.find(self._instance, endpoint.name)
        if cut is None:
            return await self._backends.process_state(endpoint)
        if cut.kind is CutKind.RESET:
            return liveness.ProcessState.GONE
        await self._clock.sleep_ms(CONNECT_TIMEOUT_MS)
        return liveness.ProcessState.UNKNOWN

    def watch_process(
        self, endpoint: resources.Endpoint
    ) -> process_watch.ProcessWatch:
        """Watches a process over the cut path; see ``ports.Backends``."""
        return _CutWatch(
            self._backends.watch_process(endpoint),
            lambda: self.process_state(endpoint),
        )

    async def order_role(
        self, endpoint: resources.Endpoint, order: ports.RoleOrder
    ) -> None:
        """Accepts an order; see ``ports.Backends``."""
        await self._call(
            endpoint, lambda: self._backends.order_role(endpoint, order)
        )

    async def _connect(self, endpoint: resources.Endpoint) -> None:
        cut = self._cuts.find(self._instance, endpoint.name)
        if cut is None:
            return
        if cut.kind is not CutKind.RESET:
            await self._clock.sleep_ms(CONNECT_TIMEOUT_MS)
        raise client.EngineError(client.EngineFault.UNREACHABLE, endpoint.name)

    async def _call(
        self,
        endpoint: resources.Endpoint,
        call: Callable[[], Awaitable[_Result]],
    ) -> _Result:
        await self._connect(endpoint)
        return await self._interruptible(endpoint, call())

    async def _interruptible(
        self, endpoint: resources.Endpoint, call: Awaitable[_Result]
    ) -> _Result:
        """Awaits a call whose connection a partition may break.

        Raises:
            EngineError: ``LOST`` if the connection was reset, or if it hung
                until the partition ended.
        """
        task = asyncio.ensure_future(call)
        change: asyncio.Future[None] | None = None
        was_cut = False
        try:
            while True:
                cut = self._cuts.find(self._instance, endpoint.name)
                if cut is not None and cut.kind is not CutKind.NEW_ONLY:
                    was_cut = True
                if was_cut and (cut is None or cut.kind is CutKind.RESET):
                    raise client.EngineError(
                        client.EngineFault.LOST, endpoint.name, "cut"
                    )
                if task.done() and not was_cut:
                    return task.result()
                change = asyncio.ensure_future(self._cuts.wait_for_change())
                waited = [change] if was_cut else [task, change]
                await asyncio.wait(waited, return_when=asyncio.FIRST_COMPLETED)
                change.cancel()
        finally:
            task.cancel()
            if change is not None:
                change.cancel()
            # The call has ended at the endpoint when the caller goes on.
            await asyncio.gather(task, return_exceptions=True)


class _CutWatch:
    """A watch over a path that may be cut.

    Args:
        direct: Watch of the process, without the cut.
        state_now: Returns the state of the process over the path as it is now.
    """

    def __init__(
        self,
        direct: process_watch.ProcessWatch,
        state_now: Callable[[], Awaitable[liveness.ProcessState]],
    ) -> None:
        self.on_part = direct.on_part
        self._direct = direct
        self._state_now = state_now

    async def state(self) -> liveness.ProcessState:
        """Returns the state; see ``process_watch.ProcessWatch``."""
        state = await self._state_now()
        if state is liveness.ProcessState.RUNNING:
            return await self._direct.state()
        return state
