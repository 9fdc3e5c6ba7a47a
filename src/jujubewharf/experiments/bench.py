"""Several real entry cores in one process, on stand-ins and virtual time.

Scenario tests and the experiment tool share this bench. It models nothing of
the router: only the stand-ins, a delay on streams and the engines' links.
Run it inside ``virtual_time.run``.
"""

from __future__ import annotations

from collections.abc import Callable
import dataclasses
import itertools
import random
import zlib

import numpy as np

from jujubewharf import clock as clocks
from jujubewharf import core as cores
from jujubewharf.configuration import records
from jujubewharf.configuration import resources
from jujubewharf.engines import client
from jujubewharf.experiments import adapters
from jujubewharf.experiments import instances
from jujubewharf.experiments import processes
from jujubewharf.experiments import remote_engine
from jujubewharf.platform import live_list as platform_live_list
from jujubewharf.routing import policy as policies
from jujubewharf.settings import models
from jujubewharf.standins import declarations
from jujubewharf.standins import engine as engines
from jujubewharf.standins import live_list
from jujubewharf.standins import log
from jujubewharf.standins import network
from jujubewharf.standins import weights

_NOWHERE = "http://127.0.0.1:9"

MakePolicy = Callable[[], policies.Policy | None]


@dataclasses.dataclass(frozen=True, slots=True)
class _Start:
    """How an instance was started, to start it again."""

    domain: str
    make_policy: MakePolicy
    settings: dict[str, object]
    clock: clocks.Clock


class Bench:
    """The deployment under test.

    Args:
        seed: Seeds every stand-in's random numbers.
        retention_ms: Retention of the log.
        list_lag_ms: Lag of the live list.
        near_ms: Delay of streams and engine calls within a domain.
        far_ms: Delay of streams and engine calls between domains.

    Attributes:
        network: Peer streams.
        engine_network: Delays and cuts of engine calls.
        engines: Engines by address.
        instances: The latest run of each instance, by name.
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
        self.engine_network = network.MemoryNetwork(
            self.clock, near_ms=near_ms, far_ms=far_ms
        )
        self.endpoints = adapters.MemoryEndpoints(self.clock)
        self.engines: dict[str, engines.Engine] = {}
        self.instances: dict[str, instances.Instance] = {}
        self._operations = itertools.count()
        self._seed = seed
        self._engine_domains: dict[str, str] = {}
        self._starts: dict[str, _Start] = {}
        self._domains_without_log: list[str] = []
        self._listed: dict[str, platform_live_list.LiveMember] = {}

    def rng(self, name: str) -> np.random.Generator:
        """A generator of its own for each name, from the bench's seed."""
        return np.random.default_rng([self._seed, zlib.crc32(name.encode())])

    def policy_rng(self, instance: str) -> random.Random:
        """What an instance's policy draws from, by the bench's seed.

        Policies run in the daemon too, which has no room for numpy.
        """
        return random.Random(f"{self._seed} policy {instance}")

    def add_engine(
        self, endpoint: resources.Endpoint, spec: engines.EngineSpec
    ) -> engines.Engine:
        """Adds an engine that stands at the endpoint's address."""
        engine = engines.Engine(
            endpoint.name, spec, self.clock, self.rng(endpoint.name)
        )
        engine.sources = _Sources(self, endpoint.domain)
        self.engines[endpoint.address] = engine
        self._engine_domains[endpoint.address] = endpoint.domain
        return engine

    def engine(self, name: str) -> engines.Engine:
        """An engine by its name.

        Raises:
            KeyError: There is none.
        """
        for engine in self.engines.values():
            if engine.name == name:
                return engine
        raise KeyError(name)

    async def declare(self, *declared: resources.Resource) -> None:
        """Puts resources on the configuration stream."""
        payloads = [
            declarations.put(resource, f"declare-{next(self._operations)}")
            for resource in declared
        ]
        await self.log.append(records.STREAM, payloads)

    async def start_instance(
        self,
        name: str,
        domain: str,
        *,
        policy: policies.Policy | None = None,
        make_policy: MakePolicy | None = None,
        settings: dict[str, object] | None = None,
        clock: clocks.Clock | None = None,
    ) -> instances.Instance:
        """Starts an entry core.

        Args:
            name: The instance's name.
            domain: Its failure domain.
            policy: Its policy; a restart uses the same object again.
            make_policy: Makes its policy at the start and each restart.
            settings: Settings other than the bench's own.
            clock: A clock that differs from the bench's.
        """
        make_policy = make_policy or (lambda: policy)
        self._starts[name] = _Start(
            domain, make_policy, settings or {}, clock or self.clock
        )
        return await self._start(name)

    async def restart_instance(self, name: str) -> instances.Instance:
        """Starts an instance anew under its old name, with nothing kept.

        One that still runs is killed first.
        """
        if not self.instances[name].process.is_dead:
            self.kill_instance(name)
        return await self._start(name)

    async def stop_instance(self, name: str) -> None:
        """Shuts an instance down gracefully."""
        instance = self.instances[name]
        instance.process.resume()
        await instance.drain()
        instance.process.kill()
        self._drop(instance)

    def kill_instance(self, name: str) -> None:
        """Ends an instance at once: it releases and tells nothing."""
        instance = self.instances[name]
        instance.process.kill()
        self._drop(instance)

    def pause_instance(self, name: str) -> None:
        """Stops an instance; what is sent to it waits."""
        self.instances[name].process.pause()

    def resume_instance(self, name: str) -> None:
        """Lets a paused instance run on, believing what it believed."""
        self.instances[name].process.resume()

    async def kill_engine(self, name: str) -> None:
        """Ends an engine at once."""
        await processes.outside(self.engine(name).die())

    def restart_engine(self, name: str) -> None:
        """Starts a dead engine anew, with nothing kept."""
        self.engine(name).restart()

    def stall_link(self, name: str, *, is_stalled: bool = True) -> None:
        """Stops an engine's KV transfers, or lets them go on."""
        self.engine(name).link.is_stalled = is_stalled

    def cut_domain(
        self,
        domain: str,
        *,
        from_log: bool = True,
        from_list: bool = True,
        from_peers: bool = True,
        from_engines_elsewhere: bool = True,
    ) -> None:
        """Cuts a failure domain off until ``heal``."""
        for other in self._domains():
            if other == domain:
                continue
            if from_peers:
                self.network.cut(domain, other)
            if from_engines_elsewhere:
                self.engine_network.cut(domain, other)
        if from_log:
            self._domains_without_log.append(domain)
        for instance in self.instances.values():
            if instance.domain == domain:
                instance.log.is_cut |= from_log
                instance.live_list.is_cut |= from_list

    def heal(self) -> None:
        """Ends all cuts."""
        self.network.heal()
        self.engine_network.heal()
        self._domains_without_log.clear()
        for instance in self.instances.values():
            instance.log.is_cut = False
            instance.live_list.is_cut = False

    async def stop(self) -> None:
        """Stops all instances that still live."""
        for instance in self.instances.values():
            if instance.process.is_dead:
                continue
            instance.process.resume()
            await instance.stop()

    def list_member(self, member: platform_live_list.LiveMember) -> None:
        """Sets one member on the live list."""
        self._listed[member.name] = member
        self.live_list.publish(tuple(self._listed.values()))

    def unlist_member(self, name: str) -> None:
        """Takes one member off the live list."""
        self._listed.pop(name, None)
        self.live_list.publish(tuple(self._listed.values()))

    def engine_at(self, address: str, domain: str) -> engines.Engine | None:
        """The engine at an address, if it can be reached from a domain."""
        here = self._engine_domains.get(address)
        if here is None or self.engine_network.is_cut(here, domain):
            return None
        return self.engines[address]

    async def _start(self, name: str) -> instances.Instance:
        start = self._starts[name]
        process = processes.Process(name, start.domain)
        seen_log = adapters.InstanceLog(process, self.log)
        seen_list = adapters.InstanceLiveList(process, self.live_list)
        seen_log.is_cut = start.domain in self._domains_without_log
        core = cores.EntryCore(
            _settings(name, start),
            start.clock,
            cores.Adapters(
                log=seen_log,
                live_list=seen_list,
                weight_store=adapters.InstanceWeightStore(
                    process, self.weight_store
                ),
                make_engine_client=lambda e: self._remote_engine(process, e),
                endpoints=adapters.InstanceEndpoints(process, self.endpoints),
                transport=self.network.transport(name, start.domain),
            ),
            policy=start.make_policy(),
        )
        instance = instances.Instance(process, core, seen_log, seen_list)
        self.instances[name] = instance
        await instance.start()
        self.list_member(
            platform_live_list.LiveMember(
                name, core.peers.address, start.domain, is_entry=True
            )
        )
        return instance

    def _remote_engine(
        self, process: processes.Process, endpoint: resources.Endpoint
    ) -> client.EngineClient:
        return remote_engine.RemoteEngine(
            process,
            self.engines[endpoint.address],
            endpoint.domain,
            self.engine_network,
            self.clock,
        )

    def _drop(self, instance: instances.Instance) -> None:
        self.network.drop_instance(instance.name)

    def _domains(self) -> list[str]:
        domains = {start.domain for start in self._starts.values()}
        return sorted(domains | set(self._engine_domains.values()))


class _Sources(dict[str, engines.KvSource]):
    """Finds the engine at an address, as a KV transfer does."""

    def __init__(self, bench: Bench, domain: str) -> None:
        super().__init__()
        self._bench = bench
        self._domain = domain

    def get(self, key: str, default: object = None) -> engines.Engine | None:  # type: ignore[override]
        return self._bench.engine_at(key, self._domain)


def _settings(name: str, start: _Start) -> models.EntrySettings:
    return models.EntrySettings.model_validate(
        {
            "instance": name,
            "region": "region",
            "domain": start.domain,
            "platform": {
                "log_url": _NOWHERE,
                "live_list_url": _NOWHERE,
                "weight_store_url": _NOWHERE,
            },
            **start.settings,
        }
    )
