"""Test bench that runs several entry cores in one process in virtual time.

Scenario tests and experiments share this bench. The router code is the real
one; only its dependencies, network delays and engine links are simulated.
Use it inside ``virtual_time.run``.
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

_UNUSED_URL = "http://127.0.0.1:9"

MakePolicy = Callable[[], policies.Policy | None]


@dataclasses.dataclass(frozen=True, slots=True)
class _StartParameters:
    """Start parameters of an instance, kept for restarts."""

    domain: str
    make_policy: MakePolicy
    settings: dict[str, object]
    clock: clocks.Clock


class Bench:
    """The deployment under test.

    Args:
        seed: Seed of all random number generators.
        retention_ms: Log retention; ``None`` keeps all records.
        list_lag_ms: Lag of the live list.
        near_ms: One-way delay within a failure domain.
        far_ms: One-way delay between failure domains.

    Attributes:
        clock: Clock of the simulation.
        log: The platform's log.
        live_list: The platform's live list.
        weight_store: The platform's weight store.
        network: Network of the peer streams.
        engine_network: Delays and partitions of engine calls.
        endpoints: Plain endpoints.
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
        self._start_parameters: dict[str, _StartParameters] = {}
        self._domains_without_log: list[str] = []
        self._listed: dict[str, platform_live_list.LiveMember] = {}

    def rng(self, name: str) -> np.random.Generator:
        """Returns a random number generator seeded for ``name``."""
        return np.random.default_rng([self._seed, zlib.crc32(name.encode())])

    def policy_rng(self, instance: str) -> random.Random:
        """Returns the random number generator of an instance's policy.

        Not a numpy generator, because policies also run in the daemon, which
        does not import numpy.
        """
        return random.Random(f"{self._seed} policy {instance}")

    def add_engine(
        self, endpoint: resources.Endpoint, spec: engines.EngineSpec
    ) -> engines.Engine:
        """Adds an engine at the endpoint's address."""
        engine = engines.Engine(
            endpoint.name, spec, self.clock, self.rng(endpoint.name)
        )
        engine.sources = _ReachableSources(self, endpoint.domain)
        self.engines[endpoint.address] = engine
        self._engine_domains[endpoint.address] = endpoint.domain
        return engine

    def engine(self, name: str) -> engines.Engine:
        """Returns an engine by its name.

        Raises:
            KeyError: No engine has this name.
        """
        for engine in self.engines.values():
            if engine.name == name:
                return engine
        raise KeyError(name)

    async def declare(self, *declared: resources.Resource) -> None:
        """Appends resources to the configuration stream."""
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
            name: Name of the instance.
            domain: Failure domain of the instance.
            policy: Routing policy; the same object is reused on restart.
            make_policy: Creates the policy on start and on each restart.
            settings: Settings that override the bench's defaults.
            clock: Clock of the instance; defaults to the bench's clock.
        """
        make_policy = make_policy or (lambda: policy)
        self._start_parameters[name] = _StartParameters(
            domain, make_policy, settings or {}, clock or self.clock
        )
        return await self._start(name)

    async def restart_instance(self, name: str) -> instances.Instance:
        """Restarts an instance without its state, under the same name.

        A running instance is killed first.
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
        """Kills an instance: it releases nothing and notifies nobody."""
        instance = self.instances[name]
        instance.process.kill()
        self._drop(instance)

    def pause_instance(self, name: str) -> None:
        """Pauses an instance; data sent to it is queued."""
        self.instances[name].process.pause()

    def resume_instance(self, name: str) -> None:
        """Resumes a paused instance with its state unchanged."""
        self.instances[name].process.resume()

    async def kill_engine(self, name: str) -> None:
        """Crashes an engine."""
        await processes.create_unowned_task(self.engine(name).die())

    def restart_engine(self, name: str) -> None:
        """Restarts a dead engine without its state."""
        self.engine(name).restart()

    def stall_link(self, name: str, *, is_stalled: bool = True) -> None:
        """Stalls or resumes an engine's KV transfers."""
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
        """Partitions a failure domain from the rest until ``heal``."""
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
        """Ends all partitions."""
        self.network.heal()
        self.engine_network.heal()
        self._domains_without_log.clear()
        for instance in self.instances.values():
            instance.log.is_cut = False
            instance.live_list.is_cut = False

    async def stop(self) -> None:
        """Stops all running instances."""
        for instance in self.instances.values():
            if instance.process.is_dead:
                continue
            instance.process.resume()
            await instance.stop()

    def add_live_member(self, member: platform_live_list.LiveMember) -> None:
        """Adds or replaces a member of the live list."""
        self._listed[member.name] = member
        self.live_list.publish(tuple(self._listed.values()))

    def remove_live_member(self, name: str) -> None:
        """Removes a member from the live list."""
        self._listed.pop(name, None)
        self.live_list.publish(tuple(self._listed.values()))

    def engine_at(self, address: str, domain: str) -> engines.Engine | None:
        """Returns the engine at an address if reachable from ``domain``."""
        engine_domain = self._engine_domains.get(address)
        if engine_domain is None or self.engine_network.is_cut(
            engine_domain, domain
        ):
            return None
        return self.engines[address]

    async def _start(self, name: str) -> instances.Instance:
        start = self._start_parameters[name]
        process = processes.Process(name, start.domain)
        instance_log = adapters.InstanceLog(process, self.log)
        instance_list = adapters.InstanceLiveList(process, self.live_list)
        instance_log.is_cut = start.domain in self._domains_without_log
        core = cores.EntryCore(
            _settings(name, start),
            start.clock,
            cores.Adapters(
                log=instance_log,
                live_list=instance_list,
                weight_store=adapters.InstanceWeightStore(
                    process, self.weight_store
                ),
                make_engine_client=lambda e: self._remote_engine(process, e),
                endpoints=adapters.InstanceEndpoints(process, self.endpoints),
                transport=self.network.transport(name, start.domain),
            ),
            policy=start.make_policy(),
        )
        instance = instances.Instance(
            process, core, instance_log, instance_list
        )
        self.instances[name] = instance
        await instance.start()
        self.add_live_member(
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
        domains = {start.domain for start in self._start_parameters.values()}
        return sorted(domains | set(self._engine_domains.values()))


class _ReachableSources(dict[str, engines.KvSource]):
    """KV sources by address, as reachable from one failure domain."""

    def __init__(self, bench: Bench, domain: str) -> None:
        super().__init__()
        self._bench = bench
        self._domain = domain

    def get(self, key: str, default: object = None) -> engines.Engine | None:  # type: ignore[override]
        return self._bench.engine_at(key, self._domain)


def _settings(name: str, start: _StartParameters) -> models.EntrySettings:
    return models.EntrySettings.model_validate(
        {
            "instance": name,
            "region": "region",
            "domain": start.domain,
            "platform": {
                "log_url": _UNUSED_URL,
                "live_list_url": _UNUSED_URL,
                "weight_store_url": _UNUSED_URL,
            },
            **start.settings,
        }
    )
