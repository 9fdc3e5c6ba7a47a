"""Per-instance adapters for the platform services and plain endpoints."""

from __future__ import annotations

import collections
from collections.abc import AsyncIterator
from collections.abc import Sequence
import contextlib
import dataclasses

from jujubewharf import clock as clocks
from jujubewharf.configuration import resources
from jujubewharf.engines import client
from jujubewharf.engines import endpoint_client
from jujubewharf.experiments import processes
from jujubewharf.platform import epochs
from jujubewharf.platform import live_list as platform_live_list
from jujubewharf.platform import log as platform_log
from jujubewharf.platform import weights as platform_weights
from jujubewharf.standins import live_list
from jujubewharf.standins import log
from jujubewharf.standins import weights


@dataclasses.dataclass(slots=True)
class _LogConnection:
    """Connection that all of an instance's log clients share."""

    is_cut: bool = False


class InstanceLog:
    """One instance's client of the log.

    Args:
        process: Process of the instance.
        shared: The log.
        connection: Connection of an earlier client of the instance.
    """

    def __init__(
        self,
        process: processes.Process,
        shared: log.MemoryLog,
        *,
        connection: _LogConnection | None = None,
    ) -> None:
        self._process = process
        self._shared = shared
        self._connection = connection or _LogConnection()
        self._first_epoch = epochs.FirstEpoch()

    @property
    def is_cut(self) -> bool:
        """Whether the instance is disconnected from the log.

        An append in flight at that moment takes effect but its answer is lost.
        """
        return self._connection.is_cut

    @is_cut.setter
    def is_cut(self, is_cut: bool) -> None:
        self._connection.is_cut = is_cut

    async def append(self, stream: str, payloads: Sequence[bytes]) -> list[int]:
        """Appends records; see ``platform.log.Log``."""
        if self.is_cut:
            raise platform_log.LogUnavailableError("disconnected")
        call = self._shared.append(stream, payloads)
        offsets = await self._process.call_remote(call)
        if self.is_cut:
            raise platform_log.AppendUnknownError("disconnected")
        if not self._first_epoch.is_same(self._shared.epoch):
            raise platform_log.AppendUnknownError("log was restored")
        return offsets

    async def read(
        self,
        stream: str,
        from_offset: int,
        *,
        limit: int = 500,
        wait_ms: float = 0.0,
    ) -> platform_log.LogPage:
        """Reads records; see ``platform.log.Log``."""
        if self.is_cut:
            raise platform_log.LogUnavailableError("disconnected")
        call = self._shared.read(
            stream, from_offset, limit=limit, wait_ms=wait_ms
        )
        page = await self._process.call_remote(call)
        if self.is_cut:
            raise platform_log.LogUnavailableError("disconnected")
        if not self._first_epoch.is_same(page.epoch):
            raise platform_log.LogRestoredError("log was restored")
        return page

    def reopened(self) -> InstanceLog:
        """Returns a client of the log as it is now; see ``platform.log``."""
        return InstanceLog(
            self._process, self._shared, connection=self._connection
        )


class InstanceLiveList:
    """One instance's connection to the live list.

    Attributes:
        is_cut: Whether the instance is disconnected from the live list.
    """

    def __init__(
        self, process: processes.Process, shared: live_list.MemoryLiveList
    ) -> None:
        self.is_cut = False
        self._process = process
        self._shared = shared

    async def fetch(self) -> tuple[platform_live_list.LiveMember, ...]:
        """Fetches the members; see ``platform.live_list.LiveList``."""
        if self.is_cut:
            raise platform_live_list.LiveListUnavailableError("disconnected")
        return await self._process.call_remote(self._shared.fetch())


class InstanceWeightStore:
    """One instance's connection to the weight store.

    Attributes:
        is_cut: Whether the instance is disconnected from the weight store.
    """

    def __init__(
        self, process: processes.Process, shared: weights.MemoryWeightStore
    ) -> None:
        self.is_cut = False
        self._process = process
        self._shared = shared

    async def status(self) -> platform_weights.WeightStatus:
        """Returns rate and load; see ``platform.weights.WeightStore``."""
        if self.is_cut:
            raise platform_weights.WeightStoreUnavailableError("disconnected")
        return await self._process.call_remote(self._shared.status())


class MemoryEndpoints:
    """In-process plain endpoints that echo requests and count them.

    Args:
        clock: Clock of the simulation.
        default_ms: Response time of endpoints not in ``answer_ms``.

    Attributes:
        runs: Request ids in execution order, by endpoint name.
        runs_by_path: Number of executions by path and query, summed over all
            endpoints.
        answer_ms: Response time in milliseconds, by endpoint name.
        dead: Names of unreachable endpoints.
    """

    def __init__(self, clock: clocks.Clock, *, default_ms: float = 5.0) -> None:
        self.runs: dict[str, list[str]] = {}
        self.runs_by_path: collections.Counter[str] = collections.Counter()
        self.answer_ms: dict[str, float] = {}
        self.dead: set[str] = set()
        self._clock = clock
        self._default_ms = default_ms

    @contextlib.asynccontextmanager
    async def call(
        self, endpoint: resources.Endpoint, call: endpoint_client.PlainCall
    ) -> AsyncIterator[endpoint_client.PlainReply]:
        """Echoes; see ``endpoint_client.EndpointClient``."""
        body = await _read_body(call)
        await self.run(endpoint.name, call)
        yield endpoint_client.PlainReply(200, (), _single_chunk(body))

    async def run(self, name: str, call: endpoint_client.PlainCall) -> None:
        """Runs a call at an endpoint once its body has been read.

        Raises:
            EngineError: The endpoint is dead or died during the call.
        """
        if name in self.dead:
            raise client.EngineError(client.EngineFault.UNREACHABLE, name)
        self.runs.setdefault(name, []).append(call.request_id)
        self.runs_by_path[call.path_query] += 1
        await self._clock.sleep_ms(self.answer_ms.get(name, self._default_ms))
        if name in self.dead:
            raise client.EngineError(client.EngineFault.LOST, name)


class InstanceEndpoints:
    """One instance's connections to the plain endpoints."""

    def __init__(
        self, process: processes.Process, shared: MemoryEndpoints
    ) -> None:
        self._process = process
        self._shared = shared

    @contextlib.asynccontextmanager
    async def call(
        self, endpoint: resources.Endpoint, call: endpoint_client.PlainCall
    ) -> AsyncIterator[endpoint_client.PlainReply]:
        """Echoes; see ``endpoint_client.EndpointClient``."""
        body = await _read_body(call)
        run = self._shared.run(endpoint.name, call)
        await self._process.call_remote(run)
        yield endpoint_client.PlainReply(200, (), _single_chunk(body))


async def _read_body(call: endpoint_client.PlainCall) -> bytes:
    if call.body is None:
        return b""
    return b"".join([chunk async for chunk in call.body])


async def _single_chunk(body: bytes) -> AsyncIterator[bytes]:
    yield body
