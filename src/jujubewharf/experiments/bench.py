"""Several real entry cores in one process, on stand-ins and virtual time.

Scenario tests and the experiment tool share this bench. It models nothing of
the router: only the stand-ins, a delay on streams and the engines' links.
"""

from __future__ import annotations

from collections.abc import AsyncIterator
from collections.abc import Sequence
import contextlib
import dataclasses
import zlib

import numpy as np

from jujubewharf import clock as clocks
from jujubewharf import entry as entries
from jujubewharf.configuration import border
from jujubewharf.configuration import records
from jujubewharf.configuration import resources
from jujubewharf.engines import client
from jujubewharf.engines import endpoint_client
from jujubewharf.platform import live_list as platform_live_list
from jujubewharf.platform import log as platform_log
from jujubewharf.routing import policy as policies
from jujubewharf.settings import models
from jujubewharf.standins import engine as engines
from jujubewharf.standins import live_list
from jujubewharf.standins import log
from jujubewharf.standins import network
from jujubewharf.standins import weights

_NOWHERE = "http://127.0.0.1:9"


class CuttableLog:
    """The log as seen from one instance: cut off or not, stalled or not."""

    def __init__(self, shared: log.MemoryLog) -> None:
        self.is_cut = False
        self._shared = shared

    async def append(self, stream: str, payloads: Sequence[bytes]) -> list[int]:
        """Appends; see ``platform.log.Log``."""
        if self.is_cut:
            raise platform_log.LogUnavailableError("cut off")
        return await self._shared.append(stream, payloads)

    async def read(
        self,
        stream: str,
        from_offset: int,
        *,
        limit: int = 500,
        wait_ms: float = 0.0,
    ) -> platform_log.LogPage:
        """Reads; see ``platform.log.Log``."""
        if self.is_cut:
            raise platform_log.LogUnavailableError("cut off")
        return await self._shared.read(
            stream, from_offset, limit=limit, wait_ms=wait_ms
        )


class MemoryEndpoints:
    """Plain endpoints in process: each answers after a while, and counts.

    Attributes:
        runs: Request ids in the order they ran, by endpoint.
        answer_ms: Time an answer takes, by endpoint; others take
            ``default_ms``.
        dead: Endpoints that are unreachable.
    """

    def __init__(self, clock: clocks.Clock, *, default_ms: float = 5.0) -> None:
        self.runs: dict[str, list[str]] = {}
        self.answer_ms: dict[str, float] = {}
        self.dead: set[str] = set()
        self._clock = clock
        self._default_ms = default_ms

    @contextlib.asynccontextmanager
    async def call(
        self, endpoint: resources.Endpoint, call: endpoint_client.PlainCall
    ) -> AsyncIterator[endpoint_client.PlainReply]:
        """Echoes; see ``endpoint_client.EndpointClient``."""
        name = endpoint.name
        if name in self.dead:
            raise client.EngineError(client.EngineFault.UNREACHABLE, name)
        body = b""
        if call.body is not None:
            body = b"".join([chunk async for chunk in call.body])
        self.runs.setdefault(name, []).append(call.request_id)
        await self._clock.sleep_ms(self.answer_ms.get(name, self._default_ms))
        if name in self.dead:
            raise client.EngineError(client.EngineFault.LOST, name)
        yield endpoint_client.PlainReply(200, (), _once(body))


async def _once(body: bytes) -> AsyncIterator[bytes]:
    yield body


@dataclasses.dataclass(slots=True)
class Instance:
    """One running core and the faults of its surroundings."""

    name: str
    domain: str
    core: entries.EntryCore
    log: CuttableLog


class Bench:
    """The deployment under test.

    Args:
        seed: Seeds every stand-in's random numbers.
        retention_ms: Retention of the log.
        list_lag_ms: Lag of the live list.
        near_ms: Delay of peer streams within a domain.
        far_ms: Delay of peer streams between domains.
    """

    def __init__(
        self,
        *,
        seed: int = 1,
        retention_ms: float | None = None,
        list_lag_ms: float = 500.0,
        near_ms: float = 0.5,
        far_ms: float = 2.0,
    ) -> None:
        self.clock = clocks.Clock(wall_origin_ms=0.0)
        self.log = log.MemoryLog(self.clock, retention_ms=retention_ms)
        self.live_list = live_list.MemoryLiveList(
            self.clock, lag_ms=list_lag_ms
        )
        self.weight_store = weights.MemoryWeightStore()
        self.network = network.MemoryNetwork(
            self.clock, near_ms=near_ms, far_ms=far_ms
        )
        self.endpoints = MemoryEndpoints(self.clock)
        self.engines: dict[str, engines.Engine] = {}
        self.instances: dict[str, Instance] = {}
        self._seed = seed
        self._listed: dict[str, platform_live_list.LiveMember] = {}

    def rng(self, name: str) -> np.random.Generator:
        """A generator of its own for each name, from the bench's seed."""
        return np.random.default_rng([self._seed, zlib.crc32(name.encode())])

    def add_engine(
        self, endpoint: resources.Endpoint, spec: engines.EngineSpec
    ) -> engines.Engine:
        """Adds an engine that stands at the endpoint's address."""
        engine = engines.Engine(
            endpoint.name, spec, self.clock, self.rng(endpoint.name)
        )
        engine.sources = _Sources(self)
        self.engines[endpoint.address] = engine
        return engine

    async def declare(self, *declared: resources.Resource) -> None:
        """Puts resources on the configuration stream."""
        payloads = [_put(resource) for resource in declared]
        await self.log.append(records.STREAM, payloads)

    async def start_instance(
        self,
        name: str,
        domain: str,
        *,
        policy: policies.Policy | None = None,
        settings: dict[str, object] | None = None,
    ) -> Instance:
        """Starts an entry core and puts it on the live list."""
        checked = models.EntrySettings.model_validate(
            {
                "instance": name,
                "region": "region",
                "domain": domain,
                "platform": {
                    "log_url": _NOWHERE,
                    "live_list_url": _NOWHERE,
                    "weight_store_url": _NOWHERE,
                },
                **(settings or {}),
            }
        )
        seen_log = CuttableLog(self.log)
        adapters = entries.Adapters(
            log=seen_log,
            live_list=self.live_list,
            weight_store=self.weight_store,
            make_engine_client=lambda e: self.engines[e.address],
            endpoints=self.endpoints,
            transport=self.network.transport(name, domain),
        )
        core = entries.EntryCore(checked, self.clock, adapters, policy=policy)
        instance = Instance(name, domain, core, seen_log)
        self.instances[name] = instance
        await core.start()
        self.list_member(
            platform_live_list.LiveMember(
                name, core.peers.address, domain, is_entry=True
            )
        )
        return instance

    async def stop(self) -> None:
        """Stops all instances."""
        for instance in self.instances.values():
            await instance.core.stop()

    def list_member(self, member: platform_live_list.LiveMember) -> None:
        """Sets one member on the live list."""
        self._listed[member.name] = member
        self.live_list.publish(tuple(self._listed.values()))

    def unlist_member(self, name: str) -> None:
        """Takes one member off the live list."""
        self._listed.pop(name, None)
        self.live_list.publish(tuple(self._listed.values()))


class _Sources(dict[str, engines.KvSource]):
    """Finds the engine at an address, as a KV transfer does."""

    def __init__(self, bench: Bench) -> None:
        super().__init__()
        self._bench = bench

    def get(self, key: str, default: object = None) -> engines.Engine | None:  # type: ignore[override]
        return self._bench.engines.get(key)


def _put(resource: resources.Resource) -> bytes:
    kind = resources.KIND_OF[type(resource)]
    return records.encode(
        records.Change(
            operation_id=f"declare-{kind.value}-{resource.name}",
            actor="bench",
            verb=records.Verb.PUT,
            kind=kind.value,
            name=resource.name,
            expected_generation=None,
            body=border.dump(resource),
        )
    )
